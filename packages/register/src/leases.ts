import {
  ANNOUNCEMENT_LIFETIME_MS,
  LEAVING_LIFETIME_MS,
  LEASE_DURATION_MS,
  LEASE_CLOCK_SLACK_MS,
  type World,
} from '@claynotch/base'
import {
  latestStatusOf,
  statusFingerprintOf,
  type Member,
  type MemberEntry,
  type LeaseRenewal,
  type MemberDescription,
  type InstanceStatus,
} from './messages.js'

/**
 * The lease of one node at this core, in memory only.
 *
 * Invariants: a lease expires here later than at its holder (the holder counts from before it sent the renewal); for
 * one whole lease duration after the start of this core there may be members that it doesn't know (isComplete() is
 * false).
 * A restarted agent takes over its node's lease at once; renewals of the replaced life are rejected from then on.
 * self, acks and highs belong to the present life; a renewal carries only their changes.
 */
type Lease = {
  expiresAt: number
  life: string
  self: MemberDescription
  open: number
  acks: Map<string, number>
  highs: Map<string, [number, number]>
  replacedLives: Set<string>
}

/** Leases of the member nodes at one core, and the latest status of each instance that the members reported. */
export type Leases = {
  /** replaced: another life of the node holds the lease. unknown: this life has sent no description of itself yet. */
  renew: (r: LeaseRenewal) => 'held' | 'replaced' | 'unknown'
  /** Ends the lease of a node, if this life holds it. */
  leave: (node: string, life: string) => void
  /** Records that a node has applied this version of a register. */
  ack: (node: string, key: string, turn: number) => void
  /** The members with a valid lease. */
  members: () => Member[]
  /** The part of each member that every agent receives. */
  memberEntries: () => MemberEntry[]
  /** The latest status of each instance, with its present age. */
  instances: () => InstanceStatus[]
  /** The status of one instance, with its present age. */
  instance: (name: string) => InstanceStatus | undefined
  /**
   * Grows whenever memberEntries() or the content of a status in instances() changes. An instance that repeats its
   * status hasn't changed.
   */
  revision: () => number
  /** Whether this core has run for a whole lease duration, so that it knows every lease that is still valid. */
  isComplete: () => boolean
  /** Called when this core starts to vote: others may have counted leases here that it doesn't know. */
  markIncomplete: () => void
}

/** Makes an empty lease table. */
export function makeLeases(world: World): Leases {
  let incompleteSince = world.now()
  const leases = new Map<string, Lease>()
  const latestStatuses = new Map<string, { status: InstanceStatus; at: number }>()
  let revision = 0

  function recordStatus(status: InstanceStatus, now: number): void {
    const previous = latestStatuses.get(status.name)
    const latest = latestStatusOf(previous, status, now - status.age)
    latestStatuses.set(status.name, latest)
    if (!previous || statusFingerprintOf(previous.status) !== statusFingerprintOf(latest.status)) revision++
  }
  function removeExpired(): void {
    const now = world.now()
    for (const [node, lease] of leases) {
      if (lease.expiresAt > now) continue
      leases.delete(node)
      revision++
    }
    for (const [name, latest] of latestStatuses) {
      if (now - latest.at <= (latest.status.leaving ? LEAVING_LIFETIME_MS : ANNOUNCEMENT_LIFETIME_MS)) continue
      latestStatuses.delete(name)
      revision++
    }
  }
  function renew(renewal: LeaseRenewal): 'held' | 'replaced' | 'unknown' {
    const now = world.now()
    const previous = leases.get(renewal.node)
    if (previous?.replacedLives.has(renewal.life)) return 'replaced'
    const sameLife = previous?.life === renewal.life ? previous : undefined
    const self = renewal.self ?? sameLife?.self
    if (!self) return 'unknown'
    const replacedLives = previous?.replacedLives ?? new Set<string>()
    if (previous && !sameLife) replacedLives.add(previous.life)
    const acks = sameLife?.acks ?? new Map<string, number>()
    for (const [key, version] of renewal.acks) acks.set(key, Math.max(version, acks.get(key) ?? 0))
    const highs = sameLife?.highs ?? new Map<string, [number, number]>()
    for (const [group, epoch, position] of renewal.highs) {
      const highest = highs.get(group)
      if (!highest || epoch > highest[0] || (epoch === highest[0] && position > highest[1]))
        highs.set(group, [epoch, position])
    }
    if (!sameLife || renewal.self) revision++
    leases.set(renewal.node, {
      expiresAt: now + LEASE_DURATION_MS + LEASE_CLOCK_SLACK_MS,
      life: renewal.life,
      self,
      open: renewal.open,
      acks,
      highs,
      replacedLives,
    })
    for (const status of renewal.sights) recordStatus(status, now)
    return 'held'
  }
  function leave(node: string, life: string): void {
    const lease = leases.get(node)
    if (!lease || lease.life !== life) return
    leases.delete(node)
    revision++
  }
  function ack(node: string, key: string, version: number): void {
    const lease = leases.get(node)
    if (lease) lease.acks.set(key, Math.max(version, lease.acks.get(key) ?? 0))
  }
  function members(): Member[] {
    removeExpired()
    const memberList: Member[] = []
    for (const [node, lease] of leases) {
      const highs: [string, number, number][] = []
      for (const [group, [epoch, position]] of lease.highs) highs.push([group, epoch, position])
      memberList.push({ node, life: lease.life, ...lease.self, open: lease.open, acks: [...lease.acks], highs })
    }
    return memberList
  }
  function memberEntries(): MemberEntry[] {
    removeExpired()
    const entries: MemberEntry[] = []
    for (const [node, { life, self }] of leases) {
      const { area, addr, operator, build, proxy, core } = self
      entries.push({ node, life, area, addr, operator, build, proxy, ...(core ? { core } : {}) })
    }
    return entries
  }
  function instances(): InstanceStatus[] {
    removeExpired()
    const now = world.now()
    const statuses: InstanceStatus[] = []
    for (const latest of latestStatuses.values()) statuses.push({ ...latest.status, age: now - latest.at })
    return statuses
  }
  function instance(name: string): InstanceStatus | undefined {
    const latest = latestStatuses.get(name)
    return latest && { ...latest.status, age: world.now() - latest.at }
  }
  function currentRevision(): number {
    removeExpired()
    return revision
  }
  function isComplete(): boolean {
    return world.now() - incompleteSince > LEASE_DURATION_MS + LEASE_CLOCK_SLACK_MS
  }
  function markIncomplete(): void {
    incompleteSince = world.now()
  }
  return {
    renew,
    leave,
    ack,
    members,
    memberEntries,
    instances,
    instance,
    revision: currentRevision,
    isComplete,
    markIncomplete,
  }
}
