import t, { type Test } from 'tap'
import {
  PROXY_REPORT_INTERVAL_MS,
  LEASE_RENEWAL_INTERVAL_MS,
  type Address,
  type Cancel,
  type World,
} from '@claynotch/base'
import { startAgent, type Agent } from '@claynotch/agent'
import { startCore, type CoreMember } from '@claynotch/register'
import { makeSim } from '../sim.js'
import { makeSimFleet, smallShape } from '../simfleet.js'

// What processes do while nothing happens, counted in messages, walks and timers: what is done per node or per group on each
// beat, without a cause, is paid by every machine of a large fleet.

t.setTimeout(120000)

const CALM_MS = 10000

function none(): Address[] {
  return []
}

/** An agent's proxy tells and is fed on its beats, however much traffic it has. */
async function notesAndFeeds(c: Test): Promise<void> {
  const f = makeSimFleet(11, smallShape())
  c.ok(await f.begin(), 'the fleet begins')
  f.startTraffic()
  await f.sim.run(f.sim.now() + 2000)
  const metrics = f.fronts[0].agent!.metrics
  const notes = metrics.get('claynotch_agent_notes_total')
  const feeds = metrics.get('claynotch_agent_feeds_total')
  await f.sim.run(f.sim.now() + CALM_MS)
  const notesBy = metrics.get('claynotch_agent_notes_total') - notes
  const feedsBy = metrics.get('claynotch_agent_feeds_total') - feeds
  c.ok(f.events.length > 200, `under traffic: ${f.events.length} calls`)
  c.ok(notesBy > 0 && notesBy <= CALM_MS / PROXY_REPORT_INTERVAL_MS + 4, `${notesBy} notes in ${CALM_MS} ms`)
  c.ok(feedsBy > 0 && feedsBy <= (1.5 * CALM_MS) / LEASE_RENEWAL_INTERVAL_MS + 4, `${feedsBy} feeds in ${CALM_MS} ms`)
}

/** A core walks its tables of members and instances only when one of them changed. */
async function tables(c: Test): Promise<void> {
  const f = makeSimFleet(12, smallShape())
  c.ok(await f.begin(), 'the fleet begins')
  await f.sim.run(f.sim.now() + 3000)
  const metrics = f.cores[0].core!.metrics
  const walks = metrics.get('claynotch_core_tallies_total')
  const renewals = metrics.get('claynotch_core_words_total', [['word', 'renew']])
  await f.sim.run(f.sim.now() + CALM_MS)
  const renewalsBy = metrics.get('claynotch_core_words_total', [['word', 'renew']]) - renewals
  c.ok(renewalsBy > f.fronts.length * (CALM_MS / LEASE_RENEWAL_INTERVAL_MS - 3), `${renewalsBy} renewals`)
  c.equal(metrics.get('claynotch_core_tallies_total') - walks, 0, 'no walk while nothing changes')
  f.killInstance(0)
  await f.sim.run(f.sim.now() + 5000)
  c.ok(metrics.get('claynotch_core_tallies_total') > walks, 'one when an instance is not heard any more')
}

/** An agent that can't hold duties has no task for each group: its timers don't grow with the groups. */
async function timers(c: Test): Promise<void> {
  const sim = makeSim(13)
  const places: CoreMember[] = []
  for (let k = 1; k <= 3; k++) places.push({ id: `10.0.0.${k}`, addr: `10.0.0.${k}:7000` })
  for (const place of places) {
    async function core(world: World): Promise<void> {
      await startCore(world, { id: place.id, addr: place.addr, data: '/d', seeds: none, founders: places })
    }
    sim.spawn(sim.machine(place.id, place.id), 'core', core)
  }
  let timersSet = 0
  let agent: Agent | undefined
  async function front(world: World): Promise<void> {
    function later(ms: number, run: () => void): Cancel {
      timersSet++
      return world.later(ms, run)
    }
    function coreSet() {
      return { epoch: 0, cores: places }
    }
    const counted: World = { ...world, later }
    agent = await startAgent(counted, {
      node: 'front',
      area: 'a',
      peer: '10.0.2.1:7002',
      seeds: [],
      coreSet,
      build: 'x',
    })
  }
  sim.spawn(sim.machine('front', '10.0.2.1'), 'front', front)
  function hasLease(): boolean {
    return (agent?.leaseExpiresAt() ?? 0) > 0
  }
  c.ok(await sim.until(hasLease, 20000), 'it holds a lease')
  const before = timersSet
  await sim.run(sim.now() + CALM_MS)
  // Four loops of which none is quicker than a quarter of a renewal, an ask and a link for each core, and the summaries.
  const perSecond = (timersSet - before) / (CALM_MS / 1000)
  c.ok(perSecond < 25, `${perSecond} timers a second`)
}

void t.test('a proxy tells and is fed on its beats, under traffic too', notesAndFeeds)
void t.test('a core walks its tables when something changed', tables)
void t.test('an agent without duties has no task for each group', timers)
