import { LEASE_CLOCK_SLACK_MS, LEASE_DURATION_MS } from '@claynotch/base'
import { comparePositions, type LogPosition } from '@claynotch/instance'
import { groupKey, type GroupRecord, type Member } from '@claynotch/register'
import type { ModelInstance, ReplicatedGroup } from './replicated-group.js'

// A plain model of the nodes through which clients write to a replicated group, each an agent and a proxy, and of the rule of
// docs/design/acknowledged-commits.md: whom their words would let be promoted, whoever else is silent. The product doesn't have
// this rule yet. A commit is sent, received by replicas and answered in steps of its own, so that several are in flight.

/** ms until each node learns of a new version, in turn. */
const LEARNING_DELAYS_MS = [0, 40, 150]
/** ms until an agent and a proxy of one node are linked once both are up. */
const LINK_DELAY_MS = 60

/** What is wrong with the rule: each flaw takes one part of it out. */
export type Flaw =
  'none' | 'no-wait' | 'word-left-out' | 'older-word' | 'log-end' | 'no-base' | 'next-life-speaks' | 'agent-told-later'

type ModelProxy = {
  bornAt: number
  isFrozen: boolean
  /** The highest log end in an answer that it passed on as success. */
  word: LogPosition | undefined
  /** Numbers of the commits that were sent and are not answered. */
  unanswered: number[]
}

type ModelAgent = {
  /** The highest position that a proxy of this node told it. */
  told: LogPosition | undefined
  /** When the oldest proxy began that was linked to it. */
  reachesBackTo: number
  isLinked: boolean
}

export type ModelNode = {
  name: string
  agent: ModelAgent | undefined
  proxy: ModelProxy | undefined
  isCutOff: boolean
  /** When agent and proxy were last both up, for the first time since one wasn't. */
  bothUpAt: number
  /** Up to when a proxy may work by what it was fed. */
  fedUntil: number
  /** Up to when an agent must think that the one before it has fed a proxy. */
  predecessorUntil: number
  leaseUntil: number
  /** The ends of the leases of agents that ended without a word. */
  endedLeases: number[]
  /** The record by which its proxy works. */
  known: GroupRecord | undefined
  acknowledgedVersion: number
  /** What it had told when it acknowledged the version before. */
  olderWord: LogPosition | undefined
}

export type Proxies = {
  nodes: ModelNode[]
  send: (node: ModelNode) => void
  /** All that may be answered to this node's clients is. */
  answer: (node: ModelNode) => void
  /** Its client reads at the leader, and so sees the end of the log. */
  read: (node: ModelNode) => void
  killProxy: (node: ModelNode) => void
  startProxy: (node: ModelNode) => void
  killAgent: (node: ModelNode) => void
  startAgent: (node: ModelNode) => void
  /** The holder reads the leader's position. */
  readBase: () => void
  /** Looks at the record, lets nodes learn of it, and asks the rule. */
  look: () => void
  finding: () => string | undefined
  /** Stops of writes, by version of the record; those of them that the rule would have ended. */
  stops: Set<number>
  ended: Set<number>
}

function later(a: LogPosition | undefined, b: LogPosition | undefined): LogPosition | undefined {
  if (!a || !b) return a ?? b
  return comparePositions(a, b) >= 0 ? a : b
}

export function makeProxies(group: ReplicatedGroup, groupName: string, count: number, flaw: Flaw): Proxies {
  const nodes: ModelNode[] = []
  const stops = new Set<number>()
  const ended = new Set<number>()
  let base = { at: group.sim.now(), position: { epoch: 1, position: 0 } }
  let seen = { version: -1, at: 0, promotions: 0 }
  let lastAcknowledged: LogPosition | undefined
  // isInOrder: no two commits were in flight beside each other, so that the log's end was the number of each that was acknowledged.
  let isInOrder = true
  let found: string | undefined
  // allowed: the least position with which the rule would have let one be promoted in this stop.
  let allowed: { version: number; position: number } | undefined

  function now(): number {
    return group.sim.now()
  }
  for (let k = 0; k < count; k++) {
    nodes.push({
      name: `front-${k}`,
      agent: { told: undefined, reachesBackTo: now() - 1, isLinked: true },
      proxy: { bornAt: now() - 1, isFrozen: false, word: undefined, unanswered: [] },
      isCutOff: false,
      bothUpAt: -Infinity,
      fedUntil: now() + LEASE_DURATION_MS,
      predecessorUntil: 0,
      leaseUntil: now() + LEASE_DURATION_MS,
      endedLeases: [],
      known: group.record(),
      acknowledgedVersion: group.version(),
      olderWord: undefined,
    })
  }
  group.members.read = members

  // --- what nodes do ---

  /** The instance to which this node's proxy may send writes now, and whose answers count. */
  function leaderFor({ proxy, known, fedUntil }: ModelNode): ModelInstance | undefined {
    if (!proxy || proxy.isFrozen || now() >= fedUntil) return undefined
    if (known?.phase !== 'steady' && known?.phase !== 'drain') return undefined
    const leader = group.leader()
    return leader?.name === known.leader ? leader : undefined
  }
  function send(node: ModelNode): void {
    if (!leaderFor(node)) return
    for (const { proxy } of nodes) if ((proxy?.unanswered.length ?? 0) > 0) isInOrder = false
    node.proxy!.unanswered.push(group.append())
  }
  function hear(node: ModelNode, position: LogPosition): void {
    node.proxy!.word = later(node.proxy!.word, position)
    // It is told before the client is answered.
    if (node.agent?.isLinked && flaw !== 'agent-told-later') node.agent.told = later(node.agent.told, position)
  }
  function answer(node: ModelNode): void {
    const leader = leaderFor(node)
    if (!node.proxy || node.proxy.isFrozen) return
    const { unanswered } = node.proxy
    if (!leader) {
      // They are answered as unknown.
      unanswered.length = 0
      return
    }
    for (const position of unanswered.splice(0)) {
      if (!group.isReplicated(position)) {
        unanswered.push(position)
        continue
      }
      hear(node, { epoch: leader.term, position: leader.position })
      group.acknowledge(position)
      lastAcknowledged = later(lastAcknowledged, { epoch: leader.term, position })
      if (allowed && position > allowed.position)
        found ??= `commit ${position} was acknowledged after the rule had let one with ${allowed.position} be promoted`
    }
  }
  function read(node: ModelNode): void {
    const leader = leaderFor(node)
    if (leader && flaw === 'log-end') hear(node, { epoch: leader.term, position: leader.position })
  }
  function killProxy(node: ModelNode): void {
    node.proxy = undefined
    if (node.agent) node.agent.isLinked = false
  }
  function startProxy(node: ModelNode): void {
    if (node.proxy) return
    node.proxy = { bornAt: now(), isFrozen: false, word: undefined, unanswered: [] }
    node.known = undefined
    node.bothUpAt = now()
  }
  function killAgent(node: ModelNode): void {
    if (!node.agent) return
    node.agent = undefined
    node.endedLeases.push(node.leaseUntil)
  }
  function startAgent(node: ModelNode): void {
    if (node.agent) return
    node.agent = { told: undefined, reachesBackTo: Infinity, isLinked: false }
    node.acknowledgedVersion = 0
    node.bothUpAt = now()
    node.predecessorUntil = now() + LEASE_DURATION_MS
  }
  function link(node: ModelNode): void {
    const { agent, proxy } = node
    if (!agent || !proxy || proxy.isFrozen || now() - node.bothUpAt < LINK_DELAY_MS) return
    if (!agent.isLinked || (flaw === 'agent-told-later' && node.acknowledgedVersion !== seen.version))
      agent.told = later(agent.told, proxy.word)
    agent.isLinked = true
    agent.reachesBackTo = Math.min(agent.reachesBackTo, proxy.bornAt)
  }
  /** The node is in touch with the cores: its lease is renewed, and it learns of the record. */
  function renew(node: ModelNode, delayMs: number): void {
    const { agent, proxy } = node
    if (!agent || node.isCutOff) return
    node.leaseUntil = now() + LEASE_DURATION_MS
    link(node)
    const isFed = agent.isLinked && proxy !== undefined && !proxy.isFrozen
    const isCurrent = now() - seen.at >= delayMs
    if (isFed && isCurrent) node.known = group.record()
    // What isn't known to be current isn't prolonged.
    if (isFed && isCurrent) node.fedUntil = now() + LEASE_DURATION_MS
    const isApplied = isFed || now() > Math.max(node.fedUntil, node.predecessorUntil)
    if (!isCurrent || !isApplied || node.acknowledgedVersion === seen.version) return
    node.olderWord = node.acknowledgedVersion === 0 ? undefined : agent.told
    node.acknowledgedVersion = seen.version
  }
  /** All that the majority of cores lists: a lease ends later there than at its holder. */
  function listed(): ModelNode[] {
    const out: ModelNode[] = []
    for (const node of nodes) if (now() < node.leaseUntil + LEASE_CLOCK_SLACK_MS) out.push(node)
    return out
  }
  function members(): { members: Member[]; isComplete: boolean } {
    look()
    const out: Member[] = []
    const described = { area: 'a', addr: '10.2.0.1:80', operator: '', build: 'b', proxy: true }
    for (const { name, acknowledgedVersion } of listed()) {
      const acks: [string, number][] = [[groupKey(groupName), acknowledgedVersion]]
      out.push({ node: name, life: 'x', ...described, acks, highs: [], open: 0 })
    }
    return { members: out, isComplete: true }
  }

  // --- the rule ---

  /** The word of a node; undefined: it owes it. */
  function wordOf(node: ModelNode): { position: LogPosition | undefined } | undefined {
    const { agent, endedLeases } = node
    if (flaw === 'older-word') return { position: node.olderWord }
    const isOwed = flaw !== 'next-life-speaks' && endedLeases.some(isAfterBase)
    if (!agent || node.isCutOff || node.acknowledgedVersion !== seen.version) return undefined
    // Only a proxy that is older than the base knows that no other one was there since.
    return isOwed && agent.reachesBackTo >= base.at ? undefined : { position: agent.told }
  }
  function isAfterBase(until: number): boolean {
    return until + LEASE_CLOCK_SLACK_MS > base.at
  }
  /** The position that one needs to be promoted at once; undefined: a word is owed. */
  function needed(): LogPosition | undefined {
    let out: LogPosition | undefined = flaw === 'no-base' ? { epoch: 0, position: 0 } : base.position
    for (const [k, node] of nodes.entries()) {
      if (flaw === 'word-left-out' && k === 0) continue
      if (!isAfterBase(node.leaseUntil) && !node.endedLeases.some(isAfterBase)) continue
      const word = wordOf(node)
      if (!word && flaw === 'no-wait') continue
      if (!word) return undefined
      out = later(out, word.position)
    }
    return out
  }
  function haveAllStopped(): boolean {
    if (flaw === 'no-wait') return true
    for (const node of listed()) if (node.acknowledgedVersion !== seen.version) return false
    return true
  }
  function markOf({ term, position }: ModelInstance): LogPosition {
    return { epoch: term, position }
  }
  function ask(): void {
    if (group.record()?.phase !== 'stop' || !haveAllStopped()) return
    stops.add(seen.version)
    const least = needed()
    let mayBeLed = false
    for (const one of group.instances.values()) {
      if (!one.isUp || one.isCutOff || one.isBusy) continue
      const mark = markOf(one)
      if (isDue(mark, least)) mayBeLed = true
      if (!least || comparePositions(mark, least) < 0) continue
      ended.add(seen.version)
      allowed = { version: seen.version, position: Math.min(one.position, allowed?.position ?? Infinity) }
      if (one.position < group.acknowledged())
        found ??= `the rule lets ${one.name} be promoted with ${one.position} of ${group.acknowledged()} acknowledged commits`
    }
    if (mayBeLed && !ended.has(seen.version))
      found ??= 'the rule lets nobody be promoted, though all have spoken and one has every acknowledged commit'
  }
  /** Whether the rule has to let one with this position be promoted: no word is owed, and no commits were in flight beside each other. */
  function isDue(mark: LogPosition, least: LogPosition | undefined): boolean {
    if (!least || !isInOrder) return false
    return comparePositions(mark, later(base.position, lastAcknowledged)!) >= 0
  }
  function readBase(): void {
    const leader = group.leader()
    const { phase, leader: recorded } = group.record() ?? {}
    if (phase !== 'steady' || leader?.name !== recorded || leader?.isCutOff !== false) return
    base = { at: now(), position: markOf(leader) }
  }
  function noteRecord(): void {
    const { length } = group.promotions
    const promoted = group.promotions.at(-1)
    const leader = group.leader()
    if (length !== seen.promotions && promoted && leader) {
      // Whoever was promoted begins with this position; nobody has written to it yet.
      base = { at: now(), position: { epoch: leader.term, position: promoted.position } }
      seen.promotions = length
      for (const { proxy } of nodes) if (proxy) proxy.unanswered.length = 0
    }
    if (group.version() === seen.version) return
    seen = { ...seen, version: group.version(), at: now() }
    allowed = undefined
  }
  function look(): void {
    noteRecord()
    for (const [k, node] of nodes.entries()) renew(node, LEARNING_DELAYS_MS[k % LEARNING_DELAYS_MS.length])
    ask()
  }
  function finding(): string | undefined {
    return found
  }
  return {
    nodes,
    send,
    answer,
    read,
    killProxy,
    startProxy,
    killAgent,
    startAgent,
    readBase,
    look,
    finding,
    stops,
    ended,
  }
}
