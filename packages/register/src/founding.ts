import { FOUNDING_DELAY_MS, REFILL_DELAY_MS } from '@claynotch/base'
import type { CoreSet } from './core-set.js'
import type { FoundingPhase } from './register-store.js'

// Founding takes two steps, each at every core: all store the phase intent before any stores founded. So a core with
// intent on disk has lost nothing, and a core with nothing on disk while another is founded has lost its state.
// docs/register.md, "Founding".

/** The state that a voter reports about itself. hears: the other voters that it has a link to. */
export type CoreState = {
  t: 'state'
  id: string
  phase: FoundingPhase
  serving: boolean
  cores: string[]
  set: CoreSet
  hears: string[]
}

/** The inputs to the next step of a voter that isn't serving yet. Times are of the machine's monotonic clock, in ms. */
export type FoundingInputs = {
  set: CoreSet
  ids: string[]
  phase: FoundingPhase
  /** The state on this disk is lost. */
  hasLostState: boolean
  /** Some agent knows registers of this set. */
  wasPreviouslyFounded: boolean
  /** An operator fixed the set in a settings file. */
  isSetFixed: boolean
  /** This core may start a founding. */
  mayStartFounding: boolean
  otherVoterCount: number
  /** Uptime of this core when it queried the other voters, and its uptime now. */
  uptimeAtQueryMs: number
  uptimeMs: number
}

/** The next step. adopt: apply a later set. differs: another voter has a different set of the same epoch. */
export type FoundingStep =
  | { step: 'wait' | 'intent' | 'founded' | 'refill' }
  | { step: 'adopt'; set: CoreSet }
  | { step: 'differs'; from: CoreState }

/** Numbers of other voters that answered under the same set, and of those in each phase. */
type StateCounts = { reachable: number; founded: number; intent: number }

/** Counts the answers. A later set, or a different set of the same epoch, ends the count and decides the step. */
function countStates(inputs: FoundingInputs, states: (CoreState | undefined)[]): StateCounts | FoundingStep {
  const counts: StateCounts = { reachable: 0, founded: 0, intent: 0 }
  for (const state of states) {
    // A voter that doesn't know its set yet can't take part in a founding.
    if (!state || state.cores.length === 0) continue
    if (state.set.epoch > inputs.set.epoch) return { step: 'adopt', set: state.set }
    // A voter that is still at an earlier set isn't counted.
    if (state.set.epoch < inputs.set.epoch) continue
    if (state.cores.join() !== inputs.ids.join()) return { step: 'differs', from: state }
    counts.reachable++
    if (state.phase === 'founded') counts.founded++
    else if (state.phase === 'intent') counts.intent++
  }
  return counts
}

/** Decides the next step of a voter that isn't serving, from the answers of the other voters. */
export function nextFoundingStep(inputs: FoundingInputs, states: (CoreState | undefined)[]): FoundingStep {
  const counts = countStates(inputs, states)
  if ('step' in counts) return counts
  if (counts.founded > 0) return { step: inputs.phase === 'intent' && !inputs.hasLostState ? 'founded' : 'refill' }
  if (
    inputs.set.epoch > 0 ||
    inputs.hasLostState ||
    inputs.wasPreviouslyFounded ||
    counts.reachable < inputs.otherVoterCount
  )
    return { step: 'wait' }
  // A core that was started with founders knows that this is the first start of the system. With a set fixed by an
  // operator it waits first, so that agents can report registers of an earlier founding.
  if (inputs.isSetFixed && inputs.uptimeMs < FOUNDING_DELAY_MS) return { step: 'wait' }
  if (inputs.phase === 'none' && !inputs.mayStartFounding && !mayFinishFounding(inputs, counts)) return { step: 'wait' }
  return { step: counts.intent === inputs.otherVoterCount ? 'founded' : 'intent' }
}

/**
 * A core with nothing on disk that wasn't started as a founder never starts a founding. It may only finish one for
 * which all other voters have stored intent: none of them has served yet, and promises that it made before it lost its
 * disk have expired after REFILL_DELAY_MS.
 */
function mayFinishFounding(inputs: FoundingInputs, counts: StateCounts): boolean {
  return (
    inputs.otherVoterCount > 0 && counts.intent === inputs.otherVoterCount && inputs.uptimeAtQueryMs >= REFILL_DELAY_MS
  )
}
