/** Sums over the runs that were played. */
import type { Verdict } from './run.js'

export type Sums = { add: (verdict: Verdict) => void; text: () => string }

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
  function add(one: Verdict): void {
    runs++
    events += one.events
    virtual += one.virtual
    orders += one.orders
    accepted += one.accepted
    refused += one.refused
    unclear += one.unclear
    sets += one.sets
    counts += one.leaseChecks
    skipped += one.skippedActions
    progress = Math.max(progress, one.progress)
    whole = Math.max(whole, one.whole)
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
