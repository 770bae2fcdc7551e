import { parse, View, type Spec } from 'vega'
import { compile, type TopLevelSpec } from 'vega-lite'
import { bounds, costsOf, target } from './capacity.js'
import type { Window } from './hollow.js'
import type { Point } from './points.js'

// Plots of the measured points against the number of nodes, as SVG. Those of nodes alone: groups, lanes and the rest as in
// the base run.
type Dot = { nodes: number; what: string; y: number }
export type Plot = { file: string; title: string; unit: string; dots: Dot[]; rule?: { y: number; name: string } }

function alone(points: Point[]): Point[] {
  const out: Point[] = []
  for (const p of points) {
    const s = p.report.shape
    if (s.shares === 'live' && s.groups === 10 && s.lanes === 30 && s.history === 10 && p.command.includes('--per 25 '))
      out.push(p)
  }
  return out
}
function dotsOf(
  points: Point[],
  role: string,
  of: (w: Window['roles'][number]['reading']) => [string, number][],
  busy: boolean,
): Dot[] {
  const out: Dot[] = []
  for (const p of alone(points)) {
    const { shape } = p.report
    for (const r of (busy ? p.report.changing : p.report.calm).roles) {
      if (r.role !== role) continue
      for (const [what, y] of of(r.reading))
        if (y > 0 && !(shape.mute && what === 'summaries')) out.push({ nodes: shape.nodes, what, y })
    }
  }
  return out
}

export function plotsOf(points: Point[]): Plot[] {
  function bytes(r: Parameters<typeof costsOf>[0]): [string, number][] {
    const out: [string, number][] = []
    for (const [name, c] of costsOf(r))
      if (['terms', 'pushes', 'summaries', 'acknowledgements', 'registers', 'announcements', 'probes'].includes(name))
        out.push([name, c.outBytes + c.inBytes])
    return out
  }
  function messages(r: Parameters<typeof costsOf>[0]): [string, number][] {
    const out: [string, number][] = []
    for (const [name, c] of costsOf(r))
      if (['terms', 'pushes', 'summaries', 'acknowledgements', 'registers'].includes(name))
        out.push([name, c.outCount + c.inCount])
    return out
  }
  function cpu(r: Parameters<typeof costsOf>[0]): [string, number][] {
    let sum = 0
    for (const [, c] of costsOf(r)) sum += c.cpu * 100
    return [['all', sum]]
  }
  function heap(r: Parameters<typeof costsOf>[0]): [string, number][] {
    return [['heap', r.heap / 1024]]
  }
  const times: Dot[] = []
  for (const p of alone(points)) {
    for (const what of ['termed', 'applied', 'shared', 'back'] as const) {
      const y = p.report[what]
      if (y !== undefined) times.push({ nodes: p.report.shape.nodes, what, y })
    }
    const list = [...p.report.changes.inForce].sort(byNumber)
    if (list.length > 0 && list[0] >= 0)
      times.push({ nodes: p.report.shape.nodes, what: 'change in force everywhere, most', y: list[list.length - 1] })
  }
  return [
    {
      file: 'agent-bytes.svg',
      title: 'An agent: bytes a second, with changes',
      unit: 'bytes/s',
      dots: dotsOf(points, 'agent', bytes, true),
      rule: { y: bounds.bytes, name: 'bound' },
    },
    {
      file: 'agent-messages.svg',
      title: 'An agent: messages a second, with changes',
      unit: 'messages/s',
      dots: dotsOf(points, 'agent', messages, true),
    },
    {
      file: 'agent-time.svg',
      title: 'An agent: processor time, calm',
      unit: '% of a core',
      dots: dotsOf(points, 'agent', cpu, false),
      rule: { y: bounds.core * 100, name: 'bound' },
    },
    {
      file: 'agent-heap.svg',
      title: 'An agent: heap, calm (25 nodes to a process)',
      unit: 'KiB',
      dots: dotsOf(points, 'agent', heap, false),
    },
    {
      file: 'core-bytes.svg',
      title: 'A core: bytes a second, with changes',
      unit: 'bytes/s',
      dots: dotsOf(points, 'core', bytes, true),
    },
    {
      file: 'core-time.svg',
      title: 'A core: processor time, calm',
      unit: '% of a core',
      dots: dotsOf(points, 'core', cpu, false),
      rule: { y: 100, name: 'one thread' },
    },
    { file: 'core-heap.svg', title: 'A core: heap, calm', unit: 'KiB', dots: dotsOf(points, 'core', heap, false) },
    {
      file: 'times.svg',
      title: 'All agents at once: terms, first configuration, shares; return; a change',
      unit: 'ms',
      dots: times,
    },
  ]
}
function byNumber(a: number, b: number): number {
  return a - b
}

export async function svgOf(plot: Plot): Promise<string> {
  const encoding = {
    x: { field: 'nodes', type: 'quantitative', title: 'nodes' },
    y: {
      field: 'y',
      type: 'quantitative',
      title: plot.unit,
      scale: { type: plot.unit.endsWith('/s') ? 'log' : 'linear' },
    },
    color: { field: 'what', type: 'nominal', title: null, legend: { labelLimit: 0 } },
  }
  const layer: object[] = [{ data: { values: plot.dots }, mark: { type: 'line', point: true }, encoding }]
  if (plot.rule)
    layer.push({
      data: { values: [plot.rule] },
      mark: { type: 'rule', strokeDash: [4, 4] },
      encoding: { y: { field: 'y', type: 'quantitative' } },
    })
  const spec = {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    title: plot.title,
    width: 420,
    height: 260,
    background: 'white',
    layer,
  } as unknown as TopLevelSpec
  const view = new View(parse(compile(spec).spec as Spec), { renderer: 'none' })
  const svg = await view.toSVG()
  view.finalize()
  return `${svg}\n`
}

// How far the size asked for lies beyond what was measured, by count.
export function reachOf(points: Point[]): [string, number][] {
  let nodes = 0
  let groups = 0
  let lanes = 0
  for (const p of points) {
    nodes = Math.max(nodes, p.report.shape.nodes)
    groups = Math.max(groups, p.report.shape.groups)
    lanes = Math.max(lanes, p.report.shape.lanes)
  }
  return [
    ['nodes', target.nodes / nodes],
    ['groups', target.groups / groups],
    ['lanes', target.lanes / lanes],
  ]
}
