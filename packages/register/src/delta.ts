import { MAX_DELTA_DEPTH, MAX_DELTA_ITEMS, encode, Err, Ok, type Result } from '@claynotch/base'
import * as t from 'io-ts'

/**
 * Differences between two values of a register, as plain data: for links, for the data file and for proxy feeds.
 *
 * Invariants: applyDelta(base, makeDelta(base, next)) deep-equals next; both functions are pure and don't modify their
 * arguments (unchanged parts are shared with the base, so a value must never be modified in place); a delta that
 * doesn't fit the base is rejected as a whole.
 */

/** An object's fields that were set or removed. */
export type FieldsDelta = { set: [string, Delta][]; removed: string[] }
/** An array assembled from runs of items of the base, new items, and changed items of the base. */
export type ItemsDelta = { runs: ItemRun[] }
/** from, at: indices into the base. */
export type ItemRun = { from: number; count: number } | { insert: unknown[] } | { at: number; delta: Delta }
/** The new content of this part, whatever it was before. */
export type WholeDelta = { whole: unknown }
export type Delta = FieldsDelta | ItemsDelta | WholeDelta

type Plain = { [Symbol.toStringTag]?: undefined }

function isPlain(x: unknown): x is Plain {
  if (typeof x !== 'object' || x === null || Array.isArray(x)) return false
  return Object.getPrototypeOf(x) === Object.prototype
}
/** The field names of an object of unknown shape: the body of a value may be any plain data. */
function fieldNames(x: object): string[] {
  const names: string[] = []
  for (const name of Reflect.ownKeys(x)) if (typeof name === 'string') names.push(name)
  return names
}
function has(x: object, name: string): boolean {
  return Object.prototype.hasOwnProperty.call(x, name)
}
function fieldOf(x: object, name: string): unknown {
  return Reflect.get(x, name)
}
/** Whether assigning a field of this name would change the object's prototype. */
function isUnsafe(name: string): boolean {
  return name === '__proto__'
}

/** Deep equality of plain data; parts nested deeper than MAX_DELTA_DEPTH are equal only if they are identical. */
export function isDeepEqual(a: unknown, b: unknown, depth = 0): boolean {
  if (Object.is(a, b)) return true
  if (depth > MAX_DELTA_DEPTH) return false
  if (Array.isArray(a) && Array.isArray(b)) {
    if (a.length !== b.length) return false
    for (let k = 0; k < a.length; k++) if (!isDeepEqual(a[k], b[k], depth + 1)) return false
    return true
  }
  if (!isPlain(a) || !isPlain(b)) return false
  const names = fieldNames(a)
  if (names.length !== fieldNames(b).length) return false
  for (const name of names) {
    if (!has(b, name)) return false
    if (!isDeepEqual(fieldOf(a, name), fieldOf(b, name), depth + 1)) return false
  }
  return true
}

function diffFields(base: Plain, next: Plain, depth: number): Delta {
  const set: [string, Delta][] = []
  const removed: string[] = []
  for (const name of fieldNames(base)) if (!has(next, name)) removed.push(name)
  for (const name of fieldNames(next)) {
    if (isUnsafe(name)) return { whole: next }
    const value = fieldOf(next, name)
    if (!has(base, name)) set.push([name, { whole: value }])
    else if (!isDeepEqual(fieldOf(base, name), value)) set.push([name, diff(fieldOf(base, name), value, depth + 1)])
  }
  return { set, removed }
}

function nameOf(item: unknown): string | undefined {
  if (!isPlain(item) || !has(item, 'name')) return undefined
  const name = fieldOf(item, 'name')
  return typeof name === 'string' ? name : undefined
}

/** Indices of the items of the base: by their JSON text, and by their name if they have one. */
type ItemIndex = { byText: Map<string, number[]>; byName: Map<string, number> }
function itemIndexOf(base: unknown[]): ItemIndex {
  const byText = new Map<string, number[]>()
  const byName = new Map<string, number>()
  for (const [index, item] of base.entries()) {
    const text = JSON.stringify(item) ?? ''
    const indices = byText.get(text)
    if (indices) indices.push(index)
    else byText.set(text, [index])
    const name = nameOf(item)
    if (name !== undefined && !byName.has(name)) byName.set(name, index)
  }
  return { byText, byName }
}

function diffItems(base: unknown[], next: unknown[], depth: number): Delta {
  if (next.length > MAX_DELTA_ITEMS) return { whole: next }
  const runs: ItemRun[] = []
  /** Index of the base item that would extend the last run. */
  let expectedIndex = 0
  let itemIndex: ItemIndex | undefined
  function findEqual(item: unknown): number | undefined {
    if (expectedIndex < base.length && isDeepEqual(base[expectedIndex], item)) return expectedIndex
    itemIndex ??= itemIndexOf(base)
    for (const index of itemIndex.byText.get(JSON.stringify(item) ?? '') ?? [])
      if (isDeepEqual(base[index], item)) return index
    return undefined
  }
  function copy(index: number): void {
    const lastRun = runs[runs.length - 1]
    if (lastRun && 'count' in lastRun && lastRun.from + lastRun.count === index) lastRun.count++
    else runs.push({ from: index, count: 1 })
    expectedIndex = index + 1
  }
  function insert(item: unknown): void {
    const lastRun = runs[runs.length - 1]
    if (lastRun && 'insert' in lastRun) lastRun.insert.push(item)
    else runs.push({ insert: [item] })
  }
  for (const item of next) {
    const equalIndex = findEqual(item)
    if (equalIndex !== undefined) {
      copy(equalIndex)
      continue
    }
    const name = nameOf(item)
    const namesakeIndex = name === undefined ? undefined : (itemIndex as ItemIndex | undefined)?.byName.get(name)
    if (namesakeIndex === undefined) insert(item)
    else {
      runs.push({ at: namesakeIndex, delta: diff(base[namesakeIndex], item, depth + 1) })
      expectedIndex = namesakeIndex + 1
    }
  }
  return { runs }
}

function diff(base: unknown, next: unknown, depth: number): Delta {
  if (depth >= MAX_DELTA_DEPTH) return { whole: next }
  if (Array.isArray(base) && Array.isArray(next)) return diffItems(base, next, depth)
  if (isPlain(base) && isPlain(next)) return diffFields(base, next, depth)
  return { whole: next }
}

/** The delta from base to next; undefined if it isn't smaller than next itself. */
export function makeDelta(base: unknown, next: unknown): Delta | undefined {
  const delta = diff(base, next, 0)
  return encodedSizeOf(delta) < encodedSizeOf(next) ? delta : undefined
}

/** Encoded size, as on a link and on disk. */
export function encodedSizeOf(x: unknown): number {
  return encode(x).length
}

function isCount(x: unknown): x is number {
  return typeof x === 'number' && Number.isSafeInteger(x) && x >= 0
}
function isRun(x: unknown, depth: number): boolean {
  if (!isPlain(x)) return false
  if (has(x, 'insert')) return Array.isArray(fieldOf(x, 'insert'))
  if (has(x, 'delta')) return isCount(fieldOf(x, 'at')) && isDelta(fieldOf(x, 'delta'), depth + 1)
  return isCount(fieldOf(x, 'from')) && isCount(fieldOf(x, 'count'))
}
function isFieldChange(x: unknown, depth: number): boolean {
  return Array.isArray(x) && x.length === 2 && typeof x[0] === 'string' && isDelta(x[1], depth + 1)
}
function isText(x: unknown): boolean {
  return typeof x === 'string'
}
function isDelta(x: unknown, depth: number): boolean {
  if (depth > MAX_DELTA_DEPTH || !isPlain(x)) return false
  if (has(x, 'whole')) return true
  if (has(x, 'runs')) {
    const runs = fieldOf(x, 'runs')
    if (!Array.isArray(runs)) return false
    for (const run of runs) if (!isRun(run, depth)) return false
    return true
  }
  const set = fieldOf(x, 'set')
  const removed = fieldOf(x, 'removed')
  if (!Array.isArray(set) || !Array.isArray(removed) || !removed.every(isText)) return false
  for (const change of set) if (!isFieldChange(change, depth)) return false
  return true
}

function is(x: unknown): x is Delta {
  return isDelta(x, 0)
}
function validate(x: unknown, context: t.Context): t.Validation<Delta> {
  return is(x) ? t.success(x) : t.failure(x, context)
}
/** Codec of a delta from a link or a file. */
export const Delta = new t.Type<Delta, Delta, unknown>('Delta', is, validate, t.identity)

/** left: the number of items that may still be produced; a short delta can't cause unbounded arrays. */
type Budget = { left: number }

function applyFields(base: unknown, delta: FieldsDelta, budget: Budget, depth: number): Result<unknown, string> {
  if (!isPlain(base)) return Err('the base of a fields delta is not an object')
  const fields = { ...base }
  for (const name of delta.removed) {
    if (!has(base, name)) return Err('a field to remove does not exist')
    Reflect.deleteProperty(fields, name)
  }
  for (const [name, inner] of delta.set) {
    if (isUnsafe(name)) return Err('a field of an unsafe name cannot be set')
    const applied = apply(has(base, name) ? fieldOf(base, name) : undefined, inner, budget, depth + 1)
    if (applied.err) return applied
    Reflect.set(fields, name, applied.val)
  }
  return Ok(fields)
}

function applyItems(base: unknown, delta: ItemsDelta, budget: Budget, depth: number): Result<unknown, string> {
  if (!Array.isArray(base)) return Err('the base of an items delta is not an array')
  const items: unknown[] = []
  for (const run of delta.runs) {
    budget.left -= 'count' in run ? run.count : 'insert' in run ? run.insert.length : 1
    if (budget.left < 0) return Err('too many items')
    if ('insert' in run) {
      for (const item of run.insert) items.push(item)
      continue
    }
    if ('delta' in run) {
      if (run.at >= base.length) return Err('an item index is beyond the end of the base')
      const applied = apply(base[run.at], run.delta, budget, depth + 1)
      if (applied.err) return applied
      items.push(applied.val)
      continue
    }
    if (run.from + run.count > base.length) return Err('a run extends beyond the end of the base')
    for (let k = 0; k < run.count; k++) items.push(base[run.from + k])
  }
  return Ok(items)
}

function apply(base: unknown, delta: Delta, budget: Budget, depth: number): Result<unknown, string> {
  if (depth > MAX_DELTA_DEPTH) return Err('the delta is nested too deeply')
  if ('whole' in delta) return Ok(delta.whole)
  return 'runs' in delta ? applyItems(base, delta, budget, depth) : applyFields(base, delta, budget, depth)
}

/** Applies a delta to its base. An error if the delta doesn't fit the base; nothing is applied then. */
export function applyDelta(base: unknown, delta: Delta): Result<unknown, string> {
  if (!is(delta)) return Err('not a delta')
  return apply(base, delta, { left: MAX_DELTA_ITEMS }, 0)
}

/** Applies several deltas in order, each to the result of the one before. */
export function applyDeltas(base: unknown, deltas: Delta[]): Result<unknown, string> {
  let value = base
  for (const delta of deltas) {
    const applied = applyDelta(value, delta)
    if (applied.err) return applied
    value = applied.val
  }
  return Ok(value)
}
