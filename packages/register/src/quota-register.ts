import * as t from 'io-ts'
import { QuotaGrant } from '@claynotch/quota'
import { mixedHashOf, QUOTA_SLOTS } from '@claynotch/base'

// Assignment of quota accounting: tenants are hashed to slots, and each slot has one holder (docs/design/quotas.md).

/**
 * Body of the register 'quota/<slot>'. holder, life: the node that counts, and the life of its agent; '' if the last
 * holder released the slot. term: fencing token of the holder. reserve: the part of each limit that a new holder may
 * grant at once, before it knows what its predecessor granted.
 *
 * Invariants: each claim raises the term by one; a slot is claimed only if the previous holder has no lease any more;
 * while the reserve is kept, all operations that may run under the grants of any holder are within the limits minus the
 * reserve.
 */
export const QuotaHolder = t.type({
  holder: t.string,
  life: t.string,
  term: t.number,
  reserve: t.union([t.literal('kept'), t.literal('lent')]),
})
export type QuotaHolder = t.TypeOf<typeof QuotaHolder>

/** Operator query for the outstanding grants of each tenant of the slot. term: that of the holder in the register. */
export const QuotaUseQuestion = t.type({ t: t.literal('quota-use'), slot: t.number, term: t.number })
export type QuotaUseQuestion = t.TypeOf<typeof QuotaUseQuestion>
/** uses: [tenant, operations that all proxies together may run in one window, as far as the holder knows]. */
export const QuotaUseAnswer = t.type({ ok: t.literal(true), uses: t.array(QuotaGrant) })
export type QuotaUseAnswer = t.TypeOf<typeof QuotaUseAnswer>

const KEY_PREFIX = 'quota/'
/** Key of the register of a slot. */
export function quotaKey(slot: number): string {
  return `${KEY_PREFIX}${slot}`
}
export function isQuotaKey(key: string): boolean {
  return key.startsWith(KEY_PREFIX)
}
/** The slot of a tenant. */
export function quotaSlotOf(tenant: string): number {
  return mixedHashOf(tenant) % QUOTA_SLOTS
}
