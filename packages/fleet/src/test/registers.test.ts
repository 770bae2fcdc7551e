import t, { type Test } from 'tap'
import { makeRegisters, type Registers } from '@claynotch/agent/dist/registers.js'
import type { World } from '@claynotch/base'
import type { Ballot, Push, Settled, Value } from '@claynotch/register'
import { makeSim } from '../sim.js'

// What an agent knows of registers: docs/design/control-safety.md, 4.

function valueAt(turn: number): Value {
  return { turn, tag: `${turn}`, body: { revision: turn } }
}
function ballotAt(turn: number): Ballot {
  return [turn, 'proposer']
}
function pushAt(turn: number): Push {
  return { t: 'push', num: turn, key: 'k', ballot: ballotAt(turn), value: valueAt(turn) }
}
function makeAlone(world: World, news: number[]): Registers {
  function epoch(): number {
    return 0
  }
  function link(): undefined {
    return undefined
  }
  function settle(): Promise<Settled> {
    return Promise.resolve({ done: false, why: 'nobody is there' })
  }
  function took(_key: string, value: Value): void {
    news.push(value.turn)
  }
  function ignore(): void {}
  return makeRegisters(world, { epoch, link, settle, news: took, behind: ignore })
}

// In whatever order versions come, by rounds or by pushes, what is known never goes back, and each is told once.
async function neverBack(c: Test): Promise<void> {
  const sim = makeSim(1)
  let over = false
  async function run(world: World): Promise<void> {
    const news: number[] = []
    const registers = makeAlone(world, news)
    registers.learned('k', valueAt(2), ballotAt(2))
    registers.learned('k', valueAt(1), ballotAt(1))
    c.equal(registers.cell('k')?.turn, 2, 'an older version from a round')
    await registers.pushed('a', pushAt(1))
    c.equal(registers.cell('k')?.turn, 2, 'an older version from a push')
    await registers.pushed('a', pushAt(4))
    await registers.pushed('b', pushAt(3))
    registers.learned('k', valueAt(4), ballotAt(4))
    c.equal(registers.cell('k')?.turn, 4)
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

void t.test('versions in any order', neverBack)
