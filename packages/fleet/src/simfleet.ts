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
import { type Breach, judge, type Judgement, type LaneRule } from './judge.js'
import { type Event, TRANSACTION_READ_SUFFIX, type WorkloadOperation, runRequester } from './requester.js'
import { makeSim } from './sim.js'
import { serviceRate, type ServiceHistory, type TimeSpan } from './service-rate.js'
import type { InstanceHost, CoreHost, RequesterOptions, Decision, FrontHost, SimFleet } from './simfleettypes.js'
import { watchFleet } from './simwatch.js'
import { lawOf, type Shape } from './simshape.js'

export type {
  InstanceHost as Box,
  CoreHost as CoreBox,
  Decision as Decided,
  FrontHost as Front,
  SimFleet,
} from './simfleettypes.js'
export { lawOf, smallShape, type Shape } from './simshape.js'

/**
 * Builds a complete fleet in the simulator: cores, front machines (an agent and a proxy each), instances, the
 * platform and requesters.
 */
export function makeSimFleet(
  seed: number,
  shape: Shape,
  opt: { keepLines?: boolean; agentAdapters?: AgentAdapters; proxyAdapters?: ProxyAdapters } = {},
): SimFleet {
  const sim = makeSim(seed, { ...opt, ...(shape.latency !== undefined ? { latency: shape.latency } : {}) })
  const events: Event[] = []
  const fronts: FrontHost[] = []
  const cores: CoreHost[] = []
  const boxes: InstanceHost[] = []
  const promotions: SimFleet['promotions'] = []
  const decided: SimFleet['operatorDecisions'] = []
  /** Breaches found by watching the proxies and group records while the simulation runs. */
  const watched: Breach[] = []
  /** The rules of each lane by the accepted changes, in order. */
  const laws: LaneRule[] = []
  const trafficStopFlag = makeFlag()
  const coreMembers: CoreMember[] = []
  for (let k = 0; k < shape.cores; k++) coreMembers.push({ id: `core${k + 1}`, addr: `10.0.1.${k + 1}:7000` })
  const seeds: Address[] = []
  for (let k = 0; k < Math.min(3, shape.cores); k++) seeds.push(`10.0.1.${k + 1}:7001`)
  const platform = sim.machine('platform', '10.0.9.1')
  const requesterMachine = sim.machine('crowd', '10.0.8.1')
  const operatorMachine = sim.machine('desk', '10.0.7.1')

  /** Starts a core and its HTTP server, which lists the cores; with coreAgents, an agent in the same process. */
  function startCoreAt(index: number): void {
    const coreHost = cores[index]
    async function start(world: World): Promise<void> {
      const core = await startCore(world, { id: coreHost.id, cores: coreMembers, data: '/data' })
      coreHost.core = core
      if (shape.coreAgents === true)
        await startAgent(world, {
          node: coreHost.id,
          area: shape.areas[index % shape.areas.length],
          peer: `${coreHost.machine.ip}:7002`,
          seeds,
          coreSet: core.coreSet,
          core: { place: core.place, adopt: core.adopt, serveQuotas: core.serveQuotas },
          build: 'sim',
        })
      function handle(request: HttpRequest): HttpResponse {
        if (request.path === '/seeds') return { status: 200, body: { cores: coreMembers } }
        return { status: 404, body: {} }
      }
      await serveHttp(world, coreHost.http, handle)
    }
    coreHost.core = undefined
    coreHost.proc = sim.spawn(coreHost.machine, coreHost.id, start)
  }
  /** Starts the agent of a front machine. */
  function startAgentAt(index: number): void {
    const front = fronts[index]
    async function start(world: World): Promise<void> {
      front.agent = await startAgent(
        world,
        {
          node: front.node,
          area: shape.areas[index % shape.areas.length],
          link: '127.0.0.1:7100',
          peer: `${front.machine.ip}:7200`,
          http: front.http,
          seeds,
          platform: `${platform.ip}:80`,
          ...(shape.operators ? { operators: shape.operators } : {}),
          ...(shape.suspicionTimeoutMs !== undefined ? { suspicionTimeoutMs: shape.suspicionTimeoutMs } : {}),
          build: 'sim',
        },
        opt.agentAdapters,
      )
    }
    front.agent = undefined
    front.agentProc = sim.spawn(front.machine, `${front.node}-agent`, start)
  }
  /** Starts the proxy of a front machine. */
  function startProxyAt(index: number): void {
    const front = fronts[index]
    async function start(world: World): Promise<void> {
      front.proxy = await startProxy(
        world,
        { listen: front.listen, admin: `${front.machine.ip}:7301`, agent: '127.0.0.1:7100' },
        opt.proxyAdapters,
      )
    }
    front.proxy = undefined
    front.proxyProc = sim.spawn(front.machine, `${front.node}-proxy`, start)
  }
  /** Adds a front machine and starts its agent and proxy; returns its index. */
  function addFront(): number {
    const index = fronts.length
    const machine = sim.machine(`front${index + 1}`, `10.0.2.${index + 1}`)
    fronts.push({
      machine,
      agentProc: undefined as never,
      proxyProc: undefined as never,
      agent: undefined,
      proxy: undefined,
      node: `front${index + 1}`,
      http: `${machine.ip}:7080`,
      listen: `${machine.ip}:7300`,
    })
    startAgentAt(index)
    startProxyAt(index)
    return index
  }
  /** Starts an instance; the first one of its group starts as leader. */
  function startBoxAt(index: number): void {
    const host = boxes[index]
    const peers: Address[] = []
    for (const other of boxes) if (other.group === host.group && other !== host) peers.push(other.addr)
    const startsAsLeader = boxes.find(isSameGroup) === host
    function isSameGroup(other: InstanceHost): boolean {
      return other.group === host.group
    }
    const agents: Address[] = []
    for (let n = 0; n < Math.min(3, fronts.length); n++) agents.push(fronts[(index + n) % fronts.length].http)
    const sourceGroup = (shape.copies ?? []).find(isTarget)?.[0]
    function isTarget(copy: [string, string]): boolean {
      return copy[1] === host.group
    }
    const sourceAddresses: Address[] = []
    for (const other of boxes) if (other.group === sourceGroup) sourceAddresses.push(other.addr)
    async function start(world: World): Promise<void> {
      host.instance = await startInstance(world, {
        ...(sourceGroup !== undefined ? { source: { group: sourceGroup, peers: sourceAddresses } } : {}),
        name: host.name,
        group: host.group,
        area: shape.areas[index % shape.areas.length],
        addr: host.addr,
        peers,
        agents,
        leader: startsAsLeader,
        connections: shape.connections,
        lag: shape.lag,
        data: '/data',
      })
    }
    host.proc = sim.spawn(host.machine, host.name, start)
  }
  /** Kills an instance. The judge keeps what it had recorded; the instance itself loses its memory. */
  function killBox(index: number): void {
    const host = boxes[index]
    sim.kill(host.proc)
    if (host.instance) host.records.push({ ...host.instance.record(), log: [] })
    host.instance = undefined
  }

  /** The platform's HTTP server: forwards a promotion call to the instance that it names. */
  async function startPlatform(world: World): Promise<void> {
    async function handle(request: HttpRequest): Promise<HttpResponse> {
      const body = request.body as { group: string; instance: string; epoch: number }
      const host = boxes.find(isNamedInstance)
      function isNamedInstance(candidate: InstanceHost): boolean {
        return candidate.name === body.instance
      }
      if (!host) return { status: 404, body: {} }
      promotions.push({ ...body, at: sim.now() })
      const answer = await requestOnce(world, host.addr, 'POST', '/promotion', body, 2000)
      return answer.ok ? { status: answer.val.status, body: answer.val.body } : { status: 502, body: {} }
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
      // All instances share one clock, so that the judge can compare their times with the requesters' times.
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
  requesterMachine.clockSkewMs = 0
  for (let k = 0; k < boxes.length; k++) startBoxAt(k)

  /** Sends configuration changes, one after the other, to the operator endpoint of one agent. */
  function change(front: number, stream: string, lines: unknown[]): { done: () => boolean; out: () => Decision[] } {
    let isEnded = false
    let decisions: Decision[] = []
    async function start(world: World): Promise<void> {
      for (const line of lines) {
        const answer = await requestOnce(world, fronts[front].http, 'POST', `/streams/${stream}`, line, 12000)
        if (answer.err) decisions = [...decisions, { decision: 'no answer', why: answer.val.why }]
        else if (typeof answer.val.body === 'string')
          decisions = [...decisions, JSON.parse(answer.val.body) as Decision]
        else decisions = [...decisions, answer.val.body as Decision]
        const { number, expect } = line as { number: number; expect: number }
        decided.push({ stream, number, expect, told: decisions[decisions.length - 1], at: sim.now() })
      }
      isEnded = true
    }
    sim.spawn(operatorMachine, `operator ${stream}`, start)
    function done(): boolean {
      return isEnded
    }
    function currentDecisions(): Decision[] {
      return decisions
    }
    return { done, out: currentDecisions }
  }
  /** Sends one HTTP request to the agent of a front machine. */
  function ask(
    front: number,
    path: string,
    method = 'GET',
    body?: unknown,
  ): { done: () => boolean; body: () => unknown; status: () => number } {
    let isEnded = false
    let answerBody: unknown
    let status = 0
    async function start(world: World): Promise<void> {
      const answer = await requestOnce(world, fronts[front].http, method, path, body, 12000)
      if (answer.ok) ({ body: answerBody, status } = answer.val)
      isEnded = true
    }
    sim.spawn(operatorMachine, 'reader', start)
    function done(): boolean {
      return isEnded
    }
    function currentBody(): unknown {
      return answerBody
    }
    function currentStatus(): number {
      return status
    }
    return { done, body: currentBody, status: currentStatus }
  }
  /** Whether every proxy has a lease, its connection share and a steady record of each group. */
  function allReady(): boolean {
    for (const front of fronts) {
      if (!front.proxy?.state.hasValidLease() || !front.proxy.state.hasConnectionShare()) return false
      for (const group of shape.groups) if (front.proxy.state.group(group)?.record.phase !== 'steady') return false
    }
    return true
  }
  /** Waits for cores and agents, sends the configuration, and waits until every proxy is ready; false: timed out. */
  async function begin(): Promise<boolean> {
    function isStarted(): boolean {
      for (const coreHost of cores) if (!coreHost.core?.serving()) return false
      for (const front of fronts) if (!front.agent || front.agent.leaseExpiresAt() === 0) return false
      return true
    }
    if (!(await sim.until(isStarted, 20000))) return false
    const setup = change(0, 'setup', [{ number: 1, expect: 0, whole: shape.config }])
    if (!(await sim.until(setup.done, 15000)) || setup.out()[0].decision !== 'accepted') return false
    for (const lane of shape.config.lanes) laws.push(lawOf(lane, sim.now()))
    return await sim.until(allReady, 15000)
  }
  watchFleet(sim, shape, fronts, decided, watched)
  function isTrafficStopped(): boolean {
    return trafficStopFlag.fired()
  }
  function traffic(): void {
    crowdIn(shape.mixes, shape.requesters, shape.thinkTimeMs)
  }
  const history: ServiceHistory = { completionTimes: [], requesterStarts: [], transactionPauses: [] }
  function serviceRateNow(window: TimeSpan): number {
    return serviceRate(history, window)
  }
  let nextRequesterId = 0
  /** Starts `count` more requesters. */
  function crowdIn(mixes: WorkloadOperation[], count: number, think: number, options: RequesterOptions = {}): void {
    const isMeasured = options.isUnmeasured !== true
    const nodes: Address[] = []
    for (const front of fronts) nodes.push(front.listen)
    function recordEvent(event: Event): void {
      events.push(event)
      if (isMeasured && event.outcome === 'done' && !event.kind.endsWith(TRANSACTION_READ_SUFFIX))
        history.completionTimes.push(event.end)
    }
    function recordRest(span: TimeSpan): void {
      if (isMeasured) history.transactionPauses.push(span)
    }
    for (let k = 0; k < count; k++) {
      const id = nextRequesterId++
      function start(world: World): Promise<void> {
        return runRequester(
          world,
          {
            id,
            nodes: options.nodes ?? nodes,
            mixes,
            thinkMs: think,
            keys: shape.keys,
            again: shape.again === true,
            until: isTrafficStopped,
            note: recordEvent,
            onTransactionPause: recordRest,
          },
          trafficStopFlag,
        )
      }
      sim.spawn(requesterMachine, `requester${id}`, start)
      if (isMeasured) history.requesterStarts.push(sim.now())
    }
  }
  /** Ends the traffic, then leaves 25 s for outstanding answers to arrive and for followers to catch up. */
  async function quiet(): Promise<void> {
    trafficStopFlag.fire()
    await sim.run(sim.now() + 25000)
  }
  /** The records of all instances, those of killed ones included. */
  function records(): InstanceRecord[] {
    const collected: InstanceRecord[] = []
    for (const host of boxes) {
      collected.push(...host.records)
      if (host.instance) collected.push(host.instance.record())
    }
    return collected
  }
  /** Judges the run so far: the requesters' events, the breaches seen while running, and the operators' decisions. */
  function judgeNow(): Judgement {
    const judgement = judge(events, records(), laws, shape.separateGroupData === true)
    judgement.breaches.push(...watched)
    // Exactly one change may win each expected epoch; an epoch that was answered for two changes has two winners.
    const winners = new Map<number, string>()
    for (const decision of decided) {
      if (decision.told.decision !== 'accepted') continue
      const epoch = decision.told.epoch ?? 0
      const changeId = `${decision.stream}#${decision.number}`
      if (epoch !== decision.expect + 1)
        judgement.breaches.push({
          rule: 'configuration',
          what: `${changeId} expected ${decision.expect} and was accepted as ${epoch}`,
        })
      const otherChangeId = winners.get(epoch)
      if (otherChangeId !== undefined && otherChangeId !== changeId)
        judgement.breaches.push({
          rule: 'configuration',
          what: `${changeId} and ${otherChangeId} were both accepted as ${epoch}`,
        })
      winners.set(epoch, changeId)
    }
    return judgement
  }
  /**
   * Reads back the history that a majority holds, at the end of a run: it must have every change that was answered as
   * accepted, and none that was answered as refused.
   */
  async function readBack(): Promise<Breach[]> {
    const breaches: Breach[] = []
    let frontIndex = 0
    while (frontIndex < fronts.length && (fronts[frontIndex].agentProc.state !== 'up' || !fronts[frontIndex].agent))
      frontIndex++
    if (frontIndex === fronts.length)
      return [{ rule: 'configuration', what: 'no running agent is left to read the history from' }]
    const answer = ask(frontIndex, '/history')
    await sim.until(answer.done, 15000)
    if (answer.status() !== 200)
      return [{ rule: 'configuration', what: `the history could not be read: status ${answer.status()}` }]
    const changesByEpoch = new Map<number, string>()
    for (const entry of answer.body() as { epoch: number; stream: string; number: number }[])
      changesByEpoch.set(entry.epoch, `${entry.stream}#${entry.number}`)
    for (const decision of decided) {
      const changeId = `${decision.stream}#${decision.number}`
      if (decision.told.decision === 'accepted' && changesByEpoch.get(decision.told.epoch ?? 0) !== changeId)
        breaches.push({
          rule: 'configuration',
          what: `${changeId} was accepted as ${decision.told.epoch}, and the history has ${changesByEpoch.get(decision.told.epoch ?? 0) ?? 'nothing'} there`,
        })
      if (decision.told.decision === 'refused')
        for (const appliedChangeId of changesByEpoch.values())
          if (appliedChangeId === changeId)
            breaches.push({ rule: 'configuration', what: `${changeId} was refused and took effect` })
    }
    return breaches
  }
  /** The group's running leader; with several, the one of the highest epoch. */
  function leaderOf(group: string): InstanceHost | undefined {
    let leader: InstanceHost | undefined
    for (const host of boxes) {
      if (host.group !== group || !host.instance || host.instance.role() !== 'leader') continue
      if (!leader || host.instance.epoch() > (leader.instance?.epoch() ?? 0)) leader = host
    }
    return leader
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
