import type { Clock } from './simclock.js'

/** Runs the simulation: one event after the other, each with all the microtasks that it causes. */
export type Driver = {
  /** Runs events until the virtual time `until`. */
  run: (until: number) => Promise<void>
  /** Runs events until the condition is true; false: it wasn't within limitMs. */
  until: (condition: () => boolean, limitMs: number) => Promise<boolean>
  /** Events taken from the queue so far. */
  eventCount: () => number
}

/** Resolves after all pending microtasks have run. */
function drainMicrotasks(): Promise<void> {
  function start(resolve: () => void): void {
    setImmediate(resolve)
  }
  return new Promise(start)
}
export function makeDriver(clock: Clock): Driver {
  let eventCount = 0

  /** Runs the next event: an event of a dead process is dropped, one of a frozen process is held back. */
  async function step(): Promise<boolean> {
    const event = clock.pop()
    if (!event) return false
    clock.advance(event.at)
    eventCount++
    if (event.proc?.state === 'dead') return true
    if (event.proc?.state === 'frozen') {
      event.proc.held.push(event)
      return true
    }
    event.run()
    await drainMicrotasks()
    return true
  }
  /**
   * Tasks of a scenario that wait at the same time; one loop takes the steps for all of them. result: undefined while
   * the task has to wait.
   */
  const waiters = new Set<{ result: () => boolean | undefined; resolve: (v: boolean) => void }>()
  /** Invariant: true while the loop of drive() runs; only that loop takes steps. */
  let isDriving = false
  async function drive(): Promise<void> {
    isDriving = true
    while (waiters.size > 0) {
      let hasResolved = false
      for (const waiter of [...waiters]) {
        const result = waiter.result()
        if (result === undefined) continue
        waiters.delete(waiter)
        waiter.resolve(result)
        hasResolved = true
      }
      // Resolved tasks continue, and may wait again, before the next event runs.
      if (hasResolved) await drainMicrotasks()
      else await step()
    }
    isDriving = false
  }
  function waitFor(result: () => boolean | undefined): Promise<boolean> {
    function start(resolve: (v: boolean) => void): void {
      waiters.add({ result, resolve })
      if (!isDriving) void drive()
    }
    return new Promise(start)
  }
  async function run(until: number): Promise<void> {
    function result(): boolean | undefined {
      if ((clock.nextEventAt() ?? Infinity) <= until) return undefined
      clock.advance(until)
      return true
    }
    await waitFor(result)
  }
  function runUntilTrue(condition: () => boolean, limitMs: number): Promise<boolean> {
    const deadline = clock.now() + limitMs
    function result(): boolean | undefined {
      if (condition()) return true
      return (clock.nextEventAt() ?? Infinity) > deadline ? false : undefined
    }
    return waitFor(result)
  }
  function currentEventCount(): number {
    return eventCount
  }
  return { run, until: runUntilTrue, eventCount: currentEventCount }
}
