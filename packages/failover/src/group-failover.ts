import {
  CANDIDATE_PROBE_INTERVAL_MS,
  FAILOVER_INTERVAL_MS,
  loop,
  PROMOTION_INTERVAL_MS,
  type Flag,
  type Signal,
  type World,
} from '@claynotch/base'
import type { PromotionAdapter } from '@claynotch/host'
import { groupKey, type GroupRecord } from '@claynotch/register'
import { dutyHolderOf } from './duty-holder.js'
import type { FailoverView } from './failover-view.js'
import { writeFirstRecord } from './first-record.js'
import type { GroupContext } from './group-context.js'
import { makeGroupInstances } from './group-instances.js'
import { initialMemory, nextMemory, type GroupMemory } from './group-memory.js'
import { makeRecordWriter } from './group-record-writer.js'
import { watchLeader } from './leader-watch.js'
import { drainLeader } from './planned-replacement.js'
import { awaitWritesStopped, promoteCandidate } from './promotion.js'

/**
 * Runs the failover duty of one group in its own task. The node that holds the duty takes each step as the group's
 * record prescribes, so a later holder continues where an earlier one stopped.
 */
export function startGroupFailover(
  world: World,
  view: FailoverView,
  promote: PromotionAdapter,
  group: string,
  stop: Flag,
  signal: Signal,
): void {
  const key = groupKey(group)
  const instances = makeGroupInstances(world, view, group)
  const write = makeRecordWriter(world, view, group)
  const context: GroupContext = { world, view, group, instances, write, promote, scheduleCheck }
  let memory: GroupMemory | undefined
  /** The newest record version known here, and when (local time, ms) it was first seen. */
  let lastSeen = { version: -1, at: 0 }
  /**
   * A signal arrived during a step; that step may not have seen the change that it announced, so another one follows.
   */
  let isNotified = false
  let isCheckScheduled = false

  function scheduleCheck(ms: number): void {
    world.later(ms, signal.notify)
  }
  function isHolderExpired(record: GroupRecord): boolean {
    return record.holder !== view.node && !view.live().includes(record.holder)
  }
  function holdsDuty(): boolean {
    return world.now() < view.leaseExpiresAt() && dutyHolderOf(key, view.live()) === view.node
  }
  /**
   * Takes the duty over from the recorded holder once the record has been unchanged for FAILOVER_INTERVAL_MS. Without
   * this delay, two nodes with different views of the membership would take it from each other as fast as consensus
   * allows.
   */
  async function takeOver(version: number, record: GroupRecord): Promise<void> {
    if (world.now() - lastSeen.at < FAILOVER_INTERVAL_MS) return
    await write(version, { ...record, holder: view.node, fence: record.fence + 1 })
  }
  async function runPhase(version: number, record: GroupRecord, currentMemory: GroupMemory): Promise<boolean> {
    switch (record.phase) {
      case 'steady':
        return await watchLeader(context, version, record, currentMemory)
      case 'drain':
        return await drainLeader(context, version, record, currentMemory)
      case 'stop':
        return await awaitWritesStopped(context, version, record, currentMemory)
      case 'promote':
        return await promoteCandidate(context, version, record, currentMemory)
    }
  }
  /** Takes one step for the group; true: its record changed, so the next step follows at once. */
  async function runStep(): Promise<boolean> {
    const value = view.register(key)
    const version = value?.turn ?? 0
    instances.updateFirstSeen()
    if (version !== lastSeen.version) lastSeen = { version, at: world.now() }
    if (!holdsDuty()) {
      memory = undefined
      return false
    }
    if (!value) {
      memory ??= initialMemory(world.now())
      return await writeFirstRecord(context, memory)
    }
    const record = value.body as GroupRecord
    if (memory?.version !== version) memory = nextMemory(memory, version, record, world.now(), isHolderExpired(record))
    if (record.holder === view.node) return await runPhase(version, record, memory)
    await takeOver(version, record)
    return false
  }
  function recordNotification(): void {
    isNotified = true
  }
  async function runSteps(): Promise<void> {
    const unwatch = signal.watch(recordNotification)
    do {
      isNotified = false
      while (!stop.fired() && (await runStep()));
    } while (isNotified && !stop.fired())
    unwatch()
    scheduleNextCheck()
  }
  /** Outside the steady phase, checks run more often than FAILOVER_INTERVAL_MS, as writes are stopped. */
  function scheduleNextCheck(): void {
    const phase = (view.register(key)?.body as GroupRecord | undefined)?.phase ?? 'steady'
    if (!memory || memory.version === 0 || phase === 'steady' || isCheckScheduled) return
    isCheckScheduled = true
    const ms = phase === 'promote' ? CANDIDATE_PROBE_INTERVAL_MS : (memory.intervalMs ?? PROMOTION_INTERVAL_MS)
    world.later(ms, runScheduledCheck)
  }
  function runScheduledCheck(): void {
    isCheckScheduled = false
    signal.notify()
  }
  void loop(world, `failover ${group}`, FAILOVER_INTERVAL_MS, stop, runSteps, signal)
}
