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
import { type Flag, TIMED_OUT, makeFlag, noop, pause, withTimeout } from './waiting.js'
import type { Address, World } from './world.js'

// HTTP/1.1 as a server: requests with JSON bodies, bounded in size, number and time, and an end in which no answer is dropped.

export type HttpRequest = {
  method: string
  path: string
  query: URLSearchParams
  header: (name: string) => string | undefined
  body: unknown
  // The connection it came on: one object for the life of the connection.
  connection: object
  // Fires when the caller went away before its answer was written.
  gone: Flag
  raw: { req: IncomingMessage; res: ServerResponse }
}

export type HttpResponse = { status: number; body: unknown; type?: string; after?: number }

// undefined: the handler wrote the answer itself through raw.
export type HttpHandler = (ask: HttpRequest) => Promise<HttpResponse | undefined> | HttpResponse | undefined

// drain: goes on answering, and asks each caller with its answer to go elsewhere. lines: connections open now.
export type HttpListener = {
  drain: () => void
  close: (ms?: number) => Promise<void>
  busy: () => number
  lines: () => number
  idle: () => Promise<void>
}

// A body that is somewhat too long is read to its end all the same and thrown away: a connection closed with
// unread bytes is reset, and its caller might never see the refusal.
// hold: whether so many more bytes may be kept in memory now.
async function readBody(
  req: IncomingMessage,
  most: number,
  hold: (size: number) => boolean,
): Promise<Buffer | 'long' | 'full'> {
  const parts: Buffer[] = []
  let size = 0
  for await (const one of req) {
    const part = one as Buffer
    size += part.length
    if (size > 4 * most) return 'long'
    if (size > most) continue
    if (!hold(part.length)) return 'full'
    parts.push(part)
  }
  return size > most ? 'long' : Buffer.concat(parts)
}

export function sendResponse(res: ServerResponse, reply: HttpResponse): void {
  if (res.destroyed || res.writableEnded) return
  const text = reply.type ? String(reply.body) : JSON.stringify(reply.body ?? null)
  res.statusCode = reply.status
  res.setHeader('content-type', reply.type ?? 'application/json')
  res.setHeader('content-length', Buffer.byteLength(text))
  if (reply.after !== undefined) res.setHeader('retry-after', String(reply.after))
  res.end(text)
}

export function invalidRequest(status: number, why: string, findings: unknown[] = []): HttpResponse {
  return {
    status,
    body: { outcome: 'refused', class: 'INVALID_ARGUMENT', kept: 'nothing', again: false, why, findings },
  }
}

// limit: bytes of a body, for all paths or by path. held: bytes of all bodies that are read or answered now. lines: connections at most. quiet: ms after which a connection that
// asked nothing whole is closed, and BODY_WAIT later one whose answer isn't taken; without it, never.
export type HttpServerOptions = {
  limit?: number | ((path: string) => number)
  held?: number
  lines?: number
  quiet?: number
  onConnection?: (line: object, closed: Flag) => void
  raw?: (path: string) => boolean
}

export async function serveHttp(
  world: World,
  addr: Address,
  handle: HttpHandler,
  opt: HttpServerOptions = {},
): Promise<HttpListener> {
  const lines = new Map<Duplex, { closed: Flag; busy: number; last: number }>()
  let busy = 0
  let ending = false
  let quiet = makeFlag()

  // held: bytes of bodies in memory; each request gives back what it took once it is answered.
  let held = 0
  async function answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    let mine = 0
    let over = false
    function hold(size: number): boolean {
      if (over || held + size > (opt.held ?? Infinity)) return false
      held += size
      mine += size
      return true
    }
    try {
      await answerHeld(req, res, hold)
    } finally {
      over = true
      held -= mine
    }
  }
  async function answerHeld(req: IncomingMessage, res: ServerResponse, hold: (size: number) => boolean): Promise<void> {
    let url: URL
    try {
      url = new URL(req.url ?? '/', 'http://x')
    } catch {
      res.setHeader('connection', 'close')
      sendResponse(res, invalidRequest(400, 'malformed path'))
      return
    }
    const most = typeof opt.limit === 'function' ? opt.limit(url.pathname) : (opt.limit ?? BODY_LIMIT_BYTES)
    let body: unknown
    if (!(opt.raw && opt.raw(url.pathname))) {
      const bytes = await withTimeout(world, BODY_TIMEOUT_MS, readBody(req, most, hold))
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
        sendResponse(res, invalidRequest(413, `body over ${most} bytes`))
        return
      }
      if (bytes.length > 0) {
        try {
          body = JSON.parse(bytes.toString('utf8'))
        } catch (e) {
          sendResponse(res, invalidRequest(400, `malformed JSON: ${(e as Error).message}`))
          return
        }
      }
    }
    const gone = makeFlag()
    function close(): void {
      if (!res.writableFinished) gone.fire()
    }
    res.on('close', close)
    function header(name: string): string | undefined {
      const got = req.headers[name]
      return Array.isArray(got) ? got[0] : got
    }
    const reply = await handle({
      method: req.method ?? 'GET',
      path: url.pathname,
      query: url.searchParams,
      header,
      body,
      connection: req.socket,
      gone,
      raw: { req, res },
    })
    if (ending && !res.headersSent) res.setHeader('connection', 'close')
    if (reply) sendResponse(res, reply)
  }
  async function take(req: IncomingMessage, res: ServerResponse): Promise<void> {
    busy++
    const line = lines.get(req.socket)
    if (line) {
      line.busy++
      line.last = world.now()
    }
    res.sendDate = false
    function over(): void {
      busy--
      if (line) {
        line.busy--
        line.last = world.now()
      }
      if (busy === 0) {
        quiet.fire()
        quiet = makeFlag()
      }
    }
    res.once('close', over)
    try {
      await answer(req, res)
    } catch (e) {
      if (!req.destroyed) world.log.error('request-fault', { path: req.url, why: (e as Error).stack ?? String(e) })
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
    take as never,
  )
  server.timeout = 0
  function clientError(_e: Error, sock: Duplex): void {
    if (sock.writable) sock.end('HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n')
    else sock.destroy()
  }
  server.on('clientError', clientError)

  function line(sock: Duplex): void {
    if (lines.size >= (opt.lines ?? MAX_LISTENER_CONNECTIONS)) {
      sock.on('error', noop)
      sock.destroy()
      return
    }
    const closed = makeFlag()
    lines.set(sock, { closed, busy: 0, last: world.now() })
    function end(): void {
      lines.delete(sock)
      closed.fire()
    }
    sock.on('error', noop)
    sock.on('close', end)
    opt.onConnection?.(sock, closed)
    watchQuiet()
    server.emit('connection', sock)
  }
  // One timer for all connections, set while there are any.
  let watching = false
  function watchQuiet(): void {
    if (watching || opt.quiet === undefined) return
    watching = true
    world.later(opt.quiet / 4, endQuiet)
  }
  function endQuiet(): void {
    watching = false
    const now = world.now()
    for (const [sock, one] of lines)
      if (now - one.last >= opt.quiet! + (one.busy > 0 ? BODY_TIMEOUT_MS : 0)) sock.destroy()
    if (lines.size > 0) watchQuiet()
  }
  const listener = await world.listen(addr, line)

  async function idle(): Promise<void> {
    while (busy > 0) await quiet.wait()
  }
  function drain(): void {
    ending = true
  }
  function linesNow(): number {
    return lines.size
  }
  // Takes no new connections, so that a caller's dial fails with nothing sent; then ends each connection once it
  // is idle and has been for LINE_GRACE. A request on its way to one idle for longer is lost with it, so drain()
  // comes well before. Whoever is not done by then (a reader who follows, say) is ended all the same.
  async function close(ms = CLOSE_TIMEOUT_MS): Promise<void> {
    ending = true
    const done = listener.close()
    const until = world.now() + ms
    while (lines.size > 0) {
      const now = world.now()
      for (const [sock, one] of lines)
        if (now >= until || (one.busy === 0 && now - one.last >= CONNECTION_GRACE_MS)) sock.destroy()
      if (lines.size > 0) await pause(world, CONNECTION_GRACE_MS / 5)
    }
    await done
  }
  function busyNow(): number {
    return busy
  }
  return { drain, close, busy: busyNow, lines: linesNow, idle }
}
