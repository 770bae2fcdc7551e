/**
 * Brings the faults of a schedule about, and ends each after its time.
 *
 * What the core set could not bear is left out: disks are lost, and machines removed, only while those that keep their memory
 * are a quorum of every set that may decide. Faults that end by themselves come in any number at once.
 */
import type { Action } from './actions.js'
import type { CoreHost, ControlFleet } from './fleet.js'

/** Milliseconds of clock that a core machine may be ahead after one step; less than a lease's slack. */
const CLOCK_STEP_MOST = 90
/** Milliseconds between two steps of one core machine's clock, so that the slack of each lease bears them. */
const CLOCK_STEP_PAUSE = 5000
/** How many times longer than at its best a slow disk takes. */
const SLOW = 40

/** `skipped`: actions left out, as the set could not bear them. */
export type Faults = { apply: (action: Action) => void; skipped: () => number; endAll: () => void }

export function makeFaults(fleet: ControlFleet): Faults {
  const { sim, front } = fleet
  let skipped = 0

  function later(long: number, run: () => void): void {
    sim.at(long, run)
  }
  function boxOf(num: number): CoreHost {
    const list = fleet.presentHosts()
    return list[num % list.length]
  }
  /** A restart after its time, where nothing else happened to the process meanwhile. */
  function startLater(box: CoreHost, long: number): void {
    const was = box.proc
    function again(): void {
      if (box.proc === was) fleet.start(box)
    }
    later(long, again)
  }
  function fault(action: Extract<Action, { machine: number; long: number }>): void {
    const box = boxOf(action.machine)
    const { long } = action
    switch (action.kind) {
      case 'kill':
      case 'power':
        if (!box.up) return
        fleet.kill(box, { dark: action.kind === 'power' })
        startLater(box, long)
        return
      case 'wipe':
        if (!fleet.bears([box])) {
          skipped++
          return
        }
        fleet.kill(box, { disk: 'lost' })
        startLater(box, long)
        return
      case 'term':
        if (!box.up || box.ending || !box.run) return
        fleet.terminate(box)
        startLater(box, long + 1000)
        return
      case 'freeze':
        freeze(box, long)
        return
      case 'slow':
        slow(box, long)
        return
      case 'stall':
        stall(box, long)
        return
      case 'full':
        full(box, long)
        return
      case 'cut':
        cut(box, action.others, action.way, long)
    }
  }
  function freeze(box: CoreHost, long: number): void {
    const { proc } = box
    if (!proc || !box.up) return
    sim.freeze(proc)
    function thaw(): void {
      sim.thaw(proc!)
    }
    later(long, thaw)
  }
  function slow(box: CoreHost, long: number): void {
    box.machine.slow = SLOW
    function end(): void {
      box.machine.slow = 1
    }
    later(long, end)
  }
  function stall(box: CoreHost, long: number): void {
    box.machine.isDiskStalled = true
    function end(): void {
      box.machine.isDiskStalled = false
    }
    later(long, end)
  }
  /** No write succeeds; the core is to find by itself that there is room again. */
  function full(box: CoreHost, long: number): void {
    box.machine.full = true
    function end(): void {
      box.machine.full = false
    }
    later(long, end)
  }
  function cut(box: CoreHost, others: number, way: 'in' | 'out' | 'both', long: number): void {
    const list = [front.machine]
    for (const b of fleet.presentHosts()) list.push(b.machine)
    const cuts: [typeof box.machine, typeof box.machine][] = []
    for (const [k, other] of list.entries()) {
      if (other === box.machine || ((others >> k) & 1) === 0) continue
      if (way !== 'out') cuts.push([other, box.machine])
      if (way !== 'in') cuts.push([box.machine, other])
    }
    for (const [from, to] of cuts) sim.cut(from, to, false)
    function heal(): void {
      for (const [from, to] of cuts) sim.heal(from, to)
    }
    later(long, heal)
  }
  function blackout(long: number): void {
    const down: CoreHost[] = []
    for (const b of fleet.presentHosts()) {
      if (!b.up) continue
      fleet.kill(b, { dark: true })
      down.push(b)
    }
    for (const b of down) startLater(b, long)
  }
  function stepClock(box: CoreHost, step: number): void {
    if (sim.now() - box.stepped < CLOCK_STEP_PAUSE) return
    box.stepped = sim.now()
    box.machine.clockSkewMs += Math.min(step, CLOCK_STEP_MOST)
  }
  function frontFault(kind: 'kill' | 'freeze' | 'clock', long: number): void {
    if (!front.up) return
    const { proc } = front
    if (kind === 'clock') front.machine.clockSkewMs += long
    else if (kind === 'freeze') {
      sim.freeze(proc)
      function thaw(): void {
        sim.thaw(proc)
      }
      later(long, thaw)
    } else {
      fleet.killFront()
      function again(): void {
        if (!front.up) fleet.startFront(false)
      }
      later(long, again)
    }
  }
  function remove(box: CoreHost): void {
    if (fleet.presentHosts().length <= 3 || !fleet.bears([box])) {
      skipped++
      return
    }
    fleet.kill(box, { dark: true })
    box.isRemoved = true
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
        later(action.long, endLoss)
        return
      case 'clock':
        stepClock(boxOf(action.machine), action.step)
        return
      case 'front':
        frontFault(action.fault, action.long)
        return
      case 'add':
        fleet.add(false)
        return
      case 'remove':
        remove(boxOf(action.machine))
        return
      default:
        fault(action)
    }
  }
  function endLoss(): void {
    sim.loss(0)
  }
  /** Every fault ends now, and every machine that is not removed runs. */
  function endAll(): void {
    sim.heal()
    sim.loss(0)
    for (const b of fleet.presentHosts()) {
      b.machine.slow = 1
      b.machine.full = false
      b.machine.isDiskStalled = false
      if (b.proc?.state === 'frozen') sim.thaw(b.proc)
      if (b.ending) fleet.kill(b)
      fleet.start(b)
    }
    if (front.up) sim.thaw(front.proc)
    else fleet.startFront(false)
  }
  function skippedNow(): number {
    return skipped
  }
  return { apply, skipped: skippedNow, endAll }
}
