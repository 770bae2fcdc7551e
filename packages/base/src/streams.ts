import type { Duplex } from 'node:stream'
import { CONNECTION_GRACE_MS, CLOSE_TIMEOUT_MS, MAX_LISTENER_CONNECTIONS, SESSION_START_TIMEOUT_MS } from './constants.js'
import type { HttpListener } from './http-server.js'
import { makeFlag, noop, pause } from './waiting.js'
import type { Address, World } from './world.js'

// A listener for connections that each are one long talk, with the same planned end as the HTTP edge's.
// resting: nothing is asked and nothing is open, so that an end harms nobody; late: though it may have come to ask. end: says its last and closes.
// hasBegun: the other side has said what it came for; one that doesn't within SESSION_START_TIMEOUT_MS is closed.
export type ConnectionHandler = {
  resting: (late?: boolean) => boolean
  hasBegun: () => boolean
  end: () => void
  gone: () => void
}
// answered: to be called after each answer, so that a planned end can come right then. busy: by how many more questions.
export type ConnectionSlot = { busy: (by: number) => void; answered: () => void }

export async function serveStreams(
  world: World,
  addr: Address,
  open: (stream: Duplex, seat: ConnectionSlot) => ConnectionHandler,
  most: number = MAX_LISTENER_CONNECTIONS,
): Promise<HttpListener> {
  const talks = new Map<Duplex, ConnectionHandler>()
  let busy = 0
  let ending = false
  let quiet = makeFlag()

  function count(by: number): void {
    busy += by
    if (busy > 0) return
    quiet.fire()
    quiet = makeFlag()
  }
  function accept(stream: Duplex): void {
    stream.on('error', noop)
    if (talks.size >= most) {
      stream.destroy()
      return
    }
    function answered(): void {
      if (ending && talk.resting()) talk.end()
    }
    const talk = open(stream, { busy: count, answered })
    talks.set(stream, talk)
    function closeUnlessBegun(): void {
      if (!talk.hasBegun()) stream.destroy()
    }
    const cancelStart = world.later(SESSION_START_TIMEOUT_MS, closeUnlessBegun)
    function over(): void {
      cancelStart()
      talks.delete(stream)
      talk.gone()
    }
    stream.on('close', over)
  }
  const listener = await world.listen(addr, accept)

  // Whoever rests is let go at once, the others right after the answer that brings them to rest. New ones are still
  // taken: whoever hands them out learns a little later that this node leaves.
  function drain(): void {
    if (ending) return
    ending = true
    for (const talk of [...talks.values()]) if (talk.resting()) talk.end()
  }
  async function close(ms = CLOSE_TIMEOUT_MS): Promise<void> {
    drain()
    const done = listener.close()
    for (const talk of [...talks.values()]) if (talk.resting(true)) talk.end()
    const until = world.now() + ms
    while (talks.size > 0 && world.now() < until) await pause(world, CONNECTION_GRACE_MS / 5)
    for (const stream of [...talks.keys()]) stream.destroy()
    await done
  }
  async function idle(): Promise<void> {
    while (busy > 0) await quiet.wait()
  }
  function linesNow(): number {
    return talks.size
  }
  function busyNow(): number {
    return busy
  }
  return { drain, close, busy: busyNow, lines: linesNow, idle }
}
