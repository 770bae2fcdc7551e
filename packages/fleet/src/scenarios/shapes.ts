import type { WorkloadOperation } from '../requester.js'
import type { Shape } from '../simfleet.js'

// The shapes of fleet and traffic that scenarios ask for, each made from the small one.

export function threeShares(s: Shape): Shape {
  return {
    ...s,
    requesters: 24,
    thinkTimeMs: 60,
    keys: 100,
    latency: 8,
    connections: 20,
    config: { ...s.config, proxies: 3, groups: [{ name: 'g1', connections: 20 }] },
  }
}

export const GUARD = 600

export function guardedBusy(s: Shape): Shape {
  return {
    ...s,
    requesters: 10,
    thinkTimeMs: 90,
    keys: 60,
    config: { ...s.config, groups: [{ name: 'g1', connections: 24, guard: GUARD }] },
  }
}

export function busy(s: Shape): Shape {
  return { ...s, requesters: 18, thinkTimeMs: 70, keys: 60 }
}

export function far(s: Shape): Shape {
  return { ...s, latency: 8 }
}

export function teamMixes(team: string): WorkloadOperation[] {
  return [{ kind: team, lane: `lane-${team}`, group: 'g1', op: 'book', weight: 1, within: 0, own: false }]
}

export function twoTeams(s: Shape): Shape {
  return {
    ...s,
    requesters: 6,
    thinkTimeMs: 60,
    keys: 40,
    latency: 8,
    connections: 16,
    mixes: teamMixes('quiet'),
    config: {
      proxies: 4,
      groups: [{ name: 'g1', connections: 16 }],
      teams: [
        { name: 'quiet', share: 1 },
        { name: 'loud', share: 1 },
      ],
      lanes: [
        { name: 'lane-quiet', database: 'kiln', group: 'g1', reads: 'leader', team: 'quiet' },
        { name: 'lane-loud', database: 'kiln', group: 'g1', reads: 'leader', team: 'loud' },
      ],
    },
  }
}

export function crowded(s: Shape): Shape {
  return {
    ...s,
    requesters: 30,
    thinkTimeMs: 60,
    keys: 100,
    latency: 8,
    connections: 16,
    config: { ...s.config, groups: [{ name: 'g1', connections: 16 }] },
  }
}

export function homed(s: Shape): Shape {
  return { ...s, requesters: 6, config: { ...s.config, groups: [{ name: 'g1', connections: 24, home: ['b'] }] } }
}

export function retrying(s: Shape): Shape {
  return { ...s, again: true, requesters: 18 }
}
