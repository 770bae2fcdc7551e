import type { GroupRecord } from '@claynotch/register'
import { noAbsence, type ReplicaAbsence } from './replica-absence.js'

/**
 * What the holder of a group's duty remembers between looks. It is lost with the process, and nothing rests on it but how long
 * things are waited for. Times are local, in ms.
 */
export type GroupMemory = {
  /** The version of the record that it is of. */
  version: number
  /** When this version was first seen here. */
  since: number
  leader: string | undefined
  /** When the leader was last known to be as it should. */
  leaderOkAt: number
  /** When the duty was taken over from a holder that was gone. */
  tookOverAt: number | undefined
  candidateOkAt: number
  isSuspected: boolean
  /** Since when an instance of a home zone has been well, while the leader lives elsewhere. */
  homeSince?: number
  /** When the leader was last probed, and whether it answered well. */
  probed?: { at: number; isWell: boolean }
  /** The latest promotion call for this record, and how long the next one waits. */
  called?: { at: number; pauseMs: number }
  /** Replicas that haven't been heard, under this leader. */
  absence: ReplicaAbsence
  /** When it was last told which replicas are waited for. */
  waitLoggedAt?: number
  /** ms between looks while it waits for instances. */
  intervalMs?: number
}

/** Before there is a record. */
export function firstMemory(now: number): GroupMemory {
  return {
    version: 0,
    since: now,
    leader: undefined,
    leaderOkAt: 0,
    tookOverAt: undefined,
    candidateOkAt: 0,
    isSuspected: false,
    absence: noAbsence(),
  }
}

/** A record that kept its leader (a claim, a wish) doesn't make us forget how long that one was quiet. */
export function nextMemory(
  old: GroupMemory | undefined,
  version: number,
  record: GroupRecord,
  now: number,
  isHolderGone: boolean,
): GroupMemory {
  const kept = old && old.version !== 0 && old.leader === record.leader ? old : undefined
  return {
    version,
    since: now,
    leader: record.leader,
    leaderOkAt: kept ? kept.leaderOkAt : now,
    tookOverAt: kept ? kept.tookOverAt : isHolderGone ? now : undefined,
    candidateOkAt: now,
    isSuspected: kept ? kept.isSuspected : false,
    absence: kept ? kept.absence : noAbsence(),
  }
}
