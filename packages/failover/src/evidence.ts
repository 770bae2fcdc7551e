import { LEADER_EVIDENCE_LIFETIME_MS, OBSERVATION_SKEW_MS } from '@claynotch/base'

/** What one node reports about instances, by instance name. */
export type InstanceObservations = {
  /** Time in ms since each instance last answered the node. */
  goodAgeMs: Map<string, number>
  /** Time in ms since the node's first request that failed or is still pending, with no sign of life after it. */
  badAgeMs: Map<string, number>
}

/** The observations of all nodes about one instance, summarized. */
export type Evidence = {
  /** Number of nodes that had an answer within GOOD_OBSERVATION_MS and report no failure. */
  good: number
  /** How many of these had an answer after the median start of the failures of other nodes. */
  hears: number
  /** Number of nodes that report failures. */
  bad: number
  /** Time in ms for which requests of two nodes have failed, or those of the only failing node. */
  since: number
}

function descending(a: number, b: number): number {
  return b - a
}

export function weighEvidence(observations: InstanceObservations[], name: string): Evidence {
  const failingAgesMs: number[] = []
  const goodAgesMs: number[] = []
  for (const { goodAgeMs, badAgeMs } of observations) {
    const bad = badAgeMs.get(name)
    const good = goodAgeMs.get(name)
    if (bad !== undefined) failingAgesMs.push(bad)
    else if (good !== undefined && good < LEADER_EVIDENCE_LIFETIME_MS) goodAgesMs.push(good)
  }
  failingAgesMs.sort(descending)
  const since = failingAgesMs[Math.min(1, failingAgesMs.length - 1)] ?? 0
  const medianFailingAgeMs = failingAgesMs[Math.floor(failingAgesMs.length / 2)] ?? 0
  let hears = 0
  for (const age of goodAgesMs) if (age + OBSERVATION_SKEW_MS < medianFailingAgeMs) hears++
  return { good: goodAgesMs.length, hears, bad: failingAgesMs.length, since }
}
