import { RETRY_TOKENS } from '@claynotch/base'
import { leaderIndex, randomIndex, newestGroupRecord, wait } from '../harm.js'
import type { SimFleet } from '../simfleet.js'
import { GUARD } from './shapes.js'

// Harm to the leader of a group and to the move that replaces it.

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

export async function leaderCrash(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const at = leaderIndex(f, 'g1')
  const from = f.sim.now()
  f.killInstance(at)
  notes.set('ms until served', await untilServed(f, 30000))
  // The promotion is absorbed: at most one call of each requester hears of it.
  let told = 0
  for (const e of f.events)
    if (e.start >= from && (e.outcome === 'refused' || e.outcome === 'failed') && e.class === 'UNAVAILABLE') told++
  // Retries, summed over all nodes, against first sends in the whole run.
  const { firsts, again } = triesOf(f)
  notes.set('retries for each first send, fleet', Math.round((1000 * again) / firsts) / 1000)
  if (again > 0.25 * firsts)
    f.watchBreaches.push({ rule: 'retry storm', what: `${again} retries for ${firsts} first sends over all nodes` })
  if (told > f.shape.requesters)
    f.watchBreaches.push({ rule: 'absorbed', what: `${told} calls were told UNAVAILABLE during one promotion` })
  await wait(f, 4000)
  f.startInstanceAt(at)
  await wait(f, 6000)
}

export async function leaderDark(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const box = f.instanceHosts[leaderIndex(f, 'g1')]
  box.machine.dark = true
  notes.set('ms until served', await untilServed(f, 30000))
  await wait(f, 12000)
  box.machine.dark = false
  await wait(f, 6000)
}

export async function leaderFrozen(f: SimFleet, notes: Map<string, number>): Promise<void> {
  const box = f.instanceHosts[leaderIndex(f, 'g1')]
  f.sim.freeze(box.proc)
  notes.set('ms until served', await untilServed(f, 30000))
  await wait(f, 9000)
  f.sim.thaw(box.proc)
  await wait(f, 6000)
}

export async function planned(f: SimFleet): Promise<void> {
  for (let k = 0; k < 3; k++) {
    const sent = f.ask(randomIndex(f, f.fronts.length), '/groups/g1/replacement', 'POST', {})
    await f.sim.until(sent.done, 8000)
    await wait(f, 5000)
  }
}

export async function holderKilled(f: SimFleet, notes: Map<string, number>): Promise<void> {
  // Whoever holds the duty dies or freezes at a step of the move that the seed picks: before the stop, in it,
  // when the call may go out, right after it went out, and with the record just steady.
  const steps = ['suspected', 'stop', 'promote', 'called', 'steady']
  const step = steps[randomIndex(f, steps.length)]
  notes.set(`holder fails: ${step}`, 1)
  const planned = f.sim.random() < 0.3
  const calls = f.promotions.length
  const first = newestGroupRecord(f)?.epoch ?? 0
  if (planned) f.ask(0, '/groups/g1/replacement', 'POST', {})
  else f.killInstance(leaderIndex(f, 'g1'))
  if (step === 'suspected') await wait(f, 2000 * f.sim.random())
  function there(): boolean {
    const rec = newestGroupRecord(f)
    if (step === 'called') return f.promotions.length > calls
    if (step === 'steady') return rec?.phase === 'steady' && rec.epoch > first
    return step === 'suspected' || rec?.phase === step
  }
  await f.sim.until(there, 15000)
  const holder = newestGroupRecord(f)?.holder
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
  const rec = newestGroupRecord(f)
  const lead = f.leaderOf('g1')
  if (rec?.phase !== 'steady' || rec.epoch <= first || lead?.name !== rec.leader)
    f.watchBreaches.push({
      rule: 'unfinished',
      what: `15 s after its holder failed (${step}) the record is ${JSON.stringify(rec)}, ${lead?.name} leads`,
    })
}

export async function split(f: SimFleet): Promise<void> {
  // The leader is cut off from all but one front machine, whose agent falls silent a little later: its proxy
  // works on by the term that it was fed, and reaches a leader that nobody else hears.
  const box = f.instanceHosts[leaderIndex(f, 'g1')]
  const n = randomIndex(f, f.fronts.length)
  // In half of the seeds its followers hear it too, so that nothing but the stop holds the promotion up.
  if (f.sim.random() < 0.5) for (const b of f.instanceHosts) if (b !== box) f.sim.cut(box.machine, b.machine)
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
export async function guardedSplit(f: SimFleet, notes: Map<string, number>): Promise<void> {
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
    f.watchBreaches.push({
      rule: 'guard',
      what: `commits over ${Math.round(span)} ms were lost since ${Math.round(from)}, with a guard of ${GUARD} ms`,
    })
}

export async function lateDelivery(f: SimFleet): Promise<void> {
  // Writes on their way to a leader are held up by the network; they arrive, run and are answered after
  // another leader took over, while the old one has not heard of it.
  const box = f.instanceHosts[leaderIndex(f, 'g1')]
  for (const b of f.instanceHosts) if (b !== box) f.sim.cut(box.machine, b.machine)
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

export async function homecoming(f: SimFleet, notes: Map<string, number>): Promise<void> {
  // A group with a home area: its leader is brought there, as planned, once; put elsewhere by an operator it comes home again,
  // not before the pause. Its home going dark and coming back costs one move away and, after the pause, one home.
  async function home(limit: number): Promise<number> {
    const from = f.sim.now()
    function is(): boolean {
      return newestGroupRecord(f)?.phase === 'steady' && newestGroupRecord(f)?.leader === 'g12'
    }
    if (!(await f.sim.until(is, limit)))
      f.watchBreaches.push({
        rule: 'home',
        what: `after ${limit} ms the leader is ${newestGroupRecord(f)?.leader}, home is g12's`,
      })
    return Math.round(f.sim.now() - from)
  }
  await home(30000)
  const moves = f.promotions.length
  const sent = f.ask(0, '/groups/g1/replacement', 'POST', { to: 'g13' })
  await f.sim.until(sent.done, 8000)
  await wait(f, 3000)
  if (newestGroupRecord(f)?.leader !== 'g13')
    f.watchBreaches.push({ rule: 'home', what: `an operator's wish for g13 left ${newestGroupRecord(f)?.leader}` })
  const took = await home(40000)
  notes.set('ms until home again', took)
  if (took < 15000) f.watchBreaches.push({ rule: 'home', what: `it went home after ${took} ms already` })
  if (f.promotions.length > moves + 2)
    f.watchBreaches.push({
      rule: 'home',
      what: `${f.promotions.length - moves} promotions for one wish and one way home`,
    })
}

export async function sickLeader(f: SimFleet, notes: Map<string, number>): Promise<void> {
  // The leader fails four statements of ten while its STATUS looks well (the breaker opens at five), and requesters ask again at once: retries
  // summed over all nodes stay under a fifth of first sends, beyond the tokens that each node starts with.
  const box = f.instanceHosts[leaderIndex(f, 'g1')]
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
    f.watchBreaches.push({
      rule: 'retry storm',
      what: `${again} retries for ${firsts} first sends over all nodes, ${Math.round(most)} at most`,
    })
}

// Sends over all nodes, by first and again.
function triesOf(f: SimFleet): { firsts: number; again: number } {
  let firsts = 0
  let again = 0
  for (const x of f.fronts) {
    for (const line of (x.proxy?.metrics.text() ?? '').split('\n')) {
      const m = /^claynotch_retry_attempt_total\{.*send="(\d)"\} (\d+)/.exec(line)
      if (m && m[1] === '1') firsts += Number(m[2])
      else if (m) again += Number(m[2])
    }
  }
  return { firsts, again }
}
