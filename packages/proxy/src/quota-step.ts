import {
  CHECK_OUT_TIMEOUT_MS,
  QUOTA_REQUEST_TIMEOUT_MS,
  QUOTA_WAIT_SHARE,
  readAs,
  RETRY_AFTER_PROMOTION_S,
  RETRY_AFTER_QUOTA_S,
  type Flag,
  type Metrics,
  type World,
} from '@claynotch/base'
import { makeAllowances, QuotaAnswer, type QuotaGrant, type QuotaQuestion } from '@claynotch/quota'
import { refusal, type Verdict } from '@claynotch/requester'
import type { Call } from './call.js'
import type { State } from './state.js'

/**
 * Applies the tenants' rate quotas to calls: each attempt of a single statement, or of the begin of a transaction, is
 * one operation. Only tenants with a configured rate are metered.
 *
 * Invariant: nothing of a metered tenant is sent without a reservation of that tenant, which is consumed synchronously
 * with the send.
 */
export type QuotaStep = {
  /** Reserves an operation for the call's next attempt; returns a verdict if there is none to be had. */
  reserve: (call: Call) => Promise<Verdict | undefined>
  /** Consumes the reservation; the call is to be sent synchronously after it. False: the call must not be sent. */
  consumeReservation: (call: Call) => boolean
  /** Cancels the call's reservation, if it has one: the call has ended, or now counts against another tenant. */
  release: (call: Call) => void
}

/** The tenant whose quota the call counts against; undefined: the call isn't metered. */
function meteredTenantOf(call: Call): string | undefined {
  const tenant = call.keyHash === undefined ? undefined : call.rules.tenants?.get(call.keyHash)
  return tenant?.rate === undefined ? undefined : tenant.name
}

/** Maximum time in ms that the call waits for an allowance. */
function allowanceWaitMs(call: Call, now: number): number {
  const maxWaitMs = Math.max(1, call.deadline - now) * QUOTA_WAIT_SHARE
  return Math.min(maxWaitMs, call.lane.targetLatencyMs ?? CHECK_OUT_TIMEOUT_MS)
}

export function makeQuotaStep(
  world: World,
  state: State,
  askAgent: (message: unknown, ms: number) => Promise<unknown>,
  processId: string,
  metrics: Metrics,
  stopped: Flag,
): QuotaStep {
  async function ask(question: QuotaQuestion): Promise<QuotaGrant[] | undefined> {
    const answer = readAs(QuotaAnswer, await askAgent(question, QUOTA_REQUEST_TIMEOUT_MS))
    return answer.ok ? answer.val.grants : undefined
  }
  function isActive(): boolean {
    for (const { rate } of state.rules()?.tenants?.values() ?? []) if (rate !== undefined) return true
    return false
  }
  const { hasValidLease: isLeased, leasedSince } = state
  const allowances = makeAllowances(world, { life: processId, isLeased, leasedSince, isActive, ask }, metrics, stopped)

  function release(call: Call): void {
    call.reservation?.cancel()
    delete call.reservation
  }
  async function reserve(call: Call): Promise<Verdict | undefined> {
    const tenant = meteredTenantOf(call)
    if (call.reservation && call.reservation.tenant !== tenant) release(call)
    if (tenant === undefined || call.reservation) return undefined
    call.reservation = await allowances.reserve(tenant, allowanceWaitMs(call, world.now()), call.callerGone)
    if (call.reservation) return undefined
    if (call.callerGone.fired()) return refusal('ABORTED', 'the requester went away', false)
    if (!state.hasValidLease())
      return refusal('UNAVAILABLE', 'this node holds no valid term', true, RETRY_AFTER_PROMOTION_S)
    return refusal('RESOURCE_EXHAUSTED', `the tenant ${tenant} is at its limit`, true, RETRY_AFTER_QUOTA_S)
  }
  function consumeReservation(call: Call): boolean {
    const tenant = meteredTenantOf(call)
    if (tenant === undefined) return true
    const { reservation } = call
    if (reservation?.tenant !== tenant) return false
    delete call.reservation
    return reservation.markSent()
  }
  return { reserve, consumeReservation: consumeReservation, release }
}
