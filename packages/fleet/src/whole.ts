import { leaderIndex, wait } from './harm.js'
import type { Profile } from './profile.js'
import { lawOf, makeSimFleet, type Shape } from './simfleet.js'

// A deployment at its full shape in the simulator: its fronts, cores, groups, sessions and rates, traffic from 12 s after the
// start, and a day in small: a leader dies, another is replaced, a lane is tightened, an area goes dark and comes back, and all
// stops at once and starts again. One run takes minutes, so it is no part of the tests.
export function shapeOf(p: Profile): Shape {
  return {
    fronts: p.fronts,
    areas: p.areas,
    cores: p.cores,
    groups: p.groups,
    instances: p.instances,
    connections: p.connections,
    lag: 50,
    requesters: p.sessions,
    thinkTimeMs: (p.sessions / p.rate) * 1000,
    keys: 400,
    mixes: p.mixes,
    config: p.config,
  }
}

export async function runWhole(p: Profile, seed: number, out: (line: string) => void): Promise<number> {
  const f = makeSimFleet(seed, shapeOf(p))
  if (!(await f.begin())) {
    out('the fleet did not begin')
    return 1
  }
  out(`${p.name}, seed ${seed}: every proxy serves ${Math.round(f.sim.now() - 1000)} ms after the start`)
  await f.sim.run(Math.max(f.sim.now(), 13000))
  f.startTraffic()
  const [a, b] = p.groups
  // Done operations by second of the run.
  function curve(from: number, to: number): string {
    const list: number[] = []
    for (let k = 0; k < Math.ceil((to - from) / 1000); k++) list.push(0)
    for (const e of f.events)
      if (e.outcome === 'done' && e.end >= from && e.end < to) list[Math.floor((e.end - from) / 1000)]++
    return list.join(' ')
  }
  async function phase(name: string, ms: number, harm: () => Promise<void> | void): Promise<void> {
    const from = f.sim.now()
    await harm()
    await wait(f, ms)
    out(`${name}, done by second: ${curve(from, f.sim.now())}`)
  }
  function nothing(): void {}
  await phase('calm', 4000, nothing)
  const dead = leaderIndex(f, a)
  function crash(): void {
    f.killInstance(dead)
  }
  await phase(`leader of ${a} dies`, 8000, crash)
  async function change(): Promise<void> {
    f.startInstanceAt(dead)
    f.ask(0, `/groups/${b}/replacement`, 'POST', {})
    const lane = p.config.lanes.find(isNear)!
    function isNear(l: { reads: unknown }): boolean {
      return l.reads !== 'leader'
    }
    const sent = f.change(1, 'desk', [
      { number: 1, expect: 1, edits: [{ op: 'put', what: 'lane', value: { ...lane, reads: 'leader' } }] },
    ])
    await f.sim.until(sent.done, 5000)
    if (sent.out()[0]?.decision === 'accepted') f.laws.push(lawOf({ ...lane, reads: 'leader' }, f.sim.now()))
  }
  await phase(`leader of ${b} replaced, a lane tightened`, 4000, change)
  const gone = [f.cores[0].machine]
  for (const list of [f.fronts, f.instanceHosts])
    for (const [k, x] of list.entries()) if (k % p.areas.length === 0) gone.push(x.machine)
  function lose(): void {
    for (const m of gone) m.dark = true
  }
  await phase(`area ${p.areas[0]} dark (${gone.length} machines)`, 9000, lose)
  function bring(): void {
    for (const m of gone) m.dark = false
  }
  await phase('the area is back', 4000, bring)
  await f.quiet()
  const got = f.judge()
  got.breaches.push(...(await f.readBack()))
  const counts = new Map<string, number>()
  for (const e of f.events)
    counts.set(`${e.outcome} ${e.class}`.trim(), (counts.get(`${e.outcome} ${e.class}`.trim()) ?? 0) + 1)
  for (const [k, n] of [...counts].sort()) out(`  ${k}: ${n}`)
  out(
    `checked ${got.checked.writes} writes, ${got.checked.reads} reads; ${got.lost.length} commits lost with a dead leader's tail; ${got.breaches.length} breaches`,
  )
  for (const x of got.breaches.slice(0, 10)) out(`  ${x.rule}: ${x.what}`)
  return got.breaches.length
}
