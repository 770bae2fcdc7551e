import { readAs, ROUND_TIMEOUT_MS, LEASE_DURATION_MS, type PersistentLink, type World } from '@claynotch/base'
import {
  compareBallots,
  GetAnswer,
  resolveValue,
  type Ballot,
  type HeldValue,
  type RegisterSummary,
  type RegisterPush,
  type Quorum,
  type RegisterOutcome,
  type RegisterValue,
} from '@claynotch/register'

/**
 * What this node knows of a register, from its own rounds, from pushes, and from a majority's answers to renewals.
 *
 * Invariants: value was chosen at ballot; the value's turn never decreases; currentUntil only grows, and doesn't grow
 * while a majority knows of a newer value. A push alone doesn't prove that a value is current: currentUntil is
 * derived from renewals and rounds only.
 */
export type KnownRegister = { value: RegisterValue; ballot: Ballot; currentUntil: number }

/**
 * A newer ballot that a majority's answers showed, the start of that renewal, and a core that has the ballot as
 * chosen.
 */
type MissingUpdate = { ballot: Ballot; from: number; chosenAt: string | undefined }

/** What the register cache needs from the agent. */
export type RegisterCacheDependencies = {
  /** The epoch of the current core set. */
  epoch: () => number
  /** The link to one core; undefined if the core is not in the set. */
  link: (id: string) => PersistentLink | undefined
  /** Runs a whole round that settles the register's committed value. */
  readCommitted: (key: string) => Promise<RegisterOutcome>
  /** A value newer than the known one was learnt. */
  onNewer: (key: string, value: RegisterValue) => void
  /** An update is missing from the cache. */
  onBehind: () => void
}

/** The registers as this node knows them, and the updates that it knows to be missing. */
export type RegisterCache = {
  all: () => Map<string, KnownRegister>
  value: (key: string) => RegisterValue | undefined
  /** The known value with its ballot. */
  held: (key: string) => HeldValue | undefined
  /** The ballot of each known register, by key. */
  ballots: () => [string, Ballot][]
  /**
   * Stores a chosen value if it isn't older than the known one. from: the start of a round that showed this very
   * value.
   */
  learn: (key: string, value: RegisterValue, ballot: Ballot, from?: number) => void
  /** Applies the register summaries, by core, of a majority that answered a renewal begun at from. */
  applySummaries: (tables: Map<string, Map<string, RegisterSummary>>, quorum: Quorum, from: number) => void
  /** Applies a push of one core; fetches the value if the push builds on a value that isn't known here. */
  applyPush: (id: string, push: RegisterPush) => Promise<void>
  /** Whether a majority has shown updates that aren't known here yet. */
  isBehind: () => boolean
  /** Fetches the missing updates, one register after the other. */
  catchUp: () => Promise<void>
}

export function makeRegisterCache(world: World, view: RegisterCacheDependencies): RegisterCache {
  const known = new Map<string, KnownRegister>()
  /** Missing updates by key; an entry is removed once the update is known. */
  const missing = new Map<string, MissingUpdate>()

  function learn(key: string, value: RegisterValue, ballot: Ballot, from?: number): void {
    const old = known.get(key)
    if (old && value.turn < old.value.turn) return
    const isNewer = !old || value.turn > old.value.turn
    const highestBallot = old && compareBallots(old.ballot, ballot) > 0 ? old.ballot : ballot
    // A round that showed this very value proves that it was current at the start of the round.
    let currentUntil = Math.max(old?.currentUntil ?? 0, from === undefined ? 0 : from + LEASE_DURATION_MS)
    const update = missing.get(key)
    if (update && compareBallots(update.ballot, highestBallot) <= 0) {
      missing.delete(key)
      currentUntil = Math.max(currentUntil, update.from + LEASE_DURATION_MS)
    }
    known.set(key, { value: isNewer ? value : old.value, ballot: highestBallot, currentUntil })
    if (isNewer) view.onNewer(key, value)
  }
  function valueAt(key: string): RegisterValue | undefined {
    return known.get(key)?.value
  }
  function held(key: string): HeldValue | undefined {
    const register = known.get(key)
    return register && { ballot: register.ballot, value: register.value }
  }
  function ballots(): [string, Ballot][] {
    const knownBallots: [string, Ballot][] = []
    for (const [key, register] of known) knownBallots.push([key, register.ballot])
    return knownBallots
  }

  /**
   * The newest ballot of a key that any core of the majority has seen, the cores that have accepted exactly this
   * ballot, and one that knows it as chosen.
   */
  type HighestBallot = { ballot: Ballot; by: Set<string>; chosenAt: string | undefined }
  /**
   * The newest ballot of each key. A write that a core hasn't synced yet counts as seen, so that no older ballot
   * passes for the newest, but not as accepted.
   */
  function highestBallots(
    tables: Map<string, Map<string, RegisterSummary>>,
    quorum: Quorum,
  ): Map<string, HighestBallot> {
    const highestByKey = new Map<string, HighestBallot>()
    for (const [id, lines] of tables) {
      for (const summary of lines.values()) {
        const highestSoFar = highestByKey.get(summary.key)
        const comparison = highestSoFar ? compareBallots(summary.ballot, highestSoFar.ballot) : 1
        if (comparison < 0) continue
        const current: HighestBallot =
          highestSoFar && comparison === 0
            ? highestSoFar
            : { ballot: summary.ballot, by: new Set(), chosenAt: undefined }
        highestByKey.set(summary.key, current)
        if (summary.chosen) current.chosenAt = id
        if (summary.pending === true) continue
        current.by.add(id)
        if (quorum.met(current.by)) current.chosenAt ??= id
      }
    }
    return highestByKey
  }
  function applySummaries(tables: Map<string, Map<string, RegisterSummary>>, quorum: Quorum, from: number): void {
    for (const [key, highest] of highestBallots(tables, quorum)) {
      const register = known.get(key)
      if (register && compareBallots(highest.ballot, register.ballot) <= 0) {
        register.currentUntil = Math.max(register.currentUntil, from + LEASE_DURATION_MS)
        continue
      }
      missing.set(key, { ballot: highest.ballot, from, chosenAt: highest.chosenAt })
      view.onBehind()
    }
    // A register of which no core of a majority holds a value was never settled; there is nothing to store for it.
  }

  /**
   * Fetches the value chosen at the ballot from one core; resolves to false if the core doesn't have it, or no
   * longer.
   */
  async function fetchValue(id: string, key: string, ballot: Ballot): Promise<boolean> {
    const local = held(key)
    const have = local ? { have: local.ballot } : {}
    const response = await view.link(id)?.ask({ t: 'get', epoch: view.epoch(), key, ...have }, ROUND_TIMEOUT_MS)
    const answer = readAs(GetAnswer, response)
    if (answer.err || compareBallots(answer.val.ballot, ballot) !== 0) return false
    const value = resolveValue(answer.val, local)
    if (value) learn(key, value, ballot)
    return value !== undefined
  }
  async function applyPush(id: string, push: RegisterPush): Promise<void> {
    const local = held(push.key)
    // What this node already knows is the same value or a later one.
    if (local && compareBallots(local.ballot, push.ballot) >= 0) return
    const value = resolveValue(push, local)
    if (value) learn(push.key, value, push.ballot)
    // The push is a delta to a value that isn't known here.
    else await fetchValue(id, push.key, push.ballot)
  }
  function isBehind(): boolean {
    return missing.size > 0
  }
  async function catchUp(): Promise<void> {
    for (const [key, update] of [...missing]) {
      // A push may have delivered the update meanwhile.
      if (missing.get(key) !== update) continue
      if (update.chosenAt !== undefined && (await fetchValue(update.chosenAt, key, update.ballot))) continue
      // The ballot was accepted somewhere, chosen or not: a round of this node settles it either way.
      const from = world.now()
      const committed = await view.readCommitted(key)
      if (committed.done && committed.value) learn(key, committed.value, committed.ballot, from)
      else if (committed.done) missing.delete(key)
    }
  }
  function all(): Map<string, KnownRegister> {
    return known
  }
  return {
    all,
    value: valueAt,
    held,
    ballots,
    learn,
    applySummaries: applySummaries,
    applyPush: applyPush,
    isBehind,
    catchUp,
  }
}
