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

/** The HTTP protocol for clients (requesters): their requests, and how each result is written; see docs/wire.md. */

const SettingCodec = t.type({ name: Name, value: t.string })
const KindCodec = t.union([t.literal('read'), t.literal('write')])
/** Body of POST /sessions. */
export const OpenBody = t.intersection([
  t.type({ lane: Name }),
  t.partial({ settings: t.array(SettingCodec), token: t.string, database: Name, key: t.string }),
])
/** Body of POST /sessions/ID/shapes. */
export const ShapeBody = t.type({ name: Name, text: t.string })
/** Body of POST /sessions/ID/begin. */
export const BeginBody = t.partial({ kind: KindCodec })
/** Body of POST /sessions/ID/statement. */
export const StatementBody = t.intersection([
  t.type({ kind: KindCodec }),
  t.partial({ text: t.string, shape: Name, args: t.array(t.unknown) }),
])
/** Body of POST /calls: one statement without a session. */
export const CallBody = t.intersection([
  t.type({ lane: Name, kind: KindCodec, text: t.string }),
  t.partial({
    args: t.array(t.unknown),
    settings: t.array(SettingCodec),
    token: t.string,
    database: Name,
    key: t.string,
  }),
])
const EmptyBody = t.partial({})

/** Whether a statement or transaction only reads. */
export type Kind = 'read' | 'write'
/**
 * A client's request. key: the client's API key, which identifies the client; lane undefined: each call looks up the
 * lane of the database anew; id: the client's own identifier of a statement, passed on to the instance; kind of a
 * shape: what its statements do, so that a statement by this shape may omit its kind.
 */
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

/**
 * The result of a client's request.
 *
 * Invariant: kept is 'nothing' only if nothing of the attempt was executed.
 */
export type Verdict = {
  /**
   * done: executed, with rows; refused: nothing of the attempt was executed; failed: some of it may have been executed,
   * and nothing of it was committed by this node (see kept); unknown: a write may have been committed.
   */
  outcome: 'done' | 'refused' | 'failed' | 'unknown'
  /** The error class. */
  class?: string
  /** What may have been committed of the request. */
  kept?: 'nothing' | 'unknown'
  /** Whether a retry may succeed. */
  again?: boolean
  why?: string
  /** Seconds to wait before a retry. */
  after?: number
  rows?: unknown[]
  token?: string
  session?: string
  /** The session's transaction has ended. */
  transaction?: 'over'
  /** What was requested by a name that doesn't exist. */
  lacks?: 'lane' | 'shape'
  /** The instance's own proof of its answer. */
  stamp?: string
  /** The instance's log position at the answer. */
  mark?: { epoch: number; position: number }
  /** Whether the request was a read, so that nothing of it could write. */
  reads?: boolean
}

/** The HTTP status of a refusal, by error class. */
const statusByClass = new Map<string, number>([
  ['UNAVAILABLE', 503],
  ['RESOURCE_EXHAUSTED', 429],
  ['INVALID_ARGUMENT', 400],
  ['PERMISSION_DENIED', 403],
  ['NOT_FOUND', 404],
  ['DEADLINE_EXCEEDED', 503],
  ['ABORTED', 409],
])

/**
 * Writes a result as an HTTP response. 503 and 429 promise that nothing was executed, so they are used only where that
 * holds; 502 and 504 promise nothing.
 */
export function formatVerdict(verdict: Verdict): HttpResponse {
  const { after, lacks: _lacks, stamp: _stamp, mark: _mark, reads: _reads, ...body } = verdict
  if (verdict.outcome === 'done') return { status: 200, body }
  let status: number
  if (verdict.outcome === 'unknown') status = 504
  else if (verdict.kept !== 'nothing') status = verdict.transaction === 'over' ? 409 : 502
  else status = statusByClass.get(verdict.class ?? '') ?? 500
  return { status, body, ...(after !== undefined ? { after } : {}) }
}

/** A result that promises that nothing was executed. again: a retry may succeed; after: in that many seconds. */
export function refusal(errorClass: string, why: string, again: boolean, after?: number): Verdict {
  return {
    outcome: 'refused',
    class: errorClass,
    kept: 'nothing',
    again,
    why,
    ...(after !== undefined ? { after } : {}),
  }
}

/** How long (ms) the client waits for the answer, from the header x-deadline-ms. */
export function parseDeadline(request: HttpRequest): Result<number | undefined, Finding[]> {
  const text = request.header('x-deadline-ms')
  if (text === undefined) return Ok(undefined)
  const ms = Number(text)
  if (!Number.isFinite(ms) || ms < 0)
    return Err([{ place: 'header x-deadline-ms', what: `expected milliseconds, got ${text.slice(0, 40)}` }])
  return Ok(ms)
}

function decodeBody<T>(codec: t.Type<T, unknown, unknown>, value: unknown): Result<T, Finding[]> {
  return readStrict(codec, value)
}

/** Decodes an HTTP request; on failure returns the HTTP status and what is wrong. */
export function parseRequest(
  request: HttpRequest,
): Result<ClientRequest, { status: number; why: string; findings: Finding[] }> {
  const segments = request.path.split('/').filter(Boolean)
  const method = request.method
  function badRequest(findings: Finding[]): Result<never, { status: number; why: string; findings: Finding[] }> {
    return Err({ status: 400, why: 'not understood', findings })
  }
  if (segments.length === 1 && segments[0] === 'sessions' && method === 'POST') {
    const decoded = decodeBody(OpenBody, request.body)
    return decoded.err ? badRequest(decoded.val) : Ok({ w: 'open', body: decoded.val })
  }
  if (segments.length === 1 && segments[0] === 'calls' && method === 'POST') {
    const decoded = decodeBody(CallBody, request.body)
    return decoded.err ? badRequest(decoded.val) : Ok({ w: 'call', body: decoded.val })
  }
  if (segments[0] === 'sessions' && segments.length === 2 && method === 'DELETE')
    return Ok({ w: 'close', session: segments[1] })
  if (segments[0] === 'sessions' && segments.length === 3 && method === 'POST') {
    const session = segments[1]
    const requestBody = request.body ?? {}
    switch (segments[2]) {
      case 'shapes': {
        const decoded = decodeBody(ShapeBody, requestBody)
        return decoded.err ? badRequest(decoded.val) : Ok({ w: 'shape', session, body: decoded.val })
      }
      case 'begin': {
        const decoded = decodeBody(BeginBody, requestBody)
        return decoded.err ? badRequest(decoded.val) : Ok({ w: 'begin', session, body: decoded.val })
      }
      case 'statement': {
        const decoded = decodeBody(StatementBody, requestBody)
        if (decoded.err) return badRequest(decoded.val)
        if ((decoded.val.text === undefined) === (decoded.val.shape === undefined))
          return badRequest([{ place: '/text', what: 'exactly one of text and shape is needed' }])
        return Ok({ w: 'statement', session, body: decoded.val })
      }
      case 'commit':
      case 'rollback': {
        const decoded = decodeBody(EmptyBody, requestBody)
        return decoded.err ? badRequest(decoded.val) : Ok({ w: segments[2], session })
      }
    }
  }
  return Err({ status: 404, why: `no such path: ${method} ${request.path}`, findings: [] })
}
