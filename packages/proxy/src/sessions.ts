import {
  ATTEMPT_TIMEOUT_MS,
  loop,
  MAX_SESSIONS,
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
import { makeTransactions, noSuchShape, tooMuchState, type StatementRequest } from './transactions.js'

export type Sessions = {
  /** One request of a client. ms: how long it will wait; gone: it went away. */
  run: (request: ClientRequest, ms: number | undefined, gone: Flag) => Promise<Verdict>
  open: () => number
  /** Open transactions of a group, or of all. Reading ones count too: they get their time like any other. */
  transactions: (group?: string, lane?: string, kind?: 'read' | 'write') => number
  /** Ends the open transactions: those that no call is busy with at once, the others with their call. For good. */
  cut: (why: string) => void
}

type OpenRequest = Extract<ClientRequest, { w: 'open' }>
type BeginRequest = Extract<ClientRequest, { w: 'begin' }>
type SingleCallRequest = Extract<ClientRequest, { w: 'call' }>

function pairsOf(list: { name: string; value: string }[] | undefined): [string, string][] {
  const out: [string, string][] = []
  for (const { name, value } of list ?? []) out.push([name, value])
  return out
}

/** What of the request goes to the instance. */
function bodyOf(request: StatementRequest | BeginRequest): Call['body'] {
  const id = request.id !== undefined ? { id: request.id } : {}
  if (request.w === 'begin') return { args: [], ...id }
  const { text, shape, args } = request.body
  return { ...id, ...(text !== undefined ? { text } : { shape: shape! }), args: args ?? [] }
}

function hashOf(key: string | undefined): string | undefined {
  return key === undefined ? undefined : hashKey(key)
}

/** Only the shape that a call uses is put in force for it; a transaction's statements carry their texts. */
function shapesFor(body: Call['body'], shape: PreparedStatement | undefined): Map<string, string> {
  return new Map(body.shape !== undefined && shape ? [[body.shape, shape.text]] : [])
}

/** The sessions of a proxy's clients: each request goes to its session's transaction, or out as a call of its own. */
export function makeSessions(
  world: World,
  state: State,
  runner: Runner,
  edge: InstanceAdapter,
  metrics: Metrics,
  stop: Flag,
  stopping: () => boolean,
): Sessions {
  const all = new Map<string, Session>()
  // counts: open sessions by team, as of the configuration countedEpoch.
  const counts = new Map<string, number>()
  let countedEpoch = 0
  const memory = makeSessionMemory(metrics)
  const transactions = makeTransactions(world, state, runner, edge, metrics)
  const prefix = Math.floor(world.random() * 2 ** 40).toString(36)
  let lastNumber = 0

  // --- routes ---

  function laneOf(name: string | undefined, database: string): { rules: Rules; lane: LaneRules } | undefined {
    const rules = state.rules()
    const lane = rules ? findLane(rules, name, database) : undefined
    return rules && lane ? { rules, lane } : undefined
  }
  /** The lane 'auto' is matched by the operator's policy; a policy that fails, or names no lane, by its fallback. */
  function matchLane(name: string, kind: string, database: string, settings: [string, string][]): string {
    const policy = state.rules()?.policy
    if (name !== AUTO || !policy) return name
    const got = policy.policy.match({ kind, database, area: state.area(), settings })
    if (got.ok && state.rules()?.lanes.has(got.val)) return got.val
    metrics.add('claynotch_policy_failures_total')
    world.log.warn('policy-failed', { why: got.ok ? `no lane is named ${got.val}` : got.val })
    return policy.fallback
  }
  /** That a lane isn't there is said under a valid lease alone: without one it may have been added since. */
  function noLane(name: string): Verdict {
    if (!state.rules())
      return refusal('UNAVAILABLE', 'no configuration is known here yet', true, RETRY_AFTER_PROMOTION_S)
    if (!state.hasValidLease())
      return refusal('UNAVAILABLE', 'this node holds no valid term', true, RETRY_AFTER_PROMOTION_S)
    return { ...refusal('NOT_FOUND', `no lane is named ${name}`, false), lacks: 'lane' }
  }

  // --- the table ---

  function countTeam(team: string, by: number): void {
    counts.set(team, (counts.get(team) ?? 0) + by)
  }
  /** Lanes may have gone to other teams; sessions are counted under the team of now. */
  function recount(rules: Rules): void {
    countedEpoch = rules.epoch
    counts.clear()
    for (const session of all.values()) {
      session.team = findLane(rules, session.lane, session.database)?.team ?? session.team
      countTeam(session.team, 1)
    }
  }
  function close(session: Session): void {
    if (session.isClosed) return
    session.isClosed = true
    all.delete(session.id)
    session.state.close()
    countTeam(session.team, -1)
    if (session.transaction && !session.isBusy) void transactions.rollBack(session)
  }
  function sweep(): void {
    runner.keyRefusals.refresh()
    for (const session of all.values()) {
      transactions.endIfOver(session)
      if (!session.isBusy && world.now() - session.lastUsedAt > SESSION_IDLE_TIMEOUT_MS) close(session)
    }
    const rules = state.rules()
    if (rules && rules.epoch !== countedEpoch) recount(rules)
    metrics.set('claynotch_sessions', [], all.size)
  }
  void loop(world, 'sessions', SESSION_SWEEP_INTERVAL_MS, stop, sweep)

  /** A token of another group is let in: its lane may have gone elsewhere since. One that was never ours is not. */
  function tokenOf(text: string | undefined): Token | undefined | 'bad' {
    const token = parseToken(text ?? '')
    return token !== undefined && token !== 'bad' && !state.isGroupKnown(token.group) ? 'bad' : token
  }
  function badToken(): Verdict {
    return refusal('INVALID_ARGUMENT', 'the token is none of ours', false)
  }
  /** Why no further session of the team is taken, if so. */
  function whyFull(team: string, limit: number | undefined): Verdict | undefined {
    function full(why: string): Verdict {
      return refusal('RESOURCE_EXHAUSTED', why, true, RETRY_AFTER_OVERLOAD_S)
    }
    if (all.size >= MAX_SESSIONS) return full(`this node holds ${all.size} sessions`)
    if (limit !== undefined && (counts.get(team) ?? 0) >= limit)
      return full(`the team ${team} has its ${limit} sessions on this node`)
    return undefined
  }
  function open({ body }: OpenRequest): Verdict {
    if (stopping()) return refusal('UNAVAILABLE', 'this node is stopping', true, RETRY_AFTER_OVERLOAD_S)
    const settings = pairsOf(body.settings)
    const database = body.database ?? ''
    const name = body.lane === undefined ? undefined : matchLane(body.lane, 'session', database, settings)
    const found = laneOf(name, database)
    if (!found) return noLane(name ?? database)
    const { lane, rules } = found
    const keyHash = hashOf(body.key)
    if (!identify(rules, lane, keyHash).isAllowed) return runner.keyRefusals.refuse(lane, keyHash)
    const token = tokenOf(body.token)
    if (token === 'bad') return badToken()
    const refused = whyFull(lane.team, rules.maxSessions.get(lane.team))
    if (refused) return refused
    const sessionState = memory.open()
    for (const [setting, value] of settings) {
      if (sessionState.set(setting, value)) continue
      sessionState.close()
      return tooMuchState()
    }
    const id = `${prefix}-${++lastNumber}-${Math.floor(world.random() * 2 ** 40).toString(36)}`
    all.set(id, {
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
    countTeam(lane.team, 1)
    return { outcome: 'done', session: id, token: formatToken(token) }
  }

  // --- requests ---

  async function set(session: Session, name: string, value: string): Promise<Verdict> {
    if (session.transaction) return await transactions.set(session, session.transaction, name, value)
    return session.state.set(name, value) ? { outcome: 'done' } : tooMuchState()
  }
  /** A transaction that has begun is the session's own from now on. */
  function begun(session: Session, call: Call, settled: CallResult, kind: Kind, gone: Flag): Verdict | undefined {
    if (session.isClosed || gone.fired()) {
      settled.connection?.end(false)
      return refusal('ABORTED', 'the session was closed', false)
    }
    const isAtLeader = call.target?.floor === undefined
    session.transaction = {
      connection: settled.connection!,
      kind,
      lane: call.lane.name,
      database: call.lane.database,
      keyHash: call.keyHash,
      tenant: call.requirements.tenant,
      disallowedSince: undefined,
      group: call.lane.group,
      epoch: settled.epoch!,
      isAtLeader,
      hasRun: false,
      begunAt: call.sentAt,
      lastUsedAt: world.now(),
      freshness: isAtLeader || !edge.sampler ? undefined : freshnessOf(call.lane),
    }
    return undefined
  }
  /** What the answer of a single statement says of what the session's next reads are owed. */
  function noteAnswer(session: Session, call: Call, settled: CallResult, kind: Kind): void {
    const { group } = call.lane
    const isAtLeader = call.target?.floor === undefined
    if (kind === 'write') session.token = { group, position: settled.position! }
    else if (isAtLeader && (session.mustReadLeader || isForOtherGroup(session.token, group))) {
      // What the leader answered stands for all that this session may be owed.
      session.mustReadLeader = false
      session.token = { group, position: settled.position! }
    }
  }
  /** A single statement, or the beginning of a transaction: a call through the interpreter. */
  async function callOut(
    session: Session,
    request: StatementRequest | BeginRequest,
    ms: number | undefined,
    gone: Flag,
  ): Promise<Verdict> {
    const found = laneOf(session.lane, session.database)
    if (!found) return noLane(session.lane ?? session.database)
    const identity = identify(found.rules, found.lane, session.keyHash)
    if (!identity.isAllowed) return runner.keyRefusals.refuse(found.lane, session.keyHash)
    const shapeName = request.w === 'statement' ? request.body.shape : undefined
    const shape = shapeName !== undefined ? session.state.prepared(shapeName) : undefined
    if (shapeName !== undefined && !shape) return noSuchShape(shapeName)
    const kind = request.body.kind ?? shape?.kind ?? 'write'
    const body = bodyOf(request)
    function find(rules: Rules): LaneRules | undefined {
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
      find,
      ms,
      gone,
    })
    const settled = await runner.run(call)
    const { verdict, position: mark } = settled
    let refused: Verdict | undefined
    if (verdict.outcome === 'unknown') session.mustReadLeader = true
    else if (verdict.outcome === 'done' && mark) {
      if (request.w === 'begin') refused = begun(session, call, settled, kind, gone)
      else noteAnswer(session, call, settled, kind)
    }
    runner.releaseBegin(call)
    return refused ?? { ...verdict, reads: kind === 'read', ...(mark ? { mark } : {}) }
  }
  async function rollBackAsked(session: Session, hadEnded: boolean): Promise<Verdict> {
    if (!session.transaction && !hadEnded) return refusal('INVALID_ARGUMENT', 'no transaction is open', false)
    await transactions.rollBack(session)
    return { outcome: 'done', transaction: 'over' }
  }
  async function onSession(session: Session, request: ClientRequest, ms: number | undefined, gone: Flag): Promise<Verdict> {
    const tx = session.transaction
    const lane = state.rules()?.lanes.get(tx?.lane ?? '')
    const left = Math.min(ms ?? ATTEMPT_TIMEOUT_MS, lane?.statementTimeoutMs ?? ATTEMPT_TIMEOUT_MS)
    const { ended } = session
    if (ended && request.w !== 'shape' && request.w !== 'unshape') {
      session.ended = undefined
      if (request.w !== 'rollback') return ended
    }
    switch (request.w) {
      case 'shape': {
        const { name, text, kind } = request.body
        return session.state.prepare(name, { text, kind }) ? { outcome: 'done' } : tooMuchState()
      }
      case 'unshape':
        return session.state.deallocate(request.name) ? { outcome: 'done' } : noSuchShape(request.name)
      case 'set':
        return await set(session, request.name, request.value)
      case 'commit':
        if (!tx) return refusal('INVALID_ARGUMENT', 'no transaction is open', false)
        return await transactions.commit(session, tx, left, request.id)
      case 'rollback':
        return await rollBackAsked(session, ended !== undefined)
      case 'statement':
        if (tx) return await transactions.statement(session, tx, request, left, gone)
        return await callOut(session, request, ms, gone)
      case 'begin':
        if (tx) return refusal('INVALID_ARGUMENT', 'a transaction is open already', false)
        return await callOut(session, request, ms, gone)
      default:
        return refusal('INVALID_ARGUMENT', 'not a session call', false)
    }
  }
  /** One statement without a session. */
  async function callOnce({ body }: SingleCallRequest, ms: number | undefined, gone: Flag): Promise<Verdict> {
    const settings = pairsOf(body.settings)
    const name = matchLane(body.lane, body.kind, body.database ?? '', settings)
    const found = laneOf(name, '')
    if (!found) return noLane(name)
    const keyHash = hashOf(body.key)
    const identity = identify(found.rules, found.lane, keyHash)
    if (!identity.isAllowed) return runner.keyRefusals.refuse(found.lane, keyHash)
    function find(rules: Rules): LaneRules | undefined {
      return rules.lanes.get(name)
    }
    const token = tokenOf(body.token)
    if (token === 'bad') return badToken()
    const call = makeCall(world, body.kind, found.lane, found.rules, {
      settings,
      shapes: new Map(),
      token,
      mustLead: false,
      keyHash,
      tenant: identity.tenant,
      body: { text: body.text, args: body.args ?? [] },
      find,
      ms,
      gone,
    })
    const { verdict, position: mark } = await runner.run(call)
    if (verdict.outcome !== 'done') return verdict
    const isTokenNew = body.kind === 'write' || isForOtherGroup(token, call.lane.group)
    return { ...verdict, token: formatToken(isTokenNew && mark ? { group: call.lane.group, position: mark } : token) }
  }
  async function runOn(session: Session, request: ClientRequest, ms: number | undefined, gone: Flag): Promise<Verdict> {
    session.isBusy = true
    session.lastUsedAt = world.now()
    try {
      const verdict = await onSession(session, request, ms, gone)
      return verdict.outcome === 'done' ? { ...verdict, token: formatToken(session.token) } : verdict
    } finally {
      session.isBusy = false
      session.lastUsedAt = world.now()
      if (session.isClosed && session.transaction) void transactions.rollBack(session)
      // A client that went away in the middle of its transaction won't end it.
      else if (gone.fired() && session.transaction)
        transactions.endUnasked(session, 'ABORTED', 'the requester went away')
    }
  }
  async function run(request: ClientRequest, ms: number | undefined, gone: Flag): Promise<Verdict> {
    if (request.w === 'open') return open(request)
    if (request.w === 'call') return await callOnce(request, ms, gone)
    const session = all.get(request.session)
    if (!session) return refusal('NOT_FOUND', 'no such session on this node', false)
    if (request.w === 'close') {
      close(session)
      return { outcome: 'done' }
    }
    if (session.isBusy)
      return refusal('INVALID_ARGUMENT', 'the session is busy with another call', true, RETRY_AFTER_OVERLOAD_S)
    return await runOn(session, request, ms, gone)
  }

  function openNow(): number {
    return all.size
  }
  function countTransactions(group?: string, lane?: string, kind?: 'read' | 'write'): number {
    let out = 0
    for (const { transaction: tx } of all.values()) {
      if (!tx) continue
      const isWanted =
        (group === undefined || tx.group === group) &&
        (lane === undefined || tx.lane === lane) &&
        (kind === undefined || tx.kind === kind)
      if (isWanted) out++
    }
    return out
  }
  function cut(why: string): void {
    transactions.cut(why)
    for (const session of all.values()) {
      if (!session.transaction || session.isBusy) continue
      world.log.info('transaction-cut', { group: session.transaction.group, why })
      transactions.endUnasked(session, 'UNAVAILABLE', why)
    }
  }
  return { run, open: openNow, transactions: countTransactions, cut }
}
