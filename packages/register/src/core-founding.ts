import { pause, REFILL_DELAY_MS, ROUND_TIMEOUT_MS, type Flag, type Metrics, type World } from '@claynotch/base'
import type { CommittedBallots } from './committed-ballots.js'
import type { CorePeers } from './core-peers.js'
import type { CoreSetFollower } from './core-set-follower.js'
import { foundingStep, type CoreState } from './founding.js'
import type { Leases } from './leases.js'
import { readRefill } from './refill.js'
import type { RegisterStore } from './register-store.js'

// How a voter that doesn't serve comes to: the founding of the set, or a refill of what it lost. docs/register.md.

export type CoreFoundingView = {
  id: string
  /** Local time (ms) at which this life of the core began. */
  startedAt: number
  store: RegisterStore
  follower: CoreSetFollower
  peers: CorePeers
  leases: Leases
  committed: CommittedBallots
  isGiven: boolean
  mayBegin: boolean
  stop: Flag
  metrics: Metrics
}

export type CoreFounding = {
  /** Takes the next step towards serving, where there is one. */
  step: () => Promise<void>
  /** Some agent knows registers of this set: having nothing on disk means loss, not beginning. */
  remember: () => void
  isRemembered: () => boolean
}

export function makeCoreFounding(world: World, view: CoreFoundingView): CoreFounding {
  const { id, startedAt, store, follower, peers } = view
  let isRemembered = false

  async function askStates(): Promise<(CoreState | undefined)[]> {
    const asks: Promise<CoreState | undefined>[] = []
    for (const { held } of peers.list())
      asks.push(held.ask({ t: 'state' }, ROUND_TIMEOUT_MS) as Promise<CoreState | undefined>)
    return await Promise.all(asks)
  }
  /**
   * A core that lost its memory votes again only after, for every register, a whole round above all that was promised was done
   * at a majority of the set counted among the others; and only after every prepare that its forgotten promises could serve is
   * void. true: it may vote.
   */
  async function refill(): Promise<boolean> {
    const waitMs = follower.quietSince() + REFILL_DELAY_MS - world.now()
    if (waitMs > 0) await pause(world, waitMs, view.stop)
    // All of it under one set; a change of the set meanwhile makes it void.
    const under = follower.coreSet()
    const refilled = await readRefill(world, id, peers.list(), under)
    if (!refilled || follower.coreSet() !== under) return false
    await store.refill(refilled.cells, refilled.floor, under, follower.placeIn(under)?.token)
    if (follower.coreSet() !== under) return false
    // A newcomer may have been started anew since it was told to vote: which of these it is isn't known any more.
    if (under.epoch > 0) view.leases.beginUnknown()
    follower.refilled()
    for (const [key, entry] of refilled.cells) view.committed.set(key, entry.ballot)
    world.log.info('core-refilled', { core: id, keys: refilled.keys, floor: refilled.floor })
    view.metrics.add('claynotch_core_refills_total')
    return true
  }
  /** true: this core may vote. */
  async function found(): Promise<boolean> {
    const askedAfter = world.now() - startedAt
    const states = await askStates()
    const set = follower.coreSet()
    const phase = store.phase()
    const next = foundingStep(
      {
        set,
        ids: follower.ids(),
        phase,
        lost: follower.isLost(),
        remembered: isRemembered,
        isGiven: view.isGiven,
        mayBegin: view.mayBegin,
        others: peers.list().length,
        askedAfter,
        runs: world.now() - startedAt,
      },
      states,
    )
    switch (next.step) {
      case 'wait':
        return false
      case 'adopt':
        await follower.adopt(next.set)
        return false
      case 'differs':
        world.log.error('core-set-differs', {
          core: next.from.id,
          theirs: next.from.cores.join(),
          ours: follower.ids().join(),
        })
        return false
      case 'refill':
        return await refill()
      case 'intent':
        if (phase === 'none') await store.writeSet('intent', set, store.token())
        return false
      case 'founded':
        if (phase === 'none') await store.writeSet('intent', set, store.token())
        if (follower.coreSet() !== set) return false
        await store.writeSet('founded', set, store.token())
        world.log.info('core-founded', { core: id })
        return true
    }
  }
  async function step(): Promise<void> {
    if (store.failed() !== undefined) await follower.recoverDisk()
    if (!follower.isVoter() || follower.isServing() || follower.isMoving() || store.failed() !== undefined) return
    const under = follower.coreSet()
    if (await found()) follower.serveUnder(under)
  }
  function remember(): void {
    isRemembered = true
  }
  function isRememberedNow(): boolean {
    return isRemembered
  }
  return { step, remember, isRemembered: isRememberedNow }
}
