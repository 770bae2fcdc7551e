import t, { type Test } from 'tap'
import { makeSummarySource } from '@claynotch/agent/dist/summary-source.js'
import { RETRY_REPORT_THRESHOLD, WITNESS_COUNT, type World } from '@claynotch/base'
import type { Summary } from '@claynotch/peer'
import { makeSim } from '../sim.js'
import { task } from './beside.js'

// What a node tells the others: what went well by few in a large fleet, what fails by all, and sends where retries are many.

type Ages = [string, number][]
type Node = { name: string; proxies: number; bad?: Ages; tries?: Summary['tries'] }

/** One node of a fleet in which core1 holds the duty of the group g, whose leader is i1. */
function sourceOf(world: World, node: Node) {
  const report = { seen: [['i1', 5]], bad: node.bad ?? [], tries: node.tries ?? [], moving: [] }
  /** A view that always answers the same. */
  function always<T>(value: T): () => T {
    function answer(): T {
      return value
    }
    return answer
  }
  const view = {
    node: node.name,
    area: 'a',
    groups: always(['g']),
    recordOf: always({ phase: 'steady', epoch: 1, leader: 'i1' }),
    dutyNodes: always(['core1']),
    proxyCount: always(node.proxies),
    hasLease: always(true),
    instances: { get: always({ group: 'g' }), leaving: always([]) },
    report: always(report),
    reportAge: always(1),
    summaries: always([]),
  }
  const source = makeSummarySource(world, view as never)
  source.commonSummary([])
  return source
}
function heardOf(retries: number): Summary[] {
  const rest = { v: 1, node: 'other', area: 'a', num: 1, seen: [], moving: [], leaving: [] }
  return [{ ...rest, tries: [['g', 50, retries]] }]
}
async function run(c: Test, play: (world: World) => void): Promise<void> {
  const sim = makeSim(1)
  function start(world: World): Promise<void> {
    play(world)
    return Promise.resolve()
  }
  await task(sim, sim.machine('m', '10.0.6.1'), start)
  c.end()
}

async function witnesses(c: Test): Promise<void> {
  function play(world: World): void {
    for (const count of [7, WITNESS_COUNT, 87, 191, 2300]) {
      let telling = 0
      for (let k = 1; k <= count; k++) {
        const source = sourceOf(world, { name: `frontend-zone-${k % 5}-${k}`, proxies: count })
        if (source.observationsFor('core1').seen.length > 0) telling++
        c.strictSame(source.observationsFor('core2'), { seen: [], bad: [] }, 'who holds no duty is told nothing')
      }
      if (count <= WITNESS_COUNT) c.equal(telling, count, `all of ${count}`)
      else c.ok(telling > WITNESS_COUNT / 2 && telling < 2 * WITNESS_COUNT, `${telling} of ${count}`)
    }
  }
  await run(c, play)
}

async function failures(c: Test): Promise<void> {
  function play(world: World): void {
    for (let k = 1; k <= 100; k++) {
      const { seen, bad } = sourceOf(world, { name: `front-${k}`, proxies: 2300, bad: [['i2', 400]] }).observationsFor('core1')
      c.strictSame(bad, [['i2', 401]], 'every node tells what fails')
      c.strictSame(seen, [['i1', 6]], 'and with it what answers')
    }
  }
  await run(c, play)
}

async function sends(c: Test): Promise<void> {
  function play(world: World): void {
    const calm = sourceOf(world, { name: 'front-1', proxies: 7, tries: [['g', 100, 0]] })
    c.strictSame(calm.commonSummary([]).tries, [], 'nobody retries')
    c.strictSame(calm.commonSummary(heardOf(RETRY_REPORT_THRESHOLD)).tries, [], 'few do')
    c.strictSame(calm.commonSummary(heardOf(RETRY_REPORT_THRESHOLD + 1)).tries, [['g', 100, 0]], 'many do')
    const retrying = sourceOf(world, { name: 'front-1', proxies: 7, tries: [['g', 100, 1]] })
    c.strictSame(retrying.commonSummary([]).tries, [['g', 100, 1]], 'this node does')
  }
  await run(c, play)
}

void t.test('what went well is told by some', witnesses)
void t.test('what fails is told by all', failures)
void t.test('how much is sent is told where retries are many', sends)
