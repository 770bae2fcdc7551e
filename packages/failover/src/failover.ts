import { FAILOVER_INTERVAL_MS, loop, makeFlag, makeSignal, type Flag, type Signal, type World } from '@claynotch/base'
import type { FailoverView } from './failover-view.js'
import { startGroupFailover } from './group-failover.js'
import { limitToOneCallPerGroup } from './promotion-calls.js'

/** A duty that may be told to look at once. */
export type Duty = { notify: () => void }

type GroupTask = { end: Flag; signal: Signal }

/** Replaces leaders: one task for each configured group, started and ended as the configuration says. */
export function startFailover(world: World, view: FailoverView, stop: Flag): Duty {
  const tasks = new Map<string, GroupTask>()
  const promote = limitToOneCallPerGroup(view.promotion)

  function start(group: string): GroupTask {
    const end = makeFlag()
    const signal = makeSignal()
    stop.watch(end.fire)
    startGroupFailover(world, view, promote, group, end, signal)
    return { end, signal }
  }
  function reconcile(): void {
    const wanted = new Set(view.groups())
    for (const group of wanted) if (!tasks.has(group)) tasks.set(group, start(group))
    for (const [group, { end }] of tasks) {
      if (wanted.has(group)) continue
      end.fire()
      tasks.delete(group)
    }
  }
  function ring(): void {
    for (const { signal } of tasks.values()) signal.notify()
  }
  void loop(world, 'failover', FAILOVER_INTERVAL_MS, stop, reconcile)
  return { notify: ring }
}
