import { LRUCache } from 'lru-cache'
import { MAX_CACHED_SUMMARIES, OBSERVATION_LIFETIME_MS, SUMMARY_LIFETIME_MS, type World } from '@claynotch/base'
import type { Summary } from './summary.js'

/** The newest summary received from each node. Its size is limited, because the names come from the network. */
export type HeardSummaries = {
  /** Records a summary. false: this or a newer summary of that node is known already. */
  add: (summary: Summary) => boolean
  /**
   * The summaries that haven't expired; the time since they were received is added to their ages. `seen` expires
   * separately, after OBSERVATION_LIFETIME_MS.
   */
  current: () => Summary[]
}

/** Adds this time (ms) to each age. */
function withAddedAge(ages: [string, number][], addedMs: number): [string, number][] {
  const currentAges: [string, number][] = []
  for (const [name, ms] of ages) currentAges.push([name, ms + addedMs])
  return currentAges
}

/** Makes an empty collection. */
export function makeHeardSummaries(world: World): HeardSummaries {
  const newest = new LRUCache<string, { receivedAt: number; summary: Summary }>({ max: MAX_CACHED_SUMMARIES })

  function add(summary: Summary): boolean {
    const known = newest.get(summary.node)
    // num starts at a clock reading, so that it continues to grow after a restart of the node.
    const isKnownValid = known !== undefined && world.now() - known.receivedAt < SUMMARY_LIFETIME_MS
    if (isKnownValid && known.summary.num >= summary.num) return false
    newest.set(summary.node, { receivedAt: world.now(), summary })
    return true
  }
  function current(): Summary[] {
    const summaries: Summary[] = []
    const now = world.now()
    for (const [, { receivedAt, summary }] of newest.entries()) {
      const ageMs = now - receivedAt
      if (ageMs >= SUMMARY_LIFETIME_MS) continue
      summaries.push({
        ...summary,
        seen: ageMs < OBSERVATION_LIFETIME_MS ? withAddedAge(summary.seen, ageMs) : [],
        bad: withAddedAge(summary.bad ?? [], ageMs),
      })
    }
    return summaries
  }
  return { add, current }
}
