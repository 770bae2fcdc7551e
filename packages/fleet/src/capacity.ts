import { Matrix } from 'ml-matrix'
import { fcnnlsVector } from 'ml-fcnnls'
import { DECISIONS_KEPT, FRAME_LIMIT, HISTORY_KEPT, SIGHTS_KEPT, SUMMARY_LIMIT, VALUE_LIMIT } from '@claynotch/base'
import { KEPT_BACK } from '@claynotch/operator'
import type { RoleReading, Window } from './hollow.js'
import type { Point } from './points.js'

// The sums of docs/CAPACITY.md: slopes fitted to measured points, and what they come to at a size. Nothing here is
// measured; every figure follows from the points and the size handed in.
export type Size = {
  nodes: number
  groups: number
  lanes: number
  instances: number
  cores: number
  changes: number
  history: number
}
export type Bounds = { core: number; memory: number; bytes: number; machines: number; inForce: number }

// The size of the next two years (issue 12). A database is taken as a group of its own, of 3 instances and with one lane;
// changes are spread evenly over the day.
export const target: Size = {
  nodes: 2300,
  groups: 13000,
  lanes: 13000,
  instances: 3,
  cores: 5,
  changes: 47000 / 86400,
  history: 47000,
}
// Of a node: share of a core, bytes resident, bytes a second, for control. machines: set aside for control. inForce: s.
export const bounds: Bounds = { core: 0.011, memory: 32e6, bytes: 6000, machines: 31, inForce: 8 }

// What the terms of a fit are made of. value: bytes of the configuration's register as it goes out.
// spread: processes for each member, as several share one in a hollow fleet; 1 where each has its own.
type Env = Size & { value: number; spread: number }
const features = new Map<string, (e: Env) => number>([
  ['1', one],
  ['N', nodes],
  ['G', groups],
  ['NG', nodesGroups],
  ['NN', nodesNodes],
  ['NNG', nodesNodesGroups],
  ['I', instancesAll],
  ['L', lanes],
  ['V', value],
  ['P', spread],
  ['NV', nodesValue],
  ['ch', changes],
  ['CV', changedBytes],
  ['N·ch', nodesChanges],
  ['N·CV', nodesChangedBytes],
  ['ch/N', changesEach],
  ['CV/N', changedBytesEach],
  ['I/N', instancesEach],
  ['G/N', groupsEach],
  ['HD', holders],
  ['D', decisions],
  ['H', history],
])
function one(): number {
  return 1
}
function nodes(e: Env): number {
  return e.nodes
}
function groups(e: Env): number {
  return e.groups
}
function lanes(e: Env): number {
  return e.lanes
}
function instancesAll(e: Env): number {
  return e.groups * e.instances
}
function nodesGroups(e: Env): number {
  return e.nodes * e.groups
}
function nodesNodes(e: Env): number {
  return e.nodes * e.nodes
}
function nodesNodesGroups(e: Env): number {
  return e.nodes * e.nodes * e.groups
}
function nodesValue(e: Env): number {
  return e.nodes * e.value
}
function value(e: Env): number {
  return e.value
}
function spread(e: Env): number {
  return e.spread
}
function changes(e: Env): number {
  return e.changes
}
function changedBytes(e: Env): number {
  return e.changes * e.value
}
function nodesChanges(e: Env): number {
  return e.nodes * e.changes
}
function nodesChangedBytes(e: Env): number {
  return e.nodes * e.changes * e.value
}
function changesEach(e: Env): number {
  return e.changes / e.nodes
}
function changedBytesEach(e: Env): number {
  return (e.changes * e.value) / e.nodes
}
function instancesEach(e: Env): number {
  return instancesAll(e) / e.nodes
}
function groupsEach(e: Env): number {
  return e.groups / e.nodes
}
// Nodes to which the duty of some group falls, where each group's falls to one by chance.
function holders(e: Env): number {
  return e.nodes * (1 - (1 - 1 / e.nodes) ** e.groups)
}
function decisions(e: Env): number {
  return Math.min(e.history, DECISIONS_KEPT)
}
function history(e: Env): number {
  return Math.min(e.history, HISTORY_KEPT)
}
// count. Instances that fit a summary of the hollow fleet: about 9 bytes for each (names of 4 to 7 letters) beside some 60 for the rest.
export const SUMMARY_HINTS = Math.floor((SUMMARY_LIMIT - 60) / 9)

// --- fits ---

export type Fit = { names: string[]; by: number[]; points: number; most: number; r2: number }

// Least squares with no term below zero, each point weighed by its own size so that small fleets count as large ones do.
export function fit(names: string[], list: { env: Env; y: number }[]): Fit {
  let top = 0
  for (const p of list) top = Math.max(top, Math.abs(p.y))
  if (top === 0 || list.length === 0) return { names, by: names.map(zero), points: list.length, most: 0, r2: 1 }
  const scales: number[] = []
  for (const name of names) {
    let most = 0
    for (const p of list) most = Math.max(most, featureOf(name, p.env))
    scales.push(most > 0 ? most : 1)
  }
  const rows: number[][] = []
  const ys: number[] = []
  for (const p of list) {
    const weight = 1 / (Math.abs(p.y) + 0.05 * top)
    rows.push(names.map(scaled))
    ys.push(p.y * weight)
    function scaled(name: string, k: number): number {
      return (featureOf(name, p.env) / scales[k]) * weight
    }
  }
  const got = fcnnlsVector(new Matrix(rows), ys).K.to1DArray()
  const by: number[] = []
  for (const [k, v] of got.entries()) by.push(Math.max(0, v) / scales[k])
  const out: Fit = { names, by, points: list.length, most: 0, r2: 1 }
  let mean = 0
  for (const p of list) mean += p.y / list.length
  let rest = 0
  let all = 0
  for (const p of list) {
    const guess = valueOf(out, p.env)
    rest += (guess - p.y) ** 2
    all += (p.y - mean) ** 2
    if (Math.abs(p.y) > 0.1 * top) out.most = Math.max(out.most, Math.abs(guess - p.y) / Math.abs(p.y))
  }
  out.r2 = all > 0 ? 1 - rest / all : 1
  return out
}
function zero(): number {
  return 0
}
function featureOf(name: string, env: Env): number {
  const f = features.get(name)
  if (!f) throw new Error(`no term is named ${name}`)
  return f(env)
}
export function valueOf(f: Fit, env: Env): number {
  let sum = 0
  for (const [k, name] of f.names.entries()) sum += f.by[k] * featureOf(name, env)
  return sum
}

// --- what each mechanism's cost may depend on ---

const shapes = new Map<string, string[]>([
  ['core terms', ['N', 'I', 'N·ch']],
  ['core terms cpu', ['N', 'NN', 'NG', 'NNG']],
  ['core pushes', ['N·ch', 'N·CV']],
  ['core acknowledgements', ['N·ch']],
  ['core registers', ['ch', 'CV']],
  ['core file', ['ch', 'CV']],
  ['core file rewritten', ['ch', 'CV']],
  ['core links', ['1', 'N']],
  ['core logs', ['1', 'ch']],
  ['core members', ['1', 'N', 'G', 'NG']],
  ['core repair', ['1']],
  ['core shares', ['1']],
  ['core runtime', ['1', 'N', 'NN', 'N·ch', 'N·CV']],
  ['agent terms', ['1', 'I/N', 'ch']],
  ['agent terms cpu', ['1', 'N', 'G', 'ch']],
  ['agent pushes', ['ch', 'CV']],
  ['agent acknowledgements', ['ch']],
  ['agent registers', ['ch/N', 'CV/N']],
  ['agent members', ['1', 'N', 'G', 'NG']],
  ['agent shares', ['1']],
  ['agent summaries', ['HD', 'I']],
  ['agent announcements', ['I/N']],
  ['agent probes', ['G/N']],
  ['agent feeds', ['1', 'G', 'ch', 'CV']],
  ['agent notes', ['1', 'G', 'ch']],
  ['agent links', ['1']],
  ['agent logs', ['1', 'ch']],
  ['agent duty', ['1', 'G', 'NG']],
  ['agent discovery', ['1']],
  ['agent runtime', ['P', '1', 'N', 'G', 'ch']],
  ['proxy feeds', ['1', 'G', 'ch', 'CV']],
  ['proxy notes', ['1', 'G', 'ch']],
  ['proxy links', ['1']],
  ['proxy logs', ['1', 'ch']],
  ['proxy runtime', ['P', '1', 'G', 'ch']],
  ['proxy freshness', ['1', 'I']],
  ['instance announcements', ['1']],
  ['instance probes', ['1']],
])
const other = new Map<string, string[]>([
  ['core', ['N', 'NN', 'NG', 'N·ch']],
  ['agent', ['1', 'N', 'G', 'ch']],
  ['proxy', ['1', 'G', 'ch']],
  ['instance', ['1']],
])
// What makes messages longer and no more of them.
const lengthens = new Set(['G', 'NG', 'NN', 'NNG', 'V', 'CV', 'N·CV', 'CV/N', 'I', 'D', 'H'])
function shapeOf(role: string, mechanism: string, way: Way): string[] {
  const all = (way === 'cpu' ? shapes.get(`${role} ${mechanism} cpu`) : undefined) ??
    shapes.get(`${role} ${mechanism}`) ??
    other.get(role) ?? ['1']
  // Renewals come on a beat, however long they are.
  if (mechanism === 'terms' && (way === 'inCount' || way === 'outCount')) return role === 'core' ? ['N'] : ['1']
  if (way !== 'inCount' && way !== 'outCount') return all
  const out: string[] = []
  for (const name of all) if (!lengthens.has(name) || mechanism === 'freshness') out.push(name)
  return out
}
const memory = new Map([
  ['core', ['1', 'N', 'G', 'NG', 'V', 'NV']],
  ['agent', ['P', '1', 'N', 'G', 'V']],
  ['proxy', ['P', '1', 'G', 'V']],
])

// --- from points to observations ---

type Costs = { outCount: number; outBytes: number; inCount: number; inBytes: number; cpu: number }
type Seen = { env: Env; mute: boolean; costs: Map<string, Costs>; heap: number; rss: number; late: boolean }

function none(): Costs {
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

function readingOf(w: Window, role: string): RoleReading | undefined {
  for (const r of w.roles) if (r.role === role) return r.reading
  return undefined
}

// ms. A process that was kept waiting for longer by its machine may have lost its term or its links; what it said then is that
// of a fleet in trouble. Its sizes in memory count all the same.
const LATE_WINDOW = 1500
function isLate(w: Window): boolean {
  for (const role of ['core', 'agent']) if ((readingOf(w, role)?.lag ?? 0) > LATE_WINDOW) return true
  return false
}

function seenOf(points: Point[], role: string): Seen[] {
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

// --- the model ---

type Way = keyof Costs
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

export function modelOf(points: Point[]): Model {
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
  function sizeFit(key: string, names: string[]): Fit {
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
  return {
    rows,
    events,
    value: sizeFit('configuration', ['1', 'L', 'G', 'D', 'H']),
    slots: sizeFit('slots', ['1', 'N']),
    record: sizeFit('group/g1', ['1']),
    renewal: sizeFit('renewal', ['1', 'G', 'I/N']),
    answer: sizeFit('answer to a renewal', ['1', 'N', 'G']),
    heap,
    rss,
    times,
  }
}

// --- at a size ---

export type Row = { role: string; mechanism: string; state: number; count: number; bytes: number; cpu: number }
export type Sums = {
  rows: Row[]
  // Bytes of the configuration's register, of the slots' and of all groups' records.
  value: number
  slots: number
  records: number
  // Bytes of an answer that tells everything.
  answer: number
  node: { cpu: number; bytes: number; rss: number; heap: number; proxyRss: number; proxyHeap: number }
  core: { cpu: number; bytes: number; rss: number; heap: number }
  times: Map<string, number>
  events: { what: string; bytes: number }[]
}

// Spoken between agent and proxy of one machine, or written to its disk: not on the network.
const local = new Set(['feeds', 'notes', 'file', 'file rewritten', 'logs'])

export function sumsAt(model: Model, size: Size): Sums {
  const bare: Env = { ...size, value: 0, spread: 1 }
  const value = valueOf(model.value, bare)
  const env: Env = { ...bare, value }
  const slots = valueOf(model.slots, env)
  const records = valueOf(model.record, env) * size.groups
  const answer = valueOf(model.answer, env)
  const rows: Row[] = []
  const node = { cpu: 0, bytes: 0, rss: 0, heap: 0, proxyRss: 0, proxyHeap: 0 }
  const core = { cpu: 0, bytes: 0, rss: 0, heap: 0 }
  for (const r of model.rows) {
    function at(way: Way): number {
      return valueOf(r.fits.get(way) as Fit, env)
    }
    const bytes = at('outBytes') + at('inBytes')
    const cpu = at('cpu')
    const each = (at('outBytes') + at('inBytes')) / Math.max(1e-9, at('outCount') + at('inCount'))
    let state = 0
    // A core keeps of each member what its first renewal tells; an agent keeps each core's whole answer.
    if (r.mechanism === 'terms' && r.role === 'core') state = size.nodes * valueOf(model.renewal, env) + answer
    else if (r.mechanism === 'terms' && r.role === 'agent') state = size.cores * answer
    else if (
      (r.role === 'core' && r.mechanism === 'registers') ||
      (r.role === 'agent' && r.mechanism === 'pushes') ||
      (r.role === 'proxy' && r.mechanism === 'feeds')
    )
      state = value + slots + records
    else if (r.role === 'agent' && r.mechanism === 'summaries') state = Math.min(256, size.nodes) * each
    else if (r.mechanism === 'file') state = 4 * (value + slots + records)
    rows.push({ role: r.role, mechanism: r.mechanism, state, count: at('outCount') + at('inCount'), bytes, cpu })
    const onNet = local.has(r.mechanism) ? 0 : bytes
    if (r.role === 'core') {
      core.cpu += cpu
      core.bytes += onNet
    } else if (r.role === 'agent' || r.role === 'proxy') {
      node.cpu += cpu
      node.bytes += onNet
    }
  }
  node.rss = valueOf(model.rss.get('agent') as Fit, env)
  node.heap = valueOf(model.heap.get('agent') as Fit, env)
  node.proxyRss = valueOf(model.rss.get('proxy') as Fit, env)
  node.proxyHeap = valueOf(model.heap.get('proxy') as Fit, env)
  core.rss = valueOf(model.rss.get('core') as Fit, env)
  core.heap = valueOf(model.heap.get('core') as Fit, env)
  const times = new Map<string, number>()
  for (const [what, f] of model.times) times.set(what, valueOf(f, env))
  const events: Sums['events'] = []
  for (const e of model.events) events.push({ what: e.what, bytes: valueOf(e.bytes, env) })
  return { rows, value, slots, records, answer, node, core, times, events }
}

// --- where it breaks ---

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

export function breaksAt(model: Model, size: Size, limit: Bounds): Break[] {
  function whole(s: Sums, share: number): Map<string, { bound: number; at: number; unit: string }> {
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
        { bound: VALUE_LIMIT, at: s.value, unit: 'bytes' },
      ],
      ['a frame of a link: the first answer to a renewal', { bound: FRAME_LIMIT, at: s.answer, unit: 'bytes' }],
      [
        'instances that a node keeps in mind',
        { bound: SIGHTS_KEPT, at: size.groups * share * size.instances, unit: 'instances' },
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
      ['a day of accepted changes kept', { bound: HISTORY_KEPT, at: size.changes * 86400 * share, unit: 'changes' }],
    ])
  }
  const out: Break[] = []
  const full = whole(sumsAt(model, size), 1)
  for (const [what, { bound, at, unit }] of full) {
    function holds(share: number): boolean {
      const one = whole(sumsAt(model, scaled(size, share)), share).get(what) as { bound: number; at: number }
      return one.at <= one.bound
    }
    let nodesAt: number | undefined
    if (at > bound) {
      let low = 1 / size.nodes
      let high = 1
      // 0: even a fleet of one node breaks it.
      if (!holds(low)) high = 0
      else
        for (let k = 0; k < 40; k++) {
          const mid = Math.sqrt(low * high)
          if (holds(mid)) low = mid
          else high = mid
        }
      nodesAt = Math.floor(high * size.nodes + 1e-9)
    }
    out.push({ what, bound, at, unit, nodes: nodesAt })
  }
  return out.sort(byFactor)
}
function byFactor(a: Break, b: Break): number {
  return b.at / b.bound - a.at / a.bound
}

// --- as text ---

export function showNumber(n: number): string {
  if (!Number.isFinite(n)) return 'none'
  if (n === 0) return '0'
  const steps: [number, string][] = [
    [1e12, ' T'],
    [1e9, ' G'],
    [1e6, ' M'],
    [1e3, ' k'],
  ]
  for (const [by, name] of steps) if (n >= by) return `${Number((n / by).toPrecision(3))}${name}`
  return String(n < 0.001 ? n.toExponential(1) : Number(n.toPrecision(3)))
}
function terms(f: Fit): string {
  const out: string[] = []
  for (const [k, name] of f.names.entries()) if (f.by[k] > 0) out.push(name)
  return out.length > 0 ? out.join(', ') : 'none'
}

// The slopes that the page speaks of.
const SLOPES: [string, string, Way, string][] = [
  ['core', 'terms', 'outBytes', 'bytes out'],
  ['core', 'terms', 'cpu', 'µs'],
  ['core', 'pushes', 'outBytes', 'bytes out'],
  ['core', 'pushes', 'cpu', 'µs'],
  ['core', 'runtime', 'cpu', 'µs'],
  ['agent', 'terms', 'outBytes', 'bytes out'],
  ['agent', 'terms', 'inBytes', 'bytes in'],
  ['agent', 'terms', 'cpu', 'µs'],
  ['agent', 'pushes', 'inBytes', 'bytes in'],
  ['agent', 'pushes', 'cpu', 'µs'],
  ['agent', 'summaries', 'outBytes', 'bytes out'],
  ['agent', 'summaries', 'cpu', 'µs'],
  ['agent', 'announcements', 'inBytes', 'bytes in'],
  ['agent', 'announcements', 'cpu', 'µs'],
  ['agent', 'probes', 'inBytes', 'bytes in'],
  ['agent', 'probes', 'cpu', 'µs'],
  ['agent', 'duty', 'cpu', 'µs'],
  ['agent', 'feeds', 'cpu', 'µs'],
  ['agent', 'runtime', 'cpu', 'µs'],
  ['proxy', 'feeds', 'inBytes', 'bytes in'],
  ['proxy', 'feeds', 'cpu', 'µs'],
  ['proxy', 'freshness', 'inBytes', 'bytes in'],
  ['proxy', 'freshness', 'cpu', 'µs'],
]

export function tableText(points: Point[], size: Size = target, limit: Bounds = bounds): string {
  const model = modelOf(points)
  const sums = sumsAt(model, size)
  const commits = new Set<string>()
  for (const p of points) commits.add(p.commit)
  let late = 0
  let windows = 0
  for (const s of seenOf(points, 'agent')) {
    windows++
    if (s.late) late++
  }
  const lines: string[] = []
  lines.push(
    `Measured: ${points.length} runs on commit ${[...commits].join(', ')}. Size: ${size.nodes} nodes, ${size.groups} groups of ${size.instances}, ${size.lanes} lanes, ${size.cores} cores, ${Number(size.changes.toPrecision(3))} changes a second. Left out of the slopes: ${late} of ${windows} windows, in which the machine kept a core or an agent waiting for over ${LATE_WINDOW / 1000} s.`,
    '',
  )
  lines.push(
    '| role | mechanism | state, bytes | messages/s | bytes/s | processor time, % of a core | bytes grow with | worst miss of the fit, R² |',
    '|---|---|---|---|---|---|---|---|',
  )
  for (const [k, r] of sums.rows.entries()) {
    const f = model.rows[k].fits
    const main = f.get(
      r.bytes > 0 ? ((f.get('outBytes') as Fit).by.some(isAbove) ? 'outBytes' : 'inBytes') : 'cpu',
    ) as Fit
    if (r.bytes === 0 && r.cpu < 1e-6) continue
    const way =
      r.role === 'agent' && r.mechanism === 'terms'
        ? (f.get('inBytes') as Fit)
        : r.role === 'core' && r.mechanism === 'terms'
          ? (f.get('outBytes') as Fit)
          : main
    lines.push(
      `| ${r.role} | ${r.mechanism} | ${r.state > 0 ? showNumber(r.state) : ''} | ${showNumber(r.count)} | ${showNumber(r.bytes)} | ${showNumber(r.cpu * 100)} | ${terms(way)} | ${Math.round(way.most * 100)} %, ${way.r2.toFixed(2)} |`,
    )
  }
  lines.push('', '| slope of | a second, at | is |', '|---|---|---|')
  for (const [role, mechanism, way, name] of SLOPES) {
    for (const r of model.rows) {
      if (r.role !== role || r.mechanism !== mechanism) continue
      const f = r.fits.get(way) as Fit
      const parts: string[] = []
      for (const [k, by] of f.by.entries())
        if (by > 0)
          parts.push(`${showNumber(way === 'cpu' ? by * 1e6 : by)}${f.names[k] === '1' ? '' : ` ${f.names[k]}`}`)
      lines.push(
        `| ${mechanism}, ${name} | ${role === 'core' ? 'a core' : `an ${role}`.replace('an proxy', 'a proxy')} | ${parts.length > 0 ? parts.join(' + ') : 'none'} |`,
      )
    }
  }
  lines.push(
    '',
    '| each | processor time, % of a core | bytes/s on the network | resident | heap |',
    '|---|---|---|---|---|',
  )
  lines.push(
    `| node (agent, and the proxy's control side) | ${showNumber(sums.node.cpu * 100)} | ${showNumber(sums.node.bytes)} | ${showNumber(sums.node.rss)} + ${showNumber(sums.node.proxyRss)} | ${showNumber(sums.node.heap)} + ${showNumber(sums.node.proxyHeap)} |`,
  )
  lines.push(
    `| core | ${showNumber(sums.core.cpu * 100)} | ${showNumber(sums.core.bytes)} | ${showNumber(sums.core.rss)} | ${showNumber(sums.core.heap)} |`,
  )
  lines.push(
    '',
    `The configuration's register goes out as ${showNumber(sums.value)} bytes, the slots' as ${showNumber(sums.slots)}, all groups' records are ${showNumber(sums.records)}, an answer to a renewal that tells everything ${showNumber(sums.answer)}.`,
    '',
  )
  lines.push('| happening | bytes | grow with | worst miss, R² |', '|---|---|---|---|')
  for (const [k, e] of sums.events.entries()) {
    const f = model.events[k].bytes
    lines.push(
      `| ${e.what} | ${showNumber(e.bytes)} | ${terms(f)} | ${Math.round(f.most * 100)} %, ${f.r2.toFixed(2)} |`,
    )
  }
  lines.push(
    '',
    '| measured, ms: nodes | shares by | all at once: terms | first configuration | shares | leaders | all back | a change in force: median, most |',
    '|---|---|---|---|---|---|---|---|',
  )
  for (const p of [...points].sort(byNodes)) {
    const { report } = p
    const { shape } = report
    if (shape.groups !== 10 || shape.lanes !== 30 || shape.history !== 10 || !p.command.includes('--per 25 ')) continue
    const list = [...report.changes.inForce].sort(byLeast)
    const ms = [report.termed, report.applied, report.shared, report.led, report.back].map(showMs)
    lines.push(
      `| ${shape.nodes} | ${shape.shares} | ${ms.join(' | ')} | ${list.length > 0 ? `${list[Math.floor(list.length / 2)]}, ${list[list.length - 1]}` : 'none'} |`,
    )
  }
  lines.push(
    '',
    '| what is bounded | bound | at the size | factor | a fleet of the same make breaks it at |',
    '|---|---|---|---|---|',
  )
  for (const b of breaksAt(model, size, limit))
    lines.push(
      `| ${b.what} | ${showNumber(b.bound)} ${b.unit} | ${showNumber(b.at)} ${b.unit} | ${showNumber(b.at / b.bound)} | ${b.nodes === undefined ? 'holds' : b.nodes === 0 ? 'one node' : `${b.nodes} nodes`} |`,
    )
  return lines.join('\n')
}
function showMs(ms: number | undefined): string {
  return ms === undefined ? 'not in time' : String(Math.round(ms))
}
function byNodes(a: Point, b: Point): number {
  return a.report.shape.shares !== b.report.shape.shares
    ? a.report.shape.shares < b.report.shape.shares
      ? -1
      : 1
    : a.report.shape.nodes - b.report.shape.nodes
}
function byLeast(a: number, b: number): number {
  return a - b
}
function isAbove(n: number): boolean {
  return n > 0
}

// The page with its table made anew; the rest of it is left as written.
const FROM = '<!-- made by: fleet capacity -->'
const TO = '<!-- end -->'
export function pageWith(page: string, table: string): string {
  const a = page.indexOf(FROM)
  const b = page.indexOf(TO, a)
  if (a < 0 || b < 0) throw new Error(`the page has no place for the table: ${FROM} ... ${TO}`)
  return `${page.slice(0, a + FROM.length)}\n\n${table}\n\n${page.slice(b)}`
}
