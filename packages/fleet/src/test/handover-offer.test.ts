import t, { type Test } from 'tap'
import { makeMetrics, type Hello, type World } from '@claynotch/base'
import { compareBallots, type Ballot, type RegisterEntry } from '@claynotch/register'
import { makeHandover, type Handover, type HandoverLink } from '@claynotch/register/dist/handover.js'
import { makeSim } from '../sim.js'
import { task } from './beside.js'

// A core offers what it could hand over, and hands over just what the other lacks; one of a version before is handed all.

type Asked = { t: string; cells: { key: string; ballot: Ballot }[] }
type Core = { handover: Handover; entries: Map<string, RegisterEntry>; learnt: string[] }

function ballotOf(number: number): Ballot {
  return [number, 'c1']
}
function makeCore(world: World, held: [string, number][]): Core {
  const entries = new Map<string, RegisterEntry>()
  const learnt: string[] = []
  for (const [key, number] of held)
    entries.set(key, { ballot: ballotOf(number), value: { turn: number, body: `${key}${number}` } } as RegisterEntry)
  function all(): Map<string, RegisterEntry> {
    return entries
  }
  function accept(key: string, ballot: Ballot, value: unknown): Promise<{ ok: true }> {
    entries.set(key, { ballot, value } as RegisterEntry)
    return Promise.resolve({ ok: true })
  }
  const store = { entries: all, accept }
  function learn(key: string): void {
    learnt.push(key)
  }
  function isSettled(): boolean {
    return true
  }
  return { handover: makeHandover(world, store as never, isSettled, learn, makeMetrics()), entries, learnt }
}
/** The link from one core to another; asked: all that went over it. */
function linkTo(core: Core, version: number, asked: Asked[], answers = true): HandoverLink {
  async function ask(message: unknown): Promise<unknown> {
    const one = message as Asked
    asked.push(one)
    if (!answers) return undefined
    if (one.t === 'offer') return { ok: true, lacks: core.handover.missingKeysOf(one.cells) }
    return { ok: true, took: await core.handover.take(one.cells as never) }
  }
  function up(): boolean {
    return true
  }
  function peer(): Hello {
    return { t: 'hello', kind: 'core', node: 'c2', epoch: version, least: 2 }
  }
  return { ask, up, peer }
}
function keysOf(asked: Asked): string[] {
  return asked.cells.map(keyOf)
}
function keyOf(cell: { key: string }): string {
  return cell.key
}

async function run(c: Test, play: (world: World) => Promise<void>): Promise<void> {
  const sim = makeSim(1)
  await task(sim, sim.machine('m', '10.0.6.1'), play)
  c.end()
}

async function offers(c: Test): Promise<void> {
  async function play(world: World): Promise<void> {
    const giver = makeCore(world, [
      ['a', 5],
      ['b', 5],
      ['c', 5],
      ['d', 5],
    ])
    const taker = makeCore(world, [
      ['a', 5],
      ['b', 4],
      ['d', 7],
    ])
    const asked: Asked[] = []
    giver.handover.added('c2')
    await giver.handover.handOver([{ id: 'c2', held: linkTo(taker, 4, asked) }])
    c.strictSame(asked.map(kindOf), ['offer', 'handover'])
    c.strictSame(keysOf(asked[0]), ['a', 'b', 'c', 'd'])
    c.strictSame(keysOf(asked[1]), ['b', 'c'], 'what it lacks, or has at a lower ballot')
    for (const [key, entry] of giver.entries)
      c.ok(compareBallots(taker.entries.get(key)!.ballot, entry.ballot) >= 0, `${key} is there`)
    c.strictSame(taker.learnt.sort(), ['a', 'b', 'c', 'd'], 'all are known to be settled')
    asked.length = 0
    await giver.handover.handOver([{ id: 'c2', held: linkTo(taker, 4, asked) }])
    c.strictSame(asked, [], 'nothing is left to hand over')
  }
  await run(c, play)
}
function kindOf(asked: Asked): string {
  return asked.t
}

async function olderVersion(c: Test): Promise<void> {
  async function play(world: World): Promise<void> {
    const giver = makeCore(world, [
      ['a', 5],
      ['b', 5],
    ])
    const taker = makeCore(world, [['a', 5]])
    const asked: Asked[] = []
    giver.handover.added('c2')
    await giver.handover.handOver([{ id: 'c2', held: linkTo(taker, 3, asked) }])
    c.strictSame(asked.map(kindOf), ['handover'], 'an older program knows no offers')
    c.strictSame(keysOf(asked[0]), ['a', 'b'])
  }
  await run(c, play)
}

async function lostOffer(c: Test): Promise<void> {
  async function play(world: World): Promise<void> {
    const giver = makeCore(world, [['a', 5]])
    const taker = makeCore(world, [])
    giver.handover.added('c2')
    await giver.handover.handOver([{ id: 'c2', held: linkTo(taker, 4, [], false) }])
    c.equal(taker.entries.size, 0)
    await giver.handover.handOver([{ id: 'c2', held: linkTo(taker, 4, []) }])
    c.equal(taker.entries.size, 1, 'an offer without an answer is made again')
  }
  await run(c, play)
}

void t.test('only what the other lacks is handed over', offers)
void t.test('a core of the version before is handed everything', olderVersion)
void t.test('an offer that got no answer', lostOffer)
