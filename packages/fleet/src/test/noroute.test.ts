import t, { type Test } from 'tap'
import { acceptLinks, makeHello, makeFlag, pause, type Link, type World } from '@claynotch/base'
import { CONFIG_KEY, emptyBody, type Config } from '@claynotch/operator'
import { startProxy, type Proxy } from '@claynotch/proxy'
import type { AgentFeed } from '@claynotch/register'
import type { Verdict, ClientRequest } from '@claynotch/requester'
import { makeSim } from '../sim.js'
import { task } from './beside.js'

// A proxy says that a lane is not there only while its configuration is known to be the newest: the lane may have been added
// since by a change that was acknowledged, and whoever is told that it doesn't exist does not ask again.

const LINK = '10.0.0.1:40'
const LEASE_MS = 1000

type Stage = {
  world: World
  /** Feeds a configuration with these lanes, in force for LEASE_MS from now. */
  feed: (turn: number, lanes: string[]) => void
  /** Keeps the configuration of that turn in force for LEASE_MS more. */
  renew: (turn: number) => void
  run: (word: ClientRequest) => Promise<Verdict>
}

function configOf(lanes: string[]): Config {
  const out: Config['lanes'] = []
  for (const name of lanes) out.push({ name, group: 'g', database: `${name}-db`, reads: 'leader' })
  return { proxies: 'live', groups: [{ name: 'g', connections: 9 }], lanes: out }
}

async function onStage(play: (s: Stage) => Promise<void>): Promise<void> {
  const sim = makeSim(21)
  async function inWorld(world: World): Promise<void> {
    let up: Link | undefined
    function take(): undefined {
      return undefined
    }
    function serve(_peer: unknown, on: Link) {
      up = on
      return take
    }
    await world.listen(LINK, acceptLinks(world, makeHello('agent', 'n1'), serve))
    const proxy: Proxy = await startProxy(world, { listen: '10.0.0.1:41', admin: '10.0.0.1:42', agent: LINK })
    function tell(turn: number, body?: unknown): void {
      const until = world.now() + LEASE_MS
      const cells: AgentFeed['cells'] = [{ key: CONFIG_KEY, turn, until, ...(body === undefined ? {} : { body }) }]
      const word: AgentFeed = {
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
      up?.tell(word)
    }
    function feed(turn: number, lanes: string[]): void {
      tell(turn, { ...emptyBody(), epoch: turn, config: configOf(lanes) })
    }
    function run(word: ClientRequest): Promise<Verdict> {
      return proxy.sessions.run(word, 5000, makeFlag())
    }
    await pause(world, 100)
    await play({ world, feed, renew: tell, run })
    await proxy.stop()
  }
  await task(sim, sim.machine('m', '10.0.0.1'), inWorld)
}

function opens(lane: string): ClientRequest {
  return { w: 'open', body: { lane } }
}
function calls(lane: string): ClientRequest {
  return { w: 'call', body: { lane, kind: 'read', text: 'list', args: [] } }
}

async function unknownLane(c: Test): Promise<void> {
  async function play({ world, feed, renew, run }: Stage): Promise<void> {
    feed(1, ['old'])
    await pause(world, 100)
    for (const word of [opens('new'), calls('new')]) {
      const verdict = await run(word)
      c.equal(verdict.class, 'NOT_FOUND', `${word.w}: the lane is not there`)
      c.equal(verdict.lacks, 'lane')
    }
    await pause(world, LEASE_MS)
    for (const word of [opens('new'), calls('new')]) {
      const verdict = await run(word)
      c.equal(verdict.class, 'UNAVAILABLE', `${word.w}: it may be there by now`)
      c.equal(verdict.lacks, undefined)
      c.equal(verdict.outcome, 'refused', 'nothing was kept')
      c.ok(verdict.again === true && verdict.after !== undefined, 'and the client is told when to come back')
    }
    renew(1)
    await pause(world, 100)
    c.equal((await run(opens('new'))).class, 'NOT_FOUND', 'said again under a valid term')
  }
  await onStage(play)
}

async function droppedLane(c: Test): Promise<void> {
  async function play({ world, feed, renew, run }: Stage): Promise<void> {
    feed(1, ['old', 'other'])
    await pause(world, 100)
    const { session } = await run(opens('old'))
    const statement: ClientRequest = { w: 'statement', session: session!, body: { kind: 'read', text: 'list', args: [] } }
    feed(2, ['other'])
    await pause(world, 100)
    c.equal((await run(statement)).class, 'NOT_FOUND', 'the lane was dropped')
    await pause(world, LEASE_MS)
    c.equal((await run(statement)).class, 'UNAVAILABLE', 'it may have been added again')
    renew(2)
    await pause(world, 100)
    c.equal((await run(statement)).class, 'NOT_FOUND', 'it was not')
  }
  await onStage(play)
}

void t.test('a lane that is not known here, with a valid term and without', unknownLane)
void t.test('a lane that was dropped under an open session, with a valid term and without', droppedLane)
