import type { Config, Credential } from '@claynotch/operator'
import type { LaneRule } from './judge.js'
import type { WorkloadOperation } from './requester.js'

/** Size, configuration and traffic of a simulated fleet. Times are in ms. */
export type Shape = {
  /** Number of front machines, with an agent and a proxy each. */
  fronts: number
  areas: string[]
  cores: number
  groups: string[]
  /** Instances of each group. */
  instances: number
  /** Connection limit of each instance. */
  connections: number
  lag: number
  config: Config
  mixes: WorkloadOperation[]
  requesters: number
  /** Scale of the random pauses that requesters make between operations. */
  thinkTimeMs: number
  /** Number of keys of each group that requesters use. */
  keys: number
  /** Requesters retry an operation at once, on another node, up to twice; not if it was rolled back or is unknown. */
  again?: boolean
  latency?: number
  operators?: Credential[]
  /** Suspicion timeout of the agents; undefined: their default. */
  suspicionTimeoutMs?: number
  /** The groups of a lane hold separate data, so that one doesn't owe what the other acknowledged. */
  separateGroupData?: boolean
  /** [source, target] groups; the target's leader copies all data of the source. */
  copies?: [string, string][]
  /** Runs an agent on each core machine too, which reports the machine's area. */
  coreAgents?: boolean
}

/** The rule by which the judge checks a lane from a time on; reads from the leader may miss no commit. */
export function lawOf(lane: Config['lanes'][number], from: number): LaneRule {
  const readBound =
    lane.reads === 'leader' ? { within: 0, own: false } : { within: lane.reads.within, own: lane.reads.own === true }
  return { lane: lane.name, from, group: lane.group, ...readBound }
}

/** The small fleet that most scenarios start from. */
export function smallShape(groups = 1): Shape {
  const groupNames: string[] = []
  for (let k = 0; k < groups; k++) groupNames.push(`g${k + 1}`)
  const lanes: Config['lanes'] = []
  const mixes: WorkloadOperation[] = []
  for (const group of groupNames) {
    lanes.push(
      { name: `book-${group}`, database: 'kiln', group, reads: 'leader' },
      { name: 'dep-' + group, database: 'kiln', group, reads: { within: 2500, own: true } },
      { name: `cal-${group}`, database: 'kiln', group, reads: { within: 1500 } },
    )
    mixes.push(
      { kind: 'booking', lane: `book-${group}`, group, op: 'book', weight: 3, within: 0, own: false },
      { kind: 'post', lane: `book-${group}`, group, op: 'post', weight: 2, within: 0, own: false },
      { kind: 'ledger', lane: `book-${group}`, group, op: 'lookup', weight: 2, within: 0, own: false },
      { kind: 'deposit', lane: `dep-${group}`, group, op: 'deposit', weight: 3, within: 2500, own: true },
      { kind: 'calendar', lane: `cal-${group}`, group, op: 'lookup', weight: 3, within: 1500, own: false },
      { kind: 'browse', lane: `cal-${group}`, group, op: 'browse', weight: 0.5, within: 1500, own: false },
    )
  }
  const groupList: Config['groups'] = []
  for (const group of groupNames) groupList.push({ name: group, connections: 24 })
  return {
    fronts: 3,
    areas: ['a', 'b'],
    cores: 5,
    groups: groupNames,
    instances: 3,
    connections: 24,
    lag: 120,
    requesters: 9,
    thinkTimeMs: 150,
    keys: 12,
    mixes,
    config: { proxies: 4, groups: groupList, lanes },
  }
}
