import {
  CANDIDATE_PROBE_INTERVAL_MS,
  CATCH_UP_TIMEOUT_MS,
  DRAIN_TIMEOUT_MS,
  HOME_RETURN_DELAY_MS,
  LEASE_DURATION_MS,
} from '@claynotch/base'
import { comparePositions } from '@claynotch/instance'
import { groupKey, hasDeparted, type GroupRecord, type InstanceStatus } from '@claynotch/register'
import { haveAllProxiesStopped, leaderEpochOf, recordedEpochOf } from './failover-view.js'
import type { GroupContext } from './group-context.js'
import type { ProbedInstance, ProbeTarget } from './group-instances.js'
import type { GroupMemory } from './group-memory.js'
import { enterStopPhase } from './promotion.js'

/** Planned replacements of a healthy leader: on an operator's request, when it leaves, or to return to a home zone. */

/**
 * The instance to which leadership returns, once a follower in a home zone has been healthy for HOME_RETURN_DELAY_MS.
 */
async function homeZoneSuccessor(
  context: GroupContext,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<string | undefined> {
  const { world, instances } = context
  const zones = instances.homeZones()
  if (zones.length === 0 || instances.isHome(record.leader as string)) return undefined
  const homeInstances: InstanceStatus[] = []
  for (const instance of instances.stayingInstances()) if (zones.includes(instance.area)) homeInstances.push(instance)
  const healthyFollowers: ProbedInstance[] = []
  for (const instance of await instances.probe(homeInstances))
    if (instance.status.role === 'follower' && leaderEpochOf(instance.status) === recordedEpochOf(record))
      healthyFollowers.push(instance)
  if (healthyFollowers.length === 0) delete memory.homeSince
  else memory.homeSince ??= world.now()
  const isDue = memory.homeSince !== undefined && world.now() - memory.homeSince > HOME_RETURN_DELAY_MS
  return isDue ? instances.mostAdvanced(healthyFollowers, undefined)?.name : undefined
}

/**
 * Whether a replacement is requested or the leader is leaving. A leaving leader keeps its role while there is no
 * successor.
 */
function isReplacementRequested({ instances }: GroupContext, record: GroupRecord): boolean {
  if (record.wish) return true
  const leader = record.leader as string
  const isLeaving = instances.get(leader)?.leaving === true || hasDeparted(record, leader)
  return isLeaving && instances.stayingInstances(leader).length > 0
}

/** Starts the replacement of a healthy leader if one is requested or due. */
export async function startPlannedReplacement(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<boolean> {
  const { world, view, group, write } = context
  if (isReplacementRequested(context, record)) {
    const { note: _, ...rest } = record
    return (await write(version, { ...rest, phase: 'drain', holder: view.node, planned: true })) === true
  }
  const successor = await homeZoneSuccessor(context, record, memory)
  if (successor === undefined) return false
  world.log.info('leader-goes-home', { group, leader: record.leader, to: successor })
  const next: GroupRecord = { ...record, phase: 'drain', holder: view.node, planned: true, wish: { to: successor } }
  return (await write(version, next)) === true
}

/** Cancels a replacement for which no follower caught up in time; the leader stays. */
async function cancelReplacement(
  { view, group, write }: GroupContext,
  version: number,
  record: GroupRecord,
): Promise<boolean> {
  const { wish: _wish, planned: _planned, ...rest } = record
  view.metrics.add('claynotch_duty_called_off_total', [['group', group]])
  const note = 'planned replacement called off: no follower caught up in time'
  return (await write(version, { ...rest, phase: 'steady', note })) === true
}

/** The instances that may succeed the leader: all others, or the requested one. */
function eligibleSuccessors(probed: ProbedInstance[], leader: ProbedInstance, record: GroupRecord): ProbedInstance[] {
  const requestedSuccessor = record.wish?.to ?? ''
  const eligible: ProbedInstance[] = []
  for (const instance of probed)
    if (instance !== leader && (requestedSuccessor === '' || requestedSuccessor === instance.name))
      eligible.push(instance)
  return eligible
}

/**
 * The drain phase: waits until proxies have finished their transactions and a follower holds all of the leader's
 * commits.
 */
export async function drainLeader(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<boolean> {
  const { world, view, group, instances } = context
  const elapsedMs = world.now() - memory.since
  // A proxy acknowledges once it has no open transactions, at the latest after DRAIN_TIMEOUT_MS. One that sends no
  // acknowledgement loses its lease.
  const mayWait = elapsedMs < DRAIN_TIMEOUT_MS + LEASE_DURATION_MS
  const drainEnd = memory.since + DRAIN_TIMEOUT_MS
  if (mayWait && !(await haveAllProxiesStopped(world, view, groupKey(group), version, drainEnd))) return false
  const name = record.leader as string
  const targets: ProbeTarget[] = [{ name, addr: instances.addressOf(name, record.addr as string) }]
  targets.push(...instances.stayingInstances(name))
  memory.intervalMs = CANDIDATE_PROBE_INTERVAL_MS
  const probed = await instances.probe(targets)
  const leader = probed.find(isLeader)
  function isLeader(instance: ProbedInstance): boolean {
    return instance.name === name
  }
  if (!leader)
    return elapsedMs > DRAIN_TIMEOUT_MS + view.suspicionTimeoutMs && (await enterStopPhase(context, version, record, false))
  const successor = instances.mostAdvanced(eligibleSuccessors(probed, leader, record), undefined)
  if (successor && comparePositions(successor.status.mark, leader.status.mark) >= 0)
    return await enterStopPhase(context, version, record, true, successor)
  return elapsedMs >= DRAIN_TIMEOUT_MS + CATCH_UP_TIMEOUT_MS && (await cancelReplacement(context, version, record))
}
