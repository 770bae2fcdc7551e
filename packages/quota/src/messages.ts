import * as t from 'io-ts'

/**
 * The messages by which proxies, agents and quota holders exchange tenants' allowances. The protocol is described in
 * docs/design/quotas.md.
 */

/**
 * [tenant, held, used, wanted, waiting]: one tenant at one proxy.
 * - held: operations that it may run in any window by its last grant.
 * - used: operations that are reserved or were sent within the last window.
 * - wanted: operations that clients requested within the last window, including refused ones.
 * - waiting: operations that wait for the answer.
 */
export const QuotaLine = t.tuple([t.string, t.number, t.number, t.number, t.number])
export type QuotaLine = t.TypeOf<typeof QuotaLine>

/** [tenant, allowance]: the operations that the proxy may run in any window from now on. */
export const QuotaGrant = t.tuple([t.string, t.number])
export type QuotaGrant = t.TypeOf<typeof QuotaGrant>

/**
 * A proxy's question to its agent. It has a line for each tenant of which the proxy holds, uses or wants anything.
 * life identifies the process incarnation of the proxy. askedAt is the time (ms) of the machine's clock, which its
 * proxies and its agent share: of two questions of a machine the later one counts, in whatever order they arrive.
 */
export const QuotaQuestion = t.type({
  t: t.literal('quota'),
  life: t.string,
  askedAt: t.number,
  lines: t.array(QuotaLine),
})
export type QuotaQuestion = t.TypeOf<typeof QuotaQuestion>

/** A tenant without a grant keeps what it has. */
export const QuotaAnswer = t.type({ ok: t.literal(true), grants: t.array(QuotaGrant) })
export type QuotaAnswer = t.TypeOf<typeof QuotaAnswer>

/**
 * An agent's question to the holder of a slot, with life and askedAt of the proxy's question. term is that of the
 * register that names the holder, as known by the agent.
 */
export const HolderQuestion = t.type({
  t: t.literal('quota'),
  slot: t.number,
  term: t.number,
  node: t.string,
  life: t.string,
  askedAt: t.number,
  lines: t.array(QuotaLine),
})
export type HolderQuestion = t.TypeOf<typeof HolderQuestion>
