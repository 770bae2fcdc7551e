import type { InstanceStatus } from '@claynotch/register'
import { leaderEpochOf } from './failover-view.js'
import type { GroupContext } from './group-context.js'
import type { Probed } from './group-instances.js'
import type { GroupMemory } from './group-memory.js'

function leadersOf(instances: InstanceStatus[]): InstanceStatus[] {
  const out: InstanceStatus[] = []
  for (const instance of instances) if (instance.role === 'leader') out.push(instance)
  return out
}

/** Of those that say that they lead, the one of the latest epoch. */
function latestLeader({ instances }: GroupContext, probed: Probed[]): Probed | undefined {
  const leaders: Probed[] = []
  for (const one of probed) if (one.status.role === 'leader') leaders.push(one)
  let latest = instances.furthest(leaders, undefined)
  for (const one of leaders) if (latest && leaderEpochOf(one.status) > leaderEpochOf(latest.status)) latest = one
  return latest
}

async function recordLeader({ view, write }: GroupContext, leader: Probed): Promise<boolean> {
  const term = leader.status.epoch
  const isWritten = await write(0, {
    epoch: leaderEpochOf(leader.status),
    phase: 'steady',
    holder: view.node,
    fence: 1,
    leader: leader.name,
    addr: leader.addr,
    ...(term === undefined ? {} : { term }),
  })
  return isWritten === true
}

async function recordCandidate({ view, write }: GroupContext, candidate: Probed): Promise<boolean> {
  const isWritten = await write(0, {
    epoch: leaderEpochOf(candidate.status) + 1,
    phase: 'stop',
    holder: view.node,
    fence: 1,
    candidate: candidate.name,
    candidateAddr: candidate.addr,
  })
  return isWritten === true
}

/** Writes the first record of a group: its leader where one says that it leads, else a candidate. */
export async function writeFirstRecord(context: GroupContext, memory: GroupMemory): Promise<boolean> {
  const { world, view, instances } = context
  // Those that say that they lead are asked; all only when none does, after announcements had time to come in.
  const hasWaited = world.now() - memory.since >= view.suspicionTimeoutMs
  const leaders = leadersOf(instances.list())
  if (leaders.length === 0 && !hasWaited) return false
  const probed = await instances.probe(hasWaited ? instances.list() : leaders)
  const leader = latestLeader(context, probed)
  if (leader) return await recordLeader(context, leader)
  const candidate = hasWaited ? instances.furthest(probed, undefined) : undefined
  return candidate !== undefined && (await recordCandidate(context, candidate))
}
