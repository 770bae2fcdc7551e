import * as t from 'io-ts'
import {
  openHttpConnection,
  POOL_IDLE_TIMEOUT_MS,
  readAs,
  SAMPLE_TIMEOUT_MS,
  requestOnce,
  type Address,
  type HttpAnswer,
  type HttpFailure,
  type World,
  Ok,
  Err,
  type Result,
} from '@claynotch/base'
import type {
  ErrorClass,
  StatementResult,
  InstanceAdapter,
  InstanceConnection,
  StatusSampler,
  Status,
  RequestError,
  InstanceAddress,
} from './adapter.js'

// The instance's wire (docs/wire.md) and how its words are classified. Wire names stay in this file.

type Judged = { class: ErrorClass; transient: boolean; lead?: boolean }
const codes = new Map<string, Judged>([
  ['READONLY', { class: 'UNAVAILABLE', transient: true, lead: false }],
  ['ELECTION', { class: 'UNAVAILABLE', transient: true, lead: false }],
  ['BUSY', { class: 'UNAVAILABLE', transient: true }],
  ['OOM', { class: 'RESOURCE_EXHAUSTED', transient: false }],
  ['WRONGTYPE', { class: 'INVALID_ARGUMENT', transient: false }],
  ['SYNTAX', { class: 'INVALID_ARGUMENT', transient: false }],
  ['NOPERM', { class: 'PERMISSION_DENIED', transient: false }],
  ['NOT_FOUND', { class: 'NOT_FOUND', transient: false }],
  ['ABORTED', { class: 'ABORTED', transient: false }],
])

export function classify(code: string): Judged {
  return codes.get(code) ?? { class: 'INTERNAL', transient: false }
}

const DoneBody = t.type({ rows: t.array(t.unknown), epoch: t.number, position: t.number })
const ErrorBody = t.intersection([t.type({ code: t.string }), t.partial({ message: t.string })])
const StatusBody = t.type({ rows: t.array(t.type({ field: t.string, value: t.union([t.string, t.number]) })) })

function read(answer: Result<HttpAnswer, HttpFailure>): Result<StatementResult, RequestError> {
  if (answer.err) return Err({ reach: answer.val.reach, class: 'UNAVAILABLE', transient: true, why: answer.val.why })
  const { status, body } = answer.val
  if (status === 200) {
    const got = readAs(DoneBody, body)
    if (got.err) return Err({ reach: 'maybe', class: 'UNKNOWN', transient: false, why: 'answer not understood' })
    return Ok({ rows: got.val.rows, mark: { epoch: got.val.epoch, position: got.val.position } })
  }
  const got = readAs(ErrorBody, body)
  // A failure that is no error of the protocol (from something in between, say) proves nothing about what ran.
  if (got.err) return Err({ reach: 'maybe', class: 'UNAVAILABLE', transient: true, why: `status ${status}` })
  const judged = classify(got.val.code)
  return Err({
    reach: judged.class === 'INTERNAL' ? 'maybe' : 'answered',
    ...judged,
    why: got.val.message ?? got.val.code,
    code: got.val.code,
  })
}

async function openPort(
  world: World,
  { addr }: InstanceAddress,
  ms: number,
): Promise<Result<InstanceConnection, RequestError>> {
  const opened = await openHttpConnection(world, addr, ms)
  if (opened.err) return Err({ reach: 'none', class: 'UNAVAILABLE', transient: true, why: opened.val.why })
  const line = opened.val
  async function post(path: string, body: unknown, limit: number): Promise<Result<StatementResult, RequestError>> {
    return read(await line.ask('POST', path, body, limit))
  }
  function statement(body: { text?: string; shape?: string; args: unknown[]; mode: string }, limit: number) {
    const { text, shape, args, mode } = body
    return post('/statement', { ...(text !== undefined ? { text } : { shape }), args, mode }, limit)
  }
  function begin(mode: string, limit: number) {
    return post('/begin', { mode }, limit)
  }
  function commit(limit: number) {
    return post('/commit', {}, limit)
  }
  function rollback(limit: number) {
    return post('/rollback', {}, limit)
  }
  function settings(pairs: [string, string][], limit: number) {
    const list: { name: string; value: string }[] = []
    for (const [name, value] of pairs) list.push({ name, value })
    return post('/settings', { settings: list }, limit)
  }
  function shape(name: string, text: string, limit: number) {
    return post('/shapes', { name, text }, limit)
  }
  function reset(limit: number) {
    return post('/reset', {}, limit)
  }
  return Ok({ statement, begin, commit, rollback, settings, shape, reset, alive: line.alive, close: line.close })
}

function readStatus(answer: Result<HttpAnswer, HttpFailure>): Result<Status, string> {
  if (answer.err) return Err(answer.val.why)
  const got = readAs(StatusBody, answer.val.body)
  if (got.err) return Err('status not understood')
  const rows = new Map<string, string | number>()
  for (const row of got.val.rows) rows.set(row.field, row.value)
  const role = rows.get('role')
  const epoch = Number(rows.get('epoch'))
  const position = Number(rows.get('position'))
  if ((role !== 'leader' && role !== 'follower') || !Number.isFinite(epoch) || !Number.isFinite(position))
    return Err('status rows missing')
  const source = {
    group: String(rows.get('source')),
    mark: { epoch: Number(rows.get('source_epoch')), position: Number(rows.get('source_position')) },
  }
  const has = rows.has('source') && Number.isFinite(source.mark.epoch) && Number.isFinite(source.mark.position)
  return Ok({
    ...(has ? { source } : {}),
    role,
    mark: { epoch, position },
    name: String(rows.get('name')),
    group: String(rows.get('group')),
  })
}

export async function askStatus(
  world: World,
  addr: Address,
  ms: number = SAMPLE_TIMEOUT_MS,
): Promise<Result<Status, string>> {
  return readStatus(await requestOnce(world, addr, 'GET', '/status', undefined, ms))
}

async function openSampler(
  world: World,
  { addr }: InstanceAddress,
  ms: number,
): Promise<Result<StatusSampler, string>> {
  const got = await openHttpConnection(world, addr, ms)
  if (got.err) return Err(got.val.why)
  const line = got.val
  async function status(): Promise<Result<Status, string>> {
    return readStatus(await line.ask('GET', '/status', undefined, SAMPLE_TIMEOUT_MS))
  }
  return Ok({ status, alive: line.alive, close: line.close })
}
async function statusOf(world: World, who: InstanceAddress, ms: number): Promise<Result<Status, string>> {
  return await askStatus(world, who.addr, ms)
}

// Our own wire. A follower's place is known by samples only; a promotion is refused for an epoch that was passed.
export const httpInstanceAdapter: InstanceAdapter = {
  sampler: openSampler,
  exact: true,
  named: true,
  idle: POOL_IDLE_TIMEOUT_MS,
  open: openPort,
  status: statusOf,
}
