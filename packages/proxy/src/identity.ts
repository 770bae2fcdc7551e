import type { LaneRules, Rules } from './rules.js'

/**
 * A client's identity by the rules in force. tenant: the tenant whose API key it sent; undefined if no key is required
 * and it sent no known one.
 */
export type Identity = { isAllowed: true; tenant: string | undefined } | { isAllowed: false }

/** Identifies a client of the lane; keyHash: hash of the API key that the client sent. */
export function identify(rules: Rules, lane: LaneRules, keyHash: string | undefined): Identity {
  if (!rules.tenants) return { isAllowed: true, tenant: undefined }
  const tenant = tenantOfKey(rules, keyHash)
  return tenant !== undefined || lane.isPublic ? { isAllowed: true, tenant } : { isAllowed: false }
}

/** The tenant that the key belongs to, whatever the lane. */
export function tenantOfKey(rules: Rules, keyHash: string | undefined): string | undefined {
  return keyHash === undefined ? undefined : rules.tenants?.get(keyHash)?.name
}
