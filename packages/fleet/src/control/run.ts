/** One run: a fleet with its model, its watchers and two operators, from its founding to the last judgement. */
import type { ConfigurationBody } from '@claynotch/operator'
import { startCensus } from './census.js'
import { makeFaults, type Faults } from './faults.js'
import { makeControlFleet, type ControlFleet } from './fleet.js'
import { makeModel, type Model, type Order } from './model.js'
import { makeOperator, type Operator } from './operators.js'
import { startWatch } from './watch.js'

/** Milliseconds within which a founding serves. */
const FOUND_LIMIT = 15000
/** Milliseconds within which a change is taken once all faults have ended. */
export const PROGRESS_LIMIT = 8000
/** Milliseconds within which the set is single again and all of it votes, once all faults have ended. */
export const WHOLE_LIMIT = 90000
/** Milliseconds for what operators have still under way. */
const ORDERS_LIMIT = 30000
/** Most contradictions kept of one run. */
const BROKEN_KEPT = 20

/** What one run came to. `progress`: milliseconds until a change was taken after the faults; `whole`: until all voted. */
export type Verdict = {
  violations: string[]
  orders: number
  accepted: number
  refused: number
  unclear: number
  sets: number
  counts: number
  skipped: number
  progress: number
  whole: number
  events: number
  virtual: number
}

/** A run under way. */
export type Run = {
  fleet: ControlFleet
  model: Model
  faults: Faults
  operators: Operator[]
  broken: string[]
  foundCluster: () => Promise<boolean>
  /** Sends one order on the newest epoch that is known, or on one that was passed; again: repeats after its answer. */
  sendOrder: (operator: number, machine: number, how?: { stale?: boolean; gap?: number; again?: number }) => Promise<void>
  /** Two orders of one expected epoch and one name, at once. */
  sendRacingOrders: (machine: number, other: number, gap: number) => Promise<void>
  /** Until no operator has an order under way. */
  idle: () => Promise<boolean>
  /** The latest set and what each machine is in it, for a message. */
  describeState: () => string
  /** Ends the faults, and judges. */
  finish: () => Promise<Verdict>
}

/** A task that ended by an error; a full disk may end one, which is then tried again. */
function isFault(line: string): boolean {
  return line.includes('-fault') && !line.includes('ENOSPC')
}

/** founders: core machines that found the set; spares: further ones; pad: bytes of each document. */
export function makeRun(seed: number, founders: number, spares: number, pad: number): Run {
  const broken: string[] = []
  function isBroken(what: string): void {
    if (broken.length < BROKEN_KEPT && !broken.includes(what)) broken.push(what)
  }
  const fleet = makeControlFleet(seed, founders, isBroken)
  const { sim } = fleet
  const model = makeModel(isBroken)
  const faults = makeFaults(fleet)
  const operators: Operator[] = []
  for (let k = 0; k < 2; k++) operators.push(makeOperator(fleet, model, `operator${k}`, `10.0.3.${k + 1}`, pad))
  let ended = false
  function over(): boolean {
    return ended
  }
  // pending: orders whose operators have not done with them.
  let pending = 0
  let counts = zero
  function zero(): number {
    return 0
  }

  async function found(): Promise<boolean> {
    for (let k = 0; k < founders + spares; k++) fleet.add(true)
    fleet.startFront(true)
    const ok = await sim.until(fleet.settled, FOUND_LIMIT)
    if (!ok) isBroken('not founded')
    startWatch(fleet, model, over)
    counts = startCensus(fleet, over)
    return ok
  }
  async function deliver(operator: number, order: Order, machine: number, again: number): Promise<void> {
    pending++
    await operators[operator].send(order, machine)
    for (let k = 0; k < again; k++) {
      const list = fleet.presentHosts()
      await operators[operator].sendOnce(order, list[(machine + k + 1) % list.length])
    }
    pending--
  }
  async function order(
    operator: number,
    machine: number,
    how: { stale?: boolean; gap?: number; again?: number } = {},
  ): Promise<void> {
    const newest = model.newest()
    const expect = how.stale ? Math.max(0, newest - 1) : newest
    const one = model.order(expect, newest + (how.gap ?? 1))
    await deliver(operator, one, machine, how.again ?? 0)
  }
  async function race(machine: number, other: number, gap: number): Promise<void> {
    const expect = model.newest()
    const first = model.order(expect, expect + gap)
    const second = model.order(expect, expect + gap)
    await Promise.all([deliver(0, first, machine, 1), deliver(1, second, other, 1)])
  }
  function isIdle(): boolean {
    return pending === 0
  }
  function idle(): Promise<boolean> {
    return sim.until(isIdle, ORDERS_LIMIT)
  }
  /** A whole new change, by whichever machine takes it. */
  async function progress(): Promise<number> {
    const from = sim.now()
    let done = false
    async function work(): Promise<void> {
      for (let k = 0; !done && sim.now() - from < PROGRESS_LIMIT; k++) {
        const list = fleet.presentHosts()
        const body = await operators[0].read(list[k % list.length])
        if (!body) continue
        const one = model.order(body.epoch, body.epoch + 1)
        const got = await operators[0].send(one, k)
        if (got?.decision === 'accepted') done = true
      }
    }
    void work()
    function isDone(): boolean {
      return done
    }
    if (!(await sim.until(isDone, PROGRESS_LIMIT)))
      isBroken(`no change was taken within ${PROGRESS_LIMIT} ms of the end of the faults: ${states()}`)
    return sim.now() - from
  }
  async function becomeWhole(): Promise<number> {
    const from = sim.now()
    if (!(await sim.until(fleet.isFullyVoting, WHOLE_LIMIT)))
      isBroken(`not whole ${WHOLE_LIMIT} ms after the end of the faults: ${states()}`)
    return sim.now() - from
  }
  function states(): string {
    const out: string[] = [`${Math.round(sim.now())} ms`, JSON.stringify(fleet.latestCoreSet())]
    for (const b of fleet.hosts)
      out.push(
        `${b.name} ${b.isRemoved ? 'gone' : (b.run?.core.state() ?? 'down')} ${b.run?.core.coreSet().epoch ?? ''} ${b.proc?.state} ${b.machine.dark}`,
      )
    return out.join('; ')
  }
  /** Every order once more, at some machine: what was decided stands. Then the last read. */
  async function lastLook(): Promise<void> {
    let last: ConfigurationBody | undefined
    async function work(): Promise<void> {
      for (const [k, one] of model.orders().slice(-32).entries()) {
        const list = fleet.presentHosts()
        await operators[1].sendOnce(one, list[k % list.length])
      }
      for (const b of fleet.presentHosts()) last = (await operators[1].read(b)) ?? last
      done = true
    }
    let done = false
    function isDone(): boolean {
      return done
    }
    void work()
    await sim.until(isDone, ORDERS_LIMIT * 3)
    if (last) model.judge(last)
    else isBroken(`nobody could read at the end: ${states()}`)
  }
  async function finish(): Promise<Verdict> {
    faults.endAll()
    const took = await progress()
    if (!(await idle())) isBroken('orders are under way for ever')
    const whole = await becomeWhole()
    await lastLook()
    ended = true
    for (const line of sim.lines) if (isFault(line)) isBroken(line)
    let accepted = 0
    let refused = 0
    let unclear = 0
    for (const one of model.orders()) {
      if (one.acceptedAt !== undefined) accepted++
      if (one.refused !== undefined) refused++
      unclear += one.unclear
    }
    return {
      violations: broken,
      orders: model.orders().length,
      accepted,
      refused,
      unclear,
      sets: fleet.latestCoreSet().epoch + 1,
      counts: counts(),
      skipped: faults.skipped(),
      progress: took,
      whole,
      events: sim.eventCount(),
      virtual: sim.now(),
    }
  }
  return { fleet, model, faults, operators, broken, foundCluster: found, sendOrder: order, sendRacingOrders: race, idle, describeState: states, finish }
}
