/** One model test run: a fleet, its model, its monitors and two operators, from the founding to the final checks. */
import type { ConfigurationBody } from '@claynotch/operator'
import { startCensus } from './census.js'
import { makeFaults, type Faults } from './faults.js'
import { makeControlFleet, type ControlFleet } from './fleet.js'
import { makeModel, type Model, type Order } from './model.js'
import { makeOperator, type Operator } from './operators.js'
import { startWatch } from './watch.js'

/** The founded core set must serve within this time. */
const FOUND_LIMIT_MS = 15000
/** A change must be accepted within this time after all faults have ended. */
export const PROGRESS_LIMIT_MS = 8000
/** The core set must be settled and all its hosts vote within this time after all faults have ended. */
export const WHOLE_LIMIT_MS = 90000
/** Time limit for the pending change requests of the operators. */
const ORDERS_LIMIT_MS = 30000
/** At most this many violations are kept for one run. */
const MAX_VIOLATIONS = 20

/** The result of one run. */
export type Verdict = {
  violations: string[]
  orders: number
  accepted: number
  refused: number
  unclear: number
  sets: number
  /** How often the lease census checked a lease holder against the answers of a core set. */
  leaseChecks: number
  /** Actions left out because the core set could not have tolerated them. */
  skippedActions: number
  /** Milliseconds from the end of the faults until a change was accepted. */
  progress: number
  /** Further milliseconds, after that and after the pending requests, until every host voted. */
  whole: number
  events: number
  /** Milliseconds of simulated time. */
  virtual: number
}

/** A run in progress. */
export type Run = {
  fleet: ControlFleet
  model: Model
  faults: Faults
  operators: Operator[]
  violations: string[]
  /** Starts all hosts and the monitors; returns whether the founded core set settled in time. */
  foundCluster: () => Promise<boolean>
  /** Sends one order that expects the newest known epoch, or an outdated one; `again`: how often it is resent. */
  sendOrder: (
    operator: number,
    machine: number,
    how?: { stale?: boolean; gap?: number; again?: number },
  ) => Promise<void>
  /** Sends two orders at once that expect the same epoch and make the same epoch. */
  sendRacingOrders: (machine: number, other: number, gap: number) => Promise<void>
  /** Waits until no order is pending; returns whether that happened in time. */
  untilIdle: () => Promise<boolean>
  /** Describes the latest core set and the state of each host, for a message. */
  describeState: () => string
  /** Ends all faults and runs the final checks. */
  finish: () => Promise<Verdict>
}

/** Whether the log line reports a task that failed by an error; ENOSPC is allowed, as the task is retried. */
function isTaskFailure(line: string): boolean {
  return line.includes('-fault') && !line.includes('ENOSPC')
}

/** `founders`: core hosts that found the set; `spares`: further core hosts; `pad`: padding bytes of each document. */
export function makeRun(seed: number, founders: number, spares: number, pad: number): Run {
  const violations: string[] = []
  function reportViolation(what: string): void {
    if (violations.length < MAX_VIOLATIONS && !violations.includes(what)) violations.push(what)
  }
  const fleet = makeControlFleet(seed, founders, reportViolation)
  const { sim } = fleet
  const model = makeModel(reportViolation)
  const faults = makeFaults(fleet)
  const operators: Operator[] = []
  for (let k = 0; k < 2; k++) operators.push(makeOperator(fleet, model, `operator${k}`, `10.0.3.${k + 1}`, pad))
  let ended = false
  function hasEnded(): boolean {
    return ended
  }
  /** Orders that an operator is still sending. */
  let pending = 0
  let countLeaseChecks = noLeaseChecks
  function noLeaseChecks(): number {
    return 0
  }

  async function found(): Promise<boolean> {
    for (let k = 0; k < founders + spares; k++) fleet.add(true)
    fleet.startFront(true)
    const ok = await sim.until(fleet.isSettled, FOUND_LIMIT_MS)
    if (!ok) reportViolation('not founded')
    startWatch(fleet, model, hasEnded)
    countLeaseChecks = startCensus(fleet, hasEnded)
    return ok
  }
  async function deliver(operator: number, order: Order, machine: number, again: number): Promise<void> {
    pending++
    await operators[operator].send(order, machine)
    for (let k = 0; k < again; k++) {
      const hosts = fleet.presentHosts()
      await operators[operator].sendOnce(order, hosts[(machine + k + 1) % hosts.length])
    }
    pending--
  }
  async function order(
    operator: number,
    machine: number,
    how: { stale?: boolean; gap?: number; again?: number } = {},
  ): Promise<void> {
    const newest = model.newestEpoch()
    const expect = how.stale ? Math.max(0, newest - 1) : newest
    const change = model.order(expect, newest + (how.gap ?? 1))
    await deliver(operator, change, machine, how.again ?? 0)
  }
  async function race(machine: number, other: number, gap: number): Promise<void> {
    const expect = model.newestEpoch()
    const first = model.order(expect, expect + gap)
    const second = model.order(expect, expect + gap)
    await Promise.all([deliver(0, first, machine, 1), deliver(1, second, other, 1)])
  }
  function isIdle(): boolean {
    return pending === 0
  }
  function untilIdle(): Promise<boolean> {
    return sim.until(isIdle, ORDERS_LIMIT_MS)
  }
  /** Milliseconds until some host accepts a new change. */
  async function measureProgress(): Promise<number> {
    const startedAt = sim.now()
    let done = false
    async function work(): Promise<void> {
      for (let k = 0; !done && sim.now() - startedAt < PROGRESS_LIMIT_MS; k++) {
        const hosts = fleet.presentHosts()
        const body = await operators[0].read(hosts[k % hosts.length])
        if (!body) continue
        const change = model.order(body.epoch, body.epoch + 1)
        const decision = await operators[0].send(change, k)
        if (decision?.decision === 'accepted') done = true
      }
    }
    void work()
    function isDone(): boolean {
      return done
    }
    if (!(await sim.until(isDone, PROGRESS_LIMIT_MS)))
      reportViolation(`no change was taken within ${PROGRESS_LIMIT_MS} ms of the end of the faults: ${states()}`)
    return sim.now() - startedAt
  }
  async function untilWhole(): Promise<number> {
    const startedAt = sim.now()
    if (!(await sim.until(fleet.isFullyVoting, WHOLE_LIMIT_MS)))
      reportViolation(`not whole ${WHOLE_LIMIT_MS} ms after the end of the faults: ${states()}`)
    return sim.now() - startedAt
  }
  function states(): string {
    const parts: string[] = [`${Math.round(sim.now())} ms`, JSON.stringify(fleet.latestCoreSet())]
    for (const host of fleet.hosts)
      parts.push(
        `${host.name} ${host.isRemoved ? 'gone' : (host.coreMachine?.core.state() ?? 'down')} ${host.coreMachine?.core.coreSet().epoch ?? ''} ${host.proc?.state} ${host.machine.dark}`,
      )
    return parts.join('; ')
  }
  /** Sends the last 32 orders again, as decisions must not change, then checks the last successful read. */
  async function verifyFinalState(): Promise<void> {
    let last: ConfigurationBody | undefined
    async function work(): Promise<void> {
      for (const [k, sentOrder] of model.orders().slice(-32).entries()) {
        const hosts = fleet.presentHosts()
        await operators[1].sendOnce(sentOrder, hosts[k % hosts.length])
      }
      for (const host of fleet.presentHosts()) last = (await operators[1].read(host)) ?? last
      done = true
    }
    let done = false
    function isDone(): boolean {
      return done
    }
    void work()
    await sim.until(isDone, ORDERS_LIMIT_MS * 3)
    if (last) model.checkFinalRead(last)
    else reportViolation(`nobody could read at the end: ${states()}`)
  }
  async function finish(): Promise<Verdict> {
    faults.endAll()
    const progressMs = await measureProgress()
    if (!(await untilIdle())) reportViolation('orders are under way for ever')
    const whole = await untilWhole()
    await verifyFinalState()
    ended = true
    for (const line of sim.lines) if (isTaskFailure(line)) reportViolation(line)
    let accepted = 0
    let refused = 0
    let unclear = 0
    for (const sentOrder of model.orders()) {
      if (sentOrder.acceptedAt !== undefined) accepted++
      if (sentOrder.rejectionReason !== undefined) refused++
      unclear += sentOrder.unclearAnswers
    }
    return {
      violations,
      orders: model.orders().length,
      accepted,
      refused,
      unclear,
      sets: fleet.latestCoreSet().epoch + 1,
      leaseChecks: countLeaseChecks(),
      skippedActions: faults.skipped(),
      progress: progressMs,
      whole,
      events: sim.eventCount(),
      virtual: sim.now(),
    }
  }
  return {
    fleet,
    model,
    faults,
    operators,
    violations,
    foundCluster: found,
    sendOrder: order,
    sendRacingOrders: race,
    untilIdle,
    describeState: states,
    finish,
  }
}
