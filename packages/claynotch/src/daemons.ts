import { serveHttp, type HttpRequest, type CommandLineFlags, type HttpResponse, type World } from '@claynotch/base'
import { startAgent } from '@claynotch/agent'
import { answerProbe } from '@claynotch/host'
import { startProxy } from '@claynotch/proxy'
import { startCore } from '@claynotch/register'
import { BUILD } from './build.js'
import { warnRestartNeeded, runDaemon, type RunningDaemon } from './run.js'
import { AgentShape, checkAgent, checkCore, CoreShape, ProxyShape } from './settings.js'

export async function runCore(path: string | undefined, flags: CommandLineFlags): Promise<void> {
  async function start(world: World, set: CoreShape): Promise<RunningDaemon<CoreShape>> {
    const core = await startCore(world, set)
    function ready(): string | undefined {
      return core.serving() ? undefined : `not serving: ${core.state()}`
    }
    function handle(ask: HttpRequest): HttpResponse {
      if (ask.path === '/seeds') return { status: 200, body: { cores: set.cores } }
      return answerProbe(ask, { ready, metrics: core.metrics }) ?? { status: 404, body: { why: 'no such path' } }
    }
    const http = await serveHttp(world, set.http, handle)
    async function stop(): Promise<void> {
      await core.stop()
      await http.close()
    }
    function apply(next: CoreShape): void {
      warnRestartNeeded(world, [
        ['id', set.id, next.id],
        ['cores', set.cores, next.cores],
        ['data', set.data, next.data],
        ['http', set.http, next.http],
      ])
    }
    return { stop, apply }
  }
  await runDaemon('core', CoreShape, { path, flags, lists: [], more: checkCore }, start)
}

export async function runAgent(path: string | undefined, flags: CommandLineFlags): Promise<void> {
  async function start(world: World, set: AgentShape): Promise<RunningDaemon<AgentShape>> {
    const agent = await startAgent(world, { ...set, build: BUILD })
    function apply(next: AgentShape): void {
      warnRestartNeeded(world, [
        ['node', set.node, next.node],
        ['area', set.area, next.area],
        ['link', set.link, next.link],
        ['peer', set.peer, next.peer],
        ['http', set.http, next.http],
      ])
      agent.apply({ seeds: next.seeds, platform: next.platform, operators: next.operators })
    }
    return { stop: agent.stop, apply }
  }
  await runDaemon('agent', AgentShape, { path, flags, lists: ['seeds'], more: checkAgent }, start)
}

export async function runProxy(path: string | undefined, flags: CommandLineFlags): Promise<void> {
  async function start(world: World, set: ProxyShape): Promise<RunningDaemon<ProxyShape>> {
    const proxy = await startProxy(world, set)
    function apply(next: ProxyShape): void {
      warnRestartNeeded(world, [
        ['listen', set.listen, next.listen],
        ['admin', set.admin, next.admin],
        ['agent', set.agent, next.agent],
      ])
    }
    return { stop: proxy.stop, apply }
  }
  await runDaemon('proxy', ProxyShape, { path, flags, lists: [] }, start)
}
