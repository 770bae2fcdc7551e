import { dutyHolderOf } from '@claynotch/failover'
import type { ConfigurationBody, Config, Move } from '@claynotch/operator'
import { leaderIndex, newestRegisterValue, randomIndex, wait, type Scenario } from './harm.js'
import { lawOf, smallShape, type Decided, type Shape, type SimFleet } from './simfleet.js'

/**
 * Lane scenarios: the effect of a configuration change on existing calls, sessions and transactions, and moves of lanes
 * from one group to another.
 */

type Lane = Config['lanes'][number]

function currentLane(fleet: SimFleet, name: string): Lane {
  return fleet.shape.config.lanes.find(hasName) as Lane
  function hasName(lane: Lane): boolean {
    return lane.name === name
  }
}
/** Changes a lane (undefined: drops it) and records the rule that applies from the acceptance on. */
export async function changeLane(fleet: SimFleet, name: string, next: Lane | undefined): Promise<void> {
  const changeNumber = fleet.operatorDecisions.length
  const edits = next ? [{ op: 'put', what: 'lane', value: next }] : [{ op: 'drop', what: 'lane', name }]
  const sent = fleet.change(randomIndex(fleet, fleet.fronts.length), `lanes${changeNumber}`, [
    { number: 1, expect: latestAcceptedEpoch(fleet), edits },
  ])
  await fleet.sim.until(sent.done, 15000)
  const result = sent.out()[0]
  if (result?.decision !== 'accepted')
    fleet.watchBreaches.push({
      rule: 'configuration',
      what: `a change of lane ${name} was told ${JSON.stringify(result)}`,
    })
  else
    fleet.laws.push(
      next
        ? lawOf(next, fleet.sim.now())
        : { lane: name, from: fleet.sim.now(), group: undefined, within: 0, own: false },
    )
}
/** The highest epoch of an accepted change. */
export function latestAcceptedEpoch(fleet: SimFleet): number {
  let latestEpoch = 0
  for (const change of fleet.operatorDecisions)
    if (change.told.decision === 'accepted') latestEpoch = Math.max(latestEpoch, change.told.epoch ?? 0)
  return latestEpoch
}

/**
 * Reassigns lanes by a plain change, drops them, changes their read rule and restores them; in half of the cases while
 * the leader of group g1 has just died and calls wait for the next one.
 */
async function lanesChanged(fleet: SimFleet, notes: Map<string, number>): Promise<void> {
  for (let k = 0; k < 3; k++) {
    const name = ['book-g1', 'dep-g1', 'cal-g1'][randomIndex(fleet, 3)]
    const original = currentLane(fleet, name)
    const changes: [string, Lane | undefined][] = [
      ['moved', { ...original, group: 'g2' }],
      ['dropped', undefined],
      ['tightened', { ...original, reads: 'leader' }],
    ]
    if (original.reads !== 'leader') changes.push(['own bound', { ...original, reads: { within: 1000, own: true } }])
    const [way, next] = changes[randomIndex(fleet, changes.length)]
    const deadIndex = fleet.sim.random() < 0.5 ? leaderIndex(fleet, 'g1') : -1
    notes.set(`${name} ${way}${deadIndex >= 0 ? ' in a promotion' : ''}`, 1)
    if (deadIndex >= 0) {
      fleet.killInstance(deadIndex)
      await wait(fleet, 100 + 1500 * fleet.sim.random())
    }
    await changeLane(fleet, name, next)
    await wait(fleet, 7000)
    if (deadIndex >= 0) fleet.startInstanceAt(deadIndex)
    await changeLane(fleet, name, original)
    await wait(fleet, 2000 + 3000 * fleet.sim.random())
  }
}
/** Two groups, and some transactions that stay open for up to 7 s. */
function twoGroups(): Shape {
  const shape = smallShape(2)
  for (const lane of shape.config.lanes) lane.database = `kiln-${lane.group}`
  // Enough connections for transactions that last seconds, even if all lanes are in one group and one proxy is down.
  for (const group of shape.config.groups) group.connections = 60
  return {
    ...shape,
    requesters: 16,
    connections: 60,
    mixes: [
      ...shape.mixes,
      { kind: 'linger', lane: 'book-g1', group: 'g1', op: 'linger', weight: 1, within: 0, own: false },
    ],
  }
}
/** Both groups hold all data, each copying from the other. */
function twoSides(): Shape {
  return {
    ...twoGroups(),
    copies: [
      ['g1', 'g2'],
      ['g2', 'g1'],
    ],
  }
}
function twoSidesShortTransactions(): Shape {
  return { ...twoSides(), mixes: smallShape(2).mixes }
}
/** Without read-only transactions, which are aborted where their follower lags by seconds. */
function twoLagging(): Shape {
  const depositReads = {
    kind: 'deposit look',
    lane: 'dep-g1',
    group: 'g1',
    op: 'lookup',
    weight: 6,
    within: 2500,
    own: true,
  } as const
  return { ...twoSides(), mixes: [...smallShape(2).mixes.filter(isNotBrowse), depositReads] }
}
/** Only g2 copies from g1: after a move to g2, g1 gets none of the writes that g2 accepts. */
function oneWayCopy(): Shape {
  return { ...twoGroups(), copies: [['g1', 'g2']] }
}
function isNotBrowse(mix: { op: string }): boolean {
  return mix.op !== 'browse'
}
/** The newest value of the configuration register that any agent holds. */
function currentConfiguration(fleet: SimFleet): ConfigurationBody | undefined {
  return newestRegisterValue(fleet, 'configuration') as ConfigurationBody | undefined
}
/** Sends a change and returns its decision. */
async function sendChange(fleet: SimFleet, stream: string, edits: unknown[]): Promise<Decided> {
  const sent = fleet.change(randomIndex(fleet, fleet.fronts.length), stream, [
    { number: fleet.operatorDecisions.length + 1, expect: currentConfiguration(fleet)?.epoch ?? 0, edits },
  ])
  await fleet.sim.until(sent.done, 15000)
  return sent.out()[0] ?? { decision: 'no answer' }
}
/** Runs a move to its end, with a fault injected at a phase; returns whether the lanes switched. */
async function moveLanes(
  fleet: SimFleet,
  lanes: string[],
  to: string,
  notes: Map<string, number>,
  harm?: { phase: string; run: () => Promise<void> | void },
): Promise<boolean> {
  const result = await sendChange(fleet, 'moves', [{ op: 'move', lanes, to }])
  if (result.decision !== 'accepted') {
    fleet.watchBreaches.push({
      rule: 'move',
      what: `a move of ${lanes.join()} to ${to} was told ${JSON.stringify(result)}`,
    })
    return false
  }
  const id = result.epoch ?? 0
  const from = fleet.sim.now()
  let drainStartedAt = 0
  let isHarmStarted = false
  /** When the move was last seen in progress. */
  let lastSeenAt = fleet.sim.now()
  function currentMove(): Move | undefined {
    for (const move of currentConfiguration(fleet)?.moves ?? []) if (move.id === id) return move
    return undefined
  }
  function hasMoveEnded(): boolean {
    const move = currentMove()
    if (move) lastSeenAt = fleet.sim.now()
    if (move && move.phase === 'drain' && drainStartedAt === 0) drainStartedAt = fleet.sim.now()
    if (move && harm && !isHarmStarted && move.phase === harm.phase) {
      isHarmStarted = true
      void harm.run()
    }
    return move === undefined && (currentConfiguration(fleet)?.epoch ?? 0) >= id
  }
  if (!(await fleet.sim.until(hasMoveEnded, 60000))) {
    fleet.watchBreaches.push({
      rule: 'move',
      what: `the move of ${lanes.join()} to ${to} has not ended after a minute: ${JSON.stringify(currentMove())}`,
    })
    return false
  }
  let isSwitched = false
  for (const lane of currentConfiguration(fleet)?.config?.lanes ?? []) {
    if (!lanes.includes(lane.name) || lane.group !== to) continue
    isSwitched = true
    fleet.laws.push({ ...lawOf(lane, lastSeenAt), fenced: true })
  }
  if (isSwitched)
    notes.set(
      'ms from the drain to the switch, most',
      Math.max(
        notes.get('ms from the drain to the switch, most') ?? 0,
        Math.round(fleet.sim.now() - (drainStartedAt || from)),
      ),
    )
  return isSwitched
}
/** Moves lanes there and back without faults: no answer is dropped, and writes stall for at most 1 s. */
async function moveCalm(fleet: SimFleet, notes: Map<string, number>): Promise<void> {
  const lanes = ['book-g1', 'dep-g1', 'cal-g1']
  const partialMove = await sendChange(fleet, 'part', [{ op: 'move', lanes: ['dep-g1'], to: 'g2' }])
  if (partialMove.decision !== 'refused')
    fleet.watchBreaches.push({
      rule: 'move',
      what: `a lane without its fellows to the same database was told ${JSON.stringify(partialMove)}`,
    })
  for (const to of ['g2', 'g1']) {
    const from = fleet.sim.now()
    const isMoved = await moveLanes(fleet, lanes, to, notes)
    if (!isMoved) fleet.watchBreaches.push({ rule: 'move', what: `a move to ${to} with nothing wrong was called off` })
    await wait(fleet, 2500)
    let longestStallMs = 0
    let lastWriteAt = from
    for (const event of fleet.events) {
      if (!lanes.includes(event.lane) || event.tag === undefined || event.outcome !== 'done' || event.end < from)
        continue
      longestStallMs = Math.max(longestStallMs, event.end - lastWriteAt)
      lastWriteAt = Math.max(lastWriteAt, event.end)
    }
    notes.set(
      'ms without a write done, most',
      Math.max(notes.get('ms without a write done, most') ?? 0, Math.round(longestStallMs)),
    )
    if (longestStallMs > 1000)
      fleet.watchBreaches.push({
        rule: 'move',
        what: `no write of ${lanes.join()} was done for ${Math.round(longestStallMs)} ms`,
      })
  }
  await wait(fleet, 2000)
}
/** The same with one lagging follower in each group, so that it lacks a session's own writes at the switch. */
async function moveLagging(fleet: SimFleet, notes: Map<string, number>): Promise<void> {
  for (const group of ['g1', 'g2']) {
    for (const box of fleet.instanceHosts) {
      if (box.group !== group || box.instance?.role() !== 'follower') continue
      box.instance.faults.lag = 2000
      break
    }
  }
  await moveCalm(fleet, notes)
}
/** Injects one fault at one phase of a move; the move must complete or be cancelled, whatever the fault. */
async function moveHarmed(fleet: SimFleet, notes: Map<string, number>): Promise<void> {
  const phases = ['copy', 'ease', 'drain', 'quiet', 'held']
  const harms = harmsOf(fleet)
  await moveWithHarm(fleet, notes, phases[randomIndex(fleet, phases.length)], harms[randomIndex(fleet, harms.length)])
}
/** A proxy applies the last phase before the switch, and is partitioned so that it doesn't learn of the switch. */
async function moveDeaf(fleet: SimFleet, notes: Map<string, number>): Promise<void> {
  await moveWithHarm(fleet, notes, 'held', harmsOf(fleet).find(isIt)!)
  function isIt(h: { name: string }): boolean {
    return h.name === 'proxyDeaf'
  }
}
async function moveWithHarm(
  fleet: SimFleet,
  notes: Map<string, number>,
  phase: string,
  harm: () => Promise<void> | void,
): Promise<void> {
  notes.set(`${harm.name} in ${phase}`, 1)
  const lanes = ['book-g1', 'dep-g1', 'cal-g1']
  const isMoved = await moveLanes(fleet, lanes, 'g2', notes, { phase, run: harm })
  notes.set(isMoved ? 'went over' : 'called off', 1)
  await wait(fleet, 9000)
  fleet.sim.heal()
  for (const box of fleet.instanceHosts) if (box.instance) box.instance.faults.uncopied = false
  for (const [index, box] of fleet.instanceHosts.entries()) if (box.proc.state === 'dead') fleet.startInstanceAt(index)
  await wait(fleet, 4000)
}
function harmsOf(f: SimFleet): (() => Promise<void> | void)[] {
  function holderIndex(): number {
    const id = currentConfiguration(f)?.moves?.[0]?.id ?? 0
    const liveNodes: string[] = []
    for (const front of f.fronts) liveNodes.push(front.node)
    const name = dutyHolderOf(`move/${id}`, liveNodes)
    return f.fronts.findIndex(hasName)
    function hasName(front: { node: string }): boolean {
      return front.node === name
    }
  }
  function holderDies(): void {
    f.sim.kill(f.fronts[holderIndex()].agentProc)
  }
  function holderSleeps(): void {
    const { agentProc } = f.fronts[holderIndex()]
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
  /** Partitions a proxy from the cores and other nodes; its clients and both groups stay reachable. */
  function proxyDeaf(): void {
    const frontIndex = randomIndex(f, f.fronts.length)
    // The delay of up to 30 ms lets some proxies apply the phase before the partition.
    f.sim.at(30 * f.sim.random(), cut)
    function cut(): void {
      for (const core of f.cores) f.sim.cut(f.fronts[frontIndex].machine, core.machine)
      for (const front of f.fronts)
        if (front !== f.fronts[frontIndex]) f.sim.cut(f.fronts[frontIndex].machine, front.machine)
    }
  }
  function proxySleeps(): void {
    const { proxyProc } = f.fronts[randomIndex(f, f.fronts.length)]
    f.sim.freeze(proxyProc)
    f.sim.at(1000 + 7000 * f.sim.random(), thaw)
    function thaw(): void {
      f.sim.thaw(proxyProc)
    }
  }
  function agentSilent(): void {
    const { agentProc } = f.fronts[randomIndex(f, f.fronts.length)]
    f.sim.freeze(agentProc)
    f.sim.at(3000 + 6000 * f.sim.random(), thaw)
    function thaw(): void {
      f.sim.thaw(agentProc)
    }
  }
  function copyStops(): void {
    for (const box of f.instanceHosts) if (box.group === 'g2' && box.instance) box.instance.faults.uncopied = true
  }
  async function calledOff(): Promise<void> {
    await sendChange(f, 'off', [{ op: 'calloff', lane: 'dep-g1' }])
  }
  function coresLost(): void {
    for (const index of [0, 1]) f.sim.kill(f.cores[index].proc)
  }
  /** The source's leader answers late, so that writes are in flight when the lanes are closed. */
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
function twoSeparateGroups(): Shape {
  return { ...twoGroups(), separateGroupData: true }
}

export const lanes: Scenario[] = [
  {
    name: 'lanes-changed',
    long: true,
    rule: 'no call, session or transaction goes by a rule replaced over 3 s ago',
    shape: twoSeparateGroups,
    injectFaults: lanesChanged,
  },
  {
    name: 'move',
    long: true,
    calm: true,
    rule: 'a move of lanes drops no answer and misses no write',
    shape: twoSidesShortTransactions,
    injectFaults: moveCalm,
  },
  {
    name: 'move-lagging',
    long: true,
    calm: true,
    rule: "a session's own writes of before a move are not missed after it",
    shape: twoLagging,
    injectFaults: moveLagging,
  },
  {
    name: 'move-deaf',
    long: true,
    rule: 'no read of the old side once the new one took a write',
    shape: oneWayCopy,
    injectFaults: moveDeaf,
  },
  {
    name: 'move-harmed',
    long: true,
    rule: 'no write on both sides of a move, none missed after it, whatever fails',
    shape: twoSides,
    injectFaults: moveHarmed,
  },
]
