import type { World } from '@claynotch/base'
import {
  latestStatusOf,
  type RegisterSummary,
  type MemberEntry,
  type LeaseRenewalAnswer,
  type InstanceStatus,
} from './messages.js'

// Incremental answers to lease renewals: a core sends an agent only the changes since the answer that the agent has.
// Invariant: the view that an agent holds of a core, at the count that it echoes, equals the state that the core sent
// at that count.

/** Number of removed names that are remembered; an agent that is further behind receives the whole state. */
const MAX_TOMBSTONES = 1024

/**
 * One table of a core: its lines, each with the count at which it last changed, and the names that were removed. The
 * count is shared by all tables of a core and grows with each change.
 */
export type ChangeTable<T> = {
  /** Replaces the content, and counts each line that was added, changed or removed. */
  update: (now: Map<string, T>) => void
  /** The lines that changed and the names that were removed after this count; count 0 returns all lines. */
  since: (count: number) => { lines: T[]; gone: string[] }
  /** The lowest count for which since() is complete: removals before it are forgotten. */
  least: () => number
}

/** fingerprintOf: text that differs when a line has changed. */
export function makeChangeTable<T>(count: { at: number }, fingerprintOf: (line: T) => string): ChangeTable<T> {
  const entries = new Map<string, { line: T; sign: string; changedAt: number }>()
  const tombstones = new Map<string, number>()
  /** Names that were removed below this count are forgotten. */
  let oldestKnownCount = 0

  function update(now: Map<string, T>): void {
    for (const [name, line] of now) {
      const previous = entries.get(name)
      const fingerprint = fingerprintOf(line)
      if (previous?.sign === fingerprint) previous.line = line
      else {
        entries.set(name, { line, sign: fingerprint, changedAt: ++count.at })
        tombstones.delete(name)
      }
    }
    for (const name of entries.keys()) {
      if (now.has(name)) continue
      entries.delete(name)
      tombstones.set(name, ++count.at)
    }
    for (const [name, removedAt] of tombstones) {
      if (tombstones.size <= MAX_TOMBSTONES) break
      tombstones.delete(name)
      oldestKnownCount = Math.max(oldestKnownCount, removedAt)
    }
  }
  function since(sinceCount: number): { lines: T[]; gone: string[] } {
    const changedLines: T[] = []
    const removedNames: string[] = []
    for (const entry of entries.values()) if (entry.changedAt > sinceCount) changedLines.push(entry.line)
    if (sinceCount > 0) for (const [name, removedAt] of tombstones) if (removedAt > sinceCount) removedNames.push(name)
    return { lines: changedLines, gone: removedNames }
  }
  function currentOldestKnownCount(): number {
    return oldestKnownCount
  }
  return { update, since, least: currentOldestKnownCount }
}

/** An agent's view of one core, built from the core's renewal answers. */
export type CoreView = {
  /** Identifies the life (process start) of the core that this view is of; '' if there is none. */
  core: () => string
  /** The count of the core up to which this view is current. */
  count: () => number
  /**
   * Applies an answer. requestedLife: the life of the core that the renewal echoed. false: the answer builds on a state
   * that this view no longer has, so the whole state must be requested.
   */
  take: (answer: LeaseRenewalAnswer, requestedLife: string) => boolean
  /** Forgets everything; the next renewal requests the whole state. */
  reset: () => void
  registers: () => Map<string, RegisterSummary>
  members: () => Map<string, { line: MemberEntry; at: number }>
  /** at: local time (ms) at which the announcement behind the status was received. */
  instances: () => Map<string, { status: InstanceStatus; at: number }>
  /** Local time (ms) of the core's last answer; the view is known to be valid as of then. */
  heard: () => number
}

/** Makes an empty view. */
export function makeCoreView(world: World): CoreView {
  let coreLife = ''
  let count = 0
  let lastAnsweredAt = -Infinity
  let registers = new Map<string, RegisterSummary>()
  let members = new Map<string, { line: MemberEntry; at: number }>()
  let instances = new Map<string, { status: InstanceStatus; at: number }>()

  function reset(): void {
    coreLife = ''
    count = 0
    registers = new Map()
    members = new Map()
    instances = new Map()
  }
  function take(answer: LeaseRenewalAnswer, requestedLife: string): boolean {
    const now = world.now()
    const { core: life, since = 0, count: answerCount = 0 } = answer
    if (life === undefined || (since > 0 && (life !== coreLife || since > count))) return false
    // An answer of another life arrived since this renewal was sent: their order is unknown.
    if (life !== coreLife && requestedLife !== coreLife) return false
    // An older answer of the same life has nothing new.
    if (life !== coreLife || answerCount >= count) {
      if (since === 0) reset()
      coreLife = life
      count = answerCount
      for (const register of answer.keys ?? []) registers.set(register.key, register)
      for (const member of answer.members ?? []) members.set(member.node, { line: member, at: now })
      for (const status of answer.sights ?? [])
        instances.set(status.name, latestStatusOf(undefined, status, now - status.age))
      for (const node of answer.left ?? []) members.delete(node)
      for (const name of answer.lost ?? []) instances.delete(name)
    }
    lastAnsweredAt = now
    return true
  }
  function currentCoreLife(): string {
    return coreLife
  }
  function currentCount(): number {
    return count
  }
  function currentRegisters(): Map<string, RegisterSummary> {
    return registers
  }
  function currentMembers(): Map<string, { line: MemberEntry; at: number }> {
    return members
  }
  function currentInstances(): Map<string, { status: InstanceStatus; at: number }> {
    return instances
  }
  function currentLastAnsweredAt(): number {
    return lastAnsweredAt
  }
  return {
    core: currentCoreLife,
    count: currentCount,
    take,
    reset,
    registers: currentRegisters,
    members: currentMembers,
    instances: currentInstances,
    heard: currentLastAnsweredAt,
  }
}
