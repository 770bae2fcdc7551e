/**
 * Small scopes, enumerated exhaustively: two changes and two faults; each fault of a small list, at each machine whose
 * role differs, at each of several points of the change.
 */
import type { Action, FaultKind, Schedule } from './actions.js'

/** A fault without its start time and machine; `cut`: from all other machines, in both directions. */
type FaultSpec = { kind: FaultKind | 'cut'; long: number }
const FAULT_SPECS: FaultSpec[] = [
  { kind: 'kill', long: 200 },
  { kind: 'wipe', long: 200 },
  { kind: 'freeze', long: 1500 },
  { kind: 'cut', long: 1500 },
]
const ALL_OTHER_MACHINES = 2 ** 16 - 1

/** The parameters of one scope; times in milliseconds. */
type Scope = {
  spares: number
  /** Orders sent, and completed, before the first action. */
  before: number
  /** Actions before the faults. */
  prelude: Action[]
  /** Machines that may fail. */
  machines: number[]
  /** When the first fault may start, counted from the last action of the prelude. */
  points: number[]
  /** Possible times between the starts of the two faults. */
  pauses: number[]
}

/** Two operators race for one epoch among three voters; the points lie in the two rounds, a message or write apart. */
const ROUND: Scope = {
  spares: 0,
  before: 1,
  prelude: [{ wait: 0, kind: 'race', machine: 0, other: 1, gap: 1 }],
  machines: [0, 1, 2],
  points: [0, 1, 2, 3, 4, 5, 6, 7],
  pauses: [0, 2, 500],
}
/** Three founders add two more machines: the first membership change, with an order in progress. */
const GROWTH: Scope = {
  spares: 2,
  before: 0,
  prelude: [{ wait: 0, kind: 'order', machine: 0, stale: false, gap: 1, again: 1 }],
  machines: [0, 1, 3],
  points: [0, 300, 500, 600, 700, 800, 900, 1000, 1200, 1600],
  pauses: [0, 120, 1300],
}
/** A voter is removed and an empty machine added; the points lie before, during and after the replacement. */
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

function actionOf(fault: FaultSpec, machine: number, wait: number): Action {
  const { kind, long } = fault
  return kind === 'cut'
    ? { wait, kind, machine, others: ALL_OTHER_MACHINES, way: 'both', long }
    : { wait, kind, machine, long }
}

/** Every schedule of a scope: the first fault at each point, the second after each pause. */
export function schedulesOf(name: string): Schedule[] {
  const scope = SCOPES.get(name)
  if (!scope) throw new Error(`no scope is named ${name}`)
  const schedules: Schedule[] = []
  for (const point of scope.points)
    for (const pause of scope.pauses)
      for (const first of FAULT_SPECS)
        for (const firstMachine of scope.machines)
          for (const second of FAULT_SPECS)
            for (const secondMachine of scope.machines) {
              const faults = [actionOf(first, firstMachine, point), actionOf(second, secondMachine, pause)]
              const lastOrder: Action = { wait: 30, kind: 'order', machine: 2, stale: false, gap: 1, again: 1 }
              const actions = [...scope.prelude, ...faults, lastOrder]
              const seed = schedules.length + 1
              schedules.push({ seed, seeds: 3, spares: scope.spares, pad: 0, before: scope.before, actions })
            }
  return schedules
}
