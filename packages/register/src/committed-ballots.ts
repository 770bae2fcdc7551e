import { compareBallots, type Ballot } from './ballot.js'
import type { RegisterEntry } from './register-store.js'

/** The highest ballot of each register that is known to be chosen; forgotten at a restart and learnt anew. */
export type CommittedBallots = {
  isCommitted: (key: string, entry: RegisterEntry) => boolean
  /** false: as high a one is known already. */
  learn: (key: string, ballot: Ballot) => boolean
  /** Takes a ballot whatever was known. */
  set: (key: string, ballot: Ballot) => void
}

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
    const old = ballots.get(key)
    if (old && compareBallots(ballot, old) <= 0) return false
    set(key, ballot)
    return true
  }
  return { isCommitted, learn, set }
}
