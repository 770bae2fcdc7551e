import type { LogPosition } from '@claynotch/instance'

/** The absence of replicas, as the holder knows it; a later holder begins anew. */
export type ReplicaAbsence = {
  /** Local time (ms) since when each has been absent. */
  since: Map<string, number>
  probedAt: number
  /** The leader's position, read while all of these were absent for long enough. */
  covering: { names: Set<string>; position: LogPosition } | undefined
}

export function noAbsence(): ReplicaAbsence {
  return { since: new Map(), probedAt: -Infinity, covering: undefined }
}
