import type { Verdict } from '@claynotch/requester'
import type { Token } from './freshness.js'
import type { CheckedOutConnection } from './pool.js'
import type { LaneRules, Rules } from './rules.js'
import type { SessionState } from './session-state.js'

/**
 * How fresh a follower's answer must be. within: maximum staleness in ms; own: it must include the session's own
 * writes.
 */
export type Freshness = { within: number; own: boolean }

/**
 * An open transaction.
 *
 * Invariants: it has its connection to itself until it ends, and its statements run on no other; hasRun becomes true
 * with the first statement that is sent, and stays true; freshness is set at a follower whose log position is polled,
 * where each statement is checked against the lane's staleness bound; disallowedSince is since when the lane as
 * configured would no longer begin this transaction.
 */
export type Transaction = {
  connection: CheckedOutConnection
  kind: 'read' | 'write'
  lane: string
  database: string
  keyHash: string | undefined
  /** The tenant that its connection was opened for. */
  tenant: string | undefined
  group: string
  epoch: number
  isAtLeader: boolean
  hasRun: boolean
  begunAt: number
  lastUsedAt: number
  freshness: Freshness | undefined
  disallowedSince: number | undefined
}

/**
 * A client's session.
 *
 * Invariants: without an open transaction or a running call, it holds no connection; isBusy is true while a call of the
 * session runs, and a second call is refused then; token is the log position of its last write, in the group that took
 * it; mustReadLeader is true from a write of unknown outcome until a read at the leader; ended is the answer about a
 * transaction that this node ended, until the client has received it: until then nothing that the client sends is
 * executed, except preparing and removing shapes, as it was meant for that transaction.
 */
export type Session = {
  id: string
  /** undefined: each call looks up the lane of the database anew. */
  lane: string | undefined
  database: string
  /** Hash of the API key that the session was opened with. Each operation looks up anew whose key it is. */
  keyHash: string | undefined
  team: string
  state: SessionState
  token: Token | undefined
  mustReadLeader: boolean
  isBusy: boolean
  lastUsedAt: number
  transaction: Transaction | undefined
  ended: Verdict | undefined
  isClosed: boolean
}

/** The lane of that name; without a name, the first lane of the database. */
export function findLane(rules: Rules, name: string | undefined, database: string): LaneRules | undefined {
  return name === undefined ? rules.laneByDatabase.get(database) : rules.lanes.get(name)
}

/** The freshness that the lane's read transactions require of a follower; undefined if they go to the leader. */
export function freshnessOf(lane: LaneRules): Freshness | undefined {
  for (const step of lane.programs.get('begin read') ?? [])
    if (step.op === 'aim' && step.at === 'fresh') return { within: step.within, own: step.own }
  return undefined
}
