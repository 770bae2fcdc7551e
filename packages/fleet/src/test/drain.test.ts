import t, { type Test } from 'tap'
import {
  acceptLinks,
  makeHello,
  makeFlag,
  Ok,
  pause,
  readAs,
  type Link,
  type Result,
  type World,
} from '@claynotch/base'
import type { StatementResult, InstanceAdapter, InstanceConnection, RequestError } from '@claynotch/instance'
import { CONFIG_KEY, emptyBody, type Config } from '@claynotch/operator'
import { httpAdapters, startProxy, type Proxy } from '@claynotch/proxy'
import { groupKey, ProxyReport, type AgentFeed, type GroupRecord } from '@claynotch/register'
import type { Verdict } from '@claynotch/requester'
import { makeSim } from '../sim.js'
import { task } from './beside.js'

// A real proxy between a scripted agent and a plain model of a leader: what it acknowledges of a drain, and what it sends
// after that. Who acknowledged has no transaction of the group open, and begins none till the group is steady again.

const link = '10.0.0.1:40'
const key = groupKey('g')

// dial, begin: ms that a connection and a transaction's begin take; they may change.
type Slow = { dial: number; begin: number }
// open: transactions open at the leader, or on their way. begins: the phase that the agent had fed last when each was sent.
type Seen = { open: number; begins: string[]; phase: string; acked: number; wrong: string[] }

function modelEdge(slow: Slow, seen: Seen): InstanceAdapter {
  async function open(world: World): Promise<Result<InstanceConnection, RequestError>> {
    await pause(world, slow.dial)
    let up = true
    async function done(): Promise<Result<StatementResult, RequestError>> {
      await pause(world, 1)
      return Ok({ rows: [], mark: { epoch: 1, position: 1 } })
    }
    async function begin(): Promise<Result<StatementResult, RequestError>> {
      seen.begins.push(seen.phase)
      seen.open++
      await pause(world, slow.begin)
      return await done()
    }
    async function end(): Promise<Result<StatementResult, RequestError>> {
      const got = await done()
      seen.open--
      return got
    }
    function alive(): boolean {
      return up
    }
    function close(): void {
      up = false
    }
    return Ok({
      statement: done,
      begin,
      commit: end,
      rollback: end,
      settings: done,
      shape: done,
      reset: done,
      alive,
      close,
    })
  }
  async function status(): Promise<never> {
    throw new Error('nobody asks')
  }
  return { exact: false, named: false, idle: 45000, open, status }
}

type Stage = {
  world: World
  proxy: Proxy
  slow: Slow
  seen: Seen
  feed: (phase: GroupRecord['phase'], turn: number) => void
  call: (kind: 'read' | 'write') => Promise<{ session: string; verdict: Verdict }>
  commit: (session: string) => Promise<Verdict>
}

async function onStage(run: (s: Stage) => Promise<void>): Promise<void> {
  const sim = makeSim(5)
  async function inWorld(world: World): Promise<void> {
    const slow: Slow = { dial: 1, begin: 1 }
    const seen: Seen = { open: 0, begins: [], phase: '', acked: 0, wrong: [] }
    let up: Link | undefined
    function serve(_peer: unknown, on: Link) {
      up = on
      function take(msg: unknown): undefined {
        const got = readAs(ProxyReport, msg)
        if (got.err) throw new Error('no note')
        for (const [k, turn] of got.val.acks) {
          if (k !== key || turn <= seen.acked) continue
          seen.acked = turn
          if (seen.phase === 'drain' && seen.open > 0)
            seen.wrong.push(`turn ${turn} acknowledged with ${seen.open} open`)
        }
        return undefined
      }
      return take
    }
    await world.listen(link, acceptLinks(world, makeHello('agent', 'n1'), serve))
    const proxy = await startProxy(
      world,
      { listen: '10.0.0.1:41', admin: '10.0.0.1:42', agent: link },
      { ...httpAdapters, instance: modelEdge(slow, seen) },
    )
    const config: Config = {
      proxies: 'live',
      groups: [{ name: 'g', connections: 9 }],
      lanes: [{ name: 'l', group: 'g', database: 'd', reads: 'leader' }],
    }
    function feed(phase: GroupRecord['phase'], turn: number): void {
      seen.phase = phase
      const until = world.now() + 60000
      const record: GroupRecord = { epoch: 1, phase, holder: 'n1', fence: 1, leader: 'i1', addr: '10.0.0.9:1' }
      const word: AgentFeed = {
        t: 'feed',
        node: 'n1',
        area: 'x',
        moving: [],
        leaving: [],
        tries: [],
        live: 1,
        cells: [
          { key: CONFIG_KEY, turn: 1, until, body: { ...emptyBody(), epoch: 1, config } },
          { key, turn, until, body: record },
        ],
        sights: [
          { name: 'i1', group: 'g', addr: '10.0.0.9:1', area: 'x', role: 'leader', leaving: false, gone: 0, age: 0 },
        ],
      }
      up?.tell(word)
    }
    async function call(kind: 'read' | 'write'): Promise<{ session: string; verdict: Verdict }> {
      const session = (await proxy.sessions.run({ w: 'open', body: { lane: 'l' } }, 5000, makeFlag())).session as string
      return { session, verdict: await proxy.sessions.run({ w: 'begin', session, body: { kind } }, 5000, makeFlag()) }
    }
    async function commit(session: string): Promise<Verdict> {
      return await proxy.sessions.run({ w: 'commit', session }, 5000, makeFlag())
    }
    await pause(world, 100)
    feed('steady', 1)
    await pause(world, 600)
    await run({ world, proxy, slow, seen, feed, call, commit })
    await proxy.stop()
  }
  await task(sim, sim.machine('m', '10.0.0.1'), inWorld)
}

for (const kind of ['read', 'write'] as const) {
  async function inFlight(c: Test): Promise<void> {
    async function run({ world, slow, seen, feed, call, commit }: Stage): Promise<void> {
      slow.begin = 300
      const began = call(kind)
      await pause(world, 100)
      c.strictSame(seen.begins, ['steady'], 'the begin is on its way')
      feed('drain', 2)
      await pause(world, 100)
      c.equal(seen.acked, 1, 'the drain is not acknowledged meanwhile')
      const { session, verdict } = await began
      c.equal(verdict.outcome, 'done')
      await pause(world, 500)
      c.equal(seen.acked, 1, 'nor while the transaction is open')
      c.equal((await commit(session)).outcome, 'done', 'it has its time')
      await pause(world, 20)
      c.equal(seen.acked, 2, 'its end is told at once')
      c.strictSame(seen.wrong, [])
    }
    await onStage(run)
  }
  void t.test(`a begin (${kind}) that is on its way when a drain comes counts as open`, inFlight)

  async function aimed(c: Test): Promise<void> {
    async function run({ world, slow, seen, feed, call, commit }: Stage): Promise<void> {
      slow.dial = 300
      const began = call(kind)
      await pause(world, 100)
      feed('drain', 2)
      await pause(world, 100)
      c.equal(seen.acked, 2, 'nothing is open, so the drain is acknowledged')
      await pause(world, 400)
      c.strictSame(seen.begins, [], 'the connection is there, and nothing is begun on it')
      feed('steady', 3)
      const { session, verdict } = await began
      c.equal(verdict.outcome, 'done', 'it waited for the end of the drain')
      c.strictSame(seen.begins, ['steady'])
      c.equal((await commit(session)).outcome, 'done')
      c.strictSame(seen.wrong, [])
    }
    await onStage(run)
  }
  void t.test(`a begin (${kind}) that was aimed before a drain is not sent in it`, aimed)
}
