import type { Proxy } from '@claynotch/proxy'
import type { Breach } from './judge.js'
import type { Sim } from './sim.js'
import type { FrontHost, SimFleet } from './simfleettypes.js'
import type { Shape } from './simshape.js'

/** Interval between two checks of the fleet. */
const WATCH_INTERVAL_MS = 100

/**
 * Checks a fleet while the simulation runs: no proxy goes back to an older configuration, no proxy that accepts work is
 * more than 3 s behind an acknowledged configuration, and no group's record changes holders more than 4 times a second.
 */
export function watchFleet(
  sim: Sim,
  shape: Shape,
  fronts: FrontHost[],
  decisions: SimFleet['operatorDecisions'],
  breaches: Breach[],
): void {
  const lastEpoch = new Map<Proxy, number>()
  /** By group, a fencing token of up to about a second ago; it rises with each new holder of the group's record. */
  const fenceSamples = new Map<string, { at: number; fence: number }>()
  function watchHolders(): void {
    for (const group of shape.groups) {
      let fence = 0
      for (const front of fronts)
        fence = Math.max(
          fence,
          (front.agent?.register(`group/${group}`)?.body as { fence?: number } | undefined)?.fence ?? 0,
        )
      const sample = fenceSamples.get(group)
      if (sample && fence > sample.fence + 4)
        breaches.push({
          rule: 'duty',
          what: `the record of ${group} changed holders ${fence - sample.fence} times in a second`,
        })
      if (!sample || sim.now() - sample.at > 1000 || fence < sample.fence)
        fenceSamples.set(group, { at: sim.now(), fence })
    }
  }
  function watchConfigurations(): void {
    for (const front of fronts) {
      if (!front.proxy || front.proxyProc.state !== 'up') continue
      const epoch = front.proxy.state.rules()?.epoch ?? 0
      const previousEpoch = lastEpoch.get(front.proxy) ?? 0
      if (epoch < previousEpoch)
        breaches.push({
          rule: 'slipped back',
          what: `${front.node} went from configuration ${previousEpoch} to ${epoch}`,
        })
      lastEpoch.set(front.proxy, epoch)
      if (!front.proxy.state.hasValidLease()) continue
      for (const decision of decisions) {
        if (
          decision.told.decision === 'accepted' &&
          (decision.told.epoch ?? 0) > epoch &&
          sim.now() - decision.at > 3000
        ) {
          breaches.push({
            rule: 'unheeded',
            what: `${front.node} works by configuration ${epoch} though ${decision.told.epoch} was accepted ${Math.round(sim.now() - decision.at)} ms ago`,
          })
          break
        }
      }
    }
  }
  function watchOnce(): void {
    watchHolders()
    watchConfigurations()
    sim.at(WATCH_INTERVAL_MS, watchOnce)
  }
  sim.at(WATCH_INTERVAL_MS, watchOnce)
}
