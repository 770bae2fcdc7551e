import {
  loop,
  makeSignal,
  makeFlag,
  pause,
  SAMPLE_INTERVAL_MS,
  FAILURES_BEFORE_SUSPICION,
  SAMPLE_TIMEOUT_MS,
  MIN_TRIAL_DELAY_MS,
  MAX_TRIAL_DELAY_MS,
  type Flag,
  type Metrics,
  type World,
} from '@claynotch/base'
import type { InstanceAdapter, LogPosition, StatusSampler, Status } from '@claynotch/instance'
import type { Sample } from './freshness.js'
import type { State } from './state.js'

/** How long (ms) a leader's samples are kept: longer than any staleness bound in use. */
const SAMPLES_KEPT_MS = 10000

/**
 * What this node has observed of one instance.
 *
 * Invariants: samples hold only positions that it answered as leader; mark is a position that it held at some time not
 * after now.
 */
export type Instance = {
  name: string
  group: string
  addr: string
  area: string
  /** When it last answered successfully; 0: never. */
  lastAnswerAt: number
  /** The status that it last reported, where its status is polled. */
  status: Status | undefined
  /** The last log position that it answered; as leader of one epoch, the highest. */
  mark: LogPosition | undefined
  /** Its recent log positions as leader, in the order of the answers. */
  samples: Sample[]
  /** Something failed there since it last answered in its recorded role; calls avoid it. */
  isInDoubt: boolean
  /** Unconfirmed failures since the last successful answer, counted where nothing polls its status. */
  failuresInRow: number
  /**
   * While in doubt and where nothing polls the instance's status, from when on one call may try it; the delay between
   * trials grows until one succeeds.
   */
  nextTrialAt: number
  trialDelayMs: number
  /** Number of this node's calls in flight there. */
  callsInFlight: number
  /** When the first request was sent that failed without a successful answer since; undefined: none has. */
  failingSince: number | undefined
}

/** Observes the instances: polls their status where the adapter can, and records the results of calls. */
export type Watch = {
  get: (name: string) => Instance | undefined
  all: () => Map<string, Instance>
  /**
   * Records a successful answer to a request sent at askedAt, with the instance's log position. leaderEpoch: the epoch
   * under which it was asked as leader; undefined: it was asked as a follower.
   */
  recordAnswer: (name: string, askedAt: number, position: LogPosition, leaderEpoch: number | undefined) => void
  /**
   * Records a failure of a request sent at sentAt; a successful answer since then counts in the instance's favour.
   * isAlive: the instance answered and serves, so it isn't failing. isConfirmed: no second failure is needed for a
   * doubt, as a status poll failed or the instance itself reports that it is not the leader.
   */
  failed: (name: string, sentAt: number, isAlive: boolean, isConfirmed: boolean) => void
  /** Whether a call may go to the instance. claimsTrial: the call goes, so while in doubt no other may for a while. */
  isUsable: (instance: Instance, claimsTrial: boolean) => boolean
  /** Fires when an instance begins to fail. */
  failureStarted: ReturnType<typeof makeSignal>
  /** Fires when an instance is no longer in doubt. */
  doubtCleared: ReturnType<typeof makeSignal>
}

export function startWatch(world: World, state: State, adapter: InstanceAdapter, stop: Flag, metrics: Metrics): Watch {
  const instanceByName = new Map<string, Instance>()
  const stopFlags = new Map<string, Flag>()
  const doubtCleared = makeSignal()
  const failureStarted = makeSignal()

  function instancesToWatch(): Map<string, { group: string; addr: string; area: string }> {
    const targets = new Map<string, { group: string; addr: string; area: string }>()
    // Status polling uses connections too, so it needs a connection share.
    if (!state.hasConnectionShare()) return targets
    const groups = new Set<string>()
    for (const configured of state.config()?.groups ?? []) groups.add(configured.name)
    for (const status of state.instanceStatuses().values())
      if (groups.has(status.group))
        targets.set(status.name, { group: status.group, addr: status.addr, area: status.area })
    // The recorded leader is watched even while its announcements don't arrive.
    for (const groupName of groups) {
      const record = state.group(groupName)?.record
      if (record?.leader !== undefined && record.addr !== undefined && !targets.has(record.leader))
        targets.set(record.leader, {
          group: groupName,
          addr: record.addr,
          area: instanceByName.get(record.leader)?.area ?? '',
        })
    }
    return targets
  }
  function updateInstances(): void {
    const targets = instancesToWatch()
    for (const [name, target] of targets) {
      const existing = instanceByName.get(name)
      if (existing && existing.addr === target.addr && existing.group === target.group) {
        existing.area = target.area
        continue
      }
      stopFlags.get(name)?.fire()
      const instance: Instance = {
        name,
        ...target,
        lastAnswerAt: 0,
        status: undefined,
        mark: undefined,
        samples: [],
        isInDoubt: false,
        failuresInRow: 0,
        nextTrialAt: 0,
        trialDelayMs: 0,
        callsInFlight: 0,
        failingSince: undefined,
      }
      const stopPolling = makeFlag()
      stop.watch(stopPolling.fire)
      instanceByName.set(name, instance)
      stopFlags.set(name, stopPolling)
      if (adapter.sampler) void pollStatus(instance, stopPolling, adapter.sampler)
    }
    for (const [name, stopPolling] of stopFlags) {
      if (targets.has(name)) continue
      stopPolling.fire()
      stopFlags.delete(name)
      instanceByName.delete(name)
    }
  }
  void loop(world, 'watch', SAMPLE_INTERVAL_MS, stop, updateInstances, state.changed)

  /** Polls the instance's status at intervals on a connection of its own; one such task runs for each instance. */
  async function pollStatus(
    instance: Instance,
    stopPolling: Flag,
    openSampler: NonNullable<InstanceAdapter['sampler']>,
  ): Promise<void> {
    let sampler: StatusSampler | undefined
    while (!stopPolling.fired()) {
      const askedAt = world.now()
      if (!sampler?.alive()) {
        const opened = await openSampler(world, instance, SAMPLE_TIMEOUT_MS)
        sampler = opened.ok ? opened.val : undefined
      }
      const answer = sampler ? await sampler.status() : undefined
      if (stopPolling.fired()) break
      if (answer?.ok && answer.val.name === instance.name) {
        instance.status = answer.val
        recordAnswer(
          instance.name,
          askedAt,
          answer.val.mark,
          answer.val.role === 'leader' ? answer.val.mark.epoch : undefined,
        )
      } else {
        metrics.add('claynotch_samples_failed_total', [['instance', instance.name]])
        sampler?.close()
        sampler = undefined
        recordFailure(instance.name, askedAt, false, true)
      }
      const elapsedMs = world.now() - askedAt
      await pause(
        world,
        Math.max(SAMPLE_INTERVAL_MS / 3, SAMPLE_INTERVAL_MS - elapsedMs) * (0.9 + 0.2 * world.random()),
        stopPolling,
      )
    }
    sampler?.close()
  }
  function recordAnswer(name: string, askedAt: number, position: LogPosition, leaderEpoch: number | undefined): void {
    const instance = instanceByName.get(name)
    if (!instance) return
    const now = world.now()
    instance.lastAnswerAt = now
    instance.failuresInRow = 0
    instance.failingSince = undefined
    const isLeader = leaderEpoch !== undefined
    if (
      !instance.mark ||
      position.epoch !== instance.mark.epoch ||
      position.position > instance.mark.position ||
      !isLeader
    )
      instance.mark = position
    if (isLeader) {
      instance.samples.push({ askedAt, epoch: leaderEpoch, position })
      while (instance.samples.length > 0 && instance.samples[0].askedAt < now - SAMPLES_KEPT_MS)
        instance.samples.shift()
    }
    const record = state.group(instance.group)?.record
    const isRoleAsRecorded = record?.leader === name ? isLeader && leaderEpoch === record.epoch : true
    if (instance.isInDoubt && isRoleAsRecorded) {
      instance.isInDoubt = false
      instance.trialDelayMs = 0
      doubtCleared.notify()
    } else if (!isRoleAsRecorded) instance.isInDoubt = true
  }
  // One lost answer among many is no reason to avoid an instance: where nothing polls its status, only the second
  // failure in a row is.
  function recordFailure(name: string, sentAt: number, isAlive: boolean, isConfirmed: boolean): void {
    const instance = instanceByName.get(name)
    if (!instance) return
    if (isAlive) {
      instance.failingSince = undefined
      return
    }
    if (!adapter.sampler && !isConfirmed && instance.lastAnswerAt >= sentAt) return
    if (instance.failingSince === undefined) {
      // If the instance has answered since the request was sent, it has been failing only since that answer.
      instance.failingSince = Math.max(sentAt, instance.lastAnswerAt)
      failureStarted.notify()
    }
    if (!adapter.sampler && !isConfirmed && ++instance.failuresInRow < FAILURES_BEFORE_SUSPICION) return
    instance.trialDelayMs = Math.min(
      MAX_TRIAL_DELAY_MS,
      instance.trialDelayMs === 0 ? MIN_TRIAL_DELAY_MS : instance.trialDelayMs * 2,
    )
    instance.nextTrialAt = world.now() + instance.trialDelayMs
    if (instance.isInDoubt) return
    instance.isInDoubt = true
    metrics.add('claynotch_doubts_total', [['instance', name]])
  }
  function isUsable(instance: Instance, claimsTrial: boolean): boolean {
    if (!instance.isInDoubt) return true
    if (adapter.sampler || world.now() < instance.nextTrialAt) return false
    if (claimsTrial) instance.nextTrialAt = world.now() + instance.trialDelayMs
    return true
  }
  function get(name: string): Instance | undefined {
    return instanceByName.get(name)
  }
  function allInstances(): Map<string, Instance> {
    return instanceByName
  }
  return {
    get,
    all: allInstances,
    recordAnswer,
    failed: recordFailure,
    isUsable,
    failureStarted,
    doubtCleared,
  }
}
