import * as t from 'io-ts'
import { QuotaGrant } from '@claynotch/quota'
import { mixedHashOf, QUOTA_SLOTS } from '@claynotch/base'

// Who counts what tenants use: tenants are spread over slots, and each slot has one holder (docs/design/quotas.md).

/**
 * The body of the register 'quota/<slot>'. holder, life: the node that counts, and its agent's life; '' where the last holder gave the
 * slot up. term: fencing token of the holder. reserve: the part of each limit that a new holder may grant at once, while it doesn't
 * know yet what its predecessor granted.
 * Invariants: each claim raises the term by one; a claim is made only where the holder named before holds no lease any more; while the
 * reserve is kept, all that may run by what any holder granted is within the limits less the reserve.
 */
export const QuotaHolder = t.type({
  holder: t.string,
  life: t.string,
  term: t.number,
  reserve: t.union([t.literal('kept'), t.literal('lent')]),
})
export type QuotaHolder = t.TypeOf<typeof QuotaHolder>

/** An operator wants to know what is out of each tenant of the slot. term: of the register that names the holder. */
export const QuotaUseQuestion = t.type({ t: t.literal('quota-use'), slot: t.number, term: t.number })
export type QuotaUseQuestion = t.TypeOf<typeof QuotaUseQuestion>
/** [tenant, operations that all proxies together may run in one window, as far as the holder knows] */
export const QuotaUseAnswer = t.type({ ok: t.literal(true), uses: t.array(QuotaGrant) })
export type QuotaUseAnswer = t.TypeOf<typeof QuotaUseAnswer>

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
