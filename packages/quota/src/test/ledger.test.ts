import fc from 'fast-check'
import t, { type Test } from 'tap'
import { QUOTA_UNLIMITED } from '@claynotch/base'
import { makeLedger, type Ledger } from '../ledger.js'
import type { QuotaGrant } from '../messages.js'

const WINDOW_MS = 5000
const TENANT = 'kiln'

type ReportedUsage = { held?: number; used?: number; wanted?: number; waiting?: number }
type LedgerFixture = {
  ledger: Ledger
  time: { now: number }
  limit: { value: number | undefined }
  /** False: proxies may hold allowances of an earlier holder that this ledger doesn't know yet. */
  mayGrow: { value: boolean }
  /** Reports the usage of one proxy; returns its grant, or undefined if the answer has none. */
  report: (node: string, usage: ReportedUsage, from?: { life?: string; askedAt?: number }) => number | undefined
  liability: () => number
}

function makeFixture(limit: number | undefined): LedgerFixture {
  const time = { now: 100 }
  const currentLimit = { value: limit }
  const mayGrow = { value: true }
  function now(): number {
    return time.now
  }
  const ledger = makeLedger(now, WINDOW_MS)
  function limitOf(): number | undefined {
    return currentLimit.value
  }
  function report(
    node: string,
    usage: ReportedUsage,
    from: { life?: string; askedAt?: number } = {},
  ): number | undefined {
    const { held = 0, used = 0, wanted = 0, waiting = 0 } = usage
    const proxy = { node, life: from.life ?? 'a', askedAt: from.askedAt ?? ++time.now }
    const grants: QuotaGrant[] = ledger.report(proxy, [[TENANT, held, used, wanted, waiting]], limitOf, mayGrow.value)
    return grants[0]?.[1]
  }
  function liability(): number {
    return ledger.outstanding(TENANT)
  }
  return { ledger, time, limit: currentLimit, mayGrow, report, liability }
}

function staysWithinLimit(c: Test): void {
  const { report, liability } = makeFixture(15)
  c.equal(report('n1', { wanted: 40, waiting: 40 }), 15)
  c.equal(report('n2', { wanted: 4, waiting: 4 }), 0, 'nothing is free')
  c.equal(liability(), 15)
  c.end()
}
function reassignsReturnedAllowance(c: Test): void {
  const { report, liability } = makeFixture(20)
  c.equal(report('n1', { wanted: 20, waiting: 20 }), 20)
  c.equal(report('n2', { wanted: 20, waiting: 20 }), 0)
  const lowered = report('n1', { held: 20, used: 20, wanted: 20 })
  c.equal(lowered, 10, 'half of it, as both want the same')
  c.equal(liability(), 20, 'it may run all that it holds until it reports less')
  c.equal(report('n2', { wanted: 20, waiting: 20 }), 0)
  c.equal(report('n1', { held: 14, used: 14, wanted: 20 }), 10)
  c.equal(report('n2', { wanted: 20, waiting: 20 }), 6)
  c.equal(liability(), 20)
  c.end()
}
function keepsExpiredUsageForWindow(c: Test): void {
  const { ledger, report, liability, time } = makeFixture(15)
  report('n1', { wanted: 40, waiting: 40 })
  ledger.gone('n1')
  c.strictSame(ledger.nodes(), [])
  c.equal(report('n2', { wanted: 10, waiting: 10 }), 0, 'it may have been used just now')
  time.now += WINDOW_MS - 10
  c.equal(report('n2', { wanted: 10, waiting: 10 }), 0)
  time.now += 20
  c.equal(liability(), 0)
  c.ok((report('n2', { wanted: 10, waiting: 10 }) ?? 0) >= 10)
  c.end()
}
function ignoresOutdatedRead(c: Test): void {
  const { ledger, report, liability, time } = makeFixture(15)
  const seenAt = time.now
  report('n1', { wanted: 40, waiting: 40 })
  ledger.gone('n1', seenAt)
  time.now += WINDOW_MS + 1
  c.equal(liability(), 15, 'it has a lease again, and what it was granted under it')
  c.strictSame(ledger.nodes(), ['n1'])
  c.end()
}
function keepsUsageOfEndedProxy(c: Test): void {
  const { report, liability, time } = makeFixture(15)
  report('n1', { wanted: 40, waiting: 40 }, { life: 'a' })
  c.equal(report('n1', { wanted: 5, waiting: 5 }, { life: 'b' }), 0, 'the first incarnation may have used all of it')
  c.equal(liability(), 15)
  time.now += WINDOW_MS + 1
  c.ok((report('n1', { wanted: 5, waiting: 5 }, { life: 'b' }) ?? 0) >= 5)
  c.end()
}
function ignoresLateQuestion(c: Test): void {
  const { report, liability, time } = makeFixture(15)
  time.now = 1000
  report('n1', { wanted: 15, waiting: 15 }, { askedAt: 900 })
  c.equal(report('n1', {}, { askedAt: 899 }), undefined, 'asked before it held anything')
  c.equal(liability(), 15)
  report('n1', { held: 15 }, { life: 'b', askedAt: 950 })
  c.equal(report('n1', {}, { life: 'a', askedAt: 940 }), undefined, 'from an incarnation that has ended')
  c.equal(report('n1', {}, { life: 'c', askedAt: 950 }), undefined)
  c.equal(liability(), 30, 'the residual usage of the first incarnation counts beside what the second reports')
  c.end()
}
function confirmsReportedUsage(c: Test): void {
  const { report, liability, mayGrow } = makeFixture(15)
  mayGrow.value = false
  c.equal(report('n1', { held: 4, used: 4, wanted: 9, waiting: 5 }), 4, 'no more than it holds')
  c.equal(report('n2', { wanted: 2, waiting: 2 }), 0)
  report('n1', { held: 2, used: 2, wanted: 2 })
  c.equal(report('n2', { wanted: 5, waiting: 5 }), 2, 'what another proxy returned')
  c.equal(liability(), 4)
  c.end()
}
function waitsForEndedProxy(c: Test): void {
  const { report, mayGrow, time } = makeFixture(15)
  mayGrow.value = false
  report('n1', { held: 4, used: 4, wanted: 9 })
  time.now += 4000
  report('n2', {})
  mayGrow.value = true
  c.equal(
    report('n1', { held: 4, used: 4, wanted: 9, waiting: 5 }),
    4,
    'a proxy of n2 that ended may have used the rest',
  )
  time.now += WINDOW_MS
  c.ok((report('n1', { held: 4, used: 4, wanted: 9, waiting: 5 }) ?? 0) >= 9)
  c.end()
}
function waitsForDepartedNode(c: Test): void {
  const { ledger, report, mayGrow, time } = makeFixture(15)
  mayGrow.value = false
  report('n1', { held: 4, used: 4, wanted: 9 })
  time.now += 4000
  ledger.gone('n2')
  mayGrow.value = true
  time.now += WINDOW_MS - 100
  c.equal(
    report('n1', { held: 4, used: 4, wanted: 9, waiting: 5 }),
    4,
    'n2 may have used the rest until its lease expired',
  )
  time.now += 200
  c.ok((report('n1', { held: 4, used: 4, wanted: 9, waiting: 5 }) ?? 0) >= 9)
  c.end()
}
function countsReturnedProxyOnce(c: Test): void {
  const { ledger, report, liability } = makeFixture(15)
  const granted = report('n1', { wanted: 10, waiting: 10 }) ?? 0
  ledger.gone('n1')
  c.equal(liability(), granted)
  c.ok((report('n1', { held: 6, used: 6, wanted: 6 }) ?? 0) >= 6)
  c.equal(liability(), granted, 'one meter counted what it ran before and since')
  c.equal(report('n2', { wanted: 20, waiting: 20 }), 15 - granted)
  c.end()
}
function loweredLimit(c: Test): void {
  const { report, liability, limit, time } = makeFixture(40)
  report('n1', { wanted: 20, waiting: 20 })
  report('n2', { wanted: 20, waiting: 20 })
  limit.value = 10
  const outstandingBefore = liability()
  c.equal(report('n1', { held: 20, used: 20, wanted: 20 }), 5)
  c.equal(report('n2', { held: 20, used: 20, wanted: 20 }), 5)
  c.ok(liability() <= outstandingBefore)
  time.now += WINDOW_MS
  report('n1', { held: 5, used: 0, wanted: 20 })
  report('n2', { held: 5, used: 0, wanted: 20 })
  c.ok(liability() <= 10)
  c.end()
}
function unlimitedTenant(c: Test): void {
  const { report } = makeFixture(undefined)
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

/** Random reports of proxies that hold what they were granted: no report raises the outstanding sum above the limit. */
function neverExceedsLimit(c: Test): void {
  let reports = 0
  function staysWithinLimitOrBefore(steps: Step[]): boolean {
    const { ledger, report, liability, limit, time } = makeFixture(30)
    const proxies = new Map<number, { life: number; held: number }>()
    for (const currentStep of steps) {
      if (currentStep.kind === 'pass') time.now += currentStep.ms
      else if (currentStep.kind === 'limit') limit.value = currentStep.limit
      else if (currentStep.kind === 'gone') {
        ledger.gone(`n${currentStep.node}`)
        proxies.delete(currentStep.node)
      } else {
        const previous = proxies.get(currentStep.node) ?? { life: 0, held: 0 }
        const current = currentStep.newLife
          ? { life: previous.life + 1, held: 0 }
          : { ...previous, held: Math.max(0, previous.held - currentStep.gaveBack) }
        const used = Math.min(current.held, currentStep.used)
        const outstandingBefore = liability()
        const answer = report(
          `n${currentStep.node}`,
          { held: current.held, used, wanted: currentStep.wanted, waiting: currentStep.wanted },
          { life: `l${current.life}` },
        )
        reports++
        proxies.set(currentStep.node, { life: current.life, held: Math.max(answer ?? 0, used) })
        if (liability() > Math.max(outstandingBefore, limit.value ?? 0)) return false
      }
    }
    return true
  }
  const result = fc.check(fc.property(fc.array(step, { maxLength: 80 }), staysWithinLimitOrBefore), {
    numRuns: 2000,
    seed: 8,
  })
  c.notOk(result.failed, result.failed ? String(fc.defaultReportMessage(result)) : `${reports} reports`)
  c.end()
}

void t.test('grants stay within the limit', staysWithinLimit)
void t.test('what a proxy still holds is not granted to another one', reassignsReturnedAllowance)
void t.test('the usage of a node whose lease has expired counts for one window', keepsExpiredUsageForWindow)
void t.test('a read of the members from before a node came back leaves its newer grants alone', ignoresOutdatedRead)
void t.test('the usage of a proxy that ended counts for one window', keepsUsageOfEndedProxy)
void t.test('a late question changes nothing', ignoresLateQuestion)
void t.test('a new holder grants no more than was reported to it', confirmsReportedUsage)
void t.test('a new holder counts what an ended proxy may have used without a report', waitsForEndedProxy)
void t.test('a new holder counts what a node may have used that left without a report', waitsForDepartedNode)
void t.test('a proxy whose lease came back is counted once', countsReturnedProxyOnce)
void t.test('a lowered limit lowers the grants', loweredLimit)
void t.test('a tenant without a limit is not limited', unlimitedTenant)
void t.test('the outstanding sum never grows past the limit', neverExceedsLimit)
