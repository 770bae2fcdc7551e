/**
 * Simulated core hosts and one front, with the operations that fault injection needs: start, kill, terminate.
 *
 * A core host runs a core and its agent, as `startCoreMachine` starts them; a front runs an agent without a core.
 * Change requests go through the same `ControlService` that the platform's operator endpoint uses.
 */
import { defaultAdapters, answerSeeds, type Agent, type AgentAdapters, type ControlService } from '@claynotch/agent'
import {
  readAs,
  serveHttp,
  MAX_VOTERS,
  type Address,
  type HttpRequest,
  type HttpResponse,
  type HttpListener,
  type World,
} from '@claynotch/base'
import { startCoreMachine, startFrontAgent, type CoreMachine } from '@claynotch/claynotch'
import { Change } from '@claynotch/operator'
import { quorumOf, readCoreSet, votersOf, type CoreSet } from './sets.js'
import { makeSim, type Machine, type Proc, type Sim } from '../sim.js'

/** Time between SIGTERM and the end of the process. */
const TERM_GRACE_MS = 1000

/** A simulated host that runs a core and its agent. */
export type CoreHost = {
  name: string
  ip: string
  machine: Machine
  /** The current process, or the last one. */
  proc: Proc | undefined
  /** The running core and agent, once their start has completed. */
  coreMachine: CoreMachine | undefined
  /** Whether the process is running or frozen. */
  isUp: boolean
  /** Whether the process has been told to stop. */
  isStopping: boolean
  /** Whether the host has been removed for good. */
  isRemoved: boolean
  /** Whether its promises and accepted values remain: it voted when last inspected, and kept its disk since. */
  hasVoterState: boolean
  /** Simulated time of the last step of its clock. */
  lastClockStepAt: number
}
/** The front, with its current process and agent. */
export type Front = { machine: Machine; proc: Proc; agent: Agent | undefined; isUp: boolean }

/** One process of an agent, on a core host or the front; `isStopping`: whether it has been told to stop. */
export type AgentProcess = { node: string; agent: Agent; machine: Machine; proc: Proc; isStopping: () => boolean }

/** All simulated hosts of one run. */
export type ControlFleet = {
  sim: Sim
  hosts: CoreHost[]
  front: Front
  /** Every core set observed so far, by epoch. */
  coreSetsByEpoch: Map<number, CoreSet>
  /** Records the violation of an invariant. */
  reportViolation: (what: string) => void
  /** Adds and starts a core host; `first`: with the seeds of the initial start. */
  add: (first: boolean) => CoreHost
  /** Starts a core host that is down, unless it was removed. */
  start: (host: CoreHost) => void
  /** Kills the process at once; `dark`: the machine loses power too; `disk`: its files are lost. */
  kill: (host: CoreHost, how?: { dark?: boolean; disk?: 'lost' }) => void
  /** Asks the process to stop, and kills it after the grace period. */
  terminate: (host: CoreHost) => void
  /** Every agent whose process is not dead. */
  liveAgents: () => AgentProcess[]
  startFront: (first: boolean) => void
  killFront: () => void
  /** Inspects every core, checks its core set, and returns the core set of the highest epoch. */
  latestCoreSet: () => CoreSet
  /** Whether no membership change is in progress and every voter that is not removed serves in the latest epoch. */
  isSettled: () => boolean
  /** Whether the core set is settled and every present host votes, or `MAX_VOTERS` do and none of them is removed. */
  isFullyVoting: () => boolean
  /** Whether a quorum would remain if these hosts lost their disks for good. */
  canLoseDisksOf: (lost: CoreHost[]) => boolean
  /** Core hosts that are not removed. */
  presentHosts: () => CoreHost[]
}

/** Answers an HTTP request of an operator. */
async function answerOperator(request: HttpRequest, service: ControlService): Promise<HttpResponse | undefined> {
  const seeds = answerSeeds(request, service.coreSet())
  if (seeds) return seeds
  if (request.path === '/read') {
    const body = await service.read()
    return body ? { status: 200, body } : { status: 503, body: null }
  }
  if (!request.path.startsWith('/order/')) return { status: 404, body: null }
  const change = readAs(Change, request.body)
  if (change.err) return { status: 400, body: null }
  const result = await service.change(request.path.slice('/order/'.length), change.val)
  return result.decision === 'unclear' ? { status: 503, body: null } : { status: 200, body: result }
}
/** Whether the host votes in this core set. */
function isVoter(set: CoreSet, host: CoreHost): boolean {
  for (const voter of votersOf(set)) if (voter.id === host.ip) return true
  return false
}
/** Serves the operator endpoint of a core host. */
function serveOperators(world: World, addr: Address, service: ControlService): Promise<HttpListener> {
  function handle(request: HttpRequest): Promise<HttpResponse | undefined> {
    return answerOperator(request, service)
  }
  return serveHttp(world, addr, handle, { limit: 4 * 1024 * 1024 })
}
const agentAdapters: AgentAdapters = { ...defaultAdapters, control: serveOperators }

/** The HTTP address of a core host. */
export function httpAddressOf(host: CoreHost): Address {
  return `${host.ip}:8000`
}

/** Creates the fleet; the first `founders` core hosts are the seeds of the initial start. */
export function makeControlFleet(
  seed: number,
  founders: number,
  reportViolation: (what: string) => void,
): ControlFleet {
  const sim = makeSim(seed, { keepLines: process.env['MODEL_TRACE'] !== undefined })
  const boxes: CoreHost[] = []
  const coreSetsByEpoch = new Map<number, CoreSet>()
  const serializedSets = new Map<number, string>()
  const lastSeenSets = new Map<CoreHost, CoreSet>()
  let agentProcesses: AgentProcess[] = []

  function firstSeeds(): Address[] {
    const addresses: Address[] = []
    for (let k = 0; k < founders; k++) addresses.push(`10.0.1.${k + 1}:8000`)
    return addresses
  }
  /** Up to three random core hosts that are not removed, as configured seeds; never the starting host itself. */
  function drawSeeds(excluded: CoreHost | undefined): Address[] {
    const candidates = boxes.filter(isOther)
    function isOther(host: CoreHost): boolean {
      return host !== excluded && !host.isRemoved
    }
    const addresses: Address[] = []
    while (addresses.length < 3 && candidates.length > 0)
      addresses.push(httpAddressOf(candidates.splice(Math.floor(sim.random() * candidates.length), 1)[0]))
    return addresses
  }
  function spawnCore(host: CoreHost, seeds: Address[], first: boolean): void {
    async function run(world: World): Promise<void> {
      const started = await startCoreMachine(
        world,
        {
          node: host.name,
          area: 'a',
          link: `${host.ip}:7000`,
          peer: `${host.ip}:7002`,
          http: httpAddressOf(host),
          seeds,
          first,
          data: '/d',
        },
        agentAdapters,
      )
      if (host.proc === spawned) host.coreMachine = started
      function isStopping(): boolean {
        return host.proc !== spawned || host.isStopping
      }
      agentProcesses.push({
        node: host.name,
        agent: started.agent,
        machine: host.machine,
        proc: spawned,
        isStopping,
      })
    }
    host.coreMachine = undefined
    host.isUp = true
    host.isStopping = false
    host.machine.dark = false
    const spawned = sim.spawn(host.machine, host.name, run)
    host.proc = spawned
  }
  function add(first: boolean): CoreHost {
    const hostNumber = boxes.length + 1
    const ip = `10.0.1.${hostNumber}`
    const host: CoreHost = {
      name: `core${hostNumber}`,
      ip,
      machine: sim.machine(`core${hostNumber}`, ip),
      proc: undefined,
      coreMachine: undefined,
      isUp: false,
      isStopping: false,
      isRemoved: false,
      hasVoterState: false,
      lastClockStepAt: -Infinity,
    }
    boxes.push(host)
    spawnCore(host, first ? firstSeeds() : drawSeeds(host), first)
    return host
  }
  function start(host: CoreHost): void {
    if (!host.isUp && !host.isRemoved) spawnCore(host, drawSeeds(host), false)
  }
  function kill(host: CoreHost, how: { dark?: boolean; disk?: 'lost' } = {}): void {
    inspectCore(host)
    if (how.dark) host.machine.dark = true
    if (host.proc) sim.kill(host.proc)
    host.coreMachine = undefined
    host.isUp = false
    if (!how.disk) return
    host.machine.files.clear()
    host.hasVoterState = false
  }
  function terminate(host: CoreHost): void {
    host.isStopping = true
    void host.coreMachine?.stop()
    const terminated = host.proc
    function end(): void {
      if (host.proc === terminated && host.isUp) kill(host)
    }
    sim.at(TERM_GRACE_MS, end)
  }

  const front: Front = {
    machine: sim.machine('front', '10.0.2.1'),
    proc: undefined as never,
    agent: undefined,
    isUp: false,
  }
  function startFront(first: boolean): void {
    async function run(world: World): Promise<void> {
      const started = await startFrontAgent(world, {
        node: 'front',
        area: 'a',
        link: '127.0.0.1:7001',
        peer: '10.0.2.1:7002',
        corePort: 7000,
        seeds: first ? firstSeeds() : drawSeeds(undefined),
        first,
      })
      if (front.proc === spawned) front.agent = started
      agentProcesses.push({
        node: 'front',
        agent: started,
        machine: front.machine,
        proc: spawned,
        isStopping: isNeverStopping,
      })
    }
    front.agent = undefined
    front.isUp = true
    const spawned = sim.spawn(front.machine, 'front', run)
    front.proc = spawned
  }
  function killFront(): void {
    sim.kill(front.proc)
    front.agent = undefined
    front.isUp = false
  }

  function isNeverStopping(): boolean {
    return false
  }
  function liveAgents(): AgentProcess[] {
    agentProcesses = agentProcesses.filter(isAlive)
    return agentProcesses
  }
  function isAlive(life: AgentProcess): boolean {
    return life.proc.state !== 'dead'
  }

  function recordSet(set: CoreSet, where: string): void {
    if (set.cores.length === 0) return
    const serialized = JSON.stringify([set.cores, set.next ?? null])
    const previous = serializedSets.get(set.epoch)
    if (previous === undefined) {
      serializedSets.set(set.epoch, serialized)
      coreSetsByEpoch.set(set.epoch, set)
    } else if (previous !== serialized)
      reportViolation(`two core sets of epoch ${set.epoch}: ${previous}, and ${serialized} at ${where}`)
  }
  function inspectCore(host: CoreHost): void {
    const core = host.coreMachine?.core
    if (!core) return
    const set = core.coreSet()
    // An identical object is the same set and needs no second check; this runs at each event.
    if (lastSeenSets.get(host) !== set) recordSet(set, host.name)
    lastSeenSets.set(host, set)
    const state = core.state()
    // A core whose disk failed keeps what it had synced.
    if (state !== 'disk failed') host.hasVoterState = state === 'serving'
    if (core.serving() && !votersOf(set).some(isThisHost))
      reportViolation(`${host.name} serves outside its set of epoch ${set.epoch}`)
    function isThisHost(voter: { id: string }): boolean {
      return voter.id === host.ip
    }
  }
  function latest(): CoreSet {
    for (const host of boxes) inspectCore(host)
    let latestSet: CoreSet = { epoch: -1, cores: [] }
    for (const set of coreSetsByEpoch.values()) if (set.epoch > latestSet.epoch) latestSet = set
    return latestSet
  }
  function isVotingIn(host: CoreHost, epoch: number): boolean {
    return host.coreMachine?.core.serving() === true && host.coreMachine.core.coreSet().epoch === epoch
  }
  function isSettled(): boolean {
    const set = latest()
    if (set.epoch < 0 || set.next !== undefined) return false
    for (const host of present()) if (isVoter(set, host) && !isVotingIn(host, set.epoch)) return false
    return true
  }
  /** Whether the core set is settled and every present host votes, or `MAX_VOTERS` do and none of them is removed. */
  function whole(): boolean {
    if (!isSettled()) return false
    const set = latest()
    let nonVoters = 0
    let removedVoters = 0
    for (const host of present()) if (!isVoter(set, host)) nonVoters++
    for (const host of boxes) if (host.isRemoved && isVoter(set, host)) removedVoters++
    return nonVoters === 0 || (set.cores.length >= MAX_VOTERS && removedVoters === 0)
  }
  /** The latest known core set, and every later one that a core has accepted, committed or not. */
  function possibleSets(): CoreSet[] {
    const last = latest()
    const candidates = [last]
    for (const host of boxes) {
      const set = readCoreSet(host.coreMachine?.core.store.entries().get('coreset')?.value?.body)
      if (set && set.epoch > last.epoch) candidates.push(set)
    }
    return candidates
  }
  /** Whether the set lists the host with its current storage token: such a newcomer votes once it learns of it. */
  function isListedWithToken(host: CoreHost, set: CoreSet): boolean {
    const token = host.coreMachine?.core.place().token
    if (token === undefined) return false
    for (const voter of votersOf(set)) if (voter.id === host.ip && voter.token === token) return true
    return false
  }
  function canLoseDisksOf(lost: CoreHost[]): boolean {
    for (const set of possibleSets()) {
      const ids = new Set<string>()
      for (const host of present())
        if (!lost.includes(host) && (host.hasVoterState || isListedWithToken(host, set))) ids.add(host.ip)
      if (!quorumOf(set).met(ids)) return false
    }
    return true
  }
  function present(): CoreHost[] {
    return boxes.filter(isPresent)
    function isPresent(host: CoreHost): boolean {
      return !host.isRemoved
    }
  }
  return {
    sim,
    hosts: boxes,
    front,
    coreSetsByEpoch,
    reportViolation,
    add,
    start,
    kill,
    terminate,
    startFront,
    killFront,
    latestCoreSet: latest,
    isSettled,
    isFullyVoting: whole,
    liveAgents,
    canLoseDisksOf,
    presentHosts: present,
  }
}
