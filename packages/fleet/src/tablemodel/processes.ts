import { logTo, type World } from '@claynotch/base'
import { makeRandom } from '../random.js'
import { makeClock } from '../simclock.js'

/** Processes on virtual time, each with a clock of its own speed, that can be frozen, cut off, killed and started anew. */

export type ProcessState = 'up' | 'frozen' | 'dead'

/**
 * One life of a process. speed: ms of its clock in one ms of true time. missed: what happened to it while it was frozen, in
 * order.
 */
export type Process = {
  node: string
  life: number
  speed: number
  state: ProcessState
  /** Nothing leaves it; nothing reaches it. */
  isMute: boolean
  isDeaf: boolean
  missed: (() => void)[]
  world: World
}

export type Processes = {
  /** True time, ms. */
  now: () => number
  random: () => number
  start: (node: string, life: number, speed: number) => Process
  freeze: (process: Process) => void
  thaw: (process: Process) => void
  kill: (process: Process) => void
  /** Runs on the machines that are never lost, ms of true time from now. */
  later: (ms: number, run: () => void) => void
  /** Brings something to a process: late where it is frozen, never where it is dead. */
  deliver: (process: Process, run: () => void) => void
  /** Plays until that true time; check runs after each event. */
  playUntil: (end: number, check: () => void) => Promise<void>
}

function nowhere(): never {
  throw new Error('the model has no network and no disk')
}
function noSink(): void {}
function noCancel(): void {}

export function makeProcesses(seed: number): Processes {
  const clock = makeClock()
  const random = makeRandom(seed)
  const log = logTo(noSink)

  function later(ms: number, run: () => void): void {
    clock.schedule(ms, undefined, run)
  }
  function deliver(process: Process, run: () => void): void {
    if (process.state === 'dead') return
    if (process.state === 'frozen') process.missed.push(run)
    else run()
  }
  function start(node: string, life: number, speed: number): Process {
    function now(): number {
      return clock.now() * speed
    }
    function laterHere(ms: number, run: () => void) {
      let isCancelled = false
      function fire(): void {
        if (!isCancelled) run()
      }
      function due(): void {
        deliver(process, fire)
      }
      function cancel(): void {
        isCancelled = true
      }
      later(Math.max(0, ms) / speed, due)
      return ms === Infinity ? noCancel : cancel
    }
    const world: World = {
      now,
      later: laterHere,
      random,
      log,
      listen: nowhere,
      dial: nowhere,
      bindDatagrams: nowhere,
      disk: { read: nowhere, append: nowhere, replace: nowhere, cut: nowhere },
    }
    const process: Process = { node, life, speed, state: 'up', isMute: false, isDeaf: false, missed: [], world }
    return process
  }
  function freeze(process: Process): void {
    if (process.state === 'up') process.state = 'frozen'
  }
  function thaw(process: Process): void {
    if (process.state !== 'frozen') return
    process.state = 'up'
    const missed = process.missed.splice(0)
    for (const [k, run] of missed.entries()) {
      // It may be frozen or killed again by what it takes up.
      if (process.state !== 'up') process.missed.push(...missed.slice(k))
      if (process.state !== 'up') return
      run()
    }
  }
  function kill(process: Process): void {
    process.state = 'dead'
    process.missed.length = 0
  }
  /** Whatever was awaited goes on before the next event. */
  function settle(): Promise<void> {
    function wait(done: () => void): void {
      setImmediate(done)
    }
    return new Promise(wait)
  }
  async function playUntil(end: number, check: () => void): Promise<void> {
    for (;;) {
      const due = clock.nextEventAt()
      if (due === undefined || due > end) break
      const event = clock.pop()!
      clock.advance(event.at)
      event.run()
      await settle()
      check()
    }
    clock.advance(end)
  }
  return { now: clock.now, random, start, freeze, thaw, kill, later, deliver, playUntil }
}
