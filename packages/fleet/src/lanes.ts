import type { Config } from '@claynotch/operator'
import { leaderIndex, pick, wait, type Scenario } from './harm.js'
import { lawOf, smallShape, type Shape, type SimFleet } from './simfleet.js'

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
  const num = f.decided.length
  const edits = next ? [{ op: 'put', what: 'lane', value: next }] : [{ op: 'drop', what: 'lane', name }]
  const sent = f.change(pick(f, f.fronts.length), `lanes${num}`, [{ number: 1, expect: epochNow(f), edits }])
  await f.sim.until(sent.done, 15000)
  const told = sent.out()[0]
  if (told?.decision !== 'accepted') f.watched.push({ rule: 'configuration', what: `a change of lane ${name} was told ${JSON.stringify(told)}` })
  else f.laws.push(next ? lawOf(next, f.sim.now()) : { lane: name, from: f.sim.now(), group: undefined, within: 0, own: false })
}
// The epoch last told accepted.
export function epochNow(f: SimFleet): number {
  let most = 0
  for (const d of f.decided) if (d.told.decision === 'accepted') most = Math.max(most, d.told.epoch ?? 0)
  return most
}

// Lanes are moved by a plain change, dropped, put back, tightened, in half of the cases while their group's leader has
// just died and calls wait for the next.
async function lanesChanged(f: SimFleet, notes: Map<string, number>): Promise<void> {
  for (let k = 0; k < 3; k++) {
    const name = ['book-g1', 'dep-g1', 'cal-g1'][pick(f, 3)]
    const was = laneNow(f, name)
    const ways: [string, Lane | undefined][] = [['moved', { ...was, group: 'g2' }], ['dropped', undefined], ['tightened', { ...was, reads: 'leader' }]]
    if (was.reads !== 'leader') ways.push(['own bound', { ...was, reads: { within: 1000, own: true } }])
    const [way, next] = ways[pick(f, ways.length)]
    const dead = f.sim.random() < 0.5 ? leaderIndex(f, 'g1') : -1
    notes.set(`${name} ${way}${dead >= 0 ? ' in a promotion' : ''}`, 1)
    if (dead >= 0) {
      f.killBox(dead)
      await wait(f, 100 + 1500 * f.sim.random())
    }
    await putLane(f, name, next)
    await wait(f, 7000)
    if (dead >= 0) f.startBoxAt(dead)
    await putLane(f, name, was)
    await wait(f, 2000 + 3000 * f.sim.random())
  }
}
// Two groups, and some transactions that stay open for up to 7 s.
function twoGroups(): Shape {
  const s = smallShape(2)
  return { ...s, requesters: 16, mixes: [...s.mixes, { kind: 'linger', lane: 'book-g1', group: 'g1', op: 'linger', weight: 1, within: 0, own: false }] }
}
function twoApart(): Shape {
  return { ...twoGroups(), apart: true }
}

export const lanes: Scenario[] = [
  { name: 'lanes-changed', rule: 'no call, session or transaction goes by a rule replaced over 3 s ago', shape: twoApart, harm: lanesChanged },
]
