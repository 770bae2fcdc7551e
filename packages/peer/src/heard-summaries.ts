import { LRUCache } from 'lru-cache'
import { MAX_CACHED_SUMMARIES, OBSERVATION_LIFETIME_MS, SUMMARY_LIFETIME_MS, type World } from '@claynotch/base'
import type { Summary } from './summary.js'

/** The newest summary of each node; bounded, as names come from the network. */
export type HeardSummaries = {
  /** False: a newer one of that node is known. */
  add: (summary: Summary) => boolean
  /** Those that are not too old, with the time since they came counted in. */
  current: () => Summary[]
}

function aged(ages: [string, number][], by: number): [string, number][] {
  const out: [string, number][] = []
  for (const [name, ms] of ages) out.push([name, ms + by])
  return out
}

export function makeHeardSummaries(world: World): HeardSummaries {
  const newest = new LRUCache<string, { heardAt: number; summary: Summary }>({ max: MAX_CACHED_SUMMARIES })

  function add(summary: Summary): boolean {
    const known = newest.get(summary.node)
    // num starts at a clock's reading, so that a restarted node's summaries go on.
    const isKnownFresh = known !== undefined && world.now() - known.heardAt < SUMMARY_LIFETIME_MS
    if (isKnownFresh && known.summary.num >= summary.num) return false
    newest.set(summary.node, { heardAt: world.now(), summary })
    return true
  }
  function current(): Summary[] {
    const out: Summary[] = []
    const now = world.now()
    for (const [, { heardAt, summary }] of newest.entries()) {
      const age = now - heardAt
      if (age >= SUMMARY_LIFETIME_MS) continue
      out.push({
        ...summary,
        seen: age < OBSERVATION_LIFETIME_MS ? aged(summary.seen, age) : [],
        bad: aged(summary.bad ?? [], age),
      })
    }
    return out
  }
  return { add, current }
}
