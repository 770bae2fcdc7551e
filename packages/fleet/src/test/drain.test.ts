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

// A real proxy between a scripted agent and a model of a leader: when it acknowledges a drain, and what it sends after
// that. A proxy that has acknowledged has no open transaction of the group, and begins none until the group is steady.

const agentAddress = '10.0.0.1:40'
const cellKey = groupKey('g')

/** How long opening a connection and beginning a transaction take; tests change them during a run. */
type Delays = { dialMs: number; beginMs: number }
type Observations = {
  /** Number of transactions that are open at the leader or whose begin is in flight. */
  openTransactions: number
  /** For each begin, the phase that the agent had fed last when it was sent. */
  beginPhases: string[]
  fedPhase: string
  acknowledgedTurn: number
  violations: string[]
}

/** An adapter for the model leader, which counts transactions. */
function makeModelAdapter(delays: Delays, observed: Observations): InstanceAdapter {
  async function open(world: World): Promise<Result<InstanceConnection, RequestError>> {
    await pause(world, delays.dialMs)
    let isOpen = true
    async function acknowledge(): Promise<Result<StatementResult, RequestError>> {
      await pause(world, 1)
      return Ok({ rows: [], mark: { epoch: 1, position: 1 } })
    }
    async function begin(): Promise<Result<StatementResult, RequestError>> {
      observed.beginPhases.push(observed.fedPhase)
      observed.openTransactions++
      await pause(world, delays.beginMs)
      return await acknowledge()
    }
    async function end(): Promise<Result<StatementResult, RequestError>> {
      const answer = await acknowledge()
      observed.openTransactions--
      return answer
    }
    function isAlive(): boolean {
      return isOpen
    }
    function close(): void {
      isOpen = false
    }
    return Ok({
      statement: acknowledge,
      begin,
      commit: end,
      rollback: end,
      settings: acknowledge,
      shape: acknowledge,
      reset: acknowledge,
      alive: isAlive,
      close,
    })
  }
  async function status(): Promise<never> {
    throw new Error('the status of this adapter must not be polled')
  }
  return { exact: false, named: false, idle: 45000, open, status }
}

type Fixture = {
  world: World
  proxy: Proxy
  delays: Delays
  observed: Observations
  /** Feeds the group's record in this phase, as the agent. */
  feed: (phase: GroupRecord['phase'], turn: number) => void
  /** Opens a session and begins a transaction in it. */
  call: (kind: 'read' | 'write') => Promise<{ session: string; verdict: Verdict }>
  commit: (session: string) => Promise<Verdict>
}

async function withFixture(run: (fixture: Fixture) => Promise<void>): Promise<void> {
  const sim = makeSim(5)
  async function inWorld(world: World): Promise<void> {
    const delays: Delays = { dialMs: 1, beginMs: 1 }
    const observed: Observations = {
      openTransactions: 0,
      beginPhases: [],
      fedPhase: '',
      acknowledgedTurn: 0,
      violations: [],
    }
    let agentLink: Link | undefined
    function serve(_peer: unknown, link: Link) {
      agentLink = link
      function receive(msg: unknown): undefined {
        const report = readAs(ProxyReport, msg)
        if (report.err) throw new Error('malformed proxy report')
        for (const [acknowledgedKey, turn] of report.val.acks) {
          if (acknowledgedKey !== cellKey || turn <= observed.acknowledgedTurn) continue
          observed.acknowledgedTurn = turn
          if (observed.fedPhase === 'drain' && observed.openTransactions > 0)
            observed.violations.push(`turn ${turn} acknowledged with ${observed.openTransactions} open transactions`)
        }
        return undefined
      }
      return receive
    }
    await world.listen(agentAddress, acceptLinks(world, makeHello('agent', 'n1'), serve))
    const proxy = await startProxy(
      world,
      { listen: '10.0.0.1:41', admin: '10.0.0.1:42', agent: agentAddress },
      { ...httpAdapters, instance: makeModelAdapter(delays, observed) },
    )
    const config: Config = {
      proxies: 'live',
      groups: [{ name: 'g', connections: 9 }],
      lanes: [{ name: 'l', group: 'g', database: 'd', reads: 'leader' }],
    }
    function feed(phase: GroupRecord['phase'], turn: number): void {
      observed.fedPhase = phase
      const until = world.now() + 60000
      const record: GroupRecord = { epoch: 1, phase, holder: 'n1', fence: 1, leader: 'i1', addr: '10.0.0.9:1' }
      const message: AgentFeed = {
        t: 'feed',
        node: 'n1',
        area: 'x',
        moving: [],
        leaving: [],
        tries: [],
        live: 1,
        cells: [
          { key: CONFIG_KEY, turn: 1, until, body: { ...emptyBody(), epoch: 1, config } },
          { key: cellKey, turn, until, body: record },
        ],
        sights: [
          { name: 'i1', group: 'g', addr: '10.0.0.9:1', area: 'x', role: 'leader', leaving: false, gone: 0, age: 0 },
        ],
      }
      agentLink?.tell(message)
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
    await run({ world, proxy, delays, observed, feed, call, commit })
    await proxy.stop()
  }
  await task(sim, sim.machine('m', '10.0.0.1'), inWorld)
}

for (const kind of ['read', 'write'] as const) {
  async function beginInFlight(test: Test): Promise<void> {
    async function run({ world, delays, observed, feed, call, commit }: Fixture): Promise<void> {
      delays.beginMs = 300
      const beginResult = call(kind)
      await pause(world, 100)
      test.strictSame(observed.beginPhases, ['steady'], 'the begin is in flight')
      feed('drain', 2)
      await pause(world, 100)
      test.equal(observed.acknowledgedTurn, 1, 'the drain is not acknowledged while the begin is in flight')
      const { session, verdict } = await beginResult
      test.equal(verdict.outcome, 'done')
      await pause(world, 500)
      test.equal(observed.acknowledgedTurn, 1, 'the drain is not acknowledged while the transaction is open')
      test.equal((await commit(session)).outcome, 'done', 'the open transaction may commit during the drain')
      await pause(world, 20)
      test.equal(observed.acknowledgedTurn, 2, 'the drain is acknowledged as soon as the transaction ends')
      test.strictSame(observed.violations, [])
    }
    await withFixture(run)
  }
  void t.test(`a begin (${kind}) that is in flight when a drain starts counts as open`, beginInFlight)

  async function beginNotYetSent(test: Test): Promise<void> {
    async function run({ world, delays, observed, feed, call, commit }: Fixture): Promise<void> {
      delays.dialMs = 300
      const beginResult = call(kind)
      await pause(world, 100)
      feed('drain', 2)
      await pause(world, 100)
      test.equal(observed.acknowledgedTurn, 2, 'no transaction is open, so the drain is acknowledged')
      await pause(world, 400)
      test.strictSame(observed.beginPhases, [], 'the connection is open and no transaction is begun on it')
      feed('steady', 3)
      const { session, verdict } = await beginResult
      test.equal(verdict.outcome, 'done', 'the begin waited for the end of the drain')
      test.strictSame(observed.beginPhases, ['steady'])
      test.equal((await commit(session)).outcome, 'done')
      test.strictSame(observed.violations, [])
    }
    await withFixture(run)
  }
  void t.test(
    `a begin (${kind}) that waits for a connection when a drain starts is not sent during it`,
    beginNotYetSent,
  )
}
