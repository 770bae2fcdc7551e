/** Schedules of the model test of control, as fast-check draws and shrinks them. */
import fc from 'fast-check'
import { FAULTS, WAYS, type Action, type Schedule } from '../controlmodel.js'

const MACHINES = 8
/** Milliseconds between two actions: some hit one round in its middle, some let a replacement begin. */
const wait = fc.oneof(
  { weight: 4, arbitrary: fc.integer({ min: 0, max: 12 }) },
  { weight: 3, arbitrary: fc.integer({ min: 0, max: 1500 }) },
  { weight: 2, arbitrary: fc.integer({ min: 0, max: 14000 }) },
)
/** Milliseconds that a fault lasts: shorter than a lease, longer than one, or longer than a voter is waited for. */
const long = fc.oneof(
  { weight: 3, arbitrary: fc.integer({ min: 1, max: 2500 }) },
  { weight: 2, arbitrary: fc.integer({ min: 1, max: 6000 }) },
  { weight: 2, arbitrary: fc.integer({ min: 1, max: 25000 }) },
)
const machine = fc.nat(MACHINES - 1)
const gap = fc.integer({ min: 1, max: 3 })

const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      wait,
      kind: fc.constant('order' as const),
      machine,
      stale: fc.boolean(),
      gap,
      again: fc.nat(2),
    }),
  },
  { weight: 3, arbitrary: fc.record({ wait, kind: fc.constant('race' as const), machine, other: machine, gap }) },
  { weight: 6, arbitrary: fc.record({ wait, kind: fc.constantFrom(...FAULTS), machine, long }) },
  {
    weight: 3,
    arbitrary: fc.record({
      wait,
      kind: fc.constant('cut' as const),
      machine,
      others: fc.nat(2 ** (MACHINES + 1) - 1),
      way: fc.constantFrom(...WAYS),
      long,
    }),
  },
  { weight: 1, arbitrary: fc.record({ wait, kind: fc.constant('blackout' as const), long }) },
  {
    weight: 1,
    arbitrary: fc.record({ wait, kind: fc.constant('loss' as const), share: fc.constantFrom(0.05, 0.2), long }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ wait, kind: fc.constant('clock' as const), machine, step: fc.integer({ min: 1, max: 90 }) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      wait,
      kind: fc.constant('front' as const),
      fault: fc.constantFrom('kill' as const, 'freeze' as const, 'clock' as const),
      long,
    }),
  },
  { weight: 2, arbitrary: fc.record({ wait, kind: fc.constant('add' as const) }) },
  { weight: 3, arbitrary: fc.record({ wait, kind: fc.constant('remove' as const), machine }) },
)

/** Schedules over three to five seeds and up to two further machines, of up to `most` actions. */
export function schedules(most: number): fc.Arbitrary<Schedule> {
  return fc.record({
    seed: fc.noShrink(fc.integer({ min: 1, max: 1_000_000 })),
    seeds: fc.integer({ min: 3, max: 5 }),
    spares: fc.nat(2),
    pad: fc.oneof({ weight: 4, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.constant(150_000) }),
    before: fc.oneof({ weight: 3, arbitrary: fc.nat(3) }, { weight: 1, arbitrary: fc.nat(40) }),
    actions: fc.array(action, { minLength: 1, maxLength: most, size: 'max' }),
  })
}
