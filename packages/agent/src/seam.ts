import {
  OPERATOR_BODY_LIMIT,
  serve,
  type Addr,
  type Ask,
  type Metrics,
  type Reply,
  type Serving,
  type World,
} from '@claynotch/base'
import { promote, takeProbe, type PromotionEdge } from '@claynotch/host'
import { httpInstance, takeAnnouncement, type Announcement, type InstanceEdge } from '@claynotch/instance'
import type { Body, Change, Verdict } from '@claynotch/operator'
import type { CoreSet } from '@claynotch/register'

// What operators, instances and probes may have of an agent, whatever they speak.
export type Desk = {
  numbers: Metrics
  // An instance's word of itself; false: not kept, as too many are known.
  heard: (a: Announcement) => boolean
  // An instance's last word, where it tells its name alone; false: not known here.
  left: (name: string) => boolean
  // Why an instance's word that was heard here can't be acknowledged; undefined, within CHANGE_ANSWER: a majority of the
  // cores has it.
  untold: (name: string) => Promise<string | undefined>
  // One numbered change, decided at the cores, or unclear, after CHANGE_ANSWER at most. stream: a digest of all that it is, so
  // that under one number there is one change alone.
  change: (stream: string, change: Change) => Promise<Verdict>
  // The configuration, read at a majority; undefined after CHANGE_ANSWER at most: no majority. body: as known here.
  read: () => Promise<Body | undefined>
  body: () => Body | undefined
  coreSet: () => CoreSet
  // Why this node is not ready, if so.
  ready: () => string | undefined
  // Our own operators' calls.
  operator: { take: (ask: Ask) => Promise<Reply | undefined>; raw: (path: string) => boolean }
}
export type ControlEdge = (world: World, addr: Addr, desk: Desk) => Promise<Serving>

// How an agent speaks with its peers, chosen when the process starts.
export type AgentEdges = { instance: InstanceEdge; promotion: PromotionEdge; control: ControlEdge }

// Where nodes that look for the cores are answered.
export function takeSeeds(ask: Ask, { epoch, ...set }: CoreSet): Reply | undefined {
  if (ask.path !== '/seeds') return undefined
  return set.cores.length > 0
    ? { status: 200, body: { ...set, ...(epoch > 0 ? { epoch } : {}) } }
    : { status: 503, body: { cores: [] }, after: 1 }
}

function httpControl(world: World, addr: Addr, desk: Desk): Promise<Serving> {
  async function announced(a: Announcement): Promise<string | undefined> {
    return desk.heard(a) ? await desk.untold(a.name) : 'too many instances are known'
  }
  async function handle(ask: Ask): Promise<Reply | undefined> {
    const first = takeProbe(ask, desk) ?? takeSeeds(ask, desk.coreSet())
    if (first) return first
    if (ask.path === '/announcement') return await takeAnnouncement(ask, announced)
    return await desk.operator.take(ask)
  }
  return serve(world, addr, handle, { raw: desk.operator.raw, limit: OPERATOR_BODY_LIMIT })
}

export const ownEdges: AgentEdges = { instance: httpInstance, promotion: promote, control: httpControl }
