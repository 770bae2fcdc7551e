import { createConsola } from 'consola/core'

// eslint-disable-next-line no-restricted-syntax -- fields of one log line, never looked up by name
export type Fields = { readonly [name: string]: unknown }
/** Structured log: an event name with fields. */
export type Log = {
  info: (event: string, fields?: Fields) => void
  warn: (event: string, fields?: Fields) => void
  error: (event: string, fields?: Fields) => void
  /** A log that adds these fields to every line. */
  with: (fields: Fields) => Log
}

function formatValue(value: unknown): string {
  const text =
    typeof value === 'string'
      ? value
      : typeof value === 'number'
        ? String(Math.round(value * 1000) / 1000)
        : (JSON.stringify(value) ?? 'none')
  return /^[\w.:/@+,-]+$/.test(text) ? text : quote(text)
}
/** Quotes a text so that it holds nothing that a terminal or a reader of lines may take for a line end or a command. */
function quote(text: string): string {
  return JSON.stringify(text).replace(UNPRINTABLE, escapeCharacter)
}
/** Characters that JSON leaves as they are: DEL, C1 controls, line and paragraph separators. */
const UNPRINTABLE = /[\u007f-\u009f\u2028\u2029]/g
function escapeCharacter(character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`
}

/** Formats one log line of key=value pairs; undefined fields are left out. */
export function formatLine(level: string, event: string, fields: Fields): string {
  let line = `level=${level} event=${event}`
  // eslint-disable-next-line no-restricted-syntax -- fields of one line, in the order given
  for (const [name, value] of Object.entries(fields)) if (value !== undefined) line += ` ${name}=${formatValue(value)}`
  return line
}

type LogSink = (level: string, line: string) => void

/** A log that passes each formatted line to the sink. */
export function logTo(sink: LogSink, baseFields: Fields = {}): Log {
  function info(event: string, fields: Fields = {}): void {
    sink('info', formatLine('info', event, { ...baseFields, ...fields }))
  }
  function warn(event: string, fields: Fields = {}): void {
    sink('warn', formatLine('warn', event, { ...baseFields, ...fields }))
  }
  function error(event: string, fields: Fields = {}): void {
    sink('error', formatLine('error', event, { ...baseFields, ...fields }))
  }
  function withFields(fields: Fields): Log {
    return logTo(sink, { ...baseFields, ...fields })
  }
  return { info, warn, error, with: withFields }
}

/** Writes one key=value line per event to stderr, through consola with a custom reporter. */
export function makeLog(baseFields: Fields = {}): Log {
  function log(entry: { args: unknown[] }): void {
    process.stderr.write(`time=${new Date().toISOString()} ${entry.args.join(' ')}\n`)
  }
  const consola = createConsola({ level: 4, reporters: [{ log }] })
  function sink(level: string, line: string): void {
    if (level === 'error') consola.error(line)
    else if (level === 'warn') consola.warn(line)
    else consola.info(line)
  }
  return logTo(sink, baseFields)
}
