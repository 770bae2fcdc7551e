import * as t from 'io-ts'

// A group's record, the body of the register 'group/<name>'.
// Invariants:
// - epoch grows only; each epoch has at most one candidate and so at most one leader;
// - leader is set in the phases steady and drain only, and only there may writes go to it;
// - a record in phase promote says that POST /promotion may have been sent for its candidate;
// - only the holder writes, each new holder raises fence first; but a sign-off (departed) is added by whoever acknowledges it,
//   and a wish by whoever takes it from an operator.
// Phases: steady -> (drain ->) stop -> promote -> steady.
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
    // candidate: whom this epoch belongs to, from stop on. planned: the old leader was well when this began.
    candidate: t.string,
    candidateAddr: t.string,
    planned: t.boolean,
    old: t.string,
    // wish: an operator wants another leader. note: how the last move ended.
    wish: t.type({ to: t.string }),
    note: t.string,
    // term: where instances number their leaders by themselves, the number in which the leader, or the old one, leads.
    // Never above epoch, which only we count.
    term: t.number,
    // replicas: where commits are synchronous, the instances that may hold an acknowledged commit which no other one holds, but
    // for the leader. In stop and promote the old leader is among them, also where a new instance has taken up its log.
    replicas: t.array(t.type({ name: t.string, addr: t.string })),
    // departed: names of the latest instances that signed off without having announced before that they leave. They may serve on
    // for a while, and get no new work.
    departed: t.array(t.string),
  }),
])
export type GroupRecord = t.TypeOf<typeof GroupRecord>

/** Names that are kept in departed: more than instances of one group sign off within the time that one serves on. */
const DEPARTED_KEPT = 16

export function hasDeparted(record: GroupRecord | undefined, name: string): boolean {
  return record?.departed?.includes(name) === true
}

/** The record with one more instance that signed off. */
export function withDeparted(record: GroupRecord, name: string): GroupRecord {
  return { ...record, departed: [...(record.departed ?? []), name].slice(-DEPARTED_KEPT) }
}

/** What a record says of instances that signed off: it outlives the leader. */
export function departedFieldOf({ departed }: GroupRecord): Pick<GroupRecord, 'departed'> {
  return departed === undefined ? {} : { departed }
}

const PREFIX = 'group/'
export function groupKey(name: string): string {
  return PREFIX + name
}
export function groupOf(key: string): string | undefined {
  return key.startsWith(PREFIX) ? key.slice(PREFIX.length) : undefined
}

// Who may lend connections: the body of the register 'slots'. The configuration's number of proxies is the number
// of slots, and each slot is one share of every instance's connections.
// Invariants: a node stands in at most one slot; a slot taken over from another node is not ready before that
// node's time to work, if it had any, has run out; only nodes in a ready slot lend.
export type ConnectionShare = { node: string; ready: boolean } | null
export type ConnectionShares = { slots: ConnectionShare[] }
export const SHARES_KEY = 'slots'

export function slotIndexOf(slots: ConnectionShare[], node: string): number {
  for (const [k, s] of slots.entries()) if (s?.node === node) return k
  return -1
}
