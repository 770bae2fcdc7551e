import * as t from 'io-ts'
import {
  Name,
  readStrict,
  type HttpRequest,
  type Finding,
  type HttpResponse,
  Ok,
  Err,
  type Result,
} from '@claynotch/base'

// The requester's wire: what is asked, how each verdict is written. docs/wire.md tells it to users.

const Pair = t.type({ name: Name, value: t.string })
const KindShape = t.union([t.literal('read'), t.literal('write')])
export const OpenBody = t.intersection([
  t.type({ lane: Name }),
  t.partial({ settings: t.array(Pair), token: t.string, database: Name, key: t.string }),
])
export const ShapeBody = t.type({ name: Name, text: t.string })
export const BeginBody = t.partial({ kind: KindShape })
export const StatementBody = t.intersection([
  t.type({ kind: KindShape }),
  t.partial({ text: t.string, shape: Name, args: t.array(t.unknown) }),
])
export const CallBody = t.intersection([
  t.type({ lane: Name, kind: KindShape, text: t.string }),
  t.partial({ args: t.array(t.unknown), settings: t.array(Pair), token: t.string, database: Name, key: t.string }),
])
const Empty = t.partial({})

// key: the client's own, which tells whose it is. lane undefined: the lane is matched by the database, anew for each call. id: the requester's own mark of a statement,
// handed on to the instance. kind of a shape: what its statements do; a statement by shape may then leave its kind out.
export type Kind = 'read' | 'write'
export type ClientRequest =
  | { w: 'open'; body: Omit<t.TypeOf<typeof OpenBody>, 'lane'> & { lane?: string } }
  | { w: 'close'; session: string }
  | { w: 'shape'; session: string; body: t.TypeOf<typeof ShapeBody> & { kind?: Kind } }
  | { w: 'unshape'; session: string; name: string }
  | { w: 'set'; session: string; name: string; value: string }
  | { w: 'begin'; session: string; body: t.TypeOf<typeof BeginBody>; id?: string }
  | {
      w: 'statement'
      session: string
      body: { kind?: Kind; text?: string; shape?: string; args?: unknown[] }
      id?: string
    }
  | { w: 'commit'; session: string; id?: string }
  | { w: 'rollback'; session: string; id?: string }
  | { w: 'call'; body: t.TypeOf<typeof CallBody> }

// outcome: done, with rows; refused, nothing of the try ran; failed, some of it may have run and none of it
// was kept by us, see kept; unknown, a write may have been kept.
// Invariant: kept is 'nothing' only where nothing of the try ran.
export type Verdict = {
  outcome: 'done' | 'refused' | 'failed' | 'unknown'
  class?: string
  kept?: 'nothing' | 'unknown'
  again?: boolean
  why?: string
  after?: number
  rows?: unknown[]
  token?: string
  session?: string
  transaction?: 'over'
  // lacks: what was asked for by a name that isn't there.
  lacks?: 'lane' | 'shape'
  // stamp, mark: the instance's own proof of its answer, and its place then. reads: nothing of the try could write.
  stamp?: string
  mark?: { epoch: number; position: number }
  reads?: boolean
}

const statuses = new Map<string, number>([
  ['UNAVAILABLE', 503],
  ['RESOURCE_EXHAUSTED', 429],
  ['INVALID_ARGUMENT', 400],
  ['PERMISSION_DENIED', 403],
  ['NOT_FOUND', 404],
  ['DEADLINE_EXCEEDED', 503],
  ['ABORTED', 409],
])

// 503 and 429 promise that nothing was kept, so they are used only where that holds; 502 and 504 promise nothing.
export function writeVerdict(v: Verdict): HttpResponse {
  const { after, lacks: _lacks, stamp: _stamp, mark: _mark, reads: _reads, ...body } = v
  if (v.outcome === 'done') return { status: 200, body }
  let status: number
  if (v.outcome === 'unknown') status = 504
  else if (v.kept !== 'nothing') status = v.transaction === 'over' ? 409 : 502
  else status = statuses.get(v.class ?? '') ?? 500
  return { status, body, ...(after !== undefined ? { after } : {}) }
}

export function refusal(cls: string, why: string, again: boolean, after?: number): Verdict {
  return { outcome: 'refused', class: cls, kept: 'nothing', again, why, ...(after !== undefined ? { after } : {}) }
}

// ms left to the caller, from the header x-deadline-ms.
export function readDeadline(ask: HttpRequest): Result<number | undefined, Finding[]> {
  const text = ask.header('x-deadline-ms')
  if (text === undefined) return Ok(undefined)
  const ms = Number(text)
  if (!Number.isFinite(ms) || ms < 0)
    return Err([{ place: 'header x-deadline-ms', what: `expected milliseconds, got ${text.slice(0, 40)}` }])
  return Ok(ms)
}

function body<T>(codec: t.Type<T, unknown, unknown>, value: unknown): Result<T, Finding[]> {
  return readStrict(codec, value)
}

export function readWord(ask: HttpRequest): Result<ClientRequest, { status: number; why: string; findings: Finding[] }> {
  const parts = ask.path.split('/').filter(Boolean)
  const verb = ask.method
  function bad(findings: Finding[]): Result<never, { status: number; why: string; findings: Finding[] }> {
    return Err({ status: 400, why: 'not understood', findings })
  }
  if (parts.length === 1 && parts[0] === 'sessions' && verb === 'POST') {
    const got = body(OpenBody, ask.body)
    return got.err ? bad(got.val) : Ok({ w: 'open', body: got.val })
  }
  if (parts.length === 1 && parts[0] === 'calls' && verb === 'POST') {
    const got = body(CallBody, ask.body)
    return got.err ? bad(got.val) : Ok({ w: 'call', body: got.val })
  }
  if (parts[0] === 'sessions' && parts.length === 2 && verb === 'DELETE') return Ok({ w: 'close', session: parts[1] })
  if (parts[0] === 'sessions' && parts.length === 3 && verb === 'POST') {
    const session = parts[1]
    const plain = ask.body ?? {}
    switch (parts[2]) {
      case 'shapes': {
        const got = body(ShapeBody, plain)
        return got.err ? bad(got.val) : Ok({ w: 'shape', session, body: got.val })
      }
      case 'begin': {
        const got = body(BeginBody, plain)
        return got.err ? bad(got.val) : Ok({ w: 'begin', session, body: got.val })
      }
      case 'statement': {
        const got = body(StatementBody, plain)
        if (got.err) return bad(got.val)
        if ((got.val.text === undefined) === (got.val.shape === undefined))
          return bad([{ place: '/text', what: 'exactly one of text and shape is needed' }])
        return Ok({ w: 'statement', session, body: got.val })
      }
      case 'commit':
      case 'rollback': {
        const got = body(Empty, plain)
        return got.err ? bad(got.val) : Ok({ w: parts[2], session })
      }
    }
  }
  return Err({ status: 404, why: `no such path: ${verb} ${ask.path}`, findings: [] })
}
