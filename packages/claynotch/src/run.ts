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

export type RunningDaemon<T> = { stop: () => Promise<void>; apply: (next: T) => void }

// Runs a daemon until it is told to stop: SIGTERM and SIGINT drain it and end with 0; SIGHUP reads its settings again.
export async function runDaemon<T>(
  kind: string,
  codec: t.Type<T, unknown, unknown>,
  from: SettingsSource<T>,
  start: (world: World, set: T) => Promise<RunningDaemon<T>>,
): Promise<void> {
  // Signals are held from the first line on: one that comes while the daemon starts is not lost, nor does it kill.
  const stop = makeFlag()
  const reread = makeSignal()
  process.on('SIGTERM', stop.fire)
  process.on('SIGINT', stop.fire)
  process.on('SIGHUP', reread.notify)
  const world = realWorld(makeLog({ program: kind }))
  const got = await readSettings(world, codec, from)
  if (got.err) {
    process.stderr.write(formatFindings(got.val))
    process.exit(2)
  }
  let running: RunningDaemon<T>
  try {
    running = await start(world, got.val)
  } catch (e) {
    process.stderr.write(`${kind}: ${(e as Error).message}\n`)
    process.exit(1)
  }
  watchSettings(world, codec, from, stop, reread, running.apply)
  await stop.wait()
  await running.stop()
  world.log.info('stopped')
  process.exit(0)
}

// What can't change without a restart is named in the log when the file asks for it.
export function warnRestartNeeded(world: World, names: [string, unknown, unknown][]): void {
  for (const [name, old, next] of names)
    if (JSON.stringify(old) !== JSON.stringify(next)) world.log.warn('settings-need-restart', { field: name })
}
