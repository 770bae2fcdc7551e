import {
  QUOTA_EXTRA_SHARE,
  QUOTA_MIN_EXTRA,
  QUOTA_METER_WINDOW_MS,
  QUOTA_REPORT_INTERVAL_MS,
  QUOTA_SPARE_SHARE,
  QUOTA_SCARCE_SPARE_SHARE,
} from '@claynotch/base'

/** How the limit of one tenant is divided among proxies. Pure arithmetic: it says what a proxy should have, not what is free. */

/**
 * need: operations that it wants or used within a window. used: of them, those that it ran or is about to. held: what it may run
 * now. answered: what it was answered last. waiting: of those that it needs, operations that wait for an allowance now.
 */
export type Claim = { need: number; used: number; held: number; answered: number; waiting: number }

/** Operations that it is asked for between two reports. */
function needPerReport(need: number): number {
  return Math.floor((need * QUOTA_REPORT_INTERVAL_MS) / QUOTA_METER_WINDOW_MS)
}

/** All together want more than there is: in proportion to need, in whole operations. */
function proportionalShare(mine: Claim, others: Claim[], available: number, allNeeds: number): number {
  const exact = (available * mine.need) / allNeeds
  const sure = Math.floor(exact)
  let takenByOthers = 0
  for (const other of others) takenByOthers += Math.max(other.answered, Math.floor((available * other.need) / allNeeds))
  // What rounding leaves goes to who asks first, once each of the others has its whole operations.
  const left = Math.max(0, Math.floor(available - takenByOthers - sure))
  // What it can't use until its next report, another can.
  const usable = Math.max(needPerReport(mine.need), mine.waiting)
  return Math.min(Math.ceil(exact), sure + left, mine.used + usable)
}

function isActive({ need, held }: Claim): boolean {
  return need > 0 || held > 0
}

/** There is enough for all: what it needs, and some more of what nobody needs. */
function ampleShare(mine: Claim, others: Claim[], available: number, allNeeds: number): number {
  if (!isActive(mine)) return 0
  const unneeded = available - allNeeds
  let extrasOfOthers = 0
  let active = 1
  for (const other of others) {
    extrasOfOthers += Math.max(0, other.answered - other.need)
    if (isActive(other)) active++
  }
  const wished = QUOTA_MIN_EXTRA + Math.ceil(mine.need * QUOTA_EXTRA_SHARE)
  const each = Math.floor((unneeded * QUOTA_SPARE_SHARE) / active)
  // Not one for each: few are given one, as whoever begins to want finds none free where the others have them.
  const spare = Math.floor(unneeded * (each >= 1 ? QUOTA_SPARE_SHARE : QUOTA_SCARCE_SPARE_SHARE))
  return mine.need + Math.min(wished, Math.max(1, each), Math.max(0, spare - extrasOfOthers))
}

/** What a proxy should have of the operations that are available to all. */
export function shareOf(mine: Claim, others: Claim[], available: number): number {
  let allNeeds = mine.need
  for (const other of others) allNeeds += other.need
  if (available <= 0) return 0
  return allNeeds > available
    ? proportionalShare(mine, others, available, allNeeds)
    : ampleShare(mine, others, available, allNeeds)
}
