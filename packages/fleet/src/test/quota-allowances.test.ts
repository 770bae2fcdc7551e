import t, { type Test } from 'tap'
import {
  makeFlag,
  makeMetrics,
  pause,
  QUOTA_DENIAL_BACKOFF_MS,
  QUOTA_ALLOWANCE_IDLE_TIMEOUT_MS,
  QUOTA_METER_WINDOW_MS,
  QUOTA_REQUEST_TIMEOUT_MS,
  QUOTA_REPORT_INTERVAL_MS,
  type Metrics,
  type World,
} from '@claynotch/base'
import {
  makeAllowances,
  type Allowances,
  type QuotaGrant,
  type QuotaQuestion,
  type Reservation,
} from '@claynotch/quota'
import { makeSim } from '../sim.js'

// The allowances of one proxy, with a holder that answers as each test says.

const TENANT = 'kiln'
const WAIT_MS = 40
const ANSWER_MS = 2

type Bench = {
  world: World
  allowances: Allowances
  metrics: Metrics
  questions: QuotaQuestion[]
  /** What the next questions are answered, after so many ms; undefined: nothing is. */
  answer: { allowance: number | undefined; afterMs: number }
  lease: { since: number; until: number }
  mostUnderWay: () => number
  reserve: () => Promise<Reservation | undefined>
  /** How many operations can be sent at once. */
  spend: (most: number) => Promise<number>
}

type Play = (c: Test, bench: Bench) => Promise<void>

async function playOnBench(c: Test, play: Play): Promise<void> {
  const sim = makeSim(1)
  let isOver = false
  let fault: unknown
  async function begin(world: World): Promise<void> {
    const metrics = makeMetrics()
    const stop = makeFlag()
    const questions: QuotaQuestion[] = []
    const answer: Bench['answer'] = { allowance: undefined, afterMs: ANSWER_MS }
    const lease = { since: 0, until: Infinity }
    let underWay = 0
    let most = 0
    async function ask(question: QuotaQuestion): Promise<QuotaGrant[] | undefined> {
      questions.push(question)
      const { allowance, afterMs } = answer
      if (allowance === undefined) return undefined
      underWay++
      most = Math.max(most, underWay)
      await pause(world, afterMs)
      underWay--
      const grants: QuotaGrant[] = []
      for (const [tenant] of question.lines) grants.push([tenant, allowance])
      return grants
    }
    function isLeased(): boolean {
      return world.now() < lease.until
    }
    function leasedSince(): number {
      return lease.since
    }
    function isActive(): boolean {
      return true
    }
    const allowances = makeAllowances(world, { life: 'a', isLeased, leasedSince, isActive, ask }, metrics, stop)
    function reserve(): Promise<Reservation | undefined> {
      return allowances.reserve(TENANT, WAIT_MS, makeFlag())
    }
    async function spend(limit: number): Promise<number> {
      for (let sent = 0; sent < limit; sent++) if (!(await reserve())?.markSent()) return sent
      return limit
    }
    function mostUnderWay(): number {
      return most
    }
    try {
      await play(c, { world, allowances, metrics, questions, answer, lease, mostUnderWay, reserve, spend })
    } catch (e) {
      fault = e
    }
    stop.fire()
    isOver = true
  }
  sim.spawn(sim.machine('n1', '10.0.0.1'), 'proxy', begin)
  function over(): boolean {
    return isOver
  }
  await sim.until(over, 600000)
  if (fault !== undefined) throw fault as Error
}

function onBench(play: Play): (c: Test) => Promise<void> {
  function run(c: Test): Promise<void> {
    return playOnBench(c, play)
  }
  return run
}

/** The most that it holds at any time of the next so many ms. */
async function mostHeld(world: World, allowances: Allowances, ms: number): Promise<number> {
  let most = 0
  for (let k = 0; k < ms; k++) {
    most = Math.max(most, allowances.held(TENANT))
    await pause(world, 1)
  }
  return most
}

async function unanswered(c: Test, { world, reserve, metrics }: Bench): Promise<void> {
  const from = world.now()
  c.equal(await reserve(), undefined)
  c.equal(world.now() - from, WAIT_MS, 'it waits no longer than its share')
  c.equal(metrics.get('claynotch_quota_refused_total', [['tenant', TENANT]]), 1)
}
async function within(c: Test, { world, answer, spend, reserve, allowances }: Bench): Promise<void> {
  answer.allowance = 5
  c.equal(await spend(20), 5)
  c.equal(allowances.held(TENANT), 5)
  await pause(world, QUOTA_METER_WINDOW_MS - 100)
  c.equal(await spend(20), 0, 'the window is not over')
  await pause(world, 200)
  const first = await reserve()
  c.equal(await spend(20), 4, 'what is reserved counts')
  first?.cancel()
  first?.cancel()
  c.equal(await spend(20), 1, 'what was cancelled does not, and once only')
  c.notOk(first?.markSent(), 'a reservation that was cancelled is not sent')
}
async function atOnce(c: Test, { world, answer, spend, reserve, questions }: Bench): Promise<void> {
  answer.allowance = 2
  c.equal(await spend(3), 2)
  const asked = questions.length
  const from = world.now()
  for (let k = 0; k < 50; k++) c.equal(await reserve(), undefined)
  c.equal(world.now(), from, 'no wait, as the holder said no just now')
  c.equal(questions.length, asked)
  await pause(world, QUOTA_DENIAL_BACKOFF_MS + 1)
  answer.allowance = 3
  c.equal(await spend(2), 1, 'it asks anew after a while')
}
async function lateAnswer(
  c: Test,
  { world, answer, reserve, allowances, questions, mostUnderWay }: Bench,
): Promise<void> {
  answer.allowance = 9
  answer.afterMs = QUOTA_REQUEST_TIMEOUT_MS + 50
  c.equal(await reserve(), undefined)
  answer.allowance = 0
  answer.afterMs = ANSWER_MS
  c.equal(
    await mostHeld(world, allowances, 3 * QUOTA_REQUEST_TIMEOUT_MS),
    0,
    'a later question told that it holds nothing',
  )
  c.ok(questions.length > 1)
  c.ok(mostUnderWay() <= 2)
}
async function lapsed(c: Test, { world, answer, reserve, spend, allowances, lease }: Bench): Promise<void> {
  answer.allowance = 9
  const early = await reserve()
  c.ok(early)
  lease.until = world.now()
  c.equal(allowances.held(TENANT), 0)
  c.notOk((await reserve())?.markSent(), 'nothing is sent without a lease')
  await pause(world, 1000)
  answer.allowance = 0
  lease.since = world.now()
  lease.until = Infinity
  c.notOk(early?.markSent(), 'what was reserved under the lease before must not go out')
  c.equal(await spend(5), 0, 'what it was given then is others’ now')
}
async function answeredAcrossLapse(c: Test, { world, answer, reserve, allowances, lease }: Bench): Promise<void> {
  answer.allowance = 9
  answer.afterMs = 300
  void reserve()
  await pause(world, 100)
  lease.until = world.now()
  await pause(world, 50)
  lease.since = world.now()
  lease.until = Infinity
  answer.allowance = 0
  answer.afterMs = ANSWER_MS
  c.equal(await mostHeld(world, allowances, 400), 0, 'the answer is to a question from before the lapse')
}
async function loweredAnswer(c: Test, { world, answer, spend, allowances, questions }: Bench): Promise<void> {
  answer.allowance = 10
  c.equal(await spend(6), 6)
  answer.allowance = 2
  await pause(world, 2 * QUOTA_REPORT_INTERVAL_MS)
  c.equal(allowances.held(TENANT), 6, 'what was sent within the window is still held')
  c.same(questions.at(-1)?.lines, [[TENANT, 6, 6, 6, 0]])
  c.equal(await spend(1), 0)
  await pause(world, QUOTA_METER_WINDOW_MS)
  c.equal(await spend(9), 2)
}
async function givenBack(c: Test, { world, answer, spend, questions }: Bench): Promise<void> {
  answer.allowance = 3
  c.equal(await spend(1), 1)
  await pause(world, QUOTA_ALLOWANCE_IDLE_TIMEOUT_MS - 1000)
  c.same(questions.at(-1)?.lines, [[TENANT, 3, 0, 0, 0]])
  answer.allowance = 0
  await pause(world, 3000)
  c.same(questions.at(-1)?.lines, [], 'all was told back, and nothing is left to tell')
  const asked = questions.length
  await pause(world, 10000)
  c.ok(questions.length - asked >= 9, 'a new holder hears that it holds nothing')
}
async function idle(c: Test, { world, answer, spend, questions }: Bench): Promise<void> {
  answer.allowance = 3
  c.equal(await spend(1), 1)
  await pause(world, QUOTA_REPORT_INTERVAL_MS + 100)
  // Nobody lowers it: the holder is away.
  answer.allowance = undefined
  await pause(world, QUOTA_ALLOWANCE_IDLE_TIMEOUT_MS + 1000)
  c.same(questions.at(-1)?.lines, [[TENANT, 0, 0, 0, 0]], 'it gives back what it does not use')
}
async function oneAtATime(c: Test, { world, answer, reserve, mostUnderWay, questions }: Bench): Promise<void> {
  answer.allowance = 1
  answer.afterMs = 30
  const all: Promise<unknown>[] = []
  for (let k = 0; k < 20; k++) {
    all.push(reserve())
    await pause(world, 7)
  }
  await Promise.all(all)
  c.equal(mostUnderWay(), 1)
  c.ok(questions.length < 20)
}
async function goneAway(c: Test, { world, answer, allowances }: Bench): Promise<void> {
  answer.allowance = 9
  answer.afterMs = 30
  const gone = makeFlag()
  world.later(5, gone.fire)
  const from = world.now()
  c.equal(await allowances.reserve(TENANT, WAIT_MS, gone), undefined)
  c.equal(world.now() - from, 5)
  await pause(world, 100)
  c.ok(await allowances.reserve(TENANT, WAIT_MS, makeFlag()))
}

void t.test('an operation waits for long, or runs, though nobody answers', onBench(unanswered))
void t.test('more is run in a window than the allowance', onBench(within))
void t.test('an operation over the limit waits, or has the holder asked each time', onBench(atOnce))
void t.test('an answer to a question that was given up counts', onBench(lateAnswer))
void t.test('an allowance outlives the lease that it was given under', onBench(lapsed))
void t.test('an answer to a question from before the lease lapsed counts', onBench(answeredAcrossLapse))
void t.test('a lowered allowance is passed, or told before what was sent has left the window', onBench(loweredAnswer))
void t.test('what was given back is told on and on, or nothing is told', onBench(givenBack))
void t.test('what is not used is kept for ever', onBench(idle))
void t.test('two questions are under way at one time', onBench(oneAtATime))
void t.test('an operation whose client went away keeps waiting', onBench(goneAway))
