import * as t from 'io-ts'

// A ballot: a number and the proposer's name, compared in that order.
// Invariant: a proposer never uses one ballot twice, also across its restarts (its name holds a fresh part).
export const Ballot = t.tuple([t.number, t.string])
export type Ballot = t.TypeOf<typeof Ballot>

export const ZERO_BALLOT: Ballot = [0, '']

export function compareBallots(a: Ballot, b: Ballot): number {
  if (a[0] !== b[0]) return a[0] - b[0]
  return a[1] < b[1] ? -1 : a[1] > b[1] ? 1 : 0
}
