import type { Duplex } from 'node:stream'
import { encode, decode } from './cbor.js'
import { FRAME_LIMIT_BYTES } from './constants.js'
import { makeFlag, type Flag } from './waiting.js'
import type { World } from './world.js'

// A held connection between two of our processes: frames of a 4-byte length and a CBOR body
// [kind, id, message]. Kinds: 0 ask, 1 answer, 2 tell.
// Invariants: an ask gets at most one answer; once closed, every pending ask has ended.
export type Link = {
  ask: (msg: unknown, ms: number) => Promise<unknown>
  tell: (msg: unknown) => void
  close: (why?: string) => void
  closed: Flag
  // Local time at which the last frame came in.
  heard: () => number
  // and went out.
  said: () => number
}

export type MessageHandler = (msg: unknown, link: Link) => unknown

export function makeLink(world: World, stream: Duplex, take: MessageHandler): Link {
  const closed = makeFlag()
  const pending = new Map<number, (answer: unknown) => void>()
  let next = 1
  let last = world.now()
  let wrote = last
  let rest: Buffer = Buffer.alloc(0)

  function close(why?: string): void {
    if (closed.fired()) return
    if (why) world.log.warn('link-closed', { why })
    closed.fire()
    stream.destroy()
    for (const done of pending.values()) done(undefined)
    pending.clear()
  }
  function write(kind: number, id: number, msg: unknown): void {
    if (closed.fired()) return
    wrote = world.now()
    const body = encode([kind, id, msg])
    const out = Buffer.allocUnsafe(4 + body.length)
    out.writeUInt32BE(body.length, 0)
    out.set(body, 4)
    stream.write(out)
  }
  // undefined: the link closed, or no answer came in time.
  function ask(msg: unknown, ms: number): Promise<unknown> {
    function start(ok: (v: unknown) => void): void {
      if (closed.fired()) {
        ok(undefined)
        return
      }
      const id = next++
      function late(): void {
        pending.delete(id)
        ok(undefined)
      }
      const cancel = world.later(ms, late)
      function done(v: unknown): void {
        cancel()
        ok(v)
      }
      pending.set(id, done)
      write(0, id, msg)
    }
    return new Promise(start)
  }
  function tell(msg: unknown): void {
    write(2, 0, msg)
  }
  async function serve(id: number, msg: unknown): Promise<void> {
    try {
      const answer = await take(msg, link)
      if (id !== 0) write(1, id, answer ?? null)
    } catch (e) {
      close(`bad message: ${(e as Error).message}`)
    }
  }
  function frame(bytes: Uint8Array): void {
    let body: unknown
    try {
      body = decode(bytes)
    } catch {
      close('garbage frame')
      return
    }
    if (!Array.isArray(body) || body.length !== 3 || typeof body[1] !== 'number') {
      close('garbage frame')
      return
    }
    const [kind, id, msg] = body as [number, number, unknown]
    if (kind === 1) {
      const done = pending.get(id)
      pending.delete(id)
      if (done) done(msg)
    } else if (kind === 0 || kind === 2) void serve(kind === 0 ? id : 0, msg)
    else close('garbage frame')
  }
  function data(chunk: Buffer): void {
    last = world.now()
    rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk])
    while (rest.length >= 4 && !closed.fired()) {
      const size = rest.readUInt32BE(0)
      if (size > FRAME_LIMIT_BYTES) {
        close('frame too long')
        return
      }
      if (rest.length < 4 + size) return
      const bytes = rest.subarray(4, 4 + size)
      rest = rest.subarray(4 + size)
      frame(bytes)
    }
  }
  function gone(): void {
    close()
  }
  function heard(): number {
    return last
  }
  function said(): number {
    return wrote
  }
  const link: Link = { ask, tell, close, closed, heard, said }
  stream.on('data', data)
  stream.on('error', gone)
  stream.on('close', gone)
  stream.on('end', gone)
  return link
}
