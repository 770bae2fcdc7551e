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

// --- freshness: a leader's history in full, against the proof from samples ---
async function freshness(c: Test): Promise<void> {
  const rnd = makeRandom(11)
  let allowed = 0
  let wrong = 0
  for (let round = 0; round < 400; round++) {
    const within = [500, 1500, 2500][Math.floor(rnd() * 3)]
    // Commits at times, epochs change now and then; the position goes on across epochs.
    const commits: { at: number; epoch: number; position: number; session: boolean }[] = []
    let epoch = 1
    let at = 0
    for (let k = 1; k <= 60; k++) {
      at += rnd() * 200
      if (rnd() < 0.03) epoch++
      commits.push({ at, epoch, position: k, session: rnd() < 0.1 })
    }
    const now = at + rnd() * 500
    function positionAt(time: number): { epoch: number; position: number } {
      let best = { epoch: 1, position: 0 }
      for (const m of commits) if (m.at <= time) best = { epoch: m.epoch, position: m.position }
      return best
    }
    // Samples are answered some time after they were asked, some of them long after.
    const samples: Sample[] = []
    for (let k = 0; k < 20; k++) {
      const asked = rnd() * now
      const mark = positionAt(Math.min(now, asked + rnd() * 600))
      samples.push({ askedAt: asked, epoch: mark.epoch, position: mark })
    }
    const mark = commits[Math.floor(rnd() * commits.length)]
    const follower = { epoch: rnd() < 0.8 ? epoch : mark.epoch, position: mark.position }
    let token: { epoch: number; position: number } | undefined
    for (const m of commits) if (m.session) token = { epoch: m.epoch, position: m.position }
    const need = requiredPositionOf(freshnessFloor(samples, epoch, within, now), epoch, token)
    if (need === undefined || !isFresh(follower, need, true)) continue
    allowed++
    // The plain model: every commit owed must lie at or under what the follower holds.
    for (const m of commits)
      if ((m.at < now - within || m.session) && m.position > follower.position && !(m.epoch < epoch)) wrong++
  }
  c.equal(wrong, 0, 'no read is let through that misses what it is owed')
  c.ok(allowed > 20, `${allowed} reads were let through`)
}

// --- the data file ---
function record(k: number): unknown {
  return { k, text: 'x'.repeat(k % 50) }
}
async function dataFile(c: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    const f = makeDataFile(world, '/f')
    await f.open()
    for (let k = 0; k < 20; k++) await f.append(record(k))
    const whole = Buffer.from((await world.disk.read('/f')) as Uint8Array)
    // Cut anywhere, a file gives back a prefix of its records and is never called damaged.
    const rnd = makeRandom(4)
    for (let k = 0; k < 60; k++) {
      const cut = Math.floor(rnd() * whole.length)
      const got = readRecords(whole.subarray(0, cut))
      c.notOk(got.damaged)
      for (const [n, r] of got.records.entries())
        if (JSON.stringify(r) !== JSON.stringify(record(n))) c.fail('a wrong record')
    }
    // One byte changed anywhere but in the last record is seen as damage.
    let seen = 0
    for (let k = 0; k < 60; k++) {
      const at = Math.floor(rnd() * (whole.length - 80))
      const bad = Buffer.from(whole)
      bad[at] ^= 1 + Math.floor(rnd() * 255)
      if (readRecords(bad).damaged) seen++
    }
    c.equal(seen, 60, 'damage before good records is seen each time')
    const again = makeDataFile(world, '/f')
    const opened = await again.open()
    c.equal(opened.records.length, 20)
    await again.reset([record(1)])
    c.equal((await makeDataFile(world, '/f').open()).records.length, 1, 'a rewrite holds what lives')
  }
  await inWorld(run)
}

// --- configuration and decisions ---
const good: Config = {
  proxies: 4,
  groups: [{ name: 'g', connections: 40 }],
  lanes: [{ name: 'l', database: 'd', group: 'g', reads: { within: 1500 } }],
}
async function configuration(c: Test): Promise<void> {
  c.ok(readConfig(good).ok)
  const bad = readConfig({
    proxies: 0,
    groups: [
      { name: 'g', connections: 'x' },
      { name: 'g/h', connections: 1 },
    ],
    lanes: [{ name: 'l', database: 'd', group: 'g', reads: 'sometimes', colour: 1 }],
    extra: true,
  })
  c.ok(bad.err)
  const places: string[] = []
  if (bad.err) for (const f of bad.val) places.push(f.place)
  for (const place of [
    '/proxies',
    '/groups/0/connections',
    '/groups/1/name',
    '/lanes/0/reads',
    '/lanes/0/colour',
    '/extra',
  ])
    c.ok(places.includes(place), `a finding at ${place}`)
  const links = readConfig({ ...good, lanes: [{ ...good.lanes[0], group: 'h', team: 'nobody' }, good.lanes[0]] })
  if (links.err) c.strictSame(links.val.map(placeOf), ['/lanes/1/name', '/lanes/0/group', '/lanes/0/team'])
  else c.fail('links that lead nowhere were let through')
  const short = readConfig({ ...good, proxies: 20 })
  if (short.err) c.strictSame(short.val.map(placeOf), ['/groups/0/connections'])
  else c.fail("connections that can't be shared were let through")
}
function placeOf(f: { place: string }): string {
  return f.place
}
// Random changes of several streams, with repeats and with rivals under a number that is taken, against a plain model of
// what must come of each.
async function decisions(c: Test): Promise<void> {
  const rnd = makeRandom(9)
  let body: ConfigurationBody = emptyBody()
  let epoch = 0
  const first = new Map<string, { told: string; change: Change }>()
  const last = new Map<string, number>()
  let rivals = 0
  function ruled(stream: string, change: Change): { decision: Decision; body: ConfigurationBody | undefined } {
    const got = evaluateChange(body, { stream, change, digest: digestOf(change) })
    if ('unclear' in got) throw new Error(got.unclear)
    return 'known' in got ? { decision: got.known, body: undefined } : got
  }
  for (let k = 0; k < 600; k++) {
    const stream = `s${Math.floor(rnd() * 3)}`
    const repeat = rnd() < 0.2 && last.has(stream)
    const number = repeat ? last.get(stream)! : (last.get(stream) ?? 0) + 1
    const id = `${stream}#${number}`
    const old = first.get(id)
    const rival = old !== undefined && rnd() < 0.3
    const fresh: Change = {
      number,
      expect: rnd() < 0.7 ? epoch : epoch - 1,
      whole: rnd() < 0.8 ? good : { ...good, proxies: 0 },
    }
    // The very same content, by whatever epoch it is expected on; a rival's differs.
    const change: Change = rival
      ? { ...fresh, whole: { ...good, transactionIdle: k } }
      : old
        ? { ...old.change, expect: fresh.expect }
        : fresh
    const got = ruled(stream, change)
    if (rival) {
      rivals++
      c.equal(got.decision.decision, 'refused', 'a number is of one change alone')
      if (got.body) c.fail('a rival was decided anew')
      continue
    }
    if (old) {
      c.equal(JSON.stringify(got.decision), old.told, 'a repeat gets the first decision')
      if (got.body) c.fail('a repeat was decided anew')
      continue
    }
    const wanted = change.expect === epoch && (change.whole as Config).proxies !== 0
    if ((got.decision.decision === 'accepted') !== wanted) c.fail(`${id} was ${got.decision.decision}`)
    if (got.body) body = got.body
    if (wanted) epoch++
    if (body.epoch !== epoch) c.fail('the epoch is not the count of accepted changes')
    first.set(id, { told: JSON.stringify(got.decision), change })
    last.set(stream, number)
  }
  c.ok(rivals > 10, `${rivals} rivals`)
  c.ok(epoch > 100)
  c.equal(body.history[body.history.length - 1].epoch, epoch)
  c.equal(body.history.filter(hasConfig).length, Math.min(8, epoch), 'the latest configurations are kept whole')
  const long = ruled('s0', { number: 1, expect: epoch, whole: good })
  c.equal(long.body, undefined, 'a number of long ago is known or passed, never taken anew')
}

// --- retry ---
async function retry(c: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    for (let n = 0; n < 4; n++) {
      for (let k = 0; k < 50; k++) {
        const ms = backoffDelayMs(world, n)
        if (ms < 2 ** n * BACKOFF_BASE_MS || ms >= 1.5 * 2 ** n * BACKOFF_BASE_MS) c.fail(`pause ${ms} after send ${n}`)
      }
    }
    let rest = { firsts: 0, retries: 0 }
    function others(): { firsts: number; retries: number } {
      return rest
    }
    const alone = makeRetryTokens(world, others)
    let spent = 0
    while (alone.spendOnRetry()) spent++
    c.equal(spent, RETRY_TOKENS, 'tokens are bounded')
    // The rest of the fleet retries far too much: each retry costs double here.
    rest = { firsts: 100, retries: 400 }
    const shared = makeRetryTokens(world, others)
    spent = 0
    while (shared.spendOnRetry()) spent++
    c.ok(spent <= RETRY_TOKENS / 2 + 1, `${spent} retries while the fleet retries too much`)
    const breaker = makeBreaker(world, 'g', makeMetrics())
    for (let k = 0; k < BREAKER_MIN_RESULTS - 1; k++) breaker.record(false, false)
    c.equal(breaker.state(), 'closed', 'a few failures are no sustained rate')
    breaker.record(false, false)
    c.equal(breaker.state(), 'open')
    c.notOk(breaker.allows())
    function start(ok: () => void): void {
      world.later(4000, ok)
    }
    await new Promise<void>(start)
    c.ok(breaker.allows(), 'a probe goes through')
    c.notOk(breaker.allows(), 'one at a time')
    breaker.record(false, true)
    c.equal(breaker.state(), 'open', 'a bad probe opens it again')
    await new Promise<void>(start)
    for (let k = 0; k < 3; k++) {
      c.ok(breaker.allows())
      breaker.record(true, true)
    }
    c.equal(breaker.state(), 'closed', 'good probes in a row close it')
  }
  await inWorld(run)
}

async function duties(c: Test): Promise<void> {
  const nodes: string[] = []
  for (let k = 1; k <= 9; k++) nodes.push(`front${k}`)
  const counts = new Map<string, number>()
  let moved = 0
  for (let k = 0; k < 900; k++) {
    const key = `group/g${k}`
    const now = dutyHolderOf(key, nodes) as string
    counts.set(now, (counts.get(now) ?? 0) + 1)
    const without = dutyHolderOf(key, nodes.slice(1))
    if (now !== 'front1' && without !== now) moved++
  }
  c.equal(moved, 0, 'a node that goes moves only its own keys')
  for (const n of counts.values()) c.ok(n > 50 && n < 170, `${n} of 900 keys at one of nine nodes`)
}

function hasConfig(h: { config?: unknown }): boolean {
  return h.config !== undefined
}
// Guards against move-lagging: a route's commits of before its move are in no sample that the new group's leader gave before it.
function samplesBeforeMove(c: Test): void {
  const samples: Sample[] = [
    { askedAt: 100, epoch: 2, position: { epoch: 2, position: 7 } },
    { askedAt: 300, epoch: 2, position: { epoch: 2, position: 9 } },
  ]
  c.strictSame(freshnessFloor(samples, 2, 1000, 400), { epoch: 2, position: 7 }, 'a route that was always here')
  c.strictSame(freshnessFloor(samples, 2, 1000, 400, 200), { epoch: 2, position: 9 }, 'one that came at 200')
  c.equal(freshnessFloor(samples, 2, 1000, 400, 350), undefined, 'one that came after all samples')
  c.end()
}

void t.test('freshness: the proof against the whole history', freshness)
void t.test('data file: torn ends are cut, damage is seen', dataFile)
void t.test('configuration: all findings at once, with their places', configuration)
void t.test('decisions: random changes against a plain model', decisions)
void t.test('retry: pauses, tokens, breaker', retry)
void t.test('duties: keys cut over live nodes', duties)
void t.test('samples of before a route came to a group prove nothing of it', samplesBeforeMove)
