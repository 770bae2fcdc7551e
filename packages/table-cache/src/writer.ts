import {
  ANNOUNCEMENT_POLL_INTERVAL_MS,
  LOCK_PATIENCE_MS,
  LOCK_POLL_INTERVAL_MS,
  pause,
  TABLE_CHANGE_TIMEOUT_MS,
  type World,
} from '@claynotch/base'
import { hasPassed } from './lease-times.js'
import { isHeldBy, lockForWrite, writeAndUnlock } from './lock-record.js'
import { makeOrphanWatch } from './orphan-watch.js'
import type { TableEdit, TableStore, TableValue } from './table-store.js'

/** What a change comes to on a table: its verdict, and the table that it makes; none where it changes nothing. */
export type Judgement<T, V> = { verdict: V; table?: T }

/** Pure, and asked anew for each table: it finds its own earlier effect and says then what it said before. */
export type TableChange<T, V> = (table: T) => Judgement<T, V>

/** What a writer needs of its node. */
export type WriterView<T> = {
  /** Names this life of this node. */
  name: string
  store: TableStore<T>
  /** Whether each reader that may hold a lease acknowledged this version or a later one; false too where that isn't known. */
  haveAcknowledged: (version: number) => Promise<boolean>
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

/** One change that has no verdict yet. judge: the table that it makes, if any; settle: the verdict of the last judging stands. */
type Pending<T> = { judge: (table: T) => T | undefined; settle: () => void; drop: () => void; endsAt: number }

/** A lock that this writer holds. since: local time (ms) at which it knew it committed. */
type HeldLock<T> = { holder: string; value: TableValue<T>; since: number }

type AttemptEnd = 'written' | 'readers' | 'blocked'

export function makeTableWriter<T>(world: World, view: WriterView<T>): TableWriter<T> {
  const { store } = view
  const orphans = makeOrphanWatch(world, store)
  const pending = new Set<Pending<T>>()
  let isWorking = false
  let attempts = 0

  // --- changes that wait ---

  function pendingOf<V>(change: TableChange<T, V>, done: (verdict: V | undefined) => void): Pending<T> {
    let verdict: V | undefined
    function judge(table: T): T | undefined {
      const judgement = change(table)
      verdict = judgement.verdict
      return judgement.table
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
  /** Tells those that change nothing on the present table; whether it could be read. */
  async function settleUnlocked(): Promise<boolean> {
    const asked = [...pending]
    const now = await store.read()
    if (!now) return false
    orphans.see(now)
    const idle: Pending<T>[] = []
    for (const one of asked) if (one.judge(now.table) === undefined) idle.push(one)
    settleAll(idle)
    return true
  }

  // --- the lock ---

  /** A version with nothing new: who doesn't acknowledge it is waited for while all others serve. */
  async function announce(): Promise<boolean> {
    let isBlocked = false
    function edit({ lock, table }: TableValue<T>): ReturnType<TableEdit<T>> {
      isBlocked = lock.lockType === 'WRITE'
      return isBlocked ? undefined : { lock, table }
    }
    const committed = await store.change(edit)
    if (!committed.done) return false
    orphans.see(committed.value)
    if (isBlocked) return false
    return await awaitReaders(committed.value, world.now(), Infinity, ANNOUNCEMENT_POLL_INTERVAL_MS)
  }
  /**
   * Whether no reader serves a version before this one any more. since: local time (ms) after its commit. waitMs: how long this
   * may wait for it; the last read lease is over by some time.
   */
  async function awaitReaders(value: TableValue<T>, since: number, waitMs: number, pollMs: number): Promise<boolean> {
    for (;;) {
      if (hasPassed(world.now() - since, value.lock.readLeaseMs)) return true
      if (await view.haveAcknowledged(value.version)) return true
      if (world.now() - since >= waitMs) return false
      await pause(world, pollMs)
    }
  }
  async function lock(patienceMs: number): Promise<HeldLock<T> | undefined> {
    const holder = `${view.name}#${++attempts}`
    function edit({ lock, table }: TableValue<T>): ReturnType<TableEdit<T>> {
      if (isHeldBy(lock, holder)) return undefined
      const locked = lockForWrite(lock, holder, 2 * patienceMs)
      return locked.ok ? { lock: locked.val, table } : undefined
    }
    const committed = await store.change(edit)
    if (!committed.done) return undefined
    const { value } = committed
    orphans.see(value)
    return isHeldBy(value.lock, holder) ? { holder, value, since: world.now() } : undefined
  }
  /** Change and unlock in one: what the pending changes make of the table, or the table as it is to give the lock back. */
  async function unlock({ holder, value }: HeldLock<T>, changes: Pending<T>[]): Promise<boolean> {
    let isHeld = false
    function edit(now: TableValue<T>): ReturnType<TableEdit<T>> {
      const unlocked = writeAndUnlock(now.lock, holder, value.lock.token)
      isHeld = unlocked.ok
      if (unlocked.err) return undefined
      let { table } = now
      for (const one of changes) table = one.judge(table) ?? table
      return { lock: unlocked.val, table }
    }
    const committed = await store.change(edit)
    if (!committed.done) return false
    orphans.see(committed.value)
    return isHeld
  }
  async function attempt(patienceMs: number): Promise<AttemptEnd> {
    if (!(await announce())) return 'blocked'
    const held = await lock(patienceMs)
    if (!held) return 'blocked'
    if (!(await awaitReaders(held.value, held.since, patienceMs, LOCK_POLL_INTERVAL_MS))) {
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
    let patienceMs = LOCK_PATIENCE_MS
    for (;;) {
      dropLate()
      if (pending.size === 0) return
      const isRead = await settleUnlocked()
      if (pending.size === 0) return
      const end = isRead ? await attempt(patienceMs) : 'blocked'
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
