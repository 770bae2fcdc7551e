import { defaultAdapters, startAgent, type Agent } from '@claynotch/agent'
import {
  makeFlag,
  makeHello,
  makeMetrics,
  makePersistentLink,
  pause,
  QUOTA_REQUEST_TIMEOUT_MS,
  QUOTA_WINDOW_MS,
  readAs,
  requestOnce,
  type Address,
  type World,
} from '@claynotch/base'
import { startFrontAgent } from '@claynotch/claynotch'
import type { Config, Tenant } from '@claynotch/operator'
import { makeState } from '@claynotch/proxy/dist/state.js'
import { makeAllowances, QuotaAnswer, type Allowances, type HolderQuestion, type QuotaQuestion } from '@claynotch/quota'
import { AgentFeed, startCore, type CoreMember, type QuotaRefusal, type QuotaService } from '@claynotch/register'
import { makeSim, type Machine, type Proc, type Sim } from '../sim.js'
import { task } from './beside.js'

// Core machines and front machines that share tenants' quotas, in the simulator. In place of a proxy with its clients each front
// machine has the proxy's allowances and sends operations by them: each try that gets a reservation counts as run.

export type QuotaCore = { machine: Machine; proc: Proc; node: string; agent: Agent | undefined }
/** isMute: its proxy doesn't ask. demand: operations a second by tenant. */
export type QuotaFront = {
  machine: Machine
  agentProc: Proc
  proxyProc: Proc
  node: string
  agent: Agent | undefined
  allowances: Allowances | undefined
  isMute: boolean
  demand: Map<string, number>
}
type Sent = { at: number; tenant: string; node: string }
type HolderAnswer = { at: number; slot: number; term: number; node: string; isOk: boolean; grown: number }

export type QuotaFleet = {
  sim: Sim
  cores: QuotaCore[]
  fronts: QuotaFront[]
  sent: Sent[]
  tried: Sent[]
  answers: HolderAnswer[]
  /** What was found wrong while it ran. */
  faults: string[]
  startCore: (k: number) => void
  startAgent: (k: number) => void
  startProxy: (k: number) => void
  configure: (tenants: Tenant[]) => Promise<void>
  /** The core machine that answers for the slot, by its latest answer. */
  holder: (slot: number) => QuotaCore
  /** Most operations of the tenant that were sent in any window that begins then or later. */
  most: (tenant: string, from?: number) => number
  countSent: (tenant: string, from: number, to: number) => number
  /** Times (ms) at which the log says that a slot's holder became ready. */
  readyAt: (slot: number, from: number) => number | undefined
  wait: (ms: number) => Promise<void>
}

const TICK_MS = 20
/** ms. A configuration reaches all, and two reports and a window follow. */
const LOWERED_MS = 7000
const PROXY_PORT = 7001

function configOf(tenants: Tenant[]): Config {
  return {
    proxies: 'live',
    groups: [{ name: 'g', connections: 100 }],
    lanes: [{ name: 'l', database: 'd', group: 'g', reads: 'leader' }],
    tenants,
  }
}

/** The limit of a tenant in one window, nothing tolerated. */
export function limitOf({ rate = 0, burst = 0 }: Tenant): number {
  return (rate * QUOTA_WINDOW_MS) / 1000 + burst
}

export function makeQuotaFleet(seed: number, size: { cores: number; fronts: number }): QuotaFleet {
  const sim = makeSim(seed, { keepLines: true })
  const cores: QuotaCore[] = []
  const fronts: QuotaFront[] = []
  const sent: Sent[] = []
  const tried: Sent[] = []
  const answers: HolderAnswer[] = []
  const faults: string[] = []
  const limits = new Map<string, number>()
  const desk = sim.machine('desk', '10.0.7.1')
  const places: CoreMember[] = []
  const seeds: Address[] = []
  let revision = 0
  for (let k = 0; k < size.cores; k++) {
    places.push({ id: `10.0.1.${k + 1}`, addr: `10.0.1.${k + 1}:7000` })
    seeds.push(`10.0.1.${k + 1}:8000`)
  }

  /** Notes each answer of a holder, on its way out. */
  function observed(node: string, service: QuotaService): QuotaService {
    function handle(question: HolderQuestion, asker: string): QuotaAnswer | QuotaRefusal {
      const answer = service.answer(question, asker)
      const held = new Map<string, number>()
      for (const [tenant, holds] of question.lines) held.set(tenant, holds)
      let grown = 0
      if (answer.ok)
        for (const [tenant, allowance] of answer.grants) grown += Math.max(0, allowance - (held.get(tenant) ?? 0))
      answers.push({ at: sim.now(), slot: question.slot, term: question.term, node, isOk: answer.ok, grown })
      return answer
    }
    return { ...service, answer: handle }
  }
  function startCoreAt(k: number): void {
    const box = cores[k]
    async function start(world: World): Promise<void> {
      const { ip } = box.machine
      const core = await startCore(world, { id: ip, cores: places, data: '/d' })
      function serveQuotas(service: QuotaService): void {
        core.serveQuotas(observed(box.node, service))
      }
      box.agent = await startAgent(
        world,
        {
          node: box.node,
          area: 'a',
          peer: `${ip}:7002`,
          http: `${ip}:8000`,
          seeds,
          coreSet: core.coreSet,
          core: { place: core.place, adopt: core.adopt, serveQuotas },
          build: 'sim',
        },
        defaultAdapters,
      )
    }
    box.agent = undefined
    box.proc = sim.spawn(box.machine, box.node, start)
  }
  function startAgentAt(k: number): void {
    const front = fronts[k]
    async function start(world: World): Promise<void> {
      front.agent = await startFrontAgent(world, {
        node: front.node,
        area: 'a',
        link: `127.0.0.1:${PROXY_PORT}`,
        peer: `${front.machine.ip}:7002`,
        corePort: 7000,
        seeds,
        first: true,
      })
    }
    front.agent = undefined
    front.agentProc = sim.spawn(front.machine, `${front.node}-agent`, start)
  }
  function startProxyAt(k: number): void {
    const front = fronts[k]
    async function start(world: World): Promise<void> {
      const stop = makeFlag()
      const state = makeState(world)
      const life = Math.floor(world.random() * 2 ** 40).toString(36)
      function take(message: unknown): undefined {
        const feed = readAs(AgentFeed, message)
        if (feed.ok) state.applyFeed(feed.val)
        return undefined
      }
      const hello = makeHello('proxy', front.node)
      const agent = makePersistentLink(world, `127.0.0.1:${PROXY_PORT}`, hello, take, stop, note)
      function note(): void {
        const none = { acks: [], highs: [], seen: [], moving: [], tries: [], lags: [] }
        agent.tell({ t: 'note', life, ...none, open: 0, leaving: false })
      }
      async function ask(question: QuotaQuestion): Promise<QuotaAnswer['grants'] | undefined> {
        if (front.isMute) return undefined
        const answer = readAs(QuotaAnswer, await agent.ask(question, QUOTA_REQUEST_TIMEOUT_MS))
        return answer.ok ? answer.val.grants : undefined
      }
      function isActive(): boolean {
        return true
      }
      const { hasValidLease: isLeased, leasedSince } = state
      const options = { life, isLeased, leasedSince, isActive, ask }
      const allowances = makeAllowances(world, options, makeMetrics(), stop)
      front.allowances = allowances
      async function send(tenant: string): Promise<void> {
        tried.push({ at: sim.now(), tenant, node: front.node })
        const reservation = await allowances.reserve(tenant, 200, stop)
        if (reservation?.markSent()) sent.push({ at: sim.now(), tenant, node: front.node })
      }
      for (;;) {
        await pause(world, TICK_MS)
        if (!isLeased()) continue
        for (const [tenant, rate] of front.demand) if (world.random() < (rate * TICK_MS) / 1000) void send(tenant)
      }
    }
    front.allowances = undefined
    front.proxyProc = sim.spawn(front.machine, `${front.node}-proxy`, start)
  }
  async function configure(tenants: Tenant[]): Promise<void> {
    async function post(world: World): Promise<void> {
      const change = { number: revision + 1, expect: revision, whole: configOf(tenants) }
      for (const seed of seeds) {
        const got = await requestOnce(world, seed, 'POST', '/streams/setup', change, 5000)
        if (got.err) continue
        const told = typeof got.val.body === 'string' ? (JSON.parse(got.val.body) as unknown) : got.val.body
        if ((told as { decision: string }).decision === 'accepted') break
      }
    }
    await task(sim, desk, post)
    revision++
    const lowered = new Map<string, number>()
    for (const tenant of tenants) lowered.set(tenant.name, limitOf(tenant))
    function judgeByThem(): void {
      for (const [tenant, limit] of lowered) limits.set(tenant, limit)
    }
    // Proxies let go what they use no longer.
    sim.at(LOWERED_MS, judgeByThem)
  }
  function holder(slot: number): QuotaCore {
    for (let k = answers.length - 1; k >= 0; k--)
      if (answers[k].slot === slot && answers[k].isOk)
        for (const core of cores) if (core.node === answers[k].node) return core
    throw new Error(`nobody has answered for slot ${slot}`)
  }
  function timesOf(tenant: string, from: number): number[] {
    const out: number[] = []
    for (const one of sent) if (one.tenant === tenant && one.at >= from) out.push(one.at)
    return out
  }
  function most(tenant: string, from = 0): number {
    const times = timesOf(tenant, from)
    let out = 0
    let first = 0
    for (const [k, at] of times.entries()) {
      while (times[first] <= at - QUOTA_WINDOW_MS) first++
      out = Math.max(out, k - first + 1)
    }
    return out
  }
  function countSent(tenant: string, from: number, to: number): number {
    let out = 0
    for (const at of timesOf(tenant, from)) if (at < to) out++
    return out
  }
  function readyAt(slot: number, from: number): number | undefined {
    for (const line of sim.lines) {
      const at = Number(/^t=([\d.]+)/.exec(line)?.[1]) * 1000
      if (at >= from && line.includes('quota-slot-ready') && line.includes(`slot=${slot} `)) return at
    }
    return undefined
  }
  async function wait(ms: number): Promise<void> {
    await sim.run(sim.now() + ms)
  }
  /** Once a holder of a later term has answered, none of an earlier term does. */
  let checked = 0
  const latest = new Map<number, { term: number; node: string }>()
  function checkAnswers(): void {
    for (; checked < answers.length; checked++) {
      const { at, slot, term, node, isOk } = answers[checked]
      if (!isOk) continue
      const before = latest.get(slot)
      if (before && (term < before.term || (term === before.term && node !== before.node)))
        faults.push(
          `${node} answered for slot ${slot} in term ${term} at ${Math.round(at)}, after ${before.node} in ${before.term}`,
        )
      else latest.set(slot, { term, node })
    }
  }
  function checkSums(): void {
    for (const [tenant, limit] of limits) {
      let sum = 0
      for (const { allowances, proxyProc } of fronts)
        if (proxyProc.state !== 'dead') sum += allowances?.held(tenant) ?? 0
      if (sum > limit) faults.push(`${tenant}: ${sum} of ${limit} are out at ${Math.round(sim.now())}`)
    }
  }
  function check(): void {
    checkAnswers()
    checkSums()
    sim.at(100, check)
  }

  for (const [k, { id }] of places.entries()) {
    const machine = sim.machine(`core${k}`, id)
    cores.push({ machine, proc: undefined as never, node: `core${k}`, agent: undefined })
    startCoreAt(k)
  }
  for (let k = 0; k < size.fronts; k++) {
    const machine = sim.machine(`front${k}`, `10.0.2.${k + 1}`)
    const procs = { agentProc: undefined as never, proxyProc: undefined as never }
    const node = `front${k}`
    fronts.push({ machine, ...procs, node, agent: undefined, allowances: undefined, isMute: false, demand: new Map() })
    startAgentAt(k)
    startProxyAt(k)
  }
  check()
  return {
    sim,
    cores,
    fronts,
    sent,
    tried,
    answers,
    faults,
    startCore: startCoreAt,
    startAgent: startAgentAt,
    startProxy: startProxyAt,
    configure,
    holder,
    most,
    countSent,
    readyAt,
    wait,
  }
}
