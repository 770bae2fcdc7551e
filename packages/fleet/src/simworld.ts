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

/** A listening stream socket and the process that owns it. */
type StreamListener = { proc: Proc; onConnection: (s: Duplex) => void }
/** A bound datagram socket and the process that owns it. */
type BoundSocket = { proc: Proc; onDatagram: (b: Uint8Array) => void }

/** Makes the World of each simulated process: the same access to the outside as a real process has, on virtual time. */
export type Worlds = {
  make: (proc: Proc) => World
  /** Closes the listeners of a process that has died. */
  closeListeners: (proc: Proc) => void
}

export function makeWorlds(
  clock: Clock,
  network: Network,
  random: () => number,
  machines: Map<string, Machine>,
  writeLogLine: (proc: Proc, line: string) => void,
): Worlds {
  const listeners = new Map<string, StreamListener>()
  const datagramSockets = new Map<string, BoundSocket>()

  /** Key of an address in the socket tables; a loopback address belongs to the machine that uses it. */
  function endpointKey(machine: Machine, addr: Address): string {
    const { host, port } = parseAddr(addr)
    return host.startsWith('127.') ? `${machine.name}|${port}` : `${host}|${port}`
  }
  function machineAt(from: Machine, addr: Address): Machine | undefined {
    const { host } = parseAddr(addr)
    return host.startsWith('127.') ? from : machines.get(host)
  }

  /**
   * Opens a stream: the request takes one delay, the listener accepts, and the answer takes another delay. On a cut
   * path nothing answers, and the dial times out.
   */
  function dialFrom(proc: Proc, addr: Address, timeoutMs: number): Promise<Duplex> {
    const { machine } = proc
    function start(resolve: (s: Duplex) => void, reject: (e: Error) => void): void {
      let isSettled = false
      function timeOut(): void {
        if (isSettled) return
        isSettled = true
        reject(new Error('dial timeout'))
      }
      clock.schedule(timeoutMs, proc, timeOut)
      const target = machineAt(machine, addr)
      if (!target || network.isCut(machine, target) || network.isCut(target, machine)) return
      function requestConnection(): void {
        const listener = listeners.get(endpointKey(machine, addr))
        if (!listener || listener.proc.state === 'dead') {
          clock.schedule(network.delay(), proc, refuse)
          return
        }
        const localEnd = network.makeEnd(proc)
        const remoteEnd = network.makeEnd(listener.proc)
        localEnd.peerEnd = remoteEnd
        remoteEnd.peerEnd = localEnd
        function accept(): void {
          listener!.onConnection(remoteEnd)
        }
        function completeDial(): void {
          if (isSettled) {
            localEnd.destroy()
            return
          }
          isSettled = true
          resolve(localEnd)
        }
        clock.schedule(0, listener.proc, accept)
        clock.schedule(network.delay(), proc, completeDial)
      }
      function refuse(): void {
        if (isSettled) return
        isSettled = true
        reject(new Error('connect ECONNREFUSED'))
      }
      // The connection request belongs to no process: the kernel of a frozen process still accepts connections.
      clock.schedule(network.delay(), undefined, requestConnection)
    }
    return new Promise(start)
  }
  async function listenOn(proc: Proc, addr: Address, onConnection: (s: Duplex) => void): Promise<Listener> {
    const { machine } = proc
    const key = endpointKey(machine, addr)
    const existing = listeners.get(key)
    if (existing && existing.proc.state !== 'dead') throw new Error(`listen EADDRINUSE ${addr}`)
    listeners.set(key, { proc, onConnection })
    proc.open.add(key)
    async function close(): Promise<void> {
      if (listeners.get(key)?.proc === proc) listeners.delete(key)
    }
    return { close }
  }
  async function bindDatagramsOn(
    proc: Proc,
    addr: Address,
    onDatagram: (b: Uint8Array) => void,
  ): Promise<DatagramSocket> {
    const { machine } = proc
    const key = endpointKey(machine, addr)
    datagramSockets.set(key, { proc, onDatagram })
    function sendDatagram(to: Address, bytes: Uint8Array): void {
      const target = machineAt(machine, to)
      if (!target || network.isCut(machine, target) || random() < network.lossShare()) return
      const socket = datagramSockets.get(endpointKey(machine, to))
      if (!socket) return
      const copy = Buffer.from(bytes)
      network.countBytes(machine, target, copy.length)
      function deliver(): void {
        socket!.onDatagram(copy)
      }
      clock.schedule(network.delay(), socket.proc, deliver)
    }
    function close(): void {
      if (datagramSockets.get(key)?.proc === proc) datagramSockets.delete(key)
    }
    return { send: sendDatagram, close }
  }
  function scheduleFor(proc: Proc, ms: number, run: () => void): Cancel {
    let isCancelled = false
    function fire(): void {
      if (!isCancelled) run()
    }
    clock.schedule(ms, proc, fire)
    function cancel(): void {
      isCancelled = true
    }
    return cancel
  }
  function make(proc: Proc): World {
    function now(): number {
      return clock.now() + proc.machine.clockSkewMs
    }
    function later(ms: number, run: () => void): Cancel {
      return scheduleFor(proc, ms, run)
    }
    function listen(addr: Address, onConnection: (s: Duplex) => void): Promise<Listener> {
      return listenOn(proc, addr, onConnection)
    }
    function dial(addr: Address, timeoutMs: number): Promise<Duplex> {
      return dialFrom(proc, addr, timeoutMs)
    }
    function bindSocket(addr: Address, onDatagram: (b: Uint8Array) => void): Promise<DatagramSocket> {
      return bindDatagramsOn(proc, addr, onDatagram)
    }
    function write(_level: string, line: string): void {
      writeLogLine(proc, line)
    }
    return {
      now,
      later,
      random,
      log: logTo(write),
      listen,
      dial,
      bindDatagrams: bindSocket,
      disk: makeDisk(clock, random, proc),
    }
  }
  function closeListeners(proc: Proc): void {
    for (const key of proc.open) if (listeners.get(key)?.proc === proc) listeners.delete(key)
  }
  return { make, closeListeners }
}
