import { QUOTA_METER_RESOLUTION_MS } from '@claynotch/base'

/**
 * Counts events within the last window.
 *
 * Invariant: an event counts from when it is added until the window has passed, and for QUOTA_METER_GRAIN_MS more at most.
 */
export type WindowMeter = { add: () => void; count: () => number }

/** Events of nearly one time. firstAt, lastAt: ms. */
type Lot = { firstAt: number; lastAt: number; events: number }

export function makeWindowMeter(now: () => number, windowMs: number): WindowMeter {
  const lots: Lot[] = []
  let total = 0

  function forgetOld(): void {
    let old = 0
    while (old < lots.length && now() - lots[old].lastAt > windowMs) total -= lots[old++].events
    if (old > 0) lots.splice(0, old)
  }
  function add(): void {
    const at = now()
    const last = lots.at(-1)
    total++
    if (last && at - last.firstAt <= QUOTA_METER_RESOLUTION_MS) {
      last.events++
      last.lastAt = at
    } else lots.push({ firstAt: at, lastAt: at, events: 1 })
  }
  function count(): number {
    forgetOld()
    return total
  }
  return { add, count }
}
