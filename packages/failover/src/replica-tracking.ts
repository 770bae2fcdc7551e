import { LEADER_PROBE_INTERVAL_MS, REPLICA_ABSENCE_MS } from '@claynotch/base'
import { comparePositions } from '@claynotch/instance'
import type { GroupRecord } from '@claynotch/register'
import { weighEvidence } from './evidence.js'
import { isRecordedLeader } from './failover-view.js'
import type { GroupContext } from './group-context.js'
import type { ProbedInstance } from './group-instances.js'
import type { GroupMemory } from './group-memory.js'
import type { ReplicaAbsence } from './replica-absence.js'
import { isPresent, areReplicaListsEqual, replicasOf, type Replica } from './replicas.js'

/**
 * Maintains the record's list of replicas in groups with synchronous commits. A replica is added as soon as it is
 * announced. It is removed only after it has been absent for REPLICA_ABSENCE_MS and another replica holds all that the
 * leader held after that: every commit that only the absent replica may have acknowledged is then held twice.
 */

/** Updates the absence times; returns the replicas that have been absent for at least REPLICA_ABSENCE_MS. */
function findLongAbsent(
  { world, view, instances }: GroupContext,
  replicas: Replica[],
  absence: ReplicaAbsence,
): Replica[] {
  const announced = instances.list()
  const reports = view.observations()
  const previousSince = absence.since
  absence.since = new Map()
  const longAbsent: Replica[] = []
  for (const replica of replicas) {
    const { name } = replica
    if (isPresent(name, announced) || weighEvidence(reports, name).good > 0) continue
    const since = previousSince.get(name) ?? world.now()
    absence.since.set(name, since)
    if (world.now() - since >= REPLICA_ABSENCE_MS) longAbsent.push(replica)
  }
  return longAbsent
}

function namesOf(replicas: Replica[]): Set<string> {
  const names = new Set<string>()
  for (const { name } of replicas) names.add(name)
  return names
}

/**
 * The replicas to remove: absent when the leader's position was read and still absent, while another has reached it.
 */
function findRemovable(
  absence: ReplicaAbsence,
  absentNames: Set<string>,
  probed: ProbedInstance[],
  leader: string,
): Set<string> {
  const removable = new Set<string>()
  const { leaderSnapshot } = absence
  if (!leaderSnapshot) return removable
  let isHeldTwice = false
  for (const { name, status } of probed) {
    if (name === leader || absentNames.has(name)) continue
    if (comparePositions(status.mark, leaderSnapshot.position) >= 0) isHeldTwice = true
  }
  if (isHeldTwice) for (const name of leaderSnapshot.names) if (absentNames.has(name)) removable.add(name)
  return removable
}

/** The replicas without those that may be removed; probes all of them if some have been absent for long. */
async function withoutRemovable(
  context: GroupContext,
  record: GroupRecord,
  replicas: Replica[],
  absence: ReplicaAbsence,
): Promise<Replica[]> {
  const { world, instances } = context
  const absent = findLongAbsent(context, replicas, absence)
  if (absent.length === 0) {
    absence.leaderSnapshot = undefined
    return replicas
  }
  if (world.now() - absence.probedAt < LEADER_PROBE_INTERVAL_MS) return replicas
  absence.probedAt = world.now()
  const leader = record.leader as string
  const target = { name: leader, addr: instances.addressOf(leader, record.addr as string) }
  const probed = await instances.probe([target, ...replicas])
  const absentNames = namesOf(absent)
  for (const { name } of probed) {
    // A replica that answers isn't absent, even if it is not announced.
    if (absentNames.delete(name)) absence.since.set(name, world.now())
  }
  const removable = findRemovable(absence, absentNames, probed, leader)
  absence.leaderSnapshot = undefined
  for (const { name, status } of probed)
    if (name === leader && isRecordedLeader(record, status))
      absence.leaderSnapshot = { names: absentNames, position: status.mark }
  const remaining: Replica[] = []
  for (const replica of replicas) if (!removable.has(replica.name)) remaining.push(replica)
  return remaining
}

/** Updates the record's replica list; true: a changed list was written. */
export async function trackReplicas(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<boolean> {
  const { world, group, instances, write } = context
  if (!instances.isSynchronous()) return false
  const known = replicasOf(record, instances.list(), record.leader)
  const replicas = await withoutRemovable(context, record, known, memory.replicaAbsence)
  if (areReplicaListsEqual(record.replicas, replicas)) return false
  world.log.info('replicas-tracked', { group, replicas: [...namesOf(replicas)].join(' ') })
  return (await write(version, { ...record, replicas })) === true
}
