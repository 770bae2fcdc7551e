/**
 * Counters and gauges of one process, exposed as Prometheus text.
 *
 * Invariant: a counter never decreases during the life of a process.
 */

/** Pairs of label name and value, in output order. */
export type Labels = [string, string][]

export type Metrics = {
  /** Increments a counter, by 1 unless given. */
  add: (name: string, labels?: Labels, increment?: number) => void
  /** Sets a gauge. */
  set: (name: string, labels: Labels, value: number) => void
  /** The value of one series, 0 if it does not exist. */
  get: (name: string, labels?: Labels) => number
  /** The sum of all series of this name over all labels. */
  sum: (name: string) => number
  /** All series as Prometheus text, sorted by name. */
  text: () => string
}

type Kind = 'counter' | 'gauge'

/** A series in Prometheus notation: its name, followed by its labels in braces. */
function seriesOf(name: string, labels: Labels): string {
  if (labels.length === 0) return name
  let labelText = ''
  for (const [label, value] of labels) {
    labelText += `${labelText === '' ? '' : ','}${label}="${value.replace(/["\\\n]/g, '_')}"`
  }
  return `${name}{${labelText}}`
}

function isSeriesOf(series: string, name: string): boolean {
  return series === name || series.startsWith(`${name}{`)
}

export function makeMetrics(): Metrics {
  const values = new Map<string, number>()
  const kinds = new Map<string, Kind>()

  function add(name: string, labels: Labels = [], increment = 1): void {
    const series = seriesOf(name, labels)
    kinds.set(name, 'counter')
    values.set(series, (values.get(series) ?? 0) + increment)
  }
  function set(name: string, labels: Labels, value: number): void {
    kinds.set(name, 'gauge')
    values.set(seriesOf(name, labels), value)
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
