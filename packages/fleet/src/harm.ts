import type { GroupRecord } from '@claynotch/register'
import type { Judgement } from './judge.js'
import type { Shape, SimFleet } from './simfleet.js'

/** Building blocks of fault scenarios. */

/** The result of one scenario run. */
export type Outcome = {
  name: string
  seed: number
  began: boolean
  judgement: Judgement
  faults: string[]
  counts: Map<string, number>
  notes: Map<string, number>
  fleet: SimFleet
}
/**
 * A fault scenario. `long`: a run takes so long that the tests use only two seeds. `calm`: everything that stops does
 * so as planned, so that no answer may be dropped and no commit lost.
 */
export type Scenario = {
  name: string
  rule: string
  shape?: (s: Shape) => Shape
  calm?: boolean
  long?: boolean
  reads?: boolean
  injectFaults: (f: SimFleet, notes: Map<string, number>) => Promise<void>
}

/** The index of an instance in the fleet, or -1. */
export function instanceIndex(fleet: SimFleet, box: { name: string } | undefined): number {
  for (const [index, candidate] of fleet.instanceHosts.entries()) if (candidate === box) return index
  return -1
}
/** Advances the simulation by `ms`. */
export function wait(fleet: SimFleet, ms: number): Promise<void> {
  return fleet.sim.run(fleet.sim.now() + ms)
}
/** A random integer from 0 to `count` - 1, from the simulation's seeded source. */
export function randomIndex(fleet: SimFleet, count: number): number {
  return Math.floor(fleet.sim.random() * count)
}
/** The index of the group's leader. */
export function leaderIndex(fleet: SimFleet, group: string): number {
  // Falls back to the first instance where the group has no leader at the moment.
  return Math.max(0, instanceIndex(fleet, fleet.leaderOf(group)))
}

/** The newest value of a register that any running agent holds. */
export function newestRegisterValue(fleet: SimFleet, key: string): unknown {
  let best: { turn: number; body: unknown } | undefined
  for (const front of fleet.fronts) {
    const cell = front.agentProc.state === 'up' ? front.agent?.register(key) : undefined
    if (cell && (!best || cell.turn > best.turn)) best = cell
  }
  return best?.body
}
/** The newest record of a group that any running agent holds. */
export function newestGroupRecord(fleet: SimFleet, group = 'g1'): GroupRecord | undefined {
  return newestRegisterValue(fleet, `group/${group}`) as GroupRecord | undefined
}
