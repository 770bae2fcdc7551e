import { CLOCK_DRIFT_LIMIT } from '@claynotch/base'

/**
 * Whether a lease has expired at every holder. Leases are durations: the holder counts one from before it requested it;
 * a node that waits for the expiry counts from after the commit that prevents a renewal, and waits longer by the limit
 * of the drift between the two clocks.
 */
export function hasExpired(elapsedMs: number, leaseMs: number): boolean {
  return elapsedMs > leaseMs * (1 + CLOCK_DRIFT_LIMIT)
}
