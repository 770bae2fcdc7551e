import { Err, Ok, type Result } from '@claynotch/base'
import * as t from 'io-ts'
import { hasExpired } from './lease-times.js'

/**
 * The lock record of one table, and what the five operations make of it. All are pure: the store commits what they return in
 * one compare-and-set with the table (docs/design/table-cache.md).
 *
 * Invariants:
 * - token never falls, and rises with each LockForWrite;
 * - holder is set while lockType is WRITE, and only then;
 * - readLeaseMs is no shorter than any read lease that may be out; under READ it is leaseMs;
 * - who stands in suspended or excluded serves nothing under this record; who stands in excluded holds no lease on any version
 *   before the one that named it, either;
 * - admissions rises whenever a name leaves them;
 * - the table changes only together with the step from WRITE to another type, by the holder under its token.
 */
export const LockRecord = t.intersection([
  t.type({
    tid: t.string,
    lockType: t.keyof({ NONE: null, READ: null, WRITE: null }),
    // leaseMs: length of the lease of the present lock; each node counts it on its own clock.
    leaseMs: t.number,
    readLeaseMs: t.number,
    token: t.number,
  }),
  t.partial({
    holder: t.string,
    suspended: t.array(t.string),
    excluded: t.array(t.string),
    admissions: t.number,
    // claim: the writer that is about to lock. Others stand back while its lease runs; nothing else rests on it.
    claim: t.type({ holder: t.string, leaseMs: t.number }),
  }),
])
export type LockRecord = t.TypeOf<typeof LockRecord>

/** Why an operation leaves the record as it is. */
export type LockRefusal = 'locked' | 'not locked' | 'held by another' | 'lease still runs'

/** Of a table that no node caches yet. */
export function unlockedRecord(tid: string): LockRecord {
  return { tid, lockType: 'NONE', leaseMs: 0, readLeaseMs: 0, token: 0 }
}

function withoutWriter({ holder: _holder, claim: _claim, ...record }: LockRecord): LockRecord {
  return record
}

/** The record with the write lock gone: READ where readers may cache the table, with the lease that they had. */
function unlocked(record: LockRecord): LockRecord {
  const { readLeaseMs } = record
  return { ...withoutWriter(record), lockType: readLeaseMs > 0 ? 'READ' : 'NONE', leaseMs: readLeaseMs }
}

/** LockForRead: a record that is READ already stays as it is, whoever made it so. */
export function lockForRead(record: LockRecord, leaseMs: number): Result<LockRecord, LockRefusal> {
  if (record.lockType === 'WRITE') return Err('locked')
  if (record.lockType === 'READ') return Ok(record)
  return Ok({ ...record, lockType: 'READ', leaseMs, readLeaseMs: Math.max(leaseMs, record.readLeaseMs) })
}

/** RenewLease: for how long (ms, from before the record was asked for) a reader may serve what stands beside this record. */
export function renewLease(record: LockRecord): Result<number, LockRefusal> {
  if (record.lockType === 'READ') return Ok(record.leaseMs)
  return Err(record.lockType === 'WRITE' ? 'locked' : 'not locked')
}

/** The record of a writer that is about to lock. */
export function withClaim(record: LockRecord, holder: string, leaseMs: number): LockRecord {
  return { ...record, claim: { holder, leaseMs } }
}

/** Readers that don't answer are to serve nothing from this version on: their leases on those before run out. */
export function suspend(record: LockRecord, readers: string[]): Result<LockRecord, LockRefusal> {
  if (record.lockType === 'WRITE') return Err('locked')
  const suspended = new Set(record.suspended)
  for (const reader of readers) if (record.excluded?.includes(reader) !== true) suspended.add(reader)
  return Ok(suspended.size === 0 ? record : { ...record, suspended: [...suspended] })
}
export function isBarred({ suspended, excluded }: LockRecord, reader: string): boolean {
  return suspended?.includes(reader) === true || excluded?.includes(reader) === true
}
/** Readers that are suspended or excluded. */
export function barredOf({ suspended = [], excluded = [] }: LockRecord): string[] {
  return [...suspended, ...excluded]
}
/** Keeps those names that are still to be barred, and counts the admission of others. */
function barring(record: LockRecord, isBarredStill: (reader: string) => boolean): LockRecord {
  const suspended = (record.suspended ?? []).filter(isBarredStill)
  const excluded = (record.excluded ?? []).filter(isBarredStill)
  if (suspended.length + excluded.length === barredOf(record).length) return record
  return { ...record, suspended, excluded, admissions: (record.admissions ?? 0) + 1 }
}
/** Readers that are back, or gone for good, may serve again, under leases that they get from then on. */
export function admit(record: LockRecord, readers: string[]): Result<LockRecord, LockRefusal> {
  if (record.lockType === 'WRITE') return Err('locked')
  function isBarredStill(reader: string): boolean {
    return !readers.includes(reader)
  }
  return Ok(barring(record, isBarredStill))
}

/**
 * LockForWrite. The last read lease stays in the record, for whoever comes after this writer. waited: suspended readers whose
 * leases this writer waited out while nobody was admitted.
 */
export function lockForWrite(
  record: LockRecord,
  holder: string,
  leaseMs: number,
  waited: string[] = [],
): Result<LockRecord, LockRefusal> {
  if (record.lockType === 'WRITE') return Err('locked')
  const suspended: string[] = []
  const excluded = [...(record.excluded ?? [])]
  for (const reader of record.suspended ?? []) (waited.includes(reader) ? excluded : suspended).push(reader)
  const bars = barredOf(record).length > 0 ? { suspended, excluded } : {}
  return Ok({ ...record, ...bars, lockType: 'WRITE', leaseMs, holder, token: record.token + 1 })
}

/** Whether the write lock is held by this holder, whatever its token. */
export function isHeldBy(record: LockRecord, holder: string): boolean {
  return record.lockType === 'WRITE' && record.holder === holder
}

/**
 * WriteAndUnlock: the record that is committed together with the new table, or with the old one to give the lock back. missing:
 * readers that didn't acknowledge the lock, as far as is known; who did is admitted.
 */
export function writeAndUnlock(
  record: LockRecord,
  holder: string,
  token: number,
  missing?: string[],
): Result<LockRecord, LockRefusal> {
  if (record.lockType !== 'WRITE') return Err('not locked')
  if (record.holder !== holder || record.token !== token) return Err('held by another')
  function isBarredStill(reader: string): boolean {
    return missing?.includes(reader) !== false
  }
  return Ok(unlocked(barring(record, isBarredStill)))
}

/** CleanOrphanLock. elapsedMs: time since this very token was seen, on the clock of whoever clears. */
export function cleanOrphanLock(record: LockRecord, token: number, elapsedMs: number): Result<LockRecord, LockRefusal> {
  if (record.lockType !== 'WRITE') return Err('not locked')
  if (record.token !== token) return Err('held by another')
  if (!hasExpired(elapsedMs, record.leaseMs)) return Err('lease still runs')
  return Ok(unlocked(record))
}
