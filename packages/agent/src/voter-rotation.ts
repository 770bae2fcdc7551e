import { VOTER_RECENCY_MS, type World } from '@claynotch/base'
import type { Quorum } from '@claynotch/register'
import { spreadHash } from './spread.js'

/**
 * A voter that a renewal may ask. heard: local time (ms) of its last answer, or of the opening of its link if later.
 */
export type VoterCandidate = {
  id: string
  isUp: boolean
  heard: number
  /** Asked in every round, because it reports members or pushes updates to this node. */
  isPinned: boolean
}

/**
 * Chooses the voters that a renewal asks first.
 *
 * A lease needs only a quorum. So the voters that aren't pinned are split into two halves that are asked in alternate
 * rounds; each voter hears from the node at least every second round, so that the node's lease there doesn't expire
 * meanwhile. If the voters that are due and were heard recently don't form a quorum, more are asked; a round that still
 * misses its quorum asks the rest.
 */
export type VoterRotation = { choose: (candidates: VoterCandidate[], quorum: Quorum) => Set<string> }

export function makeVoterRotation(world: World, node: string): VoterRotation {
  let round = 0

  function isRecent(candidate: VoterCandidate): boolean {
    return candidate.isUp && world.now() - candidate.heard <= VOTER_RECENCY_MS
  }
  function bySpread(a: VoterCandidate, b: VoterCandidate): number {
    return spreadHash(node, a.id) - spreadHash(node, b.id)
  }
  function choose(candidates: VoterCandidate[], quorum: Quorum): Set<string> {
    round++
    const chosen = new Set<string>()
    const recent = new Set<string>()
    function select(candidate: VoterCandidate): void {
      chosen.add(candidate.id)
      if (isRecent(candidate)) recent.add(candidate.id)
    }
    const notDue: VoterCandidate[] = []
    let position = 0
    for (const candidate of [...candidates].sort(bySpread)) {
      const isDue = candidate.isPinned || position++ % 2 === round % 2
      if (isDue) select(candidate)
      else notDue.push(candidate)
    }
    for (const candidate of notDue) {
      if (quorum.met(recent)) break
      select(candidate)
    }
    return chosen
  }
  return { choose }
}
