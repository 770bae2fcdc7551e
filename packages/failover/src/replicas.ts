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
 * Those of whom an answer is missing, as one of them may hold an acknowledged commit that nobody who answered holds. None where
 * the old leader itself answered, or a new instance with its log, as it holds all that it acknowledged.
 */
export function unheardOf(
  record: Pick<GroupRecord, 'replicas' | 'old'>,
  announced: InstanceStatus[],
  probed: Probed[],
): Target[] {
  const heard = new Set<string>()
  for (const { name } of probed) heard.add(name)
  for (const replica of record.replicas ?? [])
    if (replica.name === record.old && heard.has(logHolderOf(replica, announced))) return []
  const out: Target[] = []
  for (const replica of replicasOf(record, announced, record.old)) if (!heard.has(replica.name)) out.push(replica)
  return out
}

/** Whether the instance is there by its own word: announced, and not signed off. */
export function isPresent(name: string, announced: InstanceStatus[]): boolean {
  for (const status of announced) if (status.name === name) return !hasSignedOff(status)
  return false
}
