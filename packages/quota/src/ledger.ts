import { QUOTA_UNLIMITED } from '@claynotch/base'
import { shareOf, type Claim } from './allocation.js'
import type { QuotaGrant, QuotaLine } from './messages.js'

/**
 * Who asks. life: of the proxy on that node. askedAt: ms by the node's clock. heardAt: when this life was first heard of here, by the
 * ledger's clock; with its first question, unless it is given.
 */
export type AskingProxy = { node: string; life: string; askedAt: number; heardAt?: number }

/**
 * What each proxy may run of each tenant, as far as one holder knows. Pure: no I/O, its only clock is the one that it is given.
 *
 * Invariant: for each tenant, the sum over proxies of max(held, used, last answered) and of what cools grows only up to the limit.
 * It is above it only after the limit was lowered, or by what proxies of an earlier holder told, and then no answer adds to it.
 */
export type Ledger = {
  /**
   * Takes all that one proxy holds, used and wants, and answers what it may run in any window from now on. A question that was
   * asked before another one of the node that was taken already is late: it changes nothing and is answered with nothing.
   * limitOf: operations of the whole fleet in one window; undefined: no limit. mayGrow: false as long as an earlier holder's
   * allowances may not all have been told. reserveOf: operations of the tenant that may be granted all the same while nothing may grow.
   */
  report: (
    proxy: AskingProxy,
    lines: QuotaLine[],
    limitOf: (tenant: string) => number | undefined,
    mayGrow: boolean,
    reserveOf?: (tenant: string) => number,
  ) => QuotaGrant[]
  /** Whether some tenant's proxies together need more, or have more, than that. */
  needsMoreThan: (limitOf: (tenant: string) => number | undefined) => boolean
  exceeds: (limitOf: (tenant: string) => number | undefined) => boolean
  /**
   * The node's lease is over: what its proxy had cools for one window, then it is free. seenAt: when the look at the members
   * began that showed it; a node that was answered since then has a lease again, and keeps what it has.
   */
  gone: (node: string, seenAt?: number) => void
  /** Nodes whose proxy may hold something. */
  nodes: () => string[]
  /** Operations of the tenant that may run in one window by all that is known here. */
  outstanding: (tenant: string) => number
}

/** One tenant at one proxy. */
type Account = Claim & { life: string; askedAt: number }
/** What an ended proxy, or one whose lease is over, may have run within the last window. */
type Cooling = { node: string; life: string; amount: number; until: number }
/** ceiling: what the sum may not pass while nothing may grow: all that was told to this holder. */
type Book = { accounts: Map<string, Account>; cooling: Cooling[]; ceiling: number }

function chargeOf({ held, used, answered }: Account): number {
  return Math.max(held, used, answered)
}

function nothing(): number {
  return 0
}

export function makeLedger(now: () => number, windowMs: number): Ledger {
  const books = new Map<string, Book>()
  const proxies = new Map<string, { life: string; askedAt: number; answeredAt: number }>()
  // Until then a proxy that ended before this holder heard of its node may have operations within the window.
  let growsFrom = -Infinity
  let isWaiting = false

  function bookOf(tenant: string): Book {
    let book = books.get(tenant)
    if (!book) {
      book = { accounts: new Map(), cooling: [], ceiling: 0 }
      books.set(tenant, book)
    }
    return book
  }
  function dropCooled(book: Book): void {
    if (book.cooling.length === 0) return
    function isWarm({ until }: Cooling): boolean {
      return now() <= until
    }
    book.cooling = book.cooling.filter(isWarm)
  }
  /** What cools of one life of a proxy: it was counted by one meter, so the most of it covers all of it. */
  function coolingOf(book: Book, node: string, life: string): number {
    let most = 0
    for (const one of book.cooling) if (one.node === node && one.life === life) most = Math.max(most, one.amount)
    return most
  }
  /** What cools of all but the lives that have an account, whose account covers it or is raised to it. */
  function coolingApart(book: Book): number {
    const byLife = new Map<string, number>()
    for (const { node, life, amount } of book.cooling) {
      if (book.accounts.get(node)?.life === life) continue
      const key = `${node} ${life}`
      byLife.set(key, Math.max(byLife.get(key) ?? 0, amount))
    }
    let sum = 0
    for (const amount of byLife.values()) sum += amount
    return sum
  }
  function liabilityOf(book: Book, node: string, account: Account): number {
    const charge = chargeOf(account)
    return book.cooling.length === 0 ? charge : Math.max(charge, coolingOf(book, node, account.life))
  }
  function totalOf(book: Book): number {
    dropCooled(book)
    let sum = coolingApart(book)
    for (const [node, account] of book.accounts) sum += liabilityOf(book, node, account)
    return sum
  }
  /** What the proxy of a node had, nobody else has for one window. */
  function cool(node: string): void {
    for (const book of books.values()) {
      const account = book.accounts.get(node)
      if (!account) continue
      book.accounts.delete(node)
      const amount = chargeOf(account)
      if (amount > 0) book.cooling.push({ node, life: account.life, amount, until: now() + windowMs })
    }
  }
  /** Takes note of who asks; false: the question is late. */
  function meet({ node, life, askedAt, heardAt = now() }: AskingProxy): boolean {
    const known = proxies.get(node)
    if (known && (askedAt < known.askedAt || (askedAt === known.askedAt && life !== known.life))) return false
    if (!known && isWaiting) growsFrom = Math.max(growsFrom, heardAt + windowMs)
    if (known && known.life !== life) cool(node)
    proxies.set(node, { life, askedAt, answeredAt: now() })
    return true
  }
  /**
   * What the proxy should have, as far as so much is free. It may be less than it uses: then it runs nothing until enough of that
   * has left the window, and is charged for what it holds until it tells less.
   */
  function answerTo(book: Book, node: string, account: Account, limit: number): number {
    const others: Claim[] = []
    const apart = coolingApart(book)
    let takenByOthers = apart
    for (const [other, theirs] of book.accounts) {
      if (other === node) continue
      others.push(theirs)
      takenByOthers += liabilityOf(book, other, theirs)
    }
    const share = shareOf(account, others, limit - apart)
    const most = Math.max(account.held, Math.floor(limit - takenByOthers))
    return Math.min(share, most)
  }
  function takeLine(
    { node, life, askedAt }: AskingProxy,
    [tenant, held, used, wanted, waiting]: QuotaLine,
    limit: number | undefined,
    mayGrow: boolean,
    reserve: number,
  ): QuotaGrant | undefined {
    const book = bookOf(tenant)
    dropCooled(book)
    const known = book.accounts.get(node)
    if (known && known.askedAt >= askedAt) return undefined
    const isToldFirst = !known && !mayGrow
    const before = isToldFirst ? totalOf(book) : 0
    const need = Math.max(wanted, used)
    const account: Account = { life, askedAt, held, used, need, waiting, answered: 0 }
    book.accounts.set(node, account)
    if (limit === undefined) {
      account.answered = QUOTA_UNLIMITED
      return [tenant, QUOTA_UNLIMITED]
    }
    if (mayGrow) book.ceiling = limit
    else if (isToldFirst) book.ceiling += Math.max(0, totalOf(book) - before)
    account.answered = answerTo(book, node, account, Math.min(limit, book.ceiling + (mayGrow ? 0 : reserve)))
    return [tenant, account.answered]
  }

  function report(
    proxy: AskingProxy,
    lines: QuotaLine[],
    limitOf: (tenant: string) => number | undefined,
    mayGrow: boolean,
    reserveOf: (tenant: string) => number = nothing,
  ): QuotaGrant[] {
    isWaiting = !mayGrow
    if (!meet(proxy)) return []
    const isGrowing = mayGrow && now() >= growsFrom
    const grants: QuotaGrant[] = []
    for (const line of lines) {
      const grant = takeLine(proxy, line, limitOf(line[0]), isGrowing, reserveOf(line[0]))
      if (grant) grants.push(grant)
    }
    return grants
  }
  function gone(node: string, seenAt = now()): void {
    const known = proxies.get(node)
    if (known && known.answeredAt > seenAt) return
    if (!known && isWaiting) growsFrom = now() + windowMs
    proxies.delete(node)
    cool(node)
  }
  function nodes(): string[] {
    return [...proxies.keys()]
  }
  function liability(tenant: string): number {
    const book = books.get(tenant)
    return book ? totalOf(book) : 0
  }
  function needs(limitOf: (tenant: string) => number | undefined): boolean {
    for (const [tenant, { accounts }] of books) {
      let sum = 0
      for (const { need } of accounts.values()) sum += need
      if (sum > (limitOf(tenant) ?? Infinity)) return true
    }
    return false
  }
  function exceeds(limitOf: (tenant: string) => number | undefined): boolean {
    for (const [tenant, book] of books) if (totalOf(book) > (limitOf(tenant) ?? Infinity)) return true
    return false
  }
  return { report, needsMoreThan: needs, exceeds, gone, nodes, outstanding: liability }
}
