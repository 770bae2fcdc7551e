// Counters and gauges of one process, written out as Prometheus text.
// Invariant: a counter never goes down within a process's life.
export type Labels = [string, string][]
export type Numbers = {
  add: (name: string, labels?: Labels, by?: number) => void
  set: (name: string, labels: Labels, to: number) => void
  get: (name: string, labels?: Labels) => number
  sum: (name: string) => number
  text: () => string
}

function key(name: string, labels: Labels): string {
  if (labels.length === 0) return name
  let out = ''
  for (const [k, v] of labels) out += `${out === '' ? '' : ','}${k}="${v.replace(/["\\\n]/g, '_')}"`
  return `${name}{${out}}`
}

export function makeNumbers(): Numbers {
  const all = new Map<string, number>()
  const kinds = new Map<string, string>()
  function add(name: string, labels: Labels = [], by = 1): void {
    const k = key(name, labels)
    kinds.set(name, 'counter')
    all.set(k, (all.get(k) ?? 0) + by)
  }
  function set(name: string, labels: Labels, to: number): void {
    kinds.set(name, 'gauge')
    all.set(key(name, labels), to)
  }
  function get(name: string, labels: Labels = []): number {
    return all.get(key(name, labels)) ?? 0
  }
  function sum(name: string): number {
    let out = 0
    for (const [k, v] of all) if (k === name || k.startsWith(`${name}{`)) out += v
    return out
  }
  function text(): string {
    let out = ''
    const names = [...kinds.keys()].sort()
    for (const name of names) {
      out += `# TYPE ${name} ${kinds.get(name)}\n`
      for (const [k, v] of all) if (k === name || k.startsWith(`${name}{`)) out += `${k} ${v}\n`
    }
    return out
  }
  return { add, set, get, sum, text }
}
