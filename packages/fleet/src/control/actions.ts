/**
 * The vocabulary of the model test of control: what a drawn schedule may hold.
 *
 * A schedule is data alone, so that it can be drawn, shrunk, printed and kept. Machines are named by numbers that are taken
 * modulo the machines there are when the action begins, so that every shrunk schedule still means something.
 */

/** Faults of one core machine that end by themselves after `long` milliseconds. */
export const FAULTS = ['kill', 'power', 'wipe', 'freeze', 'term', 'slow', 'stall', 'full'] as const
export type FaultKind = (typeof FAULTS)[number]

/** Which way a cut takes bytes away, seen from the machine that is cut off. */
export const WAYS = ['in', 'out', 'both'] as const
export type Way = (typeof WAYS)[number]

/** `wait`: milliseconds between the beginning of the action before and the beginning of this one. */
export type Action = { wait: number } & (
  | { kind: FaultKind; machine: number; long: number }
  // others: a bit for each core machine, then one for each front.
  | { kind: 'cut'; machine: number; others: number; way: Way; long: number }
  // Power is lost everywhere at once.
  | { kind: 'blackout'; long: number }
  // share: of datagrams lost, and of stream chunks that come a resend later.
  | { kind: 'loss'; share: number; long: number }
  | { kind: 'clock'; machine: number; step: number }
  | { kind: 'front'; fault: 'kill' | 'freeze' | 'clock'; long: number }
  | { kind: 'add' }
  | { kind: 'remove'; machine: number }
  // stale: expects an epoch that was passed. again: how often it is sent once more after its answer.
  | { kind: 'order'; machine: number; stale: boolean; gap: number; again: number }
  // Two operators name one epoch at the same time, at two machines.
  | { kind: 'race'; machine: number; other: number; gap: number }
)

/**
 * A whole schedule. `seeds`: machines that found the set; `spares`: core machines beside them; `pad`: bytes of each
 * configuration beside its name, so that data files are rewritten; `before`: orders taken before the first action.
 */
export type Schedule = {
  seed: number
  seeds: number
  spares: number
  pad: number
  before: number
  actions: Action[]
}
