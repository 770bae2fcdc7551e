import t, { type Test } from 'tap'
import { defaultAdapters as ownAgentEdges, type AgentAdapters } from '@claynotch/agent'
import { pause, type Address, type World } from '@claynotch/base'
import { weighEvidence, type InstanceObservations } from '@claynotch/failover'
import type { PromotionRequest, PromotionResult } from '@claynotch/host'
import { httpAdapters as ownProxyEdges } from '@claynotch/proxy'
import { httpInstanceAdapter, type InstanceAdapter, type Status, type InstanceAddress } from '@claynotch/instance'
import { newestGroupRecord, wait } from '../harm.js'
import { makeSimFleet, smallShape, type Shape, type SimFleet } from '../simfleet.js'
import { measureReplacement } from '../steps.js'

t.setTimeout(900000)

function shape(): Shape {
  const s = smallShape()
  // Nobody promises that unreplicated commits are waited for, so the steps show by themselves.
  const groups: Shape['config']['groups'] = []
  for (const g of s.config.groups) groups.push({ ...g, sync: 0 })
  return { ...s, fronts: 4, requesters: 12, thinkTimeMs: 60, config: { ...s.config, groups } }
}
async function begun(seed: number, opt: Parameters<typeof makeSimFleet>[2] = {}): Promise<SimFleet> {
  const f = makeSimFleet(seed, shape(), opt)
  if (!(await f.begin())) throw new Error('the fleet did not begin')
  f.startTraffic()
  await wait(f, 5000)
  return f
}
function holderOf(f: SimFleet): number {
  const name = newestGroupRecord(f)?.holder
  for (const [k, x] of f.fronts.entries()) if (x.node === name) return k
  return -1
}

// --- what nodes tell ---
async function weighs(c: Test): Promise<void> {
  function node(good?: number, bad?: number): InstanceObservations {
    const g = new Map<string, number>()
    const b = new Map<string, number>()
    if (good !== undefined) g.set('x', good)
    if (bad !== undefined) b.set('x', bad)
    return { goodAgeMs: g, badAgeMs: b }
  }
  c.strictSame(weighEvidence([node(20), node(50), node()], 'x'), { good: 2, hears: 0, bad: 0, since: 0 }, 'all is well')
  c.strictSame(
    weighEvidence([node(600, 500), node(550, 520), node(560)], 'x'),
    { good: 1, hears: 0, bad: 2, since: 500 },
    'a good answer from before the trouble says nothing',
  )
  c.strictSame(
    weighEvidence([node(600, 500), node(550, 520), node(30)], 'x'),
    { good: 1, hears: 1, bad: 2, since: 500 },
    'one from after it does',
  )
  c.strictSame(
    weighEvidence([node(9000, 700), node(10)], 'x'),
    { good: 1, hears: 1, bad: 1, since: 700 },
    'one against one',
  )
  c.strictSame(weighEvidence([node(2000)], 'x'), { good: 0, hears: 0, bad: 0, since: 0 }, 'an old answer is none')
}

// --- while all is well ---
async function quiet(c: Test): Promise<void> {
  let asked = 0
  function status(world: World, who: InstanceAddress, ms: number): ReturnType<InstanceAdapter['status']> {
    asked++
    return httpInstanceAdapter.status(world, who, ms)
  }
  const agentEdges: AgentAdapters = { ...ownAgentEdges, instance: { ...httpInstanceAdapter, status } }
  // Proxies that take no samples either: only traffic and announcements tell of the leader.
  const { sampler: _, ...plain } = httpInstanceAdapter
  const f = await begun(1, { agentAdapters: agentEdges, proxyAdapters: { ...ownProxyEdges, instance: plain } })
  const first = asked
  await wait(f, 15000)
  c.equal(asked, first, `the holder asked nobody in 15 s under traffic (${first} before)`)
  await f.quiet()
  const before = asked
  await wait(f, 15000)
  c.equal(asked, before, 'nor in 15 s without traffic, where announcements alone tell')
  c.equal(f.promotions.length, 0)
}

// --- when a leader ends ---
async function crash(c: Test): Promise<void> {
  for (let seed = 1; seed <= 3; seed++) {
    const f = await begun(seed)
    function harm(): void {
      f.killInstance(f.instanceHosts.indexOf(f.leaderOf('g1')!))
    }
    const steps = await measureReplacement(f, harm)
    c.ok(steps.stop <= 700, `refused dials at several nodes stop the group in ${steps.stop} ms`)
    c.ok(steps.steady - steps.stop <= 400, `and it is led again ${steps.steady - steps.stop} ms later`)
  }
}
async function dark(c: Test): Promise<void> {
  for (let seed = 1; seed <= 3; seed++) {
    const f = await begun(seed)
    function harm(): void {
      f.leaderOf('g1')!.machine.dark = true
    }
    const steps = await measureReplacement(f, harm)
    c.ok(steps.stop <= 1500, `silence at several nodes stops the group in ${steps.stop} ms`)
    c.ok(steps.steady - steps.stop <= 800, `and it is led again ${steps.steady - steps.stop} ms later`)
  }
}

// --- what is no reason to replace a leader ---
async function half(c: Test): Promise<void> {
  for (let seed = 1; seed <= 3; seed++) {
    const f = await begun(seed)
    const lead = f.leaderOf('g1')!
    const mine = holderOf(f)
    f.sim.cut(f.fronts[mine].machine, lead.machine, true)
    f.sim.cut(f.fronts[(mine + 1) % f.fronts.length].machine, lead.machine, true)
    await wait(f, 10000)
    c.equal(f.promotions.length, 0, 'half of the nodes, the holder among them, lost the leader; the others hear it')
    f.sim.heal()
  }
}
async function late(c: Test): Promise<void> {
  const f = await begun(4)
  for (let k = 0; k < 12; k++) {
    const box = f.leaderOf('g1')!
    f.sim.freeze(box.proc)
    await wait(f, 350)
    f.sim.thaw(box.proc)
    await wait(f, 1500)
  }
  c.equal(f.promotions.length, 0, 'a leader that answers 350 ms late, again and again, stays')
}
async function restart(c: Test): Promise<void> {
  const f = await begun(5)
  for (let k = 0; k < 6; k++) {
    const at = f.instanceHosts.indexOf(f.leaderOf('g1')!)
    if (k % 2 === 0) f.sim.reset(f.instanceHosts[at].proc)
    else {
      f.killInstance(at)
      await wait(f, 200)
      f.startInstanceAt(at)
    }
    await wait(f, 3000)
  }
  c.equal(f.promotions.length, 0, 'one that is back within 200 ms, or whose connections are reset, stays')
}

// --- instances that number their leaders by themselves ---
// The stand-in takes whatever epoch it is promoted with; here it is the next one of the group, chosen as late as the
// call takes effect, whatever the record says.
type Odd = { ends: PromotionResult['end'][]; after: number; calls: PromotionRequest[]; demoted: string[] }
function termed(f: () => SimFleet, odd: Odd): AgentAdapters {
  async function status(world: World, who: InstanceAddress, ms: number): ReturnType<InstanceAdapter['status']> {
    const got = await httpInstanceAdapter.status(world, who, ms)
    return got.map(withTerm)
  }
  function withTerm(s: Status): Status {
    return { ...s, epoch: s.mark.epoch }
  }
  async function demote(
    world: World,
    who: InstanceAddress,
    _epoch: number,
    ms: number,
  ): ReturnType<InstanceAdapter['status']> {
    odd.demoted.push(who.name)
    return await status(world, who, ms)
  }
  async function promotion(world: World, _at: Address | undefined, what: PromotionRequest): Promise<PromotionResult> {
    odd.calls.push(what)
    const end = odd.ends.shift() ?? 'done'
    async function carry(): Promise<void> {
      await pause(world, odd.after)
      let top = 0
      for (const b of f().instanceHosts) if (b.group === what.group) top = Math.max(top, b.instance?.epoch() ?? 0)
      await ownAgentEdges.promotion(world, undefined, { ...what, epoch: top + 1 })
    }
    if (end !== 'refused') void carry()
    return { end, why: end }
  }
  return { ...ownAgentEdges, instance: { ...httpInstanceAdapter, status, demote }, promotion }
}
async function terms(c: Test): Promise<void> {
  const cases: [string, PromotionResult['end'][], number][] = [
    ['promised, half a second before it leads', ['done'], 500],
    ['unclear, and carried out late', ['unclear'], 700],
    ['refused twice for their number', ['refused', 'refused'], 300],
  ]
  for (const [k, [name, list, after]] of cases.entries()) {
    const odd: Odd = { ends: [...list], after, calls: [], demoted: [] }
    let f: SimFleet | undefined = undefined
    function fleet(): SimFleet {
      return f as unknown as SimFleet
    }
    f = makeSimFleet(20 + k, shape(), { agentAdapters: termed(fleet, odd) })
    await f.begin()
    f.startTraffic()
    await wait(f, 4000)
    c.equal(newestGroupRecord(f)?.term, 1, "the record tells the leader's own number")
    const at = f.instanceHosts.indexOf(f.leaderOf('g1')!)
    const old = f.instanceHosts[at].name
    const from = f.sim.now()
    f.killInstance(at)
    await wait(f, 6000)
    const rec = newestGroupRecord(f)!
    const lead = f.leaderOf('g1')!
    c.equal(rec.phase, 'steady', name)
    c.strictSame(
      [rec.leader, rec.term],
      [lead.name, lead.instance!.epoch()],
      'the record has who leads, in its own number',
    )
    c.ok(rec.epoch >= rec.term!, 'our epoch is no lower')
    c.equal(odd.calls.length, list.length + (list.includes('refused') ? 1 : 0), 'no call more than needed')
    for (const one of odd.calls) c.ok(one.fence >= 1 && one.holder !== '')
    let served = 0
    for (const e of f.events) if (e.tag !== undefined && e.outcome === 'done' && e.end > f.sim.now() - 2000) served++
    c.ok(served > 0, `writes flow again, ${Math.round(f.sim.now() - from)} ms on`)
    // The old one is back and says that it leads: it is told to follow.
    f.startInstanceAt(at)
    await wait(f, 5000)
    c.ok(odd.demoted.includes(old), 'the old leader was told to step down')
    c.equal(newestGroupRecord(f)?.leader, lead.name)
    await f.quiet()
    c.strictSame(f.judge().breaches, [])
  }
}

void t.test('what nodes tell of a leader is weighed', weighs)
void t.test('while all is well the holder asks instances nothing', quiet)
void t.test('a crash is acted on as soon as several nodes see it', crash)
void t.test('silence is acted on once several nodes and the holder meet it', dark)
void t.test('a leader that others hear well stays', half)
void t.test('late answers are no reason', late)
void t.test('a restart or a reset is no reason', restart)
void t.test('instances that number their leaders by themselves', terms)
