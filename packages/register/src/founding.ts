import { FOUNDING_DELAY_MS, REFILL_DELAY_MS } from '@claynotch/base'
import type { CoreSet } from './core-set.js'
import type { FoundingPhase } from './register-store.js'

// Founding in two steps, each at every core: intent is stored by all before any is founded, so a core that holds intent has
// lost nothing, and one that holds nothing while another is founded has. docs/register.md, "Founding".

/** What another voter says of itself. hears: the other voters that it holds a link to. */
export type CoreState = {
  t: 'state'
  id: string
  phase: FoundingPhase
  serving: boolean
  cores: string[]
  set: CoreSet
  hears: string[]
}

/** A voter that doesn't serve yet, and what it may rest its next step on. Times are of the machine's steady clock, in ms. */
export type FoundingView = {
  set: CoreSet
  ids: string[]
  phase: FoundingPhase
  /** What this disk held is gone, or some agent remembers registers of this set. */
  lost: boolean
  remembered: boolean
  /** The set is one that an operator gave in a settings file. */
  isGiven: boolean
  /** This core may begin a founding. */
  mayBegin: boolean
  others: number
  /** For how long it had run when it asked, and for how long it runs now. */
  askedAfter: number
  runs: number
}

export type FoundingStep =
  | { step: 'wait' | 'intent' | 'founded' | 'refill' }
  | { step: 'adopt'; set: CoreSet }
  | { step: 'differs'; from: CoreState }

type Counts = { up: number; founded: number; intent: number }

/** Counts the answers; a later set, or another set of the same epoch, ends the count. */
function countStates(view: FoundingView, states: (CoreState | undefined)[]): Counts | FoundingStep {
  const counts: Counts = { up: 0, founded: 0, intent: 0 }
  for (const state of states) {
    // One that doesn't know its set yet can't found.
    if (!state || state.cores.length === 0) continue
    if (state.set.epoch > view.set.epoch) return { step: 'adopt', set: state.set }
    // One that hasn't heard of the set yet counts for nothing.
    if (state.set.epoch < view.set.epoch) continue
    if (state.cores.join() !== view.ids.join()) return { step: 'differs', from: state }
    counts.up++
    if (state.phase === 'founded') counts.founded++
    else if (state.phase === 'intent') counts.intent++
  }
  return counts
}

/** The next step of a voter that doesn't serve, by what the other voters say. */
export function foundingStep(view: FoundingView, states: (CoreState | undefined)[]): FoundingStep {
  const counts = countStates(view, states)
  if ('step' in counts) return counts
  if (counts.founded > 0) return { step: view.phase === 'intent' && !view.lost ? 'founded' : 'refill' }
  if (view.set.epoch > 0 || view.lost || view.remembered || counts.up < view.others) return { step: 'wait' }
  // Those who were told that this is the very first start know it from the one who started them; with a set given by an
  // operator the agents are heard first.
  if (view.isGiven && view.runs < FOUNDING_DELAY_MS) return { step: 'wait' }
  if (view.phase === 'none' && !view.mayBegin && !mayEnd(view, counts)) return { step: 'wait' }
  return { step: counts.intent === view.others ? 'founded' : 'intent' }
}

/**
 * Without the first-start word a core with nothing on disk never begins. It may only end a founding that all the others hold
 * intent for: none of them has served yet, and what its own lost life promised is void after this wait.
 */
function mayEnd(view: FoundingView, counts: Counts): boolean {
  return view.others > 0 && counts.intent === view.others && view.askedAfter >= REFILL_DELAY_MS
}
