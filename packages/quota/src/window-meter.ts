import { QUOTA_METER_RESOLUTION_MS } from '@claynotch/base'

/**
 * Counts events within the last window.
 *
 * Invariant: an event counts from when it is added until the window has passed, and at most QUOTA_METER_RESOLUTION_MS
 * longer.
 */
export type WindowMeter = { add: () => void; count: () => number }

/** Events that were added within QUOTA_METER_RESOLUTION_MS. firstAt, lastAt: times (ms) of the first and the last one. */
type Bucket = { firstAt: number; lastAt: number; events: number }

/** now returns a time in ms. */
export function makeWindowMeter(now: () => number, windowMs: number): WindowMeter {
  const buckets: Bucket[] = []
  let total = 0

  function dropExpired(): void {
    let expiredCount = 0
    while (expiredCount < buckets.length && now() - buckets[expiredCount].lastAt > windowMs)
      total -= buckets[expiredCount++].events
    if (expiredCount > 0) buckets.splice(0, expiredCount)
  }
  function add(): void {
    const addedAt = now()
    const newest = buckets.at(-1)
    total++
    if (newest && addedAt - newest.firstAt <= QUOTA_METER_RESOLUTION_MS) {
      newest.events++
      newest.lastAt = addedAt
    } else buckets.push({ firstAt: addedAt, lastAt: addedAt, events: 1 })
  }
  function count(): number {
    dropExpired()
    return total
  }
  return { add, count }
}
