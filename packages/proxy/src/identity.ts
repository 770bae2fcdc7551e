import type { LaneRules, Rules } from './rules.js'

/**
 * Who a client is by the rules in force. tenant: whose key it has; undefined where no key is asked for and it has none that is
 * known.
 */
export type Identity = { isAllowed: true; tenant: string | undefined } | { isAllowed: false }

/** keyHash: of the key that the client came with. */
export function identify(rules: Rules, lane: LaneRules, keyHash: string | undefined): Identity {
  if (!rules.tenants) return { isAllowed: true, tenant: undefined }
  const tenant = tenantOfKey(rules, keyHash)
  return tenant !== undefined || lane.isPublic ? { isAllowed: true, tenant } : { isAllowed: false }
}

/** The tenant that has the key, whatever the route. */
export function tenantOfKey(rules: Rules, keyHash: string | undefined): string | undefined {
  return keyHash === undefined ? undefined : rules.tenants?.get(keyHash)?.name
}
