/**
 * The rate of service that the clients of a simulated fleet get, corrected for the time that they pause by their own
 * choice.
 *
 * A client in a long transaction pauses between its statements. It asks for nothing then, so neither that time nor the
 * reads within such a transaction say anything about the service.
 */

/** An interval of simulated time, in ms. */
export type TimeSpan = { from: number; to: number }

/** The data from which the rate is computed. */
export type ServiceHistory = {
  /** End times of successful operations, in ms; reads within a transaction don't count as operations. */
  completionTimes: number[]
  /** Start time of each client, in ms. */
  requesterStarts: number[]
  /** Pauses of clients within their transactions. */
  transactionPauses: TimeSpan[]
}

const MS_PER_SECOND = 1000

/** Length of the overlap of two intervals. */
function overlapMs(a: TimeSpan, b: TimeSpan): number {
  return Math.max(0, Math.min(a.to, b.to) - Math.max(a.from, b.from))
}

/**
 * Operations completed per second, scaled up to what they would be if no client paused within a transaction. 0 if all
 * clients pause throughout, as such a window shows nothing.
 */
export function serviceRate(history: ServiceHistory, window: TimeSpan): number {
  let done = 0
  for (const doneTime of history.completionTimes) if (doneTime >= window.from && doneTime < window.to) done++
  let requesterMs = 0
  for (const start of history.requesterStarts) requesterMs += overlapMs({ from: start, to: Infinity }, window)
  let restMs = 0
  for (const rest of history.transactionPauses) restMs += overlapMs(rest, window)
  const askingMs = requesterMs - restMs
  if (askingMs <= 0) return 0
  const doneEachSecond = (done * MS_PER_SECOND) / (window.to - window.from)
  return (doneEachSecond * requesterMs) / askingMs
}
