import type { Duplex } from 'node:stream'

// What the simulator is made of: happenings on virtual time, processes, machines, ends of streams.

export type Happening = { at: number; num: number; proc: Proc | undefined; run: () => void }

// state: dead ones get nothing any more; frozen ones get all they missed, in order, when they thaw.
export type Proc = {
  name: string
  machine: Machine
  state: 'up' | 'dead' | 'frozen'
  held: Happening[]
  streamEnds: Set<End>
  open: Set<string>
  pendingWrites: Set<Writing>
}
// dark: off the network (and, when its processes are killed with it, without power).
// full: no write to its disk succeeds. slow: how many times longer its disk takes. stalled: nothing that its disk was asked for
// ends until that is over.
export type Machine = {
  name: string
  ip: string
  clockSkewMs: number
  files: Map<string, Buffer>
  dark: boolean
  full: boolean
  slow: number
  isDiskStalled: boolean
}
export type Writing = { machine: Machine; path: string; bytes: Uint8Array; whole: boolean }
export type End = Duplex & { peerEnd?: End; proc: Proc; shut: boolean; lastAt: number }
