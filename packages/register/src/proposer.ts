import { CHANGE_TIMEOUT_MS, ROUND_TIMEOUT_MS, ROUND_BACKOFF_MS, pause, readAs, type World } from '@claynotch/base'
import { ZERO_BALLOT, compareBallots, type Ballot } from './ballot.js'
import { CoreSet, type Quorum } from './core-set.js'
import { makeDelta } from './delta.js'
import type { RegisterValue } from './register-store.js'
import { resolveValue, type HeldValue } from './values.js'
import type { GetAnswer } from './messages.js'

/**
 * A core as seen by a proposer. deltas: whether its link carries values as deltas (DELTA_LINK_VERSION); if it is
 * missing, values are sent whole.
 */
export type Voter = {
  id: string
  ask: (msg: unknown, ms: number) => Promise<unknown>
  tell: (msg: unknown) => void
  deltas?: () => boolean
}

/** Outcome of a change or a read. Not done: the change may have been committed or not, and may still be committed. */
export type RegisterOutcome =
  { done: true; value: RegisterValue | undefined; ballot: Ballot } | { done: false; why: string }

/** Computes a new body and tag from the present value; undefined leaves the value unchanged. */
export type RegisterEdit = (current: RegisterValue | undefined) => { body: unknown; tag: string } | undefined

/** Runs Paxos rounds on registers. limit: ms. */
export type Proposer = {
  /**
   * Runs rounds until one commits. The edit may be called several times, because a round with an unknown outcome is
   * read back: the edit must recognise its own earlier change by its tag.
   */
  change: (key: string, edit: RegisterEdit, limit?: number) => Promise<RegisterOutcome>
  /** Reads the value with a round of its own. */
  read: (key: string, limit?: number) => Promise<RegisterOutcome>
  /**
   * Reads the value without a ballot. Many readers whose rounds raise the ballots would get every other proposer's
   * change rejected. A round is run only if the answers of the quorum differ.
   */
  look: (key: string, limit?: number) => Promise<RegisterOutcome>
}

/** Answer of a voter to prepare, accept or get; undefined: it didn't answer in time. */
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

/** Answer of one voter. */
export type VoterAnswer<T> = { id: string; answer: T }

/**
 * Collects the answers of voters. Ends when the voters that accepted form a quorum, when a quorum has become
 * impossible, or after ms. asks: the pending answer of each voter.
 */
export function gatherQuorum<T>(
  world: World,
  asks: { id: string; got: Promise<T> }[],
  quorum: Quorum,
  isOk: (v: T) => boolean,
  ms: number,
): Promise<VoterAnswer<T>[]> {
  function start(resolve: (answers: VoterAnswer<T>[]) => void): void {
    const answers: VoterAnswer<T>[] = []
    const accepted = new Set<string>()
    /** The voters that accepted or haven't answered yet. */
    const acceptedOrPending = new Set<string>()
    for (const ask of asks) acceptedOrPending.add(ask.id)
    function end(): void {
      cancelTimer()
      resolve(answers.slice())
    }
    const cancelTimer = world.later(ms, end)
    if (!quorum.met(acceptedOrPending)) {
      end()
      return
    }
    async function collect(id: string, pendingAnswer: Promise<T>): Promise<void> {
      const val = await pendingAnswer
      answers.push({ id, answer: val })
      if (isOk(val)) accepted.add(id)
      else acceptedOrPending.delete(id)
      if (quorum.met(accepted) || !quorum.met(acceptedOrPending)) end()
    }
    for (const ask of asks) void collect(ask.id, ask.got)
  }
  return new Promise(start)
}

/**
 * Makes a proposer. voters and quorum always belong to the same core set; a round keeps those that it began with.
 * onLaterSet: called when a core rejects a message because it has a later set. heldValueOf: the value of a register
 * that is known here, so that voters needn't send it again.
 */
export function makeProposer(
  world: World,
  name: string,
  voters: () => Voter[],
  quorum: () => Quorum,
  onLaterSet?: (set: CoreSet) => void,
  heldValueOf?: (key: string) => HeldValue | undefined,
): Proposer {
  /** Differs in each run of the process, so that a restarted proposer can't reuse a ballot. */
  const proposerId = `${name}~${Math.floor(world.random() * 2 ** 40).toString(36)}`
  let highestNumber = 0

  /** Records the highest ballot number, and a later core set, from an answer. */
  function recordVote(vote: Vote): void {
    if (vote?.promise) highestNumber = Math.max(highestNumber, vote.promise[0])
    if (vote?.ballot) highestNumber = Math.max(highestNumber, vote.ballot[0])
    if (vote?.set === undefined || !onLaterSet) return
    const laterSet = readAs(CoreSet, vote.set)
    if (laterSet.ok) onLaterSet(laterSet.val)
  }
  function isOk(vote: Vote): boolean {
    return vote?.ok === true
  }
  type PositiveVote = { id: string; ballot: Ballot; value?: RegisterValue | null }
  /** heldValue: the value whose ballot the question named; `same` in an answer refers to this value only. */
  function positiveVotesOf(votes: VoterAnswer<Vote>[], heldValue: HeldValue | undefined): PositiveVote[] {
    const positiveVotes: PositiveVote[] = []
    for (const { id, answer: val } of votes) {
      if (!val?.ok) continue
      const ballot = val.ballot ?? ZERO_BALLOT
      if (val.same !== true) positiveVotes.push({ id, ballot, value: val.value })
      else if (heldValue && compareBallots(ballot, heldValue.ballot) === 0)
        positiveVotes.push({ id, ballot, value: heldValue.value })
    }
    return positiveVotes
  }
  /** The field that names the held value in a question to this voter. */
  function haveFieldFor(voter: Voter, heldValue: HeldValue | undefined): { have?: Ballot } {
    return heldValue && voter.deltas?.() === true ? { have: heldValue.ballot } : {}
  }
  /** Sends an accept to one voter: as a delta if the voter may hold the base, whole if it answers that it doesn't. */
  async function sendAccept(voter: Voter, wholeMessage: unknown, deltaMessage: unknown): Promise<Vote> {
    if (deltaMessage === undefined || voter.deltas?.() !== true)
      return (await voter.ask(wholeMessage, ROUND_TIMEOUT_MS)) as Vote
    const vote = (await voter.ask(deltaMessage, ROUND_TIMEOUT_MS)) as Vote
    return vote?.lacksBase === true ? ((await voter.ask(wholeMessage, ROUND_TIMEOUT_MS)) as Vote) : vote
  }
  function idsOf(votes: PositiveVote[]): Set<string> {
    const ids = new Set<string>()
    for (const vote of votes) ids.add(vote.id)
    return ids
  }
  /** One Paxos round: prepare, and accept unless the edit leaves a value unchanged that is committed already. */
  async function runRound(key: string, edit: RegisterEdit): Promise<RegisterOutcome> {
    const roundVoters = voters()
    const roundQuorum = quorum()
    const { epoch } = roundQuorum
    const ballot: Ballot = [++highestNumber, proposerId]
    const startedAt = world.now()
    const heldValue = heldValueOf?.(key)
    const pendingPromises: { id: string; got: Promise<Vote> }[] = []
    for (const voter of roundVoters) {
      const message = { t: 'prepare', epoch, key, ballot, ...haveFieldFor(voter, heldValue) }
      pendingPromises.push({ id: voter.id, got: voter.ask(message, ROUND_TIMEOUT_MS) as Promise<Vote> })
    }
    const prepareVotes = await gatherQuorum(world, pendingPromises, roundQuorum, isOk, ROUND_TIMEOUT_MS)
    for (const answer of prepareVotes) recordVote(answer.answer)
    const promises = positiveVotesOf(prepareVotes, heldValue)
    if (!roundQuorum.met(idsOf(promises))) return { done: false, why: 'no majority promised' }
    // Promises are valid for ROUND_TIMEOUT_MS only: a core that lost its disk since may have forgotten its promise.
    if (world.now() - startedAt > ROUND_TIMEOUT_MS) return { done: false, why: 'prepare took too long' }
    let highest = promises[0]
    for (const vote of promises) if (compareBallots(vote.ballot, highest.ballot) > 0) highest = vote
    const current = highest.value ?? undefined
    const edited = edit(current)
    if (!edited) {
      const highestHolders = new Set<string>()
      for (const vote of promises) if (compareBallots(vote.ballot, highest.ballot) === 0) highestHolders.add(vote.id)
      // A quorum holds the same ballot: the value is committed already, or nothing was ever proposed.
      if (roundQuorum.met(highestHolders)) {
        if (current) sendLearn(roundVoters, key, highest.ballot)
        return { done: true, value: current, ballot: highest.ballot }
      }
    }
    const value: RegisterValue = edited
      ? { turn: (current?.turn ?? 0) + 1, tag: edited.tag, body: edited.body }
      : (current as RegisterValue)
    const pendingAccepts: { id: string; got: Promise<Vote> }[] = []
    const wholeMessage = { t: 'accept', epoch, key, ballot, value }
    const delta = current ? makeDelta(current, value) : undefined
    const deltaMessage = delta && { t: 'accept', epoch, key, ballot, base: highest.ballot, delta }
    // A voter that promised with another ballot is sent the whole value at once; one that hasn't answered yet most
    // likely holds the base.
    const votersWithoutBase = new Set<string>()
    for (const vote of promises) if (compareBallots(vote.ballot, highest.ballot) !== 0) votersWithoutBase.add(vote.id)
    for (const voter of roundVoters)
      pendingAccepts.push({
        id: voter.id,
        got: sendAccept(voter, wholeMessage, votersWithoutBase.has(voter.id) ? undefined : deltaMessage),
      })
    const acceptVotes = await gatherQuorum(world, pendingAccepts, roundQuorum, isOk, ROUND_TIMEOUT_MS)
    const accepted = new Set<string>()
    for (const vote of acceptVotes) {
      recordVote(vote.answer)
      if (vote.answer?.ok) accepted.add(vote.id)
    }
    if (!roundQuorum.met(accepted)) return { done: false, why: 'no majority accepted' }
    sendLearn(roundVoters, key, ballot)
    return { done: true, value, ballot }
  }
  /** Tells the voters that the value accepted at this ballot is committed. */
  function sendLearn(roundVoters: Voter[], key: string, ballot: Ballot): void {
    for (const voter of roundVoters) voter.tell({ t: 'learn', key, ballot })
  }
  async function change(key: string, edit: RegisterEdit, limit = CHANGE_TIMEOUT_MS): Promise<RegisterOutcome> {
    const deadline = world.now() + limit
    let backoffFactor = 0
    for (;;) {
      const outcome = await runRound(key, edit)
      if (outcome.done || world.now() >= deadline) return outcome
      backoffFactor = Math.min(backoffFactor + 1, 5)
      await pause(world, ROUND_BACKOFF_MS * (1 + world.random()) * backoffFactor)
    }
  }
  function leaveUnchanged(): undefined {
    return undefined
  }
  function read(key: string, limit?: number): Promise<RegisterOutcome> {
    return change(key, leaveUnchanged, limit)
  }
  /** Sends a get and resolves an answer by deltas to the value that it stands for. */
  async function askValue(voter: Voter, message: unknown, heldValue: HeldValue | undefined): Promise<Vote> {
    const answer = (await voter.ask(message, ROUND_TIMEOUT_MS)) as Vote | GetAnswer
    if (!answer || !('deltas' in answer)) return answer as Vote
    const value = heldValue && resolveValue(answer, heldValue)
    return value ? { ok: true, ballot: answer.ballot, value } : undefined
  }
  /**
   * A value that a quorum accepted at one ballot is committed. If a later value had been committed before this read
   * began, at least one voter of the quorum would have answered with it.
   */
  async function readWithoutBallot(key: string, limit = CHANGE_TIMEOUT_MS): Promise<RegisterOutcome> {
    const roundVoters = voters()
    const roundQuorum = quorum()
    const { epoch } = roundQuorum
    const startedAt = world.now()
    const heldValue = heldValueOf?.(key)
    const pendingAnswers: { id: string; got: Promise<Vote> }[] = []
    for (const voter of roundVoters) {
      const message = { t: 'get', epoch, key, ...haveFieldFor(voter, heldValue) }
      pendingAnswers.push({ id: voter.id, got: askValue(voter, message, heldValue) })
    }
    const votes = await gatherQuorum(world, pendingAnswers, roundQuorum, isOk, ROUND_TIMEOUT_MS)
    for (const answer of votes) recordVote(answer.answer)
    const positiveVotes = positiveVotesOf(votes, heldValue)
    let isUnanimous = roundQuorum.met(idsOf(positiveVotes))
    for (const vote of positiveVotes)
      if (compareBallots(vote.ballot, positiveVotes[0].ballot) !== 0) isUnanimous = false
    if (!isUnanimous) return await read(key, Math.max(0, limit - (world.now() - startedAt)))
    const { ballot, value } = positiveVotes[0]
    if (value) sendLearn(roundVoters, key, ballot)
    return { done: true, value: value ?? undefined, ballot }
  }
  return { change, read, look: readWithoutBallot }
}
