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

/**
 * The state and functions of the agent from which the status of the core set is read, for operators and for the log.
 */
export type CoreStatusView = {
  coreSet: () => CoreSet
  /** A voter's link and the local time (ms) at which the voter was last heard. */
  core: (id: string) => { held: PersistentLink; heard: number } | undefined
  /** Core machines that don't vote. */
  spares: () => CoreMember[]
}

/** Asks these cores for their states; the result lacks the cores that didn't answer. */
export async function askCores(
  places: CoreMember[],
  core: (id: string) => { held: PersistentLink } | undefined,
): Promise<Map<string, CoreState>> {
  const states = new Map<string, CoreState>()
  async function ask(id: string): Promise<void> {
    const state = (await core(id)?.held.ask({ t: 'state' }, LEASE_RENEWAL_TIMEOUT_MS)) as CoreState | undefined
    if (state) states.set(id, state)
  }
  const asks: Promise<void>[] = []
  for (const place of places) asks.push(ask(place.id))
  await Promise.all(asks)
  return states
}

/** The cores that vote under this very set. */
export function votingCores(set: CoreSet, states: Map<string, CoreState>): Set<string> {
  const voting = new Set<string>()
  for (const [id, state] of states) if (stateOf(set, state) === 'voting') voting.add(id)
  return voting
}
function stateOf(set: CoreSet, state: CoreState | undefined): CoreStatusEntry['state'] {
  if (!state) return 'silent'
  if (state.set.epoch !== set.epoch) return 'behind'
  return state.serving ? 'voting' : 'refilling'
}

/** The part that a core has in a change of the set. */
function partOf(set: CoreSet, id: string): CoreStatusEntry['part'] {
  if (set.next === undefined) return 'votes'
  if (!hasCore(set.cores, id)) return 'joins'
  return hasCore(set.next, id) ? 'stays' : 'leaves'
}
/**
 * Asks every voter for its state: which cores vote, and how many more losses the set tolerates; undefined: no set is
 * known.
 */
export async function readCoreStatus(world: World, view: CoreStatusView): Promise<CoreSetStatus | undefined> {
  const set = view.coreSet()
  if (set.cores.length === 0) return undefined
  const states = await askCores(votersOf(set), view.core)
  const voting = votingCores(set, states)
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
  for (const spare of view.spares()) spares.push(spare.id)
  return {
    epoch: set.epoch,
    changing: set.next !== undefined,
    quorum: quorumOf(set).met(voting),
    lossesBorne: Math.max(0, tolerableLosses(set, voting)),
    cores,
    spares: spares.sort(),
  }
}

/**
 * Logs, once per change, that the next loss would leave no quorum, or that it would be tolerated again. The duty for
 * the core set calls the returned function with the answers of the voters.
 */
export function makeMarginWatch(world: World, node: string): (set: CoreSet, states: Map<string, CoreState>) => void {
  let isAtLimit = false
  function logMarginChange(set: CoreSet, states: Map<string, CoreState>): void {
    const voting = votingCores(set, states)
    const losses = tolerableLosses(set, voting)
    // Without a quorum nothing is logged: the loss that the last warning announced has happened.
    if (losses < 0 || isAtLimit === (losses === 0)) return
    isAtLimit = losses === 0
    const fields = { node, epoch: set.epoch, voting: voting.size, of: votersOf(set).length }
    if (isAtLimit) world.log.warn('next-loss-leaves-no-quorum', fields)
    else world.log.info('next-loss-borne', { ...fields, losses })
  }
  return logMarginChange
}
