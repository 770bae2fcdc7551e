import type { World, Cancel } from './world.js'

/** Waiting on the clock of a World: flags, signals, pauses, timeouts, loops and a serial queue. */

/** A one-way flag that can be awaited: once fired, it stays fired. */
export type Flag = {
  fire: () => void
  fired: () => boolean
  wait: () => Promise<void>
  /** Calls back once when the flag fires, immediately if it already has. */
  watch: (callback: () => void) => Cancel
}

export function makeFlag(): Flag {
  let isFired = false
  const watchers = new Set<() => void>()

  function fire(): void {
    if (isFired) return
    isFired = true
    for (const callback of watchers) callback()
    watchers.clear()
  }
  function fired(): boolean {
    return isFired
  }
  function watch(callback: () => void): Cancel {
    if (isFired) {
      callback()
      return noop
    }
    watchers.add(callback)
    function cancel(): void {
      watchers.delete(callback)
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

/** Does nothing: a callback or a cancel function without effect. */
export function noop(): void {}

/** Waits for the given time (ms) or until the flag fires, whichever comes first. */
export function pause(world: World, ms: number, stop?: Flag): Promise<void> {
  function start(resolve: () => void): void {
    let unwatchStop: Cancel = noop
    function onElapsed(): void {
      unwatchStop()
      resolve()
    }
    const cancelTimer = world.later(ms, onElapsed)
    function onStop(): void {
      cancelTimer()
      resolve()
    }
    if (stop) unwatchStop = stop.watch(onStop)
  }
  return new Promise(start)
}

/** Result of withTimeout() if the promise was not settled in time. */
export const TIMED_OUT = Symbol('timed out')

/** Resolves to the promise's value, or to TIMED_OUT after the timeout. A rejection passes through. */
export function withTimeout<T>(world: World, timeoutMs: number, promise: Promise<T>): Promise<T | typeof TIMED_OUT> {
  function start(resolve: (value: T | typeof TIMED_OUT) => void, reject: (reason: unknown) => void): void {
    function onTimeout(): void {
      resolve(TIMED_OUT)
    }
    const cancelTimer = world.later(timeoutMs, onTimeout)
    function onFulfilled(value: T): void {
      cancelTimer()
      resolve(value)
    }
    function onRejected(reason: unknown): void {
      cancelTimer()
      reject(reason)
    }
    promise.then(onFulfilled, onRejected)
  }
  return new Promise(start)
}

/** Wakes all its waiters; unlike a flag, it can be notified repeatedly. */
export type Signal = {
  notify: () => void
  /** Waits for the next notification, the timeout or the flag, whichever comes first. */
  wait: (world: World, timeoutMs: number, stop?: Flag) => Promise<void>
  /** Calls back at each notification until cancelled. */
  watch: (callback: () => void) => Cancel
}

export function makeSignal(): Signal {
  let nextSignal = makeFlag()
  const watchers = new Set<() => void>()

  function notifyAll(): void {
    const currentSignal = nextSignal
    nextSignal = makeFlag()
    currentSignal.fire()
    for (const callback of watchers) callback()
  }
  function watch(callback: () => void): Cancel {
    watchers.add(callback)
    function cancel(): void {
      watchers.delete(callback)
    }
    return cancel
  }
  async function wait(world: World, timeoutMs: number, stop?: Flag): Promise<void> {
    if (stop?.fired()) return
    const isWoken = makeFlag()
    const unwatchSignal = nextSignal.watch(isWoken.fire)
    const unwatchStop = stop ? stop.watch(isWoken.fire) : noop
    await pause(world, timeoutMs, isWoken)
    unwatchSignal()
    unwatchStop()
  }
  return { notify: notifyAll, wait, watch }
}

/**
 * Background loop: runs the step, then waits for the interval or the signal, until stopped.
 * A step that throws is a bug: the error is logged and the loop goes on.
 */
export async function loop(
  world: World,
  name: string,
  intervalMs: number,
  stop: Flag,
  step: () => Promise<void> | void,
  signal?: Signal,
): Promise<void> {
  while (!stop.fired()) {
    try {
      await step()
    } catch (error) {
      world.log.error('loop-fault', { loop: name, why: (error as Error).stack ?? String(error) })
    }
    if (stop.fired()) return
    if (signal) await signal.wait(world, intervalMs, stop)
    else await pause(world, intervalMs, stop)
  }
}

/** Runs tasks one after another in the order of the calls, whether or not earlier ones succeeded. */
export function makeSerialQueue(): <T>(task: () => Promise<T>) => Promise<T> {
  let tail: Promise<unknown> = Promise.resolve()
  function enqueue<T>(task: () => Promise<T>): Promise<T> {
    const result = tail.then(task, task)
    tail = result.catch(noop)
    return result
  }
  return enqueue
}
