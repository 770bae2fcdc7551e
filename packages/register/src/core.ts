import {
  acceptLinks,
  HANDOVER_INTERVAL_MS,
  makeHello,
  makePersistentLink,
  loop,
  makeFlag,
  makeMetrics,
  makeSerialQueue,
  DISK_RETRY_DELAY_MS,
  pause,
  REFILL_DELAY_MS,
  readAs,
  ROUND_TIMEOUT_MS,
  SEED_POLL_INTERVAL_MS,
  type Address,
  type PersistentLink,
  type Hello,
  type Link,
  type Listener,
  type Metrics,
  type World,
} from '@claynotch/base'
import { compareBallots, type Ballot } from './ballot.js'
import type { Delta } from './delta.js'
import { askSeeds, NO_SET, votersOf, type CorePlace, type CoreSet } from './core-set.js'
import { foundingStep, type FoundingView, type CoreState } from './founding.js'
import { makeHandover, type HandedEntry } from './handover.js'
import { makeDeltaChains, makePushes } from './pushes.js'
import { readRefill } from './refill.js'
import { makeRenewals } from './renewals.js'
import {
  isLoss,
  makeStore,
  type RegisterEntry,
  type DeltaAnswer,
  type Store,
  type RegisterValue,
} from './register-store.js'
import { makeLeases } from './leases.js'
import { CoreMessage, type GetAnswer, type RegisterSummary } from './messages.js'

// cores: the set as an operator gives it, this core among it. Else the disk's set holds, else founders, else what the seeds
// tell; only founders are founded. founders: given at the very first start of the whole system, with empty disks, to all
// alike. addr: where this machine takes links. seeds: http addresses of others, asked again until one tells.
// foundAnew: an operator's word that all cores lost their disks and everything is to begin again.
export type CoreSettings = { id: string; data: string; foundAnew?: boolean } & (
  { cores: CorePlace[] } | { addr: Address; seeds: () => Address[]; founders?: CorePlace[] }
)

// coreSet: NO_SET until it is known. adopt: takes a set that was chosen; an older one, or another than an operator gave, changes
// nothing. place: this machine as it may be taken into a set; its token is on disk.
export type Core = {
  place: () => CorePlace
  stop: () => Promise<void>
  serving: () => boolean
  store: Store
  metrics: Metrics
  state: () => string
  agents: () => string[]
  coreSet: () => CoreSet
  adopt: (next: CoreSet) => Promise<void>
}

// One core machine: it votes on registers, holds terms, and pushes settled changes to its agents.
export async function startCore(world: World, set: CoreSettings): Promise<Core> {
  const stop = makeFlag()
  const metrics = makeMetrics()
  const chains = makeDeltaChains()
  const store = makeStore(world, `${set.data}/register`, taken)
  const leases = makeLeases(world)
  const born = world.now()
  // quietSince: nothing that was promised after this is forgotten.
  let quietSince = born
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
  const pushes = makePushes(store, chains, isSettled, metrics)

  const renewals = makeRenewals(world, leases, keyLines, metrics)
  const handover = makeHandover(world, store, isSettled, learn, metrics)

  const findings = await store.open()
  for (const f of findings) world.log.warn('data-file', { place: f.place, what: f.what })
  // lost: what this disk held is gone, until the refill has ended.
  let lost = findings.some(isLoss)

  const mine = makeHello('core', set.id)
  let others: { id: string; addr: Address; held: PersistentLink; end: () => void }[] = []
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
      others.push({ id: c.id, addr: c.addr, held: makePersistentLink(world, c.addr, mine, ignore, flag), end })
      handover.added(c.id)
    }
    for (const other of was) {
      if (others.includes(other)) continue
      other.end()
      handover.removed(other.id)
    }
  }
  function placeIn(known: CoreSet): CorePlace | undefined {
    return votersOf(known).find(isMe)
  }
  function newToken(): string {
    return Math.floor(world.random() * 2 ** 48).toString(36)
  }
  function stopServing(): void {
    if (serving) quietSince = world.now()
    serving = false
  }
  const enterSet = makeSerialQueue()
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
        await store.writeSet('none', known, newToken())
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
      await store.writeSet('none', next, newToken())
      return
    }
    const token = store.token()
    const sameStorage = !lost && place.token === token
    const wasVoter = placeIn(store.set()) !== undefined
    if (sameStorage && wasVoter && (serving || store.phase() === 'intent')) {
      await store.writeSet(store.phase(), next, token)
      return
    }
    if (sameStorage && token !== undefined && store.phase() === 'none') {
      await store.begin(next)
      // Others may have counted leases under this set before this core was of it.
      leases.beginUnknown()
      if (coreSet === next) serving = true
      world.log.info('core-joined', { core: set.id, epoch: next.epoch })
      return
    }
    stopServing()
    // Without its token, so that it can't begin as one that never voted.
    await store.writeSet('none', next, undefined)
  }
  // A later set. From the first line on no word of an older epoch is taken; what was taken before it is on disk before it.
  async function adopt(next: CoreSet): Promise<void> {
    if (given || next.cores.length === 0 || next.epoch <= coreSet.epoch || store.failed() !== undefined) return
    coreSet = next
    ids = idsOf(next.cores)
    moving = true
    voter = placeIn(next) !== undefined
    if (!voter) stopServing()
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
    nextRecovery = world.now() + DISK_RETRY_DELAY_MS
    async function run(): Promise<void> {
      if (!(await store.recover())) return
      world.log.info('disk-recovered', { core: set.id, phase: store.phase(), epoch: store.set().epoch })
      if (store.set().epoch === coreSet.epoch && store.phase() === 'founded') return
      stopServing()
      if (store.set().epoch < coreSet.epoch) await writeSet(coreSet)
    }
    try {
      await enterSet(run)
    } catch {
      // It failed again, and is tried again.
    }
  }
  const mayBegin = 'cores' in set || (set.founders?.length ?? 0) > 0
  const first = given
    ? { epoch: 0, cores: given }
    : store.set().cores.length > 0
      ? store.set()
      : 'founders' in set && set.founders
        ? { epoch: 0, cores: set.founders }
        : undefined
  if (first) await join(first)

  function keyLines(): RegisterSummary[] {
    const out: RegisterSummary[] = []
    for (const [key, entry] of store.entries()) {
      if (!entry.value) continue
      const line: RegisterSummary = { key, ballot: entry.ballot, turn: entry.value.turn, chosen: isSettled(key, entry) }
      out.push(store.isWritten(key) ? line : { ...line, pending: true })
    }
    return out
  }
  function isSettled(key: string, entry: RegisterEntry): boolean {
    const at = settled.get(key)
    return at !== undefined && compareBallots(at, entry.ballot) === 0
  }
  // A value is on disk. Word that it is settled may have come before that.
  function taken(key: string, before: RegisterEntry, after: RegisterEntry, delta: Delta | undefined): void {
    chains.taken(key, before, after, delta)
    if (isSettled(key, after)) pushes.push(key)
  }
  function learn(key: string, ballot: Ballot): void {
    const c = store.entries().get(key)
    const old = settled.get(key)
    if (old && compareBallots(ballot, old) <= 0) return
    settled.set(key, ballot)
    for (const other of others) if (!other.held.up()) handover.missedBy(other.id, key)
    if (c && compareBallots(c.ballot, ballot) === 0) pushes.push(key)
  }
  async function handOver(): Promise<void> {
    if (servingNow()) await handover.handOver(others)
  }
  function state(): CoreState {
    const hears: string[] = []
    for (const other of others) if (other.held.up()) hears.push(other.id)
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
  async function answer(msg: CoreMessage, peer: Hello, link: Link): Promise<unknown> {
    metrics.add('claynotch_core_words_total', [['word', msg.t]])
    switch (msg.t) {
      case 'state':
        return state()
      case 'seeds':
        return coreSet
      case 'set':
        await adopt(msg.set)
        return { ok: true }
      default:
        break
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
        return await promised(msg.key, msg.ballot, msg.have)
      case 'accept':
        return 'delta' in msg
          ? await acceptedDelta(msg.key, msg.ballot, msg.base, msg.delta)
          : await store.accept(msg.key, msg.ballot, msg.value as RegisterValue)
      case 'learn':
        learn(msg.key, msg.ballot)
        return { ok: true }
      case 'handover':
        return { ok: true, took: await handover.take(msg.cells as HandedEntry[]) }
      case 'get': {
        // After what is being written now: one that isn't on disk yet might be lost, and was then never there.
        const c = await store.accepted(msg.key)
        return store.failed() !== undefined ? { ok: false, absent: true } : gotten(msg.key, c.ballot, c.value, msg.have)
      }
      case 'subscribe':
        if (msg.on) pushes.subscribe(link, msg.have)
        else pushes.unsubscribe(link)
        return { ok: true }
      case 'keys': {
        const keys: string[] = [...store.entries().keys()]
        return { ok: true, keys, top: store.highestNumber() }
      }
      case 'renew':
        return renewals.answer(msg)
      case 'leave':
        leases.leave(msg.node, msg.life)
        return { ok: true }
      case 'members':
        return { ok: true, members: leases.members(), sure: leases.isComplete() }
      case 'ack': {
        pushes.acked(link, msg.num)
        metrics.add('claynotch_core_acks_total')
        leases.ack(peer.node, msg.key, msg.turn)
        return { ok: true }
      }
    }
  }
  // --- values, told only as far as the asker lacks them ---
  async function promised(key: string, ballot: Ballot, have: Ballot | undefined): Promise<unknown> {
    const got = await store.prepare(key, ballot)
    if (!got.ok || !have || !got.value || compareBallots(got.ballot, have) !== 0) return got
    return { ok: true, ballot: got.ballot, same: true }
  }
  async function acceptedDelta(key: string, ballot: Ballot, base: Ballot, delta: Delta): Promise<DeltaAnswer> {
    const got = await store.acceptDelta(key, ballot, base, delta)
    if ('lacksBase' in got) metrics.add('claynotch_core_bases_lacking_total')
    return got
  }
  function gotten(key: string, ballot: Ballot, value: RegisterValue | undefined, have: Ballot | undefined): GetAnswer {
    if (!value || !have) return { ok: true, ballot, value: value ?? null }
    if (compareBallots(ballot, have) === 0) return { ok: true, ballot, same: true }
    const deltas = chains.path(key, have, ballot)
    return deltas ? { ok: true, ballot, base: have, deltas } : { ok: true, ballot, value }
  }
  function serveLink(peer: Hello, link: Link) {
    if (peer.kind === 'agent') pushes.linked(link, peer)
    async function take(msg: unknown): Promise<unknown> {
      const got = readAs(CoreMessage, msg)
      if (got.err) {
        metrics.add('claynotch_link_garbage_total')
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
    pushes.lost(link)
  }
  const here = 'cores' in set ? set.cores.find(isMe)!.addr : set.addr
  const listener: Listener = await world.listen(here, acceptLinks(world, mine, serveLink, lostLink))

  // --- founding and refill ---

  async function askStates(): Promise<(CoreState | undefined)[]> {
    const asks: Promise<CoreState | undefined>[] = []
    for (const other of others)
      asks.push(other.held.ask({ t: 'state' }, ROUND_TIMEOUT_MS) as Promise<CoreState | undefined>)
    return await Promise.all(asks)
  }
  // true: this core may vote.
  async function found(): Promise<boolean> {
    const askedAfter = world.now() - born
    const states = await askStates()
    const view: FoundingView = {
      set: coreSet,
      ids,
      phase: store.phase(),
      lost,
      remembered,
      isGiven: given !== undefined,
      mayBegin,
      others: others.length,
      askedAfter,
      runs: world.now() - born,
    }
    const next = foundingStep(view, states)
    switch (next.step) {
      case 'wait':
        return false
      case 'adopt':
        await adopt(next.set)
        return false
      case 'differs':
        world.log.error('core-set-differs', { core: next.from.id, theirs: next.from.cores.join(), ours: ids.join() })
        return false
      case 'refill':
        return await refill()
      case 'intent':
        if (view.phase === 'none') await store.writeSet('intent', view.set, store.token())
        return false
      case 'founded':
        if (view.phase === 'none') await store.writeSet('intent', view.set, store.token())
        if (coreSet !== view.set) return false
        await store.writeSet('founded', view.set, store.token())
        world.log.info('core-founded', { core: set.id })
        return true
    }
  }
  // A core that lost its memory votes again only after, for every register, a whole round above all that
  // was promised was done at a majority of the set counted among the others; and only after every prepare
  // that its forgotten promises could serve is void (see docs/register.md).
  async function refill(): Promise<boolean> {
    const wait = quietSince + REFILL_DELAY_MS - world.now()
    if (wait > 0) await pause(world, wait, stop)
    // All of it under one set; a change of the set meanwhile makes it void.
    const under = coreSet
    const got = await readRefill(world, set.id, others, under)
    if (!got || coreSet !== under) return false
    await store.refill(got.cells, got.floor, under, placeIn(under)?.token)
    if (coreSet !== under) return false
    // A newcomer may have been started anew since it was told to vote: which of these it is isn't known any more.
    if (under.epoch > 0) leases.beginUnknown()
    lost = false
    for (const [key, entry] of got.cells) settled.set(key, entry.ballot)
    world.log.info('core-refilled', { core: set.id, keys: got.keys, floor: got.floor })
    metrics.add('claynotch_core_refills_total')
    return true
  }
  async function settle(): Promise<void> {
    if (store.failed() !== undefined) await recoverDisk()
    if (voter && !serving && !moving && store.failed() === undefined) {
      const under = coreSet
      const done = await found()
      if (done && coreSet === under) serving = true
    }
    metrics.set('claynotch_core_serving', [], servingNow() ? 1 : 0)
    metrics.set('claynotch_core_members', [], leases.members().length)
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
  if (coreSet.cores.length === 0) void loop(world, 'core-set', SEED_POLL_INTERVAL_MS, told, seek)
  void loop(world, 'found', 200, stop, settle)
  void loop(world, 'handover', HANDOVER_INTERVAL_MS, stop, handOver)

  async function end(): Promise<void> {
    stop.fire()
    pushes.closeAll()
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
    metrics: metrics,
    state: stateNow,
    agents: pushes.nodes,
    coreSet: coreSetNow,
    place: placeNow,
    adopt,
  }
}
