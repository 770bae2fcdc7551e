import fc from 'fast-check'
import t, { type Test } from 'tap'
import { QUOTA_UNLIMITED } from '@claynotch/base'
import { makeLedger, type Ledger } from '../ledger.js'
import type { QuotaGrant } from '../messages.js'

const WINDOW_MS = 5000
const TENANT = 'kiln'

type Told = { held?: number; used?: number; wanted?: number; waiting?: number }
type Bench = {
  ledger: Ledger
  time: { now: number }
  limit: { value: number | undefined }
  /** Proxies of an earlier holder may hold what this one doesn't know. */
  mayGrow: { value: boolean }
  /** What the proxy is answered; undefined: the tenant isn't named. */
  report: (node: string, told: Told, from?: { life?: string; askedAt?: number }) => number | undefined
  liability: () => number
}

function makeBench(limit: number | undefined): Bench {
  const time = { now: 100 }
  const limitNow = { value: limit }
  const mayGrow = { value: true }
  function now(): number {
    return time.now
  }
  const ledger = makeLedger(now, WINDOW_MS)
  function limitOf(): number | undefined {
    return limitNow.value
  }
  function report(node: string, told: Told, from: { life?: string; askedAt?: number } = {}): number | undefined {
    const { held = 0, used = 0, wanted = 0, waiting = 0 } = told
    const proxy = { node, life: from.life ?? 'a', askedAt: from.askedAt ?? ++time.now }
    const grants: QuotaGrant[] = ledger.report(proxy, [[TENANT, held, used, wanted, waiting]], limitOf, mayGrow.value)
    return grants[0]?.[1]
  }
  function liability(): number {
    return ledger.outstanding(TENANT)
  }
  return { ledger, time, limit: limitNow, mayGrow, report, liability }
}

function limited(c: Test): void {
  const { report, liability } = makeBench(15)
  c.equal(report('n1', { wanted: 40, waiting: 40 }), 15)
  c.equal(report('n2', { wanted: 4, waiting: 4 }), 0, 'nothing is free')
  c.equal(liability(), 15)
  c.end()
}
function onceTold(c: Test): void {
  const { report, liability } = makeBench(20)
  c.equal(report('n1', { wanted: 20, waiting: 20 }), 20)
  c.equal(report('n2', { wanted: 20, waiting: 20 }), 0)
  const lowered = report('n1', { held: 20, used: 20, wanted: 20 })
  c.equal(lowered, 10, 'half of it, as both want the same')
  c.equal(liability(), 20, 'it may run all that it holds until it tells less')
  c.equal(report('n2', { wanted: 20, waiting: 20 }), 0)
  c.equal(report('n1', { held: 14, used: 14, wanted: 20 }), 10)
  c.equal(report('n2', { wanted: 20, waiting: 20 }), 6)
  c.equal(liability(), 20)
  c.end()
}
function gone(c: Test): void {
  const { ledger, report, liability, time } = makeBench(15)
  report('n1', { wanted: 40, waiting: 40 })
  ledger.gone('n1')
  c.strictSame(ledger.nodes(), [])
  c.equal(report('n2', { wanted: 10, waiting: 10 }), 0, 'it may have been spent just now')
  time.now += WINDOW_MS - 10
  c.equal(report('n2', { wanted: 10, waiting: 10 }), 0)
  time.now += 20
  c.equal(liability(), 0)
  c.ok((report('n2', { wanted: 10, waiting: 10 }) ?? 0) >= 10)
  c.end()
}
function goneBeforeAnswered(c: Test): void {
  const { ledger, report, liability, time } = makeBench(15)
  const seenAt = time.now
  report('n1', { wanted: 40, waiting: 40 })
  ledger.gone('n1', seenAt)
  time.now += WINDOW_MS + 1
  c.equal(liability(), 15, 'it has a lease again, and what it was given under it')
  c.strictSame(ledger.nodes(), ['n1'])
  c.end()
}
function secondLife(c: Test): void {
  const { report, liability, time } = makeBench(15)
  report('n1', { wanted: 40, waiting: 40 }, { life: 'a' })
  c.equal(report('n1', { wanted: 5, waiting: 5 }, { life: 'b' }), 0, 'the first one may have spent all of it')
  c.equal(liability(), 15)
  time.now += WINDOW_MS + 1
  c.ok((report('n1', { wanted: 5, waiting: 5 }, { life: 'b' }) ?? 0) >= 5)
  c.end()
}
function lateQuestion(c: Test): void {
  const { report, liability, time } = makeBench(15)
  time.now = 1000
  report('n1', { wanted: 15, waiting: 15 }, { askedAt: 900 })
  c.equal(report('n1', {}, { askedAt: 899 }), undefined, 'asked before it held anything')
  c.equal(liability(), 15)
  report('n1', { held: 15 }, { life: 'b', askedAt: 950 })
  c.equal(report('n1', {}, { life: 'a', askedAt: 940 }), undefined, 'of a life that is over')
  c.equal(report('n1', {}, { life: 'c', askedAt: 950 }), undefined)
  c.equal(liability(), 30, 'what the first life had cools beside what the second tells')
  c.end()
}
function affirmed(c: Test): void {
  const { report, liability, mayGrow } = makeBench(15)
  mayGrow.value = false
  c.equal(report('n1', { held: 4, used: 4, wanted: 9, waiting: 5 }), 4, 'no more than it holds')
  c.equal(report('n2', { wanted: 2, waiting: 2 }), 0)
  report('n1', { held: 2, used: 2, wanted: 2 })
  c.equal(report('n2', { wanted: 5, waiting: 5 }), 2, 'what another gave back')
  c.equal(liability(), 4)
  c.end()
}
function toldLast(c: Test): void {
  const { report, mayGrow, time } = makeBench(15)
  mayGrow.value = false
  report('n1', { held: 4, used: 4, wanted: 9 })
  time.now += 4000
  report('n2', {})
  mayGrow.value = true
  c.equal(
    report('n1', { held: 4, used: 4, wanted: 9, waiting: 5 }),
    4,
    'a proxy of n2 that ended may have spent the rest',
  )
  time.now += WINDOW_MS
  c.ok((report('n1', { held: 4, used: 4, wanted: 9, waiting: 5 }) ?? 0) >= 9)
  c.end()
}
function leftUntold(c: Test): void {
  const { ledger, report, mayGrow, time } = makeBench(15)
  mayGrow.value = false
  report('n1', { held: 4, used: 4, wanted: 9 })
  time.now += 4000
  ledger.gone('n2')
  mayGrow.value = true
  time.now += WINDOW_MS - 100
  c.equal(report('n1', { held: 4, used: 4, wanted: 9, waiting: 5 }), 4, 'n2 may have spent the rest until it left')
  time.now += 200
  c.ok((report('n1', { held: 4, used: 4, wanted: 9, waiting: 5 }) ?? 0) >= 9)
  c.end()
}
function backAgain(c: Test): void {
  const { ledger, report, liability } = makeBench(15)
  const given = report('n1', { wanted: 10, waiting: 10 }) ?? 0
  ledger.gone('n1')
  c.equal(liability(), given)
  c.ok((report('n1', { held: 6, used: 6, wanted: 6 }) ?? 0) >= 6)
  c.equal(liability(), given, 'one meter counted what it ran before and since')
  c.equal(report('n2', { wanted: 20, waiting: 20 }), 15 - given)
  c.end()
}
function lowered(c: Test): void {
  const { report, liability, limit, time } = makeBench(40)
  report('n1', { wanted: 20, waiting: 20 })
  report('n2', { wanted: 20, waiting: 20 })
  limit.value = 10
  const before = liability()
  c.equal(report('n1', { held: 20, used: 20, wanted: 20 }), 5)
  c.equal(report('n2', { held: 20, used: 20, wanted: 20 }), 5)
  c.ok(liability() <= before)
  time.now += WINDOW_MS
  report('n1', { held: 5, used: 0, wanted: 20 })
  report('n2', { held: 5, used: 0, wanted: 20 })
  c.ok(liability() <= 10)
  c.end()
}
function unlimited(c: Test): void {
  const { report } = makeBench(undefined)
  c.equal(report('n1', { wanted: 5, waiting: 5 }), QUOTA_UNLIMITED)
  c.end()
}

type Step =
  | { kind: 'report'; node: number; gaveBack: number; used: number; wanted: number; newLife: boolean }
  | { kind: 'gone'; node: number }
  | { kind: 'limit'; limit: number }
  | { kind: 'pass'; ms: number }

const node = fc.nat({ max: 3 })
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant('report' as const),
      node,
      gaveBack: fc.nat({ max: 8 }),
      used: fc.nat({ max: 20 }),
      wanted: fc.nat({ max: 40 }),
      newLife: fc.boolean(),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('gone' as const), node }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('limit' as const), limit: fc.nat({ max: 40 }) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('pass' as const), ms: fc.constantFrom(10, 1000, 6000) }) },
)

/** Any reports of proxies that hold what they were answered: no report makes the sum greater but up to the limit. */
function neverGrows(c: Test): void {
  let reports = 0
  function holds(steps: Step[]): boolean {
    const { ledger, report, liability, limit, time } = makeBench(30)
    const held = new Map<number, { life: number; held: number }>()
    for (const what of steps) {
      if (what.kind === 'pass') time.now += what.ms
      else if (what.kind === 'limit') limit.value = what.limit
      else if (what.kind === 'gone') {
        ledger.gone(`n${what.node}`)
        held.delete(what.node)
      } else {
        const old = held.get(what.node) ?? { life: 0, held: 0 }
        const mine = what.newLife
          ? { life: old.life + 1, held: 0 }
          : { ...old, held: Math.max(0, old.held - what.gaveBack) }
        const used = Math.min(mine.held, what.used)
        const before = liability()
        const answer = report(
          `n${what.node}`,
          { held: mine.held, used, wanted: what.wanted, waiting: what.wanted },
          { life: `l${mine.life}` },
        )
        reports++
        held.set(what.node, { life: mine.life, held: Math.max(answer ?? 0, used) })
        if (liability() > Math.max(before, limit.value ?? 0)) return false
      }
    }
    return true
  }
  const result = fc.check(fc.property(fc.array(step, { maxLength: 80 }), holds), { numRuns: 2000, seed: 8 })
  c.notOk(result.failed, result.failed ? String(fc.defaultReportMessage(result)) : `${reports} reports`)
  c.end()
}

void t.test('more than the limit is given out', limited)
void t.test('what a proxy still holds is given to another', onceTold)
void t.test('what a node had whose lease is over is given out within its window', gone)
void t.test('a look at the members from before a node came back takes what it was given since', goneBeforeAnswered)
void t.test('what a proxy had that ended is given out within its window', secondLife)
void t.test('a late question lowers what a later one told', lateQuestion)
void t.test('a new holder gives out more than it was told', affirmed)
void t.test('a new holder gives out what an ended proxy may have spent, of which it was not told', toldLast)
void t.test('a new holder gives out what a node may have spent that left untold', leftUntold)
void t.test('a proxy whose lease came back is counted twice', backAgain)
void t.test('a lowered limit is not told', lowered)
void t.test('a tenant without a limit is refused', unlimited)
void t.test('the sum grows past the limit', neverGrows)
