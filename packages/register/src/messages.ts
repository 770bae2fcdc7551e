import { MAX_ANNOUNCEMENT_DELAY_MS } from '@claynotch/base'
import { HolderQuestion } from '@claynotch/quota'
import * as t from 'io-ts'
import { Ballot } from './ballot.js'
import { CoreMember, CoreSet } from './core-set.js'
import { Delta } from './delta.js'
import { QuotaUseQuestion } from './quota-register.js'

// What is said to a core on a link. Answers are written beside each in docs/wire.md.
export const RegisterValueCodec = t.type({ turn: t.number, tag: t.string, body: t.unknown })

// What a node saw of an instance. age: ms since the announcement was heard; leaving: it said that it goes, and first
// did so gone ms before that announcement. sequence: the instance's own count of its announcements.
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

// What a member is, told to each core once in its life. addr: where it takes summaries; operator: where it serves operators,
// '' if it doesn't; proxy: whether it feeds a proxy.
// core: the core machine that it runs on, which votes or could.
export const MemberDescription = t.intersection([
  t.type({ area: t.string, addr: t.string, operator: t.string, build: t.string, proxy: t.boolean }),
  t.partial({ core: CoreMember }),
])
export type MemberDescription = t.TypeOf<typeof MemberDescription>

// A renewal: what changed since the last one that this core answered. core, count: which life of the core the agent has
// a picture of, and up to which count. acks: [key, turn] that its proxy applied.
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
    // highs: [group, epoch, position], the highest acknowledged commit that its proxy saw.
    highs: t.array(t.tuple([t.string, t.number, t.number])),
    // remembers: this node knows settled registers, so the set was founded once.
    remembers: t.boolean,
  }),
  // brief: the sender takes the lines of members from other cores, and needs none from this one.
  t.partial({ self: MemberDescription, epoch: t.number, brief: t.boolean }),
])
export type LeaseRenewal = t.TypeOf<typeof LeaseRenewal>

// epoch: of the set whose quorum the asker counts, 0 where it isn't said. A core of another epoch refuses: with its set where
// that is later, else with behind, and is then told the set.
const At = t.partial({ epoch: t.number })
// have: ballot of the value that the asker holds of the register; the same one is then not told again.
const Have = t.partial({ have: Ballot })

/** Asks for the pushes of one core, or for no more of them (on: false). have: what the asker holds, by register. */
export const Subscribe = t.intersection([
  t.type({ t: t.literal('subscribe'), on: t.boolean, have: t.array(t.tuple([t.string, Ballot])) }),
  At,
])
export type Subscribe = t.TypeOf<typeof Subscribe>

/** What a core could hand over: registers with the ballots of their settled values. */
const HandoverOffer = t.type({ t: t.literal('offer'), cells: t.array(t.type({ key: t.string, ballot: Ballot })) })

/** The registers of an offer that the core asked lacks, or has at a lower ballot. */
export const HandoverOfferAnswer = t.type({ ok: t.literal(true), lacks: t.array(t.string) })

export const CoreMessage = t.union([
  t.intersection([t.type({ t: t.literal('prepare'), key: t.string, ballot: Ballot }), Have, At]),
  // The value, or what changed since the one accepted at base.
  t.intersection([t.type({ t: t.literal('accept'), key: t.string, ballot: Ballot, value: RegisterValueCodec }), At]),
  t.intersection([t.type({ t: t.literal('accept'), key: t.string, ballot: Ballot, base: Ballot, delta: Delta }), At]),
  t.type({ t: t.literal('learn'), key: t.string, ballot: Ballot }),
  t.intersection([t.type({ t: t.literal('get'), key: t.string }), Have, At]),
  Subscribe,
  t.type({
    t: t.literal('handover'),
    cells: t.array(t.type({ key: t.string, ballot: Ballot, value: RegisterValueCodec })),
  }),
  HandoverOffer,
  t.type({ t: t.literal('state') }),
  t.intersection([t.type({ t: t.literal('keys') }), At]),
  t.intersection([t.type({ t: t.literal('members') }), At]),
  t.type({ t: t.literal('set'), set: CoreSet }),
  t.type({ t: t.literal('seeds') }),
  t.type({ t: t.literal('leave'), node: t.string, life: t.string }),
  t.type({ t: t.literal('ack'), num: t.number, key: t.string, turn: t.number }),
  LeaseRenewal,
  HolderQuestion,
  QuotaUseQuestion,
])
export type CoreMessage = t.TypeOf<typeof CoreMessage>

/** A value as one who holds the value at base is told it: what changed, one delta on the other. */
export const Deltas = t.type({ base: Ballot, deltas: t.array(Delta) })
export type Deltas = t.TypeOf<typeof Deltas>

// Said by a core to an agent: the value, or what changed since the one that the agent holds.
export const RegisterPush = t.intersection([
  t.type({ t: t.literal('push'), num: t.number, key: t.string, ballot: Ballot }),
  t.union([t.type({ value: RegisterValueCodec }), Deltas]),
])
export type RegisterPush = t.TypeOf<typeof RegisterPush>

/** The answer to get. same: the asker holds it. */
export const GetAnswer = t.union([
  t.type({ ok: t.literal(true), ballot: Ballot, same: t.literal(true) }),
  t.intersection([t.type({ ok: t.literal(true), ballot: Ballot }), Deltas]),
  t.type({ ok: t.literal(true), ballot: Ballot, value: t.union([RegisterValueCodec, t.null]) }),
])
export type GetAnswer = t.TypeOf<typeof GetAnswer>

// A member as every agent knows it, and as whoever needs more asks for it.
export const MemberEntry = t.intersection([t.type({ node: t.string, life: t.string }), MemberDescription])
export type MemberEntry = t.TypeOf<typeof MemberEntry>
export const Member = t.intersection([
  MemberEntry,
  t.type({
    acks: t.array(t.tuple([t.string, t.number])),
    open: t.number,
    highs: t.array(t.tuple([t.string, t.number, t.number])),
  }),
])
export type Member = t.TypeOf<typeof Member>

// What a core holds of one register. pending: its write is not synced yet, so that the core has seen that ballot, and has not
// accepted it; where the field is missing it has.
export const RegisterSummary = t.intersection([
  t.type({ key: t.string, ballot: Ballot, turn: t.number, chosen: t.boolean }),
  t.partial({ pending: t.literal(true) }),
])
export type RegisterSummary = t.TypeOf<typeof RegisterSummary>

// sure: false while this core has run for less than a whole term, as it may have forgotten members. unknown: this core has
// no Self of the node and asks for a whole renewal. replaced: another life of the node holds its term.
// core, since, count: the lines are what changed in this life of the core from since to count; since 0: all there is.
// left, lost: members and instances that went. A status is told when what it says changes, with its age; it is alive until lost.
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

export const MembersAnswer = t.type({ ok: t.boolean, members: t.array(Member), sure: t.boolean })
export type MembersAnswer = t.TypeOf<typeof MembersAnswer>

/** The count of an instance that signed off: above every count of announcements, and a whole number that links carry. */
export const SIGNED_OFF_SEQUENCE = 2 ** 52

export function hasSignedOff(status: InstanceStatus | undefined): boolean {
  return status?.sequence === SIGNED_OFF_SEQUENCE
}

// Whether the instance spoke b after a, whatever came first to us. By its own count, where both are of one life (one
// address) and near enough in time that either may have been held up on its way; else by the time they were heard.
// A sign-off is final: an instance may serve on for long after it and announce itself meanwhile, and its name doesn't come back.
function isLater(b: InstanceStatus, bAt: number, a: InstanceStatus, aAt: number): boolean {
  if (hasSignedOff(a) !== hasSignedOff(b)) return hasSignedOff(b)
  if (a.sequence === undefined || b.sequence === undefined || a.sequence === b.sequence) return bAt > aAt
  return a.addr === b.addr && Math.abs(bAt - aAt) < MAX_ANNOUNCEMENT_DELAY_MS ? b.sequence > a.sequence : bAt > aAt
}
/** What an instance says, as text; neither the status's age nor how far the instance has counted. */
export function statusFingerprintOf(status: InstanceStatus): string {
  const leaving = hasSignedOff(status) ? 'signed off' : String(status.leaving)
  return `${status.group} ${status.addr} ${status.area} ${status.role} ${leaving}`
}
// Of two sights of one instance the later, with the earliest notice of either.
export function latestStatusOf(
  old: { status: InstanceStatus; at: number } | undefined,
  next: InstanceStatus,
  at: number,
): { status: InstanceStatus; at: number } {
  if (!old) return { status: next, at }
  const late = isLater(next, at, old.status, old.at) ? { status: next, at } : old
  if (!next.leaving || !old.status.leaving) return late
  return {
    status: { ...late.status, gone: late.at - Math.min(at - (next.gone ?? 0), old.at - (old.status.gone ?? 0)) },
    at: late.at,
  }
}
