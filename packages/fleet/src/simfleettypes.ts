import type { Agent } from '@claynotch/agent'
import type { Address } from '@claynotch/base'
import type { Proxy } from '@claynotch/proxy'
import type { Core } from '@claynotch/register'
import type { Instance, InstanceRecord } from './instance.js'
import type { Breach, Judgement, Law } from './judge.js'
import type { Event, Mix } from './requester.js'
import type { Machine, Proc, Sim } from './sim.js'
import type { TimeSpan } from './service-rate.js'
import type { Shape } from './simshape.js'

// What scenarios and tests may have of a simulated fleet.

export type FrontHost = {
  machine: Machine
  agentProc: Proc
  proxyProc: Proc
  agent: Agent | undefined
  proxy: Proxy | undefined
  node: string
  http: Address
  listen: Address
}

export type CoreHost = { machine: Machine; proc: Proc; core: Core | undefined; id: string; http: Address }

export type InstanceHost = {
  machine: Machine
  proc: Proc
  instance: Instance | undefined
  name: string
  group: string
  addr: Address
  records: InstanceRecord[]
}

export type CrowdOptions = {
  /** The nodes that they call; all of them unless given. */
  nodes?: Address[]
  /** Left out of the service rate: they are there for what happens to them. */
  isUnmeasured?: boolean
}

export type SimFleet = {
  sim: Sim
  shape: Shape
  fronts: FrontHost[]
  cores: CoreHost[]
  instanceHosts: InstanceHost[]
  events: Event[]
  platform: Machine
  // Every decision told to an operator, and when.
  operatorDecisions: { stream: string; number: number; expect: number; told: Decision; at: number }[]
  // What each lane was by accepted changes, in order.
  laws: Law[]
  // What watching the proxies all along has found.
  watchBreaches: Breach[]
  promotions: { group: string; instance: string; epoch: number; at: number }[]
  startCoreAt: (k: number) => void
  startAgentAt: (k: number) => void
  startProxyAt: (k: number) => void
  startInstanceAt: (k: number) => void
  killInstance: (k: number) => void
  addFront: () => number
  // Lines of NDJSON to the operator's edge of one agent; the decisions come back.
  change: (front: number, stream: string, lines: unknown[]) => { done: () => boolean; out: () => Decision[] }
  ask: (
    front: number,
    path: string,
    method?: string,
    body?: unknown,
  ) => { done: () => boolean; body: () => unknown; status: () => number }
  begin: () => Promise<boolean>
  startTraffic: () => void
  // More requesters, on mixes of their own.
  addRequesters: (mixes: Mix[], count: number, think: number, options?: CrowdOptions) => void
  /** Service that the requesters got, but for those of an unmeasured crowd. */
  serviceRate: (window: TimeSpan) => number
  quiet: () => Promise<void>
  judge: () => Judgement
  readBack: () => Promise<Breach[]>
  leaderOf: (group: string) => InstanceHost | undefined
  records: () => InstanceRecord[]
}

export type Decision = {
  number?: number
  decision: string
  epoch?: number
  why?: string
  findings?: { place: string; what: string }[]
}
