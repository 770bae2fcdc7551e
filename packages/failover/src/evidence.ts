import { GOOD_OBSERVATION_MS, OBSERVATION_SKEW_MS } from '@claynotch/base'

/**
 * What one node told of instances. goodAgeMs: ms since each last answered it. badAgeMs: ms since the first send that failed
 * there, or still waits, with no sign of life after it.
 */
export type InstanceObservations = { goodAgeMs: Map<string, number>; badAgeMs: Map<string, number> }

/** What nodes told of one instance, weighed. */
export type Evidence = {
  /** Nodes for which it answered within GOOD_OBSERVATION_MS. */
  good: number
  /** Those of them for which it answered after the trouble of most others began. */
  hears: number
  /** Nodes for which it fails. */
  bad: number
  /** ms for which it has failed at two nodes, or at the only one that tells of it. */
  since: number
}

function descending(a: number, b: number): number {
  return b - a
}

export function weighEvidence(observations: InstanceObservations[], name: string): Evidence {
  const bads: number[] = []
  const goods: number[] = []
  for (const { goodAgeMs, badAgeMs } of observations) {
    const bad = badAgeMs.get(name)
    const good = goodAgeMs.get(name)
    if (bad !== undefined) bads.push(bad)
    else if (good !== undefined && good < GOOD_OBSERVATION_MS) goods.push(good)
  }
  bads.sort(descending)
  const since = bads[Math.min(1, bads.length - 1)] ?? 0
  const median = bads[Math.floor(bads.length / 2)] ?? 0
  let hears = 0
  for (const age of goods) if (age + OBSERVATION_SKEW_MS < median) hears++
  return { good: goods.length, hears, bad: bads.length, since }
}
