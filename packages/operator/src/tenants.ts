import { createHash } from 'node:crypto'
import * as t from 'io-ts'
import { Name, type Finding } from '@claynotch/base'

// Tenants: who may use the routes, told apart by their keys, and how much each may ask of the whole fleet.

function isKeyHash(x: unknown): x is string {
  return typeof x === 'string' && /^[0-9a-f]{64}$/.test(x)
}
function checkKeyHash(x: unknown, context: t.Context): t.Validation<string> {
  return isKeyHash(x) ? t.success(x) : t.failure(x === undefined ? x : 'hidden', context)
}
/** The SHA-256 of a key, in hex. The key itself is kept nowhere but in the operator's own document (label). */
export const KeyHash = new t.Type<string, string, unknown>('a SHA-256 in hex', isKeyHash, checkKeyHash, t.identity)

function isRate(x: unknown): x is number {
  return typeof x === 'number' && Number.isFinite(x) && x >= 0
}
function checkRate(x: unknown, context: t.Context): t.Validation<number> {
  return isRate(x) ? t.success(x) : t.failure(x, context)
}
const Rate = new t.Type<number, number, unknown>('a number from 0', isRate, checkRate, t.identity)

/**
 * rate: operations a second that the whole fleet runs for the tenant; burst: how many more at one time. Without a rate there is no
 * limit. label: the operator's own words on it, kept as they are, given back and read by nobody.
 */
export const Tenant = t.intersection([
  t.type({ name: Name, keys: t.array(KeyHash) }),
  t.partial({ rate: Rate, burst: Rate, label: t.unknown }),
])
export type Tenant = t.TypeOf<typeof Tenant>

/**
 * A tenant as GET /tenants tells it. slot, holder, term: who counts its operations. out: what all proxies together may run in one
 * window, as far as the holder knows; undefined: it didn't answer.
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

/** What stands for a key wherever it is compared. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

/** Keys that two tenants have, with the place of both. */
export function findSharedKeys(tenants: Tenant[]): Finding[] {
  const placeOf = new Map<string, { tenant: string; place: string }>()
  const out: Finding[] = []
  for (const [k, tenant] of tenants.entries()) {
    for (const [n, key] of tenant.keys.entries()) {
      const place = `/tenants/${k}/keys/${n}`
      const other = placeOf.get(key)
      if (!other) placeOf.set(key, { tenant: tenant.name, place })
      else if (other.tenant !== tenant.name)
        out.push({ place, what: `the tenant ${other.tenant} has this key too (${other.place})` })
    }
  }
  return out
}

/** Which tenant holds each key, by the key's hash; undefined: the configuration has no tenants, and no key is asked for. */
export function tenantsByKey(tenants: Tenant[] | undefined): Map<string, Tenant> | undefined {
  if (!tenants) return undefined
  const out = new Map<string, Tenant>()
  for (const tenant of tenants) for (const key of tenant.keys) out.set(key, tenant)
  return out
}

/** Without the labels, which hold the keys in plain text. */
export function withoutLabels(tenants: Tenant[] = []): Tenant[] {
  return tenants.map(withoutLabel)
}
function withoutLabel({ label: _label, ...tenant }: Tenant): Tenant {
  return tenant
}
