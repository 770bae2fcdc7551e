import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import {
  RETRY_AFTER_OVERLOAD_S,
  BODY_LIMIT_BYTES,
  BODY_TIMEOUT_MS,
  CLOSE_TIMEOUT_MS,
  CONNECTION_GRACE_MS,
  MAX_LISTENER_CONNECTIONS,
} from './constants.js'
import { REQUEST_ID_HEADER } from './http-client.js'
import { type Flag, TIMED_OUT, makeFlag, noop, pause, withTimeout } from './waiting.js'
import type { Address, World } from './world.js'

/** HTTP/1.1 server: JSON bodies, bounded in size, number and time, and a graceful close that drops no answer. */

export type HttpRequest = {
  method: string
  path: string
  query: URLSearchParams
  header: (name: string) => string | undefined
  body: unknown
  /** The connection it arrived on: the same object for the life of the connection. */
  connection: object
  /** Fires when the caller disconnects before its answer is written. */
  gone: Flag
  raw: { req: IncomingMessage; res: ServerResponse }
}

/** type: media type of a text body, JSON without it. after: Retry-After in seconds. */
export type HttpResponse = { status: number; body: unknown; type?: string; after?: number }

/** Answers a request; undefined if the handler wrote the answer itself through raw. */
export type HttpHandler = (httpRequest: HttpRequest) => Promise<HttpResponse | undefined> | HttpResponse | undefined

export type HttpListener = {
  /** Goes on answering, but ends each connection with its next answer. */
  drain: () => void
  /** Stops listening and closes all connections, by force at the timeout. */
  close: (timeoutMs?: number) => Promise<void>
  /** Number of requests being answered. */
  busy: () => number
  /** Number of open connections. */
  lines: () => number
  /** Resolves once no request is being answered. */
  idle: () => Promise<void>
}

/**
 * Reads a body. One that is up to four times too long is still read to its end and discarded: a connection closed with
 * unread bytes is reset, and its caller might never see the refusal.
 * reserve: whether that many more bytes may be kept in memory now.
 */
async function readBody(
  req: IncomingMessage,
  maxBytes: number,
  reserve: (size: number) => boolean,
): Promise<Buffer | 'long' | 'full'> {
  const parts: Buffer[] = []
  let size = 0
  for await (const chunk of req) {
    const part = chunk as Buffer
    size += part.length
    if (size > 4 * maxBytes) return 'long'
    if (size > maxBytes) continue
    if (!reserve(part.length)) return 'full'
    parts.push(part)
  }
  return size > maxBytes ? 'long' : Buffer.concat(parts)
}

/** Writes the response, unless the connection is gone or an answer was already written. */
export function sendResponse(res: ServerResponse, response: HttpResponse): void {
  if (res.destroyed || res.writableEnded) return
  const text = response.type ? String(response.body) : JSON.stringify(response.body ?? null)
  res.statusCode = response.status
  res.setHeader('content-type', response.type ?? 'application/json')
  res.setHeader('content-length', Buffer.byteLength(text))
  if (response.after !== undefined) res.setHeader('retry-after', String(response.after))
  res.end(text)
}

/** The refusal of an invalid request. */
export function invalidRequest(status: number, why: string, findings: unknown[] = []): HttpResponse {
  return {
    status,
    body: { outcome: 'refused', class: 'INVALID_ARGUMENT', kept: 'nothing', again: false, why, findings },
  }
}

export type HttpServerOptions = {
  /** Largest body in bytes, for all paths or by path. */
  limit?: number | ((path: string) => number)
  /** Limit in bytes of all bodies that are read or answered at one time. */
  held?: number
  /** Most open connections. */
  lines?: number
  /**
   * ms after which a connection without a complete request is closed, and BODY_TIMEOUT_MS later one whose answer is not
   * read; never, if unset.
   */
  quiet?: number
  /** Called for each accepted connection; the flag fires when it closes. */
  onConnection?: (connection: object, closed: Flag) => void
  /** Whether the handler reads the body of this path itself. */
  raw?: (path: string) => boolean
}

/** Serves HTTP at the address. */
export async function serveHttp(
  world: World,
  addr: Address,
  handle: HttpHandler,
  options: HttpServerOptions = {},
): Promise<HttpListener> {
  const connections = new Map<Duplex, { closed: Flag; openRequests: number; lastUsedAt: number }>()
  let openRequests = 0
  let isDraining = false
  let becameIdle = makeFlag()

  /** Bytes of bodies in memory; each request releases what it reserved once it is answered. */
  let heldBytes = 0
  async function answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    let ownBytes = 0
    let isAnswered = false
    function reserve(size: number): boolean {
      if (isAnswered || heldBytes + size > (options.held ?? Infinity)) return false
      heldBytes += size
      ownBytes += size
      return true
    }
    try {
      await answerRequest(req, res, reserve)
    } finally {
      isAnswered = true
      heldBytes -= ownBytes
    }
  }
  async function answerRequest(
    req: IncomingMessage,
    res: ServerResponse,
    reserve: (size: number) => boolean,
  ): Promise<void> {
    let url: URL
    try {
      url = new URL(req.url ?? '/', 'http://x')
    } catch {
      res.setHeader('connection', 'close')
      sendResponse(res, invalidRequest(400, 'malformed path'))
      return
    }
    const maxBytes =
      typeof options.limit === 'function' ? options.limit(url.pathname) : (options.limit ?? BODY_LIMIT_BYTES)
    let body: unknown
    if (!(options.raw && options.raw(url.pathname))) {
      const bytes = await withTimeout(world, BODY_TIMEOUT_MS, readBody(req, maxBytes, reserve))
      if (bytes === TIMED_OUT) {
        res.setHeader('connection', 'close')
        sendResponse(res, invalidRequest(408, `body not whole within ${BODY_TIMEOUT_MS} ms`))
        return
      }
      if (bytes === 'full') {
        res.setHeader('connection', 'close')
        sendResponse(res, {
          status: 503,
          body: {
            outcome: 'refused',
            class: 'UNAVAILABLE',
            kept: 'nothing',
            again: true,
            why: 'too much to read at once',
          },
          after: RETRY_AFTER_OVERLOAD_S,
        })
        return
      }
      if (bytes === 'long') {
        res.setHeader('connection', 'close')
        sendResponse(res, invalidRequest(413, `body over ${maxBytes} bytes`))
        return
      }
      if (bytes.length > 0) {
        try {
          body = JSON.parse(bytes.toString('utf8'))
        } catch (error) {
          sendResponse(res, invalidRequest(400, `malformed JSON: ${(error as Error).message}`))
          return
        }
      }
    }
    const gone = makeFlag()
    function onClose(): void {
      if (!res.writableFinished) gone.fire()
    }
    res.on('close', onClose)
    function header(name: string): string | undefined {
      const value = req.headers[name]
      return Array.isArray(value) ? value[0] : value
    }
    const response = await handle({
      method: req.method ?? 'GET',
      path: url.pathname,
      query: url.searchParams,
      header,
      body,
      connection: req.socket,
      gone,
      raw: { req, res },
    })
    if (isDraining && !res.headersSent) res.setHeader('connection', 'close')
    if (response) sendResponse(res, response)
  }
  async function handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    openRequests++
    const connection = connections.get(req.socket)
    if (connection) {
      connection.openRequests++
      connection.lastUsedAt = world.now()
    }
    res.sendDate = false
    const requestId = req.headers[REQUEST_ID_HEADER]
    if (typeof requestId === 'string') res.setHeader(REQUEST_ID_HEADER, requestId)
    function onFinished(): void {
      openRequests--
      if (connection) {
        connection.openRequests--
        connection.lastUsedAt = world.now()
      }
      if (openRequests === 0) {
        becameIdle.fire()
        becameIdle = makeFlag()
      }
    }
    res.once('close', onFinished)
    try {
      await answer(req, res)
    } catch (error) {
      if (!req.destroyed)
        world.log.error('request-fault', { path: req.url, why: (error as Error).stack ?? String(error) })
      if (!res.headersSent)
        sendResponse(res, {
          status: 500,
          body: { outcome: 'unknown', class: 'INTERNAL', kept: 'unknown', again: false, why: 'internal fault' },
        })
      else res.destroy()
    }
  }
  const server = createServer(
    { keepAlive: true, requestTimeout: 0, headersTimeout: 0, keepAliveTimeout: 0 },
    handleRequest as never,
  )
  server.timeout = 0
  function onClientError(_error: Error, socket: Duplex): void {
    if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n')
    else socket.destroy()
  }
  server.on('clientError', onClientError)

  function acceptConnection(socket: Duplex): void {
    if (connections.size >= (options.lines ?? MAX_LISTENER_CONNECTIONS)) {
      socket.on('error', noop)
      socket.destroy()
      return
    }
    const closed = makeFlag()
    connections.set(socket, { closed, openRequests: 0, lastUsedAt: world.now() })
    function onClosed(): void {
      connections.delete(socket)
      closed.fire()
    }
    socket.on('error', noop)
    socket.on('close', onClosed)
    options.onConnection?.(socket, closed)
    scheduleIdleSweep()
    server.emit('connection', socket)
  }
  /** One timer serves all connections, and is set while there are any. */
  let isTimerSet = false
  function scheduleIdleSweep(): void {
    if (isTimerSet || options.quiet === undefined) return
    isTimerSet = true
    world.later(options.quiet / 4, closeIdleConnections)
  }
  function closeIdleConnections(): void {
    isTimerSet = false
    const now = world.now()
    for (const [socket, connection] of connections)
      if (now - connection.lastUsedAt >= options.quiet! + (connection.openRequests > 0 ? BODY_TIMEOUT_MS : 0))
        socket.destroy()
    if (connections.size > 0) scheduleIdleSweep()
  }
  const listener = await world.listen(addr, acceptConnection)

  async function idle(): Promise<void> {
    while (openRequests > 0) await becameIdle.wait()
  }
  function drain(): void {
    isDraining = true
  }
  function connectionCount(): number {
    return connections.size
  }
  /**
   * Accepts no new connections, so that a caller's dial fails before it sends anything; then closes each connection
   * once it has been idle for CONNECTION_GRACE_MS. A request on its way to one that was idle longer is lost with it,
   * so drain() has to come well before. At the timeout the remaining connections (such as followers of a stream) are
   * closed regardless.
   */
  async function close(timeoutMs = CLOSE_TIMEOUT_MS): Promise<void> {
    isDraining = true
    const listenerClosed = listener.close()
    const deadline = world.now() + timeoutMs
    while (connections.size > 0) {
      const now = world.now()
      for (const [socket, connection] of connections)
        if (now >= deadline || (connection.openRequests === 0 && now - connection.lastUsedAt >= CONNECTION_GRACE_MS))
          socket.destroy()
      if (connections.size > 0) await pause(world, CONNECTION_GRACE_MS / 5)
    }
    await listenerClosed
  }
  function openRequestCount(): number {
    return openRequests
  }
  return { drain, close, busy: openRequestCount, lines: connectionCount, idle }
}
