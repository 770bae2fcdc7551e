import { DISK_RETRY_DELAY_MS, makeSerialQueue, type World } from '@claynotch/base'
import { EMPTY_CORE_SET, votersOf, type CoreMember, type CoreSet } from './core-set.js'
import type { Leases } from './leases.js'
import type { RegisterStore } from './register-store.js'

/**
 * Follows the core set on behalf of one core and decides whether this core may vote.
 *
 * Invariants: the set's epoch only grows; this core votes only while isServing(), which ends when it is removed from
 * the set or when its votes are no longer on its disk; while a later set is being written (isChangingSet()) nothing is
 * answered under either set until the later one is on disk.
 */
export type CoreSetFollower = {
  /** The current core set; without members until it is known. */
  coreSet: () => CoreSet
  /** The ids of the set, sorted. */
  ids: () => string[]
  /** Whether this core is a member of the current set. */
  isVoter: () => boolean
  /** Whether this core votes. */
  isServing: () => boolean
  /** Whether a later set is being written to disk. */
  isChangingSet: () => boolean
  /** The votes on this disk are lost; true until a refill has completed. */
  hasLostState: () => boolean
  /** Local time (ms) at which this core last stopped voting; every promise that it may have forgotten is older. */
  notServingSince: () => number
  /** The entry of this core in the set. */
  memberIn: (set: CoreSet) => CoreMember | undefined
  /** Applies the first set that is known since the start of this process. */
  join: (initialSet: CoreSet) => Promise<void>
  /** Applies a later set, which must be committed. */
  adopt: (nextSet: CoreSet) => Promise<void>
  /** Recovers from a failed write: reads the data file again and rewrites it. */
  recoverDisk: () => Promise<void>
  /** Starts voting, if this is still the current set. */
  startServing: (set: CoreSet) => void
  /** Called when a refill has replaced the lost state. */
  markRefilled: () => void
}

/** Settings of the follower. */
export type FollowerSettings = {
  id: string
  /** Local time (ms) at which this core was started. */
  startedAt: number
  /** An operator fixed the set in the settings, so it never changes. */
  isSetFixed: boolean
  /** The data file was found damaged at the start. */
  hasLostState: boolean
}

/** The ids of these cores, sorted. */
export function idsOf(members: CoreMember[]): string[] {
  const ids: string[] = []
  for (const { id } of members) ids.push(id)
  return ids.sort()
}

/** connect: called with the other voters of the current set. */
export function makeCoreSetFollower(
  world: World,
  settings: FollowerSettings,
  store: RegisterStore,
  leases: Leases,
  connect: (others: CoreMember[]) => void,
): CoreSetFollower {
  const runSerially = makeSerialQueue()
  let coreSet: CoreSet = EMPTY_CORE_SET
  let ids: string[] = []
  let isVoter = false
  let isServing = false
  let isChangingSet = false
  let { hasLostState } = settings
  let notServingSince = settings.startedAt
  let nextRecoveryAt = 0

  function isSelf(member: CoreMember): boolean {
    return member.id === settings.id
  }
  function isOther(member: CoreMember): boolean {
    return member.id !== settings.id
  }
  function memberIn(set: CoreSet): CoreMember | undefined {
    return votersOf(set).find(isSelf)
  }
  function connectOthers(): void {
    connect(isVoter ? votersOf(coreSet).filter(isOther) : [])
  }
  function newToken(): string {
    return Math.floor(world.random() * 2 ** 48).toString(36)
  }
  function stopServing(): void {
    if (isServing) notServingSince = world.now()
    isServing = false
  }
  /**
   * A machine outside the set stores the set only to pass it on, with a token under which it may become a member of a
   * later set.
   */
  async function join(initialSet: CoreSet): Promise<void> {
    const initialIds = idsOf(initialSet.cores)
    if (store.phase() !== 'none' && store.cores().join() !== initialIds.join())
      throw new Error(`the data directory belongs to the core set ${store.cores().join()}, not ${initialIds.join()}`)
    const isMember = memberIn(initialSet) !== undefined
    if (!isMember && settings.isSetFixed)
      throw new Error(`core ${settings.id} is not a member of its configured core set`)
    async function recordInitialSet(): Promise<void> {
      if (!isMember && (store.set().cores.length === 0 || store.token() === undefined))
        await store.writeSet('none', initialSet, newToken())
    }
    await runSerially(recordInitialSet)
    // A later set may have been applied while this one was written.
    if (coreSet.epoch > initialSet.epoch) return
    isVoter = isMember
    coreSet = initialSet
    ids = initialIds
    connectOthers()
    if (!isVoter) world.log.info('core-aside', { core: settings.id, set: ids.join() })
    else if (store.phase() === 'founded' && !hasLostState) isServing = true
  }
  /** A new member whose storage never voted starts to vote with empty state. */
  async function startVotingAsNewMember(nextSet: CoreSet): Promise<void> {
    await store.begin(nextSet)
    // Others may have counted leases under this set before this core joined it.
    leases.markIncomplete()
    if (coreSet === nextSet) isServing = true
    world.log.info('core-joined', { core: settings.id, epoch: nextSet.epoch })
  }
  /**
   * Writes a later set to disk, together with the role of this core in it. Only a voter with the storage that it voted
   * with before, or a new member whose storage never voted, may vote with its present state; any other needs a refill.
   */
  async function persistNextSet(nextSet: CoreSet): Promise<void> {
    const ownEntry = memberIn(nextSet)
    if (!ownEntry) return await store.writeSet('none', nextSet, newToken())
    const token = store.token()
    const isSameStorage = !hasLostState && ownEntry.token === token
    const wasVoter = memberIn(store.set()) !== undefined
    if (isSameStorage && wasVoter && (isServing || store.phase() === 'intent'))
      return await store.writeSet(store.phase(), nextSet, token)
    if (isSameStorage && token !== undefined && store.phase() === 'none') return await startVotingAsNewMember(nextSet)
    stopServing()
    // Without the token, so that this core can't pass for a new member that never voted.
    await store.writeSet('none', nextSet, undefined)
  }
  /**
   * The set changes before the first await, so that messages of an older epoch are rejected from the call on; what was
   * accepted earlier is written to disk before the set is.
   */
  async function adopt(nextSet: CoreSet): Promise<void> {
    const isNotNewer = nextSet.cores.length === 0 || nextSet.epoch <= coreSet.epoch
    if (settings.isSetFixed || isNotNewer || store.failed() !== undefined) return
    coreSet = nextSet
    ids = idsOf(nextSet.cores)
    isChangingSet = true
    isVoter = memberIn(nextSet) !== undefined
    if (!isVoter) stopServing()
    connectOthers()
    async function persistIfCurrent(): Promise<void> {
      // If a still later set has arrived, only that one is written.
      if (coreSet !== nextSet) return
      try {
        await persistNextSet(nextSet)
      } catch {
        // The store has logged the failure and answers nothing until it has recovered.
      }
    }
    await runSerially(persistIfCurrent)
    if (coreSet === nextSet) isChangingSet = false
    world.log.info('core-set-changed', {
      core: settings.id,
      epoch: nextSet.epoch,
      set: ids.join(),
      next: idsOf(nextSet.next ?? []).join(),
      voter: isVoter,
    })
  }
  async function recoverStore(): Promise<void> {
    if (!(await store.recover())) return
    world.log.info('disk-recovered', { core: settings.id, phase: store.phase(), epoch: store.set().epoch })
    if (store.set().epoch === coreSet.epoch && store.phase() === 'founded') return
    stopServing()
    // The set may have changed while the disk was failing.
    if (store.set().epoch < coreSet.epoch) await persistNextSet(coreSet)
  }
  async function recoverDisk(): Promise<void> {
    if (world.now() < nextRecoveryAt) return
    nextRecoveryAt = world.now() + DISK_RETRY_DELAY_MS
    try {
      await runSerially(recoverStore)
    } catch {
      // The recovery failed and is retried after DISK_RETRY_DELAY_MS.
    }
  }
  function startServing(set: CoreSet): void {
    if (coreSet === set) isServing = true
  }
  function markRefilled(): void {
    hasLostState = false
  }
  function currentCoreSet(): CoreSet {
    return coreSet
  }
  function currentIds(): string[] {
    return ids
  }
  function isVoterNow(): boolean {
    return isVoter
  }
  function isServingNow(): boolean {
    return isServing
  }
  function isChangingSetNow(): boolean {
    return isChangingSet
  }
  function hasLostStateNow(): boolean {
    return hasLostState
  }
  function currentNotServingSince(): number {
    return notServingSince
  }
  return {
    coreSet: currentCoreSet,
    ids: currentIds,
    isVoter: isVoterNow,
    isServing: isServingNow,
    isChangingSet: isChangingSetNow,
    hasLostState: hasLostStateNow,
    notServingSince: currentNotServingSince,
    memberIn,
    join,
    adopt,
    recoverDisk,
    startServing,
    markRefilled,
  }
}
