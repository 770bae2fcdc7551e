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
  type RegisterOutcome,
  type CoreState,
  type RegisterValue,
} from '@claynotch/register'
import { askCores, makeMarginWatch } from './core-status.js'
import { planVoters } from './voter-plan.js'

/** The state and functions that the duty for the core set needs from the agent. */
export type CoreSetView = {
  node: string
  proposer: Proposer
  leaseExpiresAt: () => number
  live: () => string[]
  learn: (key: string, value: RegisterValue, ballot: [number, string]) => void
  /** The current set and the local time (ms) at which it was adopted. */
  coreSet: () => { set: CoreSet; since: number }
  /** A voter's link and the local time (ms) of its last answer, or of the opening of its link if that is later. */
  core: (id: string) => { held: PersistentLink; heard: number } | undefined
  /** Core machines that don't vote and may become voters. */
  spares: () => CoreMember[]
  mostVoters: number
}

/** A core's answer with the keys of the registers that it stores. */
type KeysAnswer = { ok?: boolean; keys: string[] } | undefined

function hasKeys(answer: KeysAnswer): answer is { ok: true; keys: string[] } {
  return answer?.ok === true
}

/**
 * Runs the duty for the core set while this node holds it: docs/design/coreset.md.
 *
 * The set follows the core machines that are present. It changes in two writes of the register CORESET_KEY: first to a
 * joint set, then to a single one; between the two, every register is confirmed at a quorum of the joint set. Each step
 * depends only on what the register says, so that another holder of the duty can continue from there.
 */
export function startCoreSetDuty(world: World, view: CoreSetView, stop: Flag): void {
  /**
   * Machines that did not begin to vote, with the time at which adding them was abandoned. Not persisted: after a
   * restart they are tried again.
   */
  const abandonedAt = new Map<string, number>()
  /** Non-voting machines by id and token, with the time at which each was first seen. */
  let firstSeenAt = new Map<string, number>()

  /** The reported states of these cores, without those that are in a set of another epoch. */
  async function askStates(set: CoreSet, places: CoreMember[]): Promise<Map<string, CoreState>> {
    const states = await askCores(places, view.core)
    for (const [id, state] of states) if (state.set.epoch !== set.epoch) states.delete(id)
    return states
  }
  /** Replaces the set by the next one; changes nothing if the expected set is no longer the last one. */
  async function propose(expected: CoreSet, next: CoreSet): Promise<RegisterOutcome> {
    function replaceIfCurrent(current: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      const currentSet = current ? readAs(CoreSet, current.body) : undefined
      const epoch = currentSet?.ok ? currentSet.val.epoch : 0
      return epoch === expected.epoch ? { body: next, tag: `${view.node}~${next.epoch}~${world.now()}` } : undefined
    }
    const committed = await view.proposer.change(CORESET_KEY, replaceIfCurrent)
    if (committed.done && committed.value) view.learn(CORESET_KEY, committed.value, committed.ballot)
    return committed
  }

  // --- start of a change: from a single set to a joint one ---

  /**
   * Machines that may become voters. Empty while any non-voting machine was first seen within JOIN_BATCH_WINDOW_MS, so
   * that machines that arrive together join together.
   */
  function machinesToJoin(): CoreMember[] {
    const now = world.now()
    const previous = firstSeenAt
    firstSeenAt = new Map()
    const joinable: CoreMember[] = []
    for (const place of view.spares()) {
      const token = `${place.id} ${place.token}`
      firstSeenAt.set(token, previous.get(token) ?? now)
      const abandoned = abandonedAt.get(place.id)
      if (abandoned === undefined || now - abandoned > JOIN_RETRY_DELAY_MS) joinable.push(place)
    }
    function isRecent(seenAt: number): boolean {
      return now - seenAt < JOIN_BATCH_WINDOW_MS
    }
    if ([...firstSeenAt.values()].some(isRecent)) return []
    function leastRecentlyAbandoned(a: CoreMember, b: CoreMember): number {
      return (abandonedAt.get(a.id) ?? -1) - (abandonedAt.get(b.id) ?? -1) || (a.id < b.id ? -1 : 1)
    }
    return joinable.sort(leastRecentlyAbandoned)
  }
  function silenceMs(id: string): number {
    const now = world.now()
    return now - (view.core(id)?.heard ?? now)
  }
  /** Whether a change of the set is possible at all, by what is known without asking the cores. */
  function couldChange(set: CoreSet, joinableCount: number): boolean {
    let longestSilenceMs = 0
    for (const voter of set.cores) longestSilenceMs = Math.max(longestSilenceMs, silenceMs(voter.id))
    if (joinableCount === 0) return set.cores.length % 2 === 0 && longestSilenceMs > VOTER_REMOVAL_TIMEOUT_MS
    return longestSilenceMs > VOTER_REPLACEMENT_TIMEOUT_MS || set.cores.length < view.mostVoters
  }
  async function startChange(set: CoreSet): Promise<void> {
    const joinable = machinesToJoin()
    // Sends no requests while no change is possible.
    if (!couldChange(set, joinable.length)) return
    const states = await askStates(set, set.cores)
    const servingVoters = new Set<string>()
    for (const [id, state] of states) if (state.serving) servingVoters.add(id)
    function isHeardByOthers(id: string): boolean {
      for (const state of states.values()) if (state.hears.includes(id)) return true
      return false
    }
    const next = planVoters({
      set,
      joining: joinable,
      silence: silenceMs,
      serving: servingVoters,
      isHeardByOthers,
      mostVoters: view.mostVoters,
    })
    if (!next) return
    const committed = await propose(set, { epoch: set.epoch + 1, cores: set.cores, next })
    world.log.info('core-set-change', {
      node: view.node,
      epoch: set.epoch + 1,
      leave: idsMissingFrom(set.cores, next),
      join: idsMissingFrom(next, set.cores),
      done: committed.done,
    })
  }

  // --- end of a change: from a joint set to a single one ---

  /**
   * Makes sure that every register, as it was chosen under older sets, is at a quorum of the joint set, so that every
   * quorum that may decide later includes a core that has it. Resolves to whether this was confirmed for all registers.
   */
  async function confirmRegisters(set: CoreSet): Promise<boolean> {
    const quorum = quorumOf(set)
    const asks: { id: string; got: Promise<KeysAnswer> }[] = []
    for (const voter of votersOf(set)) {
      const link = view.core(voter.id)?.held
      if (!link) continue
      asks.push({
        id: voter.id,
        got: link.ask({ t: 'keys', epoch: set.epoch }, ROUND_TIMEOUT_MS) as Promise<KeysAnswer>,
      })
    }
    const answering = new Set<string>()
    const keys = new Set<string>()
    for (const { id, answer: val } of await gatherQuorum(world, asks, quorum, hasKeys, ROUND_TIMEOUT_MS)) {
      if (!hasKeys(val)) continue
      answering.add(id)
      for (const key of val.keys) keys.add(key)
    }
    if (!quorum.met(answering)) return false
    async function confirm(key: string): Promise<boolean> {
      return (await view.proposer.look(key)).done
    }
    const keyList = [...keys]
    for (let batchStart = 0; batchStart < keyList.length; batchStart += REFILL_BATCH_SIZE) {
      const batchResults = await Promise.all(keyList.slice(batchStart, batchStart + REFILL_BATCH_SIZE).map(confirm))
      if (batchResults.includes(false)) return false
    }
    return true
  }
  /**
   * Replaces the joint set by its next set once all newcomers vote, or by the previous set if a newcomer doesn't begin
   * to vote in time.
   */
  async function finishChange(set: CoreSet, next: CoreMember[], adoptedAt: number): Promise<void> {
    function isNewcomer(place: CoreMember): boolean {
      return !hasCore(set.cores, place.id)
    }
    const newcomers = next.filter(isNewcomer)
    const states = await askStates(set, newcomers)
    function isMissing(place: CoreMember): boolean {
      return states.get(place.id)?.serving !== true
    }
    const missing = newcomers.filter(isMissing)
    const waitedMs = world.now() - adoptedAt
    function hasTimedOut(place: CoreMember): boolean {
      return waitedMs > (states.has(place.id) ? CORE_JOIN_TIMEOUT_MS : VOTER_REPLACEMENT_TIMEOUT_MS)
    }
    const timedOut = missing.filter(hasTimedOut)
    if (missing.length > 0 && timedOut.length === 0) return
    if (!(await confirmRegisters(set))) return
    // The registers must have been confirmed under this very set; otherwise the next run of the duty starts over.
    if (view.coreSet().set.epoch !== set.epoch) return
    for (const place of timedOut) abandonedAt.set(place.id, world.now())
    const committed = await propose(set, { epoch: set.epoch + 1, cores: timedOut.length > 0 ? set.cores : next })
    world.log.info('core-set-changed-to', {
      node: view.node,
      epoch: set.epoch + 1,
      calledOff: idsMissingFrom(timedOut, []),
      done: committed.done,
    })
  }
  /** Logs changes in how many more core losses the set tolerates. */
  const watchMargin = makeMarginWatch(world, view.node)
  let nextMarginCheckAt = 0
  async function checkMargin(set: CoreSet): Promise<void> {
    if (world.now() < nextMarginCheckAt) return
    nextMarginCheckAt = world.now() + QUORUM_MARGIN_INTERVAL_MS
    watchMargin(set, await askCores(votersOf(set), view.core))
  }
  async function runDuty(): Promise<void> {
    if (world.now() >= view.leaseExpiresAt() || dutyHolderOf(CORESET_KEY, view.live()) !== view.node) return
    const { set, since } = view.coreSet()
    if (set.cores.length === 0) return
    if (set.next) await finishChange(set, set.next, since)
    else {
      await startChange(set)
      await checkMargin(set)
    }
  }
  void loop(world, 'core-set-duty', CORE_SET_INTERVAL_MS, stop, runDuty)
}

/** The ids of the first list that are missing from the second, comma-separated. */
function idsMissingFrom(places: CoreMember[], others: CoreMember[]): string {
  const ids: string[] = []
  for (const place of places) if (!hasCore(others, place.id)) ids.push(place.id)
  return ids.join()
}
