import { MAX_QUEUED_CALLS } from '@claynotch/base'
import {
  compilePolicy,
  findOpenMove,
  tenantsByKey,
  type Config,
  type Move,
  type Policy,
  type Tenant,
} from '@claynotch/operator'

/**
 * One step of a call. The steps are compiled from the configuration for each lane and kind of call; the interpreter
 * (interpret.ts) runs them in order, and evaluate ends the call or returns to aim for a retry.
 */
export type Step =
  | { op: 'check node' } // this node has a valid lease and a connection share, and isn't stopping
  | { op: 'take'; pending: number } // admission: the lane has fewer than this many pending calls
  | { op: 'breaker' } // the group's circuit breaker lets the call through
  | { op: 'aim'; at: 'leader' } // selects the group's leader, and waits for one during a promotion
  | { op: 'aim'; at: 'fresh'; within: number; own: boolean } // selects a follower proved fresh enough, else the leader
  | { op: 'quota' } // reserves an operation of the tenant's quota
  | { op: 'check out' } // checks out a connection, with the session's settings and shapes applied
  | { op: 'send' }
  | { op: 'evaluate' }

/** What a call does: a single read or write statement, or the begin of a read or write transaction. */
export type CallKind = 'read' | 'write' | 'begin read' | 'begin write'
/** The rules of one lane: a named route to a group and database. */
export type LaneRules = {
  name: string
  group: string
  /**
   * Since when (local time, ms) this node has known the lane to belong to this group and not to another; 0 if it never
   * knew it to belong to another.
   */
  groupSince: number
  team: string
  database: string
  /** Maximum number of pending calls on one node. */
  maxPending: number
  /** ms that one statement may take. */
  statementTimeoutMs: number | undefined
  /** Target latency: ms within which a call should be answered. */
  targetLatencyMs: number | undefined
  /** Maximum number of attempts of a call. */
  maxAttempts: number | undefined
  /** The steps of each kind of call. */
  programs: Map<CallKind, Step[]>
  /** No API key is required. */
  isPublic: boolean
  /** The phase of the move that the lane is in; undefined for the phase copy, which stops nothing. */
  movePhase: Exclude<Move['phase'], 'copy'> | undefined
}
/** The rules compiled from one configuration. A lane without a team belongs to the team ''. */
export type Rules = {
  epoch: number
  /** When this node began to work by these rules. */
  appliedAt: number
  lanes: Map<string, LaneRules>
  /** The first lane of each database. */
  laneByDatabase: Map<string, LaneRules>
  /** The share of the connections by team. */
  connectionShares: Map<string, number>
  /** Maximum number of sessions by team. */
  maxSessions: Map<string, number>
  /** Maximum number of pending calls on one node by team. */
  maxPending: Map<string, number>
  /** ms after which an idle transaction may be ended. */
  transactionIdleMs: number | undefined
  /** The tenants by the hash of each of their API keys; undefined: no key is required. */
  tenants: Map<string, Tenant> | undefined
  policy: { policy: Policy; fallback: string } | undefined
}

/** The groupSince of a lane: kept while it stays in its group, now if it came from another. */
function groupSinceOf(lane: string, group: string, now: number, previous: Rules | undefined): number {
  const previousLane = previous?.lanes.get(lane)
  if (!previousLane) return 0
  return previousLane.group === group ? previousLane.groupSince : now
}

/** Compiles a configuration into rules; previous: the rules that they replace. */
export function compileRules(
  config: Config,
  epoch: number,
  moves: Move[],
  appliedAt: number,
  previous: Rules | undefined = undefined,
): Rules {
  const lanes = new Map<string, LaneRules>()
  const laneByDatabase = new Map<string, LaneRules>()
  for (const lane of config.lanes) {
    const maxPending = lane.pending ?? MAX_QUEUED_CALLS
    const phase = findOpenMove(moves, lane.name)?.phase
    const toLeader: Step = { op: 'aim', at: 'leader' }
    const forReads: Step =
      lane.reads === 'leader'
        ? toLeader
        : { op: 'aim', at: 'fresh', within: lane.reads.within, own: lane.reads.own === true }
    const programs = new Map<CallKind, Step[]>()
    for (const [kind, selectTarget] of [
      ['read', forReads],
      ['write', toLeader],
      ['begin read', forReads],
      ['begin write', toLeader],
    ] as [CallKind, Step][]) {
      programs.set(kind, [
        { op: 'check node' },
        { op: 'take', pending: maxPending },
        { op: 'breaker' },
        selectTarget,
        { op: 'quota' },
        { op: 'check out' },
        { op: 'send' },
        { op: 'evaluate' },
      ])
    }
    const laneRules: LaneRules = {
      name: lane.name,
      group: lane.group,
      groupSince: groupSinceOf(lane.name, lane.group, appliedAt, previous),
      team: lane.team ?? '',
      database: lane.database,
      maxPending,
      statementTimeoutMs: lane.limit,
      targetLatencyMs: lane.aim,
      maxAttempts: lane.sends,
      programs,
      isPublic: lane.public === true,
      movePhase: phase === 'copy' ? undefined : phase,
    }
    lanes.set(lane.name, laneRules)
    if (!laneByDatabase.has(lane.database)) laneByDatabase.set(lane.database, laneRules)
  }
  const connectionShares = new Map<string, number>()
  const maxSessions = new Map<string, number>()
  const maxPending = new Map<string, number>()
  for (const team of config.teams ?? []) {
    connectionShares.set(team.name, team.share ?? 1)
    if (team.sessions !== undefined) maxSessions.set(team.name, team.sessions)
    if (team.pending !== undefined) maxPending.set(team.name, team.pending)
  }
  // The policy compiled when the configuration was accepted; if it doesn't compile here, every call uses the fallback.
  const policy = config.policy ? compilePolicy(config.policy.lua) : undefined
  return {
    epoch,
    appliedAt,
    lanes,
    laneByDatabase,
    connectionShares,
    maxSessions,
    maxPending,
    transactionIdleMs: config.transactionIdle,
    tenants: tenantsByKey(config.tenants),
    policy: config.policy && policy?.ok ? { policy: policy.val, fallback: config.policy.fallback } : undefined,
  }
}
