import {
  ATTEMPT_TIMEOUT_MS,
  loop,
  makeThrottledLog,
  MAX_SESSIONS,
  PROTOCOL_ERROR_LOG_INTERVAL_MS,
  RETRY_AFTER_OVERLOAD_S,
  RETRY_AFTER_PROMOTION_S,
  SESSION_IDLE_TIMEOUT_MS,
  SESSION_SWEEP_INTERVAL_MS,
  type Flag,
  type Metrics,
  type World,
} from '@claynotch/base'
import type { InstanceAdapter } from '@claynotch/instance'
import { AUTO, hashKey } from '@claynotch/operator'
import { refusal, type Kind, type Verdict, type ClientRequest } from '@claynotch/requester'
import { makeCall, type Call, type CallResult } from './call.js'
import { isForOtherGroup, parseToken, formatToken, type Token } from './freshness.js'
import { identify } from './identity.js'
import type { Runner } from './interpret.js'
import type { LaneRules, Rules } from './rules.js'
import { makeSessionMemory, type PreparedStatement } from './session-state.js'
import { findLane, freshnessOf, type Session } from './session.js'
import type { State } from './state.js'
import { makeTransactions, shapeNotFound, stateLimitExceeded, type StatementRequest } from './transactions.js'

/** The sessions of this proxy's clients, and calls without a session. */
export type Sessions = {
  /** Runs one client request. callerTimeoutMs: how long the client waits; callerGone: fires when it disconnects. */
  run: (request: ClientRequest, callerTimeoutMs: number | undefined, callerGone: Flag) => Promise<Verdict>
  /** Counts and logs a message of a client that could not be read. */
  noteUnreadable: (reason: string) => void
  /** Number of open sessions. */
  openCount: () => number
  /**
   * Number of open transactions, of one group, lane or kind where given. Read transactions count too: a drain gives
   * them the same time as others.
   */
  transactionCount: (group?: string, lane?: string, kind?: 'read' | 'write') => number
  /**
   * Ends the open transactions, at shutdown: idle ones at once, the others when their current call ends. Not
   * reversible.
   */
  cutTransactions: (reason: string) => void
}

type OpenRequest = Extract<ClientRequest, { w: 'open' }>
type BeginRequest = Extract<ClientRequest, { w: 'begin' }>
type SingleCallRequest = Extract<ClientRequest, { w: 'call' }>

function settingPairs(list: { name: string; value: string }[] | undefined): [string, string][] {
  const pairs: [string, string][] = []
  for (const { name, value } of list ?? []) pairs.push([name, value])
  return pairs
}

/** The part of the request that is sent to the instance. */
function callBody(request: StatementRequest | BeginRequest): Call['body'] {
  const id = request.id !== undefined ? { id: request.id } : {}
  if (request.w === 'begin') return { args: [], ...id }
  const { text, shape, args } = request.body
  return { ...id, ...(text !== undefined ? { text } : { shape: shape! }), args: args ?? [] }
}

function keyHashOf(key: string | undefined): string | undefined {
  return key === undefined ? undefined : hashKey(key)
}

/**
 * The shapes to register for a call: only the one that it uses. A transaction registers shapes statement by statement.
 */
function shapesFor(body: Call['body'], shape: PreparedStatement | undefined): Map<string, string> {
  return new Map(body.shape !== undefined && shape ? [[body.shape, shape.text]] : [])
}

/** Each request runs on its session's open transaction, or else as a call of its own through the interpreter. */
export function makeSessions(
  world: World,
  state: State,
  runner: Runner,
  adapter: InstanceAdapter,
  metrics: Metrics,
  stop: Flag,
  isStopping: () => boolean,
): Sessions {
  const sessionById = new Map<string, Session>()
  /** Open sessions by team, under the configuration of countedEpoch. */
  const sessionCountByTeam = new Map<string, number>()
  let countedEpoch = 0
  const memory = makeSessionMemory(metrics)
  const transactions = makeTransactions(world, state, runner, adapter, metrics)
  const idPrefix = Math.floor(world.random() * 2 ** 40).toString(36)
  let lastNumber = 0

  const logUnreadable = makeThrottledLog(world, 'client-message-unreadable', PROTOCOL_ERROR_LOG_INTERVAL_MS)

  // --- lanes ---

  function laneOf(name: string | undefined, database: string): { rules: Rules; lane: LaneRules } | undefined {
    const rules = state.rules()
    const lane = rules ? findLane(rules, name, database) : undefined
    return rules && lane ? { rules, lane } : undefined
  }
  /**
   * The lane 'auto' is chosen by the operator's policy; if the policy fails or names no existing lane, by its fallback.
   */
  function matchLane(name: string, kind: string, database: string, settings: [string, string][]): string {
    const policy = state.rules()?.policy
    if (name !== AUTO || !policy) return name
    const match = policy.policy.match({ kind, database, area: state.area(), settings })
    if (match.ok && state.rules()?.lanes.has(match.val)) return match.val
    metrics.add('claynotch_policy_failures_total')
    world.log.warn('policy-failed', { why: match.ok ? `no lane is named ${match.val}` : match.val })
    return policy.fallback
  }
  /** Answers NOT_FOUND only under a valid lease: without one, the lane may have been added since. */
  function laneNotFound(name: string): Verdict {
    if (!state.rules())
      return refusal('UNAVAILABLE', 'no configuration is known here yet', true, RETRY_AFTER_PROMOTION_S)
    if (!state.hasValidLease())
      return refusal('UNAVAILABLE', 'this node holds no valid term', true, RETRY_AFTER_PROMOTION_S)
    return { ...refusal('NOT_FOUND', `no lane is named ${name}`, false), lacks: 'lane' }
  }

  // --- open sessions ---

  function addToTeamCount(team: string, delta: number): void {
    sessionCountByTeam.set(team, (sessionCountByTeam.get(team) ?? 0) + delta)
  }
  /** Counts sessions by team anew: under a new configuration, lanes may belong to other teams. */
  function recountByTeam(rules: Rules): void {
    countedEpoch = rules.epoch
    sessionCountByTeam.clear()
    for (const session of sessionById.values()) {
      session.team = findLane(rules, session.lane, session.database)?.team ?? session.team
      addToTeamCount(session.team, 1)
    }
  }
  function close(session: Session): void {
    if (session.isClosed) return
    session.isClosed = true
    sessionById.delete(session.id)
    session.state.close()
    addToTeamCount(session.team, -1)
    if (session.transaction && !session.isBusy) void transactions.rollBack(session)
  }
  function sweep(): void {
    runner.keyRefusals.refresh()
    for (const session of sessionById.values()) {
      transactions.terminateIfInvalid(session)
      if (!session.isBusy && world.now() - session.lastUsedAt > SESSION_IDLE_TIMEOUT_MS) close(session)
    }
    const rules = state.rules()
    if (rules && rules.epoch !== countedEpoch) recountByTeam(rules)
    metrics.set('claynotch_sessions', [], sessionById.size)
  }
  void loop(world, 'sessions', SESSION_SWEEP_INTERVAL_MS, stop, sweep)

  /**
   * Parses a freshness token. One of another group is accepted, as the lane may have moved since; 'bad' if it is
   * malformed or its group was never known here.
   */
  function knownToken(text: string | undefined): Token | undefined | 'bad' {
    const token = parseToken(text ?? '')
    return token !== undefined && token !== 'bad' && !state.isGroupKnown(token.group) ? 'bad' : token
  }
  function invalidToken(): Verdict {
    return refusal('INVALID_ARGUMENT', 'the token is none of ours', false)
  }
  /** A refusal if the node or the team has reached its limit of sessions. */
  function sessionLimitRefusal(team: string, limit: number | undefined): Verdict | undefined {
    function refuse(reason: string): Verdict {
      return refusal('RESOURCE_EXHAUSTED', reason, true, RETRY_AFTER_OVERLOAD_S)
    }
    if (sessionById.size >= MAX_SESSIONS) return refuse(`this node holds ${sessionById.size} sessions`)
    if (limit !== undefined && (sessionCountByTeam.get(team) ?? 0) >= limit)
      return refuse(`the team ${team} has its ${limit} sessions on this node`)
    return undefined
  }
  function open({ body }: OpenRequest): Verdict {
    if (isStopping()) return refusal('UNAVAILABLE', 'this node is stopping', true, RETRY_AFTER_OVERLOAD_S)
    const settings = settingPairs(body.settings)
    const database = body.database ?? ''
    const name = body.lane === undefined ? undefined : matchLane(body.lane, 'session', database, settings)
    const found = laneOf(name, database)
    if (!found) return laneNotFound(name ?? database)
    const { lane, rules } = found
    const keyHash = keyHashOf(body.key)
    if (!identify(rules, lane, keyHash).isAllowed) return runner.keyRefusals.refuse(lane, keyHash)
    const token = knownToken(body.token)
    if (token === 'bad') return invalidToken()
    const limitRefusal = sessionLimitRefusal(lane.team, rules.maxSessions.get(lane.team))
    if (limitRefusal) return limitRefusal
    const sessionState = memory.open()
    for (const [setting, value] of settings) {
      if (sessionState.set(setting, value)) continue
      sessionState.close()
      return stateLimitExceeded()
    }
    const id = `${idPrefix}-${++lastNumber}-${Math.floor(world.random() * 2 ** 40).toString(36)}`
    sessionById.set(id, {
      id,
      lane: name,
      database,
      keyHash,
      team: lane.team,
      state: sessionState,
      token,
      mustReadLeader: false,
      isBusy: false,
      lastUsedAt: world.now(),
      transaction: undefined,
      ended: undefined,
      isClosed: false,
    })
    addToTeamCount(lane.team, 1)
    return { outcome: 'done', session: id, token: formatToken(token) }
  }

  // --- requests ---

  async function set(session: Session, name: string, value: string): Promise<Verdict> {
    if (session.transaction) return await transactions.set(session, session.transaction, name, value)
    return session.state.set(name, value) ? { outcome: 'done' } : stateLimitExceeded()
  }
  /** Makes the session the owner of a begun transaction, or refuses it if the session or the client has gone. */
  function adoptTransaction(
    session: Session,
    call: Call,
    result: CallResult,
    kind: Kind,
    callerGone: Flag,
  ): Verdict | undefined {
    if (session.isClosed || callerGone.fired()) {
      result.connection?.end(false)
      return refusal('ABORTED', 'the session was closed', false)
    }
    const isAtLeader = call.target?.floor === undefined
    session.transaction = {
      connection: result.connection!,
      kind,
      lane: call.lane.name,
      database: call.lane.database,
      keyHash: call.keyHash,
      tenant: call.requirements.tenant,
      disallowedSince: undefined,
      group: call.lane.group,
      epoch: result.epoch!,
      isAtLeader,
      hasRun: false,
      begunAt: call.sentAt,
      lastUsedAt: world.now(),
      freshness: isAtLeader || !adapter.sampler ? undefined : freshnessOf(call.lane),
    }
    return undefined
  }
  /** Updates the session's token, which its next reads must satisfy, from the answer of a single statement. */
  function updateSessionToken(session: Session, call: Call, result: CallResult, kind: Kind): void {
    const { group } = call.lane
    const isAtLeader = call.target?.floor === undefined
    if (kind === 'write') session.token = { group, position: result.position! }
    else if (isAtLeader && (session.mustReadLeader || isForOtherGroup(session.token, group))) {
      // The leader's position covers every write that the session may have to see.
      session.mustReadLeader = false
      session.token = { group, position: result.position! }
    }
  }
  /** Runs a single statement, or the begin of a transaction, through the interpreter. */
  async function runCall(
    session: Session,
    request: StatementRequest | BeginRequest,
    callerTimeoutMs: number | undefined,
    callerGone: Flag,
  ): Promise<Verdict> {
    const found = laneOf(session.lane, session.database)
    if (!found) return laneNotFound(session.lane ?? session.database)
    const identity = identify(found.rules, found.lane, session.keyHash)
    if (!identity.isAllowed) return runner.keyRefusals.refuse(found.lane, session.keyHash)
    const shapeName = request.w === 'statement' ? request.body.shape : undefined
    const shape = shapeName !== undefined ? session.state.prepared(shapeName) : undefined
    if (shapeName !== undefined && !shape) return shapeNotFound(shapeName)
    const kind = request.body.kind ?? shape?.kind ?? 'write'
    const body = callBody(request)
    function findCallLane(rules: Rules): LaneRules | undefined {
      return findLane(rules, session.lane, session.database)
    }
    const call = makeCall(world, request.w === 'begin' ? `begin ${kind}` : kind, found.lane, found.rules, {
      settings: session.state.settings(),
      shapes: shapesFor(body, shape),
      token: session.token,
      mustLead: session.mustReadLeader,
      keyHash: session.keyHash,
      tenant: identity.tenant,
      body,
      find: findCallLane,
      ms: callerTimeoutMs,
      gone: callerGone,
    })
    const result = await runner.run(call)
    const { verdict, position } = result
    let refusedBegin: Verdict | undefined
    if (verdict.outcome === 'unknown') session.mustReadLeader = true
    else if (verdict.outcome === 'done' && position) {
      if (request.w === 'begin') refusedBegin = adoptTransaction(session, call, result, kind, callerGone)
      else updateSessionToken(session, call, result, kind)
    }
    runner.releaseBegin(call)
    return refusedBegin ?? { ...verdict, reads: kind === 'read', ...(position ? { mark: position } : {}) }
  }
  async function rollBackOnRequest(session: Session, hadEndedEarly: boolean): Promise<Verdict> {
    if (!session.transaction && !hadEndedEarly) return refusal('INVALID_ARGUMENT', 'no transaction is open', false)
    await transactions.rollBack(session)
    return { outcome: 'done', transaction: 'over' }
  }
  async function dispatch(
    session: Session,
    request: ClientRequest,
    callerTimeoutMs: number | undefined,
    callerGone: Flag,
  ): Promise<Verdict> {
    const tx = session.transaction
    const lane = state.rules()?.lanes.get(tx?.lane ?? '')
    const timeoutMs = Math.min(callerTimeoutMs ?? ATTEMPT_TIMEOUT_MS, lane?.statementTimeoutMs ?? ATTEMPT_TIMEOUT_MS)
    const { ended: endedVerdict } = session
    if (endedVerdict && request.w !== 'shape' && request.w !== 'unshape') {
      session.ended = undefined
      if (request.w !== 'rollback') return endedVerdict
    }
    switch (request.w) {
      case 'shape': {
        const { name, text, kind } = request.body
        return session.state.prepare(name, { text, kind }) ? { outcome: 'done' } : stateLimitExceeded()
      }
      case 'unshape':
        return session.state.deallocate(request.name) ? { outcome: 'done' } : shapeNotFound(request.name)
      case 'set':
        return await set(session, request.name, request.value)
      case 'commit':
        if (!tx) return refusal('INVALID_ARGUMENT', 'no transaction is open', false)
        return await transactions.commit(session, tx, timeoutMs, request.id)
      case 'rollback':
        return await rollBackOnRequest(session, endedVerdict !== undefined)
      case 'statement':
        if (tx) return await transactions.statement(session, tx, request, timeoutMs, callerGone)
        return await runCall(session, request, callerTimeoutMs, callerGone)
      case 'begin':
        if (tx) return refusal('INVALID_ARGUMENT', 'a transaction is open already', false)
        return await runCall(session, request, callerTimeoutMs, callerGone)
      default:
        return refusal('INVALID_ARGUMENT', 'not a session call', false)
    }
  }
  /** Runs one statement without a session. */
  async function runSingleCall(
    { body }: SingleCallRequest,
    callerTimeoutMs: number | undefined,
    callerGone: Flag,
  ): Promise<Verdict> {
    const settings = settingPairs(body.settings)
    const name = matchLane(body.lane, body.kind, body.database ?? '', settings)
    const found = laneOf(name, '')
    if (!found) return laneNotFound(name)
    const keyHash = keyHashOf(body.key)
    const identity = identify(found.rules, found.lane, keyHash)
    if (!identity.isAllowed) return runner.keyRefusals.refuse(found.lane, keyHash)
    function findCallLane(rules: Rules): LaneRules | undefined {
      return rules.lanes.get(name)
    }
    const token = knownToken(body.token)
    if (token === 'bad') return invalidToken()
    const call = makeCall(world, body.kind, found.lane, found.rules, {
      settings,
      shapes: new Map(),
      token,
      mustLead: false,
      keyHash,
      tenant: identity.tenant,
      body: { text: body.text, args: body.args ?? [] },
      find: findCallLane,
      ms: callerTimeoutMs,
      gone: callerGone,
    })
    const { verdict, position } = await runner.run(call)
    if (verdict.outcome !== 'done') return verdict
    const isTokenNew = body.kind === 'write' || isForOtherGroup(token, call.lane.group)
    return {
      ...verdict,
      token: formatToken(isTokenNew && position ? { group: call.lane.group, position } : token),
    }
  }
  async function runInSession(
    session: Session,
    request: ClientRequest,
    callerTimeoutMs: number | undefined,
    callerGone: Flag,
  ): Promise<Verdict> {
    session.isBusy = true
    session.lastUsedAt = world.now()
    try {
      const verdict = await dispatch(session, request, callerTimeoutMs, callerGone)
      return verdict.outcome === 'done' ? { ...verdict, token: formatToken(session.token) } : verdict
    } finally {
      session.isBusy = false
      session.lastUsedAt = world.now()
      if (session.isClosed && session.transaction) void transactions.rollBack(session)
      // A client that disconnected won't end its open transaction.
      else if (callerGone.fired() && session.transaction)
        transactions.terminate(session, 'ABORTED', 'the requester went away')
    }
  }
  async function run(request: ClientRequest, callerTimeoutMs: number | undefined, callerGone: Flag): Promise<Verdict> {
    if (request.w === 'open') return open(request)
    if (request.w === 'call') return await runSingleCall(request, callerTimeoutMs, callerGone)
    const session = sessionById.get(request.session)
    if (!session) return refusal('NOT_FOUND', 'no such session on this node', false)
    if (request.w === 'close') {
      close(session)
      return { outcome: 'done' }
    }
    if (session.isBusy)
      return refusal('INVALID_ARGUMENT', 'the session is busy with another call', true, RETRY_AFTER_OVERLOAD_S)
    return await runInSession(session, request, callerTimeoutMs, callerGone)
  }

  function noteUnreadable(reason: string): void {
    metrics.add('claynotch_client_messages_unreadable_total', [['reason', reason]])
    logUnreadable({ reason })
  }
  function openCount(): number {
    return sessionById.size
  }
  function countTransactions(group?: string, lane?: string, kind?: 'read' | 'write'): number {
    let count = 0
    for (const { transaction: tx } of sessionById.values()) {
      if (!tx) continue
      const isWanted =
        (group === undefined || tx.group === group) &&
        (lane === undefined || tx.lane === lane) &&
        (kind === undefined || tx.kind === kind)
      if (isWanted) count++
    }
    return count
  }
  function cutTransactions(reason: string): void {
    transactions.stopSending(reason)
    for (const session of sessionById.values()) {
      if (!session.transaction || session.isBusy) continue
      world.log.info('transaction-cut', { group: session.transaction.group, why: reason })
      transactions.terminate(session, 'UNAVAILABLE', reason)
    }
  }
  return { run, noteUnreadable, openCount, transactionCount: countTransactions, cutTransactions }
}
