import { CHANGE_LIMIT, ROUND_LIFE, ROUND_PAUSE, pause, type World } from '@claynotch/base'
import { ZERO, compareBallots, type Ballot } from './ballot.js'
import type { Value } from './store.js'

export type Voter = { id: string; ask: (msg: unknown, ms: number) => Promise<unknown>; tell: (msg: unknown) => void }

export type Settled = { done: true; value: Value | undefined; ballot: Ballot } | { done: false; why: string }

// What a change does with the present value: a new body and tag, or undefined to leave it as it is.
export type Edit = (now: Value | undefined) => { body: unknown; tag: string } | undefined

export type Proposer = {
  // Runs rounds until one is settled. An edit may be asked several times, as rounds that
  // ended unclear are read back: it must find its own earlier change by its tag.
  change: (key: string, edit: Edit, limit?: number) => Promise<Settled>
  read: (key: string, limit?: number) => Promise<Settled>
  // The same for those who only want to know, without a ballot of their own: a crowd of readers whose rounds raised the
  // ballots would have each change of others refused. A round is made only where a majority isn't alike.
  look: (key: string, limit?: number) => Promise<Settled>
}

type Vote = { ok?: boolean; promise?: Ballot; ballot?: Ballot; value?: Value | null } | null | undefined

// Asks all; ends once enough said ok, once that has become impossible, or at the limit.
export function gather<T>(world: World, asks: Promise<T>[], need: number, isOk: (v: T) => boolean, ms: number): Promise<T[]> {
  function start(done: (got: T[]) => void): void {
    const got: T[] = []
    let good = 0
    let left = asks.length
    function end(): void {
      cancel()
      done(got.slice())
    }
    const cancel = world.later(ms, end)
    function take(v: T): void {
      got.push(v)
      left--
      if (isOk(v)) good++
      if (good >= need || good + left < need) end()
    }
    if (asks.length < need) {
      end()
      return
    }
    for (const one of asks) void one.then(take)
  }
  return new Promise(start)
}

export function makeProposer(world: World, name: string, voters: () => Voter[], need: () => number): Proposer {
  // who is fresh for each life of a process, so that a restarted proposer can't repeat a ballot.
  const who = `${name}~${Math.floor(world.random() * 2 ** 40).toString(36)}`
  let top = 0

  function saw(v: Vote): void {
    if (v?.promise) top = Math.max(top, v.promise[0])
    if (v?.ballot) top = Math.max(top, v.ballot[0])
  }
  function isOk(v: Vote): boolean {
    return v?.ok === true
  }
  async function round(key: string, edit: Edit): Promise<Settled> {
    const all = voters()
    const enough = need()
    const ballot: Ballot = [++top, who]
    const from = world.now()
    const asks: Promise<Vote>[] = []
    for (const v of all) asks.push(v.ask({ t: 'prepare', key, ballot }, ROUND_LIFE) as Promise<Vote>)
    const votes = await gather(world, asks, enough, isOk, ROUND_LIFE)
    for (const v of votes) saw(v)
    const yes: { ballot: Ballot; value?: Value | null }[] = []
    for (const v of votes) if (v?.ok) yes.push({ ballot: v.ballot ?? ZERO, value: v.value })
    if (yes.length < enough) return { done: false, why: 'no majority promised' }
    // A prepare that took too long is void: a core emptied meanwhile may have lost its promise.
    if (world.now() - from > ROUND_LIFE) return { done: false, why: 'prepare took too long' }
    let high = yes[0]
    for (const v of yes) if (compareBallots(v.ballot, high.ballot) > 0) high = v
    const now = high.value ?? undefined
    const next = edit(now)
    if (!next) {
      let same = 0
      for (const v of yes) if (compareBallots(v.ballot, high.ballot) === 0) same++
      // All of a majority hold the same ballot: the value is chosen already (or nothing ever was).
      if (same >= enough) {
        if (now) learn(all, key, high.ballot)
        return { done: true, value: now, ballot: high.ballot }
      }
    }
    const value: Value = next ? { turn: (now?.turn ?? 0) + 1, tag: next.tag, body: next.body } : (now as Value)
    const puts: Promise<Vote>[] = []
    for (const v of all) puts.push(v.ask({ t: 'accept', key, ballot, value }, ROUND_LIFE) as Promise<Vote>)
    const took = await gather(world, puts, enough, isOk, ROUND_LIFE)
    let count = 0
    for (const v of took) {
      saw(v)
      if (v?.ok) count++
    }
    if (count < enough) return { done: false, why: 'no majority accepted' }
    learn(all, key, ballot)
    return { done: true, value, ballot }
  }
  function learn(all: Voter[], key: string, ballot: Ballot): void {
    for (const v of all) v.tell({ t: 'learn', key, ballot })
  }
  async function change(key: string, edit: Edit, limit = CHANGE_LIMIT): Promise<Settled> {
    const end = world.now() + limit
    let tries = 0
    for (;;) {
      const got = await round(key, edit)
      if (got.done || world.now() >= end) return got
      tries = Math.min(tries + 1, 5)
      await pause(world, ROUND_PAUSE * (1 + world.random()) * tries)
    }
  }
  function same(): undefined {
    return undefined
  }
  function read(key: string, limit?: number): Promise<Settled> {
    return change(key, same, limit)
  }
  // What a majority accepted at one ballot is chosen; and a later one chosen before we asked would be told by one of them.
  async function look(key: string, limit = CHANGE_LIMIT): Promise<Settled> {
    const all = voters()
    const enough = need()
    const from = world.now()
    const asks: Promise<Vote>[] = []
    for (const v of all) asks.push(v.ask({ t: 'get', key }, ROUND_LIFE) as Promise<Vote>)
    const votes = await gather(world, asks, enough, isOk, ROUND_LIFE)
    const yes: { ballot: Ballot; value?: Value | null }[] = []
    for (const v of votes) if (v?.ok) yes.push({ ballot: v.ballot ?? ZERO, value: v.value })
    let alike = yes.length >= enough
    for (const v of yes) if (compareBallots(v.ballot, yes[0].ballot) !== 0) alike = false
    if (!alike) return await read(key, Math.max(0, limit - (world.now() - from)))
    const { ballot, value } = yes[0]
    if (value) learn(all, key, ballot)
    return { done: true, value: value ?? undefined, ballot }
  }
  return { change, read, look }
}
