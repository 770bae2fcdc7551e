/**
 * Lease census: asks the voters of the latest core sets for the members. No quorum of cores that are all sure of their
 * answer may miss a node that holds a valid lease by its own clock.
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

const CENSUS_INTERVAL_MS = 150
const CENSUS_TIMEOUT_MS = 200
/** Only this many of the latest core sets are asked: no core is in an older epoch any more, so none answers. */
const MAX_SETS_ASKED = 4

type LeaseHolder = { node: string; leaseExpiresAt: number; machine: Machine; proc: Proc }

/** Whether the lease is valid now, by the clock of its own machine. */
function isLeaseValid(holder: LeaseHolder, now: number): boolean {
  return holder.proc.state !== 'dead' && holder.leaseExpiresAt > now + holder.machine.clockSkewMs
}
/** The current lease holders, except processes told to stop: those may have released their lease already. */
function holdersOf(fleet: ControlFleet): LeaseHolder[] {
  const now = fleet.sim.now()
  const out: LeaseHolder[] = []
  for (const agentProcess of fleet.liveAgents()) {
    const holder = {
      node: agentProcess.node,
      leaseExpiresAt: agentProcess.agent.leaseExpiresAt(),
      machine: agentProcess.machine,
      proc: agentProcess.proc,
    }
    if (!agentProcess.isStopping() && isLeaseValid(holder, now)) out.push(holder)
  }
  return out
}
function latestSets(fleet: ControlFleet): CoreSet[] {
  const epochs = [...fleet.coreSetsByEpoch.keys()].sort(byNumber).slice(-MAX_SETS_ASKED)
  const out: CoreSet[] = []
  for (const e of epochs) out.push(fleet.coreSetsByEpoch.get(e)!)
  return out
}
function byNumber(a: number, b: number): number {
  return a - b
}

/** Starts the census; the returned function tells how many lease holders were checked so far. */
export function startCensus(fleet: ControlFleet, hasEnded: () => boolean): () => number {
  const { sim } = fleet
  let leaseChecks = 0

  /** Every quorum of sure answers must name every holder whose lease is still valid. */
  function check(set: CoreSet, holders: LeaseHolder[], answers: (MembersAnswer | undefined)[]): void {
    const voters = votersOf(set)
    const quorum = quorumOf(set)
    for (const holder of holders) {
      if (!isLeaseValid(holder, sim.now())) continue
      /** All voters that are sure of their answer and do not name the holder. */
      const surePeersWithoutHolder = new Set<string>()
      for (const [k, voter] of voters.entries())
        if (answers[k] && !answers[k].members.some(isHolder)) surePeersWithoutHolder.add(voter.id)
      function isHolder(m: { node: string }): boolean {
        return m.node === holder.node
      }
      leaseChecks++
      if (quorum.met(surePeersWithoutHolder))
        fleet.reportViolation(
          `epoch ${set.epoch}: ${[...surePeersWithoutHolder].join()} are sure of the members, and ${holder.node} holds a lease`,
        )
    }
  }
  async function run(world: World): Promise<void> {
    const links = new Map<string, PersistentLink>()
    async function ask(addr: Address, epoch: number): Promise<MembersAnswer | undefined> {
      const link = links.get(addr) ?? makePersistentLink(world, addr, makeHello('test', 'census'), noop, makeFlag())
      links.set(addr, link)
      const answer = readAs(MembersAnswer, await link.ask({ t: 'members', epoch }, CENSUS_TIMEOUT_MS))
      return answer.ok && answer.val.ok && answer.val.sure ? answer.val : undefined
    }
    while (!hasEnded()) {
      fleet.latestCoreSet()
      for (const set of latestSets(fleet)) {
        // Only leases valid before the question and still valid after the answers are checked.
        const holders = holdersOf(fleet)
        const asks: Promise<MembersAnswer | undefined>[] = []
        for (const voter of votersOf(set)) asks.push(ask(voter.addr, set.epoch))
        check(set, holders, await Promise.all(asks))
      }
      await pause(world, CENSUS_INTERVAL_MS)
    }
  }
  sim.spawn(sim.machine('census', '10.0.3.250'), 'census', run)
  function getLeaseChecks(): number {
    return leaseChecks
  }
  return getLeaseChecks
}
