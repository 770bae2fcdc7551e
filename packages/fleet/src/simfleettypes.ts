import type { Agent } from '@claynotch/agent'
import type { Address } from '@claynotch/base'
import type { Proxy } from '@claynotch/proxy'
import type { Core } from '@claynotch/register'
import type { Instance, InstanceRecord } from './instance.js'
import type { Breach, Judgement, LaneRule } from './judge.js'
import type { Event, WorkloadOperation } from './requester.js'
import type { Machine, Proc, Sim } from './sim.js'
import type { TimeSpan } from './service-rate.js'
import type { Shape } from './simshape.js'

/** A machine with an agent and a proxy. */
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

/** A core's machine and process; core: undefined until it has started. */
export type CoreHost = { machine: Machine; proc: Proc; core: Core | undefined; id: string; http: Address }

/** An instance's machine and process. */
export type InstanceHost = {
  machine: Machine
  proc: Proc
  instance: Instance | undefined
  name: string
  group: string
  addr: Address
  /** What its earlier, killed processes had recorded. */
  records: InstanceRecord[]
}

export type RequesterOptions = {
  /** Addresses of the proxies that the requesters call; by default, all of them. */
  nodes?: Address[]
  /** Leaves these requesters out of the service rate, for crowds that only test how they are served themselves. */
  isUnmeasured?: boolean
}

/** The handles that scenarios and tests have on a simulated fleet. */
export type SimFleet = {
  sim: Sim
  shape: Shape
  fronts: FrontHost[]
  cores: CoreHost[]
  instanceHosts: InstanceHost[]
  events: Event[]
  platform: Machine
  /** Every decision that an operator was given (`told`) and when; stream, number and expect are the change's. */
  operatorDecisions: { stream: string; number: number; expect: number; told: Decision; at: number }[]
  /** The rules of each lane by the accepted changes, in order. */
  laws: LaneRule[]
  /** Breaches found by watching the fleet while the simulation runs. */
  watchBreaches: Breach[]
  /** Promotion calls that the platform forwarded, and when. */
  promotions: { group: string; instance: string; epoch: number; at: number }[]
  /** Starts the process of core k; the next three do the same for agents, proxies and instances. */
  startCoreAt: (k: number) => void
  startAgentAt: (k: number) => void
  startProxyAt: (k: number) => void
  startInstanceAt: (k: number) => void
  /** Kills an instance's process; its record so far is kept for the judge. */
  killInstance: (k: number) => void
  /** Adds a front machine and starts its agent and proxy; returns its index. */
  addFront: () => number
  /** Sends NDJSON lines to the operator endpoint of one agent, one request each; out() has the decisions so far. */
  change: (front: number, stream: string, lines: unknown[]) => { done: () => boolean; out: () => Decision[] }
  /** Sends one HTTP request to the agent of a front machine; status() is 0 without an answer. */
  ask: (
    front: number,
    path: string,
    method?: string,
    body?: unknown,
  ) => { done: () => boolean; body: () => unknown; status: () => number }
  /** Waits for cores and agents, sends the configuration, and waits until every proxy is ready; false: timed out. */
  begin: () => Promise<boolean>
  /** Starts the requesters that the shape names. */
  startTraffic: () => void
  /** Starts more requesters, with their own mixes of operations. */
  addRequesters: (mixes: WorkloadOperation[], count: number, think: number, options?: RequesterOptions) => void
  /** Service rate of the measured requesters in a time span. */
  serviceRate: (window: TimeSpan) => number
  /** Ends the traffic, then leaves 25 s for outstanding answers to arrive and for followers to catch up. */
  quiet: () => Promise<void>
  /** Judges the run so far. */
  judge: () => Judgement
  /** Reads the change history from a running agent and compares it with the decisions that operators were given. */
  readBack: () => Promise<Breach[]>
  /** The group's running leader; with several, the one of the highest epoch. */
  leaderOf: (group: string) => InstanceHost | undefined
  /** The records of all instances, those of killed ones included. */
  records: () => InstanceRecord[]
}

/** The answer to an operator's configuration change. */
export type Decision = {
  number?: number
  decision: string
  epoch?: number
  why?: string
  findings?: { place: string; what: string }[]
}
