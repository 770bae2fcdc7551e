import {
  ANNOUNCEMENT_LIFETIME_MS,
  LEAVING_LIFETIME_MS,
  LEASE_DURATION_MS,
  LEASE_CLOCK_SLACK_MS,
  type World,
} from '@claynotch/base'
import {
  laterStatus,
  signStatus,
  type Member,
  type MemberEntry,
  type LeaseRenewal,
  type MemberDescription,
  type InstanceStatus,
} from './messages.js'

// Terms held at this core, in memory only.
// Invariants: a term ends here later than at its holder (the holder counts from before it asked);
// for one whole term after the start of this core, members may exist that it does not know (sure() is false).
// A restarted agent takes its node's term over at once; the life that was replaced is refused from then on.
// self, acks and highs are of this life; a renewal brings what is new of them.
type Term = {
  until: number
  life: string
  self: MemberDescription
  open: number
  acks: Map<string, number>
  highs: Map<string, [number, number]>
  past: Set<string>
}

export type Leases = {
  renew: (r: LeaseRenewal) => 'held' | 'replaced' | 'unknown'
  leave: (node: string, life: string) => void
  ack: (node: string, key: string, turn: number) => void
  members: () => Member[]
  /** What every agent is told of the members. */
  memberEntries: () => MemberEntry[]
  instances: () => InstanceStatus[]
  /** One of them, with its age as of now. */
  instance: (name: string) => InstanceStatus | undefined
  /**
   * Grows whenever memberLines() or what sights() says of an instance changes; an instance that only says the same again has
   * not changed.
   */
  revision: () => number
  isComplete: () => boolean
  // From now on others may have counted terms here that this core does not know: it has just begun to vote.
  beginUnknown: () => void
}

export function makeLeases(world: World): Leases {
  let start = world.now()
  const terms = new Map<string, Term>()
  const seen = new Map<string, { status: InstanceStatus; at: number }>()
  let revision = 0

  function see(s: InstanceStatus, now: number): void {
    const old = seen.get(s.name)
    const next = laterStatus(old, s, now - s.age)
    seen.set(s.name, next)
    if (!old || signStatus(old.status) !== signStatus(next.status)) revision++
  }
  function expire(): void {
    const now = world.now()
    for (const [node, one] of terms) {
      if (one.until > now) continue
      terms.delete(node)
      revision++
    }
    for (const [name, one] of seen) {
      if (now - one.at <= (one.status.leaving ? LEAVING_LIFETIME_MS : ANNOUNCEMENT_LIFETIME_MS)) continue
      seen.delete(name)
      revision++
    }
  }
  // replaced: another life of the same node has taken the term over. unknown: no Self of this life was told here.
  function renew(r: LeaseRenewal): 'held' | 'replaced' | 'unknown' {
    const now = world.now()
    const old = terms.get(r.node)
    if (old?.past.has(r.life)) return 'replaced'
    const same = old?.life === r.life ? old : undefined
    const self = r.self ?? same?.self
    if (!self) return 'unknown'
    const past = old?.past ?? new Set<string>()
    if (old && !same) past.add(old.life)
    const acks = same?.acks ?? new Map<string, number>()
    for (const [key, version] of r.acks) acks.set(key, Math.max(version, acks.get(key) ?? 0))
    const highs = same?.highs ?? new Map<string, [number, number]>()
    for (const [group, epoch, position] of r.highs) {
      const high = highs.get(group)
      if (!high || epoch > high[0] || (epoch === high[0] && position > high[1])) highs.set(group, [epoch, position])
    }
    if (!same || r.self) revision++
    terms.set(r.node, {
      until: now + LEASE_DURATION_MS + LEASE_CLOCK_SLACK_MS,
      life: r.life,
      self,
      open: r.open,
      acks,
      highs,
      past,
    })
    for (const s of r.sights) see(s, now)
    return 'held'
  }
  function leave(node: string, life: string): void {
    const old = terms.get(node)
    if (!old || old.life !== life) return
    terms.delete(node)
    revision++
  }
  function ack(node: string, key: string, version: number): void {
    const one = terms.get(node)
    if (one) one.acks.set(key, Math.max(version, one.acks.get(key) ?? 0))
  }
  function members(): Member[] {
    expire()
    const out: Member[] = []
    for (const [node, one] of terms) {
      const highs: [string, number, number][] = []
      for (const [group, [epoch, position]] of one.highs) highs.push([group, epoch, position])
      out.push({ node, life: one.life, ...one.self, open: one.open, acks: [...one.acks], highs })
    }
    return out
  }
  function memberLines(): MemberEntry[] {
    expire()
    const out: MemberEntry[] = []
    for (const [node, { life, self }] of terms) {
      const { area, addr, operator, build, proxy, core } = self
      out.push({ node, life, area, addr, operator, build, proxy, ...(core ? { core } : {}) })
    }
    return out
  }
  function sights(): InstanceStatus[] {
    expire()
    const now = world.now()
    const out: InstanceStatus[] = []
    for (const one of seen.values()) out.push({ ...one.status, age: now - one.at })
    return out
  }
  function status(name: string): InstanceStatus | undefined {
    const one = seen.get(name)
    return one && { ...one.status, age: world.now() - one.at }
  }
  function revisionNow(): number {
    expire()
    return revision
  }
  function sure(): boolean {
    return world.now() - start > LEASE_DURATION_MS + LEASE_CLOCK_SLACK_MS
  }
  function doubt(): void {
    start = world.now()
  }
  return {
    renew,
    leave,
    ack,
    members,
    memberEntries: memberLines,
    instances: sights,
    instance: status,
    revision: revisionNow,
    isComplete: sure,
    beginUnknown: doubt,
  }
}
