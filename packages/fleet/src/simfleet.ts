import { type AgentAdapters, startAgent } from '@claynotch/agent'
import {
  type Address,
  type HttpRequest,
  requestOnce,
  makeFlag,
  type HttpResponse,
  serveHttp,
  type World,
} from '@claynotch/base'
import { type ProxyAdapters, startProxy } from '@claynotch/proxy'
import { type CoreMember, startCore } from '@claynotch/register'
import { type InstanceRecord, startInstance } from './instance.js'
import { type Breach, judge, type Judgement, type Law } from './judge.js'
import { type Event, LOOK_SUFFIX, type Mix, runRequester } from './requester.js'
import { makeSim } from './sim.js'
import { serviceRate, type ServiceHistory, type TimeSpan } from './service-rate.js'
import type { InstanceHost, CoreHost, CrowdOptions, Decision, FrontHost, SimFleet } from './simfleettypes.js'
import { watchFleet } from './simwatch.js'
import { lawOf, type Shape } from './simshape.js'

export type { InstanceHost as Box, CoreHost as CoreBox, Decision as Decided, FrontHost as Front, SimFleet } from './simfleettypes.js'
export { lawOf, smallShape, type Shape } from './simshape.js'

// A whole fleet in the simulator: cores, front machines, instances, the platform and requesters.
export function makeSimFleet(
  seed: number,
  shape: Shape,
  opt: { keepLines?: boolean; agentEdges?: AgentAdapters; proxyEdges?: ProxyAdapters } = {},
): SimFleet {
  const sim = makeSim(seed, { ...opt, ...(shape.latency !== undefined ? { latency: shape.latency } : {}) })
  const events: Event[] = []
  const fronts: FrontHost[] = []
  const cores: CoreHost[] = []
  const boxes: InstanceHost[] = []
  const promotions: SimFleet['promotions'] = []
  const decided: SimFleet['operatorDecisions'] = []
  const watched: Breach[] = []
  const laws: Law[] = []
  const stop = makeFlag()
  const places: CoreMember[] = []
  for (let k = 0; k < shape.cores; k++) places.push({ id: `core${k + 1}`, addr: `10.0.1.${k + 1}:7000` })
  const seeds: Address[] = []
  for (let k = 0; k < Math.min(3, shape.cores); k++) seeds.push(`10.0.1.${k + 1}:7001`)
  const platform = sim.machine('platform', '10.0.9.1')
  const crowd = sim.machine('crowd', '10.0.8.1')
  const desk = sim.machine('desk', '10.0.7.1')

  function startCoreAt(k: number): void {
    const box = cores[k]
    async function start(world: World): Promise<void> {
      const core = await startCore(world, { id: box.id, cores: places, data: '/data' })
      box.core = core
      if (shape.coreAgents === true)
        await startAgent(world, {
          node: box.id,
          area: shape.areas[k % shape.areas.length],
          peer: `${box.machine.ip}:7002`,
          seeds,
          coreSet: core.coreSet,
          core: { place: core.place, adopt: core.adopt, serveQuotas: core.serveQuotas },
          build: 'sim',
        })
      function handle(ask: HttpRequest): HttpResponse {
        if (ask.path === '/seeds') return { status: 200, body: { cores: places } }
        return { status: 404, body: {} }
      }
      await serveHttp(world, box.http, handle)
    }
    box.core = undefined
    box.proc = sim.spawn(box.machine, box.id, start)
  }
  function startAgentAt(k: number): void {
    const f = fronts[k]
    async function start(world: World): Promise<void> {
      f.agent = await startAgent(
        world,
        {
          node: f.node,
          area: shape.areas[k % shape.areas.length],
          link: '127.0.0.1:7100',
          peer: `${f.machine.ip}:7200`,
          http: f.http,
          seeds,
          platform: `${platform.ip}:80`,
          ...(shape.operators ? { operators: shape.operators } : {}),
          ...(shape.suspicionTimeoutMs !== undefined ? { suspicionTimeoutMs: shape.suspicionTimeoutMs } : {}),
          build: 'sim',
        },
        opt.agentEdges,
      )
    }
    f.agent = undefined
    f.agentProc = sim.spawn(f.machine, `${f.node}-agent`, start)
  }
  function startProxyAt(k: number): void {
    const f = fronts[k]
    async function start(world: World): Promise<void> {
      f.proxy = await startProxy(
        world,
        { listen: f.listen, admin: `${f.machine.ip}:7301`, agent: '127.0.0.1:7100' },
        opt.proxyEdges,
      )
    }
    f.proxy = undefined
    f.proxyProc = sim.spawn(f.machine, `${f.node}-proxy`, start)
  }
  function addFront(): number {
    const k = fronts.length
    const machine = sim.machine(`front${k + 1}`, `10.0.2.${k + 1}`)
    fronts.push({
      machine,
      agentProc: undefined as never,
      proxyProc: undefined as never,
      agent: undefined,
      proxy: undefined,
      node: `front${k + 1}`,
      http: `${machine.ip}:7080`,
      listen: `${machine.ip}:7300`,
    })
    startAgentAt(k)
    startProxyAt(k)
    return k
  }
  function startBoxAt(k: number): void {
    const b = boxes[k]
    const peers: Address[] = []
    for (const o of boxes) if (o.group === b.group && o !== b) peers.push(o.addr)
    const first = boxes.find(isSameGroup) === b
    function isSameGroup(o: InstanceHost): boolean {
      return o.group === b.group
    }
    const agents: Address[] = []
    for (let n = 0; n < Math.min(3, fronts.length); n++) agents.push(fronts[(k + n) % fronts.length].http)
    const from = (shape.copies ?? []).find(isTarget)?.[0]
    function isTarget(c: [string, string]): boolean {
      return c[1] === b.group
    }
    const sources: Address[] = []
    for (const o of boxes) if (o.group === from) sources.push(o.addr)
    async function start(world: World): Promise<void> {
      b.instance = await startInstance(world, {
        ...(from !== undefined ? { source: { group: from, peers: sources } } : {}),
        name: b.name,
        group: b.group,
        area: shape.areas[k % shape.areas.length],
        addr: b.addr,
        peers,
        agents,
        leader: first,
        connections: shape.connections,
        lag: shape.lag,
        data: '/data',
      })
    }
    b.proc = sim.spawn(b.machine, b.name, start)
  }
  // What a killed instance had recorded is kept for the judge; its memory is gone for itself.
  function killBox(k: number): void {
    const b = boxes[k]
    sim.kill(b.proc)
    if (b.instance) b.records.push({ ...b.instance.record(), log: [] })
    b.instance = undefined
  }

  // --- the platform: forwards the single promotion call ---
  async function startPlatform(world: World): Promise<void> {
    async function handle(ask: HttpRequest): Promise<HttpResponse> {
      const body = ask.body as { group: string; instance: string; epoch: number }
      const box = boxes.find(isIt)
      function isIt(b: InstanceHost): boolean {
        return b.name === body.instance
      }
      if (!box) return { status: 404, body: {} }
      promotions.push({ ...body, at: sim.now() })
      const got = await requestOnce(world, box.addr, 'POST', '/promotion', body, 2000)
      return got.ok ? { status: got.val.status, body: got.val.body } : { status: 502, body: {} }
    }
    await serveHttp(world, `${platform.ip}:80`, handle)
  }

  for (let k = 0; k < shape.cores; k++) {
    cores.push({
      machine: sim.machine(`core${k + 1}`, `10.0.1.${k + 1}`),
      proc: undefined as never,
      core: undefined,
      id: `core${k + 1}`,
      http: `10.0.1.${k + 1}:7001`,
    })
  }
  for (let k = 0; k < cores.length; k++) startCoreAt(k)
  sim.spawn(platform, 'platform', startPlatform)
  for (let k = 0; k < shape.fronts; k++) addFront()
  for (const [g, group] of shape.groups.entries()) {
    for (let k = 0; k < shape.instances; k++) {
      const ip = `10.0.${10 + g}.${k + 1}`
      const machine = sim.machine(`${group}${k + 1}`, ip)
      // One clock for all instances, so that the judge can compare their times with those of requesters.
      machine.clockSkewMs = 0
      boxes.push({
        machine,
        proc: undefined as never,
        instance: undefined,
        name: `${group}${k + 1}`,
        group,
        addr: `${ip}:5000`,
        records: [],
      })
    }
  }
  crowd.clockSkewMs = 0
  for (let k = 0; k < boxes.length; k++) startBoxAt(k)

  function change(front: number, stream: string, lines: unknown[]): { done: () => boolean; out: () => Decision[] } {
    let over = false
    let out: Decision[] = []
    async function start(world: World): Promise<void> {
      for (const line of lines) {
        const got = await requestOnce(world, fronts[front].http, 'POST', `/streams/${stream}`, line, 12000)
        if (got.err) out = [...out, { decision: 'no answer', why: got.val.why }]
        else if (typeof got.val.body === 'string') out = [...out, JSON.parse(got.val.body) as Decision]
        else out = [...out, got.val.body as Decision]
        const { number, expect } = line as { number: number; expect: number }
        decided.push({ stream, number, expect, told: out[out.length - 1], at: sim.now() })
      }
      over = true
    }
    sim.spawn(desk, `operator ${stream}`, start)
    function done(): boolean {
      return over
    }
    function get(): Decision[] {
      return out
    }
    return { done, out: get }
  }
  function ask(
    front: number,
    path: string,
    method = 'GET',
    body?: unknown,
  ): { done: () => boolean; body: () => unknown; status: () => number } {
    let over = false
    let got: unknown
    let status = 0
    async function start(world: World): Promise<void> {
      const one = await requestOnce(world, fronts[front].http, method, path, body, 12000)
      if (one.ok) ({ body: got, status } = one.val)
      over = true
    }
    sim.spawn(desk, 'reader', start)
    function done(): boolean {
      return over
    }
    function bodyNow(): unknown {
      return got
    }
    function statusNow(): number {
      return status
    }
    return { done, body: bodyNow, status: statusNow }
  }
  function allReady(): boolean {
    for (const f of fronts) {
      if (!f.proxy?.state.hasValidLease() || !f.proxy.state.hasConnectionShare()) return false
      for (const g of shape.groups) if (f.proxy.state.group(g)?.record.phase !== 'steady') return false
    }
    return true
  }
  // Founds the cores, takes the configuration, and waits until each proxy serves.
  async function begin(): Promise<boolean> {
    function up(): boolean {
      for (const c of cores) if (!c.core?.serving()) return false
      for (const f of fronts) if (!f.agent || f.agent.leaseExpiresAt() === 0) return false
      return true
    }
    if (!(await sim.until(up, 20000))) return false
    const sent = change(0, 'setup', [{ number: 1, expect: 0, whole: shape.config }])
    if (!(await sim.until(sent.done, 15000)) || sent.out()[0].decision !== 'accepted') return false
    for (const lane of shape.config.lanes) laws.push(lawOf(lane, sim.now()))
    return await sim.until(allReady, 15000)
  }
  watchFleet(sim, shape, fronts, decided, watched)
  function isOver(): boolean {
    return stop.fired()
  }
  function traffic(): void {
    crowdIn(shape.mixes, shape.requesters, shape.thinkTimeMs)
  }
  const history: ServiceHistory = { doneAt: [], requesterStarts: [], rests: [] }
  function serviceRateNow(window: TimeSpan): number {
    return serviceRate(history, window)
  }
  let people = 0
  function crowdIn(mixes: Mix[], count: number, think: number, options: CrowdOptions = {}): void {
    const isMeasured = options.isUnmeasured !== true
    const nodes: Address[] = []
    for (const f of fronts) nodes.push(f.listen)
    function note(e: Event): void {
      events.push(e)
      if (isMeasured && e.outcome === 'done' && !e.kind.endsWith(LOOK_SUFFIX)) history.doneAt.push(e.end)
    }
    function rested(span: TimeSpan): void {
      if (isMeasured) history.rests.push(span)
    }
    for (let k = 0; k < count; k++) {
      const id = people++
      function start(world: World): Promise<void> {
        return runRequester(
          world,
          {
            id,
            nodes: options.nodes ?? nodes,
            mixes,
            think,
            keys: shape.keys,
            again: shape.again === true,
            until: isOver,
            note,
            rested,
          },
          stop,
        )
      }
      sim.spawn(crowd, `requester${id}`, start)
      if (isMeasured) history.requesterStarts.push(sim.now())
    }
  }
  // Traffic ends; answers that are still out come in; followers catch up.
  async function quiet(): Promise<void> {
    stop.fire()
    await sim.run(sim.now() + 25000)
  }
  function records(): InstanceRecord[] {
    const out: InstanceRecord[] = []
    for (const b of boxes) {
      out.push(...b.records)
      if (b.instance) out.push(b.instance.record())
    }
    return out
  }
  function judgeNow(): Judgement {
    const got = judge(events, records(), laws, shape.separateGroupData === true)
    got.breaches.push(...watched)
    // One winner for each expected epoch; an epoch told twice is told by two winners.
    const winners = new Map<number, string>()
    for (const d of decided) {
      if (d.told.decision !== 'accepted') continue
      const epoch = d.told.epoch ?? 0
      const who = `${d.stream}#${d.number}`
      if (epoch !== d.expect + 1)
        got.breaches.push({ rule: 'configuration', what: `${who} expected ${d.expect} and was accepted as ${epoch}` })
      const other = winners.get(epoch)
      if (other !== undefined && other !== who)
        got.breaches.push({ rule: 'configuration', what: `${who} and ${other} were both accepted as ${epoch}` })
      winners.set(epoch, who)
    }
    return got
  }
  // Day's end: what a majority holds is read back and must have every change that was told accepted, and no other.
  async function readBack(): Promise<Breach[]> {
    const out: Breach[] = []
    let k = 0
    while (k < fronts.length && (fronts[k].agentProc.state !== 'up' || !fronts[k].agent)) k++
    if (k === fronts.length) return [{ rule: 'configuration', what: 'no agent is left to read by' }]
    const got = ask(k, '/history')
    await sim.until(got.done, 15000)
    if (got.status() !== 200)
      return [{ rule: 'configuration', what: `the history could not be read: status ${got.status()}` }]
    const history = new Map<number, string>()
    for (const h of got.body() as { epoch: number; stream: string; number: number }[])
      history.set(h.epoch, `${h.stream}#${h.number}`)
    for (const d of decided) {
      const who = `${d.stream}#${d.number}`
      if (d.told.decision === 'accepted' && history.get(d.told.epoch ?? 0) !== who)
        out.push({
          rule: 'configuration',
          what: `${who} was accepted as ${d.told.epoch}, and the history has ${history.get(d.told.epoch ?? 0) ?? 'nothing'} there`,
        })
      if (d.told.decision === 'refused')
        for (const h of history.values())
          if (h === who) out.push({ rule: 'configuration', what: `${who} was refused and took effect` })
    }
    return out
  }
  function leaderOf(group: string): InstanceHost | undefined {
    let best: InstanceHost | undefined
    for (const b of boxes) {
      if (b.group !== group || !b.instance || b.instance.role() !== 'leader') continue
      if (!best || b.instance.epoch() > (best.instance?.epoch() ?? 0)) best = b
    }
    return best
  }
  return {
    sim,
    shape,
    operatorDecisions: decided,
    laws,
    watchBreaches: watched,
    fronts,
    cores,
    instanceHosts: boxes,
    events,
    platform,
    promotions,
    startCoreAt,
    startAgentAt,
    startProxyAt,
    startInstanceAt: startBoxAt,
    killInstance: killBox,
    addFront,
    change,
    ask,
    begin,
    startTraffic: traffic,
    addRequesters: crowdIn,
    serviceRate: serviceRateNow,
    quiet,
    judge: judgeNow,
    readBack,
    leaderOf,
    records,
  }
}
