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

// The way of a request: a short list of steps, compiled from the configuration for each lane and kind of call.
// The interpreter (interpret.ts) runs them in order; judge ends the call or goes back to aim.
export type Step =
  | { op: 'gate' } // a valid term, and this node not stopping
  | { op: 'take'; pending: number } // a place among the lane's pending calls
  | { op: 'breaker' } // the group's breaker lets it pass
  | { op: 'aim'; at: 'leader' } // the group's leader, waited for while a promotion is under way
  | { op: 'aim'; at: 'fresh'; within: number; own: boolean } // a follower proved fresh enough, else the leader
  | { op: 'quota' } // within what the tenant may run
  | { op: 'borrow' } // one connection, with the session's settings and shapes in force
  | { op: 'send' }
  | { op: 'judge' }

export type Kind = 'read' | 'write' | 'begin read' | 'begin write'
// limit: ms that one statement may take. aim: ms that a call should be answered within. sends: most sends of a call.
// move: the phase of the move that the lane is in, from where it stops anything.
// groupSince: from when (local time, ms) this node has known the lane to be of this group and not of another; 0 where it never knew
// it to be of another.
export type LaneRules = {
  name: string
  group: string
  groupSince: number
  team: string
  database: string
  pending: number
  statementTimeoutMs: number | undefined
  targetLatencyMs: number | undefined
  maxAttempts: number | undefined
  programs: Map<Kind, Step[]>
  /** Nobody is asked for a key. */
  isPublic: boolean
  movePhase: Exclude<Move['phase'], 'copy'> | undefined
}
// share, sessions and pending by team; a lane without a team belongs to the team ''.
// transactionIdle: ms; a transaction that rests for longer may be ended.
// since: when this node began to work by them. bases: the first lane of each database.
export type Rules = {
  epoch: number
  appliedAt: number
  lanes: Map<string, LaneRules>
  laneByDatabase: Map<string, LaneRules>
  shares: Map<string, number>
  maxSessions: Map<string, number>
  pending: Map<string, number>
  transactionIdleMs: number | undefined
  /** By the hash of each of their keys; undefined: no key is asked for. */
  tenants: Map<string, Tenant> | undefined
  policy: { policy: Policy; fallback: string } | undefined
}

function groupSinceOf(lane: string, group: string, now: number, previous: Rules | undefined): number {
  const before = previous?.lanes.get(lane)
  if (!before) return 0
  return before.group === group ? before.groupSince : now
}

/** previous: the rules that these replace. */
export function compileRules(
  config: Config,
  epoch: number,
  moves: Move[],
  since: number,
  previous: Rules | undefined = undefined,
): Rules {
  const lanes = new Map<string, LaneRules>()
  const bases = new Map<string, LaneRules>()
  for (const lane of config.lanes) {
    const pending = lane.pending ?? MAX_QUEUED_CALLS
    const phase = findOpenMove(moves, lane.name)?.phase
    const lead: Step = { op: 'aim', at: 'leader' }
    const near: Step =
      lane.reads === 'leader'
        ? lead
        : { op: 'aim', at: 'fresh', within: lane.reads.within, own: lane.reads.own === true }
    const programs = new Map<Kind, Step[]>()
    for (const [kind, aim] of [
      ['read', near],
      ['write', lead],
      ['begin read', near],
      ['begin write', lead],
    ] as [Kind, Step][]) {
      programs.set(kind, [
        { op: 'gate' },
        { op: 'take', pending },
        { op: 'breaker' },
        aim,
        { op: 'quota' },
        { op: 'borrow' },
        { op: 'send' },
        { op: 'judge' },
      ])
    }
    const one: LaneRules = {
      name: lane.name,
      group: lane.group,
      groupSince: groupSinceOf(lane.name, lane.group, since, previous),
      team: lane.team ?? '',
      database: lane.database,
      pending,
      statementTimeoutMs: lane.limit,
      targetLatencyMs: lane.aim,
      maxAttempts: lane.sends,
      programs,
      isPublic: lane.public === true,
      movePhase: phase === 'copy' ? undefined : phase,
    }
    lanes.set(lane.name, one)
    if (!bases.has(lane.database)) bases.set(lane.database, one)
  }
  const shares = new Map<string, number>()
  const sessions = new Map<string, number>()
  const pending = new Map<string, number>()
  for (const team of config.teams ?? []) {
    shares.set(team.name, team.share ?? 1)
    if (team.sessions !== undefined) sessions.set(team.name, team.sessions)
    if (team.pending !== undefined) pending.set(team.name, team.pending)
  }
  // It compiled when the configuration was taken; if it doesn't here, every call goes to the fallback.
  const policy = config.policy ? compilePolicy(config.policy.lua) : undefined
  return {
    epoch,
    appliedAt: since,
    lanes,
    laneByDatabase: bases,
    shares,
    maxSessions: sessions,
    pending,
    transactionIdleMs: config.transactionIdle,
    tenants: tenantsByKey(config.tenants),
    policy: config.policy && policy?.ok ? { policy: policy.val, fallback: config.policy.fallback } : undefined,
  }
}
