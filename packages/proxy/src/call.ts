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
import type { Kind, LaneRules, Rules } from './rules.js'
import type { Instance } from './watch.js'

// One call on its way. Kept for it: its deadline, its sends, its last trouble, and what became of each send.
// Invariants: ran is 'no' only while nothing of it can have run at an instance; a write whose ran is
// 'maybe' is never sent again; a pending place, a loan, a reservation and a probe are each given up exactly once;
// lane and need (with the tenant that its connection is for) are those of rules, and nothing is sent while rules are not the ones in force.
export type Call = {
  kind: Kind
  rules: Rules
  lane: LaneRules
  /** Hash of the key that the client came with. */
  keyHash: string | undefined
  requirements: ConnectionRequirements
  token: Token | undefined
  mustLead: boolean
  body: { text?: string; shape?: string; args: unknown[]; id?: string }
  // find: the call's lane in other rules. hold: until when it waits for a leader or a connection;
  // moveHold: for a leader, while one is known to be on its way. behind: followers that
  // said in this call that they lack the place.
  find: (rules: Rules) => LaneRules | undefined
  hold: number
  moveHold: number
  behind: Set<string>
  deadline: number
  byCaller: boolean
  gone: Flag
  sends: number
  waited: boolean
  ran: 'no' | 'maybe'
  last: RequestError | undefined
  probe: boolean
  target?: { instance: Instance; epoch: number; floor: LogPosition | undefined }
  loan?: CheckedOutConnection
  got?: Result<StatementResult, RequestError>
  sentAt: number
  /** Of the tenant's limit, for the next send. */
  reservation?: Reservation
  // place: the lane and team that this call is counted under as pending.
  place?: { lane: string; team: string }
}

export type CallResult = {
  verdict: Verdict
  position?: LogPosition
  connection?: CheckedOutConnection
  epoch?: number
  instance?: string
}

// What a call of the lane needs in force on its connection.
export function needFor(
  lane: LaneRules,
  rules: Rules,
  has: { settings: [string, string][]; shapes: Map<string, string> },
  tenant: string | undefined,
): ConnectionRequirements {
  return {
    database: lane.database,
    settings: has.settings,
    shapes: has.shapes,
    team: tenant ?? lane.team,
    share: rules.shares.get(lane.team) ?? 1,
    ...(tenant !== undefined ? { tenant } : {}),
  }
}

export function makeCall(
  world: World,
  kind: Kind,
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
    find: Call['find']
    ms: number | undefined
    gone: Flag
  },
): Call {
  const now = world.now()
  const byCaller = parts.ms !== undefined && parts.ms < RETRY_BUDGET_MS
  const budget = Math.min(RETRY_BUDGET_MS, parts.ms ?? RETRY_BUDGET_MS, lane.statementTimeoutMs ?? RETRY_BUDGET_MS)
  return {
    kind,
    rules,
    lane,
    keyHash: parts.keyHash,
    token: parts.token,
    mustLead: parts.mustLead,
    body: parts.body,
    gone: parts.gone,
    byCaller,
    requirements: needFor(lane, rules, parts, parts.tenant),
    find: parts.find,
    hold: now + (lane.targetLatencyMs === undefined ? budget : lane.targetLatencyMs * QUEUE_TIMEOUT_SHARE),
    moveHold: now + (lane.targetLatencyMs === undefined ? budget : budget * PROMOTION_WAIT_SHARE),
    behind: new Set(),
    deadline: now + budget,
    sends: 0,
    waited: false,
    ran: 'no',
    last: undefined,
    probe: false,
    sentAt: now,
  }
}
