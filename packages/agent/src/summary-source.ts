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

/** Builds the summaries that this node sends to others, and evaluates what theirs report about instances. */

/** Pairs of an instance and an age in ms. */
type InstanceAges = [string, number][]

/** What the summaries need from the agent. */
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
  /** Time (ms) since the proxy's last report arrived. */
  reportAge: () => number
  summaries: () => Summary[]
}

export type SummarySource = OwnSummary & {
  /** The latest observations of all nodes with a proxy, including this one. */
  observations: () => InstanceObservations[]
  /** Whether a summary reports an instance as failing that its node didn't report before. */
  isNewFailure: (summary: Summary) => boolean
}

function addAge(ages: InstanceAges, byMs: number): InstanceAges {
  const increased: InstanceAges = []
  for (const [name, ms] of ages) increased.push([name, ms + byMs])
  return increased
}

export function makeSummarySource(world: World, view: SummarySourceView): SummarySource {
  /** The groups whose duty falls to each node, as of the last summary. */
  const groupsByHolder = new Map<string, Set<string>>()
  /** The instances that each node's last summary reported as failing. */
  const failingByNode = new Map<string, Set<string>>()
  let summaryNumber = Math.floor(world.now())

  function updateDuties(): void {
    groupsByHolder.clear()
    const nodes = view.dutyNodes()
    for (const group of view.groups()) {
      const holder = dutyHolderOf(groupKey(group), nodes)
      if (holder === undefined) continue
      const heldGroups = groupsByHolder.get(holder) ?? new Set<string>()
      groupsByHolder.set(holder, heldGroups.add(group))
    }
  }
  function moving(): [string, number][] {
    const movingGroups: [string, number][] = [...(view.report()?.moving ?? [])]
    for (const group of view.groups()) {
      const record = view.recordOf(group)
      if (record && record.phase !== 'steady') movingGroups.push([group, record.epoch])
    }
    return movingGroups
  }
  function all(summaries: Summary[]): Omit<Summary, 'seen' | 'bad'> {
    updateDuties()
    // Without a lease, what is known of leaders and instances may be outdated; the measurements of the proxy are valid.
    const hasLease = view.hasLease()
    return {
      v: SUMMARY_VERSION,
      node: view.node,
      area: view.area,
      num: ++summaryNumber,
      moving: hasLease ? moving() : [],
      leaving: hasLease ? view.instances.leaving() : [],
      tries: significantTries(summaries),
    }
  }
  /**
   * First attempts and retries of the groups in which this node retries, or in which all nodes together retry so much
   * that the limit on retries may apply. Without retries, the number of first attempts is of no use to others.
   */
  function significantTries(summaries: Summary[]): Summary['tries'] {
    const ownTries = view.report()?.tries ?? []
    const retriesByGroup = new Map<string, number>()
    for (const { tries } of summaries)
      for (const [group, , retries] of tries) retriesByGroup.set(group, (retriesByGroup.get(group) ?? 0) + retries)
    function isSignificant([group, , retries]: [string, number, number]): boolean {
      return retries > 0 || (retriesByGroup.get(group) ?? 0) > RETRY_REPORT_THRESHOLD
    }
    return ownTries.filter(isSignificant)
  }
  /**
   * Whether this node reports successes to a duty holder, too. About WITNESS_COUNT nodes do, selected by a hash of
   * their names, so that a holder receives them at the same rate in a fleet of any size. All nodes report failures.
   */
  function reportsSuccessesTo(holder: string): boolean {
    return spreadHash(view.node, holder) / 2 ** 32 < WITNESS_COUNT / view.proxyCount()
  }
  /** The ages of the instances that the group records name as leader, previous leader or candidate. */
  function onlyLeaders(ages: InstanceAges): InstanceAges {
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
  /** What this node's proxy observed of the groups whose duty the given node holds. */
  function seenFor(node: string): { seen: InstanceAges; bad: InstanceAges } {
    const groups = groupsByHolder.get(node)
    if (!groups) return { seen: [], bad: [] }
    const age = view.reportAge()
    function onlyTheirGroups(ages: InstanceAges): InstanceAges {
      const theirAges: InstanceAges = []
      for (const [name, ms] of ages) {
        const group = view.instances.get(name)?.group
        if (group === undefined || groups?.has(group)) theirAges.push([name, Math.round(ms)])
      }
      return theirAges
    }
    const report = view.report()
    const bad = onlyTheirGroups(addAge(report?.bad ?? [], age))
    // A node that reports failures reports its successes, too: the holder must see both from the same node.
    const seen =
      bad.length > 0 || reportsSuccessesTo(node) ? onlyTheirGroups(addAge(onlyLeaders(report?.seen ?? []), age)) : []
    return { seen, bad }
  }
  function observations(): InstanceObservations[] {
    const observed: InstanceObservations[] = []
    for (const { seen, bad } of view.summaries())
      observed.push({ goodAgeMs: new Map(seen), badAgeMs: new Map(bad ?? []) })
    const report = view.report()
    if (!report) return observed
    const age = view.reportAge()
    observed.push({ goodAgeMs: new Map(addAge(report.seen, age)), badAgeMs: new Map(addAge(report.bad ?? [], age)) })
    return observed
  }
  function isNewFailure(summary: Summary): boolean {
    const previouslyFailing = failingByNode.get(summary.node)
    const failing = new Set<string>()
    for (const [name] of summary.bad ?? []) failing.add(name)
    // The names come from the network, so their number must be limited.
    if (failingByNode.size > MAX_KNOWN_INSTANCES) failingByNode.clear()
    if (failing.size > 0) failingByNode.set(summary.node, failing)
    else failingByNode.delete(summary.node)
    for (const name of failing) if (!previouslyFailing?.has(name)) return true
    return false
  }
  return { commonSummary: all, observationsFor: seenFor, observations, isNewFailure }
}
