import type { LockRecord } from './lock-record.js'

/** A table and its lock, as one value of the store. version: grows by one with each value that is committed. */
export type TableValue<T> = { version: number; lock: LockRecord; table: T }

/** What a change makes of the present value; undefined: it is left as it is. */
export type TableEdit<T> = (now: TableValue<T>) => { lock: LockRecord; table: T } | undefined

/** The value that stood when the edit was last asked, or the one that it made; not done: it may have been committed or not. */
export type TableCommit<T> = { done: true; value: TableValue<T> } | { done: false }

/** Where the value lives: a replicated register with a compare-and-set. */
export type TableStore<T> = {
  /** An edit may be asked several times: it must find its own earlier change. */
  change: (edit: TableEdit<T>) => Promise<TableCommit<T>>
  /** The value that a majority knows, asked after this call; undefined: no majority answered. */
  read: () => Promise<TableValue<T> | undefined>
}
