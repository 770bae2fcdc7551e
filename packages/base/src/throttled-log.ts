import type { Fields } from './log.js'
import type { World } from './world.js'

/** Logs an event that may occur at any rate. */
export type ThrottledLog = (fields?: Fields) => void

/**
 * Logs the first occurrence at once, and then at most one line per interval: its fields are those of the occurrence at
 * hand, and count is the number of occurrences since the line before.
 */
export function makeThrottledLog(world: World, event: string, intervalMs: number): ThrottledLog {
  let count = 0
  let loggedAt = -Infinity
  function log(fields: Fields = {}): void {
    count++
    if (world.now() - loggedAt < intervalMs) return
    loggedAt = world.now()
    world.log.warn(event, { ...fields, count })
    count = 0
  }
  return log
}
