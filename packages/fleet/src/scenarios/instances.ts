import { leaderIndex, randomIndex, wait } from '../harm.js'
import type { SimFleet } from '../simfleet.js'

// Harm to instances other than the death of a leader: lost answers, restarts, deaf and lagging followers, notices.

export async function answersLost(f: SimFleet): Promise<void> {
  for (let k = 0; k < 20; k++) {
    const box = f.instanceHosts[randomIndex(f, f.instanceHosts.length)]
    const paths = ['/statement', '/commit', '/begin', '/statement']
    box.instance?.faults.lose.push(paths[randomIndex(f, paths.length)])
    await wait(f, 300)
  }
}

export async function quickRestart(f: SimFleet): Promise<void> {
  // Instances restart within a moment: requests go out on connections that are broken already.
  for (let k = 0; k < 8; k++) {
    const at = randomIndex(f, f.instanceHosts.length)
    f.killInstance(at)
    await wait(f, 20 + 300 * f.sim.random())
    f.startInstanceAt(at)
    await wait(f, 1200)
  }
}

export async function deafFollower(f: SimFleet): Promise<void> {
  const lead = leaderIndex(f, 'g1')
  const deaf = (lead + 1) % 3
  const box = f.instanceHosts[deaf]
  if (box.instance) box.instance.faults.deaf = true
  await wait(f, 4000)
  if (f.sim.random() < 0.5) {
    f.killInstance(lead)
    await wait(f, 9000)
  }
  if (box.instance) box.instance.faults.deaf = false
  await wait(f, 3000)
}

export async function laggingFollowers(f: SimFleet): Promise<void> {
  for (const b of f.instanceHosts)
    if (b.instance && b.instance.role() === 'follower') b.instance.faults.lag = 900 + 1500 * f.sim.random()
  await wait(f, 10000)
}

export async function leaving(f: SimFleet): Promise<void> {
  const lead = leaderIndex(f, 'g1')
  const one = f.sim.random() < 0.5 ? lead : (lead + 1) % 3
  // One node misses the notice by datagram; it must learn it another way.
  const deaf = f.fronts[randomIndex(f, f.fronts.length)].machine
  for (const x of f.fronts) if (x.machine !== deaf) f.sim.cut(x.machine, deaf)
  void f.instanceHosts[one].instance?.leave()
  await wait(f, 14000)
  f.sim.heal()
}

export async function swapped(f: SimFleet): Promise<void> {
  // The group's instances are swapped one by one: each leaves, stops, and comes back empty.
  for (let k = 0; k < 3; k++) {
    void f.instanceHosts[k].instance?.leave()
    await wait(f, 8000)
    f.killInstance(k)
    f.instanceHosts[k].machine.files.clear()
    await wait(f, 500)
    f.startInstanceAt(k)
    await wait(f, 4000)
  }
}

export async function ownArea(f: SimFleet, notes: Map<string, number>): Promise<void> {
  // Reads stay in their own area while a follower there is fresh, and go elsewhere when it is not.
  function shares(): { own: number; all: number } {
    let own = 0
    let all = 0
    for (const x of f.fronts) {
      for (const line of (x.proxy?.metrics.text() ?? '').split('\n')) {
        const m = /^claynotch_reads_total\{.*area="(own|other)",role="follower"\} (\d+)/.exec(line)
        if (!m) continue
        all += Number(m[2])
        if (m[1] === 'own') own += Number(m[2])
      }
    }
    return { own, all }
  }
  const a = shares()
  await wait(f, 4000)
  const b = shares()
  const calm = (b.own - a.own) / (b.all - a.all)
  notes.set('follower reads in the own area', Math.round(100 * calm) / 100)
  if (calm < 0.9) f.watchBreaches.push({ rule: 'area', what: `${calm} of follower reads stayed in their area` })
  // The follower of area b goes dark: its area's reads are served from elsewhere, and none fails.
  const before = f.events.length
  f.instanceHosts[1].machine.dark = true
  await wait(f, 6000)
  let failed = 0
  for (const e of f.events.slice(before)) if (e.outcome !== 'done' && e.class !== 'ROLLED_BACK') failed++
  notes.set('calls failed while it was dark', failed)
  if (failed > 3) f.watchBreaches.push({ rule: 'area', what: `${failed} calls failed while one follower was dark` })
}
