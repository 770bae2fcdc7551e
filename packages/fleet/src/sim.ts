import { Duplex } from 'node:stream'
import {
  logTo,
  parseAddr,
  type Addr,
  type Cancel,
  type Disk,
  type Listener,
  type Wire,
  type World,
} from '@claynotch/base'

// The simulator: many processes in one, on virtual time. Each gets a World of its own; the same tasks run
// in it as in a real process, node:http and its parser included, over streams that the simulator carries.
// Invariants: nothing happens but by an event of the queue; events of one time run in the order made;
// between two events every microtask has run, so a seed gives the same run each time.

type Happening = { at: number; num: number; proc: Proc | undefined; run: () => void }

// state: dead ones get nothing any more; frozen ones get all they missed, in order, when they thaw.
export type Proc = {
  name: string
  machine: Machine
  state: 'up' | 'dead' | 'frozen'
  held: Happening[]
  ends: Set<End>
  open: Set<string>
  inFlight: Set<Writing>
}
// dark: off the network (and, when its processes are killed with it, without power).
// full: no write to its disk succeeds. slow: how many times longer its disk takes.
export type Machine = {
  name: string
  ip: string
  skew: number
  files: Map<string, Buffer>
  dark: boolean
  full: boolean
  slow: number
}
type Writing = { machine: Machine; path: string; bytes: Uint8Array; whole: boolean }
type End = Duplex & { peerEnd?: End; proc: Proc; shut: boolean; lastAt: number }

export type Sim = {
  now: () => number
  random: () => number
  machine: (name: string, ip: string) => Machine
  // Starts a process: its tasks run in the World handed to start.
  spawn: (machine: Machine, name: string, start: (world: World) => Promise<unknown>) => Proc
  kill: (proc: Proc) => void
  freeze: (proc: Proc) => void
  thaw: (proc: Proc) => void
  // No bytes from one machine to the other; one way only, unless told both.
  cut: (from: Machine, to: Machine, both?: boolean) => void
  heal: (from?: Machine, to?: Machine) => void
  // Share of datagrams lost and of stream chunks delayed by a resend.
  loss: (share: number) => void
  // Every open stream that touches the process is reset.
  reset: (proc: Proc) => void
  // Runs it so many ms from now.
  at: (ms: number, run: () => void) => void
  run: (until: number) => Promise<void>
  until: (what: () => boolean, limit: number) => Promise<boolean>
  lines: string[]
  events: () => number
  // Bytes that each machine sent each other one so far, by the names of both.
  carried: () => Map<string, Map<string, number>>
}

export function makeRandom(seed: number): () => number {
  let a = (seed * 2654435761 + 12345) >>> 0
  function next(): number {
    a = (a + 0x6d2b79f5) >>> 0
    let t = Math.imul(a ^ (a >>> 15), 1 | a)
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296
  }
  return next
}

export function makeSim(seed: number, opt: { keepLines?: boolean; latency?: number } = {}): Sim {
  const random = makeRandom(seed)
  const heap: Happening[] = []
  const listeners = new Map<string, { proc: Proc; take: (s: Duplex) => void }>()
  const wires = new Map<string, { proc: Proc; take: (b: Uint8Array) => void }>()
  const machines = new Map<string, Machine>()
  const cuts = new Set<string>()
  const lines: string[] = []
  const latency = opt.latency ?? 0.3
  let lossShare = 0
  let now = 1000
  let num = 0
  let done = 0

  // --- the queue: a binary heap by time, then by number ---
  function before(a: Happening, b: Happening): boolean {
    return a.at !== b.at ? a.at < b.at : a.num < b.num
  }
  function push(h: Happening): void {
    heap.push(h)
    let k = heap.length - 1
    while (k > 0) {
      const up = (k - 1) >> 1
      if (!before(heap[k], heap[up])) break
      ;[heap[k], heap[up]] = [heap[up], heap[k]]
      k = up
    }
  }
  function pop(): Happening | undefined {
    const top = heap[0]
    const last = heap.pop()
    if (heap.length === 0 || !last) return top
    heap[0] = last
    let k = 0
    for (;;) {
      let least = k
      for (const c of [2 * k + 1, 2 * k + 2]) if (c < heap.length && before(heap[c], heap[least])) least = c
      if (least === k) return top
      ;[heap[k], heap[least]] = [heap[least], heap[k]]
      k = least
    }
  }
  function plan(ms: number, proc: Proc | undefined, run: () => void): Happening {
    const h: Happening = { at: now + Math.max(0, ms), num: ++num, proc, run }
    push(h)
    return h
  }
  function nop(): void {}

  // --- network ---
  function delay(): number {
    return latency * (0.7 + 0.6 * random())
  }
  function isCut(from: Machine, to: Machine): boolean {
    if (from === to) return false
    return from.dark || to.dark || cuts.has(`${from.name}>${to.name}`)
  }
  function spot(machine: Machine, addr: Addr): string {
    const { host, port } = parseAddr(addr)
    return host.startsWith('127.') ? `${machine.name}|${port}` : `${host}|${port}`
  }
  function machineOf(from: Machine, addr: Addr): Machine | undefined {
    const { host } = parseAddr(addr)
    return host.startsWith('127.') ? from : machines.get(host)
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
        proc.ends.delete(end)
        if (end.peerEnd) breakLater(end, end.peerEnd)
      }
      ok(null)
    }
    const end = new Duplex({ read: nop, write, final, destroy, autoDestroy: true, allowHalfOpen: false }) as End
    end.proc = proc
    end.shut = false
    end.lastAt = 0
    // What node:http expects of a socket beyond a stream.
    Object.assign(end, { setTimeout: same, setKeepAlive: same, setNoDelay: same, ref: same, unref: same })
    function same(): End {
      return end
    }
    proc.ends.add(end)
    return end
  }
  const carried = new Map<string, Map<string, number>>()
  function count(from: Machine, to: Machine, bytes: number): void {
    const out = carried.get(from.name) ?? new Map<string, number>()
    out.set(to.name, (out.get(to.name) ?? 0) + bytes)
    carried.set(from.name, out)
  }
  // One chunk (null: the end) on its way; a stream keeps its order, and waits where the path is cut.
  function carry(from: End, to: End, chunk: Buffer | null): void {
    if (chunk) count(from.proc.machine, to.proc.machine, chunk.length)
    let at = now + delay()
    if (lossShare > 0 && from.proc.machine !== to.proc.machine && random() < lossShare) at += 200
    at = Math.max(at, from.lastAt)
    from.lastAt = at
    function arrive(): void {
      if (to.shut) return
      if (isCut(from.proc.machine, to.proc.machine)) {
        from.lastAt = Math.max(from.lastAt, now + 200)
        plan(200, to.proc, arrive)
        return
      }
      to.push(chunk)
    }
    plan(at - now, to.proc, arrive)
  }
  function breakLater(from: End, to: End): void {
    const at = Math.max(now + delay(), from.lastAt)
    function arrive(): void {
      if (to.shut) return
      if (isCut(from.proc.machine, to.proc.machine)) {
        plan(200, to.proc, arrive)
        return
      }
      to.shut = true
      to.proc.ends.delete(to)
      to.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }))
    }
    plan(at - now, to.proc, arrive)
  }

  function makeWorld(proc: Proc): World {
    const { machine } = proc
    function nowHere(): number {
      return now + machine.skew
    }
    function later(ms: number, run: () => void): Cancel {
      let off = false
      function fire(): void {
        if (!off) run()
      }
      plan(ms, proc, fire)
      function cancel(): void {
        off = true
      }
      return cancel
    }
    async function listen(addr: Addr, take: (s: Duplex) => void): Promise<Listener> {
      const at = spot(machine, addr)
      const old = listeners.get(at)
      if (old && old.proc.state !== 'dead') throw new Error(`listen EADDRINUSE ${addr}`)
      listeners.set(at, { proc, take })
      proc.open.add(at)
      async function close(): Promise<void> {
        if (listeners.get(at)?.proc === proc) listeners.delete(at)
      }
      return { close }
    }
    function dial(addr: Addr, ms: number): Promise<Duplex> {
      function start(ok: (s: Duplex) => void, fail: (e: Error) => void): void {
        let over = false
        function late(): void {
          if (over) return
          over = true
          fail(new Error('dial timeout'))
        }
        plan(ms, proc, late)
        const to = machineOf(machine, addr)
        if (!to || isCut(machine, to) || isCut(to, machine)) return
        function knock(): void {
          const l = listeners.get(spot(machine, addr))
          if (!l || l.proc.state === 'dead') {
            plan(delay(), proc, refuse)
            return
          }
          const mine = makeEnd(proc)
          const theirs = makeEnd(l.proc)
          mine.peerEnd = theirs
          theirs.peerEnd = mine
          function accept(): void {
            l!.take(theirs)
          }
          function up(): void {
            if (over) {
              mine.destroy()
              return
            }
            over = true
            ok(mine)
          }
          plan(0, l.proc, accept)
          plan(delay(), proc, up)
        }
        function refuse(): void {
          if (over) return
          over = true
          fail(new Error('connect ECONNREFUSED'))
        }
        // The knock is the machine's, not the process's: a frozen one's kernel still takes connections.
        plan(delay(), undefined, knock)
      }
      return new Promise(start)
    }
    async function wire(addr: Addr, take: (b: Uint8Array) => void): Promise<Wire> {
      const at = spot(machine, addr)
      wires.set(at, { proc, take })
      function cast(to: Addr, bytes: Uint8Array): void {
        const there = machineOf(machine, to)
        if (!there || isCut(machine, there) || random() < lossShare) return
        const w = wires.get(spot(machine, to))
        if (!w) return
        const copy = Buffer.from(bytes)
        count(machine, there, copy.length)
        function arrive(): void {
          w!.take(copy)
        }
        plan(delay(), w.proc, arrive)
      }
      function close(): void {
        if (wires.get(at)?.proc === proc) wires.delete(at)
      }
      return { cast, close }
    }
    function spend(run: () => void, writing?: Writing): Promise<void> {
      if (writing) proc.inFlight.add(writing)
      function start(ok: () => void): void {
        function end(): void {
          if (writing) proc.inFlight.delete(writing)
          run()
          ok()
        }
        plan((0.5 + random()) * machine.slow, proc, end)
      }
      return new Promise(start)
    }
    async function read(path: string): Promise<Uint8Array | undefined> {
      await spend(nop)
      const got = machine.files.get(path)
      return got ? Buffer.from(got) : undefined
    }
    function mustHaveRoom(): void {
      if (machine.full) throw Object.assign(new Error('ENOSPC: no space left on device'), { code: 'ENOSPC' })
    }
    async function append(path: string, bytes: Uint8Array): Promise<void> {
      mustHaveRoom()
      function put(): void {
        machine.files.set(path, Buffer.concat([machine.files.get(path) ?? Buffer.alloc(0), bytes]))
      }
      await spend(put, { machine, path, bytes, whole: false })
    }
    async function replace(path: string, bytes: Uint8Array): Promise<void> {
      mustHaveRoom()
      function put(): void {
        machine.files.set(path, Buffer.from(bytes))
      }
      await spend(put, { machine, path, bytes, whole: true })
    }
    function cutFile(path: string, size: number): Promise<void> {
      function put(): void {
        machine.files.set(path, (machine.files.get(path) ?? Buffer.alloc(0)).subarray(0, size))
      }
      return spend(put)
    }
    const disk: Disk = { read, append, replace, cut: cutFile }
    function sink(_level: string, line: string): void {
      if (opt.keepLines) lines.push(`t=${(now / 1000).toFixed(3)} proc=${proc.name} ${line}`)
      else if (line.includes('-fault')) lines.push(`t=${(now / 1000).toFixed(3)} proc=${proc.name} ${line}`)
    }
    return { now: nowHere, later, random, log: logTo(sink), listen, dial, wire, disk }
  }

  // --- control ---
  function machine(name: string, ip: string): Machine {
    const m: Machine = {
      name,
      ip,
      skew: Math.floor(random() * 1e6),
      files: new Map(),
      dark: false,
      full: false,
      slow: 1,
    }
    machines.set(ip, m)
    return m
  }
  function spawn(on: Machine, name: string, start: (world: World) => Promise<unknown>): Proc {
    const proc: Proc = {
      name,
      machine: on,
      state: 'up',
      held: [],
      ends: new Set(),
      open: new Set(),
      inFlight: new Set(),
    }
    function failed(e: unknown): void {
      lines.push(`t=${(now / 1000).toFixed(3)} proc=${name} event=start-fault why=${String((e as Error).message)}`)
    }
    function go(): void {
      start(makeWorld(proc)).catch(failed)
    }
    plan(0, proc, go)
    return proc
  }
  function kill(proc: Proc): void {
    if (proc.state === 'dead') return
    proc.state = 'dead'
    proc.held = []
    for (const at of proc.open) if (listeners.get(at)?.proc === proc) listeners.delete(at)
    // Its kernel resets what it had open; one that is off the network can't tell anyone.
    for (const end of proc.ends) {
      end.shut = true
      if (end.peerEnd) breakLater(end, end.peerEnd)
    }
    proc.ends.clear()
    // A write not yet synced may be there, may be torn, may be missing.
    for (const w of proc.inFlight) {
      const r = random()
      if (w.whole) {
        if (r < 0.5) w.machine.files.set(w.path, Buffer.from(w.bytes))
      } else {
        const part = Buffer.from(w.bytes).subarray(0, Math.floor(r * 1.3 * w.bytes.length))
        w.machine.files.set(w.path, Buffer.concat([w.machine.files.get(w.path) ?? Buffer.alloc(0), part]))
      }
    }
    proc.inFlight.clear()
  }
  function freeze(proc: Proc): void {
    if (proc.state === 'up') proc.state = 'frozen'
  }
  function thaw(proc: Proc): void {
    if (proc.state !== 'frozen') return
    proc.state = 'up'
    const held = proc.held
    proc.held = []
    for (const h of held) plan(0, proc, h.run)
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
  // As by a RST: what is under way is lost, both sides see it at once.
  function reset(proc: Proc): void {
    for (const end of [...proc.ends]) {
      const other = end.peerEnd
      if (!other) continue
      for (const one of [end, other]) {
        if (one.shut) continue
        one.shut = true
        one.proc.ends.delete(one)
        function breakNow(): void {
          one.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }))
        }
        plan(0, one.proc, breakNow)
      }
    }
  }
  function loss(share: number): void {
    lossShare = share
  }
  function at(ms: number, run: () => void): void {
    plan(ms, undefined, run)
  }
  function settle(): Promise<void> {
    function start(ok: () => void): void {
      setImmediate(ok)
    }
    return new Promise(start)
  }
  async function step(): Promise<boolean> {
    const h = pop()
    if (!h) return false
    now = Math.max(now, h.at)
    done++
    if (h.proc?.state === 'dead') return true
    if (h.proc?.state === 'frozen') {
      h.proc.held.push(h)
      return true
    }
    h.run()
    await settle()
    return true
  }
  // Several tasks of a scenario may wait at once; one driver takes the steps for all of them.
  // Invariant: driving is true while the driver's loop runs, and only it takes steps.
  const waits = new Set<{ over: () => boolean | undefined; end: (v: boolean) => void }>()
  let driving = false
  async function drive(): Promise<void> {
    driving = true
    while (waits.size > 0) {
      let ended = false
      for (const w of [...waits]) {
        const got = w.over()
        if (got === undefined) continue
        waits.delete(w)
        w.end(got)
        ended = true
      }
      // What waited goes on, and may wait anew, before anything else happens.
      if (ended) await settle()
      else await step()
    }
    driving = false
  }
  function waitFor(over: () => boolean | undefined): Promise<boolean> {
    function start(end: (v: boolean) => void): void {
      waits.add({ over, end })
      if (!driving) void drive()
    }
    return new Promise(start)
  }
  async function run(until: number): Promise<void> {
    function over(): boolean | undefined {
      if (heap.length > 0 && heap[0].at <= until) return undefined
      now = Math.max(now, until)
      return true
    }
    await waitFor(over)
  }
  function untilTrue(what: () => boolean, limit: number): Promise<boolean> {
    const end = now + limit
    function over(): boolean | undefined {
      if (what()) return true
      return heap.length === 0 || heap[0].at > end ? false : undefined
    }
    return waitFor(over)
  }
  function nowTime(): number {
    return now
  }
  function events(): number {
    return done
  }
  function carriedNow(): Map<string, Map<string, number>> {
    return carried
  }
  return {
    now: nowTime,
    random,
    machine,
    spawn,
    kill,
    freeze,
    thaw,
    cut,
    heal,
    loss,
    reset,
    at,
    run,
    until: untilTrue,
    lines,
    events,
    carried: carriedNow,
  }
}
