import type { RoleReading, Window } from '../hollow.js'
import type { Point } from '../points.js'
import type { Env } from './features.js'

// From measured points to observations that can be fitted: what each mechanism of a role cost in a window.

type Costs = { outCount: number; outBytes: number; inCount: number; inBytes: number; cpu: number }

type Seen = { env: Env; mute: boolean; costs: Map<string, Costs>; heap: number; rss: number; late: boolean }

export function none(): Costs {
  return { outCount: 0, outBytes: 0, inCount: 0, inBytes: 0, cpu: 0 }
}

// Mechanisms that go over HTTP, and those that go over our own links.
const overHttp = new Set(['announcements', 'probes', 'freshness', 'discovery'])

const overNone = new Set(['file', 'file rewritten', 'logs', 'summaries'])

// Processor time of links and of HTTP is given to the mechanisms whose bytes they carried.
export function costsOf(r: RoleReading): Map<string, Costs> {
  const out = new Map<string, Costs>()
  let links = 0
  let http = 0
  for (const m of r.mechanisms) {
    out.set(m.name, { ...none(), outCount: m.outCount, outBytes: m.outBytes, inCount: m.inCount, inBytes: m.inBytes })
    if (overHttp.has(m.name)) http += m.outBytes + m.inBytes
    else if (!overNone.has(m.name)) links += m.outBytes + m.inBytes
  }
  function spend(name: string, cpu: number): void {
    const old = out.get(name) ?? none()
    out.set(name, { ...old, cpu: old.cpu + cpu })
  }
  for (const [name, cpu] of r.spent) {
    if (name === 'counting') continue
    if (name === 'collection' || name === 'runtime') spend('runtime', cpu)
    else if ((name === 'links' && links > 0) || (name === 'http' && http > 0)) {
      for (const m of r.mechanisms) {
        const mine = name === 'http' ? overHttp.has(m.name) : !overHttp.has(m.name) && !overNone.has(m.name)
        if (mine) spend(m.name, cpu * ((m.outBytes + m.inBytes) / (name === 'http' ? http : links)))
      }
    } else spend(name, cpu)
  }
  return out
}

export function readingOf(w: Window, role: string): RoleReading | undefined {
  for (const r of w.roles) if (r.role === role) return r.reading
  return undefined
}

// ms. A process that was kept waiting for longer by its machine may have lost its term or its links; what it said then is that
// of a fleet in trouble. Its sizes in memory count all the same.
export const LATE_WINDOW = 1500

function isLate(w: Window): boolean {
  for (const role of ['core', 'agent']) if ((readingOf(w, role)?.lag ?? 0) > LATE_WINDOW) return true
  return false
}

export function seenOf(points: Point[], role: string): Seen[] {
  const out: Seen[] = []
  for (const p of points) {
    const { shape } = p.report
    const sizes = new Map(p.report.values)
    for (const [w, busy] of [
      [p.report.calm, false],
      [p.report.changing, true],
    ] as [Window, boolean][]) {
      const r = readingOf(w, role)
      if (!r) continue
      const made = shape.history + 1 + (busy ? p.report.changes.accepted : 0)
      const env: Env = {
        nodes: shape.nodes,
        groups: shape.groups,
        lanes: shape.lanes,
        instances: shape.instances,
        cores: shape.cores,
        changes: busy ? p.report.changes.accepted / w.seconds : 0,
        history: made,
        value: sizes.get('configuration') ?? 0,
        spread: r.processes / r.members,
      }
      const costs = costsOf(r)
      if (role === 'watching proxy') {
        // Two of them share a process and do nothing else that costs; what they spend beyond feeds and notes is freshness.
        const got = costs.get('freshness') ?? none()
        out.push({
          env,
          mute: shape.mute,
          costs: new Map([['freshness', { ...got, cpu: got.cpu + (costs.get('runtime')?.cpu ?? 0) }]]),
          heap: r.heap,
          rss: r.rss,
          late: isLate(w),
        })
      } else out.push({ env, mute: shape.mute, costs, heap: r.heap, rss: r.rss, late: isLate(w) })
    }
  }
  return out
}

export type Way = keyof Costs
