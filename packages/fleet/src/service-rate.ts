/**
 * How much service the requesters of a simulated fleet get, apart from the time that they spend at rest by their own will.
 *
 * A requester in the middle of a long transaction rests between its statements; it asks for nothing then, so neither
 * that time nor the looks of such a transaction say anything about the service.
 */

/** A stretch of the simulator's time, in ms. */
export type TimeSpan = { from: number; to: number }

/** What the rate is worked out from. */
export type ServiceHistory = {
  /** Ends of operations that were answered with success, in ms; looks inside of a transaction are none. */
  doneAt: number[]
  /** Start of each requester, in ms. */
  requesterStarts: number[]
  /** Pauses that requesters made inside of their transactions. */
  rests: TimeSpan[]
}

const MS_PER_SECOND = 1000

function overlapMs(a: TimeSpan, b: TimeSpan): number {
  return Math.max(0, Math.min(a.to, b.to) - Math.max(a.from, b.from))
}

/**
 * Operations done a second, as many as there would be if no requester rested inside of a transaction.
 * 0 where all of them rest throughout: nothing is shown then.
 */
export function serviceRate(history: ServiceHistory, window: TimeSpan): number {
  let done = 0
  for (const at of history.doneAt) if (at >= window.from && at < window.to) done++
  let requesterMs = 0
  for (const from of history.requesterStarts) requesterMs += overlapMs({ from, to: Infinity }, window)
  let restMs = 0
  for (const rest of history.rests) restMs += overlapMs(rest, window)
  const askingMs = requesterMs - restMs
  if (askingMs <= 0) return 0
  const doneEachSecond = (done * MS_PER_SECOND) / (window.to - window.from)
  return (doneEachSecond * requesterMs) / askingMs
}
