import { LEADER_PROBE_INTERVAL_MS, REPLICA_ABSENCE_MS } from '@claynotch/base'
import { comparePositions } from '@claynotch/instance'
import type { GroupRecord } from '@claynotch/register'
import { weighEvidence } from './evidence.js'
import { leadsAs } from './failover-view.js'
import type { GroupContext } from './group-context.js'
import type { Probed } from './group-instances.js'
import type { GroupMemory } from './group-memory.js'
import type { ReplicaAbsence } from './replica-absence.js'
import { isPresent, isSameList, replicasOf, type Replica } from './replicas.js'

// Keeps the record's list of replicas, where commits are synchronous. A replica is added as soon as it is announced. One is
// dropped only when it has been absent for REPLICA_ABSENCE_MS and another holds all that the leader held after that: what it
// may have acknowledged alone is then held twice.

/** Notes who is absent now; those who have been for long enough. */
function longAbsent({ world, view, instances }: GroupContext, replicas: Replica[], absence: ReplicaAbsence): Replica[] {
  const announced = instances.list()
  const reports = view.observations()
  const before = absence.since
  absence.since = new Map()
  const out: Replica[] = []
  for (const replica of replicas) {
    const { name } = replica
    if (isPresent(name, announced) || weighEvidence(reports, name).good > 0) continue
    const since = before.get(name) ?? world.now()
    absence.since.set(name, since)
    if (world.now() - since >= REPLICA_ABSENCE_MS) out.push(replica)
  }
  return out
}

function namesOf(replicas: Replica[]): Set<string> {
  const out = new Set<string>()
  for (const { name } of replicas) out.add(name)
  return out
}

/** The names that may be dropped: absent when the leader's position was read, and still, while another has come up to it. */
function coveredBy(absence: ReplicaAbsence, gone: Set<string>, probed: Probed[], leader: string): Set<string> {
  const out = new Set<string>()
  const { covering } = absence
  if (!covering) return out
  let isHeldTwice = false
  for (const { name, status } of probed) {
    if (name === leader || gone.has(name)) continue
    if (comparePositions(status.mark, covering.position) >= 0) isHeldTwice = true
  }
  if (isHeldTwice) for (const name of covering.names) if (gone.has(name)) out.add(name)
  return out
}

/** The replicas without those that may be dropped. */
async function withoutGone(
  context: GroupContext,
  record: GroupRecord,
  replicas: Replica[],
  absence: ReplicaAbsence,
): Promise<Replica[]> {
  const { world, instances } = context
  const absent = longAbsent(context, replicas, absence)
  if (absent.length === 0) {
    absence.covering = undefined
    return replicas
  }
  if (world.now() - absence.probedAt < LEADER_PROBE_INTERVAL_MS) return replicas
  absence.probedAt = world.now()
  const leader = record.leader as string
  const target = { name: leader, addr: instances.addressOf(leader, record.addr as string) }
  const probed = await instances.probe([target, ...replicas])
  const gone = namesOf(absent)
  for (const { name } of probed) {
    // One that answers is there, whatever it announces.
    if (gone.delete(name)) absence.since.set(name, world.now())
  }
  const dropped = coveredBy(absence, gone, probed, leader)
  absence.covering = undefined
  for (const { name, status } of probed)
    if (name === leader && leadsAs(record, status)) absence.covering = { names: gone, position: status.mark }
  const out: Replica[] = []
  for (const replica of replicas) if (!dropped.has(replica.name)) out.push(replica)
  return out
}

/** Brings the record's list up to date; true: the record moved on. */
export async function trackReplicas(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<boolean> {
  const { world, group, instances, write } = context
  if (!instances.isSynchronous()) return false
  const known = replicasOf(record, instances.list(), record.leader)
  const replicas = await withoutGone(context, record, known, memory.absence)
  if (isSameList(record.replicas, replicas)) return false
  world.log.info('replicas-tracked', { group, replicas: [...namesOf(replicas)].join(' ') })
  return (await write(version, { ...record, replicas })) === true
}
