import type { HollowShape } from './hollownode.js'
import type { Reading } from './hollowpart.js'

// What a hollow run reports: readings of each role in each window, as rates for one member.

// Of one role in one window, for each member of the role (a core, a node, an instance). share: of the processor time.
export type Mechanism = { name: string; outCount: number; outBytes: number; inCount: number; inBytes: number }

export type RoleReading = {
  members: number
  processes: number
  cpu: number
  rss: number
  heap: number
  lag: number
  mechanisms: Mechanism[]
  spent: [string, number][]
}

export type Window = { seconds: number; roles: { role: string; reading: RoleReading }[] }

export type HollowReport = {
  shape: HollowShape & { changes: number; mute: boolean; history: number; seed: number }
  // ms from the start of all agents at once until each has a term; until each proxy works by the first configuration; until each has a share.
  // undefined where it did not come true within the bound.
  termed?: number
  applied?: number
  shared?: number
  led?: number
  back?: number
  changes: { sent: number; accepted: number; inForce: number[] }
  values: [string, number][]
  calm: Window
  changing: Window
  starting: Window
  returning: Window
  repair: Window
}

// Readings of the processes of one role, as rates for each member.
export function readRole(got: { reading: Reading; members: number }[]): RoleReading {
  let members = 0
  let cpu = 0
  let rss = 0
  let heap = 0
  let lag = 0
  const sums = new Map<string, Mechanism>()
  const spent = new Map<string, number>()
  for (const { reading, members: n } of got) {
    members += n
    cpu += reading.cpu / reading.seconds
    rss += reading.rss
    heap += reading.heap
    lag = Math.max(lag, reading.lag)
    for (const l of reading.lines) {
      const old = sums.get(l.name) ?? { name: l.name, outCount: 0, outBytes: 0, inCount: 0, inBytes: 0 }
      sums.set(l.name, {
        name: l.name,
        outCount: old.outCount + l.outCount / reading.seconds,
        outBytes: old.outBytes + l.outBytes / reading.seconds,
        inCount: old.inCount + l.inCount / reading.seconds,
        inBytes: old.inBytes + l.inBytes / reading.seconds,
      })
    }
    for (const [name, hits] of reading.spent) spent.set(name, (spent.get(name) ?? 0) + hits)
  }
  const mechanisms: Mechanism[] = []
  for (const m of sums.values())
    mechanisms.push({
      name: m.name,
      outCount: m.outCount / members,
      outBytes: m.outBytes / members,
      inCount: m.inCount / members,
      inBytes: m.inBytes / members,
    })
  let hits = 0
  for (const n of spent.values()) hits += n
  const shares: [string, number][] = []
  for (const [name, n] of [...spent].sort()) shares.push([name, hits > 0 ? (n / hits) * (cpu / members) : 0])
  return {
    members,
    processes: got.length,
    cpu: cpu / members,
    rss: rss / members,
    heap: heap / members,
    lag,
    mechanisms,
    spent: shares,
  }
}
