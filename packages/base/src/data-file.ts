import { crc32 } from 'node:zlib'
import { encode, decode } from './cbor.js'
import { REWRITE_FLOOR_BYTES, REWRITE_RATIO } from './constants.js'
import { makeSerialQueue } from './waiting.js'
import type { World } from './world.js'

// Append-only data file. A record is: mark (4 bytes), length (4), crc32 of the body (4), body (CBOR).
// Invariants:
// - a record counts only once append() came back, that is once it is synced;
// - a bad stretch at the end with no good record behind it is a torn write and is cut off;
// - a bad stretch with a good record behind it is damage: the file's owner has lost its memory.
const MARK = 0xc1a9f11e
const HEAD = 12

export type DataFileContents = { records: unknown[]; damaged: boolean; cut: number; empty: boolean }

function pack(body: unknown): Uint8Array {
  const bytes = encode(body)
  const out = Buffer.allocUnsafe(HEAD + bytes.length)
  out.writeUInt32BE(MARK, 0)
  out.writeUInt32BE(bytes.length, 4)
  out.writeUInt32BE(crc32(bytes), 8)
  out.set(bytes, HEAD)
  return out
}

function recordAt(buf: Buffer, at: number): { body: unknown; end: number } | undefined {
  if (at + HEAD > buf.length || buf.readUInt32BE(at) !== MARK) return undefined
  const size = buf.readUInt32BE(at + 4)
  const end = at + HEAD + size
  if (end > buf.length) return undefined
  const bytes = buf.subarray(at + HEAD, end)
  if (crc32(bytes) !== buf.readUInt32BE(at + 8)) return undefined
  try {
    return { body: decode(bytes), end }
  } catch {
    return undefined
  }
}

export function readRecords(bytes: Uint8Array): { records: unknown[]; good: number; damaged: boolean } {
  const buf = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  const records: unknown[] = []
  let at = 0
  while (at < buf.length) {
    const one = recordAt(buf, at)
    if (!one) break
    records.push(one.body)
    at = one.end
  }
  for (let k = at + 1; k < buf.length; k++) if (recordAt(buf, k)) return { records, good: at, damaged: true }
  return { records, good: at, damaged: false }
}

export type DataFile = {
  open: () => Promise<DataFileContents>
  append: (body: unknown) => Promise<void>
  // Called with what lives, to rewrite the file when it got long.
  compact: (live: () => unknown[]) => Promise<boolean>
  reset: (live: unknown[]) => Promise<void>
  size: () => number
}

export function makeDataFile(world: World, path: string): DataFile {
  // size: bytes in the file; least: its size just after the last rewrite.
  let size = 0
  let least = 0
  const enter = makeSerialQueue()

  async function open(): Promise<DataFileContents> {
    const bytes = await world.disk.read(path)
    if (!bytes || bytes.length === 0) return { records: [], damaged: false, cut: 0, empty: true }
    const got = readRecords(bytes)
    const cut = bytes.length - got.good
    if (!got.damaged && cut > 0) await world.disk.cut(path, got.good)
    size = got.good
    least = got.good
    return { records: got.records, damaged: got.damaged, cut, empty: got.records.length === 0 && !got.damaged }
  }
  async function appendNow(body: unknown): Promise<void> {
    const bytes = pack(body)
    await world.disk.append(path, bytes)
    size += bytes.length
  }
  function append(body: unknown): Promise<void> {
    function run(): Promise<void> {
      return appendNow(body)
    }
    return enter(run)
  }
  async function write(live: unknown[]): Promise<void> {
    const parts: Uint8Array[] = []
    for (const body of live) parts.push(pack(body))
    const all = Buffer.concat(parts)
    await world.disk.replace(path, all)
    size = all.length
    least = all.length
  }
  function trim(live: () => unknown[]): Promise<boolean> {
    async function run(): Promise<boolean> {
      if (size < REWRITE_FLOOR_BYTES || size < least * REWRITE_RATIO) return false
      await write(live())
      return true
    }
    return enter(run)
  }
  function reset(live: unknown[]): Promise<void> {
    function run(): Promise<void> {
      return write(live)
    }
    return enter(run)
  }
  function sizeNow(): number {
    return size
  }
  return { open, append, compact: trim, reset, size: sizeNow }
}
