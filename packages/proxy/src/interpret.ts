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
import { needFor, type Call, type CallResult } from './call.js'
import type { CheckedOutConnection, Pool } from './pool.js'
import type { QuotaStep } from './quota-step.js'
import { backoffDelayMs, makeAlert, makeBreaker, makeRetryTokens, type Alert, type Breaker, type Tokens } from './retry.js'
import type { Step } from './rules.js'
import type { State } from './state.js'
import { makeTargetSelection, type TargetSelection } from './target-selection.js'
import type { Instance, Watch } from './watch.js'

export type Tools = { breaker: Breaker; tokens: Tokens; alert: Alert }

export type Runner = {
  run: (call: Call) => Promise<CallResult>
  tools: (group: string) => Tools
  retryControlsByGroup: () => Map<string, Tools>
  // Whether the record that a leader's answer was asked under still stands.
  isEpochCurrent: (group: string, epoch: number) => boolean
  // Sends in flight that may write, by group and by lane.
  writesInFlight: (group: string, lane?: string) => number
  addWritesInFlight: (group: string, lane: string, by: number) => void
  // Transactions whose begin went out and that no session has yet. A call counts from the send until it aims anew, ends
  // without a transaction, or kept() says that its session has it.
  beginsInFlight: (group: string, lane: string | undefined, kind: 'begin read' | 'begin write') => number
  releaseBegin: (call: Call) => void
  // The position that a follower must hold for a read that begins now; undefined: it can't be proved.
  requiredPosition: TargetSelection['requiredPosition']
  lastWritePositions: () => Map<string, LogPosition>
  recordWritePosition: (group: string, mark: LogPosition) => void
  inFlightEnded: ReturnType<typeof makeSignal>
  keyRefusals: KeyRefusals
}

export function makeRunner(
  world: World,
  state: State,
  watch: Watch,
  pool: Pool,
  edge: InstanceAdapter,
  quota: QuotaStep,
  metrics: Metrics,
  stopping: () => boolean,
): Runner {
  const tools = new Map<string, Tools>()
  const admission = makeAdmission(metrics)
  const writes = new Map<string, number>()
  const begun = new Set<Call>()
  const highs = new Map<string, LogPosition>()
  const quiet = makeSignal()
  const keys = makeKeyRefusals(world, state, metrics)
  const targets = makeTargetSelection(world, state, watch, edge, metrics)

  function toolsOf(group: string): Tools {
    let got = tools.get(group)
    if (!got) {
      function others(): { firsts: number; retries: number } {
        return state.others(group)
      }
      got = {
        breaker: makeBreaker(world, group, metrics),
        tokens: makeRetryTokens(world, others),
        alert: makeAlert(world, group, metrics),
      }
      tools.set(group, got)
    }
    return got
  }
  function stands(group: string, epoch: number): boolean {
    const known = state.group(group)
    if (!known || world.now() >= known.until || known.record.epoch !== epoch) return false
    return known.record.phase === 'steady' || known.record.phase === 'drain'
  }
  function keyOf(group: string, lane: string | undefined): string {
    return lane === undefined ? group : `${group} ${lane}`
  }
  function writing(group: string, lane?: string): number {
    return writes.get(keyOf(group, lane)) ?? 0
  }
  function holdWrite(group: string, lane: string, by: number): void {
    for (const key of [group, keyOf(group, lane)]) writes.set(key, (writes.get(key) ?? 0) + by)
    if (by < 0) quiet.notify()
  }
  function opening(group: string, lane: string | undefined, kind: 'begin read' | 'begin write'): number {
    let out = 0
    for (const call of begun)
      if (call.kind === kind && call.lane.group === group && (lane === undefined || call.lane.name === lane)) out++
    return out
  }
  function kept(call: Call): void {
    if (begun.delete(call)) quiet.notify()
  }
  function sawWrite(group: string, mark: LogPosition): void {
    const old = highs.get(group)
    if (!old || mark.epoch > old.epoch || (mark.epoch === old.epoch && mark.position > old.position))
      highs.set(group, mark)
  }

  // --- ends of a call ---

  function sendsOf(call: Call): number {
    return Math.min(MAX_ATTEMPTS, call.lane.maxAttempts ?? MAX_ATTEMPTS)
  }
  function isWrite(call: Call): boolean {
    return call.kind === 'write'
  }
  function unavailable(call: Call, why: string, after: number): Verdict {
    const cls = call.byCaller && world.now() >= call.deadline ? 'DEADLINE_EXCEEDED' : 'UNAVAILABLE'
    return refusal(cls, why, true, after)
  }
  // A refusal promises that nothing of the try ran; where some of it may have, it is a failure.
  function honest(call: Call, v: Verdict): Verdict {
    return v.outcome === 'refused' && call.ran !== 'no' ? { ...v, outcome: 'failed', kept: 'unknown' } : v
  }
  function exhausted(call: Call): Verdict {
    metrics.add('claynotch_retry_budget_exhausted_total', [['group', call.lane.group]])
    toolsOf(call.lane.group).alert.note(true)
    return unavailable(
      call,
      call.last?.why ?? 'no instance could serve the call within its budget',
      RETRY_AFTER_PROMOTION_S,
    )
  }

  // --- steps ---
  // Each returns: undefined, go on; a verdict, the call ends; 'aim', back to aim; 'start', from the first step by new rules.
  type Turn = Verdict | 'aim' | 'start' | undefined

  function isOld(call: Call): boolean {
    return state.rules() !== call.rules
  }
  // The configuration changed on the way: the call goes on by the rules of now, or ends where its lane is gone.
  function heed(call: Call): Turn {
    const rules = state.rules()
    if (!rules) return refusal('UNAVAILABLE', 'no configuration is known here', true, RETRY_AFTER_PROMOTION_S)
    const lane = call.find(rules)
    // Without a valid term a later configuration may have the lane again.
    if (!lane && !state.hasValidLease())
      return refusal('UNAVAILABLE', 'this node holds no valid term', true, RETRY_AFTER_PROMOTION_S)
    if (!lane) return { ...refusal('NOT_FOUND', `the lane ${call.lane.name} was dropped`, false), lacks: 'lane' }
    const identity = identify(rules, lane, call.keyHash)
    if (!identity.isAllowed) return keys.refuse(lane, call.keyHash)
    admission.release(call)
    if (lane.group !== call.lane.group) {
      if (call.probe) toolsOf(call.lane.group).breaker.record(false, true)
      call.probe = false
    }
    metrics.add('claynotch_calls_rematched_total', [['lane', lane.name]])
    call.rules = rules
    call.lane = lane
    call.requirements = needFor(lane, rules, call.requirements, identity.tenant)
    return 'start'
  }
  function gate(call: Call): Turn {
    if (stopping()) return refusal('UNAVAILABLE', 'this node is stopping', true, RETRY_AFTER_OVERLOAD_S)
    if (!state.hasValidLease()) return refusal('UNAVAILABLE', 'this node holds no valid term', true, RETRY_AFTER_PROMOTION_S)
    if (!state.hasConnectionShare())
      return refusal('UNAVAILABLE', 'this node holds no share of the connections', true, RETRY_AFTER_PROMOTION_S)
    if (call.gone.fired()) return refusal('ABORTED', 'the requester went away', false)
    return undefined
  }
  function breakerStep(call: Call): Turn {
    if (call.probe) return undefined
    const { breaker } = toolsOf(call.lane.group)
    if (!breaker.allows())
      return refusal('UNAVAILABLE', `the breaker of group ${call.lane.group} is open`, true, RETRY_AFTER_BREAKER_S)
    call.probe = breaker.probing()
    return undefined
  }
  // A promotion under way has an end: those who come near it are served late rather than not at all.
  function holdOf(call: Call): number {
    const phase = state.group(call.lane.group)?.record.phase
    return phase !== undefined && phase !== 'steady' ? Math.max(call.hold, call.moveHold) : call.hold
  }
  // Waits for news of the group, in slices, as news may come from three sides.
  async function waitNews(call: Call): Promise<void> {
    call.waited = true
    const wake = makeFlag()
    const unwatch = call.gone.watch(wake.fire)
    const left = Math.max(1, Math.min(call.deadline - world.now(), holdOf(call) - world.now(), 250))
    void state.changed.wait(world, left, wake).then(wake.fire)
    void watch.doubtCleared.wait(world, left, wake).then(wake.fire)
    await wake.wait()
    unwatch()
  }
  async function aim(call: Call, step: Extract<Step, { op: 'aim' }>): Promise<Turn> {
    let waited = false
    kept(call)
    for (;;) {
      if (call.gone.fired()) return refusal('ABORTED', 'the requester went away', false)
      if (isOld(call)) return heed(call)
      if (world.now() >= call.deadline) return exhausted(call)
      const known = state.group(call.lane.group)
      if (step.at === 'fresh' && !call.mustLead && !isForOtherGroup(call.token, call.lane.group) && known) {
        const got = targets.followerFor(call, known, step)
        if (got) {
          call.target = got
          break
        }
      }
      const lead = targets.leaderFor(call)
      if (lead) {
        call.target = { ...lead, floor: undefined }
        break
      }
      if (!state.hasValidLease() || !state.hasConnectionShare()) return unavailable(call, 'this node lost its term', RETRY_AFTER_PROMOTION_S)
      // A call that only waits is told now, so that its requester can go elsewhere.
      if (stopping()) return unavailable(call, 'this node is stopping', RETRY_AFTER_OVERLOAD_S)
      if (world.now() >= holdOf(call))
        return unavailable(
          call,
          call.last?.why ?? `the group ${call.lane.group} has no leader to send to`,
          RETRY_AFTER_PROMOTION_S,
        )
      // No leader to send to: a promotion is under way, or the leader is in doubt. Waiting is no send.
      waited = true
      await waitNews(call)
    }
    if (waited) {
      // All who waited wake at once; they spread out, so that the leader isn't hit by all together.
      await pause(
        world,
        Math.min(
          world.random() * WAKE_UP_JITTER_MS,
          Math.max(0, call.deadline - world.now()),
          Math.max(0, call.hold - world.now()),
        ),
        call.gone,
      )
      if (call.target && call.target.floor === undefined && !stands(call.lane.group, call.target.epoch)) return 'aim'
    }
    return undefined
  }
  // free: ms that the call waits for a connection that others have; dial: ms that opening one may take. Neither counts the
  // time that it waited for a leader, so that a dial cut short by that is not taken for an instance's silence.
  function waits(call: Call): { free: number; dial: number } {
    const left = Math.max(1, call.deadline - world.now())
    const { targetLatencyMs: aim } = call.lane
    if (aim === undefined) return { free: Math.min(CHECK_OUT_TIMEOUT_MS, left), dial: Math.min(DIAL_TIMEOUT_MS, left) }
    return {
      free: Math.min(left, aim * QUEUE_TIMEOUT_SHARE),
      dial: Math.min(DIAL_TIMEOUT_MS, left, Math.max(MIN_DIAL_TIMEOUT_MS, aim * ATTEMPT_TIMEOUT_SHARE)),
    }
  }
  async function borrow(call: Call): Promise<Turn> {
    const { instance } = call.target!
    const config = state.config()
    const { group } = call.lane
    const limit = config ? usableConnectionsPerProxy(config, group, state.live()) : 0
    const closesAfterUse = config !== undefined && isShareBelowOne(config, group, state.live())
    instance.callsInFlight++
    const asked = world.now()
    const got = await pool.checkOut(instance, limit, { ...call.requirements, closesAfterUse }, waits(call), call.gone)
    instance.callsInFlight--
    if (got.ok) {
      call.loan = got.val
      return undefined
    }
    call.last = got.val
    if (got.val.transient) {
      if (got.val.full !== true) watch.failed(instance.name, asked, got.val.reach === 'answered', false)
      return await again(call)
    }
    const after = got.val.class === 'RESOURCE_EXHAUSTED' ? RETRY_AFTER_OVERLOAD_S : undefined
    return refusal(got.val.class, got.val.why, after !== undefined, after)
  }
  async function send(call: Call): Promise<Turn> {
    const { instance, epoch, floor } = call.target!
    const loan = call.loan!
    // The last look before anything goes out, with no wait between it and the send.
    const writes = call.kind === 'write' || call.kind === 'begin write'
    const begins = call.kind === 'begin read' || call.kind === 'begin write'
    const old = isOld(call)
    // Aimed before a drain began, and since then waiting: a transaction too would be open after this node told that none is.
    if (
      old ||
      (floor === undefined && !stands(call.lane.group, epoch)) ||
      ((writes || begins) && state.group(call.lane.group)?.record.phase !== 'steady') ||
      !quota.sent(call)
    ) {
      loan.end(true)
      delete call.loan
      return old ? heed(call) : 'aim'
    }
    const { tokens } = toolsOf(call.lane.group)
    if (call.sends === 0) tokens.first()
    call.sends++
    metrics.add('claynotch_retry_attempt_total', [
      ['group', call.lane.group],
      ['send', String(call.sends)],
    ])
    const left = Math.max(1, Math.min(ATTEMPT_TIMEOUT_MS, call.deadline - world.now()))
    const limit =
      call.lane.targetLatencyMs !== undefined && !isWrite(call) && call.sends < sendsOf(call)
        ? Math.min(left, call.lane.targetLatencyMs * ATTEMPT_TIMEOUT_SHARE)
        : left
    call.sentAt = world.now()
    instance.callsInFlight++
    const { group, name } = call.lane
    if (writes) holdWrite(group, name, 1)
    if (begins) begun.add(call)
    const sent = {
      ...(call.body.id !== undefined ? { id: call.body.id } : {}),
      ...(floor !== undefined && !edge.sampler ? { after: floor } : {}),
    }
    if (call.kind === 'begin read' || call.kind === 'begin write')
      call.got = await loan.instanceConnection.begin(call.kind === 'begin read' ? 'read' : 'write', limit, sent)
    else {
      const text = call.body.text
      call.got = await loan.instanceConnection.statement(
        {
          ...(text !== undefined ? { text } : { shape: loan.shapeId(call.requirements.shapes.get(call.body.shape!)!) }),
          args: call.body.args,
          mode: call.kind === 'write' ? 'write' : 'read',
          ...sent,
        },
        limit,
      )
    }
    if (writes) holdWrite(group, name, -1)
    instance.callsInFlight--
    return undefined
  }
  async function judge(call: Call): Promise<Turn> {
    const { instance, epoch, floor } = call.target!
    const got = call.got!
    const loan = call.loan!
    const group = call.lane.group
    const { breaker, alert } = toolsOf(group)
    const lead = floor === undefined
    if (got.ok) {
      const { mark, rows, stamp } = got.val
      watch.recordAnswer(instance.name, call.sentAt, mark, lead ? epoch : undefined)
      const counted = !isWrite(call) || state.canAcknowledgeWrite(call.lane.name, group, call.sentAt)
      const good = lead
        ? stands(group, epoch) && (!edge.exact || mark.epoch === epoch) && counted
        : isFresh(mark, floor, edge.exact)
      if (good) {
        breaker.record(true, call.probe)
        if (call.sends > 1 || call.waited) {
          metrics.add('claynotch_retry_success_on_attempt', [['send', String(call.sends)]])
          alert.note(false)
        }
        if (isWrite(call)) sawWrite(group, mark)
        if (call.kind === 'read')
          metrics.add('claynotch_reads_total', [
            ['instance', instance.name],
            ['area', instance.area === state.area() ? 'own' : 'other'],
            ['role', lead ? 'leader' : 'follower'],
          ])
        if (call.kind === 'read' || call.kind === 'write') {
          loan.end(true)
          delete call.loan
        }
        return { outcome: 'done', rows, ...(stamp !== undefined ? { stamp } : {}) }
      }
      // It ran, but under a record that no longer stands (or on a follower that fell back).
      loan.end(call.kind === 'read' || call.kind === 'write')
      delete call.loan
      call.ran = 'maybe'
      if (isWrite(call))
        return unknown('the answer came after the leader had been replaced, the lane moved, or the term had ended')
      call.last = {
        reach: 'maybe',
        class: 'UNAVAILABLE',
        transient: true,
        why: 'the answer came under a record that no longer stands',
      }
      return await again(call)
    }
    const trouble = got.val
    call.last = trouble
    metrics.add('claynotch_error_classification_total', [
      ['class', trouble.class],
      ['retryable', trouble.transient ? 'yes' : 'no'],
    ])
    if (trouble.reach === 'maybe') call.ran = 'maybe'
    else if (trouble.lags && floor !== undefined) return behind(call, instance, loan)
    loan.end(trouble.reach === 'answered' && (call.kind === 'read' || call.kind === 'write'))
    delete call.loan
    if (trouble.transient) {
      // One that says it doesn't lead lives, and yet fails as a leader.
      watch.failed(
        instance.name,
        call.sentAt,
        trouble.reach === 'answered' && trouble.lead !== false,
        trouble.lead === false,
      )
      // A known promotion is no reason to open the breaker: it has its own end.
      if (!state.moving(group)) breaker.record(false, call.probe)
      if (trouble.reach === 'maybe' && isWrite(call)) return unknown(trouble.why)
      return await again(call)
    }
    breaker.record(true, call.probe)
    if (trouble.class === 'UNKNOWN' && isWrite(call)) return unknown(trouble.why)
    const after = trouble.class === 'RESOURCE_EXHAUSTED' ? RETRY_AFTER_OVERLOAD_S : undefined
    if (call.ran !== 'no' && isWrite(call)) return unknown(trouble.why)
    return refusal(trouble.class, trouble.why, after !== undefined, after)
  }
  // A follower that lacks the place has run nothing and is not in trouble; another, or the leader, is asked at once.
  function behind(call: Call, instance: Instance, loan: CheckedOutConnection): Turn {
    metrics.add('claynotch_reads_behind_total', [['instance', instance.name]])
    call.behind.add(instance.name)
    call.sends--
    loan.end(call.kind === 'read')
    delete call.loan
    return 'aim'
  }
  function unknown(why: string): Verdict {
    metrics.add('claynotch_unknown_total')
    return { outcome: 'unknown', class: 'UNKNOWN', kept: 'unknown', again: false, why }
  }
  // Whether a further send is allowed; sleeps before it, cut short when the caller goes.
  async function again(call: Call): Promise<Turn> {
    if (call.sends >= sendsOf(call)) return exhausted(call)
    const { tokens } = toolsOf(call.lane.group)
    if (call.sends > 0 && !tokens.spend()) {
      metrics.add('claynotch_retry_tokens_out_total', [['group', call.lane.group]])
      return unavailable(call, `the group's retries are used up: ${call.last?.why ?? ''}`, RETRY_AFTER_OVERLOAD_S)
    }
    const wait = backoffDelayMs(
      world,
      Math.max(0, call.sends - 1),
      call.lane.targetLatencyMs === undefined ? BACKOFF_BASE_MS : Math.min(BACKOFF_BASE_MS, call.lane.targetLatencyMs * BACKOFF_SHARE),
    )
    // A sleep that would outlast the deadline is not slept: the final answer goes out at once.
    if (world.now() + wait >= call.deadline) return exhausted(call)
    await pause(world, wait, call.gone)
    return 'aim'
  }

  // --- the interpreter ---

  async function run(call: Call): Promise<CallResult> {
    const from = world.now()
    let at = 0
    let turn: Turn
    for (;;) {
      const program = call.lane.programs.get(call.kind)!
      const step: Step = program[at]
      switch (step.op) {
        case 'gate':
          turn = gate(call)
          break
        case 'take':
          turn = admission.admit(call, step.pending)
          break
        case 'breaker':
          turn = breakerStep(call)
          break
        case 'aim':
          turn = await aim(call, step)
          break
        case 'quota':
          turn = await quota.reserve(call)
          break
        case 'borrow':
          turn = await borrow(call)
          break
        case 'send':
          turn = await send(call)
          break
        case 'judge':
          turn = await judge(call)
          break
      }
      if (turn === undefined) at++
      else if (turn === 'aim') at = program.findIndex(isAim)
      else if (turn === 'start') at = 0
      else break
    }
    turn = honest(call, turn)
    admission.release(call)
    quota.release(call)
    if (call.probe && turn.outcome !== 'done') toolsOf(call.lane.group).breaker.record(false, true)
    metrics.add('claynotch_calls_total', [
      ['lane', call.lane.name],
      ['kind', call.kind],
      ['outcome', turn.outcome],
      ['class', turn.class ?? ''],
    ])
    metrics.add('claynotch_call_ms_total', [['lane', call.lane.name]], Math.round(world.now() - from))
    const out: CallResult = { verdict: turn }
    if (turn.outcome === 'done' && call.got?.ok) {
      out.position = call.got.val.mark
      out.epoch = call.target!.epoch
      out.instance = call.target!.instance.name
      if (call.loan) out.connection = call.loan
    } else {
      if (call.loan) call.loan.end(false)
      kept(call)
    }
    return out
  }
  function isAim(step: Step): boolean {
    return step.op === 'aim'
  }
  function groups(): Map<string, Tools> {
    return tools
  }
  function highsNow(): Map<string, LogPosition> {
    return highs
  }
  return {
    run,
    tools: toolsOf,
    retryControlsByGroup: groups,
    isEpochCurrent: stands,
    writesInFlight: writing,
    addWritesInFlight: holdWrite,
    beginsInFlight: opening,
    releaseBegin: kept,
    requiredPosition: targets.requiredPosition,
    lastWritePositions: highsNow,
    recordWritePosition: sawWrite,
    inFlightEnded: quiet,
    keyRefusals: keys,
  }
}
