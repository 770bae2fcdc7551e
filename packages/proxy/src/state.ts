import { makeSignal, type Signal, type World } from '@claynotch/base'
import { CONFIG_KEY, configurationForArea, type ConfigurationBody, type Config } from '@claynotch/operator'
import {
  groupKey,
  groupOf,
  slotIndexOf,
  SHARES_KEY,
  type AgentFeed,
  type GroupRecord,
  type InstanceStatus,
  type ConnectionShares,
} from '@claynotch/register'
import { compileRules, type Rules } from './rules.js'

/**
 * A replicated record (the configuration, the connection shares or a group) as the agent last sent it, with its lease.
 *
 * Invariants: a version never goes back; work that relies on a record is done only while now < leaseExpiresAt; the
 * rules in force are compiled from the configuration record and from nothing else.
 */
type LeasedRecord = { version: number; leaseExpiresAt: number; body: unknown; appliedAt: number }

/** A group's record, its version, when its lease expires and when it was applied here (local time, ms). */
export type KnownGroup = { record: GroupRecord; version: number; leaseExpiresAt: number; appliedAt: number }

/**
 * What the proxy knows of the fleet from its agent's feeds: the replicated records, the instances and the other nodes.
 */
export type State = {
  /** Applies a feed. */
  applyFeed: (feed: AgentFeed) => void
  /** Expires all leases at once, at shutdown. */
  expireLeases: () => void
  /** The rules in force, compiled from the configuration. */
  rules: () => Rules | undefined
  config: () => Config | undefined
  /** Whether the configuration's lease is valid. */
  hasValidLease: () => boolean
  /** Since when (local time, ms) that lease has been valid without a gap, if it is valid. */
  leasedSince: () => number
  /** Whether this node holds a share of the instances' connections. */
  hasConnectionShare: () => boolean
  /** Number of live members that have a proxy, at least 1. */
  liveProxies: () => number
  /** The group's record, whether or not its lease is still valid. */
  group: (name: string) => KnownGroup | undefined
  /** Whether a write of the lane that was sent to the group at that time may be acknowledged, with regard to moves. */
  canAcknowledgeWrite: (lane: string, group: string, sentAt: number) => boolean
  /** Whether a group of that name is configured, or a record of it was received. */
  isGroupKnown: (name: string) => boolean
  /** The status of each instance by its name, as the agent last sent it. */
  instanceStatuses: () => Map<string, InstanceStatus>
  /** Whether the instance is leaving or has signed off. */
  isLeaving: (name: string) => boolean
  /** ms since the first node known here learned that the instance is leaving; 0 if it isn't. */
  leavingForMs: (name: string) => number
  /** Whether any node knows the group to be under promotion. */
  isUnderPromotion: (group: string) => boolean
  /** Recent first attempts and retries of the other nodes. */
  retriesOnOtherNodes: (group: string) => { firsts: number; retries: number }
  node: () => string
  area: () => string
  /** The version of each record by its key. */
  versions: () => Map<string, number>
  /** Fires after each feed, and at shutdown. */
  changed: Signal
}

export function makeState(world: World): State {
  const records = new Map<string, LeasedRecord>()
  const changed = makeSignal()
  let rules: Rules | undefined
  let appliedRulesKey = ''
  /** When each lane was last seen in a phase of a move (quiet or held) in which its writes aren't acknowledged. */
  const lastBlockedAt = new Map<string, number>()
  /** Since when the configuration's lease has been valid without a gap. */
  let leaseUnbrokenSince = 0
  let statuses = new Map<string, InstanceStatus>()
  let leavingHints = new Set<string>()
  let promotionEpochs = new Map<string, number>()
  let retryCounts = new Map<string, { firsts: number; retries: number }>()
  /** Instances that signed off according to the groups' records. */
  const departed = new Set<string>()
  const departedByGroup = new Map<string, string[]>()
  const leavingSince = new Map<string, number>()
  let live = 1
  let node = ''
  let area = ''
  let isHalted = false

  function applyFeed(feed: AgentFeed): void {
    if (isHalted) return
    node = feed.node
    area = feed.area
    live = feed.live
    for (const cell of feed.cells) {
      const previous = records.get(cell.key)
      if (previous && cell.turn < previous.version) continue
      if (previous && cell.turn === previous.version) {
        if (cell.key === CONFIG_KEY && previous.leaseExpiresAt <= world.now()) leaseUnbrokenSince = world.now()
        previous.leaseExpiresAt = Math.max(previous.leaseExpiresAt, cell.until)
        continue
      }
      // A newer version without its body can't be applied; the agent sends it again on a new link.
      if (cell.body === undefined) continue
      // If a majority is known to have nothing newer than the previous version until some time, it has nothing newer
      // than this version until then either, so the later of the two expiries holds.
      if (cell.key === CONFIG_KEY && (!previous || previous.leaseExpiresAt <= world.now()))
        leaseUnbrokenSince = world.now()
      records.set(cell.key, {
        version: cell.turn,
        leaseExpiresAt: Math.max(previous?.leaseExpiresAt ?? 0, cell.until),
        body: cell.body,
        appliedAt: world.now(),
      })
      if (cell.key === CONFIG_KEY) {
        const body = cell.body as ConfigurationBody
        const ownConfig = configurationForArea(body, area)
        // A version that only records a decision leaves the rules as they are.
        const nextRulesKey = `${ownConfig.epoch} ${JSON.stringify(ownConfig.moves)}`
        if (nextRulesKey !== appliedRulesKey)
          rules = ownConfig.config
            ? compileRules(ownConfig.config, ownConfig.epoch, ownConfig.moves, world.now(), rules)
            : undefined
        appliedRulesKey = nextRulesKey
        for (const move of ownConfig.moves)
          if (move.phase === 'quiet' || move.phase === 'held')
            for (const lane of move.lanes) lastBlockedAt.set(lane, world.now())
        world.log.info('configuration-applied', { epoch: ownConfig.epoch, turn: cell.turn })
      } else if (groupOf(cell.key) !== undefined) {
        const record = cell.body as GroupRecord
        applyDeparted(groupOf(cell.key) as string, record, previous === undefined)
        world.log.info('group-applied', {
          group: groupOf(cell.key),
          phase: record.phase,
          epoch: record.epoch,
          leader: record.leader,
        })
      }
    }
    statuses = new Map()
    for (const status of feed.sights) statuses.set(status.name, status)
    leavingHints = new Set(feed.leaving)
    promotionEpochs = new Map(feed.moving)
    retryCounts = new Map()
    for (const [groupName, firsts, retries] of feed.tries) retryCounts.set(groupName, { firsts, retries })
    const now = world.now()
    // The earliest time at which any node knew of the leaving, by the age of the notice; now, if only a hint tells of
    // it.
    for (const [name, status] of statuses)
      if (isLeaving(name))
        leavingSince.set(
          name,
          Math.min(leavingSince.get(name) ?? now, status.leaving ? now - status.age - (status.gone ?? 0) : now),
        )
    for (const name of leavingSince.keys()) if (!isLeaving(name)) leavingSince.delete(name)
    changed.notify()
  }
  /**
   * Applies the instances that the group's record lists as signed off. isFirst: when they signed off is unknown, so
   * their grace period may be over.
   */
  function applyDeparted(group: string, record: GroupRecord, isFirst: boolean): void {
    const names = record.departed ?? []
    for (const name of departedByGroup.get(group) ?? []) if (!names.includes(name)) departed.delete(name)
    departedByGroup.set(group, names)
    for (const name of names) {
      if (departed.has(name)) continue
      departed.add(name)
      const since = isFirst ? -Infinity : world.now()
      leavingSince.set(name, Math.min(leavingSince.get(name) ?? Infinity, since))
    }
  }
  function expireLeases(): void {
    isHalted = true
    for (const leased of records.values()) leased.leaseExpiresAt = 0
    changed.notify()
  }
  function config(): Config | undefined {
    const body = records.get(CONFIG_KEY)?.body as ConfigurationBody | undefined
    return body ? (configurationForArea(body, area).config ?? undefined) : undefined
  }
  function hasValidLease(): boolean {
    const leased = records.get(CONFIG_KEY)
    return leased !== undefined && world.now() < leased.leaseExpiresAt
  }
  function leasedSince(): number {
    return leaseUnbrokenSince
  }
  function hasConnectionShare(): boolean {
    // Where connections are divided among the live proxies, no slot is needed: every node with a valid lease has a
    // share.
    const size = config()?.proxies ?? 0
    if (size === 'live') return hasValidLease()
    const leased = records.get(SHARES_KEY)
    if (!leased || world.now() >= leased.leaseExpiresAt) return false
    const { slots } = leased.body as ConnectionShares
    const slot = slotIndexOf(slots, node)
    return slot >= 0 && slot < size && slots[slot]?.ready === true
  }
  function liveProxies(): number {
    return live
  }
  function group(name: string): KnownGroup | undefined {
    const leased = records.get(groupKey(name))
    return leased
      ? {
          record: leased.body as GroupRecord,
          version: leased.version,
          leaseExpiresAt: leased.leaseExpiresAt,
          appliedAt: leased.appliedAt,
        }
      : undefined
  }
  function isGroupKnown(name: string): boolean {
    if (records.has(groupKey(name))) return true
    for (const configured of config()?.groups ?? []) if (configured.name === name) return true
    return false
  }
  // A move goes on once this node's lease expired, which shows as a gap in the lease, or once this node acknowledged
  // the phase, which shows in lastBlockedAt.
  function canAcknowledgeWrite(lane: string, group: string, sentAt: number): boolean {
    if ((lastBlockedAt.get(lane) ?? -1) >= sentAt) return false
    return rules?.lanes.get(lane)?.group === group || leaseUnbrokenSince <= sentAt
  }
  function currentRules(): Rules | undefined {
    return rules
  }
  function instanceStatuses(): Map<string, InstanceStatus> {
    return statuses
  }
  function isLeaving(name: string): boolean {
    return leavingHints.has(name) || departed.has(name) || statuses.get(name)?.leaving === true
  }
  function leavingForMs(name: string): number {
    const since = leavingSince.get(name)
    return since === undefined ? 0 : world.now() - since
  }
  function isUnderPromotion(name: string): boolean {
    const known = group(name)
    if (known && known.record.phase !== 'steady') return true
    const epoch = promotionEpochs.get(name)
    return epoch !== undefined && (!known || epoch > known.record.epoch)
  }
  function retriesOnOtherNodes(name: string): { firsts: number; retries: number } {
    return retryCounts.get(name) ?? { firsts: 0, retries: 0 }
  }
  function nodeName(): string {
    return node
  }
  function areaName(): string {
    return area
  }
  function versions(): Map<string, number> {
    const versionByKey = new Map<string, number>()
    for (const [key, leased] of records) versionByKey.set(key, leased.version)
    return versionByKey
  }
  return {
    applyFeed: applyFeed,
    expireLeases: expireLeases,
    rules: currentRules,
    config,
    hasValidLease: hasValidLease,
    leasedSince,
    hasConnectionShare: hasConnectionShare,
    liveProxies,
    group,
    canAcknowledgeWrite: canAcknowledgeWrite,
    isGroupKnown: isGroupKnown,
    instanceStatuses: instanceStatuses,
    isLeaving,
    leavingForMs: leavingForMs,
    isUnderPromotion,
    retriesOnOtherNodes,
    node: nodeName,
    area: areaName,
    versions: versions,
    changed: changed,
  }
}
