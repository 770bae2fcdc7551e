import type { World, Cancel } from './world.js'

// A flag that can be awaited. Once fired it stays so.
export type Flag = {
  fire: () => void
  fired: () => boolean
  wait: () => Promise<void>
  watch: (run: () => void) => Cancel
}

export function makeFlag(): Flag {
  let done = false
  const runs = new Set<() => void>()
  function fire(): void {
    if (done) return
    done = true
    for (const run of runs) run()
    runs.clear()
  }
  function fired(): boolean {
    return done
  }
  function watch(run: () => void): Cancel {
    if (done) {
      run()
      return nothing
    }
    runs.add(run)
    function cancel(): void {
      runs.delete(run)
    }
    return cancel
  }
  function wait(): Promise<void> {
    function start(ok: () => void): void {
      watch(ok)
    }
    return new Promise(start)
  }
  return { fire, fired, wait, watch }
}

export function nothing(): void {}

// Waits so long, or until the flag fires, whichever is first.
export function pause(world: World, ms: number, stop?: Flag): Promise<void> {
  function start(ok: () => void): void {
    let unwatch: Cancel = nothing
    function end(): void {
      unwatch()
      ok()
    }
    const cancel = world.later(ms, end)
    function cut(): void {
      cancel()
      ok()
    }
    if (stop) unwatch = stop.watch(cut)
  }
  return new Promise(start)
}

export const LATE = Symbol('late')

// The promise's value, or LATE. A rejection passes through.
export function within<T>(world: World, ms: number, what: Promise<T>): Promise<T | typeof LATE> {
  function start(ok: (v: T | typeof LATE) => void, fail: (e: unknown) => void): void {
    function late(): void {
      ok(LATE)
    }
    const cancel = world.later(ms, late)
    function done(v: T): void {
      cancel()
      ok(v)
    }
    function bad(e: unknown): void {
      cancel()
      fail(e)
    }
    what.then(done, bad)
  }
  return new Promise(start)
}

// A bell wakes all who wait for it; unlike a flag it can ring again.
// watch: runs at each ring until cancelled.
export type Bell = {
  ring: () => void
  wait: (world: World, ms: number, stop?: Flag) => Promise<void>
  watch: (run: () => void) => Cancel
}

export function makeBell(): Bell {
  let now = makeFlag()
  const runs = new Set<() => void>()
  function ring(): void {
    const old = now
    now = makeFlag()
    old.fire()
    for (const run of runs) run()
  }
  function watch(run: () => void): Cancel {
    runs.add(run)
    function cancel(): void {
      runs.delete(run)
    }
    return cancel
  }
  async function wait(world: World, ms: number, stop?: Flag): Promise<void> {
    if (stop?.fired()) return
    const mine = makeFlag()
    const a = now.watch(mine.fire)
    const b = stop ? stop.watch(mine.fire) : nothing
    await pause(world, ms, mine)
    a()
    b()
  }
  return { ring, wait, watch }
}

// A loop in its own task: runs the step, then waits for the beat, until stopped.
// A step that throws is a fault of ours: it is logged and the loop goes on.
export async function loop(
  world: World,
  name: string,
  beat: number,
  stop: Flag,
  step: () => Promise<void> | void,
  bell?: Bell,
): Promise<void> {
  while (!stop.fired()) {
    try {
      await step()
    } catch (e) {
      world.log.error('loop-fault', { loop: name, why: (e as Error).stack ?? String(e) })
    }
    if (stop.fired()) return
    if (bell) await bell.wait(world, beat, stop)
    else await pause(world, beat, stop)
  }
}

// A queue of one: tasks run one after another in the order asked.
export function makeTurnstile(): <T>(run: () => Promise<T>) => Promise<T> {
  let tail: Promise<unknown> = Promise.resolve()
  function enter<T>(run: () => Promise<T>): Promise<T> {
    const mine = tail.then(run, run)
    tail = mine.catch(nothing)
    return mine
  }
  return enter
}
