import { groupKey, isFedToProxies, type GroupRecord, type Proposer, type RegisterValue } from '@claynotch/register'
import type { InstanceTable } from './instance-table.js'
import type { Membership } from './membership.js'
import type { ProxyLink } from './proxy-link.js'
import type { RegisterCache } from './register-cache.js'

// What operators read of this node's view, and the replacement of a leader that they ask for.

export type OperatorViewSources = {
  node: string
  proposer: Proposer
  registers: RegisterCache
  membership: Membership
  instances: InstanceTable
  proxy: ProxyLink
  groups: () => string[]
}

export type OperatorViews = {
  /** Undefined: no majority of cores answered. */
  members: () => Promise<unknown>
  groups: () => unknown
  replace: (group: string, to: string | undefined) => Promise<{ ok: boolean; why: string }>
}

/** Why the leader can't be replaced by that instance now; '' if it can. */
function refusalOf(record: GroupRecord | undefined, to: string | undefined): string {
  if (!record) return 'the group has no leader yet'
  if (record.phase !== 'steady') return `the group is in phase ${record.phase}`
  return record.leader === to ? `${to} leads already` : ''
}

export function makeOperatorViews(now: () => number, sources: OperatorViewSources): OperatorViews {
  const { registers, membership, instances } = sources

  function lagging(acknowledged: Map<string, number>): { key: string; has: number; present: number }[] {
    const out: { key: string; has: number; present: number }[] = []
    for (const [key, { value }] of registers.all()) {
      const has = acknowledged.get(key) ?? 0
      if (isFedToProxies(key) && has < value.turn) out.push({ key, has, present: value.turn })
    }
    return out
  }
  async function members(): Promise<unknown> {
    const read = await membership.read()
    if (!read) return undefined
    const out: unknown[] = []
    for (const { node, area, build, operator, open, acks } of read.members)
      out.push({ node, area, build, operator, sessions: open, behind: lagging(new Map(acks)) })
    return out
  }
  function instancesOf(group: string, lags: Map<string, number>): unknown[] {
    const out: unknown[] = []
    for (const { name, addr, area, role, leaving, age } of instances.list(group))
      out.push({ name, addr, area, role, leaving, age: Math.round(age), lag: lags.get(name) })
    return out
  }
  function groups(): unknown {
    const lags = new Map(sources.proxy.report()?.lags ?? [])
    const out: unknown[] = []
    for (const name of sources.groups())
      out.push({ name, record: registers.value(groupKey(name))?.body ?? null, instances: instancesOf(name, lags) })
    return out
  }
  async function replace(group: string, to: string | undefined): Promise<{ ok: boolean; why: string }> {
    if (!sources.groups().includes(group)) return { ok: false, why: `no group is named ${group}` }
    const tag = `${sources.node}~wish~${now()}`
    let why = ''
    function edit(value: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      if (value?.tag === tag) return undefined
      const record = value?.body as GroupRecord | undefined
      why = refusalOf(record, to)
      return why === '' && record ? { body: { ...record, wish: { to: to ?? '' } }, tag } : undefined
    }
    const committed = await sources.proposer.change(groupKey(group), edit)
    if (!committed.done) return { ok: false, why: 'unclear: no majority of cores settled it in time' }
    if (committed.value) registers.learn(groupKey(group), committed.value, committed.ballot)
    return { ok: why === '', why }
  }
  return { members, groups, replace }
}
