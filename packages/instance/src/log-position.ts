/** A place in a group's replicated history, as the leader's epoch and a position in that epoch. */
export type LogPosition = { epoch: number; position: number }

/** Negative where a comes before b; positions of different epochs are ordered by the epochs alone. */
export function comparePositions(a: LogPosition, b: LogPosition): number {
  return a.epoch !== b.epoch ? a.epoch - b.epoch : a.position - b.position
}
