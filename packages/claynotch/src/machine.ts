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

// A core machine whose process is told neither its set nor its name in it. link: where it takes links; every machine of the
// system has the same port there. first: the very first start of the whole system. mostVoters: VOTERS_MOST unless it is given.
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
export type CoreMachine = {
  core: Core
  agent: Agent
  apply: (next: { seeds: Address[]; platform: Address | undefined }) => void
  stop: () => Promise<void>
}

// One process: a core, which votes if it is of the set, and an agent without a proxy, which serves operators and instances.
export async function startCoreMachine(
  world: World,
  set: CoreMachineSettings,
  edges: AgentAdapters = defaultAdapters,
): Promise<CoreMachine> {
  let { seeds } = set
  function seedsNow(): Address[] {
    return seeds
  }
  const { host, port } = parseAddr(set.link)
  const founders = set.first ? foundersFromSeeds(seeds, port) : undefined
  const core = await startCore(world, {
    id: host,
    addr: set.link,
    data: set.data,
    seeds: seedsNow,
    ...(founders ? { founders } : {}),
  })
  const agent = await startAgent(
    world,
    {
      node: set.node,
      area: set.area,
      peer: set.peer,
      http: set.http,
      seeds,
      coreSet: core.coreSet,
      core: { place: core.place, adopt: core.adopt, serveQuotas: core.serveQuotas },
      ...(set.platform !== undefined ? { platform: set.platform } : {}),
      ...(set.mostVoters !== undefined ? { mostVoters: set.mostVoters } : {}),
      ...(set.quota ? { quota: set.quota } : {}),
      build: BUILD,
    },
    edges,
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

// The agent of a front machine that is told seeds alone. At the very first start the set is known by rule.
export type FrontAgentSettings = Omit<AgentSettings, 'build' | 'coreSet' | 'core'> & {
  corePort: number
  first: boolean
}
export async function startFrontAgent(
  world: World,
  set: FrontAgentSettings,
  edges: AgentAdapters = defaultAdapters,
): Promise<Agent> {
  const { corePort, first, ...rest } = set
  const founders = first ? foundersFromSeeds(set.seeds, corePort) : []
  function coreSet(): CoreSet {
    return { epoch: 0, cores: founders }
  }
  return await startAgent(world, { ...rest, coreSet, build: BUILD }, edges)
}
