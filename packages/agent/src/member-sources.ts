import { MEMBER_SOURCE_SILENCE_MS, type World } from '@claynotch/base'
import { spreadHash } from './spread.js'

/** A core that may be chosen. heard: local time (ms) of its last answer, or of the opening of its link if later. */
export type MemberSourceCandidate = { id: string; isUp: boolean; heard: number }

/**
 * Chooses the cores that report members to this node; the others leave the members out of their answers.
 *
 * To a node without duties, members are hints: where to send its summaries, and among how many proxies connections
 * are shared. Every core reports the same members, so a few cores are enough; leases, registers and instances are
 * reported by all.
 */
export type MemberSources = {
  /** Whether the core is one of the chosen ones. */
  has: (id: string) => boolean
  /** Chooses again; returns the cores that were added to the chosen ones or removed from them. */
  choose: (candidates: MemberSourceCandidate[]) => string[]
}

export function makeMemberSources(world: World, node: string, count: number): MemberSources {
  let chosen = new Set<string>()

  function isEligible(candidate: MemberSourceCandidate): boolean {
    return candidate.isUp && world.now() - candidate.heard <= MEMBER_SOURCE_SILENCE_MS
  }
  function isStillEligible(candidate: MemberSourceCandidate): boolean {
    return chosen.has(candidate.id) && isEligible(candidate)
  }
  function byPreference(a: MemberSourceCandidate, b: MemberSourceCandidate): number {
    const eligibility = Number(isEligible(b)) - Number(isEligible(a))
    return eligibility !== 0 ? eligibility : spreadHash(node, a.id) - spreadHash(node, b.id)
  }
  function choose(candidates: MemberSourceCandidate[]): string[] {
    const next = new Set<string>()
    for (const candidate of candidates) if (isStillEligible(candidate)) next.add(candidate.id)
    for (const candidate of [...candidates].sort(byPreference)) if (next.size < count) next.add(candidate.id)
    const changed: string[] = []
    for (const { id } of candidates) if (next.has(id) !== chosen.has(id)) changed.push(id)
    chosen = next
    return changed
  }
  function has(id: string): boolean {
    return chosen.has(id)
  }
  return { has, choose }
}
