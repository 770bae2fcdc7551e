import { LEASE_CLOCK_SLACK_MS, LEASE_DURATION_MS, type Metrics, type World } from '@claynotch/base'
import type { InstanceAdapter, Status } from '@claynotch/instance'
import type { Body } from '@claynotch/operator'
import type { PromotionEdge } from '@claynotch/host'
import type { GroupRecord, InstanceStatus, Member, Proposer, RegisterValue } from '@claynotch/register'
import type { InstanceObservations } from './evidence.js'

/** What duties need of the node that they run on. */
export type FailoverView = {
  node: string
  /** ms without a good answer after which a leader is suspected. */
  suspicionTimeoutMs: number
  instance: InstanceAdapter
  promotion: PromotionEdge
  /** Where the promotion call goes. */
  platform: () => string | undefined
  proposer: Proposer
  /** Up to when (local time, ms) this node may hold duties. */
  leaseExpiresAt: () => number
  /** The nodes that may hold duties. */
  live: () => string[]
  groups: () => string[]
  register: (key: string) => RegisterValue | undefined
  learn: (key: string, value: RegisterValue, ballot: [number, string]) => void
  /** What is known of the group's instances. */
  instancesOf: (group: string) => InstanceStatus[]
  /** What the nodes that have a proxy told last. */
  observations: () => InstanceObservations[]
  /** A majority's word on the members; undefined without a majority. */
  askMembers: () => Promise<{ members: Member[]; isComplete: boolean } | undefined>
  /** The configuration as this node knows it. */
  body: () => Body | undefined
  metrics: Metrics
}

/** The number in which an instance says that it leads or follows: its own where it counts leaders, else that of its position. */
export function leaderEpochOf(status: Status): number {
  return status.epoch ?? status.mark.epoch
}

/** The number in which the record's leader leads, as instances count. */
export function recordedEpochOf(record: GroupRecord): number {
  return record.term ?? record.epoch
}

/** Whether it leads as the record says. */
export function leadsAs(record: GroupRecord, status: Status): boolean {
  return status.role === 'leader' && leaderEpochOf(status) === recordedEpochOf(record)
}

function hasApplied(member: Member, key: string, version: number): boolean {
  for (const [acknowledged, at] of member.acks) if (acknowledged === key && at >= version) return true
  return false
}

/**
 * Whether each proxy stopped: all acknowledged this version of the register, or any that did not has run out of its lease.
 * since: local time (ms) from which no lease was given that allows the version before.
 */
export async function haveStopped(
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

/** Where an instance says that it is goes before where the record says it was. */
export function addressOf(
  view: Pick<FailoverView, 'instancesOf'>,
  group: string,
  name: string,
  recorded: string,
): string {
  for (const instance of view.instancesOf(group)) if (instance.name === name) return instance.addr
  return recorded
}
