import { Duplex } from 'node:stream'
import { noop } from '@claynotch/base'
import type { Clock } from './simclock.js'
import type { StreamEnd, Machine, Proc } from './simparts.js'

/** The simulated network: delays, cuts, loss, and the streams between processes. */
export type Network = {
  /** Draws a one-way delay, in ms. */
  delay: () => number
  isCut: (from: Machine, to: Machine) => boolean
  /** Share of datagrams that are lost and of stream chunks that are delayed by a retransmission. */
  lossShare: () => number
  /** Sets that share. */
  loss: (share: number) => void
  /** Blocks the path from one machine to the other; both ways unless `both` is false. */
  cut: (from: Machine, to: Machine, both?: boolean) => void
  /** Removes the cuts between two machines, both ways; without arguments, all cuts. */
  heal: (from?: Machine, to?: Machine) => void
  /** Makes a process's end of a stream. */
  makeEnd: (proc: Proc) => StreamEnd
  /** Resets the other end after the network delay. */
  resetPeerLater: (from: StreamEnd, to: StreamEnd) => void
  /** Resets every open stream of the process, as by a RST: data in flight is lost, and both sides see it at once. */
  reset: (proc: Proc) => void
  /** Counts bytes sent from one machine to another: stream bytes when sent, datagrams unless cut off or lost. */
  countBytes: (from: Machine, to: Machine, bytes: number) => void
  /** Bytes sent, by the name of the sending machine, then by that of the receiving one. */
  bytesSent: () => Map<string, Map<string, number>>
}

export function makeNetwork(clock: Clock, random: () => number, latency: number): Network {
  const cuts = new Set<string>()
  let lossShare = 0
  const bytesBySource = new Map<string, Map<string, number>>()

  function countBytes(from: Machine, to: Machine, bytes: number): void {
    const bytesByTarget = bytesBySource.get(from.name) ?? new Map<string, number>()
    bytesByTarget.set(to.name, (bytesByTarget.get(to.name) ?? 0) + bytes)
    bytesBySource.set(from.name, bytesByTarget)
  }
  function currentBytesSent(): Map<string, Map<string, number>> {
    return bytesBySource
  }
  function delay(): number {
    return latency * (0.7 + 0.6 * random())
  }
  function isCut(from: Machine, to: Machine): boolean {
    if (from === to) return false
    return from.dark || to.dark || cuts.has(`${from.name}>${to.name}`)
  }
  function makeEnd(proc: Proc): StreamEnd {
    function write(chunk: Buffer, _enc: string, done: () => void): void {
      const self = end
      const peer = self.peerEnd
      if (peer && !self.isClosed) transmit(self, peer, Buffer.from(chunk))
      done()
    }
    function final(done: () => void): void {
      const peer = end.peerEnd
      if (peer && !end.isClosed) transmit(end, peer, null)
      done()
    }
    function destroy(_e: Error | null, done: (e: Error | null) => void): void {
      if (!end.isClosed) {
        end.isClosed = true
        proc.streamEnds.delete(end)
        if (end.peerEnd) resetPeerLater(end, end.peerEnd)
      }
      done(null)
    }
    const end = new Duplex({ read: noop, write, final, destroy, autoDestroy: true, allowHalfOpen: false }) as StreamEnd
    end.proc = proc
    end.isClosed = false
    end.lastArrivalAt = 0
    // Socket methods that node:http calls and a plain stream lacks.
    Object.assign(end, {
      setTimeout: returnEnd,
      setKeepAlive: returnEnd,
      setNoDelay: returnEnd,
      ref: returnEnd,
      unref: returnEnd,
    })
    function returnEnd(): StreamEnd {
      return end
    }
    proc.streamEnds.add(end)
    return end
  }
  /**
   * Sends one chunk (null: end of stream). Chunks arrive in order; while the path is cut, delivery is tried again
   * every 200 ms. A lost chunk arrives 200 ms later.
   */
  function transmit(from: StreamEnd, to: StreamEnd, chunk: Buffer | null): void {
    if (chunk) countBytes(from.proc.machine, to.proc.machine, chunk.length)
    let arrivesAt = clock.now() + delay()
    if (lossShare > 0 && from.proc.machine !== to.proc.machine && random() < lossShare) arrivesAt += 200
    arrivesAt = Math.max(arrivesAt, from.lastArrivalAt)
    from.lastArrivalAt = arrivesAt
    function deliver(): void {
      if (to.isClosed) return
      if (isCut(from.proc.machine, to.proc.machine)) {
        from.lastArrivalAt = Math.max(from.lastArrivalAt, clock.now() + 200)
        clock.schedule(200, to.proc, deliver)
        return
      }
      to.push(chunk)
    }
    clock.schedule(arrivesAt - clock.now(), to.proc, deliver)
  }
  function resetPeerLater(from: StreamEnd, to: StreamEnd): void {
    const arrivesAt = Math.max(clock.now() + delay(), from.lastArrivalAt)
    function resetPeer(): void {
      if (to.isClosed) return
      if (isCut(from.proc.machine, to.proc.machine)) {
        clock.schedule(200, to.proc, resetPeer)
        return
      }
      to.isClosed = true
      to.proc.streamEnds.delete(to)
      to.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }))
    }
    clock.schedule(arrivesAt - clock.now(), to.proc, resetPeer)
  }
  function cut(from: Machine, to: Machine, both = true): void {
    cuts.add(`${from.name}>${to.name}`)
    if (both) cuts.add(`${to.name}>${from.name}`)
  }
  function heal(from?: Machine, to?: Machine): void {
    if (!from || !to) {
      cuts.clear()
      return
    }
    cuts.delete(`${from.name}>${to.name}`)
    cuts.delete(`${to.name}>${from.name}`)
  }
  function reset(proc: Proc): void {
    for (const end of [...proc.streamEnds]) {
      const peer = end.peerEnd
      if (!peer) continue
      for (const side of [end, peer]) {
        if (side.isClosed) continue
        side.isClosed = true
        side.proc.streamEnds.delete(side)
        function resetSide(): void {
          side.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }))
        }
        clock.schedule(0, side.proc, resetSide)
      }
    }
  }
  function setLossShare(share: number): void {
    lossShare = share
  }
  function currentLossShare(): number {
    return lossShare
  }
  return {
    delay,
    isCut,
    lossShare: currentLossShare,
    loss: setLossShare,
    cut,
    heal,
    makeEnd,
    resetPeerLater,
    reset,
    countBytes,
    bytesSent: currentBytesSent,
  }
}
