import type { GroupRecord } from '@claynotch/register'
import type { Judgement } from './judge.js'
import type { Shape, SimFleet } from './simfleet.js'

// What scenarios are made of.
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
// long: a run of it takes so much that the tests run it under two seeds.
// calm: everything that stops does so as planned, so no answer may be dropped and no commit lost.
export type Scenario = {
  name: string
  rule: string
  shape?: (s: Shape) => Shape
  calm?: boolean
  long?: boolean
  reads?: boolean
  harm: (f: SimFleet, notes: Map<string, number>) => Promise<void>
}

export function indexOf(f: SimFleet, box: { name: string } | undefined): number {
  for (const [k, b] of f.instanceHosts.entries()) if (b === box) return k
  return -1
}
export function wait(f: SimFleet, ms: number): Promise<void> {
  return f.sim.run(f.sim.now() + ms)
}
export function pick(f: SimFleet, n: number): number {
  return Math.floor(f.sim.random() * n)
}
export function leaderIndex(f: SimFleet, group: string): number {
  // Where none leads just now, whoever comes first stands in.
  return Math.max(0, indexOf(f, f.leaderOf(group)))
}

// The newest value of a register that any agent holds.
export function newestOf(f: SimFleet, key: string): unknown {
  let best: { turn: number; body: unknown } | undefined
  for (const x of f.fronts) {
    const cell = x.agentProc.state === 'up' ? x.agent?.register(key) : undefined
    if (cell && (!best || cell.turn > best.turn)) best = cell
  }
  return best?.body
}
export function recordOf(f: SimFleet, group = 'g1'): GroupRecord | undefined {
  return newestOf(f, `group/${group}`) as GroupRecord | undefined
}
