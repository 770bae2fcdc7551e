import type { Point } from '../points.js'
import { breaksAt } from './breaks.js'
import type { Fit } from './fit.js'
import { type Model, modelOf } from './model.js'
import { LATE_WINDOW, seenOf, type Way } from './observations.js'
import { type Bounds, bounds, type Size, target } from './size.js'
import { type Sums, sumsAt } from './sums.js'

// The tables of docs/CAPACITY.md as text.

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

// What was measured, and which windows were left out.
function introduction(points: Point[], size: Size): string[] {
  const lines: string[] = []
  const commits = new Set<string>()
  for (const p of points) commits.add(p.commit)
  let late = 0
  let windows = 0
  for (const s of seenOf(points, 'agent')) {
    windows++
    if (s.late) late++
  }
  lines.push(
    `Measured: ${points.length} runs on commit ${[...commits].join(', ')}. Size: ${size.nodes} nodes, ${size.groups} groups of ${size.instances}, ${size.lanes} lanes, ${size.cores} cores, ${Number(size.changes.toPrecision(3))} changes a second. Left out of the slopes: ${late} of ${windows} windows, in which the machine kept a core or an agent waiting for over ${LATE_WINDOW / 1000} s.`,
    '',
  )
  return lines
}

// A row for each mechanism of each role.
function mechanismRows(model: Model, sums: Sums): string[] {
  const lines: string[] = []
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
  return lines
}

// The slopes themselves.
function slopeRows(model: Model): string[] {
  const lines: string[] = []
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
  return lines
}

// The sums for a node and for a core.
function memberRows(sums: Sums): string[] {
  const lines: string[] = []
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
  return lines
}

// What one event costs.
function eventRows(model: Model, sums: Sums): string[] {
  const lines: string[] = []
  lines.push('| happening | bytes | grow with | worst miss, R² |', '|---|---|---|---|')
  for (const [k, e] of sums.events.entries()) {
    const f = model.events[k].bytes
    lines.push(
      `| ${e.what} | ${showNumber(e.bytes)} | ${terms(f)} | ${Math.round(f.most * 100)} %, ${f.r2.toFixed(2)} |`,
    )
  }
  return lines
}

// Times as measured, without a fit.
function timeRows(points: Point[]): string[] {
  const lines: string[] = []
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
  return lines
}

// The bounds, and where each breaks.
function boundRows(model: Model, size: Size, limit: Bounds): string[] {
  const lines: string[] = []
  lines.push(
    '',
    '| what is bounded | bound | at the size | factor | a fleet of the same make breaks it at |',
    '|---|---|---|---|---|',
  )
  for (const b of breaksAt(model, size, limit))
    lines.push(
      `| ${b.what} | ${showNumber(b.bound)} ${b.unit} | ${showNumber(b.at)} ${b.unit} | ${showNumber(b.at / b.bound)} | ${b.nodes === undefined ? 'holds' : b.nodes === 0 ? 'one node' : `${b.nodes} nodes`} |`,
    )
  return lines
}

export function tableText(points: Point[], size: Size = target, limit: Bounds = bounds): string {
  const model = modelOf(points)
  const sums = sumsAt(model, size)
  const lines = [
    ...introduction(points, size),
    ...mechanismRows(model, sums),
    ...slopeRows(model),
    ...memberRows(sums),
    ...eventRows(model, sums),
    ...timeRows(points),
    ...boundRows(model, size, limit),
  ]
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
