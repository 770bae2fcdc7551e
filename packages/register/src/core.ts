import {
  answerLinks,
  FOUND_WAIT,
  HANDOVER_BEAT,
  hello,
  holdLink,
  loop,
  makeFlag,
  makeNumbers,
  makeTurnstile,
  MISSED_KEPT,
  DISK_RETRY,
  pause,
  REFILL_WAIT,
  readAs,
  ROUND_LIFE,
  SEEDS_BEAT,
  type Addr,
  type Held,
  type Hello,
  type Link,
  type Listener,
  type Numbers,
  type World,
} from '@claynotch/base'
import { compareBallots, type Ballot } from './ballot.js'
import { makeTable } from './changes.js'
import { askSeeds, NO_SET, votersOf, type CorePlace, type CoreSet } from './coreset.js'
import { readRefill } from './refill.js'
import { isLoss, makeStore, type Cell, type Phase, type Store, type Value } from './store.js'
import { makeTerms } from './terms.js'
import { CoreWord, type KeyLine, type MemberLine, type Renew, type RenewAnswer, type Sight } from './words.js'

// cores: the set as an operator gives it, this core among it. Else the disk's set holds, else founders, else what the seeds
// tell; only founders are founded. founders: given at the very first start of the whole system, with empty disks, to all
// alike. addr: where this machine takes links. seeds: http addresses of others, asked again until one tells.
// foundAnew: an operator's word that all cores lost their disks and everything is to begin again.
export type CoreSettings = { id: string; data: string; foundAnew?: boolean } & (
  { cores: CorePlace[] } | { addr: Addr; seeds: () => Addr[]; founders?: CorePlace[] }
)

// coreSet: NO_SET until it is known. adopt: takes a set that was chosen; an older one, or another than an operator gave, changes
// nothing. place: this machine as it may be taken into a set; its token is on disk.
export type Core = {
  place: () => CorePlace
  stop: () => Promise<void>
  serving: () => boolean
  store: Store
  numbers: Numbers
  state: () => string
  agents: () => string[]
  coreSet: () => CoreSet
  adopt: (next: CoreSet) => Promise<void>
}

// hears: the other voters that this core holds a link to.
export type State = {
  t: 'state'
  id: string
  phase: Phase
  serving: boolean
  cores: string[]
  set: CoreSet
  hears: string[]
}

// One core machine: it votes on registers, holds terms, and pushes settled changes to its agents.
export async function startCore(world: World, set: CoreSettings): Promise<Core> {
  const stop = makeFlag()
  const numbers = makeNumbers()
  const store = makeStore(world, `${set.data}/register`)
  const terms = makeTerms(world)
  const born = world.now()
  const given = 'cores' in set ? set.cores : undefined
  // coreSet, ids: the set once it is known; its epoch only grows. voter: this core is of it.
  let coreSet: CoreSet = NO_SET
  let ids: string[] = []
  let voter = false
  // serving: votes are given only while this is true; it turns false when this core is removed from the set, or when what it
  // voted is not on its disk any more.
  let serving = false
  // moving: a later set is being written; nothing is answered by either until it is on disk.
  let moving = false
  // remembered: some agent knows registers of this set, so having nothing on disk means loss, not beginning.
  let remembered = false
  // settled: highest ballot known to be chosen, by key; forgotten at restart and learnt anew.
  const settled = new Map<string, Ballot>()
  // agents: held links to push on, with the count of pushes sent and of those acknowledged.
  const agents = new Map<Link, { node: string; num: number; acked: number }>()

  // missed: for each other core, the registers settled while it couldn't be reached; 'all' where more were
  // than are kept, or where we can't know (we were away ourselves).
  const missed = new Map<string, Set<string> | 'all'>()

  const findings = await store.open()
  for (const f of findings) world.log.warn('data-file', { place: f.place, what: f.what })
  // lost: what this disk held is gone, until the refill has ended.
  let lost = findings.some(isLoss)

  const mine = hello('core', set.id)
  let others: { id: string; addr: Addr; held: Held; end: () => void }[] = []
  function ignore(): undefined {
    return undefined
  }
  function isMe(c: CorePlace): boolean {
    return c.id === set.id
  }
  function idsOf(list: CorePlace[]): string[] {
    const out: string[] = []
    for (const c of list) out.push(c.id)
    return out.sort()
  }
  // Links to the others of the set, kept where they stand already.
  function hold(): void {
    const was = others
    others = []
    for (const c of voter ? votersOf(coreSet) : []) {
      if (c.id === set.id) continue
      const old = was.find(isIt)
      function isIt(o: CorePlace): boolean {
        return o.id === c.id && o.addr === c.addr
      }
      if (old) {
        others.push(old)
        continue
      }
      const flag = makeFlag()
      const cancel = stop.watch(flag.fire)
      function end(): void {
        cancel()
        flag.fire()
      }
      others.push({ id: c.id, addr: c.addr, held: holdLink(world, c.addr, mine, ignore, flag), end })
      missed.set(c.id, 'all')
    }
    for (const o of was) {
      if (others.includes(o)) continue
      o.end()
      missed.delete(o.id)
    }
  }
  function placeIn(known: CoreSet): CorePlace | undefined {
    return votersOf(known).find(isMe)
  }
  function newToken(): string {
    return Math.floor(world.random() * 2 ** 48).toString(36)
  }
  const enterSet = makeTurnstile()
  // Takes the first set known in this life. A machine that isn't of it keeps it on disk only to tell it, with a token under
  // which it may be taken into a later one.
  async function join(known: CoreSet): Promise<void> {
    const names = idsOf(known.cores)
    if (store.phase() !== 'none' && store.cores().join() !== names.join())
      throw new Error(`the data folder belongs to the core set ${store.cores().join()}, not ${names.join()}`)
    const isVoter = placeIn(known) !== undefined
    if (!isVoter && given) throw new Error(`core ${set.id} is not among its own set`)
    async function writeFirst(): Promise<void> {
      if (!isVoter && (store.set().cores.length === 0 || store.token() === undefined))
        await store.mark('none', known, newToken())
    }
    await enterSet(writeFirst)
    // A later set may have been taken while this one was written.
    if (coreSet.epoch > known.epoch) return
    voter = isVoter
    coreSet = known
    ids = names
    hold()
    if (!voter) world.log.info('core-aside', { core: set.id, set: ids.join() })
    else if (store.phase() === 'founded' && !lost) serving = true
  }
  // Writes a later set to disk, and with it what this core is in it. Only a voter that goes on with the storage that it voted
  // with, or a newcomer whose storage never voted, may vote by what it has; any other needs a refill.
  async function writeSet(next: CoreSet): Promise<void> {
    const place = placeIn(next)
    if (!place) {
      await store.mark('none', next, newToken())
      return
    }
    const token = store.token()
    const sameStorage = !lost && place.token === token
    const wasVoter = placeIn(store.set()) !== undefined
    if (sameStorage && wasVoter && (serving || store.phase() === 'intent')) {
      await store.mark(store.phase(), next, token)
      return
    }
    if (sameStorage && token !== undefined && store.phase() === 'none') {
      await store.begin(next)
      // Others may have counted leases under this set before this core was of it.
      terms.doubt()
      if (coreSet === next) serving = true
      world.log.info('core-joined', { core: set.id, epoch: next.epoch })
      return
    }
    serving = false
    // Without its token, so that it can't begin as one that never voted.
    await store.mark('none', next, undefined)
  }
  // A later set. From the first line on no word of an older epoch is taken; what was taken before it is on disk before it.
  async function adopt(next: CoreSet): Promise<void> {
    if (given || next.cores.length === 0 || next.epoch <= coreSet.epoch || store.failed() !== undefined) return
    coreSet = next
    ids = idsOf(next.cores)
    moving = true
    voter = placeIn(next) !== undefined
    if (!voter) serving = false
    hold()
    async function write(): Promise<void> {
      // Where a still later one came meanwhile, that is written alone.
      if (coreSet !== next) return
      try {
        await writeSet(next)
      } catch {
        // Said by the store, which answers nothing until it has recovered.
      }
    }
    await enterSet(write)
    if (coreSet === next) moving = false
    world.log.info('core-set-changed', {
      core: set.id,
      epoch: next.epoch,
      set: ids.join(),
      next: idsOf(next.next ?? []).join(),
      voter,
    })
  }
  // After a failed write: the file is read and written anew; where the set changed meanwhile, it is taken now.
  let nextRecovery = 0
  async function recoverDisk(): Promise<void> {
    if (world.now() < nextRecovery) return
    nextRecovery = world.now() + DISK_RETRY
    async function run(): Promise<void> {
      if (!(await store.recover())) return
      world.log.info('disk-recovered', { core: set.id, phase: store.phase(), epoch: store.set().epoch })
      if (store.set().epoch === coreSet.epoch && store.phase() === 'founded') return
      serving = false
      if (store.set().epoch < coreSet.epoch) await writeSet(coreSet)
    }
    try {
      await enterSet(run)
    } catch {
      // It failed again, and is tried again.
    }
  }
  // begins: whether this core may begin a founding.
  const begins = 'cores' in set || (set.founders?.length ?? 0) > 0
  const first = given
    ? { epoch: 0, cores: given }
    : store.set().cores.length > 0
      ? store.set()
      : 'founders' in set && set.founders
        ? { epoch: 0, cores: set.founders }
        : undefined
  if (first) await join(first)

  function keyLines(): KeyLine[] {
    const out: KeyLine[] = []
    for (const [key, c] of store.cells())
      if (c.value) out.push({ key, ballot: c.ballot, turn: c.value.turn, chosen: isSettled(key, c) })
    return out
  }
  function isSettled(key: string, c: Cell): boolean {
    const at = settled.get(key)
    return at !== undefined && compareBallots(at, c.ballot) === 0
  }
  function push(key: string): void {
    const c = store.cells().get(key)
    if (!c?.value) return
    for (const [link, a] of agents) {
      a.num++
      link.tell({ t: 'push', num: a.num, key, ballot: c.ballot, value: c.value })
      numbers.add('claynotch_core_pushes_total')
    }
  }
  function learn(key: string, ballot: Ballot): void {
    const c = store.cells().get(key)
    const old = settled.get(key)
    if (old && compareBallots(ballot, old) <= 0) return
    settled.set(key, ballot)
    for (const o of others) if (!o.held.up()) keepFor(o.id, key)
    if (c && compareBallots(c.ballot, ballot) === 0) push(key)
  }
  // --- repair: what a core that is away should have had is kept for it, and handed over at its return ---
  function keepFor(id: string, key: string): void {
    const list = missed.get(id)
    if (list === 'all') return
    const next = list ?? new Set<string>()
    next.add(key)
    missed.set(id, next.size > MISSED_KEPT ? 'all' : next)
  }
  async function handOver(): Promise<void> {
    if (!serving || store.failed() !== undefined) return
    for (const o of others) {
      const list = missed.get(o.id)
      if (!list || !o.held.up()) continue
      const cells: { key: string; ballot: Ballot; value: Value }[] = []
      for (const [key, c] of store.cells())
        if (c.value && isSettled(key, c) && (list === 'all' || list.has(key)))
          cells.push({ key, ballot: c.ballot, value: c.value })
      const got = (await o.held.ask({ t: 'handover', cells }, ROUND_LIFE)) as
        { ok?: boolean; took?: number } | undefined
      if (!got?.ok) continue
      // What was settled while we handed over is in the list still.
      if (missed.get(o.id) === list) missed.delete(o.id)
      if (cells.length > 0) world.log.info('handed-over', { core: o.id, registers: cells.length, took: got.took })
      numbers.add('claynotch_core_handovers_total')
    }
  }
  // A settled value takes its place as a late accept would: never under a higher promise.
  async function takeOver(cells: { key: string; ballot: Ballot; value: Value }[]): Promise<number> {
    let took = 0
    for (const c of cells) {
      const mineNow = store.cells().get(c.key)
      if (!mineNow || compareBallots(mineNow.ballot, c.ballot) < 0) {
        const got = await store.accept(c.key, c.ballot, c.value)
        if (!got.ok) continue
        took++
      }
      learn(c.key, c.ballot)
    }
    if (took > 0) numbers.add('claynotch_core_taken_over_total', [], took)
    return took
  }
  function state(): State {
    const hears: string[] = []
    for (const o of others) if (o.held.up()) hears.push(o.id)
    return {
      t: 'state',
      id: set.id,
      phase: lost ? 'none' : store.phase(),
      serving: servingNow() && !moving,
      cores: ids,
      set: coreSet,
      hears,
    }
  }
  async function answer(msg: CoreWord, peer: Hello, link: Link): Promise<unknown> {
    numbers.add('claynotch_core_words_total', [['word', msg.t]])
    switch (msg.t) {
      case 'state':
        return state()
      case 'seeds':
        return coreSet
      case 'set':
        await adopt(msg.set)
        return { ok: true }
    }
    if (
      msg.t === 'renew' &&
      msg.remembers &&
      !serving &&
      set.foundAnew !== true &&
      store.phase() !== 'founded' &&
      !remembered
    ) {
      remembered = true
      world.log.error('set-was-founded', {
        core: set.id,
        node: msg.node,
        why: 'an agent remembers settled registers: this set is not founded a second time unless foundAnew is set',
      })
    }
    // A round or a count under one set never ends under another.
    if (msg.t !== 'learn' && msg.t !== 'handover' && msg.t !== 'leave' && msg.t !== 'ack') {
      const at = msg.epoch ?? 0
      if (coreSet.cores.length > 0 && at < coreSet.epoch) return { ok: false, set: coreSet }
      if (at > coreSet.epoch) return { ok: false, behind: true }
    }
    if (!serving || moving || store.failed() !== undefined) return { ok: false, absent: true }
    switch (msg.t) {
      case 'prepare':
        return await store.prepare(msg.key, msg.ballot)
      case 'accept':
        return await store.accept(msg.key, msg.ballot, msg.value as never)
      case 'learn':
        learn(msg.key, msg.ballot)
        return { ok: true }
      case 'handover':
        return { ok: true, took: await takeOver(msg.cells as { key: string; ballot: Ballot; value: Value }[]) }
      case 'get': {
        // After what is being written now: one that isn't on disk yet might be lost, and was then never there.
        const c = await store.accepted(msg.key)
        return store.failed() !== undefined
          ? { ok: false, absent: true }
          : { ok: true, ballot: c.ballot, value: c.value ?? null }
      }
      case 'keys': {
        const keys: string[] = [...store.cells().keys()]
        return { ok: true, keys, top: store.top() }
      }
      case 'renew':
        return renewed(msg)
      case 'leave':
        terms.leave(msg.node, msg.life)
        return { ok: true }
      case 'members':
        return { ok: true, members: terms.members(), sure: terms.sure() }
      case 'ack': {
        const a = agents.get(link)
        if (a) a.acked = Math.max(a.acked, msg.num)
        numbers.add('claynotch_core_acks_total')
        terms.ack(peer.node, msg.key, msg.turn)
        return { ok: true }
      }
    }
  }
  // --- renewals: what changed since what the agent has ---
  const life = Math.floor(world.random() * 2 ** 40).toString(36)
  const count = { at: 0 }
  const keyTable = makeTable(count, signKey)
  const memberTable = makeTable(count, signMember)
  const sightTable = makeTable(count, signSight)
  function signKey(k: KeyLine): string {
    return `${k.ballot[0]} ${k.ballot[1]} ${k.turn} ${k.chosen}`
  }
  function signMember(m: MemberLine): string {
    return `${m.life} ${m.area} ${m.addr} ${m.operator} ${m.build} ${m.proxy} ${m.core?.token}`
  }
  // Not its age, nor how far its instance has counted: an instance that only says the same again has not changed.
  function signSight(s: Sight): string {
    return `${s.group} ${s.addr} ${s.area} ${s.role} ${s.leaving}`
  }
  function tally(): void {
    const keys = new Map<string, KeyLine>()
    for (const k of keyLines()) keys.set(k.key, k)
    const members = new Map<string, MemberLine>()
    for (const { node, life: its, area, addr, operator, build, proxy, core } of terms.members())
      members.set(node, { node, life: its, area, addr, operator, build, proxy, ...(core ? { core } : {}) })
    const sights = new Map<string, Sight>()
    for (const s of terms.sights()) sights.set(s.name, s)
    keyTable.update(keys)
    memberTable.update(members)
    sightTable.update(sights)
  }
  function renewed(msg: Renew): RenewAnswer {
    const end = terms.renew(msg)
    if (end !== 'held') return { ok: false, [end]: true }
    tally()
    const whole = msg.core !== life || msg.count < Math.max(memberTable.least(), sightTable.least())
    const since = whole ? 0 : msg.count
    const keys = keyTable.since(since).lines
    const members = memberTable.since(since)
    const sights = sightTable.since(since)
    return {
      ok: true,
      sure: terms.sure(),
      core: life,
      since,
      count: count.at,
      ...(keys.length > 0 ? { keys } : {}),
      ...(members.lines.length > 0 ? { members: members.lines } : {}),
      ...(sights.lines.length > 0 ? { sights: sights.lines } : {}),
      ...(members.gone.length > 0 ? { left: members.gone } : {}),
      ...(sights.gone.length > 0 ? { lost: sights.gone } : {}),
    }
  }
  function serveLink(peer: Hello, link: Link) {
    if (peer.kind === 'agent') agents.set(link, { node: peer.node, num: 0, acked: 0 })
    async function take(msg: unknown): Promise<unknown> {
      const got = readAs(CoreWord, msg)
      if (got.err) {
        numbers.add('claynotch_link_garbage_total')
        throw new Error(`unknown word from ${peer.node}`)
      }
      try {
        return await answer(got.val, peer, link)
      } catch (e) {
        // A failed disk is an absence; anything else is a fault of ours and closes the link.
        if (store.failed() !== undefined) return { ok: false, absent: true }
        throw e
      }
    }
    return take
  }
  function lostLink(_peer: Hello, link: Link): void {
    agents.delete(link)
  }
  const here = 'cores' in set ? set.cores.find(isMe)!.addr : set.addr
  const listener: Listener = await world.listen(here, answerLinks(world, mine, serveLink, lostLink))

  // --- founding and refill ---

  async function askStates(): Promise<(State | undefined)[]> {
    const asks: Promise<State | undefined>[] = []
    for (const o of others) asks.push(o.held.ask({ t: 'state' }, ROUND_LIFE) as Promise<State | undefined>)
    return await Promise.all(asks)
  }
  // Founding in two steps, each at every core: intent is stored by all before any is founded, so a core
  // that holds intent has lost nothing, and one that holds nothing while another is founded has.
  async function found(): Promise<boolean> {
    const asked = world.now()
    const states = await askStates()
    let up = 0
    let founded = 0
    let intent = 0
    for (const s of states) {
      // One that doesn't know its set yet can't found.
      if (!s || s.cores.length === 0) continue
      if (s.set.epoch > coreSet.epoch) {
        await adopt(s.set)
        return false
      }
      // One that hasn't heard of the set yet counts for nothing.
      if (s.set.epoch < coreSet.epoch) continue
      if (s.cores.join() !== ids.join()) {
        world.log.error('core-set-differs', { core: s.id, theirs: s.cores.join(), ours: ids.join() })
        return false
      }
      up++
      if (s.phase === 'founded') founded++
      else if (s.phase === 'intent') intent++
    }
    if (founded > 0) {
      if (store.phase() === 'intent' && !lost) {
        await store.mark('founded', coreSet, store.token())
        world.log.info('core-founded', { core: set.id })
        return true
      }
      return await refill()
    }
    if (coreSet.epoch > 0 || lost || remembered || up < others.length) return false
    // Those who were told that this is the very first start know it from the one who started them; with a set given by an
    // operator the agents are heard first.
    if (given && world.now() - born < FOUND_WAIT) return false
    // Without that word a core with nothing on disk never begins. It may only end a founding that all the others hold
    // intent for: none of them has served yet, and what its own lost life promised is void after this wait.
    if (
      store.phase() === 'none' &&
      !begins &&
      (others.length === 0 || intent < others.length || asked - born < REFILL_WAIT)
    )
      return false
    if (store.phase() === 'none') await store.mark('intent', coreSet, store.token())
    if (intent === others.length) {
      await store.mark('founded', coreSet, store.token())
      world.log.info('core-founded', { core: set.id })
      return true
    }
    return false
  }
  // A core that lost its memory votes again only after, for every register, a whole round above all that
  // was promised was done at a majority of the set counted among the others; and only after every prepare
  // that its forgotten promises could serve is void (see docs/register.md).
  async function refill(): Promise<boolean> {
    const wait = born + REFILL_WAIT - world.now()
    if (wait > 0) await pause(world, wait, stop)
    // All of it under one set; a change of the set meanwhile makes it void.
    const under = coreSet
    const got = await readRefill(world, set.id, others, under)
    if (!got || coreSet !== under) return false
    await store.refill(got.cells, got.floor, under, placeIn(under)?.token)
    if (coreSet !== under) return false
    // A newcomer may have been started anew since it was told to vote: which of these it is isn't known any more.
    if (under.epoch > 0) terms.doubt()
    lost = false
    for (const [key, c] of got.cells) settled.set(key, c.ballot)
    world.log.info('core-refilled', { core: set.id, keys: got.keys, floor: got.floor })
    numbers.add('claynotch_core_refills_total')
    return true
  }
  async function settle(): Promise<void> {
    if (store.failed() !== undefined) await recoverDisk()
    if (voter && !serving && !moving && store.failed() === undefined) {
      const under = coreSet
      const done = await found()
      if (done && coreSet === under) serving = true
    }
    numbers.set('claynotch_core_serving', [], servingNow() ? 1 : 0)
    numbers.set('claynotch_core_members', [], terms.members().length)
  }
  const told = makeFlag()
  stop.watch(told.fire)
  async function seek(): Promise<void> {
    if (coreSet.cores.length > 0 || !('seeds' in set)) return
    const got = await askSeeds(world, set.seeds())
    if (!got || stop.fired()) return
    world.log.info('core-set-told', { core: set.id, seed: got.seed, set: got.set.cores.length })
    // It may have been told a set already by a link.
    if (coreSet.cores.length === 0) await join(got.set)
    told.fire()
  }
  if (coreSet.cores.length === 0) void loop(world, 'core-set', SEEDS_BEAT, told, seek)
  void loop(world, 'found', 200, stop, settle)
  void loop(world, 'handover', HANDOVER_BEAT, stop, handOver)

  async function end(): Promise<void> {
    stop.fire()
    for (const link of agents.keys()) link.close()
    await listener.close()
  }
  function servingNow(): boolean {
    return serving && store.failed() === undefined
  }
  function stateNow(): string {
    return store.failed() !== undefined
      ? 'disk failed'
      : serving
        ? 'serving'
        : coreSet.cores.length === 0
          ? 'looking'
          : !voter
            ? 'aside'
            : lost || remembered
              ? 'lost'
              : store.phase()
  }
  function agentsNow(): string[] {
    const out: string[] = []
    for (const a of agents.values()) out.push(a.node)
    return out
  }
  world.log.info('core-started', { core: set.id, addr: here, state: stateNow() })
  function coreSetNow(): CoreSet {
    return coreSet
  }
  function placeNow(): CorePlace {
    const token = voter || store.failed() !== undefined ? undefined : store.token()
    return { id: set.id, addr: here, ...(token === undefined ? {} : { token }) }
  }
  return {
    stop: end,
    serving: servingNow,
    store,
    numbers,
    state: stateNow,
    agents: agentsNow,
    coreSet: coreSetNow,
    place: placeNow,
    adopt,
  }
}
