import {
  BACKOFF_BASE_MS,
  BREAKER_MIN_RESULTS,
  BREAKER_OPEN_MS,
  BREAKER_PROBES,
  BREAKER_FAILURE_RATE,
  BREAKER_WINDOW_MS,
  EXHAUSTION_ALERT_RATE,
  EXHAUSTION_MIN_RESULTS,
  EXHAUSTION_WINDOW_MS,
  RETRY_TOKENS_PER_ATTEMPT,
  RETRY_TOKENS,
  type Metrics,
  type World,
} from '@claynotch/base'

// Retry policy of one node, kept for each group: backoff, retry tokens, circuit breaker and alert. docs/retry.md gives
// the reasons for the values.

/** Delay before the next attempt in ms: doubles with each attempt, plus up to half of it at random. */
export function backoffDelayMs(world: World, attempts: number, firstDelayMs = BACKOFF_BASE_MS): number {
  const baseDelayMs = 2 ** attempts * firstDelayMs
  return baseDelayMs + world.random() * (baseDelayMs / 2)
}

// --- retry tokens ---

/**
 * Token bucket that limits retries, with regard to the retries of all nodes. A retry costs double while the whole
 * fleet, by the nodes' summaries, retries more than it may (RETRY_TOKENS_PER_ATTEMPT of the first attempts).
 *
 * Invariants: 0 <= tokensLeft <= RETRY_TOKENS; a first attempt adds tokens, a retry takes them.
 */
export type RetryTokens = {
  /** Counts a first attempt. */
  noteFirstAttempt: () => void
  /** Takes the tokens for a retry; false: too few are left. */
  spendOnRetry: () => boolean
  /** This node's first attempts and retries of the last 2 to 4 s. */
  recentCounts: () => { firsts: number; retries: number }
}

/** otherNodes: the recent counts of the other nodes. */
export function makeRetryTokens(world: World, otherNodes: () => { firsts: number; retries: number }): RetryTokens {
  let tokensLeft = RETRY_TOKENS
  let bucketStartedAt = world.now()
  let previousBucket = { firsts: 0, retries: 0 }
  let currentBucket = { firsts: 0, retries: 0 }
  /** Two buckets of 2 s form a rolling window. */
  function rollBuckets(): void {
    if (world.now() - bucketStartedAt < 2000) return
    previousBucket = world.now() - bucketStartedAt < 4000 ? currentBucket : { firsts: 0, retries: 0 }
    currentBucket = { firsts: 0, retries: 0 }
    bucketStartedAt = world.now()
  }
  function recentCounts(): { firsts: number; retries: number } {
    rollBuckets()
    return {
      firsts: previousBucket.firsts + currentBucket.firsts,
      retries: previousBucket.retries + currentBucket.retries,
    }
  }
  function noteFirstAttempt(): void {
    rollBuckets()
    currentBucket.firsts++
    tokensLeft = Math.min(RETRY_TOKENS, tokensLeft + RETRY_TOKENS_PER_ATTEMPT)
  }
  function spendOnRetry(): boolean {
    rollBuckets()
    const ownCounts = recentCounts()
    const fleetCounts = otherNodes()
    const firsts = ownCounts.firsts + fleetCounts.firsts
    const retries = ownCounts.retries + fleetCounts.retries
    const cost = retries > RETRY_TOKENS && retries > RETRY_TOKENS_PER_ATTEMPT * firsts ? 2 : 1
    if (tokensLeft < cost) return false
    tokensLeft -= cost
    currentBucket.retries++
    return true
  }
  return { noteFirstAttempt, spendOnRetry, recentCounts }
}

// --- circuit breaker ---

/**
 * Circuit breaker of one group. closed -> open when the failure rate over a window reaches its limit; open -> half
 * (half-open) after a delay with jitter. Half-open lets one probe through at a time: enough successes in a row close
 * it, a failure opens it.
 */
export type Breaker = {
  /** Whether a call may be sent; in state half it becomes the probe. */
  allows: () => boolean
  /** Records the result of an attempt. */
  record: (isSuccess: boolean, wasProbe: boolean) => void
  isProbing: () => boolean
  state: () => 'closed' | 'open' | 'half'
}

export function makeBreaker(world: World, group: string, metrics: Metrics): Breaker {
  let state: 'closed' | 'open' | 'half' = 'closed'
  let bucketStartedAt = world.now()
  let successes = 0
  let failures = 0
  let previousSuccesses = 0
  let previousFailures = 0
  let openUntil = 0
  let isProbeInFlight = false
  let probeStartedAt = 0
  let consecutiveSuccesses = 0

  function setState(newState: 'closed' | 'open' | 'half'): void {
    state = newState
    metrics.set('claynotch_breaker_open', [['group', group]], newState === 'closed' ? 0 : 1)
    world.log.warn('breaker', { group, state: newState })
  }
  function rollBuckets(): void {
    const now = world.now()
    if (now - bucketStartedAt < BREAKER_WINDOW_MS / 2) return
    const isPreviousBucketRecent = now - bucketStartedAt < BREAKER_WINDOW_MS
    previousSuccesses = isPreviousBucketRecent ? successes : 0
    previousFailures = isPreviousBucketRecent ? failures : 0
    successes = 0
    failures = 0
    bucketStartedAt = now
  }
  function open(): void {
    openUntil = world.now() + BREAKER_OPEN_MS * (1 + world.random() / 2)
    successes = failures = previousSuccesses = previousFailures = consecutiveSuccesses = 0
    isProbeInFlight = false
    setState('open')
    metrics.add('claynotch_breaker_opened_total', [['group', group]])
  }
  function allows(): boolean {
    if (state === 'closed') return true
    const now = world.now()
    if (state === 'open') {
      if (now < openUntil) return false
      setState('half')
    }
    // A probe whose result was never recorded (its caller disconnected) blocks further probes for a bounded time only.
    if (isProbeInFlight && now - probeStartedAt < BREAKER_WINDOW_MS * 2) return false
    isProbeInFlight = true
    probeStartedAt = now
    return true
  }
  function record(isSuccess: boolean, wasProbe: boolean): void {
    if (state === 'half') {
      if (!wasProbe) return
      isProbeInFlight = false
      if (!isSuccess) open()
      else if (++consecutiveSuccesses >= BREAKER_PROBES) {
        consecutiveSuccesses = 0
        bucketStartedAt = world.now()
        setState('closed')
      }
      return
    }
    if (state === 'open') return
    rollBuckets()
    if (isSuccess) successes++
    else failures++
    const results = successes + failures + previousSuccesses + previousFailures
    if (results >= BREAKER_MIN_RESULTS && failures + previousFailures >= BREAKER_FAILURE_RATE * results) open()
  }
  function isProbing(): boolean {
    return state === 'half'
  }
  function currentState(): 'closed' | 'open' | 'half' {
    return state
  }
  return { allows, record, isProbing, state: currentState }
}

// --- exhaustion alert ---

/** Alert on the share of calls that exhausted their retry budget, among the calls that were retried or waited. */
export type ExhaustionAlert = { record: (isExhausted: boolean) => void; isRaised: () => boolean }

export function makeExhaustionAlert(world: World, group: string, metrics: Metrics): ExhaustionAlert {
  let windowStartedAt = world.now()
  let retriedCalls = 0
  let exhaustedCalls = 0
  let isRaised = false
  function updateAlert(): void {
    const shouldRaise = retriedCalls >= EXHAUSTION_MIN_RESULTS && exhaustedCalls > EXHAUSTION_ALERT_RATE * retriedCalls
    if (shouldRaise === isRaised) return
    if (!shouldRaise && retriedCalls < EXHAUSTION_MIN_RESULTS) return
    isRaised = shouldRaise
    metrics.set('claynotch_retry_alert', [['group', group]], shouldRaise ? 1 : 0)
    if (shouldRaise) world.log.error('retry-budget-alert', { group, exhausted: exhaustedCalls, retried: retriedCalls })
    else world.log.info('retry-budget-alert-over', { group, exhausted: exhaustedCalls, retried: retriedCalls })
  }
  function record(isExhausted: boolean): void {
    if (world.now() - windowStartedAt > EXHAUSTION_WINDOW_MS) {
      windowStartedAt = world.now()
      retriedCalls = 0
      exhaustedCalls = 0
    }
    retriedCalls++
    if (isExhausted) exhaustedCalls++
    updateAlert()
  }
  function isAlertRaised(): boolean {
    return isRaised
  }
  return { record, isRaised: isAlertRaised }
}
