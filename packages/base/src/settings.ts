import type * as t from 'io-ts'
import { readAs, readStrict, type Finding } from './validation.js'
import { SETTINGS_INTERVAL_MS } from './constants.js'
import { loop, type Signal, type Flag } from './waiting.js'
import type { World } from './world.js'
import { Ok, Err, type Result } from './result.js'

/** Command-line flags of one process, as name and value; they override its settings file. */
export type CommandLineFlags = [string, string][]

/** File format of settings, JSON by default. open: unknown fields are ignored instead of reported. */
export type SettingsFormat = { name: string; parse: (text: string) => unknown; open: boolean }
function parseJson(text: string): unknown {
  return JSON.parse(text)
}
const JSON_FORMAT: SettingsFormat = { name: 'JSON', parse: parseJson, open: false }

function parseSettings(path: string, bytes: Uint8Array | undefined, format: SettingsFormat): Result<object, Finding[]> {
  if (!bytes) return Err([{ place: path, what: 'no such file' }])
  let value: unknown
  try {
    value = format.parse(Buffer.from(bytes).toString('utf8'))
  } catch (error) {
    return Err([{ place: path, what: `malformed ${format.name}: ${(error as Error).message}` }])
  }
  if (value === null || typeof value !== 'object' || Array.isArray(value))
    return Err([{ place: path, what: 'expected an object' }])
  return Ok(value)
}

/** Where the settings of a process come from: a file and the flags that override it. */
export type SettingsSource<T> = {
  path: string | undefined
  flags: CommandLineFlags
  /** Flags whose values are lists separated by commas. */
  lists: string[]
  /** Further checks of decoded settings. */
  more?: (settings: T) => Finding[]
  format?: SettingsFormat
}

/** Reads and checks the settings; on failure all findings come back, each with its file or flag. */
export async function readSettings<T>(
  world: World,
  codec: t.Type<T, unknown, unknown>,
  source: SettingsSource<T>,
): Promise<Result<T, Finding[]>> {
  const document = new Map<string, unknown>()
  const format = source.format ?? JSON_FORMAT
  if (source.path !== undefined) {
    const parsed = parseSettings(source.path, await world.disk.read(source.path), format)
    if (parsed.err) return parsed
    // eslint-disable-next-line no-restricted-syntax -- iterates over a JSON document as received
    for (const [name, value] of Object.entries(parsed.val)) document.set(name, value)
  }
  for (const [name, text] of source.flags) document.set(name, source.lists.includes(name) ? text.split(',') : text)
  // eslint-disable-next-line no-restricted-syntax -- the codec decodes a JSON document
  const decoded = (format.open ? readAs : readStrict)(codec, Object.fromEntries(document))
  const furtherFindings = decoded.ok && source.more ? source.more(decoded.val) : []
  const result: Result<T, Finding[]> = furtherFindings.length > 0 ? Err(furtherFindings) : decoded
  if (result.ok) return result
  const findings: Finding[] = []
  const flagNames = new Set<string>()
  for (const [name] of source.flags) flagNames.add(name)
  for (const finding of result.val) {
    const name = finding.place.split('/')[1] ?? ''
    const place = flagNames.has(name)
      ? `--${name}`
      : source.path !== undefined
        ? `${source.path}${finding.place}`
        : `--${name}`
    findings.push({ place, what: finding.what })
  }
  return Err(findings)
}

/**
 * Watches a settings file for changes, every SETTINGS_INTERVAL_MS and when signalled (SIGHUP). All findings of an
 * invalid new file are logged, and the old settings stay in force.
 */
export function watchSettings<T>(
  world: World,
  codec: t.Type<T, unknown, unknown>,
  source: SettingsSource<T>,
  stop: Flag,
  signal: Signal,
  apply: (settings: T) => void,
): void {
  const { path } = source
  if (path === undefined) return
  let lastText: string | undefined
  async function reloadIfChanged(): Promise<void> {
    const bytes = await world.disk.read(path as string)
    const text = bytes ? Buffer.from(bytes).toString('utf8') : ''
    if (lastText === undefined) {
      lastText = text
      world.log.info('settings-watched', { path })
      return
    }
    if (text === lastText) return
    lastText = text
    const result = await readSettings(world, codec, source)
    if (result.err) {
      for (const finding of result.val)
        world.log.error('settings-refused', { place: finding.place, what: finding.what })
      return
    }
    world.log.info('settings-read', { path })
    apply(result.val)
  }
  void loop(world, 'settings', SETTINGS_INTERVAL_MS, stop, reloadIfChanged, signal)
}

/** One line of text for each finding. */
export function formatFindings(findings: Finding[]): string {
  let text = ''
  for (const finding of findings) text += `${finding.place}: ${finding.what}\n`
  return text
}
