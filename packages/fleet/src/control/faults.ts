/**
 * Injects the faults of a schedule, and ends each after its duration.
 *
 * Actions that the core set could not tolerate are skipped: a disk is lost, or a host removed, only while the hosts
 * that keep their voter state are a quorum of every core set that may decide. Any number of temporary faults may
 * overlap.
 */
import type { Action } from './actions.js'
import type { CoreHost, ControlFleet } from './fleet.js'

/** Upper bound of one clock step of a core host; less than the slack of a lease. */
const MAX_CLOCK_STEP_MS = 90
/** Least time between two clock steps of one core host, so that the slack of each lease covers them. */
const CLOCK_STEP_PAUSE_MS = 5000
/** How many times longer a slow disk takes than a normal one. */
const SLOW_DISK_FACTOR = 40

/** Fault injection; `skipped`: how many actions were left out because the core set could not have tolerated them. */
export type Faults = { apply: (action: Action) => void; skipped: () => number; endAll: () => void }

/** Creates the fault injection of one fleet. */
export function makeFaults(fleet: ControlFleet): Faults {
  const { sim, front } = fleet
  let skipped = 0

  function schedule(durationMs: number, run: () => void): void {
    sim.at(durationMs, run)
  }
  function hostAt(index: number): CoreHost {
    const hosts = fleet.presentHosts()
    return hosts[index % hosts.length]
  }
  /** Restarts the host after a delay, unless another process was started in the meantime. */
  function restartLater(host: CoreHost, durationMs: number): void {
    const faultedProcess = host.proc
    function restart(): void {
      if (host.proc === faultedProcess) fleet.start(host)
    }
    schedule(durationMs, restart)
  }
  function applyMachineFault(action: Extract<Action, { machine: number; long: number }>): void {
    const host = hostAt(action.machine)
    const { long } = action
    switch (action.kind) {
      case 'kill':
      case 'power':
        if (!host.isUp) return
        fleet.kill(host, { dark: action.kind === 'power' })
        restartLater(host, long)
        return
      case 'wipe':
        if (!fleet.canLoseDisksOf([host])) {
          skipped++
          return
        }
        fleet.kill(host, { disk: 'lost' })
        restartLater(host, long)
        return
      case 'term':
        if (!host.isUp || host.isStopping || !host.coreMachine) return
        fleet.terminate(host)
        restartLater(host, long + 1000)
        return
      case 'freeze':
        freeze(host, long)
        return
      case 'slow':
        slow(host, long)
        return
      case 'stall':
        stall(host, long)
        return
      case 'full':
        full(host, long)
        return
      case 'cut':
        cut(host, action.others, action.way, long)
    }
  }
  function freeze(host: CoreHost, durationMs: number): void {
    const { proc } = host
    if (!proc || !host.isUp) return
    sim.freeze(proc)
    function thaw(): void {
      sim.thaw(proc!)
    }
    schedule(durationMs, thaw)
  }
  function slow(host: CoreHost, durationMs: number): void {
    host.machine.slow = SLOW_DISK_FACTOR
    function end(): void {
      host.machine.slow = 1
    }
    schedule(durationMs, end)
  }
  function stall(host: CoreHost, durationMs: number): void {
    host.machine.isDiskStalled = true
    function end(): void {
      host.machine.isDiskStalled = false
    }
    schedule(durationMs, end)
  }
  /** Fills the disk: no write succeeds. The core must notice by itself when space is available again. */
  function full(host: CoreHost, durationMs: number): void {
    host.machine.full = true
    function end(): void {
      host.machine.full = false
    }
    schedule(durationMs, end)
  }
  function cut(host: CoreHost, others: number, way: 'in' | 'out' | 'both', durationMs: number): void {
    const machines = [front.machine]
    for (const other of fleet.presentHosts()) machines.push(other.machine)
    const cuts: [typeof host.machine, typeof host.machine][] = []
    for (const [k, other] of machines.entries()) {
      if (other === host.machine || ((others >> k) & 1) === 0) continue
      if (way !== 'out') cuts.push([other, host.machine])
      if (way !== 'in') cuts.push([host.machine, other])
    }
    for (const [from, to] of cuts) sim.cut(from, to, false)
    function heal(): void {
      for (const [from, to] of cuts) sim.heal(from, to)
    }
    schedule(durationMs, heal)
  }
  function blackout(durationMs: number): void {
    const stoppedHosts: CoreHost[] = []
    for (const host of fleet.presentHosts()) {
      if (!host.isUp) continue
      fleet.kill(host, { dark: true })
      stoppedHosts.push(host)
    }
    for (const host of stoppedHosts) restartLater(host, durationMs)
  }
  function stepClock(host: CoreHost, stepMs: number): void {
    if (sim.now() - host.lastClockStepAt < CLOCK_STEP_PAUSE_MS) return
    host.lastClockStepAt = sim.now()
    host.machine.clockSkewMs += Math.min(stepMs, MAX_CLOCK_STEP_MS)
  }
  function frontFault(kind: 'kill' | 'freeze' | 'clock', amountMs: number): void {
    if (!front.isUp) return
    const { proc } = front
    if (kind === 'clock') front.machine.clockSkewMs += amountMs
    else if (kind === 'freeze') {
      sim.freeze(proc)
      function thaw(): void {
        sim.thaw(proc)
      }
      schedule(amountMs, thaw)
    } else {
      fleet.killFront()
      function restart(): void {
        if (!front.isUp) fleet.startFront(false)
      }
      schedule(amountMs, restart)
    }
  }
  function remove(host: CoreHost): void {
    if (fleet.presentHosts().length <= 3 || !fleet.canLoseDisksOf([host])) {
      skipped++
      return
    }
    fleet.kill(host, { dark: true })
    host.isRemoved = true
  }
  function apply(action: Action): void {
    switch (action.kind) {
      case 'order':
      case 'race':
        return
      case 'blackout':
        blackout(action.long)
        return
      case 'loss':
        sim.loss(action.share)
        schedule(action.long, endLoss)
        return
      case 'clock':
        stepClock(hostAt(action.machine), action.step)
        return
      case 'front':
        frontFault(action.fault, action.long)
        return
      case 'add':
        fleet.add(false)
        return
      case 'remove':
        remove(hostAt(action.machine))
        return
      default:
        applyMachineFault(action)
    }
  }
  function endLoss(): void {
    sim.loss(0)
  }
  /** Ends every fault at once and starts every host that is not removed. */
  function endAll(): void {
    sim.heal()
    sim.loss(0)
    for (const host of fleet.presentHosts()) {
      host.machine.slow = 1
      host.machine.full = false
      host.machine.isDiskStalled = false
      if (host.proc?.state === 'frozen') sim.thaw(host.proc)
      if (host.isStopping) fleet.kill(host)
      fleet.start(host)
    }
    if (front.isUp) sim.thaw(front.proc)
    else fleet.startFront(false)
  }
  function skippedCount(): number {
    return skipped
  }
  return { apply, skipped: skippedCount, endAll }
}
