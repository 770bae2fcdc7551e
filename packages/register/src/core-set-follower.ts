import { DISK_RETRY_DELAY_MS, makeSerialQueue, type World } from '@claynotch/base'
import { EMPTY_CORE_SET, votersOf, type CoreMember, type CoreSet } from './core-set.js'
import type { Leases } from './leases.js'
import type { RegisterStore } from './register-store.js'

/**
 * The set that one core is of, and whether it may vote.
 *
 * Invariants: the set's epoch only grows; votes are given only while isServing(), which ends when this core is removed from the
 * set or when what it voted is not on its disk any more; while a later set is being written (isMoving()) nothing is answered
 * by either until it is on disk.
 */
export type CoreSetFollower = {
  coreSet: () => CoreSet
  /** The ids of the set, in order. */
  ids: () => string[]
  isVoter: () => boolean
  isServing: () => boolean
  isMoving: () => boolean
  /** What this disk held is gone, until a refill has ended. */
  isLost: () => boolean
  /** Local time (ms) after which nothing that was promised is forgotten. */
  quietSince: () => number
  /** This core as the set has it. */
  placeIn: (set: CoreSet) => CoreMember | undefined
  /** Takes the first set that is known in this life. */
  join: (known: CoreSet) => Promise<void>
  /** Takes a later set, which was chosen. */
  adopt: (next: CoreSet) => Promise<void>
  /** After a failed write: reads the file and writes it anew. */
  recoverDisk: () => Promise<void>
  /** It votes from now on, where that is still the present set. */
  serveUnder: (set: CoreSet) => void
  refilled: () => void
}

export type FollowerSettings = {
  id: string
  /** Local time (ms) at which this life of the core began. */
  startedAt: number
  /** The set was given by an operator, and never changes. */
  isGiven: boolean
  /** What the disk held was found to be gone. */
  isLost: boolean
}

export function idsOf(places: CoreMember[]): string[] {
  const out: string[] = []
  for (const { id } of places) out.push(id)
  return out.sort()
}

/** connect: the other voters of the present set are these. */
export function makeCoreSetFollower(
  world: World,
  settings: FollowerSettings,
  store: RegisterStore,
  leases: Leases,
  connect: (others: CoreMember[]) => void,
): CoreSetFollower {
  const inTurn = makeSerialQueue()
  let coreSet: CoreSet = EMPTY_CORE_SET
  let ids: string[] = []
  let isVoter = false
  let isServing = false
  let isMoving = false
  let { isLost } = settings
  let quietSince = settings.startedAt
  let nextRecoveryAt = 0

  function isMe(place: CoreMember): boolean {
    return place.id === settings.id
  }
  function isOther(place: CoreMember): boolean {
    return place.id !== settings.id
  }
  function placeIn(set: CoreSet): CoreMember | undefined {
    return votersOf(set).find(isMe)
  }
  function connectOthers(): void {
    connect(isVoter ? votersOf(coreSet).filter(isOther) : [])
  }
  function newToken(): string {
    return Math.floor(world.random() * 2 ** 48).toString(36)
  }
  function stopServing(): void {
    if (isServing) quietSince = world.now()
    isServing = false
  }
  /** A machine that isn't of the set keeps it on disk only to tell it, with a token under which it may be taken into a later one. */
  async function join(known: CoreSet): Promise<void> {
    const names = idsOf(known.cores)
    if (store.phase() !== 'none' && store.cores().join() !== names.join())
      throw new Error(`the data folder belongs to the core set ${store.cores().join()}, not ${names.join()}`)
    const isOfSet = placeIn(known) !== undefined
    if (!isOfSet && settings.isGiven) throw new Error(`core ${settings.id} is not among its own set`)
    async function writeFirst(): Promise<void> {
      if (!isOfSet && (store.set().cores.length === 0 || store.token() === undefined))
        await store.writeSet('none', known, newToken())
    }
    await inTurn(writeFirst)
    // A later set may have been taken while this one was written.
    if (coreSet.epoch > known.epoch) return
    isVoter = isOfSet
    coreSet = known
    ids = names
    connectOthers()
    if (!isVoter) world.log.info('core-aside', { core: settings.id, set: ids.join() })
    else if (store.phase() === 'founded' && !isLost) isServing = true
  }
  /** A newcomer whose storage never voted begins with what it has: nothing. */
  async function beginVoting(next: CoreSet): Promise<void> {
    await store.begin(next)
    // Others may have counted leases under this set before this core was of it.
    leases.beginUnknown()
    if (coreSet === next) isServing = true
    world.log.info('core-joined', { core: settings.id, epoch: next.epoch })
  }
  /**
   * Writes a later set to disk, and with it what this core is in it. Only a voter that goes on with the storage that it voted
   * with, or a newcomer whose storage never voted, may vote by what it has; any other needs a refill.
   */
  async function writeLater(next: CoreSet): Promise<void> {
    const place = placeIn(next)
    if (!place) return await store.writeSet('none', next, newToken())
    const token = store.token()
    const isSameStorage = !isLost && place.token === token
    const wasVoter = placeIn(store.set()) !== undefined
    if (isSameStorage && wasVoter && (isServing || store.phase() === 'intent'))
      return await store.writeSet(store.phase(), next, token)
    if (isSameStorage && token !== undefined && store.phase() === 'none') return await beginVoting(next)
    stopServing()
    // Without its token, so that it can't begin as one that never voted.
    await store.writeSet('none', next, undefined)
  }
  /** From its first line on no message of an older epoch is taken; what was taken before it is on disk before it. */
  async function adopt(next: CoreSet): Promise<void> {
    const isOld = next.cores.length === 0 || next.epoch <= coreSet.epoch
    if (settings.isGiven || isOld || store.failed() !== undefined) return
    coreSet = next
    ids = idsOf(next.cores)
    isMoving = true
    isVoter = placeIn(next) !== undefined
    if (!isVoter) stopServing()
    connectOthers()
    async function write(): Promise<void> {
      // Where a still later one came meanwhile, that is written alone.
      if (coreSet !== next) return
      try {
        await writeLater(next)
      } catch {
        // Said by the store, which answers nothing until it has recovered.
      }
    }
    await inTurn(write)
    if (coreSet === next) isMoving = false
    world.log.info('core-set-changed', {
      core: settings.id,
      epoch: next.epoch,
      set: ids.join(),
      next: idsOf(next.next ?? []).join(),
      voter: isVoter,
    })
  }
  async function recover(): Promise<void> {
    if (!(await store.recover())) return
    world.log.info('disk-recovered', { core: settings.id, phase: store.phase(), epoch: store.set().epoch })
    if (store.set().epoch === coreSet.epoch && store.phase() === 'founded') return
    stopServing()
    // Where the set changed meanwhile, it is taken now.
    if (store.set().epoch < coreSet.epoch) await writeLater(coreSet)
  }
  async function recoverDisk(): Promise<void> {
    if (world.now() < nextRecoveryAt) return
    nextRecoveryAt = world.now() + DISK_RETRY_DELAY_MS
    try {
      await inTurn(recover)
    } catch {
      // It failed again, and is tried again.
    }
  }
  function serveUnder(set: CoreSet): void {
    if (coreSet === set) isServing = true
  }
  function refilled(): void {
    isLost = false
  }
  function coreSetNow(): CoreSet {
    return coreSet
  }
  function idsNow(): string[] {
    return ids
  }
  function isVoterNow(): boolean {
    return isVoter
  }
  function isServingNow(): boolean {
    return isServing
  }
  function isMovingNow(): boolean {
    return isMoving
  }
  function isLostNow(): boolean {
    return isLost
  }
  function quietSinceNow(): number {
    return quietSince
  }
  return {
    coreSet: coreSetNow,
    ids: idsNow,
    isVoter: isVoterNow,
    isServing: isServingNow,
    isMoving: isMovingNow,
    isLost: isLostNow,
    quietSince: quietSinceNow,
    placeIn,
    join,
    adopt,
    recoverDisk,
    serveUnder,
    refilled,
  }
}
