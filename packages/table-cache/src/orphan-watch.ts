import type { World } from '@claynotch/base'
import { hasExpired } from './lease-times.js'
import { cleanOrphanLock } from './lock-record.js'
import type { TableEdit, TableStore, TableValue } from './table-store.js'

/** Clears a write lock whose lease has expired. */
export type OrphanWatch<T> = {
  /** Records the lock of a committed value. */
  observe: (value: TableValue<T>) => void
  /** Clears the latest lock that was observed if its lease has expired. Returns whether the lock was cleared. */
  clearIfDue: () => Promise<boolean>
}

/**
 * Makes the watch of one node.
 *
 * Invariant: observed is the present write lock as far as this node knows, with the local time (ms) at which the node
 * first saw it.
 */
export function makeOrphanWatch<T>(world: World, store: TableStore<T>): OrphanWatch<T> {
  let observed: { token: number; leaseMs: number; observedAt: number; version: number } | undefined

  function observe({ lock, version }: TableValue<T>): void {
    if (observed && version < observed.version) return
    if (lock.lockType !== 'WRITE') observed = undefined
    else if (observed?.token !== lock.token)
      observed = { token: lock.token, leaseMs: lock.leaseMs, observedAt: world.now(), version }
  }
  async function clearIfDue(): Promise<boolean> {
    const orphan = observed
    if (!orphan || !hasExpired(world.now() - orphan.observedAt, orphan.leaseMs)) return false
    let isCleared = false
    function edit({ lock, table }: TableValue<T>): ReturnType<TableEdit<T>> {
      const cleared = cleanOrphanLock(lock, orphan!.token, world.now() - orphan!.observedAt)
      isCleared = cleared.ok
      return cleared.ok ? { lock: cleared.val, table } : undefined
    }
    const committed = await store.change(edit)
    if (!committed.done) return false
    observe(committed.value)
    if (isCleared) world.log.warn('orphan-lock-cleared', { table: committed.value.lock.tid, token: orphan.token })
    return isCleared
  }
  return { observe, clearIfDue }
}
