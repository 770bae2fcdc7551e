import { pause, REFILL_DELAY_MS, ROUND_TIMEOUT_MS, type Flag, type Metrics, type World } from '@claynotch/base'
import type { CommittedBallots } from './committed-ballots.js'
import type { CorePeers } from './core-peers.js'
import type { CoreSetFollower } from './core-set-follower.js'
import { nextFoundingStep, type CoreState } from './founding.js'
import type { Leases } from './leases.js'
import { readRegistersForRefill } from './refill.js'
import type { RegisterStore } from './register-store.js'

/** What the founding of one core needs from its other parts. */
export type CoreFoundingDependencies = {
  id: string
  /** Local time (ms) at which this core was started. */
  startedAt: number
  store: RegisterStore
  follower: CoreSetFollower
  peers: CorePeers
  leases: Leases
  committed: CommittedBallots
  /** An operator fixed the set in the settings. */
  isSetFixed: boolean
  /** This core may start founding the set. */
  mayStartFounding: boolean
  stop: Flag
  metrics: Metrics
}

/** Brings a voter that isn't serving to serve: by founding the set, or by a refill of lost state. docs/register.md. */
export type CoreFounding = {
  /** Takes the next step towards serving, if there is one. */
  step: () => Promise<void>
  /** Called when an agent knows registers of this set: an empty disk then means loss and not a first start. */
  markPreviouslyFounded: () => void
  /** Whether an agent has reported registers of this set. */
  wasPreviouslyFounded: () => boolean
}

/** Makes the founding of one core; it acts only in step(). */
export function makeCoreFounding(world: World, dependencies: CoreFoundingDependencies): CoreFounding {
  const { id, startedAt, store, follower, peers } = dependencies
  let wasPreviouslyFounded = false

  async function queryStates(): Promise<(CoreState | undefined)[]> {
    const answers: Promise<CoreState | undefined>[] = []
    for (const { held } of peers.list())
      answers.push(held.ask({ t: 'state' }, ROUND_TIMEOUT_MS) as Promise<CoreState | undefined>)
    return await Promise.all(answers)
  }
  /**
   * A core that lost its state votes again only after two conditions hold: for every register a whole round above all
   * promised ballots has completed at a majority of the set, counted among the other voters; and every prepare that its
   * forgotten promises could support has expired. true: it may vote.
   */
  async function refill(): Promise<boolean> {
    const waitMs = follower.notServingSince() + REFILL_DELAY_MS - world.now()
    if (waitMs > 0) await pause(world, waitMs, dependencies.stop)
    // The whole refill runs under one set; a change of the set in the meantime invalidates it.
    const setAtStart = follower.coreSet()
    const refilled = await readRegistersForRefill(world, id, peers.list(), setAtStart)
    if (!refilled || follower.coreSet() !== setAtStart) return false
    await store.refill(refilled.cells, refilled.floor, setAtStart, follower.memberIn(setAtStart)?.token)
    if (follower.coreSet() !== setAtStart) return false
    // This may be a new member that restarted after it joined the set: that is unknown, so its leases are incomplete.
    if (setAtStart.epoch > 0) dependencies.leases.markIncomplete()
    follower.markRefilled()
    for (const [key, entry] of refilled.cells) dependencies.committed.set(key, entry.ballot)
    world.log.info('core-refilled', { core: id, keys: refilled.keys, floor: refilled.floor })
    dependencies.metrics.add('claynotch_core_refills_total')
    return true
  }
  /** true: this core may vote. */
  async function advanceFounding(): Promise<boolean> {
    const uptimeAtQueryMs = world.now() - startedAt
    const states = await queryStates()
    const set = follower.coreSet()
    const phase = store.phase()
    const next = nextFoundingStep(
      {
        set,
        ids: follower.ids(),
        phase,
        hasLostState: follower.hasLostState(),
        wasPreviouslyFounded,
        isSetFixed: dependencies.isSetFixed,
        mayStartFounding: dependencies.mayStartFounding,
        otherVoterCount: peers.list().length,
        uptimeAtQueryMs,
        uptimeMs: world.now() - startedAt,
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
    if (!follower.isVoter() || follower.isServing() || follower.isChangingSet() || store.failed() !== undefined) return
    const setAtStart = follower.coreSet()
    if (await advanceFounding()) follower.startServing(setAtStart)
  }
  function markPreviouslyFounded(): void {
    wasPreviouslyFounded = true
  }
  function wasPreviouslyFoundedNow(): boolean {
    return wasPreviouslyFounded
  }
  return { step, markPreviouslyFounded, wasPreviouslyFounded: wasPreviouslyFoundedNow }
}
