import type { World, Cancel } from './world.js'

/** Waiting on the world's clock: flags, signals, pauses, loops and a queue of one. */

/** A flag that can be awaited. Once fired it stays so. */
export type Flag = {
  fire: () => void
  fired: () => boolean
  wait: () => Promise<void>
  /** Runs once the flag fires, at once if it has. */
  watch: (run: () => void) => Cancel
}

export function makeFlag(): Flag {
  let done = false
  const watchers = new Set<() => void>()

  function fire(): void {
    if (done) return
    done = true
    for (const run of watchers) run()
    watchers.clear()
  }
  function fired(): boolean {
    return done
  }
  function watch(run: () => void): Cancel {
    if (done) {
      run()
      return noop
    }
    watchers.add(run)
    function cancel(): void {
      watchers.delete(run)
    }
    return cancel
  }
  function wait(): Promise<void> {
    function start(resolve: () => void): void {
      watch(resolve)
    }
    return new Promise(start)
  }
  return { fire, fired, wait, watch }
}

export function noop(): void {}

/** Waits so many milliseconds, or until the flag fires, whichever is first. */
export function pause(world: World, ms: number, stop?: Flag): Promise<void> {
  function start(resolve: () => void): void {
    let unwatch: Cancel = noop
    function elapsed(): void {
      unwatch()
      resolve()
    }
    const cancel = world.later(ms, elapsed)
    function stopped(): void {
      cancel()
      resolve()
    }
    if (stop) unwatch = stop.watch(stopped)
  }
  return new Promise(start)
}

/** What within() gives where the promise was not settled in time. */
export const TIMED_OUT = Symbol('late')

/** The promise's value, or LATE after so many milliseconds. A rejection passes through. */
export function withTimeout<T>(world: World, ms: number, promise: Promise<T>): Promise<T | typeof TIMED_OUT> {
  function start(resolve: (value: T | typeof TIMED_OUT) => void, reject: (reason: unknown) => void): void {
    function late(): void {
      resolve(TIMED_OUT)
    }
    const cancel = world.later(ms, late)
    function fulfilled(value: T): void {
      cancel()
      resolve(value)
    }
    function rejected(reason: unknown): void {
      cancel()
      reject(reason)
    }
    promise.then(fulfilled, rejected)
  }
  return new Promise(start)
}

/** A signal wakes all who wait for it; unlike a flag it can be given again. */
export type Signal = {
  notify: () => void
  /** Waits for the next signal, for so many milliseconds, or until the flag fires. */
  wait: (world: World, ms: number, stop?: Flag) => Promise<void>
  /** Runs at each signal until cancelled. */
  watch: (run: () => void) => Cancel
}

export function makeSignal(): Signal {
  let next = makeFlag()
  const watchers = new Set<() => void>()

  function ring(): void {
    const current = next
    next = makeFlag()
    current.fire()
    for (const run of watchers) run()
  }
  function watch(run: () => void): Cancel {
    watchers.add(run)
    function cancel(): void {
      watchers.delete(run)
    }
    return cancel
  }
  async function wait(world: World, ms: number, stop?: Flag): Promise<void> {
    if (stop?.fired()) return
    const woken = makeFlag()
    const unwatchSignal = next.watch(woken.fire)
    const unwatchStop = stop ? stop.watch(woken.fire) : noop
    await pause(world, ms, woken)
    unwatchSignal()
    unwatchStop()
  }
  return { notify: ring, wait, watch }
}

/**
 * A loop in its own task: runs the step, then waits for the interval (ms) or the signal, until stopped.
 * A step that throws is a fault of ours: it is logged and the loop goes on.
 */
export async function loop(
  world: World,
  name: string,
  interval: number,
  stop: Flag,
  step: () => Promise<void> | void,
  signal?: Signal,
): Promise<void> {
  while (!stop.fired()) {
    try {
      await step()
    } catch (e) {
      world.log.error('loop-fault', { loop: name, why: (e as Error).stack ?? String(e) })
    }
    if (stop.fired()) return
    if (signal) await signal.wait(world, interval, stop)
    else await pause(world, interval, stop)
  }
}

/** A queue of one: tasks run one after another in the order asked, whether those before succeeded or not. */
export function makeSerialQueue(): <T>(run: () => Promise<T>) => Promise<T> {
  let tail: Promise<unknown> = Promise.resolve()
  function enter<T>(run: () => Promise<T>): Promise<T> {
    const mine = tail.then(run, run)
    tail = mine.catch(noop)
    return mine
  }
  return enter
}
