import t, { type Test } from 'tap'
import { makeFlag, makeMetrics, pause, type Metrics, type World } from '@claynotch/base'
import { startSummaryExchange, type Peer, type Summary } from '@claynotch/peer'
import { makeSim } from '../sim.js'

// Summaries between the nodes of a large fleet: what each node hears in a second doesn't grow with the number of nodes, and
// what is new is told to all at once nevertheless.

const SECONDS = 20

type Told = Omit<Summary, 'seen' | 'bad'>

/** Nodes that all retry all the time; each node's metrics, and what the first tells as leaving. */
async function play(nodes: number, leavingAt: number | undefined) {
  const sim = makeSim(nodes)
  const peers: Peer[] = []
  for (let k = 1; k <= nodes; k++) peers.push({ node: `n${k}`, addr: `10.0.1.${k}:7002`, proxy: true })
  const metrics: Metrics[] = []
  const heardAt: number[] = []
  let leaving: string[] = []
  function members(): Peer[] {
    return peers
  }
  function seenFor(): { seen: []; bad: [] } {
    return { seen: [], bad: [] }
  }
  for (const [k, peer] of peers.entries()) {
    metrics.push(makeMetrics())
    async function run(world: World): Promise<void> {
      // Nodes start at different times.
      await pause(world, world.random() * 500)
      let num = 0
      function all(): Told {
        const { node } = peer
        return {
          v: 1,
          node,
          area: 'a',
          num: ++num,
          moving: [],
          leaving: k === 0 ? leaving : [],
          tries: [['g', 5, 1]],
        }
      }
      function heard(summary: Summary): void {
        if (summary.leaving.includes('i1')) heardAt[k] ??= sim.now()
      }
      await startSummaryExchange(world, peer.addr, makeFlag(), members, { commonSummary: all, observationsFor: seenFor }, metrics[k], heard)
    }
    sim.spawn(sim.machine(peer.node, `10.0.1.${k + 1}`), peer.node, run)
  }
  await sim.run(sim.now() + 5000)
  const before = metrics.map(heardOf)
  function heardOf(one: Metrics): number {
    return one.get('claynotch_summaries_total')
  }
  const at = sim.now() + (leavingAt ?? 0)
  if (leavingAt !== undefined) {
    await sim.run(at)
    leaving = ['i1']
  }
  await sim.run(sim.now() + SECONDS * 1000)
  let most = 0
  for (const [k, one] of metrics.entries()) most = Math.max(most, heardOf(one) - before[k])
  const perSecond = most / (SECONDS + (leavingAt ?? 0) / 1000)
  let slowest = 0
  for (let k = 1; k < nodes; k++) slowest = Math.max(slowest, (heardAt[k] ?? Infinity) - at)
  return { perSecond, slowest }
}

async function bounded(c: Test): Promise<void> {
  const small = await play(9, undefined)
  c.ok(
    small.perSecond > 14,
    `nine nodes: each hears ${small.perSecond} summaries a second, one of each other node a beat`,
  )
  const large = await play(90, undefined)
  c.ok(large.perSecond > 10 && large.perSecond < 25, `ninety nodes: ${large.perSecond}`)
}
async function newsAtOnce(c: Test): Promise<void> {
  const { slowest } = await play(90, 700)
  c.ok(slowest < 1600, `the last of ninety nodes learns what is new after ${Math.round(slowest)} ms`)
}

void t.test('what a node hears does not grow with the nodes', bounded)
void t.test('what is new is told to all at once', newsAtOnce)
