import * as t from 'io-ts'
import { Ok, Err, type Result } from './result.js'

// A finding: what is wrong, and where (a JSON pointer, a flag or a file).
export type Finding = { place: string; what: string }

function pointer(context: t.Context): string {
  let out = ''
  for (const entry of context.slice(1)) {
    // Steps that io-ts adds for the parts of an intersection or union have no place in the document.
    if (entry.key === '') continue
    out += `/${entry.key.replace(/~/g, '~0').replace(/\//g, '~1')}`
  }
  return out
}

function needless(context: t.Context): Set<number> {
  const skip = new Set<number>()
  for (let k = 1; k < context.length; k++) {
    const type = context[k - 1].type as unknown as { _tag?: string }
    if (type._tag === 'IntersectionType' || type._tag === 'UnionType') skip.add(k)
  }
  return skip
}

/** Lists and objects aren't quoted: they may hold what nobody is to be shown. */
function describeValue(value: unknown): string {
  if (value === undefined) return 'nothing'
  if (Array.isArray(value)) return 'a list'
  if (value !== null && typeof value === 'object') return 'an object'
  return JSON.stringify(value).slice(0, 60)
}

// Reads a value with a codec; all that is wrong comes back at once, each finding with its place.
export function readAs<T>(codec: t.Type<T, unknown, unknown>, value: unknown): Result<T, Finding[]> {
  const got = codec.decode(value)
  if (got._tag === 'Right') return Ok(got.right)
  const seen = new Set<string>()
  const out: Finding[] = []
  for (const e of got.left) {
    const skip = needless(e.context)
    const kept: t.ContextEntry[] = []
    for (let k = 0; k < e.context.length; k++) if (!skip.has(k)) kept.push(e.context[k])
    const place = pointer(kept)
    const last = e.context[e.context.length - 1]
    const what = e.message ?? `expected ${last.type.name}, got ${describeValue(e.value)}`
    const id = `${place} ${what}`
    if (!seen.has(id)) {
      seen.add(id)
      out.push({ place, what })
    }
  }
  return Err(out)
}

// Fields that the codec does not know, at any depth of plain objects that it describes.
export function unknownFields(shape: t.Mixed, value: unknown, place = ''): Finding[] {
  const tag = (shape as unknown as { _tag: string })._tag
  if (value === null || typeof value !== 'object') return []
  if (tag === 'RefinementType' || tag === 'ReadonlyType')
    return unknownFields((shape as unknown as { type: t.Mixed }).type, value, place)
  const out: Finding[] = []
  if (tag === 'ArrayType') {
    if (Array.isArray(value))
      for (const [k, one] of value.entries())
        out.push(...unknownFields((shape as unknown as { type: t.Mixed }).type, one, `${place}/${k}`))
    return out
  }
  const props = propsOf(shape)
  if (!props || Array.isArray(value)) return out
  // eslint-disable-next-line no-restricted-syntax -- walking a JSON document as it came
  for (const [name, one] of Object.entries(value)) {
    const inner = props.get(name)
    if (!inner) out.push({ place: `${place}/${name}`, what: 'unknown field' })
    else out.push(...unknownFields(inner, one, `${place}/${name}`))
  }
  return out
}

function propsOf(shape: t.Mixed): Map<string, t.Mixed> | undefined {
  const s = shape as unknown as { _tag: string; props?: object; types?: t.Mixed[] }
  const out = new Map<string, t.Mixed>()
  if (s._tag === 'InterfaceType' || s._tag === 'PartialType') {
    // eslint-disable-next-line no-restricted-syntax -- io-ts keeps its props in an object
    for (const [name, one] of Object.entries(s.props as object)) out.set(name, one as t.Mixed)
    return out
  }
  if (s._tag === 'IntersectionType') {
    for (const one of s.types ?? []) for (const [name, inner] of propsOf(one) ?? []) out.set(name, inner)
    return out
  }
  return undefined
}

export function readStrict<T>(codec: t.Type<T, unknown, unknown>, value: unknown): Result<T, Finding[]> {
  const got = readAs(codec, value)
  const extra = unknownFields(codec as unknown as t.Mixed, value)
  if (got.err) return Err([...got.val, ...extra])
  return extra.length > 0 ? Err(extra) : got
}

function isText(x: unknown): x is string {
  return typeof x === 'string' && /^[a-z0-9][a-z0-9_.-]{0,62}$/i.test(x)
}
function refine<T>(name: string, is: (x: unknown) => x is T): t.Type<T, T, unknown> {
  function validate(x: unknown, c: t.Context): t.Validation<T> {
    return is(x) ? t.success(x) : t.failure(x, c)
  }
  return new t.Type<T, T, unknown>(name, is, validate, t.identity)
}
export const Name = refine('a name (letters, digits, . _ -; at most 63)', isText)

function isAddr(x: unknown): x is string {
  if (typeof x !== 'string') return false
  const m = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/.exec(x)
  if (!m) return false
  for (let k = 1; k <= 4; k++) if (Number(m[k]) > 255) return false
  return Number(m[5]) > 0 && Number(m[5]) < 65536
}
export const AddressCodec = refine('an address like 10.0.0.1:7000 (IP number and port)', isAddr)

function isCount(x: unknown): x is number {
  return Number.isInteger(x) && (x as number) >= 1 && (x as number) <= 1e6
}
export const Count = refine('a whole number from 1 to 1000000', isCount)
function isWhole(x: unknown): x is number {
  return Number.isSafeInteger(x) && (x as number) >= 0
}
export const WholeNumber = refine('a whole number from 0', isWhole)
function isMs(x: unknown): x is number {
  return typeof x === 'number' && Number.isFinite(x) && x >= 0 && x <= 86400000
}
export const DurationMs = refine('milliseconds from 0 to 86400000', isMs)
