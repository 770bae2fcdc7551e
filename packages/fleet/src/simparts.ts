import type { Duplex } from 'node:stream'

/** An event on virtual time; sequence orders events of the same time, proc is the process that it belongs to. */
export type ScheduledEvent = { at: number; sequence: number; proc: Proc | undefined; run: () => void }

/** A simulated process. */
export type Proc = {
  name: string
  machine: Machine
  /** A dead process gets no more events; a frozen one gets the events that it missed, in order, when it thaws. */
  state: 'up' | 'dead' | 'frozen'
  /** Events held back while the process is frozen. */
  held: ScheduledEvent[]
  streamEnds: Set<StreamEnd>
  /** Keys of the endpoints that it listens on. */
  open: Set<string>
  /** Writes that haven't been synced. */
  pendingWrites: Set<PendingWrite>
}
/** A simulated machine: its clock, disk and network state. */
export type Machine = {
  name: string
  ip: string
  /** Added to virtual time to give the machine's clock, in ms. */
  clockSkewMs: number
  files: Map<string, Buffer>
  /** Cut off from the network; a power failure if its processes are killed too. */
  dark: boolean
  /** The disk is full: no append or replacement of a file succeeds. */
  full: boolean
  /** Factor by which disk operations take longer. */
  slow: number
  /** No disk operation completes while this is true. */
  isDiskStalled: boolean
}
/** A write that hasn't been synced; whole: it replaces the file, otherwise it appends. */
export type PendingWrite = { machine: Machine; path: string; bytes: Uint8Array; whole: boolean }
/** A process's end of a stream; lastArrivalAt: when the last chunk sent from it arrives, to keep chunks in order. */
export type StreamEnd = Duplex & { peerEnd?: StreamEnd; proc: Proc; isClosed: boolean; lastArrivalAt: number }
