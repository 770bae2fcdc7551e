import { SPARE_REPLACEMENT_TIMEOUT_MS, VOTER_SUSPICION_TIMEOUT_MS, VOTER_REMOVAL_TIMEOUT_MS, VOTER_REPLACEMENT_TIMEOUT_MS } from '@claynotch/base'
import { quorumOf, type CoreMember, type CoreSet } from '@claynotch/register'

// Which set of voters is to follow the present one: a pure function of what the holder of the duty sees.
// docs/design/coreset.md says when a set changes, and why by these steps.

/** What the holder of the duty sees. Durations are in ms. */
export type VoterView = {
  set: CoreSet
  /** Core machines that are no voters and may become one, the best first. */
  joining: CoreMember[]
  /** For how long a voter was not heard. */
  silence: (id: string) => number
  /** Voters that answer under this set and vote. */
  serving: Set<string>
  /** Whether a voter that answers still holds a link to this one. */
  isHeardByOthers: (id: string) => boolean
  mostVoters: number
}

/** A set is never shrunk below this many voters, of which one may be lost. */
const FEWEST_VOTERS = 3

function byId(a: CoreMember, b: CoreMember): number {
  return a.id < b.id ? -1 : 1
}

/** Voters that were silent for longer than this and that nobody hears, the one that was silent for longest first. */
function goneFor(view: VoterView, ms: number): CoreMember[] {
  function isGone(voter: CoreMember): boolean {
    return view.silence(voter.id) > ms && !view.serving.has(voter.id) && !view.isHeardByOthers(voter.id)
  }
  function bySilence(a: CoreMember, b: CoreMember): number {
    return view.silence(b.id) - view.silence(a.id) || byId(a, b)
  }
  return view.set.cores.filter(isGone).sort(bySilence)
}

/** The voters with the first ones of fresh in place of the first ones of gone, and others added. */
function replaced(voters: CoreMember[], gone: CoreMember[], fresh: CoreMember[], added: CoreMember[]): CoreMember[] {
  const out: CoreMember[] = []
  for (const voter of voters) {
    const at = gone.indexOf(voter)
    out.push(at < 0 ? voter : fresh[at])
  }
  return [...out, ...added]
}

/**
 * The voters that are to follow, or undefined where the set is to stay.
 * - A fresh machine takes the place of a voter that is gone.
 * - A fresh machine joins while there are fewer than mostVoters and no voter is in doubt: in doubt it may be the very one that
 *   the fresh machine is to replace.
 * - A set of an even number drops a voter that is gone, as its quorum is one smaller then.
 * Whatever is chosen, those that vote now are a quorum of the joint set by themselves: no newcomer is needed to end it.
 */
export function planVoters(view: VoterView): CoreMember[] | undefined {
  const { set, joining: fresh, serving: well } = view
  const voters = set.cores
  const isFull = voters.length >= view.mostVoters
  const gone = goneFor(view, isFull ? SPARE_REPLACEMENT_TIMEOUT_MS : VOTER_REPLACEMENT_TIMEOUT_MS)
  function isInDoubt(voter: CoreMember): boolean {
    return view.silence(voter.id) > VOTER_SUSPICION_TIMEOUT_MS && !gone.includes(voter)
  }
  const candidates = swapsAndJoins(view, gone, voters.some(isInDoubt))
  if (fresh.length === 0) candidates.push(...smaller(view))
  function isPossible(next: CoreMember[]): boolean {
    if (next.length === voters.length && next.every(isVoter)) return false
    return quorumOf({ epoch: set.epoch, cores: voters, next }).met(well)
  }
  function isVoter(place: CoreMember): boolean {
    return voters.includes(place)
  }
  return candidates.find(isPossible)
}

/** Every choice of how many are replaced and how many join, the one that changes most first. */
function swapsAndJoins(view: VoterView, gone: CoreMember[], isDoubtful: boolean): CoreMember[][] {
  const { joining: fresh } = view
  const voters = view.set.cores
  const room = isDoubtful ? 0 : Math.max(0, view.mostVoters - voters.length)
  const out: CoreMember[][] = []
  for (let swaps = Math.min(gone.length, fresh.length); swaps >= 0; swaps--) {
    // Nobody joins beside a voter that is gone and could be replaced.
    const mostJoins = swaps === gone.length ? Math.min(room, fresh.length - swaps) : 0
    for (let joins = mostJoins; joins >= 0; joins--)
      out.push(replaced(voters, gone.slice(0, swaps), fresh, fresh.slice(swaps, swaps + joins)))
  }
  return out
}

/** The set without the voter that is gone for longest, where that makes the quorum smaller. */
function smaller(view: VoterView): CoreMember[][] {
  const voters = view.set.cores
  if (voters.length % 2 !== 0 || voters.length <= FEWEST_VOTERS) return []
  const gone = goneFor(view, VOTER_REMOVAL_TIMEOUT_MS)
  if (gone.length === 0) return []
  function stays(voter: CoreMember): boolean {
    return voter !== gone[0]
  }
  return [voters.filter(stays)]
}
