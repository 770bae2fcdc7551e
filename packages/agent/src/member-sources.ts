import { MEMBER_SOURCE_SILENCE_MS, type World } from '@claynotch/base'
import { spread } from './spread.js'

/** A core as it may be chosen. heard: when it answered last, at the earliest when it became known here. */
export type Candidate = { id: string; isUp: boolean; heard: number }

/**
 * The cores from which a node takes the lines of members; the others leave them out of their answers.
 *
 * Members are hints to a node without duties: where its summaries go, and among how many proxies connections are shared. Every
 * core tells of the same members, so that a few are enough; leases, registers and instances are told by all.
 */
export type MemberSources = {
  has: (id: string) => boolean
  /** Chooses anew; the cores that tell of members from now on and didn't before, and those that don't any more. */
  choose: (candidates: Candidate[]) => string[]
}

export function makeMemberSources(world: World, node: string, count: number): MemberSources {
  let chosen = new Set<string>()

  function isFit(candidate: Candidate): boolean {
    return candidate.isUp && world.now() - candidate.heard <= MEMBER_SOURCE_SILENCE_MS
  }
  function isKept(candidate: Candidate): boolean {
    return chosen.has(candidate.id) && isFit(candidate)
  }
  function byWorth(a: Candidate, b: Candidate): number {
    const fit = Number(isFit(b)) - Number(isFit(a))
    return fit !== 0 ? fit : spread(node, a.id) - spread(node, b.id)
  }
  function choose(candidates: Candidate[]): string[] {
    const next = new Set<string>()
    for (const candidate of candidates) if (isKept(candidate)) next.add(candidate.id)
    for (const candidate of [...candidates].sort(byWorth)) if (next.size < count) next.add(candidate.id)
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
