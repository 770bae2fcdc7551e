import { createConsola } from 'consola/core'

export type Fields = { readonly [name: string]: unknown } // eslint-disable-line no-restricted-syntax -- the fields of one log line, never looked up
export type Log = {
  info: (event: string, fields?: Fields) => void
  warn: (event: string, fields?: Fields) => void
  error: (event: string, fields?: Fields) => void
  with: (fields: Fields) => Log
}

function show(value: unknown): string {
  const text =
    typeof value === 'string'
      ? value
      : typeof value === 'number'
        ? String(Math.round(value * 1000) / 1000)
        : (JSON.stringify(value) ?? 'none')
  return /^[\w.:/@+,-]+$/.test(text) ? text : JSON.stringify(text)
}

export function formatLine(level: string, event: string, fields: Fields): string {
  let line = `level=${level} event=${event}`
  // eslint-disable-next-line no-restricted-syntax -- fields of one line, in the order given
  for (const [name, value] of Object.entries(fields)) if (value !== undefined) line += ` ${name}=${show(value)}`
  return line
}

type Sink = (level: string, line: string) => void

export function logTo(sink: Sink, base: Fields = {}): Log {
  function info(event: string, fields: Fields = {}): void {
    sink('info', formatLine('info', event, { ...base, ...fields }))
  }
  function warn(event: string, fields: Fields = {}): void {
    sink('warn', formatLine('warn', event, { ...base, ...fields }))
  }
  function error(event: string, fields: Fields = {}): void {
    sink('error', formatLine('error', event, { ...base, ...fields }))
  }
  function more(fields: Fields): Log {
    return logTo(sink, { ...base, ...fields })
  }
  return { info, warn, error, with: more }
}

// One key=value line per event on stderr, through consola with a reporter of ours.
export function makeLog(base: Fields = {}): Log {
  function log(entry: { args: unknown[] }): void {
    process.stderr.write(`time=${new Date().toISOString()} ${entry.args.join(' ')}\n`)
  }
  const out = createConsola({ level: 4, reporters: [{ log }] })
  function sink(level: string, line: string): void {
    if (level === 'error') out.error(line)
    else if (level === 'warn') out.warn(line)
    else out.info(line)
  }
  return logTo(sink, base)
}
