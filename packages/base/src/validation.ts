import * as t from 'io-ts'
import { Ok, Err, type Result } from './result.js'

/** What is wrong, and where (a JSON pointer, a flag or a file). */
export type Finding = { place: string; what: string }

/** The JSON pointer to the value that a context describes. */
function jsonPointer(context: t.Context): string {
  let path = ''
  for (const entry of context.slice(1)) {
    // Steps that io-ts adds for the parts of an intersection or union do not exist in the document.
    if (entry.key === '') continue
    path += `/${entry.key.replace(/~/g, '~0').replace(/\//g, '~1')}`
  }
  return path
}

/** Indexes of the context's entries that stand for a part of an intersection or union. */
function internalSteps(context: t.Context): Set<number> {
  const steps = new Set<number>()
  for (let index = 1; index < context.length; index++) {
    const type = context[index - 1].type as unknown as { _tag?: string }
    if (type._tag === 'IntersectionType' || type._tag === 'UnionType') steps.add(index)
  }
  return steps
}

/** Describes a value in a finding. Lists and objects are not quoted, as they may contain secrets. */
function describeValue(value: unknown): string {
  if (value === undefined) return 'nothing'
  if (Array.isArray(value)) return 'a list'
  if (value !== null && typeof value === 'object') return 'an object'
  return JSON.stringify(value).slice(0, 60)
}

/** Decodes a value; on failure all findings come back at once, each with its place. Unknown fields are ignored. */
export function readAs<T>(codec: t.Type<T, unknown, unknown>, value: unknown): Result<T, Finding[]> {
  const decoded = codec.decode(value)
  if (decoded._tag === 'Right') return Ok(decoded.right)
  const seen = new Set<string>()
  const findings: Finding[] = []
  for (const failure of decoded.left) {
    const skipped = internalSteps(failure.context)
    const kept: t.ContextEntry[] = []
    for (let index = 0; index < failure.context.length; index++)
      if (!skipped.has(index)) kept.push(failure.context[index])
    const place = jsonPointer(kept)
    const lastStep = failure.context[failure.context.length - 1]
    const what = failure.message ?? `expected ${lastStep.type.name}, got ${describeValue(failure.value)}`
    const findingKey = `${place} ${what}`
    if (!seen.has(findingKey)) {
      seen.add(findingKey)
      findings.push({ place, what })
    }
  }
  return Err(findings)
}

/** Findings for fields that the codec does not know, at any depth of the plain objects and arrays that it describes. */
export function unknownFields(codec: t.Mixed, value: unknown, place = ''): Finding[] {
  const tag = (codec as unknown as { _tag: string })._tag
  if (value === null || typeof value !== 'object') return []
  if (tag === 'RefinementType' || tag === 'ReadonlyType')
    return unknownFields((codec as unknown as { type: t.Mixed }).type, value, place)
  const findings: Finding[] = []
  if (tag === 'ArrayType') {
    if (Array.isArray(value))
      for (const [index, item] of value.entries())
        findings.push(...unknownFields((codec as unknown as { type: t.Mixed }).type, item, `${place}/${index}`))
    return findings
  }
  const props = propsOf(codec)
  if (!props || Array.isArray(value)) return findings
  // eslint-disable-next-line no-restricted-syntax -- iterates over a JSON document as received
  for (const [name, fieldValue] of Object.entries(value)) {
    const fieldCodec = props.get(name)
    if (!fieldCodec) findings.push({ place: `${place}/${name}`, what: 'unknown field' })
    else findings.push(...unknownFields(fieldCodec, fieldValue, `${place}/${name}`))
  }
  return findings
}

/** The fields of an object codec or of an intersection of them; undefined for other codecs. */
function propsOf(codec: t.Mixed): Map<string, t.Mixed> | undefined {
  const codecParts = codec as unknown as { _tag: string; props?: object; types?: t.Mixed[] }
  const fields = new Map<string, t.Mixed>()
  if (codecParts._tag === 'InterfaceType' || codecParts._tag === 'PartialType') {
    // eslint-disable-next-line no-restricted-syntax -- io-ts keeps its props in an object
    for (const [name, fieldCodec] of Object.entries(codecParts.props as object)) fields.set(name, fieldCodec as t.Mixed)
    return fields
  }
  if (codecParts._tag === 'IntersectionType') {
    for (const part of codecParts.types ?? [])
      for (const [name, fieldCodec] of propsOf(part) ?? []) fields.set(name, fieldCodec)
    return fields
  }
  return undefined
}

/** Decodes a value like readAs(), and reports unknown fields too. */
export function readStrict<T>(codec: t.Type<T, unknown, unknown>, value: unknown): Result<T, Finding[]> {
  const decoded = readAs(codec, value)
  const unknownFindings = unknownFields(codec as unknown as t.Mixed, value)
  if (decoded.err) return Err([...decoded.val, ...unknownFindings])
  return unknownFindings.length > 0 ? Err(unknownFindings) : decoded
}

function isName(value: unknown): value is string {
  return typeof value === 'string' && /^[a-z0-9][a-z0-9_.-]{0,62}$/i.test(value)
}
function makeCodec<T>(name: string, isValid: (value: unknown) => value is T): t.Type<T, T, unknown> {
  function validate(value: unknown, context: t.Context): t.Validation<T> {
    return isValid(value) ? t.success(value) : t.failure(value, context)
  }
  return new t.Type<T, T, unknown>(name, isValid, validate, t.identity)
}
export const Name = makeCodec('a name (letters, digits, . _ -; at most 63)', isName)

function isAddress(value: unknown): value is string {
  if (typeof value !== 'string') return false
  const match = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/.exec(value)
  if (!match) return false
  for (let index = 1; index <= 4; index++) if (Number(match[index]) > 255) return false
  return Number(match[5]) > 0 && Number(match[5]) < 65536
}
export const AddressCodec = makeCodec('an address like 10.0.0.1:7000 (IP number and port)', isAddress)

function isCount(value: unknown): value is number {
  return Number.isInteger(value) && (value as number) >= 1 && (value as number) <= 1e6
}
export const Count = makeCodec('a whole number from 1 to 1000000', isCount)
function isWholeNumber(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}
export const WholeNumber = makeCodec('a whole number from 0', isWholeNumber)
function isDurationMs(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0 && value <= 86400000
}
export const DurationMs = makeCodec('milliseconds from 0 to 86400000', isDurationMs)
