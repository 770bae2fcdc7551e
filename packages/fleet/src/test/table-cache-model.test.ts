/**
 * The model test of the table cache: drawn schedules, and such as were made by hand (docs/design/table-cache.md).
 *
 * TABLE_RUNS: schedules drawn; TABLE_SEED: where fast-check begins.
 */
import { CLOCK_DRIFT_LIMIT } from '@claynotch/base'
import { cleanOrphanLock, lockForWrite, unlockedRecord, writeAndUnlock } from '@claynotch/table-cache'
import fc from 'fast-check'
import t, { type Test } from 'tap'
import { playTable, READERS, WRITERS, type TableRun, type TableSchedule, type TableStep } from '../tablemodel/run.js'

t.setTimeout(1800000)

const RUNS = Number(process.env['TABLE_RUNS'] ?? 150)
const SEED = Number(process.env['TABLE_SEED'] ?? 1)

// --- schedules ---

/** Often close together, now and then longer than a lease. */
const wait = fc.oneof(
  { weight: 5, arbitrary: fc.integer({ min: 0, max: 40 }) },
  { weight: 3, arbitrary: fc.integer({ min: 0, max: 700 }) },
  { weight: 1, arbitrary: fc.integer({ min: 0, max: 4000 }) },
)
const writer = fc.nat({ max: WRITERS - 1 })
const which = fc.nat({ max: READERS + WRITERS - 1 })
const step: fc.Arbitrary<TableStep> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ wait, kind: fc.constant('change' as const), writer }) },
  { weight: 2, arbitrary: fc.record({ wait, kind: fc.constantFrom('invalid' as const, 'noted' as const), writer }) },
  {
    weight: 8,
    arbitrary: fc.record({
      wait,
      kind: fc.constantFrom(
        'freeze' as const,
        'thaw' as const,
        'kill' as const,
        'start' as const,
        'cut' as const,
        'cutIn' as const,
        'cutOut' as const,
        'heal' as const,
      ),
      which,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      wait,
      kind: fc.constantFrom('freezeOnCommit' as const, 'killOnCommit' as const),
      writer,
      commits: fc.integer({ min: 1, max: 3 }),
    }),
  },
)
function schedules(drift: number): fc.Arbitrary<TableSchedule> {
  return fc.record({
    seed: fc.nat({ max: 1e6 }),
    drift: fc.constant(drift),
    hasLoss: fc.boolean(),
    speeds: fc.array(fc.constantFrom(0, 0.5, 1), { minLength: 8, maxLength: 8 }),
    steps: fc.array(step, { minLength: 4, maxLength: 24 }),
  })
}

/** Reader 0, whose clock is the slowest, is cut off at some time between two renewals; then a change comes, timed by the fastest. */
function slowReaders(drift: number): TableSchedule[] {
  const out: TableSchedule[] = []
  for (let k = 0; k < SLOW_READERS; k++) {
    const steps: TableStep[] = [
      { wait: 3000 + 23 * k, kind: 'cut', which: 0 },
      { wait: 1, kind: 'change', writer: 0 },
      { wait: 4000, kind: 'heal', which: 0 },
    ]
    out.push({ seed: k, drift, hasLoss: false, speeds: [0, 1, 1, 1, 1, 1, 1, 1], steps })
  }
  return out
}
const SLOW_READERS = 24
/** Far more than two clocks may run apart. */
const BEYOND_DRIFT = 3 * CLOCK_DRIFT_LIMIT

/** ms. A lock of a calm fleet is held for no longer than this: some ten words of up to 5 ms, and one poll. */
const CALM_GAP_MS = 80

// --- tests ---

function sumOf(runs: TableRun[]): string {
  const sum = { commits: 0, locks: 0, changesMade: 0, unclear: 0, givenBack: 0, orphansCleared: 0 }
  for (const run of runs) {
    sum.commits += run.commits
    sum.locks += run.locks
    sum.changesMade += run.changesMade
    sum.unclear += run.unclear
    sum.givenBack += run.givenBack
    sum.orphansCleared += run.orphansCleared
  }
  return (
    `${runs.length} schedules, ${sum.commits} commits, ${sum.locks} locks, ${sum.changesMade} times told made, ` +
    `${sum.unclear} unclear, ${sum.givenBack} locks given back, ${sum.orphansCleared} orphans cleared`
  )
}
async function drawn(c: Test): Promise<void> {
  const runs: TableRun[] = []
  async function holds(schedule: TableSchedule): Promise<void> {
    const run = await playTable(schedule)
    runs.push(run)
    if (run.broken.length > 0) throw new Error(run.broken.join('\n'))
  }
  const end = await fc.check(fc.asyncProperty(schedules(CLOCK_DRIFT_LIMIT), holds), { numRuns: RUNS, seed: SEED })
  c.notOk(end.failed, end.failed ? `${fc.stringify(end.counterexample)}: ${String(end.errorInstance)}` : sumOf(runs))
}
async function sameTwice(c: Test): Promise<void> {
  const [schedule] = fc.sample(schedules(CLOCK_DRIFT_LIMIT), { seed: 3, numRuns: 1 })
  c.strictSame(await playTable(schedule), await playTable(schedule))
}

void t.test('a node serves an older table, or a change is lost, under drawn faults', drawn)
async function brokenOf(schedules: TableSchedule[]): Promise<string[]> {
  const out: string[] = []
  for (const schedule of schedules) out.push(...(await playTable(schedule)).broken)
  return out
}
async function withinDrift(c: Test): Promise<void> {
  c.strictSame(await brokenOf(slowReaders(CLOCK_DRIFT_LIMIT)), [])
}
async function beyondDrift(c: Test): Promise<void> {
  const broken = await brokenOf(slowReaders(BEYOND_DRIFT))
  c.ok(broken.length > 0, `${SLOW_READERS} schedules: ${broken[0]}`)
}
/** The lock is held as long as all readers are in touch with the writer, whatever became of one of them before the change. */
async function gaps(c: Test): Promise<void> {
  const longest = new Map<string, number>()
  for (const kind of ['heal', 'freeze', 'kill', 'cut', 'cutIn', 'cutOut'] as const)
    for (let seed = 0; seed < 12; seed++) {
      const steps: TableStep[] = [
        { wait: 2000 + 61 * seed, kind, which: 1 },
        { wait: 20, kind: 'change', writer: seed },
        { wait: 5000, kind: 'change', writer: seed + 1 },
      ]
      const run = await playTable({ seed, drift: CLOCK_DRIFT_LIMIT, hasLoss: false, speeds: [0, 1], steps })
      c.strictSame(run.broken, [])
      longest.set(kind, Math.max(longest.get(kind) ?? 0, run.longestGapMs))
    }
  for (const [kind, ms] of longest) c.ok(ms < CALM_GAP_MS, `${kind}: ${ms.toFixed(1)} ms`)
}

void t.test('a schedule gives another run the second time', sameTwice)
void t.test('a reader with the slowest clock serves on when the change is made', withinDrift)
void t.test('clocks beyond the bound are not seen to break anything', beyondDrift)
/** A reader that heard nothing is suspended, comes back for a moment, gets a lease on what was announced, and is gone again. */
async function backForAMoment(c: Test): Promise<void> {
  const schedules: TableSchedule[] = []
  for (let k = 0; k < 48; k++) {
    const steps: TableStep[] = [
      { wait: 2000, kind: 'cutIn', which: 0 },
      { wait: 1, kind: 'change', writer: 0 },
      { wait: 1000, kind: 'heal', which: 0 },
      { wait: 25 * k, kind: 'cut', which: 0 },
      { wait: 4000, kind: 'heal', which: 0 },
    ]
    schedules.push({ seed: k, drift: CLOCK_DRIFT_LIMIT, hasLoss: false, speeds: [0, 1], steps })
  }
  c.strictSame(await brokenOf(schedules), [])
}
/** Whoever watched one lock has waited out that lock alone, not one that another writer took after it. */
function laterLock(c: Test): void {
  const first = lockForWrite(unlockedRecord('model'), 'a', 400).unwrap()
  const second = lockForWrite(writeAndUnlock(first, 'a', 1).unwrap(), 'b', 400).unwrap()
  c.ok(cleanOrphanLock(first, first.token, 1000).ok)
  c.equal(cleanOrphanLock(second, first.token, 1000).val, 'held by another')
  c.equal(writeAndUnlock(second, 'a', first.token).val, 'held by another')
  c.end()
}
/** A caller that hears nothing goes to the next writer with the same change, while the first still waits for a dead reader. */
async function sameChange(c: Test): Promise<void> {
  for (let seed = 0; seed < 12; seed++) {
    const steps: TableStep[] = [
      { wait: 2000 + 61 * seed, kind: 'kill', which: 1 },
      { wait: 20, kind: 'change', writer: seed },
      { wait: 5000, kind: 'start', which: 1 },
    ]
    const run = await playTable({ seed, drift: CLOCK_DRIFT_LIMIT, hasLoss: false, speeds: [0, 1], steps })
    c.strictSame([run.broken, run.unclear, run.givenBack], [[], 0, 0])
    c.ok(run.locks <= 2, `${run.locks} locks for this change and the last one, ${run.commits} commits`)
  }
}

void t.test('a suspended reader that comes back for a moment serves what was announced', backForAMoment)
void t.test('a lock is cleared, or written under, by the time of the one before it', laterLock)
void t.test('several writers fight for the lock with one change', sameChange)
void t.test('readers in touch wait for one that is frozen, killed or cut off', gaps)
