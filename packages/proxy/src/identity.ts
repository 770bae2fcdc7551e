import { RETRY_AFTER_PROMOTION_S } from '@claynotch/base'
import { refusal, type Verdict } from '@claynotch/requester'
import type { LaneRules, Rules } from './rules.js'
import type { State } from './state.js'

/**
 * Who a client is by the rules in force. tenant: whose key it has; undefined where no key is asked for and it has none that is
 * known.
 */
export type Identity = { isAllowed: true; tenant: string | undefined } | { isAllowed: false }

/** keyHash: of the key that the client came with. */
export function identify(rules: Rules, lane: LaneRules, keyHash: string | undefined): Identity {
  if (!rules.tenants) return { isAllowed: true, tenant: undefined }
  const tenant = keyHash === undefined ? undefined : rules.tenants.get(keyHash)
  return tenant || lane.isPublic ? { isAllowed: true, tenant: tenant?.name } : { isAllowed: false }
}

/** What a client is told whose key isn't known: under a valid lease alone, as without one the key may have been added since. */
export function denial(state: State): Verdict {
  if (!state.valid()) return refusal('UNAVAILABLE', 'this node holds no valid lease', true, RETRY_AFTER_PROMOTION_S)
  return refusal('PERMISSION_DENIED', 'the key is unknown', false)
}
