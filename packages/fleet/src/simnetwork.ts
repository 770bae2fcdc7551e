import { Duplex } from 'node:stream'
import { noop } from '@claynotch/base'
import type { Clock } from './simclock.js'
import type { End, Machine, Proc } from './simparts.js'

// The simulated network: delays, cuts, loss, and the streams between processes.
export type Network = {
  // ms that something takes on its way.
  delay: () => number
  isCut: (from: Machine, to: Machine) => boolean
  // Share of datagrams lost and of stream chunks delayed by a resend.
  lossShare: () => number
  loss: (share: number) => void
  cut: (from: Machine, to: Machine, both?: boolean) => void
  heal: (from?: Machine, to?: Machine) => void
  makeEnd: (proc: Proc) => End
  // The other end is reset once the news has come there.
  breakLater: (from: End, to: End) => void
  // Every open stream that touches the process is reset, as by a RST: what is under way is lost, both sides see it at once.
  reset: (proc: Proc) => void
  // Bytes that go from one machine to another, or would, by the names of both.
  count: (from: Machine, to: Machine, bytes: number) => void
  carried: () => Map<string, Map<string, number>>
}

export function makeNetwork(clock: Clock, random: () => number, latency: number): Network {
  const cuts = new Set<string>()
  let lossShare = 0
  const carried = new Map<string, Map<string, number>>()

  function count(from: Machine, to: Machine, bytes: number): void {
    const out = carried.get(from.name) ?? new Map<string, number>()
    out.set(to.name, (out.get(to.name) ?? 0) + bytes)
    carried.set(from.name, out)
  }
  function carriedNow(): Map<string, Map<string, number>> {
    return carried
  }
  function delay(): number {
    return latency * (0.7 + 0.6 * random())
  }
  function isCut(from: Machine, to: Machine): boolean {
    if (from === to) return false
    return from.dark || to.dark || cuts.has(`${from.name}>${to.name}`)
  }
  function makeEnd(proc: Proc): End {
    function write(chunk: Buffer, _enc: string, ok: () => void): void {
      const me = end
      const other = me.peerEnd
      if (other && !me.shut) carry(me, other, Buffer.from(chunk))
      ok()
    }
    function final(ok: () => void): void {
      const other = end.peerEnd
      if (other && !end.shut) carry(end, other, null)
      ok()
    }
    function destroy(_e: Error | null, ok: (e: Error | null) => void): void {
      if (!end.shut) {
        end.shut = true
        proc.streamEnds.delete(end)
        if (end.peerEnd) breakLater(end, end.peerEnd)
      }
      ok(null)
    }
    const end = new Duplex({ read: noop, write, final, destroy, autoDestroy: true, allowHalfOpen: false }) as End
    end.proc = proc
    end.shut = false
    end.lastAt = 0
    // What node:http expects of a socket beyond a stream.
    Object.assign(end, { setTimeout: same, setKeepAlive: same, setNoDelay: same, ref: same, unref: same })
    function same(): End {
      return end
    }
    proc.streamEnds.add(end)
    return end
  }
  // One chunk (null: the end) on its way; a stream keeps its order, and waits where the path is cut.
  function carry(from: End, to: End, chunk: Buffer | null): void {
    if (chunk) count(from.proc.machine, to.proc.machine, chunk.length)
    let at = clock.now() + delay()
    if (lossShare > 0 && from.proc.machine !== to.proc.machine && random() < lossShare) at += 200
    at = Math.max(at, from.lastAt)
    from.lastAt = at
    function arrive(): void {
      if (to.shut) return
      if (isCut(from.proc.machine, to.proc.machine)) {
        from.lastAt = Math.max(from.lastAt, clock.now() + 200)
        clock.schedule(200, to.proc, arrive)
        return
      }
      to.push(chunk)
    }
    clock.schedule(at - clock.now(), to.proc, arrive)
  }
  function breakLater(from: End, to: End): void {
    const at = Math.max(clock.now() + delay(), from.lastAt)
    function arrive(): void {
      if (to.shut) return
      if (isCut(from.proc.machine, to.proc.machine)) {
        clock.schedule(200, to.proc, arrive)
        return
      }
      to.shut = true
      to.proc.streamEnds.delete(to)
      to.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }))
    }
    clock.schedule(at - clock.now(), to.proc, arrive)
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
      const other = end.peerEnd
      if (!other) continue
      for (const one of [end, other]) {
        if (one.shut) continue
        one.shut = true
        one.proc.streamEnds.delete(one)
        function breakNow(): void {
          one.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }))
        }
        clock.schedule(0, one.proc, breakNow)
      }
    }
  }
  function loss(share: number): void {
    lossShare = share
  }
  function lossNow(): number {
    return lossShare
  }
  return { delay, isCut, lossShare: lossNow, loss, cut, heal, makeEnd, breakLater, reset, count, carried: carriedNow }
}
