import {
  CANDIDATE_PROBE_INTERVAL_MS,
  CATCH_UP_TIMEOUT_MS,
  DRAIN_TIMEOUT_MS,
  HOME_RETURN_DELAY_MS,
  LEASE_DURATION_MS,
} from '@claynotch/base'
import { comparePositions } from '@claynotch/instance'
import { groupKey, hasDeparted, type GroupRecord, type InstanceStatus } from '@claynotch/register'
import { haveStopped, leaderEpochOf, recordedEpochOf } from './failover-view.js'
import type { GroupContext } from './group-context.js'
import type { Probed, Target } from './group-instances.js'
import type { GroupMemory } from './group-memory.js'
import { stopForCandidate } from './promotion.js'

// Replacements of a leader that is well: asked for by operators, for a leader that leaves, or to bring it home.

/** Whom to bring the leader home to, once someone there has been well for long enough. */
async function successorAtHome(
  context: GroupContext,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<string | undefined> {
  const { world, instances } = context
  const zones = instances.homeZones()
  if (zones.length === 0 || instances.isHome(record.leader as string)) return undefined
  const near: InstanceStatus[] = []
  for (const instance of instances.staying()) if (zones.includes(instance.area)) near.push(instance)
  const well: Probed[] = []
  for (const one of await instances.probe(near))
    if (one.status.role === 'follower' && leaderEpochOf(one.status) === recordedEpochOf(record)) well.push(one)
  if (well.length === 0) delete memory.homeSince
  else memory.homeSince ??= world.now()
  const isDue = memory.homeSince !== undefined && world.now() - memory.homeSince > HOME_RETURN_DELAY_MS
  return isDue ? instances.furthest(well, undefined)?.name : undefined
}

/** Writes don't stop for a leader that leaves while there is nobody to take over. */
function isAskedFor({ instances }: GroupContext, record: GroupRecord): boolean {
  if (record.wish) return true
  const leader = record.leader as string
  const isLeaving = instances.get(leader)?.leaving === true || hasDeparted(record, leader)
  return isLeaving && instances.staying(leader).length > 0
}

/** Begins the replacement of a leader that is well, where one is asked for. */
export async function replaceAsPlanned(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<boolean> {
  const { world, view, group, write } = context
  if (isAskedFor(context, record)) {
    const { note: _, ...rest } = record
    return (await write(version, { ...rest, phase: 'drain', holder: view.node, planned: true })) === true
  }
  const to = await successorAtHome(context, record, memory)
  if (to === undefined) return false
  world.log.info('leader-goes-home', { group, leader: record.leader, to })
  const next: GroupRecord = { ...record, phase: 'drain', holder: view.node, planned: true, wish: { to } }
  return (await write(version, next)) === true
}

async function callOff({ view, group, write }: GroupContext, version: number, record: GroupRecord): Promise<boolean> {
  const { wish: _wish, planned: _planned, ...rest } = record
  view.metrics.add('claynotch_duty_called_off_total', [['group', group]])
  const note = 'planned replacement called off: no follower caught up in time'
  return (await write(version, { ...rest, phase: 'steady', note })) === true
}

/** Those that may follow the leader: all, or the one that was asked for. */
function successors(probed: Probed[], leader: Probed, record: GroupRecord): Probed[] {
  const wished = record.wish?.to ?? ''
  const out: Probed[] = []
  for (const one of probed) if (one !== leader && (wished === '' || wished === one.name)) out.push(one)
  return out
}

/** The drain phase: proxies end their transactions, and a follower that holds all of the leader's commits is waited for. */
export async function drainLeader(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<boolean> {
  const { world, view, group, instances } = context
  const spentMs = world.now() - memory.since
  // Proxies acknowledge once they are quiet, at the latest after DRAIN_TIMEOUT_MS; one that is silent runs out of its lease.
  const mayWait = spentMs < DRAIN_TIMEOUT_MS + LEASE_DURATION_MS
  const drainEnd = memory.since + DRAIN_TIMEOUT_MS
  if (mayWait && !(await haveStopped(world, view, groupKey(group), version, drainEnd))) return false
  const name = record.leader as string
  const targets: Target[] = [{ name, addr: instances.addressOf(name, record.addr as string) }]
  targets.push(...instances.staying(name))
  memory.intervalMs = CANDIDATE_PROBE_INTERVAL_MS
  const probed = await instances.probe(targets)
  const leader = probed.find(isLeader)
  function isLeader(one: Probed): boolean {
    return one.name === name
  }
  if (!leader)
    return spentMs > DRAIN_TIMEOUT_MS + view.suspicionTimeoutMs && (await stopForCandidate(context, version, record, false))
  const best = instances.furthest(successors(probed, leader, record), undefined)
  if (best && comparePositions(best.status.mark, leader.status.mark) >= 0)
    return await stopForCandidate(context, version, record, true, best)
  return spentMs >= DRAIN_TIMEOUT_MS + CATCH_UP_TIMEOUT_MS && (await callOff(context, version, record))
}
