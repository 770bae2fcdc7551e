/**
 * Counters and gauges of one process, written out as Prometheus text.
 * Invariant: a counter never goes down within a process's life.
 */

/** Pairs of a label's name and its value, in the order in which they are written. */
export type Labels = [string, string][]

export type Metrics = {
  /** Counts up. */
  add: (name: string, labels?: Labels, by?: number) => void
  /** Sets a gauge. */
  set: (name: string, labels: Labels, to: number) => void
  get: (name: string, labels?: Labels) => number
  /** The sum of all series of this name, whatever their labels. */
  sum: (name: string) => number
  /** All series as Prometheus text, by name. */
  text: () => string
}

type Kind = 'counter' | 'gauge'

/** A series as Prometheus writes it: its name, and its labels in braces. */
function seriesOf(name: string, labels: Labels): string {
  if (labels.length === 0) return name
  let list = ''
  for (const [label, value] of labels) {
    list += `${list === '' ? '' : ','}${label}="${value.replace(/["\\\n]/g, '_')}"`
  }
  return `${name}{${list}}`
}

function isSeriesOf(series: string, name: string): boolean {
  return series === name || series.startsWith(`${name}{`)
}

export function makeMetrics(): Metrics {
  const values = new Map<string, number>()
  const kinds = new Map<string, Kind>()

  function add(name: string, labels: Labels = [], by = 1): void {
    const series = seriesOf(name, labels)
    kinds.set(name, 'counter')
    values.set(series, (values.get(series) ?? 0) + by)
  }
  function set(name: string, labels: Labels, to: number): void {
    kinds.set(name, 'gauge')
    values.set(seriesOf(name, labels), to)
  }
  function get(name: string, labels: Labels = []): number {
    return values.get(seriesOf(name, labels)) ?? 0
  }
  function sum(name: string): number {
    let total = 0
    for (const [series, value] of values) if (isSeriesOf(series, name)) total += value
    return total
  }
  function text(): string {
    let lines = ''
    const names = [...kinds.keys()].sort()
    for (const name of names) {
      lines += `# TYPE ${name} ${kinds.get(name)}\n`
      for (const [series, value] of values) if (isSeriesOf(series, name)) lines += `${series} ${value}\n`
    }
    return lines
  }
  return { add, set, get, sum, text }
}
