import { parseAddr, type Address, type World } from '@claynotch/base'
import {
  defaultAdapters,
  startAgent,
  type Agent,
  type AgentAdapters,
  type AgentSettings,
  type QuotaTolerance,
} from '@claynotch/agent'
import { foundersFromSeeds, startCore, type Core, type CoreSet } from '@claynotch/register'
import { BUILD } from './build.js'

/**
 * Settings of a core machine whose process isn't configured with a core set or its own id in it.
 * - `link`: address on which it accepts links; the port is the same on every machine of the system.
 * - `first`: this is the very first start of the whole system.
 * - `mostVoters`: maximum number of voters; the default is MAX_VOTERS.
 */
export type CoreMachineSettings = {
  node: string
  area: string
  link: Address
  peer: Address
  http: Address
  seeds: Address[]
  first: boolean
  data: string
  platform?: Address
  mostVoters?: number
  quota?: QuotaTolerance
}
/** A started core machine. `apply` takes over changed settings. */
export type CoreMachine = {
  core: Core
  agent: Agent
  apply: (next: { seeds: Address[]; platform: Address | undefined }) => void
  stop: () => Promise<void>
}

/**
 * Starts a core, which votes if it belongs to the core set, and an agent without a proxy, which serves operators and
 * instances, in one process.
 */
export async function startCoreMachine(
  world: World,
  settings: CoreMachineSettings,
  adapters: AgentAdapters = defaultAdapters,
): Promise<CoreMachine> {
  let { seeds } = settings
  function currentSeeds(): Address[] {
    return seeds
  }
  const { host, port } = parseAddr(settings.link)
  const founders = settings.first ? foundersFromSeeds(seeds, port) : undefined
  const core = await startCore(world, {
    id: host,
    addr: settings.link,
    data: settings.data,
    seeds: currentSeeds,
    ...(founders ? { founders } : {}),
  })
  const agent = await startAgent(
    world,
    {
      node: settings.node,
      area: settings.area,
      peer: settings.peer,
      http: settings.http,
      seeds,
      coreSet: core.coreSet,
      core: { place: core.place, adopt: core.adopt, serveQuotas: core.serveQuotas },
      ...(settings.platform !== undefined ? { platform: settings.platform } : {}),
      ...(settings.mostVoters !== undefined ? { mostVoters: settings.mostVoters } : {}),
      ...(settings.quota ? { quota: settings.quota } : {}),
      build: BUILD,
    },
    adapters,
  )
  function apply(next: { seeds: Address[]; platform: Address | undefined }): void {
    seeds = next.seeds
    agent.apply({ ...next, operators: undefined })
  }
  async function stop(): Promise<void> {
    await agent.stop()
    await core.stop()
  }
  return { core, agent, apply, stop }
}

/**
 * Settings of the agent of a front machine that is configured with seeds only. At the very first start of the system
 * (`first`) the core set is derived from the seeds.
 */
export type FrontAgentSettings = Omit<AgentSettings, 'build' | 'coreSet' | 'core'> & {
  corePort: number
  first: boolean
}
/** Starts the agent of a front machine. */
export async function startFrontAgent(
  world: World,
  settings: FrontAgentSettings,
  adapters: AgentAdapters = defaultAdapters,
): Promise<Agent> {
  const { corePort, first, ...agentSettings } = settings
  const founders = first ? foundersFromSeeds(settings.seeds, corePort) : []
  function coreSet(): CoreSet {
    return { epoch: 0, cores: founders }
  }
  return await startAgent(world, { ...agentSettings, coreSet, build: BUILD }, adapters)
}
