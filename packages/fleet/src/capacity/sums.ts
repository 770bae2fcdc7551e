import type { Env } from './features.js'
import { type Fit, valueOf } from './fit.js'
import type { Model } from './model.js'
import type { Way } from './observations.js'
import type { Size } from './size.js'

// What the fitted slopes come to at a size: for each mechanism, for a node and for a core.

// The sums of docs/CAPACITY.md: what the fitted slopes come to at a size, and where each bound breaks. Nothing here is
// measured; every figure follows from the points and the size handed in.

export type Row = { role: string; mechanism: string; state: number; count: number; bytes: number; cpu: number }

export type Sums = {
  rows: Row[]
  // Bytes of the configuration's register, of the slots' and of all groups' records.
  value: number
  slots: number
  records: number
  // Bytes of an answer that tells everything.
  answer: number
  node: { cpu: number; bytes: number; rss: number; heap: number; proxyRss: number; proxyHeap: number }
  core: { cpu: number; bytes: number; rss: number; heap: number }
  times: Map<string, number>
  events: { what: string; bytes: number }[]
}

// Spoken between agent and proxy of one machine, or written to its disk: not on the network.
const local = new Set(['feeds', 'notes', 'file', 'file rewritten', 'logs'])

export function sumsAt(model: Model, size: Size): Sums {
  const bare: Env = { ...size, value: 0, spread: 1 }
  const value = valueOf(model.value, bare)
  const env: Env = { ...bare, value }
  const slots = valueOf(model.slots, env)
  const records = valueOf(model.record, env) * size.groups
  const answer = valueOf(model.answer, env)
  const rows: Row[] = []
  const node = { cpu: 0, bytes: 0, rss: 0, heap: 0, proxyRss: 0, proxyHeap: 0 }
  const core = { cpu: 0, bytes: 0, rss: 0, heap: 0 }
  for (const r of model.rows) {
    function at(way: Way): number {
      return valueOf(r.fits.get(way) as Fit, env)
    }
    const bytes = at('outBytes') + at('inBytes')
    const cpu = at('cpu')
    const each = (at('outBytes') + at('inBytes')) / Math.max(1e-9, at('outCount') + at('inCount'))
    let state = 0
    // A core keeps of each member what its first renewal tells; an agent keeps each core's whole answer.
    if (r.mechanism === 'terms' && r.role === 'core') state = size.nodes * valueOf(model.renewal, env) + answer
    else if (r.mechanism === 'terms' && r.role === 'agent') state = size.cores * answer
    else if (
      (r.role === 'core' && r.mechanism === 'registers') ||
      (r.role === 'agent' && r.mechanism === 'pushes') ||
      (r.role === 'proxy' && r.mechanism === 'feeds')
    )
      state = value + slots + records
    else if (r.role === 'agent' && r.mechanism === 'summaries') state = Math.min(256, size.nodes) * each
    else if (r.mechanism === 'file') state = 4 * (value + slots + records)
    rows.push({ role: r.role, mechanism: r.mechanism, state, count: at('outCount') + at('inCount'), bytes, cpu })
    const onNet = local.has(r.mechanism) ? 0 : bytes
    if (r.role === 'core') {
      core.cpu += cpu
      core.bytes += onNet
    } else if (r.role === 'agent' || r.role === 'proxy') {
      node.cpu += cpu
      node.bytes += onNet
    }
  }
  node.rss = valueOf(model.rss.get('agent') as Fit, env)
  node.heap = valueOf(model.heap.get('agent') as Fit, env)
  node.proxyRss = valueOf(model.rss.get('proxy') as Fit, env)
  node.proxyHeap = valueOf(model.heap.get('proxy') as Fit, env)
  core.rss = valueOf(model.rss.get('core') as Fit, env)
  core.heap = valueOf(model.heap.get('core') as Fit, env)
  const times = new Map<string, number>()
  for (const [what, f] of model.times) times.set(what, valueOf(f, env))
  const events: Sums['events'] = []
  for (const e of model.events) events.push({ what: e.what, bytes: valueOf(e.bytes, env) })
  return { rows, value, slots, records, answer, node, core, times, events }
}
