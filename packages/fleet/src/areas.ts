import { instanceIndex, leaderIndex, randomIndex, newestGroupRecord, wait, type Scenario } from './harm.js'
import type { Machine, Proc } from './sim.js'
import type { WorkloadOperation } from './requester.js'
import type { Box, Shape, SimFleet } from './simfleet.js'

// Scenarios of whole areas, of processes that are slow rather than dead, and of several failures that meet.

// The machines of one area: fronts, instances, and one core.
function machinesOf(f: SimFleet, area: string): Machine[] {
  const at = f.shape.areas.indexOf(area)
  const out: Machine[] = [f.cores[at].machine]
  for (const [k, x] of f.fronts.entries()) if (k % f.shape.areas.length === at) out.push(x.machine)
  for (const [k, b] of f.instanceHosts.entries()) if (k % f.shape.areas.length === at) out.push(b.machine)
  return out
}
// Half of the time the group's leader is put into the area first.
async function placeLeader(f: SimFleet, area: string, notes: Map<string, number>): Promise<void> {
  const inside = f.sim.random() < 0.5
  notes.set(inside ? 'leader inside' : 'leader anywhere', 1)
  const to = f.instanceHosts.find(isThere)
  function isThere(b: { machine: Machine; group: string }): boolean {
    return b.group === 'g1' && machinesOf(f, area).includes(b.machine)
  }
  if (!inside || !to || f.leaderOf('g1') === to) return
  const sent = f.ask(0, '/groups/g1/replacement', 'POST', { to: to.name })
  await f.sim.until(sent.done, 8000)
  await wait(f, 4000)
}
// Everything in an area is gone at once: dark, or without power as well; later it is back.
async function areaLost(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const area = f.shape.areas[randomIndex(f, f.shape.areas.length)]
  await placeLeader(f, area, notes)
  const gone = machinesOf(f, area)
  const power = f.sim.random() < 0.5
  for (const m of gone) m.dark = true
  if (power) {
    for (const x of f.fronts) if (gone.includes(x.machine)) for (const p of [x.agentProc, x.proxyProc]) f.sim.kill(p)
    for (const c of f.cores) if (gone.includes(c.machine)) f.sim.kill(c.proc)
    for (const [k, b] of f.instanceHosts.entries()) if (gone.includes(b.machine)) f.killInstance(k)
  }
  const from = f.sim.now()
  function served(): boolean {
    for (let k = f.events.length - 1; k >= 0 && f.events[k].end > from; k--)
      if (f.events[k].tag !== undefined && f.events[k].outcome === 'done' && f.events[k].start > from + 200) return true
    return false
  }
  if (!(await f.sim.until(served, 12000)))
    f.watchBreaches.push({ rule: 'service', what: `no write was done in 12 s after area ${area} was lost` })
  notes.set('ms until a write was done', Math.round(f.sim.now() - from))
  await wait(f, 10000)
  for (const m of gone) m.dark = false
}
// An area is cut off from the others while the requesters inside go on.
async function areaCut(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const area = f.shape.areas[randomIndex(f, f.shape.areas.length)]
  await placeLeader(f, area, notes)
  const inside = machinesOf(f, area)
  const rest: Machine[] = []
  for (const x of [...f.fronts, ...f.cores, ...f.instanceHosts]) if (!inside.includes(x.machine)) rest.push(x.machine)
  const oneWay = f.sim.random() < 0.3
  for (const a of inside) for (const b of rest) f.sim.cut(a, b, !oneWay)
  await wait(f, 6000 + 6000 * f.sim.random())
  f.sim.heal()
  await wait(f, 5000)
}
// Processes of ours that stop for 50 to 900 ms again and again, disks fifty times slower: nobody is dead, so no leader is replaced.
async function slowed(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const holder = newestGroupRecord(f)?.holder
  const front = f.fronts.find(isHolder) ?? f.fronts[0]
  function isHolder(x: { node: string }): boolean {
    return x.node === holder
  }
  const picks: [string, Proc[]][] = [
    ['a proxy', [f.fronts[randomIndex(f, f.fronts.length)].proxyProc]],
    ['the agent that holds the duty', [front.agentProc]],
    ['one core', [f.cores[0].proc]],
    ['two cores', [f.cores[1].proc, f.cores[3].proc]],
    ['an agent and its proxy', [front.agentProc, front.proxyProc]],
  ]
  const [what, procs] = picks[randomIndex(f, picks.length)]
  notes.set(what, 1)
  const before = f.promotions.length
  const skip = f.events.length
  if (f.sim.random() < 0.5) for (const p of procs) p.machine.slow = 50
  const end = f.sim.now() + 15000
  while (f.sim.now() < end) {
    for (const p of procs) f.sim.freeze(p)
    await wait(f, 50 + 850 * f.sim.random())
    for (const p of procs) f.sim.thaw(p)
    await wait(f, 100 + 900 * f.sim.random())
  }
  for (const p of procs) p.machine.slow = 1
  let failed = 0
  for (const e of f.events.slice(skip)) if (e.outcome !== 'done' && e.class !== 'ROLLED_BACK') failed++
  notes.set('calls not done', failed)
  notes.set('of calls', f.events.length - skip)
  notes.set('false moves', f.promotions.length - before)
  if (f.promotions.length > before)
    f.watchBreaches.push({
      rule: 'false move',
      what: `${f.promotions.length - before} leaders were replaced while ${what} was slow and every leader well`,
    })
}
// An instance leaves; the agents that heard it first, and the proxies, are restarted, and a machine joins afterwards.
async function leavingThrough(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const lead = leaderIndex(f, 'g1')
  const one = f.sim.random() < 0.5 ? lead : (lead + 1) % 3
  notes.set(one === lead ? 'the leader leaves' : 'a follower leaves', 1)
  // Where no follower can take over, a leader that leaves would go on for as long as it is let.
  const alone = one === lead && f.sim.random() < 0.6
  // Most of these are in a long read at any moment, so they are no measure of the service.
  f.addRequesters([...f.shape.mixes, watchMix], WATCHERS, 100, { isUnmeasured: true })
  if (alone) {
    notes.set('nobody can take over', 1)
    for (const b of f.instanceHosts) if (b !== f.instanceHosts[one] && b.instance) b.instance.faults.deaf = true
  }
  // One machine's proxy goes on, and with it the transactions that are open there: some read in one for a minute, at the
  // follower of that machine's area, as reads stay near.
  const kept = one === lead ? randomIndex(f, f.fronts.length) : one
  f.addRequesters(longWatch, LONG_WATCHERS, 100, { nodes: [f.fronts[kept].listen], isUnmeasured: true })
  await wait(f, 2000)
  void f.instanceHosts[one].instance?.leave()
  await wait(f, 500 + 1500 * f.sim.random())
  for (const [k, x] of f.fronts.entries()) {
    if (k === kept) continue
    f.sim.kill(x.proxyProc)
    if (f.sim.random() < 0.7) {
      f.sim.kill(x.agentProc)
      await wait(f, 300)
      f.startAgentAt(k)
    }
    f.startProxyAt(k)
    await wait(f, 1200)
  }
  f.addFront()
  await wait(f, 10000)
  for (const b of f.instanceHosts) if (b.instance) b.instance.faults.deaf = false
  // Nobody reads in a long transaction at a leader that hands over: then the follower that they read at leaves as well.
  if (one === lead) {
    await wait(f, 3000)
    const follower = f.instanceHosts.findIndex(isOtherFollower)
    void f.instanceHosts[follower].instance?.leave()
    await wait(f, 10000)
  }
  function isOtherFollower(box: Box, index: number): boolean {
    return box.group === 'g1' && index !== one && box !== f.leaderOf('g1')
  }
}
// Fewer than the connections that one machine has to an instance, so that others are served there too.
const LONG_WATCHERS = 4
const WATCHERS = 8
const watchMix: WorkloadOperation = {
  kind: 'watch',
  lane: 'cal-g1',
  group: 'g1',
  op: 'watch',
  weight: 1,
  within: 1500,
  own: false,
}
const longWatch: WorkloadOperation[] = [
  { kind: 'long watch', lane: 'cal-g1', group: 'g1', op: 'watch', weight: 1, within: 1500, own: false, readCount: 64 },
]
// A follower stops receiving while the leader dies and the agent that holds the duty is being restarted.
async function threeAtOnce(f: SimFleet): Promise<void> {
  const lead = leaderIndex(f, 'g1')
  const deaf = f.instanceHosts[(lead + 1) % 3]
  if (deaf.instance) deaf.instance.faults.deaf = true
  await wait(f, 500 + 2500 * f.sim.random())
  f.killInstance(lead)
  await wait(f, 3500 * f.sim.random())
  const holder = newestGroupRecord(f)?.holder
  for (const [k, x] of f.fronts.entries()) {
    if (x.node !== holder) continue
    f.sim.kill(x.agentProc)
    await wait(f, 200 + 1500 * f.sim.random())
    f.startAgentAt(k)
  }
  await wait(f, 9000)
  if (deaf.instance) deaf.instance.faults.deaf = false
  await wait(f, 2000)
}
// A planned replacement whose target fails at some point of it.
async function targetFails(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const lead = leaderIndex(f, 'g1')
  const to = f.instanceHosts[(lead + 1 + randomIndex(f, 2)) % 3]
  const phase = ['drain', 'stop', 'promote'][randomIndex(f, 3)]
  const epoch = newestGroupRecord(f)?.epoch ?? 0
  f.ask(0, '/groups/g1/replacement', 'POST', { to: to.name })
  function there(): boolean {
    const rec = newestGroupRecord(f)
    return rec?.phase === phase || (rec?.phase === 'steady' && rec.epoch > epoch)
  }
  await f.sim.until(there, 10000)
  notes.set(`the target fails in ${newestGroupRecord(f)?.phase}`, 1)
  if (f.sim.random() < 0.5) f.killInstance(instanceIndex(f, to))
  else to.machine.dark = true
  await wait(f, 18000)
  const rec = newestGroupRecord(f)
  if (rec?.phase !== 'steady')
    f.watchBreaches.push({
      rule: 'unfinished',
      what: `18 s after the target failed the record is ${JSON.stringify(rec)}`,
    })
}
// A share of all datagrams is lost and of all chunks delayed, for the whole run.
async function lossyDay(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const before = f.promotions.length
  f.sim.loss(0.03)
  await wait(f, 25000)
  notes.set('false moves', f.promotions.length - before)
  if (f.promotions.length > before)
    f.watchBreaches.push({
      rule: 'false move',
      what: `${f.promotions.length - before} leaders were replaced under loss alone`,
    })
}
function fourFronts(s: Shape): Shape {
  return { ...s, fronts: 4, requesters: 12 }
}

// Connections for those who read in one transaction for longer than an instance that leaves may be used.
function watching(s: Shape): Shape {
  return {
    ...s,
    requesters: 6,
    connections: 48,
    config: { ...s.config, groups: [{ name: 'g1', connections: 48 }] },
  }
}

export const areas: Scenario[] = [
  { name: 'area-lost', long: true, rule: 'a whole area lost at once', shape: fourFronts, injectFaults: areaLost },
  {
    name: 'area-cut',
    long: true,
    rule: 'an area cut off while requesters inside go on',
    shape: fourFronts,
    injectFaults: areaCut,
  },
  {
    name: 'slowed',
    long: true,
    rule: 'our processes slowed, not stopped: service goes on and no leader is replaced',
    injectFaults: slowed,
  },
  {
    name: 'leaving-through',
    long: true,
    rule: '7 s from the first notice, over restarts and joins',
    shape: watching,
    injectFaults: leavingThrough,
  },
  {
    name: 'three-at-once',
    long: true,
    rule: 'a deaf follower, a dead leader and a restarted holder at once',
    injectFaults: threeAtOnce,
  },
  { name: 'target-fails', long: true, rule: 'a planned replacement whose target fails', injectFaults: targetFails },
  { name: 'lossy-day', long: true, rule: 'packet loss for a whole run', injectFaults: lossyDay },
]
// Those that go with others in one fleet.
export const mixable = [areaLost, areaCut, leavingThrough, threeAtOnce, targetFails]
