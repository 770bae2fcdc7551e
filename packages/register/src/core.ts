import {
  acceptLinks,
  HANDOVER_INTERVAL_MS,
  loop,
  makeFlag,
  makeHello,
  makeMetrics,
  SEED_POLL_INTERVAL_MS,
  type Address,
  type Flag,
  type Metrics,
  type World,
} from '@claynotch/base'
import { compareBallots, type Ballot } from './ballot.js'
import { makeCommittedBallots } from './committed-ballots.js'
import { makeCoreFounding } from './core-founding.js'
import { makeCoreMessages, type QuotaService } from './core-messages.js'
import { makeCorePeers } from './core-peers.js'
import { idsOf, makeCoreSetFollower, type CoreSetFollower } from './core-set-follower.js'
import { fetchCoreSetFromSeeds, type CoreMember, type CoreSet } from './core-set.js'
import type { Delta } from './delta.js'
import type { CoreState } from './founding.js'
import { makeHandover } from './handover.js'
import { makeLeases } from './leases.js'
import type { RegisterSummary } from './messages.js'
import { makeDeltaChains, makePushes } from './pushes.js'
import { isLoss, makeRegisterStore, type RegisterEntry, type RegisterStore } from './register-store.js'
import { makeRenewals } from './renewals.js'

/**
 * cores: the set as an operator gives it, this core among it. Else the disk's set holds, else founders, else what the seeds
 * tell; only founders are founded.
 */
export type CoreSettings = {
  id: string
  /** The data folder. */
  data: string
  /** An operator's word that all cores lost their disks and everything is to begin again. */
  foundAnew?: boolean
} & (
  | { cores: CoreMember[] }
  | {
      /** Where this machine takes links. */
      addr: Address
      /** HTTP addresses of others, asked again until one tells. */
      seeds: () => Address[]
      /** Given at the very first start of the whole system, with empty disks, to all alike. */
      founders?: CoreMember[]
    }
)

export type Core = {
  /** This machine as it may be taken into a set; its token is on disk. */
  place: () => CoreMember
  stop: () => Promise<void>
  serving: () => boolean
  store: RegisterStore
  metrics: Metrics
  state: () => string
  agents: () => string[]
  /** NO_SET until it is known. */
  coreSet: () => CoreSet
  /** Takes a set that was chosen; an older one, or another than an operator gave, changes nothing. */
  adopt: (next: CoreSet) => Promise<void>
  /** From now on questions about quotas are answered by this; until then they are refused. */
  serveQuotas: (service: QuotaService) => void
}

/** ms. Interval at which a voter that doesn't serve takes its next step, and the gauges are set. */
const FOUNDING_INTERVAL_MS = 200

/** The set that a core begins with, where it knows one without asking: an operator's, its disk's, or the founders'. */
function firstSetOf(settings: CoreSettings, store: RegisterStore): CoreSet | undefined {
  if ('cores' in settings) return { epoch: 0, cores: settings.cores }
  if (store.set().cores.length > 0) return store.set()
  return settings.founders ? { epoch: 0, cores: settings.founders } : undefined
}

function mayBeginOf(settings: CoreSettings): boolean {
  return 'cores' in settings || (settings.founders?.length ?? 0) > 0
}

function addressOf(settings: CoreSettings): Address {
  if (!('cores' in settings)) return settings.addr
  for (const place of settings.cores) if (place.id === settings.id) return place.addr
  throw new Error(`core ${settings.id} is not among its own set`)
}

/** Asks the seeds for the set until one tells, or it became known otherwise. */
function startSeeking(world: World, id: string, seeds: () => Address[], follower: CoreSetFollower, stop: Flag): void {
  const found = makeFlag()
  stop.watch(found.fire)
  async function seek(): Promise<void> {
    if (follower.coreSet().cores.length > 0) return
    const told = await fetchCoreSetFromSeeds(world, seeds())
    if (!told || stop.fired()) return
    world.log.info('core-set-told', { core: id, seed: told.seed, set: told.set.cores.length })
    // It may have been told a set already by a link.
    if (follower.coreSet().cores.length === 0) await follower.join(told.set)
    found.fire()
  }
  void loop(world, 'core-set', SEED_POLL_INTERVAL_MS, found, seek)
}

/** One core machine: it votes on registers, holds leases, and pushes committed changes to its agents. */
export async function startCore(world: World, settings: CoreSettings): Promise<Core> {
  const { id } = settings
  const startedAt = world.now()
  const stop = makeFlag()
  const metrics = makeMetrics()
  const chains = makeDeltaChains()
  const committed = makeCommittedBallots()
  const store = makeRegisterStore(world, `${settings.data}/register`, taken)
  const leases = makeLeases(world)
  const pushes = makePushes(store, chains, committed.isCommitted, metrics)
  const renewals = makeRenewals(world, leases, registerSummaries, metrics)
  const handover = makeHandover(world, store, committed.isCommitted, learn, metrics)
  const peers = makeCorePeers(world, id, stop, handover)

  const findings = await store.open()
  for (const { place, what } of findings) world.log.warn('data-file', { place, what })
  const follower = makeCoreSetFollower(
    world,
    { id, startedAt, isGiven: 'cores' in settings, isLost: findings.some(isLoss) },
    store,
    leases,
    peers.connect,
  )
  const founding = makeCoreFounding(world, {
    id,
    startedAt,
    store,
    follower,
    peers,
    leases,
    committed,
    isGiven: 'cores' in settings,
    mayBegin: mayBeginOf(settings),
    stop,
    metrics,
  })
  const messages = makeCoreMessages(world, {
    id,
    store,
    chains,
    pushes,
    renewals,
    handover,
    leases,
    follower,
    founding,
    state,
    learn,
    quotas: quotasNow,
    foundAnew: settings.foundAnew === true,
    metrics,
  })
  let quotas: QuotaService | undefined
  function quotasNow(): QuotaService | undefined {
    return quotas
  }
  function serveQuotas(service: QuotaService): void {
    quotas = service
  }
  const firstSet = firstSetOf(settings, store)
  if (firstSet) await follower.join(firstSet)

  function registerSummaries(): RegisterSummary[] {
    const out: RegisterSummary[] = []
    for (const [key, entry] of store.entries()) {
      const { ballot, value } = entry
      if (!value) continue
      const summary = { key, ballot, turn: value.turn, chosen: committed.isCommitted(key, entry) }
      out.push(store.isWritten(key) ? summary : { ...summary, pending: true })
    }
    return out
  }
  /** A value is on disk. Word that it is committed may have come before that. */
  function taken(key: string, before: RegisterEntry, after: RegisterEntry, delta: Delta | undefined): void {
    chains.taken(key, before, after, delta)
    if (committed.isCommitted(key, after)) pushes.push(key)
  }
  function learn(key: string, ballot: Ballot): void {
    const entry = store.entries().get(key)
    if (!committed.learn(key, ballot)) return
    for (const peer of peers.list()) if (!peer.held.up()) handover.missedBy(peer.id, key)
    if (entry && compareBallots(entry.ballot, ballot) === 0) pushes.push(key)
  }
  function isServing(): boolean {
    return follower.isServing() && store.failed() === undefined
  }
  async function handOver(): Promise<void> {
    if (isServing()) await handover.handOver(peers.list())
  }
  function state(): CoreState {
    const hears: string[] = []
    for (const peer of peers.list()) if (peer.held.up()) hears.push(peer.id)
    return {
      t: 'state',
      id,
      phase: follower.isLost() ? 'none' : store.phase(),
      serving: isServing() && !follower.isMoving(),
      cores: follower.ids(),
      set: follower.coreSet(),
      hears,
    }
  }
  function stateText(): string {
    if (store.failed() !== undefined) return 'disk failed'
    if (follower.isServing()) return 'serving'
    if (follower.coreSet().cores.length === 0) return 'looking'
    if (!follower.isVoter()) return 'aside'
    return follower.isLost() || founding.isRemembered() ? 'lost' : store.phase()
  }
  async function advance(): Promise<void> {
    await founding.step()
    metrics.set('claynotch_core_serving', [], isServing() ? 1 : 0)
    metrics.set('claynotch_core_members', [], leases.memberEntries().length)
  }
  const address = addressOf(settings)
  const hello = makeHello('core', id)
  const listener = await world.listen(address, acceptLinks(world, hello, messages.serve, messages.lost))
  if (follower.coreSet().cores.length === 0 && 'seeds' in settings)
    startSeeking(world, id, settings.seeds, follower, stop)
  void loop(world, 'found', FOUNDING_INTERVAL_MS, stop, advance)
  void loop(world, 'handover', HANDOVER_INTERVAL_MS, stop, handOver)
  world.log.info('core-started', {
    core: id,
    addr: address,
    state: stateText(),
    set: idsOf(follower.coreSet().cores).join(),
  })

  async function end(): Promise<void> {
    stop.fire()
    pushes.closeAll()
    await listener.close()
  }
  function place(): CoreMember {
    const token = follower.isVoter() || store.failed() !== undefined ? undefined : store.token()
    return { id, addr: address, ...(token === undefined ? {} : { token }) }
  }
  return {
    stop: end,
    serving: isServing,
    store,
    metrics,
    state: stateText,
    agents: pushes.nodes,
    coreSet: follower.coreSet,
    place,
    adopt: follower.adopt,
    serveQuotas,
  }
}
