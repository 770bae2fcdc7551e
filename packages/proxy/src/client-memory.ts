import {
  ALL_CLIENTS_MEMORY_LIMIT_BYTES,
  MAX_CLIENT_PENDING_REQUESTS,
  CLIENT_PENDING_REQUESTS_LIMIT_BYTES,
  CLIENT_UNREAD_ANSWERS_LIMIT_BYTES,
  type Metrics,
} from '@claynotch/base'

/** The memory of one client connection. */
export type ClientAccount = {
  /**
   * Sets what the connection holds now: the number of complete requests that are not answered yet, the bytes of these
   * and of a further, incomplete one, and the bytes of answers that the client hasn't read. false: all connections
   * together exceed their limit, and this one must be closed.
   */
  set: (pendingRequests: number, pendingBytes: number, unreadBytes: number) => boolean
  /**
   * Whether to read more from the connection. A single request may be as long as the wire protocol allows, and is read
   * to its end.
   */
  mayRead: () => boolean
  /** Whether processing of the connection's next request may begin. */
  mayTakeRequest: () => boolean
  close: () => void
}

/**
 * Accounts for the memory of client connections: requests not answered yet, and answers not read yet.
 *
 * Invariants: the total is the sum over all open accounts; a connection is read only while it holds few unanswered
 * requests, and its requests are processed only while the client reads its answers.
 */
export type ClientMemory = { open: () => ClientAccount; totalBytes: () => number }

export function makeClientMemory(metrics: Metrics): ClientMemory {
  let totalHeld = 0

  function open(): ClientAccount {
    let pendingRequests = 0
    let pendingBytes = 0
    let unreadBytes = 0

    function set(nextPendingRequests: number, nextPendingBytes: number, nextUnreadBytes: number): boolean {
      const growthBytes = nextPendingBytes + nextUnreadBytes - pendingBytes - unreadBytes
      pendingRequests = nextPendingRequests
      pendingBytes = nextPendingBytes
      unreadBytes = nextUnreadBytes
      totalHeld += growthBytes
      if (growthBytes <= 0 || totalHeld <= ALL_CLIENTS_MEMORY_LIMIT_BYTES) return true
      metrics.add('claynotch_clients_over_memory_total')
      return false
    }
    function mayRead(): boolean {
      if (pendingRequests === 0) return true
      return pendingRequests <= MAX_CLIENT_PENDING_REQUESTS && pendingBytes <= CLIENT_PENDING_REQUESTS_LIMIT_BYTES
    }
    function mayAnswer(): boolean {
      return unreadBytes <= CLIENT_UNREAD_ANSWERS_LIMIT_BYTES
    }
    function close(): void {
      set(0, 0, 0)
    }
    return { set, mayRead, mayTakeRequest: mayAnswer, close }
  }
  function totalBytes(): number {
    return totalHeld
  }
  return { open, totalBytes }
}
