/**
 * The census: under every core set that ever was, whoever still answers under it is asked for the members. No quorum of cores
 * that are all sure may miss a node that holds a valid lease by its own clock.
 */
import {
  makeHello,
  makePersistentLink,
  makeFlag,
  noop,
  pause,
  readAs,
  type Address,
  type PersistentLink,
  type World,
} from '@claynotch/base'
import { MembersAnswer } from '@claynotch/register'
import type { ControlFleet } from './fleet.js'
import { quorumOf, votersOf, type CoreSet } from './sets.js'
import type { Machine, Proc } from '../sim.js'

const CENSUS_BEAT = 150
const CENSUS_WAIT = 200
/** Sets older than this many epochs are asked no more: nobody stands in them, so nobody answers. */
const SETS_ASKED = 4

type Holder = { node: string; termUntil: number; machine: Machine; proc: Proc }

/** Whether its lease stands now, by the clock of its own machine. */
function stands(h: Holder, now: number): boolean {
  return h.proc.state !== 'dead' && h.termUntil > now + h.machine.clockSkewMs
}
/** Who holds a lease now; not who was told to stop, as its lease may be given up already. */
function holdersOf(fleet: ControlFleet): Holder[] {
  const now = fleet.sim.now()
  const out: Holder[] = []
  for (const life of fleet.lives()) {
    const one = { node: life.node, termUntil: life.agent.leaseExpiresAt(), machine: life.machine, proc: life.proc }
    if (!life.ending() && stands(one, now)) out.push(one)
  }
  return out
}
function lastSets(fleet: ControlFleet): CoreSet[] {
  const epochs = [...fleet.sets.keys()].sort(byNumber).slice(-SETS_ASKED)
  const out: CoreSet[] = []
  for (const e of epochs) out.push(fleet.sets.get(e)!)
  return out
}
function byNumber(a: number, b: number): number {
  return a - b
}

/** Starts it; the answer tells how many quorums were counted so far. */
export function startCensus(fleet: ControlFleet, over: () => boolean): () => number {
  const { sim } = fleet
  let counted = 0

  /** Every quorum of those that answered and are sure must name every holder whose lease still stands. */
  function check(set: CoreSet, holders: Holder[], got: (MembersAnswer | undefined)[]): void {
    const list = votersOf(set)
    const quorum = quorumOf(set)
    for (const h of holders) {
      if (!stands(h, sim.now())) continue
      // The largest group of sure answers that does not name the holder.
      const without = new Set<string>()
      for (const [k, p] of list.entries()) if (got[k] && !got[k].members.some(isHolder)) without.add(p.id)
      function isHolder(m: { node: string }): boolean {
        return m.node === h.node
      }
      counted++
      if (quorum.met(without))
        fleet.broken(`epoch ${set.epoch}: ${[...without].join()} are sure of the members, and ${h.node} holds a lease`)
    }
  }
  async function run(world: World): Promise<void> {
    const links = new Map<string, PersistentLink>()
    async function ask(addr: Address, epoch: number): Promise<MembersAnswer | undefined> {
      const held = links.get(addr) ?? makePersistentLink(world, addr, makeHello('test', 'census'), noop, makeFlag())
      links.set(addr, held)
      const got = readAs(MembersAnswer, await held.ask({ t: 'members', epoch }, CENSUS_WAIT))
      return got.ok && got.val.ok && got.val.sure ? got.val : undefined
    }
    while (!over()) {
      fleet.latestCoreSet()
      for (const set of lastSets(fleet)) {
        // Only leases that stood before the question and stand after the answers.
        const holders = holdersOf(fleet)
        const asks: Promise<MembersAnswer | undefined>[] = []
        for (const p of votersOf(set)) asks.push(ask(p.addr, set.epoch))
        check(set, holders, await Promise.all(asks))
      }
      await pause(world, CENSUS_BEAT)
    }
  }
  sim.spawn(sim.machine('census', '10.0.3.250'), 'census', run)
  function count(): number {
    return counted
  }
  return count
}
