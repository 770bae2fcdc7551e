import * as t from 'io-ts'
import { mixedHashOf, QUOTA_SLOTS } from '@claynotch/base'

// Who counts what tenants use: tenants are spread over slots, and each slot has one holder (docs/design/quotas.md).

/**
 * The body of the register 'quota/<slot>'. holder, life: the node that counts, and its agent's life; '' where the last holder gave the
 * slot up. term: fencing token of the holder.
 * Invariants: each claim raises the term by one; a claim is made only where the holder named before holds no lease any more.
 */
export const QuotaHolder = t.type({ holder: t.string, life: t.string, term: t.number })
export type QuotaHolder = t.TypeOf<typeof QuotaHolder>

const PREFIX = 'quota/'
export function quotaKey(slot: number): string {
  return `${PREFIX}${slot}`
}
export function isQuotaKey(key: string): boolean {
  return key.startsWith(PREFIX)
}
export function quotaSlotOf(tenant: string): number {
  return mixedHashOf(tenant) % QUOTA_SLOTS
}
