import type { LogPosition } from '@claynotch/instance'

/** Absent replicas, as tracked by the holder of the duty; a later holder starts from nothing. */
export type ReplicaAbsence = {
  /** Since when each replica has been absent (local time, ms). */
  since: Map<string, number>
  /** When the replicas were last probed (local time, ms). */
  probedAt: number
  /** The leader's log position, read while all the named replicas had been absent for long enough. */
  leaderSnapshot: { names: Set<string>; position: LogPosition } | undefined
}

/** The state before any replica is absent. */
export function initialAbsence(): ReplicaAbsence {
  return { since: new Map(), probedAt: -Infinity, leaderSnapshot: undefined }
}
