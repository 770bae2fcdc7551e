import {
  ALL_SESSION_STATE_LIMIT_BYTES,
  SESSION_STATE_ENTRY_BYTES,
  SESSION_STATE_LIMIT_BYTES,
  type Metrics,
} from '@claynotch/base'
import type { Kind } from '@claynotch/requester'

/** A prepared statement. kind undefined: each execution states its own kind. */
export type PreparedStatement = { text: string; kind: Kind | undefined }

/**
 * The settings and prepared statements of one session. set and prepare return false, and change nothing, if a memory
 * limit would be exceeded.
 */
export type SessionState = {
  /** The settings in the order in which they were last set. */
  settings: () => [string, string][]
  set: (name: string, value: string) => boolean
  value: (name: string) => string | undefined
  /** Undoes a set by restoring the previous value, regardless of the limits. */
  restore: (name: string, value: string | undefined) => void
  prepared: (name: string) => PreparedStatement | undefined
  prepare: (name: string, statement: PreparedStatement) => boolean
  deallocate: (name: string) => boolean
  /** Releases the session's memory, at its end. */
  close: () => void
}

/**
 * Accounts for the memory that settings and prepared statements take in all sessions.
 *
 * Invariants: set and prepare never take a session over SESSION_STATE_LIMIT_BYTES, nor all sessions together over
 * ALL_SESSION_STATE_LIMIT_BYTES; the total is the sum over the open sessions.
 */
export type SessionMemory = { open: () => SessionState; totalBytes: () => number }

/**
 * A copy of the text that shares no memory with the message that it was cut from, which would otherwise stay in memory
 * whole. A text that isn't Latin-1 is returned as it is.
 */
function detachedCopy(text: string): string {
  const copy = Buffer.from(text, 'latin1').toString('latin1')
  return copy === text ? copy : text
}

function entryBytes(name: string, text: string): number {
  return SESSION_STATE_ENTRY_BYTES + name.length + text.length
}

export function makeSessionMemory(metrics: Metrics): SessionMemory {
  let totalHeld = 0

  function open(): SessionState {
    const values = new Map<string, string>()
    const statements = new Map<string, PreparedStatement>()
    let heldBytes = 0

    function reserve(bytes: number): boolean {
      const exceedsLimit =
        heldBytes + bytes > SESSION_STATE_LIMIT_BYTES || totalHeld + bytes > ALL_SESSION_STATE_LIMIT_BYTES
      if (bytes > 0 && exceedsLimit) {
        metrics.add('claynotch_session_state_refused_total')
        return false
      }
      heldBytes += bytes
      totalHeld += bytes
      return true
    }
    function growthBytes(name: string, text: string, previous: string | undefined): number {
      return entryBytes(name, text) - (previous === undefined ? 0 : entryBytes(name, previous))
    }
    function settings(): [string, string][] {
      return [...values]
    }
    function set(name: string, value: string): boolean {
      if (!reserve(growthBytes(name, value, values.get(name)))) return false
      values.delete(name)
      values.set(detachedCopy(name), detachedCopy(value))
      return true
    }
    function value(name: string): string | undefined {
      return values.get(name)
    }
    function restore(name: string, previous: string | undefined): void {
      const current = values.get(name)
      const currentBytes = current === undefined ? 0 : entryBytes(name, current)
      const deltaBytes = (previous === undefined ? 0 : entryBytes(name, previous)) - currentBytes
      heldBytes += deltaBytes
      totalHeld += deltaBytes
      if (previous === undefined) values.delete(name)
      else values.set(name, previous)
    }
    function prepared(name: string): PreparedStatement | undefined {
      return statements.get(name)
    }
    function prepare(name: string, { text, kind }: PreparedStatement): boolean {
      if (!reserve(growthBytes(name, text, statements.get(name)?.text))) return false
      statements.set(detachedCopy(name), { text: detachedCopy(text), kind })
      return true
    }
    function deallocate(name: string): boolean {
      const removed = statements.get(name)
      if (!removed) return false
      statements.delete(name)
      return reserve(-entryBytes(name, removed.text))
    }
    function close(): void {
      reserve(-heldBytes)
      values.clear()
      statements.clear()
    }
    return { settings, set, value, restore, prepared, prepare, deallocate, close }
  }
  function totalBytes(): number {
    return totalHeld
  }
  return { open, totalBytes }
}
