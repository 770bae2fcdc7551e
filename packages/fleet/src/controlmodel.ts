/**
 * The model test of control: plays one schedule against the real cores, agents and order-taking in the simulator, and holds
 * every step against a plain model (docs/design/control-safety.md, "Proof"). The same schedule gives the same run each time.
 */
import type { Action, Schedule } from './control/actions.js'
import { makeRun, type Run, type Verdict } from './control/run.js'

export { FAULTS, WAYS, type Action, type FaultKind, type Schedule, type Way } from './control/actions.js'
export { SCOPES, schedulesOf } from './control/scope.js'
export { makeSums, type Sums } from './control/sums.js'
export { runWeek, formatWeekReport as weekText, type WeekReport } from './control/week.js'
export { makeRun, PROGRESS_LIMIT, WHOLE_LIMIT, type Run, type Verdict } from './control/run.js'

function begin(run: Run, action: Action, operator: number): void {
  if (action.kind === 'order') void run.sendOrder(operator, action.machine, action)
  else if (action.kind === 'race') void run.sendRacingOrders(action.machine, action.other, action.gap)
  else run.faults.apply(action)
}

/** Plays it from its founding to the last judgement. */
export async function playSchedule(schedule: Schedule): Promise<Verdict> {
  const run = makeRun(schedule.seed, schedule.seeds, schedule.spares, schedule.pad)
  const { sim } = run.fleet
  if (await run.foundCluster()) {
    for (let k = 0; k < schedule.before; k++) {
      void run.sendOrder(0, k)
      await run.idle()
    }
    for (const [k, action] of schedule.actions.entries()) {
      await sim.run(sim.now() + action.wait)
      begin(run, action, k % 2)
    }
  }
  return await run.finish()
}
