/**
 * A week of control, compressed: changes come without a break while every kind of loss comes, one after the other, each once
 * the fleet is whole again. Machines are replaced for good in every few of them.
 */
import { pause, type World } from '@claynotch/base'
import type { Action } from './actions.js'
import { makeRun, WHOLE_LIMIT, type Run, type Verdict } from './run.js'

/** One kind of loss: its actions, with the machine that it falls on left open. */
type Loss = { name: string; actions: (machine: number, other: number) => Action[] }

const ALL_OTHERS = 2 ** 16 - 1

function one(kind: 'kill' | 'power' | 'wipe' | 'freeze' | 'term' | 'slow' | 'stall' | 'full', long: number): Loss {
  function actions(machine: number): Action[] {
    return [{ wait: 0, kind, machine, long }]
  }
  return { name: `${kind} ${long} ms`, actions }
}
function cut(way: 'in' | 'out' | 'both', long: number): Loss {
  function actions(machine: number): Action[] {
    return [{ wait: 0, kind: 'cut', machine, others: ALL_OTHERS, way, long }]
  }
  return { name: `cut ${way} ${long} ms`, actions }
}
function replacement(pauseBefore: number): Loss {
  function actions(machine: number): Action[] {
    return [
      { wait: 0, kind: 'remove', machine },
      { wait: pauseBefore, kind: 'add' },
    ]
  }
  return { name: `replaced after ${pauseBefore} ms`, actions }
}
function secondLoss(wait: number): Loss {
  function actions(machine: number, other: number): Action[] {
    return [
      { wait: 0, kind: 'remove', machine },
      { wait: 500, kind: 'add' },
      { wait, kind: 'kill', machine: other, long: 4000 },
    ]
  }
  return { name: `replaced, and another killed ${wait} ms later`, actions }
}
function blackout(): Action[] {
  return [{ wait: 0, kind: 'blackout', long: 1500 }]
}
function loss(): Action[] {
  return [{ wait: 0, kind: 'loss', share: 0.2, long: 4000 }]
}
function clock(machine: number): Action[] {
  return [{ wait: 0, kind: 'clock', machine, step: 90 }]
}
function front(): Action[] {
  return [{ wait: 0, kind: 'front', fault: 'kill', long: 1000 }]
}

const LOSSES: Loss[] = [
  one('kill', 700),
  replacement(500),
  one('power', 1500),
  one('wipe', 700),
  secondLoss(1000),
  one('freeze', 1000),
  one('freeze', 6000),
  replacement(4000),
  one('term', 500),
  one('slow', 3000),
  one('stall', 3000),
  secondLoss(3000),
  one('full', 3000),
  cut('in', 3000),
  replacement(500),
  cut('out', 3000),
  cut('both', 20000),
  secondLoss(200),
  { name: 'power lost everywhere', actions: blackout },
  { name: 'a fifth of packets lost', actions: loss },
  replacement(1500),
  { name: 'clock steps', actions: clock },
  { name: 'front killed', actions: front },
  one('kill', 12000),
]

/** Milliseconds of changes alone before each loss. */
const QUIET = 1500
/** Milliseconds between an answer and the next order. */
const ORDER_PAUSE = 80

/** What a week came to. `outage`: longest time from an order's first sending to a clear answer, by kind of loss. */
export type WeekReport = { verdict: Verdict; losses: number; replaced: number; outage: Map<string, number> }

/** Sends one order after the other until told to stop; every fourth races with another, every ninth expects a passed epoch. */
function startOrders(run: Run, over: () => boolean, took: (ms: number) => void): void {
  const { sim } = run.fleet
  async function send(world: World): Promise<void> {
    for (let k = 0; !over(); k++) {
      const from = sim.now()
      if (k % 4 === 3) await run.sendRacingOrders(k, k + 1, 1)
      else await run.sendOrder(0, k, { stale: k % 9 === 8, gap: 1 + (k % 3), again: k % 5 === 0 ? 1 : 0 })
      took(sim.now() - from)
      await pause(world, ORDER_PAUSE)
    }
  }
  sim.spawn(sim.machine('week', '10.0.3.200'), 'week', send)
}

/** rounds: losses that are played, over and over through the list. */
export async function runWeek(seed: number, rounds: number): Promise<WeekReport> {
  const run = makeRun(seed, 3, 2, 0)
  const { fleet, faults } = run
  const { sim } = fleet
  let over = false
  let present = 'founding'
  const outage = new Map<string, number>()
  function isOver(): boolean {
    return over
  }
  function took(ms: number): void {
    outage.set(present, Math.max(outage.get(present) ?? 0, ms))
  }
  if (await run.foundCluster()) {
    startOrders(run, isOver, took)
    for (let k = 0; k < rounds && run.broken.length === 0; k++) {
      const { name, actions } = LOSSES[k % LOSSES.length]
      present = 'nothing'
      await sim.run(sim.now() + QUIET)
      if (!(await sim.until(fleet.isFullyVoting, WHOLE_LIMIT)))
        run.fleet.broken(`not whole before ${name}, loss ${k}: ${run.describeState()}`)
      present = name
      const machine = Math.floor(sim.random() * fleet.presentHosts().length)
      const other = Math.floor(sim.random() * fleet.presentHosts().length)
      let length = 0
      for (const action of actions(machine, other)) {
        await sim.run(sim.now() + action.wait)
        if ('long' in action) length = action.long
        faults.apply(action)
      }
      await sim.run(sim.now() + length + 1500)
    }
    over = true
  }
  let replaced = 0
  for (const b of fleet.hosts) if (b.isRemoved) replaced++
  return { verdict: await run.finish(), losses: rounds, replaced, outage }
}

/** A report in lines. */
export function formatWeekReport(seed: number, got: WeekReport): string {
  const { verdict, losses, replaced, outage } = got
  const lines = [
    `seed ${seed}: ${losses} losses, ${replaced} machines replaced, ${verdict.orders} orders (${verdict.accepted} accepted, ` +
      `${verdict.refused} refused, ${verdict.unclear} answers unclear), ${verdict.sets} core sets, ${verdict.counts} leases looked for, ` +
      `${Math.round(verdict.virtual / 1000)} s of virtual time, ${verdict.violations.length} contradictions`,
  ]
  for (const [name, ms] of outage) lines.push(`  longest order, ${name}: ${Math.round(ms)} ms`)
  for (const what of verdict.violations) lines.push(`  BROKEN ${what}`)
  return lines.join('\n')
}
