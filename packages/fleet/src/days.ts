import { randomIndex, wait, type Scenario } from './harm.js'
import type { SimFleet } from './simfleet.js'

// A day of operators, more streams and changes than are kept in full, and then a final fault: whatever was told accepted is read
// back, and a repeated number is told its first decision.
async function dayEnds(f: SimFleet): Promise<void> {
  const CHANGES = 300
  const STREAMS = 40
  const firsts: { stream: string; line: object; epoch: number }[] = []
  let epoch = 1
  for (let k = 0; k < CHANGES; k++) {
    const stream = `s${k % STREAMS}`
    // Two of three are refused: against an epoch long past, or invalid.
    const way = k % 3
    const line = {
      number: Math.floor(k / STREAMS) + 1,
      expect: way === 1 ? 0 : epoch,
      edits: [{ op: 'proxies', value: way === 2 ? 40 : 4 + (k % 2) }],
    }
    const sent = f.change(randomIndex(f, f.fronts.length), stream, [line])
    await f.sim.until(sent.done, 15000)
    const told = sent.out()[0]
    if (told.decision !== (way === 0 ? 'accepted' : 'refused'))
      f.watchBreaches.push({ rule: 'configuration', what: `${stream}#${line.number} was told ${JSON.stringify(told)}` })
    if (told.decision !== 'accepted') continue
    epoch = told.epoch ?? 0
    firsts.push({ stream, line, epoch })
  }
  // The final fault: power for all cores while a change is on its way, one disk after the other with repair between.
  f.change(0, 'last', [{ number: 1, expect: epoch, edits: [{ op: 'proxies', value: 4 }] }])
  await wait(f, 5 * f.sim.random())
  for (const c of f.cores) f.sim.kill(c.proc)
  await wait(f, 500)
  for (let k = 0; k < f.cores.length; k++) f.startCoreAt(k)
  await wait(f, 3000)
  for (const k of [randomIndex(f, 2), 2 + randomIndex(f, 3)]) {
    f.sim.kill(f.cores[k].proc)
    f.cores[k].machine.files.clear()
    f.startCoreAt(k)
    function serves(): boolean {
      return f.cores[k].core?.serving() === true
    }
    // Power goes once more while the core is being refilled.
    await wait(f, 2500 * f.sim.random())
    f.sim.kill(f.cores[k].proc)
    f.startCoreAt(k)
    if (!(await f.sim.until(serves, 20000)))
      f.watchBreaches.push({ rule: 'repair', what: `${f.cores[k].id} was not refilled in 20 s` })
  }
  for (let k = 0; k < 12; k++) {
    const one = firsts[randomIndex(f, firsts.length)]
    const sent = f.change(randomIndex(f, f.fronts.length), one.stream, [one.line])
    await f.sim.until(sent.done, 15000)
    const told = sent.out()[0]
    if (told.decision !== 'accepted' || told.epoch !== one.epoch)
      f.watchBreaches.push({
        rule: 'configuration',
        what: `the repeat of a change of ${one.stream} accepted as ${one.epoch} was told ${JSON.stringify(told)}`,
      })
  }
  let size = 0
  for (const c of f.cores) for (const b of c.machine.files.values()) size = Math.max(size, b.length)
  if (size > 8 * 1024 * 1024)
    f.watchBreaches.push({ rule: 'disk', what: `a core's file is ${size} bytes at day's end` })
}

export const days: Scenario[] = [
  { name: 'day-ends', long: true, rule: "every acknowledged change is read back at day's end", injectFaults: dayEnds },
]
