import type * as t from 'io-ts'
import { readAs, readStrict, type Finding } from './validation.js'
import { SETTINGS_INTERVAL_MS } from './constants.js'
import { loop, type Signal, type Flag } from './waiting.js'
import type { World } from './world.js'
import { Ok, Err, type Result } from './result.js'

// Settings of one process: a JSON file, with flags that go before it. Lists in flags are parted by commas.
export type CommandLineFlags = [string, string][]

// How a settings file is written: JSON of ours, unless a source says otherwise. open: fields that we don't know are ignored.
export type SettingsFormat = { name: string; parse: (text: string) => unknown; open: boolean }
function parseJson(text: string): unknown {
  return JSON.parse(text)
}
const JSON_FORMAT: SettingsFormat = { name: 'JSON', parse: parseJson, open: false }

function parse(path: string, bytes: Uint8Array | undefined, format: SettingsFormat): Result<object, Finding[]> {
  if (!bytes) return Err([{ place: path, what: 'no such file' }])
  let value: unknown
  try {
    value = format.parse(Buffer.from(bytes).toString('utf8'))
  } catch (e) {
    return Err([{ place: path, what: `malformed ${format.name}: ${(e as Error).message}` }])
  }
  if (value === null || typeof value !== 'object' || Array.isArray(value))
    return Err([{ place: path, what: 'expected an object' }])
  return Ok(value)
}

export type SettingsSource<T> = {
  path: string | undefined
  flags: CommandLineFlags
  lists: string[]
  more?: (set: T) => Finding[]
  format?: SettingsFormat
}

export async function readSettings<T>(
  world: World,
  codec: t.Type<T, unknown, unknown>,
  from: SettingsSource<T>,
): Promise<Result<T, Finding[]>> {
  const all = new Map<string, unknown>()
  const format = from.format ?? JSON_FORMAT
  if (from.path !== undefined) {
    const got = parse(from.path, await world.disk.read(from.path), format)
    if (got.err) return got
    // eslint-disable-next-line no-restricted-syntax -- walking a JSON document as it came
    for (const [name, value] of Object.entries(got.val)) all.set(name, value)
  }
  for (const [name, text] of from.flags) all.set(name, from.lists.includes(name) ? text.split(',') : text)
  // eslint-disable-next-line no-restricted-syntax -- the codec reads a JSON document
  const read = (format.open ? readAs : readStrict)(codec, Object.fromEntries(all))
  const more = read.ok && from.more ? from.more(read.val) : []
  const got: Result<T, Finding[]> = more.length > 0 ? Err(more) : read
  if (got.ok) return got
  const out: Finding[] = []
  const flagged = new Set<string>()
  for (const [name] of from.flags) flagged.add(name)
  for (const f of got.val) {
    const name = f.place.split('/')[1] ?? ''
    const place = flagged.has(name) ? `--${name}` : from.path !== undefined ? `${from.path}${f.place}` : `--${name}`
    out.push({ place, what: f.what })
  }
  return Err(out)
}

// Reads a settings file again when it changed or when signalled (SIGHUP). A bad new file is told
// whole, and the old settings stay in force.
export function watchSettings<T>(
  world: World,
  codec: t.Type<T, unknown, unknown>,
  from: SettingsSource<T>,
  stop: Flag,
  signal: Signal,
  apply: (next: T) => void,
): void {
  const { path } = from
  if (path === undefined) return
  let last: string | undefined
  async function look(): Promise<void> {
    const bytes = await world.disk.read(path as string)
    const text = bytes ? Buffer.from(bytes).toString('utf8') : ''
    if (last === undefined) {
      last = text
      world.log.info('settings-watched', { path })
      return
    }
    if (text === last) return
    last = text
    const got = await readSettings(world, codec, from)
    if (got.err) {
      for (const f of got.val) world.log.error('settings-refused', { place: f.place, what: f.what })
      return
    }
    world.log.info('settings-read', { path })
    apply(got.val)
  }
  void loop(world, 'settings', SETTINGS_INTERVAL_MS, stop, look, signal)
}

export function formatFindings(findings: Finding[]): string {
  let out = ''
  for (const f of findings) out += `${f.place}: ${f.what}\n`
  return out
}
