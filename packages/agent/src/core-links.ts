import {
  DELTA_LINK_VERSION,
  makeFlag,
  makeHello,
  makePersistentLink,
  readAs,
  type Address,
  type Flag,
  type Metrics,
  type PersistentLink,
  type World,
} from '@claynotch/base'
import {
  fetchCoreSetFromSeeds,
  makeCoreView,
  EMPTY_CORE_SET,
  quorumOf,
  RegisterPush,
  votersOf,
  type CoreSet,
  type CoreView,
  type Quorum,
  type Voter,
} from '@claynotch/register'

/** The link to one voting core, and the state that this core has reported. */
export type CoreLink = {
  link: PersistentLink
  address: Address
  /** Local time (ms) at which this node opened the link, after it learnt that the core votes. */
  since: number
  /** The state that the core has reported with its answers to renewals. */
  view: CoreView
}

/** What this node needs to know to find the cores. */
export type CoreLinksSettings = {
  node: string
  /** The core set, where a core runs in this process; it is consulted before the seeds. */
  knownCoreSet?: () => CoreSet
  seeds: () => Address[]
}

/** Callbacks for changes of the core set and for messages from the cores. */
export type CoreLinksEvents = {
  /** A later set was adopted; also called for the first one. */
  adopted: (next: CoreSet, isFirst: boolean) => void
  /** The link to a core was closed, because the core left the set or its address changed. */
  removed: (core: string) => void
  /** The link was established, handshake included. */
  up: (core: string) => void
  /** A core pushed a register. */
  push: (core: string, push: RegisterPush) => void
}

/**
 * Discovers the cores through the seeds, then follows changes of the core set.
 *
 * Invariants: there is a link to each voter of the adopted set and to no other core; the set's epoch only grows.
 */
export type CoreLinks = {
  coreSet: () => CoreSet
  /** Local time (ms) at which the current set was adopted; 0 while there is none. */
  adoptedAt: () => number
  quorum: () => Quorum
  /** The linked voters, as the proposer asks them. */
  voters: () => Voter[]
  all: () => ReadonlyMap<string, CoreLink>
  get: (core: string) => CoreLink | undefined
  /** Local time (ms) of the core's last answer, or of the opening of its link if that is later. */
  heardAt: (core: string) => number | undefined
  /** Adopts the set if its epoch is later than that of the current one. */
  adopt: (next: CoreSet) => void
  /** Looks up the first set. */
  discover: () => Promise<void>
  /** Asks the seeds for a later set, since all cores of the current one may have been replaced. */
  rediscover: () => Promise<void>
}

/** A core link with the function that closes it. */
type OwnedCoreLink = CoreLink & { end: () => void }

/** A check of whether the core at the other end supports delta messages. */
function deltaSupportOf(link: PersistentLink): () => boolean {
  function supportsDeltas(): boolean {
    return (link.peer()?.epoch ?? 0) >= DELTA_LINK_VERSION
  }
  return supportsDeltas
}

export function makeCoreLinks(
  world: World,
  settings: CoreLinksSettings,
  stop: Flag,
  metrics: Metrics,
  events: CoreLinksEvents,
): CoreLinks {
  const hello = makeHello('agent', settings.node)
  const links = new Map<string, OwnedCoreLink>()
  let coreSet: CoreSet = EMPTY_CORE_SET
  let adoptedAt = 0
  let isRediscovering = false

  function makePushHandler(core: string) {
    function handle(message: unknown): undefined {
      const push = readAs(RegisterPush, message)
      if (push.err) {
        metrics.add('claynotch_link_garbage_total')
        throw new Error('unknown message from a core')
      }
      metrics.add('claynotch_agent_pushes_total')
      events.push(core, push.val)
      return undefined
    }
    return handle
  }
  function openLink(core: string, address: Address): OwnedCoreLink {
    const closed = makeFlag()
    const stopWatching = stop.watch(closed.fire)
    function close(): void {
      stopWatching()
      closed.fire()
    }
    function up(): void {
      events.up(core)
    }
    const link = makePersistentLink(world, address, hello, makePushHandler(core), closed, up)
    return { link, address, since: world.now(), view: makeCoreView(world), end: close }
  }
  function closeUnwantedLinks(wantedAddresses: Map<string, Address>): void {
    for (const [core, { address, end }] of links) {
      if (wantedAddresses.get(core) === address) continue
      end()
      links.delete(core)
      events.removed(core)
    }
  }
  function adopt(next: CoreSet): void {
    const isFirst = coreSet.cores.length === 0
    if (stop.fired() || next.cores.length === 0 || (!isFirst && next.epoch <= coreSet.epoch)) return
    coreSet = next
    adoptedAt = world.now()
    const wantedAddresses = new Map<string, Address>()
    for (const voter of votersOf(next)) wantedAddresses.set(voter.id, voter.addr)
    closeUnwantedLinks(wantedAddresses)
    for (const [core, address] of wantedAddresses) if (!links.has(core)) links.set(core, openLink(core, address))
    if (!isFirst)
      world.log.info('core-set-followed', {
        node: settings.node,
        epoch: next.epoch,
        cores: next.cores.length,
        joint: next.next !== undefined,
      })
    events.adopted(next, isFirst)
  }
  async function discover(): Promise<void> {
    const known = settings.knownCoreSet?.() ?? EMPTY_CORE_SET
    const found =
      known.cores.length > 0 ? { seed: undefined, set: known } : await fetchCoreSetFromSeeds(world, settings.seeds())
    if (!found || stop.fired()) return
    adopt(found.set)
    world.log.info('core-set-found', { seed: found.seed ?? 'itself', cores: coreSet.cores.length })
  }
  async function rediscover(): Promise<void> {
    if (isRediscovering) return
    isRediscovering = true
    const found = await fetchCoreSetFromSeeds(world, settings.seeds(), coreSet.epoch)
    isRediscovering = false
    if (found) adopt(found.set)
  }
  function coreSetNow(): CoreSet {
    return coreSet
  }
  function adoptedAtNow(): number {
    return adoptedAt
  }
  function quorum(): Quorum {
    return quorumOf(coreSet)
  }
  function voters(): Voter[] {
    const linkedVoters: Voter[] = []
    for (const [id, { link }] of links)
      linkedVoters.push({ id, ask: link.ask, tell: link.tell, deltas: deltaSupportOf(link) })
    return linkedVoters
  }
  function all(): ReadonlyMap<string, CoreLink> {
    return links
  }
  function get(core: string): CoreLink | undefined {
    return links.get(core)
  }
  function heardAt(core: string): number | undefined {
    const coreLink = links.get(core)
    return coreLink && Math.max(coreLink.view.heard(), coreLink.since)
  }
  return {
    coreSet: coreSetNow,
    adoptedAt: adoptedAtNow,
    quorum,
    voters,
    all,
    get,
    heardAt,
    adopt,
    discover,
    rediscover,
  }
}
