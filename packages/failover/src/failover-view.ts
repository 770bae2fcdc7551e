import { LEASE_CLOCK_SLACK_MS, LEASE_DURATION_MS, type Metrics, type World } from '@claynotch/base'
import type { InstanceAdapter, Status } from '@claynotch/instance'
import type { ConfigurationBody } from '@claynotch/operator'
import type { PromotionAdapter } from '@claynotch/host'
import type { GroupRecord, InstanceStatus, Member, Proposer, RegisterValue } from '@claynotch/register'
import type { InstanceObservations } from './evidence.js'

/** What failover and route moves need from the node that runs them. */
export type FailoverView = {
  /** The name of this node. */
  node: string
  /** Time in ms without a good answer after which a leader is suspected. */
  suspicionTimeoutMs: number
  instance: InstanceAdapter
  promotion: PromotionAdapter
  /** The address that receives promotion calls. */
  platform: () => string | undefined
  proposer: Proposer
  /** When the lease expires with which this node may hold duties (local time, ms). */
  leaseExpiresAt: () => number
  /** The live nodes, which may hold duties. */
  live: () => string[]
  /** The names of the configured groups. */
  groups: () => string[]
  /** The newest known value of a register. */
  register: (key: string) => RegisterValue | undefined
  /** Applies a committed register value on this node. */
  learn: (key: string, value: RegisterValue, ballot: [number, string]) => void
  /** The last known status of each of the group's instances. */
  instancesOf: (group: string) => InstanceStatus[]
  /** The latest observations of the nodes that run a proxy. */
  observations: () => InstanceObservations[]
  /** Reads the members from a quorum; undefined if no majority answers. */
  askMembers: () => Promise<{ members: Member[]; isComplete: boolean } | undefined>
  /** The configuration as this node knows it. */
  body: () => ConfigurationBody | undefined
  metrics: Metrics
}

/**
 * The epoch in which an instance reports to lead or follow: its own leader term if it has one, else its log position's.
 */
export function leaderEpochOf(status: Status): number {
  return status.epoch ?? status.mark.epoch
}

/** The epoch of the recorded leader in the instances' own numbering. */
export function recordedEpochOf(record: GroupRecord): number {
  return record.term ?? record.epoch
}

/** Whether the status confirms the leadership that the record states. */
export function isRecordedLeader(record: GroupRecord, status: Status): boolean {
  return status.role === 'leader' && leaderEpochOf(status) === recordedEpochOf(record)
}

/** Whether the member has acknowledged at least this version of the register. */
function hasApplied(member: Member, key: string, version: number): boolean {
  for (const [acknowledged, at] of member.acks) if (acknowledged === key && at >= version) return true
  return false
}

/**
 * Whether each proxy has stopped: every member has acknowledged this register version, or the leases of the others have
 * expired.
 *
 * @param since local time (ms) from which on no lease was granted that permits the previous version
 */
export async function haveAllProxiesStopped(
  world: World,
  view: Pick<FailoverView, 'askMembers'>,
  key: string,
  version: number,
  since: number,
): Promise<boolean> {
  if (world.now() - since > LEASE_DURATION_MS + 2 * LEASE_CLOCK_SLACK_MS) return true
  const read = await view.askMembers()
  if (!read?.isComplete) return false
  for (const member of read.members) if (!hasApplied(member, key, version)) return false
  return true
}

/** The announced address of an instance, or the recorded one if it isn't announced. */
export function addressOf(
  view: Pick<FailoverView, 'instancesOf'>,
  group: string,
  name: string,
  recorded: string,
): string {
  for (const instance of view.instancesOf(group)) if (instance.name === name) return instance.addr
  return recorded
}
