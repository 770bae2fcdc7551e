import type { GroupRecord } from '@claynotch/register'
import { makeSimFleet, smallShape, type SimFleet } from './simfleet.js'

// How soon a leader that went dark is replaced, and how often one that only paused is, for several lengths
// of suspicion and shares of loss. Virtual time; no requesters, as detection doesn't rest on them.
const SUSPECTS = [800, 1200, 1800, 2500, 3500]
const LOSSES = [0, 0.05, 0.15]
const CALM = 60000

function recordOf(f: SimFleet): GroupRecord | undefined {
  for (const x of f.fronts) {
    const rec = x.agent?.register('group/g1')?.body as GroupRecord | undefined
    if (rec) return rec
  }
  return undefined
}
function median(list: number[]): number {
  const sorted = [...list].sort(byNumber)
  return sorted[Math.floor(sorted.length / 2)]
}
function byNumber(a: number, b: number): number {
  return a - b
}

async function crash(seed: number, suspect: number, loss: number): Promise<number> {
  const f = makeSimFleet(seed, { ...smallShape(), suspicionTimeoutMs: suspect })
  if (!(await f.begin())) return NaN
  f.sim.loss(loss)
  await f.sim.run(f.sim.now() + 3000 + 1000 * f.sim.random())
  const box = f.leaderOf('g1')
  if (!box) return NaN
  const from = f.sim.now()
  box.machine.dark = true
  function stopped(): boolean {
    const rec = recordOf(f)
    return rec !== undefined && rec.phase !== 'steady'
  }
  await f.sim.until(stopped, 30000)
  return f.sim.now() - from
}

// A leader that stops for 0.2 to 1.6 s every few seconds, as for a collector or a slow disk; every move is false.
async function pauses(seed: number, suspect: number, loss: number): Promise<number> {
  const f = makeSimFleet(seed, { ...smallShape(), suspicionTimeoutMs: suspect })
  if (!(await f.begin())) return NaN
  f.sim.loss(loss)
  const end = f.sim.now() + CALM
  while (f.sim.now() < end) {
    await f.sim.run(f.sim.now() + 2000 + 3000 * f.sim.random())
    const box = f.leaderOf('g1')
    if (!box) continue
    f.sim.freeze(box.proc)
    await f.sim.run(f.sim.now() + 200 + 1400 * f.sim.random())
    f.sim.thaw(box.proc)
  }
  return f.promotions.length
}

export async function measureDetection(seeds: number, out: (line: string) => void): Promise<void> {
  out('| suspicion, ms | loss | median until stopped, ms | most, ms | false moves a minute of pauses |')
  out('|---|---|---|---|---|')
  for (const suspect of SUSPECTS) {
    for (const loss of LOSSES) {
      const times: number[] = []
      let moves = 0
      for (let seed = 1; seed <= seeds; seed++) {
        times.push(await crash(seed, suspect, loss))
        moves += await pauses(seed, suspect, loss)
      }
      out(
        `| ${suspect} | ${loss} | ${Math.round(median(times))} | ${Math.round(Math.max(...times))} | ${Math.round((10 * moves * 60000) / CALM / seeds) / 10} |`,
      )
    }
  }
}
