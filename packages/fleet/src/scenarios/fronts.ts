import { leaderIndex, randomIndex, wait } from '../harm.js'
import type { SimFleet } from '../simfleet.js'
import { teamMixes } from './shapes.js'

// Harm to front machines: agents and proxies killed, frozen, stopped as planned, cut off, too many or too busy.

export async function drainDark(f: SimFleet): Promise<void> {
  // A proxy is stopped while its calls hang at a leader that went dark: each still gets its answer, whatever it is.
  const box = f.instanceHosts[leaderIndex(f, 'g1')]
  box.machine.dark = true
  await wait(f, 100 + 400 * f.sim.random())
  const { proxy, proxyProc } = f.fronts[0]
  let over = false
  function done(): void {
    over = true
  }
  const from = f.sim.now()
  void proxy?.stop().then(done)
  function isOver(): boolean {
    return over
  }
  await f.sim.until(isOver, 15000)
  f.sim.kill(proxyProc)
  for (const e of f.events)
    if (e.class === 'BROKE')
      f.watchBreaches.push({
        rule: 'dropped answer',
        what: `${e.kind} of session ${e.session} broke ${Math.round(e.end - from)} ms after the stop began`,
      })
  if (f.sim.now() - from > 9000)
    f.watchBreaches.push({ rule: 'planned stop', what: `the proxy took ${Math.round(f.sim.now() - from)} ms to end` })
  box.machine.dark = false
  f.startProxyAt(0)
  await wait(f, 4000)
}

export async function rolling(f: SimFleet): Promise<void> {
  // Every process of ours is stopped as the platform would and started anew, in turn, under traffic.
  async function ended(run: Promise<void> | undefined): Promise<void> {
    let over = run === undefined
    function done(): void {
      over = true
    }
    void run?.then(done)
    function isOver(): boolean {
      return over
    }
    if (!(await f.sim.until(isOver, 10000)))
      f.watchBreaches.push({ rule: 'planned stop', what: 'a process did not end within 10 s' })
  }
  for (const [k, c] of f.cores.entries()) {
    await ended(c.core?.stop())
    f.sim.kill(c.proc)
    await wait(f, 200)
    f.startCoreAt(k)
    await wait(f, 800)
  }
  for (const [k, x] of f.fronts.entries()) {
    await ended(x.proxy?.stop())
    f.sim.kill(x.proxyProc)
    await ended(x.agent?.stop())
    f.sim.kill(x.agentProc)
    await wait(f, 200)
    f.startAgentAt(k)
    f.startProxyAt(k)
    await wait(f, 2000)
  }
}

export async function tooMany(f: SimFleet, notes: Map<string, number>): Promise<void> {
  // More machines than the configuration shares connections out for: those over wait, and one takes the place of
  // a machine that is gone for good.
  const late = [f.addFront(), f.addFront()]
  await wait(f, 4000)
  for (const k of late)
    if (f.fronts[k].proxy?.state.hasConnectionShare())
      f.watchBreaches.push({ rule: 'shares', what: `${f.fronts[k].node} holds a share though all were held` })
  f.sim.kill(f.fronts[0].agentProc)
  f.sim.kill(f.fronts[0].proxyProc)
  const from = f.sim.now()
  function taken(): boolean {
    for (const k of late) if (f.fronts[k].proxy?.state.hasConnectionShare()) return true
    return false
  }
  const did = await f.sim.until(taken, 15000)
  notes.set('ms until a share changed hands', Math.round(f.sim.now() - from))
  if (!did) f.watchBreaches.push({ rule: 'shares', what: 'no machine took the share of one that was gone for 15 s' })
  // With more shares, smaller each, everyone serves.
  const sent = f.change(1, 'shares', [{ number: 1, expect: 1, edits: [{ op: 'proxies', value: 5 }] }])
  await f.sim.until(sent.done, 8000)
  f.startAgentAt(0)
  f.startProxyAt(0)
  await wait(f, 9000)
  for (const x of f.fronts)
    if (!x.proxy?.state.hasConnectionShare())
      f.watchBreaches.push({ rule: 'shares', what: `${x.node} holds no share though there are five` })
}

export async function agentRestarts(f: SimFleet): Promise<void> {
  // An agent that is back within its term interrupts nothing.
  for (let k = 0; k < f.fronts.length; k++) {
    f.sim.kill(f.fronts[k].agentProc)
    await wait(f, 200 + 300 * f.sim.random())
    f.startAgentAt(k)
    // News comes to it before its first renewal.
    await wait(f, 20)
    f.change((k + 1) % f.fronts.length, `away${k}`, [
      {
        number: 1,
        expect: k + 1,
        edits: [
          { op: 'put', what: 'lane', value: { name: `extra${k}`, database: 'kiln', group: 'g1', reads: 'leader' } },
        ],
      },
    ])
    await wait(f, 3000)
  }
  for (const e of f.events)
    if (e.outcome !== 'done' && e.class !== 'ROLLED_BACK')
      f.watchBreaches.push({
        rule: 'interrupted',
        what: `${e.kind} ended ${e.outcome} ${e.class} at ${Math.round(e.end)} while agents restarted`,
      })
}

export async function proxiesFail(f: SimFleet): Promise<void> {
  for (let k = 0; k < 5; k++) {
    const n = randomIndex(f, f.fronts.length)
    const front = f.fronts[n]
    const r = f.sim.random()
    if (r < 0.3) {
      f.sim.kill(front.proxyProc)
      await wait(f, 500)
      f.startProxyAt(n)
    } else if (r < 0.6) {
      f.sim.kill(front.agentProc)
      await wait(f, 500)
      f.startAgentAt(n)
    } else {
      const proc = r < 0.8 ? front.proxyProc : front.agentProc
      f.sim.freeze(proc)
      await wait(f, 1000 + 5000 * f.sim.random())
      f.sim.thaw(proc)
    }
    await wait(f, 2000)
  }
}

export async function frozenThroughMove(f: SimFleet): Promise<void> {
  // A proxy sleeps through a whole promotion and wakes with a term that ran out meanwhile.
  const n = randomIndex(f, f.fronts.length)
  f.sim.freeze(f.fronts[n].proxyProc)
  if (f.sim.random() < 0.5) f.sim.freeze(f.fronts[n].agentProc)
  const sent = f.ask((n + 1) % f.fronts.length, '/groups/g1/replacement', 'POST', {})
  await f.sim.until(sent.done, 8000)
  await wait(f, 4000 + 6000 * f.sim.random())
  f.sim.thaw(f.fronts[n].proxyProc)
  f.sim.thaw(f.fronts[n].agentProc)
  await wait(f, 5000)
}

export async function drained(f: SimFleet): Promise<void> {
  // Each proxy is stopped as the platform would, and started anew.
  for (let k = 0; k < f.fronts.length; k++) {
    const proc = f.fronts[k].proxyProc
    let over = false
    function ended(): void {
      over = true
    }
    void f.fronts[k].proxy?.stop().then(ended)
    function isOver(): boolean {
      return over
    }
    await f.sim.until(isOver, 10000)
    f.sim.kill(proc)
    f.startProxyAt(k)
    await wait(f, 2500)
  }
}

export async function proxyCutOff(f: SimFleet): Promise<void> {
  // One front machine loses the cores and its fellows, and still reaches a leader that is well and about to be replaced.
  const n = randomIndex(f, f.fronts.length)
  const lone = f.fronts[n].machine
  for (const c of f.cores) f.sim.cut(lone, c.machine)
  for (const x of f.fronts) if (x.machine !== lone) f.sim.cut(lone, x.machine)
  const sent = f.ask((n + 1) % f.fronts.length, '/groups/g1/replacement', 'POST', {})
  await f.sim.until(sent.done, 8000)
  await wait(f, 9000)
  f.sim.heal()
  await wait(f, 4000)
}

export async function newsCutOff(f: SimFleet): Promise<void> {
  // Pushes are lost with their connections: the news must come by renewal.
  for (let k = 0; k < 4; k++) {
    const n = randomIndex(f, f.fronts.length)
    const lone = f.fronts[n]
    for (const c of f.cores) f.sim.cut(lone.machine, c.machine)
    const sent = f.change((n + 1) % f.fronts.length, `news${k}`, [
      {
        number: 1,
        expect: k + 1,
        edits: [
          { op: 'put', what: 'lane', value: { name: `extra${k}`, database: 'kiln', group: 'g1', reads: 'leader' } },
        ],
      },
    ])
    await f.sim.until(sent.done, 8000)
    await wait(f, 200)
    f.sim.reset(lone.agentProc)
    f.sim.heal()
    await wait(f, 4500)
  }
}

export async function crowd(f: SimFleet): Promise<void> {
  // Many at once, and a new machine joins in the middle of it.
  f.addFront()
  await wait(f, 2500)
}

// One team's crowd on connections that it shares with another team, which is to be served as before.
export async function noisyTeam(f: SimFleet, notes: Map<string, number>): Promise<void> {
  await wait(f, 2000)
  const from = f.sim.now()
  const alone = kindRate(f, 'quiet', from - 3000, from)
  f.addRequesters(teamMixes('loud'), 48, 5)
  await wait(f, 6000)
  const beside = kindRate(f, 'quiet', f.sim.now() - 4000, f.sim.now())
  notes.set('quiet team, share of its rate alone', Math.round((100 * beside) / alone) / 100)
  // Two teams of equal share: beside the crowd it has one connection of the two that it has alone, and waits for
  // it behind a call of the crowd's that runs already, as connections aren't taken away from a call.
  if (beside < 0.33 * alone)
    f.watchBreaches.push({
      rule: 'starved',
      what: `the quiet team got ${beside} a second beside the crowd, ${alone} alone`,
    })
}

function kindRate(f: SimFleet, kind: string, from: number, to: number): number {
  let n = 0
  for (const e of f.events) if (e.kind === kind && e.outcome === 'done' && e.end >= from && e.end < to) n++
  return (n * 1000) / (to - from)
}
