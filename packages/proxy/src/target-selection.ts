import { LEAVING_GRACE_MS, OTHER_ZONE_LOAD_COST, type Metrics, type World } from '@claynotch/base'
import type { InstanceAdapter, LogPosition } from '@claynotch/instance'
import { replicationGuardMsOf } from '@claynotch/operator'
import type { Call } from './call.js'
import { freshnessFloor, isFresh, requiredPositionOf, provedStalenessMs, type Token } from './freshness.js'
import type { Known, State } from './state.js'
import type { Instance, Watch } from './watch.js'

/** The instance that a call is sent to, and the epoch of the record that it was chosen under. */
export type LeaderTarget = { instance: Instance; epoch: number }
/** floor: the position that the follower must hold. */
export type FollowerTarget = LeaderTarget & { floor: LogPosition }
/** How fresh a read must be. within: ms; own: its session's writes as well. */
export type Freshness = { within: number; own: boolean }

/** Chooses the instance for a call by the group's record, what this node saw of the instances, and the freshness owed. */
export type TargetSelection = {
  /** The leader, where the call may go to it now. */
  leaderFor: (call: Call) => LeaderTarget | undefined
  /** The least loaded follower that is fresh enough, or that proves it itself; undefined: the leader is to be asked. */
  followerFor: (call: Call, known: Known, freshness: Freshness) => FollowerTarget | undefined
  /**
   * The position that a follower must hold for a read that begins now; undefined: it can't be proved. groupSince: from when its
   * route has been of this group.
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
  edge: InstanceAdapter,
  metrics: Metrics,
): TargetSelection {
  function leaderFor(call: Call): { instance: Instance; epoch: number } | undefined {
    const known = state.group(call.lane.group)
    if (!known || world.now() >= known.until) return undefined
    const rec = known.record
    const calm = rec.phase === 'steady' || (rec.phase === 'drain' && call.kind === 'read')
    if (!calm || rec.leader === undefined) return undefined
    const instance = watch.get(rec.leader)
    if (!instance || !watch.isUsable(instance, false)) return undefined
    if (stopsHere(call)) return undefined
    const writes = call.kind === 'write' || call.kind === 'begin write'
    if (writes && !guarded(call.lane.group, rec.leader, rec.epoch)) return undefined
    // A leaving leader still leads until its successor does, but not for ever.
    if (state.leavingForMs(rec.leader) > LEAVING_GRACE_MS) return undefined
    watch.isUsable(instance, true)
    return { instance, epoch: rec.epoch }
  }
  // A lane under move takes no writes and no transactions, and in its last phase no reads either.
  function stopsHere(call: Call): boolean {
    if (call.lane.movePhase === 'ease') return call.kind === 'begin read'
    return call.lane.movePhase === 'held' || (call.lane.movePhase !== undefined && call.kind !== 'read')
  }
  // Whether some follower is proved to hold what the leader had within the group's guard, where it has one.
  function guarded(group: string, leader: string, epoch: number): boolean {
    const guard = replicationGuardMsOf(state.config(), group)
    if (guard === undefined) return true
    const samples = watch.get(leader)?.samples ?? []
    for (const one of watch.all().values()) {
      if (one.group !== group || one.name === leader || !one.mark || one.isInDoubt) continue
      const age = provedStalenessMs(samples, epoch, one.mark, world.now())
      if (age !== undefined && age <= guard) return true
    }
    metrics.add('claynotch_guard_waits_total', [['group', group]])
    return false
  }
  function followerFor(
    call: Call,
    known: Known,
    step: { within: number; own: boolean },
  ): { instance: Instance; epoch: number; floor: LogPosition } | undefined {
    const rec = known.record
    if (rec.leader === undefined || world.now() >= known.until || stopsHere(call)) return undefined
    // A transaction begun now would be cut when the drain ends; it waits for the next leader.
    if (rec.phase === 'drain' && call.kind === 'begin read') return undefined
    const need = requiredPosition(call.lane.group, step, call.token, call.lane.groupSince)
    if (need === undefined) return undefined
    let best: Instance | undefined
    let least = Infinity
    for (const one of watch.all().values()) {
      if (
        one.group !== call.lane.group ||
        one.name === rec.leader ||
        !watch.isUsable(one, false) ||
        state.gone(one.name) ||
        call.behind.has(one.name)
      )
        continue
      // Where followers are sampled, what they hold is known; else each proves it itself, on the send.
      if (edge.sampler && (!one.mark || one.status?.role !== 'follower' || !isFresh(one.mark, need, edge.exact)))
        continue
      // The own area first, then the least usage.
      const cost = one.callsInFlight + (one.area === state.area() ? 0 : OTHER_ZONE_LOAD_COST)
      if (cost < least) {
        least = cost
        best = one
      }
    }
    if (!best) return undefined
    // A leader in the own area is nearer than any follower elsewhere, as long as it has no more to do.
    const head = watch.get(rec.leader)
    if (head && rec.phase === 'steady' && head.area === state.area() && head.callsInFlight < least && watch.isUsable(head, false))
      return undefined
    watch.isUsable(best, true)
    return { instance: best, epoch: rec.epoch, floor: need }
  }
  function requiredPosition(
    group: string,
    fresh: { within: number; own: boolean },
    token: Token | undefined,
    groupSince = 0,
  ): LogPosition | undefined {
    const rec = state.group(group)?.record
    const head = rec?.leader !== undefined ? watch.get(rec.leader) : undefined
    if (!rec || !head) return undefined
    return requiredPositionOf(
      freshnessFloor(head.samples, rec.epoch, fresh.within, world.now(), groupSince),
      rec.epoch,
      fresh.own && token?.group === group ? token.position : undefined,
    )
  }
  return { leaderFor, followerFor, requiredPosition }
}
