import { groupKey, isFedToProxies, type GroupRecord, type Proposer, type RegisterValue } from '@claynotch/register'
import type { InstanceTable } from './instance-table.js'
import type { Membership } from './membership.js'
import type { ProxyLink } from './proxy-link.js'
import type { RegisterCache } from './register-cache.js'

/** This node's view of members and groups for operators, and the replacement of a leader at their request. */

/** The components of the agent from which the views are read. */
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
  /** The members as a majority of the cores knows them; undefined: no majority answered. */
  members: () => Promise<unknown>
  groups: () => unknown
  /** Requests that the group's leader is replaced, by a given instance or by any; why tells the reason of a refusal. */
  replace: (group: string, newLeader: string | undefined) => Promise<{ ok: boolean; why: string }>
}

/** Why the leader can't be replaced by that instance now; empty if it can. */
function refusalReason(record: GroupRecord | undefined, newLeader: string | undefined): string {
  if (!record) return 'the group has no leader yet'
  if (record.phase !== 'steady') return `the group is in phase ${record.phase}`
  return record.leader === newLeader ? `${newLeader} leads already` : ''
}

export function makeOperatorViews(now: () => number, sources: OperatorViewSources): OperatorViews {
  const { registers, membership, instances } = sources

  /** The registers of which a member hasn't applied the version known here. */
  function registersBehind(acknowledged: Map<string, number>): { key: string; has: number; present: number }[] {
    const behind: { key: string; has: number; present: number }[] = []
    for (const [key, { value }] of registers.all()) {
      const has = acknowledged.get(key) ?? 0
      if (isFedToProxies(key) && has < value.turn) behind.push({ key, has, present: value.turn })
    }
    return behind
  }
  async function members(): Promise<unknown> {
    const read = await membership.read()
    if (!read) return undefined
    const memberViews: unknown[] = []
    for (const { node, area, build, operator, open, acks } of read.members)
      memberViews.push({ node, area, build, operator, sessions: open, behind: registersBehind(new Map(acks)) })
    return memberViews
  }
  function instancesOf(group: string, lags: Map<string, number>): unknown[] {
    const instanceViews: unknown[] = []
    for (const { name, addr, area, role, leaving, age } of instances.list(group))
      instanceViews.push({ name, addr, area, role, leaving, age: Math.round(age), lag: lags.get(name) })
    return instanceViews
  }
  function groups(): unknown {
    const lags = new Map(sources.proxy.report()?.lags ?? [])
    const groupViews: unknown[] = []
    for (const name of sources.groups())
      groupViews.push({
        name,
        record: registers.value(groupKey(name))?.body ?? null,
        instances: instancesOf(name, lags),
      })
    return groupViews
  }
  async function replace(group: string, newLeader: string | undefined): Promise<{ ok: boolean; why: string }> {
    if (!sources.groups().includes(group)) return { ok: false, why: `no group is named ${group}` }
    const tag = `${sources.node}~wish~${now()}`
    let why = ''
    function edit(value: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      if (value?.tag === tag) return undefined
      const record = value?.body as GroupRecord | undefined
      why = refusalReason(record, newLeader)
      return why === '' && record ? { body: { ...record, wish: { to: newLeader ?? '' } }, tag } : undefined
    }
    const committed = await sources.proposer.change(groupKey(group), edit)
    if (!committed.done) return { ok: false, why: 'unclear: no majority of cores settled it in time' }
    if (committed.value) registers.learn(groupKey(group), committed.value, committed.ballot)
    return { ok: why === '', why }
  }
  return { members, groups, replace }
}
