import type { Duplex } from 'node:stream'
import { logTo, type Address, type Cancel, type Listener, type DatagramSocket, type World } from '@claynotch/base'

// Counts what a process says and hears, by mechanism, at its World, so that nothing is added to the paths of the product.
// Sizes are those of our own frames, datagrams and HTTP streams; what TCP, UDP and IP add is not in them.
export type Line = { name: string; outCount: number; outBytes: number; inCount: number; inBytes: number }
export type Tally = {
  add: (name: string, way: 'in' | 'out', bytes: number, count?: number) => void
  read: () => Line[]
  clear: () => void
  // Bytes of the longest frame of each register pushed or accepted, by key, and of renewals and their answers.
  longest: Map<string, number>
}

// What a stream carries: frames of our links, or something whose bytes alone are counted under one name.
export type Carried = { name: string; frames: boolean }

export function makeTally(): Tally {
  let lines = new Map<string, Line>()
  const longest = new Map<string, number>()
  function add(name: string, way: 'in' | 'out', bytes: number, count = 1): void {
    let line = lines.get(name)
    if (!line) {
      line = { name, outCount: 0, outBytes: 0, inCount: 0, inBytes: 0 }
      lines.set(name, line)
    }
    if (way === 'out') {
      line.outCount += count
      line.outBytes += bytes
    } else {
      line.inCount += count
      line.inBytes += bytes
    }
  }
  function read(): Line[] {
    const out: Line[] = []
    for (const one of [...lines.keys()].sort()) out.push({ ...(lines.get(one) as Line) })
    return out
  }
  function clear(): void {
    lines = new Map()
  }
  return { add, read, clear, longest }
}

const mechanisms = new Map([
  ['renew', 'terms'],
  ['leave', 'terms'],
  ['push', 'pushes'],
  ['ack', 'acknowledgements'],
  ['prepare', 'registers'],
  ['accept', 'registers'],
  ['learn', 'registers'],
  ['get', 'registers'],
  ['members', 'members'],
  ['handover', 'repair'],
  ['keys', 'repair'],
  ['state', 'repair'],
  ['seeds', 'discovery'],
  ['hello', 'links'],
  ['ping', 'links'],
  ['feed', 'feeds'],
  ['note', 'notes'],
])
// The register of the shares is a mechanism of its own, whatever word speaks of it.
const KEYED = new Set(['push', 'prepare', 'accept', 'learn', 'get'])
// bytes of a frame that are looked at: kind, id, word and key stand at its front.
const HEAD = 96

type Head = { kind: number; id: number; word: string | undefined; key: string | undefined }

// The front of a frame, read without decoding it: [kind, id, {t: word, ..., key: name}].
export function readHead(bytes: Uint8Array): Head {
  const buf = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  const kind = buf[1] ?? 0
  const first = buf[2] ?? 0
  const wide = first < 0x18 ? 0 : 1 << (first - 0x18)
  const id = wide === 0 ? first : wide <= 4 && buf.length >= 3 + wide ? buf.readUIntBE(3, wide) : 0
  function textAfter(mark: string): string | undefined {
    const at = buf.indexOf(mark, 3 + wide, 'latin1')
    if (at < 0) return undefined
    const head = buf[at + mark.length] ?? 0
    const long = head === 0x78
    const size = long ? buf[at + mark.length + 1] : head - 0x60
    const from = at + mark.length + (long ? 2 : 1)
    return size > 0 && size < 0x80 ? buf.toString('latin1', from, from + size) : undefined
  }
  return { kind, id, word: textAfter('\x61t'), key: textAfter('\x63key') }
}

// Follows one direction of a link; onFrame gets each frame's front and size.
function makeFollower(onFrame: (head: Head, size: number) => void): (chunk: Uint8Array) => void {
  let front = Buffer.alloc(0)
  // left: bytes of the present frame still to come, once its length is known.
  let left = -1
  let size = 0
  function take(chunk: Uint8Array): void {
    let at = 0
    while (at < chunk.length) {
      if (left < 0 && front.length === 0 && chunk.length - at >= 4) {
        size = Buffer.from(chunk.buffer, chunk.byteOffset + at, 4).readUInt32BE(0)
        left = size
        at += 4
      } else if (left < 0) {
        const need = 4 - front.length
        front = Buffer.concat([front, chunk.subarray(at, at + need)])
        at = Math.min(chunk.length, at + need)
        if (front.length < 4) return
        size = front.readUInt32BE(0)
        left = size
        front = Buffer.alloc(0)
      }
      // Most frames come whole: their front is looked at where it stands.
      if (front.length === 0 && left === size && chunk.length - at >= size) {
        onFrame(readHead(chunk.subarray(at, at + Math.min(size, HEAD))), size + 4)
        at += size
        left = -1
        continue
      }
      const here = Math.min(left, chunk.length - at)
      if (front.length < HEAD && here > 0)
        front = Buffer.concat([front, chunk.subarray(at, at + Math.min(here, HEAD - front.length))])
      at += here
      left -= here
      if (left > 0) return
      onFrame(readHead(front), size + 4)
      front = Buffer.alloc(0)
      left = -1
    }
  }
  return take
}

// Counts the frames of one link. An answer counts under the word that was asked.
function tapLink(stream: Duplex, tally: Tally): void {
  const asked = { in: new Map<number, string>(), out: new Map<number, string>() }
  function nameOf(head: Head): string {
    const name = mechanisms.get(head.word ?? '') ?? `other ${head.word ?? 'frame'}`
    return head.key === 'slots' && KEYED.has(head.word ?? '') ? 'shares' : name
  }
  function keepLongest(what: string, size: number): void {
    tally.longest.set(what, Math.max(size, tally.longest.get(what) ?? 0))
  }
  function makeTake(way: 'in' | 'out'): (head: Head, size: number) => void {
    const back = way === 'in' ? 'out' : 'in'
    function take(head: Head, size: number): void {
      if (head.kind === 1) {
        const name = asked[back].get(head.id) ?? 'other answer'
        asked[back].delete(head.id)
        if (name === 'terms') keepLongest('answer to a renewal', size)
        tally.add(name, way, size)
        return
      }
      const name = nameOf(head)
      if (head.kind === 0) asked[way].set(head.id, name)
      if (head.key !== undefined && (head.word === 'push' || head.word === 'accept')) keepLongest(head.key, size)
      if (head.word === 'renew') keepLongest('renewal', size)
      tally.add(name, way, size)
    }
    return take
  }
  const out = makeFollower(makeTake('out'))
  const inward = makeFollower(makeTake('in'))
  const write = stream.write.bind(stream) as (chunk: Uint8Array, ...rest: unknown[]) => boolean
  function writeCounted(chunk: Uint8Array, ...rest: unknown[]): boolean {
    out(chunk)
    return write(chunk, ...rest)
  }
  stream.write = writeCounted as never
  stream.on('data', inward)
}

type Counted = Duplex & { bytesRead?: number; bytesWritten?: number }

// The world with every stream, datagram and log line counted. settle() brings streams that are still open up to date.
export function tapWorld(
  world: World,
  tally: Tally,
  carried: (way: 'dial' | 'listen', addr: Address) => Carried,
): World & { settle: () => void } {
  const open = new Map<Counted, { name: string; read: number; written: number }>()
  function bring(s: Counted): void {
    const one = open.get(s)
    if (!one) return
    const read = s.bytesRead ?? 0
    const written = s.bytesWritten ?? 0
    if (read > one.read) tally.add(one.name, 'in', read - one.read, 0)
    if (written > one.written) tally.add(one.name, 'out', written - one.written, 0)
    one.read = read
    one.written = written
  }
  function tap(s: Counted, what: Carried): void {
    if (what.frames) {
      tapLink(s, tally)
      return
    }
    // Of HTTP, requests and answers are counted by their first line; the bytes are the socket's own count where it keeps one.
    const write = s.write.bind(s) as (...args: unknown[]) => boolean
    function writeCounted(...args: unknown[]): boolean {
      const [chunk] = args as [string | Uint8Array]
      const front =
        typeof chunk === 'string'
          ? chunk.slice(0, 5)
          : Buffer.from(chunk.buffer, chunk.byteOffset, Math.min(5, chunk.byteLength)).toString('latin1')
      const first = /^(HTTP\/|GET |POST )/.test(front)
      tally.add(what.name, 'out', s.bytesWritten === undefined ? Buffer.byteLength(chunk) : 0, first ? 1 : 0)
      return write(...args)
    }
    s.write = writeCounted as never
    function heard(chunk: Uint8Array): void {
      tally.add(what.name, 'in', chunk.length, 0)
    }
    if (s.bytesRead === undefined) s.on('data', heard)
    open.set(s, { name: what.name, read: 0, written: 0 })
    function over(): void {
      bring(s)
      open.delete(s)
    }
    s.once('close', over)
  }
  async function dial(addr: Address, ms: number): Promise<Duplex> {
    const s = await world.dial(addr, ms)
    tap(s, carried('dial', addr))
    return s
  }
  function listen(addr: Address, take: (s: Duplex) => void): Promise<Listener> {
    const what = carried('listen', addr)
    function taken(s: Duplex): void {
      tap(s, what)
      take(s)
    }
    return world.listen(addr, taken)
  }
  async function wire(addr: Address, take: (bytes: Uint8Array) => void): Promise<DatagramSocket> {
    function taken(bytes: Uint8Array): void {
      tally.add('summaries', 'in', bytes.length)
      take(bytes)
    }
    const w = await world.wire(addr, taken)
    function cast(to: Address, bytes: Uint8Array): void {
      tally.add('summaries', 'out', bytes.length)
      w.cast(to, bytes)
    }
    return { cast, close: w.close }
  }
  function sink(_level: string, line: string): void {
    tally.add('logs', 'out', line.length + 1)
  }
  async function append(path: string, bytes: Uint8Array): Promise<void> {
    tally.add('file', 'out', bytes.length)
    await world.disk.append(path, bytes)
  }
  async function replace(path: string, bytes: Uint8Array): Promise<void> {
    tally.add('file rewritten', 'out', bytes.length)
    await world.disk.replace(path, bytes)
  }
  function settle(): void {
    for (const s of open.keys()) bring(s)
  }
  const later: (ms: number, run: () => void) => Cancel = world.later
  return { ...world, later, dial, listen, wire, log: logTo(sink), disk: { ...world.disk, append, replace }, settle }
}
