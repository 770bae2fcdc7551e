import { ANNOUNCEMENT_LIFETIME_MS, LEAVING_LIFETIME_MS, MAX_KNOWN_INSTANCES, type World } from '@claynotch/base'
import type { Announcement } from '@claynotch/instance'
import { hasSignedOff, laterStatus, SIGNED_OFF_SEQUENCE, type CoreView, type InstanceStatus } from '@claynotch/register'

/** A status with the local time (ms) of the announcement from which it comes. */
export type HeardStatus = { status: InstanceStatus; at: number }

/** aliveAt: local time (ms) at which this node or a core last knew the instance to be alive. */
type KnownStatus = HeardStatus & { aliveAt: number }

/** The result of recording an announcement or a sign-off. */
export type AnnouncementOutcome = {
  /** False: dropped, because too many instances are known already. */
  isAccepted: boolean
  /** The change must be reported to the cores at once. */
  needsReport: boolean
  /** The known status of the instance changed. */
  isChanged: boolean
  /** The instance is leaving now, and wasn't before. */
  isDraining: boolean
}
const DROPPED: AnnouncementOutcome = { isAccepted: false, needsReport: false, isChanged: false, isDraining: false }

/**
 * The instances that this node knows: those that announce themselves here, and those that cores report.
 *
 * Invariant: an instance is alive while it announces itself to this node, or while a core that answers reports it. Of
 * two statuses of one instance the later one applies, with the earliest notice of its leaving.
 */
export type InstanceTable = {
  /** The statuses of all instances, or of those of one group. */
  list: (group?: string) => InstanceStatus[]
  get: (name: string) => InstanceStatus | undefined
  /** The names of the instances that are leaving. */
  leaving: () => string[]
  /** The statuses that were announced to this node. */
  own: () => Iterable<HeardStatus>
  recordAnnouncement: (announcement: Announcement) => AnnouncementOutcome
  /**
   * Records the sign-off of an instance, which has only its name. An unknown instance is recorded too, without a group,
   * so that an announcement that is still in transit doesn't bring it back.
   */
  signOff: (name: string) => AnnouncementOutcome
  /** Replaces what cores reported; returns whether a role or a leaving flag changed. */
  merge: (views: Iterable<CoreView>) => boolean
}

function statusOf(announcement: Announcement): InstanceStatus {
  const { name, group, addr, area, role } = announcement
  const isSignOff = announcement.gone === true
  // A sign-off supersedes every announcement that the instance sent before it.
  const sequence = isSignOff ? SIGNED_OFF_SEQUENCE : announcement.sequence
  return {
    name,
    group,
    addr,
    area,
    role,
    leaving: announcement.leaving === true || isSignOff,
    gone: 0,
    age: 0,
    ...(sequence === undefined ? {} : { sequence }),
  }
}

function isChanged(next: InstanceStatus, previous: InstanceStatus | undefined): boolean {
  if (hasSignedOff(next) !== hasSignedOff(previous)) return true
  return (
    next.leaving !== previous?.leaving ||
    next.role !== previous.role ||
    next.addr !== previous.addr ||
    next.group !== previous.group
  )
}

/** isDeparted: whether the group's record says that the instance signed off. */
export function makeInstanceTable(world: World, isDeparted: (group: string, name: string) => boolean): InstanceTable {
  const announcedHere = new Map<string, HeardStatus>()
  const knownStatuses = new Map<string, KnownStatus>()

  function expire(): void {
    const now = world.now()
    for (const [name, { status, at }] of announcedHere)
      if (now - at > (status.leaving ? LEAVING_LIFETIME_MS : ANNOUNCEMENT_LIFETIME_MS)) announcedHere.delete(name)
    for (const [name, { aliveAt }] of knownStatuses)
      if (now - aliveAt > ANNOUNCEMENT_LIFETIME_MS && !announcedHere.has(name)) knownStatuses.delete(name)
  }
  /** Applies a sign-off that is stored in the group's record, whatever was announced since. */
  function withDeparture(status: InstanceStatus): InstanceStatus {
    if (hasSignedOff(status) || !isDeparted(status.group, status.name)) return status
    return { ...status, leaving: true, sequence: SIGNED_OFF_SEQUENCE }
  }
  function list(group?: string): InstanceStatus[] {
    expire()
    const now = world.now()
    const statuses: InstanceStatus[] = []
    for (const { status, at } of knownStatuses.values())
      if (group === undefined || status.group === group) statuses.push({ ...withDeparture(status), age: now - at })
    return statuses
  }
  function get(name: string): InstanceStatus | undefined {
    const status = knownStatuses.get(name)?.status
    return status && withDeparture(status)
  }
  function leaving(): string[] {
    const names: string[] = []
    for (const { status } of knownStatuses.values()) if (withDeparture(status).leaving) names.push(status.name)
    return names
  }
  function ownStatuses(): Iterable<HeardStatus> {
    return announcedHere.values()
  }
  function laterOf(previous: HeardStatus | undefined, next: InstanceStatus, at: number): HeardStatus {
    return laterStatus(previous, next, at)
  }
  function recordAnnouncement(announcement: Announcement): AnnouncementOutcome {
    return recordStatus(statusOf(announcement))
  }
  function recordStatus(next: InstanceStatus): AnnouncementOutcome {
    const { name } = next
    const previous = knownStatuses.get(name)
    if (!previous && knownStatuses.size >= MAX_KNOWN_INSTANCES) return DROPPED
    const now = world.now()
    const previousOwn = announcedHere.get(name)
    const nextOwn = laterOf(previousOwn, next, now)
    announcedHere.set(name, nextOwn)
    const merged = laterOf(previous, next, now)
    knownStatuses.set(name, { ...merged, aliveAt: now })
    // The node that acknowledges a leaving must report it itself: what one core reported may be known to no other core.
    const isOwnLeaving = nextOwn.status.leaving && isChanged(nextOwn.status, previousOwn?.status)
    const changed = isChanged(merged.status, previous?.status)
    return {
      isAccepted: true,
      needsReport: isOwnLeaving || changed,
      isChanged: changed,
      isDraining: merged.status.leaving && previous?.status.leaving !== true,
    }
  }
  function signOff(name: string): AnnouncementOutcome {
    const lastStatus = knownStatuses.get(name)?.status ?? { name, group: '', addr: '', area: '', role: 'follower' }
    return recordStatus({ ...lastStatus, leaving: true, gone: 0, age: 0, sequence: SIGNED_OFF_SEQUENCE })
  }
  function mergeView(view: CoreView): void {
    for (const [name, { status, at }] of view.instances()) {
      const previous = knownStatuses.get(name)
      knownStatuses.set(name, {
        ...laterOf(previous, status, at),
        aliveAt: Math.max(previous?.aliveAt ?? 0, view.heard()),
      })
    }
  }
  function merge(views: Iterable<CoreView>): boolean {
    const now = world.now()
    const previous = new Map(knownStatuses)
    knownStatuses.clear()
    for (const [name, heard] of announcedHere) knownStatuses.set(name, { ...heard, aliveAt: heard.at })
    for (const view of views) if (now - view.heard() <= ANNOUNCEMENT_LIFETIME_MS) mergeView(view)
    for (const [name, { status }] of knownStatuses) {
      const previousStatus = previous.get(name)?.status
      if (status.role !== previousStatus?.role || status.leaving !== previousStatus.leaving) return true
    }
    return false
  }
  return { list, get, leaving, own: ownStatuses, recordAnnouncement, signOff, merge }
}
