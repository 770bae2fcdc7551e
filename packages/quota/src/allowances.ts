import {
  loop,
  makeSignal,
  noop,
  QUOTA_DENIAL_BACKOFF_MS,
  QUOTA_ALLOWANCE_IDLE_TIMEOUT_MS,
  QUOTA_IDLE_REPORT_INTERVAL_MS,
  QUOTA_LOG_INTERVAL_MS,
  QUOTA_LOW_SHARE,
  QUOTA_METER_WINDOW_MS,
  QUOTA_MIN_LOW_ALLOWANCE,
  QUOTA_REQUEST_RETRY_DELAY_MS,
  QUOTA_REQUEST_MIN_INTERVAL_MS,
  QUOTA_REQUEST_TIMEOUT_MS,
  QUOTA_REPORT_INTERVAL_MS,
  QUOTA_REQUEST_DELAY_MS,
  TIMED_OUT,
  withTimeout,
  type Cancel,
  type Flag,
  type Metrics,
  type World,
} from '@claynotch/base'
import type { QuotaGrant, QuotaLine, QuotaQuestion } from './messages.js'
import { makeWindowMeter, type WindowMeter } from './window-meter.js'

/** Permits sending one operation. It counts until it is cancelled, or for one window after the operation was sent. */
export type Reservation = {
  tenant: string
  /**
   * Consumes the reservation; must be called synchronously with the send. False: the lease under which it was granted
   * has had a gap, so nothing may be sent.
   */
  markSent: () => boolean
  /** Nothing was sent: returns the operation to the allowance. */
  cancel: () => void
}

/** What the allowances need from the proxy. */
export type AllowancesOptions = {
  /** Identifies the process incarnation of the proxy. */
  life: string
  /** Whether this node's lease is valid. */
  isLeased: () => boolean
  /** Local time (ms) since which the lease has been valid without a gap. */
  leasedSince: () => number
  /** Whether any tenant has a limit. */
  isActive: () => boolean
  /** Sends a question to this machine's agent; undefined: no answer. */
  ask: (question: QuotaQuestion) => Promise<QuotaGrant[] | undefined>
  /** Length of the window in which operations are limited; QUOTA_METER_WINDOW_MS by default. */
  windowMs?: number
}

/**
 * What this proxy may run for each tenant in any window, and what it has run.
 *
 * Invariants, for each tenant:
 * - the operations reserved, and sent within the last window, are at most the allowance, unless the allowance was
 *   lowered since; then nothing more is reserved;
 * - only the answer to the question in progress raises the allowance: until then, no more is used than what the
 *   question reports as held;
 * - an allowance is used only while the lease under which it was requested has been valid without a gap.
 */
export type Allowances = {
  /**
   * Reserves one operation. waitMs is the time that it may wait for an allowance; abandoned is set when its caller no
   * longer waits for it. Undefined: the operation must not be sent.
   */
  reserve: (tenant: string, waitMs: number, abandoned: Flag) => Promise<Reservation | undefined>
  /** The operations of the tenant that this proxy may run in any window. */
  held: (tenant: string) => number
}

/** An operation that waits for an allowance. firstQuestion is the number of the first question that includes it. */
type Waiter = { firstQuestion: number; settle: (reservation: Reservation | undefined) => void }
/** One tenant at this proxy. */
type Account = {
  tenant: string
  /** Operations that may run in any window, by the last grant. */
  allowance: number
  sentMeter: WindowMeter
  /** Operations that were requested, including refused ones. */
  wantedMeter: WindowMeter
  /** Operations that are reserved and not sent yet. */
  reserved: number
  waiters: Set<Waiter>
  lastWantedAt: number
  /** The last grant was less than the operations wanted. */
  isShort: boolean
  /** Local time (ms) until which operations without a free allowance are refused at once. */
  deniedUntil: number
  /** Operations that were refused since the last log entry about them. */
  refused: number
  loggedAt: number
  /** The holder knows that this proxy holds nothing of the tenant. */
  isKnownEmpty: boolean
}

/** Keeps the allowances and asks for them in the background until stop is set. */
export function makeAllowances(world: World, options: AllowancesOptions, metrics: Metrics, stop: Flag): Allowances {
  const windowMs = options.windowMs ?? QUOTA_METER_WINDOW_MS
  const accounts = new Map<string, Account>()
  const changed = makeSignal()
  /** Start of the lease period on which all allowances depend. */
  let currentLeaseSince = -Infinity
  /** Local time (ms) at which the next question is due. */
  let nextQuestionAt = -Infinity
  /** Number of the latest question. */
  let lastQuestion = 0

  function accountOf(tenant: string): Account {
    let account = accounts.get(tenant)
    if (!account) {
      account = {
        tenant,
        allowance: 0,
        sentMeter: makeWindowMeter(world.now, windowMs),
        wantedMeter: makeWindowMeter(world.now, windowMs),
        reserved: 0,
        waiters: new Set(),
        lastWantedAt: world.now(),
        isShort: false,
        deniedUntil: -Infinity,
        refused: 0,
        loggedAt: -Infinity,
        isKnownEmpty: false,
      }
      accounts.set(tenant, account)
    }
    return account
  }
  function usedOf(account: Account): number {
    return account.sentMeter.count() + account.reserved
  }
  /** What the proxy reports as held: a lowered allowance doesn't take back what is reserved or sent. */
  function heldOf(account: Account): number {
    return Math.max(account.allowance, usedOf(account))
  }
  /**
   * Whether the lease is valid. A gap in the lease ends all allowances, because they may have been granted to other
   * proxies since.
   */
  function checkLease(): boolean {
    if (options.leasedSince() !== currentLeaseSince) {
      for (const account of accounts.values()) account.allowance = 0
      currentLeaseSince = options.leasedSince()
    }
    return options.isLeased()
  }

  // --- operations ---

  function hasFreeAllowance(account: Account): boolean {
    return checkLease() && usedOf(account) < account.allowance
  }
  function makeReservation(account: Account): Reservation {
    const leaseAtReservation = currentLeaseSince
    let isPending = true
    account.reserved++
    function closeReservation(): void {
      isPending = false
      account.reserved--
    }
    function markSent(): boolean {
      if (!isPending) return false
      const isLeaseValid = checkLease() && currentLeaseSince === leaseAtReservation
      closeReservation()
      if (!isLeaseValid) return false
      account.sentMeter.add()
      metrics.add('claynotch_quota_spent_total', [['tenant', account.tenant]])
      return true
    }
    function cancel(): void {
      if (!isPending) return
      closeReservation()
      serveWaiters(account)
    }
    return { tenant: account.tenant, markSent, cancel }
  }
  /** Counts a refused operation; logs at most once in QUOTA_LOG_INTERVAL_MS. */
  function recordRefusal(account: Account): void {
    const { tenant } = account
    metrics.add('claynotch_quota_refused_total', [['tenant', tenant]])
    account.refused++
    if (world.now() - account.loggedAt < QUOTA_LOG_INTERVAL_MS) return
    world.log.warn('tenant-refused', {
      tenant,
      allowance: account.allowance,
      used: usedOf(account),
      wanted: account.wantedMeter.count(),
      refused: account.refused,
    })
    account.loggedAt = world.now()
    account.refused = 0
  }
  function serveWaiters(account: Account): void {
    for (const waiter of account.waiters) {
      if (!hasFreeAllowance(account)) return
      waiter.settle(makeReservation(account))
    }
  }
  function waitForAllowance(account: Account, waitMs: number, abandoned: Flag): Promise<Reservation | undefined> {
    function start(resolve: (reservation: Reservation | undefined) => void): void {
      const waiter: Waiter = { firstQuestion: lastQuestion + 1, settle }
      let unwatch: Cancel = noop
      function settle(reservation: Reservation | undefined): void {
        account.waiters.delete(waiter)
        cancelTimer()
        unwatch()
        resolve(reservation)
      }
      function giveUp(): void {
        settle(undefined)
      }
      account.waiters.add(waiter)
      const cancelTimer = world.later(waitMs, giveUp)
      unwatch = abandoned.watch(giveUp)
    }
    return new Promise(start)
  }
  async function reserve(tenant: string, waitMs: number, abandoned: Flag): Promise<Reservation | undefined> {
    const account = accountOf(tenant)
    account.wantedMeter.add()
    account.lastWantedAt = world.now()
    account.isKnownEmpty = false
    if (account.waiters.size === 0 && hasFreeAllowance(account)) {
      const reservation = makeReservation(account)
      if (isLow(account)) askWithin(QUOTA_REQUEST_DELAY_MS)
      return reservation
    }
    const isDenied = world.now() < account.deniedUntil
    if (!isDenied && !abandoned.fired()) {
      askWithin(0)
      const reservation = await waitForAllowance(account, waitMs, abandoned)
      if (reservation) return reservation
    }
    recordRefusal(account)
    return undefined
  }

  // --- questions ---

  /** Whether the allowance is nearly used up and more may be available. */
  function isLow(account: Account): boolean {
    const { allowance, isShort } = account
    if (allowance < QUOTA_MIN_LOW_ALLOWANCE || isShort) return false
    return allowance - usedOf(account) <= allowance * QUOTA_LOW_SHARE
  }
  /** Makes the next question due within this many ms. */
  function askWithin(delayMs: number): void {
    const askAt = world.now() + delayMs
    if (askAt >= nextQuestionAt) return
    nextQuestionAt = askAt
    changed.notify()
  }
  function isUnused(account: Account): boolean {
    return (
      account.isKnownEmpty && heldOf(account) === 0 && account.wantedMeter.count() === 0 && account.waiters.size === 0
    )
  }
  function returnIdleAllowance(account: Account): void {
    if (world.now() - account.lastWantedAt > QUOTA_ALLOWANCE_IDLE_TIMEOUT_MS) account.allowance = 0
  }
  function currentLines(): QuotaLine[] {
    const lines: QuotaLine[] = []
    for (const [tenant, account] of accounts) {
      returnIdleAllowance(account)
      if (isUnused(account)) accounts.delete(tenant)
      else lines.push([tenant, heldOf(account), usedOf(account), account.wantedMeter.count(), account.waiters.size])
    }
    return lines
  }
  function applyGrant([tenant, allowance]: QuotaGrant, line: QuotaLine): void {
    const account = accounts.get(tenant)
    if (!account) return
    const [, held, used, wanted] = line
    account.allowance = allowance
    account.isKnownEmpty = held === 0 && wanted === 0 && allowance === 0
    metrics.set('claynotch_quota_allowance', [['tenant', tenant]], allowance)
    // Reports soon what the proxy can release, as others may wait for it.
    if (allowance < held && used < held) askWithin(QUOTA_REQUEST_DELAY_MS)
    account.isShort = allowance < wanted
    serveWaiters(account)
    refuseWaiters(account)
  }
  /** Refuses the operations that the latest question included and for which nothing was granted. */
  function refuseWaiters(account: Account): void {
    for (const waiter of account.waiters) {
      if (waiter.firstQuestion > lastQuestion) continue
      waiter.settle(undefined)
      account.deniedUntil = world.now() + QUOTA_DENIAL_BACKOFF_MS
    }
  }
  function applyGrants(grants: QuotaGrant[], lines: QuotaLine[]): void {
    const lineOf = new Map<string, QuotaLine>()
    for (const line of lines) lineOf.set(line[0], line)
    for (const grant of grants) {
      const line = lineOf.get(grant[0])
      if (line) applyGrant(grant, line)
    }
  }
  function isAnyoneWaiting(): boolean {
    for (const { waiters } of accounts.values()) if (waiters.size > 0) return true
    return false
  }
  async function askOnce(): Promise<void> {
    const lines = currentLines()
    const askedAt = world.now()
    const leaseAtQuestion = currentLeaseSince
    const question: QuotaQuestion = { t: 'quota', life: options.life, askedAt, lines }
    lastQuestion++
    nextQuestionAt = askedAt + (lines.length > 0 ? QUOTA_REPORT_INTERVAL_MS : QUOTA_IDLE_REPORT_INTERVAL_MS)
    metrics.add('claynotch_quota_questions_total')
    const grants = await withTimeout(world, QUOTA_REQUEST_TIMEOUT_MS, options.ask(question))
    if (grants === undefined || grants === TIMED_OUT) {
      metrics.add('claynotch_quota_unanswered_total')
      askWithin(QUOTA_REQUEST_RETRY_DELAY_MS)
      return
    }
    // The lease had a gap since the question: the holder may have granted the same operations to other proxies.
    if (!checkLease() || currentLeaseSince !== leaseAtQuestion) return
    applyGrants(grants, lines)
    // Tenants without an answer, whose operations still wait, are asked for again a little later.
    if (isAnyoneWaiting()) askWithin(QUOTA_REQUEST_RETRY_DELAY_MS)
  }
  function mayAsk(): boolean {
    return checkLease() && (accounts.size > 0 || options.isActive())
  }
  async function step(): Promise<void> {
    while (world.now() < nextQuestionAt && !stop.fired()) await changed.wait(world, nextQuestionAt - world.now(), stop)
    if (stop.fired()) return
    if (mayAsk()) await askOnce()
    else nextQuestionAt = world.now() + QUOTA_REPORT_INTERVAL_MS
  }
  void loop(world, 'quota', QUOTA_REQUEST_MIN_INTERVAL_MS, stop, step)

  function heldNow(tenant: string): number {
    const account = accounts.get(tenant)
    return account && checkLease() ? heldOf(account) : 0
  }
  return { reserve, held: heldNow }
}
