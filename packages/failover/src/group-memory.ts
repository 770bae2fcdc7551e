import type { GroupRecord } from '@claynotch/register'
import { initialAbsence, type ReplicaAbsence } from './replica-absence.js'

/**
 * What the holder of a group's duty remembers between steps. It is lost with the process; only the length of waits
 * depends on it. Times are local, in ms.
 */
export type GroupMemory = {
  /** The record version that this memory belongs to; 0 before there is a record. */
  version: number
  /** When this version was first seen here. */
  since: number
  leader: string | undefined
  /** When the leader was last known to be healthy. */
  leaderHealthyAt: number
  /** When the duty was taken over from a holder that was no longer live. */
  takeoverAt: number | undefined
  /** When the candidate last gave any answer. */
  candidateRespondedAt: number
  isSuspected: boolean
  /** Since when a follower in a home zone has been healthy while the leader is elsewhere. */
  homeSince?: number
  /** When the leader was last probed, and whether it was healthy. */
  lastProbe?: { at: number; isHealthy: boolean }
  /** When the latest promotion call for this record ended, and the delay before the next one. */
  lastPromotionCall?: { at: number; delayMs: number }
  /** Replicas that have been absent under this leader. */
  replicaAbsence: ReplicaAbsence
  /** When the replicas that the promotion waits for were last logged. */
  waitLoggedAt?: number
  /** Time in ms between steps while waiting for instances. */
  intervalMs?: number
}

/** The memory before there is a record. */
export function initialMemory(now: number): GroupMemory {
  return {
    version: 0,
    since: now,
    leader: undefined,
    leaderHealthyAt: 0,
    takeoverAt: undefined,
    candidateRespondedAt: 0,
    isSuspected: false,
    replicaAbsence: initialAbsence(),
  }
}

/**
 * The memory for a new record version. If the leader is unchanged (a takeover, a request), its health state is kept.
 */
export function nextMemory(
  previousMemory: GroupMemory | undefined,
  version: number,
  record: GroupRecord,
  now: number,
  isHolderExpired: boolean,
): GroupMemory {
  const sameLeaderMemory =
    previousMemory && previousMemory.version !== 0 && previousMemory.leader === record.leader
      ? previousMemory
      : undefined
  return {
    version,
    since: now,
    leader: record.leader,
    leaderHealthyAt: sameLeaderMemory ? sameLeaderMemory.leaderHealthyAt : now,
    takeoverAt: sameLeaderMemory ? sameLeaderMemory.takeoverAt : isHolderExpired ? now : undefined,
    candidateRespondedAt: now,
    isSuspected: sameLeaderMemory ? sameLeaderMemory.isSuspected : false,
    replicaAbsence: sameLeaderMemory ? sameLeaderMemory.replicaAbsence : initialAbsence(),
  }
}
