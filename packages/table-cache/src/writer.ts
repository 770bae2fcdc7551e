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
 * What a change comes to on a table: its verdict, and the table that it makes; none where it changes nothing. isNote: readers
 * work by both tables alike, so it is written without the lock.
 */
export type ChangeResult<T, V> = { verdict: V; table?: T; needsNoLock?: boolean }

/** Pure, and asked anew for each table: it finds its own earlier effect and says then what it said before. */
export type TableChange<T, V> = (table: T) => ChangeResult<T, V>

/** What a writer needs of its node. */
export type WriterView<T> = {
  /** Names this life of this node. */
  name: string
  store: TableStore<T>
  /** Readers that may hold a lease and didn't acknowledge this version or a later one; undefined: not all are known. */
  unacknowledgedReaders: (version: number) => Promise<string[] | undefined>
}

/**
 * Changes a table under its write lock. Changes that come while a lock is taken or held are made together under it.
 *
 * Invariants: the table is changed only by a commit that checks that the lock is held by this very attempt; before it, each
 * reader gave the table up or its lease has passed. Every change is answered, and a verdict rests on a committed value.
 */
export type TableWriter<T> = {
  /** The verdict; undefined: it may have been made or not, and may yet be. */
  change: <V>(change: TableChange<T, V>) => Promise<V | undefined>
}

/** One change that has no verdict yet. settle: the verdict of the last judging stands. */
type Pending<T> = { judge: (table: T) => ChangeResult<T, unknown>; settle: () => void; drop: () => void; endsAt: number }

/** A lock that this writer holds. since: local time (ms) at which it knew it committed. */
type HeldLock<T> = { holder: string; value: TableValue<T>; since: number }

/** waited: suspended readers whose leases are over, as long as nobody is admitted after this many admissions. */
type Announced = { holder: string; waited: string[]; admissions: number }

type AttemptEnd = 'written' | 'readers' | 'blocked'

export function makeTableWriter<T>(world: World, view: WriterView<T>): TableWriter<T> {
  const { store } = view
  const orphans = makeOrphanWatch(world, store)
  const pending = new Set<Pending<T>>()
  let isWorking = false
  // claimed: another writer's claim, and since when (local time, ms) it is known here.
  let claimed: { holder: string; leaseMs: number; at: number } | undefined
  let attempts = 0

  // --- changes that wait ---

  function pendingOf<V>(change: TableChange<T, V>, done: (verdict: V | undefined) => void): Pending<T> {
    let verdict: V | undefined
    function judge(table: T): ChangeResult<T, V> {
      const judgement = change(table)
      verdict = judgement.verdict
      return judgement
    }
    function settle(): void {
      done(verdict)
    }
    function drop(): void {
      done(undefined)
    }
    return { judge, settle, drop, endsAt: world.now() + TABLE_CHANGE_TIMEOUT_MS }
  }
  function settleAll(these: Iterable<Pending<T>>): void {
    for (const one of [...these]) {
      pending.delete(one)
      one.settle()
    }
  }
  function dropLate(): void {
    for (const one of [...pending]) {
      if (world.now() < one.endsAt) continue
      pending.delete(one)
      one.drop()
    }
  }
  /** Ends those that need no lock, as readers don't see what they change; whether this writer may try to lock. */
  async function settleUnlocked(): Promise<boolean> {
    const asked = [...pending]
    const now = await store.read()
    if (!now) return false
    orphans.observe(now)
    const idle: Pending<T>[] = []
    const notes: Pending<T>[] = []
    for (const one of asked) {
      const { table, needsNoLock: isNote } = one.judge(now.table)
      if (table === undefined) idle.push(one)
      else if (isNote) notes.push(one)
    }
    settleAll(idle)
    return (notes.length === 0 || (await writeNotes(notes))) && !isTaken(now)
  }
  /** The lock stays as it is, whoever holds it. */
  async function writeNotes(notes: Pending<T>[]): Promise<boolean> {
    let written: Pending<T>[] = []
    function edit({ lock, table }: TableValue<T>): ReturnType<TableEdit<T>> {
      written = []
      let next = table
      for (const one of notes) {
        const judgement = one.judge(next)
        // The table changed meanwhile, and this one would now change it too.
        if (judgement.table !== undefined && !judgement.needsNoLock) continue
        next = judgement.table ?? next
        written.push(one)
      }
      return next === table ? undefined : { lock, table: next }
    }
    const committed = await store.change(edit)
    if (committed.done) settleAll(written)
    return committed.done
  }

  // --- the lock ---

  /** Whether another writer holds the lock, or is about to. */
  function isTaken({ lock }: TableValue<T>): boolean {
    if (lock.lockType === 'WRITE') return true
    const { claim } = lock
    if (!claim || claim.holder.startsWith(`${view.name}#`)) return false
    if (claimed?.holder !== claim.holder || claimed.leaseMs !== claim.leaseMs) claimed = { ...claim, at: world.now() }
    return !hasExpired(world.now() - claimed.at, claim.leaseMs)
  }
  /** A version that changes nothing but the lock: the claim, and these readers suspended. */
  async function commitClaim(
    holder: string,
    leaseMs: number,
    readers: string[],
  ): Promise<{ value: TableValue<T>; since: number } | undefined> {
    let isFree = false
    function edit(now: TableValue<T>): ReturnType<TableEdit<T>> {
      const suspended = suspend(now.lock, readers)
      isFree = suspended.ok && !isTaken(now)
      return suspended.ok && isFree ? { lock: withClaim(suspended.val, holder, leaseMs), table: now.table } : undefined
    }
    const committed = await store.change(edit)
    if (!committed.done) return undefined
    orphans.observe(committed.value)
    return isFree ? { value: committed.value, since: world.now() } : undefined
  }
  /**
   * Readers that may serve a version before this one; none once the last read lease is over. since: local time (ms) after its
   * commit. waitMs: how long this may wait for there to be none.
   */
  async function awaitReaders(
    { value, since }: { value: TableValue<T>; since: number },
    waitMs: number,
    pollMs: number,
  ): Promise<string[] | undefined> {
    const { excluded = [], readLeaseMs } = value.lock
    function isNotExcluded(reader: string): boolean {
      return !excluded.includes(reader)
    }
    for (;;) {
      if (hasExpired(world.now() - since, readLeaseMs)) return []
      const missing = (await view.unacknowledgedReaders(value.version))?.filter(isNotExcluded)
      if (missing?.length === 0) return []
      if (world.now() - since >= waitMs) return missing
      await pause(world, pollMs)
    }
  }
  /**
   * A version with nothing new. Readers that don't acknowledge it are suspended, and their leases waited out, while all others
   * serve. Undefined: another holds the lock, or it is not known.
   */
  async function announce(): Promise<Announced | undefined> {
    const holder = `${view.name}#${++attempts}`
    const announced = await commitClaim(holder, LOCK_CLAIM_MARGIN_MS, [])
    if (!announced) return undefined
    let missing = await awaitReaders(announced, ANNOUNCEMENT_ACK_TIMEOUT_MS, LOCK_POLL_INTERVAL_MS)
    while (missing === undefined) {
      await pause(world, ANNOUNCEMENT_POLL_INTERVAL_MS)
      missing = await awaitReaders(announced, ANNOUNCEMENT_ACK_TIMEOUT_MS, ANNOUNCEMENT_POLL_INTERVAL_MS)
    }
    if (missing.length === 0) return { holder, waited: [], admissions: 0 }
    const suspended = await commitClaim(holder, announced.value.lock.readLeaseMs + LOCK_CLAIM_MARGIN_MS, missing)
    if (!suspended) return undefined
    await awaitReaders(suspended, Infinity, ANNOUNCEMENT_POLL_INTERVAL_MS)
    const { lock } = suspended.value
    return { holder, waited: lock.suspended ?? [], admissions: lock.admissions ?? 0 }
  }
  async function lock({ holder, waited, admissions }: Announced, patienceMs: number): Promise<HeldLock<T> | undefined> {
    function edit({ lock, table }: TableValue<T>): ReturnType<TableEdit<T>> {
      if (isHeldBy(lock, holder)) return undefined
      // Who was admitted since, and suspended again, may have a new lease.
      const isStill = (lock.admissions ?? 0) === admissions
      const locked = lockForWrite(lock, holder, 2 * patienceMs, isStill ? waited : [])
      return locked.ok ? { lock: locked.val, table } : undefined
    }
    const committed = await store.change(edit)
    if (!committed.done) return undefined
    const { value } = committed
    orphans.observe(value)
    return isHeldBy(value.lock, holder) ? { holder, value, since: world.now() } : undefined
  }
  /** Change and unlock in one: what the pending changes make of the table, or the table as it is to give the lock back. */
  async function unlock({ holder, value }: HeldLock<T>, changes: Pending<T>[]): Promise<boolean> {
    const missing = barredOf(value.lock).length > 0 ? await view.unacknowledgedReaders(value.version) : []
    let isHeld = false
    function edit(now: TableValue<T>): ReturnType<TableEdit<T>> {
      const unlocked = writeAndUnlock(now.lock, holder, value.lock.token, missing)
      isHeld = unlocked.ok
      if (unlocked.err) return undefined
      let { table } = now
      for (const one of changes) table = one.judge(table).table ?? table
      return { lock: unlocked.val, table }
    }
    const committed = await store.change(edit)
    if (!committed.done) return false
    orphans.observe(committed.value)
    return isHeld
  }
  async function attempt(patienceMs: number): Promise<AttemptEnd> {
    const announced = await announce()
    if (!announced) return 'blocked'
    const held = await lock(announced, patienceMs)
    if (!held) return 'blocked'
    const missing = await awaitReaders(held, patienceMs, LOCK_POLL_INTERVAL_MS)
    if (missing?.length !== 0) {
      await unlock(held, [])
      return 'readers'
    }
    const changes = [...pending]
    // One that was made by a commit whose answer was lost finds itself when it is judged anew.
    if (!(await unlock(held, changes))) return 'blocked'
    settleAll(changes)
    return 'written'
  }
  async function work(): Promise<void> {
    let patienceMs = INITIAL_LOCK_WAIT_MS
    for (;;) {
      dropLate()
      if (pending.size === 0) return
      const isFree = await settleUnlocked()
      if (pending.size === 0) return
      const end = isFree ? await attempt(patienceMs) : 'blocked'
      if (end === 'readers') patienceMs *= 2
      if (end === 'blocked' && !(await orphans.clearIfDue())) await pause(world, ANNOUNCEMENT_POLL_INTERVAL_MS)
    }
  }
  /** Works until nothing is pending. A store that throws is a fault of ours: callers are not left waiting for it. */
  async function workOff(): Promise<void> {
    if (isWorking) return
    isWorking = true
    try {
      while (pending.size > 0) await work()
    } catch (e) {
      world.log.error('table-writer-fault', { why: (e as Error).stack ?? String(e) })
      for (const one of pending) one.drop()
      pending.clear()
    }
    isWorking = false
  }
  function change<V>(one: TableChange<T, V>): Promise<V | undefined> {
    function start(done: (verdict: V | undefined) => void): void {
      pending.add(pendingOf(one, done))
      void workOff()
    }
    return new Promise(start)
  }
  return { change }
}
