/**
 * Small scopes, played out in full: two changes and two faults, each fault of a small list, at each machine that differs, at
 * each of several points of the change.
 */
import type { Action, FaultKind, Schedule } from './actions.js'

/** A fault without its time and machine; cut: from all others, both ways. */
type Trouble = { kind: FaultKind | 'cut'; long: number }
const TROUBLES: Trouble[] = [
  { kind: 'kill', long: 200 },
  { kind: 'wipe', long: 200 },
  { kind: 'freeze', long: 1500 },
  { kind: 'cut', long: 1500 },
]
const ALL_OTHERS = 2 ** 16 - 1

/** What is played out: the actions before the faults, the machines that may fail, the points, and the pauses between faults. */
type Scope = {
  spares: number
  before: number
  prelude: Action[]
  machines: number[]
  points: number[]
  pauses: number[]
}

/** Two operators race for one epoch among three voters; the points lie within the two rounds, one message or write apart. */
const ROUND: Scope = {
  spares: 0,
  before: 1,
  prelude: [{ wait: 0, kind: 'race', machine: 0, other: 1, gap: 1 }],
  machines: [0, 1, 2],
  points: [0, 1, 2, 3, 4, 5, 6, 7],
  pauses: [0, 2, 500],
}
/** Three founders take two more machines in: the first change of the set, with an order under way. */
const GROWTH: Scope = {
  spares: 2,
  before: 0,
  prelude: [{ wait: 0, kind: 'order', machine: 0, stale: false, gap: 1, again: 1 }],
  machines: [0, 1, 3],
  points: [0, 300, 500, 600, 700, 800, 900, 1000, 1200, 1600],
  pauses: [0, 120, 1300],
}
/** A voter goes for good and a fresh machine comes; the points lie before, in and after its replacement. */
const REPLACEMENT: Scope = {
  spares: 1,
  before: 12,
  prelude: [
    { wait: 3000, kind: 'remove', machine: 0 },
    { wait: 100, kind: 'add' },
    { wait: 0, kind: 'order', machine: 1, stale: false, gap: 1, again: 1 },
  ],
  machines: [0, 1, 3],
  points: [0, 1000, 2400, 2600, 2800, 3000, 3200, 3500, 4000, 5000],
  pauses: [0, 200, 1300],
}

/** The scopes by name. */
export const SCOPES = new Map<string, Scope>([
  ['round', ROUND],
  ['growth', GROWTH],
  ['replacement', REPLACEMENT],
])

function actionOf(trouble: Trouble, machine: number, wait: number): Action {
  const { kind, long } = trouble
  return kind === 'cut' ? { wait, kind, machine, others: ALL_OTHERS, way: 'both', long } : { wait, kind, machine, long }
}

/** Every schedule of a scope: the first trouble at each point, the second each pause later. */
export function schedulesOf(name: string): Schedule[] {
  const scope = SCOPES.get(name)
  if (!scope) throw new Error(`no scope is named ${name}`)
  const out: Schedule[] = []
  for (const point of scope.points)
    for (const pause of scope.pauses)
      for (const first of TROUBLES)
        for (const one of scope.machines)
          for (const second of TROUBLES)
            for (const other of scope.machines) {
              const troubles = [actionOf(first, one, point), actionOf(second, other, pause)]
              const after: Action = { wait: 30, kind: 'order', machine: 2, stale: false, gap: 1, again: 1 }
              const actions = [...scope.prelude, ...troubles, after]
              const seed = out.length + 1
              out.push({ seed, seeds: 3, spares: scope.spares, pad: 0, before: scope.before, actions })
            }
  return out
}
