import { hasSignedOff, type GroupRecord, type InstanceStatus } from '@claynotch/register'
import type { ProbedInstance, ProbeTarget } from './group-instances.js'

/**
 * Replicas in groups with synchronous commits. Each acknowledged commit is held by the leader and at least one replica.
 * If the leader is lost, finding that commit for certain means asking every replica that may be the only one to hold
 * it; the group's record lists these replicas.
 */

/** A replica as listed in the group's record. */
export type Replica = { name: string; addr: string }

function byName(a: Replica, b: Replica): number {
  return a.name < b.name ? -1 : a.name > b.name ? 1 : 0
}

/**
 * The name of the instance that holds the replica's log now: the replica itself, or a new instance at its address,
 * which has taken over the log. A leaving or signed-off instance doesn't count as new, as it may be an earlier one at
 * that address.
 */
function logHolderOf(replica: Replica, announced: InstanceStatus[]): string {
  let successor: string | undefined
  for (const { name, addr, leaving } of announced) {
    if (leaving) continue
    if (name === replica.name) return name
    if (addr === replica.addr) successor = name
  }
  return successor ?? replica.name
}

/**
 * All instances except the leader that may hold an acknowledged commit: those that the record lists and those that are
 * announced. Sorted by name, so that equal sets give equal lists.
 */
export function replicasOf(
  record: Pick<GroupRecord, 'replicas'>,
  announced: InstanceStatus[],
  leader: string | undefined,
): Replica[] {
  const known = new Map<string, Replica>()
  for (const replica of record.replicas ?? []) known.set(replica.name, replica)
  for (const status of announced) {
    const { name, addr } = status
    // A signed-off instance is still asked while the record lists it.
    if (known.has(name) || !hasSignedOff(status)) known.set(name, { name, addr })
  }
  const replicas: Replica[] = []
  for (const replica of known.values())
    if (replica.name !== leader && logHolderOf(replica, announced) === replica.name) replicas.push(replica)
  return replicas.sort(byName)
}

export function areReplicaListsEqual(a: Replica[] | undefined, b: Replica[]): boolean {
  if (a?.length !== b.length) return false
  for (const [index, { name, addr }] of b.entries()) if (a[index].name !== name || a[index].addr !== addr) return false
  return true
}

/**
 * The leader that the record replaces, or would replace: its name, and the address at which a new instance takes over
 * its log.
 */
function oldLeaderOf(record: GroupRecord, announced: InstanceStatus[]): Replica | undefined {
  const { leader, addr, old, replicas } = record
  if (old !== undefined) return replicas?.find(isOld)
  if (leader === undefined || addr === undefined) return undefined
  return { name: leader, addr: announced.find(isLeader)?.addr ?? addr }

  function isOld({ name }: Replica): boolean {
    return name === old
  }
  function isLeader({ name }: InstanceStatus): boolean {
    return name === leader
  }
}

/**
 * The replica list for the phases stop and promote. It always includes the old leader, even if a new instance has
 * already taken over its log: the address identifies that instance as one that holds all acknowledged commits.
 */
export function replicasWithOldLeader(record: GroupRecord, announced: InstanceStatus[]): Replica[] {
  const oldLeader = oldLeaderOf(record, announced)
  const others = replicasOf(record, announced, oldLeader?.name)
  return oldLeader ? [...others, oldLeader].sort(byName) : others
}

/**
 * Whether the replica's log is covered by an answer: from the replica itself or from any instance at its address. Only
 * one instance at a time uses an address, and it has the logs of all earlier ones there.
 */
function isLogAnswered(replica: Replica, probed: ProbedInstance[]): boolean {
  for (const { name, addr } of probed) if (name === replica.name || addr === replica.addr) return true
  return false
}

/**
 * The replicas whose answers are missing: one of them may hold an acknowledged commit that no answering instance holds.
 * Empty if the old leader, or a new instance with its log, answered, as it holds all commits that it acknowledged.
 */
export function unansweredReplicas(
  record: Pick<GroupRecord, 'replicas' | 'old'>,
  announced: InstanceStatus[],
  probed: ProbedInstance[],
): ProbeTarget[] {
  for (const replica of record.replicas ?? [])
    if (replica.name === record.old && isLogAnswered(replica, probed)) return []
  const unanswered: ProbeTarget[] = []
  for (const replica of replicasOf(record, announced, record.old))
    if (!isLogAnswered(replica, probed)) unanswered.push(replica)
  return unanswered
}

/** Whether the instance is announced and hasn't signed off. */
export function isPresent(name: string, announced: InstanceStatus[]): boolean {
  for (const status of announced) if (status.name === name) return !hasSignedOff(status)
  return false
}
