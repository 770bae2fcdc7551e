import { QUOTA_UNLIMITED } from '@claynotch/base'
import { shareOf, type Claim } from './allocation.js'
import type { QuotaGrant, QuotaLine } from './messages.js'

/**
 * The proxy that asks. life identifies its process incarnation; askedAt is a time (ms) of the node's clock.
 * knownSince is the time of the ledger's clock at which this incarnation became known here: that of its first
 * question by default.
 */
export type AskingProxy = { node: string; life: string; askedAt: number; knownSince?: number }

/**
 * What each proxy may run for each tenant, as far as one holder knows. It does no I/O and reads only the clock that
 * is passed to it.
 *
 * Invariant: for each tenant, the sum over proxies of max(held, used, granted), plus the residual usage, grows only
 * up to the limit. It exceeds the limit only after the limit was lowered, or by what proxies report that an earlier
 * holder granted, and then no answer adds to it.
 */
export type Ledger = {
  /**
   * Records everything that one proxy holds, used and wants, and returns what it may run in any window from now on. A
   * question that was asked before another one of the node that is already recorded is late: it changes nothing, and
   * the answer is empty.
   * - limitOf: operations of the whole fleet in one window; undefined: no limit.
   * - mayGrow: false while allowances of an earlier holder may not have been reported yet.
   * - reserveOf: operations of the tenant that may be granted even while mayGrow is false.
   */
  report: (
    proxy: AskingProxy,
    lines: QuotaLine[],
    limitOf: (tenant: string) => number | undefined,
    mayGrow: boolean,
    reserveOf?: (tenant: string) => number,
  ) => QuotaGrant[]
  /** Whether the proxies of some tenant together need more than limitOf gives for it. */
  needsMoreThan: (limitOf: (tenant: string) => number | undefined) => boolean
  /** Whether more operations of some tenant are outstanding than limitOf gives for it. */
  exceeds: (limitOf: (tenant: string) => number | undefined) => boolean
  /**
   * The node's lease has expired: what its proxy had counts as residual usage for one window, then it is free. seenAt
   * is the time at which the read of the members that showed it began; a node that was answered since then has a
   * lease again and keeps what it has.
   */
  gone: (node: string, seenAt?: number) => void
  /** Nodes whose proxy may hold something. */
  nodes: () => string[]
  /** The outstanding operations of the tenant: those that may run in one window by all that is known here. */
  outstanding: (tenant: string) => number
}

/** One tenant at one proxy, as of its last recorded question. */
type Account = Claim & { life: string; askedAt: number }
/** What a proxy may have run within the last window before it ended or its lease expired. It counts up to `until`. */
type ResidualUsage = { node: string; life: string; amount: number; until: number }
/**
 * One tenant. ceiling limits the outstanding operations while allowances may not grow: it is the sum of all that was
 * reported to this holder.
 */
type TenantState = { accounts: Map<string, Account>; residuals: ResidualUsage[]; ceiling: number }

/** The operations that the account counts for: the proxy may act on any of the three until it reports less. */
function chargeOf({ held, used, granted }: Account): number {
  return Math.max(held, used, granted)
}

function noReserve(): number {
  return 0
}

/** now returns a time in ms; windowMs is the length of the window in which operations are limited. */
export function makeLedger(now: () => number, windowMs: number): Ledger {
  const tenantStates = new Map<string, TenantState>()
  const proxies = new Map<string, { life: string; askedAt: number; answeredAt: number }>()
  /** Until then, a proxy that ended before its node became known to this holder may have operations in the window. */
  let growthAllowedAt = -Infinity
  let isTakingOver = false

  function stateOf(tenant: string): TenantState {
    let state = tenantStates.get(tenant)
    if (!state) {
      state = { accounts: new Map(), residuals: [], ceiling: 0 }
      tenantStates.set(tenant, state)
    }
    return state
  }
  function dropExpiredResiduals(state: TenantState): void {
    if (state.residuals.length === 0) return
    function isWithinWindow({ until }: ResidualUsage): boolean {
      return now() <= until
    }
    state.residuals = state.residuals.filter(isWithinWindow)
  }
  /** The residual usage of one proxy incarnation, the largest amount, as one meter counted all of it. */
  function residualOf(state: TenantState, node: string, life: string): number {
    let largest = 0
    for (const residual of state.residuals)
      if (residual.node === node && residual.life === life) largest = Math.max(largest, residual.amount)
    return largest
  }
  /** The residual usage of all proxy incarnations without an account; outstandingOf includes that of the others. */
  function residualWithoutAccount(state: TenantState): number {
    const byLife = new Map<string, number>()
    for (const { node, life, amount } of state.residuals) {
      if (state.accounts.get(node)?.life === life) continue
      const key = `${node} ${life}`
      byLife.set(key, Math.max(byLife.get(key) ?? 0, amount))
    }
    let sum = 0
    for (const amount of byLife.values()) sum += amount
    return sum
  }
  function outstandingOf(state: TenantState, node: string, account: Account): number {
    const charge = chargeOf(account)
    return state.residuals.length === 0 ? charge : Math.max(charge, residualOf(state, node, account.life))
  }
  function totalOutstanding(state: TenantState): number {
    dropExpiredResiduals(state)
    let sum = residualWithoutAccount(state)
    for (const [node, account] of state.accounts) sum += outstandingOf(state, node, account)
    return sum
  }
  /** Turns the accounts of a node's proxy into residual usage, which no other proxy gets for one window. */
  function convertToResidual(node: string): void {
    for (const state of tenantStates.values()) {
      const account = state.accounts.get(node)
      if (!account) continue
      state.accounts.delete(node)
      const amount = chargeOf(account)
      if (amount > 0) state.residuals.push({ node, life: account.life, amount, until: now() + windowMs })
    }
  }
  /** Records the proxy that asks; returns false if the question is late. */
  function recordProxy({ node, life, askedAt, knownSince = now() }: AskingProxy): boolean {
    const proxy = proxies.get(node)
    if (proxy && (askedAt < proxy.askedAt || (askedAt === proxy.askedAt && life !== proxy.life))) return false
    if (!proxy && isTakingOver) growthAllowedAt = Math.max(growthAllowedAt, knownSince + windowMs)
    if (proxy && proxy.life !== life) convertToResidual(node)
    proxies.set(node, { life, askedAt, answeredAt: now() })
    return true
  }
  /**
   * The proxy's share, as far as that much is free. It may be less than the proxy uses: then the proxy runs nothing
   * until enough of its operations have left the window, and is charged for what it holds until it reports less.
   */
  function allowanceFor(state: TenantState, node: string, account: Account, limit: number): number {
    const others: Claim[] = []
    const residual = residualWithoutAccount(state)
    let takenByOthers = residual
    for (const [otherNode, otherAccount] of state.accounts) {
      if (otherNode === node) continue
      others.push(otherAccount)
      takenByOthers += outstandingOf(state, otherNode, otherAccount)
    }
    const share = shareOf(account, others, limit - residual)
    const maxAllowance = Math.max(account.held, Math.floor(limit - takenByOthers))
    return Math.min(share, maxAllowance)
  }
  function applyLine(
    { node, life, askedAt }: AskingProxy,
    [tenant, held, used, wanted, waiting]: QuotaLine,
    limit: number | undefined,
    mayGrow: boolean,
    reserve: number,
  ): QuotaGrant | undefined {
    const state = stateOf(tenant)
    dropExpiredResiduals(state)
    const previous = state.accounts.get(node)
    if (previous && previous.askedAt >= askedAt) return undefined
    const isFirstReport = !previous && !mayGrow
    const outstandingBefore = isFirstReport ? totalOutstanding(state) : 0
    const need = Math.max(wanted, used)
    const account: Account = { life, askedAt, held, used, need, waiting, granted: 0 }
    state.accounts.set(node, account)
    if (limit === undefined) {
      account.granted = QUOTA_UNLIMITED
      return [tenant, QUOTA_UNLIMITED]
    }
    if (mayGrow) state.ceiling = limit
    else if (isFirstReport) state.ceiling += Math.max(0, totalOutstanding(state) - outstandingBefore)
    account.granted = allowanceFor(state, node, account, Math.min(limit, state.ceiling + (mayGrow ? 0 : reserve)))
    return [tenant, account.granted]
  }

  function report(
    proxy: AskingProxy,
    lines: QuotaLine[],
    limitOf: (tenant: string) => number | undefined,
    mayGrow: boolean,
    reserveOf: (tenant: string) => number = noReserve,
  ): QuotaGrant[] {
    isTakingOver = !mayGrow
    if (!recordProxy(proxy)) return []
    const isGrowing = mayGrow && now() >= growthAllowedAt
    const grants: QuotaGrant[] = []
    for (const line of lines) {
      const grant = applyLine(proxy, line, limitOf(line[0]), isGrowing, reserveOf(line[0]))
      if (grant) grants.push(grant)
    }
    return grants
  }
  function gone(node: string, seenAt = now()): void {
    const proxy = proxies.get(node)
    if (proxy && proxy.answeredAt > seenAt) return
    if (!proxy && isTakingOver) growthAllowedAt = now() + windowMs
    proxies.delete(node)
    convertToResidual(node)
  }
  function nodes(): string[] {
    return [...proxies.keys()]
  }
  function outstanding(tenant: string): number {
    const state = tenantStates.get(tenant)
    return state ? totalOutstanding(state) : 0
  }
  function needsMoreThan(limitOf: (tenant: string) => number | undefined): boolean {
    for (const [tenant, { accounts }] of tenantStates) {
      let sum = 0
      for (const { need } of accounts.values()) sum += need
      if (sum > (limitOf(tenant) ?? Infinity)) return true
    }
    return false
  }
  function exceeds(limitOf: (tenant: string) => number | undefined): boolean {
    for (const [tenant, state] of tenantStates) if (totalOutstanding(state) > (limitOf(tenant) ?? Infinity)) return true
    return false
  }
  return { report, needsMoreThan, exceeds, gone, nodes, outstanding }
}
