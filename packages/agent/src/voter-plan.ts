import {
  SPARE_REPLACEMENT_TIMEOUT_MS,
  VOTER_SUSPICION_TIMEOUT_MS,
  VOTER_REMOVAL_TIMEOUT_MS,
  VOTER_REPLACEMENT_TIMEOUT_MS,
} from '@claynotch/base'
import { quorumOf, type CoreMember, type CoreSet } from '@claynotch/register'

/**
 * What the holder of the duty for the core set observes; the next set of voters is a pure function of it. Durations
 * are in ms. docs/design/coreset.md says when a set changes, and why in these steps.
 */
export type VoterView = {
  /** The current set, which isn't a joint one. */
  set: CoreSet
  /** Core machines that don't vote and may become voters, in order of preference. */
  joining: CoreMember[]
  /** The time since a voter's last answer. */
  silence: (id: string) => number
  /** The voters that answer under this set and vote. */
  serving: Set<string>
  /** Whether any voter that answers still has a link to this one. */
  isHeardByOthers: (id: string) => boolean
  /** The largest number of voters that a set may have. */
  mostVoters: number
}

/** A set is never shrunk below this many voters, which tolerate the loss of one. */
const MIN_VOTERS = 3

function byId(a: CoreMember, b: CoreMember): number {
  return a.id < b.id ? -1 : 1
}

/** Voters that have been silent for longer than this and that no other voter hears, the longest silent first. */
function votersLostFor(view: VoterView, ms: number): CoreMember[] {
  function isLost(voter: CoreMember): boolean {
    return view.silence(voter.id) > ms && !view.serving.has(voter.id) && !view.isHeardByOthers(voter.id)
  }
  function bySilence(a: CoreMember, b: CoreMember): number {
    return view.silence(b.id) - view.silence(a.id) || byId(a, b)
  }
  return view.set.cores.filter(isLost).sort(bySilence)
}

/** The voters, with the lost ones replaced by the joining machines in order, and with others added. */
function withReplacements(
  voters: CoreMember[],
  lost: CoreMember[],
  joining: CoreMember[],
  added: CoreMember[],
): CoreMember[] {
  const next: CoreMember[] = []
  for (const voter of voters) {
    const index = lost.indexOf(voter)
    next.push(index < 0 ? voter : joining[index])
  }
  return [...next, ...added]
}

/**
 * Plans the next set of voters; undefined: the set stays as it is.
 * - A joining machine replaces a lost voter.
 * - A joining machine is added while there are fewer than mostVoters and no voter is in doubt: a voter in doubt may
 *   be the very one that the machine is to replace.
 * - A set of an even number drops a lost voter, because its quorum is then smaller by one.
 *
 * In every plan the voters that vote now form a quorum of the joint set by themselves: no newcomer is needed to finish
 * the change.
 */
export function planVoters(view: VoterView): CoreMember[] | undefined {
  const { set, joining, serving } = view
  const voters = set.cores
  const isFull = voters.length >= view.mostVoters
  const lost = votersLostFor(view, isFull ? SPARE_REPLACEMENT_TIMEOUT_MS : VOTER_REPLACEMENT_TIMEOUT_MS)
  function isInDoubt(voter: CoreMember): boolean {
    return view.silence(voter.id) > VOTER_SUSPICION_TIMEOUT_MS && !lost.includes(voter)
  }
  const plans = replacementsAndJoins(view, lost, voters.some(isInDoubt))
  if (joining.length === 0) plans.push(...shrinkingPlans(view))
  function isFeasible(next: CoreMember[]): boolean {
    if (next.length === voters.length && next.every(isVoter)) return false
    return quorumOf({ epoch: set.epoch, cores: voters, next }).met(serving)
  }
  function isVoter(place: CoreMember): boolean {
    return voters.includes(place)
  }
  return plans.find(isFeasible)
}

/** All combinations of replacements and joins, the largest change first. */
function replacementsAndJoins(view: VoterView, lost: CoreMember[], isDoubtful: boolean): CoreMember[][] {
  const { joining } = view
  const voters = view.set.cores
  const freeSeats = isDoubtful ? 0 : Math.max(0, view.mostVoters - voters.length)
  const plans: CoreMember[][] = []
  for (let replacements = Math.min(lost.length, joining.length); replacements >= 0; replacements--) {
    // No machine is added while a lost voter remains that it could replace.
    const maxJoins = replacements === lost.length ? Math.min(freeSeats, joining.length - replacements) : 0
    for (let joins = maxJoins; joins >= 0; joins--)
      plans.push(
        withReplacements(
          voters,
          lost.slice(0, replacements),
          joining,
          joining.slice(replacements, replacements + joins),
        ),
      )
  }
  return plans
}

/** The set without the longest silent lost voter, where that makes the quorum smaller; else no plan. */
function shrinkingPlans(view: VoterView): CoreMember[][] {
  const voters = view.set.cores
  if (voters.length % 2 !== 0 || voters.length <= MIN_VOTERS) return []
  const lost = votersLostFor(view, VOTER_REMOVAL_TIMEOUT_MS)
  if (lost.length === 0) return []
  function isKept(voter: CoreMember): boolean {
    return voter !== lost[0]
  }
  return [voters.filter(isKept)]
}
