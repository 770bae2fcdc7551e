import {
  SUMMARY_INTERVAL_MS,
  SUMMARY_MAX_INTERVAL_MS,
  SUMMARY_REPEATS,
  SUMMARY_SPACING_MS,
  type World,
} from '@claynotch/base'
import type { CommonSummary } from './summary.js'

/**
 * When a summary goes to every node that has a proxy: at once and a few times over when a promotion or a draining instance is news,
 * at each interval while promotions or retries are under way, else slowly.
 */
export type SummarySchedule = {
  /** Whether this summary is due for all of so many receivers; it then counts as told. */
  isDue: (summary: CommonSummary, receivers: number) => boolean
}

function hasRetries(tries: CommonSummary['tries']): boolean {
  for (const [, , retries] of tries) if (retries > 0) return true
  return false
}

/** ms between two summaries that tell nothing new: each node hears so many of them, however many nodes there are. */
function intervalOf(summary: CommonSummary, receivers: number): number {
  const { moving, leaving, tries } = summary
  if (moving.length === 0 && leaving.length === 0 && tries.length === 0) return Infinity
  const isQuick = moving.length > 0 || hasRetries(tries)
  const spacing = receivers * SUMMARY_SPACING_MS
  const least = isQuick ? 0 : SUMMARY_MAX_INTERVAL_MS
  return spacing <= SUMMARY_INTERVAL_MS ? least : Math.max(least, spacing)
}

export function makeSummarySchedule(world: World): SummarySchedule {
  let toldNews = ''
  let repeatsLeft = 0
  let toldAt = -Infinity

  function isDue(summary: CommonSummary, receivers: number): boolean {
    const now = world.now()
    const news = JSON.stringify([summary.moving, summary.leaving])
    if (news !== toldNews) repeatsLeft = SUMMARY_REPEATS
    toldNews = news
    const due = repeatsLeft > 0 || now - toldAt >= intervalOf(summary, receivers)
    if (repeatsLeft > 0) repeatsLeft--
    if (due) toldAt = now
    return due
  }
  return { isDue }
}
