import { CONFIRMED_SUSPICION_TIMEOUT_MS } from '@claynotch/base'
import { recordOf, wait } from './harm.js'
import { makeSimFleet, smallShape, type Shape, type SimFleet } from './simfleet.js'

// How long each step of an unplanned replacement takes under traffic, from the leader's end to the first write that is
// served again; and how often a leader that only restarts, or whose connections are only reset, is replaced. Virtual time.
export type Steps = { stop: number; promote: number; called: number; steady: number; served: number }

function byNumber(a: number, b: number): number {
  return a - b
}
function median(list: number[]): number {
  return [...list].sort(byNumber)[Math.floor(list.length / 2)]
}

async function begun(seed: number, suspect?: number): Promise<SimFleet> {
  // sync 0: commits that are lost with a leader are not waited for, so the steps show by themselves.
  const s = smallShape()
  const groups: Shape['config']['groups'] = []
  for (const g of s.config.groups) groups.push({ ...g, sync: 0 })
  const f = makeSimFleet(seed, {
    ...s,
    fronts: 5,
    requesters: 15,
    thinkTimeMs: 60,
    config: { ...s.config, groups },
    ...(suspect === undefined ? {} : { suspicionTimeoutMs: suspect }),
  })
  await f.begin()
  f.startTraffic()
  await wait(f, 4000 + 1000 * f.sim.random())
  return f
}

export async function measureReplacement(f: SimFleet, harm: () => void): Promise<Steps> {
  const from = f.sim.now()
  const calls = f.promotions.length
  const before = recordOf(f)?.epoch ?? 0
  harm()
  async function at(what: () => boolean): Promise<number> {
    await f.sim.until(what, 30000)
    return Math.round(f.sim.now() - from)
  }
  function stops(): boolean {
    return recordOf(f)?.phase !== 'steady'
  }
  function promotes(): boolean {
    return recordOf(f)?.phase === 'promote' || isSteady()
  }
  function isCalled(): boolean {
    return f.promotions.length > calls
  }
  function isSteady(): boolean {
    const rec = recordOf(f)
    return rec?.phase === 'steady' && rec.epoch > before
  }
  const stop = await at(stops)
  const promote = await at(promotes)
  const called = await at(isCalled)
  const steady = await at(isSteady)
  // A write that was begun after the harm, so that none counts that was answered before it.
  function isServed(): boolean {
    for (let k = f.events.length - 1; k >= 0 && f.events[k].end > from; k--)
      if (f.events[k].tag !== undefined && f.events[k].outcome === 'done' && f.events[k].end > from + stop) return true
    return false
  }
  const served = await at(isServed)
  return { stop, promote, called, steady, served }
}

const HARMS: [string, (f: SimFleet) => void][] = [
  ['crash', crash],
  ['dark', dark],
]
function crash(f: SimFleet): void {
  f.killInstance(f.instanceHosts.indexOf(f.leaderOf('g1')!))
}
function dark(f: SimFleet): void {
  f.leaderOf('g1')!.machine.dark = true
}

// A leader that is back within 50 to 400 ms: its process starts anew, or its connections are reset.
async function alarms(seed: number, kind: 'restart' | 'reset', suspect: number | undefined): Promise<number> {
  const f = await begun(seed, suspect)
  for (let k = 0; k < 10; k++) {
    const box = f.leaderOf('g1')
    if (box) {
      const at = f.instanceHosts.indexOf(box)
      if (kind === 'reset') f.sim.reset(box.proc)
      else {
        f.killInstance(at)
        await wait(f, 50 + 350 * f.sim.random())
        f.startInstanceAt(at)
      }
    }
    await wait(f, 4000)
  }
  return f.promotions.length
}

export async function measureSteps(seeds: number, out: (line: string) => void): Promise<void> {
  out('| leader | stop recorded, ms | all stopped | called | steady | write served | most until served |')
  out('|---|---|---|---|---|---|---|')
  for (const [name, harm] of HARMS) {
    const all: Steps[] = []
    for (let seed = 1; seed <= seeds; seed++) {
      const f = await begun(seed)
      function act(): void {
        harm(f)
      }
      all.push(await measureReplacement(f, act))
    }
    const cells: number[] = []
    for (const key of ['stop', 'promote', 'called', 'steady', 'served'] as const) {
      const list: number[] = []
      for (const one of all) list.push(one[key])
      cells.push(median(list))
    }
    out(`| ${name} | ${cells.join(' | ')} | ${Math.max(...all.map(servedOf))} |`)
  }
  function servedOf(s: Steps): number {
    return s.served
  }
  // Suspicion at its value, and at half of what several failing nodes need.
  for (const suspect of [undefined, CONFIRMED_SUSPICION_TIMEOUT_MS / 2]) {
    for (const kind of ['restart', 'reset'] as const) {
      let moves = 0
      for (let seed = 1; seed <= seeds; seed++) moves += await alarms(seed, kind, suspect)
      out(`${kind}, suspicion ${suspect ?? 'as it is'}: ${moves} promotions in ${10 * seeds}`)
    }
  }
}
