import {
  QUOTA_EXTRA_SHARE,
  QUOTA_MIN_EXTRA,
  QUOTA_METER_WINDOW_MS,
  QUOTA_REPORT_INTERVAL_MS,
  QUOTA_SPARE_SHARE,
  QUOTA_SCARCE_SPARE_SHARE,
} from '@claynotch/base'

/**
 * Divides the limit of one tenant among proxies. Pure arithmetic: it computes what a proxy should have, not what is
 * free.
 */

/**
 * The demand of one proxy for one tenant, in operations.
 * - need: operations that it wanted or used within a window.
 * - used: the part of need that it ran or is about to run.
 * - held: what it may run now.
 * - granted: the allowance in the last answer to it.
 * - waiting: the part of need that waits for an allowance now.
 */
export type Claim = { need: number; used: number; held: number; granted: number; waiting: number }

/** The operations that a proxy is expected to need between two reports. */
function needPerReport(need: number): number {
  return Math.floor((need * QUOTA_REPORT_INTERVAL_MS) / QUOTA_METER_WINDOW_MS)
}

/** The share where the proxies together need more than is available: in proportion to need, in whole operations. */
function proportionalShare(own: Claim, others: Claim[], available: number, totalNeed: number): number {
  const exactShare = (available * own.need) / totalNeed
  const wholeShare = Math.floor(exactShare)
  let takenByOthers = 0
  for (const other of others) takenByOthers += Math.max(other.granted, Math.floor((available * other.need) / totalNeed))
  // The remainder of the rounding goes to the first proxy that asks, after each of the others has its whole operations.
  const remainder = Math.max(0, Math.floor(available - takenByOthers - wholeShare))
  // What this proxy can't use before its next report is left to others.
  const usable = Math.max(needPerReport(own.need), own.waiting)
  return Math.min(Math.ceil(exactShare), wholeShare + remainder, own.used + usable)
}

function isActive({ need, held }: Claim): boolean {
  return need > 0 || held > 0
}

/** The share where there is enough for all: what the proxy needs, and some of the surplus. */
function shareWithSurplus(own: Claim, others: Claim[], available: number, totalNeed: number): number {
  if (!isActive(own)) return 0
  const surplus = available - totalNeed
  let extrasOfOthers = 0
  let activeCount = 1
  for (const other of others) {
    extrasOfOthers += Math.max(0, other.granted - other.need)
    if (isActive(other)) activeCount++
  }
  const desiredExtra = QUOTA_MIN_EXTRA + Math.ceil(own.need * QUOTA_EXTRA_SHARE)
  const surplusPerProxy = Math.floor((surplus * QUOTA_SPARE_SHARE) / activeCount)
  // With less than one operation for each proxy, only a few proxies get one: a proxy that starts to need operations
  // would find none free if the others held them all.
  const distributable = Math.floor(surplus * (surplusPerProxy >= 1 ? QUOTA_SPARE_SHARE : QUOTA_SCARCE_SPARE_SHARE))
  return own.need + Math.min(desiredExtra, Math.max(1, surplusPerProxy), Math.max(0, distributable - extrasOfOthers))
}

/** The part of the available operations that a proxy should have. */
export function shareOf(own: Claim, others: Claim[], available: number): number {
  let totalNeed = own.need
  for (const other of others) totalNeed += other.need
  if (available <= 0) return 0
  return totalNeed > available
    ? proportionalShare(own, others, available, totalNeed)
    : shareWithSurplus(own, others, available, totalNeed)
}
