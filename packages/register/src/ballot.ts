import * as t from 'io-ts'

/**
 * A Paxos ballot: a number and the id of the proposer, compared in that order.
 *
 * Invariant: a proposer never uses a ballot twice, not even after a restart (its id contains a random part).
 */
export const Ballot = t.tuple([t.number, t.string])
export type Ballot = t.TypeOf<typeof Ballot>

/** The ballot of a register without a value. */
export const ZERO_BALLOT: Ballot = [0, '']

export function compareBallots(a: Ballot, b: Ballot): number {
  if (a[0] !== b[0]) return a[0] - b[0]
  return a[1] < b[1] ? -1 : a[1] > b[1] ? 1 : 0
}
