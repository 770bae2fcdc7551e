import type { Finding } from '@claynotch/base'
import { usableConnectionsPerProxy, type Config, type Move } from './config.js'
import { withoutLabels } from './tenants.js'

// A configuration against the fleet as it is. What is read of the fleet is what any agent tells on
// GET /configuration, /members and /groups.
export type FleetState = {
  epoch: number
  config: Config | null
  moves?: Move[]
  members: { node: string; area: string; sessions: number; behind: { key: string; has: number; present: number }[] }[]
  groups: {
    name: string
    record: { phase: string; leader?: string } | null
    instances: { name: string; area: string; role: string; leaving: boolean; lag?: number }[]
  }[]
}

function names(list: { name: string }[]): Map<string, string> {
  const out = new Map<string, string>()
  for (const one of list) out.set(one.name, JSON.stringify(one))
  return out
}

// What would change, one line each.
export function describeChanges(now: Config | null, next: Config): string[] {
  const out: string[] = []
  if (now?.proxies !== next.proxies) out.push(`proxies: ${now?.proxies ?? 'none'} -> ${next.proxies}`)
  if (JSON.stringify(now?.policy) !== JSON.stringify(next.policy))
    out.push(next.policy ? 'policy: changed' : 'policy: dropped')
  const kinds: [string, { name: string }[], { name: string }[]][] = [
    ['group', now?.groups ?? [], next.groups],
    ['lane', now?.lanes ?? [], next.lanes],
    ['team', now?.teams ?? [], next.teams ?? []],
    ['tenant', withoutLabels(now?.tenants), withoutLabels(next.tenants)],
  ]
  for (const [kind, a, b] of kinds) {
    const old = names(a)
    const fresh = names(b)
    for (const [name, text] of fresh) {
      if (!old.has(name)) out.push(`${kind} ${name}: new`)
      else if (old.get(name) !== text) out.push(`${kind} ${name}: changed from ${old.get(name)} to ${text}`)
    }
    for (const name of old.keys()) if (!fresh.has(name)) out.push(`${kind} ${name}: dropped`)
  }
  return out
}

export function checkAgainstFleet(next: Config, fleet: FleetState): Finding[] {
  const out: Finding[] = []
  const groups = new Map<string, FleetState['groups'][number]>()
  for (const g of fleet.groups) groups.set(g.name, g)
  if (next.proxies !== 'live' && fleet.members.length > next.proxies)
    out.push({
      place: '/proxies',
      what: `${fleet.members.length} members are up, and connections are shared out over ${next.proxies}: the instances' limits would be passed`,
    })
  for (const m of fleet.members)
    for (const b of m.behind)
      out.push({
        place: `member ${m.node}`,
        what: `is behind on ${b.key}: has turn ${b.has}, the present one is ${b.present}`,
      })
  for (const [k, g] of next.groups.entries()) {
    const is = groups.get(g.name)
    if (!is || is.instances.length === 0) {
      out.push({ place: `/groups/${k}/name`, what: `no instance of group ${g.name} has announced itself` })
      continue
    }
    if (g.home && !is.instances.some(isThere))
      out.push({
        place: `/groups/${k}/home`,
        what: `no instance of ${g.name} lives in ${g.home.join(', ')}: its leader will live elsewhere`,
      })
    function isThere(one: { area: string; leaving: boolean }): boolean {
      return !one.leaving && g.home?.includes(one.area) === true
    }
    if (!is.record?.leader)
      out.push({
        place: `/groups/${k}/name`,
        what: is.record
          ? `group ${g.name} has no leader (phase ${is.record.phase})`
          : `group ${g.name} has no leader yet`,
      })
    else if (is.record.phase !== 'steady')
      out.push({ place: `/groups/${k}/name`, what: `group ${g.name} is being moved (phase ${is.record.phase})` })
  }
  for (const [k, lane] of next.lanes.entries()) {
    if (lane.reads === 'leader') continue
    const is = groups.get(lane.group)
    if (!is) continue
    let best = Infinity
    let followers = 0
    for (const one of is.instances) {
      if (one.name === is.record?.leader || one.leaving) continue
      followers++
      if (one.lag !== undefined) best = Math.min(best, one.lag)
    }
    if (followers === 0)
      out.push({
        place: `/lanes/${k}/reads`,
        what: `group ${lane.group} has no follower: the leader will serve every read`,
      })
    else if (best > lane.reads.within)
      out.push({
        place: `/lanes/${k}/reads/within`,
        what: `no follower of ${lane.group} is proved within ${lane.reads.within} ms (the best ${best === Infinity ? 'is not proved at all' : `within ${Math.round(best)} ms`}): the leader will serve`,
      })
  }
  for (const [k, team] of (next.teams ?? []).entries()) {
    let lent = 0
    for (const lane of next.lanes)
      if (lane.team === team.name) lent = Math.max(lent, usableConnectionsPerProxy(next, lane.group, fleet.members.length))
    if (team.pending !== undefined && lent > 0 && team.pending > lent * 8)
      out.push({
        place: `/teams/${k}/pending`,
        what: `${team.pending} calls at once against ${lent} connections that a proxy can lend them: most would only wait`,
      })
  }
  for (const m of fleet.moves ?? []) {
    for (const name of m.lanes) {
      const lane = next.lanes.find(isIt)
      function isIt(l: { name: string }): boolean {
        return l.name === name
      }
      if (lane?.group !== m.from)
        out.push({
          place: `move ${m.id}`,
          what: `the lane ${name} is being moved from ${m.from} to ${m.to} (phase ${m.phase}): this configuration would be refused`,
        })
    }
  }
  for (const [k, lane] of (fleet.config?.lanes ?? []).entries()) {
    let kept = false
    for (const l of next.lanes) if (l.name === lane.name) kept = true
    if (!kept)
      out.push({
        place: `present /lanes/${k}`,
        what: `the lane ${lane.name} would be dropped; its sessions would be told NOT_FOUND`,
      })
  }
  return out
}
