import { readFileSync } from 'node:fs'
import t, { type Test } from 'tap'
import { encode } from '@claynotch/base'
import { holderOf } from '@claynotch/failover'
import { groupKey } from '@claynotch/register'
import {
  breaksAt,
  bounds,
  fit,
  modelOf,
  pageWith,
  scaled,
  sumsAt,
  tableText,
  target,
  valueOf,
  type Row,
  type Size,
} from '../capacity.js'
import { readRole, simHollow, type HollowReport, type RoleReading, type Window } from '../hollow.js'
import { plotsOf, svgOf } from '../plots.js'
import { readPoints, type Point } from '../points.js'
import { readHead } from '../tap.js'

const root = new URL('../../../../', import.meta.url)

// Points made from slopes that are known: what an agent says of terms grows by `byOne` bytes a second for each instance
// that it hears, what a core compares with nodes squared; pushes grow by the bytes changed.
function madePoint(nodes: number, groups: number, byOne: number, lanes = groups, history = 10, per = 25): Point {
  const valueSize = 1000 + 50 * groups + 30 * lanes + 7 * Math.min(history + 11, 256) + 5 * Math.min(history + 11, 2048)
  function reading(
    members: number,
    mechanisms: RoleReading['mechanisms'],
    spent: [string, number][],
    heap: number,
  ): RoleReading {
    return { members, processes: Math.ceil(members / per), cpu: 0.01, rss: heap * 2, heap, lag: 1, mechanisms, spent }
  }
  function made(changes: number): Window {
    const terms = {
      name: 'terms',
      outCount: 8,
      outBytes: 800 + byOne * ((3 * groups) / nodes),
      inCount: 8,
      inBytes: 500,
    }
    const pushes = { name: 'pushes', outCount: 0, outBytes: 0, inCount: 5 * changes, inBytes: 5 * changes * valueSize }
    const agent = reading(
      nodes,
      [terms, pushes],
      [
        ['terms', 0.0002 * nodes],
        ['pushes', 1e-8 * pushes.inBytes],
        ['counting', 0.5],
      ],
      4e7 / per + 20000 * groups + 3000 * nodes,
    )
    const core = reading(
      5,
      [
        {
          name: 'terms',
          outCount: 8 * nodes,
          outBytes: nodes * 100,
          inCount: 8 * nodes,
          inBytes: nodes * 160 + 3 * groups * (byOne / 5),
        },
      ],
      [['terms', 0.00004 * nodes * nodes]],
      5e6 + 200 * nodes * groups,
    )
    const proxy = reading(
      nodes,
      [{ name: 'feeds', outCount: 0, outBytes: 0, inCount: 2, inBytes: 100 * groups }],
      [['feeds', 0.0001 * groups]],
      1e6 + 10000 * groups,
    )
    return {
      seconds: 10,
      roles: [
        { role: 'agent', reading: agent },
        { role: 'core', reading: core },
        { role: 'proxy', reading: proxy },
      ],
    }
  }
  const report: HollowReport = {
    shape: {
      nodes,
      groups,
      lanes,
      cores: 5,
      instances: 3,
      areas: 3,
      changes: 1,
      mute: false,
      history,
      seed: 1,
      shares: 'live',
    },
    termed: 10 * nodes,
    applied: 100,
    shared: 100,
    back: 100,
    changes: { sent: 10, accepted: 10, inForce: [100] },
    values: [
      ['configuration', valueSize],
      ['slots', 20 * nodes],
      ['group/g1', 200],
    ],
    calm: made(0),
    changing: made(1),
    starting: made(0),
    returning: made(0),
    repair: made(0),
  }
  return { command: `made ${nodes} ${groups}`, commit: 'made', report }
}
function madePoints(byOne: number): Point[] {
  const out: Point[] = []
  for (const nodes of [25, 50, 100, 200])
    for (const groups of [10, 20, 40, 80]) out.push(madePoint(nodes, groups, byOne))
  for (const lanes of [50, 300, 1000]) out.push(madePoint(25, 10, byOne, lanes))
  for (const history of [100, 400, 1000, 2000]) out.push(madePoint(25, 10, byOne, 10, history))
  for (const per of [1, 5]) out.push(madePoint(25, 10, byOne, 10, 10, per))
  return out
}
function rowOf(rows: Row[], role: string, mechanism: string): Row {
  for (const r of rows) if (r.role === role && r.mechanism === mechanism) return r
  throw new Error(`no row ${role} ${mechanism}`)
}
const sizeOfValue = 1000 + 50 * 500 + 30 * 500 + 7 * 256 + 5 * 2048
const size: Size = { ...target, nodes: 1000, groups: 500, lanes: 500, changes: 0.5, history: 47000 }
function near(c: Test, got: number, wanted: number, what: string): void {
  c.ok(Math.abs(got - wanted) <= Math.abs(wanted) * 0.01, `${what}: ${got} is within 1 % of ${wanted}`)
}

// The sums at a size follow from the slopes, and from nothing else.
async function sums(c: Test): Promise<void> {
  const got = sumsAt(modelOf(madePoints(400)), size)
  near(c, rowOf(got.rows, 'agent', 'terms').bytes, 800 + 500 + 400 * 1.5, 'terms at an agent')
  near(c, rowOf(got.rows, 'agent', 'pushes').bytes, 5 * 0.5 * sizeOfValue, 'pushes at an agent')
  near(c, rowOf(got.rows, 'agent', 'terms').cpu, 0.2, 'processor time for terms')
  near(c, got.value, sizeOfValue, 'the register of the configuration')
  near(c, got.node.heap, 4e7 + 20000 * 500 + 3000 * 1000, "an agent's heap, in a process of its own")
  near(c, got.times.get('termed') ?? 0, 10000, 'terms after all start at once')
  let all = 0
  for (const r of got.rows) if (r.role === 'agent' || r.role === 'proxy') all += r.cpu
  near(c, got.node.cpu, all, "a node's processor time is that of its agent and its proxy, the counting left out")
}

// A slope's input changed: the table changes, in that mechanism and in the sums it goes into, and in no other.
async function slope(c: Test): Promise<void> {
  const a = tableText(madePoints(400), size)
  const b = tableText(madePoints(4000), size)
  c.not(a, b, 'a steeper slope makes another table')
  c.equal(a, tableText(madePoints(400), size), 'the same points make the same table')
  const was = sumsAt(modelOf(madePoints(400)), size)
  const now = sumsAt(modelOf(madePoints(4000)), size)
  near(
    c,
    rowOf(now.rows, 'agent', 'terms').bytes - rowOf(was.rows, 'agent', 'terms').bytes,
    3600 * 1.5,
    'ten times the slope',
  )
  near(c, rowOf(now.rows, 'agent', 'pushes').bytes, rowOf(was.rows, 'agent', 'pushes').bytes, 'pushes stay')
  near(c, now.node.bytes - was.node.bytes, 3600 * 1.5, "the node's sum takes the change")
  // One point changed by itself changes the table, too.
  const one = madePoints(400)
  one[3] = madePoint(25, 80, 4000)
  c.not(tableText(one, size), a, 'one point changed')
}

// Where a bound is broken, the fleet named holds it and one a little larger does not.
async function breaks(c: Test): Promise<void> {
  const model = modelOf(madePoints(400))
  for (const b of breaksAt(model, size, bounds)) {
    c.equal(b.nodes === undefined, b.at <= b.bound, `${b.what}: broken exactly where it is above its bound`)
    if (b.what !== 'a node: processor time for control' || b.nodes === undefined) continue
    c.ok(sumsAt(model, scaled(size, b.nodes / size.nodes)).node.cpu <= bounds.core * 1.001, 'at that size it holds')
    c.ok(sumsAt(model, scaled(size, (b.nodes + 2) / size.nodes)).node.cpu > bounds.core, 'a little above it does not')
  }
}

// A quadratic slope is found as one, and no term comes out below zero.
async function fits(c: Test): Promise<void> {
  const list: Parameters<typeof fit>[1] = []
  for (const nodes of [25, 50, 100, 200])
    list.push({ env: { ...size, nodes, value: 0, spread: 1 }, y: 5 + 0.1 * nodes * nodes })
  const got = fit(['1', 'N', 'NN'], list)
  near(c, valueOf(got, { ...size, nodes: 2000, value: 0, spread: 1 }), 5 + 0.1 * 4e6, 'a square')
  c.ok(got.r2 > 0.999)
  const falling: Parameters<typeof fit>[1] = []
  for (const nodes of [25, 50, 100, 200])
    falling.push({ env: { ...size, nodes, value: 0, spread: 1 }, y: 1000 - nodes })
  for (const by of fit(['1', 'N', 'NN'], falling).by) c.ok(by >= 0, 'not below zero')
}

// A frame's kind, id, word and key are read from its front, as cbor-x writes it.
async function heads(c: Test): Promise<void> {
  for (const id of [1, 23, 24, 255, 256, 65535, 65536, 4000000]) {
    const head = readHead(encode([0, id, { t: 'prepare', key: 'group/north', ballot: [1, 'a'] }]))
    c.match(head, { kind: 0, id, word: 'prepare', key: 'group/north' })
  }
  c.match(readHead(encode([2, 0, { t: 'push', num: 123456, key: 'slots', value: {} }])), {
    kind: 2,
    word: 'push',
    key: 'slots',
  })
  c.match(readHead(encode([1, 300, { ok: true }])), { kind: 1, id: 300 })
}

// Readings of a role's processes come out as rates for each member.
async function rates(c: Test): Promise<void> {
  function reading(count: number): Parameters<typeof readRole>[0][number]['reading'] {
    return {
      cpu: 2,
      seconds: 10,
      rss: 100,
      heap: 50,
      lines: [{ name: 'terms', outCount: count, outBytes: 100 * count, inCount: 0, inBytes: 0 }],
      longest: [],
      spent: [
        ['terms', 30],
        ['runtime', 10],
      ],
      lag: count,
    }
  }
  const got = readRole([
    { reading: reading(100), members: 5 },
    { reading: reading(300), members: 5 },
  ])
  c.equal(got.members, 10)
  c.equal(got.mechanisms[0].outCount, 4)
  c.equal(got.cpu, 0.04)
  c.equal(got.rss, 20)
  c.same(got.spent, [
    ['runtime', 0.01],
    ['terms', 0.03],
  ])
  c.equal(got.lag, 300)
}

// The hollow fleet in the simulator: it stands, its counts are those of the protocol, and they repeat by seed.
async function hollow(c: Test): Promise<void> {
  const shape = { nodes: 6, groups: 2, lanes: 6, cores: 3, instances: 3, areas: 2, shares: 'slots' } as const
  const a = await simHollow(4, shape, 6000)
  c.ok(a.stood, 'every proxy has a term, a share and leaders')
  function line(list: typeof a.agent, name: string): (typeof a.agent)[number] {
    for (const l of list) if (l.name === name) return l
    throw new Error(`nothing was counted of ${name}`)
  }
  const terms = line(a.agent, 'terms')
  const beats = (6 * a.seconds) / 0.6
  c.ok(Math.abs(terms.outCount - 3 * beats) <= 3 * 6, `each agent renews at each core on each beat: ${terms.outCount}`)
  c.ok(Math.abs(terms.inCount - terms.outCount) <= 3 * 6, 'each renewal is answered')
  c.equal(
    line(a.core, 'terms').inCount > 0 && Math.abs(line(a.core, 'terms').inBytes - terms.outBytes) < terms.outBytes / 10,
    true,
    'what agents say the cores hear',
  )
  // Nothing changes and nothing fails here, so a node is told only of the leaders that it keeps the duty for.
  const nodes: string[] = []
  for (let k = 1; k <= shape.nodes; k++) nodes.push(`node${k}`)
  const holders = new Set<string | undefined>()
  for (let g = 1; g <= shape.groups; g++) holders.add(holderOf(groupKey(`g${g}`), nodes))
  const summaries = line(a.agent, 'summaries')
  const pairs = holders.size * (shape.nodes - 1)
  c.ok(
    Math.abs(summaries.outCount - (pairs * a.seconds) / 0.5) <= pairs,
    `each agent to each holder of a duty on each beat: ${summaries.outCount} by ${pairs} pairs`,
  )
  c.equal(summaries.inCount, summaries.outCount, 'each is heard')
  const b = await simHollow(4, shape, 6000)
  c.same(b, a, 'the same seed counts the same')
}

// The page's table is what the measured points give, and its plots can be drawn.
async function page(c: Test): Promise<void> {
  const points = readPoints(new URL('docs/capacity/points.json', root).pathname)
  const text = readFileSync(new URL('docs/CAPACITY.md', root), 'utf8')
  c.equal(pageWith(text, tableText(points)), text, 'docs/CAPACITY.md is up to date: run fleet capacity --write')
  const sizes = new Set<number>()
  for (const p of points) sizes.add(p.report.shape.nodes)
  c.ok(sizes.size >= 4, 'at least four fleet sizes were measured')
  for (const plot of plotsOf(points).slice(0, 1)) {
    const svg = await svgOf(plot)
    c.ok(svg.startsWith('<svg') && svg.includes(plot.title), plot.file)
  }
  c.throws(pageless, /no place for the table/)
}
function pageless(): void {
  pageWith('nothing here', 'table')
}

void t.test('sums at a size from known slopes', sums)
void t.test('a changed slope changes the table', slope)
void t.test('where each bound breaks', breaks)
void t.test('fits', fits)
void t.test('the front of a frame', heads)
void t.test('rates of a role', rates)
void t.test('a hollow fleet on virtual time', hollow)
void t.test('the page', page)
