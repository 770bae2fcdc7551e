import { Err, Ok, type Result } from '@claynotch/base'
import * as t from 'io-ts'
import { hasExpired } from './lease-times.js'

/**
 * Lock record of one table. The operations on it are pure: the store commits their result together with the table in
 * one compare-and-set (docs/design/table-cache.md).
 *
 * Invariants:
 * - token never decreases, and increases with each LockForWrite;
 * - holder is set if and only if lockType is WRITE;
 * - readLeaseMs is no shorter than any read lease that may be valid; under READ it equals leaseMs;
 * - a reader in suspended or excluded serves nothing under this record; a reader in excluded also holds no lease on any
 *   version before the one that excluded it;
 * - admissions increases whenever a name is removed from suspended or excluded;
 * - the table changes only in the transition from WRITE to another type, made by the holder under its token.
 */
export const LockRecord = t.intersection([
  t.type({
    tid: t.string,
    lockType: t.keyof({ NONE: null, READ: null, WRITE: null }),
    /** Lease duration of the present lock; each node measures it on its own clock. */
    leaseMs: t.number,
    readLeaseMs: t.number,
    token: t.number,
  }),
  t.partial({
    holder: t.string,
    suspended: t.array(t.string),
    excluded: t.array(t.string),
    admissions: t.number,
    /** The writer that is about to lock. Other writers wait until its lease expires; nothing else depends on it. */
    claim: t.type({ holder: t.string, leaseMs: t.number }),
  }),
])
export type LockRecord = t.TypeOf<typeof LockRecord>

/** Why an operation is rejected. */
export type LockRejection = 'locked' | 'not locked' | 'held by another' | 'lease still runs'

/** The record of a table that no node caches yet. */
export function unlockedRecord(tid: string): LockRecord {
  return { tid, lockType: 'NONE', leaseMs: 0, readLeaseMs: 0, token: 0 }
}

function withoutWriter({ holder: _holder, claim: _claim, ...record }: LockRecord): LockRecord {
  return record
}

/** The record after the write lock is released: READ, with the readers' lease, if readers may cache the table. */
function unlocked(record: LockRecord): LockRecord {
  const { readLeaseMs } = record
  return { ...withoutWriter(record), lockType: readLeaseMs > 0 ? 'READ' : 'NONE', leaseMs: readLeaseMs }
}

/** LockForRead. A record that is READ already is returned unchanged, whoever locked it. */
export function lockForRead(record: LockRecord, leaseMs: number): Result<LockRecord, LockRejection> {
  if (record.lockType === 'WRITE') return Err('locked')
  if (record.lockType === 'READ') return Ok(record)
  return Ok({ ...record, lockType: 'READ', leaseMs, readLeaseMs: Math.max(leaseMs, record.readLeaseMs) })
}

/** RenewLease: the time (ms, from before the record was requested) for which a reader may serve this version. */
export function renewLease(record: LockRecord): Result<number, LockRejection> {
  if (record.lockType === 'READ') return Ok(record.leaseMs)
  return Err(record.lockType === 'WRITE' ? 'locked' : 'not locked')
}

/** The record with a writer's claim. */
export function withClaim(record: LockRecord, holder: string, leaseMs: number): LockRecord {
  return { ...record, claim: { holder, leaseMs } }
}

/** Suspends readers that don't answer: they may serve nothing from this version on, and their older leases expire. */
export function suspend(record: LockRecord, readers: string[]): Result<LockRecord, LockRejection> {
  if (record.lockType === 'WRITE') return Err('locked')
  const suspended = new Set(record.suspended)
  for (const reader of readers) if (record.excluded?.includes(reader) !== true) suspended.add(reader)
  return Ok(suspended.size === 0 ? record : { ...record, suspended: [...suspended] })
}
/** Whether a reader is suspended or excluded. */
export function isBarred({ suspended, excluded }: LockRecord, reader: string): boolean {
  return suspended?.includes(reader) === true || excluded?.includes(reader) === true
}
/** Readers that are suspended or excluded. */
export function barredOf({ suspended = [], excluded = [] }: LockRecord): string[] {
  return [...suspended, ...excluded]
}
/** Admits the readers for which isStillBarred is false, and counts an admission if there are any. */
function keepBarred(record: LockRecord, isStillBarred: (reader: string) => boolean): LockRecord {
  const suspended = (record.suspended ?? []).filter(isStillBarred)
  const excluded = (record.excluded ?? []).filter(isStillBarred)
  if (suspended.length + excluded.length === barredOf(record).length) return record
  return { ...record, suspended, excluded, admissions: (record.admissions ?? 0) + 1 }
}
/** Admits readers that have returned or are gone for good: they may serve again, under leases acquired from then on. */
export function admit(record: LockRecord, readers: string[]): Result<LockRecord, LockRejection> {
  if (record.lockType === 'WRITE') return Err('locked')
  function isStillBarred(reader: string): boolean {
    return !readers.includes(reader)
  }
  return Ok(keepBarred(record, isStillBarred))
}

/**
 * LockForWrite. The read lease stays in the record for the time after this writer. expiredReaders: suspended readers
 * whose leases expired while this writer waited and no reader was admitted; they become excluded.
 */
export function lockForWrite(
  record: LockRecord,
  holder: string,
  leaseMs: number,
  expiredReaders: string[] = [],
): Result<LockRecord, LockRejection> {
  if (record.lockType === 'WRITE') return Err('locked')
  const suspended: string[] = []
  const excluded = [...(record.excluded ?? [])]
  for (const reader of record.suspended ?? []) (expiredReaders.includes(reader) ? excluded : suspended).push(reader)
  const barredFields = barredOf(record).length > 0 ? { suspended, excluded } : {}
  return Ok({ ...record, ...barredFields, lockType: 'WRITE', leaseMs, holder, token: record.token + 1 })
}

/** Whether the write lock is held by this holder, whatever its token. */
export function isHeldBy(record: LockRecord, holder: string): boolean {
  return record.lockType === 'WRITE' && record.holder === holder
}

/**
 * WriteAndUnlock: the record to commit together with the new table, or with the old table to release the lock only.
 * missing: the readers that haven't acknowledged the lock; all others are admitted. undefined: not known; none is
 * admitted.
 */
export function writeAndUnlock(
  record: LockRecord,
  holder: string,
  token: number,
  missing?: string[],
): Result<LockRecord, LockRejection> {
  if (record.lockType !== 'WRITE') return Err('not locked')
  if (record.holder !== holder || record.token !== token) return Err('held by another')
  function isStillBarred(reader: string): boolean {
    return missing?.includes(reader) !== false
  }
  return Ok(unlocked(keepBarred(record, isStillBarred)))
}

/** CleanOrphanLock. elapsedMs: time since the caller first saw this token, on the caller's clock. */
export function cleanOrphanLock(
  record: LockRecord,
  token: number,
  elapsedMs: number,
): Result<LockRecord, LockRejection> {
  if (record.lockType !== 'WRITE') return Err('not locked')
  if (record.token !== token) return Err('held by another')
  if (!hasExpired(elapsedMs, record.leaseMs)) return Err('lease still runs')
  return Ok(unlocked(record))
}
