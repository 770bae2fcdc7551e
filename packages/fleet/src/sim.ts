import type { World } from '@claynotch/base'
import { makeRandom } from './random.js'
import { makeClock } from './simclock.js'
import { makeDriver } from './simdriver.js'
import { makeNetwork } from './simnetwork.js'
import type { Machine, Proc } from './simparts.js'
import { makeWorlds } from './simworld.js'

/**
 * The simulator: runs many processes in one Node.js process, on virtual time. Each has its own World and runs the same
 * code as a real process, node:http and its parser included, over simulated streams.
 * Invariants: everything that happens is an event of the queue; events of the same time run in the order in which they
 * were scheduled; all microtasks have run before the next event, so that a seed gives the same run each time.
 */

export { makeRandom } from './random.js'
export type { Machine, Proc } from './simparts.js'

export type Sim = {
  now: () => number
  random: () => number
  machine: (name: string, ip: string) => Machine
  /** Starts a process: `start` gets its World. */
  spawn: (machine: Machine, name: string, start: (world: World) => Promise<unknown>) => Proc
  /** Ends the process: its streams are reset, and each write that hasn't been synced may be kept, torn or lost. */
  kill: (proc: Proc) => void
  /** Holds back the process's events until thaw. */
  freeze: (proc: Proc) => void
  thaw: (proc: Proc) => void
  /** Blocks the path from one machine to the other; both ways unless `both` is false. */
  cut: (from: Machine, to: Machine, both?: boolean) => void
  /** Removes the cuts between two machines, both ways; without arguments, all cuts. */
  heal: (from?: Machine, to?: Machine) => void
  /** Sets the share of datagrams that are lost and of stream chunks that are delayed by a retransmission. */
  loss: (share: number) => void
  /** Resets every open stream of the process. */
  reset: (proc: Proc) => void
  /** Schedules a callback in `ms` ms. */
  at: (ms: number, run: () => void) => void
  /** Runs events until the virtual time `until`. */
  run: (until: number) => Promise<void>
  /** Runs events until the condition is true; false: it wasn't within limitMs. */
  until: (condition: () => boolean, limitMs: number) => Promise<boolean>
  /** Log lines of the processes: all with keepLines, otherwise only those of faults. */
  lines: string[]
  /** Events taken from the queue so far. */
  eventCount: () => number
  /** Bytes sent so far, by the name of the sending machine, then by that of the receiving one. */
  bytesSent: () => Map<string, Map<string, number>>
}

/** Mean one-way latency between two machines, unless an option sets another. */
const MEAN_LATENCY_MS = 0.3

export function makeSim(seed: number, opt: { keepLines?: boolean; latency?: number } = {}): Sim {
  const random = makeRandom(seed)
  const clock = makeClock()
  const network = makeNetwork(clock, random, opt.latency ?? MEAN_LATENCY_MS)
  const driver = makeDriver(clock)
  const machines = new Map<string, Machine>()
  const lines: string[] = []
  const worlds = makeWorlds(clock, network, random, machines, recordLogLine)

  function recordLogLine(proc: Proc, line: string): void {
    if (opt.keepLines || line.includes('-fault'))
      lines.push(`t=${(clock.now() / 1000).toFixed(3)} proc=${proc.name} ${line}`)
  }
  function machine(name: string, ip: string): Machine {
    const created: Machine = {
      name,
      ip,
      clockSkewMs: Math.floor(random() * 1e6),
      files: new Map(),
      dark: false,
      full: false,
      slow: 1,
      isDiskStalled: false,
    }
    machines.set(ip, created)
    return created
  }
  function spawn(host: Machine, name: string, start: (world: World) => Promise<unknown>): Proc {
    const proc: Proc = {
      name,
      machine: host,
      state: 'up',
      held: [],
      streamEnds: new Set(),
      open: new Set(),
      pendingWrites: new Set(),
    }
    function recordStartFault(e: unknown): void {
      lines.push(
        `t=${(clock.now() / 1000).toFixed(3)} proc=${name} event=start-fault why=${String((e as Error).message)}`,
      )
    }
    function runStart(): void {
      start(worlds.make(proc)).catch(recordStartFault)
    }
    clock.schedule(0, proc, runStart)
    return proc
  }
  function kill(proc: Proc): void {
    if (proc.state === 'dead') return
    proc.state = 'dead'
    proc.held = []
    worlds.closeListeners(proc)
    // The kernel resets the open streams; the peers learn of it only once the network carries the reset.
    for (const end of proc.streamEnds) {
      end.isClosed = true
      if (end.peerEnd) network.resetPeerLater(end, end.peerEnd)
    }
    proc.streamEnds.clear()
    // A write that hasn't been synced may be complete, torn or missing.
    for (const write of proc.pendingWrites) {
      const draw = random()
      if (write.whole) {
        if (draw < 0.5) write.machine.files.set(write.path, Buffer.from(write.bytes))
      } else {
        const writtenPart = Buffer.from(write.bytes).subarray(0, Math.floor(draw * 1.3 * write.bytes.length))
        write.machine.files.set(
          write.path,
          Buffer.concat([write.machine.files.get(write.path) ?? Buffer.alloc(0), writtenPart]),
        )
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
    for (const event of held) clock.schedule(0, proc, event.run)
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
    eventCount: driver.eventCount,
    bytesSent: network.bytesSent,
  }
}
