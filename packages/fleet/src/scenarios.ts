import { leaderIndex, pick, recordOf, wait, type Outcome, type Scenario } from './harm.js'
import { areas, mixable } from './areas.js'
import { days } from './days.js'
import { lanes } from './lanes.js'
import { makeSimFleet, smallShape, type Shape, type SimFleet } from './simfleet.js'
import { RETRY_TOKENS } from '@claynotch/base'
import type { Breach } from './judge.js'
import type { Mix } from './requester.js'

// Failures brought about in the simulator, by name. Each scenario starts a fleet under traffic, does its
// harm, lets traffic run on and end, and hands what the judge found to whoever asked.
// Virtual ms from now until requesters' calls succeed again on the group's leader.
async function untilServed(f: SimFleet, limit: number): Promise<number> {
  const from = f.sim.now()
  const skip = f.events.length
  function served(): boolean {
    for (let k = skip; k < f.events.length; k++)
      if (
        f.events[k].tag !== undefined &&
        f.events[k].outcome === 'done' &&
        f.events[k].start > from - 1e9 &&
        f.events[k].end > from + 500
      )
        return true
    return false
  }
  await f.sim.until(served, limit)
  return f.sim.now() - from
}

async function leaderCrash(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const at = leaderIndex(f, 'g1')
  const from = f.sim.now()
  f.killBox(at)
  notes.set('ms until served', await untilServed(f, 30000))
  // The promotion is absorbed: at most one call of each requester hears of it.
  let told = 0
  for (const e of f.events)
    if (e.start >= from && (e.outcome === 'refused' || e.outcome === 'failed') && e.class === 'UNAVAILABLE') told++
  // Retries, summed over all nodes, against first sends in the whole run.
  const { firsts, again } = triesOf(f)
  notes.set('retries for each first send, fleet', Math.round((1000 * again) / firsts) / 1000)
  if (again > 0.25 * firsts)
    f.watched.push({ rule: 'retry storm', what: `${again} retries for ${firsts} first sends over all nodes` })
  if (told > f.shape.requesters)
    f.watched.push({ rule: 'absorbed', what: `${told} calls were told UNAVAILABLE during one promotion` })
  await wait(f, 4000)
  f.startBoxAt(at)
  await wait(f, 6000)
}
async function leaderDark(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const box = f.boxes[leaderIndex(f, 'g1')]
  box.machine.dark = true
  notes.set('ms until served', await untilServed(f, 30000))
  await wait(f, 12000)
  box.machine.dark = false
  await wait(f, 6000)
}
async function leaderFrozen(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const box = f.boxes[leaderIndex(f, 'g1')]
  f.sim.freeze(box.proc)
  notes.set('ms until served', await untilServed(f, 30000))
  await wait(f, 9000)
  f.sim.thaw(box.proc)
  await wait(f, 6000)
}
async function planned(f: SimFleet): Promise<void> {
  for (let k = 0; k < 3; k++) {
    const sent = f.ask(pick(f, f.fronts.length), '/groups/g1/replacement', 'POST', {})
    await f.sim.until(sent.done, 8000)
    await wait(f, 5000)
  }
}
async function answersLost(f: SimFleet): Promise<void> {
  for (let k = 0; k < 20; k++) {
    const box = f.boxes[pick(f, f.boxes.length)]
    const paths = ['/statement', '/commit', '/begin', '/statement']
    box.instance?.faults.lose.push(paths[pick(f, paths.length)])
    await wait(f, 300)
  }
}
async function holderKilled(f: SimFleet, notes: Map<string, number>): Promise<void> {
  // Whoever holds the duty dies or freezes at a step of the move that the seed picks: before the stop, in it,
  // when the call may go out, right after it went out, and with the record just steady.
  const steps = ['suspected', 'stop', 'promote', 'called', 'steady']
  const step = steps[pick(f, steps.length)]
  notes.set(`holder fails: ${step}`, 1)
  const planned = f.sim.random() < 0.3
  const calls = f.promotions.length
  const first = recordOf(f)?.epoch ?? 0
  if (planned) f.ask(0, '/groups/g1/replacement', 'POST', {})
  else f.killBox(leaderIndex(f, 'g1'))
  if (step === 'suspected') await wait(f, 2000 * f.sim.random())
  function there(): boolean {
    const rec = recordOf(f)
    if (step === 'called') return f.promotions.length > calls
    if (step === 'steady') return rec?.phase === 'steady' && rec.epoch > first
    return step === 'suspected' || rec?.phase === step
  }
  await f.sim.until(there, 15000)
  const holder = recordOf(f)?.holder
  const front = f.fronts.find(isHolder)
  function isHolder(x: { node: string }): boolean {
    return x.node === holder
  }
  if (front) {
    if (f.sim.random() < 0.5) f.sim.kill(front.agentProc)
    else {
      f.sim.freeze(front.agentProc)
      const proc = front.agentProc
      function thaw(): void {
        f.sim.thaw(proc)
      }
      f.sim.at(2000 + 5000 * f.sim.random(), thaw)
    }
  }
  await wait(f, 15000)
  // A successor has finished the move: one leader, by record and by its own word.
  const rec = recordOf(f)
  const lead = f.leaderOf('g1')
  if (rec?.phase !== 'steady' || rec.epoch <= first || lead?.name !== rec.leader)
    f.watched.push({
      rule: 'unfinished',
      what: `15 s after its holder failed (${step}) the record is ${JSON.stringify(rec)}, ${lead?.name} leads`,
    })
}
async function quickRestart(f: SimFleet): Promise<void> {
  // Instances restart within a moment: requests go out on connections that are broken already.
  for (let k = 0; k < 8; k++) {
    const at = pick(f, f.boxes.length)
    f.killBox(at)
    await wait(f, 20 + 300 * f.sim.random())
    f.startBoxAt(at)
    await wait(f, 1200)
  }
}
async function ackLost(f: SimFleet): Promise<void> {
  // The operator never hears what became of its change and sends the same number again, by another agent.
  for (let k = 0; k < 5; k++) {
    const line = {
      number: k + 1,
      expect: k + 1,
      edits: [
        { op: 'put', what: 'lane', value: { name: `extra${k}`, database: 'kiln', group: 'g1', reads: 'leader' } },
      ],
    }
    const n = pick(f, f.fronts.length)
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
      f.watched.push({ rule: 'configuration', what: `the repeat of again#${k + 1} was told ${JSON.stringify(told)}` })
    await wait(f, 1500)
  }
}
async function diskFull(f: SimFleet): Promise<void> {
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
      f.watched.push({ rule: 'disk', what: `with a core's disk full a change was told ${JSON.stringify(sent.out())}` })
    await wait(f, 1000)
    if (f.cores[at].core?.serving())
      f.watched.push({ rule: 'disk', what: `${f.cores[at].id} calls itself serving with a full disk` })
  }
  await wait(f, 3000)
  for (const at of [0, 1]) {
    f.sim.kill(f.cores[at].proc)
    f.cores[at].machine.full = false
    f.startCoreAt(at)
    await wait(f, 1500)
    if (!f.cores[at].core?.serving())
      f.watched.push({ rule: 'disk', what: `${f.cores[at].id} does not serve again with room on its disk` })
  }
}
async function drainDark(f: SimFleet): Promise<void> {
  // A proxy is stopped while its calls hang at a leader that went dark: each still gets its answer, whatever it is.
  const box = f.boxes[leaderIndex(f, 'g1')]
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
      f.watched.push({
        rule: 'dropped answer',
        what: `${e.kind} of session ${e.session} broke ${Math.round(e.end - from)} ms after the stop began`,
      })
  if (f.sim.now() - from > 9000)
    f.watched.push({ rule: 'planned stop', what: `the proxy took ${Math.round(f.sim.now() - from)} ms to end` })
  box.machine.dark = false
  f.startProxyAt(0)
  await wait(f, 4000)
}
async function rolling(f: SimFleet): Promise<void> {
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
      f.watched.push({ rule: 'planned stop', what: 'a process did not end within 10 s' })
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
async function tooMany(f: SimFleet, notes: Map<string, number>): Promise<void> {
  // More machines than the configuration shares connections out for: those over wait, and one takes the place of
  // a machine that is gone for good.
  const late = [f.addFront(), f.addFront()]
  await wait(f, 4000)
  for (const k of late)
    if (f.fronts[k].proxy?.state.share())
      f.watched.push({ rule: 'shares', what: `${f.fronts[k].node} holds a share though all were held` })
  f.sim.kill(f.fronts[0].agentProc)
  f.sim.kill(f.fronts[0].proxyProc)
  const from = f.sim.now()
  function taken(): boolean {
    for (const k of late) if (f.fronts[k].proxy?.state.share()) return true
    return false
  }
  const did = await f.sim.until(taken, 15000)
  notes.set('ms until a share changed hands', Math.round(f.sim.now() - from))
  if (!did) f.watched.push({ rule: 'shares', what: 'no machine took the share of one that was gone for 15 s' })
  // With more shares, smaller each, everyone serves.
  const sent = f.change(1, 'shares', [{ number: 1, expect: 1, edits: [{ op: 'proxies', value: 5 }] }])
  await f.sim.until(sent.done, 8000)
  f.startAgentAt(0)
  f.startProxyAt(0)
  await wait(f, 9000)
  for (const x of f.fronts)
    if (!x.proxy?.state.share())
      f.watched.push({ rule: 'shares', what: `${x.node} holds no share though there are five` })
}
function threeShares(s: Shape): Shape {
  return {
    ...s,
    requesters: 24,
    think: 60,
    keys: 100,
    latency: 8,
    connections: 20,
    config: { ...s.config, proxies: 3, groups: [{ name: 'g1', connections: 20 }] },
  }
}
async function agentRestarts(f: SimFleet): Promise<void> {
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
      f.watched.push({
        rule: 'interrupted',
        what: `${e.kind} ended ${e.outcome} ${e.class} at ${Math.round(e.end)} while agents restarted`,
      })
}
async function proxiesFail(f: SimFleet): Promise<void> {
  for (let k = 0; k < 5; k++) {
    const n = pick(f, f.fronts.length)
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
async function frozenThroughMove(f: SimFleet): Promise<void> {
  // A proxy sleeps through a whole promotion and wakes with a term that ran out meanwhile.
  const n = pick(f, f.fronts.length)
  f.sim.freeze(f.fronts[n].proxyProc)
  if (f.sim.random() < 0.5) f.sim.freeze(f.fronts[n].agentProc)
  const sent = f.ask((n + 1) % f.fronts.length, '/groups/g1/replacement', 'POST', {})
  await f.sim.until(sent.done, 8000)
  await wait(f, 4000 + 6000 * f.sim.random())
  f.sim.thaw(f.fronts[n].proxyProc)
  f.sim.thaw(f.fronts[n].agentProc)
  await wait(f, 5000)
}
async function cuts(f: SimFleet): Promise<void> {
  for (let k = 0; k < 6; k++) {
    const list = [...f.fronts, ...f.cores, ...f.boxes]
    const a = list[pick(f, list.length)].machine
    const b = list[pick(f, list.length)].machine
    f.sim.cut(a, b, f.sim.random() < 0.5)
    if (f.sim.random() < 0.4) {
      const c = f.fronts[pick(f, f.fronts.length)].machine
      for (const core of f.cores) f.sim.cut(c, core.machine)
    }
    await wait(f, 1000 + 3000 * f.sim.random())
    if (f.sim.random() < 0.7) f.sim.heal()
  }
  f.sim.heal()
  await wait(f, 6000)
}
async function lossy(f: SimFleet): Promise<void> {
  f.sim.loss(0.1)
  await wait(f, 4000)
  f.killBox(leaderIndex(f, 'g1'))
  await wait(f, 14000)
  f.sim.loss(0)
}
async function deafFollower(f: SimFleet): Promise<void> {
  const lead = leaderIndex(f, 'g1')
  const deaf = (lead + 1) % 3
  const box = f.boxes[deaf]
  if (box.instance) box.instance.faults.deaf = true
  await wait(f, 4000)
  if (f.sim.random() < 0.5) {
    f.killBox(lead)
    await wait(f, 9000)
  }
  if (box.instance) box.instance.faults.deaf = false
  await wait(f, 3000)
}
async function laggingFollowers(f: SimFleet): Promise<void> {
  for (const b of f.boxes)
    if (b.instance && b.instance.role() === 'follower') b.instance.faults.lag = 900 + 1500 * f.sim.random()
  await wait(f, 10000)
}
async function coresRestart(f: SimFleet): Promise<void> {
  for (let k = 0; k < f.cores.length; k++) {
    f.change(pick(f, 3), `during${k}`, [
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
async function coreEmptied(f: SimFleet): Promise<void> {
  for (const k of [0, 1, 2, 3, 4]) {
    f.sim.kill(f.cores[k].proc)
    f.cores[k].machine.files.clear()
    const sent = f.change(pick(f, 3), `during${k}`, [
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
async function everythingStops(f: SimFleet): Promise<void> {
  const sent = f.change(0, 'last', [{ number: 1, expect: 1, edits: [{ op: 'proxies', value: 5 }] }])
  if (f.sim.random() < 0.5) await f.sim.until(sent.done, 5000)
  else await wait(f, 20 * f.sim.random())
  for (const c of f.cores) f.sim.kill(c.proc)
  for (const x of f.fronts) {
    f.sim.kill(x.agentProc)
    f.sim.kill(x.proxyProc)
  }
  for (let k = 0; k < f.boxes.length; k++) f.killBox(k)
  await wait(f, 2000)
  for (let k = 0; k < f.cores.length; k++) f.startCoreAt(k)
  for (let k = 0; k < f.fronts.length; k++) {
    f.startAgentAt(k)
    f.startProxyAt(k)
  }
  for (let k = 0; k < f.boxes.length; k++) f.startBoxAt(k)
  await wait(f, 12000)
}
async function coresCut(f: SimFleet): Promise<void> {
  for (const x of f.fronts) for (const c of f.cores) f.sim.cut(x.machine, c.machine)
  await wait(f, 6000)
  f.sim.heal()
  await wait(f, 5000)
}
async function leaving(f: SimFleet): Promise<void> {
  const lead = leaderIndex(f, 'g1')
  const one = f.sim.random() < 0.5 ? lead : (lead + 1) % 3
  // One node misses the notice by datagram; it must learn it another way.
  const deaf = f.fronts[pick(f, f.fronts.length)].machine
  for (const x of f.fronts) if (x.machine !== deaf) f.sim.cut(x.machine, deaf)
  void f.boxes[one].instance?.leave()
  await wait(f, 14000)
  f.sim.heal()
}
async function operatorsRace(f: SimFleet): Promise<void> {
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
      f.watched.push({ rule: 'configuration', what: `c${k} is invalid and was accepted` })
    await wait(f, 800)
  }
}
async function split(f: SimFleet): Promise<void> {
  // The leader is cut off from all but one front machine, whose agent falls silent a little later: its proxy
  // works on by the term that it was fed, and reaches a leader that nobody else hears.
  const box = f.boxes[leaderIndex(f, 'g1')]
  const n = pick(f, f.fronts.length)
  // In half of the seeds its followers hear it too, so that nothing but the stop holds the promotion up.
  if (f.sim.random() < 0.5) for (const b of f.boxes) if (b !== box) f.sim.cut(box.machine, b.machine)
  for (const x of f.fronts) if (x !== f.fronts[n]) f.sim.cut(box.machine, x.machine)
  await wait(f, 1800 + 1200 * f.sim.random())
  f.sim.freeze(f.fronts[n].agentProc)
  await wait(f, 7000)
  f.sim.thaw(f.fronts[n].agentProc)
  await wait(f, 1000)
  f.sim.heal()
  await wait(f, 4000)
}
// The same with a guard: what is lost with the leader is no older than the guard and the samples' beat allow.
async function guardedSplit(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const from = f.sim.now()
  await split(f)
  await wait(f, 6000)
  const lost = new Set(f.judge().lost)
  const times: number[] = []
  for (const r of f.records()) for (const one of r.ran) if (lost.has(one.tag)) times.push(one.at)
  const span = times.length > 0 ? Math.max(...times) - Math.min(...times) : 0
  notes.set('commits lost', lost.size)
  notes.set('ms between the first and the last of them', Math.round(span))
  if (span > GUARD + 700)
    f.watched.push({
      rule: 'guard',
      what: `commits over ${Math.round(span)} ms were lost since ${Math.round(from)}, with a guard of ${GUARD} ms`,
    })
}
const GUARD = 600
function guardedBusy(s: Shape): Shape {
  return {
    ...s,
    requesters: 10,
    think: 90,
    keys: 60,
    config: { ...s.config, groups: [{ name: 'g1', connections: 24, guard: GUARD }] },
  }
}
async function lateDelivery(f: SimFleet): Promise<void> {
  // Writes on their way to a leader are held up by the network; they arrive, run and are answered after
  // another leader took over, while the old one has not heard of it.
  const box = f.boxes[leaderIndex(f, 'g1')]
  for (const b of f.boxes) if (b !== box) f.sim.cut(box.machine, b.machine)
  for (const x of f.fronts) f.sim.cut(box.machine, x.machine)
  const before = f.promotions.length
  function moved(): boolean {
    return f.promotions.length > before
  }
  await f.sim.until(moved, 12000)
  await wait(f, 300)
  for (const x of f.fronts) f.sim.heal(box.machine, x.machine)
  await wait(f, 2500)
  f.sim.heal()
  await wait(f, 4000)
}
async function lateNews(f: SimFleet): Promise<void> {
  // A push of an older change arrives after a newer one was applied.
  const lane = { database: 'kiln', group: 'g1', reads: 'leader' }
  for (let k = 0; k < 2; k++) {
    const n = pick(f, f.fronts.length)
    const c = pick(f, f.cores.length)
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
function busy(s: Shape): Shape {
  return { ...s, requesters: 18, think: 70, keys: 60 }
}
function far(s: Shape): Shape {
  return { ...s, latency: 8 }
}
async function drained(f: SimFleet): Promise<void> {
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
async function swapped(f: SimFleet): Promise<void> {
  // The group's instances are swapped one by one: each leaves, stops, and comes back empty.
  for (let k = 0; k < 3; k++) {
    void f.boxes[k].instance?.leave()
    await wait(f, 8000)
    f.killBox(k)
    f.boxes[k].machine.files.clear()
    await wait(f, 500)
    f.startBoxAt(k)
    await wait(f, 4000)
  }
}
async function proxyCutOff(f: SimFleet): Promise<void> {
  // One front machine loses the cores and its fellows, and still reaches a leader that is well and about to be replaced.
  const n = pick(f, f.fronts.length)
  const lone = f.fronts[n].machine
  for (const c of f.cores) f.sim.cut(lone, c.machine)
  for (const x of f.fronts) if (x.machine !== lone) f.sim.cut(lone, x.machine)
  const sent = f.ask((n + 1) % f.fronts.length, '/groups/g1/replacement', 'POST', {})
  await f.sim.until(sent.done, 8000)
  await wait(f, 9000)
  f.sim.heal()
  await wait(f, 4000)
}
async function newsCutOff(f: SimFleet): Promise<void> {
  // Pushes are lost with their connections: the news must come by renewal.
  for (let k = 0; k < 4; k++) {
    const n = pick(f, f.fronts.length)
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
async function crowd(f: SimFleet): Promise<void> {
  // Many at once, and a new machine joins in the middle of it.
  f.addFront()
  await wait(f, 2500)
}
// One team's crowd on connections that it shares with another team, which is to be served as before.
async function noisyTeam(f: SimFleet, notes: Map<string, number>): Promise<void> {
  await wait(f, 2000)
  const from = f.sim.now()
  const alone = kindRate(f, 'quiet', from - 3000, from)
  f.crowdIn(teamMixes('loud'), 48, 5)
  await wait(f, 6000)
  const beside = kindRate(f, 'quiet', f.sim.now() - 4000, f.sim.now())
  notes.set('quiet team, share of its rate alone', Math.round((100 * beside) / alone) / 100)
  // Two teams of equal share: beside the crowd it has one connection of the two that it has alone, and waits for
  // it behind a call of the crowd's that runs already, as connections aren't taken away from a call.
  if (beside < 0.33 * alone)
    f.watched.push({ rule: 'starved', what: `the quiet team got ${beside} a second beside the crowd, ${alone} alone` })
}
function kindRate(f: SimFleet, kind: string, from: number, to: number): number {
  let n = 0
  for (const e of f.events) if (e.kind === kind && e.outcome === 'done' && e.end >= from && e.end < to) n++
  return (n * 1000) / (to - from)
}
function teamMixes(team: string): Mix[] {
  return [{ kind: team, lane: `lane-${team}`, group: 'g1', op: 'book', weight: 1, within: 0, own: false }]
}
function twoTeams(s: Shape): Shape {
  return {
    ...s,
    requesters: 6,
    think: 60,
    keys: 40,
    latency: 8,
    connections: 16,
    mixes: teamMixes('quiet'),
    config: {
      proxies: 4,
      groups: [{ name: 'g1', connections: 16 }],
      teams: [
        { name: 'quiet', share: 1 },
        { name: 'loud', share: 1 },
      ],
      lanes: [
        { name: 'lane-quiet', database: 'kiln', group: 'g1', reads: 'leader', team: 'quiet' },
        { name: 'lane-loud', database: 'kiln', group: 'g1', reads: 'leader', team: 'loud' },
      ],
    },
  }
}
function crowded(s: Shape): Shape {
  return {
    ...s,
    requesters: 30,
    think: 60,
    keys: 100,
    latency: 8,
    connections: 16,
    config: { ...s.config, groups: [{ name: 'g1', connections: 16 }] },
  }
}
async function coreAway(f: SimFleet, notes: Map<string, number>): Promise<void> {
  // A core is away while registers change; soon after its return it must hold them all.
  const at = pick(f, f.cores.length)
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
    for (const [key, c] of f.cores[k].core?.store.cells() ?? []) out.push(`${key}:${c.value?.turn ?? 0}`)
    return out.sort().join()
  }
  function same(): boolean {
    return turns(at) === turns((at + 1) % f.cores.length)
  }
  const whole = await f.sim.until(same, 6000)
  notes.set('ms until the core held all', Math.round(f.sim.now() - from))
  if (!whole)
    f.watched.push({
      rule: 'repair',
      what: `6 s after its return ${f.cores[at].id} holds ${turns(at)}, another ${turns((at + 1) % f.cores.length)}`,
    })
}
async function ownArea(f: SimFleet, notes: Map<string, number>): Promise<void> {
  // Reads stay in their own area while a follower there is fresh, and go elsewhere when it is not.
  function shares(): { own: number; all: number } {
    let own = 0
    let all = 0
    for (const x of f.fronts) {
      for (const line of (x.proxy?.numbers.text() ?? '').split('\n')) {
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
  if (calm < 0.9) f.watched.push({ rule: 'area', what: `${calm} of follower reads stayed in their area` })
  // The follower of area b goes dark: its area's reads are served from elsewhere, and none fails.
  const before = f.events.length
  f.boxes[1].machine.dark = true
  await wait(f, 6000)
  let failed = 0
  for (const e of f.events.slice(before)) if (e.outcome !== 'done' && e.class !== 'ROLLED_BACK') failed++
  notes.set('calls failed while it was dark', failed)
  if (failed > 3) f.watched.push({ rule: 'area', what: `${failed} calls failed while one follower was dark` })
}
async function homecoming(f: SimFleet, notes: Map<string, number>): Promise<void> {
  // A group with a home area: its leader is brought there, as planned, once; put elsewhere by an operator it comes home again,
  // not before the pause. Its home going dark and coming back costs one move away and, after the pause, one home.
  async function home(limit: number): Promise<number> {
    const from = f.sim.now()
    function is(): boolean {
      return recordOf(f)?.phase === 'steady' && recordOf(f)?.leader === 'g12'
    }
    if (!(await f.sim.until(is, limit)))
      f.watched.push({ rule: 'home', what: `after ${limit} ms the leader is ${recordOf(f)?.leader}, home is g12's` })
    return Math.round(f.sim.now() - from)
  }
  await home(30000)
  const moves = f.promotions.length
  const sent = f.ask(0, '/groups/g1/replacement', 'POST', { to: 'g13' })
  await f.sim.until(sent.done, 8000)
  await wait(f, 3000)
  if (recordOf(f)?.leader !== 'g13')
    f.watched.push({ rule: 'home', what: `an operator's wish for g13 left ${recordOf(f)?.leader}` })
  const took = await home(40000)
  notes.set('ms until home again', took)
  if (took < 15000) f.watched.push({ rule: 'home', what: `it went home after ${took} ms already` })
  if (f.promotions.length > moves + 2)
    f.watched.push({ rule: 'home', what: `${f.promotions.length - moves} promotions for one wish and one way home` })
}
function homed(s: Shape): Shape {
  return { ...s, requesters: 6, config: { ...s.config, groups: [{ name: 'g1', connections: 24, home: ['b'] }] } }
}
async function sickLeader(f: SimFleet, notes: Map<string, number>): Promise<void> {
  // The leader fails four statements of ten while its STATUS looks well (the breaker opens at five), and requesters ask again at once: retries
  // summed over all nodes stay under a fifth of first sends, beyond the tokens that each node starts with.
  const box = f.boxes[leaderIndex(f, 'g1')]
  const before = triesOf(f)
  box.instance!.faults.sick = 0.4
  await wait(f, 20000)
  box.instance!.faults.sick = 0
  const after = triesOf(f)
  const firsts = after.firsts - before.firsts
  const again = after.again - before.again
  notes.set('first sends', firsts)
  notes.set('retries for each first send, fleet', Math.round((1000 * again) / firsts) / 1000)
  const most = 0.2 * firsts + RETRY_TOKENS * f.fronts.length
  if (again > most)
    f.watched.push({
      rule: 'retry storm',
      what: `${again} retries for ${firsts} first sends over all nodes, ${Math.round(most)} at most`,
    })
}
// Sends over all nodes, by first and again.
function triesOf(f: SimFleet): { firsts: number; again: number } {
  let firsts = 0
  let again = 0
  for (const x of f.fronts) {
    for (const line of (x.proxy?.numbers.text() ?? '').split('\n')) {
      const m = /^claynotch_retry_attempt_total\{.*send="(\d)"\} (\d+)/.exec(line)
      if (m && m[1] === '1') firsts += Number(m[2])
      else if (m) again += Number(m[2])
    }
  }
  return { firsts, again }
}
async function resets(f: SimFleet): Promise<void> {
  for (let k = 0; k < 15; k++) {
    const list = [...f.fronts.map(proxyOf), ...f.boxes.map(procOf)]
    f.sim.reset(list[pick(f, list.length)])
    await wait(f, 400)
  }
}
function proxyOf(x: { proxyProc: Parameters<SimFleet['sim']['kill']>[0] }): Parameters<SimFleet['sim']['kill']>[0] {
  return x.proxyProc
}
function procOf(x: { proc: Parameters<SimFleet['sim']['kill']>[0] }): Parameters<SimFleet['sim']['kill']>[0] {
  return x.proc
}
// Two or three of those that any fleet can bear, overlapping, as the seed has it.
async function mixed(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const list = [
    leaderCrash,
    leaderDark,
    leaderFrozen,
    planned,
    answersLost,
    proxiesFail,
    frozenThroughMove,
    cuts,
    deafFollower,
    coresRestart,
    resets,
    lossy,
    laggingFollowers,
    quickRestart,
    coresCut,
    split,
    proxyCutOff,
    ...mixable,
  ]
  const runs: Promise<void>[] = []
  for (let k = f.sim.random() < 0.5 ? 2 : 3; k > 0; k--) runs.push(one(list.splice(pick(f, list.length), 1)[0]))
  async function one(harm: Scenario['harm']): Promise<void> {
    notes.set(harm.name, 1)
    await wait(f, 5000 * f.sim.random())
    // What a harm of its own says of a fleet that bears another at the same time is no finding; the judge's word is.
    await harm(f, new Map())
  }
  await Promise.all(runs)
  f.watched.splice(0, f.watched.length, ...f.watched.filter(isNever))
}
// Of what is found while watching, what must never happen whatever else fails.
function isNever(b: Breach): boolean {
  return ['slipped back', 'unheeded', 'duty'].includes(b.rule)
}

function retrying(s: Shape): Shape {
  return { ...s, again: true, requesters: 18 }
}

export const scenarios: Scenario[] = [
  { name: 'leader-crash', rule: 'no write twice, none resent, service back', harm: leaderCrash },
  { name: 'leader-dark', rule: 'no write on an old leader reported done', harm: leaderDark },
  { name: 'leader-frozen', rule: 'no write on an old leader reported done', harm: leaderFrozen },
  { name: 'planned-replacement', calm: true, shape: far, rule: 'no answer dropped, no commit lost', harm: planned },
  { name: 'answers-lost', rule: 'what may have reached is not sent again; no false promise', harm: answersLost },
  { name: 'resets', rule: 'what may have reached is not sent again; no false promise', harm: resets },
  { name: 'holder-fails', rule: 'a successor finishes the move', harm: holderKilled },
  { name: 'drain-dark', rule: 'a planned stop drops no answer, be the leader dark', shape: busy, harm: drainDark },
  { name: 'rolling', calm: true, rule: 'stopped and started in turn, no answer is dropped', harm: rolling },
  { name: 'agent-restarts', calm: true, rule: 'an agent back within its term interrupts nothing', harm: agentRestarts },
  { name: 'quick-restart', rule: 'stale connections: what may have reached is not sent again', harm: quickRestart },
  { name: 'ack-lost', rule: 'a repeated change takes effect once', harm: ackLost },
  { name: 'nodes-fail', rule: 'own processes killed and frozen', harm: proxiesFail },
  { name: 'frozen-through-move', rule: 'a waking proxy looks at its term first', harm: frozenThroughMove },
  { name: 'cuts', rule: 'one-way and two-way cuts', harm: cuts },
  { name: 'lossy', rule: 'packet loss during a promotion', harm: lossy },
  { name: 'deaf-follower', rule: 'no owed commit missed', harm: deafFollower },
  { name: 'lagging-followers', rule: 'no owed commit missed', harm: laggingFollowers },
  { name: 'cores-restart', rule: 'acknowledged configuration kept', harm: coresRestart },
  { name: 'disk-full', rule: 'a core that can not write does not vote', calm: true, harm: diskFull },
  { name: 'cores-emptied', rule: 'acknowledged configuration kept', harm: coreEmptied },
  { name: 'everything-stops', rule: 'acknowledged configuration kept', harm: everythingStops },
  { name: 'cores-cut', rule: 'no work without a term', harm: coresCut },
  { name: 'leaving', calm: true, rule: 'no new work 7 s after the notice', harm: leaving },
  { name: 'operators-race', calm: true, rule: 'one winner per epoch', harm: operatorsRace },
  { name: 'drain', calm: true, rule: 'a planned stop drops no answer', harm: drained },
  { name: 'proxy-cut-off', rule: 'the fence holds for a node that hears nothing', harm: proxyCutOff },
  { name: 'news-cut-off', rule: 'no acknowledged configuration unheeded after 3 s', harm: newsCutOff },
  { name: 'split', shape: busy, rule: 'no write on an old leader reported done', harm: split },
  {
    name: 'guarded-split',
    rule: 'with a guard, what a leader takes to its grave is bounded',
    shape: guardedBusy,
    harm: guardedSplit,
  },
  { name: 'late-delivery', rule: 'a reply under a lapsed epoch is unknown, never done', harm: lateDelivery },
  { name: 'late-news', rule: 'no node slips back to an older configuration', harm: lateNews },
  { name: 'too-many', rule: 'caps hold with more machines than shares', shape: threeShares, harm: tooMany },
  { name: 'crowd', rule: 'caps hold, new machines join', shape: crowded, harm: crowd },
  { name: 'core-away', rule: 'what a missing core should have had is handed over', harm: coreAway },
  { name: 'own-area', rule: 'reads stay near, and go elsewhere in need', harm: ownArea },
  {
    name: 'homecoming',
    long: true,
    calm: true,
    rule: 'a leader lives in its home area, and is brought there once that is well',
    shape: homed,
    harm: homecoming,
  },
  {
    name: 'noisy-team',
    rule: "one team's crowd doesn't starve another",
    shape: twoTeams,
    reads: false,
    harm: noisyTeam,
  },
  { name: 'swapped', rule: 'whole groups swapped one by one', harm: swapped },
  { name: 'retrying-crowd', rule: 'service back though requesters retry', shape: retrying, harm: leaderCrash },
  {
    name: 'sick-leader',
    rule: 'retries summed over nodes are capped; service comes back',
    shape: retrying,
    harm: sickLeader,
  },
  ...lanes,
  ...days,
  ...areas,
  { name: 'mixed', rule: 'all of them', harm: mixed },
]

// Done operations a second between two times.
function rateOf(f: SimFleet, from: number, to: number): number {
  let n = 0
  for (const e of f.events) if (e.outcome === 'done' && e.end >= from && e.end < to) n++
  return (n * 1000) / (to - from)
}

export async function runScenario(s: Scenario, seed: number, opt: { keepLines?: boolean } = {}): Promise<Outcome> {
  const shape = s.shape ? s.shape(smallShape()) : smallShape()
  const f = makeSimFleet(seed, shape, opt)
  const began = await f.begin()
  const notes = new Map<string, number>()
  const more: Breach[] = []
  if (began) {
    f.traffic()
    await wait(f, 3000)
    const normal = rateOf(f, f.sim.now() - 2000, f.sim.now())
    await s.harm(f, notes)
    // Whatever the harm left behind is mended now; 12 s later service must be back above a quarter.
    f.sim.heal()
    f.sim.loss(0)
    for (const [k, c] of f.cores.entries()) if (c.proc.state === 'dead') f.startCoreAt(k)
    for (const [k, x] of f.fronts.entries()) {
      f.sim.thaw(x.agentProc)
      f.sim.thaw(x.proxyProc)
      if (x.agentProc.state === 'dead') f.startAgentAt(k)
      if (x.proxyProc.state === 'dead') f.startProxyAt(k)
    }
    for (const [k, b] of f.boxes.entries()) {
      b.machine.dark = false
      f.sim.thaw(b.proc)
      if (b.proc.state === 'dead') f.startBoxAt(k)
    }
    const back = f.sim.now()
    await wait(f, 14000)
    const rate = rateOf(f, back + 12000, back + 14000)
    notes.set('service, share of normal', Math.round((100 * rate) / normal) / 100)
    if (rate < normal / 4)
      more.push({ rule: 'service', what: `${rate} operations a second 12 s after the return, ${normal} before` })
    await f.quiet()
    more.push(...(await f.readBack()))
  }
  const counts = new Map<string, number>()
  for (const e of f.events) {
    const k = `${e.outcome}${e.class ? ` ${e.class}` : ''}`
    counts.set(k, (counts.get(k) ?? 0) + 1)
    if (s.calm && (e.outcome === 'unknown' || e.outcome === 'failed' || e.class === 'BROKE'))
      more.push({
        rule: 'dropped answer',
        what: `${e.kind} of session ${e.session} ended ${e.outcome} ${e.class} at ${Math.round(e.end)} though every stop was planned`,
      })
  }
  const faults: string[] = []
  for (const line of f.sim.lines) if (line.includes('-fault')) faults.push(line)
  const judgement = f.judge()
  judgement.breaches.push(...more)
  if (s.calm)
    for (const tag of judgement.lost)
      judgement.breaches.push({ rule: 'lost', what: `${tag} was lost though every stop was planned` })
  return { name: s.name, seed, began, judgement, faults, counts, notes, fleet: f }
}
