import { LEASE_RENEWAL_TIMEOUT_MS, type PersistentLink, type World } from '@claynotch/base'
import type { CoreStatusEntry, CoreSetStatus } from '@claynotch/operator'
import {
  hasCore,
  tolerableLosses,
  quorumOf,
  votersOf,
  type CoreMember,
  type CoreSet,
  type CoreState,
} from '@claynotch/register'

// The core set as it is now: who of it votes, and how many more losses it bears. For operators, and for the log.

// core: a voter's link and when it was last heard. spares: core machines that don't vote.
export type CoreStatusView = {
  coreSet: () => CoreSet
  core: (id: string) => { held: PersistentLink; heard: number } | undefined
  spares: () => CoreMember[]
}

/** What each of these cores says of itself; whoever didn't answer isn't there. */
export async function askCores(
  places: CoreMember[],
  core: (id: string) => { held: PersistentLink } | undefined,
): Promise<Map<string, CoreState>> {
  const out = new Map<string, CoreState>()
  async function ask(id: string): Promise<void> {
    const state = (await core(id)?.held.ask({ t: 'state' }, LEASE_RENEWAL_TIMEOUT_MS)) as CoreState | undefined
    if (state) out.set(id, state)
  }
  const asks: Promise<void>[] = []
  for (const place of places) asks.push(ask(place.id))
  await Promise.all(asks)
  return out
}

// Those that vote under this very set.
export function votingOf(set: CoreSet, states: Map<string, CoreState>): Set<string> {
  const out = new Set<string>()
  for (const [id, s] of states) if (stateOf(set, s) === 'voting') out.add(id)
  return out
}
function stateOf(set: CoreSet, state: CoreState | undefined): CoreStatusEntry['state'] {
  if (!state) return 'silent'
  if (state.set.epoch !== set.epoch) return 'behind'
  return state.serving ? 'voting' : 'refilling'
}

function partOf(set: CoreSet, id: string): CoreStatusEntry['part'] {
  if (set.next === undefined) return 'votes'
  if (!hasCore(set.cores, id)) return 'joins'
  return hasCore(set.next, id) ? 'stays' : 'leaves'
}
// Asks every voter; undefined while no set is known here.
export async function readCoreStatus(world: World, view: CoreStatusView): Promise<CoreSetStatus | undefined> {
  const set = view.coreSet()
  if (set.cores.length === 0) return undefined
  const states = await askCores(votersOf(set), view.core)
  const voting = votingOf(set, states)
  const cores: CoreStatusEntry[] = []
  for (const { id, addr } of votersOf(set)) {
    const state = states.get(id)
    const heard = view.core(id)?.heard
    cores.push({
      id,
      addr,
      part: partOf(set, id),
      state: stateOf(set, state),
      ...(state ? { epoch: state.set.epoch } : {}),
      ...(heard === undefined ? {} : { heard: Math.round(world.now() - heard) }),
    })
  }
  const spares: string[] = []
  for (const s of view.spares()) spares.push(s.id)
  return {
    epoch: set.epoch,
    changing: set.next !== undefined,
    quorum: quorumOf(set).met(voting),
    lossesBorne: Math.max(0, tolerableLosses(set, voting)),
    cores,
    spares: spares.sort(),
  }
}

// Says in the log, once per change of state, that the next loss leaves no quorum, and that it is borne again. The duty for
// the core set calls it with what its voters answered.
export function makeMarginWatch(world: World, node: string): (set: CoreSet, states: Map<string, CoreState>) => void {
  let short = false
  function watch(set: CoreSet, states: Map<string, CoreState>): void {
    const voting = votingOf(set, states)
    const borne = tolerableLosses(set, voting)
    // Without a quorum it stays as it was said last: the next loss has come.
    if (borne < 0 || short === (borne === 0)) return
    short = borne === 0
    const said = { node, epoch: set.epoch, voting: voting.size, of: votersOf(set).length }
    if (short) world.log.warn('next-loss-leaves-no-quorum', said)
    else world.log.info('next-loss-borne', { ...said, losses: borne })
  }
  return watch
}
