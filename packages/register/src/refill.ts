import { REFILL_BATCH_SIZE, ROUND_TIMEOUT_MS, type PersistentLink, type World } from '@claynotch/base'
import { quorumOf, type CoreSet, type Quorum } from './core-set.js'
import { gatherQuorum, makeProposer, type Voter } from './proposer.js'
import type { RegisterEntry } from './register-store.js'

/** Another voter, by the link that is held to it. */
export type OtherVoter = { id: string; held: Pick<PersistentLink, 'ask' | 'tell'> }

/** What a core that lost its storage needs to vote again. floor: prepares and accepts below it are refused for every key. */
export type Refill = { cells: Map<string, RegisterEntry>; floor: number; keys: number }

type KeysAnswer = { ok?: boolean; keys: string[]; top: number } | undefined

function hasKeys(answer: KeysAnswer): answer is { ok: true; keys: string[]; top: number } {
  return answer?.ok === true
}

/** The names of all registers, and the highest ballots promised, at a quorum of the set counted among the others. */
async function askKeys(
  world: World,
  others: OtherVoter[],
  set: CoreSet,
): Promise<{ keys: Set<string>; top: number } | undefined> {
  const quorum = quorumOf(set)
  const asks: { id: string; got: Promise<KeysAnswer> }[] = []
  for (const other of others) {
    const got = other.held.ask({ t: 'keys', epoch: set.epoch }, ROUND_TIMEOUT_MS) as Promise<KeysAnswer>
    asks.push({ id: other.id, got })
  }
  const answered = new Set<string>()
  const keys = new Set<string>()
  let top = 0
  for (const { id, val } of await gatherQuorum(world, asks, quorum, hasKeys, ROUND_TIMEOUT_MS)) {
    if (!hasKeys(val)) continue
    answered.add(id)
    for (const key of val.keys) keys.add(key)
    top = Math.max(top, val.top)
  }
  return quorum.met(answered) ? { keys, top } : undefined
}

/**
 * Reads every register by a whole round at a quorum of the set that is counted among the others, above everything that was
 * promised there. undefined: no such quorum answered, and it is to be tried again.
 * Source of the procedure and the ways weighed: docs/register.md, "A core that lost its memory".
 */
export async function readRefill(
  world: World,
  id: string,
  others: OtherVoter[],
  set: CoreSet,
): Promise<Refill | undefined> {
  const before = await askKeys(world, others, set)
  if (!before) return undefined
  function voters(): Voter[] {
    const out: Voter[] = []
    for (const other of others) out.push({ id: other.id, ask: other.held.ask, tell: other.held.tell })
    return out
  }
  function quorum(): Quorum {
    return quorumOf(set)
  }
  const proposer = makeProposer(world, id, voters, quorum)
  const cells = new Map<string, RegisterEntry>()
  async function readOne(key: string): Promise<boolean> {
    // A read that finds a majority alike writes nothing, yet its prepare has raised that majority's promise.
    const got = await proposer.read(key)
    if (got.done && got.value) cells.set(key, { promise: got.ballot, ballot: got.ballot, value: got.value })
    return got.done
  }
  const keys = [...before.keys]
  for (let from = 0; from < keys.length; from += REFILL_BATCH_SIZE) {
    const reads = await Promise.all(keys.slice(from, from + REFILL_BATCH_SIZE).map(readOne))
    if (reads.includes(false)) return undefined
  }
  // The floor covers the ballots just used and keys that no one has named yet.
  const after = await askKeys(world, others, set)
  if (!after) return undefined
  const floor = Math.max(before.top, after.top) + 1
  for (const [key, cell] of cells) cells.set(key, { ...cell, promise: [floor, ''] })
  return { cells, floor, keys: keys.length }
}
