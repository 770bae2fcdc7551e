import {
  FRAME_LIMIT_BYTES,
  MAX_HISTORY_ENTRIES,
  MAX_KNOWN_INSTANCES,
  REGISTER_VALUE_LIMIT_BYTES,
} from '@claynotch/base'
import { KEPT_BACK } from '@claynotch/operator'
import type { Model } from './model.js'
import { type Bounds, type Size, SUMMARY_HINTS } from './size.js'
import { type Sums, sumsAt } from './sums.js'

// Where each bound breaks, and at how many nodes.

export type Break = { what: string; bound: number; at: number; unit: string; nodes: number | undefined }

// A fleet of the same make with that share of everything.
export function scaled(size: Size, share: number): Size {
  return {
    ...size,
    nodes: size.nodes * share,
    groups: size.groups * share,
    lanes: size.lanes * share,
    changes: size.changes * share,
    history: size.history * share,
  }
}

// bytes a second that one machine's link carries, at 1 Gbit/s; and s in which a term must be renewed.
const LINK_BYTES = 125e6
// count. Steps of the search for the size at which a bound breaks: far below one node.
const BISECTIONS = 40

type Held = { bound: number; at: number; unit: string }

// Each bound with what is held against it, of a fleet with that share of the size.
function heldAgainst(s: Sums, share: number, size: Size, limit: Bounds): Map<string, Held> {
  const n = size.nodes * share
  const conns = 98 // the smallest connection limit among the deployments known
  return new Map([
    ['a node: processor time for control', { bound: limit.core, at: s.node.cpu, unit: 'cores' }],
    ['a node: bytes a second for control', { bound: limit.bytes, at: s.node.bytes, unit: 'bytes/s' }],
    [
      'a node: memory for control, heap alone (agent and proxy)',
      { bound: limit.memory, at: s.node.heap + s.node.proxyHeap, unit: 'bytes' },
    ],
    ['a node: memory for control, resident (agent alone)', { bound: limit.memory, at: s.node.rss, unit: 'bytes' }],
    ['a core: processor time, one thread', { bound: 1, at: s.core.cpu, unit: 'cores' }],
    ['a core: bytes a second on a link of 1 Gbit/s', { bound: LINK_BYTES, at: s.core.bytes, unit: 'bytes/s' }],
    ['a core: memory, of 346 MB', { bound: 346e6, at: s.core.rss, unit: 'bytes' }],
    [
      'all cores over the machines for control: processor time',
      { bound: limit.machines, at: s.core.cpu * size.cores, unit: 'cores' },
    ],
    [
      "the configuration's register, over which changes are refused",
      { bound: REGISTER_VALUE_LIMIT_BYTES, at: s.value, unit: 'bytes' },
    ],
    ['a frame of a link: the first answer to a renewal', { bound: FRAME_LIMIT_BYTES, at: s.answer, unit: 'bytes' }],
    [
      'instances that a node keeps in mind',
      { bound: MAX_KNOWN_INSTANCES, at: size.groups * share * size.instances, unit: 'instances' },
    ],
    [
      'one change pushed to all nodes by one core, at 1 Gbit/s',
      { bound: limit.inForce, at: (s.value * n) / LINK_BYTES, unit: 's' },
    ],
    [
      `shares by slots: connections kept back at an instance with ${conns}`,
      { bound: conns / (KEPT_BACK + 1), at: n, unit: 'nodes' },
    ],
    [
      `shares by live members: one connection each at an instance with ${conns}`,
      { bound: conns, at: n, unit: 'nodes' },
    ],
    [
      'instances named in a summary to one holder',
      { bound: SUMMARY_HINTS, at: (size.groups * size.instances) / size.nodes, unit: 'instances' },
    ],
    ['summaries held by a node', { bound: 256, at: n, unit: 'nodes' }],
    [
      'a day of accepted changes kept',
      { bound: MAX_HISTORY_ENTRIES, at: size.changes * 86400 * share, unit: 'changes' },
    ],
  ])
}

// The greatest share of the size at which the bound holds, 0 where even a fleet of one node breaks it.
function greatestShare(nodes: number, holds: (share: number) => boolean): number {
  let low = 1 / nodes
  let high = 1
  if (!holds(low)) return 0
  for (let k = 0; k < BISECTIONS; k++) {
    const middle = Math.sqrt(low * high)
    if (holds(middle)) low = middle
    else high = middle
  }
  return high
}

export function breaksAt(model: Model, size: Size, limit: Bounds): Break[] {
  const out: Break[] = []
  const full = heldAgainst(sumsAt(model, size), 1, size, limit)
  for (const [what, { bound, at, unit }] of full) {
    function holds(share: number): boolean {
      const one = heldAgainst(sumsAt(model, scaled(size, share)), share, size, limit).get(what) as Held
      return one.at <= one.bound
    }
    const nodes = at > bound ? Math.floor(greatestShare(size.nodes, holds) * size.nodes + 1e-9) : undefined
    out.push({ what, bound, at, unit, nodes })
  }
  return out.sort(byFactor)
}

function byFactor(a: Break, b: Break): number {
  return b.at / b.bound - a.at / a.bound
}
