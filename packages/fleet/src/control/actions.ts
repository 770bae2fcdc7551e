/**
 * The actions and schedules of the control model test.
 *
 * A schedule is plain data, so that it can be generated, shrunk, printed and stored. Machine numbers are taken modulo
 * the number of machines present when the action starts, so that every shrunk schedule stays meaningful.
 */

/** Faults of one core host that end by themselves after `long` milliseconds. */
export const FAULTS = ['kill', 'power', 'wipe', 'freeze', 'term', 'slow', 'stall', 'full'] as const
export type FaultKind = (typeof FAULTS)[number]

/** Direction in which a network cut drops bytes, seen from the machine that is cut off. */
export const WAYS = ['in', 'out', 'both'] as const
export type Way = (typeof WAYS)[number]

/** One action; `wait`: milliseconds from the start of the previous action to the start of this one. */
export type Action = { wait: number } & (
  | { kind: FaultKind; machine: number; long: number }
  // `others`: a bit for the front (bit 0), then one for each core host.
  | { kind: 'cut'; machine: number; others: number; way: Way; long: number }
  // Power loss of all core hosts at once.
  | { kind: 'blackout'; long: number }
  // `share`: fraction of datagrams lost, and of stream chunks that arrive one retransmission later.
  | { kind: 'loss'; share: number; long: number }
  | { kind: 'clock'; machine: number; step: number }
  | { kind: 'front'; fault: 'kill' | 'freeze' | 'clock'; long: number }
  | { kind: 'add' }
  | { kind: 'remove'; machine: number }
  // `stale`: expects an outdated epoch. `again`: how often it is resent after its answer.
  | { kind: 'order'; machine: number; stale: boolean; gap: number; again: number }
  // Two operators send orders for the same epoch at the same time, to two machines.
  | { kind: 'race'; machine: number; other: number; gap: number }
)

/**
 * A complete schedule. `seeds`: hosts that found the core set; `spares`: further core hosts; `pad`: padding bytes of
 * each configuration, so that data files are rewritten; `before`: orders sent, and completed, before the first action.
 */
export type Schedule = {
  seed: number
  seeds: number
  spares: number
  pad: number
  before: number
  actions: Action[]
}
