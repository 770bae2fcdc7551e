import { dutyHolderOf } from '@claynotch/failover'
import type { ConfigurationBody, Config, Move } from '@claynotch/operator'
import { leaderIndex, newestOf, pick, wait, type Scenario } from './harm.js'
import { lawOf, smallShape, type Decided, type Shape, type SimFleet } from './simfleet.js'

// Scenarios of lanes: what a configuration does to calls, sessions and transactions that exist already, and moves
// of lanes from one group to another.

type Lane = Config['lanes'][number]

function laneNow(f: SimFleet, name: string): Lane {
  return f.shape.config.lanes.find(isIt) as Lane
  function isIt(l: Lane): boolean {
    return l.name === name
  }
}
// Sends a lane as it is to be (undefined: dropped), and notes what the lane is from the acceptance on.
export async function putLane(f: SimFleet, name: string, next: Lane | undefined): Promise<void> {
  const num = f.operatorDecisions.length
  const edits = next ? [{ op: 'put', what: 'lane', value: next }] : [{ op: 'drop', what: 'lane', name }]
  const sent = f.change(pick(f, f.fronts.length), `lanes${num}`, [{ number: 1, expect: epochNow(f), edits }])
  await f.sim.until(sent.done, 15000)
  const told = sent.out()[0]
  if (told?.decision !== 'accepted')
    f.watchBreaches.push({ rule: 'configuration', what: `a change of lane ${name} was told ${JSON.stringify(told)}` })
  else
    f.laws.push(
      next ? lawOf(next, f.sim.now()) : { lane: name, from: f.sim.now(), group: undefined, within: 0, own: false },
    )
}
// The epoch last told accepted.
export function epochNow(f: SimFleet): number {
  let most = 0
  for (const d of f.operatorDecisions) if (d.told.decision === 'accepted') most = Math.max(most, d.told.epoch ?? 0)
  return most
}

// Lanes are moved by a plain change, dropped, put back, tightened, in half of the cases while their group's leader has
// just died and calls wait for the next.
async function lanesChanged(f: SimFleet, notes: Map<string, number>): Promise<void> {
  for (let k = 0; k < 3; k++) {
    const name = ['book-g1', 'dep-g1', 'cal-g1'][pick(f, 3)]
    const was = laneNow(f, name)
    const ways: [string, Lane | undefined][] = [
      ['moved', { ...was, group: 'g2' }],
      ['dropped', undefined],
      ['tightened', { ...was, reads: 'leader' }],
    ]
    if (was.reads !== 'leader') ways.push(['own bound', { ...was, reads: { within: 1000, own: true } }])
    const [way, next] = ways[pick(f, ways.length)]
    const dead = f.sim.random() < 0.5 ? leaderIndex(f, 'g1') : -1
    notes.set(`${name} ${way}${dead >= 0 ? ' in a promotion' : ''}`, 1)
    if (dead >= 0) {
      f.killInstance(dead)
      await wait(f, 100 + 1500 * f.sim.random())
    }
    await putLane(f, name, next)
    await wait(f, 7000)
    if (dead >= 0) f.startInstanceAt(dead)
    await putLane(f, name, was)
    await wait(f, 2000 + 3000 * f.sim.random())
  }
}
// Two groups, and some transactions that stay open for up to 7 s.
function twoGroups(): Shape {
  const s = smallShape(2)
  for (const lane of s.config.lanes) lane.database = `kiln-${lane.group}`
  // Room for transactions that hold a connection for seconds, also where all are on one group and one proxy is away.
  for (const g of s.config.groups) g.connections = 60
  return {
    ...s,
    requesters: 16,
    connections: 60,
    mixes: [
      ...s.mixes,
      { kind: 'linger', lane: 'book-g1', group: 'g1', op: 'linger', weight: 1, within: 0, own: false },
    ],
  }
}
// Both groups hold everything, each copying from the other.
function twoSides(): Shape {
  return {
    ...twoGroups(),
    copies: [
      ['g1', 'g2'],
      ['g2', 'g1'],
    ],
  }
}
function twoCalm(): Shape {
  return { ...twoSides(), mixes: smallShape(2).mixes }
}
// Without reading transactions, which a follower that lags by seconds ends.
function twoLagging(): Shape {
  const looks = {
    kind: 'deposit look',
    lane: 'dep-g1',
    group: 'g1',
    op: 'lookup',
    weight: 6,
    within: 2500,
    own: true,
  } as const
  return { ...twoSides(), mixes: [...smallShape(2).mixes.filter(isShort), looks] }
}
// The old side gets nothing back from the new one.
function oneWay(): Shape {
  return { ...twoGroups(), copies: [['g1', 'g2']] }
}
function isShort(m: { op: string }): boolean {
  return m.op !== 'browse'
}
// The configuration's register as the agent that has most of it knows it.
function bodyNow(f: SimFleet): ConfigurationBody | undefined {
  return newestOf(f, 'configuration') as ConfigurationBody | undefined
}
// Sends one change of edits; what was told.
async function send(f: SimFleet, stream: string, edits: unknown[]): Promise<Decided> {
  const sent = f.change(pick(f, f.fronts.length), stream, [
    { number: f.operatorDecisions.length + 1, expect: bodyNow(f)?.epoch ?? 0, edits },
  ])
  await f.sim.until(sent.done, 15000)
  return sent.out()[0] ?? { decision: 'no answer' }
}
// Runs a move to its end, with a harm on the way; true where the lanes went over.
async function moveLanes(
  f: SimFleet,
  lanes: string[],
  to: string,
  notes: Map<string, number>,
  harm?: { phase: string; run: () => Promise<void> | void },
): Promise<boolean> {
  const told = await send(f, 'moves', [{ op: 'move', lanes, to }])
  if (told.decision !== 'accepted') {
    f.watchBreaches.push({ rule: 'move', what: `a move of ${lanes.join()} to ${to} was told ${JSON.stringify(told)}` })
    return false
  }
  const id = told.epoch ?? 0
  const from = f.sim.now()
  let stopped = 0
  let done = false
  // Time of the last look at which the move wasn't over.
  let last = f.sim.now()
  function move(): Move | undefined {
    for (const m of bodyNow(f)?.moves ?? []) if (m.id === id) return m
    return undefined
  }
  function over(): boolean {
    const m = move()
    if (m) last = f.sim.now()
    if (m && m.phase === 'drain' && stopped === 0) stopped = f.sim.now()
    if (m && harm && !done && m.phase === harm.phase) {
      done = true
      void harm.run()
    }
    return m === undefined && (bodyNow(f)?.epoch ?? 0) >= id
  }
  if (!(await f.sim.until(over, 60000))) {
    f.watchBreaches.push({
      rule: 'move',
      what: `the move of ${lanes.join()} to ${to} has not ended after a minute: ${JSON.stringify(move())}`,
    })
    return false
  }
  let there = false
  for (const lane of bodyNow(f)?.config?.lanes ?? []) {
    if (!lanes.includes(lane.name) || lane.group !== to) continue
    there = true
    f.laws.push({ ...lawOf(lane, last), fenced: true })
  }
  if (there)
    notes.set(
      'ms from the drain to the switch, most',
      Math.max(notes.get('ms from the drain to the switch, most') ?? 0, Math.round(f.sim.now() - (stopped || from))),
    )
  return there
}
// A move with everything well, there and back: no answer is dropped, and the lanes' writes stall for a moment only.
async function moveCalm(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const lanes = ['book-g1', 'dep-g1', 'cal-g1']
  const part = await send(f, 'part', [{ op: 'move', lanes: ['dep-g1'], to: 'g2' }])
  if (part.decision !== 'refused')
    f.watchBreaches.push({
      rule: 'move',
      what: `a lane without its fellows to the same database was told ${JSON.stringify(part)}`,
    })
  for (const to of ['g2', 'g1']) {
    const from = f.sim.now()
    const did = await moveLanes(f, lanes, to, notes)
    if (!did) f.watchBreaches.push({ rule: 'move', what: `a move to ${to} with nothing wrong was called off` })
    await wait(f, 2500)
    let stall = 0
    let last = from
    for (const e of f.events) {
      if (!lanes.includes(e.lane) || e.tag === undefined || e.outcome !== 'done' || e.end < from) continue
      stall = Math.max(stall, e.end - last)
      last = Math.max(last, e.end)
    }
    notes.set(
      'ms without a write done, most',
      Math.max(notes.get('ms without a write done, most') ?? 0, Math.round(stall)),
    )
    if (stall > 1000)
      f.watchBreaches.push({ rule: 'move', what: `no write of ${lanes.join()} was done for ${Math.round(stall)} ms` })
  }
  await wait(f, 2000)
}
// The same with one follower of each group lagging, so that a session's own writes are not everywhere at the switch.
async function moveLagging(f: SimFleet, notes: Map<string, number>): Promise<void> {
  for (const g of ['g1', 'g2']) {
    for (const b of f.instanceHosts) {
      if (b.group !== g || b.instance?.role() !== 'follower') continue
      b.instance.faults.lag = 2000
      break
    }
  }
  await moveCalm(f, notes)
}
// A move with one thing going wrong at one of its phases; it is finished or called off, whatever it was.
async function moveHarmed(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const phases = ['copy', 'ease', 'drain', 'quiet', 'held']
  const harms = harmsOf(f)
  await moveUnder(f, notes, phases[pick(f, phases.length)], harms[pick(f, harms.length)])
}
// A proxy applies the last phase before the switch and then hears nothing of the switch.
async function moveDeaf(f: SimFleet, notes: Map<string, number>): Promise<void> {
  await moveUnder(f, notes, 'held', harmsOf(f).find(isIt)!)
  function isIt(h: { name: string }): boolean {
    return h.name === 'proxyDeaf'
  }
}
async function moveUnder(
  f: SimFleet,
  notes: Map<string, number>,
  phase: string,
  harm: () => Promise<void> | void,
): Promise<void> {
  notes.set(`${harm.name} in ${phase}`, 1)
  const lanes = ['book-g1', 'dep-g1', 'cal-g1']
  const did = await moveLanes(f, lanes, 'g2', notes, { phase, run: harm })
  notes.set(did ? 'went over' : 'called off', 1)
  await wait(f, 9000)
  f.sim.heal()
  for (const b of f.instanceHosts) if (b.instance) b.instance.faults.uncopied = false
  for (const [k, b] of f.instanceHosts.entries()) if (b.proc.state === 'dead') f.startInstanceAt(k)
  await wait(f, 4000)
}
function harmsOf(f: SimFleet): (() => Promise<void> | void)[] {
  function holder(): number {
    const id = bodyNow(f)?.moves?.[0]?.id ?? 0
    const live: string[] = []
    for (const x of f.fronts) live.push(x.node)
    const name = dutyHolderOf(`move/${id}`, live)
    return f.fronts.findIndex(isIt)
    function isIt(x: { node: string }): boolean {
      return x.node === name
    }
  }
  function holderDies(): void {
    f.sim.kill(f.fronts[holder()].agentProc)
  }
  function holderSleeps(): void {
    const { agentProc } = f.fronts[holder()]
    f.sim.freeze(agentProc)
    f.sim.at(1500 + 6000 * f.sim.random(), thaw)
    function thaw(): void {
      f.sim.thaw(agentProc)
    }
  }
  function sourceDies(): void {
    f.killInstance(leaderIndex(f, 'g1'))
  }
  function targetDies(): void {
    f.killInstance(leaderIndex(f, 'g2'))
  }
  // A proxy that hears nothing more, with its requesters and both groups in reach.
  function proxyDeaf(): void {
    const n = pick(f, f.fronts.length)
    // Some have just applied the phase, and hear nothing after it.
    f.sim.at(30 * f.sim.random(), cut)
    function cut(): void {
      for (const c of f.cores) f.sim.cut(f.fronts[n].machine, c.machine)
      for (const x of f.fronts) if (x !== f.fronts[n]) f.sim.cut(f.fronts[n].machine, x.machine)
    }
  }
  function proxySleeps(): void {
    const { proxyProc } = f.fronts[pick(f, f.fronts.length)]
    f.sim.freeze(proxyProc)
    f.sim.at(1000 + 7000 * f.sim.random(), thaw)
    function thaw(): void {
      f.sim.thaw(proxyProc)
    }
  }
  function agentSilent(): void {
    const { agentProc } = f.fronts[pick(f, f.fronts.length)]
    f.sim.freeze(agentProc)
    f.sim.at(3000 + 6000 * f.sim.random(), thaw)
    function thaw(): void {
      f.sim.thaw(agentProc)
    }
  }
  function copyStops(): void {
    for (const b of f.instanceHosts) if (b.group === 'g2' && b.instance) b.instance.faults.uncopied = true
  }
  async function calledOff(): Promise<void> {
    await send(f, 'off', [{ op: 'calloff', lane: 'dep-g1' }])
  }
  function coresLost(): void {
    for (const k of [0, 1]) f.sim.kill(f.cores[k].proc)
  }
  // The source's leader answers late, so that writes are out when the lanes are shut.
  function sourceSlow(): void {
    const box = f.instanceHosts[leaderIndex(f, 'g1')]
    f.sim.freeze(box.proc)
    f.sim.at(800 + 1500 * f.sim.random(), thaw)
    function thaw(): void {
      f.sim.thaw(box.proc)
    }
  }
  return [
    holderDies,
    holderSleeps,
    sourceDies,
    targetDies,
    proxyDeaf,
    proxySleeps,
    agentSilent,
    copyStops,
    calledOff,
    coresLost,
    sourceSlow,
  ]
}
function twoApart(): Shape {
  return { ...twoGroups(), separateGroupData: true }
}

export const lanes: Scenario[] = [
  {
    name: 'lanes-changed',
    long: true,
    rule: 'no call, session or transaction goes by a rule replaced over 3 s ago',
    shape: twoApart,
    harm: lanesChanged,
  },
  {
    name: 'move',
    long: true,
    calm: true,
    rule: 'a move of lanes drops no answer and misses no write',
    shape: twoCalm,
    harm: moveCalm,
  },
  {
    name: 'move-lagging',
    long: true,
    calm: true,
    rule: "a session's own writes of before a move are not missed after it",
    shape: twoLagging,
    harm: moveLagging,
  },
  {
    name: 'move-deaf',
    long: true,
    rule: 'no read of the old side once the new one took a write',
    shape: oneWay,
    harm: moveDeaf,
  },
  {
    name: 'move-harmed',
    long: true,
    rule: 'no write on both sides of a move, none missed after it, whatever fails',
    shape: twoSides,
    harm: moveHarmed,
  },
]
