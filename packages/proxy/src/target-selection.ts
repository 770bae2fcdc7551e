import { LEAVING_GRACE_MS, OTHER_ZONE_LOAD_COST, type Metrics, type World } from '@claynotch/base'
import type { InstanceAdapter, LogPosition } from '@claynotch/instance'
import { replicationGuardMsOf } from '@claynotch/operator'
import type { Call } from './call.js'
import { freshnessFloor, isFresh, requiredPositionOf, provedStalenessMs, type Token } from './freshness.js'
import type { KnownGroup, State } from './state.js'
import type { Instance, Watch } from './watch.js'

/** The instance that a call is sent to, and the epoch of the record that it was chosen under. */
export type LeaderTarget = { instance: Instance; epoch: number }
/** floor: the log position that the follower must hold. */
export type FollowerTarget = LeaderTarget & { floor: LogPosition }
/** How fresh a read must be. within: maximum staleness in ms; own: it must see its session's own writes as well. */
export type Freshness = { within: number; own: boolean }

/** Selects the instance for a call by the group's record, the observed instance status, and the required freshness. */
export type TargetSelection = {
  /** The leader, if the call may be sent to it now. */
  leaderFor: (call: Call) => LeaderTarget | undefined
  /**
   * The least loaded follower that is fresh enough, or that checks its own position when it gets the call; undefined:
   * the leader is to be used.
   */
  followerFor: (call: Call, known: KnownGroup, freshness: Freshness) => FollowerTarget | undefined
  /**
   * The log position that a follower must hold for a read that begins now; undefined: freshness can't be proved.
   * groupSince: since when the call's lane has belonged to this group.
   */
  requiredPosition: (
    group: string,
    freshness: Freshness,
    token: Token | undefined,
    groupSince?: number,
  ) => LogPosition | undefined
}

export function makeTargetSelection(
  world: World,
  state: State,
  watch: Watch,
  adapter: InstanceAdapter,
  metrics: Metrics,
): TargetSelection {
  function leaderFor(call: Call): { instance: Instance; epoch: number } | undefined {
    const knownGroup = state.group(call.lane.group)
    if (!knownGroup || world.now() >= knownGroup.leaseExpiresAt) return undefined
    const record = knownGroup.record
    const acceptsCalls = record.phase === 'steady' || (record.phase === 'drain' && call.kind === 'read')
    if (!acceptsCalls || record.leader === undefined) return undefined
    const instance = watch.get(record.leader)
    if (!instance || !watch.isUsable(instance, false)) return undefined
    if (isStoppedByMove(call)) return undefined
    const mayWrite = call.kind === 'write' || call.kind === 'begin write'
    if (mayWrite && !isWithinPromotionGuard(call.lane.group, record.leader, record.epoch)) return undefined
    // A leader that is leaving stays in use until its successor takes over, but for a bounded time only.
    if (state.leavingForMs(record.leader) > LEAVING_GRACE_MS) return undefined
    watch.isUsable(instance, true)
    return { instance, epoch: record.epoch }
  }
  /**
   * A lane that is being moved accepts no writes and no new transactions, and in phase held no reads either; in phase
   * ease only read transactions are stopped.
   */
  function isStoppedByMove(call: Call): boolean {
    if (call.lane.movePhase === 'ease') return call.kind === 'begin read'
    return call.lane.movePhase === 'held' || (call.lane.movePhase !== undefined && call.kind !== 'read')
  }
  /**
   * Whether at least one follower is proved to be no further behind the leader than the group's guard allows; true if
   * the group has no guard.
   */
  function isWithinPromotionGuard(group: string, leader: string, epoch: number): boolean {
    const guard = replicationGuardMsOf(state.config(), group)
    if (guard === undefined) return true
    const samples = watch.get(leader)?.samples ?? []
    for (const follower of watch.all().values()) {
      if (follower.group !== group || follower.name === leader || !follower.mark || follower.isInDoubt) continue
      const stalenessMs = provedStalenessMs(samples, epoch, follower.mark, world.now())
      if (stalenessMs !== undefined && stalenessMs <= guard) return true
    }
    metrics.add('claynotch_guard_waits_total', [['group', group]])
    return false
  }
  function followerFor(
    call: Call,
    known: KnownGroup,
    freshness: { within: number; own: boolean },
  ): { instance: Instance; epoch: number; floor: LogPosition } | undefined {
    const record = known.record
    if (record.leader === undefined || world.now() >= known.leaseExpiresAt || isStoppedByMove(call)) return undefined
    // A transaction begun now would be aborted when the drain ends, so it waits for the next leader.
    if (record.phase === 'drain' && call.kind === 'begin read') return undefined
    const requiredFloor = requiredPosition(call.lane.group, freshness, call.token, call.lane.groupSince)
    if (requiredFloor === undefined) return undefined
    let best: Instance | undefined
    let lowestCost = Infinity
    for (const candidate of watch.all().values()) {
      if (
        candidate.group !== call.lane.group ||
        candidate.name === record.leader ||
        !watch.isUsable(candidate, false) ||
        state.isLeaving(candidate.name) ||
        call.laggingFollowers.has(candidate.name)
      )
        continue
      // With sampling, the follower's log position is known; without, the follower itself checks it on the send.
      if (
        adapter.sampler &&
        (!candidate.mark ||
          candidate.status?.role !== 'follower' ||
          !isFresh(candidate.mark, requiredFloor, adapter.exact))
      )
        continue
      // Prefers instances in this node's own area, then the lowest usage.
      const cost = candidate.callsInFlight + (candidate.area === state.area() ? 0 : OTHER_ZONE_LOAD_COST)
      if (cost < lowestCost) {
        lowestCost = cost
        best = candidate
      }
    }
    if (!best) return undefined
    // A leader in the own area is nearer than a follower in another one, so it is preferred while its usage is below the
    // follower's cost.
    const leader = watch.get(record.leader)
    if (
      leader &&
      record.phase === 'steady' &&
      leader.area === state.area() &&
      leader.callsInFlight < lowestCost &&
      watch.isUsable(leader, false)
    )
      return undefined
    watch.isUsable(best, true)
    return { instance: best, epoch: record.epoch, floor: requiredFloor }
  }
  function requiredPosition(
    group: string,
    freshness: { within: number; own: boolean },
    token: Token | undefined,
    groupSince = 0,
  ): LogPosition | undefined {
    const record = state.group(group)?.record
    const leader = record?.leader !== undefined ? watch.get(record.leader) : undefined
    if (!record || !leader) return undefined
    return requiredPositionOf(
      freshnessFloor(leader.samples, record.epoch, freshness.within, world.now(), groupSince),
      record.epoch,
      freshness.own && token?.group === group ? token.position : undefined,
    )
  }
  return { leaderFor, followerFor, requiredPosition }
}
