import t, { type Test } from 'tap'
import { acceptLinks, makeHello, makeFlag, pause, type Link, type World } from '@claynotch/base'
import { CONFIG_KEY, emptyBody, type Config } from '@claynotch/operator'
import { startProxy, type Proxy } from '@claynotch/proxy'
import type { AgentFeed } from '@claynotch/register'
import type { Verdict, ClientRequest } from '@claynotch/requester'
import { makeSim } from '../sim.js'
import { task } from './beside.js'

// A proxy answers that a lane doesn't exist only under a valid lease on its configuration. Otherwise an acknowledged
// change may have added the lane since, and a client that is told that the lane doesn't exist does not retry.

const AGENT_ADDRESS = '10.0.0.1:40'
const LEASE_MS = 1000

type Fixture = {
  world: World
  /** Feeds a configuration with these lanes and a lease of LEASE_MS from now. */
  feed: (turn: number, lanes: string[]) => void
  /** Renews the lease on the configuration of that turn for LEASE_MS from now. */
  renew: (turn: number) => void
  run: (word: ClientRequest) => Promise<Verdict>
}

function configOf(lanes: string[]): Config {
  const laneConfigs: Config['lanes'] = []
  for (const name of lanes) laneConfigs.push({ name, group: 'g', database: `${name}-db`, reads: 'leader' })
  return { proxies: 'live', groups: [{ name: 'g', connections: 9 }], lanes: laneConfigs }
}

async function withFixture(runTest: (fixture: Fixture) => Promise<void>): Promise<void> {
  const sim = makeSim(21)
  async function inWorld(world: World): Promise<void> {
    let agentLink: Link | undefined
    function receive(): undefined {
      return undefined
    }
    function serve(_peer: unknown, link: Link) {
      agentLink = link
      return receive
    }
    await world.listen(AGENT_ADDRESS, acceptLinks(world, makeHello('agent', 'n1'), serve))
    const proxy: Proxy = await startProxy(world, { listen: '10.0.0.1:41', admin: '10.0.0.1:42', agent: AGENT_ADDRESS })
    function feedCell(turn: number, body?: unknown): void {
      const until = world.now() + LEASE_MS
      const cells: AgentFeed['cells'] = [{ key: CONFIG_KEY, turn, until, ...(body === undefined ? {} : { body }) }]
      const message: AgentFeed = {
        t: 'feed',
        node: 'n1',
        area: 'x',
        moving: [],
        leaving: [],
        tries: [],
        live: 1,
        cells,
        sights: [],
      }
      agentLink?.tell(message)
    }
    function feed(turn: number, lanes: string[]): void {
      feedCell(turn, { ...emptyBody(), epoch: turn, config: configOf(lanes) })
    }
    function run(request: ClientRequest): Promise<Verdict> {
      return proxy.sessions.run(request, 5000, makeFlag())
    }
    await pause(world, 100)
    await runTest({ world, feed, renew: feedCell, run })
    await proxy.stop()
  }
  await task(sim, sim.machine('m', '10.0.0.1'), inWorld)
}

function openRequest(lane: string): ClientRequest {
  return { w: 'open', body: { lane } }
}
function callRequest(lane: string): ClientRequest {
  return { w: 'call', body: { lane, kind: 'read', text: 'list', args: [] } }
}

async function unknownLane(test: Test): Promise<void> {
  async function runTest({ world, feed, renew, run }: Fixture): Promise<void> {
    feed(1, ['old'])
    await pause(world, 100)
    for (const request of [openRequest('new'), callRequest('new')]) {
      const verdict = await run(request)
      test.equal(verdict.class, 'NOT_FOUND', `${request.w}: the lane does not exist`)
      test.equal(verdict.lacks, 'lane')
    }
    await pause(world, LEASE_MS)
    for (const request of [openRequest('new'), callRequest('new')]) {
      const verdict = await run(request)
      test.equal(verdict.class, 'UNAVAILABLE', `${request.w}: the lane may exist by now`)
      test.equal(verdict.lacks, undefined)
      test.equal(verdict.outcome, 'refused', 'the request had no effect')
      test.ok(verdict.again === true && verdict.after !== undefined, 'the client is told when to retry')
    }
    renew(1)
    await pause(world, 100)
    test.equal((await run(openRequest('new'))).class, 'NOT_FOUND', 'answered again under a valid lease')
  }
  await withFixture(runTest)
}

async function droppedLane(test: Test): Promise<void> {
  async function runTest({ world, feed, renew, run }: Fixture): Promise<void> {
    feed(1, ['old', 'other'])
    await pause(world, 100)
    const { session } = await run(openRequest('old'))
    const statement: ClientRequest = {
      w: 'statement',
      session: session!,
      body: { kind: 'read', text: 'list', args: [] },
    }
    feed(2, ['other'])
    await pause(world, 100)
    test.equal((await run(statement)).class, 'NOT_FOUND', 'the lane was removed')
    await pause(world, LEASE_MS)
    test.equal((await run(statement)).class, 'UNAVAILABLE', 'the lane may have been added again')
    renew(2)
    await pause(world, 100)
    test.equal((await run(statement)).class, 'NOT_FOUND', 'the lane was not added again')
  }
  await withFixture(runTest)
}

void t.test('an unknown lane, with a valid lease and without', unknownLane)
void t.test('a lane removed while a session is open, with a valid lease and without', droppedLane)
