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
import { notSentError, type InstanceAdapter, type RequestError, type StatementResult } from '@claynotch/instance'
import { refusal, type Verdict, type ClientRequest } from '@claynotch/requester'
import { isFresh } from './freshness.js'
import { tenantOfKey, identify } from './identity.js'
import type { Runner } from './interpret.js'
import type { LaneRules, Rules } from './rules.js'
import type { PreparedStatement } from './session-state.js'
import { freshnessOf, type Session, type Transaction } from './session.js'
import type { State } from './state.js'

/** A client's request to run a statement in a session. */
export type StatementRequest = Extract<ClientRequest, { w: 'statement' }>

/** The open transactions of sessions: their statements, and how they end. */
export type Transactions = {
  /** Runs a statement on the transaction's connection. */
  statement: (
    session: Session,
    transaction: Transaction,
    request: StatementRequest,
    timeoutMs: number,
    callerGone: Flag,
  ) => Promise<Verdict>
  /** Commits the transaction; it has ended then, whatever the answer. */
  commit: (session: Session, transaction: Transaction, timeoutMs: number, id: string | undefined) => Promise<Verdict>
  /**
   * Applies a session setting to the transaction's connection at once, as its statements run on no other connection.
   */
  set: (session: Session, transaction: Transaction, name: string, value: string) => Promise<Verdict>
  /**
   * Rolls back and checks the connection in; on an error the connection is closed, which makes the instance roll back.
   */
  rollBack: (session: Session) => Promise<void>
  /** Ends the transaction without a request of the client, which gets the error with its next call. */
  terminate: (session: Session, errorClass: string, reason: string) => void
  /** Ends the transaction if it was idle for too long, or if nothing more may be sent on it. */
  terminateIfInvalid: (session: Session) => void
  /** From now on nothing more is sent on any transaction. */
  stopSending: (reason: string) => void
}

/** The answer for a transaction that this node ended. */
export function endedEarlyVerdict(transaction: Transaction, errorClass: string, reason: string): Verdict {
  const isUnavailable = errorClass === 'UNAVAILABLE'
  return {
    outcome: transaction.hasRun ? 'failed' : 'refused',
    class: errorClass,
    kept: transaction.hasRun ? 'unknown' : 'nothing',
    again: isUnavailable,
    why: reason,
    transaction: 'over',
    ...(isUnavailable ? { after: RETRY_AFTER_PROMOTION_S } : {}),
  }
}

/** The answer for a statement whose transaction was ended while the statement ran. */
function endedMeanwhileVerdict(): Verdict {
  const reason = 'the transaction was ended meanwhile'
  return { outcome: 'failed', class: 'ABORTED', kept: 'unknown', again: true, why: reason, transaction: 'over' }
}

/** The refusal of a request for a shape that the session hasn't prepared. */
export function shapeNotFound(name: string): Verdict {
  return { ...refusal('NOT_FOUND', `no shape is named ${name}`, false), lacks: 'shape' }
}

/** The refusal of a request that would exceed the memory limit for session state. */
export function stateLimitExceeded(): Verdict {
  return refusal('RESOURCE_EXHAUSTED', 'the session holds too many values and prepared statements', false)
}

/** The fields of an answer that carry the instance's proof and log position. */
function proofFields({ stamp, mark }: StatementResult): { stamp?: string; mark: StatementResult['mark'] } {
  return { mark, ...(stamp !== undefined ? { stamp } : {}) }
}

export function makeTransactions(
  world: World,
  state: State,
  runner: Runner,
  adapter: InstanceAdapter,
  metrics: Metrics,
): Transactions {
  /** Set when the node stops, so that a transaction whose call was running then can't continue afterwards. */
  let stopReason: string | undefined

  async function rollBack(session: Session): Promise<void> {
    const tx = session.transaction
    if (!tx) return
    session.transaction = undefined
    const result = await tx.connection.instanceConnection.rollback(ATTEMPT_TIMEOUT_MS)
    tx.connection.end(result.ok)
    runner.inFlightEnded.notify()
  }
  function terminate(session: Session, errorClass: string, reason: string): void {
    if (session.transaction) session.ended = endedEarlyVerdict(session.transaction, errorClass, reason)
    void rollBack(session)
  }
  /** Ends the transaction and closes its connection, which makes the instance roll back. */
  function discard(session: Session, tx: Transaction): void {
    session.transaction = undefined
    tx.connection.end(false)
    runner.inFlightEnded.notify()
  }
  function endEarly(session: Session, tx: Transaction, errorClass: string, reason: string): Verdict {
    if (session.transaction === tx) discard(session, tx)
    return endedEarlyVerdict(tx, errorClass, reason)
  }
  function endByError(session: Session, tx: Transaction, error: RequestError): Verdict {
    metrics.add('claynotch_error_classification_total', [
      ['class', error.class],
      ['retryable', 'no'],
    ])
    return endEarly(session, tx, error.class, error.why)
  }

  /** The reason why the lane as now configured would not begin this transaction; undefined if it would. */
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
  /**
   * The reason why the client's key no longer permits this transaction. It then ends at once, as its connection was
   * opened for the tenant that the key belonged to.
   */
  function whyKeyInvalid(tx: Transaction): string | undefined {
    const rules = state.rules()
    const lane = rules?.lanes.get(tx.lane)
    if (!rules) return undefined
    const isKeyValid = lane ? isTenantOf(rules, lane, tx) : tenantOfKey(rules, tx.keyHash) === tx.tenant
    return isKeyValid ? undefined : "the key was taken away, or is another tenant's now"
  }
  /** The reason why the configuration ends this transaction: the drain timeout has passed since the lane changed. */
  function whyInvalidByConfiguration(tx: Transaction): string | undefined {
    const reason = whyDisallowed(tx)
    const now = world.now()
    tx.disallowedSince = reason === undefined ? undefined : (tx.disallowedSince ?? state.rules()?.appliedAt ?? now)
    if (tx.disallowedSince !== undefined && now - tx.disallowedSince > DRAIN_TIMEOUT_MS)
      return `${reason}; open transactions had their time`
    return undefined
  }
  /**
   * The reason why the group ends this transaction: the lease or the leader that it was begun under is no longer valid.
   */
  function whyInvalidByGroup(tx: Transaction): string | undefined {
    const group = state.group(tx.group)
    if (!group || world.now() >= group.leaseExpiresAt) return 'this node lost its term'
    if (tx.isAtLeader && !runner.isEpochCurrent(tx.group, tx.epoch)) return 'the leader is being replaced'
    if (group.record.epoch !== tx.epoch) return 'the leader was replaced'
    if (group.record.phase === 'drain' && world.now() - group.appliedAt > DRAIN_TIMEOUT_MS)
      return 'the leader is being replaced; open transactions had their time'
    return undefined
  }
  /** The reason why nothing more may be sent on this transaction; undefined if it may continue. */
  function whyInvalid(tx: Transaction): string | undefined {
    if (stopReason !== undefined) return stopReason
    const { instance } = tx.connection
    // A leaving instance gets no new work, and a further statement counts as new work.
    if (state.leavingForMs(instance) > LEAVING_GRACE_MS) return `the instance ${instance} leaves`
    // The lane was fenced for a move since the begin: nothing of this transaction may be acknowledged any more.
    if (!state.canAcknowledgeWrite(tx.lane, tx.group, tx.begunAt)) return `the lane ${tx.lane} was moved`
    const reason = whyKeyInvalid(tx) ?? whyInvalidByConfiguration(tx) ?? whyInvalidByGroup(tx)
    if (reason !== undefined) return reason
    return tx.connection.instanceConnection.alive() ? undefined : 'the connection to the instance broke'
  }
  function terminateIfInvalid(session: Session): void {
    const tx = session.transaction
    if (!tx || session.isBusy) return
    const idleLimit = state.rules()?.transactionIdleMs ?? TRANSACTION_IDLE_TIMEOUT_MS
    if (world.now() - tx.lastUsedAt > idleLimit) {
      metrics.add('claynotch_transactions_idle_total')
      return terminate(session, 'ABORTED', 'the transaction rested too long')
    }
    const reason = whyInvalid(tx)
    if (reason !== undefined) terminate(session, 'UNAVAILABLE', reason)
  }

  /** The log position that the transaction's follower must hold now; undefined if freshness can't be proved. */
  function requiredPosition(session: Session, tx: Transaction, lane: LaneRules | undefined) {
    // If the configured staleness bound has changed since the begin, the new one applies.
    const freshness = tx.freshness && ((lane && freshnessOf(lane)) ?? tx.freshness)
    const groupSince = lane?.group === tx.group ? lane.groupSince : 0
    return freshness ? runner.requiredPosition(tx.group, freshness, session.token, groupSince) : undefined
  }
  async function sendStatement(
    tx: Transaction,
    { body, id }: StatementRequest,
    shape: PreparedStatement | undefined,
    mode: 'read' | 'write',
    timeoutMs: number,
  ) {
    const { connection } = tx
    const error = shape ? await connection.prepareShape(shape.text) : undefined
    if (error) return Err(error)
    // Checked again, as the state may have changed while the shape was registered.
    const reason = shape ? whyInvalid(tx) : undefined
    if (reason !== undefined) return Err(notSentError(reason))
    const statementRef = shape ? { shape: connection.shapeId(shape.text) } : { text: body.text ?? '' }
    const statementBody = { ...statementRef, args: body.args ?? [], mode, ...(id !== undefined ? { id } : {}) }
    return await connection.instanceConnection.statement(statementBody, Math.min(timeoutMs, ATTEMPT_TIMEOUT_MS))
  }
  async function statement(
    session: Session,
    tx: Transaction,
    request: StatementRequest,
    timeoutMs: number,
    callerGone: Flag,
  ): Promise<Verdict> {
    const reason = whyInvalid(tx)
    if (reason !== undefined) return endEarly(session, tx, 'UNAVAILABLE', reason)
    const { body } = request
    const shape = body.shape !== undefined ? session.state.prepared(body.shape) : undefined
    if (body.shape !== undefined && !shape) return shapeNotFound(body.shape)
    const kind = body.kind ?? shape?.kind ?? 'write'
    if (kind === 'write' && tx.kind === 'read')
      return refusal('INVALID_ARGUMENT', 'a write in a transaction that was begun to read', false)
    const lane = state.rules()?.lanes.get(tx.lane)
    // A follower that was fresh when the transaction began may have stopped replicating since.
    const floor = requiredPosition(session, tx, lane)
    if (tx.freshness && floor === undefined)
      return endEarly(session, tx, 'UNAVAILABLE', 'the follower can no longer be proved fresh')
    tx.hasRun = true
    const attemptTimeoutMs =
      lane?.targetLatencyMs !== undefined
        ? Math.min(timeoutMs, lane.targetLatencyMs * STATEMENT_TIMEOUT_SHARE)
        : timeoutMs
    if (tx.kind === 'write') runner.addWritesInFlight(tx.group, tx.lane, 1)
    const result = await sendStatement(tx, request, shape, kind, attemptTimeoutMs)
    if (tx.kind === 'write') runner.addWritesInFlight(tx.group, tx.lane, -1)
    tx.lastUsedAt = world.now()
    if (session.transaction !== tx) {
      session.ended = undefined
      return endedMeanwhileVerdict()
    }
    if (result.err) return endByError(session, tx, result.val)
    const lateReason = whyInvalid(tx)
    if (lateReason !== undefined) return endEarly(session, tx, 'UNAVAILABLE', lateReason)
    if (floor !== undefined && !isFresh(result.val.mark, floor, adapter.exact))
      return endEarly(session, tx, 'UNAVAILABLE', "the follower fell behind the lane's bound")
    if (callerGone.fired()) return endEarly(session, tx, 'ABORTED', 'the requester went away')
    return { outcome: 'done', rows: result.val.rows, ...proofFields(result.val) }
  }

  function unknownOutcome(session: Session, reason: string): Verdict {
    session.mustReadLeader = true
    metrics.add('claynotch_unknown_total')
    return { outcome: 'unknown', class: 'UNKNOWN', kept: 'unknown', again: false, why: reason, transaction: 'over' }
  }
  /**
   * A commit that may have reached the instance is never retried. Its outcome is known if the instance answered that it
   * did not commit, or if the transaction was read-only; otherwise it is unknown.
   */
  function commitFailure(session: Session, tx: Transaction, error: RequestError): Verdict {
    const failed = { outcome: 'failed', kept: 'unknown', why: error.why, transaction: 'over' } as const
    if (error.reach === 'answered') return { ...failed, class: error.class, again: error.transient }
    if (tx.kind === 'read') return { ...failed, class: 'UNAVAILABLE', again: true, after: RETRY_AFTER_OVERLOAD_S }
    return unknownOutcome(session, error.why)
  }
  /** Whether the commit's answer came while the epoch, the lease and the lane of the begin were still in force. */
  function isCommitValid(tx: Transaction, position: StatementResult['mark']): boolean {
    return (
      runner.isEpochCurrent(tx.group, tx.epoch) &&
      (!adapter.exact || position.epoch === tx.epoch) &&
      state.canAcknowledgeWrite(tx.lane, tx.group, tx.begunAt)
    )
  }
  async function commit(
    session: Session,
    tx: Transaction,
    timeoutMs: number,
    id: string | undefined,
  ): Promise<Verdict> {
    const reason = whyInvalid(tx)
    if (reason !== undefined) return endEarly(session, tx, 'UNAVAILABLE', reason)
    if (tx.kind === 'write') runner.addWritesInFlight(tx.group, tx.lane, 1)
    const options = id !== undefined ? { id } : undefined
    const result = await tx.connection.instanceConnection.commit(Math.min(timeoutMs, ATTEMPT_TIMEOUT_MS), options)
    if (tx.kind === 'write') runner.addWritesInFlight(tx.group, tx.lane, -1)
    if (session.transaction === tx) session.transaction = undefined
    tx.connection.end(result.ok || result.val.reach === 'answered')
    runner.inFlightEnded.notify()
    if (result.err) return commitFailure(session, tx, result.val)
    if (tx.kind === 'write') {
      if (!isCommitValid(tx, result.val.mark))
        return unknownOutcome(
          session,
          'the answer came after the leader had been replaced, the lane moved, or the term had ended',
        )
      runner.recordWritePosition(tx.group, result.val.mark)
      session.token = { group: tx.group, position: result.val.mark }
    }
    return { outcome: 'done', rows: result.val.rows, transaction: 'over', ...proofFields(result.val) }
  }
  async function set(session: Session, tx: Transaction, name: string, value: string): Promise<Verdict> {
    const reason = whyInvalid(tx)
    if (reason !== undefined) return endEarly(session, tx, 'UNAVAILABLE', reason)
    const previousValue = session.state.value(name)
    if (!session.state.set(name, value)) return stateLimitExceeded()
    const error = await tx.connection.applySetting(name, value)
    if (!error) return { outcome: 'done' }
    session.state.restore(name, previousValue)
    return endByError(session, tx, error)
  }
  function stopSending(reason: string): void {
    stopReason = reason
  }
  return {
    statement,
    commit,
    set,
    rollBack,
    terminate,
    terminateIfInvalid,
    stopSending,
  }
}
