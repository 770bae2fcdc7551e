import {
  ANNOUNCEMENT_ACK_TIMEOUT_MS,
  ANNOUNCEMENT_POLL_INTERVAL_MS,
  LOCK_CLAIM_MARGIN_MS,
  INITIAL_LOCK_WAIT_MS,
  LOCK_POLL_INTERVAL_MS,
  pause,
  TABLE_CHANGE_TIMEOUT_MS,
  type World,
} from '@claynotch/base'
import { hasExpired } from './lease-times.js'
import { barredOf, isHeldBy, lockForWrite, suspend, withClaim, writeAndUnlock } from './lock-record.js'
import { makeOrphanWatch } from './orphan-watch.js'
import type { TableEdit, TableStore, TableValue } from './table-store.js'

/**
 * Result of a change for one table. verdict: the caller's answer. table: the new table; missing if nothing changes.
 * isNote: readers behave the same with the old and the new table, so it is written without the lock.
 */
export type ChangeResult<T, V> = { verdict: V; table?: T; needsNoLock?: boolean }

/**
 * Computes a change; pure. It may be called again with later tables, and must then recognise its own earlier effect
 * and give the same verdict as before.
 */
export type TableChange<T, V> = (table: T) => ChangeResult<T, V>

/** What a writer needs from its node. */
export type WriterView<T> = {
  /** Name of the node, unique to this life of the node. */
  name: string
  store: TableStore<T>
  /** Readers that may hold a lease and haven't acknowledged this or a later version; undefined: not all are known. */
  unacknowledgedReaders: (version: number) => Promise<string[] | undefined>
}

/**
 * Changes a table under its write lock. Changes that arrive while the lock is being acquired or held are written
 * together under it.
 *
 * Invariants: the table is changed only by a commit that checks that this attempt holds the lock; before that commit,
 * each reader has stopped serving the table or its lease has expired. Every change is answered, and a verdict is always
 * based on a committed value.
 */
export type TableWriter<T> = {
  /** Returns the verdict; undefined: the change may have been committed or not, and may still be. */
  change: <V>(change: TableChange<T, V>) => Promise<V | undefined>
}

/**
 * A change that isn't answered yet. settle: answers with the verdict of the last evaluation. drop: answers that the
 * outcome is unknown. deadline: local time (ms).
 */
type PendingChange<T> = {
  evaluate: (table: T) => ChangeResult<T, unknown>
  settle: () => void
  drop: () => void
  deadline: number
}

/** A lock that this writer holds. committedAt: local time (ms) at which the writer learnt that it was committed. */
type HeldLock<T> = { holder: string; value: TableValue<T>; committedAt: number }

/**
 * A completed announcement. expiredReaders: suspended readers whose leases have expired; valid while the record's count
 * of admissions is this one.
 */
type Announcement = { holder: string; expiredReaders: string[]; admissions: number }

/** unacknowledged: a reader didn't acknowledge the lock in time. blocked: no lock, or the store didn't answer. */
type AttemptOutcome = 'written' | 'unacknowledged' | 'blocked'

/** Makes the writer of one node. */
export function makeTableWriter<T>(world: World, view: WriterView<T>): TableWriter<T> {
  const { store } = view
  const orphans = makeOrphanWatch(world, store)
  const pendingChanges = new Set<PendingChange<T>>()
  let isProcessing = false
  /** The claim of another writer, and the local time (ms) at which this writer first saw it. */
  let observedClaim: { holder: string; leaseMs: number; observedAt: number } | undefined
  let attempts = 0

  // --- pending changes ---

  function makePendingChange<V>(
    change: TableChange<T, V>,
    resolve: (verdict: V | undefined) => void,
  ): PendingChange<T> {
    let verdict: V | undefined
    function evaluate(table: T): ChangeResult<T, V> {
      const result = change(table)
      verdict = result.verdict
      return result
    }
    function settle(): void {
      resolve(verdict)
    }
    function drop(): void {
      resolve(undefined)
    }
    return { evaluate, settle, drop, deadline: world.now() + TABLE_CHANGE_TIMEOUT_MS }
  }
  function settleAll(changes: Iterable<PendingChange<T>>): void {
    for (const change of [...changes]) {
      pendingChanges.delete(change)
      change.settle()
    }
  }
  function dropExpired(): void {
    for (const change of [...pendingChanges]) {
      if (world.now() < change.deadline) continue
      pendingChanges.delete(change)
      change.drop()
    }
  }
  /**
   * Settles the changes that need no lock, because they change nothing or nothing that matters to readers. Returns
   * whether this writer may try to acquire the lock.
   */
  async function settleWithoutLock(): Promise<boolean> {
    const changesBeforeRead = [...pendingChanges]
    const current = await store.read()
    if (!current) return false
    orphans.observe(current)
    const noOps: PendingChange<T>[] = []
    const lockFreeChanges: PendingChange<T>[] = []
    for (const change of changesBeforeRead) {
      const { table, needsNoLock } = change.evaluate(current.table)
      if (table === undefined) noOps.push(change)
      else if (needsNoLock) lockFreeChanges.push(change)
    }
    settleAll(noOps)
    return (lockFreeChanges.length === 0 || (await writeWithoutLock(lockFreeChanges))) && !isLockTaken(current)
  }
  /** Writes changes without the lock, and leaves the lock unchanged, whoever holds it. */
  async function writeWithoutLock(lockFreeChanges: PendingChange<T>[]): Promise<boolean> {
    let written: PendingChange<T>[] = []
    function edit({ lock, table }: TableValue<T>): ReturnType<TableEdit<T>> {
      written = []
      let next = table
      for (const change of lockFreeChanges) {
        const result = change.evaluate(next)
        // The table has changed since it was read, and this change now needs the lock.
        if (result.table !== undefined && !result.needsNoLock) continue
        next = result.table ?? next
        written.push(change)
      }
      return next === table ? undefined : { lock, table: next }
    }
    const committed = await store.change(edit)
    if (committed.done) settleAll(written)
    return committed.done
  }

  // --- the lock ---

  /** Whether another writer holds the lock or has a claim on it that hasn't expired. */
  function isLockTaken({ lock }: TableValue<T>): boolean {
    if (lock.lockType === 'WRITE') return true
    const { claim } = lock
    if (!claim || claim.holder.startsWith(`${view.name}#`)) return false
    if (observedClaim?.holder !== claim.holder || observedClaim.leaseMs !== claim.leaseMs)
      observedClaim = { ...claim, observedAt: world.now() }
    return !hasExpired(world.now() - observedClaim.observedAt, claim.leaseMs)
  }
  /** Commits a version that changes only the lock record: sets this writer's claim and suspends these readers. */
  async function commitClaim(
    holder: string,
    leaseMs: number,
    readers: string[],
  ): Promise<{ value: TableValue<T>; committedAt: number } | undefined> {
    let isFree = false
    function edit(current: TableValue<T>): ReturnType<TableEdit<T>> {
      const suspended = suspend(current.lock, readers)
      isFree = suspended.ok && !isLockTaken(current)
      return suspended.ok && isFree
        ? { lock: withClaim(suspended.val, holder, leaseMs), table: current.table }
        : undefined
    }
    const committed = await store.change(edit)
    if (!committed.done) return undefined
    orphans.observe(committed.value)
    return isFree ? { value: committed.value, committedAt: world.now() } : undefined
  }
  /**
   * Waits until no reader may serve a version before this one: until all have acknowledged it, except for excluded
   * readers, which hold no lease, or until the last read lease has expired. Returns the readers that still may after
   * timeoutMs; undefined: not all are known. committedAt: local time (ms), no earlier than the commit.
   */
  async function awaitReaders(
    { value, committedAt }: { value: TableValue<T>; committedAt: number },
    timeoutMs: number,
    pollIntervalMs: number,
  ): Promise<string[] | undefined> {
    const { excluded = [], readLeaseMs } = value.lock
    function isNotExcluded(reader: string): boolean {
      return !excluded.includes(reader)
    }
    for (;;) {
      if (hasExpired(world.now() - committedAt, readLeaseMs)) return []
      const missing = (await view.unacknowledgedReaders(value.version))?.filter(isNotExcluded)
      if (missing?.length === 0) return []
      if (world.now() - committedAt >= timeoutMs) return missing
      await pause(world, pollIntervalMs)
    }
  }
  /**
   * Commits a version with an unchanged table. Readers that don't acknowledge it are suspended and this waits until
   * their leases expire, while all other readers continue to serve. undefined: another writer holds or claims the lock,
   * or the outcome is unknown.
   */
  async function announce(): Promise<Announcement | undefined> {
    const holder = `${view.name}#${++attempts}`
    const claimed = await commitClaim(holder, LOCK_CLAIM_MARGIN_MS, [])
    if (!claimed) return undefined
    let missing = await awaitReaders(claimed, ANNOUNCEMENT_ACK_TIMEOUT_MS, LOCK_POLL_INTERVAL_MS)
    while (missing === undefined) {
      await pause(world, ANNOUNCEMENT_POLL_INTERVAL_MS)
      missing = await awaitReaders(claimed, ANNOUNCEMENT_ACK_TIMEOUT_MS, ANNOUNCEMENT_POLL_INTERVAL_MS)
    }
    if (missing.length === 0) return { holder, expiredReaders: [], admissions: 0 }
    const suspended = await commitClaim(holder, claimed.value.lock.readLeaseMs + LOCK_CLAIM_MARGIN_MS, missing)
    if (!suspended) return undefined
    await awaitReaders(suspended, Infinity, ANNOUNCEMENT_POLL_INTERVAL_MS)
    const { lock } = suspended.value
    return { holder, expiredReaders: lock.suspended ?? [], admissions: lock.admissions ?? 0 }
  }
  /** Acquires the write lock after an announcement; undefined: another writer has it, or the outcome is unknown. */
  async function acquireLock(
    { holder, expiredReaders, admissions }: Announcement,
    ackTimeoutMs: number,
  ): Promise<HeldLock<T> | undefined> {
    function edit({ lock, table }: TableValue<T>): ReturnType<TableEdit<T>> {
      if (isHeldBy(lock, holder)) return undefined
      // A reader that was admitted since then and suspended again may have a new lease.
      const isWaitStillValid = (lock.admissions ?? 0) === admissions
      const locked = lockForWrite(lock, holder, 2 * ackTimeoutMs, isWaitStillValid ? expiredReaders : [])
      return locked.ok ? { lock: locked.val, table } : undefined
    }
    const committed = await store.change(edit)
    if (!committed.done) return undefined
    const { value } = committed
    orphans.observe(value)
    return isHeldBy(value.lock, holder) ? { holder, value, committedAt: world.now() } : undefined
  }
  /** Applies the changes to the table and releases the lock in one commit; without changes, only releases the lock. */
  async function writeAndRelease({ holder, value }: HeldLock<T>, changes: PendingChange<T>[]): Promise<boolean> {
    const missing = barredOf(value.lock).length > 0 ? await view.unacknowledgedReaders(value.version) : []
    let isHeld = false
    function edit(current: TableValue<T>): ReturnType<TableEdit<T>> {
      const unlocked = writeAndUnlock(current.lock, holder, value.lock.token, missing)
      isHeld = unlocked.ok
      if (unlocked.err) return undefined
      let { table } = current
      for (const change of changes) table = change.evaluate(table).table ?? table
      return { lock: unlocked.val, table }
    }
    const committed = await store.change(edit)
    if (!committed.done) return false
    orphans.observe(committed.value)
    return isHeld
  }
  /** One attempt to write all pending changes under the lock. */
  async function attempt(ackTimeoutMs: number): Promise<AttemptOutcome> {
    const announcement = await announce()
    if (!announcement) return 'blocked'
    const heldLock = await acquireLock(announcement, ackTimeoutMs)
    if (!heldLock) return 'blocked'
    const missing = await awaitReaders(heldLock, ackTimeoutMs, LOCK_POLL_INTERVAL_MS)
    if (missing?.length !== 0) {
      await writeAndRelease(heldLock, [])
      return 'unacknowledged'
    }
    const changes = [...pendingChanges]
    // A change that was committed although the answer was lost recognises its own effect in the next attempt.
    if (!(await writeAndRelease(heldLock, changes))) return 'blocked'
    settleAll(changes)
    return 'written'
  }
  /** Retries until no change is pending; the timeout for acknowledgements doubles each time that it runs out. */
  async function attemptUntilDone(): Promise<void> {
    let ackTimeoutMs = INITIAL_LOCK_WAIT_MS
    for (;;) {
      dropExpired()
      if (pendingChanges.size === 0) return
      const isFree = await settleWithoutLock()
      if (pendingChanges.size === 0) return
      const outcome = isFree ? await attempt(ackTimeoutMs) : 'blocked'
      if (outcome === 'unacknowledged') ackTimeoutMs *= 2
      if (outcome === 'blocked' && !(await orphans.clearIfDue())) await pause(world, ANNOUNCEMENT_POLL_INTERVAL_MS)
    }
  }
  /** Processes changes until none is pending. If the store throws, which is a bug, all callers are answered. */
  async function processPending(): Promise<void> {
    if (isProcessing) return
    isProcessing = true
    try {
      while (pendingChanges.size > 0) await attemptUntilDone()
    } catch (e) {
      world.log.error('table-writer-fault', { why: (e as Error).stack ?? String(e) })
      for (const change of pendingChanges) change.drop()
      pendingChanges.clear()
    }
    isProcessing = false
  }
  function change<V>(tableChange: TableChange<T, V>): Promise<V | undefined> {
    function start(resolve: (verdict: V | undefined) => void): void {
      pendingChanges.add(makePendingChange(tableChange, resolve))
      void processPending()
    }
    return new Promise(start)
  }
  return { change }
}
