import type { Duplex } from 'node:stream'
import {
  logTo,
  parseAddr,
  type Address,
  type Cancel,
  type Listener,
  type DatagramSocket,
  type World,
} from '@claynotch/base'
import type { Clock } from './simclock.js'
import { makeDisk } from './simdisk.js'
import type { Network } from './simnetwork.js'
import type { Machine, Proc } from './simparts.js'

// The World of a simulated process: the same reach to the outside as a real one's, on virtual time.

type Accept = { proc: Proc; take: (s: Duplex) => void }
type Receive = { proc: Proc; take: (b: Uint8Array) => void }

export type Worlds = {
  make: (proc: Proc) => World
  // A dead process listens no more.
  forget: (proc: Proc) => void
}

export function makeWorlds(
  clock: Clock,
  network: Network,
  random: () => number,
  machines: Map<string, Machine>,
  sink: (proc: Proc, line: string) => void,
): Worlds {
  const listeners = new Map<string, Accept>()
  const wires = new Map<string, Receive>()

  function spot(machine: Machine, addr: Address): string {
    const { host, port } = parseAddr(addr)
    return host.startsWith('127.') ? `${machine.name}|${port}` : `${host}|${port}`
  }
  function machineOf(from: Machine, addr: Address): Machine | undefined {
    const { host } = parseAddr(addr)
    return host.startsWith('127.') ? from : machines.get(host)
  }

  // A connection is knocked at, taken by the process that listens there, and up once that news is back.
  function dialFrom(proc: Proc, addr: Address, ms: number): Promise<Duplex> {
    const { machine } = proc
    function start(ok: (s: Duplex) => void, fail: (e: Error) => void): void {
      let over = false
      function late(): void {
        if (over) return
        over = true
        fail(new Error('dial timeout'))
      }
      clock.schedule(ms, proc, late)
      const to = machineOf(machine, addr)
      if (!to || network.isCut(machine, to) || network.isCut(to, machine)) return
      function knock(): void {
        const l = listeners.get(spot(machine, addr))
        if (!l || l.proc.state === 'dead') {
          clock.schedule(network.delay(), proc, refuse)
          return
        }
        const mine = network.makeEnd(proc)
        const theirs = network.makeEnd(l.proc)
        mine.peerEnd = theirs
        theirs.peerEnd = mine
        function accept(): void {
          l!.take(theirs)
        }
        function up(): void {
          if (over) {
            mine.destroy()
            return
          }
          over = true
          ok(mine)
        }
        clock.schedule(0, l.proc, accept)
        clock.schedule(network.delay(), proc, up)
      }
      function refuse(): void {
        if (over) return
        over = true
        fail(new Error('connect ECONNREFUSED'))
      }
      // The knock is the machine's, not the process's: a frozen one's kernel still takes connections.
      clock.schedule(network.delay(), undefined, knock)
    }
    return new Promise(start)
  }
  async function listenOn(proc: Proc, addr: Address, take: (s: Duplex) => void): Promise<Listener> {
    const { machine } = proc
    const at = spot(machine, addr)
    const old = listeners.get(at)
    if (old && old.proc.state !== 'dead') throw new Error(`listen EADDRINUSE ${addr}`)
    listeners.set(at, { proc, take })
    proc.open.add(at)
    async function close(): Promise<void> {
      if (listeners.get(at)?.proc === proc) listeners.delete(at)
    }
    return { close }
  }
  async function wireOn(proc: Proc, addr: Address, take: (b: Uint8Array) => void): Promise<DatagramSocket> {
    const { machine } = proc
    const at = spot(machine, addr)
    wires.set(at, { proc, take })
    function cast(to: Address, bytes: Uint8Array): void {
      const there = machineOf(machine, to)
      if (!there || network.isCut(machine, there) || random() < network.lossShare()) return
      const w = wires.get(spot(machine, to))
      if (!w) return
      const copy = Buffer.from(bytes)
      network.count(machine, there, copy.length)
      function arrive(): void {
        w!.take(copy)
      }
      clock.schedule(network.delay(), w.proc, arrive)
    }
    function close(): void {
      if (wires.get(at)?.proc === proc) wires.delete(at)
    }
    return { send: cast, close }
  }
  function laterFor(proc: Proc, ms: number, run: () => void): Cancel {
    let off = false
    function fire(): void {
      if (!off) run()
    }
    clock.schedule(ms, proc, fire)
    function cancel(): void {
      off = true
    }
    return cancel
  }
  function make(proc: Proc): World {
    function now(): number {
      return clock.now() + proc.machine.clockSkewMs
    }
    function later(ms: number, run: () => void): Cancel {
      return laterFor(proc, ms, run)
    }
    function listen(addr: Address, take: (s: Duplex) => void): Promise<Listener> {
      return listenOn(proc, addr, take)
    }
    function dial(addr: Address, ms: number): Promise<Duplex> {
      return dialFrom(proc, addr, ms)
    }
    function wire(addr: Address, take: (b: Uint8Array) => void): Promise<DatagramSocket> {
      return wireOn(proc, addr, take)
    }
    function write(_level: string, line: string): void {
      sink(proc, line)
    }
    return {
      now,
      later,
      random,
      log: logTo(write),
      listen,
      dial,
      bindDatagrams: wire,
      disk: makeDisk(clock, random, proc),
    }
  }
  function forget(proc: Proc): void {
    for (const at of proc.open) if (listeners.get(at)?.proc === proc) listeners.delete(at)
  }
  return { make, forget }
}
