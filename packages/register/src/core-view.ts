import type { World } from '@claynotch/base'
import {
  laterStatus,
  type RegisterSummary,
  type MemberEntry,
  type LeaseRenewalAnswer,
  type InstanceStatus,
} from './messages.js'

// What a core tells an agent with each renewal: only what changed since what that agent has from it.
// Invariant: what an agent holds of a core, at the count it echoes, is what that core told of itself at that count.

// TOMBS: how many names that went are remembered; who is further behind is told everything.
const TOMBS = 1024

// The lines of one table, each with the count at which it last changed, and the names that went.
// count is shared by the tables of a core, and grows with each change.
export type ChangeTable<T> = {
  update: (now: Map<string, T>) => void
  since: (count: number) => { lines: T[]; gone: string[] }
  least: () => number
}

export function makeChangeTable<T>(count: { at: number }, sign: (line: T) => string): ChangeTable<T> {
  const lines = new Map<string, { line: T; sign: string; at: number }>()
  const tombs = new Map<string, number>()
  // least: below it names that went are forgotten.
  let least = 0

  function update(now: Map<string, T>): void {
    for (const [name, line] of now) {
      const old = lines.get(name)
      const text = sign(line)
      if (old?.sign === text) old.line = line
      else {
        lines.set(name, { line, sign: text, at: ++count.at })
        tombs.delete(name)
      }
    }
    for (const name of lines.keys()) {
      if (now.has(name)) continue
      lines.delete(name)
      tombs.set(name, ++count.at)
    }
    for (const [name, at] of tombs) {
      if (tombs.size <= TOMBS) break
      tombs.delete(name)
      least = Math.max(least, at)
    }
  }
  function since(from: number): { lines: T[]; gone: string[] } {
    const out: T[] = []
    const gone: string[] = []
    for (const one of lines.values()) if (one.at > from) out.push(one.line)
    if (from > 0) for (const [name, at] of tombs) if (at > from) gone.push(name)
    return { lines: out, gone }
  }
  function leastNow(): number {
    return least
  }
  return { update, since, least: leastNow }
}

// An agent's picture of one core, built from its answers.
export type CoreView = {
  core: () => string
  count: () => number
  // asked: the life that the renewal echoed. false: the answer builds on what isn't here any more, and everything must be
  // asked for.
  take: (got: LeaseRenewalAnswer, asked: string) => boolean
  reset: () => void
  registers: () => Map<string, RegisterSummary>
  members: () => Map<string, { line: MemberEntry; at: number }>
  // at: when the announcement behind the status was heard, by this machine's clock.
  instances: () => Map<string, { status: InstanceStatus; at: number }>
  // When it last answered; what it tells is alive as of then.
  heard: () => number
}

export function makeCoreView(world: World): CoreView {
  let core = ''
  let count = 0
  let heard = -Infinity
  let keys = new Map<string, RegisterSummary>()
  let members = new Map<string, { line: MemberEntry; at: number }>()
  let instances = new Map<string, { status: InstanceStatus; at: number }>()

  function reset(): void {
    core = ''
    count = 0
    keys = new Map()
    members = new Map()
    instances = new Map()
  }
  function take(got: LeaseRenewalAnswer, asked: string): boolean {
    const now = world.now()
    const { core: life, since = 0, count: at = 0 } = got
    if (life === undefined || (since > 0 && (life !== core || since > count))) return false
    // Another life was heard since this was asked: which of them is the later can't be told.
    if (life !== core && asked !== core) return false
    // An older answer of the same life has nothing that isn't here.
    if (life !== core || at >= count) {
      if (since === 0) reset()
      core = life
      count = at
      for (const k of got.keys ?? []) keys.set(k.key, k)
      for (const m of got.members ?? []) members.set(m.node, { line: m, at: now })
      for (const s of got.sights ?? []) instances.set(s.name, laterStatus(undefined, s, now - s.age))
      for (const node of got.left ?? []) members.delete(node)
      for (const name of got.lost ?? []) instances.delete(name)
    }
    heard = now
    return true
  }
  function coreNow(): string {
    return core
  }
  function countNow(): number {
    return count
  }
  function keysNow(): Map<string, RegisterSummary> {
    return keys
  }
  function membersNow(): Map<string, { line: MemberEntry; at: number }> {
    return members
  }
  function instancesNow(): Map<string, { status: InstanceStatus; at: number }> {
    return instances
  }
  function heardNow(): number {
    return heard
  }
  return {
    core: coreNow,
    count: countNow,
    take,
    reset,
    registers: keysNow,
    members: membersNow,
    instances: instancesNow,
    heard: heardNow,
  }
}
