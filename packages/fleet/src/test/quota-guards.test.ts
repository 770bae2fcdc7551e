import t, { type Test } from 'tap'
import type { Membership, MembersRead } from '@claynotch/agent/dist/membership.js'
import { makeQuotaDirectory } from '@claynotch/agent/dist/quota-directory.js'
import { startQuotaHolders } from '@claynotch/agent/dist/quota-holder.js'
import { startQuotaRelay, type QuotaRelay } from '@claynotch/agent/dist/quota-relay.js'
import { makeTakeover, type Takeover } from '@claynotch/agent/dist/quota-takeover.js'
import type { KnownRegister, RegisterCache } from '@claynotch/agent/dist/register-cache.js'
import type { CoreLinks } from '@claynotch/agent/dist/core-links.js'
import {
  LEASE_CLOCK_SLACK_MS,
  LEASE_DURATION_MS,
  LEASE_RENEWAL_TIMEOUT_MS,
  makeFlag,
  makeMetrics,
  makeSignal,
  pause,
  QUOTA_ANSWER_TIMEOUT_MS,
  QUOTA_LINK_VERSION,
  QUOTA_METER_WINDOW_MS,
  QUOTA_REFRESH_INTERVAL_MS,
  type Flag,
  type World,
} from '@claynotch/base'
import { CONFIG_KEY, type Config } from '@claynotch/operator'
import type { HolderQuestion, QuotaAnswer, QuotaLine } from '@claynotch/quota'
import {
  quotaKey,
  quotaSlotOf,
  type CoreSet,
  type MemberEntry,
  type Proposer,
  type QuotaHolder,
  type QuotaRefusal,
  type QuotaService,
  type RegisterEdit,
  type RegisterValue,
} from '@claynotch/register'
import { makeSim } from '../sim.js'
import { task } from './beside.js'

t.setTimeout(120000)

// The guards of quotas' holders and relays one by one: docs/design/quotas.md. Each test is named after what would go wrong.

const ALONE_MS = LEASE_DURATION_MS + 2 * LEASE_CLOCK_SLACK_MS
const RENEWALS_MS = LEASE_RENEWAL_TIMEOUT_MS + LEASE_CLOCK_SLACK_MS
const TENANT = 'kiln'
const SLOT = quotaSlotOf(TENANT)
/** Operations of CONFIG's tenant in one window, and the part of them that a new holder may grant at once. */
const LIMIT = 100
const RESERVE = 25

// --- what a new holder waits for ---

type Clock = { at: number }
function takeoverAt(clock: Clock, isFirst = false): Takeover {
  function now(): number {
    return clock.at
  }
  return makeTakeover(now, clock.at, isFirst)
}
function nodes(...names: string[]): Set<string> {
  return new Set(names)
}
/** All of them asked at once, and were known at once. */
function claimed(clock: Clock, ...names: string[]): Takeover {
  const takeover = takeoverAt(clock)
  takeover.read(nodes(...names), clock.at)
  for (const name of names) takeover.heard(name, 'one')
  return takeover
}
function pass(clock: Clock, takeover: Takeover, ms: number, present: Set<string>): void {
  for (let left = ms; left > 0; left -= 100) {
    clock.at += Math.min(100, left)
    takeover.nodesListed(present)
    if (takeover.needsRead(present)) takeover.read(present, clock.at)
  }
}

function firstOfAll(c: Test): void {
  const takeover = takeoverAt({ at: 0 }, true)
  c.ok(takeover.isSoleHolder() && takeover.isComplete(), 'nothing is out that it would not know of')
  c.end()
}
function oldHolder(c: Test): void {
  const clock = { at: 1000 }
  const takeover = claimed(clock, 'a')
  clock.at += ALONE_MS - 1
  c.notOk(takeover.isSoleHolder(), 'the one before may still answer')
  clock.at += 1
  c.ok(takeover.isSoleHolder())
  c.end()
}
/** It may have renewed its lease just before the claim, in a round that some cores had answered before. */
function oldHolderIsBack(c: Test): void {
  const clock = { at: 1000 }
  const takeover = claimed(clock, 'a')
  clock.at += RENEWALS_MS - 1
  takeover.predecessorAbsent(clock.at)
  c.notOk(takeover.isSoleHolder(), 'a renewal that was under way at the claim may not have reached all')
  clock.at += 1
  c.ok(takeover.needsRead(nodes('a')), 'another read shows it')
  takeover.predecessorAbsent(clock.at - 1)
  c.notOk(takeover.isSoleHolder(), 'a read that was begun before that')
  takeover.predecessorAbsent(clock.at)
  c.ok(takeover.isSoleHolder())
  c.end()
}
function oldHolderHasEnded(c: Test): void {
  const clock = { at: 1000 }
  function now(): number {
    return clock.at
  }
  const takeover = makeTakeover(now, clock.at, false, true)
  c.ok(takeover.isSoleHolder(), 'nobody else can answer')
  c.notOk(takeover.isComplete(), 'what it granted is not known yet')
  c.end()
}
function oneWindow(c: Test): void {
  const clock = { at: 1000 }
  const takeover = claimed(clock, 'a')
  pass(clock, takeover, ALONE_MS, nodes('a'))
  takeover.answered('a')
  pass(clock, takeover, QUOTA_METER_WINDOW_MS - ALONE_MS - 1, nodes('a'))
  c.notOk(takeover.isComplete(), 'what proxies sent that ended before the claim is in a window yet')
  pass(clock, takeover, 100, nodes('a'))
  c.ok(takeover.isComplete())
  c.end()
}
function untold(c: Test): void {
  const clock = { at: 1000 }
  const takeover = claimed(clock, 'a', 'b')
  pass(clock, takeover, ALONE_MS, nodes('a', 'b'))
  takeover.answered('a')
  pass(clock, takeover, 60000, nodes('a', 'b'))
  c.notOk(takeover.isComplete(), 'b has not told what it holds')
  takeover.answered('b')
  c.ok(takeover.isComplete())
  c.end()
}
function goneUntold(c: Test): void {
  const clock = { at: 1000 }
  const takeover = claimed(clock, 'a', 'b')
  pass(clock, takeover, ALONE_MS, nodes('a', 'b'))
  takeover.answered('a')
  pass(clock, takeover, 10000, nodes('a', 'b'))
  pass(clock, takeover, QUOTA_METER_WINDOW_MS, nodes('a'))
  c.notOk(takeover.isComplete(), 'what b sent until its end is in a window yet')
  pass(clock, takeover, 200, nodes('a'))
  c.ok(takeover.isComplete())
  c.end()
}
function otherLife(c: Test): void {
  const clock = { at: 1000 }
  const takeover = claimed(clock, 'a')
  pass(clock, takeover, ALONE_MS + 1000, nodes('a'))
  takeover.heard('a', 'two')
  takeover.answered('a')
  pass(clock, takeover, QUOTA_METER_WINDOW_MS - 100, nodes('a'))
  c.notOk(takeover.isComplete(), 'what its life before sent is in a window yet')
  pass(clock, takeover, 200, nodes('a'))
  c.ok(takeover.isComplete())
  c.end()
}
/** The holder before may have given to it until it ended. */
function cameMeanwhile(c: Test): void {
  const clock = { at: 1000 }
  const takeover = claimed(clock, 'a')
  pass(clock, takeover, ALONE_MS - 200, nodes('a'))
  pass(clock, takeover, 400, nodes('a', 'b'))
  takeover.answered('a')
  pass(clock, takeover, 60000, nodes('a', 'b'))
  c.notOk(takeover.isComplete(), 'b came while the one before answered, and has not told')
  pass(clock, takeover, 60000, nodes('a', 'b', 'c'))
  takeover.heard('b', 'one')
  takeover.answered('b')
  pass(clock, takeover, QUOTA_METER_WINDOW_MS + 100, nodes('a', 'b', 'c'))
  c.ok(takeover.isComplete(), 'c has what this holder gave it, if anything')
  c.end()
}

// --- holders ---

/** Registers that all share: a change takes a moment, and is made on what stands there then. */
type Shared = Map<string, RegisterValue>
type Node = {
  name: string
  life: string
  holders: QuotaService
  known: Map<string, KnownRegister>
  lease: { until: number }
  reads: { next: MembersRead | undefined }
  set: { now: CoreSet }
  /** Whether no majority accepts a change. */
  isCutOff: { now: boolean }
}

const CONFIG = { tenants: [{ name: TENANT, keys: [], rate: 16, burst: 20 }] } as unknown as Config

function memberOf(name: string, life: string): MemberEntry {
  const core = { id: `id-${name}`, addr: `${name}:1` }
  return { node: name, life, area: 'a', addr: `${name}:2`, operator: '', build: '', proxy: false, core }
}
function frontOf(name: string): MemberEntry {
  return { node: name, life: 'x', area: 'a', addr: `${name}:2`, operator: '', build: '', proxy: true }
}
function readOf(members: MemberEntry[], isComplete = true): MembersRead {
  const out: MembersRead['members'] = []
  for (const member of members) out.push({ ...member, acks: [], open: 0, highs: [] })
  return { members: out, isComplete }
}
function bodyOf(shared: Shared): QuotaHolder | undefined {
  return shared.get(quotaKey(SLOT))?.body as QuotaHolder | undefined
}

/** listed: the members as this node believes; each node is the first choice of its own list. */
function startNode(world: World, shared: Shared, name: string, listed: MemberEntry[], stop: Flag): Node {
  const life = `life-${name}`
  const known = new Map<string, KnownRegister>()
  const lease = { until: Infinity }
  const reads: Node['reads'] = { next: readOf(listed) }
  const set: Node['set'] = { now: { epoch: 1, cores: [{ id: `id-${name}`, addr: `${name}:1` }] } }
  function learn(key: string, value: RegisterValue): void {
    known.set(key, { value, ballot: [value.turn, ''], currentUntil: Infinity })
  }
  function all(): Map<string, KnownRegister> {
    return known
  }
  function value(key: string): RegisterValue | undefined {
    return known.get(key)?.value
  }
  const isCutOff = { now: false }
  async function change(key: string, edit: RegisterEdit): ReturnType<Proposer['change']> {
    await pause(world, 5)
    if (isCutOff.now) return { done: false, why: 'no majority accepted' }
    const now = shared.get(key)
    const next = edit(now)
    if (next) shared.set(key, { turn: (now?.turn ?? 0) + 1, ...next })
    return { done: true, value: shared.get(key), ballot: [1, ''] }
  }
  function list(): MemberEntry[] {
    return listed
  }
  async function read(): Promise<MembersRead | undefined> {
    await pause(world, 1)
    return reads.next
  }
  function place() {
    return { id: `id-${name}`, addr: `${name}:1` }
  }
  function coreSet(): CoreSet {
    return set.now
  }
  function config(): Config {
    return CONFIG
  }
  function dutyUntil(): number {
    return lease.until
  }
  learn(CONFIG_KEY, { turn: 1, tag: '', body: {} })
  const holder = shared.get(quotaKey(SLOT))
  if (holder) learn(quotaKey(SLOT), holder)
  const registers = { all, value, learn } as unknown as RegisterCache
  const membership = { list, read } as unknown as Membership
  const proposer = { change } as unknown as Proposer
  const tolerance = { overshoot: 0, slack: 0 }
  const view = { node: name, life, place, proposer, registers, membership, coreSet, config, dutyUntil, tolerance }
  const holders = startQuotaHolders(world, view, stop, makeSignal(), makeMetrics())
  return { name, life, holders, known, lease, reads, set, isCutOff }
}
function question(term: number, more: Partial<HolderQuestion> = {}): HolderQuestion {
  const lines: QuotaLine[] = [[TENANT, 0, 0, 5, 0]]
  return { t: 'quota', slot: SLOT, term, node: 'front', life: 'p', askedAt: 1, lines, ...more }
}
function ask(node: Node, term: number, more: Partial<HolderQuestion> = {}): QuotaAnswer | QuotaRefusal {
  return node.holders.answer(question(term, more), 'front')
}

/** Runs it in a simulated process, with registers of its own. */
async function inSim(run: (world: World, shared: Shared, stop: Flag) => Promise<void>): Promise<void> {
  const sim = makeSim(1)
  const stop = makeFlag()
  async function start(world: World): Promise<void> {
    await run(world, new Map(), stop)
    stop.fire()
  }
  await task(sim, sim.machine('m', '10.0.0.1'), start)
}
function namedAs(holder: string, term: number, reserve: QuotaHolder['reserve'] = 'lent'): RegisterValue {
  return { turn: term, tag: '', body: { holder, life: `life-${holder}`, term, reserve } }
}

async function twoClaims(c: Test): Promise<void> {
  async function run(world: World, shared: Shared, stop: Flag): Promise<void> {
    const a = startNode(world, shared, 'a', [memberOf('a', 'life-a')], stop)
    const b = startNode(world, shared, 'b', [memberOf('b', 'life-b')], stop)
    for (const { reads } of [a, b]) reads.next = readOf([memberOf('a', 'life-a'), memberOf('b', 'life-b')])
    await pause(world, 3000)
    c.equal(bodyOf(shared)?.term, 1, 'one of them claimed the slot')
    const answers = [ask(a, 1).ok, ask(b, 1).ok]
    c.strictSame(answers.sort(), [false, true], 'one of them answers')
  }
  await inSim(run)
}
async function liveHolder(c: Test): Promise<void> {
  async function run(world: World, shared: Shared, stop: Flag): Promise<void> {
    shared.set(quotaKey(SLOT), namedAs('a', 3))
    const b = startNode(world, shared, 'b', [memberOf('b', 'life-b')], stop)
    b.reads.next = readOf([memberOf('a', 'life-a'), memberOf('b', 'life-b')])
    await pause(world, 3000)
    c.equal(bodyOf(shared)?.holder, 'a', 'a holds a lease')
    b.reads.next = readOf([memberOf('b', 'life-b')], false)
    await pause(world, 3000)
    c.equal(bodyOf(shared)?.holder, 'a', 'some core may have forgotten a')
    b.reads.next = undefined
    await pause(world, 3000)
    c.equal(bodyOf(shared)?.holder, 'a', 'no majority answered')
    b.reads.next = readOf([memberOf('a', 'another life'), memberOf('b', 'life-b')])
    await pause(world, 3000)
    c.strictSame(bodyOf(shared), { holder: 'b', life: b.life, term: 4, reserve: 'lent' }, 'that life of a has ended')
  }
  await inSim(run)
}
async function notNow(c: Test): Promise<void> {
  async function run(world: World, shared: Shared, stop: Flag): Promise<void> {
    const a = startNode(world, shared, 'a', [memberOf('a', 'life-a')], stop)
    await pause(world, 2000)
    c.ok(ask(a, 1).ok, 'it holds the slot')
    c.notOk(ask(a, 2).ok, 'under another term')
    c.notOk(a.holders.answer(question(1), 'another').ok, 'in the name of another node')
    const stranger = 'kiln-of-another-slot'
    c.not(quotaSlotOf(stranger), SLOT)
    const lines: QuotaLine[] = [[stranger, 0, 0, 5, 0]]
    c.notOk(ask(a, 1, { lines }).ok, 'for a tenant that another counts')
    a.lease.until = world.now()
    c.notOk(ask(a, 1).ok, 'without a lease')
    a.lease.until = Infinity
    const register = a.known.get(quotaKey(SLOT))
    if (!register) throw new Error('the register is not known')
    register.currentUntil = world.now()
    c.notOk(ask(a, 1).ok, 'while somebody else may be named')
    register.currentUntil = Infinity
    a.known.set(quotaKey(SLOT), { ...register, value: namedAs('b', 2) })
    c.notOk(ask(a, 1).ok, 'once somebody else is named')
    a.known.set(quotaKey(SLOT), register)
    const configuration = a.known.get(CONFIG_KEY)
    if (!configuration) throw new Error('the configuration is not known')
    configuration.currentUntil = world.now()
    c.notOk(ask(a, 1).ok, 'by a configuration that may be old')
    configuration.currentUntil = Infinity
    c.ok(ask(a, 1, { askedAt: 2 }).ok)
  }
  await inSim(run)
}
async function noVote(c: Test): Promise<void> {
  async function run(world: World, shared: Shared, stop: Flag): Promise<void> {
    const a = startNode(world, shared, 'a', [memberOf('a', 'life-a')], stop)
    await pause(world, 2000)
    a.set.now = { epoch: 2, cores: [{ id: 'id-other', addr: 'o:1' }] }
    c.notOk(ask(a, 1).ok, 'nobody asks a core that does not vote')
    await pause(world, 2000)
    c.strictSame(bodyOf(shared), { holder: '', life: '', term: 1, reserve: 'kept' }, 'the slot is given up')
    a.set.now = { epoch: 3, cores: [{ id: 'id-a', addr: 'a:1' }] }
    await pause(world, 2000)
    c.equal(bodyOf(shared)?.term, 2, 'and claimed anew, as by any other')
    c.notOk(ask(a, 1).ok)
  }
  await inSim(run)
}
async function noGrowth(c: Test): Promise<void> {
  async function run(world: World, shared: Shared, stop: Flag): Promise<void> {
    shared.set(quotaKey(SLOT), namedAs('gone', 1))
    const members = [memberOf('b', 'life-b'), frontOf('front')]
    const b = startNode(world, shared, 'b', members, stop)
    await pause(world, 300)
    c.equal(bodyOf(shared)?.term, 2)
    c.notOk(ask(b, 2).ok, 'the holder before may still answer')
    await pause(world, ALONE_MS + 1000)
    // Far less than the limit, so that much seems to be free.
    const some: QuotaLine[] = [[TENANT, 40, 40, 60, 0]]
    c.strictSame(ask(b, 2, { askedAt: 2, lines: some }), { ok: true, grants: [[TENANT, 40]] }, 'what it is told stands')
    const none: QuotaLine[] = [[TENANT, 0, 0, 5, 0]]
    b.reads.next = readOf([...members, frontOf('other')])
    const answer = b.holders.answer(question(2, { node: 'other', askedAt: 3, lines: none }), 'other')
    c.strictSame(answer, { ok: true, grants: [[TENANT, 0]] }, 'and nothing new is given out')
  }
  await inSim(run)
}

function grantedIn(answer: QuotaAnswer | QuotaRefusal): number {
  return answer.ok ? (answer.grants[0]?.[1] ?? 0) : 0
}
async function reserveOnce(c: Test): Promise<void> {
  async function run(world: World, shared: Shared, stop: Flag): Promise<void> {
    shared.set(quotaKey(SLOT), namedAs('gone', 1, 'kept'))
    const members = [memberOf('b', 'life-b'), frontOf('front'), frontOf('other'), frontOf('third')]
    const b = startNode(world, shared, 'b', members, stop)
    await pause(world, 1000)
    c.strictSame(bodyOf(shared), { holder: 'b', life: b.life, term: 2, reserve: 'lent' }, 'nobody lends it again')
    await pause(world, ALONE_MS + 1000)
    const told = 40
    const some: QuotaLine[] = [[TENANT, told, told, 60, 0]]
    const mine = grantedIn(ask(b, 2, { askedAt: 2, lines: some }))
    c.ok(mine >= told, 'what it is told stands')
    const many: QuotaLine[] = [[TENANT, 0, 0, 500, 500]]
    const first = b.holders.answer(question(2, { node: 'other', askedAt: 3, lines: many }), 'other')
    c.equal(mine + grantedIn(first), told + RESERVE, 'and the reserve is granted, as it was kept')
    const second = b.holders.answer(question(2, { node: 'third', askedAt: 4, lines: many }), 'third')
    c.strictSame(second, { ok: true, grants: [[TENANT, 0]] }, 'and no more')
  }
  await inSim(run)
}
async function reserveKept(c: Test): Promise<void> {
  async function run(world: World, shared: Shared, stop: Flag): Promise<void> {
    const a = startNode(world, shared, 'a', [memberOf('a', 'life-a'), frontOf('front')], stop)
    await pause(world, 1000)
    c.equal(bodyOf(shared)?.reserve, 'kept')
    let askedAt = 1
    let held = 0
    function wants(wanted: number): number {
      const lines: QuotaLine[] = [[TENANT, held, 0, wanted, wanted]]
      const answer = ask(a, 1, { askedAt: ++askedAt, lines })
      const granted = answer.ok ? answer.grants[0]?.[1] : undefined
      held = granted ?? held
      return held
    }
    c.equal(wants(500), LIMIT - RESERVE, 'the reserve stays')
    a.isCutOff.now = true
    await pause(world, 1000)
    c.equal(wants(500), LIMIT - RESERVE, 'until the register says otherwise')
    a.isCutOff.now = false
    await pause(world, 1000)
    c.equal(bodyOf(shared)?.reserve, 'lent', 'the tenant needs it')
    c.equal(wants(500), LIMIT)
    await pause(world, 1000)
    c.equal(bodyOf(shared)?.reserve, 'lent')
    c.ok(wants(5) <= LIMIT - RESERVE)
    c.equal(bodyOf(shared)?.reserve, 'lent', 'what is out is known with the next question')
    wants(5)
    await pause(world, 1500)
    c.equal(bodyOf(shared)?.reserve, 'kept')
    c.ok(wants(500) <= LIMIT - RESERVE, 'and it is kept')
  }
  await inSim(run)
}

// --- relays ---

type Link = { asked: HolderQuestion[]; delay: number; grants: QuotaAnswer['grants'] }

/** other: the link to the holder that is named 'b'. */
function startRelay(
  world: World,
  known: Map<string, KnownRegister>,
  link: Link,
  version: number,
  stop: Flag,
  other?: Link,
): QuotaRelay {
  function askOver(to: Link): (asked: HolderQuestion) => Promise<unknown> {
    async function askLink(asked: HolderQuestion): Promise<unknown> {
      to.asked.push(asked)
      await pause(world, to.delay)
      return { ok: true, grants: asked.lines.length > 0 ? to.grants : [] }
    }
    return askLink
  }
  function up(): boolean {
    return true
  }
  function peer(): { epoch: number } {
    return { epoch: version }
  }
  function get(id: string): unknown {
    if (id === 'id-a') return { link: { ask: askOver(link), up, peer } }
    return id === 'id-b' && other ? { link: { ask: askOver(other), up, peer } } : undefined
  }
  function all(): Map<string, KnownRegister> {
    return known
  }
  function list(): MemberEntry[] {
    return [memberOf('a', 'life-a'), memberOf('b', 'life-b')]
  }
  function isWithoutProxy(): boolean {
    return false
  }
  const registers = { all } as unknown as RegisterCache
  const membership = { list } as unknown as Membership
  const links = { get } as unknown as CoreLinks
  const directory = makeQuotaDirectory(world, registers, membership, links)
  const view = { node: 'front', directory, isWithoutProxy }
  return startQuotaRelay(world, view, stop, makeMetrics())
}
function knownAs(holder: string, term: number, currentUntil = Infinity): Map<string, KnownRegister> {
  return new Map([[quotaKey(SLOT), { value: namedAs(holder, term), ballot: [term, ''], currentUntil }]])
}
function proxyAsks(relay: QuotaRelay, lines: QuotaLine[]): Promise<QuotaAnswer> {
  return relay.ask({ t: 'quota', life: 'p', askedAt: 1, lines })
}
const WANTED: QuotaLine[] = [[TENANT, 0, 0, 5, 0]]

async function lateAnswer(c: Test): Promise<void> {
  async function run(world: World, _shared: Shared, stop: Flag): Promise<void> {
    const link: Link = { asked: [], delay: 10, grants: [[TENANT, 5]] }
    const relay = startRelay(world, knownAs('a', 1), link, QUOTA_LINK_VERSION, stop)
    c.strictSame(await proxyAsks(relay, WANTED), { ok: true, grants: [[TENANT, 5]] })
    link.delay = QUOTA_ANSWER_TIMEOUT_MS + 10
    c.strictSame(await proxyAsks(relay, WANTED), { ok: true, grants: [] }, 'what came too late is dropped')
  }
  await inSim(run)
}
async function slowHolder(c: Test): Promise<void> {
  const other = 'kiln-of-another-slot'
  async function run(world: World, _shared: Shared, stop: Flag): Promise<void> {
    const link: Link = { asked: [], delay: 1, grants: [[TENANT, 5]] }
    const slow: Link = { asked: [], delay: 5000, grants: [[other, 5]] }
    const known = knownAs('a', 1)
    known.set(quotaKey(quotaSlotOf(other)), { value: namedAs('b', 1), ballot: [1, ''], currentUntil: Infinity })
    const relay = startRelay(world, known, link, QUOTA_LINK_VERSION, stop, slow)
    const wanted: QuotaLine[] = [...WANTED, [other, 0, 0, 5, 1]]
    await proxyAsks(relay, wanted)
    await pause(world, 6000)
    let from = world.now()
    c.strictSame((await proxyAsks(relay, wanted)).grants, [[TENANT, 5]])
    c.ok(world.now() - from < 50, 'the others of its tenants are answered at once')
    const count = slow.asked.length
    await proxyAsks(relay, wanted)
    c.equal(slow.asked.length, count, 'it is asked one question at a time')
    slow.delay = 1
    await pause(world, 6000)
    await proxyAsks(relay, wanted)
    await pause(world, 10)
    from = world.now()
    const { grants } = await proxyAsks(relay, wanted)
    c.equal(grants.length, 2, 'once it answers it is waited for again')
    slow.delay = 5000
    await pause(world, 10)
    from = world.now()
    await proxyAsks(relay, [[other, 0, 0, 6, 1]])
    c.ok(world.now() - from >= QUOTA_ANSWER_TIMEOUT_MS, 'and where nobody else is asked')
  }
  await inSim(run)
}
async function toldOnce(c: Test): Promise<void> {
  async function run(world: World, _shared: Shared, stop: Flag): Promise<void> {
    const link: Link = { asked: [], delay: 1, grants: [] }
    const known = knownAs('a', 1)
    const relay = startRelay(world, known, link, QUOTA_LINK_VERSION, stop)
    await proxyAsks(relay, [])
    await proxyAsks(relay, [])
    c.equal(link.asked.length, 1, 'nothing to tell is told once')
    known.set(quotaKey(SLOT), { value: namedAs('a', 2), ballot: [2, ''], currentUntil: Infinity })
    await proxyAsks(relay, [])
    c.equal(link.asked.length, 2, 'and under each term')
    await relay.ask({ t: 'quota', life: 'another', askedAt: 1, lines: [] })
    c.equal(link.asked.length, 3, 'and by each life of the proxy')
  }
  await inSim(run)
}
/** What the holder is asked, by tenant. */
function namesIn(asked: HolderQuestion | undefined): string[] {
  const out: string[] = []
  for (const [tenant] of asked?.lines ?? []) out.push(tenant)
  return out
}
async function toldAnew(c: Test): Promise<void> {
  async function run(world: World, _shared: Shared, stop: Flag): Promise<void> {
    const link: Link = { asked: [], delay: 1, grants: [] }
    const known = knownAs('a', 1)
    const relay = startRelay(world, known, link, QUOTA_LINK_VERSION, stop)
    const steady: QuotaLine[] = [[TENANT, 5, 2, 2, 0]]
    await proxyAsks(relay, steady)
    await proxyAsks(relay, steady)
    c.equal(link.asked.length, 1, 'what did not change is not told again')
    await proxyAsks(relay, [[TENANT, 5, 3, 3, 0]])
    c.strictSame(namesIn(link.asked[1]), [TENANT], 'what it uses is told')
    link.grants = [[TENANT, 9]]
    await proxyAsks(relay, [[TENANT, 5, 4, 4, 0]])
    await proxyAsks(relay, [[TENANT, 5, 4, 4, 0]])
    c.equal(link.asked.length, 4, 'a proxy that did not take what it was granted says so')
    link.grants = []
    await proxyAsks(relay, steady)
    known.set(quotaKey(SLOT), { value: namedAs('a', 2), ballot: [2, ''], currentUntil: Infinity })
    await proxyAsks(relay, steady)
    c.strictSame(namesIn(link.asked[5]), [TENANT], 'a new holder is told all')
    await pause(world, QUOTA_REFRESH_INTERVAL_MS)
    await proxyAsks(relay, steady)
    c.equal(link.asked.length, 7, 'and so is one that may want to take some of it back')
    link.delay = QUOTA_ANSWER_TIMEOUT_MS + 10
    await proxyAsks(relay, [[TENANT, 5, 3, 3, 0]])
    await proxyAsks(relay, steady)
    c.equal(link.asked.length, 9, 'what may have come to the holder or not is told again')
  }
  await inSim(run)
}
async function unasked(c: Test): Promise<void> {
  async function run(world: World, _shared: Shared, stop: Flag): Promise<void> {
    const link: Link = { asked: [], delay: 1, grants: [] }
    const old = startRelay(world, knownAs('a', 1), link, QUOTA_LINK_VERSION - 1, stop)
    await proxyAsks(old, WANTED)
    c.equal(link.asked.length, 0, 'a core of an earlier version would close the link')
    const behind = startRelay(world, knownAs('a', 1, world.now()), link, QUOTA_LINK_VERSION, stop)
    await proxyAsks(behind, WANTED)
    c.equal(link.asked.length, 0, 'somebody else may hold the slot')
    const gone = startRelay(world, knownAs('unknown', 1), link, QUOTA_LINK_VERSION, stop)
    c.strictSame(await proxyAsks(gone, WANTED), { ok: true, grants: [] }, 'a holder that is no member')
  }
  await inSim(run)
}

void t.test('the first holder of all waits for nobody', firstOfAll)
void t.test('a new holder answers beside the one before', oldHolder)
void t.test('a holder before that came back at the claim is overlooked', oldHolderIsBack)
void t.test('a holder before that has ended is waited for', oldHolderHasEnded)
void t.test('a new holder grants more than the reserve, or one that was granted already', reserveOnce)
void t.test('more than the limit less the reserve is granted while the reserve is kept', reserveKept)
void t.test('what proxies ran that ended before a claim is overlooked', oneWindow)
void t.test('a front machine that has not told is overlooked', untold)
void t.test('what a front machine ran that went before it told is overlooked', goneUntold)
void t.test('what an earlier life of a proxy ran is overlooked', otherLife)
void t.test('a front machine that came during a takeover is overlooked', cameMeanwhile)
void t.test('two claim a slot at once and both hold it', twoClaims)
void t.test('a live holder is replaced', liveHolder)
void t.test('a holder answers that may not', notNow)
void t.test('a holder whose core does not vote keeps its slot', noVote)
void t.test('a new holder gives out what it does not know to be free', noGrowth)
void t.test('an answer that came too late is passed on', lateAnswer)
void t.test('a slow holder holds up the tenants of all others', slowHolder)
void t.test('a proxy with nothing to tell is never heard of, or all the time', toldOnce)
void t.test('a holder is not told what changed, or what it may have to change', toldAnew)
void t.test('a holder is asked that should not be', unasked)
