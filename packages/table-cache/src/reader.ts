import type { World } from '@claynotch/base'
import { isBarred, lockForRead, renewLease, type LockRecord } from './lock-record.js'
import type { TableEdit, TableStore, TableValue } from './table-store.js'

/**
 * A node's copy of a table, served from memory.
 *
 * Invariants: the cached value was committed, and its version never decreases; the lease runs from before the request
 * of a read that returned the table as READ, so it began before the commit of any write lock that the node doesn't know
 * of; a pushed value doesn't extend the lease.
 */
export type TableReader<T> = {
  /** Applies a committed value, for example from a push. */
  applyCommitted: (value: TableValue<T>) => void
  /** LockForRead and RenewLease: one read from a majority. Returns whether the lease was extended. */
  renew: () => Promise<boolean>
  /** Calls use synchronously if the lease is valid, else returns undefined. use mustn't keep any part of the table. */
  serve: <R>(use: (table: T, version: number) => R) => R | undefined
}

/** Whether a reader may serve a table under this record. leaseExpiresAt: on the same clock as now. */
export function mayServe(lock: LockRecord, reader: string, leaseExpiresAt: number, now: number): boolean {
  if (lock.lockType !== 'READ') return false
  if (isBarred(lock, reader)) return false
  return now < leaseExpiresAt
}

/**
 * Makes the reader of one node. name: the node's name in the lock record. acknowledge: reports to the store that this
 * node serves no version older than this one any more.
 */
export function makeTableReader<T>(
  world: World,
  name: string,
  store: TableStore<T>,
  readLeaseMs: number,
  acknowledge: (version: number) => void,
): TableReader<T> {
  let cached: TableValue<T> | undefined
  let leaseExpiresAt = -Infinity

  function applyCommitted(value: TableValue<T>): void {
    if (cached && value.version <= cached.version) return
    cached = value
    acknowledge(value.version)
  }
  function lockForReadEdit({ lock, table }: TableValue<T>): ReturnType<TableEdit<T>> {
    const locked = lockForRead(lock, readLeaseMs)
    return locked.ok && locked.val !== lock ? { lock: locked.val, table } : undefined
  }
  /** Reads the present value, and locks it for reading if no reader has done so yet. */
  async function readAndLock(): Promise<TableValue<T> | undefined> {
    const value = await store.read()
    if (value?.lock.lockType !== 'NONE') return value
    const committed = await store.change(lockForReadEdit)
    return committed.done ? committed.value : undefined
  }
  async function renew(): Promise<boolean> {
    const requestedAt = world.now()
    const value = await readAndLock()
    if (!value) return false
    applyCommitted(value)
    const lease = renewLease(value.lock)
    if (lease.err) return false
    leaseExpiresAt = Math.max(leaseExpiresAt, requestedAt + lease.val)
    return true
  }
  function serve<R>(use: (table: T, version: number) => R): R | undefined {
    if (!cached || !mayServe(cached.lock, name, leaseExpiresAt, world.now())) return undefined
    return use(cached.table, cached.version)
  }
  return { applyCommitted, renew, serve }
}
