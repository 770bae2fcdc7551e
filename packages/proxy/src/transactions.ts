import {
  ATTEMPT_TIMEOUT_MS,
  DRAIN_TIMEOUT_MS,
  Err,
  LEAVING_GRACE_MS,
  RETRY_AFTER_OVERLOAD_S,
  RETRY_AFTER_PROMOTION_S,
  STATEMENT_TIMEOUT_SHARE,
  TRANSACTION_IDLE_TIMEOUT_MS,
  type Flag,
  type Metrics,
  type World,
} from '@claynotch/base'
import type { InstanceAdapter, RequestError, StatementResult } from '@claynotch/instance'
import { refusal, type Verdict, type ClientRequest } from '@claynotch/requester'
import { isFresh } from './freshness.js'
import { tenantOfKey, identify } from './identity.js'
import type { Runner } from './interpret.js'
import type { LaneRules, Rules } from './rules.js'
import type { PreparedStatement } from './session-state.js'
import { freshnessOf, type Session, type Transaction } from './session.js'
import type { State } from './state.js'

export type StatementRequest = Extract<ClientRequest, { w: 'statement' }>

/** The open transactions of sessions: their statements, and how they end. */
export type Transactions = {
  statement: (
    session: Session,
    transaction: Transaction,
    request: StatementRequest,
    ms: number,
    gone: Flag,
  ) => Promise<Verdict>
  commit: (session: Session, transaction: Transaction, ms: number, id: string | undefined) => Promise<Verdict>
  /** Puts a value in force at once, as the transaction's statements run on its connection alone. */
  set: (session: Session, transaction: Transaction, name: string, value: string) => Promise<Verdict>
  /** Rolls back where the connection is kept; an answer that isn't clear closes it, and the instance rolls back. */
  rollBack: (session: Session) => Promise<void>
  /** Ends it though the client didn't ask; the client is told with its next call. */
  endUnasked: (session: Session, cls: string, why: string) => void
  /** Ends it where it rested for too long, or where nothing more may go out on it. */
  endIfOver: (session: Session) => void
  /** From now on nothing more goes out on any. */
  cut: (why: string) => void
}

/** What a client is told of a transaction that ended before its time. */
export function endedEarly(transaction: Transaction, cls: string, why: string): Verdict {
  const isUnavailable = cls === 'UNAVAILABLE'
  return {
    outcome: transaction.hasRun ? 'failed' : 'refused',
    class: cls,
    kept: transaction.hasRun ? 'unknown' : 'nothing',
    again: isUnavailable,
    why,
    transaction: 'over',
    ...(isUnavailable ? { after: RETRY_AFTER_PROMOTION_S } : {}),
  }
}

/** What a client is told of a statement whose transaction ended while it ran. */
function endedMeanwhile(): Verdict {
  const why = 'the transaction was ended meanwhile'
  return { outcome: 'failed', class: 'ABORTED', kept: 'unknown', again: true, why, transaction: 'over' }
}

export function noSuchShape(name: string): Verdict {
  return { ...refusal('NOT_FOUND', `no shape is named ${name}`, false), lacks: 'shape' }
}

export function tooMuchState(): Verdict {
  return refusal('RESOURCE_EXHAUSTED', 'the session holds too many values and prepared statements', false)
}

function proofOf({ stamp, mark }: StatementResult): { stamp?: string; mark: StatementResult['mark'] } {
  return { mark, ...(stamp !== undefined ? { stamp } : {}) }
}

/** A statement that wasn't handed over, as its transaction may not go on. */
function notSent(why: string): RequestError {
  return { reach: 'none', class: 'UNAVAILABLE', transient: true, why }
}

export function makeTransactions(
  world: World,
  state: State,
  runner: Runner,
  edge: InstanceAdapter,
  metrics: Metrics,
): Transactions {
  // Set once the node stops: a call that was busy then must not leave a transaction behind that goes on.
  let whyCut: string | undefined

  async function rollBack(session: Session): Promise<void> {
    const tx = session.transaction
    if (!tx) return
    session.transaction = undefined
    const got = await tx.connection.instanceConnection.rollback(ATTEMPT_TIMEOUT_MS)
    tx.connection.end(got.ok)
    runner.inFlightEnded.notify()
  }
  function endUnasked(session: Session, cls: string, why: string): void {
    if (session.transaction) session.ended = endedEarly(session.transaction, cls, why)
    void rollBack(session)
  }
  function end(session: Session, tx: Transaction): void {
    session.transaction = undefined
    tx.connection.end(false)
    runner.inFlightEnded.notify()
  }
  function over(session: Session, tx: Transaction, cls: string, why: string): Verdict {
    if (session.transaction === tx) end(session, tx)
    return endedEarly(tx, cls, why)
  }
  function overByError(session: Session, tx: Transaction, error: RequestError): Verdict {
    metrics.add('claynotch_error_classification_total', [
      ['class', error.class],
      ['retryable', 'no'],
    ])
    return over(session, tx, error.class, error.why)
  }

  /** Why the route as it is now would not have begun this transaction, if so. */
  function whyDisallowed(tx: Transaction): string | undefined {
    const lane = state.rules()?.lanes.get(tx.lane)
    if (!lane) return `the lane ${tx.lane} was dropped`
    if (lane.group !== tx.group || lane.database !== tx.database) return `the lane ${tx.lane} was moved`
    if (lane.movePhase && (lane.movePhase !== 'ease' || tx.kind === 'read')) return `the lane ${tx.lane} is being moved`
    if (tx.freshness && !freshnessOf(lane)) return `reads of the lane ${tx.lane} go to the leader now`
    return undefined
  }
  function isTenantOf(rules: Rules, lane: LaneRules, tx: Transaction): boolean {
    const identity = identify(rules, lane, tx.keyHash)
    return identity.isAllowed && identity.tenant === tx.tenant
  }
  /** Why its client may not go on with it, if so: at once, as its connection is in the name of a tenant that the key had. */
  function whyDenied(tx: Transaction): string | undefined {
    const rules = state.rules()
    const lane = rules?.lanes.get(tx.lane)
    if (!rules) return undefined
    const isStillTheirs = lane ? isTenantOf(rules, lane, tx) : tenantOfKey(rules, tx.keyHash) === tx.tenant
    return isStillTheirs ? undefined : "the key was taken away, or is another tenant's now"
  }
  /** Why the configuration ends this transaction, if so: it has had its time since the route changed. */
  function whyOverByConfiguration(tx: Transaction): string | undefined {
    const why = whyDisallowed(tx)
    const now = world.now()
    tx.disallowedSince = why === undefined ? undefined : (tx.disallowedSince ?? state.rules()?.appliedAt ?? now)
    if (tx.disallowedSince !== undefined && now - tx.disallowedSince > DRAIN_TIMEOUT_MS)
      return `${why}; open transactions had their time`
    return undefined
  }
  /** Why its group ends it, if so: the lease or the leader that it was begun under is gone. */
  function whyOverByGroup(tx: Transaction): string | undefined {
    const known = state.group(tx.group)
    if (!known || world.now() >= known.leaseExpiresAt) return 'this node lost its term'
    if (tx.isAtLeader && !runner.isEpochCurrent(tx.group, tx.epoch)) return 'the leader is being replaced'
    if (known.record.epoch !== tx.epoch) return 'the leader was replaced'
    if (known.record.phase === 'drain' && world.now() - known.appliedAt > DRAIN_TIMEOUT_MS)
      return 'the leader is being replaced; open transactions had their time'
    return undefined
  }
  /** Why nothing more may go out on this transaction, if so. */
  function whyOver(tx: Transaction): string | undefined {
    if (whyCut !== undefined) return whyCut
    const { instance } = tx.connection
    // An instance that leaves gets no new work, and a statement is work.
    if (state.leavingForMs(instance) > LEAVING_GRACE_MS) return `the instance ${instance} leaves`
    // A move's fence went by meanwhile: nothing of this transaction may count any more.
    if (!state.canAcknowledgeWrite(tx.lane, tx.group, tx.begunAt)) return `the lane ${tx.lane} was moved`
    const why = whyDenied(tx) ?? whyOverByConfiguration(tx) ?? whyOverByGroup(tx)
    if (why !== undefined) return why
    return tx.connection.instanceConnection.alive() ? undefined : 'the connection to the instance broke'
  }
  function endIfOver(session: Session): void {
    const tx = session.transaction
    if (!tx || session.isBusy) return
    const idleLimit = state.rules()?.transactionIdleMs ?? TRANSACTION_IDLE_TIMEOUT_MS
    if (world.now() - tx.lastUsedAt > idleLimit) {
      metrics.add('claynotch_transactions_idle_total')
      return endUnasked(session, 'ABORTED', 'the transaction rested too long')
    }
    const why = whyOver(tx)
    if (why !== undefined) endUnasked(session, 'UNAVAILABLE', why)
  }

  /** The position that a follower must hold now; undefined where none can be proved. */
  function requiredPosition(session: Session, tx: Transaction, lane: LaneRules | undefined) {
    // A bound that was changed meanwhile holds from now on.
    const freshness = tx.freshness && ((lane && freshnessOf(lane)) ?? tx.freshness)
    const groupSince = lane?.group === tx.group ? lane.groupSince : 0
    return freshness ? runner.requiredPosition(tx.group, freshness, session.token, groupSince) : undefined
  }
  async function sendStatement(
    tx: Transaction,
    { body, id }: StatementRequest,
    shape: PreparedStatement | undefined,
    mode: 'read' | 'write',
    ms: number,
  ) {
    const { connection } = tx
    const error = shape ? await connection.shape(shape.text) : undefined
    if (error) return Err(error)
    // Preparing it took a while.
    const why = shape ? whyOver(tx) : undefined
    if (why !== undefined) return Err(notSent(why))
    const what = shape ? { shape: connection.shapeId(shape.text) } : { text: body.text ?? '' }
    const sent = { ...what, args: body.args ?? [], mode, ...(id !== undefined ? { id } : {}) }
    return await connection.instanceConnection.statement(sent, Math.min(ms, ATTEMPT_TIMEOUT_MS))
  }
  async function statement(
    session: Session,
    tx: Transaction,
    request: StatementRequest,
    ms: number,
    gone: Flag,
  ): Promise<Verdict> {
    const why = whyOver(tx)
    if (why !== undefined) return over(session, tx, 'UNAVAILABLE', why)
    const { body } = request
    const shape = body.shape !== undefined ? session.state.prepared(body.shape) : undefined
    if (body.shape !== undefined && !shape) return noSuchShape(body.shape)
    const kind = body.kind ?? shape?.kind ?? 'write'
    if (kind === 'write' && tx.kind === 'read')
      return refusal('INVALID_ARGUMENT', 'a write in a transaction that was begun to read', false)
    const lane = state.rules()?.lanes.get(tx.lane)
    // A follower that was fresh when the transaction began may have stopped receiving since.
    const need = requiredPosition(session, tx, lane)
    if (tx.freshness && need === undefined)
      return over(session, tx, 'UNAVAILABLE', 'the follower can no longer be proved fresh')
    tx.hasRun = true
    const limit =
      lane?.targetLatencyMs !== undefined ? Math.min(ms, lane.targetLatencyMs * STATEMENT_TIMEOUT_SHARE) : ms
    if (tx.kind === 'write') runner.addWritesInFlight(tx.group, tx.lane, 1)
    const got = await sendStatement(tx, request, shape, kind, limit)
    if (tx.kind === 'write') runner.addWritesInFlight(tx.group, tx.lane, -1)
    tx.lastUsedAt = world.now()
    if (session.transaction !== tx) {
      session.ended = undefined
      return endedMeanwhile()
    }
    if (got.err) return overByError(session, tx, got.val)
    const whyLate = whyOver(tx)
    if (whyLate !== undefined) return over(session, tx, 'UNAVAILABLE', whyLate)
    if (need !== undefined && !isFresh(got.val.mark, need, edge.exact))
      return over(session, tx, 'UNAVAILABLE', "the follower fell behind the lane's bound")
    if (gone.fired()) return over(session, tx, 'ABORTED', 'the requester went away')
    return { outcome: 'done', rows: got.val.rows, ...proofOf(got.val) }
  }

  function unknownEnd(session: Session, why: string): Verdict {
    session.mustReadLeader = true
    metrics.add('claynotch_unknown_total')
    return { outcome: 'unknown', class: 'UNKNOWN', kept: 'unknown', again: false, why, transaction: 'over' }
  }
  /** A COMMIT that may have reached is never sent again. An instance that answers that it did not commit says so. */
  function commitFailed(session: Session, tx: Transaction, error: RequestError): Verdict {
    const failed = { outcome: 'failed', kept: 'unknown', why: error.why, transaction: 'over' } as const
    if (error.reach === 'answered') return { ...failed, class: error.class, again: error.transient }
    if (tx.kind === 'read') return { ...failed, class: 'UNAVAILABLE', again: true, after: RETRY_AFTER_OVERLOAD_S }
    return unknownEnd(session, error.why)
  }
  /** Whether the answer came while what the transaction was begun under still stood. */
  function stillStands(tx: Transaction, mark: StatementResult['mark']): boolean {
    return (
      runner.isEpochCurrent(tx.group, tx.epoch) &&
      (!edge.exact || mark.epoch === tx.epoch) &&
      state.canAcknowledgeWrite(tx.lane, tx.group, tx.begunAt)
    )
  }
  async function commit(session: Session, tx: Transaction, ms: number, id: string | undefined): Promise<Verdict> {
    const why = whyOver(tx)
    if (why !== undefined) return over(session, tx, 'UNAVAILABLE', why)
    if (tx.kind === 'write') runner.addWritesInFlight(tx.group, tx.lane, 1)
    const sent = id !== undefined ? { id } : undefined
    const got = await tx.connection.instanceConnection.commit(Math.min(ms, ATTEMPT_TIMEOUT_MS), sent)
    if (tx.kind === 'write') runner.addWritesInFlight(tx.group, tx.lane, -1)
    if (session.transaction === tx) session.transaction = undefined
    tx.connection.end(got.ok || got.val.reach === 'answered')
    runner.inFlightEnded.notify()
    if (got.err) return commitFailed(session, tx, got.val)
    if (tx.kind === 'write') {
      if (!stillStands(tx, got.val.mark))
        return unknownEnd(
          session,
          'the answer came after the leader had been replaced, the lane moved, or the term had ended',
        )
      runner.recordWritePosition(tx.group, got.val.mark)
      session.token = { group: tx.group, position: got.val.mark }
    }
    return { outcome: 'done', rows: got.val.rows, transaction: 'over', ...proofOf(got.val) }
  }
  async function set(session: Session, tx: Transaction, name: string, value: string): Promise<Verdict> {
    const why = whyOver(tx)
    if (why !== undefined) return over(session, tx, 'UNAVAILABLE', why)
    const before = session.state.value(name)
    if (!session.state.set(name, value)) return tooMuchState()
    const error = await tx.connection.applySetting(name, value)
    if (!error) return { outcome: 'done' }
    session.state.restore(name, before)
    return overByError(session, tx, error)
  }
  function cut(why: string): void {
    whyCut = why
  }
  return { statement, commit, set, rollBack, endUnasked, endIfOver, cut }
}
