import { hasSignedOff, type GroupRecord, type InstanceStatus } from '@claynotch/register'
import type { Probed, Target } from './group-instances.js'

// Where commits are synchronous, each acknowledged commit is held by the leader and by at least one replica. Without the leader
// it is found for sure only by asking every replica that may hold it alone; the group's record names them.

/** A replica as the record names it. */
export type Replica = { name: string; addr: string }

function byName(a: Replica, b: Replica): number {
  return a.name < b.name ? -1 : a.name > b.name ? 1 : 0
}

/**
 * Whoever has the replica's log now: itself, or a new instance at its address, which has taken the log up. One that leaves or
 * signed off is no new instance: it may be the one before.
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
 * All that may hold an acknowledged commit: those that the record names and those that are announced, without the leader.
 * Sorted by name, so that equal sets are equal lists.
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
    // One that signed off is asked for as long as the record names it.
    if (known.has(name) || !hasSignedOff(status)) known.set(name, { name, addr })
  }
  const out: Replica[] = []
  for (const replica of known.values())
    if (replica.name !== leader && logHolderOf(replica, announced) === replica.name) out.push(replica)
  return out.sort(byName)
}

export function isSameList(a: Replica[] | undefined, b: Replica[]): boolean {
  if (a?.length !== b.length) return false
  for (const [k, { name, addr }] of b.entries()) if (a[k].name !== name || a[k].addr !== addr) return false
  return true
}

/**
 * Where the log of the leader that the record replaces, or would, is to be found: its name, and the address at which a new
 * instance takes its log up.
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
 * The list for the phases stop and promote. The old leader is always among them, also where a new instance has its log already:
 * by its address that one is known to hold all that was acknowledged.
 */
export function replicasWithOld(record: GroupRecord, announced: InstanceStatus[]): Replica[] {
  const old = oldLeaderOf(record, announced)
  const others = replicasOf(record, announced, old?.name)
  return old ? [...others, old].sort(byName) : others
}

/**
 * Whether the replica's log was heard: itself, or whoever answered at its address. One instance at a time is at an address, and
 * it has the log of all before it there.
 */
function isHeard(replica: Replica, probed: Probed[]): boolean {
  for (const { name, addr } of probed) if (name === replica.name || addr === replica.addr) return true
  return false
}

/**
 * Those of whom an answer is missing, as one of them may hold an acknowledged commit that nobody who answered holds. None where
 * the old leader itself answered, or a new instance with its log, as it holds all that it acknowledged.
 */
export function unheardOf(
  record: Pick<GroupRecord, 'replicas' | 'old'>,
  announced: InstanceStatus[],
  probed: Probed[],
): Target[] {
  for (const replica of record.replicas ?? []) if (replica.name === record.old && isHeard(replica, probed)) return []
  const out: Target[] = []
  for (const replica of replicasOf(record, announced, record.old)) if (!isHeard(replica, probed)) out.push(replica)
  return out
}

/** Whether the instance is there by its own word: announced, and not signed off. */
export function isPresent(name: string, announced: InstanceStatus[]): boolean {
  for (const status of announced) if (status.name === name) return !hasSignedOff(status)
  return false
}
