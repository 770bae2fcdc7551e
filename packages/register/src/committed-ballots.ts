import { compareBallots, type Ballot } from './ballot.js'
import type { RegisterEntry } from './register-store.js'

/**
 * The highest ballot of each register that is known to be committed; in memory only, so learnt again after a restart.
 */
export type CommittedBallots = {
  /** Whether the value of this entry is known to be committed. */
  isCommitted: (key: string, entry: RegisterEntry) => boolean
  /** Records a committed ballot. false: this ballot or a higher one is known already. */
  learn: (key: string, ballot: Ballot) => boolean
  /** Sets the ballot, even if a higher one is known. */
  set: (key: string, ballot: Ballot) => void
}

/** Makes an empty table. */
export function makeCommittedBallots(): CommittedBallots {
  const ballots = new Map<string, Ballot>()

  function isCommitted(key: string, entry: RegisterEntry): boolean {
    const ballot = ballots.get(key)
    return ballot !== undefined && compareBallots(ballot, entry.ballot) === 0
  }
  function set(key: string, ballot: Ballot): void {
    ballots.set(key, ballot)
  }
  function learn(key: string, ballot: Ballot): boolean {
    const known = ballots.get(key)
    if (known && compareBallots(ballot, known) <= 0) return false
    set(key, ballot)
    return true
  }
  return { isCommitted, learn, set }
}
