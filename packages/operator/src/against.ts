import type { Finding } from '@claynotch/base'
import { usableConnectionsPerProxy, type Config, type Move } from './config.js'
import { withoutLabels } from './tenants.js'

/**
 * The current state of the fleet, against which a configuration is checked, as any agent answers it on
 * GET /configuration, /moves, /members and /groups.
 */
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

function serializeByName(list: { name: string }[]): Map<string, string> {
  const serialized = new Map<string, string>()
  for (const entry of list) serialized.set(entry.name, JSON.stringify(entry))
  return serialized
}

/** Describes what the next configuration would change, one line per change. */
export function describeChanges(current: Config | null, next: Config): string[] {
  const lines: string[] = []
  if (current?.proxies !== next.proxies) lines.push(`proxies: ${current?.proxies ?? 'none'} -> ${next.proxies}`)
  if (JSON.stringify(current?.policy) !== JSON.stringify(next.policy))
    lines.push(next.policy ? 'policy: changed' : 'policy: dropped')
  const kinds: [string, { name: string }[], { name: string }[]][] = [
    ['group', current?.groups ?? [], next.groups],
    ['lane', current?.lanes ?? [], next.lanes],
    ['team', current?.teams ?? [], next.teams ?? []],
    ['tenant', withoutLabels(current?.tenants), withoutLabels(next.tenants)],
  ]
  for (const [kind, currentEntries, nextEntries] of kinds) {
    const currentByName = serializeByName(currentEntries)
    const nextByName = serializeByName(nextEntries)
    for (const [name, serialized] of nextByName) {
      if (!currentByName.has(name)) lines.push(`${kind} ${name}: new`)
      else if (currentByName.get(name) !== serialized)
        lines.push(`${kind} ${name}: changed from ${currentByName.get(name)} to ${serialized}`)
    }
    for (const name of currentByName.keys()) if (!nextByName.has(name)) lines.push(`${kind} ${name}: dropped`)
  }
  return lines
}

/** Findings for a valid configuration in view of the current state of the fleet: what would not work, or work badly. */
export function checkAgainstFleet(next: Config, fleet: FleetState): Finding[] {
  const findings: Finding[] = []
  const groups = new Map<string, FleetState['groups'][number]>()
  for (const group of fleet.groups) groups.set(group.name, group)
  if (next.proxies !== 'live' && fleet.members.length > next.proxies)
    findings.push({
      place: '/proxies',
      what: `${fleet.members.length} members are up, and connections are shared out over ${next.proxies}: the instances' limits would be passed`,
    })
  for (const member of fleet.members)
    for (const register of member.behind)
      findings.push({
        place: `member ${member.node}`,
        what: `is behind on ${register.key}: has turn ${register.has}, the present one is ${register.present}`,
      })
  for (const [index, group] of next.groups.entries()) {
    const status = groups.get(group.name)
    if (!status || status.instances.length === 0) {
      findings.push({ place: `/groups/${index}/name`, what: `no instance of group ${group.name} has announced itself` })
      continue
    }
    if (group.home && !status.instances.some(isAvailableAtHome))
      findings.push({
        place: `/groups/${index}/home`,
        what: `no instance of ${group.name} lives in ${group.home.join(', ')}: its leader will live elsewhere`,
      })
    function isAvailableAtHome(instance: { area: string; leaving: boolean }): boolean {
      return !instance.leaving && group.home?.includes(instance.area) === true
    }
    if (!status.record?.leader)
      findings.push({
        place: `/groups/${index}/name`,
        what: status.record
          ? `group ${group.name} has no leader (phase ${status.record.phase})`
          : `group ${group.name} has no leader yet`,
      })
    else if (status.record.phase !== 'steady')
      findings.push({
        place: `/groups/${index}/name`,
        what: `group ${group.name} is being moved (phase ${status.record.phase})`,
      })
  }
  for (const [index, lane] of next.lanes.entries()) {
    if (lane.reads === 'leader') continue
    const status = groups.get(lane.group)
    if (!status) continue
    let smallestLagMs = Infinity
    let followers = 0
    for (const instance of status.instances) {
      if (instance.name === status.record?.leader || instance.leaving) continue
      followers++
      if (instance.lag !== undefined) smallestLagMs = Math.min(smallestLagMs, instance.lag)
    }
    if (followers === 0)
      findings.push({
        place: `/lanes/${index}/reads`,
        what: `group ${lane.group} has no follower: the leader will serve every read`,
      })
    else if (smallestLagMs > lane.reads.within)
      findings.push({
        place: `/lanes/${index}/reads/within`,
        what: `no follower of ${lane.group} is proved within ${lane.reads.within} ms (the best ${smallestLagMs === Infinity ? 'is not proved at all' : `within ${Math.round(smallestLagMs)} ms`}): the leader will serve`,
      })
  }
  for (const [index, team] of (next.teams ?? []).entries()) {
    let usableConnections = 0
    for (const lane of next.lanes)
      if (lane.team === team.name)
        usableConnections = Math.max(
          usableConnections,
          usableConnectionsPerProxy(next, lane.group, fleet.members.length),
        )
    if (team.pending !== undefined && usableConnections > 0 && team.pending > usableConnections * 8)
      findings.push({
        place: `/teams/${index}/pending`,
        what: `${team.pending} calls at once against ${usableConnections} connections that a proxy can lend them: most would only wait`,
      })
  }
  for (const move of fleet.moves ?? []) {
    for (const name of move.lanes) {
      const lane = next.lanes.find(hasName)
      function hasName(candidate: { name: string }): boolean {
        return candidate.name === name
      }
      if (lane?.group !== move.from)
        findings.push({
          place: `move ${move.id}`,
          what: `the lane ${name} is being moved from ${move.from} to ${move.to} (phase ${move.phase}): this configuration would be refused`,
        })
    }
  }
  for (const [index, lane] of (fleet.config?.lanes ?? []).entries()) {
    let isKept = false
    for (const nextLane of next.lanes) if (nextLane.name === lane.name) isKept = true
    if (!isKept)
      findings.push({
        place: `present /lanes/${index}`,
        what: `the lane ${lane.name} would be dropped; its sessions would be told NOT_FOUND`,
      })
  }
  return findings
}
