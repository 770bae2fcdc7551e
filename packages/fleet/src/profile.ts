import type { Config } from '@claynotch/operator'
import type { WorkloadOperation } from './requester.js'

/** Fleet profiles of the two reference deployments: size, workload and configuration. */

/** A deployment. `instances`: per group; `rate`: operations a second over all sessions. */
export type Profile = {
  name: string
  areas: string[]
  fronts: number
  cores: number
  groups: string[]
  instances: number
  connections: number
  sessions: number
  rate: number
  mixes: WorkloadOperation[]
  config: Config
}

/** Every lane template once for each group. */
function lanesOf(
  groups: string[],
  names: { name: string; reads: Config['lanes'][number]['reads'] }[],
): Config['lanes'] {
  const lanes: Config['lanes'] = []
  for (const group of groups)
    for (const lane of names)
      lanes.push({ name: `${lane.name}-${group}`, database: lane.name, group, reads: lane.reads })
  return lanes
}
/** Every operation once for each group, its weight divided among the groups. */
function mixesOf(
  groups: string[],
  templates: {
    kind: string
    lane: string
    op: WorkloadOperation['op']
    weight: number
    within: number
    own: boolean
  }[],
): WorkloadOperation[] {
  const groupMixes: WorkloadOperation[] = []
  for (const group of groups)
    for (const mix of templates)
      groupMixes.push({
        kind: mix.kind,
        lane: `${mix.lane}-${group}`,
        group,
        op: mix.op,
        weight: mix.weight / groups.length,
        within: mix.within,
        own: mix.own,
      })
  return groupMixes
}
/** Groups with the same connection limit each. */
function groupsOf(names: string[], connections: number): Config['groups'] {
  const groups: Config['groups'] = []
  for (const name of names) groups.push({ name, connections })
  return groups
}

/** The checks count a read's staleness from before it was sent, which gives them a margin to the lane's bound. */
export function kamini(): Profile {
  const groups = ['north', 'south', 'east']
  return {
    name: 'kamini',
    areas: ['a', 'b', 'c', 'd'],
    fronts: 9,
    cores: 5,
    groups,
    instances: 3,
    connections: 90,
    sessions: 200,
    rate: 315,
    mixes: mixesOf(groups, [
      { kind: 'booking', lane: 'bookings', op: 'book', weight: 145, within: 0, own: false },
      { kind: 'deposit', lane: 'deposits', op: 'deposit', weight: 105, within: 2500, own: true },
      { kind: 'calendar', lane: 'calendar', op: 'lookup', weight: 65, within: 1500, own: false },
    ]),
    config: {
      proxies: 9,
      groups: groupsOf(groups, 90),
      lanes: lanesOf(groups, [
        { name: 'bookings', reads: 'leader' },
        { name: 'deposits', reads: { within: 2500, own: true } },
        { name: 'calendar', reads: { within: 1500 } },
      ]),
    },
  }
}

export function peachState(): Profile {
  const groups = ['depots', 'parcels', 'routes']
  return {
    name: 'peach-state',
    areas: ['x', 'y', 'z'],
    fronts: 7,
    cores: 5,
    groups,
    instances: 3,
    connections: 100,
    sessions: 200,
    rate: 315,
    mixes: mixesOf(groups, [
      { kind: 'handoff', lane: 'handoffs', op: 'post', weight: 175, within: 0, own: false },
      { kind: 'status', lane: 'status', op: 'lookup', weight: 80, within: 1500, own: false },
      { kind: 'manifest', lane: 'manifests', op: 'deposit', weight: 65, within: 2500, own: true },
    ]),
    config: {
      proxies: 9,
      groups: groupsOf(groups, 100),
      lanes: lanesOf(groups, [
        { name: 'handoffs', reads: 'leader' },
        { name: 'status', reads: { within: 1500 } },
        { name: 'manifests', reads: { within: 2500, own: true } },
      ]),
    },
  }
}

/** The profile of that name. */
export function profileOf(name: string): Profile | undefined {
  return name === 'kamini' ? kamini() : name === 'peach-state' ? peachState() : undefined
}
