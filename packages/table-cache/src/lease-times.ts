import { CLOCK_DRIFT_LIMIT } from '@claynotch/base'

/**
 * Leases are lengths of time. Who holds one counts it from before it asked; who waits for its end counts from after the
 * commit that keeps it from being renewed, and longer by as much as the two clocks may run apart.
 */
export function hasExpired(elapsedMs: number, leaseMs: number): boolean {
  return elapsedMs > leaseMs * (1 + CLOCK_DRIFT_LIMIT)
}
