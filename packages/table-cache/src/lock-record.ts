import { Err, Ok, type Result } from '@claynotch/base'
import * as t from 'io-ts'
import { hasPassed } from './lease-times.js'

/**
 * The lock record of one table, and what the five operations make of it. All are pure: the store commits what they return in
 * one compare-and-set with the table (docs/design/table-cache.md).
 *
 * Invariants:
 * - token never falls, and rises with each LockForWrite;
 * - holder is set while lockType is WRITE, and only then;
 * - readLeaseMs is no shorter than any read lease that may be out; under READ it is leaseMs;
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
  t.partial({ holder: t.string }),
])
export type LockRecord = t.TypeOf<typeof LockRecord>

/** Why an operation leaves the record as it is. */
export type LockRefusal = 'locked' | 'not locked' | 'held by another' | 'lease still runs'

/** Of a table that no node caches yet. */
export function unlockedRecord(tid: string): LockRecord {
  return { tid, lockType: 'NONE', leaseMs: 0, readLeaseMs: 0, token: 0 }
}

function withoutHolder({ holder: _holder, ...record }: LockRecord): LockRecord {
  return record
}

/** The record with the write lock gone: READ where readers may cache the table, with the lease that they had. */
function unlocked(record: LockRecord): LockRecord {
  const { readLeaseMs } = record
  return { ...withoutHolder(record), lockType: readLeaseMs > 0 ? 'READ' : 'NONE', leaseMs: readLeaseMs }
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

/** LockForWrite. The last read lease stays in the record, for whoever comes after this writer. */
export function lockForWrite(record: LockRecord, holder: string, leaseMs: number): Result<LockRecord, LockRefusal> {
  if (record.lockType === 'WRITE') return Err('locked')
  return Ok({ ...record, lockType: 'WRITE', leaseMs, holder, token: record.token + 1 })
}

/** Whether the write lock is held by this holder, whatever its token. */
export function isHeldBy(record: LockRecord, holder: string): boolean {
  return record.lockType === 'WRITE' && record.holder === holder
}

/** WriteAndUnlock: the record that is committed together with the new table, or with the old one to give the lock back. */
export function writeAndUnlock(record: LockRecord, holder: string, token: number): Result<LockRecord, LockRefusal> {
  if (record.lockType !== 'WRITE') return Err('not locked')
  if (record.holder !== holder || record.token !== token) return Err('held by another')
  return Ok(unlocked(record))
}

/** CleanOrphanLock. elapsedMs: time since this very token was seen, on the clock of whoever clears. */
export function cleanOrphanLock(record: LockRecord, token: number, elapsedMs: number): Result<LockRecord, LockRefusal> {
  if (record.lockType !== 'WRITE') return Err('not locked')
  if (record.token !== token) return Err('held by another')
  if (!hasPassed(elapsedMs, record.leaseMs)) return Err('lease still runs')
  return Ok(unlocked(record))
}
