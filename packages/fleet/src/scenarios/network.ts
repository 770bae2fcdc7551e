import { leaderIndex, randomIndex, wait } from '../harm.js'
import type { SimFleet } from '../simfleet.js'

// Harm to the network: cuts, loss and resets.

export async function cuts(f: SimFleet): Promise<void> {
  for (let k = 0; k < 6; k++) {
    const list = [...f.fronts, ...f.cores, ...f.instanceHosts]
    const a = list[randomIndex(f, list.length)].machine
    const b = list[randomIndex(f, list.length)].machine
    f.sim.cut(a, b, f.sim.random() < 0.5)
    if (f.sim.random() < 0.4) {
      const c = f.fronts[randomIndex(f, f.fronts.length)].machine
      for (const core of f.cores) f.sim.cut(c, core.machine)
    }
    await wait(f, 1000 + 3000 * f.sim.random())
    if (f.sim.random() < 0.7) f.sim.heal()
  }
  f.sim.heal()
  await wait(f, 6000)
}

export async function lossy(f: SimFleet): Promise<void> {
  f.sim.loss(0.1)
  await wait(f, 4000)
  f.killInstance(leaderIndex(f, 'g1'))
  await wait(f, 14000)
  f.sim.loss(0)
}

export async function resets(f: SimFleet): Promise<void> {
  for (let k = 0; k < 15; k++) {
    const list = [...f.fronts.map(proxyOf), ...f.instanceHosts.map(procOf)]
    f.sim.reset(list[randomIndex(f, list.length)])
    await wait(f, 400)
  }
}

function proxyOf(x: { proxyProc: Parameters<SimFleet['sim']['kill']>[0] }): Parameters<SimFleet['sim']['kill']>[0] {
  return x.proxyProc
}

function procOf(x: { proc: Parameters<SimFleet['sim']['kill']>[0] }): Parameters<SimFleet['sim']['kill']>[0] {
  return x.proc
}
