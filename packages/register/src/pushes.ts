import { DELTA_LINK_VERSION, MAX_KEPT_DELTAS, type Hello, type Link, type Metrics } from '@claynotch/base'
import { compareBallots, type Ballot } from './ballot.js'
import { encodedSizeOf, makeDelta, type Delta } from './delta.js'
import type { AcceptedListener, RegisterEntry, RegisterStore, RegisterValue } from './register-store.js'
import type { Deltas } from './messages.js'

/**
 * What a core tells its agents of settled registers: to those that subscribed, and to programs of before subscriptions.
 *
 * Invariants: only what is settled and on this core's disk is pushed; a push by deltas builds on exactly what this link was
 * told last, or said that it has.
 */

type Step = { base: Ballot; ballot: Ballot; delta: Delta; bytes: number }

/** The last changes of each register that this core took, as deltas from one ballot to the next. */
export type DeltaChains = {
  recordAccepted: AcceptedListener
  /** What makes the value at the second ballot of the one at the first; undefined: not kept, or no shorter than the value. */
  deltasBetween: (key: string, from: Ballot, to: Ballot) => Delta[] | undefined
}

export function makeDeltaChains(): DeltaChains {
  // bytes: of all steps of one register together; they are kept while that is less than its value had when the chain began
  // (whole), so that a path is shorter than the value. A value isn't measured at each change: that costs its whole length.
  const chains = new Map<string, { steps: Step[]; bytes: number; whole: number }>()

  function taken(key: string, before: RegisterEntry, after: RegisterEntry, told: Delta | undefined): void {
    // The same value at a later ballot, or another: either way what was accepted before is what this one follows here.
    const delta = before.value === undefined ? undefined : (told ?? makeDelta(before.value, after.value))
    if (!delta) {
      chains.delete(key)
      return
    }
    const chain = chains.get(key) ?? { steps: [], bytes: 0, whole: encodedSizeOf(after.value) }
    const bytes = encodedSizeOf(delta)
    chain.steps.push({ base: before.ballot, ballot: after.ballot, delta, bytes })
    chain.bytes += bytes
    while (chain.steps.length > MAX_KEPT_DELTAS || chain.bytes >= chain.whole) chain.bytes -= chain.steps.shift()!.bytes
    // The next one begins with its own measure.
    if (chain.steps.length === 0) chains.delete(key)
    else chains.set(key, chain)
  }
  function path(key: string, from: Ballot, to: Ballot): Delta[] | undefined {
    const out: Delta[] = []
    let at: Ballot | undefined
    for (const step of chains.get(key)?.steps ?? []) {
      if (at === undefined && compareBallots(step.base, from) !== 0) continue
      if (at !== undefined && compareBallots(step.base, at) !== 0) return undefined
      out.push(step.delta)
      at = step.ballot
      if (compareBallots(at, to) === 0) return out
    }
    return undefined
  }
  return { recordAccepted: taken, deltasBetween: path }
}

/** One agent's link. has: the ballot of each register that it was told last, or said that it has; undefined: not subscribed. */
type Listening = { node: string; num: number; acked: number; old: boolean; has: Map<string, Ballot> | undefined }

export type Pushes = {
  addLink: (link: Link, peer: Hello) => void
  removeLink: (link: Link) => void
  subscribe: (link: Link, have: [string, Ballot][]) => void
  unsubscribe: (link: Link) => void
  recordAck: (link: Link, num: number) => void
  /** The register is settled at what this core holds of it. */
  push: (key: string) => void
  linkedNodes: () => string[]
  closeAll: () => void
}

export function makePushes(
  store: RegisterStore,
  chains: DeltaChains,
  isSettled: (key: string, c: RegisterEntry) => boolean,
  metrics: Metrics,
): Pushes {
  const agents = new Map<Link, Listening>()

  function linked(link: Link, peer: Hello): void {
    agents.set(link, { node: peer.node, num: 0, acked: 0, old: peer.epoch < DELTA_LINK_VERSION, has: undefined })
  }
  function lost(link: Link): void {
    agents.delete(link)
  }
  function wordFor(
    listener: Listening,
    key: string,
    entry: RegisterEntry,
  ): { value: RegisterValue } | Deltas | undefined {
    const value = entry.value as RegisterValue
    if (listener.old) return { value }
    const base = listener.has?.get(key)
    if (!base) return { value }
    if (compareBallots(base, entry.ballot) >= 0) return undefined
    const deltas = chains.deltasBetween(key, base, entry.ballot)
    return deltas ? { base, deltas } : { value }
  }
  function tell(link: Link, listener: Listening, key: string, entry: RegisterEntry): void {
    if (!listener.old && !listener.has) return
    const word = wordFor(listener, key, entry)
    if (!word) return
    listener.num++
    listener.has?.set(key, entry.ballot)
    link.tell({ t: 'push', num: listener.num, key, ballot: entry.ballot, ...word })
    metrics.add('claynotch_core_pushes_total', [['as', 'value' in word ? 'value' : 'deltas']])
  }
  function pushable(key: string): RegisterEntry | undefined {
    const c = store.entries().get(key)
    return c?.value && isSettled(key, c) && store.isWritten(key) ? c : undefined
  }
  function push(key: string): void {
    const c = pushable(key)
    if (c) for (const [link, listener] of agents) tell(link, listener, key, c)
  }
  function subscribe(link: Link, have: [string, Ballot][]): void {
    const a = agents.get(link)
    if (!a || a.old) return
    a.has = new Map(have)
    for (const key of store.entries().keys()) {
      const c = pushable(key)
      if (c) tell(link, a, key, c)
    }
  }
  function unsubscribe(link: Link): void {
    const a = agents.get(link)
    if (a) a.has = undefined
  }
  function acked(link: Link, num: number): void {
    const a = agents.get(link)
    if (a) a.acked = Math.max(a.acked, num)
  }
  function nodes(): string[] {
    const out: string[] = []
    for (const listener of agents.values()) out.push(listener.node)
    return out
  }
  function closeAll(): void {
    for (const link of agents.keys()) link.close()
  }
  return { addLink: linked, removeLink: lost, subscribe, unsubscribe, recordAck: acked, push, linkedNodes: nodes, closeAll }
}
