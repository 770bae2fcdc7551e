import type { World } from '@claynotch/base'
import { makeRandom } from './random.js'
import { makeClock } from './simclock.js'
import { makeDriver } from './simdriver.js'
import { makeNetwork } from './simnetwork.js'
import type { Machine, Proc } from './simparts.js'
import { makeWorlds } from './simworld.js'

// The simulator: many processes in one, on virtual time. Each gets a World of its own; the same tasks run
// in it as in a real process, node:http and its parser included, over streams that the simulator carries.
// Invariants: nothing happens but by an event of the queue; events of one time run in the order made;
// between two events every microtask has run, so a seed gives the same run each time.

export { makeRandom } from './random.js'
export type { Machine, Proc } from './simparts.js'

export type Sim = {
  now: () => number
  random: () => number
  machine: (name: string, ip: string) => Machine
  // Starts a process: its tasks run in the World handed to start.
  spawn: (machine: Machine, name: string, start: (world: World) => Promise<unknown>) => Proc
  kill: (proc: Proc) => void
  freeze: (proc: Proc) => void
  thaw: (proc: Proc) => void
  // No bytes from one machine to the other; one way only, unless told both.
  cut: (from: Machine, to: Machine, both?: boolean) => void
  heal: (from?: Machine, to?: Machine) => void
  // Share of datagrams lost and of stream chunks delayed by a resend.
  loss: (share: number) => void
  // Every open stream that touches the process is reset.
  reset: (proc: Proc) => void
  // Runs it so many ms from now.
  at: (ms: number, run: () => void) => void
  run: (until: number) => Promise<void>
  until: (what: () => boolean, limit: number) => Promise<boolean>
  lines: string[]
  eventCount: () => number
  // Bytes that each machine sent each other one so far, by the names of both.
  bytesSent: () => Map<string, Map<string, number>>
}

// ms. One way between two machines, at the mean, unless told otherwise.
const LATENCY = 0.3

export function makeSim(seed: number, opt: { keepLines?: boolean; latency?: number } = {}): Sim {
  const random = makeRandom(seed)
  const clock = makeClock()
  const network = makeNetwork(clock, random, opt.latency ?? LATENCY)
  const driver = makeDriver(clock)
  const machines = new Map<string, Machine>()
  const lines: string[] = []
  const worlds = makeWorlds(clock, network, random, machines, sink)

  function sink(proc: Proc, line: string): void {
    if (opt.keepLines || line.includes('-fault'))
      lines.push(`t=${(clock.now() / 1000).toFixed(3)} proc=${proc.name} ${line}`)
  }
  function machine(name: string, ip: string): Machine {
    const m: Machine = {
      name,
      ip,
      clockSkewMs: Math.floor(random() * 1e6),
      files: new Map(),
      dark: false,
      full: false,
      slow: 1,
      isDiskStalled: false,
    }
    machines.set(ip, m)
    return m
  }
  function spawn(on: Machine, name: string, start: (world: World) => Promise<unknown>): Proc {
    const proc: Proc = {
      name,
      machine: on,
      state: 'up',
      held: [],
      streamEnds: new Set(),
      open: new Set(),
      pendingWrites: new Set(),
    }
    function failed(e: unknown): void {
      lines.push(
        `t=${(clock.now() / 1000).toFixed(3)} proc=${name} event=start-fault why=${String((e as Error).message)}`,
      )
    }
    function go(): void {
      start(worlds.make(proc)).catch(failed)
    }
    clock.schedule(0, proc, go)
    return proc
  }
  function kill(proc: Proc): void {
    if (proc.state === 'dead') return
    proc.state = 'dead'
    proc.held = []
    worlds.forget(proc)
    // Its kernel resets what it had open; one that is off the network can't tell anyone.
    for (const end of proc.streamEnds) {
      end.shut = true
      if (end.peerEnd) network.breakLater(end, end.peerEnd)
    }
    proc.streamEnds.clear()
    // A write not yet synced may be there, may be torn, may be missing.
    for (const w of proc.pendingWrites) {
      const r = random()
      if (w.whole) {
        if (r < 0.5) w.machine.files.set(w.path, Buffer.from(w.bytes))
      } else {
        const part = Buffer.from(w.bytes).subarray(0, Math.floor(r * 1.3 * w.bytes.length))
        w.machine.files.set(w.path, Buffer.concat([w.machine.files.get(w.path) ?? Buffer.alloc(0), part]))
      }
    }
    proc.pendingWrites.clear()
  }
  function freeze(proc: Proc): void {
    if (proc.state === 'up') proc.state = 'frozen'
  }
  function thaw(proc: Proc): void {
    if (proc.state !== 'frozen') return
    proc.state = 'up'
    const held = proc.held
    proc.held = []
    for (const h of held) clock.schedule(0, proc, h.run)
  }
  function at(ms: number, run: () => void): void {
    clock.schedule(ms, undefined, run)
  }
  return {
    now: clock.now,
    random,
    machine,
    spawn,
    kill,
    freeze,
    thaw,
    cut: network.cut,
    heal: network.heal,
    loss: network.loss,
    reset: network.reset,
    at,
    run: driver.run,
    until: driver.until,
    lines,
    eventCount: driver.events,
    bytesSent: network.carried,
  }
}
