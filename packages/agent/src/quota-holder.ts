import {
  LEASE_RENEWAL_INTERVAL_MS,
  loop,
  QUOTA_SLOTS,
  QUOTA_METER_WINDOW_MS,
  QUOTA_RESERVE_LEND_SHARE,
  QUOTA_RESERVE_RETURN_SHARE,
  readAs,
  ROUND_TIMEOUT_MS,
  type Flag,
  type Metrics,
  type Signal,
  type World,
} from '@claynotch/base'
import { dutyHolderOf } from '@claynotch/failover'
import { CONFIG_KEY, type Config } from '@claynotch/operator'
import {
  makeLedger,
  type AskingProxy,
  type HolderQuestion,
  type Ledger,
  type QuotaAnswer,
  type QuotaGrant,
  type QuotaLine,
} from '@claynotch/quota'
import {
  hasCore,
  QuotaHolder,
  quotaKey,
  quotaSlotOf,
  votersOf,
  type CoreMember,
  type CoreSet,
  type Proposer,
  type QuotaRefusal,
  type QuotaService,
  type QuotaUseAnswer,
  type QuotaUseQuestion,
  type RegisterValue,
} from '@claynotch/register'
import type { Membership, MembersRead } from './membership.js'
import { quotaLimits, withoutReserve, type QuotaTolerance } from './quota-limits.js'
import { makeTakeover, type Takeover } from './quota-takeover.js'
import type { RegisterCache } from './register-cache.js'

/**
 * The holder of a quota slot grants the allowances of the tenants in that slot. It runs in the agent of a machine whose
 * core is a voter; the agents of machines with a proxy ask it over their link to that core. The design is described in
 * docs/design/quotas.md.
 */

/** What the quota holders need from the agent. */
export type QuotaHolderView = {
  node: string
  /** Identifies this process incarnation of the node. */
  life: string
  /** The core in this process. */
  place: () => CoreMember
  proposer: Proposer
  registers: RegisterCache
  membership: Membership
  coreSet: () => CoreSet
  config: () => Config | undefined
  /** Local time (ms) until which this node may hold duties. */
  dutyUntil: () => number
  tolerance: QuotaTolerance
}

/**
 * One slot that this node holds.
 *
 * Invariants: an entry exists exactly while the register, as known here, names this process incarnation of this node as
 * the holder; the ledger counts at least what each proxy that has reported under this term may use.
 */
type HeldSlot = {
  term: number
  /** Local time (ms) at which the claim became known here. */
  claimedAt: number
  /** The holder that this node's claim replaced, if there was one. */
  predecessor: QuotaHolder | undefined
  ledger: Ledger
  takeover: Takeover
  isReady: boolean
  /** The register is known to have the reserve as lent, and this node hasn't requested the opposite since. */
  isReserveLent: boolean
  /** The same for a reserve that is kept. Both are false until a requested change is known to be committed. */
  isReserveKept: boolean
  /** The reserve was kept when this node claimed the slot: it may be granted until the takeover is complete. */
  hasReserve: boolean
  /** Some tenant needs more than its limit without the reserve. */
  needsReserve: boolean
  /** Released: the node answers no more questions for the slot, even while the register still names it. */
  isReleased: boolean
}

/**
 * Leaves out the grants that change nothing: a tenant that isn't in the answer keeps what the proxy reported. A tenant
 * that holds nothing, wants more than it holds or has waiting operations is always included.
 */
function changedGrants(lines: QuotaLine[], grants: QuotaGrant[]): QuotaGrant[] {
  const unchanged = new Set<string>()
  const granted = new Map(grants)
  for (const [tenant, held, , wanted, waiting] of lines)
    if (granted.get(tenant) === held && held > 0 && wanted <= held && waiting === 0) unchanged.add(tenant)
  function isChanged([tenant]: QuotaGrant): boolean {
    return !unchanged.has(tenant)
  }
  return grants.filter(isChanged)
}

/** The members as a majority knows them, and the local time (ms) at which the read began. */
type TimedRead = { membersRead: MembersRead | undefined; beganAt: number }

const REFUSED: QuotaRefusal = { ok: false }
/** The holder and life in the register of a slot that nobody holds. */
const NO_HOLDER = ''

function parseHolder(value: RegisterValue | undefined): QuotaHolder | undefined {
  const holder = value ? readAs(QuotaHolder, value.body) : undefined
  return holder?.ok ? holder.val : undefined
}
function isSameHolder(a: QuotaHolder | undefined, b: QuotaHolder | undefined): boolean {
  return a?.holder === b?.holder && a?.life === b?.life && a?.term === b?.term && a?.reserve === b?.reserve
}
function hasProxy(member: { proxy: boolean }): boolean {
  return member.proxy
}
function nodeNames(members: { node: string }[]): Set<string> {
  const names = new Set<string>()
  for (const { node } of members) names.add(node)
  return names
}

/** Starts claiming the slots that fall to this node, and answers the questions for the slots that it holds. */
export function startQuotaHolders(
  world: World,
  view: QuotaHolderView,
  stop: Flag,
  registerChanged: Signal,
  metrics: Metrics,
): QuotaService {
  const { node, life, registers, membership } = view
  const heldSlots = new Map<number, HeldSlot>()
  /** The holder that this node's latest claim of each slot was to replace. */
  const replacedHolders = new Map<number, QuotaHolder | undefined>()

  // --- the register ---

  function namesThisLife(holder: QuotaHolder | undefined): holder is QuotaHolder {
    return holder?.holder === node && holder.life === life
  }
  /**
   * Writes the register if its current value is the expected one; returns whether it is known to have the new value.
   */
  async function changeRegister(
    slot: number,
    isExpected: (current: QuotaHolder | undefined) => boolean,
    nextHolder: QuotaHolder,
  ): Promise<boolean> {
    const key = quotaKey(slot)
    const tag = `${node}~${life}~${nextHolder.term}~${world.now()}`
    function edit(value: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      const current = parseHolder(value)
      return !isSameHolder(current, nextHolder) && isExpected(current) ? { body: nextHolder, tag } : undefined
    }
    const beganAt = world.now()
    const committed = await view.proposer.change(key, edit, ROUND_TIMEOUT_MS)
    if (!committed.done || !committed.value) return false
    registers.learn(key, committed.value, committed.ballot, beganAt)
    return isSameHolder(parseHolder(committed.value), nextHolder)
  }
  function isVoter(): boolean {
    return hasCore(votersOf(view.coreSet()), view.place().id)
  }
  /** Whether the slot falls to this node among all nodes whose core is a voter. */
  function isDesignatedHolder(slot: number): boolean {
    const candidates: string[] = []
    const voters = votersOf(view.coreSet())
    for (const member of membership.list())
      if (member.core && hasCore(voters, member.core.id)) candidates.push(member.node)
    return isVoter() && dutyHolderOf(quotaKey(slot), candidates) === node
  }
  /** Whether the holder has no lease any more, as shown by a majority that hasn't forgotten any member. */
  function hasNoLease(holder: QuotaHolder, membersRead: MembersRead | undefined): boolean {
    if (membersRead?.isComplete !== true) return false
    for (const member of membersRead.members)
      if (member.node === holder.holder && member.life === holder.life) return false
    return true
  }
  /** Whether the holder is among the members that lease renewals report. This is cheap, but may be out of date. */
  function isListed(holder: QuotaHolder): boolean {
    for (const member of membership.list())
      if (member.node === holder.holder && member.life === holder.life) return true
    return false
  }
  async function claim(slot: number): Promise<void> {
    const predecessor = parseHolder(registers.value(quotaKey(slot)))
    // An earlier process incarnation of this node has ended.
    const isFree = !predecessor || predecessor.holder === NO_HOLDER || predecessor.holder === node
    // The read must begin after the holder became known: an earlier read could miss a holder that joined in between.
    if (!isFree && (isListed(predecessor) || !hasNoLease(predecessor, await membership.read()))) return
    function isUnchanged(current: QuotaHolder | undefined): boolean {
      return isSameHolder(current, predecessor)
    }
    replacedHolders.set(slot, predecessor)
    // A new holder grants from the reserve until it knows what is outstanding. The first holder doesn't need to,
    // because nothing was granted before it.
    const reserve = predecessor ? 'lent' : 'kept'
    await changeRegister(slot, isUnchanged, { holder: node, life, term: (predecessor?.term ?? 0) + 1, reserve })
  }
  /** Gives the slot up when this node's core no longer votes, because agents ask only cores that vote. */
  async function release(slot: number, heldSlot: HeldSlot): Promise<void> {
    heldSlot.isReleased = true
    const { term } = heldSlot
    const reserve = heldSlot.isReserveKept ? 'kept' : 'lent'
    const isCommitted = await changeRegister(slot, isOwnTerm, { holder: NO_HOLDER, life: NO_HOLDER, term, reserve })
    function isOwnTerm(holder: QuotaHolder | undefined): boolean {
      return namesThisLife(holder) && holder.term === term
    }
    if (isCommitted) world.log.info('quota-slot-released', { slot, term: heldSlot.term })
  }

  // --- the slots that this node holds ---

  /** Starts or ends holding the slot as the register says. */
  function applyRegister(slot: number): void {
    const holder = parseHolder(registers.value(quotaKey(slot)))
    const heldSlot = heldSlots.get(slot)
    if (!namesThisLife(holder)) heldSlots.delete(slot)
    else if (heldSlot?.term !== holder.term) {
      const claimedAt = world.now()
      const { term, reserve } = holder
      const predecessor = replacedHolders.get(slot)
      const hasReserve = predecessor?.reserve === 'kept'
      // An earlier process incarnation of this node has ended.
      const hasPredecessorEnded = predecessor?.holder === node || predecessor?.holder === NO_HOLDER
      world.log.info('quota-slot-claimed', { slot, term, before: predecessor?.holder ?? NO_HOLDER, hasReserve })
      heldSlots.set(slot, {
        term,
        claimedAt,
        ledger: makeLedger(world.now, QUOTA_METER_WINDOW_MS),
        takeover: makeTakeover(world.now, claimedAt, term === 1, hasPredecessorEnded),
        predecessor,
        isReady: false,
        isReserveLent: reserve === 'lent',
        isReserveKept: reserve === 'kept',
        hasReserve,
        needsReserve: false,
        isReleased: false,
      })
    }
    metrics.set('claynotch_quota_holder', [['slot', String(slot)]], heldSlots.has(slot) ? 1 : 0)
  }
  function updateReadiness(slot: number, heldSlot: HeldSlot): void {
    if (heldSlot.isReady || !heldSlot.takeover.isComplete()) return
    heldSlot.isReady = true
    world.log.info('quota-slot-ready', { slot, term: heldSlot.term, ms: Math.round(world.now() - heldSlot.claimedAt) })
  }
  /**
   * Removes nodes without a lease from the ledger, as they can use nothing of what they held, and updates the
   * takeover.
   */
  async function updateNodes(heldSlot: HeldSlot, sharedRead: () => Promise<TimedRead>): Promise<void> {
    const listed = nodeNames(membership.list())
    const proxyNodes = nodeNames(membership.list().filter(hasProxy))
    function isMissing(name: string): boolean {
      return !listed.has(name)
    }
    heldSlot.takeover.nodesListed(proxyNodes)
    const missing = heldSlot.ledger.nodes().filter(isMissing)
    if (missing.length === 0 && !heldSlot.takeover.needsRead(proxyNodes)) return
    const { membersRead, beganAt } = await sharedRead()
    if (membersRead?.isComplete !== true) return
    if (heldSlot.predecessor && hasNoLease(heldSlot.predecessor, membersRead))
      heldSlot.takeover.predecessorAbsent(beganAt)
    heldSlot.takeover.read(nodeNames(membersRead.members.filter(hasProxy)), beganAt)
    const present = nodeNames(membersRead.members)
    for (const name of missing) if (!present.has(name)) heldSlot.ledger.gone(name, beganAt)
  }
  async function setReserve(slot: number, { term }: HeldSlot, reserve: QuotaHolder['reserve']): Promise<boolean> {
    function isOwnTerm(holder: QuotaHolder | undefined): boolean {
      return namesThisLife(holder) && holder.term === term
    }
    const isSet = await changeRegister(slot, isOwnTerm, { holder: node, life, term, reserve })
    if (isSet) world.log.info('quota-reserve-changed', { slot, term, reserve })
    return isSet
  }
  /**
   * Lends the reserve while tenants need it. It is granted only after the register says that it is lent, and returned
   * before the register says that it is kept.
   */
  async function updateReserve(slot: number, heldSlot: HeldSlot): Promise<void> {
    const config = view.config()
    if (!config || !heldSlot.takeover.isComplete() || !mayAnswer(slot, heldSlot) || !isConfigurationCurrent()) return
    const limits = quotaLimits(config, view.tolerance)
    function limitWithoutReserve(tenant: string): number | undefined {
      return withoutReserve(limits(tenant))
    }
    const share = heldSlot.needsReserve ? QUOTA_RESERVE_RETURN_SHARE : QUOTA_RESERVE_LEND_SHARE
    function reserveThreshold(tenant: string): number | undefined {
      const limit = limitWithoutReserve(tenant)
      return limit === undefined ? undefined : limit * share
    }
    heldSlot.needsReserve = heldSlot.ledger.needsMoreThan(reserveThreshold)
    // After a limit was lowered, more than the limit without the reserve may be outstanding until allowances shrink.
    const isReserveInUse = heldSlot.ledger.exceeds(limitWithoutReserve)
    if ((heldSlot.needsReserve || isReserveInUse) && !heldSlot.isReserveLent) {
      heldSlot.isReserveKept = false
      heldSlot.isReserveLent = await setReserve(slot, heldSlot, 'lent')
    } else if (!heldSlot.needsReserve && !isReserveInUse && !heldSlot.isReserveKept) {
      heldSlot.isReserveLent = false
      heldSlot.isReserveKept = await setReserve(slot, heldSlot, 'kept')
    }
  }
  /** Claims or releases the slot where that is up to this node. */
  async function updateOwnership(slot: number): Promise<void> {
    applyRegister(slot)
    if (!heldSlots.has(slot) && isDesignatedHolder(slot)) {
      await claim(slot)
      applyRegister(slot)
    }
    const heldSlot = heldSlots.get(slot)
    if (heldSlot && (heldSlot.isReleased || !isVoter())) await release(slot, heldSlot)
  }
  async function readMembers(): Promise<TimedRead> {
    const beganAt = world.now()
    return { membersRead: await membership.read(), beganAt }
  }
  async function checkSlots(): Promise<void> {
    if (view.config()?.tenants === undefined || world.now() >= view.dutyUntil()) return
    for (let slot = 0; slot < QUOTA_SLOTS; slot++) await updateOwnership(slot)
    // All slots share one read of the members.
    let pendingRead: Promise<TimedRead> | undefined
    function readOnce(): Promise<TimedRead> {
      pendingRead ??= readMembers()
      return pendingRead
    }
    for (const [slot, heldSlot] of heldSlots) {
      await updateNodes(heldSlot, readOnce)
      updateReadiness(slot, heldSlot)
      await updateReserve(slot, heldSlot)
    }
  }

  // --- questions ---

  /** Whether this node holds the slot now: its lease is valid and the register is known to be current. */
  function mayAnswer(slot: number, heldSlot: HeldSlot): boolean {
    const register = registers.all().get(quotaKey(slot))
    const holder = parseHolder(register?.value)
    if (heldSlot.isReleased || !isVoter() || !namesThisLife(holder) || holder.term !== heldSlot.term) return false
    return world.now() < Math.min(register?.currentUntil ?? 0, view.dutyUntil())
  }
  /** An outdated configuration could grant a tenant more than its current limit. */
  function isConfigurationCurrent(): boolean {
    return world.now() < (registers.all().get(CONFIG_KEY)?.currentUntil ?? 0)
  }
  function countGrants(question: HolderQuestion, grants: QuotaGrant[]): void {
    const wanted = new Map<string, number>()
    for (const [tenant, , , wantedCount] of question.lines) wanted.set(tenant, wantedCount)
    metrics.add('claynotch_quota_grants_total', [], grants.length)
    for (const [tenant, allowance] of grants)
      if (allowance < (wanted.get(tenant) ?? 0)) metrics.add('claynotch_quota_growth_refused_total')
  }
  /**
   * Records a proxy's report; returns the grants. Limits include the reserve during a takeover, or while it is lent
   * and needed.
   */
  function recordReport(
    heldSlot: HeldSlot,
    proxy: AskingProxy,
    lines: QuotaLine[],
    limits: (tenant: string) => number | undefined,
  ): QuotaGrant[] {
    const isTakeoverComplete = heldSlot.takeover.isComplete()
    const includesReserve = !isTakeoverComplete || (heldSlot.isReserveLent && heldSlot.needsReserve)
    function limitOf(tenant: string): number | undefined {
      return includesReserve ? limits(tenant) : withoutReserve(limits(tenant))
    }
    function reserveOf(tenant: string): number {
      const limit = heldSlot.hasReserve ? limits(tenant) : undefined
      return limit === undefined ? 0 : limit - (withoutReserve(limit) ?? 0)
    }
    return heldSlot.ledger.report(proxy, lines, limitOf, isTakeoverComplete, reserveOf)
  }
  /** Answers one proxy's question. asker: the node at the other end of the link. */
  function answer(question: HolderQuestion, asker: string): QuotaAnswer | QuotaRefusal {
    const heldSlot = heldSlots.get(question.slot)
    const config = view.config()
    if (!heldSlot || !config || question.term !== heldSlot.term || !mayAnswer(question.slot, heldSlot)) return REFUSED
    if (asker !== question.node || !isConfigurationCurrent()) return REFUSED
    for (const [tenant] of question.lines) if (quotaSlotOf(tenant) !== question.slot) return REFUSED
    heldSlot.takeover.heard(question.node, question.life)
    if (!heldSlot.takeover.isSoleHolder()) return REFUSED
    const proxy = { ...question, knownSince: heldSlot.takeover.proxyKnownSince(question.node) }
    const grants = recordReport(heldSlot, proxy, question.lines, quotaLimits(config, view.tolerance))
    heldSlot.takeover.answered(question.node)
    countGrants(question, grants)
    return { ok: true, grants: changedGrants(question.lines, grants) }
  }
  /** The operations of each tenant of the slot that are outstanding, for operators. */
  function uses({ slot, term }: QuotaUseQuestion): QuotaUseAnswer | QuotaRefusal {
    const heldSlot = heldSlots.get(slot)
    if (!heldSlot || term !== heldSlot.term || !mayAnswer(slot, heldSlot)) return REFUSED
    const usesByTenant: QuotaGrant[] = []
    for (const { name } of view.config()?.tenants ?? [])
      if (quotaSlotOf(name) === slot) usesByTenant.push([name, heldSlot.ledger.outstanding(name)])
    return { ok: true, uses: usesByTenant }
  }
  void loop(world, 'quota-holder', LEASE_RENEWAL_INTERVAL_MS, stop, checkSlots, registerChanged)
  return { answer, uses }
}
