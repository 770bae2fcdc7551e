import { comparePositions, type LogPosition } from '@claynotch/instance'

// Proves that a follower is fresh enough, without relying on the lag that the follower itself reports.

/** A log position of the leader, sampled at a known time. */
export type Sample = {
  /**
   * Local time just before the leader was asked. Its answer covers every commit acknowledged before then, so the sample
   * is evidence for that time and for no later one.
   */
  askedAt: number
  /** Epoch of the group's record under which the leader was asked. */
  epoch: number
  /** May be the position of an earlier epoch's last entry, if nothing was written since. */
  position: LogPosition
}

/**
 * The freshness floor: a log position at or above every commit older than now - maxStalenessMs. It is the lowest
 * position among the samples of this epoch that are recent enough; undefined: no sample is. groupSince: when the lane
 * came to the group, as earlier samples don't cover the commits that it brought from another group.
 */
export function freshnessFloor(
  samples: Sample[],
  epoch: number,
  maxStalenessMs: number,
  now: number,
  groupSince = 0,
): LogPosition | undefined {
  let lowest: LogPosition | undefined
  for (const sample of samples) {
    if (sample.epoch !== epoch || sample.askedAt < now - maxStalenessMs || sample.askedAt < groupSince) continue
    if (lowest === undefined || comparePositions(sample.position, lowest) < 0) lowest = sample.position
  }
  return lowest
}

/**
 * The log position that a follower must hold: the higher of the floor and the session's last write (token). With exact
 * epochs, a write of an earlier epoch is below every floor of this epoch. undefined: freshness can't be proved; a token
 * of a later epoch than the record's can't be satisfied here at all.
 */
export function requiredPositionOf(
  floor: LogPosition | undefined,
  epoch: number,
  token: LogPosition | undefined,
): LogPosition | undefined {
  if (floor === undefined) return undefined
  if (!token) return floor
  if (token.epoch > epoch) return undefined
  return comparePositions(token, floor) > 0 ? token : floor
}

/**
 * Whether the position reaches the required one. Epochs must be equal if answers always carry the exact epoch;
 * otherwise the order of positions decides.
 */
export function isFresh(position: LogPosition, required: LogPosition, isEpochExact: boolean): boolean {
  return (!isEpochExact || position.epoch === required.epoch) && comparePositions(position, required) >= 0
}

/** What a client carries from node to node: a log position of one group, which says nothing about other groups. */
export type Token = { group: string; position: LogPosition }

/** The token's text form; '' for none. */
export function formatToken(token: Token | undefined): string {
  return token ? `${token.group}:${token.position.epoch}:${token.position.position}` : ''
}

/** Parses a token's text form; undefined for '', 'bad' if it is malformed. */
export function parseToken(text: string): Token | undefined | 'bad' {
  if (text === '') return undefined
  const match = /^([A-Za-z0-9_.-]+):(\d{1,15}):(\d{1,15})$/.exec(text)
  return match ? { group: match[1], position: { epoch: Number(match[2]), position: Number(match[3]) } } : 'bad'
}

/** Whether the token belongs to a group other than the one that serves the call, for which it proves nothing. */
export function isForOtherGroup(token: Token | undefined, group: string): boolean {
  return token !== undefined && token.group !== group
}

/**
 * Proved staleness of a follower in ms: the age of the latest sample at or below its position; undefined: there is
 * none.
 */
export function provedStalenessMs(
  samples: Sample[],
  epoch: number,
  position: LogPosition,
  now: number,
): number | undefined {
  let lowestAgeMs: number | undefined
  for (const sample of samples)
    if (sample.epoch === epoch && comparePositions(sample.position, position) <= 0)
      lowestAgeMs = Math.min(lowestAgeMs ?? Infinity, now - sample.askedAt)
  return lowestAgeMs
}
