import type { World } from '@claynotch/base'
import { hasExpired } from './lease-times.js'
import { cleanOrphanLock } from './lock-record.js'
import type { TableEdit, TableStore, TableValue } from './table-store.js'

/** Clears a write lock whose holder let its lease pass. */
export type OrphanWatch<T> = {
  /** Takes a value that was committed. */
  observe: (value: TableValue<T>) => void
  /** Clears the lock that was seen last if its lease has passed; whether it is cleared. */
  clearIfDue: () => Promise<boolean>
}

/** Invariant: seen is the write lock that stands as far as is known here, and since when (local time, ms) it is known. */
export function makeOrphanWatch<T>(world: World, store: TableStore<T>): OrphanWatch<T> {
  let seen: { token: number; leaseMs: number; at: number; version: number } | undefined

  function see({ lock, version }: TableValue<T>): void {
    if (seen && version < seen.version) return
    if (lock.lockType !== 'WRITE') seen = undefined
    else if (seen?.token !== lock.token) seen = { token: lock.token, leaseMs: lock.leaseMs, at: world.now(), version }
  }
  async function clearIfDue(): Promise<boolean> {
    const orphan = seen
    if (!orphan || !hasExpired(world.now() - orphan.at, orphan.leaseMs)) return false
    let isCleared = false
    function edit({ lock, table }: TableValue<T>): ReturnType<TableEdit<T>> {
      const cleared = cleanOrphanLock(lock, orphan!.token, world.now() - orphan!.at)
      isCleared = cleared.ok
      return cleared.ok ? { lock: cleared.val, table } : undefined
    }
    const committed = await store.change(edit)
    if (!committed.done) return false
    see(committed.value)
    if (isCleared) world.log.warn('orphan-lock-cleared', { table: committed.value.lock.tid, token: orphan.token })
    return isCleared
  }
  return { observe: see, clearIfDue }
}
