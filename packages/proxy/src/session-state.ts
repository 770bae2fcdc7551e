import {
  ALL_SESSION_STATE_LIMIT_BYTES,
  SESSION_STATE_ENTRY_BYTES,
  SESSION_STATE_LIMIT_BYTES,
  type Metrics,
} from '@claynotch/base'
import type { Kind } from '@claynotch/requester'

/** A prepared statement. kind undefined: each statement by it says its own. */
export type PreparedStatement = { text: string; kind: Kind | undefined }

/** What a client set and prepared in its session. set and prepare answer false, and change nothing, where it would be too much. */
export type SessionState = {
  /** The values in the order in which they were set. */
  settings: () => [string, string][]
  set: (name: string, value: string) => boolean
  value: (name: string) => string | undefined
  /** Takes a set back: the value is what it was before, whatever the limits. */
  restore: (name: string, value: string | undefined) => void
  prepared: (name: string) => PreparedStatement | undefined
  prepare: (name: string, statement: PreparedStatement) => boolean
  deallocate: (name: string) => boolean
  /** The session has ended. */
  close: () => void
}

/**
 * The memory that sessions hold for what their clients set and prepared.
 *
 * Invariants: a session holds at most SESSION_STATE_LIMIT_BYTES, all together at most ALL_SESSION_STATE_LIMIT_BYTES; the total is
 * the sum over the open ones.
 */
export type SessionMemory = { open: () => SessionState; totalBytes: () => number }

/** A copy by itself, where that is the same text: a part of a message would keep the whole message in memory. */
function copyOf(text: string): string {
  const copy = Buffer.from(text, 'latin1').toString('latin1')
  return copy === text ? copy : text
}

function entryBytes(name: string, text: string): number {
  return SESSION_STATE_ENTRY_BYTES + name.length + text.length
}

export function makeSessionMemory(metrics: Metrics): SessionMemory {
  let total = 0

  function open(): SessionState {
    const values = new Map<string, string>()
    const statements = new Map<string, PreparedStatement>()
    let held = 0

    function reserve(bytes: number): boolean {
      const isTooMuch = held + bytes > SESSION_STATE_LIMIT_BYTES || total + bytes > ALL_SESSION_STATE_LIMIT_BYTES
      if (bytes > 0 && isTooMuch) {
        metrics.add('claynotch_session_state_refused_total')
        return false
      }
      held += bytes
      total += bytes
      return true
    }
    function growth(name: string, text: string, before: string | undefined): number {
      return entryBytes(name, text) - (before === undefined ? 0 : entryBytes(name, before))
    }
    function settings(): [string, string][] {
      return [...values]
    }
    function set(name: string, value: string): boolean {
      if (!reserve(growth(name, value, values.get(name)))) return false
      values.delete(name)
      values.set(copyOf(name), copyOf(value))
      return true
    }
    function value(name: string): string | undefined {
      return values.get(name)
    }
    function restore(name: string, before: string | undefined): void {
      const now = values.get(name)
      const nowBytes = now === undefined ? 0 : entryBytes(name, now)
      const change = (before === undefined ? 0 : entryBytes(name, before)) - nowBytes
      held += change
      total += change
      if (before === undefined) values.delete(name)
      else values.set(name, before)
    }
    function prepared(name: string): PreparedStatement | undefined {
      return statements.get(name)
    }
    function prepare(name: string, { text, kind }: PreparedStatement): boolean {
      if (!reserve(growth(name, text, statements.get(name)?.text))) return false
      statements.set(copyOf(name), { text: copyOf(text), kind })
      return true
    }
    function deallocate(name: string): boolean {
      const before = statements.get(name)
      if (!before) return false
      statements.delete(name)
      return reserve(-entryBytes(name, before.text))
    }
    function close(): void {
      reserve(-held)
      values.clear()
      statements.clear()
    }
    return { settings, set, value, restore, prepared, prepare, deallocate, close }
  }
  function totalBytes(): number {
    return total
  }
  return { open, totalBytes }
}
