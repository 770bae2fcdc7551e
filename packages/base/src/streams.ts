import type { Duplex } from 'node:stream'
import {
  CONNECTION_GRACE_MS,
  CLOSE_TIMEOUT_MS,
  MAX_LISTENER_CONNECTIONS,
  SESSION_START_TIMEOUT_MS,
} from './constants.js'
import type { HttpListener } from './http-server.js'
import { makeFlag, noop, pause } from './waiting.js'
import type { Address, World } from './world.js'

/** Handler of one accepted connection, which is one long-lived session. */
export type ConnectionHandler = {
  /**
   * Whether no request and no transaction is open, so that closing interrupts nothing. With late, this includes a
   * connection whose client is expected to send a request next.
   */
  resting: (late?: boolean) => boolean
  /** Whether the client has begun its session; if not within SESSION_START_TIMEOUT_MS, the connection is closed. */
  hasBegun: () => boolean
  /** Sends the last message and closes the connection. */
  end: () => void
  /** Called when the connection has closed. */
  gone: () => void
}
/**
 * What the listener offers to a handler. busy: changes the number of open requests by the difference. answered: called
 * after each answer, so that a draining listener can close the connection right then.
 */
export type ConnectionSlot = { busy: (difference: number) => void; answered: () => void }

/** Listens for connections with long-lived sessions; drains and closes like the HTTP listener. */
export async function serveStreams(
  world: World,
  addr: Address,
  openHandler: (stream: Duplex, slot: ConnectionSlot) => ConnectionHandler,
  maxConnections: number = MAX_LISTENER_CONNECTIONS,
): Promise<HttpListener> {
  const handlers = new Map<Duplex, ConnectionHandler>()
  let openRequests = 0
  let isDraining = false
  let becameIdle = makeFlag()

  function addOpenRequests(difference: number): void {
    openRequests += difference
    if (openRequests > 0) return
    becameIdle.fire()
    becameIdle = makeFlag()
  }
  function accept(stream: Duplex): void {
    stream.on('error', noop)
    if (handlers.size >= maxConnections) {
      stream.destroy()
      return
    }
    function endIfIdle(): void {
      if (isDraining && handler.resting()) handler.end()
    }
    const handler = openHandler(stream, { busy: addOpenRequests, answered: endIfIdle })
    handlers.set(stream, handler)
    function closeUnlessBegun(): void {
      if (!handler.hasBegun()) stream.destroy()
    }
    const cancelStartTimeout = world.later(SESSION_START_TIMEOUT_MS, closeUnlessBegun)
    function onClosed(): void {
      cancelStartTimeout()
      handlers.delete(stream)
      handler.gone()
    }
    stream.on('close', onClosed)
  }
  const listener = await world.listen(addr, accept)

  /**
   * Closes idle connections at once, the others right after the answer that makes them idle. New ones are still
   * accepted, as load balancers learn a little later that this node leaves.
   */
  function drain(): void {
    if (isDraining) return
    isDraining = true
    for (const handler of [...handlers.values()]) if (handler.resting()) handler.end()
  }
  async function close(timeoutMs = CLOSE_TIMEOUT_MS): Promise<void> {
    drain()
    const listenerClosed = listener.close()
    for (const handler of [...handlers.values()]) if (handler.resting(true)) handler.end()
    const deadline = world.now() + timeoutMs
    while (handlers.size > 0 && world.now() < deadline) await pause(world, CONNECTION_GRACE_MS / 5)
    for (const stream of [...handlers.keys()]) stream.destroy()
    await listenerClosed
  }
  async function idle(): Promise<void> {
    while (openRequests > 0) await becameIdle.wait()
  }
  function connectionCount(): number {
    return handlers.size
  }
  function openRequestCount(): number {
    return openRequests
  }
  return { drain, close, busy: openRequestCount, lines: connectionCount, idle }
}
