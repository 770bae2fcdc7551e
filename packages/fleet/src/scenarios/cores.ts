import { randomIndex, wait } from '../harm.js'
import type { SimFleet } from '../simfleet.js'

// Harm to cores, their disks and the way to them.

export async function diskFull(f: SimFleet): Promise<void> {
  // Two cores can write no more, one after the other; each says so and votes no more, until it is restarted with room.
  for (const at of [0, 1]) {
    f.cores[at].machine.full = true
    const sent = f.change(1, `full${at}`, [
      {
        number: 1,
        expect: at + 1,
        edits: [
          { op: 'put', what: 'lane', value: { name: `extra${at}`, database: 'kiln', group: 'g1', reads: 'leader' } },
        ],
      },
    ])
    await f.sim.until(sent.done, 8000)
    if (sent.out()[0]?.decision !== 'accepted')
      f.watchBreaches.push({
        rule: 'disk',
        what: `with a core's disk full a change was told ${JSON.stringify(sent.out())}`,
      })
    await wait(f, 1000)
    if (f.cores[at].core?.serving())
      f.watchBreaches.push({ rule: 'disk', what: `${f.cores[at].id} calls itself serving with a full disk` })
  }
  await wait(f, 3000)
  for (const at of [0, 1]) {
    f.sim.kill(f.cores[at].proc)
    f.cores[at].machine.full = false
    f.startCoreAt(at)
    await wait(f, 1500)
    if (!f.cores[at].core?.serving())
      f.watchBreaches.push({ rule: 'disk', what: `${f.cores[at].id} does not serve again with room on its disk` })
  }
}

export async function coresRestart(f: SimFleet): Promise<void> {
  for (let k = 0; k < f.cores.length; k++) {
    f.change(randomIndex(f, 3), `during${k}`, [
      {
        number: 1,
        expect: k + 1,
        edits: [
          { op: 'put', what: 'lane', value: { name: `extra${k}`, database: 'kiln', group: 'g1', reads: 'leader' } },
        ],
      },
    ])
    f.sim.kill(f.cores[k].proc)
    await wait(f, 300 + 1000 * f.sim.random())
    f.startCoreAt(k)
    await wait(f, 1000)
  }
}

export async function coreEmptied(f: SimFleet): Promise<void> {
  for (const k of [0, 1, 2, 3, 4]) {
    f.sim.kill(f.cores[k].proc)
    f.cores[k].machine.files.clear()
    const sent = f.change(randomIndex(f, 3), `during${k}`, [
      {
        number: 1,
        expect: k + 1,
        edits: [
          { op: 'put', what: 'lane', value: { name: `extra${k}`, database: 'kiln', group: 'g1', reads: 'leader' } },
        ],
      },
    ])
    await wait(f, 500)
    f.startCoreAt(k)
    await f.sim.until(sent.done, 15000)
    await wait(f, 4000)
  }
}

export async function everythingStops(f: SimFleet): Promise<void> {
  const sent = f.change(0, 'last', [{ number: 1, expect: 1, edits: [{ op: 'proxies', value: 5 }] }])
  if (f.sim.random() < 0.5) await f.sim.until(sent.done, 5000)
  else await wait(f, 20 * f.sim.random())
  for (const c of f.cores) f.sim.kill(c.proc)
  for (const x of f.fronts) {
    f.sim.kill(x.agentProc)
    f.sim.kill(x.proxyProc)
  }
  for (let k = 0; k < f.instanceHosts.length; k++) f.killInstance(k)
  await wait(f, 2000)
  for (let k = 0; k < f.cores.length; k++) f.startCoreAt(k)
  for (let k = 0; k < f.fronts.length; k++) {
    f.startAgentAt(k)
    f.startProxyAt(k)
  }
  for (let k = 0; k < f.instanceHosts.length; k++) f.startInstanceAt(k)
  await wait(f, 12000)
}

export async function coresCut(f: SimFleet): Promise<void> {
  for (const x of f.fronts) for (const c of f.cores) f.sim.cut(x.machine, c.machine)
  await wait(f, 6000)
  f.sim.heal()
  await wait(f, 5000)
}

export async function coreAway(f: SimFleet, notes: Map<string, number>): Promise<void> {
  // A core is away while registers change; soon after its return it must hold them all.
  const at = randomIndex(f, f.cores.length)
  f.sim.kill(f.cores[at].proc)
  const sent = f.change(0, 'away', [
    {
      number: 1,
      expect: 1,
      edits: [{ op: 'put', what: 'lane', value: { name: 'extra', database: 'kiln', group: 'g1', reads: 'leader' } }],
    },
  ])
  await f.sim.until(sent.done, 8000)
  const move = f.ask(1, '/groups/g1/replacement', 'POST', {})
  await f.sim.until(move.done, 8000)
  await wait(f, 5000)
  f.startCoreAt(at)
  const from = f.sim.now()
  function turns(k: number): string {
    const out: string[] = []
    for (const [key, c] of f.cores[k].core?.store.entries() ?? []) out.push(`${key}:${c.value?.turn ?? 0}`)
    return out.sort().join()
  }
  function same(): boolean {
    return turns(at) === turns((at + 1) % f.cores.length)
  }
  const whole = await f.sim.until(same, 6000)
  notes.set('ms until the core held all', Math.round(f.sim.now() - from))
  if (!whole)
    f.watchBreaches.push({
      rule: 'repair',
      what: `6 s after its return ${f.cores[at].id} holds ${turns(at)}, another ${turns((at + 1) % f.cores.length)}`,
    })
}
