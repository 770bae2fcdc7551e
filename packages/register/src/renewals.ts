import type { Metrics, World } from '@claynotch/base'
import { makeChangeTable } from './core-view.js'
import type { Leases } from './leases.js'
import {
  statusFingerprintOf,
  type RegisterSummary,
  type MemberEntry,
  type LeaseRenewal,
  type LeaseRenewalAnswer,
  type InstanceStatus,
} from './messages.js'

/** Answers lease renewals, each with the changes since the last answer that the agent received. */
export type Renewals = { answer: (renewal: LeaseRenewal) => LeaseRenewalAnswer }

const NO_MEMBER_CHANGES: { lines: MemberEntry[]; gone: string[] } = { lines: [], gone: [] }

/** Makes the answers of one core. registerSummaries: the present state of each register at this core. */
export function makeRenewals(
  world: World,
  leases: Leases,
  registerSummaries: () => RegisterSummary[],
  metrics: Metrics,
): Renewals {
  const life = Math.floor(world.random() * 2 ** 40).toString(36)
  const count = { at: 0 }
  const keyTable = makeChangeTable(count, registerFingerprintOf)
  const memberTable = makeChangeTable(count, memberFingerprintOf)
  const instanceTable = makeChangeTable(count, statusFingerprintOf)

  /** Revision of the members and instances in the tables; the tables are updated only when it has changed. */
  let tableRevision = -1
  function updateTables(): void {
    const keys = new Map<string, RegisterSummary>()
    for (const line of registerSummaries()) keys.set(line.key, line)
    keyTable.update(keys)
    const revision = leases.revision()
    if (revision === tableRevision) return
    tableRevision = revision
    metrics.add('claynotch_core_tallies_total')
    const members = new Map<string, MemberEntry>()
    for (const line of leases.memberEntries()) members.set(line.node, line)
    const instances = new Map<string, InstanceStatus>()
    for (const status of leases.instances()) instances.set(status.name, status)
    memberTable.update(members)
    instanceTable.update(instances)
  }
  /** The statuses with their present age: a status in the table may be an earlier one of the same content. */
  function withPresentAge(lines: InstanceStatus[]): InstanceStatus[] {
    const statuses: InstanceStatus[] = []
    for (const line of lines) statuses.push(leases.instance(line.name) ?? line)
    return statuses
  }
  function answer(renewal: LeaseRenewal): LeaseRenewalAnswer {
    const outcome = leases.renew(renewal)
    if (outcome !== 'held') return { ok: false, [outcome]: true }
    updateTables()
    const needsAllLines = renewal.core !== life || renewal.count < Math.max(memberTable.least(), instanceTable.least())
    const since = needsAllLines ? 0 : renewal.count
    const keys = keyTable.since(since).lines
    const members = renewal.brief === true ? NO_MEMBER_CHANGES : memberTable.since(since)
    const instances = instanceTable.since(since)
    metrics.add('claynotch_core_member_lines_total', [], members.lines.length)
    return {
      ok: true,
      sure: leases.isComplete(),
      core: life,
      since,
      count: count.at,
      ...(keys.length > 0 ? { keys } : {}),
      ...(members.lines.length > 0 ? { members: members.lines } : {}),
      ...(instances.lines.length > 0 ? { sights: withPresentAge(instances.lines) } : {}),
      ...(members.gone.length > 0 ? { left: members.gone } : {}),
      ...(instances.gone.length > 0 ? { lost: instances.gone } : {}),
    }
  }
  return { answer }
}

/** Text that differs when the summary has changed. */
function registerFingerprintOf(line: RegisterSummary): string {
  return `${line.ballot[0]} ${line.ballot[1]} ${line.turn} ${line.chosen} ${line.pending}`
}
/** Text that differs when the member's entry has changed. */
function memberFingerprintOf(line: MemberEntry): string {
  return `${line.life} ${line.area} ${line.addr} ${line.operator} ${line.build} ${line.proxy} ${line.core?.token}`
}
