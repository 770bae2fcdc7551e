import {
  CORE_JOIN_TIMEOUT_MS,
  CORE_SET_INTERVAL_MS,
  JOIN_RETRY_DELAY_MS,
  JOIN_BATCH_WINDOW_MS,
  loop,
  QUORUM_MARGIN_INTERVAL_MS,
  readAs,
  REFILL_BATCH_SIZE,
  ROUND_TIMEOUT_MS,
  VOTER_REMOVAL_TIMEOUT_MS,
  VOTER_REPLACEMENT_TIMEOUT_MS,
  type Flag,
  type PersistentLink,
  type World,
} from '@claynotch/base'
import { dutyHolderOf } from '@claynotch/failover'
import {
  CoreSet,
  CORESET_KEY,
  gatherQuorum,
  hasCore,
  quorumOf,
  votersOf,
  type CoreMember,
  type Proposer,
  type Committed,
  type CoreState,
  type RegisterValue,
} from '@claynotch/register'
import { askCores, makeMarginWatch } from './core-status.js'
import { planVoters } from './voter-plan.js'

// The duty for the core set: docs/design/coreset.md. The set follows the core machines that are there, in two changes of the
// register CORESET_KEY with a sweep between them. Each step goes by what the register says, so another holder goes on from there.

/** core: a voter's link and when it was last heard, at the earliest when it became known here as a voter. */
export type CoreSetView = {
  node: string
  proposer: Proposer
  leaseExpiresAt: () => number
  live: () => string[]
  learn: (key: string, value: RegisterValue, ballot: [number, string]) => void
  coreSet: () => { set: CoreSet; since: number }
  core: (id: string) => { held: PersistentLink; heard: number } | undefined
  spares: () => CoreMember[]
  mostVoters: number
}

type KeysAnswer = { ok?: boolean; keys: string[] } | undefined

function hasKeys(answer: KeysAnswer): answer is { ok: true; keys: string[] } {
  return answer?.ok === true
}

export function startCoreSetDuty(world: World, view: CoreSetView, stop: Flag): void {
  // tried: machines that did not begin to vote, with the time they were given up; lost with this process, and then tried again.
  const tried = new Map<string, number>()
  // seen: machines that are no voters, by their token, with the time they were first seen.
  let seen = new Map<string, number>()

  // What these cores say of themselves under this very set.
  async function askStates(set: CoreSet, places: CoreMember[]): Promise<Map<string, CoreState>> {
    const states = await askCores(places, view.core)
    for (const [id, state] of states) if (state.set.epoch !== set.epoch) states.delete(id)
    return states
  }
  // Under the set it comes from, and nothing where that is no longer the last one.
  async function propose(from: CoreSet, next: CoreSet): Promise<Committed> {
    function edit(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      const last = now ? readAs(CoreSet, now.body) : undefined
      const epoch = last?.ok ? last.val.epoch : 0
      return epoch === from.epoch ? { body: next, tag: `${view.node}~${next.epoch}~${world.now()}` } : undefined
    }
    const got = await view.proposer.change(CORESET_KEY, edit)
    if (got.done && got.value) view.learn(CORESET_KEY, got.value, got.ballot)
    return got
  }

  // --- which set is to follow ---

  // Machines that may become voters, those that came together at one time.
  function freshMachines(): CoreMember[] {
    const now = world.now()
    const before = seen
    seen = new Map()
    const out: CoreMember[] = []
    for (const place of view.spares()) {
      const token = `${place.id} ${place.token}`
      seen.set(token, before.get(token) ?? now)
      const givenUp = tried.get(place.id)
      if (givenUp === undefined || now - givenUp > JOIN_RETRY_DELAY_MS) out.push(place)
    }
    function isRecent(at: number): boolean {
      return now - at < JOIN_BATCH_WINDOW_MS
    }
    if ([...seen.values()].some(isRecent)) return []
    function byTried(a: CoreMember, b: CoreMember): number {
      return (tried.get(a.id) ?? -1) - (tried.get(b.id) ?? -1) || (a.id < b.id ? -1 : 1)
    }
    return out.sort(byTried)
  }
  function silence(id: string): number {
    const now = world.now()
    return now - (view.core(id)?.heard ?? now)
  }
  function couldChange(set: CoreSet, fresh: number): boolean {
    let longest = 0
    for (const voter of set.cores) longest = Math.max(longest, silence(voter.id))
    if (fresh === 0) return set.cores.length % 2 === 0 && longest > VOTER_REMOVAL_TIMEOUT_MS
    return longest > VOTER_REPLACEMENT_TIMEOUT_MS || set.cores.length < view.mostVoters
  }
  async function change(set: CoreSet): Promise<void> {
    const fresh = freshMachines()
    // Nothing is asked of anyone while nothing can be changed.
    if (!couldChange(set, fresh.length)) return
    const states = await askStates(set, set.cores)
    const well = new Set<string>()
    for (const [id, state] of states) if (state.serving) well.add(id)
    function isHeardByOthers(id: string): boolean {
      for (const state of states.values()) if (state.hears.includes(id)) return true
      return false
    }
    const next = planVoters({ set, joining: fresh, silence, serving: well, isHeardByOthers, mostVoters: view.mostVoters })
    if (!next) return
    const got = await propose(set, { epoch: set.epoch + 1, cores: set.cores, next })
    world.log.info('core-set-change', {
      node: view.node,
      epoch: set.epoch + 1,
      leave: namesWithout(set.cores, next),
      join: namesWithout(next, set.cores),
      done: got.done,
    })
  }

  // --- from a joint set to a single one ---

  // Every register, as it was chosen under older sets, at a quorum of the joint one: each that may decide later has one of it.
  async function sweep(set: CoreSet): Promise<boolean> {
    const quorum = quorumOf(set)
    const asks: { id: string; got: Promise<KeysAnswer> }[] = []
    for (const voter of votersOf(set)) {
      const held = view.core(voter.id)?.held
      if (!held) continue
      asks.push({
        id: voter.id,
        got: held.ask({ t: 'keys', epoch: set.epoch }, ROUND_TIMEOUT_MS) as Promise<KeysAnswer>,
      })
    }
    const good = new Set<string>()
    const keys = new Set<string>()
    for (const { id, val } of await gatherQuorum(world, asks, quorum, hasKeys, ROUND_TIMEOUT_MS)) {
      if (!hasKeys(val)) continue
      good.add(id)
      for (const key of val.keys) keys.add(key)
    }
    if (!quorum.met(good)) return false
    async function settle(key: string): Promise<boolean> {
      return (await view.proposer.look(key)).done
    }
    const list = [...keys]
    for (let from = 0; from < list.length; from += REFILL_BATCH_SIZE) {
      const done = await Promise.all(list.slice(from, from + REFILL_BATCH_SIZE).map(settle))
      if (done.includes(false)) return false
    }
    return true
  }
  // The joint set ends in the next one once its newcomers vote, or in the one before it where a newcomer doesn't come.
  async function finish(set: CoreSet, next: CoreMember[], since: number): Promise<void> {
    function isNewcomer(place: CoreMember): boolean {
      return !hasCore(set.cores, place.id)
    }
    const newcomers = next.filter(isNewcomer)
    const states = await askStates(set, newcomers)
    function isMissing(place: CoreMember): boolean {
      return states.get(place.id)?.serving !== true
    }
    const missing = newcomers.filter(isMissing)
    const waited = world.now() - since
    function isGone(place: CoreMember): boolean {
      return waited > (states.has(place.id) ? CORE_JOIN_TIMEOUT_MS : VOTER_REPLACEMENT_TIMEOUT_MS)
    }
    const gone = missing.filter(isGone)
    if (missing.length > 0 && gone.length === 0) return
    if (!(await sweep(set))) return
    // Swept under this very set, or not at all.
    if (view.coreSet().set.epoch !== set.epoch) return
    for (const place of gone) tried.set(place.id, world.now())
    const got = await propose(set, { epoch: set.epoch + 1, cores: gone.length > 0 ? set.cores : next })
    world.log.info('core-set-changed-to', {
      node: view.node,
      epoch: set.epoch + 1,
      calledOff: namesWithout(gone, []),
      done: got.done,
    })
  }
  // How many more losses the set bears, for the log.
  const watchMargin = makeMarginWatch(world, view.node)
  let nextWatch = 0
  async function watch(set: CoreSet): Promise<void> {
    if (world.now() < nextWatch) return
    nextWatch = world.now() + QUORUM_MARGIN_INTERVAL_MS
    watchMargin(set, await askCores(votersOf(set), view.core))
  }
  async function look(): Promise<void> {
    if (world.now() >= view.leaseExpiresAt() || dutyHolderOf(CORESET_KEY, view.live()) !== view.node) return
    const { set, since } = view.coreSet()
    if (set.cores.length === 0) return
    if (set.next) await finish(set, set.next, since)
    else {
      await change(set)
      await watch(set)
    }
  }
  void loop(world, 'core-set-duty', CORE_SET_INTERVAL_MS, stop, look)
}

/** The ids of the first list that the second lacks. */
function namesWithout(places: CoreMember[], others: CoreMember[]): string {
  const out: string[] = []
  for (const place of places) if (!hasCore(others, place.id)) out.push(place.id)
  return out.join()
}
