import { QUOTA_RESERVE_SHARE, QUOTA_WINDOW_MS } from '@claynotch/base'
import type { Config, Tenant } from '@claynotch/operator'

/** What more than a tenant's limit may run by the operator's word. overshoot: share of the limit; slack: operations in a window. */
export type QuotaTolerance = { overshoot: number; slack: number }

/** ratio. Of what is tolerated; the rest is for clocks that run apart and for the way to an instance. */
const USED_SHARE = 0.8

function limitOf({ rate, burst = 0 }: Tenant, { overshoot, slack }: QuotaTolerance): number | undefined {
  if (rate === undefined) return undefined
  const plain = (rate * QUOTA_WINDOW_MS) / 1000 + burst
  return Math.floor(plain * (1 + overshoot * USED_SHARE) + slack * USED_SHARE)
}

/** How many operations of each tenant may run in any window; undefined: as many as it likes. One that isn't configured has none. */
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
