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

/** The link to one core that votes, and what that core told of itself. */
export type CoreLink = {
  link: PersistentLink
  address: Address
  /** When this node learnt that the core votes. */
  since: number
  view: CoreView
}

export type CoreLinksSettings = {
  node: string
  /** The core set where this process knows it by itself; it is asked before the seeds. */
  knownCoreSet?: () => CoreSet
  seeds: () => Address[]
}

export type CoreLinksEvents = {
  /** A later set was adopted, the first one included. */
  adopted: (next: CoreSet, isFirst: boolean) => void
  removed: (core: string) => void
  /** The link was dialled, and the core said hello. */
  up: (core: string) => void
  push: (core: string, push: RegisterPush) => void
}

/**
 * Finds the cores through seeds, then follows the core set.
 *
 * Invariants: there is a link to each voter of the adopted set and to nobody else; the set's epoch only grows.
 */
export type CoreLinks = {
  coreSet: () => CoreSet
  adoptedAt: () => number
  quorum: () => Quorum
  voters: () => Voter[]
  all: () => ReadonlyMap<string, CoreLink>
  get: (core: string) => CoreLink | undefined
  /** When the core last answered, at the earliest when it became known here as a voter. */
  heardAt: (core: string) => number | undefined
  adopt: (next: CoreSet) => void
  /** Asks for the first set. */
  discover: () => Promise<void>
  /** Asks for a later set: nobody of the one that is known may be there any more. */
  rediscover: () => Promise<void>
}

type HeldCoreLink = CoreLink & { end: () => void }

function speaksDeltas(link: PersistentLink): () => boolean {
  function speaks(): boolean {
    return (link.peer()?.epoch ?? 0) >= DELTA_LINK_VERSION
  }
  return speaks
}

export function makeCoreLinks(
  world: World,
  settings: CoreLinksSettings,
  stop: Flag,
  metrics: Metrics,
  events: CoreLinksEvents,
): CoreLinks {
  const hello = makeHello('agent', settings.node)
  const links = new Map<string, HeldCoreLink>()
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
  function open(core: string, address: Address): HeldCoreLink {
    const ended = makeFlag()
    const unwatch = stop.watch(ended.fire)
    function end(): void {
      unwatch()
      ended.fire()
    }
    function up(): void {
      events.up(core)
    }
    const link = makePersistentLink(world, address, hello, makePushHandler(core), ended, up)
    return { link, address, since: world.now(), view: makeCoreView(world), end }
  }
  function closeOthers(wanted: Map<string, Address>): void {
    for (const [core, { address, end }] of links) {
      if (wanted.get(core) === address) continue
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
    const wanted = new Map<string, Address>()
    for (const place of votersOf(next)) wanted.set(place.id, place.addr)
    closeOthers(wanted)
    for (const [core, address] of wanted) if (!links.has(core)) links.set(core, open(core, address))
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
    const found = known.cores.length > 0 ? { seed: undefined, set: known } : await fetchCoreSetFromSeeds(world, settings.seeds())
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
    const out: Voter[] = []
    for (const [id, { link }] of links) out.push({ id, ask: link.ask, tell: link.tell, deltas: speaksDeltas(link) })
    return out
  }
  function all(): ReadonlyMap<string, CoreLink> {
    return links
  }
  function get(core: string): CoreLink | undefined {
    return links.get(core)
  }
  function heardAt(core: string): number | undefined {
    const held = links.get(core)
    return held && Math.max(held.view.heard(), held.since)
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
