import {
  ANNOUNCEMENT_LIFETIME_MS,
  CONFIRMED_SUSPICION_TIMEOUT_MS,
  LEADER_PROBE_INTERVAL_MS,
  LEASE_DURATION_MS,
  PROMOTION_INTERVAL_MS,
  TAKEOVER_SUSPICION_WINDOW_MS,
} from '@claynotch/base'
import type { GroupRecord, InstanceStatus } from '@claynotch/register'
import { weighEvidence, type Evidence } from './evidence.js'
import { leaderEpochOf, isRecordedLeader, recordedEpochOf } from './failover-view.js'
import type { GroupContext } from './group-context.js'
import type { ProbedInstance, ProbeTarget } from './group-instances.js'
import type { GroupMemory } from './group-memory.js'
import { startPlannedReplacement } from './planned-replacement.js'
import { enterStopPhase } from './promotion.js'
import { trackReplicas } from './replica-tracking.js'

/**
 * The steady phase: the leader's health is judged by announcements and the nodes' observations. The leader is probed
 * only if they don't show it as healthy.
 */

/**
 * Whether the instance has announced this status since the record was written. A status's age counts from its last
 * change, so an unchanged status counts as announced again once the record is older than an announcement's lifetime.
 */
function isReportedSinceRecord({ world }: GroupContext, status: InstanceStatus, memory: GroupMemory): boolean {
  const recordAge = world.now() - memory.since
  return status.age < recordAge || recordAge > ANNOUNCEMENT_LIFETIME_MS + LEASE_DURATION_MS
}

/**
 * Demotes other instances that report to be the leader. One that leads in a later epoch than the record's was promoted
 * by a later promotion call than the recorded one: it becomes the leader through the record like any other candidate.
 * Returns whether the record changed.
 */
async function demoteRivalLeaders(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<boolean> {
  const { view, instances } = context
  if (!view.instance.demote) return false
  for (const rival of instances.list()) {
    if (rival.role !== 'leader' || rival.name === record.leader || !isReportedSinceRecord(context, rival, memory))
      continue
    const status = await instances.demote(rival, recordedEpochOf(record))
    if (status?.role !== 'leader' || leaderEpochOf(status) <= recordedEpochOf(record)) continue
    return await enterStopPhase(context, version, record, false, { name: rival.name, addr: rival.addr, status })
  }
  return false
}

/** Whether observations show no problem with the leader. Isolated failures among good answers don't count as one. */
function isLeaderHealthy(evidence: Evidence, status: InstanceStatus | undefined, reportsFollowing: boolean): boolean {
  if (reportsFollowing) return false
  return evidence.bad === 0 ? evidence.good > 0 || status !== undefined : evidence.hears >= evidence.bad
}

/**
 * Whether to probe the leader now. After a healthy answer, an early probe needs failures that began after that answer.
 */
function isProbeDue(now: number, memory: GroupMemory, evidence: Evidence): boolean {
  const { lastProbe } = memory
  if (lastProbe?.isHealthy !== true || now - lastProbe.at >= LEADER_PROBE_INTERVAL_MS) return true
  return evidence.bad > 1 && evidence.hears === 0 && now - evidence.since > lastProbe.at
}

type LeaderProbeResult = {
  /** It answers, and doesn't lead as the record says. */
  isLeadershipDenied: boolean
  /** Set if it leads by a later promotion than the recorded one. */
  laterLeader: ProbedInstance | undefined
}

async function probeLeader(
  { world, instances }: GroupContext,
  leader: ProbeTarget,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<LeaderProbeResult> {
  let isBusy = false
  function onBusy(): void {
    isBusy = true
  }
  const suspect = memory.isSuspected ? leader.name : undefined
  const [probed] = await instances.probe([leader], { suspect, onBusy })
  const isHealthy = probed ? isRecordedLeader(record, probed.status) : isBusy
  memory.lastProbe = { at: world.now(), isHealthy }
  if (isHealthy) memory.leaderHealthyAt = world.now()
  if (isHealthy || !probed) return { isLeadershipDenied: false, laterLeader: undefined }
  const leadsInLaterEpoch = probed.status.role === 'leader' && leaderEpochOf(probed.status) > recordedEpochOf(record)
  return leadsInLaterEpoch
    ? { isLeadershipDenied: false, laterLeader: probed }
    : { isLeadershipDenied: true, laterLeader: undefined }
}

/**
 * Whether the leader seems to have failed together with the previous holder of the duty: soon after that node's lease
 * expired, no announcement of the leader has arrived for ANNOUNCEMENT_LIFETIME_MS, no node reports an answer from it,
 * and this node's own probe went unanswered. It has then been silent for longer than the time since the takeover shows.
 */
function failedWithHolder(now: number, memory: GroupMemory, status: InstanceStatus | undefined, good: number): boolean {
  const { takeoverAt } = memory
  return takeoverAt !== undefined && now - takeoverAt < TAKEOVER_SUSPICION_WINDOW_MS && status === undefined && good === 0
}

/**
 * Whether at least two nodes (or the only one that reports) see failures, more than see answers, and no answer is newer
 * than the failures. Fewer failures may come from nodes that have not yet reported that they still hear the leader.
 */
function isEvidenceStrong(evidence: Evidence): boolean {
  const { bad, good, hears } = evidence
  return bad >= Math.min(2, bad + good) && hears === 0 && bad > good
}

/** What speaks for and against the leader's failure. */
type Suspicion = { evidence: Evidence; isLeadershipDenied: boolean; status: InstanceStatus | undefined }

/** Counts and logs a new suspicion of the leader. */
function reportSuspicion(context: GroupContext, leader: string, silenceMs: number, suspicion: Suspicion): void {
  const { view, world, group } = context
  const { bad, good, hears } = suspicion.evidence
  view.metrics.add('claynotch_duty_suspicions_total', [['group', group]])
  world.log.warn('leader-suspected', {
    group,
    leader,
    quiet: Math.round(silenceMs),
    bad,
    good,
    hears,
    refused: suspicion.isLeadershipDenied,
  })
}

/** Whether the leader has been silent for long enough, and no observation speaks against replacing it. */
function isSuspicionConfirmed(
  context: GroupContext,
  leader: string,
  memory: GroupMemory,
  suspicion: Suspicion,
): boolean {
  const { world, view, scheduleCheck } = context
  const { evidence, isLeadershipDenied, status } = suspicion
  const isStrong = isLeadershipDenied || isEvidenceStrong(evidence)
  // leaderHealthyAt is only as precise as this node's checks; the reports of several failing nodes are more precise.
  const silenceMs = isStrong && !isLeadershipDenied ? evidence.since : world.now() - memory.leaderHealthyAt
  const isCorroborated = isStrong || failedWithHolder(world.now(), memory, status, evidence.good)
  const requiredSilenceMs = isCorroborated
    ? Math.min(CONFIRMED_SUSPICION_TIMEOUT_MS, view.suspicionTimeoutMs)
    : view.suspicionTimeoutMs
  if (silenceMs < requiredSilenceMs) {
    if (isStrong) scheduleCheck(Math.min(requiredSilenceMs - silenceMs, PROMOTION_INTERVAL_MS * 2))
    return false
  }
  if (!memory.isSuspected) reportSuspicion(context, leader, silenceMs, suspicion)
  memory.isSuspected = true
  // If other nodes still hear the leader, the failure may be that of a network link, which doesn't justify a failover.
  if (!isLeadershipDenied && evidence.hears > 0 && evidence.hears >= evidence.bad) return false
  return isStrong || evidence.good <= evidence.bad
}

/**
 * The steady phase: checks the leader, and starts a planned replacement or a failover where needed. Returns whether the
 * record changed.
 */
export async function watchLeader(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<boolean> {
  const { world, view, group, instances } = context
  if (await trackReplicas(context, version, record, memory)) return true
  if (await demoteRivalLeaders(context, version, record, memory)) return true
  const name = record.leader as string
  const leader = { name, addr: instances.addressOf(name, record.addr as string) }
  const now = world.now()
  const status = instances.get(name)
  const reportsFollowing =
    status !== undefined && status.role !== 'leader' && isReportedSinceRecord(context, status, memory)
  let evidence = weighEvidence(view.observations(), name)
  let isLeadershipDenied = false
  const isHealthy = isLeaderHealthy(evidence, status, reportsFollowing)
  if (isHealthy) memory.leaderHealthyAt = now
  else if (isProbeDue(now, memory, evidence)) {
    const probeResult = await probeLeader(context, leader, record, memory)
    if (probeResult.laterLeader) return await enterStopPhase(context, version, record, false, probeResult.laterLeader)
    isLeadershipDenied = probeResult.isLeadershipDenied
    evidence = weighEvidence(view.observations(), name)
  }
  if (isHealthy || memory.lastProbe?.isHealthy === true) {
    if (memory.isSuspected) world.log.info('leader-back', { group, leader: name })
    memory.isSuspected = false
    return await startPlannedReplacement(context, version, record, memory)
  }
  if (!isSuspicionConfirmed(context, name, memory, { evidence, isLeadershipDenied, status })) return false
  return await enterStopPhase(context, version, record, false)
}
