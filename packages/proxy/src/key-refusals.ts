import { LRUCache } from 'lru-cache'
import {
  KEY_REFUSAL_LOG_INTERVAL_MS,
  MAX_REMEMBERED_KEYS,
  RETRY_AFTER_PROMOTION_S,
  type Metrics,
  type World,
} from '@claynotch/base'
import type { Tenant } from '@claynotch/operator'
import { refusal, type Verdict } from '@claynotch/requester'
import type { LaneRules, Rules } from './rules.js'
import type { State } from './state.js'

/**
 * Why a client's API key was refused. no-key: it sent none; removed: an earlier configuration had the key at this node,
 * and the current one doesn't; unknown: no configuration had it at this node; no-lease: the key isn't known, and
 * without a valid lease this node can't tell whether a later configuration has it.
 */
export type KeyRefusalReason = 'no-key' | 'removed' | 'unknown' | 'no-lease'

/**
 * Refuses clients whose API keys aren't known, and reports the refusals to the operator in the log and in metrics. No
 * log line and no metric label contains a key or its hash.
 *
 * Invariant: a client is told that its key is unknown only under a valid lease, as without one the key may have been
 * added since.
 */
export type KeyRefusals = {
  /** The answer to a refused client of the lane; keyHash: hash of the key that the client sent. */
  refuse: (lane: LaneRules, keyHash: string | undefined) => Verdict
  /**
   * Compares the current rules with the previous ones, and logs the refusals not yet logged. To be called periodically.
   */
  refresh: () => void
}

/** A key that was removed: the tenant that had it last, and the epoch of the first configuration without it. */
type RemovedKey = { tenant: string; epoch: number }
/** A key that was refused at this node: how often, and since when. */
type RefusedKey = { count: number; since: number }
/** The refusals for one reason since the last log line about it. */
type UnreportedRefusals = { count: number; keys: Set<string>; lane: string; removed: RemovedKey | undefined }

export function makeKeyRefusals(world: World, state: State, metrics: Metrics): KeyRefusals {
  const removed = new LRUCache<string, RemovedKey>({ max: MAX_REMEMBERED_KEYS })
  const refused = new LRUCache<string, RefusedKey>({ max: MAX_REMEMBERED_KEYS })
  const unreported = new Map<KeyRefusalReason, UnreportedRefusals>()
  const reportedAt = new Map<KeyRefusalReason, number>()
  let comparedRules: Rules | undefined

  // --- changes of the configuration ---

  /**
   * Counts the keys that were added or given to another tenant, and reports keys that this node refused before they
   * were known to it.
   */
  function recordPresentKeys(next: Rules, before: Map<string, Tenant>): { added: number; moved: number } {
    let added = 0
    let moved = 0
    let lateKeys = 0
    let refusals = 0
    let longestMs = 0
    for (const [hash, tenant] of next.tenants ?? []) {
      const previousTenant = before.get(hash)
      if (!previousTenant) added++
      else if (previousTenant.name !== tenant.name) moved++
      removed.delete(hash)
      const earlierRefusal = refused.get(hash)
      if (!earlierRefusal) continue
      refused.delete(hash)
      lateKeys++
      refusals += earlierRefusal.count
      longestMs = Math.max(longestMs, world.now() - earlierRefusal.since)
    }
    if (lateKeys > 0) {
      metrics.add('claynotch_keys_known_late_total', [], lateKeys)
      world.log.warn('keys-known-late', { epoch: next.epoch, keys: lateKeys, refused: refusals, longestMs })
    }
    return { added, moved }
  }
  /** Records the keys that were removed, and returns their number. */
  function recordRemovedKeys(next: Rules, before: Map<string, Tenant>): number {
    let removedCount = 0
    for (const [hash, tenant] of before) {
      if (next.tenants?.has(hash)) continue
      removedCount++
      removed.set(hash, { tenant: tenant.name, epoch: next.epoch })
    }
    return removedCount
  }
  function compareRules(): void {
    const current = state.rules()
    if (current === comparedRules || !current) return
    const isFirst = comparedRules === undefined
    const before = comparedRules?.tenants ?? new Map<string, Tenant>()
    comparedRules = current
    const { added, moved } = recordPresentKeys(current, before)
    const removedCount = recordRemovedKeys(current, before)
    if (!isFirst && added + moved + removedCount > 0)
      world.log.info('keys-changed', { epoch: current.epoch, added, removed: removedCount, moved })
  }

  // --- refusals ---

  function reasonFor(keyHash: string | undefined): KeyRefusalReason {
    if (!state.hasValidLease()) return 'no-lease'
    if (keyHash === undefined) return 'no-key'
    return removed.has(keyHash) ? 'removed' : 'unknown'
  }
  /** Logs the refusals, unless the last line for this reason is too recent. */
  function report(reason: KeyRefusalReason, unreportedRefusals: UnreportedRefusals): void {
    if (world.now() - (reportedAt.get(reason) ?? -Infinity) < KEY_REFUSAL_LOG_INTERVAL_MS) return
    reportedAt.set(reason, world.now())
    unreported.delete(reason)
    world.log.warn('keys-refused', {
      reason,
      refused: unreportedRefusals.count,
      keys: unreportedRefusals.keys.size,
      lane: unreportedRefusals.lane,
      epoch: comparedRules?.epoch,
      tenant: unreportedRefusals.removed?.tenant,
      removedBy: unreportedRefusals.removed?.epoch,
    })
  }
  function rememberRefusedKey(keyHash: string): void {
    const previousRefusals = refused.get(keyHash)
    refused.set(keyHash, { count: (previousRefusals?.count ?? 0) + 1, since: previousRefusals?.since ?? world.now() })
  }
  function recordRefusal(reason: KeyRefusalReason, lane: string, keyHash: string | undefined): void {
    metrics.add('claynotch_keys_refused_total', [['reason', reason]])
    const unreportedRefusals = unreported.get(reason) ?? { count: 0, keys: new Set(), lane, removed: undefined }
    unreportedRefusals.count++
    unreportedRefusals.lane = lane
    if (keyHash !== undefined) {
      if (unreportedRefusals.keys.size < MAX_REMEMBERED_KEYS) unreportedRefusals.keys.add(keyHash)
      unreportedRefusals.removed = removed.get(keyHash)
      if (reason === 'unknown' || reason === 'no-lease') rememberRefusedKey(keyHash)
    }
    unreported.set(reason, unreportedRefusals)
    report(reason, unreportedRefusals)
  }
  function refuse(lane: LaneRules, keyHash: string | undefined): Verdict {
    compareRules()
    const reason = reasonFor(keyHash)
    recordRefusal(reason, lane.name, keyHash)
    if (reason === 'no-lease')
      return refusal('UNAVAILABLE', 'this node holds no valid lease', true, RETRY_AFTER_PROMOTION_S)
    return refusal('PERMISSION_DENIED', 'the key is unknown', false)
  }
  function refresh(): void {
    compareRules()
    for (const [reason, unreportedRefusals] of unreported) report(reason, unreportedRefusals)
  }
  return { refuse, refresh }
}
