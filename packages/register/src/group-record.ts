import * as t from 'io-ts'

/**
 * Record of a group, the body of the register 'group/<name>'. Phases: steady -> (drain ->) stop -> promote -> steady.
 *
 * Invariants:
 * - epoch never decreases; each epoch has at most one candidate and so at most one leader;
 * - leader is set only in the phases steady and drain, and only then may writes be sent to it;
 * - in phase promote, POST /promotion may have been sent for the candidate;
 * - only the holder writes the record, and each new holder raises fence first. Two exceptions: a sign-off (departed) is
 *   added by the node that acknowledges it, and a wish by the node that receives it from an operator.
 */
export const GroupRecord = t.intersection([
  t.type({
    epoch: t.number,
    phase: t.union([t.literal('steady'), t.literal('drain'), t.literal('stop'), t.literal('promote')]),
    holder: t.string,
    fence: t.number,
  }),
  t.partial({
    leader: t.string,
    addr: t.string,
    /** The only instance that may lead in this epoch; set from phase stop on. */
    candidate: t.string,
    candidateAddr: t.string,
    /** The old leader was healthy when the change of leader began. */
    planned: t.boolean,
    old: t.string,
    /** An operator requested another leader. */
    wish: t.type({ to: t.string }),
    /** Outcome of the last change of leader. */
    note: t.string,
    /**
     * For instances that number their leaders themselves: the number under which the leader, or the old one, leads.
     * Never above epoch, which is counted only here.
     */
    term: t.number,
    /**
     * For synchronous commits: the instances, besides the leader, that may hold an acknowledged commit which no other
     * instance holds. In stop and promote they include the old leader, even if a new instance has taken over its log.
     */
    replicas: t.array(t.type({ name: t.string, addr: t.string })),
    /**
     * Names of the latest instances that signed off without having announced before that they leave. They may continue
     * to serve for a while but get no new work.
     */
    departed: t.array(t.string),
  }),
])
export type GroupRecord = t.TypeOf<typeof GroupRecord>

/** Limit of `departed`: more than the instances of one group that sign off while one of them continues to serve. */
const MAX_DEPARTED = 16

export function hasDeparted(record: GroupRecord | undefined, name: string): boolean {
  return record?.departed?.includes(name) === true
}

/** The record with one more instance that signed off. */
export function withDeparted(record: GroupRecord, name: string): GroupRecord {
  return { ...record, departed: [...(record.departed ?? []), name].slice(-MAX_DEPARTED) }
}

/** The signed-off instances of a record, which are kept when the leader changes. */
export function departedFieldOf({ departed }: GroupRecord): Pick<GroupRecord, 'departed'> {
  return departed === undefined ? {} : { departed }
}

const KEY_PREFIX = 'group/'
/** Key of the register of a group. */
export function groupKey(name: string): string {
  return KEY_PREFIX + name
}
/** The group of a register's key; undefined: the register isn't a group's. */
export function groupOf(key: string): string | undefined {
  return key.startsWith(KEY_PREFIX) ? key.slice(KEY_PREFIX.length) : undefined
}

/**
 * A slot of the register 'slots', which says which nodes may check out connections; null: the slot is free. There are
 * as many slots as the configuration has proxies, and each slot is one share of every instance's connections.
 *
 * Invariants: a node has at most one slot; a slot taken over from another node becomes ready only after that node's
 * lease, if it had one, has expired; only nodes with a ready slot check out connections.
 */
export type ConnectionShare = { node: string; ready: boolean } | null
/** Body of the register 'slots'. */
export type ConnectionShares = { slots: ConnectionShare[] }
export const SHARES_KEY = 'slots'

/** Index of the node's slot; -1: it has none. */
export function slotIndexOf(slots: ConnectionShare[], node: string): number {
  for (const [index, slot] of slots.entries()) if (slot?.node === node) return index
  return -1
}
