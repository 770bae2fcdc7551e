import { createServer, connect, type Socket } from 'node:net'
import { createSocket } from 'node:dgram'
import { open, readFile, rename, mkdir, truncate, stat } from 'node:fs/promises'
import { dirname } from 'node:path'
import type { Duplex } from 'node:stream'
import { makeLog, type Log } from './log.js'

/** Withdraws a timer or a registered callback. */
export type Cancel = () => void
/** Host and port, such as 10.0.0.1:7000. */
export type Address = string

export type Listener = { close: () => Promise<void> }
export type DatagramSocket = { send: (addr: Address, bytes: Uint8Array) => void; close: () => void }

/**
 * All access of a process to the outside: clock, timers, randomness, log, network and disk. Real processes use
 * realWorld(); the simulator gives each of its processes a World on virtual time.
 *
 * Invariant: now() (ms) never goes back, and all processes of a machine share its clock.
 */
export type World = {
  now: () => number
  later: (delayMs: number, callback: () => void) => Cancel
  random: () => number
  log: Log
  listen: (addr: Address, onConnection: (stream: Duplex) => void) => Promise<Listener>
  /** Opens a TCP connection; rejects after the timeout. */
  dial: (addr: Address, timeoutMs: number) => Promise<Duplex>
  /** Binds a UDP socket. */
  bindDatagrams: (addr: Address, onDatagram: (bytes: Uint8Array) => void) => Promise<DatagramSocket>
  disk: Disk
}

/** File access. A write completes only after the file, and its directory if the file is new, are synced. */
export type Disk = {
  /** Returns undefined if there is no such file. */
  read: (path: string) => Promise<Uint8Array | undefined>
  append: (path: string, bytes: Uint8Array) => Promise<void>
  /** Replaces the whole file atomically. */
  replace: (path: string, bytes: Uint8Array) => Promise<void>
  /** Truncates the file to the given size. */
  cut: (path: string, size: number) => Promise<void>
}

export function parseAddr(addr: Address): { host: string; port: number } {
  const separator = addr.lastIndexOf(':')
  return { host: addr.slice(0, separator), port: Number(addr.slice(separator + 1)) }
}

async function syncParentDirectory(path: string): Promise<void> {
  const directory = await open(dirname(path), 'r')
  try {
    await directory.sync()
  } finally {
    await directory.close()
  }
}

/** Creates the directory with its parents, and syncs each directory in which it created an entry. */
async function createDirectory(path: string): Promise<void> {
  const firstCreated = await mkdir(path, { recursive: true })
  if (firstCreated === undefined) return
  let current = path
  for (;;) {
    await syncParentDirectory(current)
    if (current === firstCreated || dirname(current) === current) return
    current = dirname(current)
  }
}

function realDisk(): Disk {
  async function read(path: string): Promise<Uint8Array | undefined> {
    try {
      return await readFile(path)
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined
      throw error
    }
  }
  async function exists(path: string): Promise<boolean> {
    try {
      await stat(path)
      return true
    } catch {
      return false
    }
  }
  async function append(path: string, bytes: Uint8Array): Promise<void> {
    const existedBefore = await exists(path)
    if (!existedBefore) await createDirectory(dirname(path))
    const file = await open(path, 'a')
    try {
      await file.appendFile(bytes)
      await file.datasync()
    } finally {
      await file.close()
    }
    if (!existedBefore) await syncParentDirectory(path)
  }
  async function replace(path: string, bytes: Uint8Array): Promise<void> {
    await createDirectory(dirname(path))
    const temporaryPath = `${path}.next`
    const file = await open(temporaryPath, 'w')
    try {
      await file.writeFile(bytes)
      await file.sync()
    } finally {
      await file.close()
    }
    await rename(temporaryPath, path)
    await syncParentDirectory(path)
  }
  async function cut(path: string, size: number): Promise<void> {
    await truncate(path, size)
    const file = await open(path, 'r+')
    try {
      await file.sync()
    } finally {
      await file.close()
    }
  }
  return { read, append, replace, cut }
}

/** Monotonic time in ms, with microsecond resolution. */
export function realNow(): number {
  return Number(process.hrtime.bigint() / 1000n) / 1000
}

/** The World of a real process: system clock, network and disk. */
export function realWorld(log?: Log): World {
  const logOrDefault = log ?? makeLog()

  function later(delayMs: number, callback: () => void): Cancel {
    const timer = setTimeout(callback, Math.max(0, delayMs))
    function cancel(): void {
      clearTimeout(timer)
    }
    return cancel
  }

  function listen(addr: Address, onConnection: (stream: Duplex) => void): Promise<Listener> {
    const { host, port } = parseAddr(addr)
    function start(resolve: (listener: Listener) => void, reject: (error: Error) => void): void {
      const server = createServer({ noDelay: true }, onConnection)
      // Stops listening only. Accepted connections are closed by their owner and may outlive the listener.
      async function close(): Promise<void> {
        server.close()
      }
      function onListening(): void {
        server.removeListener('error', reject)
        server.on('error', onError)
        resolve({ close })
      }
      function onError(error: Error): void {
        logOrDefault.warn('listener-error', { addr, why: error.message })
      }
      server.once('error', reject)
      server.listen({ host, port }, onListening)
    }
    return new Promise(start)
  }

  function dial(addr: Address, timeoutMs: number): Promise<Duplex> {
    const { host, port } = parseAddr(addr)
    function start(resolve: (stream: Duplex) => void, reject: (error: Error) => void): void {
      const socket: Socket = connect({ host, port, noDelay: true })
      function onTimeout(): void {
        socket.destroy()
        reject(new Error('dial timeout'))
      }
      const cancelTimer = later(timeoutMs, onTimeout)
      function onError(error: Error): void {
        cancelTimer()
        reject(error)
      }
      function onConnect(): void {
        cancelTimer()
        socket.removeListener('error', onError)
        resolve(socket)
      }
      socket.once('error', onError)
      socket.once('connect', onConnect)
    }
    return new Promise(start)
  }

  function wire(addr: Address, onDatagram: (bytes: Uint8Array) => void): Promise<DatagramSocket> {
    const { host, port } = parseAddr(addr)
    function start(resolve: (datagramSocket: DatagramSocket) => void, reject: (error: Error) => void): void {
      const socket = createSocket('udp4')
      function cast(destination: Address, bytes: Uint8Array): void {
        const target = parseAddr(destination)
        socket.send(bytes, target.port, target.host, ignore)
      }
      function ignore(): void {}
      function close(): void {
        socket.close()
      }
      function onBound(): void {
        socket.removeListener('error', reject)
        socket.on('error', ignore)
        resolve({ send: cast, close })
      }
      socket.on('message', onDatagram)
      socket.once('error', reject)
      socket.bind(port, host, onBound)
    }
    return new Promise(start)
  }

  return {
    now: realNow,
    later,
    random: Math.random,
    log: logOrDefault,
    listen,
    dial,
    bindDatagrams: wire,
    disk: realDisk(),
  }
}
