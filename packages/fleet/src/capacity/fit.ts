import { fcnnlsVector } from 'ml-fcnnls'
import { Matrix } from 'ml-matrix'
import { type Env, featureOf } from './features.js'

// Fits of measured values to terms: least squares with no term below zero.

export type Fit = { names: string[]; by: number[]; points: number; most: number; r2: number }

// Least squares with no term below zero, each point weighed by its own size so that small fleets count as large ones do.
export function fit(names: string[], list: { env: Env; y: number }[]): Fit {
  let top = 0
  for (const p of list) top = Math.max(top, Math.abs(p.y))
  if (top === 0 || list.length === 0) return { names, by: names.map(zero), points: list.length, most: 0, r2: 1 }
  const scales: number[] = []
  for (const name of names) {
    let most = 0
    for (const p of list) most = Math.max(most, featureOf(name, p.env))
    scales.push(most > 0 ? most : 1)
  }
  const rows: number[][] = []
  const ys: number[] = []
  for (const p of list) {
    const weight = 1 / (Math.abs(p.y) + 0.05 * top)
    rows.push(names.map(scaled))
    ys.push(p.y * weight)
    function scaled(name: string, k: number): number {
      return (featureOf(name, p.env) / scales[k]) * weight
    }
  }
  const got = fcnnlsVector(new Matrix(rows), ys).K.to1DArray()
  const by: number[] = []
  for (const [k, v] of got.entries()) by.push(Math.max(0, v) / scales[k])
  const out: Fit = { names, by, points: list.length, most: 0, r2: 1 }
  let mean = 0
  for (const p of list) mean += p.y / list.length
  let rest = 0
  let all = 0
  for (const p of list) {
    const guess = valueOf(out, p.env)
    rest += (guess - p.y) ** 2
    all += (p.y - mean) ** 2
    if (Math.abs(p.y) > 0.1 * top) out.most = Math.max(out.most, Math.abs(guess - p.y) / Math.abs(p.y))
  }
  out.r2 = all > 0 ? 1 - rest / all : 1
  return out
}

function zero(): number {
  return 0
}

export function valueOf(f: Fit, env: Env): number {
  let sum = 0
  for (const [k, name] of f.names.entries()) sum += f.by[k] * featureOf(name, env)
  return sum
}
