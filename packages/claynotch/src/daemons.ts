import { serveHttp, type HttpRequest, type CommandLineFlags, type HttpResponse, type World } from '@claynotch/base'
import { startAgent } from '@claynotch/agent'
import { answerProbe } from '@claynotch/host'
import { startProxy } from '@claynotch/proxy'
import { startCore } from '@claynotch/register'
import { BUILD } from './build.js'
import { warnRestartNeeded, runDaemon, type RunningDaemon } from './run.js'
import { AgentSettings, checkAgentSettings, checkCoreSettings, CoreSettings, ProxySettings } from './settings.js'

/** Runs a core with its HTTP endpoint for probes and seeds. */
export async function runCore(settingsPath: string | undefined, flags: CommandLineFlags): Promise<void> {
  async function start(world: World, settings: CoreSettings): Promise<RunningDaemon<CoreSettings>> {
    const core = await startCore(world, settings)
    function ready(): string | undefined {
      return core.serving() ? undefined : `not serving: ${core.state()}`
    }
    function handle(request: HttpRequest): HttpResponse {
      if (request.path === '/seeds') return { status: 200, body: { cores: settings.cores } }
      return answerProbe(request, { ready, metrics: core.metrics }) ?? { status: 404, body: { why: 'no such path' } }
    }
    const http = await serveHttp(world, settings.http, handle)
    async function stop(): Promise<void> {
      await core.stop()
      await http.close()
    }
    function apply(next: CoreSettings): void {
      warnRestartNeeded(world, [
        ['id', settings.id, next.id],
        ['cores', settings.cores, next.cores],
        ['data', settings.data, next.data],
        ['http', settings.http, next.http],
      ])
    }
    return { stop, apply }
  }
  await runDaemon('core', CoreSettings, { path: settingsPath, flags, lists: [], more: checkCoreSettings }, start)
}

/** Runs the agent of a front machine. */
export async function runAgent(settingsPath: string | undefined, flags: CommandLineFlags): Promise<void> {
  async function start(world: World, settings: AgentSettings): Promise<RunningDaemon<AgentSettings>> {
    const agent = await startAgent(world, { ...settings, build: BUILD })
    function apply(next: AgentSettings): void {
      warnRestartNeeded(world, [
        ['node', settings.node, next.node],
        ['area', settings.area, next.area],
        ['link', settings.link, next.link],
        ['peer', settings.peer, next.peer],
        ['http', settings.http, next.http],
      ])
      agent.apply({ seeds: next.seeds, platform: next.platform, operators: next.operators })
    }
    return { stop: agent.stop, apply }
  }
  await runDaemon(
    'agent',
    AgentSettings,
    { path: settingsPath, flags, lists: ['seeds'], more: checkAgentSettings },
    start,
  )
}

/** Runs the proxy of a front machine. */
export async function runProxy(settingsPath: string | undefined, flags: CommandLineFlags): Promise<void> {
  async function start(world: World, settings: ProxySettings): Promise<RunningDaemon<ProxySettings>> {
    const proxy = await startProxy(world, settings)
    function apply(next: ProxySettings): void {
      warnRestartNeeded(world, [
        ['listen', settings.listen, next.listen],
        ['admin', settings.admin, next.admin],
        ['agent', settings.agent, next.agent],
      ])
    }
    return { stop: proxy.stop, apply }
  }
  await runDaemon('proxy', ProxySettings, { path: settingsPath, flags, lists: [] }, start)
}
