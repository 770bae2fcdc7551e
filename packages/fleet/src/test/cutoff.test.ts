import fc from 'fast-check'
import t, { type Test } from 'tap'
import { defaultAdapters, startAgent, type Agent, type AgentAdapters } from '@claynotch/agent'
import { makeInstanceReports, type InstanceReports } from '@claynotch/agent/dist/instance-reports.js'
import {
  decode,
  pause,
  readAs,
  serveHttp,
  LEASE_DURATION_MS,
  type Address,
  type HttpResponse,
  type World,
} from '@claynotch/base'
import type { PromotionRequest, PromotionResult } from '@claynotch/host'
import { emptyBody, submitChange } from '@claynotch/operator'
import { Summary } from '@claynotch/peer'
import {
  fetchCoreSetFromSeeds,
  makeProposer,
  quorumOf,
  startCore,
  type CoreMember,
  type Quorum,
  type Voter,
} from '@claynotch/register'
import { newestGroupRecord, wait } from '../harm.js'
import { makeSim, type Proc, type Sim } from '../sim.js'
import { makeSimFleet, smallShape, type SimFleet } from '../simfleet.js'

t.setTimeout(600000)

// A machine that is cut off: what it tells, what it promotes, and how others find their way past it. What it answers to the
// platform's callers is in platform/src/test/cutoff.test.ts.

// --- promotions ---

// ms. A step beyond the term in which what was decided within it may still be written.
const STEP = 5
type Called = { holder: string; at: number }
type Cast = { f: SimFleet; called: Called[]; onCall: (run: (what: PromotionRequest) => void) => void }
// cores: on machines of their own; the duty is held by one of the fronts.
async function makeCast(seed: number): Promise<Cast> {
  const called: Called[] = []
  let run: (what: PromotionRequest) => void = ignore
  function ignore(): void {}
  async function promotion(world: World, at: Address | undefined, what: PromotionRequest): Promise<PromotionResult> {
    called.push({ holder: what.holder, at: f.sim.now() })
    run(what)
    return await defaultAdapters.promotion(world, at, what)
  }
  const edges: AgentAdapters = { ...defaultAdapters, promotion }
  const shape = { ...smallShape(), requesters: 4 }
  const groups = shape.config.groups.map(unsynced)
  const f = makeSimFleet(seed, { ...shape, fronts: 4, config: { ...shape.config, groups } }, { agentAdapters: edges })
  if (!(await f.begin())) throw new Error('the fleet did not begin')
  f.startTraffic()
  await wait(f, 5000)
  function onCall(next: (what: PromotionRequest) => void): void {
    run = next
  }
  return { f, called, onCall }
}
function unsynced<G extends object>(group: G): G & { sync: number } {
  return { ...group, sync: 0 }
}
function holderOf(f: SimFleet): number {
  const name = newestGroupRecord(f)?.holder
  for (const [k, x] of f.fronts.entries()) if (x.node === name) return k
  throw new Error('nobody holds the duty')
}

// The holder loses the cores at the moment at which the leader crashes, while it reaches the platform and all instances: it
// promotes nobody once its term is over, and another node does.
async function cutHolder(c: Test): Promise<void> {
  for (const [seed, way] of [
    [1, 'in'],
    [2, 'out'],
    [3, 'both'],
  ] as const) {
    const { f, called } = await makeCast(seed)
    const holder = f.fronts[holderOf(f)]
    const from = f.sim.now()
    for (const core of f.cores) {
      if (way !== 'out') f.sim.cut(core.machine, holder.machine, false)
      if (way !== 'in') f.sim.cut(holder.machine, core.machine, false)
    }
    f.killInstance(f.instanceHosts.indexOf(f.leaderOf('g1')!))
    await wait(f, 20000)
    f.sim.heal()
    await wait(f, 5000)
    let late = 0
    for (const one of called) if (one.holder === holder.node && one.at > from + LEASE_DURATION_MS + STEP) late++
    c.equal(late, 0, `${way}: no call by a node without a term, of ${called.length}`)
    c.ok(f.promotions.length > 0 && newestGroupRecord(f)?.phase === 'steady', `${way}: another node promoted`)
    await f.quiet()
    c.strictSame(f.judge().breaches, [], `${way}: every rule held`)
  }
}

// The holder's process is frozen between its last look at its term and the write of the call, for twenty seconds.
async function frozenCall(c: Test): Promise<void> {
  for (const seed of [4, 5]) {
    const { f, called, onCall } = await makeCast(seed)
    const agent: Proc = f.fronts[holderOf(f)].agentProc
    let frozen = 0
    function freeze(): void {
      if (frozen++ === 0) f.sim.freeze(agent)
    }
    onCall(freeze)
    f.killInstance(f.instanceHosts.indexOf(f.leaderOf('g1')!))
    await wait(f, 20000)
    c.ok(frozen > 0 && called.length > 0, 'a call was on its way')
    c.equal(newestGroupRecord(f)?.phase, 'steady', 'another node promoted meanwhile')
    const before = f.promotions.length
    f.sim.thaw(agent)
    await wait(f, 5000)
    c.equal(f.promotions.length, before, 'the call that was frozen is not made')
    await f.quiet()
    c.strictSame(f.judge().breaches, [])
  }
}

// --- orders ---

const PLACES: CoreMember[] = []
for (let k = 1; k <= 3; k++) PLACES.push({ id: `10.0.1.${k}`, addr: `10.0.1.${k}:7000` })

// The cut begins between a round's two halves: promises came back, acceptances don't. What the order would have been told,
// taken or refused, is told by nobody, as nothing says that what it was judged by, or its own value, stands.
async function halfRound(c: Test): Promise<void> {
  const sim = makeSim(11)
  const told: unknown[] = []
  const voted = { ...emptyBody(), epoch: 7 }
  async function run(world: World): Promise<void> {
    for (const cut of [false, true])
      for (const expect of [7, 3]) {
        // One of the voters alone holds the present value, so that a round has to settle it first.
        async function vote(id: string, msg: unknown): Promise<unknown> {
          await pause(world, 1)
          const { t: word } = msg as { t: string }
          if (word === 'accept') return cut ? undefined : { ok: true }
          return id === PLACES[0].id
            ? { ok: true, ballot: [2, 'x'], value: { turn: 1, tag: 'x', body: voted } }
            : { ok: true, ballot: [0, ''], value: null }
        }
        function voters(): Voter[] {
          const out: Voter[] = []
          for (const { id } of PLACES) {
            function ask(msg: unknown): Promise<unknown> {
              return vote(id, msg)
            }
            out.push({ id, ask, tell: quiet })
          }
          return out
        }
        function quorum(): Quorum {
          return quorumOf({ epoch: 0, cores: PLACES })
        }
        const proposer = makeProposer(world, 'node', voters, quorum)
        const change = { number: 1, expect, whole: { proxies: 'live', groups: [], lanes: [] } }
        const got = await submitChange(proposer, { stream: 'stream', change }, 500)
        told.push(got.decision)
      }
  }
  function quiet(): void {}
  sim.spawn(sim.machine('m', '10.0.2.1'), 'p', run)
  await sim.run(sim.now() + 30000)
  c.strictSame(sim.lines, [])
  c.strictSame(told, ['accepted', 'refused', 'unclear', 'unclear'])
}

// --- words of instances ---

// An agent that reaches no majority acknowledges no word of an instance, from the first one on that changes something, and
// none at all once a round has failed.
async function announcements(c: Test): Promise<void> {
  const { f } = await makeCast(6)
  const word = { name: 'x-1', group: 'g1', addr: '10.9.0.1:80', area: 'a', role: 'follower' }
  async function say(more: object): Promise<number> {
    const got = f.ask(0, '/announcement', 'POST', { ...word, ...more })
    await f.sim.until(got.done, 3000)
    return got.status()
  }
  c.equal(await say({}), 200)
  c.equal(await say({}), 200)
  for (const core of f.cores) f.sim.cut(core.machine, f.fronts[0].machine, true)
  c.equal(await say({ leaving: true }), 503, 'news that nobody else has')
  await wait(f, 1500)
  c.equal(await say({ leaving: true }), 503)
  await wait(f, 5000)
  c.equal(await say({}), 503, 'nor anything without a term')
  f.sim.heal()
  await wait(f, 4000)
  c.equal(await say({ leaving: true }), 200)
  await wait(f, 1000)
  for (const x of f.fronts) {
    const got = f.ask(f.fronts.indexOf(x), '/groups')
    await f.sim.until(got.done, 3000)
    c.match(JSON.stringify(got.body()), /"name":"x-1"[^}]*"leaving":true/, `${x.node} knows it`)
  }
}

// Another agent told one core alone that an instance leaves, and was cut off; what that core tells is no majority's word, so
// that the agent which hears it from there has yet to tell it.
async function oneCore(c: Test): Promise<void> {
  const { f } = await makeCast(10)
  const word = { name: 'x-1', group: 'g1', addr: '10.9.0.1:80', area: 'a', role: 'follower' }
  async function say(front: number, more: object): Promise<number> {
    const got = f.ask(front, '/announcement', 'POST', { ...word, ...more })
    await f.sim.until(got.done, 3000)
    return got.status()
  }
  async function knows(front: number): Promise<boolean> {
    const got = f.ask(front, '/groups')
    await f.sim.until(got.done, 3000)
    return /"name":"x-1"[^}]*"leaving":true/.test(JSON.stringify(got.body()))
  }
  c.equal(await say(0, {}), 200)
  c.equal(await say(1, {}), 200)
  const [, ...rest] = f.cores
  for (const core of rest) f.sim.cut(core.machine, f.fronts[0].machine, true)
  c.equal(await say(0, { leaving: true }), 503)
  for (let k = 0; k < 30 && !(await knows(1)); k++) await wait(f, 50)
  c.ok(await knows(1), 'by way of that core')
  for (const core of f.cores) f.sim.cut(core.machine, f.fronts[1].machine, true)
  c.equal(await say(1, { leaving: true }), 503, 'not acknowledged by a second one that can tell nobody')
}

// What an agent tells its peers of leaders and instances ends with its term, though its datagrams still reach them.
async function summaries(c: Test): Promise<void> {
  const { f } = await makeCast(9)
  const word = { name: 'x-1', group: 'g1', addr: '10.9.0.1:80', area: 'a', role: 'follower', leaving: true }
  const said = f.ask(0, '/announcement', 'POST', word)
  await f.sim.until(said.done, 3000)
  c.equal(said.status(), 200)
  // A listener in place of the agent of another machine, which the one that is cut off remembers as a member.
  const peer = f.fronts[1]
  f.sim.kill(peer.agentProc)
  const heard: { at: number; sum: Summary }[] = []
  async function listen(world: World): Promise<void> {
    function take(bytes: Uint8Array): void {
      const got = readAs(Summary, decode(bytes))
      if (got.ok && got.val.node === f.fronts[0].node) heard.push({ at: f.sim.now(), sum: got.val })
    }
    await world.bindDatagrams(`${peer.machine.ip}:7200`, take)
  }
  f.sim.spawn(peer.machine, 'listener', listen)
  await wait(f, 1000)
  for (const core of f.cores) f.sim.cut(core.machine, f.fronts[0].machine, false)
  const from = f.sim.now()
  await wait(f, 20000)
  let told = 0
  let after = 0
  for (const { at, sum } of heard)
    if (sum.leaving.includes('x-1') || sum.moving.length > 0) {
      told++
      if (at > from + LEASE_DURATION_MS + STEP) after++
    }
  c.ok(told > 0, 'told while it held a term')
  c.equal(after, 0, 'and not after it')
}

// Rounds, news and questions in any order against a plain list of what happened: told only where a good round began after
// the news, and only while the last round was good.
type Step = { what: 'begin' | 'good' | 'bad' | 'news' | 'ask'; name: number }
type Past = { round: number; newsAt: Map<string, number>; goodFrom: number; lastGood: boolean }
async function playTelling(steps: Step[]): Promise<string[]> {
  const sim: Sim = makeSim(1)
  const faults: string[] = []
  async function run(world: World): Promise<void> {
    const reports: InstanceReports = makeInstanceReports(world)
    const past: Past = { round: 0, newsAt: new Map(), goodFrom: 0, lastGood: true }
    let open = 0
    let time = 0
    const beganAt = new Map<number, number>()
    for (const step of steps) {
      time++
      const name = `i-${step.name}`
      if (step.what === 'begin' && open === 0) {
        open = reports.beginRound()
        beganAt.set(open, time)
      } else if ((step.what === 'good' || step.what === 'bad') && open !== 0) {
        const good = step.what === 'good'
        reports.endRound(open, good)
        past.lastGood = good
        if (good) past.goodFrom = beganAt.get(open)!
        open = 0
      } else if (step.what === 'news') {
        reports.changed(name)
        past.newsAt.set(name, time)
      } else if (step.what === 'ask') {
        const news = past.newsAt.get(name)
        const want = past.lastGood && (news === undefined || past.goodFrom > news)
        const got = await reports.acknowledged(name, 0)
        if (got !== want) faults.push(`${name}: told ${got}, the model says ${want}`)
      }
      let waits = false
      for (const at of past.newsAt.values()) if (at > past.goodFrom) waits = true
      if (reports.isPending() !== waits) faults.push(`waiting ${reports.isPending()}, the model says ${waits}`)
    }
  }
  sim.spawn(sim.machine('m', '10.0.0.1'), 'p', run)
  await sim.run(sim.now() + 1000)
  return [...faults, ...sim.lines]
}
async function tellings(c: Test): Promise<void> {
  let runs = 0
  async function holds(steps: Step[]): Promise<void> {
    runs++
    const faults = await playTelling(steps)
    if (faults.length > 0) throw new Error(faults.join('; '))
  }
  const step: fc.Arbitrary<Step> = fc.record({
    what: fc.constantFrom('begin', 'good', 'bad', 'news', 'ask'),
    name: fc.integer({ min: 0, max: 2 }),
  })
  await c.resolves(fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 30 }), holds), { seed: 19, numRuns: 1000 }))
  c.equal(runs, 1000)
}
// Who asks while a round runs is answered at its end, or at the next one's where the news came after it began.
async function waits(c: Test): Promise<void> {
  const sim = makeSim(2)
  const ends: string[] = []
  async function run(world: World): Promise<void> {
    const reports = makeInstanceReports(world)
    async function ask(name: string, ms: number): Promise<void> {
      const from = world.now()
      ends.push(`${name} ${await reports.acknowledged(name, ms)} after ${Math.round(world.now() - from)}`)
    }
    reports.changed('early')
    const first = reports.beginRound()
    reports.changed('amid')
    void ask('early', 900)
    void ask('amid', 900)
    void ask('hasty', 900)
    void ask('amid', 50)
    await pause(world, 100)
    reports.endRound(first, true)
    const second = reports.beginRound()
    await pause(world, 100)
    reports.endRound(second, true)
    reports.changed('lost')
    void ask('lost', 900)
    const third = reports.beginRound()
    await pause(world, 100)
    reports.endRound(third, false)
  }
  sim.spawn(sim.machine('m', '10.0.0.1'), 'p', run)
  await sim.run(sim.now() + 3000)
  c.strictSame(ends, [
    'hasty true after 0',
    'amid false after 50',
    'early true after 100',
    'amid true after 200',
    'lost false after 100',
  ])
}

// --- seeds ---

const GONE: CoreMember[] = []
for (let k = 1; k <= 3; k++) GONE.push({ id: `10.0.4.${k}`, addr: `10.0.4.${k}:7000` })
const OLD: Address = '10.0.5.1:80'
const NEW: Address = '10.0.5.2:80'

// Two seeds: one that was cut off tells the set before at once, the other tells the present one after so many ms.
function startSeeds(sim: Sim, ms: number): void {
  async function old(world: World): Promise<void> {
    function handle(): HttpResponse {
      return { status: 200, body: { cores: GONE } }
    }
    await serveHttp(world, OLD, handle)
  }
  async function present(world: World): Promise<void> {
    async function handle(): Promise<HttpResponse> {
      await pause(world, ms)
      return { status: 200, body: { epoch: 1, cores: PLACES } }
    }
    await serveHttp(world, NEW, handle)
  }
  sim.spawn(sim.machine('old', '10.0.5.1'), 'old', old)
  sim.spawn(sim.machine('new', '10.0.5.2'), 'new', present)
}
async function seeds(c: Test): Promise<void> {
  const sim = makeSim(7)
  const told: string[] = []
  startSeeds(sim, 200)
  async function ask(world: World): Promise<void> {
    await pause(world, 10)
    for (const above of [undefined, 0, 1]) {
      const got = await fetchCoreSetFromSeeds(world, [OLD, NEW], above)
      told.push(got ? `${got.seed} ${got.set.epoch}` : 'none')
    }
  }
  sim.spawn(sim.machine('m', '10.0.2.1'), 'p', ask)
  await sim.run(sim.now() + 5000)
  c.strictSame(told, [`${OLD} 0`, `${NEW} 1`, 'none'], 'any set, a later one than the first, a later one than the last')
}
// A front that begins with the old set finds the present one, though the seed that misled it goes on answering first.
async function misled(c: Test): Promise<void> {
  const sim = makeSim(8)
  startSeeds(sim, 200)
  for (const [k, place] of PLACES.entries()) {
    async function core(world: World): Promise<void> {
      function none(): Address[] {
        return []
      }
      await startCore(world, { id: place.id, addr: place.addr, data: '/d', seeds: none, founders: PLACES })
    }
    sim.spawn(sim.machine(`core${k}`, place.id), `core${k}`, core)
  }
  let agent: Agent | undefined
  async function front(world: World): Promise<void> {
    agent = await startAgent(world, { node: 'front', area: 'a', peer: '10.0.2.1:7002', seeds: [OLD, NEW], build: 'x' })
  }
  await sim.run(sim.now() + 3000)
  sim.spawn(sim.machine('front', '10.0.2.1'), 'front', front)
  function hasTerm(): boolean {
    return (agent?.leaseExpiresAt() ?? 0) > 0
  }
  const from = sim.now()
  c.ok(await sim.until(hasTerm, 20000), 'it holds a term under the present set')
  c.ok(sim.now() - from < 5000, `after ${Math.round(sim.now() - from)} ms`)
}

void t.test('promotions: a holder that is cut off', cutHolder)
void t.test('promotions: a holder that is frozen as it calls', frozenCall)
void t.test('orders: a round cut off between its halves', halfRound)
void t.test('announcements at an agent that is cut off', announcements)
void t.test('announcements that one core knows', oneCore)
void t.test('summaries of an agent that is cut off', summaries)
void t.test('what a majority was told, against a plain model', tellings)
void t.test('who waits for a majority to be told', waits)
void t.test('seeds: one that tells an old set first', seeds)
void t.test('seeds: a front that was misled', misled)
