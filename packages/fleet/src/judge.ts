import type { Event } from './requester.js'
import type { InstanceRecord } from './instance.js'

/**
 * Checks the results that clients saw against what the instances recorded. All times come from one clock: that of the
 * simulation, or the monotonic clock of the one machine that a local fleet runs on.
 */

/** A violated rule, with a description of the case. */
export type Breach = { rule: string; what: string }
/**
 * A lane's rule from a time on, set by an accepted change; `group` undefined: the lane was dropped. `fenced`: a move
 * switched the lane to the group, so no write may succeed in the other group once one has succeeded in this one.
 */
export type LaneRule = {
  lane: string
  from: number
  group: string | undefined
  within: number
  own: boolean
  fenced?: boolean
}
/**
 * Work by a rule that was replaced longer ago than this is a breach: the 3 s promised to users, and half a second for
 * the client's round trip to its node.
 */
const REPLACED_RULE_GRACE_MS = 3500
/** The result of the check: breaches, lost writes and the number of cases checked. */
export type Judgement = {
  breaches: Breach[]
  /**
   * Acknowledged commits that were lost because the old leader had not replicated them before it was replaced. This
   * loss is inherent in asynchronous replication: it is reported, and is no breach.
   */
  lost: string[]
  checked: { writes: number; reads: number; done: number; promised: number }
}

/**
 * Checks all events. `apart`: each group holds its own data, so that a read in one group need not see writes of
 * another.
 */
export function judge(events: Event[], records: InstanceRecord[], laws: LaneRule[] = [], apart = false): Judgement {
  const breaches: Breach[] = []
  const lost = new Set<string>()
  const rulesByLane = new Map<string, LaneRule[]>()
  for (const rule of laws) rulesByLane.set(rule.lane, [...(rulesByLane.get(rule.lane) ?? []), rule])
  /** The rules that work between two times may follow: those in force then, and those replaced just before. */
  function rulesInForce(lane: string, from: number, to: number): LaneRule[] {
    const rules = rulesByLane.get(lane) ?? []
    const inForce: LaneRule[] = []
    for (const [index, rule] of rules.entries()) {
      const next = rules[index + 1]
      if (rule.from <= to && (!next || next.from + REPLACED_RULE_GRACE_MS >= from)) inForce.push(rule)
    }
    return inForce
  }
  function isGroupAllowed(lane: string, group: string, from: number, to: number): boolean {
    const rules = rulesInForce(lane, from, to)
    if (rules.length === 0) return true
    for (const rule of rules) if (rule.group === group) return true
    return false
  }
  function addBreach(rule: string, what: string): void {
    breaches.push({ rule, what })
  }
  /** Every execution of each tag, over all instances. */
  const runsByTag = new Map<string, { epoch: number; at: number; name: string; group: string }[]>()
  /** How often each tag is in the surviving log of its group. */
  const survivingCounts = new Map<string, number>()
  /** For each group the record with the highest epoch and, within it, the longest log. */
  const survivingRecords = new Map<string, InstanceRecord>()
  const promotionsByGroup = new Map<string, { epoch: number; at: number; base: number }[]>()
  for (const record of records) {
    for (const executed of record.ran) {
      const runs = runsByTag.get(executed.tag) ?? []
      // The record of an instance that was killed may be present twice, from before and after the kill.
      if (runs.some(isSame)) continue
      runs.push({ epoch: executed.epoch, at: executed.at, name: record.name, group: record.group })
      runsByTag.set(executed.tag, runs)
      function isSame(run: { at: number; name: string; epoch: number }): boolean {
        return run.at === executed.at && run.name === record.name && run.epoch === executed.epoch
      }
    }
    promotionsByGroup.set(record.group, [...(promotionsByGroup.get(record.group) ?? []), ...record.took])
    const best = survivingRecords.get(record.group)
    if (
      !best ||
      lastEpoch(record) > lastEpoch(best) ||
      (lastEpoch(record) === lastEpoch(best) && record.log.length > best.log.length)
    )
      survivingRecords.set(record.group, record)
    if (record.lateWork > 0)
      addBreach('leaving', `${record.name} got ${record.lateWork} new pieces of work over 7 s after its notice`)
    if (record.most > record.limit)
      addBreach('connections', `${record.name} had ${record.most} connections of ${record.limit}`)
    if (record.wrongSettings > 0)
      addBreach('settings', `${record.name} saw ${record.wrongSettings} statements under settings of another session`)
  }
  function lastEpoch(record: InstanceRecord): number {
    let epoch = record.log.length > 0 ? record.log[record.log.length - 1].epoch : 0
    for (const promotion of record.took) epoch = Math.max(epoch, promotion.epoch)
    return epoch
  }
  /** The groups whose surviving log has each tag: a leader may lose a write that another group has copied already. */
  const groupsByTag = new Map<string, Set<string>>()
  for (const record of survivingRecords.values()) {
    const tagCounts = new Map<string, number>()
    for (const entry of record.log) for (const [, tag] of entry.ops) tagCounts.set(tag, (tagCounts.get(tag) ?? 0) + 1)
    for (const [tag, count] of tagCounts) {
      if (count > 1) addBreach('twice', `${tag} took effect ${count} times in ${record.group}`)
      survivingCounts.set(tag, count)
      const groups = groupsByTag.get(tag) ?? new Set<string>()
      groupsByTag.set(tag, groups.add(record.group))
    }
  }
  for (const [tag, runs] of runsByTag)
    if (runs.length > 1) addBreach('resent', `${tag} ran ${runs.length} times: ${runs.map(showRun).join(', ')}`)

  const checked = { writes: 0, reads: 0, done: 0, promised: 0 }
  const doneWritesByKey = new Map<string, Event[]>()
  for (const event of events) {
    if (event.wrong)
      addBreach('foreign', `${event.kind} of session ${event.session} was given rows or settings that are not its own`)
    if (event.tag === undefined) continue
    checked.writes++
    const runs = runsByTag.get(event.tag) ?? []
    if (event.outcome === 'done') {
      checked.done++
      const doneWrites = doneWritesByKey.get(event.key) ?? []
      doneWrites.push(event)
      doneWritesByKey.set(event.key, doneWrites)
      if (runs.length === 0 && !survivingCounts.has(event.tag)) {
        addBreach('never given', `${event.tag} was told done and no instance ran it`)
        continue
      }
      for (const run of runs) {
        if (!isGroupAllowed(event.lane, run.group, run.at, run.at))
          addBreach(
            'unheeded',
            `${event.tag} of lane ${event.lane} ran in ${run.group} at ${Math.round(run.at)}, by a rule replaced long before`,
          )
        for (const promotion of promotionsByGroup.get(run.group) ?? []) {
          if (promotion.epoch > run.epoch && run.at > promotion.at)
            addBreach(
              'old leader',
              `${event.tag} ran on ${run.name} in epoch ${run.epoch} at ${Math.round(run.at)}, after epoch ${promotion.epoch} began at ${Math.round(promotion.at)}, and was told done`,
            )
        }
      }
      if (runs.length > 0 && !groupsByTag.get(event.tag)?.has(runs[0].group)) lost.add(event.tag)
    } else if (event.kept === 'nothing') {
      checked.promised++
      if (runs.length > 0 || survivingCounts.has(event.tag))
        addBreach('promise', `${event.tag} was told that nothing was kept, and it ran`)
    } else if (
      (event.outcome === 'failed' || event.outcome === 'refused') &&
      !event.sentCommit &&
      survivingCounts.has(event.tag)
    )
      addBreach('promise', `${event.tag} took effect though its commit was never sent`)
  }
  for (const [lane, rules] of rulesByLane) {
    for (const [index, rule] of rules.entries()) {
      if (rule.fenced !== true) continue
      // From the first acknowledged write in the new group until the next rule, the other group may accept none.
      const replacedAt = rules[index + 1]?.from ?? Infinity
      let firstWriteAt = Infinity
      for (const event of events)
        if (event.lane === lane && event.tag !== undefined && event.outcome === 'done')
          for (const run of runsByTag.get(event.tag) ?? [])
            if (run.group === rule.group && run.at >= rule.from - 1000) firstWriteAt = Math.min(firstWriteAt, run.at)
      for (const event of events)
        if (event.lane === lane && event.tag !== undefined && event.outcome === 'done')
          for (const run of runsByTag.get(event.tag) ?? [])
            if (run.group !== rule.group && run.at > firstWriteAt && run.at < replacedAt)
              addBreach(
                'both sides',
                `${event.tag} of lane ${lane} ran in ${run.group} at ${Math.round(run.at)} and was told done, after ${rule.group} had taken a write at ${Math.round(firstWriteAt)}`,
              )
    }
  }
  for (const event of events) {
    if (event.list === undefined || event.outcome !== 'done') continue
    checked.reads++
    const readTags = new Set(event.list)
    if (!isGroupAllowed(event.lane, event.served, event.start, event.end))
      addBreach(
        'unheeded',
        `${event.kind} of lane ${event.lane} at ${Math.round(event.start)} was served by ${event.served}, by a rule replaced long before`,
      )
    const rules = rulesInForce(event.lane, event.start, event.end)
    let within = rules.length > 0 ? 0 : event.within
    let own = rules.length > 0 || event.own
    for (const rule of rules) {
      within = Math.max(within, rule.within)
      if (!rule.own) own = false
    }
    for (const write of doneWritesByKey.get(event.key) ?? []) {
      if (apart && (runsByTag.get(write.tag as string) ?? [])[0]?.group !== event.served) continue
      // A session's own writes are those of the same lane.
      const isOwnWrite =
        own && write.session === event.session && write.end <= event.start && event.kind.startsWith(write.kind)
      if (!isOwnWrite && !(write.end < event.start - within)) continue
      if (!readTags.has(write.tag as string) && !lost.has(write.tag as string)) {
        addBreach(
          'stale',
          `${event.kind} of session ${event.session} at ${Math.round(event.start)} missed ${write.tag}, told done at ${Math.round(write.end)} (${isOwnWrite ? 'its own' : `owed within ${within} ms`})`,
        )
      }
    }
  }
  return { breaches, lost: [...lost], checked }
}

/** Formats an execution for a breach's description. */
function showRun(run: { epoch: number; at: number; name: string }): string {
  return `${run.name} epoch ${run.epoch} at ${Math.round(run.at)}`
}
