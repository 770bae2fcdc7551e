import { readAs, ROUND_TIMEOUT_MS, LEASE_DURATION_MS, type PersistentLink, type World } from '@claynotch/base'
import {
  compareBallots,
  GetAnswer,
  valueOf,
  type Ballot,
  type HeldValue,
  type RegisterSummary,
  type RegisterPush,
  type Quorum,
  type Committed,
  type RegisterValue,
} from '@claynotch/register'

/**
 * What this node knows of the registers: by its own rounds, by pushes, and by what a majority's renewals show.
 *
 * Invariants of each: value was chosen at ballot; turn never goes back; until only grows, and stays where it is while a
 * majority knows of something newer than value. A push alone proves nothing of time: until rests on renewals and rounds.
 */
export type KnownRegister = { value: RegisterValue; ballot: Ballot; currentUntil: number }

/** The newest ballot that a majority's answers showed, with the time of that renewal and a core that holds it as chosen. */
type Wanted = { ballot: Ballot; from: number; chosenAt: string | undefined }

/** What registers need of the agent. link: the link to one core, while it is of the set. settle: a whole round. */
export type RegisterCacheView = {
  epoch: () => number
  link: (id: string) => PersistentLink | undefined
  readCommitted: (key: string) => Promise<Committed>
  /** A value is newer than what was known. */
  onNewer: (key: string, value: RegisterValue) => void
  /** Something is wanted now. */
  onBehind: () => void
}

export type RegisterCache = {
  all: () => Map<string, KnownRegister>
  value: (key: string) => RegisterValue | undefined
  held: (key: string) => HeldValue | undefined
  ballots: () => [string, Ballot][]
  /** from: when a round that showed this very value began. */
  learn: (key: string, value: RegisterValue, ballot: Ballot, from?: number) => void
  /** What a majority that answered since from holds of each key, by core. */
  applySummaries: (tables: Map<string, Map<string, RegisterSummary>>, enough: Quorum, from: number) => void
  /** A push of one core. */
  applyPush: (id: string, push: RegisterPush) => Promise<void>
  isBehind: () => boolean
  /** Works off what is wanted, register by register. */
  catchUp: () => Promise<void>
}

export function makeRegisterCache(world: World, view: RegisterCacheView): RegisterCache {
  const known = new Map<string, KnownRegister>()
  // wanted: gone once known has it.
  const wanted = new Map<string, Wanted>()

  function learned(key: string, value: RegisterValue, ballot: Ballot, from?: number): void {
    const old = known.get(key)
    if (old && value.turn < old.value.turn) return
    const newer = !old || value.turn > old.value.turn
    const top = old && compareBallots(old.ballot, ballot) > 0 ? old.ballot : ballot
    // A round that showed this very value proves it current as of its start.
    let until = Math.max(old?.currentUntil ?? 0, from === undefined ? 0 : from + LEASE_DURATION_MS)
    const w = wanted.get(key)
    if (w && compareBallots(w.ballot, top) <= 0) {
      wanted.delete(key)
      until = Math.max(until, w.from + LEASE_DURATION_MS)
    }
    known.set(key, { value: newer ? value : old.value, ballot: top, currentUntil: until })
    if (newer) view.onNewer(key, value)
  }
  function cell(key: string): RegisterValue | undefined {
    return known.get(key)?.value
  }
  function held(key: string): HeldValue | undefined {
    const k = known.get(key)
    return k && { ballot: k.ballot, value: k.value }
  }
  function ballots(): [string, Ballot][] {
    const out: [string, Ballot][] = []
    for (const [key, k] of known) out.push([key, k.ballot])
    return out
  }

  // For each key the newest ballot that any of the majority has seen, who has accepted just that, and one who knows it as
  // chosen. A write that is not synced counts as seen, so that nothing older passes for the newest, and not as accepted.
  type High = { ballot: Ballot; by: Set<string>; chosenAt: string | undefined }
  function highest(tables: Map<string, Map<string, RegisterSummary>>, enough: Quorum): Map<string, High> {
    const high = new Map<string, High>()
    for (const [id, lines] of tables) {
      for (const k of lines.values()) {
        const old = high.get(k.key)
        const by = old ? compareBallots(k.ballot, old.ballot) : 1
        if (by < 0) continue
        const now: High = old && by === 0 ? old : { ballot: k.ballot, by: new Set(), chosenAt: undefined }
        high.set(k.key, now)
        if (k.chosen) now.chosenAt = id
        if (k.pending === true) continue
        now.by.add(id)
        if (enough.met(now.by)) now.chosenAt ??= id
      }
    }
    return high
  }
  function shown(tables: Map<string, Map<string, RegisterSummary>>, enough: Quorum, from: number): void {
    for (const [key, h] of highest(tables, enough)) {
      const k = known.get(key)
      if (k && compareBallots(h.ballot, k.ballot) <= 0) {
        k.currentUntil = Math.max(k.currentUntil, from + LEASE_DURATION_MS)
        continue
      }
      wanted.set(key, { ballot: h.ballot, from, chosenAt: h.chosenAt })
      view.onBehind()
    }
    // Registers that no core of a majority holds a value of were never settled; nothing to keep for them.
  }

  // The value chosen at that ballot, from one core; false: it doesn't have it, or not any more.
  async function fetch(id: string, key: string, ballot: Ballot): Promise<boolean> {
    const mine = held(key)
    const have = mine ? { have: mine.ballot } : {}
    const said = await view.link(id)?.ask({ t: 'get', epoch: view.epoch(), key, ...have }, ROUND_TIMEOUT_MS)
    const got = readAs(GetAnswer, said)
    if (got.err || compareBallots(got.val.ballot, ballot) !== 0) return false
    const value = valueOf(got.val, mine)
    if (value) learned(key, value, ballot)
    return value !== undefined
  }
  async function pushed(id: string, push: RegisterPush): Promise<void> {
    const mine = held(push.key)
    // What was learnt otherwise before this came is the same, or later.
    if (mine && compareBallots(mine.ballot, push.ballot) >= 0) return
    const value = valueOf(push, mine)
    if (value) learned(push.key, value, push.ballot)
    // It builds on what isn't here.
    else await fetch(id, push.key, push.ballot)
  }
  function wants(): boolean {
    return wanted.size > 0
  }
  async function catchUp(): Promise<void> {
    for (const [key, w] of [...wanted]) {
      // A push may have brought it meanwhile.
      if (wanted.get(key) !== w) continue
      if (w.chosenAt !== undefined && (await fetch(w.chosenAt, key, w.ballot))) continue
      // Accepted somewhere, chosen or not: a round of our own settles it either way.
      const from = world.now()
      const got = await view.readCommitted(key)
      if (got.done && got.value) learned(key, got.value, got.ballot, from)
      else if (got.done) wanted.delete(key)
    }
  }
  function all(): Map<string, KnownRegister> {
    return known
  }
  return {
    all,
    value: cell,
    held,
    ballots,
    learn: learned,
    applySummaries: shown,
    applyPush: pushed,
    isBehind: wants,
    catchUp,
  }
}
