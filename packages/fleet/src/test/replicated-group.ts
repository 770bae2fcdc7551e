import { makeFlag, makeMetrics, Err, Ok, type Result, type World } from '@claynotch/base'
import { startFailover, type FailoverView, type InstanceObservations } from '@claynotch/failover'
import type { PromotionRequest, PromotionResult } from '@claynotch/host'
import type { InstanceAddress, InstanceAdapter, Status } from '@claynotch/instance'
import type { ConfigurationBody } from '@claynotch/operator'
import {
  groupKey,
  ZERO_BALLOT,
  type RegisterOutcome,
  type GroupRecord,
  type InstanceStatus,
  type Member,
  type Proposer,
  type RegisterEdit,
  type RegisterValue,
} from '@claynotch/register'
import { makeSim, type Sim } from '../sim.js'

// A plain model of one replicated group, and the real failover duty over it. Nothing is sent: a status is a look at the model.
// A commit is acknowledged once a replica has it too, as with sync 1.

const GROUP = 'ledger'
const NODE = 'holder'
/** ms from a promotion call until the instance leads. */
const PROMOTION_MS = 200
/** ms after its crash for which an instance still counts as announced; one that leaves does for the whole of a test. */
const ANNOUNCED_MS = 3500
const INSTANCE_ERROR: Result<Status, string> = Err('no answer')

export type ModelInstance = {
  name: string
  addr: string
  isUp: boolean
  /** Answers that it has no time to tell its status. */
  isBusy: boolean
  /** Not reached by the cores and the holder, though its leader reaches it. */
  isCutOff: boolean
  isLeaving: boolean
  hasSignedOff: boolean
  role: 'leader' | 'follower'
  term: number
  /** The log: number of commits that it holds. */
  position: number
  silentSince: number
}

export type ReplicatedGroup = {
  sim: Sim
  instances: Map<string, ModelInstance>
  /** The highest commit that a client was told to be done. */
  acknowledged: () => number
  /** What the proxies tell the cores: the end of the leader's log as of their last acknowledged commit. */
  reported: { position: number | undefined }
  leader: () => ModelInstance | undefined
  record: () => GroupRecord | undefined
  /** Who was promoted, with the commits that it held then. */
  promotions: { name: string; position: number; acknowledged: number }[]
  add: (name: string, addr: string, position: number) => ModelInstance
  /**
   * The leader takes a commit, where proxies send it writes, which only these replicas receive; acknowledged if there are any.
   */
  commit: (receivers: string[]) => void
  /** The leader appends a commit of a proxy that may send it; its number. */
  append: () => number
  /** These replicas receive all that the leader has. */
  replicate: (receivers: string[]) => void
  /** Whether a replica of this leader has received a commit. */
  isReplicated: (position: number) => boolean
  /** A client was told that a commit is done. */
  acknowledge: (position: number) => void
  /** The members as a majority of cores knows them; one proxy that applies everything at once where it isn't set. */
  members: { read: (() => MembersRead) | undefined }
  /** The version of the group's record. */
  version: () => number
  crash: (name: string) => void
  restart: (name: string) => void
  begin: () => Promise<void>
  wait: (ms: number) => Promise<void>
  sync: { value: 0 | 1 }
}

type MembersRead = { members: Member[]; isComplete: boolean }

export function makeReplicatedGroup(seed: number, names: string[]): ReplicatedGroup {
  const sim = makeSim(seed, { keepLines: true })
  const instances = new Map<string, ModelInstance>()
  const registers = new Map<string, RegisterValue>()
  const promotions: ReplicatedGroup['promotions'] = []
  const reported: ReplicatedGroup['reported'] = { position: undefined }
  const sync: ReplicatedGroup['sync'] = { value: 1 }
  const stop = makeFlag()
  let acknowledged = 0
  // The highest commit that a replica received from the present leader.
  let replicated = 0
  let term = 1

  function add(name: string, addr: string, position: number): ModelInstance {
    const instance: ModelInstance = {
      name,
      addr,
      isUp: true,
      isBusy: false,
      isCutOff: false,
      isLeaving: false,
      hasSignedOff: false,
      role: 'follower',
      term,
      position,
      silentSince: 0,
    }
    instances.set(name, instance)
    return instance
  }
  for (const [k, name] of names.entries()) add(name, `10.1.0.${k + 1}:80`, 0)
  instances.get(names[0])!.role = 'leader'

  function leader(): ModelInstance | undefined {
    for (const one of instances.values()) if (one.isUp && one.role === 'leader' && one.term === term) return one
    return undefined
  }
  /** The fence at the proxies: writes go to the leader that the record names, and to nobody while it is replaced. */
  function isOpenFor({ name }: ModelInstance): boolean {
    const { phase, leader: recorded } = record() ?? {}
    return recorded === name && (phase === 'steady' || phase === 'drain')
  }
  function append(): number {
    return ++leader()!.position
  }
  function replicate(receivers: string[]): void {
    const from = leader()
    if (!from) return
    for (const name of receivers) {
      const to = instances.get(name)
      if (!to?.isUp || to === from) continue
      to.position = from.position
      to.term = term
      replicated = from.position
    }
  }
  function isReplicated(position: number): boolean {
    return replicated >= position
  }
  function acknowledge(position: number): void {
    acknowledged = Math.max(acknowledged, position)
  }
  function commit(receivers: string[]): void {
    const from = leader()
    if (!from || !isOpenFor(from)) return
    const position = append()
    replicate(receivers)
    if (isReplicated(position)) acknowledge(position)
  }
  function crash(name: string): void {
    const instance = instances.get(name)!
    instance.isUp = false
    instance.silentSince = sim.now()
  }
  function restart(name: string): void {
    const instance = instances.get(name)!
    instance.isUp = true
    if (instance.term < term) follow(instance)
  }
  function follow(instance: ModelInstance): void {
    const from = leader()
    if (!from || from === instance) return
    instance.role = 'follower'
    instance.term = term
    instance.position = from.position
  }

  // --- what the duty sees ---

  function isAnnounced(instance: ModelInstance): boolean {
    if (instance.isUp && !instance.isCutOff) return true
    return instance.hasSignedOff || instance.isLeaving || sim.now() - instance.silentSince < ANNOUNCED_MS
  }
  function instancesOf(): InstanceStatus[] {
    const out: InstanceStatus[] = []
    for (const one of instances.values()) {
      if (!isAnnounced(one)) continue
      const { name, addr, role } = one
      const leaving = one.isLeaving || one.hasSignedOff
      const age = one.isUp ? 50 : sim.now() - one.silentSince
      const sequence = one.hasSignedOff ? 2 ** 52 : undefined
      out.push({ name, group: GROUP, addr, area: 'a', role, leaving, age, ...(sequence ? { sequence } : {}) })
    }
    return out
  }
  function statusOf(who: InstanceAddress): Result<Status, string> {
    const one = instances.get(who.name)
    if (!one?.isUp || one.isCutOff || one.addr !== who.addr) return INSTANCE_ERROR
    if (one.isBusy) return Err('busy')
    const mark = { epoch: one.term, position: one.position }
    return Ok({ role: one.role, mark, name: one.name, group: GROUP, epoch: one.term })
  }
  function status(_world: World, who: InstanceAddress): Promise<Result<Status, string>> {
    return Promise.resolve(statusOf(who))
  }
  function demote(_world: World, who: InstanceAddress): Promise<Result<Status, string>> {
    const one = instances.get(who.name)
    if (one?.isUp && one.role === 'leader' && one.term < term) follow(one)
    return Promise.resolve(statusOf(who))
  }
  function reports(): InstanceObservations[] {
    const goodAgeMs = new Map<string, number>()
    const badAgeMs = new Map<string, number>()
    for (const one of instances.values()) {
      if (one.role !== 'leader') continue
      if (one.isUp) goodAgeMs.set(one.name, 20)
      else badAgeMs.set(one.name, sim.now() - one.silentSince)
    }
    return [
      { goodAgeMs, badAgeMs },
      { goodAgeMs, badAgeMs },
    ]
  }
  function promotion(_world: World, _at: unknown, { instance: name }: PromotionRequest): Promise<PromotionResult> {
    const one = instances.get(name)
    if (!one?.isUp) return Promise.resolve({ end: 'refused', why: 'not running' })
    function lead(): void {
      if (!one!.isUp || (one!.role === 'leader' && one!.term === term)) return
      term++
      one!.role = 'leader'
      one!.term = term
      replicated = 0
      promotions.push({ name, position: one!.position, acknowledged })
      for (const other of instances.values()) if (other.isUp && other !== one) follow(other)
    }
    sim.at(PROMOTION_MS, lead)
    return Promise.resolve({ end: 'done', why: '' })
  }
  function done(key: string): Promise<RegisterOutcome> {
    return Promise.resolve({ done: true, value: registers.get(key), ballot: ZERO_BALLOT })
  }
  function change(key: string, edit: RegisterEdit): Promise<RegisterOutcome> {
    const now = registers.get(key)
    const next = edit(now)
    if (next) registers.set(key, { turn: (now?.turn ?? 0) + 1, ...next })
    return done(key)
  }
  const members: ReplicatedGroup['members'] = { read: undefined }
  function askMembers(): Promise<MembersRead> {
    if (members.read) return Promise.resolve(members.read())
    const acks: [string, number][] = []
    for (const [key, value] of registers) acks.push([key, value.turn])
    const highs: [string, number, number][] = []
    if (reported.position !== undefined) highs.push([GROUP, term, reported.position])
    const described = { area: 'a', addr: '10.2.0.1:80', operator: '', build: 'b', proxy: true }
    const member = { node: 'front', life: 'x', ...described, acks, highs, open: 0 }
    return Promise.resolve({ members: [member], isComplete: true })
  }
  function body(): ConfigurationBody {
    const groups = [{ name: GROUP, connections: 90, sync: sync.value }]
    return { epoch: 1, config: { proxies: 'live', groups, lanes: [] }, streams: [], history: [] }
  }
  function always(): number {
    return Infinity
  }
  const instance = { exact: false, named: false, status, demote } as unknown as InstanceAdapter
  const proposer: Proposer = { change, read: done, look: done }
  const view: FailoverView = {
    node: NODE,
    suspicionTimeoutMs: 2500,
    instance,
    promotion,
    platform,
    proposer,
    leaseExpiresAt: always,
    live,
    groups,
    register,
    learn,
    instancesOf,
    observations: reports,
    askMembers,
    body,
    metrics: makeMetrics(),
  }
  function platform(): undefined {
    return undefined
  }
  function live(): string[] {
    return [NODE]
  }
  function groups(): string[] {
    return [GROUP]
  }
  function register(key: string): RegisterValue | undefined {
    return registers.get(key)
  }
  function learn(): void {
    // The model has one copy of each register.
  }
  function record(): GroupRecord | undefined {
    return registers.get(groupKey(GROUP))?.body as GroupRecord | undefined
  }
  function version(): number {
    return registers.get(groupKey(GROUP))?.turn ?? 0
  }
  async function wait(ms: number): Promise<void> {
    await sim.run(sim.now() + ms)
  }
  function start(world: World): Promise<void> {
    startFailover(world, view, stop)
    return Promise.resolve()
  }
  async function begin(): Promise<void> {
    sim.spawn(sim.machine(NODE, '10.3.0.1'), NODE, start)
    await wait(5000)
  }
  function acknowledgedNow(): number {
    return acknowledged
  }
  return {
    sim,
    instances,
    acknowledged: acknowledgedNow,
    reported,
    leader,
    record,
    promotions,
    add,
    commit,
    append,
    replicate,
    isReplicated,
    acknowledge,
    members,
    version,
    crash,
    restart,
    begin,
    wait,
    sync,
  }
}
