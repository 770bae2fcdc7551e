import t, { type Test } from 'tap'
import {
  KEY_REFUSAL_LOG_INTERVAL_MS,
  MAX_REMEMBERED_KEYS,
  logTo,
  makeMetrics,
  type Metrics,
  type World,
} from '@claynotch/base'
import { hashKey, type Config, type Tenant } from '@claynotch/operator'
import {
  compileRules,
  makeKeyRefusals,
  type KeyRefusals,
  type LaneRules,
  type Rules,
  type State,
} from '@claynotch/proxy'

// What the log and the metrics report about clients that a proxy refused because of their API keys: the reason for the
// refusal, and nothing about the key itself.

/** Key refusals with a clock, a lease and a log that the test controls. */
type Fixture = {
  refusals: KeyRefusals
  metrics: Metrics
  logLines: string[]
  /** Advances the clock and refreshes the refusals. */
  advance: (ms: number) => void
  setLease: (isValid: boolean) => void
  /** Applies a configuration in which each tenant has these keys. */
  apply: (epoch: number, tenants: [string, string[]][]) => void
  /** Refuses a client with the key; returns the outcome and the error class. */
  refuse: (key: string | undefined) => string
}

function makeFixture(): Fixture {
  const metrics = makeMetrics()
  const logLines: string[] = []
  let now = 1000
  let isLeaseValid = true
  let rules: Rules | undefined
  function sink(_level: string, line: string): void {
    logLines.push(line)
  }
  function readClock(): number {
    return now
  }
  function hasValidLease(): boolean {
    return isLeaseValid
  }
  function currentRules(): Rules | undefined {
    return rules
  }
  const world = { now: readClock, log: logTo(sink) } as Pick<World, 'now' | 'log'> as World
  const state = { rules: currentRules, hasValidLease } as Pick<State, 'rules' | 'hasValidLease'> as State
  const refusals = makeKeyRefusals(world, state, metrics)
  function advance(ms: number): void {
    now += ms
    refusals.refresh()
  }
  function setLease(isValid: boolean): void {
    isLeaseValid = isValid
  }
  function apply(epoch: number, tenantKeys: [string, string[]][]): void {
    const tenants: Tenant[] = []
    for (const [name, tenantOwnKeys] of tenantKeys) tenants.push({ name, keys: tenantOwnKeys.map(hashKey) })
    const config: Config = {
      proxies: 'live',
      groups: [{ name: 'kiln', connections: 10 }],
      lanes: [{ name: 'book', database: 'book', group: 'kiln', reads: 'leader' }],
      tenants,
    }
    rules = compileRules(config, epoch, [], now, rules)
    refusals.refresh()
  }
  function refuse(key: string | undefined): string {
    const lane = rules!.lanes.get('book') as LaneRules
    const { outcome, class: errorClass } = refusals.refuse(lane, key === undefined ? undefined : hashKey(key))
    return `${outcome} ${errorClass}`
  }
  return { refusals, metrics, logLines, advance, setLease, apply, refuse }
}
function countOf({ metrics }: Fixture, reason: string): number {
  return metrics.get('claynotch_keys_refused_total', [['reason', reason]])
}

function unknownAndMissingKeys(test: Test): void {
  const fixture = makeFixture()
  fixture.apply(3, [['amber', ['key-one']]])
  test.equal(fixture.refuse('key-other'), 'refused PERMISSION_DENIED')
  test.equal(fixture.refuse(undefined), 'refused PERMISSION_DENIED')
  test.strictSame([countOf(fixture, 'unknown'), countOf(fixture, 'no-key'), countOf(fixture, 'removed')], [1, 1, 0])
  test.match(fixture.logLines[0], /event=keys-refused reason=unknown refused=1 keys=1 lane=book epoch=3$/)
  test.end()
}

function removedKey(test: Test): void {
  const fixture = makeFixture()
  fixture.apply(3, [['amber', ['key-one', 'key-two']]])
  fixture.apply(5, [['amber', ['key-two']]])
  test.match(fixture.logLines.pop(), /event=keys-changed epoch=5 added=0 removed=1 moved=0/)
  fixture.apply(6, [['amber', ['key-two']]])
  test.equal(fixture.refuse('key-one'), 'refused PERMISSION_DENIED')
  test.match(fixture.logLines.pop(), /reason=removed .*epoch=6 tenant=amber removedBy=5$/)
  fixture.apply(7, [['amber', ['key-two', 'key-one']]])
  fixture.apply(8, [['cobalt', ['key-one']]])
  test.match(fixture.logLines.pop(), /event=keys-changed epoch=8 added=0 removed=1 moved=1/)
  test.notOk(fixture.logLines.some(isKnownLateLine), 'a key that was refused as removed is not reported as known late')
  function isKnownLateLine(line: string): boolean {
    return line.includes('keys-known-late')
  }
  test.end()
}

function keyKnownLate(test: Test): void {
  const fixture = makeFixture()
  fixture.apply(3, [['amber', ['key-one']]])
  for (let k = 0; k < 4; k++) {
    fixture.refuse('key-new')
    fixture.advance(100)
  }
  fixture.apply(5, [['amber', ['key-one', 'key-new']]])
  test.ok(fixture.logLines.some(isExpectedLine), fixture.logLines.join('\n'))
  test.equal(fixture.metrics.get('claynotch_keys_known_late_total'), 1)
  function isExpectedLine(line: string): boolean {
    return /event=keys-known-late epoch=5 keys=1 refused=4 longestMs=400$/.test(line)
  }
  test.end()
}

function withoutLease(test: Test): void {
  const fixture = makeFixture()
  fixture.apply(3, [['amber', ['key-one']]])
  fixture.setLease(false)
  test.equal(fixture.refuse('key-new'), 'refused UNAVAILABLE', 'another node may know the key')
  test.equal(countOf(fixture, 'no-lease'), 1)
  fixture.setLease(true)
  fixture.apply(5, [['amber', ['key-new']]])
  test.equal(fixture.metrics.get('claynotch_keys_known_late_total'), 1)
  test.end()
}

function manyUnknownKeys(test: Test): void {
  const fixture = makeFixture()
  fixture.apply(3, [['amber', ['key-one']]])
  const keyCount = MAX_REMEMBERED_KEYS * 3
  for (let k = 0; k < keyCount; k++) fixture.refuse(`key-${k}`)
  test.equal(fixture.logLines.length, 1, 'the first refusal is logged at once')
  fixture.advance(KEY_REFUSAL_LOG_INTERVAL_MS - 1)
  test.equal(fixture.logLines.length, 1, 'nothing more is logged until the interval is over')
  fixture.advance(1)
  test.equal(fixture.logLines.length, 2)
  test.match(
    fixture.logLines[1],
    new RegExp(`refused=${keyCount - 1} keys=${MAX_REMEMBERED_KEYS} `),
    'then one line counts all refusals since, and remembers a bounded number of keys',
  )
  fixture.advance(KEY_REFUSAL_LOG_INTERVAL_MS)
  test.equal(fixture.logLines.length, 2, 'nothing is logged when nothing was refused')
  const output = `${fixture.logLines.join('\n')}\n${fixture.metrics.text()}`
  test.notMatch(output, /key-\d/, 'no key is reported')
  test.notMatch(output, /[0-9a-f]{32}/, 'no hash of a key is reported')
  test.end()
}

void t.test("a client's mistake is reported as something other than a removed key", unknownAndMissingKeys)
void t.test('a removed key is reported as something other than an unknown one', removedKey)
void t.test('a key that was refused before the node knew it is reported as known late', keyKnownLate)
void t.test('a node without a lease does not report a key as unknown', withoutLease)
void t.test('many unknown keys fill neither the log nor the memory, and no key is reported', manyUnknownKeys)
