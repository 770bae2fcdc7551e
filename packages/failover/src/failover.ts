import { FAILOVER_INTERVAL_MS, loop, makeFlag, makeSignal, type Flag, type Signal, type World } from '@claynotch/base'
import type { FailoverView } from './failover-view.js'
import { startGroupFailover } from './group-failover.js'
import { limitToOneCallPerGroup } from './promotion-calls.js'

/** A background duty that can be told to run its next step at once. */
export type Duty = { notify: () => void }

type GroupTask = { stopFlag: Flag; signal: Signal }

/** Runs failover: one task per configured group, started and stopped as the configuration changes. */
export function startFailover(world: World, view: FailoverView, stop: Flag): Duty {
  const tasks = new Map<string, GroupTask>()
  const promote = limitToOneCallPerGroup(view.promotion)

  function start(group: string): GroupTask {
    const stopFlag = makeFlag()
    const signal = makeSignal()
    stop.watch(stopFlag.fire)
    startGroupFailover(world, view, promote, group, stopFlag, signal)
    return { stopFlag, signal }
  }
  function reconcile(): void {
    const configuredGroups = new Set(view.groups())
    for (const group of configuredGroups) if (!tasks.has(group)) tasks.set(group, start(group))
    for (const [group, { stopFlag: end }] of tasks) {
      if (configuredGroups.has(group)) continue
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
