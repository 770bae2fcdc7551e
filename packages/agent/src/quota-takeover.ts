import { QUOTA_METER_WINDOW_MS } from '@claynotch/base'

/** ms. What was sent before is out of every window once so much has passed. */
const SETTLED_MS = QUOTA_METER_WINDOW_MS

/** A front machine of which it isn't known yet what its proxy may use. at: when this life of the proxy was heard of first. */
type Owing = { life: string | undefined; at: number; hasTold: boolean }

/**
 * What a new holder waits for, as it knows nothing of what its predecessor granted, who has no lease any more.
 *
 * Invariant: isOver: whatever was granted under earlier terms is known, or can't be used and has left every window. It stays so.
 */
export type Takeover = {
  isOver: () => boolean
  /** The proxy of that life, on that node, asked; whether it was answered or not. */
  heard: (node: string, life: string) => void
  /** Since when no earlier life of the node's proxy can have used anything that isn't known. */
  heardAt: (node: string) => number
  /** What it holds is known, as it was answered. */
  told: (node: string) => void
  /** Nodes with a proxy as renewals tell of them, which may be late. */
  listed: (nodes: ReadonlySet<string>) => void
  /** Nodes with a proxy as a complete read shows them that was begun then. */
  read: (nodes: ReadonlySet<string>, beganAt: number) => void
  /** A complete read would bring it further, given what is listed. */
  needsRead: (listed: ReadonlySet<string>) => boolean
}

/** since: when the claim was known to be committed. isFirst: there was no holder before, so that nothing is out. */
export function makeTakeover(now: () => number, since: number, isFirst: boolean): Takeover {
  const owing = new Map<string, Owing>()
  // quietSince: no node that owed an answer is known to have gone since, and the nodes are known as of then.
  let quietSince: number | undefined
  // isClosed: whoever comes from now on had no lease when another holder could grant.
  let isClosed = false
  let isDone = isFirst

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
    if (beganAt >= since) isClosed = true
    forget(nodes)
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
    if (quietSince === undefined || !isClosed) return true
    for (const [node, { hasTold }] of owing) if (!hasTold && !listed.has(node)) return true
    return false
  }
  return { isOver, heard, heardAt, told, listed: expect, read, needsRead }
}
