import {
  ANNOUNCEMENT_LIFETIME_MS,
  CONFIRMED_SUSPICION_TIMEOUT_MS,
  LEADER_PROBE_INTERVAL_MS,
  LEASE_DURATION_MS,
  PROMOTION_INTERVAL_MS,
  TAKEOVER_DOUBT_MS,
} from '@claynotch/base'
import type { GroupRecord, InstanceStatus } from '@claynotch/register'
import { weighEvidence, type Evidence } from './evidence.js'
import { leaderEpochOf, leadsAs, recordedEpochOf } from './failover-view.js'
import type { GroupContext } from './group-context.js'
import type { Probed, Target } from './group-instances.js'
import type { GroupMemory } from './group-memory.js'
import { replaceAsPlanned } from './planned-replacement.js'
import { stopForCandidate } from './promotion.js'
import { trackReplicas } from './replica-tracking.js'

// The steady phase: the leader is watched by what nodes tell, and asked itself where they say that it is in trouble.

/**
 * Whether the instance has said this since the record stands. A status's age is that of what it last said anew; one that
 * stands for longer than an announcement's lifetime was said again.
 */
function isSaidSince({ world }: GroupContext, status: InstanceStatus, memory: GroupMemory): boolean {
  const recordAge = world.now() - memory.since
  return status.age < recordAge || recordAge > ANNOUNCEMENT_LIFETIME_MS + LEASE_DURATION_MS
}

/**
 * Others that say that they lead: told to follow, or, where one leads by a later promotion of ours than was recorded, made the
 * leader through the record like any other. true: the record moved on.
 */
async function handleRivals(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<boolean> {
  const { view, instances } = context
  if (!view.instance.demote) return false
  for (const rival of instances.list()) {
    if (rival.role !== 'leader' || rival.name === record.leader || !isSaidSince(context, rival, memory)) continue
    const status = await instances.demote(rival, recordedEpochOf(record))
    if (status?.role !== 'leader' || leaderEpochOf(status) <= recordedEpochOf(record)) continue
    return await stopForCandidate(context, version, record, false, { name: rival.name, addr: rival.addr, status })
  }
  return false
}

/** Single failures among good answers are no trouble of the leader's. */
function isCalm(evidence: Evidence, status: InstanceStatus | undefined, followsNow: boolean): boolean {
  if (followsNow) return false
  return evidence.bad === 0 ? evidence.good > 0 || status !== undefined : evidence.hears >= evidence.bad
}

/** One that answered well is asked again at once only for trouble that began after it did. */
function isProbeDue(now: number, memory: GroupMemory, evidence: Evidence): boolean {
  const { probed } = memory
  if (probed?.isWell !== true || now - probed.at >= LEADER_PROBE_INTERVAL_MS) return true
  return evidence.bad > 1 && evidence.hears === 0 && now - evidence.since > probed.at
}

/** refused: it answers, and doesn't lead as the record says. later: it leads by a later promotion than the record's. */
type ProbeEnd = { refused: boolean; later: Probed | undefined }

async function probeLeader(
  { world, instances }: GroupContext,
  leader: Target,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<ProbeEnd> {
  let isBusy = false
  function onBusy(): void {
    isBusy = true
  }
  const suspect = memory.isSuspected ? leader.name : undefined
  const [probed] = await instances.probe([leader], { suspect, onBusy })
  const isWell = probed ? leadsAs(record, probed.status) : isBusy
  memory.probed = { at: world.now(), isWell }
  if (isWell) memory.leaderOkAt = world.now()
  if (isWell || !probed) return { refused: false, later: undefined }
  const leadsLater = probed.status.role === 'leader' && leaderEpochOf(probed.status) > recordedEpochOf(record)
  return leadsLater ? { refused: false, later: probed } : { refused: true, later: undefined }
}

/**
 * Whether the leader seems to have gone together with the holder before us: soon after that one's lease ran out nobody has
 * heard the leader for ANNOUNCEMENT_LIFETIME_MS, no node reports an answer of it, and our own question had none. It was silent
 * for longer than our own clock since the takeover can tell.
 */
function wentWithHolder(now: number, memory: GroupMemory, status: InstanceStatus | undefined, good: number): boolean {
  const { tookOverAt } = memory
  return tookOverAt !== undefined && now - tookOverAt < TAKEOVER_DOUBT_MS && status === undefined && good === 0
}

/** Several nodes fail, more than may only not have told yet that they still hear it, and none has heard it since. */
function isStrong(evidence: Evidence): boolean {
  const { bad, good, hears } = evidence
  return bad >= Math.min(2, bad + good) && hears === 0 && bad > good
}

type Doubt = { evidence: Evidence; refused: boolean; status: InstanceStatus | undefined }

function noteSuspicion(context: GroupContext, leader: string, quietMs: number, doubt: Doubt): void {
  const { view, world, group } = context
  const { bad, good, hears } = doubt.evidence
  view.metrics.add('claynotch_duty_suspicions_total', [['group', group]])
  world.log.warn('leader-suspected', {
    group,
    leader,
    quiet: Math.round(quietMs),
    bad,
    good,
    hears,
    refused: doubt.refused,
  })
}

/** Whether the leader has been in doubt for long enough, and nothing that nodes tell speaks against replacing it. */
function isConfirmed(context: GroupContext, leader: string, memory: GroupMemory, doubt: Doubt): boolean {
  const { world, view, lookAgainIn } = context
  const { evidence, refused, status } = doubt
  const strong = refused || isStrong(evidence)
  // leaderOkAt is as of our own looks; where several nodes fail, they know better since when.
  const quietMs = strong && !refused ? evidence.since : world.now() - memory.leaderOkAt
  const isSure = strong || wentWithHolder(world.now(), memory, status, evidence.good)
  const neededMs = isSure ? Math.min(CONFIRMED_SUSPICION_TIMEOUT_MS, view.suspicionTimeoutMs) : view.suspicionTimeoutMs
  if (quietMs < neededMs) {
    if (strong) lookAgainIn(Math.min(neededMs - quietMs, PROMOTION_INTERVAL_MS * 2))
    return false
  }
  if (!memory.isSuspected) noteSuspicion(context, leader, quietMs, doubt)
  memory.isSuspected = true
  // Nodes of ours that still hear the leader speak against acting on our own link's trouble.
  if (!refused && evidence.hears > 0 && evidence.hears >= evidence.bad) return false
  return strong || evidence.good <= evidence.bad
}

export async function watchLeader(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<boolean> {
  const { world, view, group, instances } = context
  if (await trackReplicas(context, version, record, memory)) return true
  if (await handleRivals(context, version, record, memory)) return true
  const name = record.leader as string
  const leader = { name, addr: instances.addressOf(name, record.addr as string) }
  const now = world.now()
  const status = instances.get(name)
  const followsNow = status !== undefined && status.role !== 'leader' && isSaidSince(context, status, memory)
  let evidence = weighEvidence(view.observations(), name)
  let refused = false
  const calm = isCalm(evidence, status, followsNow)
  if (calm) memory.leaderOkAt = now
  else if (isProbeDue(now, memory, evidence)) {
    const end = await probeLeader(context, leader, record, memory)
    if (end.later) return await stopForCandidate(context, version, record, false, end.later)
    refused = end.refused
    evidence = weighEvidence(view.observations(), name)
  }
  if (calm || memory.probed?.isWell === true) {
    if (memory.isSuspected) world.log.info('leader-back', { group, leader: name })
    memory.isSuspected = false
    return await replaceAsPlanned(context, version, record, memory)
  }
  if (!isConfirmed(context, name, memory, { evidence, refused, status })) return false
  return await stopForCandidate(context, version, record, false)
}
