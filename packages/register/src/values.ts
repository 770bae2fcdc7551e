import { readAs } from '@claynotch/base'
import { compareBallots, type Ballot } from './ballot.js'
import { applyDeltas } from './delta.js'
import type { RegisterValue } from './register-store.js'
import { Deltas, RegisterValueCodec } from './messages.js'

/** A known value and its ballot, which identifies it: a register has at most one value at each ballot. */
export type HeldValue = { ballot: Ballot; value: RegisterValue }

/**
 * The value that an answer or a push stands for, if the receiver holds this value: the same value, deltas applied to
 * it, or a whole value. undefined: the deltas have another base, or the message is invalid.
 */
export function resolveValue(message: unknown, held: HeldValue | undefined): RegisterValue | undefined {
  const content = message as { ballot: Ballot; same?: true; value?: unknown }
  if (content.same === true) return held && compareBallots(held.ballot, content.ballot) === 0 ? held.value : undefined
  const deltas = readAs(Deltas, message)
  const value = deltas.ok ? applyToHeld(deltas.val, held) : content.value
  const decoded = readAs(RegisterValueCodec, value)
  return decoded.ok ? (decoded.val as RegisterValue) : undefined
}

/** Applies deltas to the held value; undefined if it isn't their base or they don't fit it. */
function applyToHeld(message: Deltas, held: HeldValue | undefined): unknown {
  if (!held || compareBallots(held.ballot, message.base) !== 0) return undefined
  const applied = applyDeltas(held.value, message.deltas)
  return applied.ok ? applied.val : undefined
}
