import type { HollowShape } from './hollownode.js'
import type { HollowReport, Window } from './hollowreport.js'
import { simHollow } from './hollowvirtual.js'
import type { Line } from './tap.js'

// Hollow runs as text.

// ms. Longest wait for the fleet to stand, for its shares and its return; a run ends in any case.
export const STAND_LIMIT = 45000

export function show(ms: number | undefined): string {
  return ms === undefined ? `none within ${STAND_LIMIT / 1000} s` : `${Math.round(ms)} ms`
}

// Counts alone, from a run on virtual time.
export function showVirtual(got: Awaited<ReturnType<typeof simHollow>>, shape: HollowShape): string {
  const lines = [
    `${shape.nodes} nodes, ${shape.groups} groups of ${shape.instances}, ${shape.lanes} lanes, ${shape.cores} cores, shares by ${shape.shares}, virtual time${got.stood ? '' : '; it did not stand within 60 s'}`,
  ]
  for (const [role, members, list] of [
    ['core', shape.cores, got.core],
    ['agent', shape.nodes, got.agent],
    ['proxy', shape.nodes, got.proxy],
    ['instance', shape.groups * shape.instances, got.instance],
  ] as [string, number, Line[]][]) {
    lines.push(`each ${role} (${members})`)
    for (const l of list) {
      function rate(n: number): number {
        return n / got.seconds / members
      }
      lines.push(
        `  ${l.name}: out ${rate(l.outCount).toFixed(1)} a second, ${Math.round(rate(l.outBytes))} bytes/s; in ${rate(l.inCount).toFixed(1)}, ${Math.round(rate(l.inBytes))} bytes/s`,
      )
    }
  }
  return lines.join('\n')
}

export function showHollow(r: HollowReport): string {
  const s = r.shape
  const lines = [
    `${s.nodes} nodes, ${s.groups} groups of ${s.instances}, ${s.lanes} lanes, ${s.cores} cores, shares by ${s.shares}, ${s.changes} changes a second${s.mute ? ', summaries muted' : ''}`,
  ]
  lines.push(
    `all agents at once: terms ${show(r.termed)}, first configuration ${show(r.applied)}, shares ${show(r.shared)}, leaders ${show(r.led)}; back after a restart of all ${show(r.back)}`,
  )
  const times = [...r.changes.inForce].sort(byNumber)
  lines.push(
    `changes: ${r.changes.accepted} of ${r.changes.sent} accepted; in force everywhere: median ${times[Math.floor(times.length / 2)] ?? 'none'} ms, most ${times[times.length - 1] ?? 'none'} ms${times.includes(-1) ? ', some not within the window' : ''}`,
  )
  for (const [key, size] of r.values) lines.push(`longest frame with ${key}: ${size} bytes`)
  for (const [name, w] of [
    ['start of all', r.starting],
    ['return of all agents', r.returning],
    ['return of a core', r.repair],
  ] as [string, Window][]) {
    for (const { role, reading } of w.roles) {
      const parts: string[] = []
      for (const m of reading.mechanisms)
        parts.push(
          `${m.name} ${Math.round((m.outCount + m.inCount) * w.seconds)} (${Math.round((m.outBytes + m.inBytes) * w.seconds)})`,
        )
      lines.push(`${name}, ${w.seconds.toFixed(1)} s, each ${role}, messages (bytes): ${parts.join(', ')}`)
    }
  }
  for (const [name, w] of [
    ['calm', r.calm],
    ['changing', r.changing],
  ] as [string, Window][]) {
    for (const { role, reading } of w.roles) {
      lines.push(
        `${name}, each ${role} (${reading.members} in ${reading.processes} processes): ${(reading.cpu * 100).toFixed(2)} % of a core, ${Math.round(reading.rss / 1024)} KiB resident, ${Math.round(reading.heap / 1024)} KiB of heap, loop at most ${Math.round(reading.lag)} ms late`,
      )
      for (const m of reading.mechanisms)
        lines.push(
          `  ${m.name}: out ${m.outCount.toFixed(1)} a second, ${Math.round(m.outBytes)} bytes/s; in ${m.inCount.toFixed(1)}, ${Math.round(m.inBytes)} bytes/s`,
        )
      const spent: string[] = []
      for (const [what, share] of reading.spent) if (share > 0.0001) spent.push(`${what} ${(share * 100).toFixed(2)} %`)
      if (spent.length > 0) lines.push(`  processor time: ${spent.join(', ')}`)
    }
  }
  return lines.join('\n')
}

function byNumber(a: number, b: number): number {
  return a - b
}
