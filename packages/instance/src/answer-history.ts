import type { LogPosition } from './log-position.js'

/** Whether the connection is outside a transaction, in one, or in one that failed. */
export type ConnectionState = 'idle' | 'transaction' | 'failed'

/** A whole answer, on a wire whose answers don't name the request that they belong to. */
export type ReceivedAnswer = {
  /** How it ended before its state; opened: it has nothing but a state, as the answer to the opening of a session. */
  end: 'done' | 'error' | 'opened'
  rows: string[]
  /** The instance's proof of the one execution that it answers for; no two executions have the same. */
  stamp?: string
  code: string
  text: string
  state: ConnectionState
  logPosition: LogPosition
}

/**
 * What the answer to a request looks like if it succeeds. opened: a state alone; executed: stamped; begun and
 * acknowledged: neither stamp nor rows; status: rows without a stamp.
 */
export type ExpectedAnswer = 'opened' | 'executed' | 'begun' | 'acknowledged' | 'status'

/**
 * Whose an answer is.
 *
 * - own: it belongs to the request in flight.
 * - repeat: it is an earlier answer of this connection once more, and belongs to nobody.
 * - unproven: it may be either.
 * - foreign: it is neither, so that nothing on this connection can be relied on.
 */
export type AnswerOrigin = 'own' | 'repeat' | 'unproven' | 'foreign'

/** The answers that one connection has given. */
export type AnswerHistory = {
  add: (answer: ReceivedAnswer) => void
  /** Number of answers, other than to the opening, that differ from each other. */
  size: () => number
  /** The origin of an answer that arrives while no request is in flight, or that began to arrive before it. */
  originOfUnsolicited: (answer: ReceivedAnswer) => AnswerOrigin
  /** The origin of an answer that arrives while a request is in flight that leaves the connection in this state. */
  originOf: (answer: ReceivedAnswer, expected: ExpectedAnswer, stateAfter: ConnectionState) => AnswerOrigin
}

/** What an answer without a stamp looks like: a repeat of it looks the same. */
function appearanceOf({ end, rows, code, text, state, logPosition }: ReceivedAnswer): string {
  return JSON.stringify([end, rows, code, text, state, logPosition.epoch, logPosition.position])
}

/**
 * Instances may answer a request twice, the second time late and while another request is in flight. What tells the two
 * apart: a stamp is never given twice; a request that must be stamped isn't answered without a stamp; and an answer
 * without a stamp differs from all earlier ones if the state or the log position does. An error is like any other
 * error, so only the first answer of a connection can be an error that is proven to be the request's own.
 */
export function makeAnswerHistory(): AnswerHistory {
  const stamps = new Set<string>()
  const appearances = new Set<string>()
  /**
   * States of acknowledgements that may be still to come, as a repeat may have been taken for them. They come before the
   * next answer with a stamp, as instances answer in order.
   */
  const owedAcknowledgements = new Set<ConnectionState>()

  function add(answer: ReceivedAnswer): void {
    if (answer.end === 'opened') return
    if (answer.stamp !== undefined) {
      stamps.add(answer.stamp)
      owedAcknowledgements.clear()
    } else appearances.add(appearanceOf(answer))
  }
  function size(): number {
    return stamps.size + appearances.size
  }
  function isKnown(answer: ReceivedAnswer): boolean {
    if (answer.stamp !== undefined) return stamps.has(answer.stamp)
    // Only the opening is answered by a state alone, and outside a transaction.
    if (answer.end === 'opened') return answer.state === 'idle'
    return appearances.has(appearanceOf(answer)) || isOwed(answer)
  }
  function isOwed(answer: ReceivedAnswer): boolean {
    return answer.end === 'done' && answer.rows.length === 0 && owedAcknowledgements.has(answer.state)
  }
  function originOfUnsolicited(answer: ReceivedAnswer): AnswerOrigin {
    return isKnown(answer) ? 'repeat' : 'foreign'
  }
  function originOf(answer: ReceivedAnswer, expected: ExpectedAnswer, stateAfter: ConnectionState): AnswerOrigin {
    if (answer.end === 'error') return size() === 0 ? 'own' : 'unproven'
    if (answer.stamp !== undefined && isKnown(answer)) return 'repeat'
    if (!fits(answer, expected)) return originOfUnsolicited(answer)
    switch (expected) {
      case 'opened':
      case 'executed':
        return 'own'
      case 'status':
        return isKnown(answer) ? 'unproven' : 'own'
      case 'begun':
        // A begin may fail, and what follows would then run outside a transaction.
        if (!isKnown(answer)) return 'own'
        return answer.state === stateAfter ? 'unproven' : 'repeat'
      case 'acknowledged':
        // These requests don't fail, and run in their order whether or not a repeat is taken for the answer.
        if (!isKnown(answer)) return 'own'
        if (answer.state !== stateAfter) return 'repeat'
        owedAcknowledgements.add(stateAfter)
        return 'own'
    }
  }
  return { add, size, originOfUnsolicited, originOf }
}

/** Whether an answer of this kind may belong to a request that expects the other. */
function fits(answer: ReceivedAnswer, expected: ExpectedAnswer): boolean {
  if (answer.end === 'opened' || expected === 'opened') return answer.end === expected
  if (expected === 'executed') return answer.stamp !== undefined
  if (expected === 'status') return answer.stamp === undefined && answer.rows.length > 0
  return answer.rows.length === 0
}
