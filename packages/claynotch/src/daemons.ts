import type * as t from 'io-ts'
import { makeBell, makeFlag, makeLog, readSettings, realWorld, serve, showFindings, watchSettings, type Ask, type Finding, type Flags, type Reply, type World } from '@claynotch/base'
import { startAgent } from '@claynotch/agent'
import { takeProbe } from '@claynotch/host'
import { startProxy } from '@claynotch/proxy'
import { startCore } from '@claynotch/register'
import { BUILD } from './build.js'
import { AgentShape, checkAgent, checkCore, CoreShape, ProxyShape } from './settings.js'

type Running<T> = { stop: () => Promise<void>; apply: (next: T) => void }

// Runs a daemon until it is told to stop: SIGTERM and SIGINT drain it and end with 0; SIGHUP reads its settings again.
async function runDaemon<T>(kind: string, codec: t.Type<T, unknown, unknown>, path: string | undefined, flags: Flags, lists: string[], start: (world: World, set: T) => Promise<Running<T>>, more?: (set: T) => Finding[]): Promise<void> {
  const world = realWorld(makeLog({ program: kind }))
  const from = { path, flags, lists, ...(more ? { more } : {}) }
  const got = await readSettings(world, codec, from)
  if (got.err) {
    process.stderr.write(showFindings(got.val))
    process.exit(2)
  }
  let running: Running<T>
  try {
    running = await start(world, got.val)
  } catch (e) {
    process.stderr.write(`${kind}: ${(e as Error).message}\n`)
    process.exit(1)
  }
  const stop = makeFlag()
  const bell = makeBell()
  watchSettings(world, codec, from, stop, bell, running.apply)
  let ending = false
  async function end(): Promise<void> {
    if (ending) return
    ending = true
    stop.fire()
    await running.stop()
    world.log.info('stopped')
    process.exit(0)
  }
  process.on('SIGTERM', end)
  process.on('SIGINT', end)
  process.on('SIGHUP', bell.ring)
}

// What can't change without a restart is named in the log when the file asks for it.
function needsRestart(world: World, names: [string, unknown, unknown][]): void {
  for (const [name, old, next] of names) if (JSON.stringify(old) !== JSON.stringify(next)) world.log.warn('settings-need-restart', { field: name })
}

export async function runCore(path: string | undefined, flags: Flags): Promise<void> {
  async function start(world: World, set: CoreShape): Promise<Running<CoreShape>> {
    const core = await startCore(world, set)
    function ready(): string | undefined {
      return core.serving() ? undefined : `not serving: ${core.state()}`
    }
    function handle(ask: Ask): Reply {
      if (ask.path === '/seeds') return { status: 200, body: { cores: set.cores } }
      return takeProbe(ask, { ready, numbers: core.numbers }) ?? { status: 404, body: { why: 'no such path' } }
    }
    const http = await serve(world, set.http, handle)
    async function stop(): Promise<void> {
      await core.stop()
      await http.close()
    }
    function apply(next: CoreShape): void {
      needsRestart(world, [['id', set.id, next.id], ['cores', set.cores, next.cores], ['data', set.data, next.data], ['http', set.http, next.http]])
    }
    return { stop, apply }
  }
  await runDaemon('core', CoreShape, path, flags, [], start, checkCore)
}

export async function runAgent(path: string | undefined, flags: Flags): Promise<void> {
  async function start(world: World, set: AgentShape): Promise<Running<AgentShape>> {
    const agent = await startAgent(world, { ...set, build: BUILD })
    function apply(next: AgentShape): void {
      needsRestart(world, [['node', set.node, next.node], ['area', set.area, next.area], ['link', set.link, next.link], ['peer', set.peer, next.peer], ['http', set.http, next.http]])
      agent.apply({ seeds: next.seeds, platform: next.platform, operators: next.operators })
    }
    return { stop: agent.stop, apply }
  }
  await runDaemon('agent', AgentShape, path, flags, ['seeds'], start, checkAgent)
}

export async function runProxy(path: string | undefined, flags: Flags): Promise<void> {
  async function start(world: World, set: ProxyShape): Promise<Running<ProxyShape>> {
    const proxy = await startProxy(world, set)
    function apply(next: ProxyShape): void {
      needsRestart(world, [['listen', set.listen, next.listen], ['admin', set.admin, next.admin], ['agent', set.agent, next.agent]])
    }
    return { stop: proxy.stop, apply }
  }
  await runDaemon('proxy', ProxyShape, path, flags, [], start)
}
