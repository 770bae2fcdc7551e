import t, { type Test } from 'tap'
import { encode, MAX_ANNOUNCEMENT_DELAY_MS, MAX_NAMED_CHANGES } from '@claynotch/base'
import {
  allDecisions,
  evaluateChange,
  emptyBody,
  findDecision,
  usableConnectionsPerProxy,
  readConfig,
  type ConfigurationBody,
  type Change,
  type Config,
  type Decision,
  type Edit,
} from '@claynotch/operator'
import { compileRules } from '@claynotch/proxy'
import { laterStatus, type InstanceStatus } from '@claynotch/register'
import { makeRandom } from '../sim.js'

// Changes that name the epoch they produce, labels and other optional fields of the configuration, and the order of an
// instance's announcements.

function laneConfig(name: string, more: object = {}): Config['lanes'][number] {
  return { name, database: `db-${name}`, group: 'g', reads: 'leader', ...more }
}
const baseConfig: Config = {
  proxies: 'live',
  groups: [{ name: 'g', connections: 92, sync: 0, label: '{"name":"g","odd":[1,{"x":null}]}' }],
  lanes: [laneConfig('one', { path: '/', label: { any: ['thing', 7] } })],
  transactionIdle: 3000,
  label: { limits: { deep: { er: 1 } } },
}

function evaluate(
  body: ConfigurationBody,
  stream: string,
  change: Change,
): { decision: Decision; body: ConfigurationBody; isWritten: boolean } {
  const evaluation = evaluateChange(body, { stream, change })
  if ('unclear' in evaluation) throw new Error(`unclear: ${evaluation.unclear}`)
  return 'known' in evaluation
    ? { decision: evaluation.known, body, isWritten: false }
    : { decision: evaluation.decision, body: evaluation.body, isWritten: true }
}

/**
 * Random changes, as from two operators who race, repeat changes, send outdated ones and make mistakes, against a
 * reference model: the list of accepted changes.
 */
function namedEpochs(test: Test): void {
  const random = makeRandom(11)
  let body = emptyBody()
  let epoch = 0
  let expectedLaneNames: string[] = []
  const acceptedEpochs = new Map<string, number>()
  const sentChanges: { id: string; change: Change }[] = []
  const caseCounts = new Map<string, number>()
  for (let k = 0; k < 3000; k++) {
    const isRepeat = sentChanges.length > 0 && random() < 0.3
    const stepsBack = Math.floor(random() * Math.min(sentChanges.length, 40))
    let request: { id: string; change: Change }
    if (isRepeat) request = sentChanges[sentChanges.length - 1 - stepsBack]
    else {
      const expect = random() < 0.75 ? epoch : Math.max(0, epoch - Math.floor(random() * 4))
      const isInvalid = random() < 0.2
      const newEpoch =
        random() < 0.85 ? expect + 1 + Math.floor(random() * 5) : Math.max(0, expect - Math.floor(random() * 2))
      const isWhole = epoch === 0 || random() < 0.4
      const change: Change = isWhole
        ? {
            number: 1,
            expect,
            epoch: newEpoch,
            whole: {
              ...baseConfig,
              lanes: [laneConfig(`w${k}`), laneConfig(`v${k % 7}`, isInvalid ? { group: 'nowhere' } : {})],
            },
          }
        : {
            number: 1,
            expect,
            epoch: newEpoch,
            edits: [
              { op: 'put', what: 'lane', value: laneConfig(`p${k % 5}`, isInvalid ? { limit: 0 } : { limit: 900 }) },
              { op: 'drop', what: 'lane', name: `v${k % 7}`, loose: true },
            ],
          }
      request = { id: `digest${k}`, change }
      sentChanges.push(request)
    }
    const { change } = request
    const before = body
    const result = evaluate(body, request.id, change)
    const firstEpoch = acceptedEpochs.get(request.id)
    const lanes = (change.whole as Config | undefined)?.lanes ?? []
    const edits = (change.edits ?? []) as Extract<Edit, { op: 'put' }>[]
    const isValid = !lanes.some(hasUnknownGroup) && !edits.some(hasZeroLimit)
    const expected =
      firstEpoch !== undefined
        ? 'again'
        : change.expect !== epoch
          ? 'raced'
          : change.epoch! <= epoch
            ? 'low'
            : !isValid
              ? 'invalid'
              : 'accepted'
    caseCounts.set(expected, (caseCounts.get(expected) ?? 0) + 1)
    if (expected === 'again') {
      test.equal(result.decision.decision, 'accepted')
      if (result.decision.epoch !== firstEpoch)
        test.fail(
          `${request.id} was accepted as epoch ${firstEpoch}, and its repeat was answered with ${result.decision.epoch}`,
        )
    } else if ((result.decision.decision === 'accepted') !== (expected === 'accepted'))
      test.fail(`${request.id} was ${result.decision.decision}, expected ${expected}: ${result.decision.why}`)
    if (result.isWritten !== (expected === 'accepted'))
      test.fail(`${expected}, but ${result.isWritten ? 'written' : 'not written'}`)
    if (!result.isWritten && result.body !== before) test.fail('a refused change modified the value')
    if (expected === 'raced' && result.decision.epoch !== epoch)
      test.fail('a change that lost a race is not answered with the current epoch')
    if (expected === 'low' || expected === 'invalid') {
      if (result.decision.findings.length === 0) test.fail('an invalid change was refused without a finding')
      if (result.decision.epoch !== change.expect)
        test.fail('an invalid change was not answered with the epoch that it expects')
    }
    body = result.body
    if (expected === 'accepted') {
      epoch = change.epoch!
      acceptedEpochs.set(request.id, epoch)
      if (change.whole) expectedLaneNames = lanes.map(nameOf)
      else {
        const putName = (edits[0].value as { name: string }).name
        expectedLaneNames = expectedLaneNames.filter(isKept)
        if (!expectedLaneNames.includes(putName)) expectedLaneNames.push(putName)
        function isKept(laneName: string): boolean {
          return laneName !== (change.edits![1] as { name: string }).name
        }
      }
    }
    if (body.epoch !== epoch) test.fail('the epoch is not that of the last accepted change')
    test.strictSame((body.config?.lanes ?? []).map(nameOf), expectedLaneNames)
  }
  for (const kind of ['again', 'raced', 'low', 'invalid', 'accepted'])
    test.ok((caseCounts.get(kind) ?? 0) > 50, `${kind}: ${caseCounts.get(kind)}`)
  test.equal(body.history.length, MAX_NAMED_CHANGES)
  test.strictSame(body.streams, [], 'no stream is kept for changes that name their epoch')
  test.equal(body.history.filter(hasConfig).length, 0)
  test.equal(body.history[body.history.length - 1].epoch, epoch)
}
function hasUnknownGroup(lane: { group: string }): boolean {
  return lane.group === 'nowhere'
}
function hasZeroLimit(edit: { value?: unknown }): boolean {
  return (edit.value as { limit?: number } | undefined)?.limit === 0
}
function nameOf(named: { name: string }): string {
  return named.name
}
function hasConfig(entry: { config?: unknown }): boolean {
  return entry.config !== undefined
}

/**
 * A day of changes that name their epoch, together with our own operators' changes: the size of the value stays
 * bounded, and neither kind evicts the other.
 */
function boundedSize(test: Test): void {
  let body = emptyBody()
  let ownChangeCount = 0
  let fullBytes = 0
  for (let k = 0; k < 47000; k++) {
    const isOwn = k % 400 === 0
    const change: Change = isOwn
      ? { number: ++ownChangeCount, expect: body.epoch, whole: baseConfig }
      : {
          number: 1,
          expect: body.epoch,
          epoch: body.epoch + 3,
          edits: [{ op: 'put', what: 'lane', value: laneConfig('one', { aim: k }) }],
        }
    const result = evaluate(body, isOwn ? 'ours' : `0123456789abcdef${k.toString(36).padStart(8, '0')}`, change)
    if (result.decision.decision !== 'accepted') test.fail(result.decision.why)
    body = result.body
    if (k === MAX_NAMED_CHANGES + 100) fullBytes = encode(body).length
  }
  const bytes = encode(body).length
  test.ok(bytes < fullBytes + 16384, `${fullBytes} bytes with MAX_NAMED_CHANGES kept, ${bytes} after 47,000 changes`)
  test.ok(bytes < 64 * MAX_NAMED_CHANGES + 20 * 1024, `${bytes} bytes`)
  for (let number = 1; number <= ownChangeCount; number++)
    if (!findDecision(body, 'ours', number)) test.fail(`our own change ${number} was evicted`)
  test.ok(allDecisions(body).length >= ownChangeCount + MAX_NAMED_CHANGES - 1)
  let lastEpoch = 0
  for (const entry of body.history) {
    if (entry.epoch <= lastEpoch) test.fail('the history is out of order')
    lastEpoch = entry.epoch
  }
  test.equal(lastEpoch, body.epoch)
}

function labels(test: Test): void {
  let { body } = evaluate(emptyBody(), 'a', { number: 1, expect: 0, epoch: 5, whole: baseConfig })
  test.strictSame(body.config, baseConfig, 'labels are kept unchanged')
  body = evaluate(body, 'b', {
    number: 1,
    expect: 5,
    epoch: 9,
    edits: [
      { op: 'put', what: 'lane', value: laneConfig('two', { rank: 0, label: 'text' }) },
      { op: 'drop', what: 'lane', name: 'none', loose: true },
    ],
  }).body
  test.equal(body.epoch, 9)
  test.strictSame(
    body.config,
    { ...baseConfig, lanes: [...baseConfig.lanes, laneConfig('two', { rank: 0, label: 'text' })], teams: [] },
    'labels are kept unchanged by edits',
  )
  const strict = evaluate(body, 'c', {
    number: 1,
    expect: 9,
    epoch: 10,
    edits: [{ op: 'drop', what: 'lane', name: 'none' }],
  })
  test.strictSame(strict.decision.findings.map(placeOf), ['/edits/0/name'])
  const next = evaluate(body, 'c', { number: 1, expect: 9, edits: [{ op: 'drop', what: 'lane', name: 'two' }] })
  test.equal(next.body.epoch, 10, 'a change that names no epoch gets the next one')
}
function placeOf(finding: { place: string }): string {
  return finding.place
}

function newFields(test: Test): void {
  function findingPlaces(config: unknown): string[] {
    const result = readConfig(config)
    return result.err ? [...new Set(result.val.map(placeOf))] : []
  }
  test.strictSame(findingPlaces(baseConfig), [])
  test.strictSame(
    findingPlaces({
      ...baseConfig,
      lanes: [
        laneConfig('a', { path: '/' }),
        laneConfig('b', { database: 'db-a', path: '/' }),
        laneConfig('d', { database: 'db-a', path: '/x' }),
        laneConfig('e', { database: 'db-a' }),
        laneConfig('f', { database: 'db-a' }),
      ],
    }),
    ['/lanes/1/path'],
    'the same database and path is refused; without a path, lanes may share a database',
  )
  test.strictSame(findingPlaces({ ...baseConfig, lanes: [laneConfig('a', { limit: 0 })] }), ['/lanes/0/limit'])
  test.strictSame(
    findingPlaces({
      ...baseConfig,
      lanes: [laneConfig('a', { limit: -1, aim: 'x', sends: 0, rank: 1.5, path: 3 })],
    }).sort(),
    ['/lanes/0/aim', '/lanes/0/limit', '/lanes/0/path', '/lanes/0/rank', '/lanes/0/sends'],
  )
  test.strictSame(findingPlaces({ ...baseConfig, groups: [{ name: 'g', connections: 9, sync: 2 }] }), [
    '/groups/0/sync',
  ])
  test.ok(findingPlaces({ ...baseConfig, proxies: 'many' }).every(isProxies))
  test.strictSame(findingPlaces({ ...baseConfig, transactionIdle: -3 }), ['/transactionIdle'])
  function isProxies(place: string): boolean {
    return place === '/proxies'
  }
  test.strictSame(
    [
      usableConnectionsPerProxy(baseConfig, 'g', 9),
      usableConnectionsPerProxy(baseConfig, 'g', 1),
      usableConnectionsPerProxy(baseConfig, 'g', 200),
      usableConnectionsPerProxy(baseConfig, 'g', 0),
      usableConnectionsPerProxy(baseConfig, 'g'),
      usableConnectionsPerProxy(baseConfig, 'none', 3),
    ],
    [9, 91, 1, 91, 1, 0],
  )
  test.strictSame(
    [
      usableConnectionsPerProxy({ ...baseConfig, proxies: 9 }, 'g'),
      usableConnectionsPerProxy({ ...baseConfig, proxies: 9 }, 'g', 3),
    ],
    [8, 8],
    'a fixed number of proxies takes precedence over the live ones',
  )
  const rules = compileRules(
    { ...baseConfig, lanes: [laneConfig('a', { limit: 700, aim: 200, sends: 2 }), laneConfig('b')] },
    4,
    [],
    0,
  )
  const limitedLane = rules.lanes.get('a')!
  test.strictSame(
    [limitedLane.statementTimeoutMs, limitedLane.targetLatencyMs, limitedLane.maxAttempts, rules.transactionIdleMs],
    [700, 200, 2, 3000],
  )
  const plainLane = rules.lanes.get('b')!
  test.strictSame(
    [plainLane.statementTimeoutMs, plainLane.targetLatencyMs, plainLane.maxAttempts],
    [undefined, undefined, undefined],
  )
}

// --- order of an instance's announcements ---

function statusOf(sequence: number | undefined, more: object = {}): InstanceStatus {
  return {
    name: 'i',
    group: 'g',
    addr: '10.0.0.1:1',
    area: 'a',
    role: 'follower',
    leaving: false,
    age: 0,
    gone: 0,
    ...(sequence === undefined ? {} : { sequence }),
    ...more,
  }
}
function announcementOrder(test: Test): void {
  const known = { status: statusOf(7, { leaving: true }), at: 1000 }
  test.equal(
    laterStatus(known, statusOf(6), 1500).status.leaving,
    true,
    'a delayed announcement does not replace a later one',
  )
  test.equal(
    laterStatus(known, statusOf(8), 1500).status.leaving,
    false,
    'the instance is ready again after it was leaving',
  )
  test.equal(
    laterStatus(known, statusOf(8), 900).status.sequence,
    8,
    'a later announcement that another node received earlier',
  )
  test.equal(
    laterStatus(known, statusOf(1), 1000 + MAX_ANNOUNCEMENT_DELAY_MS).status.sequence,
    1,
    'a sequence that restarts, once no earlier announcement can still be in flight',
  )
  test.equal(
    laterStatus(known, statusOf(1, { addr: '10.0.0.2:1' }), 1500).status.sequence,
    1,
    'a restart at another address',
  )
  test.equal(
    laterStatus(known, statusOf(undefined), 1500).status.sequence,
    undefined,
    'without a sequence number, the time decides',
  )
  test.equal(laterStatus({ status: statusOf(undefined), at: 1000 }, statusOf(3), 900).status.sequence, undefined)
  // Whatever the order in which a node receives the announcements, it ends with the last one.
  const random = makeRandom(3)
  for (let k = 0; k < 400; k++) {
    const announcements: { status: InstanceStatus; at: number }[] = []
    for (let sequence = 0; sequence < 6; sequence++)
      announcements.push({
        status: statusOf(sequence, { leaving: sequence > 3, role: sequence % 2 ? 'leader' : 'follower' }),
        at: 1000 + random() * (MAX_ANNOUNCEMENT_DELAY_MS - 1),
      })
    let latest: { status: InstanceStatus; at: number } | undefined
    for (const announcement of shuffle(announcements, random))
      latest = laterStatus(latest, announcement.status, announcement.at)
    if (latest?.status.sequence !== 5) test.fail(`ended with sequence ${latest?.status.sequence}, not 5`)
  }
}
function shuffle<T>(list: T[], random: () => number): T[] {
  const shuffled = [...list]
  for (let k = shuffled.length - 1; k > 0; k--) {
    const other = Math.floor(random() * (k + 1))
    ;[shuffled[k], shuffled[other]] = [shuffled[other], shuffled[k]]
  }
  return shuffled
}

function asAsync(run: (test: Test) => void): (test: Test) => Promise<void> {
  async function runAsync(test: Test): Promise<void> {
    run(test)
  }
  return runAsync
}
void t.test('changes that name their epoch, against a reference model', asAsync(namedEpochs))
void t.test('changes that name their epoch: the size of the value is bounded', asAsync(boundedSize))
void t.test('labels are kept unchanged', asAsync(labels))
void t.test('optional fields of the configuration', asAsync(newFields))
void t.test("the order of an instance's announcements", asAsync(announcementOrder))
