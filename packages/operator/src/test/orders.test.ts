import fc from 'fast-check'
import t, { type Test } from 'tap'
import { MAX_NAMED_CHANGES, MIN_NAMED_CHANGES } from '@claynotch/base'
import type { Config, Change, Decision, ChangeRequest } from '../config.js'
import { emptyBody, type ConfigurationBody } from '../config.js'
import { evaluateChange } from '../decide.js'
import { digestOf } from '../kept.js'
import { SYSTEM } from '../moves.js'

t.setTimeout(600000)

// What decide() says of orders, against a plain model that remembers everything: docs/design/control-safety.md, 2.

function configOf(name: string, valid: boolean): Config {
  return {
    proxies: 'live',
    groups: [{ name: 'g', connections: 92 }],
    lanes: [{ name, database: `db-${name}`, group: valid ? 'g' : 'nowhere', reads: 'leader' }],
  }
}

// --- the plain model: all that was ever taken, in a list without end ---

type Taken = { key: string; content: string; epoch: number }
type Model = { epoch: number; taken: Taken[]; refused: Map<string, string> }

function keyOf(o: ChangeRequest): string {
  return `${o.stream} ${o.change.number}`
}
function contentOf(o: ChangeRequest): string {
  return JSON.stringify([o.change.epoch, o.change.whole])
}
function isValid(o: ChangeRequest): boolean {
  return (o.change.whole as Config).lanes[0].group === 'g'
}
function madeBy(o: ChangeRequest): number {
  return o.change.epoch ?? o.change.expect + 1
}
// What may be told of an order: exactly one word, or, where 'forgotten' is said, 'unclear' as well.
type Wanted = { word: 'accepted' | 'refused' | 'unclear'; epoch?: number; writes: boolean; forgettable: boolean }

function wantedOf(model: Model, o: ChangeRequest): Wanted {
  const named = o.change.epoch !== undefined
  const old = model.taken.find(isIt)
  function isIt(x: Taken): boolean {
    return x.key === keyOf(o)
  }
  if (old && old.content === contentOf(o))
    return { word: 'accepted', epoch: old.epoch, writes: false, forgettable: true }
  const behind = o.change.expect < model.epoch
  if (old || model.refused.has(keyOf(o))) return { word: 'refused', writes: false, forgettable: behind }
  if (madeBy(o) <= o.change.expect) return { word: 'refused', writes: !named, forgettable: false }
  if (named && o.change.expect > model.epoch) return { word: 'unclear', writes: false, forgettable: false }
  if (o.change.expect !== model.epoch || !isValid(o)) return { word: 'refused', writes: !named, forgettable: behind }
  return { word: 'accepted', epoch: madeBy(o), writes: true, forgettable: false }
}
function note(model: Model, o: ChangeRequest, got: Decision): void {
  if (got.decision === 'accepted') {
    model.taken.push({ key: keyOf(o), content: contentOf(o), epoch: got.epoch })
    model.epoch = got.epoch
  } else model.refused.set(keyOf(o), contentOf(o))
}

// One order at the real code and at the model; the body afterwards.
function step(body: ConfigurationBody, model: Model, o: ChangeRequest, mayForget: boolean, counts: Map<string, number>): ConfigurationBody {
  const wanted = wantedOf(model, o)
  const got = evaluateChange(body, o)
  const word = 'unclear' in got ? 'unclear' : 'known' in got ? got.known.decision : got.decision.decision
  const name = `${keyOf(o)} ${JSON.stringify(o.change)} at ${body.epoch}`
  counts.set(word, (counts.get(word) ?? 0) + 1)
  if (word === 'unclear' && wanted.word !== 'unclear') {
    if (!mayForget || !wanted.forgettable) throw new Error(`${name}: unclear, and is ${wanted.word}`)
    return body
  }
  if (word !== wanted.word) throw new Error(`${name}: ${word}, and is ${wanted.word}`)
  if ('unclear' in got) return body
  const decision = 'known' in got ? got.known : got.decision
  if (wanted.epoch !== undefined && decision.epoch !== wanted.epoch)
    throw new Error(`${name}: epoch ${decision.epoch}, and is ${wanted.epoch}`)
  if ('body' in got !== wanted.writes) throw new Error(`${name}: ${wanted.writes ? 'not ' : ''}written`)
  if ('known' in got) return body
  note(model, o, decision)
  if (got.body.epoch !== model.epoch) throw new Error(`${name}: the body's epoch is ${got.body.epoch}`)
  return got.body
}

// --- drawn orders ---

// Each draw is one order: a new one, or one sent before, the very same or a rival under its number.
type Draw = { kind: 'new' | 'again' | 'rival'; back: number; stream: number; base: number; up: number; valid: boolean }
const draw = fc.record({
  kind: fc.constantFrom('new' as const, 'new' as const, 'again' as const, 'rival' as const),
  back: fc.nat(30),
  stream: fc.nat(2),
  base: fc.integer({ min: -3, max: 2 }),
  up: fc.integer({ min: 0, max: 3 }),
  valid: fc.boolean(),
})
function newOrder(d: Draw, named: boolean, epoch: number, count: number): ChangeRequest {
  const expect = Math.max(0, d.base <= 0 && d.base > -2 ? epoch : epoch + d.base)
  const whole = configOf(`w${count}`, d.valid || d.back > 10)
  const change: Change = { number: 1, expect, whole, ...(named ? { epoch: expect + d.up } : {}) }
  if (named) return { stream: `digest${count}`, change }
  change.number = count + 1
  return { stream: `s${d.stream}`, change, digest: digestOf(change) }
}
function rivalOf(o: ChangeRequest, count: number): ChangeRequest {
  const change: Change = { ...o.change, whole: configOf(`r${count}`, true) }
  if (o.change.epoch !== undefined) return { stream: `rival${count}`, change }
  return { ...o, change, digest: digestOf(change) }
}
function orderOf(d: Draw, named: boolean, epoch: number, sent: ChangeRequest[]): ChangeRequest {
  const old = sent[sent.length - 1 - d.back]
  if (d.kind === 'again' && old) return old
  if (d.kind === 'rival' && old) return rivalOf(old, sent.length)
  return newOrder(d, named, epoch, sent.length)
}

function drawn(c: Test): void {
  const counts = new Map<string, number>()
  function plays(named: boolean, draws: Draw[]): void {
    let body = emptyBody()
    const model: Model = { epoch: 0, taken: [], refused: new Map() }
    const sent: ChangeRequest[] = []
    for (const d of draws) {
      const o = orderOf(d, named, body.epoch, sent)
      sent.push(o)
      body = step(body, model, o, false, counts)
    }
  }
  fc.assert(fc.property(fc.boolean(), fc.array(draw, { maxLength: 60 }), plays), { numRuns: 5000, seed: 219 })
  for (const word of ['accepted', 'refused', 'unclear'])
    c.ok((counts.get(word) ?? 0) > 1000, `${word}: ${counts.get(word)}`)
}

// --- what was forgotten ---

// The body as an earlier program leaves it behind, which kept NAMED_KEPT_LEAST changes and knew nothing of digests.
function trimmedByEarlier(body: ConfigurationBody): ConfigurationBody {
  return { ...body, history: body.history.slice(-MIN_NAMED_CHANGES) }
}
// Two thousand changes that name their epoch, programs of both kinds taking turns at writing; all of them sent again,
// and rivals of each.
function forgotten(c: Test): void {
  const counts = new Map<string, number>()
  for (const [mixed, count] of [
    [false, MAX_NAMED_CHANGES + 400],
    [true, 2 * MIN_NAMED_CHANGES],
  ] as const) {
    let body = emptyBody()
    const model: Model = { epoch: 0, taken: [], refused: new Map() }
    const sent: ChangeRequest[] = []
    for (let k = 0; k < count; k++) {
      const change: Change = { number: 1, expect: body.epoch, epoch: body.epoch + 2, whole: configOf(`n${k}`, true) }
      const o = { stream: `digest${k}`, change }
      sent.push(o)
      body = step(body, model, o, false, counts)
      if (mixed && k % 7 === 0) body = trimmedByEarlier(body)
    }
    const kept = body.history.length
    c.equal(kept < count, true, `${kept} of ${count} are kept`)
    for (const [k, o] of sent.entries()) {
      const remembered = k >= count - kept
      const before = counts.get('unclear') ?? 0
      step(body, model, o, !remembered, counts)
      // A rival of the oldest one that is kept is known to have lost: that one made the epoch.
      step(body, model, rivalOf(o, k), !remembered, counts)
      const unclear = (counts.get('unclear') ?? 0) - before
      if (unclear !== (remembered ? 0 : 2)) c.fail(`${k} of ${count}: ${unclear} unclear`)
    }
  }
  c.ok((counts.get('unclear') ?? 0) >= 2 * 400, `${counts.get('unclear')} can't be told any more`)
}

// Where little happened nothing was dropped, and all is told.
function whole(c: Test): void {
  let body = emptyBody()
  const model: Model = { epoch: 0, taken: [], refused: new Map() }
  const counts = new Map<string, number>()
  const first: ChangeRequest = { stream: 'a', change: { number: 1, expect: 0, epoch: 3, whole: configOf('a', true) } }
  const low: ChangeRequest = { stream: 'b', change: { number: 1, expect: 0, epoch: 1, whole: configOf('b', true) } }
  body = step(body, model, first, false, counts)
  step(body, model, low, false, counts)
  c.equal(counts.get('refused'), 1, 'below the first one that was taken')
}

// The very same one under a fresh expectation is the same one; no operator writes in the system's stream.
function numbers(c: Test): void {
  function own(expect: number, name: string): ChangeRequest {
    const change: Change = { number: 7, expect, whole: configOf(name, true) }
    return { stream: 'desk', change, digest: digestOf(change) }
  }
  const got = evaluateChange(emptyBody(), own(0, 'a'))
  if (!('body' in got)) throw new Error('not taken')
  const { body } = got
  c.match(evaluateChange(body, own(0, 'a')), { known: { decision: 'accepted', epoch: 1 } })
  c.match(evaluateChange(body, own(1, 'a')), { known: { decision: 'accepted', epoch: 1 } }, 'with a fresh expectation')
  c.match(evaluateChange(body, own(0, 'b')), { known: { decision: 'refused', why: /another change's, which was accepted/ } })
  c.match(evaluateChange(body, own(1, 'b')), { known: { decision: 'refused' } })
  // A program of before digests wrote it: the number alone tells.
  const bare: ConfigurationBody = JSON.parse(JSON.stringify(body, dropDigest)) as ConfigurationBody
  function dropDigest(key: string, value: unknown): unknown {
    return key === 'digest' ? undefined : value
  }
  c.match(evaluateChange(bare, own(1, 'b')), { known: { decision: 'accepted', epoch: 1 } }, 'as that program told it')
  const system = { ...own(1, 'c'), stream: SYSTEM }
  c.match(evaluateChange(body, system), { known: { decision: 'refused', why: /system's own/ } })
}

function sync(run: (c: Test) => void): (c: Test) => Promise<void> {
  async function go(c: Test): Promise<void> {
    run(c)
  }
  return go
}
void t.test('drawn orders: repeats, rivals, invalid ones, against a plain model', sync(drawn))
void t.test('what is forgotten is never refused, by programs of both kinds', sync(forgotten))
void t.test('history is whole where little happened', sync(whole))
void t.test('a number is of one content', sync(numbers))
