import type { InstanceStatus } from '@claynotch/register'
import { leaderEpochOf } from './failover-view.js'
import type { GroupContext } from './group-context.js'
import type { ProbedInstance } from './group-instances.js'
import type { GroupMemory } from './group-memory.js'

function leadersOf(instances: InstanceStatus[]): InstanceStatus[] {
  const leaders: InstanceStatus[] = []
  for (const instance of instances) if (instance.role === 'leader') leaders.push(instance)
  return leaders
}

/** Of the instances that report to lead, the one with the highest epoch. */
function latestLeader({ instances }: GroupContext, probed: ProbedInstance[]): ProbedInstance | undefined {
  const leaders: ProbedInstance[] = []
  for (const instance of probed) if (instance.status.role === 'leader') leaders.push(instance)
  let latest = instances.mostAdvanced(leaders, undefined)
  for (const instance of leaders)
    if (latest && leaderEpochOf(instance.status) > leaderEpochOf(latest.status)) latest = instance
  return latest
}

async function recordLeader({ view, write }: GroupContext, leader: ProbedInstance): Promise<boolean> {
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

async function recordCandidate({ view, write }: GroupContext, candidate: ProbedInstance): Promise<boolean> {
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

/** Writes a group's first record: with its leader if an instance reports to lead, else with a candidate to promote. */
export async function writeFirstRecord(context: GroupContext, memory: GroupMemory): Promise<boolean> {
  const { world, view, instances } = context
  // Only announced leaders are probed at first. All instances are probed once announcements have had time to arrive.
  const hasWaited = world.now() - memory.since >= view.suspicionTimeoutMs
  const leaders = leadersOf(instances.list())
  if (leaders.length === 0 && !hasWaited) return false
  const probed = await instances.probe(hasWaited ? instances.list() : leaders)
  const leader = latestLeader(context, probed)
  if (leader) return await recordLeader(context, leader)
  const candidate = hasWaited ? instances.mostAdvanced(probed, undefined) : undefined
  return candidate !== undefined && (await recordCandidate(context, candidate))
}
