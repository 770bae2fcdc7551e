import type { Clock } from './simclock.js'

// Drives the simulation: one happening after another, each with all the microtasks that it sets off.
export type Driver = {
  run: (until: number) => Promise<void>
  until: (what: () => boolean, limit: number) => Promise<boolean>
  events: () => number
}

function settle(): Promise<void> {
  function start(ok: () => void): void {
    setImmediate(ok)
  }
  return new Promise(start)
}
export function makeDriver(clock: Clock): Driver {
  let done = 0

  async function step(): Promise<boolean> {
    const h = clock.pop()
    if (!h) return false
    clock.advance(h.at)
    done++
    if (h.proc?.state === 'dead') return true
    if (h.proc?.state === 'frozen') {
      h.proc.held.push(h)
      return true
    }
    h.run()
    await settle()
    return true
  }
  // Several tasks of a scenario may wait at once; one driver takes the steps for all of them.
  // Invariant: driving is true while the driver's loop runs, and only it takes steps.
  const waits = new Set<{ over: () => boolean | undefined; end: (v: boolean) => void }>()
  let driving = false
  async function drive(): Promise<void> {
    driving = true
    while (waits.size > 0) {
      let ended = false
      for (const w of [...waits]) {
        const got = w.over()
        if (got === undefined) continue
        waits.delete(w)
        w.end(got)
        ended = true
      }
      // What waited goes on, and may wait anew, before anything else happens.
      if (ended) await settle()
      else await step()
    }
    driving = false
  }
  function waitFor(over: () => boolean | undefined): Promise<boolean> {
    function start(end: (v: boolean) => void): void {
      waits.add({ over, end })
      if (!driving) void drive()
    }
    return new Promise(start)
  }
  async function run(until: number): Promise<void> {
    function over(): boolean | undefined {
      if ((clock.nextEventAt() ?? Infinity) <= until) return undefined
      clock.advance(until)
      return true
    }
    await waitFor(over)
  }
  function untilTrue(what: () => boolean, limit: number): Promise<boolean> {
    const end = clock.now() + limit
    function over(): boolean | undefined {
      if (what()) return true
      return (clock.nextEventAt() ?? Infinity) > end ? false : undefined
    }
    return waitFor(over)
  }
  function events(): number {
    return done
  }
  return { run, until: untilTrue, events }
}
