import type { Verdict } from '@claynotch/requester'
import type { Token } from './freshness.js'
import type { CheckedOutConnection } from './pool.js'
import type { LaneRules, Rules } from './rules.js'
import type { SessionState } from './session-state.js'

/** How old the data of a follower's answer may be (ms), and whether it must hold the session's own writes. */
export type Freshness = { within: number; own: boolean }

/**
 * An open transaction.
 *
 * Invariants: its connection is its own until it ends, and its statements run on that connection alone; hasRun turns true with the
 * first statement handed over, and never back; freshness is set on a follower, where each statement is held to the route's bound
 * anew; disallowedSince is since when the route as configured would no longer begin it.
 */
export type Transaction = {
  connection: CheckedOutConnection
  kind: 'read' | 'write'
  lane: string
  database: string
  keyHash: string | undefined
  /** For whom its connection was opened. */
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
 * Invariants: one at rest holds no connection; isBusy while one call of it runs, and a second one is refused; token is the position
 * of its last write, in the group that took it; mustReadLeader from a write of unknown end until a read at the leader; ended is what
 * became of a transaction that this node ended by itself, until the client was told: till then nothing that it sends runs, as
 * it was meant for that transaction.
 */
export type Session = {
  id: string
  /** undefined: matched by the database, anew for each call. */
  lane: string | undefined
  database: string
  /** Hash of the key that it was opened with. Whose key that is, each operation looks up anew. */
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

/** The route of that name, or else the first one of the database. */
export function findLane(rules: Rules, name: string | undefined, database: string): LaneRules | undefined {
  return name === undefined ? rules.laneByDatabase.get(database) : rules.lanes.get(name)
}

/** What reads of the route are held to at a follower; undefined where they go to the leader. */
export function freshnessOf(lane: LaneRules): Freshness | undefined {
  for (const step of lane.programs.get('begin read') ?? [])
    if (step.op === 'aim' && step.at === 'fresh') return { within: step.within, own: step.own }
  return undefined
}
