import * as t from 'io-ts'

// What proxies, agents and holders say to each other of tenants' allowances; docs/design/quotas.md has the protocol.

/**
 * One tenant at one proxy. held: operations that it may run in any window by what it was granted. used: those that are reserved or
 * were sent within the last window. wanted: those that it was asked for within the last window, refused ones among them.
 * waiting: those that wait for the answer.
 */
export const QuotaLine = t.tuple([t.string, t.number, t.number, t.number, t.number])
export type QuotaLine = t.TypeOf<typeof QuotaLine>

/** [tenant, operations that the proxy may run in any window from now on] */
export const QuotaGrant = t.tuple([t.string, t.number])
export type QuotaGrant = t.TypeOf<typeof QuotaGrant>

/**
 * Names all that the proxy holds, uses or wants. life: of the proxy. askedAt: ms by the machine's clock, which its proxies and its
 * agent share: of two questions of a machine the later one counts, in whatever order they arrive.
 */
export const QuotaQuestion = t.type({
  t: t.literal('quota'),
  life: t.string,
  askedAt: t.number,
  lines: t.array(QuotaLine),
})
export type QuotaQuestion = t.TypeOf<typeof QuotaQuestion>

/** A tenant that isn't named keeps what it has. */
export const QuotaAnswer = t.type({ ok: t.literal(true), grants: t.array(QuotaGrant) })
export type QuotaAnswer = t.TypeOf<typeof QuotaAnswer>

/** The same to a holder, life and askedAt as the proxy told them. term: of the register that names it, as the asker knows it. */
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
