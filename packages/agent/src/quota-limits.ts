import { QUOTA_RESERVE_SHARE, QUOTA_WINDOW_MS } from '@claynotch/base'
import type { Config, Tenant } from '@claynotch/operator'

/**
 * What the operator permits above a tenant's limit. overshoot is a share of the limit; slack is a number of operations
 * in a window.
 */
export type QuotaTolerance = { overshoot: number; slack: number }

/** The share of the tolerance that is granted; the rest covers clock drift and the delay on the way to an instance. */
const TOLERANCE_SHARE = 0.8

/** The tenant's limit with the granted share of the tolerance; undefined: it has no configured rate. */
function limitOf({ rate, burst = 0 }: Tenant, { overshoot, slack }: QuotaTolerance): number | undefined {
  if (rate === undefined) return undefined
  const limitWithoutTolerance = (rate * QUOTA_WINDOW_MS) / 1000 + burst
  return Math.floor(limitWithoutTolerance * (1 + overshoot * TOLERANCE_SHARE) + slack * TOLERANCE_SHARE)
}

/**
 * The operations of each tenant that may run in any window; undefined: without a limit. A tenant that isn't configured
 * has 0.
 */
export function quotaLimits(config: Config, tolerance: QuotaTolerance): (tenant: string) => number | undefined {
  const byName = new Map<string, number | undefined>()
  for (const tenant of config.tenants ?? []) byName.set(tenant.name, limitOf(tenant, tolerance))
  function limitFor(tenant: string): number | undefined {
    return byName.has(tenant) ? byName.get(tenant) : 0
  }
  return limitFor
}

/** The part of a limit that is granted while the reserve is kept. */
export function withoutReserve(limit: number | undefined): number | undefined {
  return limit === undefined ? undefined : Math.floor(limit * (1 - QUOTA_RESERVE_SHARE))
}
