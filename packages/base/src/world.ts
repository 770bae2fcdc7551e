import { createServer, connect, type Socket } from 'node:net'
import { createSocket } from 'node:dgram'
import { open, readFile, rename, mkdir, truncate, stat } from 'node:fs/promises'
import { dirname } from 'node:path'
import type { Duplex } from 'node:stream'
import { makeLog, type Log } from './log.js'

export type Cancel = () => void
export type Address = string

export type Listener = { close: () => Promise<void> }
export type DatagramSocket = { send: (addr: Address, bytes: Uint8Array) => void; close: () => void }

// All reach to the outside. Real processes get realWorld; the simulator gives each of
// its processes one of its own on virtual time.
// Invariant: now() never goes back and is one clock for all processes of a machine.
export type World = {
  now: () => number
  later: (ms: number, run: () => void) => Cancel
  random: () => number
  log: Log
  listen: (addr: Address, take: (s: Duplex) => void) => Promise<Listener>
  dial: (addr: Address, ms: number) => Promise<Duplex>
  bindDatagrams: (addr: Address, take: (bytes: Uint8Array) => void) => Promise<DatagramSocket>
  // Disk: a write is done only once it, and the folder where it is new, are synced.
  disk: Disk
}

export type Disk = {
  read: (path: string) => Promise<Uint8Array | undefined>
  append: (path: string, bytes: Uint8Array) => Promise<void>
  replace: (path: string, bytes: Uint8Array) => Promise<void>
  cut: (path: string, size: number) => Promise<void>
}

export function parseAddr(addr: Address): { host: string; port: number } {
  const cut = addr.lastIndexOf(':')
  return { host: addr.slice(0, cut), port: Number(addr.slice(cut + 1)) }
}

async function syncFolder(path: string): Promise<void> {
  const dir = await open(dirname(path), 'r')
  try {
    await dir.sync()
  } finally {
    await dir.close()
  }
}

// Makes the folder and syncs every parent that it had to make an entry in.
async function makeFolder(path: string): Promise<void> {
  const made = await mkdir(path, { recursive: true })
  if (made === undefined) return
  let at = path
  for (;;) {
    await syncFolder(at)
    if (at === made || dirname(at) === at) return
    at = dirname(at)
  }
}

function realDisk(): Disk {
  async function read(path: string): Promise<Uint8Array | undefined> {
    try {
      return await readFile(path)
    } catch (e) {
      if ((e as NodeJS.ErrnoException).code === 'ENOENT') return undefined
      throw e
    }
  }
  async function isFile(path: string): Promise<boolean> {
    try {
      await stat(path)
      return true
    } catch {
      return false
    }
  }
  async function append(path: string, bytes: Uint8Array): Promise<void> {
    const old = await isFile(path)
    if (!old) await makeFolder(dirname(path))
    const file = await open(path, 'a')
    try {
      await file.appendFile(bytes)
      await file.datasync()
    } finally {
      await file.close()
    }
    if (!old) await syncFolder(path)
  }
  async function replace(path: string, bytes: Uint8Array): Promise<void> {
    await makeFolder(dirname(path))
    const next = `${path}.next`
    const file = await open(next, 'w')
    try {
      await file.writeFile(bytes)
      await file.sync()
    } finally {
      await file.close()
    }
    await rename(next, path)
    await syncFolder(path)
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

export function realNow(): number {
  return Number(process.hrtime.bigint() / 1000n) / 1000
}

export function realWorld(log?: Log): World {
  const out = log ?? makeLog()

  function later(ms: number, run: () => void): Cancel {
    const timer = setTimeout(run, Math.max(0, ms))
    function cancel(): void {
      clearTimeout(timer)
    }
    return cancel
  }

  function listen(addr: Address, take: (s: Duplex) => void): Promise<Listener> {
    const { host, port } = parseAddr(addr)
    function start(done: (l: Listener) => void, fail: (e: Error) => void): void {
      const server = createServer({ noDelay: true }, take)
      // Ends the listening only. What was accepted is its owner's to end, and may outlive this.
      async function close(): Promise<void> {
        server.close()
      }
      function up(): void {
        server.removeListener('error', fail)
        server.on('error', broke)
        done({ close })
      }
      function broke(e: Error): void {
        out.warn('listener-error', { addr, why: e.message })
      }
      server.once('error', fail)
      server.listen({ host, port }, up)
    }
    return new Promise(start)
  }

  function dial(addr: Address, ms: number): Promise<Duplex> {
    const { host, port } = parseAddr(addr)
    function start(done: (s: Duplex) => void, fail: (e: Error) => void): void {
      const sock: Socket = connect({ host, port, noDelay: true })
      function late(): void {
        sock.destroy()
        fail(new Error('dial timeout'))
      }
      const cancel = later(ms, late)
      function bad(e: Error): void {
        cancel()
        fail(e)
      }
      function up(): void {
        cancel()
        sock.removeListener('error', bad)
        done(sock)
      }
      sock.once('error', bad)
      sock.once('connect', up)
    }
    return new Promise(start)
  }

  function wire(addr: Address, take: (bytes: Uint8Array) => void): Promise<DatagramSocket> {
    const { host, port } = parseAddr(addr)
    function start(done: (w: DatagramSocket) => void, fail: (e: Error) => void): void {
      const sock = createSocket('udp4')
      function cast(to: Address, bytes: Uint8Array): void {
        const at = parseAddr(to)
        sock.send(bytes, at.port, at.host, ignore)
      }
      function ignore(): void {}
      function close(): void {
        sock.close()
      }
      function up(): void {
        sock.removeListener('error', fail)
        sock.on('error', ignore)
        done({ send: cast, close })
      }
      sock.on('message', take)
      sock.once('error', fail)
      sock.bind(port, host, up)
    }
    return new Promise(start)
  }

  return { now: realNow, later, random: Math.random, log: out, listen, dial, bindDatagrams: wire, disk: realDisk() }
}
