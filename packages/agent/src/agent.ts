import {
  DELTA_LINK_VERSION,
  SHUTDOWN_TIMEOUT_MS,
  MEMBER_SOURCE_COUNT,
  PROXY_REPORT_INTERVAL_MS,
  acceptLinks,
  makeHello,
  makePersistentLink,
  loop,
  makeSignal,
  makeFlag,
  makeMetrics,
  noop,
  pause,
  readAs,
  LEASE_RENEWAL_TIMEOUT_MS,
  ROUND_TIMEOUT_MS,
  SUSPICION_TIMEOUT_MS,
  LEASE_DURATION_MS,
  LEASE_RENEWAL_INTERVAL_MS,
  LEASE_CLOCK_SLACK_MS,
  CHANGE_ANSWER_TIMEOUT_MS,
  TIMED_OUT,
  SAMPLE_TIMEOUT_MS,
  MAX_KNOWN_INSTANCES,
  SUMMARY_VERSION,
  MAX_VOTERS,
  withTimeout,
  ANNOUNCEMENT_LIFETIME_MS,
  LEAVING_LIFETIME_MS,
  type Address,
  type Finding,
  type PersistentLink,
  type Hello,
  type Link,
  type Metrics,
  type World,
} from '@claynotch/base'
import { holderOf, startFailover, startRouteMoves, type InstanceObservations } from '@claynotch/duty'
import type { Announcement } from '@claynotch/instance'
import {
  CONFIG_KEY,
  emptyBody,
  inForce,
  makeDecision,
  makeOperatorEdge,
  meantBy,
  unclear,
  type Body,
  type Change,
  type CoreStatus,
  type Credential,
  type Edit,
  type Order,
  type Verdict,
} from '@claynotch/operator'
import { startPeers, type Peer, type Summary } from '@claynotch/peer'
import {
  askSeeds,
  CoreSet,
  CORESET_KEY,
  gatherQuorum,
  NO_SET,
  quorumOf,
  votersOf,
  groupKey,
  laterStatus,
  makeCoreView,
  makeProposer,
  MembersAnswer,
  ProxyReport,
  RegisterPush,
  LeaseRenewalAnswer,
  shareOf,
  SHARES_KEY,
  type VoterAnswer,
  type CorePlace,
  type FedEntry,
  type AgentFeed,
  type GroupRecord,
  type Member,
  type MemberEntry,
  type CoreView,
  type HeldValue,
  type RegisterSummary,
  type Quorum,
  type Committed,
  type InstanceStatus,
  type ConnectionShares,
  type RegisterValue,
  type Voter,
} from '@claynotch/register'
import { readCoreStatus } from './core-status.js'
import { startCoreSetDuty } from './core-set-duty.js'
import { makeMemberSources, type Candidate } from './member-sources.js'
import { makeRegisterCache } from './register-cache.js'
import { ownAdapters, type AgentAdapters, type ControlService } from './adapter.js'
import { makeSubscription, type SubscriptionSource } from './subscription.js'
import { makeInstanceReports } from './instance-reports.js'

// link: where the proxy of this machine finds its agent; none: it has no proxy. peer: UDP, for summaries. http: operators,
// instances, the platform, and nodes that look for the cores; none: it serves none of them and holds no duties. seeds: http
// addresses of three other processes. coreSet: the core set where this process knows it by itself, asked before the seeds. core: the core
// machine that runs in this process, which is told each later set. mostVoters: VOTERS_MOST unless it is given.
// suspect: SUSPECT unless an experiment asks for another.
export type AgentSettings = {
  node: string
  area: string
  link?: Address
  peer: Address
  http?: Address
  seeds: Address[]
  coreSet?: () => CoreSet
  core?: { place: () => CorePlace; adopt: (next: CoreSet) => Promise<void> }
  mostVoters?: number
  platform?: Address
  operators?: Credential[]
  build: string
  suspect?: number
}

// Above every count of announcements, and a whole number that links carry.
const LAST_SEQUENCE = 2 ** 52

export type Agent = {
  stop: () => Promise<void>
  metrics: Metrics
  leaseExpiresAt: () => number
  register: (key: string) => RegisterValue | undefined
  apply: (next: { seeds: Address[]; platform: Address | undefined; operators: Credential[] | undefined }) => void
}

// What a life of a core has of this agent. self: what this machine told of itself, as text. sights: all own sights heard
// before this time.
type Told = { core: string; self: string; acks: Map<string, number>; highs: Map<string, string>; sights: number }

function speaksDeltas(held: PersistentLink): () => boolean {
  function speaks(): boolean {
    return (held.peer()?.epoch ?? 0) >= DELTA_LINK_VERSION
  }
  return speaks
}

export async function startAgent(world: World, set: AgentSettings, edges: AgentAdapters = ownAdapters): Promise<Agent> {
  const stop = makeFlag()
  const metrics = makeMetrics()
  const life = Math.floor(world.random() * 2 ** 40).toString(36)
  const born = world.now()
  const mine = makeHello('agent', set.node)
  // cores: whoever votes in coreSet, all of them and nobody else; since: when this node learnt that it votes.
  const cores = new Map<string, { held: PersistentLink; addr: Address; since: number; end: () => void }>()
  let coreSet: CoreSet = NO_SET
  let coreSetSince = 0
  const news = makeSignal()
  const lag = makeSignal()
  const linked = makeSignal()
  // own: what instances told this node itself. sights: that and what the cores tell, with the last time at which
  // someone knew it to be alive.
  const own = new Map<string, { sight: InstanceStatus; at: number }>()
  const sights = new Map<string, { sight: InstanceStatus; at: number; alive: number }>()
  // pictures: what each core told of itself so far. told: what each core has of us, by the core's life.
  const coreViews = new Map<string, CoreView>()
  const told = new Map<string, Told>()
  const telling = makeInstanceReports(world)
  let members: MemberEntry[] = []
  // memberSources: the cores that tell this node of members; all of them tell of everything else.
  const memberSources = makeMemberSources(world, set.node, set.http === undefined ? MEMBER_SOURCE_COUNT : Infinity)
  // termed: a majority has renewed this life's term before.
  let termUntil = 0
  // current: all that a majority showed since this life, or its last long silence, began is known here; no duty is held before.
  let current = false
  let renewed = -Infinity
  let termed = false
  // proxy: the one linked now. given: the latest time up to which any proxy of this machine may hold a term;
  // an agent that has just started may have a predecessor's word out for one whole term.
  // at: when the note came.
  let proxy: { link: Link; sent: Map<string, number>; note: ProxyReport | undefined; at: number } | undefined
  let given = set.link === undefined ? 0 : born + LEASE_DURATION_MS
  const acked = new Map<string, number>()
  const pushNums = new Map<string, number>()
  let { seeds, platform, operators } = set
  let sumNum = Math.floor(world.now())

  function voters(): Voter[] {
    const out: Voter[] = []
    for (const [id, { held }] of cores) out.push({ id, ask: held.ask, tell: held.tell, deltas: speaksDeltas(held) })
    return out
  }
  function quorum(): Quorum {
    return quorumOf(coreSet)
  }
  const proposer = makeProposer(world, set.node, voters, quorum, adopt, heldValue)
  function heldValue(key: string): HeldValue | undefined {
    return registers.held(key)
  }

  // --- what is known ---

  const registers = makeRegisterCache(world, {
    epoch: epochNow,
    link: linkTo,
    readCommitted: settle,
    onNewer: newValue,
    onBehind: lag.notify,
  })
  const { learn, value: registerValue } = registers
  const known = registers.all()
  const subscription = makeSubscription(world, set.node, set.area, registers.ballots)
  function epochNow(): number {
    return coreSet.epoch
  }
  function linkTo(id: string): PersistentLink | undefined {
    return cores.get(id)?.held
  }
  function settle(key: string): Promise<Committed> {
    return proposer.read(key, 0)
  }

  function newValue(key: string, value: RegisterValue): void {
    world.log.info('epoch-learnt', { key, turn: value.turn })
    if (key === CORESET_KEY) {
      const next = readAs(CoreSet, value.body)
      if (next.ok) adopt(next.val)
    }
    duty.ring()
    mover.ring()
    unfed = true
    news.notify()
  }
  function config(): Body | undefined {
    return registerValue(CONFIG_KEY)?.body as Body | undefined
  }
  function groups(): string[] {
    const out: string[] = []
    for (const g of config()?.config?.groups ?? []) out.push(g.name)
    return out
  }

  // --- cores: found through seeds, then held ---

  async function discover(): Promise<void> {
    const own = set.coreSet?.() ?? NO_SET
    const got = own.cores.length > 0 ? { seed: undefined, set: own } : await askSeeds(world, seeds)
    if (!got || stop.fired()) return
    adopt(got.set)
    world.log.info('cores-found', { seed: got.seed ?? 'itself', cores: coreSet.cores.length })
  }
  // Takes a later set, which was chosen: every word from now on is said under it.
  function adopt(next: CoreSet): void {
    if (stop.fired() || next.cores.length === 0 || (coreSet.cores.length > 0 && next.epoch <= coreSet.epoch)) return
    const first = coreSet.cores.length === 0
    coreSet = next
    coreSetSince = world.now()
    const all = new Map<string, Address>()
    for (const c of votersOf(next)) all.set(c.id, c.addr)
    for (const [id, c] of cores) {
      if (all.get(id) === c.addr) continue
      c.end()
      cores.delete(id)
      coreViews.delete(id)
      told.delete(id)
    }
    for (const [id, addr] of all) {
      if (cores.has(id)) continue
      const flag = makeFlag()
      const cancel = stop.watch(flag.fire)
      function end(): void {
        cancel()
        flag.fire()
      }
      coreViews.set(id, makeCoreView(world))
      cores.set(id, {
        held: makePersistentLink(world, addr, mine, makeTake(id), flag, makeOnCore(id)),
        addr,
        since: world.now(),
        end,
      })
    }
    void set.core?.adopt(next)
    if (first) return
    world.log.info('core-set-followed', {
      node: set.node,
      epoch: next.epoch,
      cores: next.cores.length,
      joint: next.next !== undefined,
    })
    linked.notify()
  }
  // Nobody of the set that is known here may be there any more: whoever knows a later one tells it.
  let looking = false
  async function lookAgain(): Promise<void> {
    if (looking) return
    looking = true
    const got = await askSeeds(world, seeds, coreSet.epoch)
    looking = false
    if (got) adopt(got.set)
  }
  // The first term isn't waited for longer than it takes to reach the cores.
  function makeOnCore(id: string) {
    function onCore(): void {
      subscription.linkedAnew(id)
      if (termUntil === 0) linked.notify()
    }
    return onCore
  }
  function makeTake(id: string) {
    function take(msg: unknown): undefined {
      const got = readAs(RegisterPush, msg)
      if (got.err) {
        metrics.add('claynotch_link_garbage_total')
        throw new Error('unknown word from a core')
      }
      const p = got.val
      pushNums.set(`${id} ${p.key}`, p.num)
      metrics.add('claynotch_agent_pushes_total')
      void takePush(id, p)
      return undefined
    }
    return take
  }
  async function takePush(id: string, push: RegisterPush): Promise<void> {
    await registers.takePush(id, push)
    tellAck(id, push.key)
  }
  // Tells one core that the proxy has applied what it has.
  function tellAck(id: string, key: string): void {
    const turn = acked.get(key)
    if (turn !== undefined) cores.get(id)?.held.tell({ t: 'ack', num: pushNums.get(`${id} ${key}`) ?? 0, key, turn })
  }
  function ackAll(key: string, version: number): void {
    if ((acked.get(key) ?? 0) >= version) return
    acked.set(key, version)
    for (const id of cores.keys()) tellAck(id, key)
  }

  // --- the term ---

  // All sights that stand, with their age. One is alive while this node hears it, or while a core that answers tells it.
  function allSights(group?: string): InstanceStatus[] {
    const out: InstanceStatus[] = []
    const now = world.now()
    for (const [name, one] of own)
      if (now - one.at > (one.sight.leaving ? LEAVING_LIFETIME_MS : ANNOUNCEMENT_LIFETIME_MS)) own.delete(name)
    for (const [name, one] of sights) {
      if (now - one.alive > ANNOUNCEMENT_LIFETIME_MS && !own.has(name)) sights.delete(name)
      else if (group === undefined || one.sight.group === group) out.push({ ...one.sight, age: now - one.at })
    }
    return out
  }
  function mergeSights(): void {
    const now = world.now()
    const before = new Map(sights)
    sights.clear()
    for (const [name, one] of own) sights.set(name, { ...one, alive: one.at })
    for (const coreView of coreViews.values()) {
      if (now - coreView.heard() > ANNOUNCEMENT_LIFETIME_MS) continue
      for (const [name, one] of coreView.instances()) {
        const old = sights.get(name)
        sights.set(name, { ...laterStatus(old, one.sight, one.at), alive: Math.max(old?.alive ?? 0, coreView.heard()) })
      }
    }
    // Who leads, and who goes, is looked at at once.
    for (const [name, one] of sights) {
      const old = before.get(name)?.sight
      if (one.sight.role !== old?.role || one.sight.leaving !== old.leaving) return duty.ring()
    }
  }
  // What this life of the core doesn't have of us yet.
  function renewalFor(
    id: string,
    coreView: CoreView,
    epoch: number,
  ): { msg: unknown; asked: string; keep: () => void } {
    const now = world.now()
    const old = told.get(id)
    const has = old && old.core === coreView.core() ? old : undefined
    const acks: [string, number][] = []
    for (const [key, version] of acked) if ((has?.acks.get(key) ?? 0) < version) acks.push([key, version])
    const highs: [string, number, number][] = []
    for (const [g, epoch, position] of proxy?.note?.highs ?? [])
      if (has?.highs.get(g) !== `${epoch}/${position}`) highs.push([g, epoch, position])
    const heardHere: InstanceStatus[] = []
    for (const one of own.values())
      if (!has || one.at >= has.sights) heardHere.push({ ...one.sight, age: now - one.at })
    const self = {
      area: set.area,
      addr: set.peer,
      operator: set.http ?? '',
      build: set.build,
      proxy: set.link !== undefined,
      ...(set.core ? { core: set.core.place() } : {}),
    }
    const selfText = JSON.stringify(self)
    const msg = {
      t: 'renew',
      epoch,
      node: set.node,
      life,
      core: coreView.core(),
      count: coreView.count(),
      acks,
      sights: heardHere,
      open: proxy?.note?.open ?? 0,
      highs,
      remembers: known.size > 0,
      ...(memberSources.has(id) ? {} : { brief: true }),
      ...(has?.self === selfText ? {} : { self }),
    }
    function keep(): void {
      const next =
        has && has.core === coreView.core()
          ? has
          : {
              core: coreView.core(),
              self: selfText,
              acks: new Map<string, number>(),
              highs: new Map<string, string>(),
              sights: 0,
            }
      next.self = selfText
      for (const [key, version] of acks) next.acks.set(key, version)
      for (const [g, epoch, position] of highs) next.highs.set(g, `${epoch}/${position}`)
      next.sights = Math.max(next.sights, now)
      told.set(id, next)
    }
    return { msg, asked: msg.core, keep }
  }
  // What was heard while a round ran is told by another at once, not with the next beat: its acknowledgement waits for it.
  async function renew(): Promise<void> {
    if (coreSet.cores.length === 0) await discover()
    while (coreSet.cores.length > 0 && !stop.fired()) {
      const round = telling.beginRound()
      const good = await renewOnce()
      telling.endRound(round, good)
      if (!good || !telling.isPending()) return
    }
  }
  // Whether a majority answered.
  async function renewOnce(): Promise<boolean> {
    const from = world.now()
    // All of it is under this set, whichever is known at its end.
    const under = coreSet
    const enough = quorumOf(under)
    async function ask(id: string, held: PersistentLink, coreView: CoreView): Promise<LeaseRenewalAnswer | undefined> {
      const { msg, asked, keep } = renewalFor(id, coreView, under.epoch)
      const got = readAs(LeaseRenewalAnswer, await held.ask(msg, LEASE_RENEWAL_TIMEOUT_MS))
      if (got.err) return undefined
      if (got.val.set) adopt(got.val.set)
      if (got.val.behind) held.tell({ t: 'set', set: under })
      // The core was removed meanwhile, and what it says is of no use.
      if (coreViews.get(id) !== coreView) return got.val.ok ? undefined : got.val
      if (got.val.ok && coreView.take(got.val, asked)) {
        keep()
        return got.val
      }
      if (!got.val.ok && got.val.unknown !== true) return got.val
      // The core was restarted, or has forgotten us: it is told everything and asked for everything.
      coreView.reset()
      told.delete(id)
      const whole = renewalFor(id, coreView, under.epoch)
      const again = readAs(LeaseRenewalAnswer, await held.ask(whole.msg, LEASE_RENEWAL_TIMEOUT_MS))
      if (again.err || !again.val.ok || !coreView.take(again.val, whole.asked)) return undefined
      whole.keep()
      return again.val
    }
    // What one told of members before, or didn't, doesn't fit what it tells now.
    for (const id of memberSources.choose(candidates())) coreViews.get(id)?.reset()
    const asks: { id: string; got: Promise<LeaseRenewalAnswer | undefined> }[] = []
    for (const [id, { held }] of cores) asks.push({ id, got: ask(id, held, coreViews.get(id)!) })
    function isOk(a: LeaseRenewalAnswer | undefined): boolean {
      return a?.ok === true
    }
    const all = await gatherQuorum(world, asks, enough, isOk, LEASE_RENEWAL_TIMEOUT_MS)
    const good = new Set<string>()
    for (const g of all) if (isOk(g.val)) good.add(g.id)
    // A core that knows our node under another life refuses: two agents run under one name.
    const replaced = all.some(isRefused)
    function isRefused(g: VoterAnswer<LeaseRenewalAnswer | undefined>): boolean {
      return g.val?.replaced === true
    }
    if (replaced) world.log.error('node-replaced', { node: set.node, life, why: 'another agent runs under this name' })
    if (!enough.met(good)) {
      metrics.add('claynotch_renewals_total', [['end', replaced ? 'replaced' : 'failed']])
      if (termUntil > 0 && world.now() > termUntil) {
        world.log.warn('term-lost', {
          node: set.node,
          answers: good.size,
          of: votersOf(under).length,
          epoch: under.epoch,
        })
        termUntil = 0
      }
      if (termUntil === 0) void lookAgain()
      return false
    }
    metrics.add('claynotch_renewals_total', [['end', 'good']])
    termUntil = Math.max(termUntil, from + LEASE_DURATION_MS)
    if (from - renewed > LEASE_DURATION_MS) setCurrent(false)
    renewed = from
    termed = true
    // A later set came while these answered: the term stands, what they tell is merged with the next answers.
    if (coreSet === under) merge(good, from)
    await feed()
    return true
  }
  // good: a majority that answered since from; their pictures are as new as those answers.
  function merge(good: Set<string>, from: number): void {
    const byNode = new Map<string, { line: MemberEntry; at: number }>()
    const tables = new Map<string, Map<string, RegisterSummary>>()
    for (const id of good) {
      const coreView = coreViews.get(id)!
      if (memberSources.has(id))
        for (const [node, one] of coreView.members())
          if (one.at > (byNode.get(node)?.at ?? -Infinity)) byNode.set(node, one)
      tables.set(id, coreView.registers())
    }
    // Those who tell of members may not be among the first to answer: what they told before stands until they do.
    if (byNode.size > 0) {
      members = []
      for (const one of byNode.values()) members.push(one.line)
      metrics.set('claynotch_agent_members', [], members.length)
    }
    mergeSights()
    registers.takeSummaries(tables, quorum(), from)
    judgeCurrent()
    void subscription.choose(sources(), coreSet.epoch)
  }
  function candidates(): Candidate[] {
    const out: Candidate[] = []
    for (const [id, { held, since }] of cores)
      out.push({ id, isUp: held.up(), heard: Math.max(since, coreViews.get(id)?.heard() ?? 0) })
    return out
  }
  // The cores as places to take pushes from.
  function sources(): SubscriptionSource[] {
    const areas = new Map<string, string>()
    for (const m of members) if (m.core) areas.set(m.core.id, m.area)
    const out: SubscriptionSource[] = []
    for (const [id, { held }] of cores) {
      const coreView = coreViews.get(id)!
      out.push({ id, held, heard: coreView.heard(), area: areas.get(id), lines: coreView.registers() })
    }
    return out
  }

  function setCurrent(to: boolean): void {
    current = to
    metrics.set('claynotch_agent_current', [], to ? 1 : 0)
  }
  function judgeCurrent(): void {
    if (current || registers.isBehind()) return
    setCurrent(true)
    duty.ring()
    mover.ring()
  }
  async function catchUp(): Promise<void> {
    await registers.catchUp()
    judgeCurrent()
    await feed()
  }

  // --- a share of the instances' connections ---

  let slotSince: { turn: number; at: number } | undefined
  let slotless = false
  // Wanted: a ready slot. Taken from those free, or from one whose node a majority knows to be gone.
  async function holdSlot(): Promise<void> {
    const size = config()?.config?.proxies
    // Shares by the live proxies need no slots.
    if (size === undefined || size === 'live' || set.link === undefined || world.now() >= termUntil) return
    const now = known.get(SHARES_KEY)?.value
    const slots = (now?.body as ConnectionShares | undefined)?.slots ?? []
    const mineAt = shareOf(slots, set.node)
    if (mineAt >= 0 && mineAt < size) {
      slotless = false
      if (slots[mineAt]?.ready) return
      if (slotSince?.turn !== now?.turn) slotSince = { turn: now!.turn, at: world.now() }
      // The node that had it has run out of its term by now, whatever it heard.
      if (world.now() - slotSince!.at > LEASE_DURATION_MS + 2 * LEASE_CLOCK_SLACK_MS)
        await putSlot(mineAt, true, size, new Set())
      return
    }
    const got = await askMembers()
    if (!got || !got.sure) return
    const version = known.get(CONFIG_KEY)?.value.turn ?? 0
    const live = new Set<string>()
    for (const m of got.members) {
      live.add(m.node)
      // Shares may be smaller by this configuration: who lends must have applied it first.
      if (shareOf(slots, m.node) >= 0 && (new Map(m.acks).get(CONFIG_KEY) ?? 0) < version) return
    }
    for (let k = 0; k < size; k++) {
      const s = slots[k]
      if (s && live.has(s.node)) continue
      await putSlot(k, !s, size, live)
      return
    }
    if (!slotless)
      world.log.warn('no-slot', {
        node: set.node,
        proxies: size,
        why: 'every share of connections is held by a live node',
      })
    slotless = true
  }
  async function putSlot(wish: number, ready: boolean, size: number, live: Set<string>): Promise<void> {
    const tag = `${set.node}~${life}~slot~${world.now()}`
    function edit(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      if (now?.tag === tag) return undefined
      const slots = [...((now?.body as ConnectionShares | undefined)?.slots ?? [])]
      while (slots.length < size) slots.push(null)
      const at = shareOf(slots, set.node)
      if (at >= 0 && at < size) {
        if (slots[at]?.ready || !ready || at !== wish) return undefined
        slots[at] = { node: set.node, ready: true }
        return { body: { slots }, tag }
      }
      if (at >= 0) slots[at] = null
      // Others claim at the same time: the first that is free now, else the one looked at before.
      let k = slots.slice(0, size).indexOf(null)
      const free = k >= 0
      if (!free) {
        if (ready || live.has(slots[wish]?.node ?? '')) return undefined
        k = wish
      }
      slots[k] = { node: set.node, ready: free }
      return { body: { slots }, tag }
    }
    const got = await proposer.change(SHARES_KEY, edit, ROUND_TIMEOUT_MS)
    if (got.done && got.value) learn(SHARES_KEY, got.value, got.ballot)
  }

  // --- the proxy ---

  // fed: when the proxy was fed last. unfed: a register changed since.
  let fed = -Infinity
  let unfed = false
  // Each renewal feeds as well: the loop only has to bring changes, and to go on while renewals fail.
  async function feedIfDue(): Promise<void> {
    if (unfed || world.now() - fed >= LEASE_RENEWAL_INTERVAL_MS / 2) await feed()
  }
  async function feed(): Promise<void> {
    const now = world.now()
    fed = now
    unfed = false
    if (!proxy) {
      // No proxy of this machine can be working: what is known counts as applied.
      if (now > given) for (const [key, k] of known) ackAll(key, k.value.turn)
      return
    }
    // Past changes and decisions are no matter of the proxy's.
    function fedBody(key: string, value: RegisterValue): unknown {
      return key === CONFIG_KEY ? inForce(value.body as Body) : value.body
    }
    const list: FedEntry[] = []
    for (const [key, k] of known) {
      // The voters are the agent's matter alone.
      if (key === CORESET_KEY) continue
      const until = Math.min(k.currentUntil, termUntil)
      const sent = proxy.sent.get(key) ?? 0
      list.push({ key, turn: k.value.turn, until, ...(sent < k.value.turn ? { body: fedBody(key, k.value) } : {}) })
      proxy.sent.set(key, k.value.turn)
      given = Math.max(given, until)
    }
    const moving = new Map<string, number>()
    const leaving = new Set<string>()
    const tries = new Map<string, [number, number]>()
    for (const hint of peers.hints()) {
      for (const [g, e] of hint.moving) moving.set(g, Math.max(e, moving.get(g) ?? 0))
      for (const name of hint.leaving) leaving.add(name)
      for (const [g, firsts, again] of hint.tries) {
        const old = tries.get(g) ?? [0, 0]
        tries.set(g, [old[0] + firsts, old[1] + again])
      }
    }
    const triesList: [string, number, number][] = []
    for (const [g, [a, b]] of tries) triesList.push([g, a, b])
    const word: AgentFeed = {
      t: 'feed',
      node: set.node,
      area: set.area,
      cells: list,
      sights: allSights(),
      moving: [...moving],
      leaving: [...leaving],
      tries: triesList,
      live: proxies(),
    }
    proxy.link.tell(word)
    metrics.add('claynotch_agent_feeds_total')
  }
  function serveProxy(peer: Hello, link: Link) {
    if (peer.kind !== 'proxy') throw new Error(`a ${peer.kind} dialled the proxy's link`)
    proxy?.link.close('another proxy came')
    proxy = { link, sent: new Map(), note: undefined, at: 0 }
    world.log.info('proxy-linked', { node: set.node })
    function take(msg: unknown): undefined {
      const got = readAs(ProxyReport, msg)
      if (got.err) {
        metrics.add('claynotch_link_garbage_total')
        throw new Error('unknown word from the proxy')
      }
      if (proxy?.link !== link) return undefined
      metrics.add('claynotch_agent_notes_total')
      const first = proxy.note === undefined
      const before = proxy.note?.bad ?? []
      proxy.note = got.val
      proxy.at = world.now()
      // That an instance began to fail is told at once; how long it has been, with the beats.
      if ((got.val.bad ?? []).some(isNew)) {
        peers.ring()
        duty.ring()
      }
      function isNew([name]: [string, number]): boolean {
        for (const [old] of before) if (old === name) return false
        return true
      }
      for (const [key, version] of got.val.acks) ackAll(key, version)
      if (first) void feed()
      return undefined
    }
    return take
  }
  function lostProxy(_peer: Hello, link: Link): void {
    if (proxy?.link === link) {
      proxy = undefined
      world.log.warn('proxy-lost', { node: set.node })
    }
  }

  // --- the other edges ---

  // false: not kept, as more are known here than are kept.
  function heard(a: Announcement): boolean {
    const old = sights.get(a.name)
    metrics.add('claynotch_announcements_total')
    if (!old && sights.size >= MAX_KNOWN_INSTANCES) {
      metrics.add('claynotch_announcements_dropped_total')
      return false
    }
    const leaving = a.leaving === true || a.gone === true
    // Whatever it said before it went comes before that.
    const sequence = a.gone === true ? LAST_SEQUENCE : a.sequence
    const next: InstanceStatus = {
      name: a.name,
      group: a.group,
      addr: a.addr,
      area: a.area,
      role: a.role,
      leaving,
      gone: 0,
      age: 0,
      ...(sequence === undefined ? {} : { sequence }),
    }
    const now = world.now()
    const mine = own.get(a.name)
    const mineNow = laterStatus(mine, next, now)
    own.set(a.name, mineNow)
    // That it leaves is told by whoever acknowledges it: what one core told us may be known to that core alone.
    if (mineNow.sight.leaving && mine?.sight.leaving !== true) {
      telling.changed(a.name)
      linked.notify()
    }
    const got = laterStatus(old, next, now)
    sights.set(a.name, { ...got, alive: now })
    if (got.sight.leaving && !old?.sight.leaving)
      world.log.info('instance-leaving', { instance: a.name, group: a.group })
    // News goes to the proxy and to the cores at once, all else with the next beat.
    if (
      got.sight.leaving !== old?.sight.leaving ||
      got.sight.role !== old.sight.role ||
      got.sight.addr !== old.sight.addr ||
      got.sight.group !== old.sight.group
    ) {
      telling.changed(a.name)
      linked.notify()
      duty.ring()
      void feed()
    }
    return true
  }
  // Why an instance's word can't be acknowledged, as no majority has been told of it.
  async function untold(name: string): Promise<string | undefined> {
    const why = ready()
    if (why !== undefined) return why
    if (!(await telling.acknowledged(name, CHANGE_ANSWER_TIMEOUT_MS))) return 'no majority of cores could be told of it'
    return ready()
  }
  // An instance's last word, of which it tells nothing but its name. false: nobody here knows it.
  function left(name: string): boolean {
    const one = sights.get(name)?.sight
    if (one)
      heard({
        name,
        group: one.group,
        addr: one.addr,
        area: one.area,
        role: one.role === 'leader' ? 'leader' : 'follower',
        gone: true,
      })
    return one !== undefined
  }
  function peerList(): Peer[] {
    const out: Peer[] = []
    for (const m of members) out.push({ node: m.node, addr: m.addr, proxy: m.proxy })
    return out
  }
  // What others need to know: those that the records name.
  function ofLeaders(list: [string, number][]): [string, number][] {
    const names = new Set<string>()
    for (const g of groups()) {
      const rec = registerValue(groupKey(g))?.body as GroupRecord | undefined
      for (const name of [rec?.leader, rec?.old, rec?.candidate]) if (name !== undefined) names.add(name)
    }
    const age = world.now() - (proxy?.at ?? 0)
    const out: [string, number][] = []
    for (const [name, ms] of list) if (names.has(name)) out.push([name, ms + age])
    return out
  }
  // duties: the groups whose duty falls to each node, as of the last summary.
  const duties = new Map<string, Set<string>>()
  function sayAll(): Omit<Summary, 'seen' | 'bad'> {
    duties.clear()
    const nodes = live()
    for (const g of groups()) {
      const holder = holderOf(groupKey(g), nodes)
      if (holder !== undefined) duties.set(holder, (duties.get(holder) ?? new Set<string>()).add(g))
    }
    const leaving: string[] = []
    for (const one of sights.values()) if (one.sight.leaving) leaving.push(one.sight.name)
    const note = proxy?.note
    const moving: [string, number][] = [...(note?.moving ?? [])]
    for (const g of groups()) {
      const rec = registerValue(groupKey(g))?.body as GroupRecord | undefined
      if (rec && rec.phase !== 'steady') moving.push([g, rec.epoch])
    }
    // Without a term what is known of leaders and instances may have been passed long ago; what the proxy measured stands.
    const current = world.now() < termUntil
    return {
      v: SUMMARY_VERSION,
      node: set.node,
      area: set.area,
      num: ++sumNum,
      moving: current ? moving : [],
      leaving: current ? leaving : [],
      tries: note?.tries ?? [],
    }
  }
  // Who holds a group's duty is told what this node's proxy saw of its leaders.
  function seenFor(node: string): { seen: [string, number][]; bad: [string, number][] } {
    const held = duties.get(node)
    if (!held) return { seen: [], bad: [] }
    function ofHeld(list: [string, number][]): [string, number][] {
      const out: [string, number][] = []
      for (const [name, ms] of list) {
        const group = sights.get(name)?.sight.group
        if (group === undefined || held!.has(group)) out.push([name, Math.round(ms)])
      }
      return out
    }
    const note = proxy?.note
    return {
      seen: ofHeld(ofLeaders(note?.seen ?? [])),
      bad: proxy && note?.bad ? ofHeld([...aged(note.bad, world.now() - proxy.at)]) : [],
    }
  }
  async function askMembers(): Promise<{ members: Member[]; sure: boolean } | undefined> {
    const enough = quorum()
    async function ask(held: PersistentLink): Promise<MembersAnswer | undefined> {
      const got = readAs(MembersAnswer, await held.ask({ t: 'members', epoch: enough.epoch }, LEASE_RENEWAL_TIMEOUT_MS))
      return got.ok && got.val.ok ? got.val : undefined
    }
    function isOk(a: MembersAnswer | undefined): boolean {
      return a !== undefined
    }
    const asks: { id: string; got: Promise<MembersAnswer | undefined> }[] = []
    for (const [id, { held }] of cores) asks.push({ id, got: ask(held) })
    const good = new Set<string>()
    const got: MembersAnswer[] = []
    for (const { id, val } of await gatherQuorum(world, asks, enough, isOk, LEASE_RENEWAL_TIMEOUT_MS)) {
      if (!val) continue
      good.add(id)
      got.push(val)
    }
    if (!enough.met(good)) return undefined
    const byNode = new Map<string, Member>()
    let sure = true
    for (const a of got) {
      if (!a.sure) sure = false
      for (const m of a.members) {
        const old = byNode.get(m.node)
        if (!old) {
          byNode.set(m.node, m)
          continue
        }
        // An acknowledgement counted by any core is one; it was told to all and may have reached only some.
        const acks = new Map(old.acks)
        for (const [key, version] of m.acks) acks.set(key, Math.max(version, acks.get(key) ?? 0))
        byNode.set(m.node, { ...m, acks: [...acks], highs: [...old.highs, ...m.highs] })
      }
    }
    return { members: [...byNode.values()], sure }
  }
  // Who may hold duties: members that serve operators, as they hear announcements first.
  function live(): string[] {
    const out: string[] = []
    for (const m of members) if (m.operator !== '') out.push(m.node)
    return out
  }
  function proxies(): number {
    let count = 0
    for (const m of members) if (m.proxy) count++
    return Math.max(1, count)
  }
  function reports(): InstanceObservations[] {
    const out: InstanceObservations[] = []
    for (const h of peers.hints()) out.push({ goodAgeMs: new Map(h.seen), badAgeMs: new Map(h.bad ?? []) })
    if (!proxy?.note) return out
    const age = world.now() - proxy.at
    out.push({ goodAgeMs: aged(proxy.note.seen, age), badAgeMs: aged(proxy.note.bad ?? [], age) })
    return out
  }
  function aged(list: [string, number][], by: number): Map<string, number> {
    const out = new Map<string, number>()
    for (const [name, ms] of list) out.set(name, ms + by)
    return out
  }
  // failing: whom each node told to fail when last heard; a new one is looked at now, not at the next beat.
  const failing = new Map<string, Set<string>>()
  function heardPeer(sum: Summary): void {
    const before = failing.get(sum.node)
    const now = new Set<string>()
    for (const [name] of sum.bad ?? []) now.add(name)
    // Names come from the network: never more than a fleet has.
    if (failing.size > MAX_KNOWN_INSTANCES) failing.clear()
    if (now.size > 0) failing.set(sum.node, now)
    else failing.delete(sum.node)
    for (const name of now) if (!before?.has(name)) return duty.ring()
  }
  function termNow(): number {
    return termUntil
  }
  // Up to when this node may hold duties: not before it knows what was settled while it was away.
  function dutyUntil(): number {
    return current ? termUntil : 0
  }
  function platformNow(): Address | undefined {
    return platform
  }
  const view = {
    node: set.node,
    suspect: set.suspect ?? SUSPICION_TIMEOUT_MS,
    instance: edges.instance,
    promotion: edges.promotion,
    platform: platformNow,
    proposer,
    leaseExpiresAt: dutyUntil,
    live,
    groups,
    register: registerValue,
    learn,
    instancesOf: allSights,
    reports,
    askMembers,
    body: config,
    metrics: metrics,
  }
  // Only a node that serves operators is ever live() and so holds duties; on any other, a task for each group would only look.
  const mayHoldDuties = set.http !== undefined
  const duty = mayHoldDuties ? startFailover(world, view, stop) : { ring: noop }
  const mover = mayHoldDuties ? startRouteMoves(world, view, stop) : { ring: noop }
  function coreNow(id: string): { held: PersistentLink; heard: number } | undefined {
    const c = cores.get(id)
    return c ? { held: c.held, heard: Math.max(coreViews.get(id)?.heard() ?? 0, c.since) } : undefined
  }
  // Core machines that are no voters, with the token under which they may become one.
  function spares(): CorePlace[] {
    const out: CorePlace[] = []
    for (const m of members) if (m.core?.token !== undefined && !cores.has(m.core.id)) out.push(m.core)
    return out
  }
  function coreSetOf(): { set: CoreSet; since: number } {
    return { set: coreSet, since: coreSetSince }
  }
  const coreSetView = {
    node: set.node,
    proposer,
    leaseExpiresAt: dutyUntil,
    live,
    learn,
    coreSet: coreSetOf,
    core: coreNow,
    spares,
    mostVoters: set.mostVoters ?? MAX_VOTERS,
  }
  if (mayHoldDuties) startCoreSetDuty(world, coreSetView, stop)
  const peers = await startPeers(world, set.peer, stop, peerList, { all: sayAll, seenFor }, metrics, heardPeer)

  // Undefined: no majority of cores answered.
  async function readMembers(): Promise<unknown> {
    const got = await askMembers()
    if (!got) return undefined
    const out: unknown[] = []
    for (const m of got.members) {
      const behind: { key: string; has: number; present: number }[] = []
      const acks = new Map(m.acks)
      for (const [key, k] of known)
        if (key !== CORESET_KEY && (acks.get(key) ?? 0) < k.value.turn)
          behind.push({ key, has: acks.get(key) ?? 0, present: k.value.turn })
      out.push({ node: m.node, area: m.area, build: m.build, operator: m.operator, sessions: m.open, behind })
    }
    return out
  }
  function readCores(): Promise<CoreStatus | undefined> {
    return readCoreStatus(world, { coreSet: coreSetNow, core: coreNow, spares })
  }
  function readGroups(): unknown {
    const out: unknown[] = []
    const lags = new Map(proxy?.note?.lags ?? [])
    for (const g of groups()) {
      const instances: unknown[] = []
      for (const s of allSights(g))
        instances.push({
          name: s.name,
          addr: s.addr,
          area: s.area,
          role: s.role,
          leaving: s.leaving,
          age: Math.round(s.age),
          lag: lags.get(s.name),
        })
      out.push({ name: g, record: registerValue(groupKey(g))?.body ?? null, instances })
    }
    return out
  }
  async function replace(group: string, to: string | undefined): Promise<{ ok: boolean; why: string }> {
    if (!groups().includes(group)) return { ok: false, why: `no group is named ${group}` }
    const tag = `${set.node}~wish~${world.now()}`
    let why = ''
    function edit(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      if (now?.tag === tag) return undefined
      const rec = now?.body as GroupRecord | undefined
      why = !rec
        ? 'the group has no leader yet'
        : rec.phase !== 'steady'
          ? `the group is in phase ${rec.phase}`
          : rec.leader === to
            ? `${to} leads already`
            : ''
      if (why !== '' || !rec) return undefined
      return { body: { ...rec, wish: { to: to ?? '' } }, tag }
    }
    const got = await proposer.change(groupKey(group), edit)
    if (!got.done) return { ok: false, why: 'unclear: no majority of cores settled it in time' }
    if (got.value) learn(groupKey(group), got.value, got.ballot)
    return { ok: why === '', why }
  }
  // A move needs a target that is led and, unless an operator will say so, tells itself what it holds of the source.
  async function hinders(edits: Edit[]): Promise<Finding[]> {
    const out: Finding[] = []
    // A program of before moves would acknowledge one without heeding it.
    if (edits.some(isMove))
      for (const m of members)
        if (m.build !== set.build)
          out.push({
            place: `member ${m.node}`,
            what: `runs build ${m.build}, not ${set.build}: finish the roll-out of programs before lanes are moved`,
          })
    function isMove(e: Edit): boolean {
      return e.op === 'move'
    }
    for (const [k, e] of edits.entries()) {
      // A group that isn't there at all is found out when the change is decided; one that this change makes is led by nobody yet.
      if (e.op !== 'move' || (!groups().includes(e.to) && !edits.some(isMade))) continue
      function isMade(x: Edit): boolean {
        return (
          x.op === 'put' &&
          x.what === 'group' &&
          e.op === 'move' &&
          (x.value as { name?: unknown } | null)?.name === e.to
        )
      }
      const rec = registerValue(groupKey(e.to))?.body as GroupRecord | undefined
      if (rec?.leader === undefined || rec.addr === undefined) {
        out.push({ place: `/edits/${k}/to`, what: `the group ${e.to} has no leader` })
        continue
      }
      if (e.proof === 'confirmed') continue
      const got = await edges.instance.status(
        world,
        { name: rec.leader, group: e.to, addr: rec.addr },
        SAMPLE_TIMEOUT_MS,
      )
      const from = new Set<string>()
      for (const lane of meantBy(e, config()?.config)) from.add(lane.group)
      if (got.err) out.push({ place: `/edits/${k}/to`, what: `the leader of ${e.to} can't be asked: ${got.val}` })
      else
        for (const g of from)
          if (g !== e.to && got.val.source?.group !== g)
            out.push({
              place: `/edits/${k}/to`,
              what: `the leader of ${e.to} doesn't report that it holds anything of ${g} (STATUS rows source, source_epoch, source_position); else give proof "confirmed"`,
            })
    }
    return out
  }
  function credentials(): Credential[] | undefined {
    return operators
  }
  if (operators === undefined && set.http !== undefined)
    world.log.warn('operators-open', { why: 'no operators in the settings: anyone may change the configuration' })
  const operator = makeOperatorEdge(
    world,
    proposer,
    { members: readMembers, cores: readCores, groups: readGroups, replace, hinders, body: config, news },
    metrics,
    credentials,
  )
  function ready(): string | undefined {
    if (stop.fired()) return 'draining'
    return world.now() < termUntil ? undefined : 'no valid term'
  }
  function coreSetNow(): CoreSet {
    return coreSet
  }
  // The term ran out: no majority has answered for that long, and callers are better off elsewhere at once. A process that
  // has just started, and never had one, may still reach them.
  function isCutOff(): boolean {
    return termed && world.now() >= termUntil
  }
  // Both answer in time for a caller that goes elsewhere after a second; what is under way ends by itself.
  async function change(stream: string, one: Change): Promise<Verdict> {
    const order = { stream, change: one }
    const verdict = isCutOff() ? unclear(order, 'this machine reaches no majority of cores') : await decideOn(order)
    metrics.add('claynotch_decisions_total', [['decision', verdict.decision]])
    return verdict
  }
  async function decideOn(order: Order): Promise<Verdict> {
    const got = await withTimeout(
      world,
      CHANGE_ANSWER_TIMEOUT_MS,
      makeDecision(proposer, order, CHANGE_ANSWER_TIMEOUT_MS),
    )
    return got === TIMED_OUT ? unclear(order, 'no majority of cores settled it in time') : got
  }
  // Whoever asks while a look runs shares the next, which starts after all of them asked, so that a crowd of readers
  // makes no more than one at a time.
  let reading: Promise<unknown> = Promise.resolve()
  let shared: Promise<Body | undefined> | undefined
  function startRead(): Promise<Body | undefined> {
    shared = undefined
    const got = readOnce()
    reading = got.catch(noop)
    return got
  }
  async function readOnce(): Promise<Body | undefined> {
    const got = await proposer.look(CONFIG_KEY, CHANGE_ANSWER_TIMEOUT_MS)
    return got.done ? ((got.value?.body as Body | undefined) ?? emptyBody()) : undefined
  }
  async function readBody(): Promise<Body | undefined> {
    if (isCutOff()) return undefined
    shared ??= reading.then(startRead)
    const got = await withTimeout(world, CHANGE_ANSWER_TIMEOUT_MS, shared)
    return got === TIMED_OUT ? undefined : got
  }
  const desk: ControlService = {
    metrics: metrics,
    heardInstance: heard,
    instanceLeft: left,
    reportFailure: untold,
    change,
    read: readBody,
    body: config,
    coreSet: coreSetNow,
    ready,
    operator,
  }
  const http = set.http !== undefined ? await edges.control(world, set.http, desk) : undefined
  const listener =
    set.link !== undefined ? await world.listen(set.link, acceptLinks(world, mine, serveProxy, lostProxy)) : undefined

  void loop(world, 'renew', LEASE_RENEWAL_INTERVAL_MS, stop, renew, linked)
  // A ring of the bell between two beats must not be lost: the loop looks at what is wanted, not at the ring.
  void loop(world, 'catch-up', LEASE_RENEWAL_INTERVAL_MS / 4, stop, catchUpIfNeeded, lag)
  async function catchUpIfNeeded(): Promise<void> {
    if (registers.isBehind()) await catchUp()
  }
  void loop(world, 'feed', LEASE_RENEWAL_INTERVAL_MS, stop, feedIfDue, news)
  void loop(world, 'slot', LEASE_RENEWAL_INTERVAL_MS, stop, holdSlot, news)
  world.log.info('agent-started', { node: set.node, area: set.area, http: set.http ?? 'none' })

  async function end(): Promise<void> {
    // A proxy of this machine that is told to stop as well has calls to end under this machine's term.
    const until = world.now() + SHUTDOWN_TIMEOUT_MS
    if (proxy) await pause(world, PROXY_REPORT_INTERVAL_MS)
    while (proxy?.note?.leaving === true && world.now() < until) await pause(world, PROXY_REPORT_INTERVAL_MS / 6)
    // The term is given up only when no proxy can be working under it; else it runs out by itself.
    if (!proxy && world.now() > given)
      for (const { held } of cores.values()) held.tell({ t: 'leave', node: set.node, life })
    await pause(world, 20)
    stop.fire()
    proxy?.link.close()
    await Promise.all([http?.close(), listener?.close(), peers.close()])
  }
  // What a changed settings file may change while we run.
  function apply(next: { seeds: Address[]; platform: Address | undefined; operators: Credential[] | undefined }): void {
    operators = next.operators
    seeds = next.seeds
    platform = next.platform
  }
  return { stop: end, metrics: metrics, leaseExpiresAt: termNow, register: registerValue, apply }
}
