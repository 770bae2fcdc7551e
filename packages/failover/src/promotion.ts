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
import type { PromotionEnd } from '@claynotch/host'
import { departedOf, groupKey, type GroupRecord } from '@claynotch/register'
import { haveStopped, leaderEpochOf } from './failover-view.js'
import type { GroupContext } from './group-context.js'
import type { Probed, Target } from './group-instances.js'
import type { GroupMemory } from './group-memory.js'
import { replicasOf, replicasWithOld, unheardOf } from './replicas.js'

// From the end of one leader to the next: the phases stop and promote.

/** The leader that this record replaces, or would. */
function oldLeaderOf(record: GroupRecord): string | undefined {
  return record.old ?? record.leader
}

/**
 * Those that may be promoted. With synchronous commits all that may hold an acknowledged commit are asked, one that leaves too:
 * it receives commits until it ends, and may be the only replica that holds the last ones.
 */
function electable({ instances }: GroupContext, record: GroupRecord): Target[] {
  return instances.isSynchronous() ? replicasOf(record, instances.list(), undefined) : instances.staying()
}

/** The furthest of those that may be promoted; the old leader, unless it is left as planned, only where nobody else answers. */
async function chooseCandidate(
  context: GroupContext,
  record: GroupRecord,
  planned: boolean,
): Promise<Probed | undefined> {
  const { instances } = context
  const old = oldLeaderOf(record)
  const others: Target[] = []
  const olds: Target[] = []
  for (const instance of electable(context, record)) (instance.name === old && !planned ? olds : others).push(instance)
  // Which one is furthest is looked at once more when all have stopped; the one that doesn't answer isn't waited for now.
  return (
    instances.furthest(await instances.probe(others), old) ??
    instances.furthest(await instances.probe(olds, { suspect: old }), old)
  )
}

/** Records a new epoch with its candidate; from then on no proxy sends a write under the old one. */
export async function stopForCandidate(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  planned: boolean,
  to?: Probed,
): Promise<boolean> {
  const { view, write } = context
  const old = oldLeaderOf(record)
  const candidate = to ?? (await chooseCandidate(context, record, planned))
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
    ...(old !== undefined ? { old } : {}),
    ...(context.instances.isSynchronous() ? { replicas: replicasWithOld(record, context.instances.list()) } : {}),
    ...departedOf(record),
  }
  return (await write(version, next)) === true
}

/** Says that the furthest instance lacks commits that were seen acknowledged; the note for the record. */
function noteMissing(
  { world, view, group }: GroupContext,
  candidate: string | undefined,
  seen: LogPosition,
  best: Probed,
) {
  const { mark } = best.status
  view.metrics.add('claynotch_duty_promoted_behind_total', [['group', group]])
  world.log.error('promotion-behind', {
    group,
    candidate,
    seen: `${seen.epoch}/${seen.position}`,
    has: `${mark.epoch}/${mark.position}`,
  })
  return `promoted behind: commits up to ${seen.epoch}/${seen.position} were seen, the furthest instance has ${mark.epoch}/${mark.position}`
}

/** Whether a leader that is replaced as planned still holds commits that its replicas lack, and may yet send them. */
function isAwaitingReplicas(
  { world, instances }: GroupContext,
  record: GroupRecord,
  best: Probed,
  memory: GroupMemory,
): boolean {
  if (!instances.isSynchronous() || record.planned !== true || best.name !== record.old) return false
  return world.now() - memory.since < MISSING_COMMITS_WAIT_MS
}

/** Tells, at an interval, which replicas keep the promotion waiting, and up to which commit clients were told to be done. */
async function logWait({ world, view, group, instances }: GroupContext, unheard: Target[], memory: GroupMemory) {
  const now = world.now()
  if (now - (memory.waitLoggedAt ?? -Infinity) < PROMOTION_WAIT_LOG_INTERVAL_MS) return
  memory.waitLoggedAt = now
  const seen = await instances.highestCommit()
  view.metrics.add('claynotch_duty_promotion_waits_total', [['group', group]])
  const names: string[] = []
  for (const { name } of unheard) names.push(name)
  world.log.warn('promotion-waits', {
    group,
    replicas: names.join(' '),
    seen: seen && `${seen.epoch}/${seen.position}`,
  })
}

/** Whether one that didn't answer may hold an acknowledged commit that nobody who answered holds. */
async function isCommitUnheard(
  context: GroupContext,
  record: GroupRecord,
  probed: Probed[],
  memory: GroupMemory,
): Promise<boolean> {
  const { instances } = context
  if (!instances.isSynchronous()) return false
  const unheard = unheardOf(record, instances.list(), probed)
  if (unheard.length === 0) return false
  await logWait(context, unheard, memory)
  return true
}

/**
 * A commit that was seen acknowledged and that the furthest instance seems to lack. With synchronous commits there is none, as
 * all that may hold one were asked: proxies then see only the end of the leader's log, which is ahead of what is acknowledged.
 */
async function commitMissingAt({ instances }: GroupContext, best: Probed): Promise<LogPosition | undefined> {
  if (instances.isSynchronous()) return undefined
  const highest = await instances.highestCommit()
  return highest && comparePositions(best.status.mark, highest) < 0 ? highest : undefined
}

/** The stop phase: once no proxy can write any more, the furthest instance is made the candidate for good. */
export async function awaitStop(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<boolean> {
  const { world, view, group, instances, write } = context
  if (!(await haveStopped(world, view, groupKey(group), version, memory.since))) return false
  const suspect = record.planned ? undefined : record.old
  const probed = await instances.probe(electable(context, record), { suspect })
  const best = instances.furthest(probed, instances.isSynchronous() ? record.old : suspect)
  if (!best) return false
  memory.intervalMs = FAILOVER_INTERVAL_MS / 2
  if (await isCommitUnheard(context, record, probed, memory)) return false
  if (isAwaitingReplicas(context, record, best, memory)) return false
  const missing = await commitMissingAt(context, best)
  if (missing && world.now() - memory.since < instances.missingCommitsWait()) return false
  const mine = probed.find(isCandidate)
  function isCandidate(one: Probed): boolean {
    return one.name === record.candidate
  }
  // Nobody writes now, so who is ahead now stays so; a candidate that isn't gives way.
  const givesWay = !mine || comparePositions(best.status.mark, mine.status.mark) > 0
  const next: GroupRecord = {
    ...record,
    phase: 'promote',
    ...(givesWay ? { candidate: best.name, candidateAddr: best.addr } : {}),
  }
  if (missing) next.note = noteMissing(context, next.candidate, missing, best)
  return (await write(version, next)) === true
}

/** Whether the candidate leads, and in which number where instances count by themselves; undefined: no answer. */
type Confirmation = { leads: boolean; term: number | undefined } | undefined

async function confirm(
  { world, instances }: GroupContext,
  candidate: Target,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<Confirmation> {
  function onBusy(): void {
    memory.candidateOkAt = world.now()
  }
  const [probed] = await instances.probe([candidate], { onBusy })
  if (!probed) return undefined
  memory.candidateOkAt = world.now()
  const { status } = probed
  // Where instances count by themselves, the one that leads now does so in a number that we learn only here.
  const fits = status.epoch === undefined ? status.mark.epoch === record.epoch : status.epoch >= (record.term ?? 0)
  return { leads: status.role === 'leader' && fits, term: status.epoch }
}

/** ms until the same candidate may be called again. */
function callDelay(end: PromotionEnd['end'], memory: GroupMemory): number {
  if (end === 'done') return PROMOTION_DONE_DELAY_MS
  if (end === 'unclear') return PROMOTION_UNCLEAR_DELAY_MS
  const last = Math.max(PROMOTION_REFUSED_DELAY_MS / 2, memory.called?.pauseMs ?? 0)
  return Math.min(PROMOTION_DONE_DELAY_MS, 2 * last)
}

/** The old leader, if it lives, is told to follow; nobody waits for its answer. */
function demoteOld({ instances }: GroupContext, record: GroupRecord): void {
  const old = record.old === undefined || record.old === record.candidate ? undefined : instances.get(record.old)
  if (old) void instances.demote(old, (record.term ?? record.epoch - 1) + 1)
}

/** Calls the platform; false: the record or our lease is not what the call needs. */
async function callPromotion(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
  candidate: Target,
): Promise<boolean> {
  const { world, view, group, promote } = context
  function mayCall(): boolean {
    return world.now() < view.leaseExpiresAt()
  }
  // The fence, right before the call: the record is still the one read, and our lease still runs.
  const now = await view.proposer.read(groupKey(group))
  if (!now.done || now.value?.turn !== version || (now.value.body as GroupRecord).holder !== view.node) return false
  if (!mayCall()) return false
  demoteOld(context, record)
  const { end, why } = await promote(world, view.platform(), {
    group,
    instance: candidate.name,
    addr: candidate.addr,
    epoch: record.epoch,
    holder: view.node,
    fence: record.fence,
    may: mayCall,
  })
  memory.called = { at: world.now(), pauseMs: callDelay(end, memory) }
  view.metrics.add('claynotch_duty_promotions_total', [['end', end]])
  world.log.info('promotion-called', { group, candidate: candidate.name, epoch: record.epoch, end, why })
  return true
}

async function recordPromoted(
  { view, instances, write }: GroupContext,
  version: number,
  record: GroupRecord,
  leader: Target,
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
    ...departedOf(record),
    ...(instances.isSynchronous() ? { replicas: replicasOf(record, instances.list(), leader.name) } : {}),
  })
  return isWritten === true
}

/** The promote phase: the candidate is called until it leads, or is given up for another. */
export async function promoteCandidate(
  context: GroupContext,
  version: number,
  record: GroupRecord,
  memory: GroupMemory,
): Promise<boolean> {
  const { world, group, instances } = context
  const name = record.candidate as string
  const candidate = { name, addr: instances.addressOf(name, record.candidateAddr as string) }
  let confirmation = await confirm(context, candidate, record, memory)
  const isCallDue = !memory.called || world.now() - memory.called.at >= memory.called.pauseMs
  if (confirmation?.leads === false && isCallDue) {
    if (!(await callPromotion(context, version, record, memory, candidate))) return false
    // One that counts by itself leads only some time after the call; it is looked at then.
    if (confirmation.term === undefined) confirmation = await confirm(context, candidate, record, memory)
  }
  if (confirmation?.leads) return await recordPromoted(context, version, record, candidate, confirmation.term)
  const quietMs = world.now() - Math.max(memory.candidateOkAt, memory.since)
  const isLate = confirmation !== undefined && world.now() - memory.since > 2 * CANDIDATE_TIMEOUT_MS
  if (quietMs <= CANDIDATE_TIMEOUT_MS && !isLate) return false
  world.log.warn('candidate-given-up', { group, candidate: name, epoch: record.epoch })
  return await stopForCandidate(context, version, record, false)
}
