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

/**
 * The instances' HTTP protocol (docs/wire.md) and the classification of its error codes. Wire names stay in this file.
 */

/** How a failed request is classified. */
type ErrorClassification = { class: ErrorClass; transient: boolean; lead?: boolean }
const classificationByCode = new Map<string, ErrorClassification>([
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

/** The class of an instance's error code; INTERNAL for an unknown one. */
export function classifyErrorCode(code: string): ErrorClassification {
  return classificationByCode.get(code) ?? { class: 'INTERNAL', transient: false }
}

const StatementBody = t.type({ rows: t.array(t.unknown), epoch: t.number, position: t.number })
const ErrorBody = t.intersection([t.type({ code: t.string }), t.partial({ message: t.string })])
const StatusBody = t.type({ rows: t.array(t.type({ field: t.string, value: t.union([t.string, t.number]) })) })

/** Converts the HTTP answer to a statement into its result or a classified error. */
function readStatementAnswer(answer: Result<HttpAnswer, HttpFailure>): Result<StatementResult, RequestError> {
  if (answer.err) return Err({ reach: answer.val.reach, class: 'UNAVAILABLE', transient: true, why: answer.val.why })
  const { status, body } = answer.val
  if (status === 200) {
    const statement = readAs(StatementBody, body)
    if (statement.err) return Err({ reach: 'maybe', class: 'UNKNOWN', transient: false, why: 'answer not understood' })
    return Ok({ rows: statement.val.rows, mark: { epoch: statement.val.epoch, position: statement.val.position } })
  }
  const error = readAs(ErrorBody, body)
  // A failure that is no error of the protocol (from an intermediary, for example) doesn't show whether the statement
  // ran.
  if (error.err) return Err({ reach: 'maybe', class: 'UNAVAILABLE', transient: true, why: `status ${status}` })
  const classification = classifyErrorCode(error.val.code)
  return Err({
    reach: classification.class === 'INTERNAL' ? 'maybe' : 'answered',
    ...classification,
    why: error.val.message ?? error.val.code,
    code: error.val.code,
  })
}

async function openConnection(
  world: World,
  { addr }: InstanceAddress,
  dialTimeoutMs: number,
): Promise<Result<InstanceConnection, RequestError>> {
  const opened = await openHttpConnection(world, addr, dialTimeoutMs, { numbersRequests: true })
  if (opened.err) return Err({ reach: 'none', class: 'UNAVAILABLE', transient: true, why: opened.val.why })
  const connection = opened.val
  async function post(path: string, body: unknown, timeoutMs: number): Promise<Result<StatementResult, RequestError>> {
    return readStatementAnswer(await connection.ask('POST', path, body, timeoutMs))
  }
  function statement(body: { text?: string; shape?: string; args: unknown[]; mode: string }, timeoutMs: number) {
    const { text, shape, args, mode } = body
    return post('/statement', { ...(text !== undefined ? { text } : { shape }), args, mode }, timeoutMs)
  }
  function begin(mode: string, timeoutMs: number) {
    return post('/begin', { mode }, timeoutMs)
  }
  function commit(timeoutMs: number) {
    return post('/commit', {}, timeoutMs)
  }
  function rollback(timeoutMs: number) {
    return post('/rollback', {}, timeoutMs)
  }
  function settings(pairs: [string, string][], timeoutMs: number) {
    const settingRows: { name: string; value: string }[] = []
    for (const [name, value] of pairs) settingRows.push({ name, value })
    return post('/settings', { settings: settingRows }, timeoutMs)
  }
  function shape(name: string, text: string, timeoutMs: number) {
    return post('/shapes', { name, text }, timeoutMs)
  }
  function reset(timeoutMs: number) {
    return post('/reset', {}, timeoutMs)
  }
  return Ok({
    statement,
    begin,
    commit,
    rollback,
    settings,
    shape,
    reset,
    alive: connection.alive,
    close: connection.close,
  })
}

/** Converts the HTTP answer to a status request. */
function readStatus(answer: Result<HttpAnswer, HttpFailure>): Result<Status, string> {
  if (answer.err) return Err(answer.val.why)
  const parsed = readAs(StatusBody, answer.val.body)
  if (parsed.err) return Err('status not understood')
  const rows = new Map<string, string | number>()
  for (const row of parsed.val.rows) rows.set(row.field, row.value)
  const role = rows.get('role')
  const epoch = Number(rows.get('epoch'))
  const position = Number(rows.get('position'))
  if ((role !== 'leader' && role !== 'follower') || !Number.isFinite(epoch) || !Number.isFinite(position))
    return Err('status rows missing')
  const source = {
    group: String(rows.get('source')),
    mark: { epoch: Number(rows.get('source_epoch')), position: Number(rows.get('source_position')) },
  }
  const hasSource = rows.has('source') && Number.isFinite(source.mark.epoch) && Number.isFinite(source.mark.position)
  return Ok({
    ...(hasSource ? { source } : {}),
    role,
    mark: { epoch, position },
    name: String(rows.get('name')),
    group: String(rows.get('group')),
  })
}

/** Requests an instance's status over a connection of its own. */
export async function queryStatus(
  world: World,
  addr: Address,
  timeoutMs: number = SAMPLE_TIMEOUT_MS,
): Promise<Result<Status, string>> {
  return readStatus(await requestOnce(world, addr, 'GET', '/status', undefined, timeoutMs))
}

async function openSampler(
  world: World,
  { addr }: InstanceAddress,
  timeoutMs: number,
): Promise<Result<StatusSampler, string>> {
  const opened = await openHttpConnection(world, addr, timeoutMs, { numbersRequests: true })
  if (opened.err) return Err(opened.val.why)
  const connection = opened.val
  async function status(): Promise<Result<Status, string>> {
    return readStatus(await connection.ask('GET', '/status', undefined, SAMPLE_TIMEOUT_MS))
  }
  return Ok({ status, alive: connection.alive, close: connection.close })
}
async function queryInstanceStatus(
  world: World,
  instance: InstanceAddress,
  timeoutMs: number,
): Promise<Result<Status, string>> {
  return await queryStatus(world, instance.addr, timeoutMs)
}

/**
 * The adapter for the project's HTTP protocol. A follower's log position is known only by polling; a promotion to an
 * outdated epoch is rejected.
 */
export const httpInstanceAdapter: InstanceAdapter = {
  sampler: openSampler,
  exact: true,
  named: true,
  idle: POOL_IDLE_TIMEOUT_MS,
  open: openConnection,
  status: queryInstanceStatus,
}
