import type { World } from '@claynotch/base'
import { isBarred, lockForRead, renewLease, type LockRecord } from './lock-record.js'
import type { TableEdit, TableStore, TableValue } from './table-store.js'

/**
 * A node's copy of a table, served from memory.
 *
 * Invariants: what is held was committed, and its version never falls; the lease runs from before a read was asked that showed
 * the table READ, so it began before the commit of any write lock that the node does not know of; a value that the node only
 * heard of extends nothing.
 */
export type TableReader<T> = {
  /** Takes a value that was committed, as pushes bring it. */
  applyCommitted: (value: TableValue<T>) => void
  /** LockForRead and RenewLease: one read of a majority; whether the lease was extended. */
  renew: () => Promise<boolean>
  /** Runs this with the table at once where the lease holds now; undefined where it doesn't. Nothing of the table outlives it. */
  serve: <R>(use: (table: T, version: number) => R) => R | undefined
}

/** Whether a reader may serve a table now under this record. leaseEndsAt: on the same clock as now. */
export function mayServe(lock: LockRecord, reader: string, leaseEndsAt: number, now: number): boolean {
  if (lock.lockType !== 'READ') return false
  if (isBarred(lock, reader)) return false
  return now < leaseEndsAt
}

/** name: of the node, as the record has it. acknowledge: tells the store's keepers that nothing older than this version is served here any more. */
export function makeTableReader<T>(
  world: World,
  name: string,
  store: TableStore<T>,
  readLeaseMs: number,
  acknowledge: (version: number) => void,
): TableReader<T> {
  let held: TableValue<T> | undefined
  let leaseEndsAt = -Infinity

  function hear(value: TableValue<T>): void {
    if (held && value.version <= held.version) return
    held = value
    acknowledge(value.version)
  }
  function lockEdit({ lock, table }: TableValue<T>): ReturnType<TableEdit<T>> {
    const locked = lockForRead(lock, readLeaseMs)
    return locked.ok && locked.val !== lock ? { lock: locked.val, table } : undefined
  }
  /** The present value, locked for reading where no reader has done so yet. */
  async function readLocked(): Promise<TableValue<T> | undefined> {
    const shown = await store.read()
    if (shown?.lock.lockType !== 'NONE') return shown
    const committed = await store.change(lockEdit)
    return committed.done ? committed.value : undefined
  }
  async function renew(): Promise<boolean> {
    const askedAt = world.now()
    const shown = await readLocked()
    if (!shown) return false
    hear(shown)
    const lease = renewLease(shown.lock)
    if (lease.err) return false
    leaseEndsAt = Math.max(leaseEndsAt, askedAt + lease.val)
    return true
  }
  function serve<R>(use: (table: T, version: number) => R): R | undefined {
    if (!held || !mayServe(held.lock, name, leaseEndsAt, world.now())) return undefined
    return use(held.table, held.version)
  }
  return { applyCommitted: hear, renew, serve }
}
