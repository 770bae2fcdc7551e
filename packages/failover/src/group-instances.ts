import {
  DEMOTION_INTERVAL_MS,
  LEADER_PROBE_TIMEOUT_MS,
  MISSING_COMMITS_WAIT_MS,
  NEWER_CANDIDATE_MARGIN_MS,
  SUSPECT_PROBE_TIMEOUT_MS,
  type World,
} from '@claynotch/base'
import { BUSY, comparePositions, type LogPosition, type Status } from '@claynotch/instance'
import type { Group } from '@claynotch/operator'
import type { InstanceStatus } from '@claynotch/register'
import { addressOf, type FailoverView } from './failover-view.js'

/** An instance to probe, and the address for it. */
export type ProbeTarget = { name: string; addr: string }

/** An instance that answered, with its status. */
export type ProbedInstance = ProbeTarget & { status: Status }

export type ProbeOptions = {
  /** A suspected instance, which is probed with a shorter timeout than the others. */
  suspect?: string | undefined
  /** Called for each instance that is alive but answers that it is busy. */
  onBusy?: () => void
}

/** The instances of one group, as seen by the node that holds the group's failover duty. */
export type GroupInstances = {
  list: () => InstanceStatus[]
  /** The instances that aren't leaving, except the named one. */
  stayingInstances: (without?: string) => InstanceStatus[]
  /** Whether a commit is acknowledged only after a replica has received it too. */
  isSynchronous: () => boolean
  get: (name: string) => InstanceStatus | undefined
  /** The announced address of an instance, or the recorded one where it isn't announced. */
  addressOf: (name: string, recorded: string) => string
  /** Updates the times at which the instances announced now were first seen. */
  updateFirstSeen: () => void
  /** Asks the targets for their status in parallel; instances that don't answer in time are left out. */
  probe: (targets: ProbeTarget[], options?: ProbeOptions) => Promise<ProbedInstance[]>
  /**
   * The instance with the highest log position; among equals, one in a home zone is preferred. The old leader or a
   * leaving instance is chosen only if it is strictly ahead of all others.
   */
  mostAdvanced: (probed: ProbedInstance[], old: string | undefined) => ProbedInstance | undefined
  /** Tells an instance to follow. Safety doesn't depend on it, as proxies no longer send it writes. */
  demote: (who: ProbeTarget, epoch: number) => Promise<Status | undefined>
  homeZones: () => string[]
  isHome: (name: string) => boolean
  /** Time in ms to wait for acknowledged commits that the most advanced instance lacks. */
  missingCommitsWait: () => number
  /** The highest acknowledged commit that any node has seen. */
  highestCommit: () => Promise<LogPosition | undefined>
}

/** Creates the holder's view of one group's instances. */
export function makeGroupInstances(world: World, view: FailoverView, group: string): GroupInstances {
  /** When this node first saw each instance that is announced now. */
  const firstSeen = new Map<string, number>()
  /** When each instance that claims to lead besides the recorded leader was last told to follow. */
  const demotedAt = new Map<string, number>()

  function list(): InstanceStatus[] {
    return view.instancesOf(group)
  }
  function stayingInstances(without?: string): InstanceStatus[] {
    const remaining: InstanceStatus[] = []
    for (const instance of list()) if (!instance.leaving && instance.name !== without) remaining.push(instance)
    return remaining
  }
  function isSynchronous(): boolean {
    return (configuredGroup()?.sync ?? 0) > 0
  }
  function get(name: string): InstanceStatus | undefined {
    for (const instance of list()) if (instance.name === name) return instance
    return undefined
  }
  function currentAddressOf(name: string, recorded: string): string {
    return addressOf(view, group, name, recorded)
  }
  function updateFirstSeen(): void {
    const present = new Set<string>()
    for (const { name } of list()) {
      present.add(name)
      if (!firstSeen.has(name)) firstSeen.set(name, world.now())
    }
    for (const name of firstSeen.keys()) if (!present.has(name)) firstSeen.delete(name)
    for (const name of demotedAt.keys()) if (!present.has(name)) demotedAt.delete(name)
  }
  async function probeOne(target: ProbeTarget, options: ProbeOptions): Promise<ProbedInstance | undefined> {
    const { name, addr } = target
    const timeoutMs = name === options.suspect ? SUSPECT_PROBE_TIMEOUT_MS : LEADER_PROBE_TIMEOUT_MS
    const status = await view.instance.status(world, { name, addr, group }, timeoutMs)
    if (status.err && status.val === BUSY) options.onBusy?.()
    // The address may have been reused by another instance.
    return status.ok && status.val.name === name ? { name, addr, status: status.val } : undefined
  }
  async function probe(targets: ProbeTarget[], options: ProbeOptions = {}): Promise<ProbedInstance[]> {
    const probes: Promise<ProbedInstance | undefined>[] = []
    for (const target of targets) probes.push(probeOne(target, options))
    const answers: ProbedInstance[] = []
    for (const probed of await Promise.all(probes)) if (probed) answers.push(probed)
    return answers
  }
  function configuredGroup(): Group | undefined {
    for (const configured of view.body()?.config?.groups ?? []) if (configured.name === group) return configured
    return undefined
  }
  function homeZones(): string[] {
    return configuredGroup()?.home ?? []
  }
  function isHome(name: string): boolean {
    const instance = get(name)
    return instance !== undefined && homeZones().includes(instance.area)
  }
  function isLeaving(name: string): boolean {
    return get(name)?.leaving === true
  }
  /**
   * Whether a is preferred over b at equal log positions. Not the old leader, then not a leaving instance, then one in
   * a home zone, then one that is newer by more than NEWER_CANDIDATE_MARGIN_MS.
   */
  function isPreferred(a: string, b: string, oldLeader: string | undefined): boolean {
    if (a === oldLeader || b === oldLeader) return b === oldLeader
    if (isLeaving(a) !== isLeaving(b)) return isLeaving(b)
    if (isHome(a) !== isHome(b)) return isHome(a)
    const ageDifferenceMs = (firstSeen.get(a) ?? 0) - (firstSeen.get(b) ?? 0)
    return Math.abs(ageDifferenceMs) > NEWER_CANDIDATE_MARGIN_MS ? ageDifferenceMs > 0 : a < b
  }
  function mostAdvanced(probed: ProbedInstance[], oldLeader: string | undefined): ProbedInstance | undefined {
    let best: ProbedInstance | undefined
    for (const instance of probed) {
      const difference = best ? comparePositions(instance.status.mark, best.status.mark) : 1
      if (!best || difference > 0 || (difference === 0 && isPreferred(instance.name, best.name, oldLeader)))
        best = instance
    }
    return best
  }
  async function demote(who: ProbeTarget, epoch: number): Promise<Status | undefined> {
    const lastDemotedAt = demotedAt.get(who.name) ?? -DEMOTION_INTERVAL_MS
    if (!view.instance.demote || world.now() - lastDemotedAt < DEMOTION_INTERVAL_MS) return undefined
    demotedAt.set(who.name, world.now())
    const target = { name: who.name, addr: who.addr, group }
    const status = await view.instance.demote(world, target, epoch, LEADER_PROBE_TIMEOUT_MS)
    const end = status.ok ? status.val.role : status.val
    world.log.info('instance-demoted', { group, instance: who.name, epoch, end })
    return status.ok && status.val.name === who.name ? status.val : undefined
  }
  function missingCommitsWait(): number {
    // With sync configured as 0, commits are acknowledged before any follower holds them: their loss is accepted.
    return configuredGroup()?.sync === undefined ? MISSING_COMMITS_WAIT_MS : 0
  }
  async function highestCommit(): Promise<LogPosition | undefined> {
    const read = await view.askMembers()
    let highest: LogPosition | undefined
    for (const member of read?.members ?? []) {
      for (const [observedGroup, epoch, position] of member.highs)
        if (observedGroup === group && (!highest || comparePositions({ epoch, position }, highest) > 0))
          highest = { epoch, position }
    }
    return highest
  }
  return {
    list,
    stayingInstances,
    isSynchronous,
    get,
    addressOf: currentAddressOf,
    updateFirstSeen,
    probe,
    mostAdvanced,
    demote,
    homeZones,
    isHome,
    missingCommitsWait,
    highestCommit,
  }
}
