import type { World } from '@claynotch/base'
import { hasExpired } from './lease-times.js'
import { admit, barredOf } from './lock-record.js'
import type { TableEdit, TableStore, TableValue } from './table-store.js'

/** Lets readers that were barred serve again once they hold the present version. */
export type AdmissionWatch<T> = {
  /** Takes a value that was committed, and admits who is back. */
  admitReturned: (value: TableValue<T>) => Promise<void>
}

/**
 * missing: readers that may hold a lease and didn't acknowledge a version; undefined: not all are known.
 *
 * Invariant: suspendedAt has the readers that are suspended, with the local time (ms) since which that is known here. Their writer
 * is given the time of two leases to come back to them.
 */
export function makeAdmissionWatch<T>(
  world: World,
  store: TableStore<T>,
  missing: (version: number) => Promise<string[] | undefined>,
): AdmissionWatch<T> {
  const suspendedAt = new Map<string, number>()

  function noteSuspended(suspended: string[]): void {
    for (const reader of suspendedAt.keys()) if (!suspended.includes(reader)) suspendedAt.delete(reader)
    for (const reader of suspended) if (!suspendedAt.has(reader)) suspendedAt.set(reader, world.now())
  }
  async function look({ lock, version }: TableValue<T>): Promise<void> {
    noteSuspended(lock.suspended ?? [])
    if (lock.lockType === 'WRITE' || barredOf(lock).length === 0) return
    const absent = await missing(version)
    if (!absent) return
    function isBack(reader: string): boolean {
      const at = suspendedAt.get(reader)
      if (at !== undefined && !hasExpired(world.now() - at, 2 * lock.readLeaseMs)) return false
      return !absent!.includes(reader)
    }
    const back = barredOf(lock).filter(isBack)
    if (back.length === 0) return
    function edit(now: TableValue<T>): ReturnType<TableEdit<T>> {
      const admitted = admit(now.lock, back)
      return admitted.ok && admitted.val !== now.lock ? { lock: admitted.val, table: now.table } : undefined
    }
    await store.change(edit)
  }
  return { admitReturned: look }
}
