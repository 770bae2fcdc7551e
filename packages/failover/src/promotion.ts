import {
  CANDIDATE_TIMEOUT_MS,
  FAILOVER_INTERVAL_MS,
  MISSING_COMMITS_WAIT_MS,
  PROMOTION_DONE_DELAY_MS,
  PROMOTION_REFUSED_DELAY_MS,
  PROMOTION_UNCLEAR_DELAY_MS,
  PROMOTION_WAIT_LOG_INTERVAL_MS,
} from '@claynotch/base'
import { comparePositions, type LogPosition } from '@claynotch/instance'
import type { PromotionResult } from '@claynotch/host'
import { departedFieldOf, groupKey, type GroupRecord } from '@claynotch/register'
import { haveAllProxiesStopped, leaderEpochOf } from './failover-view.js'
import type { GroupContext } from './group-context.js'
import type { ProbedInstance, ProbeTarget } from './group-instances.js'
import type { GroupMemory } from './group-memory.js'
import { replicasOf, replicasWithOldLeader, unansweredReplicas } from './replicas.js'

/** Failover from one leader to the next: the phases stop and promote of a group's record. */

/** The leader that this record replaces, or would replace if a failover started now. */
function oldLeaderOf(record: GroupRecord): string | undefined {
  return record.old ?? record.leader
}

/**
 * The instances that may be promoted. With synchronous commits these are all that may hold an acknowledged commit,
 * including a leaving one: it receives commits until it ends, and may be the only replica that holds the last ones.
 */
function promotableInstances({ instances }: GroupContext, record: GroupRecord): ProbeTarget[] {
  return instances.isSynchronous() ? replicasOf(record, instances.list(), undefined) : instances.stayingInstances()
}

/**
 * The most advanced instance that may be promoted. Unless the replacement is planned, the old leader is considered only
 * if no other instance answers.
 */
async function chooseCandidate(
  context: GroupContext,
  record: GroupRecord,
  planned: boolean,
): Promise<ProbedInstance | undefined> {
  const { instances } = context
  const oldLeader = oldLeaderOf(record)
  const others: ProbeTarget[] = []
  const oldLeaderTargets: ProbeTarget[] = []
  for (const instance of promotableInstances(context, record))
    (instance.name === oldLeader && !planned ? oldLeaderTargets : others).push(instance)
  // This choice is provisional: positions are compared again once writes have stopped, so a missing answer isn't
  // awaited.
  return (
    instances.mostAdvanced(await instances.probe(others), oldLeader) ??
    instances.mostAdvanced(await instances.probe(oldLeaderTargets, { suspect: oldLeader }), oldLeader)
  )
}

/**
 * Starts a failover: records a new epoch and its candidate, in phase stop. A proxy that has applied this record sends
 * no write under the old epoch. Returns whether the record was written.
 */
export async function enterStopPhase(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  planned: boolean,
  chosenCandidate?: ProbedInstance,
): Promise<boolean> {
  const { view, write } = context
  const oldLeader = oldLeaderOf(record)
  const candidate = chosenCandidate ?? (await chooseCandidate(context, record, planned))
  if (!candidate) return false
  const { status } = candidate
  const next: GroupRecord = {
    ...(record.term === undefined ? {} : { term: record.term }),
    epoch: Math.max(record.epoch, status.mark.epoch, leaderEpochOf(status)) + 1,
    phase: 'stop',
    holder: view.node,
    fence: record.fence,
    candidate: candidate.name,
    candidateAddr: candidate.addr,
    planned,
    ...(oldLeader !== undefined ? { old: oldLeader } : {}),
    ...(context.instances.isSynchronous() ? { replicas: replicasWithOldLeader(record, context.instances.list()) } : {}),
    ...departedFieldOf(record),
  }
  return (await write(version, next)) === true
}

/**
 * Reports that the most advanced instance lacks commits that were acknowledged; returns the note for the group's
 * record.
 */
function reportMissingCommits(
  { world, view, group }: GroupContext,
  candidate: string | undefined,
  highestSeen: LogPosition,
  mostAdvanced: ProbedInstance,
) {
  const { mark } = mostAdvanced.status
  view.metrics.add('claynotch_duty_promoted_behind_total', [['group', group]])
  world.log.error('promotion-behind', {
    group,
    candidate,
    seen: `${highestSeen.epoch}/${highestSeen.position}`,
    has: `${mark.epoch}/${mark.position}`,
  })
  return `promoted behind: commits up to ${highestSeen.epoch}/${highestSeen.position} were seen, the furthest instance has ${mark.epoch}/${mark.position}`
}

/**
 * Whether, in a planned replacement, the old leader holds commits that its replicas lack but may still receive in time.
 */
function shouldWaitForReplicas(
  { world, instances }: GroupContext,
  record: GroupRecord,
  mostAdvanced: ProbedInstance,
  memory: GroupMemory,
): boolean {
  if (!instances.isSynchronous() || record.planned !== true || mostAdvanced.name !== record.old) return false
  return world.now() - memory.since < MISSING_COMMITS_WAIT_MS
}

/** Logs, at most once per interval, which replicas the promotion waits for and the highest acknowledged commit. */
async function logPromotionWait(
  { world, view, group, instances }: GroupContext,
  unanswered: ProbeTarget[],
  memory: GroupMemory,
) {
  const now = world.now()
  if (now - (memory.waitLoggedAt ?? -Infinity) < PROMOTION_WAIT_LOG_INTERVAL_MS) return
  memory.waitLoggedAt = now
  const highestSeen = await instances.highestCommit()
  view.metrics.add('claynotch_duty_promotion_waits_total', [['group', group]])
  const replicaNames: string[] = []
  for (const { name } of unanswered) replicaNames.push(name)
  world.log.warn('promotion-waits', {
    group,
    replicas: replicaNames.join(' '),
    seen: highestSeen && `${highestSeen.epoch}/${highestSeen.position}`,
  })
}

/** Whether a replica that didn't answer may hold an acknowledged commit that no answering instance holds. */
async function mayUnansweredHoldCommit(
  context: GroupContext,
  record: GroupRecord,
  probed: ProbedInstance[],
  memory: GroupMemory,
): Promise<boolean> {
  const { instances } = context
  if (!instances.isSynchronous()) return false
  const unanswered = unansweredReplicas(record, instances.list(), probed)
  if (unanswered.length === 0) return false
  await logPromotionWait(context, unanswered, memory)
  return true
}

/**
 * The highest acknowledged commit, if the most advanced instance seems to lack it. Always undefined with synchronous
 * commits, as every instance that may hold an acknowledged commit was asked: the position that proxies see is then the
 * end of the leader's log, which is ahead of what is acknowledged.
 */
async function findMissingCommit(
  { instances }: GroupContext,
  mostAdvanced: ProbedInstance,
): Promise<LogPosition | undefined> {
  if (instances.isSynchronous()) return undefined
  const highest = await instances.highestCommit()
  return highest && comparePositions(mostAdvanced.status.mark, highest) < 0 ? highest : undefined
}

/** The stop phase: once no proxy can write any more, the most advanced instance becomes the final candidate. */
export async function awaitWritesStopped(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<boolean> {
  const { world, view, group, instances, write } = context
  if (!(await haveAllProxiesStopped(world, view, groupKey(group), version, memory.since))) return false
  const suspect = record.planned ? undefined : record.old
  const probed = await instances.probe(promotableInstances(context, record), { suspect })
  const mostAdvanced = instances.mostAdvanced(probed, instances.isSynchronous() ? record.old : suspect)
  if (!mostAdvanced) return false
  memory.intervalMs = FAILOVER_INTERVAL_MS / 2
  if (await mayUnansweredHoldCommit(context, record, probed, memory)) return false
  if (shouldWaitForReplicas(context, record, mostAdvanced, memory)) return false
  const missingCommit = await findMissingCommit(context, mostAdvanced)
  if (missingCommit && world.now() - memory.since < instances.missingCommitsWait()) return false
  const probedCandidate = probed.find(isCandidate)
  function isCandidate(instance: ProbedInstance): boolean {
    return instance.name === record.candidate
  }
  // Nobody writes now, so the most advanced instance stays ahead; it replaces a candidate that is behind it.
  const isCandidateReplaced =
    !probedCandidate || comparePositions(mostAdvanced.status.mark, probedCandidate.status.mark) > 0
  const next: GroupRecord = {
    ...record,
    phase: 'promote',
    ...(isCandidateReplaced ? { candidate: mostAdvanced.name, candidateAddr: mostAdvanced.addr } : {}),
  }
  if (missingCommit) next.note = reportMissingCommits(context, next.candidate, missingCommit, mostAdvanced)
  return (await write(version, next)) === true
}

/** Whether the candidate leads, and its term where instances number their leaders themselves; undefined: no answer. */
type Confirmation = { isLeading: boolean; term: number | undefined } | undefined

/** Probes the candidate. Any answer, also a busy one, counts as a sign of life. */
async function confirmLeadership(
  { world, instances }: GroupContext,
  candidate: ProbeTarget,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<Confirmation> {
  function onBusy(): void {
    memory.candidateRespondedAt = world.now()
  }
  const [probed] = await instances.probe([candidate], { onBusy })
  if (!probed) return undefined
  memory.candidateRespondedAt = world.now()
  const { status } = probed
  // Where instances number their leaders themselves, the new leader's term becomes known only here.
  const isEpochCurrent =
    status.epoch === undefined ? status.mark.epoch === record.epoch : status.epoch >= (record.term ?? 0)
  return { isLeading: status.role === 'leader' && isEpochCurrent, term: status.epoch }
}

/**
 * Delay in ms before the promotion call may be repeated for the same candidate. After a refusal it doubles, up to
 * PROMOTION_DONE_DELAY_MS.
 */
function promotionRetryDelay(end: PromotionResult['end'], memory: GroupMemory): number {
  if (end === 'done') return PROMOTION_DONE_DELAY_MS
  if (end === 'unclear') return PROMOTION_UNCLEAR_DELAY_MS
  const previousDelayMs = Math.max(PROMOTION_REFUSED_DELAY_MS / 2, memory.lastPromotionCall?.delayMs ?? 0)
  return Math.min(PROMOTION_DONE_DELAY_MS, 2 * previousDelayMs)
}

/** Tells the old leader, if it is announced, to follow; its answer isn't awaited. */
function demoteOldLeader({ instances }: GroupContext, record: GroupRecord): void {
  const oldLeader = record.old === undefined || record.old === record.candidate ? undefined : instances.get(record.old)
  if (oldLeader) void instances.demote(oldLeader, (record.term ?? record.epoch - 1) + 1)
}

/**
 * Sends the promotion call to the platform; false: not sent, as the record has changed or this node's lease has
 * expired.
 */
async function callPromotion(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
  candidate: ProbeTarget,
): Promise<boolean> {
  const { world, view, group, promote } = context
  function mayCall(): boolean {
    return world.now() < view.leaseExpiresAt()
  }
  // Fencing check right before the call: the record must still be the version read, and this node's lease must be
  // valid.
  const currentRecord = await view.proposer.read(groupKey(group))
  if (
    !currentRecord.done ||
    currentRecord.value?.turn !== version ||
    (currentRecord.value.body as GroupRecord).holder !== view.node
  )
    return false
  if (!mayCall()) return false
  demoteOldLeader(context, record)
  const { end, why } = await promote(world, view.platform(), {
    group,
    instance: candidate.name,
    addr: candidate.addr,
    epoch: record.epoch,
    holder: view.node,
    fence: record.fence,
    may: mayCall,
  })
  memory.lastPromotionCall = { at: world.now(), delayMs: promotionRetryDelay(end, memory) }
  view.metrics.add('claynotch_duty_promotions_total', [['end', end]])
  world.log.info('promotion-called', { group, candidate: candidate.name, epoch: record.epoch, end, why })
  return true
}

/** Records the promoted candidate as the leader, which ends the failover. */
async function recordPromoted(
  { view, instances, write }: GroupContext,
  version: number,
  record: GroupRecord,
  leader: ProbeTarget,
  term: number | undefined,
): Promise<boolean> {
  const { note } = record
  const isWritten = await write(version, {
    epoch: Math.max(record.epoch, term ?? 0),
    phase: 'steady',
    holder: view.node,
    fence: record.fence,
    leader: leader.name,
    addr: leader.addr,
    ...(term === undefined ? {} : { term }),
    ...(note ? { note } : {}),
    ...departedFieldOf(record),
    ...(instances.isSynchronous() ? { replicas: replicasOf(record, instances.list(), leader.name) } : {}),
  })
  return isWritten === true
}

/** The promote phase: promotion calls are repeated until the candidate leads, or it is given up for another one. */
export async function promoteCandidate(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<boolean> {
  const { world, group, instances } = context
  const name = record.candidate as string
  const candidate = { name, addr: instances.addressOf(name, record.candidateAddr as string) }
  let confirmation = await confirmLeadership(context, candidate, record, memory)
  const isCallDue =
    !memory.lastPromotionCall || world.now() - memory.lastPromotionCall.at >= memory.lastPromotionCall.delayMs
  if (confirmation?.isLeading === false && isCallDue) {
    if (!(await callPromotion(context, version, record, memory, candidate))) return false
    // An instance that numbers its terms itself leads only some time after the call, so a later step probes it.
    if (confirmation.term === undefined) confirmation = await confirmLeadership(context, candidate, record, memory)
  }
  if (confirmation?.isLeading) return await recordPromoted(context, version, record, candidate, confirmation.term)
  const silenceMs = world.now() - Math.max(memory.candidateRespondedAt, memory.since)
  const isPromotionOverdue = confirmation !== undefined && world.now() - memory.since > 2 * CANDIDATE_TIMEOUT_MS
  if (silenceMs <= CANDIDATE_TIMEOUT_MS && !isPromotionOverdue) return false
  world.log.warn('candidate-given-up', { group, candidate: name, epoch: record.epoch })
  return await enterStopPhase(context, version, record, false)
}
