import t, { type Test } from 'tap'
import {
  BACKOFF_BASE_MS,
  BREAKER_MIN_RESULTS,
  makeDataFile,
  makeMetrics,
  readRecords,
  RETRY_TOKENS,
  type World,
} from '@claynotch/base'
import {
  evaluateChange,
  digestOf,
  emptyBody,
  readConfig,
  type ConfigurationBody,
  type Change,
  type Config,
  type Decision,
} from '@claynotch/operator'
import {
  backoffDelayMs,
  freshnessFloor,
  isFresh,
  makeBreaker,
  makeRetryTokens,
  requiredPositionOf,
  type Sample,
} from '@claynotch/proxy'
import { dutyHolderOf } from '@claynotch/failover'
import { makeRandom, makeSim } from '../sim.js'
import { task } from './beside.js'

async function inWorld(run: (world: World) => Promise<void>): Promise<void> {
  const sim = makeSim(3)
  await task(sim, sim.machine('m', '10.0.0.1'), run)
}

// --- freshness ---

/** Checks the freshness proof, which knows only samples, against a leader's complete commit history. */
async function freshness(test: Test): Promise<void> {
  const random = makeRandom(11)
  let allowedReads = 0
  let violations = 0
  for (let round = 0; round < 400; round++) {
    const maxStalenessMs = [500, 1500, 2500][Math.floor(random() * 3)]
    // Commits at random times, with occasional epoch changes; the position keeps increasing across epochs.
    const commits: { at: number; epoch: number; position: number; session: boolean }[] = []
    let epoch = 1
    let committedAt = 0
    for (let k = 1; k <= 60; k++) {
      committedAt += random() * 200
      if (random() < 0.03) epoch++
      commits.push({ at: committedAt, epoch, position: k, session: random() < 0.1 })
    }
    const now = committedAt + random() * 500
    function positionAt(time: number): { epoch: number; position: number } {
      let latest = { epoch: 1, position: 0 }
      for (const commit of commits) if (commit.at <= time) latest = { epoch: commit.epoch, position: commit.position }
      return latest
    }
    // A sample's position is taken up to 600 ms after it was asked for.
    const samples: Sample[] = []
    for (let k = 0; k < 20; k++) {
      const askedAt = random() * now
      const answeredPosition = positionAt(Math.min(now, askedAt + random() * 600))
      samples.push({ askedAt, epoch: answeredPosition.epoch, position: answeredPosition })
    }
    const followerCommit = commits[Math.floor(random() * commits.length)]
    const follower = { epoch: random() < 0.8 ? epoch : followerCommit.epoch, position: followerCommit.position }
    let token: { epoch: number; position: number } | undefined
    for (const commit of commits) if (commit.session) token = { epoch: commit.epoch, position: commit.position }
    const required = requiredPositionOf(freshnessFloor(samples, epoch, maxStalenessMs, now), epoch, token)
    if (required === undefined || !isFresh(follower, required, true)) continue
    allowedReads++
    // Reference model: of the current epoch, the follower must hold every commit older than the staleness limit and
    // every commit of the session.
    for (const commit of commits)
      if (
        (commit.at < now - maxStalenessMs || commit.session) &&
        commit.position > follower.position &&
        !(commit.epoch < epoch)
      )
        violations++
  }
  test.equal(violations, 0, 'no allowed read misses a commit that it must see')
  test.ok(allowedReads > 20, `${allowedReads} reads were allowed`)
}

// --- the data file ---
function recordOf(k: number): unknown {
  return { k, text: 'x'.repeat(k % 50) }
}
async function dataFile(test: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    const file = makeDataFile(world, '/f')
    await file.open()
    for (let k = 0; k < 20; k++) await file.append(recordOf(k))
    const contents = Buffer.from((await world.disk.read('/f')) as Uint8Array)
    // Truncated anywhere, the file yields a prefix of its records and is never reported as damaged.
    const random = makeRandom(4)
    for (let k = 0; k < 60; k++) {
      const cut = Math.floor(random() * contents.length)
      const parsed = readRecords(contents.subarray(0, cut))
      test.notOk(parsed.damaged)
      for (const [index, record] of parsed.records.entries())
        if (JSON.stringify(record) !== JSON.stringify(recordOf(index)))
          test.fail('a record differs from the one written')
    }
    // A changed byte anywhere but in the last record is detected as damage.
    let detected = 0
    for (let k = 0; k < 60; k++) {
      const offset = Math.floor(random() * (contents.length - 80))
      const corrupted = Buffer.from(contents)
      corrupted[offset] ^= 1 + Math.floor(random() * 255)
      if (readRecords(corrupted).damaged) detected++
    }
    test.equal(detected, 60, 'damage before intact records is always detected')
    const reopened = makeDataFile(world, '/f')
    const opened = await reopened.open()
    test.equal(opened.records.length, 20)
    await reopened.reset([recordOf(1)])
    test.equal((await makeDataFile(world, '/f').open()).records.length, 1, 'a reset file holds only the new records')
  }
  await inWorld(run)
}

// --- configuration and decisions ---
const validConfig: Config = {
  proxies: 4,
  groups: [{ name: 'g', connections: 40 }],
  lanes: [{ name: 'l', database: 'd', group: 'g', reads: { within: 1500 } }],
}
async function configuration(test: Test): Promise<void> {
  test.ok(readConfig(validConfig).ok)
  const invalid = readConfig({
    proxies: 0,
    groups: [
      { name: 'g', connections: 'x' },
      { name: 'g/h', connections: 1 },
    ],
    lanes: [{ name: 'l', database: 'd', group: 'g', reads: 'sometimes', colour: 1 }],
    extra: true,
  })
  test.ok(invalid.err)
  const places: string[] = []
  if (invalid.err) for (const finding of invalid.val) places.push(finding.place)
  for (const place of [
    '/proxies',
    '/groups/0/connections',
    '/groups/1/name',
    '/lanes/0/reads',
    '/lanes/0/colour',
    '/extra',
  ])
    test.ok(places.includes(place), `finding at ${place}`)
  const badReferences = readConfig({
    ...validConfig,
    lanes: [{ ...validConfig.lanes[0], group: 'h', team: 'nobody' }, validConfig.lanes[0]],
  })
  if (badReferences.err)
    test.strictSame(badReferences.val.map(placeOf), ['/lanes/1/name', '/lanes/0/group', '/lanes/0/team'])
  else test.fail('references to unknown names were accepted')
  const tooFewConnections = readConfig({ ...validConfig, proxies: 20 })
  if (tooFewConnections.err) test.strictSame(tooFewConnections.val.map(placeOf), ['/groups/0/connections'])
  else test.fail('too few connections for the proxies were accepted')
}
function placeOf(finding: { place: string }): string {
  return finding.place
}
/**
 * Random changes of several streams, with repeats and with different changes under a number already used, against a
 * reference model of the expected decisions.
 */
async function decisions(test: Test): Promise<void> {
  const random = makeRandom(9)
  let body: ConfigurationBody = emptyBody()
  let epoch = 0
  const firstDecisions = new Map<string, { decisionJson: string; change: Change }>()
  const lastNumbers = new Map<string, number>()
  let conflictCount = 0
  function evaluate(stream: string, change: Change): { decision: Decision; body: ConfigurationBody | undefined } {
    const evaluation = evaluateChange(body, { stream, change, digest: digestOf(change) })
    if ('unclear' in evaluation) throw new Error(evaluation.unclear)
    return 'known' in evaluation ? { decision: evaluation.known, body: undefined } : evaluation
  }
  for (let k = 0; k < 600; k++) {
    const stream = `s${Math.floor(random() * 3)}`
    const isRepeat = random() < 0.2 && lastNumbers.has(stream)
    const number = isRepeat ? lastNumbers.get(stream)! : (lastNumbers.get(stream) ?? 0) + 1
    const id = `${stream}#${number}`
    const earlier = firstDecisions.get(id)
    const isConflicting = earlier !== undefined && random() < 0.3
    const drawn: Change = {
      number,
      expect: random() < 0.7 ? epoch : epoch - 1,
      whole: random() < 0.8 ? validConfig : { ...validConfig, proxies: 0 },
    }
    // A repeat has the same content, whatever epoch it expects; a conflicting change has different content.
    const change: Change = isConflicting
      ? { ...drawn, whole: { ...validConfig, transactionIdle: k } }
      : earlier
        ? { ...earlier.change, expect: drawn.expect }
        : drawn
    const evaluation = evaluate(stream, change)
    if (isConflicting) {
      conflictCount++
      test.equal(evaluation.decision.decision, 'refused', 'a number identifies a single change')
      if (evaluation.body) test.fail('a conflicting change got a new decision')
      continue
    }
    if (earlier) {
      test.equal(JSON.stringify(evaluation.decision), earlier.decisionJson, 'a repeat gets the first decision')
      if (evaluation.body) test.fail('a repeat got a new decision')
      continue
    }
    const isAcceptanceExpected = change.expect === epoch && (change.whole as Config).proxies !== 0
    if ((evaluation.decision.decision === 'accepted') !== isAcceptanceExpected)
      test.fail(`${id} was ${evaluation.decision.decision}`)
    if (evaluation.body) body = evaluation.body
    if (isAcceptanceExpected) epoch++
    if (body.epoch !== epoch) test.fail('the epoch is not the number of accepted changes')
    firstDecisions.set(id, { decisionJson: JSON.stringify(evaluation.decision), change })
    lastNumbers.set(stream, number)
  }
  test.ok(conflictCount > 10, `${conflictCount} conflicting changes`)
  test.ok(epoch > 100)
  test.equal(body.history[body.history.length - 1].epoch, epoch)
  test.equal(body.history.filter(hasConfig).length, Math.min(8, epoch), 'the latest configurations are kept in full')
  const longPast = evaluate('s0', { number: 1, expect: epoch, whole: validConfig })
  test.equal(longPast.body, undefined, 'a number from long ago never gets a new decision')
}

// --- retry ---
async function retry(test: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    for (let attempt = 0; attempt < 4; attempt++) {
      for (let k = 0; k < 50; k++) {
        const delayMs = backoffDelayMs(world, attempt)
        if (delayMs < 2 ** attempt * BACKOFF_BASE_MS || delayMs >= 1.5 * 2 ** attempt * BACKOFF_BASE_MS)
          test.fail(`backoff of ${delayMs} ms at attempt ${attempt}`)
      }
    }
    let fleetCounts = { firsts: 0, retries: 0 }
    function fleetRetryCounts(): { firsts: number; retries: number } {
      return fleetCounts
    }
    const lowRetryTokens = makeRetryTokens(world, fleetRetryCounts)
    let spent = 0
    while (lowRetryTokens.spendOnRetry()) spent++
    test.equal(spent, RETRY_TOKENS, 'the number of retry tokens is bounded')
    // The other nodes retry too much, so each retry costs two tokens here.
    fleetCounts = { firsts: 100, retries: 400 }
    const highRetryTokens = makeRetryTokens(world, fleetRetryCounts)
    spent = 0
    while (highRetryTokens.spendOnRetry()) spent++
    test.ok(spent <= RETRY_TOKENS / 2 + 1, `${spent} retries while the fleet retries too much`)
    const breaker = makeBreaker(world, 'g', makeMetrics())
    for (let k = 0; k < BREAKER_MIN_RESULTS - 1; k++) breaker.record(false, false)
    test.equal(breaker.state(), 'closed', 'failures below the minimum number of results do not open it')
    breaker.record(false, false)
    test.equal(breaker.state(), 'open')
    test.notOk(breaker.allows())
    function startTimer(resolve: () => void): void {
      world.later(4000, resolve)
    }
    await new Promise<void>(startTimer)
    test.ok(breaker.allows(), 'a probe is allowed')
    test.notOk(breaker.allows(), 'one probe at a time')
    breaker.record(false, true)
    test.equal(breaker.state(), 'open', 'a failed probe opens it again')
    await new Promise<void>(startTimer)
    for (let k = 0; k < 3; k++) {
      test.ok(breaker.allows())
      breaker.record(true, true)
    }
    test.equal(breaker.state(), 'closed', 'successful probes in a row close it')
  }
  await inWorld(run)
}

/** Rendezvous hashing spreads the keys evenly, and the removal of a node moves only that node's keys. */
async function dutyDistribution(test: Test): Promise<void> {
  const nodes: string[] = []
  for (let k = 1; k <= 9; k++) nodes.push(`front${k}`)
  const counts = new Map<string, number>()
  let movedKeys = 0
  for (let k = 0; k < 900; k++) {
    const key = `group/g${k}`
    const holder = dutyHolderOf(key, nodes) as string
    counts.set(holder, (counts.get(holder) ?? 0) + 1)
    const holderWithout = dutyHolderOf(key, nodes.slice(1))
    if (holder !== 'front1' && holderWithout !== holder) movedKeys++
  }
  test.equal(movedKeys, 0, 'the removal of a node moves only its own keys')
  for (const count of counts.values()) test.ok(count > 50 && count < 170, `${count} of 900 keys on one of nine nodes`)
}

function hasConfig(entry: { config?: unknown }): boolean {
  return entry.config !== undefined
}
/**
 * Guards against move-lagging: samples of the new group's leader from before a lane's move don't cover the commits that
 * the lane brought from its old group.
 */
function samplesBeforeMove(test: Test): void {
  const samples: Sample[] = [
    { askedAt: 100, epoch: 2, position: { epoch: 2, position: 7 } },
    { askedAt: 300, epoch: 2, position: { epoch: 2, position: 9 } },
  ]
  test.strictSame(
    freshnessFloor(samples, 2, 1000, 400),
    { epoch: 2, position: 7 },
    'a lane that was always in the group',
  )
  test.strictSame(freshnessFloor(samples, 2, 1000, 400, 200), { epoch: 2, position: 9 }, 'a lane that came at 200')
  test.equal(freshnessFloor(samples, 2, 1000, 400, 350), undefined, 'a lane that came after all samples')
  test.end()
}

void t.test('freshness: the proof from samples against the complete history', freshness)
void t.test('data file: a torn end is truncated, damage is detected', dataFile)
void t.test('configuration: all findings are reported at once, with their places', configuration)
void t.test('decisions: random changes against a reference model', decisions)
void t.test('retry: backoff, tokens, circuit breaker', retry)
void t.test('duties: keys are distributed over the live nodes', dutyDistribution)
void t.test('samples from before a lane came to a group prove nothing about it', samplesBeforeMove)
