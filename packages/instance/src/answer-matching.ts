import { Err, Ok, ANSWER_HISTORY_LIMIT, ANSWER_PROOF_TIMEOUT_MS, type Result, type World } from '@claynotch/base'
import type { AnswerObserver, RequestError } from './adapter.js'
import { makeAnswerHistory, type ConnectionState, type ExpectedAnswer, type ReceivedAnswer } from './answer-history.js'

/** A request on a wire whose answers don't name the request that they belong to. */
export type SequencedRequest = {
  /** The request as written to the connection. */
  message: string
  expects: ExpectedAnswer
  /** The connection's state after a success; same: the state before it. */
  stateAfter: ConnectionState | 'same'
  /** Whether the caller must know for certain that a request answered with an error was not executed. */
  needsCertainError: boolean
}

/** Finds out to which request each answer of one connection belongs. One request is in flight at a time. */
export type AnswerMatching = {
  request: (request: SequencedRequest, timeoutMs: number) => Promise<Result<ReceivedAnswer, RequestError>>
  /**
   * Takes in an answer.
   *
   * @param isUnsolicited whether it began to arrive before the request in flight was sent
   */
  receive: (answer: ReceivedAnswer, isUnsolicited: boolean) => void
  /** Ends the request in flight, as the connection broke. */
  breakOff: () => void
  isAwaiting: () => boolean
}

/** What the matching needs of the connection and of its wire protocol. */
export type MatchingOptions = {
  instance: string
  send: (message: string) => void
  close: () => void
  isClosed: () => boolean
  /** A request for the instance's status, which is answered by rows without a stamp. */
  statusMessage: string
  classifyError: (code: string, text: string) => RequestError
  observer: AnswerObserver | undefined
}

/** The error of a request that was not sent. */
export function notSentError(why: string): RequestError {
  return { reach: 'none', class: 'UNAVAILABLE', transient: true, why }
}
/** The error of a request that may have been executed. */
export function unclearError(why: string): RequestError {
  return { reach: 'maybe', class: 'UNAVAILABLE', transient: true, why }
}
const UNPROVEN = 'the answer cannot be told from a repeated one'

/** The request in flight. proof: set while a status request is in flight behind it. */
type PendingRequest = {
  request: SequencedRequest
  stateAfter: ConnectionState
  settle: (result: Result<ReceivedAnswer, RequestError>) => void
  proof?: { candidates: ReceivedAnswer[] }
}

/**
 * Invariants:
 * - an answer is passed on as a success only if it is proven to be the request's own;
 * - an error is passed on as one that was not executed, to a caller that needs to know, only if it is proven;
 * - once it is unclear which answers are still to come, the connection is closed.
 *
 * An answer that may be a repeat is proven by a status request sent behind it: instances answer in order, and a status
 * answer looks like no other, so the request's own answer is among those that arrive before it. One status request is
 * sent on a connection at most, as the answer to a second could be a repeat of the first.
 */
export function makeAnswerMatching(world: World, options: MatchingOptions): AnswerMatching {
  const history = makeAnswerHistory()
  let pending: PendingRequest | undefined
  let state: ConnectionState = 'idle'
  let hasSentStatus = false

  function distrust(reason: 'foreign-answer' | 'unproven-answer'): void {
    options.observer?.distrusted(options.instance, reason)
    options.close()
  }
  function rejectForeign(): void {
    distrust('foreign-answer')
    breakOff()
  }
  function breakOff(): void {
    pending?.settle(Err(unclearError('connection broke')))
  }
  /** Closes a connection at the end of a use if it has proved an answer, or has given too many to know all of them. */
  function retireAfterUse(wasIdle: boolean, expected: ExpectedAnswer): void {
    const isEndOfUse = state === 'idle' && (expected === 'executed' || !wasIdle)
    if (isEndOfUse && (hasSentStatus || history.size() >= ANSWER_HISTORY_LIMIT)) options.close()
  }
  function succeed(current: PendingRequest, answer: ReceivedAnswer): void {
    const wasIdle = state === 'idle'
    state = answer.state
    if (state !== current.stateAfter) {
      options.close()
      return current.settle(Err(unclearError(`the connection is in state ${state}`)))
    }
    retireAfterUse(wasIdle, current.request.expects)
    current.settle(Ok(answer))
  }
  /** An error that is proven, or need not be. */
  function failWith(current: PendingRequest, answer: ReceivedAnswer): void {
    state = answer.state
    if (current.stateAfter === 'idle' && state !== 'idle') options.close()
    current.settle(Err(options.classifyError(answer.code, answer.text)))
  }
  function giveUp(current: PendingRequest): void {
    distrust('unproven-answer')
    current.settle(Err(unclearError(UNPROVEN)))
  }
  function handleUnproven(current: PendingRequest, answer: ReceivedAnswer): void {
    if (answer.end !== 'error') return prove(current, answer)
    const error = options.classifyError(answer.code, answer.text)
    // An error within a transaction ends it, and nothing of it is kept.
    const mustBeCertain = current.request.needsCertainError && current.stateAfter === 'idle'
    if (mustBeCertain && error.reach === 'answered') return prove(current, answer)
    if (!error.transient) return giveUp(current)
    options.close()
    failWith(current, answer)
  }
  function prove(current: PendingRequest, answer: ReceivedAnswer): void {
    if (hasSentStatus) return giveUp(current)
    hasSentStatus = true
    current.proof = { candidates: [answer] }
    const cancelTimeout = world.later(ANSWER_PROOF_TIMEOUT_MS, giveUpIfOpen)
    function giveUpIfOpen(): void {
      if (pending === current) giveUp(current)
    }
    const { settle } = current
    function settleOnce(result: Result<ReceivedAnswer, RequestError>): void {
      cancelTimeout()
      settle(result)
    }
    current.settle = settleOnce
    options.send(options.statusMessage)
  }
  /** Takes in an answer while a status request is in flight behind the request. */
  function receiveDuringProof(current: PendingRequest, candidates: ReceivedAnswer[], answer: ReceivedAnswer): void {
    const statusOrigin = history.originOf(answer, 'status', state)
    if (answer.end === 'error') {
      candidates.push(answer)
      return
    }
    if (statusOrigin === 'own') {
      history.add(answer)
      return conclude(current, candidates)
    }
    const origin = history.originOf(answer, current.request.expects, current.stateAfter)
    if (origin === 'own' && current.request.expects === 'begun') candidates[0] = answer
    else if (origin === 'own') {
      // The request's own answer after all. The status is still to come, so the connection isn't used again.
      options.close()
      history.add(answer)
      succeed(current, answer)
    } else if (origin === 'foreign') rejectForeign()
  }
  /** The status has arrived: the request's own answer is one of the candidates. */
  function conclude(current: PendingRequest, candidates: ReceivedAnswer[]): void {
    const [first] = candidates
    if (first.end !== 'error') return candidates.some(isError) ? giveUp(current) : succeed(current, first)
    options.close()
    function mayHaveRun({ code, text }: ReceivedAnswer): boolean {
      return options.classifyError(code, text).reach !== 'answered'
    }
    failWith(current, candidates.find(mayHaveRun) ?? first)
  }
  function receive(answer: ReceivedAnswer, isUnsolicited: boolean): void {
    const current = pending
    if (current?.proof && !isUnsolicited) return receiveDuringProof(current, current.proof.candidates, answer)
    const origin =
      current && !isUnsolicited
        ? history.originOf(answer, current.request.expects, current.stateAfter)
        : history.originOfUnsolicited(answer)
    if (origin === 'repeat') return options.observer?.repeated(options.instance)
    if (origin === 'foreign' || !current) return rejectForeign()
    history.add(answer)
    if (origin === 'unproven') handleUnproven(current, answer)
    else if (answer.end === 'error') failWith(current, answer)
    else succeed(current, answer)
  }
  function request(sequenced: SequencedRequest, timeoutMs: number): Promise<Result<ReceivedAnswer, RequestError>> {
    function start(resolve: (result: Result<ReceivedAnswer, RequestError>) => void): void {
      if (options.isClosed() || pending) return resolve(Err(notSentError('connection closed')))
      const cancelTimeout = world.later(timeoutMs, handleTimeout)
      function settle(result: Result<ReceivedAnswer, RequestError>): void {
        pending = undefined
        cancelTimeout()
        resolve(result)
      }
      function handleTimeout(): void {
        options.close()
        pending?.settle(Err(unclearError('timeout')))
      }
      const stateAfter = sequenced.stateAfter === 'same' ? state : sequenced.stateAfter
      pending = { request: sequenced, stateAfter, settle }
      options.send(sequenced.message)
    }
    return new Promise(start)
  }
  function isAwaiting(): boolean {
    return pending !== undefined
  }
  return { request, receive, breakOff, isAwaiting }
}
function isError(answer: ReceivedAnswer): boolean {
  return answer.end === 'error'
}
