/**
 * The model test of control: drawn schedules, and those that failed once (docs/design/control-safety.md, "Proof").
 *
 * MODEL_RUNS: schedules drawn; MODEL_SEED: where fast-check begins; MODEL_ACTIONS: most actions of one; MODEL_SHRINK=0: a
 * failure is told as it was drawn; MODEL_ONLY=drawn: nothing but drawn and kept schedules. MODEL_SCOPE_STEP, MODEL_SCOPE_FROM:
 * each so many-th schedule of the small scopes, from this one on. MODEL_WEEK_LOSSES: losses of the short week.
 */
import fc from 'fast-check'
import t, { type Test } from 'tap'
import { makeSums, playSchedule, runWeek, SCOPES, schedulesOf, weekText, type Schedule } from '../controlmodel.js'
import { schedules } from './controldraw.js'

t.setTimeout(3600000)

const RUNS = Number(process.env['MODEL_RUNS'] ?? 20)
const SEED = Number(process.env['MODEL_SEED'] ?? 1)
const ACTIONS = Number(process.env['MODEL_ACTIONS'] ?? 14)
const SHRINKS = process.env['MODEL_SHRINK'] !== '0'
const DRAWN_ALONE = process.env['MODEL_ONLY'] === 'drawn'
const SCOPE_STEP = Number(process.env['MODEL_SCOPE_STEP'] ?? 997)
const SCOPE_FROM = Number(process.env['MODEL_SCOPE_FROM'] ?? 0)
const WEEK_LOSSES = Number(process.env['MODEL_WEEK_LOSSES'] ?? 8)

/** Schedules that once failed, as they were shrunk, each with what it showed. */
const KEPT: { what: string; schedule: Schedule }[] = []

async function kept(c: Test): Promise<void> {
  for (const { what, schedule } of KEPT) c.strictSame((await playSchedule(schedule)).violations, [], what)
  c.pass(`${KEPT.length} schedules`)
}
async function sameTwice(c: Test): Promise<void> {
  const [schedule] = fc.sample(schedules(ACTIONS), { seed: 7, numRuns: 1 })
  c.strictSame(await playSchedule(schedule), await playSchedule(schedule))
}
async function drawn(c: Test): Promise<void> {
  const sums = makeSums()
  async function holds(schedule: Schedule): Promise<void> {
    const got = await playSchedule(schedule)
    sums.add(got)
    if (got.violations.length > 0) throw new Error(got.violations.join('\n'))
  }
  const end = await fc.check(fc.asyncProperty(schedules(ACTIONS), holds), {
    numRuns: RUNS,
    seed: SEED,
    endOnFailure: !SHRINKS,
    interruptAfterTimeLimit: 3000000,
  })
  c.notOk(end.failed, end.failed ? `${fc.stringify(end.counterexample)}: ${String(end.errorInstance)}` : sums.text())
}

/** Small scopes in full, or each so many-th schedule of them. */
async function scopes(c: Test): Promise<void> {
  for (const name of SCOPES.keys()) {
    const all = schedulesOf(name)
    const sums = makeSums()
    let failed = 0
    for (let k = SCOPE_FROM; k < all.length; k += SCOPE_STEP) {
      const got = await playSchedule(all[k])
      sums.add(got)
      if (got.violations.length === 0) continue
      failed++
      if (failed <= 5) c.fail(`${name} ${k}: ${JSON.stringify(all[k])}: ${got.violations.join('\n')}`)
    }
    c.equal(failed, 0, `${name}, of ${all.length}: ${sums.text()}`)
  }
}

/** Changes without a break while every kind of loss comes once. */
async function week(c: Test): Promise<void> {
  const got = await runWeek(SEED, WEEK_LOSSES)
  c.strictSame(got.verdict.violations, [], weekText(SEED, got))
}

void t.test('schedules that failed once', kept)
void t.test('one schedule gives one run', sameTwice)
void t.test('drawn schedules', drawn)
if (!DRAWN_ALONE) {
  void t.test('small scopes', scopes)
  void t.test('a short week', week)
}
