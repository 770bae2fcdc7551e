import type { World } from '@claynotch/base'
import { hasExpired } from './lease-times.js'
import { admit, barredOf } from './lock-record.js'
import type { TableEdit, TableStore, TableValue } from './table-store.js'

/** Admits suspended and excluded readers again once they hold the present version. */
export type AdmissionWatch<T> = {
  /** Handles a committed value: admits the barred readers that have returned. */
  admitReturned: (value: TableValue<T>) => Promise<void>
}

/**
 * Makes the watch of one node. missing: readers that may hold a lease and haven't acknowledged a version; undefined:
 * not all are known.
 *
 * Invariant: suspendedAt has the suspended readers, each with the local time (ms) at which this node first saw it as
 * suspended. They aren't admitted for two lease durations, so that the writer that suspended them can continue.
 */
export function makeAdmissionWatch<T>(
  world: World,
  store: TableStore<T>,
  missing: (version: number) => Promise<string[] | undefined>,
): AdmissionWatch<T> {
  const suspendedAt = new Map<string, number>()

  function recordSuspended(suspended: string[]): void {
    for (const reader of suspendedAt.keys()) if (!suspended.includes(reader)) suspendedAt.delete(reader)
    for (const reader of suspended) if (!suspendedAt.has(reader)) suspendedAt.set(reader, world.now())
  }
  async function admitReturned({ lock, version }: TableValue<T>): Promise<void> {
    recordSuspended(lock.suspended ?? [])
    if (lock.lockType === 'WRITE' || barredOf(lock).length === 0) return
    const missingReaders = await missing(version)
    if (!missingReaders) return
    function hasReturned(reader: string): boolean {
      const observedAt = suspendedAt.get(reader)
      if (observedAt !== undefined && !hasExpired(world.now() - observedAt, 2 * lock.readLeaseMs)) return false
      return !missingReaders!.includes(reader)
    }
    const returned = barredOf(lock).filter(hasReturned)
    if (returned.length === 0) return
    function edit(current: TableValue<T>): ReturnType<TableEdit<T>> {
      const admitted = admit(current.lock, returned)
      return admitted.ok && admitted.val !== current.lock ? { lock: admitted.val, table: current.table } : undefined
    }
    await store.change(edit)
  }
  return { admitReturned }
}
