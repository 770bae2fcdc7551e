import { LEASE_DURATION_MS, pause } from '@claynotch/base'
import {
  hasExpired,
  unlockedRecord,
  type TableCommit,
  type TableEdit,
  type TableStore,
  type TableValue,
} from '@claynotch/table-cache'
import type { Process, Processes } from './processes.js'

/** The table of the model: the changes that were made, in order. */
export type Changes = readonly string[]

/**
 * The replicated register of the model: one value with a compare-and-set, and the readers that hold a lease there with the
 * version that each acknowledged. Every word to it and from it takes a time of its own, and is lost while its process is cut off that way.
 */
export type ModelStore = {
  value: () => TableValue<Changes>
  /** The store as one process reaches it. acknowledged: the version held by the reader there; a writer has none. */
  reachedFrom: (process: Process, acknowledged?: () => number) => TableStore<Changes>
  /** Readers with a lease that didn't acknowledge the version, as this process is told; undefined: it isn't told. */
  missing: (process: Process, version: number) => Promise<string[] | undefined>
  acknowledge: (process: Process, version: number) => void
}

export type OnCommit = (by: Process, before: TableValue<Changes>, now: TableValue<Changes>) => void

/** ms. */
const ASK_TIMEOUT_MS = 500
const CHANGE_LIMIT_MS = 1500

type Lease = { life: number; renewedAt: number; version: number }
type Content = Exclude<ReturnType<TableEdit<Changes>>, undefined>

/** speed: of the clock by which the store counts the readers' leases. isLossy: whether some words come seconds late. */
export function makeModelStore(
  processes: Processes,
  { speed, isLossy }: { speed: number; isLossy: () => boolean },
  committed: OnCommit,
): ModelStore {
  let value: TableValue<Changes> = { version: 1, lock: unlockedRecord('model'), table: [] }
  const leases = new Map<string, Lease>()

  function localNow(): number {
    return processes.now() * speed
  }
  function delay(): number {
    const drawn = processes.random()
    return isLossy() && drawn < 0.02 ? processes.random() * 3000 : 0.5 + drawn * 4
  }
  function ask<R>(from: Process, answer: () => R): Promise<R | undefined> {
    function start(done: (got: R | undefined) => void): void {
      function late(): void {
        done(undefined)
      }
      function arrive(): void {
        if (from.isMute) return
        const got = answer()
        function deliver(): void {
          done(got)
        }
        function back(): void {
          if (!from.isDeaf) processes.deliver(from, deliver)
        }
        processes.later(delay(), back)
      }
      from.world.later(ASK_TIMEOUT_MS, late)
      if (!from.isMute) processes.later(delay(), arrive)
    }
    return new Promise(start)
  }

  // --- leases ---

  function noteVersion({ node, life }: Process, version: number): void {
    const lease = leases.get(node)
    if (lease?.life === life) lease.version = Math.max(lease.version, version)
  }
  function renew(reader: Process, version: number): void {
    const old = leases.get(reader.node)
    if (old && old.life > reader.life) return
    const known = old?.life === reader.life ? old.version : 0
    leases.set(reader.node, { life: reader.life, renewedAt: localNow(), version: Math.max(known, version) })
  }
  function missingNow(version: number): string[] {
    const out: string[] = []
    for (const [node, lease] of leases) {
      if (hasExpired(localNow() - lease.renewedAt, LEASE_DURATION_MS)) leases.delete(node)
      else if (lease.version < version) out.push(node)
    }
    return out
  }
  async function missing(process: Process, version: number): Promise<string[] | undefined> {
    function answer(): string[] {
      return missingNow(version)
    }
    return await ask(process, answer)
  }
  function acknowledge(process: Process, version: number): void {
    function arrive(): void {
      if (!process.isMute) noteVersion(process, version)
    }
    if (!process.isMute) processes.later(delay(), arrive)
  }

  // --- the value ---

  function valueNow(): TableValue<Changes> {
    return value
  }
  function reachedFrom(process: Process, acknowledged?: () => number): TableStore<Changes> {
    function read(): Promise<TableValue<Changes> | undefined> {
      const version = acknowledged?.()
      function answer(): TableValue<Changes> {
        if (version !== undefined) renew(process, version)
        return value
      }
      return ask(process, answer)
    }
    function commit(on: number, next: Content): Promise<TableValue<Changes> | false | undefined> {
      function answer(): TableValue<Changes> | false {
        if (value.version !== on) return false
        const before = value
        value = { version: on + 1, ...next }
        committed(process, before, value)
        return value
      }
      return ask(process, answer)
    }
    async function change(edit: TableEdit<Changes>): Promise<TableCommit<Changes>> {
      const end = process.world.now() + CHANGE_LIMIT_MS
      while (process.world.now() < end) {
        const now = await read()
        if (!now) continue
        const next = edit(now)
        if (!next) return { done: true, value: now }
        const committed = await commit(now.version, next)
        if (committed) return { done: true, value: committed }
        await pause(process.world, 30 * processes.random())
      }
      return { done: false }
    }
    return { change, read }
  }
  return { value: valueNow, reachedFrom, missing, acknowledge }
}
