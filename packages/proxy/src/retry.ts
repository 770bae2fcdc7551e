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

// The retry policy of one node, by group: pauses, tokens, breaker, alert. docs/retry.md tells where each comes from.

export function backoffDelayMs(world: World, sends: number, first = BACKOFF_BASE_MS): number {
  const base = 2 ** sends * first
  return base + world.random() * (base / 2)
}

// --- tokens: a cap on retries, summed over nodes ---
// Invariants: 0 <= left <= RETRY_TOKENS; a first send adds, a retry takes.
// A retry costs double while the fleet as a whole, by the summaries, retries more than it may.
export type Tokens = { first: () => void; spend: () => boolean; recent: () => { firsts: number; retries: number } }

export function makeRetryTokens(world: World, others: () => { firsts: number; retries: number }): Tokens {
  let left = RETRY_TOKENS
  let cut = world.now()
  let last = { firsts: 0, retries: 0 }
  let now = { firsts: 0, retries: 0 }
  // Two buckets of 2 s make a window that rolls.
  function roll(): void {
    if (world.now() - cut < 2000) return
    last = world.now() - cut < 4000 ? now : { firsts: 0, retries: 0 }
    now = { firsts: 0, retries: 0 }
    cut = world.now()
  }
  function recent(): { firsts: number; retries: number } {
    roll()
    return { firsts: last.firsts + now.firsts, retries: last.retries + now.retries }
  }
  function first(): void {
    roll()
    now.firsts++
    left = Math.min(RETRY_TOKENS, left + RETRY_TOKENS_PER_ATTEMPT)
  }
  function spend(): boolean {
    roll()
    const mine = recent()
    const all = others()
    const firsts = mine.firsts + all.firsts
    const retries = mine.retries + all.retries
    const cost = retries > RETRY_TOKENS && retries > RETRY_TOKENS_PER_ATTEMPT * firsts ? 2 : 1
    if (left < cost) return false
    left -= cost
    now.retries++
    return true
  }
  return { first, spend, recent }
}

// --- breaker ---
// closed -> open when the failure rate over a window is sustained; open -> half after a pause with jitter;
// half lets one probe through at a time: enough good ones in a row close it, a bad one opens it again.
export type Breaker = {
  allows: () => boolean
  record: (good: boolean, probe: boolean) => void
  probing: () => boolean
  state: () => 'closed' | 'open' | 'half'
}

export function makeBreaker(world: World, group: string, metrics: Metrics): Breaker {
  let state: 'closed' | 'open' | 'half' = 'closed'
  let cut = world.now()
  let good = 0
  let bad = 0
  let oldGood = 0
  let oldBad = 0
  let until = 0
  let probe = false
  let probeAt = 0
  let row = 0

  function turn(to: 'closed' | 'open' | 'half'): void {
    state = to
    metrics.set('claynotch_breaker_open', [['group', group]], to === 'closed' ? 0 : 1)
    world.log.warn('breaker', { group, state: to })
  }
  function roll(): void {
    const now = world.now()
    if (now - cut < BREAKER_WINDOW_MS / 2) return
    const near = now - cut < BREAKER_WINDOW_MS
    oldGood = near ? good : 0
    oldBad = near ? bad : 0
    good = 0
    bad = 0
    cut = now
  }
  function openNow(): void {
    until = world.now() + BREAKER_OPEN_MS * (1 + world.random() / 2)
    good = bad = oldGood = oldBad = row = 0
    probe = false
    turn('open')
    metrics.add('claynotch_breaker_opened_total', [['group', group]])
  }
  function pass(): boolean {
    if (state === 'closed') return true
    const now = world.now()
    if (state === 'open') {
      if (now < until) return false
      turn('half')
    }
    // A probe whose end was never told (its caller went away) does not hold the breaker for ever.
    if (probe && now - probeAt < BREAKER_WINDOW_MS * 2) return false
    probe = true
    probeAt = now
    return true
  }
  function note(isGood: boolean, wasProbe: boolean): void {
    if (state === 'half') {
      if (!wasProbe) return
      probe = false
      if (!isGood) openNow()
      else if (++row >= BREAKER_PROBES) {
        row = 0
        cut = world.now()
        turn('closed')
      }
      return
    }
    if (state === 'open') return
    roll()
    if (isGood) good++
    else bad++
    const all = good + bad + oldGood + oldBad
    if (all >= BREAKER_MIN_RESULTS && bad + oldBad >= BREAKER_FAILURE_RATE * all) openNow()
  }
  function probing(): boolean {
    return state === 'half'
  }
  function stateNow(): 'closed' | 'open' | 'half' {
    return state
  }
  return { allows: pass, record: note, probing, state: stateNow }
}

// --- alert: budgets exhausted over calls that were retried or waited ---
export type Alert = { note: (exhausted: boolean) => void; raised: () => boolean }

export function makeAlert(world: World, group: string, metrics: Metrics): Alert {
  let cut = world.now()
  let all = 0
  let out = 0
  let raised = false
  function judge(): void {
    const is = all >= EXHAUSTION_MIN_RESULTS && out > EXHAUSTION_ALERT_RATE * all
    if (is === raised) return
    if (!is && all < EXHAUSTION_MIN_RESULTS) return
    raised = is
    metrics.set('claynotch_retry_alert', [['group', group]], is ? 1 : 0)
    if (is) world.log.error('retry-budget-alert', { group, exhausted: out, retried: all })
    else world.log.info('retry-budget-alert-over', { group, exhausted: out, retried: all })
  }
  function note(exhausted: boolean): void {
    if (world.now() - cut > EXHAUSTION_WINDOW_MS) {
      cut = world.now()
      all = 0
      out = 0
    }
    all++
    if (exhausted) out++
    judge()
  }
  function raisedNow(): boolean {
    return raised
  }
  return { note, raised: raisedNow }
}
