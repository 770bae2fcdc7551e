import * as t from 'io-ts'
import { requestOnce, parseAddr, readAs, ROUND_TIMEOUT_MS, type Address, type World } from '@claynotch/base'

/**
 * One member of the core set. The set says which machines vote; it is agreed state that each of them keeps on disk
 * (docs/design/coreset.md).
 *
 * addr: the address on which it accepts links. token: identifies the storage with which a machine that was no voter
 * offered itself; founders have none.
 * Invariants: an id occurs once in a set; a token is on its machine's disk before it is sent to anyone, and a new one
 * is generated each time that the machine finds itself outside the set. So a core whose disk holds another token than
 * its entry in the set has lost the votes that it cast there.
 */
export const CoreMember = t.intersection([t.type({ id: t.string, addr: t.string }), t.partial({ token: t.string })])
export type CoreMember = t.TypeOf<typeof CoreMember>
/**
 * One configuration of the voters.
 *
 * next: present in a joint configuration; a quorum then needs a majority of cores and a majority of next.
 * Invariants: each epoch has one set, committed in the register CORESET_KEY by a round under the epoch before it;
 * whoever sends a set has learnt that it is committed; cores is empty only while no set is known.
 */
export const CoreSet = t.intersection([
  t.type({ epoch: t.number, cores: t.array(CoreMember) }),
  t.partial({ next: t.array(CoreMember) }),
])
export type CoreSet = t.TypeOf<typeof CoreSet>
/** Key of the register that holds the core set. */
export const CORESET_KEY = 'coreset'
/** Stands for a core set that isn't known yet. */
export const EMPTY_CORE_SET: CoreSet = { epoch: 0, cores: [] }

/** Which answers together form a quorum. epoch: only cores in this epoch answer. */
export type Quorum = { epoch: number; met: (ids: Set<string>) => boolean }

function hasMajority(members: CoreMember[], ids: Set<string>): boolean {
  let count = 0
  for (const member of members) if (ids.has(member.id)) count++
  return count > members.length / 2
}
/** The quorum of a set: a majority, or in a joint configuration a majority of both halves. */
export function quorumOf(set: CoreSet): Quorum {
  function met(ids: Set<string>): boolean {
    return hasMajority(set.cores, ids) && (set.next === undefined || hasMajority(set.next, ids))
  }
  return { epoch: set.epoch, met }
}
/**
 * How many of the voting cores may fail, whichever they are, with a quorum of the set left; -1: there is no quorum now.
 * In a joint configuration each half must keep its majority, and all failures may be in the same half.
 */
export function tolerableLosses(set: CoreSet, voting: Set<string>): number {
  const halves = set.next === undefined ? [set.cores] : [set.cores, set.next]
  let losses = Infinity
  for (const half of halves) losses = Math.min(losses, spareVotes(half, voting))
  return Math.max(-1, losses)
}
/** Number of votes beyond a majority; negative if votes are missing. */
function spareVotes(members: CoreMember[], voting: Set<string>): number {
  const majority = Math.floor(members.length / 2) + 1
  let votes = 0
  for (const member of members) if (voting.has(member.id)) votes++
  return votes - majority
}
/** Whether the list has a core of this id. */
export function hasCore(members: CoreMember[], id: string): boolean {
  for (const member of members) if (member.id === id) return true
  return false
}
/** All voters of a set, of both halves in a joint configuration, each once. */
export function votersOf(set: CoreSet): CoreMember[] {
  const votersById = new Map<string, CoreMember>()
  for (const member of [...set.cores, ...(set.next ?? [])]) votersById.set(member.id, member)
  return [...votersById.values()]
}

/** HTTP answer of a seed: the core set as far as it knows it. */
const SeedsAnswer = t.intersection([
  t.type({ cores: t.array(CoreMember) }),
  t.partial({ epoch: t.number, next: t.array(CoreMember) }),
])

function compareIds(a: CoreMember, b: CoreMember): number {
  return a.id < b.id ? -1 : a.id > b.id ? 1 : 0
}

/**
 * The set that a first start founds: the machines of the seeds. It follows from the seeds alone (each core is named by
 * its IP and uses the same port), so that every process derives the same set from the same seeds.
 */
export function foundersFromSeeds(seeds: Address[], port: number): CoreMember[] {
  const foundersByHost = new Map<string, CoreMember>()
  for (const seed of seeds) {
    const { host } = parseAddr(seed)
    foundersByHost.set(host, { id: host, addr: `${host}:${port}` })
  }
  return [...foundersByHost.values()].sort(compareIds)
}

/**
 * Queries all seeds at once, as some may not respond, and returns the first core set received; undefined if no seed has
 * one.
 *
 * knownEpoch: epoch of the set that is known already. A partitioned seed goes on returning an old set and may be the
 * fastest to answer, so answers that aren't newer are ignored.
 */
export function fetchCoreSetFromSeeds(
  world: World,
  seeds: Address[],
  knownEpoch = -1,
): Promise<{ seed: Address; set: CoreSet } | undefined> {
  function start(resolve: (answer: { seed: Address; set: CoreSet } | undefined) => void): void {
    let pendingCount = seeds.length
    async function querySeed(seed: Address): Promise<void> {
      const response = await requestOnce(world, seed, 'GET', '/seeds', undefined, ROUND_TIMEOUT_MS)
      const answer = response.ok && response.val.status === 200 ? readAs(SeedsAnswer, response.val.body) : undefined
      pendingCount--
      if (answer?.ok && answer.val.cores.length > 0 && (answer.val.epoch ?? 0) > knownEpoch)
        resolve({ seed, set: { epoch: 0, ...answer.val } })
      else if (pendingCount === 0) resolve(undefined)
    }
    if (pendingCount === 0) resolve(undefined)
    for (const seed of seeds) void querySeed(seed)
  }
  return new Promise(start)
}
