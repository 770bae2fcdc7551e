import t, { type Test } from 'tap'
import { makeRegisterCache, type RegisterCache } from '@claynotch/agent/dist/register-cache.js'
import { noop, type World } from '@claynotch/base'
import {
  quorumOf,
  type Ballot,
  type CoreMember,
  type RegisterSummary,
  type RegisterPush,
  type RegisterOutcome,
  type RegisterValue,
} from '@claynotch/register'
import { makeSim } from '../sim.js'

// What an agent knows of registers: docs/design/control-safety.md, 4.

function valueAt(turn: number): RegisterValue {
  return { turn, tag: `${turn}`, body: { revision: turn } }
}
function ballotAt(turn: number): Ballot {
  return [turn, 'proposer']
}
function pushAt(turn: number): RegisterPush {
  return { t: 'push', num: turn, key: 'k', ballot: ballotAt(turn), value: valueAt(turn) }
}
function makeAlone(world: World, news: number[]): RegisterCache {
  function epoch(): number {
    return 0
  }
  function link(): undefined {
    return undefined
  }
  function readCommitted(): Promise<RegisterOutcome> {
    return Promise.resolve({ done: false, why: 'nobody is there' })
  }
  function took(_key: string, value: RegisterValue): void {
    news.push(value.turn)
  }
  function ignore(): void {}
  return makeRegisterCache(world, { epoch, link, readCommitted, onNewer: took, onBehind: ignore })
}

// In whatever order versions come, by rounds or by pushes, what is known never goes back, and each is told once.
async function neverBack(c: Test): Promise<void> {
  const sim = makeSim(1)
  let over = false
  async function run(world: World): Promise<void> {
    const news: number[] = []
    const registers = makeAlone(world, news)
    registers.learn('k', valueAt(2), ballotAt(2))
    registers.learn('k', valueAt(1), ballotAt(1))
    c.equal(registers.value('k')?.turn, 2, 'an older version from a round')
    await registers.applyPush('a', pushAt(1))
    c.equal(registers.value('k')?.turn, 2, 'an older version from a push')
    await registers.applyPush('a', pushAt(4))
    await registers.applyPush('b', pushAt(3))
    registers.learn('k', valueAt(4), ballotAt(4))
    c.equal(registers.value('k')?.turn, 4)
    c.strictSame(registers.held('k')?.ballot, ballotAt(4))
    c.strictSame(news, [2, 4], 'each newer version is told once')
    over = true
  }
  sim.spawn(sim.machine('m', '10.0.0.1'), 'p', run)
  function isOver(): boolean {
    return over
  }
  c.ok(await sim.until(isOver, 1000))
}

// A majority that is only writing a value has not accepted it: it is settled by a round, not taken from one of them.
async function pendingWrites(c: Test): Promise<void> {
  const sim = makeSim(2)
  const enough = quorumOf({ epoch: 0, cores: ['a', 'b', 'c'].map(placeOf) })
  let over = false
  async function run(world: World): Promise<void> {
    for (const [pending, wanted] of [
      [['a', 'b'], []],
      [['a'], []],
      [[], ['b']],
    ]) {
      const asked: string[] = []
      let rounds = 0
      function link(id: string): undefined {
        asked.push(id)
      }
      function readCommitted(): Promise<RegisterOutcome> {
        rounds++
        return Promise.resolve({ done: false, why: 'nobody is there' })
      }
      const registers = makeRegisterCache(world, { epoch: zero, link, readCommitted, onNewer: noop, onBehind: noop })
      const tables = new Map<string, Map<string, RegisterSummary>>()
      for (const id of ['a', 'b']) tables.set(id, new Map([['k', lineOf(pending.includes(id))]]))
      registers.applySummaries(tables, enough, world.now())
      await registers.catchUp()
      c.strictSame(asked, wanted, `${pending.length} of two are writing`)
      c.equal(rounds, 1)
    }
    over = true
  }
  sim.spawn(sim.machine('m', '10.0.0.1'), 'p', run)
  function isOver(): boolean {
    return over
  }
  c.ok(await sim.until(isOver, 1000))
}
function placeOf(id: string): CoreMember {
  return { id, addr: `${id}:1` }
}
function lineOf(isPending: boolean): RegisterSummary {
  const line: RegisterSummary = { key: 'k', ballot: ballotAt(2), turn: 2, chosen: false }
  return isPending ? { ...line, pending: true } : line
}
function zero(): number {
  return 0
}

void t.test('versions in any order', neverBack)
void t.test('writes that are not synced', pendingWrites)
