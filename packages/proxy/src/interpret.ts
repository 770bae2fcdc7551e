import {
  BACKOFF_BASE_MS,
  BACKOFF_SHARE,
  QUEUE_TIMEOUT_SHARE,
  ATTEMPT_TIMEOUT_SHARE,
  RETRY_AFTER_BREAKER_S,
  RETRY_AFTER_OVERLOAD_S,
  RETRY_AFTER_PROMOTION_S,
  CHECK_OUT_TIMEOUT_MS,
  MIN_DIAL_TIMEOUT_MS,
  DIAL_TIMEOUT_MS,
  makeSignal,
  makeFlag,
  pause,
  ATTEMPT_TIMEOUT_MS,
  MAX_ATTEMPTS,
  WAKE_UP_JITTER_MS,
  type Metrics,
  type World,
} from '@claynotch/base'
import type { InstanceAdapter, LogPosition } from '@claynotch/instance'
import { isShareBelowOne, usableConnectionsPerProxy } from '@claynotch/operator'
import { refusal, type Verdict } from '@claynotch/requester'
import { isForOtherGroup, isFresh } from './freshness.js'
import { makeAdmission } from './admission.js'
import { identify } from './identity.js'
import { makeKeyRefusals, type KeyRefusals } from './key-refusals.js'
import { requirementsFor, type Call, type CallResult } from './call.js'
import type { CheckedOutConnection, Pool } from './pool.js'
import type { QuotaStep } from './quota-step.js'
import {
  backoffDelayMs,
  makeExhaustionAlert,
  makeBreaker,
  makeRetryTokens,
  type ExhaustionAlert,
  type Breaker,
  type RetryTokens,
} from './retry.js'
import type { Step } from './rules.js'
import type { State } from './state.js'
import { makeTargetSelection, type TargetSelection } from './target-selection.js'
import type { Instance, Watch } from './watch.js'

/** The retry state of one group: circuit breaker, retry tokens and exhaustion alert. */
export type RetryControls = { breaker: Breaker; tokens: RetryTokens; alert: ExhaustionAlert }

/** Runs calls through the steps of their lane, and keeps this node's counts of the work in flight. */
export type Runner = {
  /** Runs a call to its end. */
  run: (call: Call) => Promise<CallResult>
  /** The retry state of the group; made on first use. */
  retryControls: (group: string) => RetryControls
  /** The retry state of every group that was used so far. */
  retryControlsByGroup: () => Map<string, RetryControls>
  /** Whether the group's record still has this epoch, its lease is valid, and its phase lets the leader serve. */
  isEpochCurrent: (group: string, epoch: number) => boolean
  /** Attempts in flight that may write, of the group or of one of its lanes. */
  writesInFlight: (group: string, lane?: string) => number
  /** Adds to the counts of attempts in flight that may write; the last argument is negative when one ends. */
  addWritesInFlight: (group: string, lane: string, delta: number) => void
  /**
   * Transactions whose begin was sent and that no session owns yet. A call counts from the send until it selects
   * another target, ends without a transaction, or its session has taken the transaction over.
   */
  beginsInFlight: (group: string, lane: string | undefined, kind: 'begin read' | 'begin write') => number
  /** Stops counting the call among them: its session owns the transaction, or there is none. */
  releaseBegin: (call: Call) => void
  /** The log position that a follower must hold for a read that begins now; undefined: freshness can't be proved. */
  requiredPosition: TargetSelection['requiredPosition']
  /** The highest log position of an acknowledged write, by group. */
  lastWritePositions: () => Map<string, LogPosition>
  /** Records the log position of an acknowledged write. */
  recordWritePosition: (group: string, position: LogPosition) => void
  /** Fires when a write or a begin in flight ends. */
  inFlightEnded: ReturnType<typeof makeSignal>
  keyRefusals: KeyRefusals
}

export function makeRunner(
  world: World,
  state: State,
  watch: Watch,
  pool: Pool,
  adapter: InstanceAdapter,
  quota: QuotaStep,
  metrics: Metrics,
  stopping: () => boolean,
): Runner {
  const controlsByGroup = new Map<string, RetryControls>()
  const admission = makeAdmission(metrics)
  const writeCounts = new Map<string, number>()
  const openingCalls = new Set<Call>()
  const lastWrites = new Map<string, LogPosition>()
  const inFlightEnded = makeSignal()
  const keyRefusals = makeKeyRefusals(world, state, metrics)
  const targetSelection = makeTargetSelection(world, state, watch, adapter, metrics)

  function controlsOf(group: string): RetryControls {
    let controls = controlsByGroup.get(group)
    if (!controls) {
      function otherNodes(): { firsts: number; retries: number } {
        return state.retriesOnOtherNodes(group)
      }
      controls = {
        breaker: makeBreaker(world, group, metrics),
        tokens: makeRetryTokens(world, otherNodes),
        alert: makeExhaustionAlert(world, group, metrics),
      }
      controlsByGroup.set(group, controls)
    }
    return controls
  }
  function isEpochCurrent(group: string, epoch: number): boolean {
    const known = state.group(group)
    if (!known || world.now() >= known.leaseExpiresAt || known.record.epoch !== epoch) return false
    return known.record.phase === 'steady' || known.record.phase === 'drain'
  }
  /** Key of writeCounts: a group, or a group and one of its lanes. */
  function writeCountKey(group: string, lane: string | undefined): string {
    return lane === undefined ? group : `${group} ${lane}`
  }
  function writesInFlight(group: string, lane?: string): number {
    return writeCounts.get(writeCountKey(group, lane)) ?? 0
  }
  function addWritesInFlight(group: string, lane: string, delta: number): void {
    for (const key of [group, writeCountKey(group, lane)]) writeCounts.set(key, (writeCounts.get(key) ?? 0) + delta)
    if (delta < 0) inFlightEnded.notify()
  }
  function beginsInFlight(group: string, lane: string | undefined, kind: 'begin read' | 'begin write'): number {
    let count = 0
    for (const call of openingCalls)
      if (call.kind === kind && call.lane.group === group && (lane === undefined || call.lane.name === lane)) count++
    return count
  }
  function releaseBegin(call: Call): void {
    if (openingCalls.delete(call)) inFlightEnded.notify()
  }
  function recordWritePosition(group: string, position: LogPosition): void {
    const previous = lastWrites.get(group)
    if (
      !previous ||
      position.epoch > previous.epoch ||
      (position.epoch === previous.epoch && position.position > previous.position)
    )
      lastWrites.set(group, position)
  }

  // --- results of a call ---

  function maxAttemptsOf(call: Call): number {
    return Math.min(MAX_ATTEMPTS, call.lane.maxAttempts ?? MAX_ATTEMPTS)
  }
  function isWrite(call: Call): boolean {
    return call.kind === 'write'
  }
  /** DEADLINE_EXCEEDED if the deadline that the caller set has passed, else UNAVAILABLE. */
  function unavailable(call: Call, reason: string, retryAfterS: number): Verdict {
    const errorClass = call.hasCallerDeadline && world.now() >= call.deadline ? 'DEADLINE_EXCEEDED' : 'UNAVAILABLE'
    return refusal(errorClass, reason, true, retryAfterS)
  }
  /** A refusal promises that no part of the call was executed; where one may have been, the call has failed instead. */
  function withoutFalseRefusal(call: Call, verdict: Verdict): Verdict {
    return verdict.outcome === 'refused' && call.executed !== 'no'
      ? { ...verdict, outcome: 'failed', kept: 'unknown' }
      : verdict
  }
  function budgetExhausted(call: Call): Verdict {
    metrics.add('claynotch_retry_budget_exhausted_total', [['group', call.lane.group]])
    controlsOf(call.lane.group).alert.record(true)
    return unavailable(
      call,
      call.lastError?.why ?? 'no instance could serve the call within its budget',
      RETRY_AFTER_PROMOTION_S,
    )
  }

  // --- steps ---

  /**
   * What a step returns. undefined: continue with the next step; a verdict: the call ends; 'aim': return to target
   * selection; 'start': restart at the first step under new rules.
   */
  type StepResult = Verdict | 'aim' | 'start' | undefined

  function hasStaleRules(call: Call): boolean {
    return state.rules() !== call.rules
  }
  /**
   * The configuration changed during the call: restarts it under the current rules, or ends it if its lane was removed.
   */
  function applyCurrentRules(call: Call): StepResult {
    const rules = state.rules()
    if (!rules) return refusal('UNAVAILABLE', 'no configuration is known here', true, RETRY_AFTER_PROMOTION_S)
    const lane = call.findLane(rules)
    // Without a valid lease, a later configuration that this node doesn't know may have the lane again.
    if (!lane && !state.hasValidLease())
      return refusal('UNAVAILABLE', 'this node holds no valid term', true, RETRY_AFTER_PROMOTION_S)
    if (!lane) return { ...refusal('NOT_FOUND', `the lane ${call.lane.name} was dropped`, false), lacks: 'lane' }
    const identity = identify(rules, lane, call.keyHash)
    if (!identity.isAllowed) return keyRefusals.refuse(lane, call.keyHash)
    admission.release(call)
    if (lane.group !== call.lane.group) {
      if (call.isBreakerProbe) controlsOf(call.lane.group).breaker.record(false, true)
      call.isBreakerProbe = false
    }
    metrics.add('claynotch_calls_rematched_total', [['lane', lane.name]])
    call.rules = rules
    call.lane = lane
    call.requirements = requirementsFor(lane, rules, call.requirements, identity.tenant)
    return 'start'
  }
  function checkNodeState(call: Call): StepResult {
    if (stopping()) return refusal('UNAVAILABLE', 'this node is stopping', true, RETRY_AFTER_OVERLOAD_S)
    if (!state.hasValidLease())
      return refusal('UNAVAILABLE', 'this node holds no valid term', true, RETRY_AFTER_PROMOTION_S)
    if (!state.hasConnectionShare())
      return refusal('UNAVAILABLE', 'this node holds no share of the connections', true, RETRY_AFTER_PROMOTION_S)
    if (call.callerGone.fired()) return refusal('ABORTED', 'the requester went away', false)
    return undefined
  }
  function breakerStep(call: Call): StepResult {
    if (call.isBreakerProbe) return undefined
    const { breaker } = controlsOf(call.lane.group)
    if (!breaker.allows())
      return refusal('UNAVAILABLE', `the breaker of group ${call.lane.group} is open`, true, RETRY_AFTER_BREAKER_S)
    call.isBreakerProbe = breaker.isProbing()
    return undefined
  }
  /**
   * Until when the call waits for a leader. A promotion takes a bounded time, so during one a call waits longer: it is
   * served late rather than rejected.
   */
  function waitLimitOf(call: Call): number {
    const phase = state.group(call.lane.group)?.record.phase
    return phase !== undefined && phase !== 'steady'
      ? Math.max(call.queueDeadline, call.promotionDeadline)
      : call.queueDeadline
  }
  /**
   * Waits until the state or an instance's status changes or the caller disconnects, for 250 ms at most, as a change
   * can come from any of these three.
   */
  async function waitForGroupNews(call: Call): Promise<void> {
    call.hasWaited = true
    const wake = makeFlag()
    const stopWatching = call.callerGone.watch(wake.fire)
    const remainingMs = Math.max(1, Math.min(call.deadline - world.now(), waitLimitOf(call) - world.now(), 250))
    void state.changed.wait(world, remainingMs, wake).then(wake.fire)
    void watch.doubtCleared.wait(world, remainingMs, wake).then(wake.fire)
    await wake.wait()
    stopWatching()
  }
  /** Selects the instance for the next attempt, and waits for a leader where there is none. */
  async function selectTarget(call: Call, step: Extract<Step, { op: 'aim' }>): Promise<StepResult> {
    let hasWaited = false
    releaseBegin(call)
    for (;;) {
      if (call.callerGone.fired()) return refusal('ABORTED', 'the requester went away', false)
      if (hasStaleRules(call)) return applyCurrentRules(call)
      if (world.now() >= call.deadline) return budgetExhausted(call)
      const known = state.group(call.lane.group)
      if (step.at === 'fresh' && !call.leaderOnly && !isForOtherGroup(call.token, call.lane.group) && known) {
        const followerTarget = targetSelection.followerFor(call, known, step)
        if (followerTarget) {
          call.target = followerTarget
          break
        }
      }
      const leaderTarget = targetSelection.leaderFor(call)
      if (leaderTarget) {
        call.target = { ...leaderTarget, floor: undefined }
        break
      }
      if (!state.hasValidLease() || !state.hasConnectionShare())
        return unavailable(call, 'this node lost its term', RETRY_AFTER_PROMOTION_S)
      // End a waiting call at once, so that its caller can try another node.
      if (stopping()) return unavailable(call, 'this node is stopping', RETRY_AFTER_OVERLOAD_S)
      if (world.now() >= waitLimitOf(call))
        return unavailable(
          call,
          call.lastError?.why ?? `the group ${call.lane.group} has no leader to send to`,
          RETRY_AFTER_PROMOTION_S,
        )
      // No leader is available: a promotion is in progress, or the leader is suspected. Waiting doesn't count as an
      // attempt.
      hasWaited = true
      await waitForGroupNews(call)
    }
    if (hasWaited) {
      // All waiting calls wake up together: a random delay spreads them, so that they don't hit the leader at once.
      await pause(
        world,
        Math.min(
          world.random() * WAKE_UP_JITTER_MS,
          Math.max(0, call.deadline - world.now()),
          Math.max(0, call.queueDeadline - world.now()),
        ),
        call.callerGone,
      )
      if (call.target && call.target.floor === undefined && !isEpochCurrent(call.lane.group, call.target.epoch))
        return 'aim'
    }
    return undefined
  }
  /**
   * free: ms to wait for a pooled connection that is in use; dial: ms to open a new one. Time spent waiting for a
   * leader is not subtracted from either, as a dial cut short by it would be mistaken for an unresponsive instance.
   */
  function connectionTimeouts(call: Call): { free: number; dial: number } {
    const remainingMs = Math.max(1, call.deadline - world.now())
    const { targetLatencyMs: aim } = call.lane
    if (aim === undefined)
      return { free: Math.min(CHECK_OUT_TIMEOUT_MS, remainingMs), dial: Math.min(DIAL_TIMEOUT_MS, remainingMs) }
    return {
      free: Math.min(remainingMs, aim * QUEUE_TIMEOUT_SHARE),
      dial: Math.min(DIAL_TIMEOUT_MS, remainingMs, Math.max(MIN_DIAL_TIMEOUT_MS, aim * ATTEMPT_TIMEOUT_SHARE)),
    }
  }
  /** Checks a connection out of the pool. */
  async function checkOut(call: Call): Promise<StepResult> {
    const { instance } = call.target!
    const config = state.config()
    const { group } = call.lane
    const maxConnections = config ? usableConnectionsPerProxy(config, group, state.liveProxies()) : 0
    const closesAfterUse = config !== undefined && isShareBelowOne(config, group, state.liveProxies())
    instance.callsInFlight++
    const startedAt = world.now()
    const checkOutResult = await pool.checkOut(
      instance,
      maxConnections,
      { ...call.requirements, closesAfterUse },
      connectionTimeouts(call),
      call.callerGone,
    )
    instance.callsInFlight--
    if (checkOutResult.ok) {
      call.connection = checkOutResult.val
      return undefined
    }
    call.lastError = checkOutResult.val
    if (checkOutResult.val.transient) {
      if (checkOutResult.val.full !== true)
        watch.failed(instance.name, startedAt, checkOutResult.val.reach === 'answered', false)
      return await retry(call)
    }
    const retryAfterS = checkOutResult.val.class === 'RESOURCE_EXHAUSTED' ? RETRY_AFTER_OVERLOAD_S : undefined
    return refusal(checkOutResult.val.class, checkOutResult.val.why, retryAfterS !== undefined, retryAfterS)
  }
  /** Sends one attempt and waits for its result. */
  async function send(call: Call): Promise<StepResult> {
    const { instance, epoch, floor } = call.target!
    const connection = call.connection!
    // The last checks before the attempt; nothing is awaited between them and the send.
    const mayWrite = call.kind === 'write' || call.kind === 'begin write'
    const beginsTransaction = call.kind === 'begin read' || call.kind === 'begin write'
    const isStale = hasStaleRules(call)
    // The target may have been selected before a drain began: a transaction begun now would be open after this node has
    // reported that it has none.
    if (
      isStale ||
      (floor === undefined && !isEpochCurrent(call.lane.group, epoch)) ||
      ((mayWrite || beginsTransaction) && state.group(call.lane.group)?.record.phase !== 'steady') ||
      !quota.consumeReservation(call)
    ) {
      connection.end(true)
      delete call.connection
      return isStale ? applyCurrentRules(call) : 'aim'
    }
    const { tokens } = controlsOf(call.lane.group)
    if (call.attempts === 0) tokens.noteFirstAttempt()
    call.attempts++
    metrics.add('claynotch_retry_attempt_total', [
      ['group', call.lane.group],
      ['send', String(call.attempts)],
    ])
    const remainingMs = Math.max(1, Math.min(ATTEMPT_TIMEOUT_MS, call.deadline - world.now()))
    const timeoutMs =
      call.lane.targetLatencyMs !== undefined && !isWrite(call) && call.attempts < maxAttemptsOf(call)
        ? Math.min(remainingMs, call.lane.targetLatencyMs * ATTEMPT_TIMEOUT_SHARE)
        : remainingMs
    call.sentAt = world.now()
    instance.callsInFlight++
    const { group, name } = call.lane
    if (mayWrite) addWritesInFlight(group, name, 1)
    if (beginsTransaction) openingCalls.add(call)
    const sendOptions = {
      ...(call.body.id !== undefined ? { id: call.body.id } : {}),
      ...(floor !== undefined && !adapter.sampler ? { after: floor } : {}),
    }
    if (call.kind === 'begin read' || call.kind === 'begin write')
      call.result = await connection.instanceConnection.begin(
        call.kind === 'begin read' ? 'read' : 'write',
        timeoutMs,
        sendOptions,
      )
    else {
      const text = call.body.text
      call.result = await connection.instanceConnection.statement(
        {
          ...(text !== undefined
            ? { text }
            : { shape: connection.shapeId(call.requirements.shapes.get(call.body.shape!)!) }),
          args: call.body.args,
          mode: call.kind === 'write' ? 'write' : 'read',
          ...sendOptions,
        },
        timeoutMs,
      )
    }
    if (mayWrite) addWritesInFlight(group, name, -1)
    instance.callsInFlight--
    return undefined
  }
  /** Decides from the attempt's result whether the call ends or is retried. */
  async function evaluate(call: Call): Promise<StepResult> {
    const { instance, epoch, floor } = call.target!
    const result = call.result!
    const connection = call.connection!
    const group = call.lane.group
    const { breaker, alert } = controlsOf(group)
    const isFromLeader = floor === undefined
    if (result.ok) {
      const { mark, rows, stamp } = result.val
      watch.recordAnswer(instance.name, call.sentAt, mark, isFromLeader ? epoch : undefined)
      const canAcknowledge = !isWrite(call) || state.canAcknowledgeWrite(call.lane.name, group, call.sentAt)
      const isValid = isFromLeader
        ? isEpochCurrent(group, epoch) && (!adapter.exact || mark.epoch === epoch) && canAcknowledge
        : isFresh(mark, floor, adapter.exact)
      if (isValid) {
        breaker.record(true, call.isBreakerProbe)
        if (call.attempts > 1 || call.hasWaited) {
          metrics.add('claynotch_retry_success_on_attempt', [['send', String(call.attempts)]])
          alert.record(false)
        }
        if (isWrite(call)) recordWritePosition(group, mark)
        if (call.kind === 'read')
          metrics.add('claynotch_reads_total', [
            ['instance', instance.name],
            ['area', instance.area === state.area() ? 'own' : 'other'],
            ['role', isFromLeader ? 'leader' : 'follower'],
          ])
        if (call.kind === 'read' || call.kind === 'write') {
          connection.end(true)
          delete call.connection
        }
        return { outcome: 'done', rows, ...(stamp !== undefined ? { stamp } : {}) }
      }
      // The statement was executed, but under a record that is no longer current, or on a follower that is behind the
      // floor.
      connection.end(call.kind === 'read' || call.kind === 'write')
      delete call.connection
      call.executed = 'maybe'
      if (isWrite(call))
        return unknownOutcome(
          'the answer came after the leader had been replaced, the lane moved, or the term had ended',
        )
      call.lastError = {
        reach: 'maybe',
        class: 'UNAVAILABLE',
        transient: true,
        why: 'the answer came under a record that no longer stands',
      }
      return await retry(call)
    }
    const error = result.val
    call.lastError = error
    metrics.add('claynotch_error_classification_total', [
      ['class', error.class],
      ['retryable', error.transient ? 'yes' : 'no'],
    ])
    if (error.reach === 'maybe') call.executed = 'maybe'
    else if (error.lags && floor !== undefined) return skipLaggingFollower(call, instance, connection)
    connection.end(error.reach === 'answered' && (call.kind === 'read' || call.kind === 'write'))
    delete call.connection
    if (error.transient) {
      // An instance that answers that it isn't the leader is alive, but counts as failed in its role of leader.
      watch.failed(instance.name, call.sentAt, error.reach === 'answered' && error.lead !== false, error.lead === false)
      // Errors during a known promotion don't count for the breaker, as the promotion ends by itself.
      if (!state.isUnderPromotion(group)) breaker.record(false, call.isBreakerProbe)
      if (error.reach === 'maybe' && isWrite(call)) return unknownOutcome(error.why)
      return await retry(call)
    }
    breaker.record(true, call.isBreakerProbe)
    if (error.class === 'UNKNOWN' && isWrite(call)) return unknownOutcome(error.why)
    const retryAfterS = error.class === 'RESOURCE_EXHAUSTED' ? RETRY_AFTER_OVERLOAD_S : undefined
    if (call.executed !== 'no' && isWrite(call)) return unknownOutcome(error.why)
    return refusal(error.class, error.why, retryAfterS !== undefined, retryAfterS)
  }
  /**
   * A follower that lacks the required log position has executed nothing and is healthy: the call goes to another
   * follower or to the leader at once, and the attempt isn't counted.
   */
  function skipLaggingFollower(call: Call, instance: Instance, connection: CheckedOutConnection): StepResult {
    metrics.add('claynotch_reads_behind_total', [['instance', instance.name]])
    call.laggingFollowers.add(instance.name)
    call.attempts--
    connection.end(call.kind === 'read')
    delete call.connection
    return 'aim'
  }
  /** The write may or may not have been committed. */
  function unknownOutcome(why: string): Verdict {
    metrics.add('claynotch_unknown_total')
    return { outcome: 'unknown', class: 'UNKNOWN', kept: 'unknown', again: false, why }
  }
  /**
   * Ends the call if no further attempt is allowed; else waits for the backoff delay, or until the caller disconnects.
   */
  async function retry(call: Call): Promise<StepResult> {
    if (call.attempts >= maxAttemptsOf(call)) return budgetExhausted(call)
    const { tokens } = controlsOf(call.lane.group)
    if (call.attempts > 0 && !tokens.spendOnRetry()) {
      metrics.add('claynotch_retry_tokens_out_total', [['group', call.lane.group]])
      return unavailable(call, `the group's retries are used up: ${call.lastError?.why ?? ''}`, RETRY_AFTER_OVERLOAD_S)
    }
    const delayMs = backoffDelayMs(
      world,
      Math.max(0, call.attempts - 1),
      call.lane.targetLatencyMs === undefined
        ? BACKOFF_BASE_MS
        : Math.min(BACKOFF_BASE_MS, call.lane.targetLatencyMs * BACKOFF_SHARE),
    )
    // If the delay would outlast the deadline, the call ends at once.
    if (world.now() + delayMs >= call.deadline) return budgetExhausted(call)
    await pause(world, delayMs, call.callerGone)
    return 'aim'
  }

  // --- the interpreter ---

  /** Runs the steps of the call's lane and kind in order, until one returns a verdict. */
  async function run(call: Call): Promise<CallResult> {
    const startedAt = world.now()
    let stepIndex = 0
    let result: StepResult
    for (;;) {
      const program = call.lane.programs.get(call.kind)!
      const step: Step = program[stepIndex]
      switch (step.op) {
        case 'check node':
          result = checkNodeState(call)
          break
        case 'take':
          result = admission.admit(call, step.pending)
          break
        case 'breaker':
          result = breakerStep(call)
          break
        case 'aim':
          result = await selectTarget(call, step)
          break
        case 'quota':
          result = await quota.reserve(call)
          break
        case 'check out':
          result = await checkOut(call)
          break
        case 'send':
          result = await send(call)
          break
        case 'evaluate':
          result = await evaluate(call)
          break
      }
      if (result === undefined) stepIndex++
      else if (result === 'aim') stepIndex = program.findIndex(selectsTarget)
      else if (result === 'start') stepIndex = 0
      else break
    }
    result = withoutFalseRefusal(call, result)
    admission.release(call)
    quota.release(call)
    if (call.isBreakerProbe && result.outcome !== 'done') controlsOf(call.lane.group).breaker.record(false, true)
    metrics.add('claynotch_calls_total', [
      ['lane', call.lane.name],
      ['kind', call.kind],
      ['outcome', result.outcome],
      ['class', result.class ?? ''],
    ])
    metrics.add('claynotch_call_ms_total', [['lane', call.lane.name]], Math.round(world.now() - startedAt))
    const settled: CallResult = { verdict: result }
    if (result.outcome === 'done' && call.result?.ok) {
      settled.position = call.result.val.mark
      settled.epoch = call.target!.epoch
      settled.instance = call.target!.instance.name
      if (call.connection) settled.connection = call.connection
    } else {
      if (call.connection) call.connection.end(false)
      releaseBegin(call)
    }
    return settled
  }
  function selectsTarget(step: Step): boolean {
    return step.op === 'aim'
  }
  function retryControlsByGroup(): Map<string, RetryControls> {
    return controlsByGroup
  }
  function lastWritePositions(): Map<string, LogPosition> {
    return lastWrites
  }
  return {
    run,
    retryControls: controlsOf,
    retryControlsByGroup,
    isEpochCurrent,
    writesInFlight,
    addWritesInFlight,
    beginsInFlight,
    releaseBegin,
    requiredPosition: targetSelection.requiredPosition,
    lastWritePositions,
    recordWritePosition,
    inFlightEnded,
    keyRefusals,
  }
}
