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

// Changes that name the epoch they make, lanes with an operator's own documents, and the order of an instance's words.

function lane(name: string, more: object = {}): Config['lanes'][number] {
  return { name, database: `db-${name}`, group: 'g', reads: 'leader', ...more }
}
const base: Config = {
  proxies: 'live',
  groups: [{ name: 'g', connections: 92, sync: 0, label: '{"name":"g","odd":[1,{"x":null}]}' }],
  lanes: [lane('one', { path: '/', label: { any: ['thing', 7] } })],
  transactionIdle: 3000,
  label: { limits: { deep: { er: 1 } } },
}

function ruled(body: ConfigurationBody, stream: string, change: Change): { decision: Decision; body: ConfigurationBody; wrote: boolean } {
  const got = evaluateChange(body, { stream, change })
  if ('unclear' in got) throw new Error(`unclear: ${got.unclear}`)
  return 'known' in got
    ? { decision: got.known, body, wrote: false }
    : { decision: got.decision, body: got.body, wrote: true }
}

// Random changes, as two operators send them who race, repeat themselves, lag behind and err, against a plain model:
// a list of what was accepted.
function namedEpochs(c: Test): void {
  const rnd = makeRandom(11)
  let body = emptyBody()
  let epoch = 0
  let names: string[] = []
  const taken = new Map<string, number>()
  const sent: { id: string; change: Change }[] = []
  const counts = new Map<string, number>()
  for (let k = 0; k < 3000; k++) {
    const again = sent.length > 0 && rnd() < 0.3
    const back = Math.floor(rnd() * Math.min(sent.length, 40))
    let one: { id: string; change: Change }
    if (again) one = sent[sent.length - 1 - back]
    else {
      const expect = rnd() < 0.75 ? epoch : Math.max(0, epoch - Math.floor(rnd() * 4))
      const bad = rnd() < 0.2
      const to = rnd() < 0.85 ? expect + 1 + Math.floor(rnd() * 5) : Math.max(0, expect - Math.floor(rnd() * 2))
      const whole = epoch === 0 || rnd() < 0.4
      const change: Change = whole
        ? {
            number: 1,
            expect,
            epoch: to,
            whole: { ...base, lanes: [lane(`w${k}`), lane(`v${k % 7}`, bad ? { group: 'nowhere' } : {})] },
          }
        : {
            number: 1,
            expect,
            epoch: to,
            edits: [
              { op: 'put', what: 'lane', value: lane(`p${k % 5}`, bad ? { limit: 0 } : { limit: 900 }) },
              { op: 'drop', what: 'lane', name: `v${k % 7}`, loose: true },
            ],
          }
      one = { id: `digest${k}`, change }
      sent.push(one)
    }
    const { change } = one
    const before = body
    const got = ruled(body, one.id, change)
    const first = taken.get(one.id)
    const lanes = (change.whole as Config | undefined)?.lanes ?? []
    const edits = (change.edits ?? []) as Extract<Edit, { op: 'put' }>[]
    const valid = !lanes.some(leadsNowhere) && !edits.some(endsAtOnce)
    const wanted =
      first !== undefined
        ? 'again'
        : change.expect !== epoch
          ? 'raced'
          : change.epoch! <= epoch
            ? 'low'
            : !valid
              ? 'invalid'
              : 'accepted'
    counts.set(wanted, (counts.get(wanted) ?? 0) + 1)
    if (wanted === 'again') {
      c.equal(got.decision.decision, 'accepted')
      if (got.decision.epoch !== first)
        c.fail(`${one.id} was accepted as ${first}, and then told ${got.decision.epoch}`)
    } else if ((got.decision.decision === 'accepted') !== (wanted === 'accepted'))
      c.fail(`${one.id} was ${got.decision.decision}, and is ${wanted}: ${got.decision.why}`)
    if (got.wrote !== (wanted === 'accepted')) c.fail(`${wanted} and ${got.wrote ? 'written' : 'not written'}`)
    if (!got.wrote && got.body !== before) c.fail('a refusal changed the value')
    if (wanted === 'raced' && got.decision.epoch !== epoch) c.fail('a loser is told the present epoch')
    if (wanted === 'low' || wanted === 'invalid') {
      if (got.decision.findings.length === 0) c.fail('refused without a finding')
      if (got.decision.epoch !== change.expect) c.fail('refused for itself, and told another epoch')
    }
    body = got.body
    if (wanted === 'accepted') {
      epoch = change.epoch!
      taken.set(one.id, epoch)
      if (change.whole) names = lanes.map(nameOf)
      else {
        const put = (edits[0].value as { name: string }).name
        names = names.filter(isKept)
        if (!names.includes(put)) names.push(put)
        function isKept(n: string): boolean {
          return n !== (change.edits![1] as { name: string }).name
        }
      }
    }
    if (body.epoch !== epoch) c.fail('the epoch is not the last accepted')
    c.strictSame((body.config?.lanes ?? []).map(nameOf), names)
  }
  for (const kind of ['again', 'raced', 'low', 'invalid', 'accepted'])
    c.ok((counts.get(kind) ?? 0) > 50, `${kind}: ${counts.get(kind)}`)
  c.equal(body.history.length, MAX_NAMED_CHANGES)
  c.strictSame(body.streams, [], 'no stream is kept for them')
  c.equal(body.history.filter(hasConfig).length, 0)
  c.equal(body.history[body.history.length - 1].epoch, epoch)
}
function leadsNowhere(l: { group: string }): boolean {
  return l.group === 'nowhere'
}
function endsAtOnce(e: { value?: unknown }): boolean {
  return (e.value as { limit?: number } | undefined)?.limit === 0
}
function nameOf(l: { name: string }): string {
  return l.name
}
function hasConfig(h: { config?: unknown }): boolean {
  return h.config !== undefined
}

// A day of them beside our own operators' changes: the value stays of one size, and neither kind pushes the other out.
function bounded(c: Test): void {
  let body = emptyBody()
  let own = 0
  let whenFull = 0
  for (let k = 0; k < 47000; k++) {
    const mine = k % 400 === 0
    const change: Change = mine
      ? { number: ++own, expect: body.epoch, whole: base }
      : {
          number: 1,
          expect: body.epoch,
          epoch: body.epoch + 3,
          edits: [{ op: 'put', what: 'lane', value: lane('one', { aim: k }) }],
        }
    const got = ruled(body, mine ? 'ours' : `0123456789abcdef${k.toString(36).padStart(8, '0')}`, change)
    if (got.decision.decision !== 'accepted') c.fail(got.decision.why)
    body = got.body
    if (k === MAX_NAMED_CHANGES + 100) whenFull = encode(body).length
  }
  const size = encode(body).length
  c.ok(size < whenFull + 16384, `${whenFull} bytes once NAMED_KEPT are there, ${size} after 47,000`)
  c.ok(size < 64 * MAX_NAMED_CHANGES + 20 * 1024, `${size} bytes`)
  for (let n = 1; n <= own; n++) if (!findDecision(body, 'ours', n)) c.fail(`our own change ${n} was forgotten`)
  c.ok(allDecisions(body).length >= own + MAX_NAMED_CHANGES - 1)
  let last = 0
  for (const h of body.history) {
    if (h.epoch <= last) c.fail('history out of order')
    last = h.epoch
  }
  c.equal(last, body.epoch)
}

function labels(c: Test): void {
  let { body } = ruled(emptyBody(), 'a', { number: 1, expect: 0, epoch: 5, whole: base })
  c.strictSame(body.config, base, 'kept as they came')
  body = ruled(body, 'b', {
    number: 1,
    expect: 5,
    epoch: 9,
    edits: [
      { op: 'put', what: 'lane', value: lane('two', { rank: 0, label: 'text' }) },
      { op: 'drop', what: 'lane', name: 'none', loose: true },
    ],
  }).body
  c.equal(body.epoch, 9)
  c.strictSame(
    body.config,
    { ...base, lanes: [...base.lanes, lane('two', { rank: 0, label: 'text' })], teams: [] },
    'and through edits',
  )
  const strict = ruled(body, 'c', {
    number: 1,
    expect: 9,
    epoch: 10,
    edits: [{ op: 'drop', what: 'lane', name: 'none' }],
  })
  c.strictSame(strict.decision.findings.map(placeOf), ['/edits/0/name'])
  const next = ruled(body, 'c', { number: 1, expect: 9, edits: [{ op: 'drop', what: 'lane', name: 'two' }] })
  c.equal(next.body.epoch, 10, 'without a name of its own the next')
}
function placeOf(f: { place: string }): string {
  return f.place
}

function fields(c: Test): void {
  function findings(config: unknown): string[] {
    const got = readConfig(config)
    return got.err ? [...new Set(got.val.map(placeOf))] : []
  }
  c.strictSame(findings(base), [])
  c.strictSame(
    findings({
      ...base,
      lanes: [
        lane('a', { path: '/' }),
        lane('b', { database: 'db-a', path: '/' }),
        lane('d', { database: 'db-a', path: '/x' }),
        lane('e', { database: 'db-a' }),
        lane('f', { database: 'db-a' }),
      ],
    }),
    ['/lanes/1/path'],
    'database and path alike; without a path they may share one',
  )
  c.strictSame(findings({ ...base, lanes: [lane('a', { limit: 0 })] }), ['/lanes/0/limit'])
  c.strictSame(
    findings({ ...base, lanes: [lane('a', { limit: -1, aim: 'x', sends: 0, rank: 1.5, path: 3 })] }).sort(),
    ['/lanes/0/aim', '/lanes/0/limit', '/lanes/0/path', '/lanes/0/rank', '/lanes/0/sends'],
  )
  c.strictSame(findings({ ...base, groups: [{ name: 'g', connections: 9, sync: 2 }] }), ['/groups/0/sync'])
  c.ok(findings({ ...base, proxies: 'many' }).every(isProxies))
  c.strictSame(findings({ ...base, transactionIdle: -3 }), ['/transactionIdle'])
  function isProxies(p: string): boolean {
    return p === '/proxies'
  }
  c.strictSame(
    [
      usableConnectionsPerProxy(base, 'g', 9),
      usableConnectionsPerProxy(base, 'g', 1),
      usableConnectionsPerProxy(base, 'g', 200),
      usableConnectionsPerProxy(base, 'g', 0),
      usableConnectionsPerProxy(base, 'g'),
      usableConnectionsPerProxy(base, 'none', 3),
    ],
    [9, 91, 1, 91, 1, 0],
  )
  c.strictSame(
    [usableConnectionsPerProxy({ ...base, proxies: 9 }, 'g'), usableConnectionsPerProxy({ ...base, proxies: 9 }, 'g', 3)],
    [8, 8],
    'a number is a number',
  )
  const rules = compileRules({ ...base, lanes: [lane('a', { limit: 700, aim: 200, sends: 2 }), lane('b')] }, 4, [], 0)
  const a = rules.lanes.get('a')!
  c.strictSame([a.statementTimeoutMs, a.targetLatencyMs, a.maxAttempts, rules.transactionIdleMs], [700, 200, 2, 3000])
  const b = rules.lanes.get('b')!
  c.strictSame([b.statementTimeoutMs, b.targetLatencyMs, b.maxAttempts], [undefined, undefined, undefined])
}

// --- the order of an instance's words ---

function sight(sequence: number | undefined, more: object = {}): InstanceStatus {
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
function words(c: Test): void {
  const old = { status: sight(7, { leaving: true }), at: 1000 }
  c.equal(laterStatus(old, sight(6), 1500).status.leaving, true, 'one held up on its way takes nothing back')
  c.equal(laterStatus(old, sight(8), 1500).status.leaving, false, 'ready again after it was leaving')
  c.equal(laterStatus(old, sight(8), 900).status.sequence, 8, 'a later word that was heard earlier elsewhere')
  c.equal(
    laterStatus(old, sight(1), 1000 + MAX_ANNOUNCEMENT_DELAY_MS).status.sequence,
    1,
    'one that starts anew, once nothing can be on its way any more',
  )
  c.equal(
    laterStatus(old, sight(1, { addr: '10.0.0.2:1' }), 1500).status.sequence,
    1,
    'another life, at another address',
  )
  c.equal(laterStatus(old, sight(undefined), 1500).status.sequence, undefined, 'without a count, by time')
  c.equal(laterStatus({ status: sight(undefined), at: 1000 }, sight(3), 900).status.sequence, undefined)
  // Two nodes that hear the same words in whatever order come to hold the same.
  const rnd = makeRandom(3)
  for (let k = 0; k < 400; k++) {
    const said: { s: InstanceStatus; at: number }[] = []
    for (let n = 0; n < 6; n++)
      said.push({
        s: sight(n, { leaving: n > 3, role: n % 2 ? 'leader' : 'follower' }),
        at: 1000 + rnd() * (MAX_ANNOUNCEMENT_DELAY_MS - 1),
      })
    let has: { status: InstanceStatus; at: number } | undefined
    for (const one of shuffle(said, rnd)) has = laterStatus(has, one.s, one.at)
    if (has?.status.sequence !== 5) c.fail(`held ${has?.status.sequence} of 0 to 5`)
  }
}
function shuffle<T>(list: T[], rnd: () => number): T[] {
  const out = [...list]
  for (let k = out.length - 1; k > 0; k--) {
    const n = Math.floor(rnd() * (k + 1))
    ;[out[k], out[n]] = [out[n], out[k]]
  }
  return out
}

function sync(run: (c: Test) => void): (c: Test) => Promise<void> {
  async function go(c: Test): Promise<void> {
    run(c)
  }
  return go
}
void t.test('changes that name their epoch, against a plain model', sync(namedEpochs))
void t.test('changes that name their epoch: the value keeps its size', sync(bounded))
void t.test('labels are kept as they came', sync(labels))
void t.test('new fields of the configuration', sync(fields))
void t.test("an instance's words keep their order", sync(words))
