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

/** One operation that may be sent, once. It counts until it is cancelled, or for a window after it was sent. */
export type Reservation = {
  tenant: string
  /** To be called in the turn in which the operation goes out. False: the lease that it rests on has lapsed; nothing may go out. */
  markSent: () => boolean
  /** Nothing went out. */
  cancel: () => void
}

export type AllowancesOptions = {
  /** Of the proxy. */
  life: string
  /** Whether this node's lease runs. */
  isLeased: () => boolean
  /** Since when it has run without a break, by the world's clock. */
  leasedSince: () => number
  /** Whether any tenant has a limit. */
  isActive: () => boolean
  /** Asks this machine's agent; undefined: no answer. */
  ask: (question: QuotaQuestion) => Promise<QuotaGrant[] | undefined>
  windowMs?: number
}

/**
 * What this proxy may run for each tenant in any window, and what it runs.
 *
 * Invariants, for each tenant:
 * - reserved and sent within the last window are at most the allowance, or the allowance was lowered since and nothing is reserved;
 * - the allowance grows by the answer to the question under way alone: what a question tells is all that may be used until then;
 * - an allowance is used only under the lease, without a break, under which it was asked for.
 */
export type Allowances = {
  /** waitMs: that the operation may wait for an allowance; gone: nobody waits for it any more. Undefined: it must not be sent. */
  reserve: (tenant: string, waitMs: number, gone: Flag) => Promise<Reservation | undefined>
  /** Operations that may be run in any window. */
  held: (tenant: string) => number
}

/** firstQuestion: number of the first question that is asked for it too. */
type Waiter = { firstQuestion: number; settle: (reservation: Reservation | undefined) => void }
type Account = {
  tenant: string
  allowance: number
  sent: WindowMeter
  wanted: WindowMeter
  reserved: number
  waiters: Set<Waiter>
  lastWantedAt: number
  /** It was given less than it wants. */
  isShort: boolean
  /** Until then nothing more is to be had. */
  deniedUntil: number
  /** Refused since it was logged. */
  refused: number
  loggedAt: number
  /** The holder knows that nothing is held. */
  isGivenBack: boolean
}

export function makeAllowances(world: World, options: AllowancesOptions, metrics: Metrics, stop: Flag): Allowances {
  const windowMs = options.windowMs ?? QUOTA_METER_WINDOW_MS
  const accounts = new Map<string, Account>()
  const changed = makeSignal()
  // leasedSince: of the lease that all allowances rest on.
  let leasedSince = -Infinity
  // When the next question is due; lastQuestion: number of the latest one.
  let dueAt = -Infinity
  let lastQuestion = 0

  function accountOf(tenant: string): Account {
    let account = accounts.get(tenant)
    if (!account) {
      account = {
        tenant,
        allowance: 0,
        sent: makeWindowMeter(world.now, windowMs),
        wanted: makeWindowMeter(world.now, windowMs),
        reserved: 0,
        waiters: new Set(),
        lastWantedAt: world.now(),
        isShort: false,
        deniedUntil: -Infinity,
        refused: 0,
        loggedAt: -Infinity,
        isGivenBack: false,
      }
      accounts.set(tenant, account)
    }
    return account
  }
  function usedOf(account: Account): number {
    return account.sent.count() + account.reserved
  }
  function heldOf(account: Account): number {
    return Math.max(account.allowance, usedOf(account))
  }
  /** A lease that lapsed takes all allowances with it: others may have been given them since. */
  function isLeaseUnbroken(): boolean {
    if (options.leasedSince() !== leasedSince) {
      for (const account of accounts.values()) account.allowance = 0
      leasedSince = options.leasedSince()
    }
    return options.isLeased()
  }

  // --- operations ---

  function isFree(account: Account): boolean {
    return isLeaseUnbroken() && usedOf(account) < account.allowance
  }
  function makeReservation(account: Account): Reservation {
    const restsOn = leasedSince
    let isOpen = true
    account.reserved++
    function end(): void {
      isOpen = false
      account.reserved--
    }
    function sent(): boolean {
      if (!isOpen) return false
      const isStanding = isLeaseUnbroken() && leasedSince === restsOn
      end()
      if (!isStanding) return false
      account.sent.add()
      metrics.add('claynotch_quota_spent_total', [['tenant', account.tenant]])
      return true
    }
    function cancel(): void {
      if (!isOpen) return
      end()
      serveWaiters(account)
    }
    return { tenant: account.tenant, markSent: sent, cancel }
  }
  function noteRefused(account: Account): void {
    const { tenant } = account
    metrics.add('claynotch_quota_refused_total', [['tenant', tenant]])
    account.refused++
    if (world.now() - account.loggedAt < QUOTA_LOG_INTERVAL_MS) return
    world.log.warn('tenant-refused', {
      tenant,
      allowance: account.allowance,
      used: usedOf(account),
      wanted: account.wanted.count(),
      refused: account.refused,
    })
    account.loggedAt = world.now()
    account.refused = 0
  }
  function serveWaiters(account: Account): void {
    for (const waiter of account.waiters) {
      if (!isFree(account)) return
      waiter.settle(makeReservation(account))
    }
  }
  function wait(account: Account, waitMs: number, gone: Flag): Promise<Reservation | undefined> {
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
      unwatch = gone.watch(giveUp)
    }
    return new Promise(start)
  }
  async function reserve(tenant: string, waitMs: number, gone: Flag): Promise<Reservation | undefined> {
    const account = accountOf(tenant)
    account.wanted.add()
    account.lastWantedAt = world.now()
    account.isGivenBack = false
    if (account.waiters.size === 0 && isFree(account)) {
      const reservation = makeReservation(account)
      if (isLow(account)) askWithin(QUOTA_REQUEST_DELAY_MS)
      return reservation
    }
    const isDenied = world.now() < account.deniedUntil
    if (!isDenied && !gone.fired()) {
      askWithin(0)
      const reservation = await wait(account, waitMs, gone)
      if (reservation) return reservation
    }
    noteRefused(account)
    return undefined
  }

  // --- questions ---

  function isLow(account: Account): boolean {
    const { allowance, isShort } = account
    if (allowance < QUOTA_MIN_LOW_ALLOWANCE || isShort) return false
    return allowance - usedOf(account) <= allowance * QUOTA_LOW_SHARE
  }
  function askWithin(ms: number): void {
    const at = world.now() + ms
    if (at >= dueAt) return
    dueAt = at
    changed.notify()
  }
  function isForgettable(account: Account): boolean {
    return account.isGivenBack && heldOf(account) === 0 && account.wanted.count() === 0 && account.waiters.size === 0
  }
  function giveBackIdle(account: Account): void {
    if (world.now() - account.lastWantedAt > QUOTA_ALLOWANCE_IDLE_TIMEOUT_MS) account.allowance = 0
  }
  function linesNow(): QuotaLine[] {
    const lines: QuotaLine[] = []
    for (const [tenant, account] of accounts) {
      giveBackIdle(account)
      if (isForgettable(account)) accounts.delete(tenant)
      else lines.push([tenant, heldOf(account), usedOf(account), account.wanted.count(), account.waiters.size])
    }
    return lines
  }
  function applyGrant([tenant, allowance]: QuotaGrant, line: QuotaLine): void {
    const account = accounts.get(tenant)
    if (!account) return
    const [, held, used, wanted] = line
    account.allowance = allowance
    account.isGivenBack = held === 0 && wanted === 0 && allowance === 0
    metrics.set('claynotch_quota_allowance', [['tenant', tenant]], allowance)
    // What it can let go is told at once, as others may wait for it.
    if (allowance < held && used < held) askWithin(QUOTA_REQUEST_DELAY_MS)
    account.isShort = allowance < wanted
    serveWaiters(account)
    refuseWaiters(account)
  }
  /** Those that the latest question was asked for too, and for whom there is nothing. */
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
    const lines = linesNow()
    const askedAt = world.now()
    const askedUnder = leasedSince
    const question: QuotaQuestion = { t: 'quota', life: options.life, askedAt, lines }
    lastQuestion++
    dueAt = askedAt + (lines.length > 0 ? QUOTA_REPORT_INTERVAL_MS : QUOTA_IDLE_REPORT_INTERVAL_MS)
    metrics.add('claynotch_quota_questions_total')
    const grants = await withTimeout(world, QUOTA_REQUEST_TIMEOUT_MS, options.ask(question))
    if (grants === undefined || grants === TIMED_OUT) {
      metrics.add('claynotch_quota_unanswered_total')
      askWithin(QUOTA_REQUEST_RETRY_DELAY_MS)
      return
    }
    // Granted under a lease that has lapsed meanwhile: the holder may have given it to others.
    if (!isLeaseUnbroken() || leasedSince !== askedUnder) return
    applyGrants(grants, lines)
    // Whoever nobody answered for may be answered a little later.
    if (isAnyoneWaiting()) askWithin(QUOTA_REQUEST_RETRY_DELAY_MS)
  }
  function mayAsk(): boolean {
    return isLeaseUnbroken() && (accounts.size > 0 || options.isActive())
  }
  async function step(): Promise<void> {
    while (world.now() < dueAt && !stop.fired()) await changed.wait(world, dueAt - world.now(), stop)
    if (stop.fired()) return
    if (mayAsk()) await askOnce()
    else dueAt = world.now() + QUOTA_REPORT_INTERVAL_MS
  }
  void loop(world, 'quota', QUOTA_REQUEST_MIN_INTERVAL_MS, stop, step)

  function heldNow(tenant: string): number {
    const account = accounts.get(tenant)
    return account && isLeaseUnbroken() ? heldOf(account) : 0
  }
  return { reserve, held: heldNow }
}
