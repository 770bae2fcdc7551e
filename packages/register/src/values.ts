import { readAs } from '@claynotch/base'
import { compareBallots, type Ballot } from './ballot.js'
import { applyDeltas } from './delta.js'
import type { RegisterValue } from './register-store.js'
import { Deltas, RegisterValueCodec as ValueShape } from './messages.js'

/** A value that is known, and the ballot that names it: of one ballot and register there is one value. */
export type HeldValue = { ballot: Ballot; value: RegisterValue }

/**
 * The value that an answer or a push stands for, to one who holds this: the same, what deltas make of it, or one told whole.
 * Undefined: it builds on something else, or doesn't fit.
 */
export function resolveValue(told: unknown, held: HeldValue | undefined): RegisterValue | undefined {
  const word = told as { ballot: Ballot; same?: true; value?: unknown }
  if (word.same === true) return held && compareBallots(held.ballot, word.ballot) === 0 ? held.value : undefined
  const deltas = readAs(Deltas, told)
  const value = deltas.ok ? builtOn(deltas.val, held) : word.value
  const got = readAs(ValueShape, value)
  return got.ok ? (got.val as RegisterValue) : undefined
}

function builtOn(told: Deltas, held: HeldValue | undefined): unknown {
  if (!held || compareBallots(held.ballot, told.base) !== 0) return undefined
  const got = applyDeltas(held.value, told.deltas)
  return got.ok ? got.val : undefined
}
