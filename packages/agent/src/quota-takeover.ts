import {
  LEASE_CLOCK_SLACK_MS,
  LEASE_DURATION_MS,
  LEASE_RENEWAL_TIMEOUT_MS,
  QUOTA_METER_WINDOW_MS,
} from '@claynotch/base'

/**
 * Time (ms) after the commit of a later term from which the previous holder grants nothing any more: its knowledge of
 * the register is current for no longer than a lease.
 */
const PREDECESSOR_EXPIRY_MS = LEASE_DURATION_MS + 2 * LEASE_CLOCK_SLACK_MS
/**
 * Time (ms) after the commit of a later term by which every renewal that began before it has ended, so that the lease
 * that it renewed is in every complete read of the members.
 */
const RENEWAL_COMPLETION_MS = LEASE_RENEWAL_TIMEOUT_MS + LEASE_CLOCK_SLACK_MS
/** Time (ms) after which an operation that was sent is outside every window. */
const USAGE_EXPIRY_MS = QUOTA_METER_WINDOW_MS

/**
 * What is known of the proxy of one node. life is undefined until the proxy asks; knownSince is the local time (ms) at
 * which this incarnation became known; hasReported: what it may use is known.
 */
type ProxyState = { life: string | undefined; knownSince: number; hasReported: boolean }

/**
 * Tracks what a new quota holder must wait for, because it doesn't know what its predecessor granted.
 *
 * Invariants:
 * - Once this is the sole holder, no holder of an earlier term answers any more. Before that, such an answer could
 *   supersede what a proxy reports here. A predecessor that had no lease when the slot was claimed may have regained
 *   it just before, and not learn of the later term for as long as that lease lasts.
 * - Once the takeover is complete, everything that was granted under earlier terms is known, or can't be used any more
 *   and has left every window. It stays complete.
 */
export type Takeover = {
  /** Whether this is the only holder that answers. */
  isSoleHolder: () => boolean
  /** Records that a complete read, begun at beganAt, shows that the previous holder has no lease. */
  predecessorAbsent: (beganAt: number) => void
  /** Whether the takeover is complete. */
  isComplete: () => boolean
  /** Records that this incarnation of the node's proxy asked, whether it is answered or not. */
  heard: (node: string, life: string) => void
  /** Local time (ms) since which no earlier incarnation of the node's proxy can have used anything that isn't known. */
  proxyKnownSince: (node: string) => number
  /** Records that the node's proxy was answered, so what it holds is known. */
  answered: (node: string) => void
  /** Adds the nodes with a proxy that lease renewals report, which may be out of date. */
  nodesListed: (nodes: ReadonlySet<string>) => void
  /** Applies a complete read of the nodes with a proxy that began at beganAt. */
  read: (nodes: ReadonlySet<string>, beganAt: number) => void
  /** Whether a complete read would advance the takeover, given the listed nodes. */
  needsRead: (listed: ReadonlySet<string>) => boolean
}

/**
 * since: local time (ms) at which the claim was known to be committed. isFirst: there was no holder before, so
 * nothing is outstanding. hasEnded: the previous holder has certainly ended, or released the slot itself.
 */
export function makeTakeover(now: () => number, since: number, isFirst: boolean, hasEnded = false): Takeover {
  const proxyStates = new Map<string, ProxyState>()
  /** Local time (ms) since which the nodes are known and none of them has disappeared before it reported. */
  let noLossSince: number | undefined
  /** Nodes that appear from now on had no lease while another holder could grant. */
  let isNodeSetFinal = false
  let isDone = isFirst
  let hasPredecessorExpired = isFirst || hasEnded

  function isSoleHolder(): boolean {
    return hasPredecessorExpired || now() >= since + PREDECESSOR_EXPIRY_MS
  }
  function predecessorAbsent(beganAt: number): void {
    if (beganAt >= since + RENEWAL_COMPLETION_MS) hasPredecessorExpired = true
  }
  function expectNodes(nodes: ReadonlySet<string>): void {
    if (isNodeSetFinal) return
    for (const node of nodes)
      if (!proxyStates.has(node)) proxyStates.set(node, { life: undefined, knownSince: now(), hasReported: false })
  }
  function removeAbsent(present: ReadonlySet<string>): void {
    for (const [node, { hasReported }] of proxyStates) {
      if (present.has(node)) continue
      proxyStates.delete(node)
      // Its proxy may have used what it held until now.
      if (!hasReported) noLossSince = now()
    }
  }
  function read(nodes: ReadonlySet<string>, beganAt: number): void {
    noLossSince ??= now()
    expectNodes(nodes)
    if (isSoleHolder() && beganAt >= soleHolderFrom()) isNodeSetFinal = true
    removeAbsent(nodes)
  }
  function soleHolderFrom(): number {
    return hasPredecessorExpired ? since : since + PREDECESSOR_EXPIRY_MS
  }
  function heard(node: string, life: string): void {
    const state = proxyStates.get(node)
    if (state?.life === life || (isNodeSetFinal && !state)) return
    // An earlier incarnation may have used what it held until now.
    proxyStates.set(node, { life, knownSince: now(), hasReported: false })
  }
  function proxyKnownSince(node: string): number {
    return proxyStates.get(node)?.knownSince ?? -Infinity
  }
  function answered(node: string): void {
    const state = proxyStates.get(node)
    if (state) state.hasReported = true
  }
  function isSettled({ knownSince, hasReported }: ProxyState): boolean {
    return hasReported && now() >= knownSince + USAGE_EXPIRY_MS
  }
  function isComplete(): boolean {
    if (isDone) return true
    if (!isNodeSetFinal || noLossSince === undefined || now() < noLossSince + USAGE_EXPIRY_MS) return false
    isDone = [...proxyStates.values()].every(isSettled)
    return isDone
  }
  function needsRead(listed: ReadonlySet<string>): boolean {
    if (isDone) return false
    if (noLossSince === undefined || (isSoleHolder() && !isNodeSetFinal)) return true
    if (!isSoleHolder() && now() >= since + RENEWAL_COMPLETION_MS) return true
    for (const [node, { hasReported }] of proxyStates) if (!hasReported && !listed.has(node)) return true
    return false
  }
  return {
    isSoleHolder,
    predecessorAbsent,
    isComplete,
    heard,
    proxyKnownSince,
    answered,
    nodesListed: expectNodes,
    read,
    needsRead,
  }
}
