import { createHash } from 'node:crypto'
import * as t from 'io-ts'
import { Name, type Finding } from '@claynotch/base'

// Tenants: who may use the routes, identified by their keys, and the request rate that each may use in the whole fleet.

function isKeyHash(value: unknown): value is string {
  return typeof value === 'string' && /^[0-9a-f]{64}$/.test(value)
}
function checkKeyHash(value: unknown, context: t.Context): t.Validation<string> {
  return isKeyHash(value) ? t.success(value) : t.failure(value === undefined ? value : 'hidden', context)
}
/** The SHA-256 of a key, in hex. The key itself is stored only in the operator's own annotation (`label`). */
export const KeyHash = new t.Type<string, string, unknown>('a SHA-256 in hex', isKeyHash, checkKeyHash, t.identity)

function isRate(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}
function checkRate(value: unknown, context: t.Context): t.Validation<number> {
  return isRate(value) ? t.success(value) : t.failure(value, context)
}
const Rate = new t.Type<number, number, unknown>('a number from 0', isRate, checkRate, t.identity)

/**
 * A tenant. `rate`: operations per second that the whole fleet runs for it; no limit without a rate. `burst`: how many
 * more it may run at one time. `label`: the operator's own annotation, stored and returned as it is and not
 * interpreted.
 */
export const Tenant = t.intersection([
  t.type({ name: Name, keys: t.array(KeyHash) }),
  t.partial({ rate: Rate, burst: Rate, label: t.unknown }),
])
export type Tenant = t.TypeOf<typeof Tenant>

/**
 * A tenant as GET /tenants shows it. `slot`, `holder`, `term`: the quota slot, its current holder, which counts the
 * tenant's operations, and the holder's term. `out`: operations that all proxies together may run in one window, as far
 * as the holder knows; undefined if it didn't answer.
 */
export type TenantStatus = {
  name: string
  rate: number | undefined
  burst: number | undefined
  slot: number
  holder: string | undefined
  term: number | undefined
  out: number | undefined
}

/** The hash of a key, used instead of the key in all comparisons. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

/** Findings for keys that two tenants share, with both places. */
export function findSharedKeys(tenants: Tenant[]): Finding[] {
  const firstUseByKey = new Map<string, { tenant: string; place: string }>()
  const findings: Finding[] = []
  for (const [tenantIndex, tenant] of tenants.entries()) {
    for (const [keyIndex, key] of tenant.keys.entries()) {
      const place = `/tenants/${tenantIndex}/keys/${keyIndex}`
      const firstUse = firstUseByKey.get(key)
      if (!firstUse) firstUseByKey.set(key, { tenant: tenant.name, place })
      else if (firstUse.tenant !== tenant.name)
        findings.push({ place, what: `the tenant ${firstUse.tenant} has this key too (${firstUse.place})` })
    }
  }
  return findings
}

/** Tenants by the hashes of their keys. Undefined if the configuration has no tenants, so that no key is needed. */
export function tenantsByKey(tenants: Tenant[] | undefined): Map<string, Tenant> | undefined {
  if (!tenants) return undefined
  const tenantByKey = new Map<string, Tenant>()
  for (const tenant of tenants) for (const key of tenant.keys) tenantByKey.set(key, tenant)
  return tenantByKey
}

/** The tenants without their labels, which contain the keys in plain text. */
export function withoutLabels(tenants: Tenant[] = []): Tenant[] {
  return tenants.map(withoutLabel)
}
function withoutLabel({ label: _label, ...tenant }: Tenant): Tenant {
  return tenant
}
