import t, { type Test } from 'tap'
import fc from 'fast-check'
import { QUOTA_METER_WINDOW_MS, QUOTA_REPORT_INTERVAL_MS, QUOTA_WINDOW_MS } from '@claynotch/base'
import { makeQuotaFleet, mostInAnyWindow, type ModelNode, type QuotaFleet } from './quota-fleet.js'

// The limit of a tenant over a whole fleet, against a plain model (quota-fleet.ts): drawn schedules in which holders are replaced,
// proxies die and come back, nodes are cut off while they serve on, questions and answers are lost or late, and the limit changes.
// Safe: no window has more operations than the limit. Live: below the limit, next to nothing is refused.

t.setTimeout(600000)

const SIZE = 5
const FIRST_LIMIT = 40
/** ratio. Of operations: those that may wait for a connection, or get none. */
const SLOW_SHARE = 0.4
/** ms. A lowered limit holds once nothing was disturbed for this long: two report intervals and one window, and some time on the way. */
const SETTLING_MS = 2 * QUOTA_REPORT_INTERVAL_MS + QUOTA_METER_WINDOW_MS + 500

type Step =
  | { kind: 'rate'; which: number; rate: number }
  | { kind: 'limit'; limit: number }
  | { kind: 'holder'; afterMs: number }
  | { kind: 'cutOff' | 'unheard' | 'heal' | 'kill' | 'start' | 'restart' | 'freeze' | 'thaw'; which: number }
  | { kind: 'network'; lost: number; late: number }
  | { kind: 'healAll' }
  | { kind: 'pass'; ms: number }

const which = fc.nat({ max: SIZE - 1 })
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({ kind: fc.constant('rate' as const), which, rate: fc.constantFrom(0, 1, 4, 20, 60) }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('limit' as const), limit: fc.constantFrom(0, 7.5, 15, 40, 120) }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('holder' as const), afterMs: fc.constantFrom(1, 400, 3000) }) },
  {
    weight: 7,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'cutOff' as const,
        'unheard' as const,
        'heal' as const,
        'kill' as const,
        'start' as const,
        'restart' as const,
        'freeze' as const,
        'thaw' as const,
      ),
      which,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('network' as const),
      lost: fc.constantFrom(0, 0.1, 0.5),
      late: fc.constantFrom(0, 0.2, 0.6),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('healAll' as const) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('pass' as const), ms: fc.constantFrom(30, 400, 2000, 6000) }) },
)

function heal(fleet: QuotaFleet, node: ModelNode): void {
  node.isCutOff = false
  node.isUnheard = false
  if (node.proxy) fleet.sim.thaw(node.proxy.process)
}
function healAll(fleet: QuotaFleet): void {
  fleet.network.lost = 0
  fleet.network.late = 0
  for (const node of fleet.nodes) {
    heal(fleet, node)
    fleet.start(node)
  }
}
function onNode(fleet: QuotaFleet, node: ModelNode, kind: string): void {
  if (kind === 'cutOff') node.isCutOff = true
  if (kind === 'unheard') node.isUnheard = true
  if (kind === 'heal') heal(fleet, node)
  if (kind === 'kill' || kind === 'restart') fleet.kill(node)
  if (kind === 'start' || kind === 'restart') fleet.start(node)
  if (kind === 'freeze' && node.proxy) fleet.sim.freeze(node.proxy.process)
  if (kind === 'thaw' && node.proxy) fleet.sim.thaw(node.proxy.process)
}
async function apply(fleet: QuotaFleet, what: Step): Promise<void> {
  switch (what.kind) {
    case 'pass':
      return await fleet.run(what.ms)
    case 'rate':
      fleet.nodes[what.which].rate = what.rate
      return
    case 'limit':
      fleet.limit.value = what.limit
      return
    case 'holder':
      fleet.replaceHolder(what.afterMs)
      return
    case 'network':
      fleet.network.lost = what.lost
      fleet.network.late = what.late
      return
    case 'healAll':
      return healAll(fleet)
    default:
      return onNode(fleet, fleet.nodes[what.which], what.kind)
  }
}

/** Whether something may keep a lowered limit from being told to all. */
function isDisturbed({ nodes, network, holder }: QuotaFleet): boolean {
  if (network.lost > 0 || network.late > 0 || !holder()) return true
  for (const { isCutOff, isUnheard, proxy } of nodes)
    if (isCutOff || isUnheard || proxy === undefined || proxy.process.state === 'frozen') return true
  return false
}

/** Which limits bind: the highest of those in force since all nodes had last settled on one. */
function makeBound(fleet: QuotaFleet) {
  let isCalmSince = fleet.sim.now()
  let past: { limit: number; until: number }[] = []
  let limit = fleet.limit.value
  const bounds: { from: number; limit: number }[] = []

  /** Before and after each step, as steps alone change anything. */
  function note(): void {
    const now = fleet.sim.now()
    if (fleet.limit.value !== limit) past.push({ limit, until: now })
    limit = fleet.limit.value
    if (isDisturbed(fleet)) isCalmSince = Infinity
    else if (isCalmSince === Infinity) isCalmSince = now
    function mayStillBind({ until }: { until: number }): boolean {
      return now < Math.max(until, isCalmSince) + SETTLING_MS
    }
    past = past.filter(mayStillBind)
    let most = limit
    for (const one of past) most = Math.max(most, one.limit)
    if (bounds.at(-1)?.limit !== most) bounds.push({ from: now, limit: most })
  }
  /** What was sent in the window that ends with each operation, against the bound of then. */
  function finding(): string | undefined {
    const { sentAt } = fleet
    let first = 0
    let k = 0
    for (let last = 0; last < sentAt.length; last++) {
      while (sentAt[last] - sentAt[first] > QUOTA_WINDOW_MS) first++
      while (k + 1 < bounds.length && bounds[k + 1].from <= sentAt[last]) k++
      const sent = last - first + 1
      if (sent > bounds[k].limit)
        return `${sent} operations in the window up to ${sentAt[last].toFixed(0)} ms, the limit is ${bounds[k].limit}`
    }
    return undefined
  }
  note()
  return { note, finding }
}

type Played = { finding: string | undefined; sent: number }

async function play(seed: number, steps: Step[]): Promise<Played> {
  const fleet = makeQuotaFleet(seed, SIZE, FIRST_LIMIT)
  fleet.slowness.value = SLOW_SHARE
  const bound = makeBound(fleet)
  for (const node of fleet.nodes) node.rate = 10
  await fleet.run(2000)
  for (const what of steps) {
    await apply(fleet, what)
    bound.note()
  }
  healAll(fleet)
  bound.note()
  // Looked at again and again, so that a limit that all have settled on binds.
  for (let k = 0; k < 10; k++) {
    await fleet.run(2000)
    bound.note()
  }
  return { finding: bound.finding(), sent: fleet.sentAt.length }
}

async function drawn(c: Test): Promise<void> {
  const runs = Number(process.env.RUNS ?? 150)
  const seed = Number(process.env.SEED ?? 61)
  let schedules = 0
  let sent = 0
  async function holds(simSeed: number, steps: Step[]): Promise<void> {
    schedules++
    const played = await play(simSeed, steps)
    sent += played.sent
    if (played.finding !== undefined) throw new Error(played.finding)
  }
  const property = fc.asyncProperty(
    fc.integer({ min: 1, max: 1e6 }),
    fc.array(step, { minLength: 5, maxLength: 50 }),
    holds,
  )
  const result = await fc.check(property, { numRuns: runs, seed })
  const report = `${schedules} schedules, ${sent} operations sent`
  c.notOk(result.failed, result.failed ? String(fc.defaultReportMessage(result)) : report)
  c.comment(report)
}

// --- service ---

/** ms, until a fleet that began without any allowance has settled. */
const WARM_UP_MS = 15000
/** ratio. Of what is asked at 60 % of the limit by clients that don't know of each other: refused though the limit wasn't reached. */
const MOST_REFUSED_BELOW_LIMIT = 0.01
/** ratio. Of the limit: what a tenant gets that asks for several times as much; once a second has passed, and later on. */
const LEAST_HOT_AFTER_1_S = 0.8
const LEAST_HOT = 0.8

function demand(fleet: QuotaFleet, rate: number): void {
  for (const node of fleet.nodes) node.rate = rate / fleet.nodes.length
}
function sentIn(times: number[], from: number, to: number): number {
  let count = 0
  for (const at of times) if (at > from && at <= to) count++
  return count
}
type Counts = { asked: number; refused: number; refusedBelowLimit: number }
function countsOf({ nodes }: QuotaFleet): Counts {
  const sum = { asked: 0, refused: 0, refusedBelowLimit: 0 }
  for (const node of nodes) {
    sum.asked += node.asked
    sum.refused += node.refused
    sum.refusedBelowLimit += node.refusedBelowLimit
  }
  return sum
}

async function evenly(c: Test): Promise<void> {
  for (const [size, limit, rate] of [
    [1, 15, 1.8],
    [2, 15, 1.8],
    [2, 40, 4.8],
    [1, 15, 2.6],
  ]) {
    const fleet = makeQuotaFleet(7, size, limit)
    fleet.pacing.isEven = true
    demand(fleet, rate)
    await fleet.run(120000)
    const { asked, refused } = countsOf(fleet)
    c.equal(refused, 0, `${size} proxies, limit ${limit}, ${rate} operations a second: ${refused} of ${asked} refused`)
  }
}
async function belowLimit(c: Test): Promise<void> {
  for (const [size, limit, rate] of [
    [20, 40, 4.8],
    [20, 136, 16.3],
    [76, 136, 16.3],
  ]) {
    const fleet = makeQuotaFleet(7, size, limit)
    demand(fleet, rate)
    await fleet.run(120000)
    const { asked, refusedBelowLimit } = countsOf(fleet)
    const report = `${size} proxies, limit ${limit}, ${rate} operations a second: ${refusedBelowLimit} of ${asked} refused`
    c.ok(refusedBelowLimit <= MOST_REFUSED_BELOW_LIMIT * asked, report)
    c.comment(report)
  }
}
async function hotTenant(c: Test): Promise<void> {
  for (const [size, limit, usual] of [
    [3, 136, 17],
    [20, 136, 17],
    [76, 136, 17],
    [76, 40, 5],
  ]) {
    const fleet = makeQuotaFleet(7, size, limit)
    demand(fleet, usual)
    await fleet.run(WARM_UP_MS)
    const from = fleet.sim.now()
    demand(fleet, 7 * usual)
    await fleet.run(31000)
    const { sentAt, nodes } = fleet
    const early = sentIn(sentAt, from + 1000 - QUOTA_WINDOW_MS, from + 1000) / limit
    const windows = 30000 / QUOTA_WINDOW_MS
    const sent = sentIn(sentAt, from + 1000, from + 31000)
    const mean = sent / windows / limit
    const report = `${size} proxies, limit ${limit}: ${early.toFixed(2)} of it after 1 s, then ${mean.toFixed(2)}`
    c.ok(early >= LEAST_HOT_AFTER_1_S && mean >= LEAST_HOT, report)
    c.comment(report)
    c.ok(mostInAnyWindow(sentAt, QUOTA_WINDOW_MS) <= limit)
    // Fewer to each, and chance decides.
    if (sent / size < 20) continue
    for (const node of nodes)
      c.ok(sentIn(node.sentAt, from + 1000, from + 31000) >= sent / size / 2, `${node.name} has its part`)
  }
}
/** A new holder has to hear of all before it gives out anything new. */
async function newHolder(c: Test): Promise<void> {
  for (const [size, limit, rate] of [
    [20, 40, 4.8],
    [76, 136, 16.3],
  ]) {
    const fleet = makeQuotaFleet(7, size, limit)
    demand(fleet, rate)
    await fleet.run(WARM_UP_MS)
    const before = countsOf(fleet)
    fleet.replaceHolder(3000)
    await fleet.run(3000)
    const without = countsOf(fleet)
    await fleet.run(2 * QUOTA_WINDOW_MS)
    const after = countsOf(fleet)
    const asked = after.asked - without.asked
    const refused = after.refused - without.refused
    const away = `${without.refused - before.refused} of ${without.asked - before.asked} refused in 3 s without a holder`
    const report = `${size} proxies, limit ${limit}: ${away}, ${refused} of ${asked} in the 10 s since`
    c.ok(refused <= 0.1 * asked, report)
    c.comment(report)
  }
}

void t.test('no window has more operations than the limit, whatever fails', drawn)
void t.test('one or two proxies refuse what comes evenly below the limit', evenly)
void t.test('many proxies refuse below the limit', belowLimit)
void t.test('a hot tenant gets far less than its limit, or some proxies get nothing', hotTenant)
void t.test('a new holder stops everything for a window', newHolder)
