import { execFileSync } from 'node:child_process'
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { runHollow, showHollow, type HollowOptions, type HollowReport } from './hollow.js'

// One measured run, with the command that gave it and the commit it ran on.
export type Point = { command: string; commit: string; report: HollowReport }

// The runs from which the slopes are fitted: nodes, groups and lanes each at four sizes or more, alone and together.
type Plan = Partial<HollowOptions> & { nodes: number; groups: number; lanes: number }
export const matrix: Plan[] = [
  { nodes: 25, groups: 10, lanes: 30 },
  { nodes: 50, groups: 10, lanes: 30 },
  { nodes: 100, groups: 10, lanes: 30 },
  { nodes: 12, groups: 10, lanes: 30 },
  { nodes: 25, groups: 10, lanes: 30, per: 1 },
  { nodes: 25, groups: 30, lanes: 30 },
  { nodes: 25, groups: 80, lanes: 80, per: 5 },
  { nodes: 25, groups: 10, lanes: 300 },
  { nodes: 25, groups: 10, lanes: 1000 },
  { nodes: 25, groups: 10, lanes: 30, history: 100 },
  { nodes: 25, groups: 10, lanes: 30, history: 400 },
  { nodes: 50, groups: 40, lanes: 40 },
  { nodes: 100, groups: 30, lanes: 60 },
  { nodes: 150, groups: 10, lanes: 30, mute: true },
  { nodes: 200, groups: 10, lanes: 30, mute: true },
  { nodes: 12, groups: 10, lanes: 30, shares: 'slots' },
  { nodes: 25, groups: 10, lanes: 30, shares: 'slots' },
  { nodes: 50, groups: 10, lanes: 30, shares: 'slots' },
  { nodes: 36, groups: 10, lanes: 30, shares: 'slots' },
]

export function optionsOf(plan: Plan, seconds: number, out: (line: string) => void): HollowOptions {
  return {
    cores: 5,
    instances: 3,
    areas: 3,
    changes: 1,
    seed: 1,
    per: 25,
    shares: 'live',
    watch: 2,
    mute: false,
    history: 10,
    ...plan,
    seconds,
    out,
  }
}
export function commandOf(o: HollowOptions): string {
  return `fleet hollow --nodes ${o.nodes} --groups ${o.groups} --lanes ${o.lanes} --cores ${o.cores} --instances ${o.instances} --seconds ${o.seconds} --changes ${o.changes} --seed ${o.seed} --per ${o.per} --shares ${o.shares} --watch ${o.watch} --history ${o.history}${o.mute ? ' --mute' : ''}`
}
function commitNow(): string {
  try {
    return execFileSync('git', ['describe', '--always', '--dirty', '--abbrev=10', '--exclude', '*'], {
      encoding: 'utf8',
    }).trim()
  } catch {
    return 'unknown'
  }
}

export function readPoints(path: string): Point[] {
  return existsSync(path) ? (JSON.parse(readFileSync(path, 'utf8')) as Point[]) : []
}
// Four places are more than one run is good for, and keep the file readable.
function short(_name: string, value: unknown): unknown {
  return typeof value === 'number' && !Number.isInteger(value) ? Number(value.toPrecision(4)) : value
}
// A run of the same command takes the place of the one before.
export function keepPoint(path: string, point: Point): void {
  const list: Point[] = []
  for (const p of readPoints(path)) if (p.command !== point.command) list.push(p)
  list.push(point)
  const lines: string[] = []
  for (const p of list) lines.push(JSON.stringify(p, short))
  writeFileSync(path, `[\n${lines.join(',\n')}\n]\n`)
}

export async function runPoint(opt: HollowOptions, path: string): Promise<HollowReport> {
  const report = await runHollow(opt)
  keepPoint(path, { command: commandOf(opt), commit: commitNow(), report })
  return report
}

// The whole matrix, one run after another. A run that fails is told and left out.
export async function measure(
  path: string,
  seconds: number,
  only: string | undefined,
  out: (line: string) => void,
): Promise<number> {
  let failed = 0
  for (const plan of matrix) {
    const opt = optionsOf(plan, seconds, out)
    const command = commandOf(opt)
    if (only !== undefined && !command.includes(only)) continue
    out(command)
    try {
      const got = await runPoint(opt, path)
      out(showHollow(got).split('\n').slice(1, 3).join('\n'))
    } catch (e) {
      failed++
      out(`  failed: ${(e as Error).message}`)
    }
  }
  return failed
}
