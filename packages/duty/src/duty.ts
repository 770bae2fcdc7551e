import {
  ANNOUNCEMENT_LIFETIME_MS,
  LEADER_PROBE_INTERVAL_MS,
  PROMOTION_DONE_DELAY_MS,
  PROMOTION_REFUSED_DELAY_MS,
  PROMOTION_UNCLEAR_DELAY_MS,
  CANDIDATE_TIMEOUT_MS,
  CATCH_UP_TIMEOUT_MS,
  DEMOTION_INTERVAL_MS,
  DRAIN_TIMEOUT_MS,
  FAILOVER_INTERVAL_MS,
  GOOD_OBSERVATION_MS,
  OBSERVATION_SKEW_MS,
  HOME_RETURN_DELAY_MS,
  MISSING_COMMITS_WAIT_MS,
  loop,
  makeSignal,
  makeFlag,
  PROMOTION_INTERVAL_MS,
  NEWER_INSTANCE_MS,
  LEADER_PROBE_TIMEOUT_MS,
  CANDIDATE_PROBE_INTERVAL_MS,
  SUSPECT_PROBE_TIMEOUT_MS,
  CONFIRMED_SUSPICION_TIMEOUT_MS,
  TAKEOVER_DOUBT_MS,
  LEASE_DURATION_MS,
  LEASE_CLOCK_SLACK_MS,
  type Signal,
  type Flag,
  type Metrics,
  type World,
} from '@claynotch/base'
import { BUSY, comparePositions, type InstanceAdapter, type LogPosition, type Status } from '@claynotch/instance'
import type { Body } from '@claynotch/operator'
import type { PromotionEdge } from '@claynotch/host'
import { onePerGroup } from './promotion-calls.js'
import {
  groupKey,
  type GroupRecord,
  type Member,
  type Proposer,
  type InstanceStatus,
  type RegisterValue,
} from '@claynotch/register'

// good: ms since each instance last answered this node. bad: ms since the first send that failed there, or still waits,
// with no sign of life after it.
export type InstanceObservations = { goodAgeMs: Map<string, number>; badAgeMs: Map<string, number> }

export type FailoverView = {
  node: string
  // ms without a good answer after which a leader is suspected.
  suspect: number
  instance: InstanceAdapter
  promotion: PromotionEdge
  // Where the promotion call goes.
  platform: () => string | undefined
  proposer: Proposer
  leaseExpiresAt: () => number
  live: () => string[]
  groups: () => string[]
  register: (key: string) => RegisterValue | undefined
  learn: (key: string, value: RegisterValue, ballot: [number, string]) => void
  // What is known of the group's instances.
  instancesOf: (group: string) => InstanceStatus[]
  // What the nodes that have a proxy told last.
  reports: () => InstanceObservations[]
  // A majority's word on the members; undefined without a majority.
  askMembers: () => Promise<{ members: Member[]; isComplete: boolean } | undefined>
  // The configuration as this node knows it.
  body: () => Body | undefined
  metrics: Metrics
}

function hash(text: string): number {
  let h = 0x811c9dc5
  for (let k = 0; k < text.length; k++) h = Math.imul(h ^ text.charCodeAt(k), 0x01000193) >>> 0
  h = Math.imul(h ^ (h >>> 15), 0x2c1b3c6d) >>> 0
  return (h ^ (h >>> 13)) >>> 0
}

// The live node that a key's duty falls to: highest hash of both names, so that one node's coming
// or going moves only the keys that it takes or leaves.
export function holderOf(key: string, live: string[]): string | undefined {
  let best: string | undefined
  let most = -1
  for (const node of [...live].sort()) {
    const h = hash(`${node}|${key}`)
    if (h > most) {
      most = h
      best = node
    }
  }
  return best
}

// The number in which an instance says that it leads or follows: its own where it counts leaders, else that of its place.
export function leaderEpochOf(status: Status): number {
  return status.epoch ?? status.mark.epoch
}
// Whether it leads as the record says.
export function leadsAs(rec: GroupRecord, status: Status): boolean {
  return status.role === 'leader' && leaderEpochOf(status) === (rec.term ?? rec.epoch)
}

// What nodes told of one instance. hears: at how many its last word was good, no longer ago than HINT_GOOD and after the
// trouble of most others began. since: for how long it has failed at two nodes, or at the only one that tells of it.
export type Evidence = { good: number; hears: number; bad: number; since: number }
export function weighEvidence(reports: InstanceObservations[], name: string): Evidence {
  const bads: number[] = []
  const goods: number[] = []
  for (const r of reports) {
    const bad = r.badAgeMs.get(name)
    const good = r.goodAgeMs.get(name)
    if (bad !== undefined) bads.push(bad)
    else if (good !== undefined && good < GOOD_OBSERVATION_MS) goods.push(good)
  }
  bads.sort(byMost)
  const since = bads[Math.min(1, bads.length - 1)] ?? 0
  let hears = 0
  const middle = bads[Math.floor(bads.length / 2)] ?? 0
  for (const age of goods) if (age + OBSERVATION_SKEW_MS < middle) hears++
  return { good: goods.length, hears, bad: bads.length, since }
}
function byMost(a: number, b: number): number {
  return b - a
}

type Seen = { name: string; addr: string; status: Status }

// What the holder remembers of one group between beats; lost with it, and nothing rests on it.
// leaderOk, candidateOk: when each was last known to be as it should. since: when this turn was first seen here.
// asked: when the leader was last asked and whether it answered well. called: the latest promotion call for this record. pace: ms between looks while it waits for instances.
// homeSince: since when an instance of a home area has been well, while the leader lives elsewhere.
type Memory = {
  turn: number
  since: number
  leader: string | undefined
  leaderOk: number
  tookOver: number | undefined
  candidateOk: number
  suspected: boolean
  homeSince?: number
  asked?: { at: number; well: boolean }
  called?: { at: number; pause: number }
  pace?: number
}

export function startFailover(world: World, view: FailoverView, stop: Flag): { ring: () => void } {
  const bells = new Map<string, Signal>()
  const ends = new Map<string, Flag>()
  const promote = onePerGroup(view.promotion)

  // Wanted: one task for each configured group. The loop starts and ends tasks accordingly.
  function tend(): void {
    const wanted = new Set(view.groups())
    for (const name of wanted) {
      if (ends.has(name)) continue
      const end = makeFlag()
      const signal = makeSignal()
      ends.set(name, end)
      bells.set(name, signal)
      stop.watch(end.fire)
      tendGroup(world, view, promote, name, end, signal)
    }
    for (const [name, end] of ends) {
      if (wanted.has(name)) continue
      end.fire()
      ends.delete(name)
      bells.delete(name)
    }
  }
  void loop(world, 'duty', FAILOVER_INTERVAL_MS, stop, tend)
  function ring(): void {
    for (const signal of bells.values()) signal.notify()
  }
  return { ring }
}

// Whether each proxy stopped: all acknowledged this turn of the register, or any that did not has run out of its term.
export async function haveStopped(
  world: World,
  view: Pick<FailoverView, 'askMembers'>,
  key: string,
  version: number,
  since: number,
): Promise<boolean> {
  if (world.now() - since > LEASE_DURATION_MS + 2 * LEASE_CLOCK_SLACK_MS) return true
  const got = await view.askMembers()
  if (!got || !got.isComplete) return false
  for (const m of got.members) if (!hasAcked(m, key, version)) return false
  return true
}
function hasAcked(m: Member, key: string, version: number): boolean {
  for (const [k, at] of m.acks) if (k === key && at >= version) return true
  return false
}

export function addressOf(
  view: Pick<FailoverView, 'instancesOf'>,
  group: string,
  name: string,
  recorded: string,
): string {
  for (const s of view.instancesOf(group)) if (s.name === name) return s.addr
  return recorded
}

function tendGroup(
  world: World,
  view: FailoverView,
  promote: PromotionEdge,
  group: string,
  stop: Flag,
  signal: Signal,
): void {
  const key = groupKey(group)
  let memory: Memory | undefined
  let count = 0
  // firstSeen: when this node first knew of each instance of the group that is announced now.
  const firstSeen = new Map<string, number>()
  // demoted: when each instance that leads beside the record's leader was last told to step down.
  const demoted = new Map<string, number>()

  // Compare and set against the turn that was read. undefined: unclear, look again.
  async function put(version: number, body: GroupRecord): Promise<boolean | undefined> {
    const tag = `${view.node}~${world.now()}~${++count}`
    function edit(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      if (now?.tag === tag || (now?.turn ?? 0) !== version) return undefined
      return { body, tag }
    }
    const got = await view.proposer.change(key, edit)
    if (!got.done) return undefined
    if (got.value) view.learn(key, got.value, got.ballot)
    const won = got.value?.tag === tag
    if (won) {
      view.metrics.add('claynotch_duty_records_total', [
        ['group', group],
        ['phase', body.phase],
      ])
      world.log.info('group-record', {
        group,
        phase: body.phase,
        epoch: body.epoch,
        leader: body.leader,
        candidate: body.candidate,
        holder: body.holder,
        fence: body.fence,
        note: body.note,
      })
    }
    return won
  }
  function sightsHere(): InstanceStatus[] {
    return view.instancesOf(group)
  }
  function sightOf(name: string): InstanceStatus | undefined {
    for (const s of sightsHere()) if (s.name === name) return s
    return undefined
  }
  function remember(): void {
    const here = new Set<string>()
    for (const s of sightsHere()) {
      here.add(s.name)
      if (!firstSeen.has(s.name)) firstSeen.set(s.name, world.now())
    }
    for (const name of firstSeen.keys()) if (!here.has(name)) firstSeen.delete(name)
    for (const name of demoted.keys()) if (!here.has(name)) demoted.delete(name)
  }
  // Commits that were told may be missing at the furthest instance: are they waited for, and how long?
  function lossWait(): number {
    for (const g of view.body()?.config?.groups ?? []) {
      if (g.name !== group || g.sync === undefined) continue
      // Followers hold each of them before it is told: it turns up. Without that, the loss is accepted where it is asked for.
      return g.sync > 0 ? Infinity : 0
    }
    return MISSING_COMMITS_WAIT_MS
  }
  // Tells an instance to follow; nothing rests on it, as no proxy sends it writes any more.
  async function demote(who: { name: string; addr: string }, epoch: number): Promise<Status | undefined> {
    if (!view.instance.demote || world.now() - (demoted.get(who.name) ?? -DEMOTION_INTERVAL_MS) < DEMOTION_INTERVAL_MS)
      return undefined
    demoted.set(who.name, world.now())
    const got = await view.instance.demote(world, { ...who, group }, epoch, LEADER_PROBE_TIMEOUT_MS)
    world.log.info('instance-demoted', { group, instance: who.name, epoch, end: got.ok ? got.val.role : got.val })
    return got.ok && got.val.name === who.name ? got.val : undefined
  }
  // brief: one that is suspected, and is not waited for as long as the others.
  // Where an instance says that it is goes before where the record says it was.
  function addrOf(name: string, recorded: string): string {
    return addressOf(view, group, name, recorded)
  }
  // busy: runs for each that lives and has no time to tell.
  async function look(instances: { name: string; addr: string }[], brief?: string, busy?: () => void): Promise<Seen[]> {
    async function one(s: { name: string; addr: string }): Promise<Seen | undefined> {
      const got = await view.instance.status(
        world,
        { ...s, group },
        s.name === brief ? SUSPECT_PROBE_TIMEOUT_MS : LEADER_PROBE_TIMEOUT_MS,
      )
      if (got.err && got.val === BUSY) busy?.()
      // Another instance may answer at an address that was used before.
      return got.ok && got.val.name === s.name ? { name: s.name, addr: s.addr, status: got.val } : undefined
    }
    const out: Seen[] = []
    for (const got of await Promise.all(instances.map(one))) if (got) out.push(got)
    return out
  }
  function home(): string[] {
    for (const g of view.body()?.config?.groups ?? []) if (g.name === group) return g.home ?? []
    return []
  }
  function isHome(name: string): boolean {
    for (const s of sightsHere()) if (s.name === name) return home().includes(s.area)
    return false
  }
  // The most caught-up of those seen, among equals one at home; the old leader only where it is strictly ahead of all others.
  function furthest(seen: Seen[], old: string | undefined): Seen | undefined {
    let best: Seen | undefined
    for (const s of seen) {
      if (!best) {
        best = s
        continue
      }
      const by = comparePositions(s.status.mark, best.status.mark)
      if (by > 0 || (by === 0 && goesBefore(s.name, best.name, old))) best = s
    }
    return best
  }
  function goesBefore(a: string, b: string, old: string | undefined): boolean {
    if (a === old || b === old) return b === old
    if (isHome(a) !== isHome(b)) return isHome(a)
    const by = (firstSeen.get(a) ?? 0) - (firstSeen.get(b) ?? 0)
    return Math.abs(by) > NEWER_INSTANCE_MS ? by > 0 : a < b
  }
  // Whom to bring the leader home to, once someone there has been well for long enough.
  async function homeward(rec: GroupRecord, memory: Memory): Promise<string | undefined> {
    if (home().length === 0 || isHome(rec.leader as string)) return undefined
    const near: InstanceStatus[] = []
    for (const s of sightsHere()) if (!s.leaving && home().includes(s.area)) near.push(s)
    const well: Seen[] = []
    for (const s of await look(near))
      if (s.status.role === 'follower' && leaderEpochOf(s.status) === (rec.term ?? rec.epoch)) well.push(s)
    if (well.length === 0) delete memory.homeSince
    else memory.homeSince ??= world.now()
    return memory.homeSince !== undefined && world.now() - memory.homeSince > HOME_RETURN_DELAY_MS
      ? furthest(well, undefined)?.name
      : undefined
  }
  function stopped(version: number, since: number): Promise<boolean> {
    return haveStopped(world, view, key, version, since)
  }
  async function highest(): Promise<LogPosition | undefined> {
    const got = await view.askMembers()
    let best: LogPosition | undefined
    for (const m of got?.members ?? []) {
      for (const [g, epoch, position] of m.highs)
        if (g === group && (!best || comparePositions({ epoch, position }, best) > 0)) best = { epoch, position }
    }
    return best
  }

  async function begin(): Promise<boolean> {
    const said: InstanceStatus[] = []
    for (const s of sightsHere()) if (s.role === 'leader') said.push(s)
    memory ??= {
      turn: 0,
      since: world.now(),
      leader: undefined,
      leaderOk: 0,
      tookOver: undefined,
      candidateOk: 0,
      suspected: false,
    }
    // Those that say they lead are asked; all only when none does, after announcements had time to come in.
    const waited = world.now() - memory.since >= view.suspect
    if (said.length === 0 && !waited) return false
    const seen = await look(waited ? sightsHere() : said)
    const heads: Seen[] = []
    for (const s of seen) if (s.status.role === 'leader') heads.push(s)
    let first = furthest(heads, undefined)
    for (const s of heads) if (first && leaderEpochOf(s.status) > leaderEpochOf(first.status)) first = s
    if (first) {
      const term = first.status.epoch
      return (
        (await put(0, {
          epoch: leaderEpochOf(first.status),
          phase: 'steady',
          holder: view.node,
          fence: 1,
          leader: first.name,
          addr: first.addr,
          ...(term === undefined ? {} : { term }),
        })) === true
      )
    }
    if (!waited) return false
    const best = furthest(seen, undefined)
    if (!best) return false
    return (
      (await put(0, {
        epoch: leaderEpochOf(best.status) + 1,
        phase: 'stop',
        holder: view.node,
        fence: 1,
        candidate: best.name,
        candidateAddr: best.addr,
      })) === true
    )
  }

  // Whether the instance has said this since the record stands. A sight's age is that of what it last said anew; one that
  // stands for longer than a life was said again.
  function isNews(s: InstanceStatus, memory: Memory): boolean {
    const old = world.now() - memory.since
    return s.age < old || old > ANNOUNCEMENT_LIFETIME_MS + LEASE_DURATION_MS
  }
  // Others that say they lead: told to follow, or, where one leads by a later promotion of ours than was recorded, made
  // the leader through the record like any other. true: the record moved on.
  async function rivals(version: number, rec: GroupRecord, memory: Memory): Promise<boolean> {
    if (!view.instance.demote) return false
    for (const s of sightsHere()) {
      if (s.role !== 'leader' || s.name === rec.leader || !isNews(s, memory)) continue
      const got = await demote(s, rec.term ?? rec.epoch)
      if (got?.role === 'leader' && leaderEpochOf(got) > (rec.term ?? rec.epoch))
        return await stopFor(version, rec, false, { name: s.name, addr: s.addr, status: got })
    }
    return false
  }

  function isHolderGone(rec: GroupRecord): boolean {
    return rec.holder !== view.node && !view.live().includes(rec.holder)
  }
  // Whether the leader seems to have gone together with the holder before us: soon after that one's lease ran out nobody has
  // heard the leader for ANNOUNCE_LIFE, no node reports an answer of it, and our own question had none. It was silent for
  // longer than our own clock since the takeover can tell.
  function wentWithHolder(memory: Memory, sight: InstanceStatus | undefined, good: number): boolean {
    return (
      memory.tookOver !== undefined &&
      world.now() - memory.tookOver < TAKEOVER_DOUBT_MS &&
      sight === undefined &&
      good === 0
    )
  }
  async function steady(version: number, rec: GroupRecord, memory: Memory): Promise<boolean> {
    const leader = { name: rec.leader as string, addr: addrOf(rec.leader as string, rec.addr as string) }
    if (await rivals(version, rec, memory)) return true
    const now = world.now()
    let told = weighEvidence(view.reports(), leader.name)
    const sight = sightOf(leader.name)
    const follows = sight !== undefined && sight.role !== 'leader' && isNews(sight, memory)
    // Single failures among good answers are no trouble of the leader's.
    const calm = !follows && (told.bad === 0 ? told.good > 0 || sight !== undefined : told.hears >= told.bad)
    let refused = false
    if (calm) memory.leaderOk = now
    // One that answered well is asked again at once only for trouble that began after it did.
    else if (
      memory.asked?.well !== true ||
      now - memory.asked.at >= LEADER_PROBE_INTERVAL_MS ||
      (told.bad > 1 && told.hears === 0 && now - told.since > memory.asked.at)
    ) {
      let lives = false
      function isBusy(): void {
        lives = true
      }
      const [head] = await look([leader], memory.suspected ? leader.name : undefined, isBusy)
      const well = head !== undefined ? leadsAs(rec, head.status) : lives
      memory.asked = { at: world.now(), well }
      if (well) memory.leaderOk = world.now()
      else if (head && head.status.role === 'leader' && leaderEpochOf(head.status) > (rec.term ?? rec.epoch))
        return await stopFor(version, rec, false, head)
      else refused = head !== undefined
      told = weighEvidence(view.reports(), leader.name)
    }
    if (calm || memory.asked?.well === true) {
      if (memory.suspected) world.log.info('leader-back', { group, leader: leader.name })
      memory.suspected = false
      return await moveOn(version, rec, memory)
    }
    // Strong: several nodes fail, more than may only not have told yet that they still hear it, and none has heard it since;
    // or the leader says itself that it doesn't lead.
    const strong =
      refused || (told.bad >= Math.min(2, told.bad + told.good) && told.hears === 0 && told.bad > told.good)
    // leaderOk is as of our own beats; where several nodes fail, they know better since when.
    const quiet = strong && !refused ? told.since : world.now() - memory.leaderOk
    const need =
      strong || wentWithHolder(memory, sight, told.good)
        ? Math.min(CONFIRMED_SUSPICION_TIMEOUT_MS, view.suspect)
        : view.suspect
    if (quiet < need) {
      if (strong) world.later(Math.min(need - quiet, PROMOTION_INTERVAL_MS * 2), signal.notify)
      return false
    }
    if (!memory.suspected) {
      memory.suspected = true
      view.metrics.add('claynotch_duty_suspicions_total', [['group', group]])
      world.log.warn('leader-suspected', {
        group,
        leader: leader.name,
        quiet: Math.round(quiet),
        bad: told.bad,
        good: told.good,
        hears: told.hears,
        refused,
      })
    }
    // Nodes of ours that still hear the leader speak against acting on our own link's trouble.
    if (!refused && told.hears > 0 && told.hears >= told.bad) return false
    if (!strong && told.good > told.bad) return false
    return await stopFor(version, rec, false)
  }
  // With a leader that is well: replacements that were asked for.
  async function moveOn(version: number, rec: GroupRecord, memory: Memory): Promise<boolean> {
    const leader = rec.leader as string
    let heirs = 0
    for (const s of sightsHere()) if (s.name !== leader && !s.leaving) heirs++
    // Writes don't stop for a leader that goes while there is nobody to go to.
    if (rec.wish || (sightOf(leader)?.leaving === true && heirs > 0)) {
      const next: GroupRecord = { ...rec, phase: 'drain', holder: view.node, planned: true }
      delete next.note
      return (await put(version, next)) === true
    }
    const to = await homeward(rec, memory)
    if (to === undefined) return false
    world.log.info('leader-goes-home', { group, leader, to })
    return (await put(version, { ...rec, phase: 'drain', holder: view.node, planned: true, wish: { to } })) === true
  }

  // Records a new epoch with its candidate; from then on no proxy sends a write under the old one.
  async function stopFor(version: number, rec: GroupRecord, planned: boolean, to?: Seen): Promise<boolean> {
    const old = rec.old ?? rec.leader
    const here: InstanceStatus[] = []
    const olds: InstanceStatus[] = []
    for (const s of sightsHere()) if (!s.leaving) (s.name === old && !planned ? olds : here).push(s)
    // Which one is furthest is looked at once more when all have stopped; the one that doesn't answer isn't waited for now.
    const best = to ?? furthest(await look(here), old) ?? furthest(await look(olds, old), old)
    if (!best) return false
    const term = rec.term
    return (
      (await put(version, {
        ...(term === undefined ? {} : { term }),
        epoch: Math.max(rec.epoch, best.status.mark.epoch, leaderEpochOf(best.status)) + 1,
        phase: 'stop',
        holder: view.node,
        fence: rec.fence,
        candidate: best.name,
        candidateAddr: best.addr,
        planned,
        ...(old !== undefined ? { old } : {}),
      })) === true
    )
  }

  async function drain(version: number, rec: GroupRecord, memory: Memory): Promise<boolean> {
    const spent = world.now() - memory.since
    // Proxies acknowledge once they are quiet, at the latest after DRAIN; one that is silent runs out of its term.
    if (spent < DRAIN_TIMEOUT_MS + LEASE_DURATION_MS && !(await stopped(version, memory.since + DRAIN_TIMEOUT_MS)))
      return false
    const here: { name: string; addr: string }[] = [
      { name: rec.leader as string, addr: addrOf(rec.leader as string, rec.addr as string) },
    ]
    for (const s of sightsHere()) if (!s.leaving && s.name !== rec.leader) here.push(s)
    memory.pace = CANDIDATE_PROBE_INTERVAL_MS
    const seen = await look(here)
    const head = seen.find(isHead)
    function isHead(s: Seen): boolean {
      return s.name === rec.leader
    }
    if (!head) return spent > DRAIN_TIMEOUT_MS + view.suspect ? await stopFor(version, rec, false) : false
    const rest: Seen[] = []
    for (const s of seen) if (s !== head && (!rec.wish || rec.wish.to === '' || rec.wish.to === s.name)) rest.push(s)
    const best = furthest(rest, undefined)
    if (best && comparePositions(best.status.mark, head.status.mark) >= 0)
      return await stopFor(version, rec, true, best)
    if (spent < DRAIN_TIMEOUT_MS + CATCH_UP_TIMEOUT_MS) return false
    const back: GroupRecord = {
      ...rec,
      phase: 'steady',
      note: 'planned replacement called off: no follower caught up in time',
    }
    delete back.wish
    delete back.planned
    view.metrics.add('claynotch_duty_called_off_total', [['group', group]])
    return (await put(version, back)) === true
  }

  async function stopPhase(version: number, rec: GroupRecord, memory: Memory): Promise<boolean> {
    if (!(await stopped(version, memory.since))) return false
    const here: InstanceStatus[] = []
    for (const s of sightsHere()) if (!s.leaving) here.push(s)
    const seen = await look(here, rec.planned ? undefined : rec.old)
    const best = furthest(seen, rec.planned ? undefined : rec.old)
    const mine = seen.find(isMine)
    function isMine(s: Seen): boolean {
      return s.name === rec.candidate
    }
    if (!best) return false
    const high = await highest()
    const behind = high !== undefined && comparePositions(best.status.mark, high) < 0
    memory.pace = FAILOVER_INTERVAL_MS / 2
    if (behind && world.now() - memory.since < lossWait()) return false
    let next: GroupRecord = { ...rec, phase: 'promote' }
    // Nobody writes now, so who is ahead now stays so; a candidate that isn't gives way.
    if (!mine || comparePositions(best.status.mark, mine.status.mark) > 0)
      next = { ...next, candidate: best.name, candidateAddr: best.addr }
    if (behind) {
      const note = `promoted behind: commits up to ${high.epoch}/${high.position} were seen, the furthest instance has ${best.status.mark.epoch}/${best.status.mark.position}`
      next = { ...next, note }
      view.metrics.add('claynotch_duty_promoted_behind_total', [['group', group]])
      world.log.error('promotion-behind', {
        group,
        candidate: best.name,
        seen: `${high.epoch}/${high.position}`,
        has: `${best.status.mark.epoch}/${best.status.mark.position}`,
      })
    }
    return (await put(version, next)) === true
  }

  async function promotePhase(version: number, rec: GroupRecord, memory: Memory): Promise<boolean> {
    const who = { name: rec.candidate as string, addr: addrOf(rec.candidate as string, rec.candidateAddr as string) }
    // What it leads in once it does; undefined: no answer.
    async function confirmed(): Promise<{ leads: boolean; term: number | undefined } | undefined> {
      function isBusy(): void {
        memory.candidateOk = world.now()
      }
      const [got] = await look([who], undefined, isBusy)
      if (!got) return undefined
      memory.candidateOk = world.now()
      const { status } = got
      // Where instances count by themselves, the one that leads now does so in a number that we learn only here.
      const fits = status.epoch === undefined ? status.mark.epoch === rec.epoch : status.epoch >= (rec.term ?? 0)
      return { leads: status.role === 'leader' && fits, term: status.epoch }
    }
    function mayCall(): boolean {
      return world.now() < view.leaseExpiresAt()
    }
    let is = await confirmed()
    if (is?.leads === false && (!memory.called || world.now() - memory.called.at >= memory.called.pause)) {
      // The fence, right before the call: the record is still the one read, and our term still runs.
      const now = await view.proposer.read(key)
      if (!now.done || now.value?.turn !== version || (now.value.body as GroupRecord).holder !== view.node) return false
      if (!mayCall()) return false
      // The old leader, if it lives, is told as well; nobody waits for its answer.
      if (rec.old !== undefined && rec.old !== who.name && sightOf(rec.old))
        void demote({ name: rec.old, addr: sightOf(rec.old)!.addr }, (rec.term ?? rec.epoch - 1) + 1)
      const got = await promote(world, view.platform(), {
        group,
        instance: who.name,
        addr: who.addr,
        epoch: rec.epoch,
        holder: view.node,
        fence: rec.fence,
        may: mayCall,
      })
      memory.called = {
        at: world.now(),
        pause:
          got.end === 'done'
            ? PROMOTION_DONE_DELAY_MS
            : got.end === 'unclear'
              ? PROMOTION_UNCLEAR_DELAY_MS
              : Math.min(
                  PROMOTION_DONE_DELAY_MS,
                  2 * Math.max(PROMOTION_REFUSED_DELAY_MS / 2, memory.called?.pause ?? 0),
                ),
      }
      view.metrics.add('claynotch_duty_promotions_total', [['end', got.end]])
      world.log.info('promotion-called', { group, candidate: who.name, epoch: rec.epoch, end: got.end, why: got.why })
      // One that counts by itself leads only some time after the call; it is looked at then.
      if (is.term === undefined) is = await confirmed()
    }
    if (is?.leads) {
      const { note } = rec
      const { term } = is
      const did = await put(version, {
        epoch: Math.max(rec.epoch, term ?? 0),
        phase: 'steady',
        holder: view.node,
        fence: rec.fence,
        leader: who.name,
        addr: who.addr,
        ...(term === undefined ? {} : { term }),
        ...(note ? { note } : {}),
      })
      return did === true
    }
    const quiet = world.now() - Math.max(memory.candidateOk, memory.since)
    if (quiet > CANDIDATE_TIMEOUT_MS || (is && world.now() - memory.since > 2 * CANDIDATE_TIMEOUT_MS)) {
      world.log.warn('candidate-given-up', { group, candidate: who.name, epoch: rec.epoch })
      return await stopFor(version, rec, false)
    }
    return false
  }

  // seen: the newest turn, and since when it is known here.
  let seen = { turn: -1, at: 0 }
  // One look at the group: true when it moved on, so that the next look comes at once.
  async function step(): Promise<boolean> {
    const turnNow = view.register(key)?.turn ?? 0
    remember()
    if (turnNow !== seen.turn) seen = { turn: turnNow, at: world.now() }
    if (world.now() >= view.leaseExpiresAt() || holderOf(key, view.live()) !== view.node) {
      memory = undefined
      return false
    }
    const cell = view.register(key)
    if (!cell) return await begin()
    const rec = cell.body as GroupRecord
    if (!memory || memory.turn !== cell.turn) {
      const now = world.now()
      // A record that kept its leader (a claim, a wish) doesn't make us forget how long it was quiet.
      const kept = memory && memory.turn !== 0 && memory.leader === rec.leader
      memory = {
        turn: cell.turn,
        since: now,
        leader: rec.leader,
        leaderOk: kept && memory ? memory.leaderOk : now,
        tookOver: kept && memory ? memory.tookOver : isHolderGone(rec) ? now : undefined,
        candidateOk: now,
        suspected: kept && memory ? memory.suspected : false,
      }
    }
    if (rec.holder !== view.node) {
      // Two nodes that see different members would else take it from each other as fast as rounds go.
      if (world.now() - seen.at < FAILOVER_INTERVAL_MS) return false
      await put(cell.turn, { ...rec, holder: view.node, fence: rec.fence + 1 })
      return false
    }
    switch (rec.phase) {
      case 'steady':
        return await steady(cell.turn, rec, memory)
      case 'drain':
        return await drain(cell.turn, rec, memory)
      case 'stop':
        return await stopPhase(cell.turn, rec, memory)
      case 'promote':
        return await promotePhase(cell.turn, rec, memory)
    }
  }
  // rung: a bell that rang while a look was under way; what it told may have come after that look.
  let rung = false
  let later = false
  function ring(): void {
    rung = true
  }
  async function steps(): Promise<void> {
    const forget = signal.watch(ring)
    do {
      rung = false
      while (!stop.fired() && (await step()));
    } while (rung && !stop.fired())
    forget()
    // While writes are stopped, looks come quicker than the beat.
    const phase = (view.register(key)?.body as GroupRecord | undefined)?.phase ?? 'steady'
    if (memory && memory.turn !== 0 && phase !== 'steady' && !later) {
      later = true
      world.later(phase === 'promote' ? CANDIDATE_PROBE_INTERVAL_MS : (memory.pace ?? PROMOTION_INTERVAL_MS), again)
    }
  }
  function again(): void {
    later = false
    signal.notify()
  }
  void loop(world, `duty ${group}`, FAILOVER_INTERVAL_MS, stop, steps, signal)
}
