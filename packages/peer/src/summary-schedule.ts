import {
  SUMMARY_INTERVAL_MS,
  SUMMARY_MAX_INTERVAL_MS,
  SUMMARY_REPEATS,
  SUMMARY_SPACING_MS,
  type World,
} from '@claynotch/base'
import type { CommonSummary } from './summary.js'

/**
 * Decides when a summary is sent to every node that has a proxy: at once and with a few repeats when the promotions or
 * draining instances change, at each interval while promotions or retries are in progress, rarely while it has other
 * content, and not while it has none.
 */
export type SummarySchedule = {
  /** Whether this summary is due for this number of receivers; if so, it is recorded as sent. */
  isDue: (summary: CommonSummary, receivers: number) => boolean
}

function hasRetries(tries: CommonSummary['tries']): boolean {
  for (const [, , retries] of tries) if (retries > 0) return true
  return false
}

/**
 * Interval (ms) between two summaries without changes. It grows with the number of receivers, so that each node
 * receives them at the same rate however many nodes there are.
 */
function intervalOf(summary: CommonSummary, receivers: number): number {
  const { moving, leaving, tries } = summary
  if (moving.length === 0 && leaving.length === 0 && tries.length === 0) return Infinity
  const isUrgent = moving.length > 0 || hasRetries(tries)
  const spacingMs = receivers * SUMMARY_SPACING_MS
  const minIntervalMs = isUrgent ? 0 : SUMMARY_MAX_INTERVAL_MS
  return spacingMs <= SUMMARY_INTERVAL_MS ? minIntervalMs : Math.max(minIntervalMs, spacingMs)
}

/** Makes the schedule of one node. */
export function makeSummarySchedule(world: World): SummarySchedule {
  let lastContent = ''
  let repeatsLeft = 0
  let lastSentAt = -Infinity

  function isDue(summary: CommonSummary, receivers: number): boolean {
    const now = world.now()
    const content = JSON.stringify([summary.moving, summary.leaving])
    if (content !== lastContent) repeatsLeft = SUMMARY_REPEATS
    lastContent = content
    const isSummaryDue = repeatsLeft > 0 || now - lastSentAt >= intervalOf(summary, receivers)
    if (repeatsLeft > 0) repeatsLeft--
    if (isSummaryDue) lastSentAt = now
    return isSummaryDue
  }
  return { isDue }
}
