import { RETRY_AFTER_OVERLOAD_S, type Metrics } from '@claynotch/base'
import { refusal, type Verdict } from '@claynotch/requester'
import type { Call } from './call.js'

/**
 * Limits the pending calls of each lane and each team at this node.
 *
 * Invariant: an admitted call is counted under the lane and the team in its admittedUnder until it is released.
 */
export type Admission = {
  /**
   * Counts the call, or returns a refusal if too many are pending. limit: maximum number of pending calls of its lane.
   */
  admit: (call: Call, limit: number) => Verdict | undefined
  /** Stops counting the call, which ends or restarts under other rules; does nothing if the call isn't counted. */
  release: (call: Call) => void
}

function resourceExhausted(why: string): Verdict {
  return refusal('RESOURCE_EXHAUSTED', why, true, RETRY_AFTER_OVERLOAD_S)
}

export function makeAdmission(metrics: Metrics): Admission {
  const pendingByLane = new Map<string, number>()
  const pendingByTeam = new Map<string, number>()

  function admit(call: Call, laneLimit: number): Verdict | undefined {
    const { name, team } = call.lane
    const lanePending = pendingByLane.get(name) ?? 0
    if (lanePending >= laneLimit) {
      metrics.add('claynotch_refused_pending_total', [['lane', name]])
      return resourceExhausted(`the lane ${name} has ${lanePending} calls pending`)
    }
    const teamLimit = call.rules.maxPending.get(team)
    const teamPending = pendingByTeam.get(team) ?? 0
    if (teamLimit !== undefined && teamPending >= teamLimit) {
      metrics.add('claynotch_refused_quota_total', [['team', team]])
      return resourceExhausted(`the team ${team} has its ${teamLimit} calls on this node`)
    }
    pendingByTeam.set(team, teamPending + 1)
    pendingByLane.set(name, lanePending + 1)
    call.admittedUnder = { lane: name, team }
    return undefined
  }
  function release(call: Call): void {
    const { admittedUnder: place } = call
    if (!place) return
    delete call.admittedUnder
    pendingByLane.set(place.lane, (pendingByLane.get(place.lane) ?? 1) - 1)
    pendingByTeam.set(place.team, (pendingByTeam.get(place.team) ?? 1) - 1)
  }
  return { admit, release }
}
