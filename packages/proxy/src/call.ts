import {
  PROMOTION_WAIT_SHARE,
  QUEUE_TIMEOUT_SHARE,
  RETRY_BUDGET_MS,
  type Flag,
  type Result,
  type World,
} from '@claynotch/base'
import type { LogPosition, RequestError, StatementResult } from '@claynotch/instance'
import type { Reservation } from '@claynotch/quota'
import type { Verdict } from '@claynotch/requester'
import type { Token } from './freshness.js'
import type { CheckedOutConnection, ConnectionRequirements } from './pool.js'
import type { CallKind, LaneRules, Rules } from './rules.js'
import type { Instance } from './watch.js'

/**
 * One call in progress: what to run, its deadline, its attempts and the result of the last one.
 *
 * Invariants: executed is 'no' only while no part of the call can have been executed at an instance; a write whose
 * executed is 'maybe' is never retried; the admission slot, the connection, the quota reservation and the breaker probe
 * are each released exactly once; the lane and the connection requirements (with the connection's tenant) are those of
 * rules, and nothing is sent while rules aren't the ones in force.
 */
export type Call = {
  kind: CallKind
  rules: Rules
  lane: LaneRules
  /** Hash of the API key that the client sent. */
  keyHash: string | undefined
  requirements: ConnectionRequirements
  /** The client's freshness token: the log position that its reads must have reached. */
  token: Token | undefined
  leaderOnly: boolean
  /** The statement, as text or as a prepared shape; id: the client's own id of it, passed to the instance unchanged. */
  body: { text?: string; shape?: string; args: unknown[]; id?: string }
  /** Finds the call's lane in other rules. */
  findLane: (rules: Rules) => LaneRules | undefined
  /** Until when the call waits for a leader. */
  queueDeadline: number
  /** Until when the call waits for a leader while a promotion is known to be in progress. */
  promotionDeadline: number
  /** Followers that answered this call that they lack the required log position. */
  laggingFollowers: Set<string>
  deadline: number
  /** Whether the caller set a timeout shorter than the retry budget. */
  hasCallerDeadline: boolean
  /** Fires when the caller disconnects. */
  callerGone: Flag
  attempts: number
  /** Whether the call has waited for a leader. */
  hasWaited: boolean
  /** Whether any part of the call may have been executed at an instance. */
  executed: 'no' | 'maybe'
  lastError: RequestError | undefined
  /** Whether the call is the probe of a half-open breaker. */
  isBreakerProbe: boolean
  target?: { instance: Instance; epoch: number; floor: LogPosition | undefined }
  connection?: CheckedOutConnection
  result?: Result<StatementResult, RequestError>
  /** When the last attempt was sent. */
  sentAt: number
  /** Of the tenant's quota, for the next attempt. */
  reservation?: Reservation
  /** The lane and the team that count this call as pending. */
  admittedUnder?: { lane: string; team: string }
}

/**
 * How a call ended, and for a call that succeeded its log position, epoch and instance; with the connection of a begun
 * transaction.
 */
export type CallResult = {
  verdict: Verdict
  position?: LogPosition
  connection?: CheckedOutConnection
  epoch?: number
  instance?: string
}

/** The settings, prepared shapes, team and tenant that a call of the lane needs its connection to have. */
export function requirementsFor(
  lane: LaneRules,
  rules: Rules,
  sessionState: { settings: [string, string][]; shapes: Map<string, string> },
  tenant: string | undefined,
): ConnectionRequirements {
  return {
    database: lane.database,
    settings: sessionState.settings,
    shapes: sessionState.shapes,
    team: tenant ?? lane.team,
    share: rules.connectionShares.get(lane.team) ?? 1,
    ...(tenant !== undefined ? { tenant } : {}),
  }
}

/**
 * A call that has not been sent; its deadline is the shortest of the retry budget, the caller's timeout and the lane's.
 */
export function makeCall(
  world: World,
  kind: CallKind,
  lane: LaneRules,
  rules: Rules,
  parts: {
    settings: [string, string][]
    shapes: Map<string, string>
    token: Token | undefined
    mustLead: boolean
    keyHash: string | undefined
    tenant: string | undefined
    body: Call['body']
    find: Call['findLane']
    ms: number | undefined
    gone: Flag
  },
): Call {
  const now = world.now()
  const hasCallerDeadline = parts.ms !== undefined && parts.ms < RETRY_BUDGET_MS
  const budgetMs = Math.min(RETRY_BUDGET_MS, parts.ms ?? RETRY_BUDGET_MS, lane.statementTimeoutMs ?? RETRY_BUDGET_MS)
  return {
    kind,
    rules,
    lane,
    keyHash: parts.keyHash,
    token: parts.token,
    leaderOnly: parts.mustLead,
    body: parts.body,
    callerGone: parts.gone,
    hasCallerDeadline,
    requirements: requirementsFor(lane, rules, parts, parts.tenant),
    findLane: parts.find,
    queueDeadline: now + (lane.targetLatencyMs === undefined ? budgetMs : lane.targetLatencyMs * QUEUE_TIMEOUT_SHARE),
    promotionDeadline: now + (lane.targetLatencyMs === undefined ? budgetMs : budgetMs * PROMOTION_WAIT_SHARE),
    laggingFollowers: new Set(),
    deadline: now + budgetMs,
    attempts: 0,
    hasWaited: false,
    executed: 'no',
    lastError: undefined,
    isBreakerProbe: false,
    sentAt: now,
  }
}
