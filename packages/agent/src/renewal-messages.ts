import type { World } from '@claynotch/base'
import type { CoreView, InstanceStatus, MemberDescription, ProxyReport } from '@claynotch/register'
import type { HeardStatus } from './instance-table.js'

/** What one life of a core has of this node, as far as it answered for it. */
type Delivered = {
  /** The life of the core. */
  core: string
  /** The node's description, as text. */
  description: string
  /** The version of each register that was acknowledged there. */
  acknowledged: Map<string, number>
  /** The highest commit of each group, as text. */
  highestCommits: Map<string, string>
  /** Local time (ms) before which all announcements heard here were told. */
  instancesUntil: number
}

/** One renewal: what the core doesn't have of this node yet, and what to do once it answered. */
export type Renewal = { message: unknown; askedLife: string; delivered: () => void }

/** What renewals tell. */
export type RenewalSources = {
  node: string
  life: string
  describe: () => MemberDescription
  acknowledged: () => ReadonlyMap<string, number>
  report: () => ProxyReport | undefined
  ownInstances: () => Iterable<HeardStatus>
  /** Whether this node knows a register, so that the core set was founded once. */
  remembers: () => boolean
  tellsMembers: (core: string) => boolean
}

/** Builds the renewals to each core by difference. */
export type RenewalMessages = {
  next: (core: string, view: CoreView, epoch: number) => Renewal
  /** The core has nothing of us any more. */
  forget: (core: string) => void
}

function nothingDelivered(core: string): Delivered {
  return { core, description: '', acknowledged: new Map(), highestCommits: new Map(), instancesUntil: 0 }
}

function commitText(epoch: number, position: number): string {
  return `${epoch}/${position}`
}

export function makeRenewalMessages(world: World, sources: RenewalSources): RenewalMessages {
  const deliveredTo = new Map<string, Delivered>()

  function newAcknowledgements(has: Delivered | undefined): [string, number][] {
    const out: [string, number][] = []
    for (const [key, version] of sources.acknowledged())
      if ((has?.acknowledged.get(key) ?? 0) < version) out.push([key, version])
    return out
  }
  function newCommits(has: Delivered | undefined): [string, number, number][] {
    const out: [string, number, number][] = []
    for (const [group, epoch, position] of sources.report()?.highs ?? [])
      if (has?.highestCommits.get(group) !== commitText(epoch, position)) out.push([group, epoch, position])
    return out
  }
  function newInstances(has: Delivered | undefined, now: number): InstanceStatus[] {
    const out: InstanceStatus[] = []
    for (const { status, at } of sources.ownInstances())
      if (!has || at >= has.instancesUntil) out.push({ ...status, age: now - at })
    return out
  }
  function next(core: string, view: CoreView, epoch: number): Renewal {
    const now = world.now()
    const old = deliveredTo.get(core)
    const has = old && old.core === view.core() ? old : undefined
    const acks = newAcknowledgements(has)
    const highs = newCommits(has)
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
      sights: newInstances(has, now),
      open: sources.report()?.open ?? 0,
      highs,
      remembers: sources.remembers(),
      ...(sources.tellsMembers(core) ? {} : { brief: true }),
      ...(has?.description === description ? {} : { self }),
    }
    function delivered(): void {
      const to = has && has.core === view.core() ? has : nothingDelivered(view.core())
      to.description = description
      for (const [key, version] of acks) to.acknowledged.set(key, version)
      for (const [group, commitEpoch, position] of highs)
        to.highestCommits.set(group, commitText(commitEpoch, position))
      to.instancesUntil = Math.max(to.instancesUntil, now)
      deliveredTo.set(core, to)
    }
    return { message, askedLife: message.core, delivered }
  }
  function forget(core: string): void {
    deliveredTo.delete(core)
  }
  return { next, forget }
}
