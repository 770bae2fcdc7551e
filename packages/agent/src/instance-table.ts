import { ANNOUNCEMENT_LIFETIME_MS, LEAVING_LIFETIME_MS, MAX_KNOWN_INSTANCES, type World } from '@claynotch/base'
import type { Announcement } from '@claynotch/instance'
import { hasSignedOff, laterStatus, SIGNED_OFF_SEQUENCE, type CoreView, type InstanceStatus } from '@claynotch/register'

/** at: local time (ms) of the announcement behind the status. */
export type HeardStatus = { status: InstanceStatus; at: number }

/** aliveAt: the last time at which someone knew the instance to be alive. */
type KnownStatus = HeardStatus & { aliveAt: number }

/** What an announcement brought. */
export type Heard = {
  /** Not dropped for the number of instances that are known. */
  isKept: boolean
  /** The cores are to be told at once. */
  isUnreported: boolean
  /** What is known of the instance changed. */
  isChanged: boolean
  /** It leaves, and didn't before. */
  isDraining: boolean
}
const DROPPED: Heard = { isKept: false, isUnreported: false, isChanged: false, isDraining: false }

/**
 * The instances that this node knows: those that announce themselves here, and those that cores tell of.
 *
 * Invariant: an instance is alive while this node hears it, or while a core that answers tells of it; of two statuses of one
 * instance the later stands, with the earliest notice of its leaving.
 */
export type InstanceTable = {
  list: (group?: string) => InstanceStatus[]
  get: (name: string) => InstanceStatus | undefined
  leaving: () => string[]
  /** Statuses that were announced at this node. */
  own: () => Iterable<HeardStatus>
  hear: (announcement: Announcement) => Heard
  /**
   * An instance ends and tells nothing but its name. One that isn't known here is remembered all the same, without a group:
   * an announcement of it may be on its way, and brings it back no more.
   */
  signOff: (name: string) => Heard
  /** Takes what cores told; whether a role or a leaving changed by it. */
  merge: (views: Iterable<CoreView>) => boolean
}

function statusOf(announcement: Announcement): InstanceStatus {
  const { name, group, addr, area, role } = announcement
  const isGone = announcement.gone === true
  // Whatever it said before it went comes before that.
  const sequence = isGone ? SIGNED_OFF_SEQUENCE : announcement.sequence
  return {
    name,
    group,
    addr,
    area,
    role,
    leaving: announcement.leaving === true || isGone,
    gone: 0,
    age: 0,
    ...(sequence === undefined ? {} : { sequence }),
  }
}

function isChanged(next: InstanceStatus, old: InstanceStatus | undefined): boolean {
  if (hasSignedOff(next) !== hasSignedOff(old)) return true
  return next.leaving !== old?.leaving || next.role !== old.role || next.addr !== old.addr || next.group !== old.group
}

/** isDeparted: whether the group's record says that the instance signed off. */
export function makeInstanceTable(world: World, isDeparted: (group: string, name: string) => boolean): InstanceTable {
  const own = new Map<string, HeardStatus>()
  const known = new Map<string, KnownStatus>()

  function expire(): void {
    const now = world.now()
    for (const [name, { status, at }] of own)
      if (now - at > (status.leaving ? LEAVING_LIFETIME_MS : ANNOUNCEMENT_LIFETIME_MS)) own.delete(name)
    for (const [name, { aliveAt }] of known)
      if (now - aliveAt > ANNOUNCEMENT_LIFETIME_MS && !own.has(name)) known.delete(name)
  }
  /** A sign-off that is in the record stands, whatever was heard since. */
  function withDeparture(status: InstanceStatus): InstanceStatus {
    if (hasSignedOff(status) || !isDeparted(status.group, status.name)) return status
    return { ...status, leaving: true, sequence: SIGNED_OFF_SEQUENCE }
  }
  function list(group?: string): InstanceStatus[] {
    expire()
    const now = world.now()
    const out: InstanceStatus[] = []
    for (const { status, at } of known.values())
      if (group === undefined || status.group === group) out.push({ ...withDeparture(status), age: now - at })
    return out
  }
  function get(name: string): InstanceStatus | undefined {
    const status = known.get(name)?.status
    return status && withDeparture(status)
  }
  function leaving(): string[] {
    const out: string[] = []
    for (const { status } of known.values()) if (withDeparture(status).leaving) out.push(status.name)
    return out
  }
  function ownNow(): Iterable<HeardStatus> {
    return own.values()
  }
  function later(old: HeardStatus | undefined, next: InstanceStatus, at: number): HeardStatus {
    return laterStatus(old, next, at)
  }
  function hear(announcement: Announcement): Heard {
    return record(statusOf(announcement))
  }
  function record(next: InstanceStatus): Heard {
    const { name } = next
    const before = known.get(name)
    if (!before && known.size >= MAX_KNOWN_INSTANCES) return DROPPED
    const now = world.now()
    const ownBefore = own.get(name)
    const ownNext = later(ownBefore, next, now)
    own.set(name, ownNext)
    const merged = later(before, next, now)
    known.set(name, { ...merged, aliveAt: now })
    // That it leaves is told by whoever acknowledges it: what one core told us may be known to that core alone.
    const isOwnLeaving = ownNext.status.leaving && isChanged(ownNext.status, ownBefore?.status)
    const changed = isChanged(merged.status, before?.status)
    return {
      isKept: true,
      isUnreported: isOwnLeaving || changed,
      isChanged: changed,
      isDraining: merged.status.leaving && before?.status.leaving !== true,
    }
  }
  function signOff(name: string): Heard {
    const last = known.get(name)?.status ?? { name, group: '', addr: '', area: '', role: 'follower' }
    return record({ ...last, leaving: true, gone: 0, age: 0, sequence: SIGNED_OFF_SEQUENCE })
  }
  function mergeView(view: CoreView): void {
    for (const [name, { status, at }] of view.instances()) {
      const old = known.get(name)
      known.set(name, { ...later(old, status, at), aliveAt: Math.max(old?.aliveAt ?? 0, view.heard()) })
    }
  }
  function merge(views: Iterable<CoreView>): boolean {
    const now = world.now()
    const before = new Map(known)
    known.clear()
    for (const [name, heard] of own) known.set(name, { ...heard, aliveAt: heard.at })
    for (const view of views) if (now - view.heard() <= ANNOUNCEMENT_LIFETIME_MS) mergeView(view)
    for (const [name, { status }] of known) {
      const old = before.get(name)?.status
      if (status.role !== old?.role || status.leaving !== old.leaving) return true
    }
    return false
  }
  return { list, get, leaving, own: ownNow, hear, signOff, merge }
}
