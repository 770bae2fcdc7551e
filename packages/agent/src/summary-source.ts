import {
  MAX_KNOWN_INSTANCES,
  RETRY_REPORT_THRESHOLD,
  SUMMARY_VERSION,
  WITNESS_COUNT,
  type World,
} from '@claynotch/base'
import { dutyHolderOf, type InstanceObservations } from '@claynotch/failover'
import type { OwnSummary, Summary } from '@claynotch/peer'
import { groupKey, type GroupRecord, type ProxyReport } from '@claynotch/register'
import type { InstanceTable } from './instance-table.js'
import { spreadHash } from './spread.js'

// What this node tells others in its summaries, and what theirs tell it of instances.

/** [instance, ms] */
type Ages = [string, number][]

export type SummarySourceView = {
  node: string
  area: string
  groups: () => string[]
  recordOf: (group: string) => GroupRecord | undefined
  dutyNodes: () => string[]
  proxyCount: () => number
  hasLease: () => boolean
  instances: InstanceTable
  report: () => ProxyReport | undefined
  reportAge: () => number
  summaries: () => Summary[]
}

export type SummarySource = OwnSummary & {
  /** What the nodes that have a proxy told last, this one among them. */
  observations: () => InstanceObservations[]
  /** Whether a summary names an instance that its node didn't name as failing before. */
  isNewFailure: (summary: Summary) => boolean
}

function aged(ages: Ages, by: number): Ages {
  const out: Ages = []
  for (const [name, ms] of ages) out.push([name, ms + by])
  return out
}

export function makeSummarySource(world: World, view: SummarySourceView): SummarySource {
  // dutiesOf: the groups whose duty falls to each node, as of the last summary.
  const dutiesOf = new Map<string, Set<string>>()
  // failingAt: the instances that each node told to fail when last heard.
  const failingAt = new Map<string, Set<string>>()
  let number = Math.floor(world.now())

  function noteDuties(): void {
    dutiesOf.clear()
    const nodes = view.dutyNodes()
    for (const group of view.groups()) {
      const holder = dutyHolderOf(groupKey(group), nodes)
      if (holder === undefined) continue
      const held = dutiesOf.get(holder) ?? new Set<string>()
      dutiesOf.set(holder, held.add(group))
    }
  }
  function moving(): [string, number][] {
    const out: [string, number][] = [...(view.report()?.moving ?? [])]
    for (const group of view.groups()) {
      const record = view.recordOf(group)
      if (record && record.phase !== 'steady') out.push([group, record.epoch])
    }
    return out
  }
  function all(heard: Summary[]): Omit<Summary, 'seen' | 'bad'> {
    noteDuties()
    // Without a lease what is known of leaders and instances may have been passed long ago; what the proxy measured stands.
    const hasLease = view.hasLease()
    return {
      v: SUMMARY_VERSION,
      node: view.node,
      area: view.area,
      num: ++number,
      moving: hasLease ? moving() : [],
      leaving: hasLease ? view.instances.leaving() : [],
      tries: triesWorthTelling(heard),
    }
  }
  /**
   * Firsts and retries of the groups in which this node retries, or in which so many are retried over all nodes that the cap on
   * them may bind. Where nobody retries, how much is sent is of no use to anyone.
   */
  function triesWorthTelling(heard: Summary[]): Summary['tries'] {
    const mine = view.report()?.tries ?? []
    const retriesOf = new Map<string, number>()
    for (const { tries } of heard)
      for (const [group, , retries] of tries) retriesOf.set(group, (retriesOf.get(group) ?? 0) + retries)
    function isWorthTelling([group, , retries]: [string, number, number]): boolean {
      return retries > 0 || (retriesOf.get(group) ?? 0) > RETRY_REPORT_THRESHOLD
    }
    return mine.filter(isWorthTelling)
  }
  /**
   * Whether this node tells a holder what went well, too. So many nodes do, drawn by their names, that a holder hears of a
   * leader's good answers as often in a fleet of any size; what fails is told by all.
   */
  function isWitness(holder: string): boolean {
    return spreadHash(view.node, holder) / 2 ** 32 < WITNESS_COUNT / view.proxyCount()
  }
  /** What others need to know: of those that the records name. */
  function ofLeaders(ages: Ages): Ages {
    const names = new Set<string | undefined>()
    for (const group of view.groups()) {
      const record = view.recordOf(group)
      for (const name of [record?.leader, record?.old, record?.candidate]) names.add(name)
    }
    function isNamed([name]: [string, number]): boolean {
      return names.has(name)
    }
    return ages.filter(isNamed)
  }
  /** Who holds a group's duty is told what this node's proxy saw of its leaders. */
  function seenFor(node: string): { seen: Ages; bad: Ages } {
    const groups = dutiesOf.get(node)
    if (!groups) return { seen: [], bad: [] }
    const age = view.reportAge()
    function ofTheirs(ages: Ages): Ages {
      const out: Ages = []
      for (const [name, ms] of ages) {
        const group = view.instances.get(name)?.group
        if (group === undefined || groups?.has(group)) out.push([name, Math.round(ms)])
      }
      return out
    }
    const report = view.report()
    const bad = ofTheirs(aged(report?.bad ?? [], age))
    // Who complains tells what it saw go well, too: both sides of one node's word belong together.
    const seen = bad.length > 0 || isWitness(node) ? ofTheirs(aged(ofLeaders(report?.seen ?? []), age)) : []
    return { seen, bad }
  }
  function observations(): InstanceObservations[] {
    const out: InstanceObservations[] = []
    for (const { seen, bad } of view.summaries()) out.push({ goodAgeMs: new Map(seen), badAgeMs: new Map(bad ?? []) })
    const report = view.report()
    if (!report) return out
    const age = view.reportAge()
    out.push({ goodAgeMs: new Map(aged(report.seen, age)), badAgeMs: new Map(aged(report.bad ?? [], age)) })
    return out
  }
  function isNewFailure(summary: Summary): boolean {
    const before = failingAt.get(summary.node)
    const now = new Set<string>()
    for (const [name] of summary.bad ?? []) now.add(name)
    // Names come from the network: never more than a fleet has.
    if (failingAt.size > MAX_KNOWN_INSTANCES) failingAt.clear()
    if (now.size > 0) failingAt.set(summary.node, now)
    else failingAt.delete(summary.node)
    for (const name of now) if (!before?.has(name)) return true
    return false
  }
  return { commonSummary: all, observationsFor: seenFor, observations, isNewFailure }
}
