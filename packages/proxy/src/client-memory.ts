import {
  ALL_CLIENTS_MEMORY_LIMIT_BYTES,
  MAX_CLIENT_PENDING_REQUESTS,
  CLIENT_PENDING_REQUESTS_LIMIT_BYTES,
  CLIENT_UNREAD_ANSWERS_LIMIT_BYTES,
  type Metrics,
} from '@claynotch/base'

export type ClientAccount = {
  /**
   * Says what the connection holds now: whole questions that are not answered yet, the bytes of these and of the beginning of a
   * further one, and the bytes of answers that the client has not read. false: all connections together hold too much, and this
   * one is to be ended.
   */
  set: (questions: number, questionBytes: number, unreadBytes: number) => boolean
  /** Whether more is to be read from the connection. A single question may be as long as the wire allows, and is read to its end. */
  mayRead: () => boolean
  /** Whether its next question may be taken up. */
  mayTakeRequest: () => boolean
  close: () => void
}

/**
 * The memory that client connections hold: questions not answered yet, and answers not read yet.
 *
 * Invariants: the total is the sum over all open accounts; a connection is read on only while it holds few questions, and its
 * questions are taken up only while it reads its answers.
 */
export type ClientMemory = { open: () => ClientAccount; totalBytes: () => number }

export function makeClientMemory(metrics: Metrics): ClientMemory {
  let total = 0

  function open(): ClientAccount {
    let questions = 0
    let questionBytes = 0
    let unreadBytes = 0

    function set(nextQuestions: number, nextQuestionBytes: number, nextUnreadBytes: number): boolean {
      const growth = nextQuestionBytes + nextUnreadBytes - questionBytes - unreadBytes
      questions = nextQuestions
      questionBytes = nextQuestionBytes
      unreadBytes = nextUnreadBytes
      total += growth
      if (growth <= 0 || total <= ALL_CLIENTS_MEMORY_LIMIT_BYTES) return true
      metrics.add('claynotch_clients_over_memory_total')
      return false
    }
    function mayRead(): boolean {
      if (questions === 0) return true
      return questions <= MAX_CLIENT_PENDING_REQUESTS && questionBytes <= CLIENT_PENDING_REQUESTS_LIMIT_BYTES
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
    return total
  }
  return { open, totalBytes }
}
