import {
  CANDIDATE_PROBE_INTERVAL_MS,
  FAILOVER_INTERVAL_MS,
  loop,
  PROMOTION_INTERVAL_MS,
  type Flag,
  type Signal,
  type World,
} from '@claynotch/base'
import type { PromotionEdge } from '@claynotch/host'
import { groupKey, type GroupRecord } from '@claynotch/register'
import { dutyHolderOf } from './duty-holder.js'
import type { FailoverView } from './failover-view.js'
import { writeFirstRecord } from './first-record.js'
import type { GroupContext } from './group-context.js'
import { makeGroupInstances } from './group-instances.js'
import { firstMemory, nextMemory, type GroupMemory } from './group-memory.js'
import { makeRecordWriter } from './group-record-writer.js'
import { watchLeader } from './leader-watch.js'
import { drainLeader } from './planned-replacement.js'
import { awaitStop, promoteCandidate } from './promotion.js'

/**
 * The duty for one group, in a task of its own: whoever holds it takes one step after another by what the group's record says,
 * and any later holder goes on from there.
 */
export function startGroupFailover(
  world: World,
  view: FailoverView,
  promote: PromotionEdge,
  group: string,
  stop: Flag,
  signal: Signal,
): void {
  const key = groupKey(group)
  const instances = makeGroupInstances(world, view, group)
  const write = makeRecordWriter(world, view, group)
  const context: GroupContext = { world, view, group, instances, write, promote, lookAgainIn }
  let memory: GroupMemory | undefined
  // seen: the newest version, and since when it is known here.
  let seen = { version: -1, at: 0 }
  // isNotified: a signal came while a look was under way; what it told may have come after that look.
  let isNotified = false
  let isLookPlanned = false

  function lookAgainIn(ms: number): void {
    world.later(ms, signal.notify)
  }
  function isHolderGone(record: GroupRecord): boolean {
    return record.holder !== view.node && !view.live().includes(record.holder)
  }
  function holdsDuty(): boolean {
    return world.now() < view.leaseExpiresAt() && dutyHolderOf(key, view.live()) === view.node
  }
  /** Two nodes that see different members would else take it from each other as fast as rounds go. */
  async function takeOver(version: number, record: GroupRecord): Promise<void> {
    if (world.now() - seen.at < FAILOVER_INTERVAL_MS) return
    await write(version, { ...record, holder: view.node, fence: record.fence + 1 })
  }
  async function stepByRecord(version: number, record: GroupRecord, known: GroupMemory): Promise<boolean> {
    switch (record.phase) {
      case 'steady':
        return await watchLeader(context, version, record, known)
      case 'drain':
        return await drainLeader(context, version, record, known)
      case 'stop':
        return await awaitStop(context, version, record, known)
      case 'promote':
        return await promoteCandidate(context, version, record, known)
    }
  }
  /** One look at the group: true when its record moved on, so that the next look comes at once. */
  async function step(): Promise<boolean> {
    const value = view.register(key)
    const version = value?.turn ?? 0
    instances.remember()
    if (version !== seen.version) seen = { version, at: world.now() }
    if (!holdsDuty()) {
      memory = undefined
      return false
    }
    if (!value) {
      memory ??= firstMemory(world.now())
      return await writeFirstRecord(context, memory)
    }
    const record = value.body as GroupRecord
    if (memory?.version !== version) memory = nextMemory(memory, version, record, world.now(), isHolderGone(record))
    if (record.holder === view.node) return await stepByRecord(version, record, memory)
    await takeOver(version, record)
    return false
  }
  function notified(): void {
    isNotified = true
  }
  async function steps(): Promise<void> {
    const unwatch = signal.watch(notified)
    do {
      isNotified = false
      while (!stop.fired() && (await step()));
    } while (isNotified && !stop.fired())
    unwatch()
    planNextLook()
  }
  /** While writes are stopped, looks come quicker than the interval. */
  function planNextLook(): void {
    const phase = (view.register(key)?.body as GroupRecord | undefined)?.phase ?? 'steady'
    if (!memory || memory.version === 0 || phase === 'steady' || isLookPlanned) return
    isLookPlanned = true
    const ms = phase === 'promote' ? CANDIDATE_PROBE_INTERVAL_MS : (memory.intervalMs ?? PROMOTION_INTERVAL_MS)
    world.later(ms, lookAgain)
  }
  function lookAgain(): void {
    isLookPlanned = false
    signal.notify()
  }
  void loop(world, `failover ${group}`, FAILOVER_INTERVAL_MS, stop, steps, signal)
}
