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

// The operator's configuration.
// reads: 'leader', every read goes to the leader; else within ms, and own (a session reads its own writes).
const Reads = t.union([t.literal('leader'), t.intersection([t.type({ within: DurationMs }), t.partial({ own: t.boolean })])])
// path: tells lanes of one database apart; of those that have one, no two may have database and path alike.
// limit: ms that one statement may take. aim: ms that a call should be answered within. sends: most sends of a call.
// rank: who is served first where there isn't enough for all, 0 before 1. public: nobody is asked for a key.
// label, here and below: the operator's own words on it, kept as they are, given back and read by nobody.
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
// connections: the instance's own limit, shared by all proxies. guard: writes wait while no follower is proved to
// hold what the leader had this many ms ago, so that no more than that can be lost with the leader. home: areas that its
// leader should live in, where an instance there is as far as any. sync: how many followers hold a commit before the
// instance acknowledges it.
const Group = t.intersection([
  t.type({ name: Name, connections: Count }),
  t.partial({ guard: DurationMs, home: t.array(Name), sync: t.union([t.literal(0), t.literal(1)]), label: t.unknown }),
])
// share: weight of the team when connections are short. sessions, pending: most open sessions, and most calls
// waiting or running, on one proxy.
const Team = t.intersection([t.type({ name: Name }), t.partial({ share: Count, sessions: Count, pending: Count })])
export const Config = t.intersection([
  // proxies: how many share each instance's connections; 'live': as many as are members with a proxy now.
  t.type({ proxies: t.union([Count, t.literal('live')]), groups: t.array(Group), lanes: t.array(Lane) }),
  // transactionIdle: ms; an open transaction that rests for longer may be ended.
  t.partial({ transactionIdle: DurationMs, label: t.unknown }),
  // policy: a Lua text that matches calls for the lane 'auto' to lanes; fallback: the lane where it fails.
  // tenants: whose keys the routes that aren't public ask for; without them no key is asked for.
  t.partial({ teams: t.array(Team), tenants: t.array(Tenant), policy: t.type({ lua: t.string, fallback: Name }) }),
])
export type Config = t.TypeOf<typeof Config>
export type Lane = t.TypeOf<typeof Lane>
export type Group = t.TypeOf<typeof Group>
export type Team = t.TypeOf<typeof Team>

// The lane that a requester names to have the policy match one.
export const AUTO = 'auto'

// Connections of each instance that a proxy does not lend: one for its STATUS samples, one for the duty's probes.
export const KEPT_BACK = 2

// The same where shares go by live members: nobody samples there, and one is left for the duty's calls.
export const LIVE_KEPT_BACK = 1

// The most connections to one instance that one proxy may lend. live: members with a proxy, for configurations that
// share by them; while it isn't known, each proxy has a single one.
export function usableConnectionsPerProxy(config: Config, group: string, live?: number): number {
  for (const g of config.groups) {
    if (g.name !== group) continue
    if (config.proxies !== 'live') return Math.max(0, Math.floor(g.connections / config.proxies) - KEPT_BACK)
    return live === undefined ? 1 : Math.max(1, Math.floor(g.connections / Math.max(1, live)) - LIVE_KEPT_BACK)
  }
  return 0
}

/**
 * Whether there are fewer connections to an instance than proxies that share them by the live members. A proxy that kept one
 * idle would keep others from having any.
 */
export function isShareBelowOne(config: Config, group: string, live: number): boolean {
  for (const g of config.groups) if (g.name === group) return config.proxies === 'live' && g.connections < live
  return false
}

export function replicationGuardMsOf(config: Config | undefined, group: string): number | undefined {
  for (const g of config?.groups ?? []) if (g.name === group) return g.guard
  return undefined
}

function twins(list: { name: string }[], place: string): Finding[] {
  const seen = new Set<string>()
  const out: Finding[] = []
  for (const [k, one] of list.entries()) {
    if (seen.has(one.name)) out.push({ place: `${place}/${k}/name`, what: `the name ${one.name} stands twice` })
    seen.add(one.name)
  }
  return out
}

// Reads a configuration whole; every finding comes back at once.
export function readConfig(value: unknown): Result<Config, Finding[]> {
  const got = readStrict(Config, value)
  if (got.err) return got
  const config = got.val
  const out: Finding[] = [
    ...twins(config.groups, '/groups'),
    ...twins(config.lanes, '/lanes'),
    ...twins(config.teams ?? [], '/teams'),
    ...twins(config.tenants ?? [], '/tenants'),
    ...findSharedKeys(config.tenants ?? []),
  ]
  const groups = new Set<string>()
  for (const g of config.groups) groups.add(g.name)
  const teams = new Set<string>()
  for (const one of config.teams ?? []) teams.add(one.name)
  // Names hold no blanks, so database and path can't run into each other.
  const places = new Map<string, string>()
  for (const [k, lane] of config.lanes.entries()) {
    if (!groups.has(lane.group)) out.push({ place: `/lanes/${k}/group`, what: `no group is named ${lane.group}` })
    if (lane.limit === 0) out.push({ place: `/lanes/${k}/limit`, what: 'no statement ends within 0 ms' })
    const other = places.get(`${lane.database} ${lane.path}`)
    if (lane.path !== undefined && other !== undefined)
      out.push({
        place: `/lanes/${k}/path`,
        what: `the lane ${other} has database ${lane.database} and path ${lane.path} too`,
      })
    if (lane.path !== undefined) places.set(`${lane.database} ${lane.path}`, lane.name)
    if (lane.team !== undefined && !teams.has(lane.team))
      out.push({ place: `/lanes/${k}/team`, what: `no team is named ${lane.team}` })
  }
  if (config.policy) {
    const { lua, fallback } = config.policy
    let known = false
    for (const lane of config.lanes) if (lane.name === fallback) known = true
    if (!known) out.push({ place: '/policy/fallback', what: `no lane is named ${fallback}` })
    for (const [k, lane] of config.lanes.entries())
      if (lane.name === AUTO)
        out.push({ place: `/lanes/${k}/name`, what: `${AUTO} stands for the policy and can't name a lane` })
    if (lua.length > POLICY_LIMIT_BYTES) out.push({ place: '/policy/lua', what: `over ${POLICY_LIMIT_BYTES} bytes` })
    else {
      const got = compilePolicy(lua)
      if (got.err) out.push({ place: '/policy/lua', what: got.val })
    }
  }
  for (const [k, g] of config.groups.entries()) {
    if (usableConnectionsPerProxy(config, g.name) < 1)
      out.push({
        place: `/groups/${k}/connections`,
        what: `${g.connections} connections over ${config.proxies} proxies leave none to lend (each proxy keeps ${KEPT_BACK} back)`,
      })
  }
  return out.length > 0 ? Err(out) : Ok(config)
}

// --- changes ---

const What = t.union([t.literal('lane'), t.literal('group'), t.literal('team'), t.literal('tenant')])
const Edit = t.union([
  t.type({ op: t.literal('put'), what: What, value: t.unknown }),
  // loose: nothing is wrong where none has that name.
  t.intersection([t.type({ op: t.literal('drop'), what: What, name: Name }), t.partial({ loose: t.boolean })]),
  t.type({ op: t.literal('proxies'), value: t.union([Count, t.literal('live')]) }),
  // null: no policy any more.
  t.type({ op: t.literal('policy'), value: t.union([t.null, t.type({ lua: t.string, fallback: Name })]) }),
  // Lanes, or all lanes of a group, go to another group under a fence (docs/design/moves.md). proof: how it is known that
  // the target holds everything: by what its leader reports (the default), or by the operator's word.
  t.intersection([
    t.type({ op: t.literal('move'), to: Name }),
    t.partial({ lanes: t.array(Name), group: Name, proof: t.union([t.literal('reported'), t.literal('confirmed')]) }),
  ]),
  t.type({ op: t.literal('confirm'), lane: Name }),
  t.type({ op: t.literal('calloff'), lane: Name }),
])
export type Edit = t.TypeOf<typeof Edit>
export const Change = t.intersection([
  t.type({ number: Count, expect: t.number }),
  // epoch: the one that the change makes, above the present one; without it the next.
  t.partial({ epoch: WholeNumber }),
  // stage: areas that work by the new configuration; the others keep the one before until a later change says all.
  t.partial({ whole: t.unknown, edits: t.array(Edit), stage: t.union([t.literal('all'), t.array(Name)]) }),
])
export type Change = t.TypeOf<typeof Change>

function putIn<T extends { name: string }>(list: T[], value: T): T[] {
  const out: T[] = []
  let done = false
  for (const one of list) {
    out.push(one.name === value.name ? value : one)
    if (one.name === value.name) done = true
  }
  if (!done) out.push(value)
  return out
}

export function applyEdits(from: Config, edits: Edit[]): Result<unknown, Finding[]> {
  let { proxies, policy } = from
  const lists = new Map<string, { name: string }[]>([
    ['lane', from.lanes],
    ['group', from.groups],
    ['team', from.teams ?? []],
    ...(from.tenants ? [['tenant', from.tenants] as [string, { name: string }[]]] : []),
  ])
  const out: Finding[] = []
  for (const [k, e] of edits.entries()) {
    if (e.op === 'proxies') {
      proxies = e.value
      continue
    }
    if (e.op === 'policy') {
      policy = e.value ?? undefined
      continue
    }
    if (e.op === 'move' || e.op === 'confirm' || e.op === 'calloff') continue
    const list = lists.get(e.what) ?? []
    if (e.op === 'put') {
      const value = e.value as { name?: unknown } | null
      if (value === null || typeof value !== 'object' || typeof value.name !== 'string')
        out.push({ place: `/edits/${k}/value/name`, what: 'expected a name' })
      else lists.set(e.what, putIn(list, value as { name: string }))
    } else {
      const left: { name: string }[] = []
      for (const one of list) if (one.name !== e.name) left.push(one)
      // Where nothing is dropped the list stays as it is: a configuration without tenants isn't one with an empty list of them.
      if (left.length < list.length) lists.set(e.what, left)
      else if (e.loose !== true) out.push({ place: `/edits/${k}/name`, what: `no ${e.what} is named ${e.name}` })
    }
  }
  if (out.length > 0) return Err(out)
  const { policy: _was, ...rest } = from
  return Ok({
    ...rest,
    proxies,
    groups: lists.get('group'),
    lanes: lists.get('lane'),
    teams: lists.get('team'),
    ...(lists.has('tenant') ? { tenants: lists.get('tenant') } : {}),
    ...(policy ? { policy } : {}),
  })
}

// --- the register's value ---

// One decision of the system on one numbered change. epoch: the one that it made; where it was refused, the present one.
// digest: of the change's content (digestOf), so that a number is of one change alone; none where the stream is a digest
// itself, and on decisions of programs that told none.
export type Decision = {
  stream: string
  number: number
  decision: 'accepted' | 'refused'
  epoch: number
  why: string
  findings: Finding[]
  digest?: string
}
// No decision: it may have been taken or not, and may yet be; the very same one may be sent again.
export type Unclear = { stream: string; number: number; decision: 'unclear'; why: string; findings: Finding[] }
// What the sender of a change is told. Invariants: an accepted change is never refused afterwards, a refused one that
// names its epoch never accepted; each rests on a chosen value.
export type ChangeAnswer = Decision | Unclear

// A change as it was sent. digest: see Decision. team: set where the caller may change that team's lanes only.
// hindered: what the fleet as it is has against the change.
export type ChangeRequest = { stream: string; change: Change; digest?: string; team?: string; hindered?: Finding[] }

// A move of lanes from one group to another, under way. id: the epoch that opened it.
// Phases: copy, the target draws near; ease, no new reading transactions, open ones get their time; drain, no new writes and transactions, open ones get their time; quiet, no write
// of these lanes counts any more, reads go on; held, reads wait as well; then the lanes' group is the other.
// Invariants: a lane stands in at most one move, and its group is from until the move ends; phases only go forward;
// mark is set in held, and every acknowledged write of these lanes lies at or under it in from's history.
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

// Body of the register 'configuration'.
// Invariants: epoch grows with each accepted change and with nothing else (a move's end is one of the system's own): to the
// epoch that the change names, else by one;
// for each stream the decisions kept are those with the highest numbers, in order;
// history is in the order of epochs, and its last entry is the change that made the present one; older ones tell who made
// which epoch, the latest few with their configuration; neither other streams nor refused changes push an accepted one out.
// Changes that name their epoch come by the ten thousand a day, each in a stream of its own: they stand in history alone
// (named), without a configuration beside the present one, the last NAMED_KEPT of them, and push out nobody else's.
// Of each of the two kinds history is whole from the oldest entry kept on, and from the start where nothing of that kind
// was dropped yet (mayBeForgotten in kept.ts).
// What is kept is so bounded by HISTORY_KEPT, CONFIGS_KEPT, NAMED_KEPT, STREAMS_KEPT times DECISIONS_KEPT, and one configuration.
// stage: set while only some areas work by config; the others work by prior, that of epoch priorEpoch.
export type ConfigurationBody = {
  epoch: number
  config: Config | null
  stage?: { areas: string[]; prior: Config; priorEpoch: number }
  moves?: Move[]
  streams: { name: string; used: number; decisions: Decision[] }[]
  history: Made[]
}
// An accepted change, by the epoch that it made.
export type Made = { epoch: number; stream: string; number: number; digest?: string; config?: Config; named?: true }

// The configuration that an area works by, its epoch, and the moves under way (never beside a stage).
export function configurationForArea(body: ConfigurationBody, area: string): { config: Config | null; epoch: number; moves: Move[] } {
  if (body.stage && !body.stage.areas.includes(area))
    return { config: body.stage.prior, epoch: body.stage.priorEpoch, moves: [] }
  return { config: body.config, epoch: body.epoch, moves: body.moves ?? [] }
}

/** The body without past changes and decisions, for those who only work by it. */
export function withoutHistory(body: ConfigurationBody): ConfigurationBody {
  return { ...body, streams: [], history: [] }
}

function withoutKeys<T extends Config | null>(config: T): T {
  return config?.tenants ? { ...config, tenants: withoutLabels(config.tenants) } : config
}
/** The body without the tenants' labels, which hold their keys in plain text. */
export function withoutTenantLabels(body: ConfigurationBody): ConfigurationBody {
  const { stage } = body
  return {
    ...body,
    config: withoutKeys(body.config),
    ...(stage ? { stage: { ...stage, prior: withoutKeys(stage.prior) } } : {}),
  }
}

export const CONFIG_KEY = 'configuration'
export function emptyBody(): ConfigurationBody {
  return { epoch: 0, config: null, streams: [], history: [] }
}
