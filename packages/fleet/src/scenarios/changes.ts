import { randomIndex, wait } from '../harm.js'
import type { SimFleet } from '../simfleet.js'

// Harm to operators' changes: lost acknowledgements, races, pushes that arrive late.

export async function ackLost(f: SimFleet): Promise<void> {
  // The operator never hears what became of its change and sends the same number again, by another agent.
  for (let k = 0; k < 5; k++) {
    const line = {
      number: k + 1,
      expect: k + 1,
      edits: [
        { op: 'put', what: 'lane', value: { name: `extra${k}`, database: 'kiln', group: 'g1', reads: 'leader' } },
      ],
    }
    const n = randomIndex(f, f.fronts.length)
    const first = f.change(n, 'again', [line])
    await wait(f, 8 * f.sim.random())
    if (!first.done()) f.sim.reset(f.fronts[n].agentProc)
    if (f.sim.random() < 0.5) {
      f.sim.kill(f.fronts[n].agentProc)
      f.startAgentAt(n)
    }
    const second = f.change((n + 1) % f.fronts.length, 'again', [line])
    await f.sim.until(second.done, 15000)
    const told = second.out()[0]
    if (told.decision !== 'accepted' || told.epoch !== k + 2)
      f.watchBreaches.push({
        rule: 'configuration',
        what: `the repeat of again#${k + 1} was told ${JSON.stringify(told)}`,
      })
    await wait(f, 1500)
  }
}

export async function operatorsRace(f: SimFleet): Promise<void> {
  for (let k = 0; k < 6; k++) {
    const a = f.change(0, `a${k}`, [{ number: 1, expect: k + 1, edits: [{ op: 'proxies', value: 4 }] }])
    const b = f.change(1, `b${k}`, [{ number: 1, expect: k + 1, edits: [{ op: 'proxies', value: 5 }] }])
    if (f.sim.random() < 0.3) f.sim.reset(f.fronts[0].agentProc)
    function both(): boolean {
      return a.done() && b.done()
    }
    await f.sim.until(both, 20000)
    // One more asks for what can't be: 24 connections over 40 proxies.
    const c = f.change(2, `c${k}`, [{ number: 1, expect: k + 2, edits: [{ op: 'proxies', value: 40 }] }])
    await f.sim.until(c.done, 20000)
    if (c.out()[0].decision === 'accepted')
      f.watchBreaches.push({ rule: 'configuration', what: `c${k} is invalid and was accepted` })
    await wait(f, 800)
  }
}

export async function lateNews(f: SimFleet): Promise<void> {
  // A push of an older change arrives after a newer one was applied.
  const lane = { database: 'kiln', group: 'g1', reads: 'leader' }
  for (let k = 0; k < 2; k++) {
    const n = randomIndex(f, f.fronts.length)
    const c = randomIndex(f, f.cores.length)
    f.sim.cut(f.fronts[n].machine, f.cores[c].machine)
    const a = f.change((n + 1) % f.fronts.length, `late${k}`, [
      { number: 1, expect: 2 * k + 1, edits: [{ op: 'put', what: 'lane', value: { ...lane, name: `first${k}` } }] },
    ])
    await f.sim.until(a.done, 8000)
    await wait(f, 50)
    f.sim.kill(f.cores[c].proc)
    const b = f.change((n + 1) % f.fronts.length, `later${k}`, [
      { number: 1, expect: 2 * k + 2, edits: [{ op: 'put', what: 'lane', value: { ...lane, name: `second${k}` } }] },
    ])
    await f.sim.until(b.done, 8000)
    await wait(f, 300)
    f.sim.heal()
    await wait(f, 1500)
    f.startCoreAt(c)
    await wait(f, 2500)
  }
}
