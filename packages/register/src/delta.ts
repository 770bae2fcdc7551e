import { MAX_DELTA_DEPTH, MAX_DELTA_ITEMS, encode, Err, Ok, type Result } from '@claynotch/base'
import * as t from 'io-ts'

/**
 * What changed between two values of a register, as plain data: for links, for the data file, and for feeds.
 *
 * Invariants: applyDelta(base, makeDelta(base, next)) deep-equals next; neither reads anything but its arguments, and neither
 * changes them (parts that stayed are shared with the base, so nobody may change a value in place); a delta that doesn't fit
 * the base is refused and gives nothing.
 */

/** Fields of an object that were set and that went. */
export type FieldsDelta = { set: [string, Delta][]; removed: string[] }
/** An array put together anew from runs of the base's items, items that are new, and items of the base that changed. */
export type ItemsDelta = { runs: Run[] }
export type Run = { from: number; count: number } | { insert: unknown[] } | { at: number; delta: Delta }
/** The part as it is now, whatever it was. */
export type WholeDelta = { whole: unknown }
export type Delta = FieldsDelta | ItemsDelta | WholeDelta

type Plain = { [Symbol.toStringTag]?: undefined }

function isPlain(x: unknown): x is Plain {
  if (typeof x !== 'object' || x === null || Array.isArray(x)) return false
  return Object.getPrototypeOf(x) === Object.prototype
}
// The fields of data whose shape isn't known here: a value's body is any plain data.
function fieldNames(x: object): string[] {
  const out: string[] = []
  for (const name of Reflect.ownKeys(x)) if (typeof name === 'string') out.push(name)
  return out
}
function has(x: object, name: string): boolean {
  return Object.prototype.hasOwnProperty.call(x, name)
}
function fieldOf(x: object, name: string): unknown {
  return Reflect.get(x, name)
}
// A field of this name can't be set like another.
function isUnsafe(name: string): boolean {
  return name === '__proto__'
}

/** Whether two pieces of plain data are alike in every field. */
export function isAlike(a: unknown, b: unknown, depth = 0): boolean {
  if (Object.is(a, b)) return true
  if (depth > MAX_DELTA_DEPTH) return false
  if (Array.isArray(a) && Array.isArray(b)) {
    if (a.length !== b.length) return false
    for (let k = 0; k < a.length; k++) if (!isAlike(a[k], b[k], depth + 1)) return false
    return true
  }
  if (!isPlain(a) || !isPlain(b)) return false
  const names = fieldNames(a)
  if (names.length !== fieldNames(b).length) return false
  for (const name of names) {
    if (!has(b, name)) return false
    if (!isAlike(fieldOf(a, name), fieldOf(b, name), depth + 1)) return false
  }
  return true
}

function diffFields(base: Plain, next: Plain, depth: number): Delta {
  const set: [string, Delta][] = []
  const removed: string[] = []
  for (const name of fieldNames(base)) if (!has(next, name)) removed.push(name)
  for (const name of fieldNames(next)) {
    if (isUnsafe(name)) return { whole: next }
    const now = fieldOf(next, name)
    if (!has(base, name)) set.push([name, { whole: now }])
    else if (!isAlike(fieldOf(base, name), now)) set.push([name, diff(fieldOf(base, name), now, depth + 1)])
  }
  return { set, removed }
}

function nameOf(item: unknown): string | undefined {
  if (!isPlain(item) || !has(item, 'name')) return undefined
  const name = fieldOf(item, 'name')
  return typeof name === 'string' ? name : undefined
}

// Where the items of the base stand: by their text, and by their name where they have one.
type Places = { texts: Map<string, number[]>; names: Map<string, number> }
function placesOf(base: unknown[]): Places {
  const texts = new Map<string, number[]>()
  const names = new Map<string, number>()
  for (const [at, item] of base.entries()) {
    const text = JSON.stringify(item) ?? ''
    const list = texts.get(text)
    if (list) list.push(at)
    else texts.set(text, [at])
    const name = nameOf(item)
    if (name !== undefined && !names.has(name)) names.set(name, at)
  }
  return { texts, names }
}

function diffItems(base: unknown[], next: unknown[], depth: number): Delta {
  if (next.length > MAX_DELTA_ITEMS) return { whole: next }
  const runs: Run[] = []
  // expected: the base's item that would go on with the last run.
  let expected = 0
  let places: Places | undefined
  function find(item: unknown): number | undefined {
    if (expected < base.length && isAlike(base[expected], item)) return expected
    places ??= placesOf(base)
    for (const at of places.texts.get(JSON.stringify(item) ?? '') ?? []) if (isAlike(base[at], item)) return at
    return undefined
  }
  function copy(at: number): void {
    const last = runs[runs.length - 1]
    if (last && 'count' in last && last.from + last.count === at) last.count++
    else runs.push({ from: at, count: 1 })
    expected = at + 1
  }
  function insert(item: unknown): void {
    const last = runs[runs.length - 1]
    if (last && 'insert' in last) last.insert.push(item)
    else runs.push({ insert: [item] })
  }
  for (const item of next) {
    const at = find(item)
    if (at !== undefined) {
      copy(at)
      continue
    }
    const name = nameOf(item)
    const same = name === undefined ? undefined : (places as Places | undefined)?.names.get(name)
    if (same === undefined) insert(item)
    else {
      runs.push({ at: same, delta: diff(base[same], item, depth + 1) })
      expected = same + 1
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

/** What makes next of base; undefined where that isn't smaller than next itself. */
export function makeDelta(base: unknown, next: unknown): Delta | undefined {
  const delta = diff(base, next, 0)
  return encodedSizeOf(delta) < encodedSizeOf(next) ? delta : undefined
}

/** How many bytes this is on a link and on disk. */
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
function isSetting(x: unknown, depth: number): boolean {
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
  for (const one of set) if (!isSetting(one, depth)) return false
  return true
}

function is(x: unknown): x is Delta {
  return isDelta(x, 0)
}
function validate(x: unknown, context: t.Context): t.Validation<Delta> {
  return is(x) ? t.success(x) : t.failure(x, context)
}
/** A delta as it comes over a link or from a file. */
export const Delta = new t.Type<Delta, Delta, unknown>('Delta', is, validate, t.identity)

// left: how many items may still be put together, so that a short delta can't ask for endless arrays.
type Budget = { left: number }

function applyFields(base: unknown, delta: FieldsDelta, budget: Budget, depth: number): Result<unknown, string> {
  if (!isPlain(base)) return Err('fields of what is no object')
  const out = { ...base }
  for (const name of delta.removed) {
    if (!has(base, name)) return Err('a field to remove is not there')
    Reflect.deleteProperty(out, name)
  }
  for (const [name, inner] of delta.set) {
    if (isUnsafe(name)) return Err('a field of that name is not set')
    const got = apply(has(base, name) ? fieldOf(base, name) : undefined, inner, budget, depth + 1)
    if (got.err) return got
    Reflect.set(out, name, got.val)
  }
  return Ok(out)
}

function applyItems(base: unknown, delta: ItemsDelta, budget: Budget, depth: number): Result<unknown, string> {
  if (!Array.isArray(base)) return Err('items of what is no array')
  const out: unknown[] = []
  for (const run of delta.runs) {
    budget.left -= 'count' in run ? run.count : 'insert' in run ? run.insert.length : 1
    if (budget.left < 0) return Err('too many items')
    if ('insert' in run) {
      for (const item of run.insert) out.push(item)
      continue
    }
    if ('delta' in run) {
      if (run.at >= base.length) return Err('an item beyond the end of the base')
      const got = apply(base[run.at], run.delta, budget, depth + 1)
      if (got.err) return got
      out.push(got.val)
      continue
    }
    if (run.from + run.count > base.length) return Err('a run beyond the end of the base')
    for (let k = 0; k < run.count; k++) out.push(base[run.from + k])
  }
  return Ok(out)
}

function apply(base: unknown, delta: Delta, budget: Budget, depth: number): Result<unknown, string> {
  if (depth > MAX_DELTA_DEPTH) return Err('nested too deep')
  if ('whole' in delta) return Ok(delta.whole)
  return 'runs' in delta ? applyItems(base, delta, budget, depth) : applyFields(base, delta, budget, depth)
}

/** The value that the delta makes of the base; an error, and nothing applied, where it doesn't fit it. */
export function applyDelta(base: unknown, delta: Delta): Result<unknown, string> {
  if (!is(delta)) return Err('not a delta')
  return apply(base, delta, { left: MAX_DELTA_ITEMS }, 0)
}

/** The same for several deltas, each on what the one before it made. */
export function applyDeltas(base: unknown, deltas: Delta[]): Result<unknown, string> {
  let now = base
  for (const delta of deltas) {
    const got = applyDelta(now, delta)
    if (got.err) return got
    now = got.val
  }
  return Ok(now)
}
