import { CHANGE_TIMEOUT_MS, ROUND_TIMEOUT_MS, ROUND_BACKOFF_MS, pause, readAs, type World } from '@claynotch/base'
import { ZERO_BALLOT, compareBallots, type Ballot } from './ballot.js'
import { CoreSet, type Quorum } from './core-set.js'
import { makeDelta } from './delta.js'
import type { RegisterValue } from './register-store.js'
import { resolveValue, type HeldValue } from './values.js'
import type { GetAnswer } from './messages.js'

// deltas: whether its link speaks of values by what changed in them (DELTA_EPOCH); where it isn't given, values are told whole.
export type Voter = {
  id: string
  ask: (msg: unknown, ms: number) => Promise<unknown>
  tell: (msg: unknown) => void
  deltas?: () => boolean
}

export type RegisterOutcome = { done: true; value: RegisterValue | undefined; ballot: Ballot } | { done: false; why: string }

// What a change does with the present value: a new body and tag, or undefined to leave it as it is.
export type RegisterEdit = (now: RegisterValue | undefined) => { body: unknown; tag: string } | undefined

export type Proposer = {
  // Runs rounds until one is settled. An edit may be asked several times, as rounds that
  // ended unclear are read back: it must find its own earlier change by its tag.
  change: (key: string, edit: RegisterEdit, limit?: number) => Promise<RegisterOutcome>
  read: (key: string, limit?: number) => Promise<RegisterOutcome>
  // The same for those who only want to know, without a ballot of their own: a crowd of readers whose rounds raised the
  // ballots would have each change of others refused. A round is made only where a majority isn't alike.
  look: (key: string, limit?: number) => Promise<RegisterOutcome>
}

type Vote =
  | {
      ok?: boolean
      promise?: Ballot
      ballot?: Ballot
      value?: RegisterValue | null
      same?: boolean
      lacksBase?: boolean
      set?: unknown
    }
  | null
  | undefined

export type VoterAnswer<T> = { id: string; answer: T }

// Asks all; ends once those who said ok are a quorum, once that has become impossible, or at the limit.
export function gatherQuorum<T>(
  world: World,
  asks: { id: string; got: Promise<T> }[],
  quorum: Quorum,
  isOk: (v: T) => boolean,
  ms: number,
): Promise<VoterAnswer<T>[]> {
  function start(done: (got: VoterAnswer<T>[]) => void): void {
    const got: VoterAnswer<T>[] = []
    const good = new Set<string>()
    // may: who has said ok or may yet.
    const may = new Set<string>()
    for (const one of asks) may.add(one.id)
    function end(): void {
      cancel()
      done(got.slice())
    }
    const cancel = world.later(ms, end)
    if (!quorum.met(may)) {
      end()
      return
    }
    async function take(id: string, from: Promise<T>): Promise<void> {
      const val = await from
      got.push({ id, answer: val })
      if (isOk(val)) good.add(id)
      else may.delete(id)
      if (quorum.met(good) || !quorum.met(may)) end()
    }
    for (const one of asks) void take(one.id, one.got)
  }
  return new Promise(start)
}

// voters and quorum are of one set at any time; a round keeps those that it began with. heard: a core refused for the sake of
// a later set. held: what is known here of a register, so that it isn't told again.
export function makeProposer(
  world: World,
  name: string,
  voters: () => Voter[],
  quorum: () => Quorum,
  heard?: (set: CoreSet) => void,
  held?: (key: string) => HeldValue | undefined,
): Proposer {
  // who is fresh for each life of a process, so that a restarted proposer can't repeat a ballot.
  const who = `${name}~${Math.floor(world.random() * 2 ** 40).toString(36)}`
  let top = 0

  function saw(v: Vote): void {
    if (v?.promise) top = Math.max(top, v.promise[0])
    if (v?.ballot) top = Math.max(top, v.ballot[0])
    if (v?.set === undefined || !heard) return
    const later = readAs(CoreSet, v.set)
    if (later.ok) heard(later.val)
  }
  function isOk(v: Vote): boolean {
    return v?.ok === true
  }
  type Yes = { id: string; ballot: Ballot; value?: RegisterValue | null }
  // have: the value that was named in the question; same stands for it and for no other.
  function yesOf(votes: VoterAnswer<Vote>[], have: HeldValue | undefined): Yes[] {
    const out: Yes[] = []
    for (const { id, answer: val } of votes) {
      if (!val?.ok) continue
      const ballot = val.ballot ?? ZERO_BALLOT
      if (val.same !== true) out.push({ id, ballot, value: val.value })
      else if (have && compareBallots(ballot, have.ballot) === 0) out.push({ id, ballot, value: have.value })
    }
    return out
  }
  function haveFor(voter: Voter, have: HeldValue | undefined): { have?: Ballot } {
    return have && voter.deltas?.() === true ? { have: have.ballot } : {}
  }
  // The value to one voter: as a delta where it may hold the base, and whole where it then says that it doesn't.
  async function put(voter: Voter, whole: unknown, asDelta: unknown): Promise<Vote> {
    if (asDelta === undefined || voter.deltas?.() !== true) return (await voter.ask(whole, ROUND_TIMEOUT_MS)) as Vote
    const got = (await voter.ask(asDelta, ROUND_TIMEOUT_MS)) as Vote
    return got?.lacksBase === true ? ((await voter.ask(whole, ROUND_TIMEOUT_MS)) as Vote) : got
  }
  function idsOf(yes: Yes[]): Set<string> {
    const out = new Set<string>()
    for (const v of yes) out.add(v.id)
    return out
  }
  async function round(key: string, edit: RegisterEdit): Promise<RegisterOutcome> {
    const all = voters()
    const enough = quorum()
    const { epoch } = enough
    const ballot: Ballot = [++top, who]
    const from = world.now()
    const have = held?.(key)
    const asks: { id: string; got: Promise<Vote> }[] = []
    for (const voter of all) {
      const word = { t: 'prepare', epoch, key, ballot, ...haveFor(voter, have) }
      asks.push({ id: voter.id, got: voter.ask(word, ROUND_TIMEOUT_MS) as Promise<Vote> })
    }
    const votes = await gatherQuorum(world, asks, enough, isOk, ROUND_TIMEOUT_MS)
    for (const answer of votes) saw(answer.answer)
    const yes = yesOf(votes, have)
    if (!enough.met(idsOf(yes))) return { done: false, why: 'no majority promised' }
    // A prepare that took too long is void: a core emptied meanwhile may have lost its promise.
    if (world.now() - from > ROUND_TIMEOUT_MS) return { done: false, why: 'prepare took too long' }
    let high = yes[0]
    for (const v of yes) if (compareBallots(v.ballot, high.ballot) > 0) high = v
    const now = high.value ?? undefined
    const next = edit(now)
    if (!next) {
      const same = new Set<string>()
      for (const v of yes) if (compareBallots(v.ballot, high.ballot) === 0) same.add(v.id)
      // All of a majority hold the same ballot: the value is chosen already (or nothing ever was).
      if (enough.met(same)) {
        if (now) learn(all, key, high.ballot)
        return { done: true, value: now, ballot: high.ballot }
      }
    }
    const value: RegisterValue = next
      ? { turn: (now?.turn ?? 0) + 1, tag: next.tag, body: next.body }
      : (now as RegisterValue)
    const puts: { id: string; got: Promise<Vote> }[] = []
    const whole = { t: 'accept', epoch, key, ballot, value }
    const delta = now ? makeDelta(now, value) : undefined
    const asDelta = delta && { t: 'accept', epoch, key, ballot, base: high.ballot, delta }
    // Who told that it holds something else is sent the whole at once; who hasn't answered yet most likely holds the base.
    const others = new Set<string>()
    for (const v of yes) if (compareBallots(v.ballot, high.ballot) !== 0) others.add(v.id)
    for (const v of all) puts.push({ id: v.id, got: put(v, whole, others.has(v.id) ? undefined : asDelta) })
    const took = await gatherQuorum(world, puts, enough, isOk, ROUND_TIMEOUT_MS)
    const accepted = new Set<string>()
    for (const v of took) {
      saw(v.answer)
      if (v.answer?.ok) accepted.add(v.id)
    }
    if (!enough.met(accepted)) return { done: false, why: 'no majority accepted' }
    learn(all, key, ballot)
    return { done: true, value, ballot }
  }
  function learn(all: Voter[], key: string, ballot: Ballot): void {
    for (const voter of all) voter.tell({ t: 'learn', key, ballot })
  }
  async function change(key: string, edit: RegisterEdit, limit = CHANGE_TIMEOUT_MS): Promise<RegisterOutcome> {
    const end = world.now() + limit
    let tries = 0
    for (;;) {
      const got = await round(key, edit)
      if (got.done || world.now() >= end) return got
      tries = Math.min(tries + 1, 5)
      await pause(world, ROUND_BACKOFF_MS * (1 + world.random()) * tries)
    }
  }
  function same(): undefined {
    return undefined
  }
  function read(key: string, limit?: number): Promise<RegisterOutcome> {
    return change(key, same, limit)
  }
  // An answer by deltas is brought to the value that it stands for.
  async function askValue(voter: Voter, word: unknown, have: HeldValue | undefined): Promise<Vote> {
    const got = (await voter.ask(word, ROUND_TIMEOUT_MS)) as Vote | GetAnswer
    if (!got || !('deltas' in got)) return got as Vote
    const value = have && resolveValue(got, have)
    return value ? { ok: true, ballot: got.ballot, value } : undefined
  }
  // What a majority accepted at one ballot is chosen; and a later one chosen before we asked would be told by one of them.
  async function look(key: string, limit = CHANGE_TIMEOUT_MS): Promise<RegisterOutcome> {
    const all = voters()
    const enough = quorum()
    const { epoch } = enough
    const from = world.now()
    const have = held?.(key)
    const asks: { id: string; got: Promise<Vote> }[] = []
    for (const voter of all) {
      const word = { t: 'get', epoch, key, ...haveFor(voter, have) }
      asks.push({ id: voter.id, got: askValue(voter, word, have) })
    }
    const votes = await gatherQuorum(world, asks, enough, isOk, ROUND_TIMEOUT_MS)
    for (const answer of votes) saw(answer.answer)
    const yes = yesOf(votes, have)
    let alike = enough.met(idsOf(yes))
    for (const v of yes) if (compareBallots(v.ballot, yes[0].ballot) !== 0) alike = false
    if (!alike) return await read(key, Math.max(0, limit - (world.now() - from)))
    const { ballot, value } = yes[0]
    if (value) learn(all, key, ballot)
    return { done: true, value: value ?? undefined, ballot }
  }
  return { change, read, look }
}
