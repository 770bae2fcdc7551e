import { VOTER_RECENCY_MS, type World } from '@claynotch/base'
import type { Quorum } from '@claynotch/register'
import { spread } from './spread.js'

/** A voter as a renewal may ask it. heard: local time (ms) of its last answer, at the earliest when it became known here. */
export type VoterCandidate = {
  id: string
  isUp: boolean
  heard: number
  /** Asked in every round: it tells of members, or pushes to this node. */
  isPinned: boolean
}

/**
 * Which voters a renewal asks first.
 *
 * A lease needs a quorum, not everyone. So the voters that nothing else ties to this node are asked in every other round, in
 * two halves; each hears of the node at least every second round, and its lease there never lapses meanwhile. Where those that
 * are due can't be a quorum by what was heard of them, more are asked; a round that still misses its quorum asks the rest.
 */
export type VoterRotation = { choose: (candidates: VoterCandidate[], quorum: Quorum) => Set<string> }

export function makeVoterRotation(world: World, node: string): VoterRotation {
  let round = 0

  function isRecent(candidate: VoterCandidate): boolean {
    return candidate.isUp && world.now() - candidate.heard <= VOTER_RECENCY_MS
  }
  function bySpread(a: VoterCandidate, b: VoterCandidate): number {
    return spread(node, a.id) - spread(node, b.id)
  }
  function choose(candidates: VoterCandidate[], quorum: Quorum): Set<string> {
    round++
    const chosen = new Set<string>()
    const recent = new Set<string>()
    function take(candidate: VoterCandidate): void {
      chosen.add(candidate.id)
      if (isRecent(candidate)) recent.add(candidate.id)
    }
    const resting: VoterCandidate[] = []
    let position = 0
    for (const candidate of [...candidates].sort(bySpread)) {
      const isDue = candidate.isPinned || position++ % 2 === round % 2
      if (isDue) take(candidate)
      else resting.push(candidate)
    }
    for (const candidate of resting) {
      if (quorum.met(recent)) break
      take(candidate)
    }
    return chosen
  }
  return { choose }
}
