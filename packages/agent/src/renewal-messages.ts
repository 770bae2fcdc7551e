import type { World } from '@claynotch/base'
import type { CoreView, InstanceStatus, MemberDescription, ProxyReport } from '@claynotch/register'
import type { HeardStatus } from './instance-table.js'

/** What one process incarnation of a core has received from this node, as far as its answers confirm. */
type Delivered = {
  /** The id of the core's process incarnation. */
  core: string
  /** The node's description as JSON. */
  description: string
  /** The version of each register that was acknowledged to the core. */
  acknowledged: Map<string, number>
  /** The highest commit of each group, as `epoch/position`. */
  highestCommits: Map<string, string>
  /** All announcements heard here before this local time (ms) were reported to the core. */
  instancesUntil: number
}

/**
 * One lease renewal: the message, the core incarnation that it names, and the callback for when the core has
 * answered. The message has only what the core doesn't have from this node yet.
 */
export type Renewal = { message: unknown; coreLife: string; delivered: () => void }

/** The data that renewals carry. */
export type RenewalSources = {
  node: string
  /** Identifies this process incarnation of the node. */
  life: string
  describe: () => MemberDescription
  acknowledged: () => ReadonlyMap<string, number>
  report: () => ProxyReport | undefined
  ownInstances: () => Iterable<HeardStatus>
  /** Whether this node knows any register, which proves that a core set was founded before. */
  remembers: () => boolean
  /** Whether the core is to include the members in its answers. */
  isMemberSource: (core: string) => boolean
}

/** Builds the renewals for each core, as deltas to what that core has confirmed. */
export type RenewalMessages = {
  /** Builds the next renewal for a core. */
  next: (core: string, view: CoreView, epoch: number) => Renewal
  /** The core no longer has anything from this node: the next renewal is complete. */
  forget: (core: string) => void
}

function emptyDelivery(core: string): Delivered {
  return { core, description: '', acknowledged: new Map(), highestCommits: new Map(), instancesUntil: 0 }
}

/** A commit position as text, for comparison. */
function commitText(epoch: number, position: number): string {
  return `${epoch}/${position}`
}

export function makeRenewalMessages(world: World, sources: RenewalSources): RenewalMessages {
  const deliveredTo = new Map<string, Delivered>()

  function newAcknowledgements(previous: Delivered | undefined): [string, number][] {
    const changed: [string, number][] = []
    for (const [key, version] of sources.acknowledged())
      if ((previous?.acknowledged.get(key) ?? 0) < version) changed.push([key, version])
    return changed
  }
  function newCommits(previous: Delivered | undefined): [string, number, number][] {
    const changed: [string, number, number][] = []
    for (const [group, epoch, position] of sources.report()?.highs ?? [])
      if (previous?.highestCommits.get(group) !== commitText(epoch, position)) changed.push([group, epoch, position])
    return changed
  }
  function newInstances(previous: Delivered | undefined, now: number): InstanceStatus[] {
    const changed: InstanceStatus[] = []
    for (const { status, at } of sources.ownInstances())
      if (!previous || at >= previous.instancesUntil) changed.push({ ...status, age: now - at })
    return changed
  }
  function next(core: string, view: CoreView, epoch: number): Renewal {
    const now = world.now()
    const stored = deliveredTo.get(core)
    const previous = stored && stored.core === view.core() ? stored : undefined
    const acks = newAcknowledgements(previous)
    const highs = newCommits(previous)
    const self = sources.describe()
    const description = JSON.stringify(self)
    const message = {
      t: 'renew',
      epoch,
      node: sources.node,
      life: sources.life,
      core: view.core(),
      count: view.count(),
      acks,
      sights: newInstances(previous, now),
      open: sources.report()?.open ?? 0,
      highs,
      remembers: sources.remembers(),
      ...(sources.isMemberSource(core) ? {} : { brief: true }),
      ...(previous?.description === description ? {} : { self }),
    }
    function delivered(): void {
      const updated = previous && previous.core === view.core() ? previous : emptyDelivery(view.core())
      updated.description = description
      for (const [key, version] of acks) updated.acknowledged.set(key, version)
      for (const [group, commitEpoch, position] of highs)
        updated.highestCommits.set(group, commitText(commitEpoch, position))
      updated.instancesUntil = Math.max(updated.instancesUntil, now)
      deliveredTo.set(core, updated)
    }
    return { message, coreLife: message.core, delivered }
  }
  function forget(core: string): void {
    deliveredTo.delete(core)
  }
  return { next, forget }
}
