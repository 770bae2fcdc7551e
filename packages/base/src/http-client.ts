import { Agent, type ClientRequest, type IncomingMessage, request } from 'node:http'
import type { Duplex } from 'node:stream'
import { DIAL_TIMEOUT_MS } from './constants.js'
import { Err, Ok, type Result } from './result.js'
import { type Flag, makeFlag, noop } from './waiting.js'
import type { Address, World } from './world.js'

// HTTP/1.1 as a client, over the connections of the world: a line is one connection that asks one request after another.

// How far a failed call got. none: nothing of it was handed to a connection; maybe: it may have reached.
export type Reach = 'none' | 'maybe'

export type HttpFailure = { reach: Reach; why: string }

export type HttpAnswer = { status: number; body: unknown; after?: number }

export type HttpConnection = {
  ask: (
    method: string,
    path: string,
    body: unknown,
    ms: number,
    headers?: [string, string][],
  ) => Promise<Result<HttpAnswer, HttpFailure>>
  close: () => void
  alive: () => boolean
  closed: Flag
}

// One HTTP connection that stays the same for its life: once it broke, it is never dialled again,
// so that what was set up on it can't be taken for what isn't there any more.
export async function openHttpConnection(
  world: World,
  addr: Address,
  ms: number = DIAL_TIMEOUT_MS,
): Promise<Result<HttpConnection, HttpFailure>> {
  let stream: Duplex
  try {
    stream = await world.dial(addr, ms)
  } catch (e) {
    return Err({ reach: 'none', why: (e as Error).message })
  }
  const closed = makeFlag()
  let given = false
  // asked: a request whose answer hasn't ended. Whatever comes at another time answers nothing that was asked, and what
  // comes after it would be taken for the answer to the next request.
  let asked = false
  function gone(): void {
    closed.fire()
  }
  function stray(): void {
    if (!asked) close()
  }
  stream.on('data', stray)
  stream.on('error', gone)
  stream.on('close', gone)
  stream.on('end', gone)
  const agent = new Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 })
  // node:http asks again when the stream closed while a request waited for it; the answer must go through
  // the callback, as a throw here would end the process.
  function give(_options: unknown, ok: (e: Error) => void): Duplex | undefined {
    if (given) {
      ok(new Error('connection broke'))
      return undefined
    }
    given = true
    return stream
  }
  ;(agent as unknown as { createConnection: typeof give }).createConnection = give

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
    limit: number,
    headers: [string, string][] = [],
  ): Promise<Result<HttpAnswer, HttpFailure>> {
    function start(ok: (r: Result<HttpAnswer, HttpFailure>) => void): void {
      if (closed.fired() || asked) {
        ok(Err({ reach: 'none', why: closed.fired() ? 'connection closed' : 'another request is under way' }))
        return
      }
      asked = true
      let over = false
      let unwatch = noop
      function end(r: Result<HttpAnswer, HttpFailure>): void {
        if (over) return
        over = true
        asked = false
        cancel()
        unwatch()
        // Whatever did not end with a whole answer leaves the connection in an unclear state.
        if (r.err) close()
        ok(r)
      }
      function fail(why: string): void {
        end(Err({ reach: 'maybe', why }))
      }
      function late(): void {
        fail('timeout')
        req.destroy()
      }
      function broke(): void {
        fail('connection broke')
      }
      const cancel = world.later(limit, late)
      unwatch = closed.watch(broke)
      const text = body === undefined ? '' : JSON.stringify(body)
      function got(res: IncomingMessage): void {
        const parts: Buffer[] = []
        function data(b: Buffer): void {
          parts.push(b)
        }
        function done(): void {
          const all = Buffer.concat(parts).toString('utf8')
          let value: unknown = all
          if ((res.headers['content-type'] ?? '').startsWith('application/json')) {
            try {
              value = all === '' ? null : JSON.parse(all)
            } catch {
              fail('malformed answer')
              return
            }
          }
          if (!res.complete) {
            fail('answer cut short')
            return
          }
          const after = res.headers['retry-after']
          end(Ok({ status: res.statusCode ?? 0, body: value, ...(after ? { after: Number(after) } : {}) }))
          // The other side ends this connection; nothing more may be written to it.
          if ((res.headers.connection ?? '').toLowerCase() === 'close') close()
        }
        res.on('data', data)
        res.on('end', done)
        res.on('error', broke)
        res.on('close', broke)
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
        for (const [name, value] of headers) req.setHeader(name, value)
      } catch (e) {
        cancel()
        unwatch()
        close()
        ok(Err({ reach: 'none', why: (e as Error).message }))
        return
      }
      function bad(e: Error): void {
        fail(e.message)
      }
      req.on('response', got)
      req.on('error', bad)
      req.end(text)
    }
    return new Promise(start)
  }
  return Ok({ ask, close, alive, closed })
}

// One call on a connection of its own. may: asked once the connection stands, with no wait between it and the write: a
// dial takes up to a second, or as long as the process was frozen, and what allowed the call may have ended meanwhile.
export async function requestOnce(
  world: World,
  addr: Address,
  method: string,
  path: string,
  body: unknown,
  ms: number,
  headers: [string, string][] = [],
  may?: () => boolean,
): Promise<Result<HttpAnswer, HttpFailure>> {
  const line = await openHttpConnection(world, addr, Math.min(ms, DIAL_TIMEOUT_MS))
  if (line.err) return line
  if (may && !may()) {
    line.val.close()
    return Err({ reach: 'none', why: 'no longer allowed once the connection stood' })
  }
  const got = await line.val.ask(method, path, body, ms, headers)
  line.val.close()
  return got
}
