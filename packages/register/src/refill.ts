import { REFILL_BATCH_SIZE, ROUND_TIMEOUT_MS, type PersistentLink, type World } from '@claynotch/base'
import { quorumOf, type CoreSet, type Quorum } from './core-set.js'
import { gatherQuorum, makeProposer, type Voter } from './proposer.js'
import type { RegisterEntry } from './register-store.js'

/** Another voter with the link to it. */
export type LinkedVoter = { id: string; held: Pick<PersistentLink, 'ask' | 'tell'> }

/**
 * The state with which a core that lost its storage may vote again. floor: prepares and accepts below this ballot
 * number are rejected for every key. keys: how many registers were read.
 */
export type Refill = { cells: Map<string, RegisterEntry>; floor: number; keys: number }

/** Answer with the keys of a voter's registers. top: the highest ballot number that it promised. */
type RegisterKeysAnswer = { ok?: boolean; keys: string[]; top: number } | undefined

function isKeysAnswer(answer: RegisterKeysAnswer): answer is { ok: true; keys: string[]; top: number } {
  return answer?.ok === true
}

/**
 * The keys of all registers and the highest ballot number promised, at a quorum of the set that is counted among the
 * other voters; undefined if no such quorum answered.
 */
async function queryKeys(
  world: World,
  others: LinkedVoter[],
  set: CoreSet,
): Promise<{ keys: Set<string>; top: number } | undefined> {
  const quorum = quorumOf(set)
  const pendingAnswers: { id: string; got: Promise<RegisterKeysAnswer> }[] = []
  for (const other of others) {
    const answer = other.held.ask({ t: 'keys', epoch: set.epoch }, ROUND_TIMEOUT_MS) as Promise<RegisterKeysAnswer>
    pendingAnswers.push({ id: other.id, got: answer })
  }
  const answeredIds = new Set<string>()
  const keys = new Set<string>()
  let highestNumber = 0
  for (const { id, answer: answer } of await gatherQuorum(world, pendingAnswers, quorum, isKeysAnswer, ROUND_TIMEOUT_MS)) {
    if (!isKeysAnswer(answer)) continue
    answeredIds.add(id)
    for (const key of answer.keys) keys.add(key)
    highestNumber = Math.max(highestNumber, answer.top)
  }
  return quorum.met(answeredIds) ? { keys, top: highestNumber } : undefined
}

/**
 * Reads every register in a whole round at a quorum of the set that is counted among the other voters, above every
 * ballot that was promised there. undefined: no such quorum answered, and the caller retries.
 * For the source of the procedure and its alternatives see docs/register.md, "A core that lost its memory".
 */
export async function readRegistersForRefill(
  world: World,
  id: string,
  others: LinkedVoter[],
  set: CoreSet,
): Promise<Refill | undefined> {
  const keysBefore = await queryKeys(world, others, set)
  if (!keysBefore) return undefined
  function voters(): Voter[] {
    const linkedVoters: Voter[] = []
    for (const other of others) linkedVoters.push({ id: other.id, ask: other.held.ask, tell: other.held.tell })
    return linkedVoters
  }
  function quorum(): Quorum {
    return quorumOf(set)
  }
  const proposer = makeProposer(world, id, voters, quorum)
  const cells = new Map<string, RegisterEntry>()
  async function readRegister(key: string): Promise<boolean> {
    // A read that finds the same value at a majority writes nothing, but its prepare has raised that majority's
    // promise.
    const result = await proposer.read(key)
    if (result.done && result.value)
      cells.set(key, { promise: result.ballot, ballot: result.ballot, value: result.value })
    return result.done
  }
  const keys = [...keysBefore.keys]
  for (let batchStart = 0; batchStart < keys.length; batchStart += REFILL_BATCH_SIZE) {
    const completed = await Promise.all(keys.slice(batchStart, batchStart + REFILL_BATCH_SIZE).map(readRegister))
    if (completed.includes(false)) return undefined
  }
  // The floor covers the ballots of these reads and keys that no voter has reported yet.
  const keysAfter = await queryKeys(world, others, set)
  if (!keysAfter) return undefined
  const floor = Math.max(keysBefore.top, keysAfter.top) + 1
  for (const [key, cell] of cells) cells.set(key, { ...cell, promise: [floor, ''] })
  return { cells, floor, keys: keys.length }
}
