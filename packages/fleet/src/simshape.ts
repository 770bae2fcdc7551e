import type { Config, Credential } from '@claynotch/operator'
import type { Law } from './judge.js'
import type { Mix } from './requester.js'

// The shape of a simulated fleet and its traffic, and the small one that most scenarios start from.

// copies: [source, target] groups; the target's leader copies all that the source has.
export type Shape = {
  fronts: number
  areas: string[]
  cores: number
  groups: string[]
  instances: number
  connections: number
  lag: number
  config: Config
  mixes: Mix[]
  requesters: number
  thinkTimeMs: number
  keys: number
  again?: boolean
  latency?: number
  operators?: Credential[]
  suspicionTimeoutMs?: number
  separateGroupData?: boolean
  copies?: [string, string][]
  // An agent runs on each core machine too, which tells its area.
  coreAgents?: boolean
}

// A lane as the judge holds it; reads from the leader may miss nothing.
export function lawOf(lane: Config['lanes'][number], from: number): Law {
  const near =
    lane.reads === 'leader' ? { within: 0, own: false } : { within: lane.reads.within, own: lane.reads.own === true }
  return { lane: lane.name, from, group: lane.group, ...near }
}

export function smallShape(groups = 1): Shape {
  const names: string[] = []
  for (let k = 0; k < groups; k++) names.push(`g${k + 1}`)
  const lanes: Config['lanes'] = []
  const mixes: Mix[] = []
  for (const g of names) {
    lanes.push(
      { name: `book-${g}`, database: 'kiln', group: g, reads: 'leader' },
      { name: 'dep-' + g, database: 'kiln', group: g, reads: { within: 2500, own: true } },
      { name: `cal-${g}`, database: 'kiln', group: g, reads: { within: 1500 } },
    )
    mixes.push(
      { kind: 'booking', lane: `book-${g}`, group: g, op: 'book', weight: 3, within: 0, own: false },
      { kind: 'post', lane: `book-${g}`, group: g, op: 'post', weight: 2, within: 0, own: false },
      { kind: 'ledger', lane: `book-${g}`, group: g, op: 'lookup', weight: 2, within: 0, own: false },
      { kind: 'deposit', lane: `dep-${g}`, group: g, op: 'deposit', weight: 3, within: 2500, own: true },
      { kind: 'calendar', lane: `cal-${g}`, group: g, op: 'lookup', weight: 3, within: 1500, own: false },
      { kind: 'browse', lane: `cal-${g}`, group: g, op: 'browse', weight: 0.5, within: 1500, own: false },
    )
  }
  const groupList: Config['groups'] = []
  for (const g of names) groupList.push({ name: g, connections: 24 })
  return {
    fronts: 3,
    areas: ['a', 'b'],
    cores: 5,
    groups: names,
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
