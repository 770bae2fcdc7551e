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

/** Answers renewals of leases, each with what changed since the last one that its sender has an answer to. */
export type Renewals = { answer: (renewal: LeaseRenewal) => LeaseRenewalAnswer }

const NO_LINES: { lines: MemberEntry[]; gone: string[] } = { lines: [], gone: [] }

/** keyLines: what this core holds of each register now. */
export function makeRenewals(
  world: World,
  leases: Leases,
  keyLines: () => RegisterSummary[],
  metrics: Metrics,
): Renewals {
  const life = Math.floor(world.random() * 2 ** 40).toString(36)
  const count = { at: 0 }
  const keyTable = makeChangeTable(count, signKey)
  const memberTable = makeChangeTable(count, signMember)
  const instanceTable = makeChangeTable(count, statusFingerprintOf)

  // tallied: the revision of members and instances that the tables hold; they are walked only where it changed.
  let tallied = -1
  function tally(): void {
    const keys = new Map<string, RegisterSummary>()
    for (const line of keyLines()) keys.set(line.key, line)
    keyTable.update(keys)
    const revision = leases.revision()
    if (revision === tallied) return
    tallied = revision
    metrics.add('claynotch_core_tallies_total')
    const members = new Map<string, MemberEntry>()
    for (const line of leases.memberEntries()) members.set(line.node, line)
    const instances = new Map<string, InstanceStatus>()
    for (const status of leases.instances()) instances.set(status.name, status)
    memberTable.update(members)
    instanceTable.update(instances)
  }
  // As they are now, with their age: the table's may be older, and say the same.
  function instancesNow(lines: InstanceStatus[]): InstanceStatus[] {
    const out: InstanceStatus[] = []
    for (const line of lines) out.push(leases.instance(line.name) ?? line)
    return out
  }
  function answer(renewal: LeaseRenewal): LeaseRenewalAnswer {
    const end = leases.renew(renewal)
    if (end !== 'held') return { ok: false, [end]: true }
    tally()
    const whole = renewal.core !== life || renewal.count < Math.max(memberTable.least(), instanceTable.least())
    const since = whole ? 0 : renewal.count
    const keys = keyTable.since(since).lines
    const members = renewal.brief === true ? NO_LINES : memberTable.since(since)
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
      ...(instances.lines.length > 0 ? { sights: instancesNow(instances.lines) } : {}),
      ...(members.gone.length > 0 ? { left: members.gone } : {}),
      ...(instances.gone.length > 0 ? { lost: instances.gone } : {}),
    }
  }
  return { answer }
}

function signKey(line: RegisterSummary): string {
  return `${line.ballot[0]} ${line.ballot[1]} ${line.turn} ${line.chosen} ${line.pending}`
}
function signMember(line: MemberEntry): string {
  return `${line.life} ${line.area} ${line.addr} ${line.operator} ${line.build} ${line.proxy} ${line.core?.token}`
}
