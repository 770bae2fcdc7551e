import { DELTA_LINK_VERSION, MAX_KEPT_DELTAS, type Hello, type Link, type Metrics } from '@claynotch/base'
import { compareBallots, type Ballot } from './ballot.js'
import { encodedSizeOf, makeDelta, type Delta } from './delta.js'
import type { AcceptedListener, RegisterEntry, RegisterStore, RegisterValue } from './register-store.js'
import type { Deltas } from './messages.js'

/**
 * Pushes of committed registers from a core to its agents: to those that subscribed, and to releases that don't know
 * subscriptions.
 *
 * Invariants: a value is pushed only if it is committed and on this core's disk; a push by deltas builds on exactly the
 * value that was last sent on this link, or that the agent said it has.
 */

/** One change of a register. bytes: encoded size of the delta. */
type DeltaStep = { base: Ballot; ballot: Ballot; delta: Delta; bytes: number }

/** The latest changes that this core accepted to each register, as deltas from one ballot to the next. */
export type DeltaChains = {
  /** Records an accepted value. */
  recordAccepted: AcceptedListener
  /** The deltas from the value at one ballot to the value at the other; undefined: not kept, or no shorter than it. */
  deltasBetween: (key: string, from: Ballot, to: Ballot) => Delta[] | undefined
}

/** Makes empty chains. */
export function makeDeltaChains(): DeltaChains {
  /**
   * The chain of each register. bytes: total size of its steps. Steps are kept while that is less than wholeBytes, the
   * size of the value when the chain began, so that a path is shorter than the value. The value isn't measured at each
   * change, because that takes time in proportion to its size.
   */
  const chains = new Map<string, { steps: DeltaStep[]; bytes: number; wholeBytes: number }>()

  function recordAccepted(key: string, before: RegisterEntry, after: RegisterEntry, received: Delta | undefined): void {
    // The value may be the same at a later ballot, or another one; in both cases it follows the one accepted before.
    const delta = before.value === undefined ? undefined : (received ?? makeDelta(before.value, after.value))
    if (!delta) {
      chains.delete(key)
      return
    }
    const chain = chains.get(key) ?? { steps: [], bytes: 0, wholeBytes: encodedSizeOf(after.value) }
    const bytes = encodedSizeOf(delta)
    chain.steps.push({ base: before.ballot, ballot: after.ballot, delta, bytes })
    chain.bytes += bytes
    while (chain.steps.length > MAX_KEPT_DELTAS || chain.bytes >= chain.wholeBytes)
      chain.bytes -= chain.steps.shift()!.bytes
    // The next chain begins with the size of its own value.
    if (chain.steps.length === 0) chains.delete(key)
    else chains.set(key, chain)
  }
  function deltasBetween(key: string, from: Ballot, to: Ballot): Delta[] | undefined {
    const deltas: Delta[] = []
    let reached: Ballot | undefined
    for (const step of chains.get(key)?.steps ?? []) {
      if (reached === undefined && compareBallots(step.base, from) !== 0) continue
      if (reached !== undefined && compareBallots(step.base, reached) !== 0) return undefined
      deltas.push(step.delta)
      reached = step.ballot
      if (compareBallots(reached, to) === 0) return deltas
    }
    return undefined
  }
  return { recordAccepted, deltasBetween }
}

/**
 * One agent's link. num: number of the last push; acked: highest number that the agent acknowledged. isOldRelease: the
 * agent doesn't know subscriptions and deltas. heldBallots: the ballot of each register that was last sent on the link,
 * or that the agent said it has; undefined: not subscribed.
 */
type Subscriber = {
  node: string
  num: number
  acked: number
  isOldRelease: boolean
  heldBallots: Map<string, Ballot> | undefined
}

/** Pushes of one core to the agents on its links. */
export type Pushes = {
  addLink: (link: Link, peer: Hello) => void
  removeLink: (link: Link) => void
  /** Sends all committed registers that the agent doesn't hold, and pushes changes from then on. */
  subscribe: (link: Link, have: [string, Ballot][]) => void
  unsubscribe: (link: Link) => void
  recordAck: (link: Link, num: number) => void
  /** Pushes the register if the value that this core holds is committed and on disk. */
  push: (key: string) => void
  /** The nodes of the linked agents. */
  linkedNodes: () => string[]
  closeAll: () => void
}

/** Makes the pushes of a core without links. isCommitted: whether the value of an entry is known to be committed. */
export function makePushes(
  store: RegisterStore,
  chains: DeltaChains,
  isCommitted: (key: string, entry: RegisterEntry) => boolean,
  metrics: Metrics,
): Pushes {
  const agents = new Map<Link, Subscriber>()

  function addLink(link: Link, peer: Hello): void {
    agents.set(link, {
      node: peer.node,
      num: 0,
      acked: 0,
      isOldRelease: peer.epoch < DELTA_LINK_VERSION,
      heldBallots: undefined,
    })
  }
  function removeLink(link: Link): void {
    agents.delete(link)
  }
  /** What the push to this agent carries: the value or deltas; undefined: the agent holds the value already. */
  function contentFor(
    subscriber: Subscriber,
    key: string,
    entry: RegisterEntry,
  ): { value: RegisterValue } | Deltas | undefined {
    const value = entry.value as RegisterValue
    if (subscriber.isOldRelease) return { value }
    const base = subscriber.heldBallots?.get(key)
    if (!base) return { value }
    if (compareBallots(base, entry.ballot) >= 0) return undefined
    const deltas = chains.deltasBetween(key, base, entry.ballot)
    return deltas ? { base, deltas } : { value }
  }
  function pushTo(link: Link, subscriber: Subscriber, key: string, entry: RegisterEntry): void {
    if (!subscriber.isOldRelease && !subscriber.heldBallots) return
    const content = contentFor(subscriber, key, entry)
    if (!content) return
    subscriber.num++
    subscriber.heldBallots?.set(key, entry.ballot)
    link.tell({ t: 'push', num: subscriber.num, key, ballot: entry.ballot, ...content })
    metrics.add('claynotch_core_pushes_total', [['as', 'value' in content ? 'value' : 'deltas']])
  }
  /** The entry of a register if it may be pushed. */
  function pushableEntry(key: string): RegisterEntry | undefined {
    const entry = store.entries().get(key)
    return entry?.value && isCommitted(key, entry) && store.isWritten(key) ? entry : undefined
  }
  function push(key: string): void {
    const entry = pushableEntry(key)
    if (entry) for (const [link, subscriber] of agents) pushTo(link, subscriber, key, entry)
  }
  function subscribe(link: Link, have: [string, Ballot][]): void {
    const subscriber = agents.get(link)
    if (!subscriber || subscriber.isOldRelease) return
    subscriber.heldBallots = new Map(have)
    for (const key of store.entries().keys()) {
      const entry = pushableEntry(key)
      if (entry) pushTo(link, subscriber, key, entry)
    }
  }
  function unsubscribe(link: Link): void {
    const subscriber = agents.get(link)
    if (subscriber) subscriber.heldBallots = undefined
  }
  function recordAck(link: Link, num: number): void {
    const subscriber = agents.get(link)
    if (subscriber) subscriber.acked = Math.max(subscriber.acked, num)
  }
  function linkedNodes(): string[] {
    const names: string[] = []
    for (const subscriber of agents.values()) names.push(subscriber.node)
    return names
  }
  function closeAll(): void {
    for (const link of agents.keys()) link.close()
  }
  return {
    addLink,
    removeLink,
    subscribe,
    unsubscribe,
    recordAck,
    push,
    linkedNodes,
    closeAll,
  }
}
