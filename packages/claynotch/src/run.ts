import type * as t from 'io-ts'
import {
  makeSignal,
  makeFlag,
  makeLog,
  readSettings,
  realWorld,
  formatFindings,
  watchSettings,
  type SettingsSource,
  type World,
} from '@claynotch/base'

/** A started daemon. `apply` takes over settings that were read again. */
export type RunningDaemon<T> = { stop: () => Promise<void>; apply: (next: T) => void }

/**
 * Runs a daemon until it receives SIGTERM or SIGINT, which drain it and exit with code 0. SIGHUP reloads the settings.
 * Invalid settings exit with code 2, a failed start with code 1.
 */
export async function runDaemon<T>(
  programName: string,
  codec: t.Type<T, unknown, unknown>,
  source: SettingsSource<T>,
  start: (world: World, settings: T) => Promise<RunningDaemon<T>>,
): Promise<void> {
  // The handlers are installed first, so that a signal during the start is neither lost nor kills the process.
  const stop = makeFlag()
  const settingsReload = makeSignal()
  process.on('SIGTERM', stop.fire)
  process.on('SIGINT', stop.fire)
  process.on('SIGHUP', settingsReload.notify)
  const world = realWorld(makeLog({ program: programName }))
  const initial = await readSettings(world, codec, source)
  if (initial.err) {
    process.stderr.write(formatFindings(initial.val))
    process.exit(2)
  }
  let running: RunningDaemon<T>
  try {
    running = await start(world, initial.val)
  } catch (e) {
    process.stderr.write(`${programName}: ${(e as Error).message}\n`)
    process.exit(1)
  }
  watchSettings(world, codec, source, stop, settingsReload, running.apply)
  await stop.wait()
  await running.stop()
  world.log.info('stopped')
  process.exit(0)
}

/** Logs each field that differs in the new settings but takes effect only after a restart. */
export function warnRestartNeeded(world: World, fields: [string, unknown, unknown][]): void {
  for (const [fieldName, current, next] of fields)
    if (JSON.stringify(current) !== JSON.stringify(next)) world.log.warn('settings-need-restart', { field: fieldName })
}
