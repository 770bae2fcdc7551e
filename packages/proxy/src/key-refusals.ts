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
 * Why a client was refused for its key: it has none; an earlier configuration had it here, and the one in force doesn't; none had it
 * here; or none has it, and without a valid lease this node can't tell whether a later one does.
 */
export type KeyRefusalReason = 'no-key' | 'removed' | 'unknown' | 'no-lease'

/**
 * What clients are told whose keys aren't known, and what the operator is told of it: no line and no label holds a key or its hash.
 *
 * Invariant: that the key is unknown is told under a valid lease alone, as without one the key may have been added since.
 */
export type KeyRefusals = {
  /** What a client of the lane is told; keyHash: of the key that it came with. */
  refuse: (lane: LaneRules, keyHash: string | undefined) => Verdict
  /** Compares the rules in force with those before, and tells what was refused since it was told last. To be called often. */
  refresh: () => void
}

/** A key that was taken away here: who had it last, and the first configuration without it. */
type Removed = { tenant: string; epoch: number }
/** A key that was refused here, and since when. */
type Refused = { times: number; since: number }
/** What was refused for one reason since the last line that told of it. */
type Untold = { times: number; keys: Set<string>; lane: string; removed: Removed | undefined }

export function makeKeyRefusals(world: World, state: State, metrics: Metrics): KeyRefusals {
  const removed = new LRUCache<string, Removed>({ max: MAX_REMEMBERED_KEYS })
  const refused = new LRUCache<string, Refused>({ max: MAX_REMEMBERED_KEYS })
  const untold = new Map<KeyRefusalReason, Untold>()
  const toldAt = new Map<KeyRefusalReason, number>()
  let seen: Rules | undefined

  // --- changes of the configuration ---

  /** Keys that came since, and those that were refused here before. */
  function notePresent(next: Rules, before: Map<string, Tenant>): { added: number; moved: number } {
    let added = 0
    let moved = 0
    let late = 0
    let times = 0
    let longest = 0
    for (const [hash, tenant] of next.tenants ?? []) {
      const old = before.get(hash)
      if (!old) added++
      else if (old.name !== tenant.name) moved++
      removed.delete(hash)
      const missed = refused.get(hash)
      if (!missed) continue
      refused.delete(hash)
      late++
      times += missed.times
      longest = Math.max(longest, world.now() - missed.since)
    }
    if (late > 0) {
      metrics.add('claynotch_keys_known_late_total', [], late)
      world.log.warn('keys-known-late', { epoch: next.epoch, keys: late, refused: times, longestMs: longest })
    }
    return { added, moved }
  }
  function noteAbsent(next: Rules, before: Map<string, Tenant>): number {
    let gone = 0
    for (const [hash, tenant] of before) {
      if (next.tenants?.has(hash)) continue
      gone++
      removed.set(hash, { tenant: tenant.name, epoch: next.epoch })
    }
    return gone
  }
  function compare(): void {
    const next = state.rules()
    if (next === seen || !next) return
    const isFirst = seen === undefined
    const before = seen?.tenants ?? new Map<string, Tenant>()
    seen = next
    const { added, moved } = notePresent(next, before)
    const gone = noteAbsent(next, before)
    if (!isFirst && added + moved + gone > 0)
      world.log.info('keys-changed', { epoch: next.epoch, added, removed: gone, moved })
  }

  // --- refusals ---

  function reasonFor(keyHash: string | undefined): KeyRefusalReason {
    if (!state.hasValidLease()) return 'no-lease'
    if (keyHash === undefined) return 'no-key'
    return removed.has(keyHash) ? 'removed' : 'unknown'
  }
  function tell(reason: KeyRefusalReason, what: Untold): void {
    if (world.now() - (toldAt.get(reason) ?? -Infinity) < KEY_REFUSAL_LOG_INTERVAL_MS) return
    toldAt.set(reason, world.now())
    untold.delete(reason)
    world.log.warn('keys-refused', {
      reason,
      refused: what.times,
      keys: what.keys.size,
      lane: what.lane,
      epoch: seen?.epoch,
      tenant: what.removed?.tenant,
      removedBy: what.removed?.epoch,
    })
  }
  function remember(keyHash: string): void {
    const old = refused.get(keyHash)
    refused.set(keyHash, { times: (old?.times ?? 0) + 1, since: old?.since ?? world.now() })
  }
  function note(reason: KeyRefusalReason, lane: string, keyHash: string | undefined): void {
    metrics.add('claynotch_keys_refused_total', [['reason', reason]])
    const what = untold.get(reason) ?? { times: 0, keys: new Set(), lane, removed: undefined }
    what.times++
    what.lane = lane
    if (keyHash !== undefined) {
      if (what.keys.size < MAX_REMEMBERED_KEYS) what.keys.add(keyHash)
      what.removed = removed.get(keyHash)
      if (reason === 'unknown' || reason === 'no-lease') remember(keyHash)
    }
    untold.set(reason, what)
    tell(reason, what)
  }
  function deny(lane: LaneRules, keyHash: string | undefined): Verdict {
    compare()
    const reason = reasonFor(keyHash)
    note(reason, lane.name, keyHash)
    if (reason === 'no-lease')
      return refusal('UNAVAILABLE', 'this node holds no valid lease', true, RETRY_AFTER_PROMOTION_S)
    return refusal('PERMISSION_DENIED', 'the key is unknown', false)
  }
  function look(): void {
    compare()
    for (const [reason, what] of untold) tell(reason, what)
  }
  return { refuse: deny, refresh: look }
}
