import {
  DEMOTION_INTERVAL_MS,
  LEADER_PROBE_TIMEOUT_MS,
  MISSING_COMMITS_WAIT_MS,
  NEWER_INSTANCE_MS,
  SUSPECT_PROBE_TIMEOUT_MS,
  type World,
} from '@claynotch/base'
import { BUSY, comparePositions, type LogPosition, type Status } from '@claynotch/instance'
import type { Group } from '@claynotch/operator'
import type { InstanceStatus } from '@claynotch/register'
import { addressOf, type FailoverView } from './failover-view.js'

/** Where an instance is asked for its status. */
export type Target = { name: string; addr: string }

/** An instance that answered, with its status. */
export type Probed = Target & { status: Status }

export type ProbeOptions = {
  /** One that is suspected, and is not waited for as long as the others. */
  suspect?: string | undefined
  /** Runs for each that lives and has no time to answer. */
  onBusy?: () => void
}

/** The instances of one group as the holder of its duty sees them. */
export type GroupInstances = {
  list: () => InstanceStatus[]
  /** Those that don't leave, without the one of that name. */
  staying: (without?: string) => InstanceStatus[]
  /** Whether a commit is acknowledged only once a replica has received it too. */
  isSynchronous: () => boolean
  get: (name: string) => InstanceStatus | undefined
  addressOf: (name: string, recorded: string) => string
  /** Notes who is there now, and since when. */
  remember: () => void
  probe: (targets: Target[], options?: ProbeOptions) => Promise<Probed[]>
  /**
   * The most caught-up; among equals one at home. The old leader, and one that leaves, only where it is strictly ahead of all
   * others.
   */
  furthest: (probed: Probed[], old: string | undefined) => Probed | undefined
  /** Tells one to follow; nothing rests on it, as no proxy sends it writes any more. */
  demote: (who: Target, epoch: number) => Promise<Status | undefined>
  homeZones: () => string[]
  isHome: (name: string) => boolean
  /** ms to wait for acknowledged commits that the furthest instance lacks. */
  missingCommitsWait: () => number
  /** The highest commit that any node saw acknowledged. */
  highestCommit: () => Promise<LogPosition | undefined>
}

export function makeGroupInstances(world: World, view: FailoverView, group: string): GroupInstances {
  // firstSeen: when this node first knew of each instance that is announced now.
  const firstSeen = new Map<string, number>()
  // demotedAt: when each instance that leads beside the record's leader was last told to step down.
  const demotedAt = new Map<string, number>()

  function list(): InstanceStatus[] {
    return view.instancesOf(group)
  }
  function staying(without?: string): InstanceStatus[] {
    const out: InstanceStatus[] = []
    for (const instance of list()) if (!instance.leaving && instance.name !== without) out.push(instance)
    return out
  }
  function isSynchronous(): boolean {
    return (configured()?.sync ?? 0) > 0
  }
  function get(name: string): InstanceStatus | undefined {
    for (const instance of list()) if (instance.name === name) return instance
    return undefined
  }
  function addressIn(name: string, recorded: string): string {
    return addressOf(view, group, name, recorded)
  }
  function remember(): void {
    const present = new Set<string>()
    for (const { name } of list()) {
      present.add(name)
      if (!firstSeen.has(name)) firstSeen.set(name, world.now())
    }
    for (const name of firstSeen.keys()) if (!present.has(name)) firstSeen.delete(name)
    for (const name of demotedAt.keys()) if (!present.has(name)) demotedAt.delete(name)
  }
  async function probeOne(target: Target, options: ProbeOptions): Promise<Probed | undefined> {
    const { name, addr } = target
    const limit = name === options.suspect ? SUSPECT_PROBE_TIMEOUT_MS : LEADER_PROBE_TIMEOUT_MS
    const status = await view.instance.status(world, { name, addr, group }, limit)
    if (status.err && status.val === BUSY) options.onBusy?.()
    // Another instance may answer at an address that was used before.
    return status.ok && status.val.name === name ? { name, addr, status: status.val } : undefined
  }
  async function probe(targets: Target[], options: ProbeOptions = {}): Promise<Probed[]> {
    const asks: Promise<Probed | undefined>[] = []
    for (const target of targets) asks.push(probeOne(target, options))
    const out: Probed[] = []
    for (const probed of await Promise.all(asks)) if (probed) out.push(probed)
    return out
  }
  function configured(): Group | undefined {
    for (const one of view.body()?.config?.groups ?? []) if (one.name === group) return one
    return undefined
  }
  function homeZones(): string[] {
    return configured()?.home ?? []
  }
  function isHome(name: string): boolean {
    const instance = get(name)
    return instance !== undefined && homeZones().includes(instance.area)
  }
  function isLeaving(name: string): boolean {
    return get(name)?.leaving === true
  }
  function goesBefore(a: string, b: string, old: string | undefined): boolean {
    if (a === old || b === old) return b === old
    if (isLeaving(a) !== isLeaving(b)) return isLeaving(b)
    if (isHome(a) !== isHome(b)) return isHome(a)
    const by = (firstSeen.get(a) ?? 0) - (firstSeen.get(b) ?? 0)
    return Math.abs(by) > NEWER_INSTANCE_MS ? by > 0 : a < b
  }
  function furthest(probed: Probed[], old: string | undefined): Probed | undefined {
    let best: Probed | undefined
    for (const one of probed) {
      const by = best ? comparePositions(one.status.mark, best.status.mark) : 1
      if (!best || by > 0 || (by === 0 && goesBefore(one.name, best.name, old))) best = one
    }
    return best
  }
  async function demote(who: Target, epoch: number): Promise<Status | undefined> {
    const last = demotedAt.get(who.name) ?? -DEMOTION_INTERVAL_MS
    if (!view.instance.demote || world.now() - last < DEMOTION_INTERVAL_MS) return undefined
    demotedAt.set(who.name, world.now())
    const target = { name: who.name, addr: who.addr, group }
    const status = await view.instance.demote(world, target, epoch, LEADER_PROBE_TIMEOUT_MS)
    const end = status.ok ? status.val.role : status.val
    world.log.info('instance-demoted', { group, instance: who.name, epoch, end })
    return status.ok && status.val.name === who.name ? status.val : undefined
  }
  function missingCommitsWait(): number {
    // Where it is said that no follower holds a commit when it is acknowledged, the loss is accepted.
    return configured()?.sync === undefined ? MISSING_COMMITS_WAIT_MS : 0
  }
  async function highestCommit(): Promise<LogPosition | undefined> {
    const read = await view.askMembers()
    let best: LogPosition | undefined
    for (const member of read?.members ?? []) {
      for (const [of, epoch, position] of member.highs)
        if (of === group && (!best || comparePositions({ epoch, position }, best) > 0)) best = { epoch, position }
    }
    return best
  }
  return {
    list,
    staying,
    isSynchronous,
    get,
    addressOf: addressIn,
    remember,
    probe,
    furthest,
    demote,
    homeZones,
    isHome,
    missingCommitsWait,
    highestCommit,
  }
}
