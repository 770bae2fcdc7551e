import type { Duplex } from 'node:stream'
import { encode, decode } from './cbor.js'
import { FRAME_LIMIT_BYTES } from './constants.js'
import { makeFlag, type Flag } from './waiting.js'
import type { World } from './world.js'

/**
 * A long-lived connection between two processes of the system. A frame is a 4-byte length and a CBOR body
 * [kind, id, message]; kinds: 0 request (ask), 1 answer, 2 one-way message (tell).
 *
 * Invariants: a request gets at most one answer; once the link is closed, no request is pending.
 */
export type Link = {
  /** Sends a request; resolves to undefined if the link closes or no answer arrives in time. */
  ask: (msg: unknown, timeoutMs: number) => Promise<unknown>
  /** Sends a message that is not answered. */
  tell: (msg: unknown) => void
  /** Closes the link; a given reason is logged. */
  close: (why?: string) => void
  closed: Flag
  /** Local time at which data was last received. */
  heard: () => number
  /** Local time at which a frame was last sent. */
  said: () => number
}

/** Handles a received message; the result answers a request. A handler that throws closes the link. */
export type MessageHandler = (msg: unknown, link: Link) => unknown

/** Makes a link of an open stream. */
export function makeLink(world: World, stream: Duplex, handleMessage: MessageHandler): Link {
  const closed = makeFlag()
  const pending = new Map<number, (answer: unknown) => void>()
  let nextId = 1
  let lastReceivedAt = world.now()
  let lastSentAt = lastReceivedAt
  let unparsed: Buffer = Buffer.alloc(0)

  function close(why?: string): void {
    if (closed.fired()) return
    if (why) world.log.warn('link-closed', { why })
    closed.fire()
    stream.destroy()
    for (const settle of pending.values()) settle(undefined)
    pending.clear()
  }
  function write(kind: number, id: number, msg: unknown): void {
    if (closed.fired()) return
    lastSentAt = world.now()
    const body = encode([kind, id, msg])
    const frameBytes = Buffer.allocUnsafe(4 + body.length)
    frameBytes.writeUInt32BE(body.length, 0)
    frameBytes.set(body, 4)
    stream.write(frameBytes)
  }
  function ask(msg: unknown, timeoutMs: number): Promise<unknown> {
    function start(resolve: (answer: unknown) => void): void {
      if (closed.fired()) {
        resolve(undefined)
        return
      }
      const id = nextId++
      function onTimeout(): void {
        pending.delete(id)
        resolve(undefined)
      }
      const cancelTimer = world.later(timeoutMs, onTimeout)
      function onAnswer(answer: unknown): void {
        cancelTimer()
        resolve(answer)
      }
      pending.set(id, onAnswer)
      write(0, id, msg)
    }
    return new Promise(start)
  }
  function tell(msg: unknown): void {
    write(2, 0, msg)
  }
  async function serve(id: number, msg: unknown): Promise<void> {
    try {
      const answer = await handleMessage(msg, link)
      if (id !== 0) write(1, id, answer ?? null)
    } catch (error) {
      close(`invalid message: ${(error as Error).message}`)
    }
  }
  function onFrame(bytes: Uint8Array): void {
    let body: unknown
    try {
      body = decode(bytes)
    } catch {
      close('malformed frame')
      return
    }
    if (!Array.isArray(body) || body.length !== 3 || typeof body[1] !== 'number') {
      close('malformed frame')
      return
    }
    const [kind, id, msg] = body as [number, number, unknown]
    if (kind === 1) {
      const settle = pending.get(id)
      pending.delete(id)
      if (settle) settle(msg)
    } else if (kind === 0 || kind === 2) void serve(kind === 0 ? id : 0, msg)
    else close('malformed frame')
  }
  function onData(chunk: Buffer): void {
    lastReceivedAt = world.now()
    unparsed = unparsed.length === 0 ? chunk : Buffer.concat([unparsed, chunk])
    while (unparsed.length >= 4 && !closed.fired()) {
      const size = unparsed.readUInt32BE(0)
      if (size > FRAME_LIMIT_BYTES) {
        close('frame exceeds the length limit')
        return
      }
      if (unparsed.length < 4 + size) return
      const bytes = unparsed.subarray(4, 4 + size)
      unparsed = unparsed.subarray(4 + size)
      onFrame(bytes)
    }
  }
  function onStreamEnd(): void {
    close()
  }
  function heard(): number {
    return lastReceivedAt
  }
  function said(): number {
    return lastSentAt
  }
  const link: Link = { ask, tell, close, closed, heard, said }
  stream.on('data', onData)
  stream.on('error', onStreamEnd)
  stream.on('close', onStreamEnd)
  stream.on('end', onStreamEnd)
  return link
}
