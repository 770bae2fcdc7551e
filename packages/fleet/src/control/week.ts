/**
 * A long run under continuous change requests: every fault scenario is played in turn, each once the fleet is whole
 * again. Some scenarios replace a machine for good.
 */
import { pause, type World } from '@claynotch/base'
import type { Action } from './actions.js'
import { makeRun, WHOLE_LIMIT_MS, type Run, type Verdict } from './run.js'

/** A fault scenario: its actions, for the affected machine and another one. */
type FaultScenario = { name: string; actions: (machine: number, other: number) => Action[] }

const ALL_OTHER_MACHINES = 2 ** 16 - 1

function singleFault(
  kind: 'kill' | 'power' | 'wipe' | 'freeze' | 'term' | 'slow' | 'stall' | 'full',
  long: number,
): FaultScenario {
  function actions(machine: number): Action[] {
    return [{ wait: 0, kind, machine, long }]
  }
  return { name: `${kind} ${long} ms`, actions }
}
function cut(way: 'in' | 'out' | 'both', long: number): FaultScenario {
  function actions(machine: number): Action[] {
    return [{ wait: 0, kind: 'cut', machine, others: ALL_OTHER_MACHINES, way, long }]
  }
  return { name: `cut ${way} ${long} ms`, actions }
}
function replacement(pauseBefore: number): FaultScenario {
  function actions(machine: number): Action[] {
    return [
      { wait: 0, kind: 'remove', machine },
      { wait: pauseBefore, kind: 'add' },
    ]
  }
  return { name: `replaced after ${pauseBefore} ms`, actions }
}
function replacementAndKill(wait: number): FaultScenario {
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
function packetLoss(): Action[] {
  return [{ wait: 0, kind: 'loss', share: 0.2, long: 4000 }]
}
function clockStep(machine: number): Action[] {
  return [{ wait: 0, kind: 'clock', machine, step: 90 }]
}
function frontKill(): Action[] {
  return [{ wait: 0, kind: 'front', fault: 'kill', long: 1000 }]
}

const SCENARIOS: FaultScenario[] = [
  singleFault('kill', 700),
  replacement(500),
  singleFault('power', 1500),
  singleFault('wipe', 700),
  replacementAndKill(1000),
  singleFault('freeze', 1000),
  singleFault('freeze', 6000),
  replacement(4000),
  singleFault('term', 500),
  singleFault('slow', 3000),
  singleFault('stall', 3000),
  replacementAndKill(3000),
  singleFault('full', 3000),
  cut('in', 3000),
  replacement(500),
  cut('out', 3000),
  cut('both', 20000),
  replacementAndKill(200),
  { name: 'power lost everywhere', actions: blackout },
  { name: 'a fifth of packets lost', actions: packetLoss },
  replacement(1500),
  { name: 'clock steps', actions: clockStep },
  { name: 'front killed', actions: frontKill },
  singleFault('kill', 12000),
]

/** Time with change requests but no faults before each scenario. */
const QUIET_MS = 1500
/** Pause between an answer and the next order. */
const ORDER_PAUSE_MS = 80

/** The result of a run. `longestOrderMs`: longest time until an order or race was done, by fault scenario. */
export type WeekReport = { verdict: Verdict; losses: number; replaced: number; longestOrderMs: Map<string, number> }

/** Sends orders until `hasEnded`; every fourth is a race of two, every ninth (if no race) expects an outdated epoch. */
function startOrders(run: Run, hasEnded: () => boolean, reportDuration: (ms: number) => void): void {
  const { sim } = run.fleet
  async function send(world: World): Promise<void> {
    for (let k = 0; !hasEnded(); k++) {
      const startedAt = sim.now()
      if (k % 4 === 3) await run.sendRacingOrders(k, k + 1, 1)
      else await run.sendOrder(0, k, { stale: k % 9 === 8, gap: 1 + (k % 3), again: k % 5 === 0 ? 1 : 0 })
      reportDuration(sim.now() - startedAt)
      await pause(world, ORDER_PAUSE_MS)
    }
  }
  sim.spawn(sim.machine('week', '10.0.3.200'), 'week', send)
}

/** Plays `rounds` fault scenarios, cycling through the list, with three founders and two spares. */
export async function runWeek(seed: number, rounds: number): Promise<WeekReport> {
  const run = makeRun(seed, 3, 2, 0)
  const { fleet, faults } = run
  const { sim } = fleet
  let ended = false
  let currentScenario = 'founding'
  const longestOrderMs = new Map<string, number>()
  function hasEnded(): boolean {
    return ended
  }
  function recordDuration(ms: number): void {
    longestOrderMs.set(currentScenario, Math.max(longestOrderMs.get(currentScenario) ?? 0, ms))
  }
  if (await run.foundCluster()) {
    startOrders(run, hasEnded, recordDuration)
    for (let k = 0; k < rounds && run.violations.length === 0; k++) {
      const { name, actions } = SCENARIOS[k % SCENARIOS.length]
      currentScenario = 'nothing'
      await sim.run(sim.now() + QUIET_MS)
      if (!(await sim.until(fleet.isFullyVoting, WHOLE_LIMIT_MS)))
        run.fleet.reportViolation(`not whole before ${name}, loss ${k}: ${run.describeState()}`)
      currentScenario = name
      const machine = Math.floor(sim.random() * fleet.presentHosts().length)
      const other = Math.floor(sim.random() * fleet.presentHosts().length)
      let durationMs = 0
      for (const action of actions(machine, other)) {
        await sim.run(sim.now() + action.wait)
        if ('long' in action) durationMs = action.long
        faults.apply(action)
      }
      await sim.run(sim.now() + durationMs + 1500)
    }
    ended = true
  }
  let replaced = 0
  for (const host of fleet.hosts) if (host.isRemoved) replaced++
  return { verdict: await run.finish(), losses: rounds, replaced, longestOrderMs }
}

/** Formats a report as lines of text. */
export function formatWeekReport(seed: number, report: WeekReport): string {
  const { verdict, losses, replaced, longestOrderMs } = report
  const lines = [
    `seed ${seed}: ${losses} losses, ${replaced} machines replaced, ${verdict.orders} orders (${verdict.accepted} accepted, ` +
      `${verdict.refused} refused, ${verdict.unclear} answers unclear), ${verdict.sets} core sets, ${verdict.leaseChecks} leases looked for, ` +
      `${Math.round(verdict.virtual / 1000)} s of virtual time, ${verdict.violations.length} contradictions`,
  ]
  for (const [name, ms] of longestOrderMs) lines.push(`  longest order, ${name}: ${Math.round(ms)} ms`)
  for (const what of verdict.violations) lines.push(`  BROKEN ${what}`)
  return lines.join('\n')
}
