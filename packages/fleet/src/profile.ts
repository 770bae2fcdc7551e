import type { Config } from '@claynotch/operator'
import type { Mix } from './requester.js'

// The two deployments of the brief, as fleet profiles.
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
  mixes: Mix[]
  config: Config
}

function lanesOf(
  groups: string[],
  names: { name: string; reads: Config['lanes'][number]['reads'] }[],
): Config['lanes'] {
  const out: Config['lanes'] = []
  for (const g of groups)
    for (const n of names) out.push({ name: `${n.name}-${g}`, database: n.name, group: g, reads: n.reads })
  return out
}
function mixesOf(
  groups: string[],
  list: { kind: string; lane: string; op: Mix['op']; weight: number; within: number; own: boolean }[],
): Mix[] {
  const out: Mix[] = []
  for (const g of groups)
    for (const m of list)
      out.push({
        kind: m.kind,
        lane: `${m.lane}-${g}`,
        group: g,
        op: m.op,
        weight: m.weight / groups.length,
        within: m.within,
        own: m.own,
      })
  return out
}
function groupsOf(names: string[], connections: number): Config['groups'] {
  const out: Config['groups'] = []
  for (const name of names) out.push({ name, connections })
  return out
}

// Margin for the judge: the clock of a read runs from before it was sent.
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

export function profileOf(name: string): Profile | undefined {
  return name === 'kamini' ? kamini() : name === 'peach-state' ? peachState() : undefined
}
