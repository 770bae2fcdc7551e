import type { Mark } from '@claynotch/instance'

// The proof that a follower is fresh enough. Nothing here takes a follower's word on its lag.
// asked: local time just before the leader was asked. What the leader answered covers every commit
// acknowledged before asked, so the sample speaks for that time and no later one.
export type Sample = { asked: number; mark: Mark }

// The position that every commit older than now - within lies at or under: the least among the samples
// young enough to prove it. undefined: none is.
export function floorOf(samples: Sample[], epoch: number, within: number, now: number): number | undefined {
  let least: number | undefined
  for (const s of samples) {
    if (s.mark.epoch !== epoch || s.asked < now - within) continue
    if (least === undefined || s.mark.position < least) least = s.mark.position
  }
  return least
}

// What a follower must hold: the floor, and the session's last write where that was in this epoch. A write of
// an earlier epoch lies under the start of this one, which each instance of this epoch holds.
// undefined: it can't be proved. A token of a later epoch than the record's can't be met here at all.
export function needOf(floor: number | undefined, epoch: number, token: Mark | undefined): number | undefined {
  if (floor === undefined) return undefined
  if (!token || token.epoch < epoch) return floor
  return token.epoch > epoch ? undefined : Math.max(floor, token.position)
}

export function isFresh(mark: Mark, epoch: number, need: number): boolean {
  return mark.epoch === epoch && mark.position >= need
}

// What a requester carries between nodes: a place in one group's history, and no word on any other group's.
export type Token = { group: string; mark: Mark }

export function writeToken(token: Token | undefined): string {
  return token ? `${token.group}:${token.mark.epoch}:${token.mark.position}` : ''
}

export function readToken(text: string): Token | undefined | 'bad' {
  if (text === '') return undefined
  const m = /^([A-Za-z0-9_.-]+):(\d{1,15}):(\d{1,15})$/.exec(text)
  return m ? { group: m[1], mark: { epoch: Number(m[2]), position: Number(m[3]) } } : 'bad'
}

// Whether a token speaks of another group than the one that serves now: it proves nothing there.
export function isForeign(token: Token | undefined, group: string): boolean {
  return token !== undefined && token.group !== group
}

// ms within which a follower's position is proved: the age of the youngest sample that lies at or under it.
export function provedWithin(samples: Sample[], epoch: number, mark: Mark, now: number): number | undefined {
  let best: number | undefined
  for (const s of samples) if (s.mark.epoch === epoch && mark.epoch === epoch && s.mark.position <= mark.position) best = Math.min(best ?? Infinity, now - s.asked)
  return best
}
