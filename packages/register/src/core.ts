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
import { isStateLoss, makeRegisterStore, type RegisterEntry, type RegisterStore } from './register-store.js'
import { makeRenewals } from './renewals.js'

/**
 * Settings of one core. With `cores` an operator fixes the core set, which must include this core. Otherwise the set on
 * disk applies, then `founders`, then the answer of a seed; of these only `founders` may found a new set.
 */
export type CoreSettings = {
  id: string
  /** Path of the data directory. */
  data: string
  /** Operator override: all cores lost their disks, so found the set again even if agents remember the old one. */
  foundAnew?: boolean
} & (
  | { cores: CoreMember[] }
  | {
      /** Address on which this machine accepts links. */
      addr: Address
      /** HTTP addresses of other machines, polled until one of them returns a core set. */
      seeds: () => Address[]
      /** Passed only at the first start of the whole system, with empty disks; the same on every machine. */
      founders?: CoreMember[]
    }
)

/** A running core. */
export type Core = {
  /** This machine as a candidate for a core set; its token is already on disk. */
  place: () => CoreMember
  stop: () => Promise<void>
  /** Whether this core votes and its disk works. */
  serving: () => boolean
  store: RegisterStore
  metrics: Metrics
  /** The state of this core in a word or two. */
  state: () => string
  /** The nodes whose agents have a link to this core. */
  agents: () => string[]
  /** The current core set; without members until it is known. */
  coreSet: () => CoreSet
  /** Applies a committed core set. Ignores older sets, and every set if an operator fixed the set in the settings. */
  adopt: (next: CoreSet) => Promise<void>
  /** Registers the service that answers quota requests; they are rejected until then. */
  serveQuotas: (service: QuotaService) => void
}

/** ms. Interval at which a voter that isn't serving takes its next step and the gauges are updated. */
const FOUNDING_INTERVAL_MS = 200

/** The core set known without asking a seed: from the operator, from disk or from the founders. */
function initialCoreSet(settings: CoreSettings, store: RegisterStore): CoreSet | undefined {
  if ('cores' in settings) return { epoch: 0, cores: settings.cores }
  if (store.set().cores.length > 0) return store.set()
  return settings.founders ? { epoch: 0, cores: settings.founders } : undefined
}

/** Whether this core may start founding a set: the operator fixed the set or passed the founders. */
function mayStartFounding(settings: CoreSettings): boolean {
  return 'cores' in settings || (settings.founders?.length ?? 0) > 0
}

/** The address on which this core listens. Throws if the operator's core set lacks this core. */
function listenAddressOf(settings: CoreSettings): Address {
  if (!('cores' in settings)) return settings.addr
  for (const member of settings.cores) if (member.id === settings.id) return member.addr
  throw new Error(`core ${settings.id} is not a member of its configured core set`)
}

/** Polls the seeds until one returns the core set or the set becomes known in another way. */
function startSeedPolling(
  world: World,
  id: string,
  seeds: () => Address[],
  follower: CoreSetFollower,
  stop: Flag,
): void {
  const coreSetKnown = makeFlag()
  stop.watch(coreSetKnown.fire)
  async function pollSeeds(): Promise<void> {
    if (follower.coreSet().cores.length > 0) return
    const seedAnswer = await fetchCoreSetFromSeeds(world, seeds())
    if (!seedAnswer || stop.fired()) return
    world.log.info('core-set-told', { core: id, seed: seedAnswer.seed, set: seedAnswer.set.cores.length })
    // A peer may have sent the set over a link in the meantime.
    if (follower.coreSet().cores.length === 0) await follower.join(seedAnswer.set)
    coreSetKnown.fire()
  }
  void loop(world, 'core-set', SEED_POLL_INTERVAL_MS, coreSetKnown, pollSeeds)
}

/** Starts one core: it votes on registers, holds the leases of members and pushes committed changes to its agents. */
export async function startCore(world: World, settings: CoreSettings): Promise<Core> {
  const { id } = settings
  const startedAt = world.now()
  const stop = makeFlag()
  const metrics = makeMetrics()
  const chains = makeDeltaChains()
  const committed = makeCommittedBallots()
  const store = makeRegisterStore(world, `${settings.data}/register`, onValueAccepted)
  const leases = makeLeases(world)
  const pushes = makePushes(store, chains, committed.isCommitted, metrics)
  const renewals = makeRenewals(world, leases, registerSummaries, metrics)
  const handover = makeHandover(world, store, committed.isCommitted, learnCommitted, metrics)
  const peers = makeCorePeers(world, id, stop, handover)

  const findings = await store.open()
  for (const { place, what } of findings) world.log.warn('data-file', { place, what })
  const follower = makeCoreSetFollower(
    world,
    { id, startedAt, isSetFixed: 'cores' in settings, hasLostState: findings.some(isStateLoss) },
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
    isSetFixed: 'cores' in settings,
    mayStartFounding: mayStartFounding(settings),
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
    state: currentState,
    learn: learnCommitted,
    quotas: currentQuotaService,
    foundAnew: settings.foundAnew === true,
    metrics,
  })
  let quotaService: QuotaService | undefined
  function currentQuotaService(): QuotaService | undefined {
    return quotaService
  }
  function serveQuotas(service: QuotaService): void {
    quotaService = service
  }
  const firstSet = initialCoreSet(settings, store)
  if (firstSet) await follower.join(firstSet)

  function registerSummaries(): RegisterSummary[] {
    const summaries: RegisterSummary[] = []
    for (const [key, entry] of store.entries()) {
      const { ballot, value } = entry
      if (!value) continue
      const summary = { key, ballot, turn: value.turn, chosen: committed.isCommitted(key, entry) }
      summaries.push(store.isWritten(key) ? summary : { ...summary, pending: true })
    }
    return summaries
  }
  /** Called once a value is on disk. The message that it is committed may have arrived earlier. */
  function onValueAccepted(key: string, before: RegisterEntry, after: RegisterEntry, delta: Delta | undefined): void {
    chains.recordAccepted(key, before, after, delta)
    if (committed.isCommitted(key, after)) pushes.push(key)
  }
  /** Records that a ballot is committed: notes which unreachable peers miss it, and pushes the value if it is here. */
  function learnCommitted(key: string, ballot: Ballot): void {
    const entry = store.entries().get(key)
    if (!committed.learn(key, ballot)) return
    for (const peer of peers.list()) if (!peer.held.up()) handover.recordMissed(peer.id, key)
    if (entry && compareBallots(entry.ballot, ballot) === 0) pushes.push(key)
  }
  function isServing(): boolean {
    return follower.isServing() && store.failed() === undefined
  }
  async function handOver(): Promise<void> {
    if (isServing()) await handover.handOver(peers.list())
  }
  function currentState(): CoreState {
    const connectedPeerIds: string[] = []
    for (const peer of peers.list()) if (peer.held.up()) connectedPeerIds.push(peer.id)
    return {
      t: 'state',
      id,
      phase: follower.hasLostState() ? 'none' : store.phase(),
      serving: isServing() && !follower.isChangingSet(),
      cores: follower.ids(),
      set: follower.coreSet(),
      hears: connectedPeerIds,
    }
  }
  /** The state of this core in a word or two, for logs and operators. */
  function describeState(): string {
    if (store.failed() !== undefined) return 'disk failed'
    if (follower.isServing()) return 'serving'
    if (follower.coreSet().cores.length === 0) return 'looking'
    if (!follower.isVoter()) return 'aside'
    return follower.hasLostState() || founding.wasPreviouslyFounded() ? 'lost' : store.phase()
  }
  async function advanceFounding(): Promise<void> {
    await founding.step()
    metrics.set('claynotch_core_serving', [], isServing() ? 1 : 0)
    metrics.set('claynotch_core_members', [], leases.memberEntries().length)
  }
  const address = listenAddressOf(settings)
  const hello = makeHello('core', id)
  const listener = await world.listen(address, acceptLinks(world, hello, messages.serve, messages.onLinkLost))
  if (follower.coreSet().cores.length === 0 && 'seeds' in settings)
    startSeedPolling(world, id, settings.seeds, follower, stop)
  void loop(world, 'found', FOUNDING_INTERVAL_MS, stop, advanceFounding)
  void loop(world, 'handover', HANDOVER_INTERVAL_MS, stop, handOver)
  world.log.info('core-started', {
    core: id,
    addr: address,
    state: describeState(),
    set: idsOf(follower.coreSet().cores).join(),
  })

  async function stopCore(): Promise<void> {
    stop.fire()
    pushes.closeAll()
    await listener.close()
  }
  function ownPlace(): CoreMember {
    const token = follower.isVoter() || store.failed() !== undefined ? undefined : store.token()
    return { id, addr: address, ...(token === undefined ? {} : { token }) }
  }
  return {
    stop: stopCore,
    serving: isServing,
    store,
    metrics,
    state: describeState,
    agents: pushes.linkedNodes,
    coreSet: follower.coreSet,
    place: ownPlace,
    adopt: follower.adopt,
    serveQuotas,
  }
}
