import type { Proxy } from '@claynotch/proxy'
import type { Breach } from './judge.js'
import type { Sim } from './sim.js'
import type { FrontHost, SimFleet } from './simfleettypes.js'
import type { Shape } from './simshape.js'

// ms between two looks at the fleet.
const LOOK = 100

// Watches a fleet all along: no proxy goes back to an older configuration, none that takes work is more than 3 s
// behind one that was acknowledged, and no group's record changes holders many times in a second.
export function watchFleet(
  sim: Sim,
  shape: Shape,
  fronts: FrontHost[],
  decided: SimFleet['operatorDecisions'],
  watched: Breach[],
): void {
  const lastEpoch = new Map<Proxy, number>()
  // holders: by group, the fence some time ago; it rises with each new holder, and not many times a second.
  const holders = new Map<string, { at: number; fence: number }>()
  function watchHolders(): void {
    for (const g of shape.groups) {
      let fence = 0
      for (const x of fronts)
        fence = Math.max(fence, (x.agent?.register(`group/${g}`)?.body as { fence?: number } | undefined)?.fence ?? 0)
      const old = holders.get(g)
      if (old && fence > old.fence + 4)
        watched.push({
          rule: 'duty',
          what: `the record of ${g} changed holders ${fence - old.fence} times in a second`,
        })
      if (!old || sim.now() - old.at > 1000 || fence < old.fence) holders.set(g, { at: sim.now(), fence })
    }
  }
  function watchConfigurations(): void {
    for (const f of fronts) {
      if (!f.proxy || f.proxyProc.state !== 'up') continue
      const epoch = f.proxy.state.rules()?.epoch ?? 0
      const old = lastEpoch.get(f.proxy) ?? 0
      if (epoch < old)
        watched.push({ rule: 'slipped back', what: `${f.node} went from configuration ${old} to ${epoch}` })
      lastEpoch.set(f.proxy, epoch)
      if (!f.proxy.state.hasValidLease()) continue
      for (const d of decided) {
        if (d.told.decision === 'accepted' && (d.told.epoch ?? 0) > epoch && sim.now() - d.at > 3000) {
          watched.push({
            rule: 'unheeded',
            what: `${f.node} works by configuration ${epoch} though ${d.told.epoch} was accepted ${Math.round(sim.now() - d.at)} ms ago`,
          })
          break
        }
      }
    }
  }
  function look(): void {
    watchHolders()
    watchConfigurations()
    sim.at(LOOK, look)
  }
  sim.at(LOOK, look)
}
