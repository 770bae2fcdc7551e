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

// Counts what tenants may use, in agents beside a core that votes: docs/design/quotas.md. Front machines ask over their link to that core.

export type QuotaHolderView = {
  node: string
  life: string
  /** The core in this process. */
  place: () => CoreMember
  proposer: Proposer
  registers: RegisterCache
  membership: Membership
  coreSet: () => CoreSet
  config: () => Config | undefined
  /** Up to when this node may hold duties. */
  dutyUntil: () => number
  tolerance: QuotaTolerance
}

/**
 * One slot that this node holds.
 *
 * Invariants: there is one for as long as the register names this life of this node, from when that became known here; ledger counts
 * at least what every proxy may use that told of it under this term.
 */
type HeldSlot = {
  term: number
  since: number
  /** The holder that was replaced, where this node claimed the slot. */
  before: QuotaHolder | undefined
  ledger: Ledger
  takeover: Takeover
  isReady: boolean
  /** The register is known to say so, and no call of this node has asked for the opposite since. */
  isReserveLent: boolean
  isReserveKept: boolean
  /** The reserve was kept when this node claimed the slot: it may be granted until the takeover is over. */
  hasReserve: boolean
  /** Some tenant needs more than its limit less the reserve. */
  needsReserve: boolean
  /** Given up: answers nothing more, whether the register says so already or not. */
  isReleased: boolean
}

/** What isn't named stays as the proxy told it. Who wants more, or holds nothing, is told so. */
function newsOf(lines: QuotaLine[], grants: QuotaGrant[]): QuotaGrant[] {
  const unchanged = new Set<string>()
  const granted = new Map(grants)
  for (const [tenant, held, , wanted, waiting] of lines)
    if (granted.get(tenant) === held && held > 0 && wanted <= held && waiting === 0) unchanged.add(tenant)
  function isNews([tenant]: QuotaGrant): boolean {
    return !unchanged.has(tenant)
  }
  return grants.filter(isNews)
}

type TimedRead = { got: MembersRead | undefined; beganAt: number }

const REFUSED: QuotaRefusal = { ok: false }
const NOBODY = ''

function readHolder(value: RegisterValue | undefined): QuotaHolder | undefined {
  const holder = value ? readAs(QuotaHolder, value.body) : undefined
  return holder?.ok ? holder.val : undefined
}
function isSame(a: QuotaHolder | undefined, b: QuotaHolder | undefined): boolean {
  return a?.holder === b?.holder && a?.life === b?.life && a?.term === b?.term && a?.reserve === b?.reserve
}
function hasProxy(member: { proxy: boolean }): boolean {
  return member.proxy
}
function nodesOf(members: { node: string }[]): Set<string> {
  const out = new Set<string>()
  for (const { node } of members) out.add(node)
  return out
}

export function startQuotaHolders(
  world: World,
  view: QuotaHolderView,
  stop: Flag,
  changed: Signal,
  metrics: Metrics,
): QuotaService {
  const { node, life, registers, membership } = view
  const held = new Map<number, HeldSlot>()
  // holdersBefore: what this node's latest claim of a slot was to replace.
  const holdersBefore = new Map<number, QuotaHolder | undefined>()

  // --- the register ---

  function namesThisLife(holder: QuotaHolder | undefined): holder is QuotaHolder {
    return holder?.holder === node && holder.life === life
  }
  /** Changes the register where it stands as expected; whether it is known to stand so now. */
  async function change(
    slot: number,
    isExpected: (now: QuotaHolder | undefined) => boolean,
    next: QuotaHolder,
  ): Promise<boolean> {
    const key = quotaKey(slot)
    const tag = `${node}~${life}~${next.term}~${world.now()}`
    function edit(value: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      const now = readHolder(value)
      return !isSame(now, next) && isExpected(now) ? { body: next, tag } : undefined
    }
    const beganAt = world.now()
    const committed = await view.proposer.change(key, edit, ROUND_TIMEOUT_MS)
    if (!committed.done || !committed.value) return false
    registers.learn(key, committed.value, committed.ballot, beganAt)
    return isSame(readHolder(committed.value), next)
  }
  function votes(): boolean {
    return hasCore(votersOf(view.coreSet()), view.place().id)
  }
  function isCandidate(slot: number): boolean {
    const candidates: string[] = []
    const voters = votersOf(view.coreSet())
    for (const member of membership.list())
      if (member.core && hasCore(voters, member.core.id)) candidates.push(member.node)
    return votes() && dutyHolderOf(quotaKey(slot), candidates) === node
  }
  /** Whether the holder named there holds no lease any more, as a majority shows that has forgotten nobody. */
  function isGone(before: QuotaHolder, read: MembersRead | undefined): boolean {
    if (read?.isComplete !== true) return false
    for (const member of read.members) if (member.node === before.holder && member.life === before.life) return false
    return true
  }
  /** As renewals tell, which is cheap and may be late. */
  function isListed(holder: QuotaHolder): boolean {
    for (const member of membership.list())
      if (member.node === holder.holder && member.life === holder.life) return true
    return false
  }
  async function claim(slot: number): Promise<void> {
    const before = readHolder(registers.value(quotaKey(slot)))
    // An earlier life of this node has ended with its process.
    const isFree = !before || before.holder === NOBODY || before.holder === node
    // The read begins after the holder became known: one that came meanwhile would be missing in an earlier one.
    if (!isFree && (isListed(before) || !isGone(before, await membership.read()))) return
    function isBefore(now: QuotaHolder | undefined): boolean {
      return isSame(now, before)
    }
    holdersBefore.set(slot, before)
    // A new holder grants from the reserve until it knows what is out; where nothing was ever granted there is no need to.
    const reserve = before ? 'lent' : 'kept'
    await change(slot, isBefore, { holder: node, life, term: (before?.term ?? 0) + 1, reserve })
  }
  /** No front machine asks a core that doesn't vote. */
  async function release(slot: number, one: HeldSlot): Promise<void> {
    one.isReleased = true
    const { term } = one
    const reserve = one.isReserveKept ? 'kept' : 'lent'
    const isDone = await change(slot, isMine, { holder: NOBODY, life: NOBODY, term, reserve })
    function isMine(now: QuotaHolder | undefined): boolean {
      return namesThisLife(now) && now.term === term
    }
    if (isDone) world.log.info('quota-slot-released', { slot, term: one.term })
  }

  // --- the slots that this node holds ---

  function follow(slot: number): void {
    const holder = readHolder(registers.value(quotaKey(slot)))
    const one = held.get(slot)
    if (!namesThisLife(holder)) held.delete(slot)
    else if (one?.term !== holder.term) {
      const since = world.now()
      const { term, reserve } = holder
      const before = holdersBefore.get(slot)
      const hasReserve = before?.reserve === 'kept'
      // An earlier life of this node has ended with its process.
      const hasEnded = before?.holder === node || before?.holder === NOBODY
      world.log.info('quota-slot-claimed', { slot, term, before: before?.holder ?? NOBODY, hasReserve })
      held.set(slot, {
        term,
        since,
        ledger: makeLedger(world.now, QUOTA_METER_WINDOW_MS),
        takeover: makeTakeover(world.now, since, term === 1, hasEnded),
        before,
        isReady: false,
        isReserveLent: reserve === 'lent',
        isReserveKept: reserve === 'kept',
        hasReserve,
        needsReserve: false,
        isReleased: false,
      })
    }
    metrics.set('claynotch_quota_holder', [['slot', String(slot)]], held.has(slot) ? 1 : 0)
  }
  function judgeReady(slot: number, one: HeldSlot): void {
    if (one.isReady || !one.takeover.isComplete()) return
    one.isReady = true
    world.log.info('quota-slot-ready', { slot, term: one.term, ms: Math.round(world.now() - one.since) })
  }
  /** Nodes of the ledger that hold no lease any more can use nothing of what they had. */
  async function tend(one: HeldSlot, read: () => Promise<TimedRead>): Promise<void> {
    const listed = nodesOf(membership.list())
    const proxies = nodesOf(membership.list().filter(hasProxy))
    function isMissing(name: string): boolean {
      return !listed.has(name)
    }
    one.takeover.nodesListed(proxies)
    const missing = one.ledger.nodes().filter(isMissing)
    if (missing.length === 0 && !one.takeover.needsRead(proxies)) return
    const { got, beganAt } = await read()
    if (got?.isComplete !== true) return
    if (one.before && isGone(one.before, got)) one.takeover.predecessorAbsent(beganAt)
    one.takeover.read(nodesOf(got.members.filter(hasProxy)), beganAt)
    const present = nodesOf(got.members)
    for (const name of missing) if (!present.has(name)) one.ledger.gone(name, beganAt)
  }
  async function setReserve(slot: number, { term }: HeldSlot, reserve: QuotaHolder['reserve']): Promise<boolean> {
    function isMine(now: QuotaHolder | undefined): boolean {
      return namesThisLife(now) && now.term === term
    }
    const isSet = await change(slot, isMine, { holder: node, life, term, reserve })
    if (isSet) world.log.info('quota-reserve-changed', { slot, term, reserve })
    return isSet
  }
  /** The reserve is lent while tenants need it: granted once the register says so, and given back before it says otherwise. */
  async function tendReserve(slot: number, one: HeldSlot): Promise<void> {
    const config = view.config()
    if (!config || !one.takeover.isComplete() || !mayAnswer(slot, one) || !isConfigurationCurrent()) return
    const limits = quotaLimits(config, view.tolerance)
    function plain(tenant: string): number | undefined {
      return withoutReserve(limits(tenant))
    }
    const share = one.needsReserve ? QUOTA_RESERVE_RETURN_SHARE : QUOTA_RESERVE_LEND_SHARE
    function nearlyPlain(tenant: string): number | undefined {
      const limit = plain(tenant)
      return limit === undefined ? undefined : limit * share
    }
    one.needsReserve = one.ledger.needsMoreThan(nearlyPlain)
    // A lowered limit may leave more out than the limit less the reserve, until allowances have shrunk.
    const isMoreOut = one.ledger.exceeds(plain)
    if ((one.needsReserve || isMoreOut) && !one.isReserveLent) {
      one.isReserveKept = false
      one.isReserveLent = await setReserve(slot, one, 'lent')
    } else if (!one.needsReserve && !isMoreOut && !one.isReserveKept) {
      one.isReserveLent = false
      one.isReserveKept = await setReserve(slot, one, 'kept')
    }
  }
  /** Who holds the slot, as far as this node has a part in it. */
  async function settle(slot: number): Promise<void> {
    follow(slot)
    if (!held.has(slot) && isCandidate(slot)) {
      await claim(slot)
      follow(slot)
    }
    const one = held.get(slot)
    if (one && (one.isReleased || !votes())) await release(slot, one)
  }
  async function readMembers(): Promise<TimedRead> {
    const beganAt = world.now()
    return { got: await membership.read(), beganAt }
  }
  async function look(): Promise<void> {
    if (view.config()?.tenants === undefined || world.now() >= view.dutyUntil()) return
    for (let slot = 0; slot < QUOTA_SLOTS; slot++) await settle(slot)
    // One read of the members serves all slots.
    let reading: Promise<TimedRead> | undefined
    function read(): Promise<TimedRead> {
      reading ??= readMembers()
      return reading
    }
    for (const [slot, one] of held) {
      await tend(one, read)
      judgeReady(slot, one)
      await tendReserve(slot, one)
    }
  }

  // --- questions ---

  /** Whether this node holds the slot now, by its lease and by a register that is known to be current. */
  function mayAnswer(slot: number, one: HeldSlot): boolean {
    const known = registers.all().get(quotaKey(slot))
    const holder = readHolder(known?.value)
    if (one.isReleased || !votes() || !namesThisLife(holder) || holder.term !== one.term) return false
    return world.now() < Math.min(known?.currentUntil ?? 0, view.dutyUntil())
  }
  /** By an older configuration a tenant might be given more than it may have now. */
  function isConfigurationCurrent(): boolean {
    return world.now() < (registers.all().get(CONFIG_KEY)?.currentUntil ?? 0)
  }
  function count(question: HolderQuestion, grants: QuotaGrant[]): void {
    const wanted = new Map<string, number>()
    for (const [tenant, , , want] of question.lines) wanted.set(tenant, want)
    metrics.add('claynotch_quota_grants_total', [], grants.length)
    for (const [tenant, allowance] of grants)
      if (allowance < (wanted.get(tenant) ?? 0)) metrics.add('claynotch_quota_growth_refused_total')
  }
  function reportTo(
    one: HeldSlot,
    proxy: AskingProxy,
    lines: QuotaLine[],
    limits: (tenant: string) => number | undefined,
  ): QuotaGrant[] {
    const isOver = one.takeover.isComplete()
    const isWhole = !isOver || (one.isReserveLent && one.needsReserve)
    function limitOf(tenant: string): number | undefined {
      return isWhole ? limits(tenant) : withoutReserve(limits(tenant))
    }
    function reserveOf(tenant: string): number {
      const limit = one.hasReserve ? limits(tenant) : undefined
      return limit === undefined ? 0 : limit - (withoutReserve(limit) ?? 0)
    }
    return one.ledger.report(proxy, lines, limitOf, isOver, reserveOf)
  }
  function answer(question: HolderQuestion, asker: string): QuotaAnswer | QuotaRefusal {
    const one = held.get(question.slot)
    const config = view.config()
    if (!one || !config || question.term !== one.term || !mayAnswer(question.slot, one)) return REFUSED
    if (asker !== question.node || !isConfigurationCurrent()) return REFUSED
    for (const [tenant] of question.lines) if (quotaSlotOf(tenant) !== question.slot) return REFUSED
    one.takeover.heard(question.node, question.life)
    if (!one.takeover.isSoleHolder()) return REFUSED
    const proxy = { ...question, heardAt: one.takeover.heardAt(question.node) }
    const grants = reportTo(one, proxy, question.lines, quotaLimits(config, view.tolerance))
    one.takeover.answered(question.node)
    count(question, grants)
    return { ok: true, grants: newsOf(question.lines, grants) }
  }
  function uses({ slot, term }: QuotaUseQuestion): QuotaUseAnswer | QuotaRefusal {
    const one = held.get(slot)
    if (!one || term !== one.term || !mayAnswer(slot, one)) return REFUSED
    const out: QuotaGrant[] = []
    for (const { name } of view.config()?.tenants ?? [])
      if (quotaSlotOf(name) === slot) out.push([name, one.ledger.outstanding(name)])
    return { ok: true, uses: out }
  }
  void loop(world, 'quota-holder', LEASE_RENEWAL_INTERVAL_MS, stop, look, changed)
  return { answer, uses }
}
