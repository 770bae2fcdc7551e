import { QUOTA_REFRESH_INTERVAL_MS } from '@claynotch/base'
import type { QuotaGrant, QuotaLine } from '@claynotch/quota'

/** What a report depends on: the holder's term and the process incarnation of the proxy. */
export type ReportTarget = { term: number; life: string }

/**
 * What the holder of one slot knows of this machine's proxy. Changed lines are reported at once; unchanged ones again
 * after QUOTA_REFRESH_INTERVAL_MS, because what the proxy should have changes with the demand of others.
 *
 * Invariant: a line that is left out was reported unchanged to the holder in the same term, which answered that its
 * allowance doesn't change.
 */
export type ReportedLines = {
  /** Whether the holder has answered a report of this target. */
  isInformed: (target: ReportTarget) => boolean
  /** The lines to report now; they count as unreported until the holder has answered. */
  dueLines: (lines: QuotaLine[], target: ReportTarget) => QuotaLine[]
  /** Records the holder's answer to these lines. */
  recordAnswer: (lines: QuotaLine[], grants: QuotaGrant[], target: ReportTarget) => void
}

function isSameLine(a: QuotaLine, b: QuotaLine): boolean {
  return a.every(isSameAt)
  function isSameAt(value: string | number, index: number): boolean {
    return value === b[index]
  }
}

export function makeReportedLines(now: () => number): ReportedLines {
  let lastTarget: ReportTarget | undefined
  /** The last line of each tenant that was reported, and the local time (ms) of its answer. */
  const reportedByTenant = new Map<string, { line: QuotaLine; reportedAt: number }>()

  function isInformed({ term, life }: ReportTarget): boolean {
    return lastTarget?.term === term && lastTarget.life === life
  }
  function dueLines(lines: QuotaLine[], target: ReportTarget): QuotaLine[] {
    if (!isInformed(target)) reportedByTenant.clear()
    const due: QuotaLine[] = []
    for (const line of lines) {
      const previous = reportedByTenant.get(line[0])
      if (previous && isSameLine(previous.line, line) && now() - previous.reportedAt < QUOTA_REFRESH_INTERVAL_MS)
        continue
      reportedByTenant.delete(line[0])
      due.push(line)
    }
    return due
  }
  function recordAnswer(lines: QuotaLine[], grants: QuotaGrant[], target: ReportTarget): void {
    if (!isInformed(target)) reportedByTenant.clear()
    lastTarget = { term: target.term, life: target.life }
    const granted = new Map(grants)
    for (const line of lines) {
      const [tenant, held] = line
      if ((granted.get(tenant) ?? held) === held) reportedByTenant.set(tenant, { line, reportedAt: now() })
    }
  }
  return { isInformed, dueLines, recordAnswer }
}
