import { makeSignal, type Signal, type World } from '@claynotch/base'
import { CONFIG_KEY, configurationForArea, type ConfigurationBody, type Config } from '@claynotch/operator'
import {
  groupKey,
  groupOf,
  shareOf,
  SHARES_KEY,
  type AgentFeed,
  type GroupRecord,
  type InstanceStatus,
  type ConnectionShares,
} from '@claynotch/register'
import { compileRules, type Rules } from './rules.js'

// Invariants: a turn never goes back; work under a cell is done only while now < until;
// rules are those of the configuration in the cell and of no other.
type Cell = { turn: number; until: number; body: unknown; since: number }

export type Known = { record: GroupRecord; turn: number; until: number; since: number }

export type State = {
  applyFeed: (f: AgentFeed) => void
  // Ends all terms at once, at shutdown.
  expireLeases: () => void
  rules: () => Rules | undefined
  config: () => Config | undefined
  // Whether the configuration's term runs.
  hasValidLease: () => boolean
  // Since when (local time, ms) that term has run without a break, if it runs.
  leasedSince: () => number
  // Whether this node holds a share of the instances' connections.
  hasConnectionShare: () => boolean
  // Live members that have a proxy, at least 1.
  live: () => number
  group: (name: string) => Known | undefined
  // Whether a write of the lane that went to the group at that time may be told done, if a move was on its way.
  canAcknowledgeWrite: (lane: string, group: string, sent: number) => boolean
  // Whether a group of that name is configured, or ever had a leader here.
  isGroupKnown: (name: string) => boolean
  instanceStatuses: () => Map<string, InstanceStatus>
  gone: (name: string) => boolean
  // ms since any node that we heard of learned that the instance leaves; 0 if it doesn't.
  leavingForMs: (name: string) => number
  moving: (group: string) => boolean
  others: (group: string) => { firsts: number; retries: number }
  node: () => string
  area: () => string
  versions: () => Map<string, number>
  changed: Signal
}

export function makeState(world: World): State {
  const cells = new Map<string, Cell>()
  const signal = makeSignal()
  let rules: Rules | undefined
  let made = ''
  // shut: when each lane was last seen in a phase of a move in which its writes don't count. unbroken: since when this
  // node has worked under the configuration without a break.
  const shut = new Map<string, number>()
  let unbroken = 0
  let sights = new Map<string, InstanceStatus>()
  let leaving = new Set<string>()
  let moving = new Map<string, number>()
  let tries = new Map<string, { firsts: number; retries: number }>()
  // departed: instances that signed off, by the groups' records; departedOf: the same by group.
  const departed = new Set<string>()
  const departedOf = new Map<string, string[]>()
  const goneSince = new Map<string, number>()
  let live = 1
  let node = ''
  let area = ''
  let halted = false

  function take(f: AgentFeed): void {
    if (halted) return
    node = f.node
    area = f.area
    live = f.live
    for (const c of f.cells) {
      const old = cells.get(c.key)
      if (old && c.turn < old.turn) continue
      if (old && c.turn === old.turn) {
        if (c.key === CONFIG_KEY && old.until <= world.now()) unbroken = world.now()
        old.until = Math.max(old.until, c.until)
        continue
      }
      // A newer turn whose body did not come along can't be applied; the agent sends it once more on a new link.
      if (c.body === undefined) continue
      // A time up to which nothing newer than the old turn was known to a majority holds for a newer turn as well.
      if (c.key === CONFIG_KEY && (!old || old.until <= world.now())) unbroken = world.now()
      cells.set(c.key, { turn: c.turn, until: Math.max(old?.until ?? 0, c.until), body: c.body, since: world.now() })
      if (c.key === CONFIG_KEY) {
        const body = c.body as ConfigurationBody
        const mine = configurationForArea(body, area)
        // A turn that only kept a decision leaves the rules as they are.
        const next = `${mine.epoch} ${JSON.stringify(mine.moves)}`
        if (next !== made)
          rules = mine.config ? compileRules(mine.config, mine.epoch, mine.moves, world.now(), rules) : undefined
        made = next
        for (const m of mine.moves)
          if (m.phase === 'quiet' || m.phase === 'held') for (const lane of m.lanes) shut.set(lane, world.now())
        world.log.info('configuration-applied', { epoch: mine.epoch, turn: c.turn })
      } else if (groupOf(c.key) !== undefined) {
        const rec = c.body as GroupRecord
        takeDeparted(groupOf(c.key) as string, rec, old === undefined)
        world.log.info('group-applied', {
          group: groupOf(c.key),
          phase: rec.phase,
          epoch: rec.epoch,
          leader: rec.leader,
        })
      }
    }
    sights = new Map()
    for (const s of f.sights) sights.set(s.name, s)
    leaving = new Set(f.leaving)
    moving = new Map(f.moving)
    tries = new Map()
    for (const [g, firsts, retries] of f.tries) tries.set(g, { firsts, retries })
    const now = world.now()
    // Since when any of us knew, by the notice's own age; by a hint alone, since now.
    for (const [name, one] of sights)
      if (gone(name))
        goneSince.set(name, Math.min(goneSince.get(name) ?? now, one.leaving ? now - one.age - (one.gone ?? 0) : now))
    for (const name of goneSince.keys()) if (!gone(name)) goneSince.delete(name)
    signal.notify()
  }
  /** isFirst: nothing is known of when they signed off, so their time to get work may be over. */
  function takeDeparted(group: string, record: GroupRecord, isFirst: boolean): void {
    const names = record.departed ?? []
    for (const name of departedOf.get(group) ?? []) if (!names.includes(name)) departed.delete(name)
    departedOf.set(group, names)
    for (const name of names) {
      if (departed.has(name)) continue
      departed.add(name)
      const since = isFirst ? -Infinity : world.now()
      goneSince.set(name, Math.min(goneSince.get(name) ?? Infinity, since))
    }
  }
  function halt(): void {
    halted = true
    for (const c of cells.values()) c.until = 0
    signal.notify()
  }
  function config(): Config | undefined {
    const body = cells.get(CONFIG_KEY)?.body as ConfigurationBody | undefined
    return body ? (configurationForArea(body, area).config ?? undefined) : undefined
  }
  function valid(): boolean {
    const c = cells.get(CONFIG_KEY)
    return c !== undefined && world.now() < c.until
  }
  function leasedSince(): number {
    return unbroken
  }
  function share(): boolean {
    // Shares by the live proxies need no register: whoever has a term has one.
    const size = config()?.proxies ?? 0
    if (size === 'live') return valid()
    const c = cells.get(SHARES_KEY)
    if (!c || world.now() >= c.until) return false
    const { slots } = c.body as ConnectionShares
    const at = shareOf(slots, node)
    return at >= 0 && at < size && slots[at]?.ready === true
  }
  function liveNow(): number {
    return live
  }
  function group(name: string): Known | undefined {
    const c = cells.get(groupKey(name))
    return c ? { record: c.body as GroupRecord, turn: c.turn, until: c.until, since: c.since } : undefined
  }
  function knows(name: string): boolean {
    if (cells.has(groupKey(name))) return true
    for (const g of config()?.groups ?? []) if (g.name === name) return true
    return false
  }
  // A node that a move's holder waited out by its term has a break; one that acknowledged saw the lane shut.
  function counts(lane: string, group: string, sent: number): boolean {
    if ((shut.get(lane) ?? -1) >= sent) return false
    return rules?.lanes.get(lane)?.group === group || unbroken <= sent
  }
  function rulesNow(): Rules | undefined {
    return rules
  }
  function sightsNow(): Map<string, InstanceStatus> {
    return sights
  }
  function gone(name: string): boolean {
    return leaving.has(name) || departed.has(name) || sights.get(name)?.leaving === true
  }
  function goneFor(name: string): number {
    const at = goneSince.get(name)
    return at === undefined ? 0 : world.now() - at
  }
  // Whether any node knows the group to be under promotion.
  function movingNow(name: string): boolean {
    const known = group(name)
    if (known && known.record.phase !== 'steady') return true
    const epoch = moving.get(name)
    return epoch !== undefined && (!known || epoch > known.record.epoch)
  }
  function others(name: string): { firsts: number; retries: number } {
    return tries.get(name) ?? { firsts: 0, retries: 0 }
  }
  function nodeNow(): string {
    return node
  }
  function areaNow(): string {
    return area
  }
  function turns(): Map<string, number> {
    const out = new Map<string, number>()
    for (const [key, c] of cells) out.set(key, c.turn)
    return out
  }
  return {
    applyFeed: take,
    expireLeases: halt,
    rules: rulesNow,
    config,
    hasValidLease: valid,
    leasedSince,
    hasConnectionShare: share,
    live: liveNow,
    group,
    canAcknowledgeWrite: counts,
    isGroupKnown: knows,
    instanceStatuses: sightsNow,
    gone,
    leavingForMs: goneFor,
    moving: movingNow,
    others,
    node: nodeNow,
    area: areaNow,
    versions: turns,
    changed: signal,
  }
}
