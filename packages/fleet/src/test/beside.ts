import type { World } from '@claynotch/base'
import type { Machine, Sim } from '../sim.js'
import type { SimFleet } from '../simfleet.js'

// Runs a task on a machine beside the fleet and waits for its end.
export async function beside(f: SimFleet, run: (world: World) => Promise<void>): Promise<void> {
  await task(f.sim, f.sim.machine('beside', '10.0.6.1'), run)
}

// Runs a task as a process of its own in the simulator; what it throws is thrown on.
export async function task(sim: Sim, on: Machine, run: (world: World) => Promise<void>): Promise<void> {
  let over = false
  let bad: Error | undefined
  async function start(world: World): Promise<void> {
    try {
      await run(world)
    } catch (e) {
      bad = e as Error
    }
    over = true
  }
  sim.spawn(on, 'task', start)
  function isOver(): boolean {
    return over
  }
  await sim.until(isOver, 1e9)
  if (bad !== undefined) throw bad
}
