import type { LockRecord } from './lock-record.js'

/** A table and its lock record, as one value of the store. version grows by one with each committed value. */
export type TableValue<T> = { version: number; lock: LockRecord; table: T }

/** Computes the next value from the present one; undefined leaves it unchanged. */
export type TableEdit<T> = (current: TableValue<T>) => { lock: LockRecord; table: T } | undefined

/** done: the value that the edit committed or left unchanged. Not done: the edit may have been committed or not. */
export type TableCommit<T> = { done: true; value: TableValue<T> } | { done: false }

/** Storage of the value: a replicated register with a compare-and-set. */
export type TableStore<T> = {
  /** Commits an edit. The edit may be called several times and must recognise its own earlier change. */
  change: (edit: TableEdit<T>) => Promise<TableCommit<T>>
  /** Reads the value from a majority, no older than this call; undefined: no majority answered. */
  read: () => Promise<TableValue<T> | undefined>
}
