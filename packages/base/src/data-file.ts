import { crc32 } from 'node:zlib'
import { encode, decode } from './cbor.js'
import { REWRITE_FLOOR_BYTES, REWRITE_RATIO } from './constants.js'
import { makeSerialQueue } from './waiting.js'
import type { World } from './world.js'

/**
 * Append-only data file. A record is: mark (4 bytes), length (4), CRC-32 of the body (4), body (CBOR).
 *
 * Invariants:
 * - a record counts only once append() has completed, which means that it is synced;
 * - invalid bytes at the end without a valid record after them are a torn write and are truncated;
 * - invalid bytes with a valid record after them are corruption: the file's owner has lost its state.
 */
const RECORD_MARK = 0xc1a9f11e
const HEADER_BYTES = 12

/** Contents of an opened file; cut: length of the torn write at its end (bytes). */
export type DataFileContents = { records: unknown[]; damaged: boolean; cut: number; empty: boolean }

function encodeRecord(body: unknown): Uint8Array {
  const bytes = encode(body)
  const record = Buffer.allocUnsafe(HEADER_BYTES + bytes.length)
  record.writeUInt32BE(RECORD_MARK, 0)
  record.writeUInt32BE(bytes.length, 4)
  record.writeUInt32BE(crc32(bytes), 8)
  record.set(bytes, HEADER_BYTES)
  return record
}

/** Decodes the record at the offset, or returns undefined if there is no valid one. */
function decodeRecordAt(buffer: Buffer, offset: number): { body: unknown; end: number } | undefined {
  if (offset + HEADER_BYTES > buffer.length || buffer.readUInt32BE(offset) !== RECORD_MARK) return undefined
  const size = buffer.readUInt32BE(offset + 4)
  const end = offset + HEADER_BYTES + size
  if (end > buffer.length) return undefined
  const bytes = buffer.subarray(offset + HEADER_BYTES, end)
  if (crc32(bytes) !== buffer.readUInt32BE(offset + 8)) return undefined
  try {
    return { body: decode(bytes), end }
  } catch {
    return undefined
  }
}

/** Decodes all records; good: bytes up to the first invalid one; damaged: a valid record follows that. */
export function readRecords(bytes: Uint8Array): { records: unknown[]; good: number; damaged: boolean } {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
  const records: unknown[] = []
  let offset = 0
  while (offset < buffer.length) {
    const record = decodeRecordAt(buffer, offset)
    if (!record) break
    records.push(record.body)
    offset = record.end
  }
  for (let probeOffset = offset + 1; probeOffset < buffer.length; probeOffset++)
    if (decodeRecordAt(buffer, probeOffset)) return { records, good: offset, damaged: true }
  return { records, good: offset, damaged: false }
}

export type DataFile = {
  /** Reads all records, and truncates a torn write at the end. */
  open: () => Promise<DataFileContents>
  /** Completes once the record is synced. */
  append: (body: unknown) => Promise<void>
  /** Rewrites the file with the live records if it has grown too long; returns whether it did. */
  compact: (liveRecords: () => unknown[]) => Promise<boolean>
  /** Replaces all records of the file. */
  reset: (liveRecords: unknown[]) => Promise<void>
  size: () => number
}

export function makeDataFile(world: World, path: string): DataFile {
  /** Bytes in the file. */
  let size = 0
  /** Size of the file just after the last rewrite, or when it was opened. */
  let sizeAfterRewrite = 0
  const enqueue = makeSerialQueue()

  async function open(): Promise<DataFileContents> {
    const bytes = await world.disk.read(path)
    if (!bytes || bytes.length === 0) return { records: [], damaged: false, cut: 0, empty: true }
    const contents = readRecords(bytes)
    const tornBytes = bytes.length - contents.good
    if (!contents.damaged && tornBytes > 0) await world.disk.cut(path, contents.good)
    size = contents.good
    sizeAfterRewrite = contents.good
    return {
      records: contents.records,
      damaged: contents.damaged,
      cut: tornBytes,
      empty: contents.records.length === 0 && !contents.damaged,
    }
  }
  async function appendNow(body: unknown): Promise<void> {
    const bytes = encodeRecord(body)
    await world.disk.append(path, bytes)
    size += bytes.length
  }
  function append(body: unknown): Promise<void> {
    function run(): Promise<void> {
      return appendNow(body)
    }
    return enqueue(run)
  }
  async function rewrite(liveRecords: unknown[]): Promise<void> {
    const parts: Uint8Array[] = []
    for (const body of liveRecords) parts.push(encodeRecord(body))
    const fileBytes = Buffer.concat(parts)
    await world.disk.replace(path, fileBytes)
    size = fileBytes.length
    sizeAfterRewrite = fileBytes.length
  }
  function trim(liveRecords: () => unknown[]): Promise<boolean> {
    async function run(): Promise<boolean> {
      if (size < REWRITE_FLOOR_BYTES || size < sizeAfterRewrite * REWRITE_RATIO) return false
      await rewrite(liveRecords())
      return true
    }
    return enqueue(run)
  }
  function reset(liveRecords: unknown[]): Promise<void> {
    function run(): Promise<void> {
      return rewrite(liveRecords)
    }
    return enqueue(run)
  }
  function currentSize(): number {
    return size
  }
  return { open, append, compact: trim, reset, size: currentSize }
}
