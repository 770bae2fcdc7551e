import { QUOTA_ANSWER_TIMEOUT_MS, QUOTA_SLOTS, readAs } from '@claynotch/base'
import type { Config, TenantStatus } from '@claynotch/operator'
import { QuotaUseAnswer, quotaSlotOf } from '@claynotch/register'
import type { QuotaDirectory } from './quota-directory.js'

/**
 * The view of tenants for operators: their limits, the holders of their quota slots, and the outstanding operations. It
 * includes neither keys nor the hashes of keys.
 */
export function makeTenantView(
  config: () => Config | undefined,
  directory: QuotaDirectory,
): () => Promise<TenantStatus[]> {
  /** The outstanding operations of each tenant of the slot, as reported by its holder. */
  async function usesOf(slot: number): Promise<Map<string, number>> {
    const holder = directory.holderOf(slot)
    const question = { t: 'quota-use', slot, term: holder?.term }
    const answer = readAs(QuotaUseAnswer, await holder?.link?.ask(question, QUOTA_ANSWER_TIMEOUT_MS))
    return new Map(answer.ok ? answer.val.uses : [])
  }
  async function tenants(): Promise<TenantStatus[]> {
    const pendingUses: Promise<Map<string, number>>[] = []
    for (let slot = 0; slot < QUOTA_SLOTS; slot++) pendingUses.push(usesOf(slot))
    const uses = await Promise.all(pendingUses)
    const tenantLines: TenantStatus[] = []
    for (const { name, rate, burst } of config()?.tenants ?? []) {
      const slot = quotaSlotOf(name)
      const holder = directory.holderOf(slot)
      tenantLines.push({ name, rate, burst, slot, holder: holder?.node, term: holder?.term, out: uses[slot].get(name) })
    }
    return tenantLines
  }
  return tenants
}
