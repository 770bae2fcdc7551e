import fc from 'fast-check'
import t, { type Test } from 'tap'
import { MAX_NAMED_CHANGES, MIN_NAMED_CHANGES } from '@claynotch/base'
import type { Config, Change, Decision, ChangeRequest } from '../config.js'
import { emptyBody, type ConfigurationBody } from '../config.js'
import { evaluateChange } from '../decide.js'
import { digestOf } from '../kept.js'
import { SYSTEM_STREAM } from '../moves.js'

t.setTimeout(600000)

// Compares evaluateChange() with a simple model that keeps the complete history: docs/design/control-safety.md, section 2.

function configOf(name: string, valid: boolean): Config {
  return {
    proxies: 'live',
    groups: [{ name: 'g', connections: 92 }],
    lanes: [{ name, database: `db-${name}`, group: valid ? 'g' : 'nowhere', reads: 'leader' }],
  }
}

// --- the model: all changes that were ever accepted, in an unbounded list ---

type AcceptedRequest = { key: string; content: string; epoch: number }
type Model = { epoch: number; accepted: AcceptedRequest[]; refused: Map<string, string> }

function keyOf(request: ChangeRequest): string {
  return `${request.stream} ${request.change.number}`
}
function contentOf(request: ChangeRequest): string {
  return JSON.stringify([request.change.epoch, request.change.whole])
}
function isValid(request: ChangeRequest): boolean {
  return (request.change.whole as Config).lanes[0].group === 'g'
}
function epochMadeBy(request: ChangeRequest): number {
  return request.change.epoch ?? request.change.expect + 1
}
/** The expected outcome of a request. `forgettable`: 'unclear' is allowed as well, if history has been dropped. */
type Expected = { outcome: 'accepted' | 'refused' | 'unclear'; epoch?: number; writes: boolean; forgettable: boolean }

function expectedOf(model: Model, request: ChangeRequest): Expected {
  const namesEpoch = request.change.epoch !== undefined
  const acceptedBefore = model.accepted.find(hasSameKey)
  function hasSameKey(accepted: AcceptedRequest): boolean {
    return accepted.key === keyOf(request)
  }
  if (acceptedBefore && acceptedBefore.content === contentOf(request))
    return { outcome: 'accepted', epoch: acceptedBefore.epoch, writes: false, forgettable: true }
  const behind = request.change.expect < model.epoch
  if (acceptedBefore || model.refused.has(keyOf(request)))
    return { outcome: 'refused', writes: false, forgettable: behind }
  if (epochMadeBy(request) <= request.change.expect)
    return { outcome: 'refused', writes: !namesEpoch, forgettable: false }
  if (namesEpoch && request.change.expect > model.epoch)
    return { outcome: 'unclear', writes: false, forgettable: false }
  if (request.change.expect !== model.epoch || !isValid(request))
    return { outcome: 'refused', writes: !namesEpoch, forgettable: behind }
  return { outcome: 'accepted', epoch: epochMadeBy(request), writes: true, forgettable: false }
}
function recordInModel(model: Model, request: ChangeRequest, decision: Decision): void {
  if (decision.decision === 'accepted') {
    model.accepted.push({ key: keyOf(request), content: contentOf(request), epoch: decision.epoch })
    model.epoch = decision.epoch
  } else model.refused.set(keyOf(request), contentOf(request))
}

/** Decides one request with the real code and with the model, and returns the body afterwards. */
function decideAndCompare(
  body: ConfigurationBody,
  model: Model,
  request: ChangeRequest,
  mayForget: boolean,
  counts: Map<string, number>,
): ConfigurationBody {
  const expected = expectedOf(model, request)
  const evaluation = evaluateChange(body, request)
  const outcome =
    'unclear' in evaluation
      ? 'unclear'
      : 'known' in evaluation
        ? evaluation.known.decision
        : evaluation.decision.decision
  const description = `${keyOf(request)} ${JSON.stringify(request.change)} at ${body.epoch}`
  counts.set(outcome, (counts.get(outcome) ?? 0) + 1)
  if (outcome === 'unclear' && expected.outcome !== 'unclear') {
    if (!mayForget || !expected.forgettable) throw new Error(`${description}: unclear, expected ${expected.outcome}`)
    return body
  }
  if (outcome !== expected.outcome) throw new Error(`${description}: ${outcome}, expected ${expected.outcome}`)
  if ('unclear' in evaluation) return body
  const decision = 'known' in evaluation ? evaluation.known : evaluation.decision
  if (expected.epoch !== undefined && decision.epoch !== expected.epoch)
    throw new Error(`${description}: epoch ${decision.epoch}, expected ${expected.epoch}`)
  if ('body' in evaluation !== expected.writes)
    throw new Error(`${description}: ${expected.writes ? 'not ' : ''}written`)
  if ('known' in evaluation) return body
  recordInModel(model, request, decision)
  if (evaluation.body.epoch !== model.epoch)
    throw new Error(`${description}: the body's epoch is ${evaluation.body.epoch}`)
  return evaluation.body
}

// --- random requests ---

/** Each draw is one request: a new one, one that was sent before, or a rival (a different change) under its number. */
type RequestDraw = {
  kind: 'new' | 'again' | 'rival'
  back: number
  stream: number
  base: number
  up: number
  valid: boolean
}
const requestDraw = fc.record({
  kind: fc.constantFrom('new' as const, 'new' as const, 'again' as const, 'rival' as const),
  back: fc.nat(30),
  stream: fc.nat(2),
  base: fc.integer({ min: -3, max: 2 }),
  up: fc.integer({ min: 0, max: 3 }),
  valid: fc.boolean(),
})
function newRequest(generated: RequestDraw, namesEpoch: boolean, epoch: number, count: number): ChangeRequest {
  const expect = Math.max(0, generated.base <= 0 && generated.base > -2 ? epoch : epoch + generated.base)
  const whole = configOf(`w${count}`, generated.valid || generated.back > 10)
  const change: Change = { number: 1, expect, whole, ...(namesEpoch ? { epoch: expect + generated.up } : {}) }
  if (namesEpoch) return { stream: `digest${count}`, change }
  change.number = count + 1
  return { stream: `s${generated.stream}`, change, digest: digestOf(change) }
}
function rivalOf(request: ChangeRequest, count: number): ChangeRequest {
  const change: Change = { ...request.change, whole: configOf(`r${count}`, true) }
  if (request.change.epoch !== undefined) return { stream: `rival${count}`, change }
  return { ...request, change, digest: digestOf(change) }
}
function requestOf(generated: RequestDraw, namesEpoch: boolean, epoch: number, sent: ChangeRequest[]): ChangeRequest {
  const earlier = sent[sent.length - 1 - generated.back]
  if (generated.kind === 'again' && earlier) return earlier
  if (generated.kind === 'rival' && earlier) return rivalOf(earlier, sent.length)
  return newRequest(generated, namesEpoch, epoch, sent.length)
}

function randomRequests(test: Test): void {
  const counts = new Map<string, number>()
  function replay(namesEpoch: boolean, draws: RequestDraw[]): void {
    let body = emptyBody()
    const model: Model = { epoch: 0, accepted: [], refused: new Map() }
    const sent: ChangeRequest[] = []
    for (const generated of draws) {
      const request = requestOf(generated, namesEpoch, body.epoch, sent)
      sent.push(request)
      body = decideAndCompare(body, model, request, false, counts)
    }
  }
  fc.assert(fc.property(fc.boolean(), fc.array(requestDraw, { maxLength: 60 }), replay), { numRuns: 5000, seed: 219 })
  for (const outcome of ['accepted', 'refused', 'unclear'])
    test.ok((counts.get(outcome) ?? 0) > 1000, `${outcome}: ${counts.get(outcome)}`)
}

// --- dropped history ---

/** The body as an older version writes it, which kept MIN_NAMED_CHANGES changes and had no digests. */
function trimmedByOlderVersion(body: ConfigurationBody): ConfigurationBody {
  return { ...body, history: body.history.slice(-MIN_NAMED_CHANGES) }
}
/**
 * Sends two thousand changes that name their epoch, first written by the current version only and then by both
 * versions in turn. Then sends all of them again, with a rival of each.
 */
function droppedHistory(test: Test): void {
  const counts = new Map<string, number>()
  for (const [mixed, count] of [
    [false, MAX_NAMED_CHANGES + 400],
    [true, 2 * MIN_NAMED_CHANGES],
  ] as const) {
    let body = emptyBody()
    const model: Model = { epoch: 0, accepted: [], refused: new Map() }
    const sent: ChangeRequest[] = []
    for (let k = 0; k < count; k++) {
      const change: Change = { number: 1, expect: body.epoch, epoch: body.epoch + 2, whole: configOf(`n${k}`, true) }
      const request = { stream: `digest${k}`, change }
      sent.push(request)
      body = decideAndCompare(body, model, request, false, counts)
      if (mixed && k % 7 === 0) body = trimmedByOlderVersion(body)
    }
    const kept = body.history.length
    test.equal(kept < count, true, `${kept} of ${count} entries are kept`)
    for (const [index, request] of sent.entries()) {
      const remembered = index >= count - kept
      const unclearBefore = counts.get('unclear') ?? 0
      decideAndCompare(body, model, request, !remembered, counts)
      // A rival of the oldest entry kept is known to be refused, because that entry made the epoch.
      decideAndCompare(body, model, rivalOf(request, index), !remembered, counts)
      const unclearAnswers = (counts.get('unclear') ?? 0) - unclearBefore
      if (unclearAnswers !== (remembered ? 0 : 2)) test.fail(`${index} of ${count}: ${unclearAnswers} unclear`)
    }
  }
  test.ok((counts.get('unclear') ?? 0) >= 2 * 400, `${counts.get('unclear')} unclear answers`)
}

/** With few changes nothing has been dropped, so every outcome is known. */
function completeHistory(test: Test): void {
  let body = emptyBody()
  const model: Model = { epoch: 0, accepted: [], refused: new Map() }
  const counts = new Map<string, number>()
  const first: ChangeRequest = { stream: 'a', change: { number: 1, expect: 0, epoch: 3, whole: configOf('a', true) } }
  const lowerEpoch: ChangeRequest = {
    stream: 'b',
    change: { number: 1, expect: 0, epoch: 1, whole: configOf('b', true) },
  }
  body = decideAndCompare(body, model, first, false, counts)
  decideAndCompare(body, model, lowerEpoch, false, counts)
  test.equal(counts.get('refused'), 1, 'epoch below the first accepted change')
}

/** A change that is sent again with a newer expected epoch is the same change. The system's stream is not writable. */
function reusedNumbers(test: Test): void {
  function requestNumber7(expect: number, name: string): ChangeRequest {
    const change: Change = { number: 7, expect, whole: configOf(name, true) }
    return { stream: 'desk', change, digest: digestOf(change) }
  }
  const evaluation = evaluateChange(emptyBody(), requestNumber7(0, 'a'))
  if (!('body' in evaluation)) throw new Error('the first change was not accepted')
  const { body } = evaluation
  test.match(evaluateChange(body, requestNumber7(0, 'a')), { known: { decision: 'accepted', epoch: 1 } })
  test.match(
    evaluateChange(body, requestNumber7(1, 'a')),
    { known: { decision: 'accepted', epoch: 1 } },
    'sent again with the current epoch',
  )
  test.match(evaluateChange(body, requestNumber7(0, 'b')), {
    known: { decision: 'refused', why: /another change's, which was accepted/ },
  })
  test.match(evaluateChange(body, requestNumber7(1, 'b')), { known: { decision: 'refused' } })
  // A version without digests wrote it, so only the number identifies the change.
  const bodyWithoutDigests: ConfigurationBody = JSON.parse(JSON.stringify(body, dropDigest)) as ConfigurationBody
  function dropDigest(key: string, value: unknown): unknown {
    return key === 'digest' ? undefined : value
  }
  test.match(
    evaluateChange(bodyWithoutDigests, requestNumber7(1, 'b')),
    { known: { decision: 'accepted', epoch: 1 } },
    'as the older version decided',
  )
  const system = { ...requestNumber7(1, 'c'), stream: SYSTEM_STREAM }
  test.match(evaluateChange(body, system), { known: { decision: 'refused', why: /system's own/ } })
}

function asyncTest(run: (test: Test) => void): (test: Test) => Promise<void> {
  async function runTest(test: Test): Promise<void> {
    run(test)
  }
  return runTest
}
void t.test('random requests: repeats, rivals and invalid changes, compared with a model', asyncTest(randomRequests))
void t.test(
  'a change whose decision was dropped is never refused, with both versions writing',
  asyncTest(droppedHistory),
)
void t.test('history is complete while nothing has been dropped', asyncTest(completeHistory))
void t.test('a number identifies one change', asyncTest(reusedNumbers))
