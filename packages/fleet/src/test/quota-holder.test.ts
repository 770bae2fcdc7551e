import t, { type Test } from 'tap'
import type { Tenant } from '@claynotch/operator'
import { quotaSlotOf } from '@claynotch/register'
import { limitOf, makeQuotaFleet, type QuotaFleet } from './quota-fleet.js'

t.setTimeout(600000)

// Who counts tenants' quotas, and what happens when it goes: docs/design/quotas.md.

/** One tenant of each slot: 'hot0' is of slot 0. */
function tenantNames(): string[] {
  const out = new Map<number, string>()
  for (let k = 0; out.size < 4; k++) if (!out.has(quotaSlotOf(`hot${k}`))) out.set(quotaSlotOf(`hot${k}`), `hot${k}`)
  const names: string[] = []
  for (let slot = 0; slot < 4; slot++) names.push(out.get(slot) ?? '')
  return names
}
const NAMES = tenantNames()
/** A few operations a second, all of which are to be served. */
const CALM = 'calm'

function tenants(rate = 12, burst = 20): Tenant[] {
  const out: Tenant[] = [{ name: CALM, keys: [], rate: 40, burst: 40 }]
  for (const name of NAMES) out.push({ name, keys: [], rate, burst })
  return out
}

async function begin(seed: number, fronts = 6): Promise<QuotaFleet> {
  const fleet = makeQuotaFleet(seed, { cores: 5, fronts })
  await fleet.wait(4000)
  await fleet.configure(tenants())
  for (const { demand } of fleet.fronts) {
    demand.set(CALM, 1.5)
    for (const name of NAMES) demand.set(name, 8)
  }
  await fleet.wait(12000)
  return fleet
}

async function calm(c: Test): Promise<void> {
  const fleet = await begin(1)
  await fleet.wait(20000)
  const now = fleet.sim.now()
  for (const one of tenants()) {
    const served = fleet.countSent(one.name, now - 10000, now)
    c.comment(`${one.name}: most ${fleet.most(one.name)} of ${limitOf(one)}, ${served} in the last 10 s`)
  }
  c.strictSame(fleet.faults, [])
  for (const line of fleet.sim.lines) if (line.includes('quota-')) c.comment(line)
  const kinds = new Map<string, number>()
  for (const { node, slot, isOk } of fleet.answers) {
    const key = `${node} ${slot} ${isOk}`
    kinds.set(key, (kinds.get(key) ?? 0) + 1)
  }
  for (const [key, count] of kinds) c.comment(`${key} ${count}`)
}
void t.test('calm', calm)
