import * as t from 'io-ts'
import {
  Count,
  DurationMs,
  Name,
  POLICY_LIMIT_BYTES,
  readStrict,
  WholeNumber,
  type Finding,
  Ok,
  Err,
  type Result,
} from '@claynotch/base'
import { compilePolicy } from './policy.js'
import { findSharedKeys, Tenant, withoutLabels } from './tenants.js'

/**
 * Where reads of a lane go. 'leader': every read goes to the leader. Otherwise followers may serve reads that are at
 * most `within` ms stale; with `own`, a session reads its own writes.
 */
const Reads = t.union([
  t.literal('leader'),
  t.intersection([t.type({ within: DurationMs }), t.partial({ own: t.boolean })]),
])
/**
 * A lane: a named route from clients to a database in a group.
 * - `path`: distinguishes lanes of one database; no two lanes may have the same database and path.
 * - `pending`: maximum number of pending calls; more are refused at once.
 * - `limit`: statement timeout in ms. `aim`: target response time of a call in ms. `sends`: maximum attempts of a call.
 * - `rank`: priority when there isn't enough capacity for all; 0 is served before 1.
 * - `public`: clients need no key.
 * - `label`, here and below: the operator's own annotation, stored and returned as it is and not interpreted.
 */
const Lane = t.intersection([
  t.type({ name: Name, database: Name, group: Name, reads: Reads }),
  t.partial({
    team: Name,
    pending: Count,
    path: t.string,
    limit: DurationMs,
    aim: DurationMs,
    sends: Count,
    rank: WholeNumber,
    public: t.boolean,
    label: t.unknown,
  }),
])
/**
 * A group: one leader instance and its followers.
 * - `connections`: the connection limit of each instance, shared by all proxies.
 * - `guard`: ms. Writes wait while no follower is proved to hold what the leader had this long ago, so that no more
 *   than that can be lost with the leader.
 * - `home`: preferred areas of the leader, used when an instance there has replicated as far as any other.
 * - `sync`: number of followers that must hold a commit before the instance acknowledges it.
 */
const Group = t.intersection([
  t.type({ name: Name, connections: Count }),
  t.partial({ guard: DurationMs, home: t.array(Name), sync: t.union([t.literal(0), t.literal(1)]), label: t.unknown }),
])
/**
 * A team. `share`: its weight when connections are short. `sessions`, `pending`: maximum open sessions, and maximum
 * calls waiting or running, on one proxy.
 */
const Team = t.intersection([t.type({ name: Name }), t.partial({ share: Count, sessions: Count, pending: Count })])
/** The operator's configuration. */
export const Config = t.intersection([
  // proxies: how many proxies share each instance's connections; 'live': the current number of members with a proxy.
  t.type({ proxies: t.union([Count, t.literal('live')]), groups: t.array(Group), lanes: t.array(Lane) }),
  // transactionIdle: ms; an open transaction that is idle for longer may be ended.
  t.partial({ transactionIdle: DurationMs, label: t.unknown }),
  // policy: a Lua script that selects a lane for calls to the lane 'auto'; fallback: the lane used when it fails.
  // tenants: clients' keys are checked against them on lanes that aren't public; without tenants no key is needed.
  t.partial({ teams: t.array(Team), tenants: t.array(Tenant), policy: t.type({ lua: t.string, fallback: Name }) }),
])
export type Config = t.TypeOf<typeof Config>
export type Lane = t.TypeOf<typeof Lane>
export type Group = t.TypeOf<typeof Group>
export type Team = t.TypeOf<typeof Team>

/** The lane name by which a client lets the policy select the lane. */
export const AUTO = 'auto'

/** Connections to each instance that a proxy keeps for itself: one for STATUS samples, one for the failover probes. */
export const RESERVED_CONNECTIONS = 2

/** The same where shares depend on the live members: nothing samples there, and one is left for failover calls. */
export const RESERVED_CONNECTIONS_LIVE = 1

/**
 * Maximum number of connections to one instance that one proxy may use for clients. `liveProxies` is the number of
 * members with a proxy, used when the configuration shares by live members; while it is unknown, each proxy may use a
 * single one.
 */
export function usableConnectionsPerProxy(config: Config, groupName: string, liveProxies?: number): number {
  for (const group of config.groups) {
    if (group.name !== groupName) continue
    if (config.proxies !== 'live')
      return Math.max(0, Math.floor(group.connections / config.proxies) - RESERVED_CONNECTIONS)
    return liveProxies === undefined
      ? 1
      : Math.max(1, Math.floor(group.connections / Math.max(1, liveProxies)) - RESERVED_CONNECTIONS_LIVE)
  }
  return 0
}

/**
 * Whether there are fewer connections to an instance than live proxies that share them. A proxy that kept one idle
 * would prevent others from having any.
 */
export function isShareBelowOne(config: Config, groupName: string, liveProxies: number): boolean {
  for (const group of config.groups)
    if (group.name === groupName) return config.proxies === 'live' && group.connections < liveProxies
  return false
}

/** The replication guard of a group, in ms; see Group. */
export function replicationGuardMsOf(config: Config | undefined, groupName: string): number | undefined {
  for (const group of config?.groups ?? []) if (group.name === groupName) return group.guard
  return undefined
}

function findDuplicateNames(entries: { name: string }[], placePrefix: string): Finding[] {
  const seenNames = new Set<string>()
  const findings: Finding[] = []
  for (const [index, entry] of entries.entries()) {
    if (seenNames.has(entry.name))
      findings.push({ place: `${placePrefix}/${index}/name`, what: `the name ${entry.name} stands twice` })
    seenNames.add(entry.name)
  }
  return findings
}

/** Parses and validates a whole configuration. All findings are returned at once. */
export function readConfig(value: unknown): Result<Config, Finding[]> {
  const parsed = readStrict(Config, value)
  if (parsed.err) return parsed
  const config = parsed.val
  const findings: Finding[] = [
    ...findDuplicateNames(config.groups, '/groups'),
    ...findDuplicateNames(config.lanes, '/lanes'),
    ...findDuplicateNames(config.teams ?? [], '/teams'),
    ...findDuplicateNames(config.tenants ?? [], '/tenants'),
    ...findSharedKeys(config.tenants ?? []),
  ]
  const groupNames = new Set<string>()
  for (const group of config.groups) groupNames.add(group.name)
  const teamNames = new Set<string>()
  for (const team of config.teams ?? []) teamNames.add(team.name)
  // Names contain no blanks, so the combined key is unambiguous.
  const laneByDatabasePath = new Map<string, string>()
  for (const [index, lane] of config.lanes.entries()) {
    if (!groupNames.has(lane.group))
      findings.push({ place: `/lanes/${index}/group`, what: `no group is named ${lane.group}` })
    if (lane.limit === 0) findings.push({ place: `/lanes/${index}/limit`, what: 'no statement ends within 0 ms' })
    const otherLane = laneByDatabasePath.get(`${lane.database} ${lane.path}`)
    if (lane.path !== undefined && otherLane !== undefined)
      findings.push({
        place: `/lanes/${index}/path`,
        what: `the lane ${otherLane} has database ${lane.database} and path ${lane.path} too`,
      })
    if (lane.path !== undefined) laneByDatabasePath.set(`${lane.database} ${lane.path}`, lane.name)
    if (lane.team !== undefined && !teamNames.has(lane.team))
      findings.push({ place: `/lanes/${index}/team`, what: `no team is named ${lane.team}` })
  }
  if (config.policy) {
    const { lua, fallback } = config.policy
    let fallbackExists = false
    for (const lane of config.lanes) if (lane.name === fallback) fallbackExists = true
    if (!fallbackExists) findings.push({ place: '/policy/fallback', what: `no lane is named ${fallback}` })
    for (const [index, lane] of config.lanes.entries())
      if (lane.name === AUTO)
        findings.push({ place: `/lanes/${index}/name`, what: `${AUTO} stands for the policy and can't name a lane` })
    if (lua.length > POLICY_LIMIT_BYTES)
      findings.push({ place: '/policy/lua', what: `over ${POLICY_LIMIT_BYTES} bytes` })
    else {
      const compiled = compilePolicy(lua)
      if (compiled.err) findings.push({ place: '/policy/lua', what: compiled.val })
    }
  }
  for (const [index, group] of config.groups.entries()) {
    if (usableConnectionsPerProxy(config, group.name) < 1)
      findings.push({
        place: `/groups/${index}/connections`,
        what: `${group.connections} connections over ${config.proxies} proxies leave none to lend (each proxy keeps ${RESERVED_CONNECTIONS} back)`,
      })
  }
  return findings.length > 0 ? Err(findings) : Ok(config)
}

// --- changes ---

const EntryKind = t.union([t.literal('lane'), t.literal('group'), t.literal('team'), t.literal('tenant')])
const Edit = t.union([
  t.type({ op: t.literal('put'), what: EntryKind, value: t.unknown }),
  // loose: it is not an error if no entry has that name.
  t.intersection([t.type({ op: t.literal('drop'), what: EntryKind, name: Name }), t.partial({ loose: t.boolean })]),
  t.type({ op: t.literal('proxies'), value: t.union([Count, t.literal('live')]) }),
  // null removes the policy.
  t.type({ op: t.literal('policy'), value: t.union([t.null, t.type({ lua: t.string, fallback: Name })]) }),
  // Moves lanes, or all lanes of a group, to another group, with writes fenced off (docs/design/moves.md). proof: how
  // it is established that the target holds all data: the target's leader reports it (default), or the operator
  // confirms.
  t.intersection([
    t.type({ op: t.literal('move'), to: Name }),
    t.partial({ lanes: t.array(Name), group: Name, proof: t.union([t.literal('reported'), t.literal('confirmed')]) }),
  ]),
  t.type({ op: t.literal('confirm'), lane: Name }),
  t.type({ op: t.literal('calloff'), lane: Name }),
])
export type Edit = t.TypeOf<typeof Edit>
/** A numbered change as an operator sends it. `expect`: the epoch that it is based on. */
export const Change = t.intersection([
  t.type({ number: Count, expect: t.number }),
  // epoch: the epoch that the change makes, which must be above the current one; by default the next one.
  t.partial({ epoch: WholeNumber }),
  // stage: areas that use the new configuration; the others keep the prior one until a later change says 'all'.
  t.partial({ whole: t.unknown, edits: t.array(Edit), stage: t.union([t.literal('all'), t.array(Name)]) }),
])
export type Change = t.TypeOf<typeof Change>

function putByName<T extends { name: string }>(entries: T[], value: T): T[] {
  const result: T[] = []
  let replaced = false
  for (const entry of entries) {
    result.push(entry.name === value.name ? value : entry)
    if (entry.name === value.name) replaced = true
  }
  if (!replaced) result.push(value)
  return result
}

/** The configuration after the edits, not yet validated. Edits of moves don't change it; see editMoves. */
export function applyEdits(config: Config, edits: Edit[]): Result<unknown, Finding[]> {
  let { proxies, policy } = config
  const entriesByKind = new Map<string, { name: string }[]>([
    ['lane', config.lanes],
    ['group', config.groups],
    ['team', config.teams ?? []],
    ...(config.tenants ? [['tenant', config.tenants] as [string, { name: string }[]]] : []),
  ])
  const findings: Finding[] = []
  for (const [index, edit] of edits.entries()) {
    if (edit.op === 'proxies') {
      proxies = edit.value
      continue
    }
    if (edit.op === 'policy') {
      policy = edit.value ?? undefined
      continue
    }
    if (edit.op === 'move' || edit.op === 'confirm' || edit.op === 'calloff') continue
    const entries = entriesByKind.get(edit.what) ?? []
    if (edit.op === 'put') {
      const value = edit.value as { name?: unknown } | null
      if (value === null || typeof value !== 'object' || typeof value.name !== 'string')
        findings.push({ place: `/edits/${index}/value/name`, what: 'expected a name' })
      else entriesByKind.set(edit.what, putByName(entries, value as { name: string }))
    } else {
      const remaining: { name: string }[] = []
      for (const entry of entries) if (entry.name !== edit.name) remaining.push(entry)
      // Unchanged if nothing was dropped: a configuration without tenants differs from one with an empty list of them.
      if (remaining.length < entries.length) entriesByKind.set(edit.what, remaining)
      else if (edit.loose !== true)
        findings.push({ place: `/edits/${index}/name`, what: `no ${edit.what} is named ${edit.name}` })
    }
  }
  if (findings.length > 0) return Err(findings)
  const { policy: _replacedPolicy, ...rest } = config
  return Ok({
    ...rest,
    proxies,
    groups: entriesByKind.get('group'),
    lanes: entriesByKind.get('lane'),
    teams: entriesByKind.get('team'),
    ...(entriesByKind.has('tenant') ? { tenants: entriesByKind.get('tenant') } : {}),
    ...(policy ? { policy } : {}),
  })
}

// --- the register's value ---

/**
 * Decision on one numbered change. `epoch`: the epoch that the change made; if it was refused, the current one.
 * `digest`: digest of the change's content (digestOf), which ties a number to one change. It is missing where the
 * stream name is itself a digest, and on decisions written by versions without digests.
 */
export type Decision = {
  stream: string
  number: number
  decision: 'accepted' | 'refused'
  epoch: number
  why: string
  findings: Finding[]
  digest?: string
}
/** No decision: the change may have been accepted or not, and may still be. The same change may be sent again. */
export type UnclearAnswer = { stream: string; number: number; decision: 'unclear'; why: string; findings: Finding[] }
/**
 * The answer to the sender of a change. Invariants: an accepted change is never refused afterwards; a refused change
 * that names its epoch is never accepted afterwards; each answer is based on a chosen value.
 */
export type ChangeAnswer = Decision | UnclearAnswer

/**
 * A change as it was received. `digest`: see Decision. `team`: set if the caller may change only that team's lanes.
 * `hindered`: what in the current state of the fleet prevents the change.
 */
export type ChangeRequest = { stream: string; change: Change; digest?: string; team?: string; hindered?: Finding[] }

/**
 * A move of lanes from one group to another that is in progress. `id`: the epoch that opened it.
 *
 * Phases: `copy`, the target catches up; `ease`, no new reading transactions, open ones may finish; `drain`, no new
 * writes and transactions, open ones may finish; `quiet`, no write of these lanes is effective any more, reads
 * continue; `held`, reads wait as well; then the lanes belong to the target group.
 *
 * Invariants: a lane is in at most one move, and its group is `from` until the move ends; phases only go forward;
 * `mark` is set in `held`, and every acknowledged write of these lanes is at or below it in the history of `from`.
 */
export type Move = {
  id: number
  lanes: string[]
  from: string
  to: string
  proof: 'reported' | 'confirmed'
  phase: 'copy' | 'ease' | 'drain' | 'quiet' | 'held'
  mark?: { epoch: number; position: number }
  confirmed?: boolean
}

/**
 * Value of the register 'configuration'.
 *
 * Invariants:
 * - `epoch` increases with each accepted change and with nothing else (the end of a move is a change of the system's
 *   own stream): to the epoch that the change names, otherwise by one.
 * - For each stream the decisions with the highest numbers are kept, in order.
 * - `history` is ordered by epoch, and its last entry is the change that made the current epoch. Older entries record
 *   who made which epoch; the latest few include their configuration. Neither other streams nor refused changes
 *   displace an accepted change.
 * - Changes that name their epoch arrive by the ten thousand a day, each in its own stream. They are kept only in
 *   `history` (`named`), without a configuration of their own, the last MAX_NAMED_CHANGES of them, and displace no
 *   entries of the other kind.
 * - For each of the two kinds history is complete from the oldest kept entry on, and from the start as long as nothing
 *   of that kind has been dropped (mayBeForgotten in kept.ts).
 *
 * The size is therefore bounded by MAX_HISTORY_ENTRIES, MAX_KEPT_CONFIGURATIONS, MAX_NAMED_CHANGES,
 * MAX_OPERATOR_STREAMS times MAX_DECISIONS_PER_STREAM, and one configuration.
 *
 * `stage`: set while only some areas use `config`; the others use `prior`, the configuration of epoch `priorEpoch`.
 */
export type ConfigurationBody = {
  epoch: number
  config: Config | null
  stage?: { areas: string[]; prior: Config; priorEpoch: number }
  moves?: Move[]
  streams: { name: string; used: number; decisions: Decision[] }[]
  history: HistoryEntry[]
}
/** An accepted change in the history, with the epoch that it made. */
export type HistoryEntry = {
  epoch: number
  stream: string
  number: number
  digest?: string
  config?: Config
  named?: true
}

/** The configuration that an area uses, its epoch, and the moves in progress (there are none while a stage is open). */
export function configurationForArea(
  body: ConfigurationBody,
  area: string,
): { config: Config | null; epoch: number; moves: Move[] } {
  if (body.stage && !body.stage.areas.includes(area))
    return { config: body.stage.prior, epoch: body.stage.priorEpoch, moves: [] }
  return { config: body.config, epoch: body.epoch, moves: body.moves ?? [] }
}

/** The body without past changes and decisions, for readers that only use the configuration. */
export function withoutHistory(body: ConfigurationBody): ConfigurationBody {
  return { ...body, streams: [], history: [] }
}

function withoutConfigLabels<T extends Config | null>(config: T): T {
  return config?.tenants ? { ...config, tenants: withoutLabels(config.tenants) } : config
}
/** The body without the tenants' labels, which contain their keys in plain text. */
export function withoutTenantLabels(body: ConfigurationBody): ConfigurationBody {
  const { stage } = body
  return {
    ...body,
    config: withoutConfigLabels(body.config),
    ...(stage ? { stage: { ...stage, prior: withoutConfigLabels(stage.prior) } } : {}),
  }
}

/** Key of the register that holds the configuration. */
export const CONFIG_KEY = 'configuration'
export function emptyBody(): ConfigurationBody {
  return { epoch: 0, config: null, streams: [], history: [] }
}
