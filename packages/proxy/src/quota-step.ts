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
 * The tenants' limits on the way of a call: a single statement, or the beginning of a transaction, is one operation each time that
 * it is sent. Only tenants with a rate are counted.
 *
 * Invariant: nothing of such a tenant is sent but with a reservation of that tenant, which is used up in the same turn.
 */
export type QuotaStep = {
  /** Reserves the call's next send; a verdict: its tenant is at its limit. */
  reserve: (call: Call) => Promise<Verdict | undefined>
  /** The call goes out in this turn; false: it must not. */
  sent: (call: Call) => boolean
  /** The call is over, or begins anew. */
  release: (call: Call) => void
}

/** Whose limit the call counts against. */
function meteredTenantOf(call: Call): string | undefined {
  const tenant = call.keyHash === undefined ? undefined : call.rules.tenants?.get(call.keyHash)
  return tenant?.rate === undefined ? undefined : tenant.name
}

/** ms that the call waits for an allowance. */
function waitOf(call: Call, now: number): number {
  const most = Math.max(1, call.deadline - now) * QUOTA_WAIT_SHARE
  return Math.min(most, call.lane.targetLatencyMs ?? CHECK_OUT_TIMEOUT_MS)
}

export function makeQuotaStep(
  world: World,
  state: State,
  askAgent: (message: unknown, ms: number) => Promise<unknown>,
  life: string,
  metrics: Metrics,
  stop: Flag,
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
  const allowances = makeAllowances(world, { life, isLeased, leasedSince, isActive, ask }, metrics, stop)

  function release(call: Call): void {
    call.reservation?.cancel()
    delete call.reservation
  }
  async function reserve(call: Call): Promise<Verdict | undefined> {
    const tenant = meteredTenantOf(call)
    if (call.reservation && call.reservation.tenant !== tenant) release(call)
    if (tenant === undefined || call.reservation) return undefined
    call.reservation = await allowances.reserve(tenant, waitOf(call, world.now()), call.gone)
    if (call.reservation) return undefined
    if (call.gone.fired()) return refusal('ABORTED', 'the requester went away', false)
    if (!state.hasValidLease()) return refusal('UNAVAILABLE', 'this node holds no valid term', true, RETRY_AFTER_PROMOTION_S)
    return refusal('RESOURCE_EXHAUSTED', `the tenant ${tenant} is at its limit`, true, RETRY_AFTER_QUOTA_S)
  }
  function sent(call: Call): boolean {
    const tenant = meteredTenantOf(call)
    if (tenant === undefined) return true
    const { reservation } = call
    if (reservation?.tenant !== tenant) return false
    delete call.reservation
    return reservation.sent()
  }
  return { reserve, sent, release }
}
