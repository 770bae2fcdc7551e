/** Totals over all runs that were played. */
import type { Verdict } from './run.js'

/** Adds up verdicts; `text` formats the totals. */
export type Sums = { add: (verdict: Verdict) => void; text: () => string }

/** Creates empty totals. */
export function makeSums(): Sums {
  let runs = 0
  let events = 0
  let virtual = 0
  let orders = 0
  let accepted = 0
  let refused = 0
  let unclear = 0
  let sets = 0
  let counts = 0
  let skipped = 0
  let progress = 0
  let whole = 0
  function add(verdict: Verdict): void {
    runs++
    events += verdict.events
    virtual += verdict.virtual
    orders += verdict.orders
    accepted += verdict.accepted
    refused += verdict.refused
    unclear += verdict.unclear
    sets += verdict.sets
    counts += verdict.leaseChecks
    skipped += verdict.skippedActions
    progress = Math.max(progress, verdict.progress)
    whole = Math.max(whole, verdict.whole)
  }
  function text(): string {
    const parts = [
      `${runs} schedules`,
      `${events} events in ${Math.round(virtual / 1000)} s of virtual time`,
      `${orders} orders (${accepted} accepted, ${refused} refused, ${unclear} answers unclear)`,
      `${sets} core sets`,
      `${counts} leases looked for in counts of members`,
      `${skipped} actions left out`,
      `longest until a change was taken ${Math.round(progress)} ms, until all voted ${Math.round(whole)} ms`,
    ]
    return parts.join('; ')
  }
  return { add, text }
}
