import { RETRY_AFTER_OVERLOAD_S, type Metrics } from '@claynotch/base'
import { refusal, type Verdict } from '@claynotch/requester'
import type { Call } from './call.js'

/**
 * How many calls of each route and each tenant are on their way at this node.
 *
 * Invariant: a call that was admitted is counted under the route and the tenant that it has in place, until it is released.
 */
export type Admission = {
  /** Counts the call, or says why there are too many. limit: calls of its route. */
  admit: (call: Call, limit: number) => Verdict | undefined
  /** The call ends, or begins anew by other rules; one that isn't counted stays so. */
  release: (call: Call) => void
}

function tooMany(why: string): Verdict {
  return refusal('RESOURCE_EXHAUSTED', why, true, RETRY_AFTER_OVERLOAD_S)
}

export function makeAdmission(metrics: Metrics): Admission {
  const byRoute = new Map<string, number>()
  const byTenant = new Map<string, number>()

  function admit(call: Call, limit: number): Verdict | undefined {
    const { name, team } = call.lane
    const ofRoute = byRoute.get(name) ?? 0
    if (ofRoute >= limit) {
      metrics.add('claynotch_refused_pending_total', [['lane', name]])
      return tooMany(`the lane ${name} has ${ofRoute} calls pending`)
    }
    const quota = call.rules.pending.get(team)
    const ofTenant = byTenant.get(team) ?? 0
    if (quota !== undefined && ofTenant >= quota) {
      metrics.add('claynotch_refused_quota_total', [['team', team]])
      return tooMany(`the team ${team} has its ${quota} calls on this node`)
    }
    byTenant.set(team, ofTenant + 1)
    byRoute.set(name, ofRoute + 1)
    call.place = { lane: name, team }
    return undefined
  }
  function release(call: Call): void {
    const { place } = call
    if (!place) return
    delete call.place
    byRoute.set(place.lane, (byRoute.get(place.lane) ?? 1) - 1)
    byTenant.set(place.team, (byTenant.get(place.team) ?? 1) - 1)
  }
  return { admit, release }
}
