import type { World } from '@claynotch/base'
import type { SimFleet } from '../simfleet.js'

// Runs a task on a machine beside the fleet and waits for its end.
export async function beside(f: SimFleet, run: (world: World) => Promise<void>): Promise<void> {
  let over = false
  let bad: unknown
  async function start(world: World): Promise<void> {
    try {
      await run(world)
    } catch (e) {
      bad = e
    }
    over = true
  }
  f.sim.spawn(f.sim.machine('beside', '10.0.6.1'), 'beside', start)
  function isOver(): boolean {
    return over
  }
  await f.sim.until(isOver, 120000)
  if (bad !== undefined) throw bad
}
