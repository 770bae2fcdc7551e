/** A position in a group's replicated log: the leader's epoch and the position in that epoch. */
export type LogPosition = { epoch: number; position: number }

/** Negative if a comes before b. Positions of different epochs are ordered by the epochs alone. */
export function comparePositions(a: LogPosition, b: LogPosition): number {
  return a.epoch !== b.epoch ? a.epoch - b.epoch : a.position - b.position
}
