import { comparePositions, type LogPosition } from '@claynotch/instance'

// The proof that a follower is fresh enough. Nothing here takes a follower's word on its lag.
// asked: local time just before the leader was asked. What the leader answered covers every commit
// acknowledged before asked, so the sample speaks for that time and no later one. reign: the record's epoch under
// which it was asked; its mark may be that of an earlier epoch's last entry, where nothing was written since.
export type Sample = { askedAt: number; epoch: number; position: LogPosition }

// The place that every commit older than now - within lies at or under: the least among the samples of this reign that
// are young enough to prove it. undefined: none is. since: a route came to the group then, and the commits that it brought from
// another group are in no sample that was asked before.
export function freshnessFloor(
  samples: Sample[],
  reign: number,
  within: number,
  now: number,
  since = 0,
): LogPosition | undefined {
  let least: LogPosition | undefined
  for (const s of samples) {
    if (s.epoch !== reign || s.askedAt < now - within || s.askedAt < since) continue
    if (least === undefined || comparePositions(s.position, least) < 0) least = s.position
  }
  return least
}

// What a follower must hold: the floor, and the session's last write. Where epochs are exact, a write of an earlier one
// lies under every floor of this reign.
// undefined: it can't be proved. A token of a later epoch than the record's can't be met here at all.
export function requiredPositionOf(
  floor: LogPosition | undefined,
  reign: number,
  token: LogPosition | undefined,
): LogPosition | undefined {
  if (floor === undefined) return undefined
  if (!token) return floor
  if (token.epoch > reign) return undefined
  return comparePositions(token, floor) > 0 ? token : floor
}

// Epochs must be alike where answers always carry theirs; else the order of places tells.
export function isFresh(mark: LogPosition, need: LogPosition, exact: boolean): boolean {
  return (!exact || mark.epoch === need.epoch) && comparePositions(mark, need) >= 0
}

// What a requester carries between nodes: a place in one group's history, and no word on any other group's.
export type Token = { group: string; position: LogPosition }

export function formatToken(token: Token | undefined): string {
  return token ? `${token.group}:${token.position.epoch}:${token.position.position}` : ''
}

export function parseToken(text: string): Token | undefined | 'bad' {
  if (text === '') return undefined
  const m = /^([A-Za-z0-9_.-]+):(\d{1,15}):(\d{1,15})$/.exec(text)
  return m ? { group: m[1], position: { epoch: Number(m[2]), position: Number(m[3]) } } : 'bad'
}

// Whether a token speaks of another group than the one that serves now: it proves nothing there.
export function isForOtherGroup(token: Token | undefined, group: string): boolean {
  return token !== undefined && token.group !== group
}

// ms within which a follower's position is proved: the age of the youngest sample that lies at or under it.
export function provedStalenessMs(samples: Sample[], epoch: number, mark: LogPosition, now: number): number | undefined {
  let best: number | undefined
  for (const s of samples)
    if (s.epoch === epoch && comparePositions(s.position, mark) <= 0) best = Math.min(best ?? Infinity, now - s.askedAt)
  return best
}
