import { QUOTA_ANSWER_TIMEOUT_MS, QUOTA_SLOTS, readAs } from '@claynotch/base'
import type { Config, TenantStatus } from '@claynotch/operator'
import { QuotaUseAnswer, quotaSlotOf } from '@claynotch/register'
import type { QuotaDirectory } from './quota-directory.js'

// What operators read of tenants: their limits, who counts them, and what is out. No key, nor what stands for one.

export function makeTenantView(
  config: () => Config | undefined,
  directory: QuotaDirectory,
): () => Promise<TenantStatus[]> {
  /** What is out of each tenant of the slot, as its holder says. */
  async function usesOf(slot: number): Promise<Map<string, number>> {
    const holder = directory.holderOf(slot)
    const question = { t: 'quota-use', slot, term: holder?.term }
    const answer = readAs(QuotaUseAnswer, await holder?.link?.ask(question, QUOTA_ANSWER_TIMEOUT_MS))
    return new Map(answer.ok ? answer.val.uses : [])
  }
  async function tenants(): Promise<TenantStatus[]> {
    const asks: Promise<Map<string, number>>[] = []
    for (let slot = 0; slot < QUOTA_SLOTS; slot++) asks.push(usesOf(slot))
    const uses = await Promise.all(asks)
    const out: TenantStatus[] = []
    for (const { name, rate, burst } of config()?.tenants ?? []) {
      const slot = quotaSlotOf(name)
      const holder = directory.holderOf(slot)
      out.push({ name, rate, burst, slot, holder: holder?.node, term: holder?.term, out: uses[slot].get(name) })
    }
    return out
  }
  return tenants
}
