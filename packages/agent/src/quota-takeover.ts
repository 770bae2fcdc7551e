import {
  LEASE_CLOCK_SLACK_MS,
  LEASE_DURATION_MS,
  LEASE_RENEWAL_TIMEOUT_MS,
  QUOTA_METER_WINDOW_MS,
} from '@claynotch/base'

/**
 * ms. The holder before grants nothing any more once so much has passed since a later term was committed: what it knows of the register
 * is current for no longer than a lease.
 */
const OLD_HOLDER_END_MS = LEASE_DURATION_MS + 2 * LEASE_CLOCK_SLACK_MS
/** ms. A renewal that was begun before a later term was committed has ended by then, and what it renewed is in every list. */
const RENEWALS_END_MS = LEASE_RENEWAL_TIMEOUT_MS + LEASE_CLOCK_SLACK_MS
/** ms. What was sent before is out of every window once so much has passed. */
const SETTLED_MS = QUOTA_METER_WINDOW_MS

/** A front machine of which it isn't known yet what its proxy may use. at: when this life of the proxy was heard of first. */
type Owing = { life: string | undefined; at: number; hasTold: boolean }

/**
 * What a new holder waits for, as it knows nothing of what its predecessor granted.
 *
 * Invariants:
 * - isAlone: no holder of an earlier term answers any more. What a proxy tells before that may be overtaken by such an answer. One
 *   that had no lease when the slot was claimed may have got it back just before, and know of no later term for as long as it holds.
 * - isOver: whatever was granted under earlier terms is known, or can't be used and has left every window. It stays so.
 */
export type Takeover = {
  isSoleHolder: () => boolean
  /** A complete read that was begun then shows that the holder before has no lease. */
  predecessorAbsent: (beganAt: number) => void
  isComplete: () => boolean
  /** The proxy of that life, on that node, asked; whether it was answered or not. */
  heard: (node: string, life: string) => void
  /** Since when no earlier life of the node's proxy can have used anything that isn't known. */
  heardAt: (node: string) => number
  /** What it holds is known, as it was answered. */
  answered: (node: string) => void
  /** Nodes with a proxy as renewals tell of them, which may be late. */
  nodesListed: (nodes: ReadonlySet<string>) => void
  /** Nodes with a proxy as a complete read shows them that was begun then. */
  read: (nodes: ReadonlySet<string>, beganAt: number) => void
  /** A complete read would bring it further, given what is listed. */
  needsRead: (listed: ReadonlySet<string>) => boolean
}

/**
 * since: when the claim was known to be committed. isFirst: there was no holder before, so that nothing is out. hasEnded: the holder
 * before has ended for sure, or gave the slot up itself.
 */
export function makeTakeover(now: () => number, since: number, isFirst: boolean, hasEnded = false): Takeover {
  const owing = new Map<string, Owing>()
  // quietSince: no node that owed an answer is known to have gone since, and the nodes are known as of then.
  let quietSince: number | undefined
  // isClosed: whoever comes from now on had no lease when another holder could grant.
  let isClosed = false
  let isDone = isFirst
  let isPredecessorOver = isFirst || hasEnded

  function isAlone(): boolean {
    return isPredecessorOver || now() >= since + OLD_HOLDER_END_MS
  }
  function predecessorAbsent(beganAt: number): void {
    if (beganAt >= since + RENEWALS_END_MS) isPredecessorOver = true
  }
  function expect(nodes: ReadonlySet<string>): void {
    if (isClosed) return
    for (const node of nodes) if (!owing.has(node)) owing.set(node, { life: undefined, at: now(), hasTold: false })
  }
  function forget(present: ReadonlySet<string>): void {
    for (const [node, { hasTold }] of owing) {
      if (present.has(node)) continue
      owing.delete(node)
      // It may have used what it held until just now.
      if (!hasTold) quietSince = now()
    }
  }
  function read(nodes: ReadonlySet<string>, beganAt: number): void {
    quietSince ??= now()
    expect(nodes)
    if (isAlone() && beganAt >= aloneFrom()) isClosed = true
    forget(nodes)
  }
  function aloneFrom(): number {
    return isPredecessorOver ? since : since + OLD_HOLDER_END_MS
  }
  function heard(node: string, life: string): void {
    const old = owing.get(node)
    if (old?.life === life || (isClosed && !old)) return
    // An earlier life may have used what it held until just now.
    owing.set(node, { life, at: now(), hasTold: false })
  }
  function heardAt(node: string): number {
    return owing.get(node)?.at ?? -Infinity
  }
  function told(node: string): void {
    const one = owing.get(node)
    if (one) one.hasTold = true
  }
  function isSettled({ at, hasTold }: Owing): boolean {
    return hasTold && now() >= at + SETTLED_MS
  }
  function isOver(): boolean {
    if (isDone) return true
    if (!isClosed || quietSince === undefined || now() < quietSince + SETTLED_MS) return false
    isDone = [...owing.values()].every(isSettled)
    return isDone
  }
  function needsRead(listed: ReadonlySet<string>): boolean {
    if (isDone) return false
    if (quietSince === undefined || (isAlone() && !isClosed)) return true
    if (!isAlone() && now() >= since + RENEWALS_END_MS) return true
    for (const [node, { hasTold }] of owing) if (!hasTold && !listed.has(node)) return true
    return false
  }
  return { isSoleHolder: isAlone, predecessorAbsent, isComplete: isOver, heard, heardAt, answered: told, nodesListed: expect, read, needsRead }
}
