import { Agent, type ClientRequest, type IncomingMessage, request } from 'node:http'
import type { Duplex } from 'node:stream'
import { DIAL_TIMEOUT_MS } from './constants.js'
import { Err, Ok, type Result } from './result.js'
import { type Flag, makeFlag, noop } from './waiting.js'
import type { Address, World } from './world.js'

/** HTTP/1.1 client over connections of a World: one connection sends one request after another. */

/**
 * Header with which a request is numbered, and which its answer repeats. An answer that has another number answers an
 * earlier request, and was delayed or sent twice.
 */
export const REQUEST_ID_HEADER = 'x-request-id'

/** How far a failed request got. none: no part was given to a connection; maybe: it may have reached the server. */
export type Reach = 'none' | 'maybe'

export type HttpFailure = { reach: Reach; why: string }

/** after: Retry-After in seconds. */
export type HttpAnswer = { status: number; body: unknown; after?: number }

export type HttpConnection = {
  /** Sends a request; fails if another one is pending. */
  ask: (
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    headers?: [string, string][],
  ) => Promise<Result<HttpAnswer, HttpFailure>>
  close: () => void
  alive: () => boolean
  closed: Flag
}

/**
 * Opens an HTTP connection that is never dialled again once it broke, so that nobody relies on session state that was
 * lost with it.
 *
 * @param options.numbersRequests whether requests are numbered, for servers that repeat the number in their answer;
 * without it, only the order of the answers tells to which request they belong
 */
export async function openHttpConnection(
  world: World,
  addr: Address,
  dialTimeoutMs: number = DIAL_TIMEOUT_MS,
  options: { numbersRequests?: boolean } = {},
): Promise<Result<HttpConnection, HttpFailure>> {
  let stream: Duplex
  try {
    stream = await world.dial(addr, dialTimeoutMs)
  } catch (error) {
    return Err({ reach: 'none', why: (error as Error).message })
  }
  const closed = makeFlag()
  let isStreamGiven = false
  /**
   * A request was sent and its answer is not complete. Data that arrives at any other time answers no request, and what
   * follows it would be taken for the answer to the next one.
   */
  let isRequestOpen = false
  let lastRequestNumber = 0
  function onStreamEnd(): void {
    closed.fire()
  }
  function closeIfUnexpected(): void {
    if (!isRequestOpen) close()
  }
  stream.on('data', closeIfUnexpected)
  stream.on('error', onStreamEnd)
  stream.on('close', onStreamEnd)
  stream.on('end', onStreamEnd)
  const agent = new Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 })
  // node:http calls again if the stream closed while a request waited for it. The error must go through the callback,
  // as throwing here would end the process.
  function provideStream(_options: unknown, callback: (error: Error) => void): Duplex | undefined {
    if (isStreamGiven) {
      callback(new Error('connection broke'))
      return undefined
    }
    isStreamGiven = true
    return stream
  }
  ;(agent as unknown as { createConnection: typeof provideStream }).createConnection = provideStream

  function close(): void {
    closed.fire()
    stream.destroy()
  }
  function alive(): boolean {
    return !closed.fired()
  }
  function ask(
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    headers: [string, string][] = [],
  ): Promise<Result<HttpAnswer, HttpFailure>> {
    function start(resolve: (result: Result<HttpAnswer, HttpFailure>) => void): void {
      if (closed.fired() || isRequestOpen) {
        resolve(Err({ reach: 'none', why: closed.fired() ? 'connection closed' : 'another request is under way' }))
        return
      }
      isRequestOpen = true
      const requestNumber = String(++lastRequestNumber)
      let isSettled = false
      let unwatch = noop
      function settle(result: Result<HttpAnswer, HttpFailure>): void {
        if (isSettled) return
        isSettled = true
        isRequestOpen = false
        cancelTimer()
        unwatch()
        // Without a complete answer the state of the connection is unclear.
        if (result.err) close()
        resolve(result)
      }
      function fail(why: string): void {
        settle(Err({ reach: 'maybe', why }))
      }
      function onTimeout(): void {
        fail('timeout')
        req.destroy()
      }
      function onBroken(): void {
        fail('connection broke')
      }
      const cancelTimer = world.later(timeoutMs, onTimeout)
      unwatch = closed.watch(onBroken)
      const text = body === undefined ? '' : JSON.stringify(body)
      function onResponse(res: IncomingMessage): void {
        const parts: Buffer[] = []
        function onData(chunk: Buffer): void {
          parts.push(chunk)
        }
        function onEnd(): void {
          const bodyText = Buffer.concat(parts).toString('utf8')
          let value: unknown = bodyText
          if ((res.headers['content-type'] ?? '').startsWith('application/json')) {
            try {
              value = bodyText === '' ? null : JSON.parse(bodyText)
            } catch {
              fail('malformed answer')
              return
            }
          }
          if (!res.complete) {
            fail('answer cut short')
            return
          }
          const answeredNumber = res.headers[REQUEST_ID_HEADER]
          if (options.numbersRequests && answeredNumber !== undefined && answeredNumber !== requestNumber) {
            fail('answer to another request')
            return
          }
          const retryAfter = res.headers['retry-after']
          settle(Ok({ status: res.statusCode ?? 0, body: value, ...(retryAfter ? { after: Number(retryAfter) } : {}) }))
          // The server closes this connection; nothing more may be written to it.
          if ((res.headers.connection ?? '').toLowerCase() === 'close') close()
        }
        res.on('data', onData)
        res.on('end', onEnd)
        res.on('error', onBroken)
        res.on('close', onBroken)
      }
      let req: ClientRequest
      try {
        req = request({
          agent,
          method,
          path,
          host: 'x',
          headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) },
        })
        if (options.numbersRequests) req.setHeader(REQUEST_ID_HEADER, requestNumber)
        for (const [name, value] of headers) req.setHeader(name, value)
      } catch (error) {
        cancelTimer()
        unwatch()
        close()
        resolve(Err({ reach: 'none', why: (error as Error).message }))
        return
      }
      function onError(error: Error): void {
        fail(error.message)
      }
      req.on('response', onResponse)
      req.on('error', onError)
      req.end(text)
    }
    return new Promise(start)
  }
  return Ok({ ask, close, alive, closed })
}

/**
 * Sends one request on a connection of its own. isStillAllowed is checked once the connection is open, with no wait
 * between the check and the write: a dial takes up to a second, or as long as the process was frozen, and the right to
 * send the request (such as a lease) may have ended meanwhile.
 */
export async function requestOnce(
  world: World,
  addr: Address,
  method: string,
  path: string,
  body: unknown,
  timeoutMs: number,
  headers: [string, string][] = [],
  isStillAllowed?: () => boolean,
): Promise<Result<HttpAnswer, HttpFailure>> {
  const connection = await openHttpConnection(world, addr, Math.min(timeoutMs, DIAL_TIMEOUT_MS))
  if (connection.err) return connection
  if (isStillAllowed && !isStillAllowed()) {
    connection.val.close()
    return Err({ reach: 'none', why: 'no longer allowed once the connection stood' })
  }
  const answer = await connection.val.ask(method, path, body, timeoutMs, headers)
  connection.val.close()
  return answer
}
