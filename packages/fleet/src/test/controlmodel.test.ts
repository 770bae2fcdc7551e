/**
 * The model test of control: drawn schedules, and those that failed once (docs/design/control-safety.md, "Proof").
 *
 * MODEL_RUNS: schedules drawn; MODEL_SEED: where fast-check begins; MODEL_ACTIONS: most actions of one.
 */
import fc from 'fast-check'
import t, { type Test } from 'tap'
import { play, type Schedule, type Verdict } from '../controlmodel.js'
import { schedules } from './controldraw.js'

t.setTimeout(3600000)

const RUNS = Number(process.env['MODEL_RUNS'] ?? 40)
const SEED = Number(process.env['MODEL_SEED'] ?? 1)
const ACTIONS = Number(process.env['MODEL_ACTIONS'] ?? 14)

/** Schedules that once failed, as they were shrunk, each with what it showed. */
const KEPT: { what: string; schedule: Schedule }[] = []

/** Sums over all that was played. */
function makeSums(): { add: (v: Verdict) => void; say: () => string } {
  let runs = 0
  let events = 0
  let orders = 0
  let accepted = 0
  let refused = 0
  let unclear = 0
  let sets = 0
  let counts = 0
  let skipped = 0
  let progress = 0
  let whole = 0
  function add(v: Verdict): void {
    runs++
    events += v.events
    orders += v.orders
    accepted += v.accepted
    refused += v.refused
    unclear += v.unclear
    sets += v.sets
    counts += v.counts
    skipped += v.skipped
    progress = Math.max(progress, v.progress)
    whole = Math.max(whole, v.whole)
  }
  function say(): string {
    return (
      `${runs} schedules, ${events} events, ${orders} orders (${accepted} accepted, ${refused} refused, ${unclear} answers unclear), ` +
      `${sets} core sets, ${counts} counts of members, ${skipped} actions left out; ` +
      `longest until a change was taken ${Math.round(progress)} ms, until whole ${Math.round(whole)} ms`
    )
  }
  return { add, say }
}

async function kept(c: Test): Promise<void> {
  for (const { what, schedule } of KEPT) c.strictSame((await play(schedule)).broken, [], what)
  c.pass(`${KEPT.length} schedules`)
}
async function sameTwice(c: Test): Promise<void> {
  const [schedule] = fc.sample(schedules(ACTIONS), { seed: 7, numRuns: 1 })
  c.strictSame(await play(schedule), await play(schedule))
}
async function drawn(c: Test): Promise<void> {
  const sums = makeSums()
  async function holds(schedule: Schedule): Promise<void> {
    const got = await play(schedule)
    sums.add(got)
    if (got.broken.length > 0) throw new Error(got.broken.join('\n'))
  }
  const end = await fc.check(fc.asyncProperty(schedules(ACTIONS), holds), {
    numRuns: RUNS,
    seed: SEED,
    endOnFailure: false,
    interruptAfterTimeLimit: 3000000,
  })
  c.notOk(end.failed, end.failed ? `${fc.stringify(end.counterexample)}: ${String(end.errorInstance)}` : sums.say())
}

void t.test('schedules that failed once', kept)
void t.test('one schedule gives one run', sameTwice)
void t.test('drawn schedules', drawn)
