import type { Point } from '../points.js'
import type { Env } from './features.js'
import { type Fit, fit } from './fit.js'
import { none, readingOf, seenOf, type Way } from './observations.js'
import { memory, shapeOf } from './terms.js'

// The model: a fit for each mechanism, size, time and event of the measured points.

export type RowFit = { role: string; mechanism: string; fits: Map<Way, Fit> }

export type Model = {
  rows: RowFit[]
  value: Fit
  slots: Fit
  record: Fit
  renewal: Fit
  answer: Fit
  heap: Map<string, Fit>
  rss: Map<string, Fit>
  times: Map<string, Fit>
  events: EventFit[]
}

// What one happening costs, in bytes both ways.
export type EventFit = { what: string; bytes: Fit }

// whole: all members together, each byte said and heard once.
const EVENTS: {
  what: string
  window: 'returning' | 'repair'
  role: string
  mechanisms: string[]
  names: string[]
  whole: boolean
}[] = [
  {
    what: 'all agents back at once: an agent finds the cores',
    window: 'returning',
    role: 'agent',
    mechanisms: ['discovery', 'links'],
    names: ['1', 'N'],
    whole: false,
  },
  {
    what: 'all agents back at once: an agent fetches registers',
    window: 'returning',
    role: 'agent',
    mechanisms: ['registers', 'pushes', 'shares'],
    names: ['1', 'G', 'V'],
    whole: false,
  },
  {
    what: 'all agents back at once: its renewals until all are back',
    window: 'returning',
    role: 'agent',
    mechanisms: ['terms', 'members'],
    names: ['1', 'N', 'G'],
    whole: false,
  },
  {
    what: 'all agents back at once: an agent feeds its proxy anew',
    window: 'returning',
    role: 'agent',
    mechanisms: ['feeds'],
    names: ['1', 'G', 'V'],
    whole: false,
  },
  {
    what: 'a core returns: registers handed over, by all others together',
    window: 'repair',
    role: 'core',
    mechanisms: ['repair'],
    names: ['1', 'G', 'V'],
    whole: true,
  },
]

const WAYS: Way[] = ['outCount', 'outBytes', 'inCount', 'inBytes', 'cpu']

// A fit for each mechanism of each role, one for each way in which it costs.
function rowFits(points: Point[]): RowFit[] {
  const rows: RowFit[] = []
  for (const [role, from] of [
    ['core', 'core'],
    ['agent', 'agent'],
    ['proxy', 'proxy'],
    ['proxy', 'watching proxy'],
    ['instance', 'instance'],
  ]) {
    const seen = seenOf(points, from)
    const names = new Set<string>()
    for (const s of seen) for (const name of s.costs.keys()) names.add(name)
    for (const mechanism of [...names].sort()) {
      const fits = new Map<Way, Fit>()
      for (const way of WAYS) {
        const list: { env: Env; y: number }[] = []
        // Muted runs tell nothing of summaries, nor of what a process spends beside its mechanisms.
        for (const s of seen)
          if (!s.late && (!s.mute || (mechanism !== 'summaries' && mechanism !== 'runtime')))
            list.push({ env: s.env, y: (s.costs.get(mechanism) ?? none())[way] })
        fits.set(way, fit(shapeOf(role, mechanism, way), list))
      }
      rows.push({ role, mechanism, fits })
    }
  }
  return rows
}

// How the longest message with this key grows.
function sizeFit(points: Point[], key: string, names: string[]): Fit {
  const list: { env: Env; y: number }[] = []
  for (const s of points) {
    const got = new Map(s.report.values).get(key)
    const { shape } = s.report
    if (got !== undefined)
      list.push({
        env: { ...shape, changes: 0, history: shape.history + 1 + s.report.changes.accepted, value: 0, spread: 1 },
        y: got,
      })
  }
  return fit(names, list)
}

// Heap and resident bytes of each role.
function memoryFits(points: Point[]): { heap: Map<string, Fit>; rss: Map<string, Fit> } {
  const heap = new Map<string, Fit>()
  const rss = new Map<string, Fit>()
  for (const [role, names] of memory) {
    const seen = seenOf(points, role)
    const heaps: { env: Env; y: number }[] = []
    const sizes: { env: Env; y: number }[] = []
    for (const s of seen) {
      heaps.push({ env: s.env, y: s.heap })
      sizes.push({ env: s.env, y: s.rss })
    }
    heap.set(role, fit(names, heaps))
    rss.set(role, fit(names, sizes))
  }
  return { heap, rss }
}

// How long it takes until all members have what they wait for.
function timeFits(points: Point[]): Map<string, Fit> {
  const times = new Map<string, Fit>()
  for (const what of ['termed', 'applied', 'shared', 'back'] as const) {
    const list: { env: Env; y: number }[] = []
    for (const p of points) {
      const { shape } = p.report
      const got = p.report[what]
      if (got !== undefined && (shape.shares === 'slots') === (what === 'shared'))
        list.push({
          env: { ...shape, changes: 0, value: new Map(p.report.values).get('configuration') ?? 0, spread: 1 },
          y: got,
        })
    }
    times.set(what, fit(['1', 'N', 'NN'], list))
  }
  return times
}

function eventFits(points: Point[]): EventFit[] {
  const events: EventFit[] = []
  for (const e of EVENTS) {
    const list: { env: Env; y: number }[] = []
    for (const p of points) {
      const { shape } = p.report
      const w = e.window === 'returning' ? p.report.returning : p.report.repair
      const r = readingOf(w, e.role)
      if (!r) continue
      let bytes = 0
      for (const m of r.mechanisms) if (e.mechanisms.includes(m.name)) bytes += (m.outBytes + m.inBytes) * w.seconds
      const env: Env = {
        ...shape,
        changes: 0,
        history: shape.history,
        value: new Map(p.report.values).get('configuration') ?? 0,
        spread: 1,
      }
      list.push({ env, y: e.whole ? (bytes * r.members) / 2 : bytes })
    }
    events.push({ what: e.what, bytes: fit(e.names, list) })
  }
  return events
}

export function modelOf(points: Point[]): Model {
  return {
    rows: rowFits(points),
    events: eventFits(points),
    value: sizeFit(points, 'configuration', ['1', 'L', 'G', 'D', 'H']),
    slots: sizeFit(points, 'slots', ['1', 'N']),
    record: sizeFit(points, 'group/g1', ['1']),
    renewal: sizeFit(points, 'renewal', ['1', 'G', 'I/N']),
    answer: sizeFit(points, 'answer to a renewal', ['1', 'N', 'G']),
    ...memoryFits(points),
    times: timeFits(points),
  }
}
