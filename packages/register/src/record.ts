import * as t from 'io-ts'

// A group's record, the body of the register 'group/<name>'.
// Invariants:
// - epoch grows only; each epoch has at most one candidate and so at most one leader;
// - leader is set in the phases steady and drain only, and only there may writes go to it;
// - a record in phase promote says that POST /promotion may have been sent for its candidate;
// - only the holder writes; each new holder raises fence first.
// Phases: steady -> (drain ->) stop -> promote -> steady.
export const GroupRecord = t.intersection([
  t.type({
    epoch: t.number, phase: t.union([t.literal('steady'), t.literal('drain'), t.literal('stop'), t.literal('promote')]),
    holder: t.string, fence: t.number,
  }),
  t.partial({
    leader: t.string, addr: t.string,
    // candidate: whom this epoch belongs to, from stop on. planned: the old leader was well when this began.
    candidate: t.string, candidateAddr: t.string, planned: t.boolean, old: t.string,
    // wish: an operator wants another leader. note: how the last move ended.
    wish: t.type({ to: t.string }), note: t.string,
  }),
])
export type GroupRecord = t.TypeOf<typeof GroupRecord>

const PREFIX = 'group/'
export function groupKey(name: string): string {
  return PREFIX + name
}
export function groupOf(key: string): string | undefined {
  return key.startsWith(PREFIX) ? key.slice(PREFIX.length) : undefined
}
