import { areas, mixable } from './areas.js'
import { days } from './days.js'
import { type Outcome, randomIndex, type Scenario, wait } from './harm.js'
import type { Breach } from './judge.js'
import { lanes } from './lanes.js'
import { ackLost, lateNews, operatorsRace } from './scenarios/changes.js'
import { coreAway, coreEmptied, coresCut, coresRestart, diskFull, everythingStops } from './scenarios/cores.js'
import {
  agentRestarts,
  crowd,
  drainDark,
  drained,
  frozenThroughMove,
  newsCutOff,
  noisyTeam,
  proxiesFail,
  proxyCutOff,
  rolling,
  tooMany,
} from './scenarios/fronts.js'
import {
  answersLost,
  deafFollower,
  laggingFollowers,
  leaving,
  ownArea,
  quickRestart,
  swapped,
} from './scenarios/instances.js'
import {
  guardedSplit,
  holderKilled,
  homecoming,
  lateDelivery,
  leaderCrash,
  leaderDark,
  leaderFrozen,
  planned,
  sickLeader,
  split,
} from './scenarios/leaders.js'
import { cuts, lossy, resets } from './scenarios/network.js'
import { busy, crowded, far, guardedBusy, homed, retrying, threeShares, twoTeams } from './scenarios/shapes.js'
import { makeSimFleet, type SimFleet, smallShape } from './simfleet.js'

// Failures brought about in the simulator, by name. Each scenario starts a fleet under traffic, does its harm, lets
// traffic run on and end, and hands what the judge found to whoever asked. The harms stand in scenarios/, by matter.

// Two or three of those that any fleet can bear, overlapping, as the seed has it.
async function mixed(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const list = [
    leaderCrash,
    leaderDark,
    leaderFrozen,
    planned,
    answersLost,
    proxiesFail,
    frozenThroughMove,
    cuts,
    deafFollower,
    coresRestart,
    resets,
    lossy,
    laggingFollowers,
    quickRestart,
    coresCut,
    split,
    proxyCutOff,
    ...mixable,
  ]
  const runs: Promise<void>[] = []
  for (let k = f.sim.random() < 0.5 ? 2 : 3; k > 0; k--) runs.push(one(list.splice(randomIndex(f, list.length), 1)[0]))
  async function one(harm: Scenario['injectFaults']): Promise<void> {
    notes.set(harm.name, 1)
    await wait(f, 5000 * f.sim.random())
    // What a harm of its own says of a fleet that bears another at the same time is no finding; the judge's word is.
    await harm(f, new Map())
  }
  await Promise.all(runs)
  f.watchBreaches.splice(0, f.watchBreaches.length, ...f.watchBreaches.filter(isNever))
}

// Of what is found while watching, what must never happen whatever else fails.
function isNever(b: Breach): boolean {
  return ['slipped back', 'unheeded', 'duty'].includes(b.rule)
}

export const scenarios: Scenario[] = [
  { name: 'leader-crash', rule: 'no write twice, none resent, service back', injectFaults: leaderCrash },
  { name: 'leader-dark', rule: 'no write on an old leader reported done', injectFaults: leaderDark },
  { name: 'leader-frozen', rule: 'no write on an old leader reported done', injectFaults: leaderFrozen },
  {
    name: 'planned-replacement',
    calm: true,
    shape: far,
    rule: 'no answer dropped, no commit lost',
    injectFaults: planned,
  },
  {
    name: 'answers-lost',
    rule: 'what may have reached is not sent again; no false promise',
    injectFaults: answersLost,
  },
  { name: 'resets', rule: 'what may have reached is not sent again; no false promise', injectFaults: resets },
  { name: 'holder-fails', rule: 'a successor finishes the move', injectFaults: holderKilled },
  {
    name: 'drain-dark',
    rule: 'a planned stop drops no answer, be the leader dark',
    shape: busy,
    injectFaults: drainDark,
  },
  { name: 'rolling', calm: true, rule: 'stopped and started in turn, no answer is dropped', injectFaults: rolling },
  {
    name: 'agent-restarts',
    calm: true,
    rule: 'an agent back within its term interrupts nothing',
    injectFaults: agentRestarts,
  },
  {
    name: 'quick-restart',
    rule: 'stale connections: what may have reached is not sent again',
    injectFaults: quickRestart,
  },
  { name: 'ack-lost', rule: 'a repeated change takes effect once', injectFaults: ackLost },
  { name: 'nodes-fail', rule: 'own processes killed and frozen', injectFaults: proxiesFail },
  { name: 'frozen-through-move', rule: 'a waking proxy looks at its term first', injectFaults: frozenThroughMove },
  { name: 'cuts', rule: 'one-way and two-way cuts', injectFaults: cuts },
  { name: 'lossy', rule: 'packet loss during a promotion', injectFaults: lossy },
  { name: 'deaf-follower', rule: 'no owed commit missed', injectFaults: deafFollower },
  { name: 'lagging-followers', rule: 'no owed commit missed', injectFaults: laggingFollowers },
  { name: 'cores-restart', rule: 'acknowledged configuration kept', injectFaults: coresRestart },
  { name: 'disk-full', rule: 'a core that can not write does not vote', calm: true, injectFaults: diskFull },
  { name: 'cores-emptied', rule: 'acknowledged configuration kept', injectFaults: coreEmptied },
  { name: 'everything-stops', rule: 'acknowledged configuration kept', injectFaults: everythingStops },
  { name: 'cores-cut', rule: 'no work without a term', injectFaults: coresCut },
  { name: 'leaving', calm: true, rule: 'no new work 7 s after the notice', injectFaults: leaving },
  { name: 'operators-race', calm: true, rule: 'one winner per epoch', injectFaults: operatorsRace },
  { name: 'drain', calm: true, rule: 'a planned stop drops no answer', injectFaults: drained },
  { name: 'proxy-cut-off', rule: 'the fence holds for a node that hears nothing', injectFaults: proxyCutOff },
  { name: 'news-cut-off', rule: 'no acknowledged configuration unheeded after 3 s', injectFaults: newsCutOff },
  { name: 'split', shape: busy, rule: 'no write on an old leader reported done', injectFaults: split },
  {
    name: 'guarded-split',
    rule: 'with a guard, what a leader takes to its grave is bounded',
    shape: guardedBusy,
    injectFaults: guardedSplit,
  },
  { name: 'late-delivery', rule: 'a reply under a lapsed epoch is unknown, never done', injectFaults: lateDelivery },
  { name: 'late-news', rule: 'no node slips back to an older configuration', injectFaults: lateNews },
  { name: 'too-many', rule: 'caps hold with more machines than shares', shape: threeShares, injectFaults: tooMany },
  { name: 'crowd', rule: 'caps hold, new machines join', shape: crowded, injectFaults: crowd },
  { name: 'core-away', rule: 'what a missing core should have had is handed over', injectFaults: coreAway },
  { name: 'own-area', rule: 'reads stay near, and go elsewhere in need', injectFaults: ownArea },
  {
    name: 'homecoming',
    long: true,
    calm: true,
    rule: 'a leader lives in its home area, and is brought there once that is well',
    shape: homed,
    injectFaults: homecoming,
  },
  {
    name: 'noisy-team',
    rule: "one team's crowd doesn't starve another",
    shape: twoTeams,
    reads: false,
    injectFaults: noisyTeam,
  },
  { name: 'swapped', rule: 'whole groups swapped one by one', injectFaults: swapped },
  { name: 'retrying-crowd', rule: 'service back though requesters retry', shape: retrying, injectFaults: leaderCrash },
  {
    name: 'sick-leader',
    rule: 'retries summed over nodes are capped; service comes back',
    shape: retrying,
    injectFaults: sickLeader,
  },
  ...lanes,
  ...days,
  ...areas,
  { name: 'mixed', rule: 'all of them', injectFaults: mixed },
]

export async function runScenario(s: Scenario, seed: number, opt: { keepLines?: boolean } = {}): Promise<Outcome> {
  const shape = s.shape ? s.shape(smallShape()) : smallShape()
  const f = makeSimFleet(seed, shape, opt)
  const began = await f.begin()
  const notes = new Map<string, number>()
  const more: Breach[] = []
  if (began) {
    f.startTraffic()
    await wait(f, 3000)
    const before = { from: f.sim.now() - 2000, to: f.sim.now() }
    await s.injectFaults(f, notes)
    // Whatever the harm left behind is mended now; 12 s later service must be back above a quarter.
    f.sim.heal()
    f.sim.loss(0)
    for (const [k, c] of f.cores.entries()) if (c.proc.state === 'dead') f.startCoreAt(k)
    for (const [k, x] of f.fronts.entries()) {
      f.sim.thaw(x.agentProc)
      f.sim.thaw(x.proxyProc)
      if (x.agentProc.state === 'dead') f.startAgentAt(k)
      if (x.proxyProc.state === 'dead') f.startProxyAt(k)
    }
    for (const [k, b] of f.instanceHosts.entries()) {
      b.machine.dark = false
      f.sim.thaw(b.proc)
      if (b.proc.state === 'dead') f.startInstanceAt(k)
    }
    const back = f.sim.now()
    await wait(f, 14000)
    await f.quiet()
    // Worked out once traffic is over, when each rest that reaches into one of the two spans is known.
    const normal = f.serviceRate(before)
    const rate = f.serviceRate({ from: back + 12000, to: back + 14000 })
    notes.set('service, share of normal', Math.round((100 * rate) / normal) / 100)
    if (!(rate >= normal / 4))
      more.push({ rule: 'service', what: `${rate} operations a second 12 s after the return, ${normal} before` })
    more.push(...(await f.readBack()))
  }
  const counts = new Map<string, number>()
  for (const e of f.events) {
    const k = `${e.outcome}${e.class ? ` ${e.class}` : ''}`
    counts.set(k, (counts.get(k) ?? 0) + 1)
    if (s.calm && (e.outcome === 'unknown' || e.outcome === 'failed' || e.class === 'BROKE'))
      more.push({
        rule: 'dropped answer',
        what: `${e.kind} of session ${e.session} ended ${e.outcome} ${e.class} at ${Math.round(e.end)} though every stop was planned`,
      })
  }
  const faults: string[] = []
  for (const line of f.sim.lines) if (line.includes('-fault')) faults.push(line)
  const judgement = f.judge()
  judgement.breaches.push(...more)
  if (s.calm)
    for (const tag of judgement.lost)
      judgement.breaches.push({ rule: 'lost', what: `${tag} was lost though every stop was planned` })
  return { name: s.name, seed, began, judgement, faults, counts, notes, fleet: f }
}
