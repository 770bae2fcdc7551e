import { MAX_ANNOUNCEMENT_DELAY_MS } from '@claynotch/base'
import { HolderQuestion } from '@claynotch/quota'
import * as t from 'io-ts'
import { Ballot } from './ballot.js'
import { CoreMember, CoreSet } from './core-set.js'
import { Delta } from './delta.js'
import { QuotaUseQuestion } from './quota-register.js'

/** Messages to a core on a link; docs/wire.md lists each message with its answer. */

/** Value of a register; see RegisterValue. */
export const RegisterValueCodec = t.type({ turn: t.number, tag: t.string, body: t.unknown })

/**
 * Status of an instance as reported by a node. age: ms since the node received the announcement. leaving: the instance
 * announced that it leaves, and first did so `gone` ms before this announcement. sequence: the instance's own count of
 * its announcements.
 */
export const InstanceStatus = t.intersection([
  t.type({
    name: t.string,
    group: t.string,
    addr: t.string,
    area: t.string,
    role: t.string,
    leaving: t.boolean,
    age: t.number,
  }),
  t.partial({ gone: t.number, sequence: t.number }),
])
export type InstanceStatus = t.TypeOf<typeof InstanceStatus>

/**
 * Description of a member, sent to each core once in each life of the agent. addr: where it receives summaries.
 * operator: where it serves operators, '' if it doesn't. proxy: whether it feeds a proxy. core: the core on its
 * machine, which votes or is a candidate.
 */
export const MemberDescription = t.intersection([
  t.type({ area: t.string, addr: t.string, operator: t.string, build: t.string, proxy: t.boolean }),
  t.partial({ core: CoreMember }),
])
export type MemberDescription = t.TypeOf<typeof MemberDescription>

/**
 * Renewal of a lease: the changes since the last renewal that this core answered. core, count: the life of the core of
 * which the agent holds a view, and the count up to which it does. acks: [key, turn] applied by the agent's proxy.
 * open: number of open client sessions at that proxy.
 */
export const LeaseRenewal = t.intersection([
  t.type({
    t: t.literal('renew'),
    node: t.string,
    life: t.string,
    core: t.string,
    count: t.number,
    acks: t.array(t.tuple([t.string, t.number])),
    sights: t.array(InstanceStatus),
    open: t.number,
    /** [group, epoch, position] of the highest acknowledged commit that the agent's proxy has seen. */
    highs: t.array(t.tuple([t.string, t.number, t.number])),
    /** This node knows committed registers, so the core set was founded before. */
    remembers: t.boolean,
  }),
  // brief: the sender receives the member lines from other cores and needs none from this one.
  t.partial({ self: MemberDescription, epoch: t.number, brief: t.boolean }),
])
export type LeaseRenewal = t.TypeOf<typeof LeaseRenewal>

/**
 * epoch: that of the core set whose quorum the sender counts; 0 if it is missing. A core of another epoch rejects the
 * message: with its own set if that is later, else with `behind`, and is then sent the later set.
 */
const EpochField = t.partial({ epoch: t.number })
/** have: ballot of the value that the sender holds of the register; that value isn't sent again. */
const HaveField = t.partial({ have: Ballot })

/** Subscribes to the pushes of one core, or unsubscribes (on: false). have: the ballot held of each register. */
export const Subscribe = t.intersection([
  t.type({ t: t.literal('subscribe'), on: t.boolean, have: t.array(t.tuple([t.string, Ballot])) }),
  EpochField,
])
export type Subscribe = t.TypeOf<typeof Subscribe>

/** Offer of a handover: registers with the ballots of their committed values. */
const HandoverOffer = t.type({ t: t.literal('offer'), cells: t.array(t.type({ key: t.string, ballot: Ballot })) })

/** The registers of an offer that the receiving core lacks or holds at a lower ballot. */
export const HandoverOfferAnswer = t.type({ ok: t.literal(true), lacks: t.array(t.string) })

/** Any message that a core accepts on a link. */
export const CoreMessage = t.union([
  t.intersection([t.type({ t: t.literal('prepare'), key: t.string, ballot: Ballot }), HaveField, EpochField]),
  // The value, or its difference from the value accepted at base.
  t.intersection([
    t.type({ t: t.literal('accept'), key: t.string, ballot: Ballot, value: RegisterValueCodec }),
    EpochField,
  ]),
  t.intersection([
    t.type({ t: t.literal('accept'), key: t.string, ballot: Ballot, base: Ballot, delta: Delta }),
    EpochField,
  ]),
  t.type({ t: t.literal('learn'), key: t.string, ballot: Ballot }),
  t.intersection([t.type({ t: t.literal('get'), key: t.string }), HaveField, EpochField]),
  Subscribe,
  t.type({
    t: t.literal('handover'),
    cells: t.array(t.type({ key: t.string, ballot: Ballot, value: RegisterValueCodec })),
  }),
  HandoverOffer,
  t.type({ t: t.literal('state') }),
  t.intersection([t.type({ t: t.literal('keys') }), EpochField]),
  t.intersection([t.type({ t: t.literal('members') }), EpochField]),
  t.type({ t: t.literal('set'), set: CoreSet }),
  t.type({ t: t.literal('seeds') }),
  t.type({ t: t.literal('leave'), node: t.string, life: t.string }),
  t.type({ t: t.literal('ack'), num: t.number, key: t.string, turn: t.number }),
  LeaseRenewal,
  HolderQuestion,
  QuotaUseQuestion,
])
export type CoreMessage = t.TypeOf<typeof CoreMessage>

/** A value for a receiver that holds the value at base: deltas, each applied to the result of the one before. */
export const Deltas = t.type({ base: Ballot, deltas: t.array(Delta) })
export type Deltas = t.TypeOf<typeof Deltas>

/** Pushed by a core to an agent: the value, or its difference from the value that the agent holds. */
export const RegisterPush = t.intersection([
  t.type({ t: t.literal('push'), num: t.number, key: t.string, ballot: Ballot }),
  t.union([t.type({ value: RegisterValueCodec }), Deltas]),
])
export type RegisterPush = t.TypeOf<typeof RegisterPush>

/** Answer to get. same: the sender of the get holds the value already. */
export const GetAnswer = t.union([
  t.type({ ok: t.literal(true), ballot: Ballot, same: t.literal(true) }),
  t.intersection([t.type({ ok: t.literal(true), ballot: Ballot }), Deltas]),
  t.type({ ok: t.literal(true), ballot: Ballot, value: t.union([RegisterValueCodec, t.null]) }),
])
export type GetAnswer = t.TypeOf<typeof GetAnswer>

/** The part of a member that every agent receives. */
export const MemberEntry = t.intersection([t.type({ node: t.string, life: t.string }), MemberDescription])
export type MemberEntry = t.TypeOf<typeof MemberEntry>
/** A member with its acknowledgements, open client sessions and commit positions, sent only when asked for. */
export const Member = t.intersection([
  MemberEntry,
  t.type({
    acks: t.array(t.tuple([t.string, t.number])),
    open: t.number,
    highs: t.array(t.tuple([t.string, t.number, t.number])),
  }),
])
export type Member = t.TypeOf<typeof Member>

/**
 * State of one register at a core. pending: the write isn't synced yet, so the core has seen that ballot but hasn't
 * accepted it; if the field is missing, it has.
 */
export const RegisterSummary = t.intersection([
  t.type({ key: t.string, ballot: Ballot, turn: t.number, chosen: t.boolean }),
  t.partial({ pending: t.literal(true) }),
])
export type RegisterSummary = t.TypeOf<typeof RegisterSummary>

/**
 * Answer to a lease renewal.
 *
 * sure: false while this core has run for less than one lease duration, as it may have forgotten members.
 * unknown: this core has no description of the node (`self`) and asks for a whole renewal.
 * replaced: another life of the node holds its lease.
 * core, since, count: the lines are the changes in this life of the core between these counts; since 0: all lines.
 * left, lost: names of members and instances that were removed. A status is sent when its content changes, with its
 * age; the instance is alive until it is listed in `lost`.
 */
export const LeaseRenewalAnswer = t.intersection([
  t.type({ ok: t.boolean }),
  t.partial({
    unknown: t.boolean,
    replaced: t.boolean,
    sure: t.boolean,
    core: t.string,
    since: t.number,
    count: t.number,
    keys: t.array(RegisterSummary),
    members: t.array(MemberEntry),
    sights: t.array(InstanceStatus),
    left: t.array(t.string),
    lost: t.array(t.string),
    set: CoreSet,
    behind: t.boolean,
  }),
])
export type LeaseRenewalAnswer = t.TypeOf<typeof LeaseRenewalAnswer>

/** Answer to members. */
export const MembersAnswer = t.type({ ok: t.boolean, members: t.array(Member), sure: t.boolean })
export type MembersAnswer = t.TypeOf<typeof MembersAnswer>

/** Sequence of an instance that signed off: above every announcement's, and an integer that links can carry. */
export const SIGNED_OFF_SEQUENCE = 2 ** 52

export function hasSignedOff(status: InstanceStatus | undefined): boolean {
  return status?.sequence === SIGNED_OFF_SEQUENCE
}

/**
 * Whether the instance sent announcement b after announcement a, in whatever order they arrived.
 *
 * Compares the sequences if both are from one life of the instance (one address) and arrived within the time by which
 * either may have been delayed; else the times of arrival. A sign-off is final: the instance may serve and announce
 * itself for long after it, and its name isn't used again.
 */
function isLater(b: InstanceStatus, bHeardAt: number, a: InstanceStatus, aHeardAt: number): boolean {
  if (hasSignedOff(a) !== hasSignedOff(b)) return hasSignedOff(b)
  if (a.sequence === undefined || b.sequence === undefined || a.sequence === b.sequence) return bHeardAt > aHeardAt
  return a.addr === b.addr && Math.abs(bHeardAt - aHeardAt) < MAX_ANNOUNCEMENT_DELAY_MS
    ? b.sequence > a.sequence
    : bHeardAt > aHeardAt
}
/** Text that differs when the content of a status has changed; its age and sequence don't count as content. */
export function statusFingerprintOf(status: InstanceStatus): string {
  const leaving = hasSignedOff(status) ? 'signed off' : String(status.leaving)
  return `${status.group} ${status.addr} ${status.area} ${status.role} ${leaving}`
}
/** The later of two statuses of one instance, with the earliest time at which either says that it began to leave. */
export function latestStatusOf(
  previous: { status: InstanceStatus; at: number } | undefined,
  next: InstanceStatus,
  at: number,
): { status: InstanceStatus; at: number } {
  if (!previous) return { status: next, at }
  const latest = isLater(next, at, previous.status, previous.at) ? { status: next, at } : previous
  if (!next.leaving || !previous.status.leaving) return latest
  return {
    status: {
      ...latest.status,
      gone: latest.at - Math.min(at - (next.gone ?? 0), previous.at - (previous.status.gone ?? 0)),
    },
    at: latest.at,
  }
}
