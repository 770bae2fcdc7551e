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

// What an operator is told of clients that a proxy refused for their keys: which of the causes it was, and nothing of the key.

type Rig = {
  keys: KeyRefusals
  metrics: Metrics
  lines: string[]
  advance: (ms: number) => void
  setLease: (isValid: boolean) => void
  /** A configuration in which each tenant has these keys. */
  apply: (epoch: number, tenants: [string, string[]][]) => void
  deny: (key: string | undefined) => string
}

function makeRig(): Rig {
  const metrics = makeMetrics()
  const lines: string[] = []
  let now = 1000
  let isValid = true
  let rules: Rules | undefined
  function sink(_level: string, line: string): void {
    lines.push(line)
  }
  function time(): number {
    return now
  }
  function valid(): boolean {
    return isValid
  }
  function rulesNow(): Rules | undefined {
    return rules
  }
  const world = { now: time, log: logTo(sink) } as Pick<World, 'now' | 'log'> as World
  const state = { rules: rulesNow, hasValidLease: valid } as Pick<State, 'rules' | 'hasValidLease'> as State
  const keys = makeKeyRefusals(world, state, metrics)
  function advance(ms: number): void {
    now += ms
    keys.refresh()
  }
  function setLease(to: boolean): void {
    isValid = to
  }
  function apply(epoch: number, list: [string, string[]][]): void {
    const tenants: Tenant[] = []
    for (const [name, own] of list) tenants.push({ name, keys: own.map(hashKey) })
    const config: Config = {
      proxies: 'live',
      groups: [{ name: 'kiln', connections: 10 }],
      lanes: [{ name: 'book', database: 'book', group: 'kiln', reads: 'leader' }],
      tenants,
    }
    rules = compileRules(config, epoch, [], now, rules)
    keys.refresh()
  }
  function deny(key: string | undefined): string {
    const lane = rules!.lanes.get('book') as LaneRules
    const { outcome, class: cls } = keys.refuse(lane, key === undefined ? undefined : hashKey(key))
    return `${outcome} ${cls}`
  }
  return { keys, metrics, lines, advance, setLease, apply, deny }
}
function countOf({ metrics }: Rig, reason: string): number {
  return metrics.get('claynotch_keys_refused_total', [['reason', reason]])
}

function mistake(c: Test): void {
  const r = makeRig()
  r.apply(3, [['amber', ['key-one']]])
  c.equal(r.deny('key-other'), 'refused PERMISSION_DENIED')
  c.equal(r.deny(undefined), 'refused PERMISSION_DENIED')
  c.strictSame([countOf(r, 'unknown'), countOf(r, 'no-key'), countOf(r, 'removed')], [1, 1, 0])
  c.match(r.lines[0], /event=keys-refused reason=unknown refused=1 keys=1 lane=book epoch=3$/)
  c.end()
}

function removed(c: Test): void {
  const r = makeRig()
  r.apply(3, [['amber', ['key-one', 'key-two']]])
  r.apply(5, [['amber', ['key-two']]])
  c.match(r.lines.pop(), /event=keys-changed epoch=5 added=0 removed=1 moved=0/)
  r.apply(6, [['amber', ['key-two']]])
  c.equal(r.deny('key-one'), 'refused PERMISSION_DENIED')
  c.match(r.lines.pop(), /reason=removed .*epoch=6 tenant=amber removedBy=5$/)
  r.apply(7, [['amber', ['key-two', 'key-one']]])
  r.apply(8, [['cobalt', ['key-one']]])
  c.match(r.lines.pop(), /event=keys-changed epoch=8 added=0 removed=1 moved=1/)
  c.notOk(r.lines.some(isLate), 'a key that was refused as removed was not learnt late')
  function isLate(line: string): boolean {
    return line.includes('keys-known-late')
  }
  c.end()
}

function late(c: Test): void {
  const r = makeRig()
  r.apply(3, [['amber', ['key-one']]])
  for (let k = 0; k < 4; k++) {
    r.deny('key-new')
    r.advance(100)
  }
  r.apply(5, [['amber', ['key-one', 'key-new']]])
  c.ok(r.lines.some(tells), r.lines.join('\n'))
  c.equal(r.metrics.get('claynotch_keys_known_late_total'), 1)
  function tells(line: string): boolean {
    return /event=keys-known-late epoch=5 keys=1 refused=4 longestMs=400$/.test(line)
  }
  c.end()
}

function withoutLease(c: Test): void {
  const r = makeRig()
  r.apply(3, [['amber', ['key-one']]])
  r.setLease(false)
  c.equal(r.deny('key-new'), 'refused UNAVAILABLE', 'it may be known elsewhere')
  c.equal(countOf(r, 'no-lease'), 1)
  r.setLease(true)
  r.apply(5, [['amber', ['key-new']]])
  c.equal(r.metrics.get('claynotch_keys_known_late_total'), 1)
  c.end()
}

function flood(c: Test): void {
  const r = makeRig()
  r.apply(3, [['amber', ['key-one']]])
  const many = MAX_REMEMBERED_KEYS * 3
  for (let k = 0; k < many; k++) r.deny(`key-${k}`)
  c.equal(r.lines.length, 1, 'one line at once')
  r.advance(KEY_REFUSAL_LOG_INTERVAL_MS - 1)
  c.equal(r.lines.length, 1, 'and none until the interval is over')
  r.advance(1)
  c.equal(r.lines.length, 2)
  c.match(
    r.lines[1],
    new RegExp(`refused=${many - 1} keys=${MAX_REMEMBERED_KEYS} `),
    'then all since, and no more memory',
  )
  r.advance(KEY_REFUSAL_LOG_INTERVAL_MS)
  c.equal(r.lines.length, 2, 'nothing is told when nothing was refused')
  const told = `${r.lines.join('\n')}\n${r.metrics.text()}`
  c.notMatch(told, /key-\d/, 'no key')
  c.notMatch(told, /[0-9a-f]{32}/, 'and no hash')
  c.end()
}

void t.test("a client's mistake can't be told from a key that was removed", mistake)
void t.test("a key that was removed can't be told from one that was never held", removed)
void t.test("a key that the node didn't know yet can't be told from an unknown one", late)
void t.test('a node without a lease tells that a key is unknown', withoutLease)
void t.test('clients with unknown keys fill the log or the memory, or a key is told', flood)
