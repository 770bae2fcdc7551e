import * as t from 'io-ts'
import { requestOnce, parseAddr, readAs, ROUND_TIMEOUT_MS, type Address, type World } from '@claynotch/base'

// The core set: which machines vote, as agreed state that each of them keeps on disk (docs/design/coreset.md).
// addr: where it takes links. token: names the storage with which a machine that was no voter offered itself; the founders have
// none. Invariants: no id stands in a set twice; a token is on its machine's disk before anyone is told of it, and a new one is
// drawn each time that the machine finds itself outside the set, so a core whose disk holds another token than its place in the
// set has lost what it voted there.
export const CoreMember = t.intersection([t.type({ id: t.string, addr: t.string }), t.partial({ token: t.string })])
export type CoreMember = t.TypeOf<typeof CoreMember>
// One configuration of the voters. Invariants: of each epoch there is one set, chosen in the register CORESET_KEY by a round
// under the epoch before it; whoever says a set has learnt that it was chosen; cores is empty only while no set is known.
// next: joint configuration; every majority is one of cores and one of next as well.
export const CoreSet = t.intersection([
  t.type({ epoch: t.number, cores: t.array(CoreMember) }),
  t.partial({ next: t.array(CoreMember) }),
])
export type CoreSet = t.TypeOf<typeof CoreSet>
export const CORESET_KEY = 'coreset'
export const EMPTY_CORE_SET: CoreSet = { epoch: 0, cores: [] }

// Which answers together decide. epoch: only cores that stand in it answer.
export type Quorum = { epoch: number; met: (ids: Set<string>) => boolean }

function hasMost(list: CoreMember[], ids: Set<string>): boolean {
  let count = 0
  for (const c of list) if (ids.has(c.id)) count++
  return count > list.length / 2
}
export function quorumOf(set: CoreSet): Quorum {
  function met(ids: Set<string>): boolean {
    return hasMost(set.cores, ids) && (set.next === undefined || hasMost(set.next, ids))
  }
  return { epoch: set.epoch, met }
}
// How many of the voting cores may be lost, whichever they are, with a quorum of the set left; -1: they are none now. Of a
// joint set each half must keep its majority, and the losses may all be of the same half.
export function tolerableLosses(set: CoreSet, voting: Set<string>): number {
  const halves = set.next === undefined ? [set.cores] : [set.cores, set.next]
  let out = Infinity
  for (const half of halves) out = Math.min(out, spareVotes(half, voting))
  return Math.max(-1, out)
}
// How many votes there are beyond a majority; below 0 as many as are short.
function spareVotes(half: CoreMember[], voting: Set<string>): number {
  const majority = Math.floor(half.length / 2) + 1
  let votes = 0
  for (const c of half) if (voting.has(c.id)) votes++
  return votes - majority
}
/** Whether a core of this id is in the list. */
export function hasCore(places: CoreMember[], id: string): boolean {
  for (const place of places) if (place.id === id) return true
  return false
}
// Everyone who may be asked: each once.
export function votersOf(set: CoreSet): CoreMember[] {
  const out = new Map<string, CoreMember>()
  for (const c of [...set.cores, ...(set.next ?? [])]) out.set(c.id, c)
  return [...out.values()]
}

const SeedsAnswer = t.intersection([
  t.type({ cores: t.array(CoreMember) }),
  t.partial({ epoch: t.number, next: t.array(CoreMember) }),
])

function byId(a: CoreMember, b: CoreMember): number {
  return a.id < b.id ? -1 : a.id > b.id ? 1 : 0
}

// The set that a first start founds: the machines of the seeds, known by rule alone (the same port on every machine, named
// by their IP), so that every process makes the same of the same seeds.
export function foundersFromSeeds(seeds: Address[], port: number): CoreMember[] {
  const out = new Map<string, CoreMember>()
  for (const seed of seeds) {
    const { host } = parseAddr(seed)
    out.set(host, { id: host, addr: `${host}:${port}` })
  }
  return [...out.values()].sort(byId)
}

// The set as the first of these tells it that can; undefined: none of them can. All are asked at once, as some may be silent.
// above: the epoch of the set that is known already. One that was cut off goes on telling an old set, and may be the quickest
// to answer: what is no later than that is passed over.
export function fetchCoreSetFromSeeds(
  world: World,
  seeds: Address[],
  above = -1,
): Promise<{ seed: Address; set: CoreSet } | undefined> {
  function start(done: (got: { seed: Address; set: CoreSet } | undefined) => void): void {
    let left = seeds.length
    async function ask(seed: Address): Promise<void> {
      const got = await requestOnce(world, seed, 'GET', '/seeds', undefined, ROUND_TIMEOUT_MS)
      const told = got.ok && got.val.status === 200 ? readAs(SeedsAnswer, got.val.body) : undefined
      left--
      if (told?.ok && told.val.cores.length > 0 && (told.val.epoch ?? 0) > above)
        done({ seed, set: { epoch: 0, ...told.val } })
      else if (left === 0) done(undefined)
    }
    if (left === 0) done(undefined)
    for (const seed of seeds) void ask(seed)
  }
  return new Promise(start)
}
