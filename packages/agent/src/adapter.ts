import {
  OPERATOR_BODY_LIMIT_BYTES,
  serveHttp,
  type Address,
  type HttpRequest,
  type Metrics,
  type HttpResponse,
  type HttpListener,
  type World,
} from '@claynotch/base'
import { promote, answerProbe, type PromotionAdapter } from '@claynotch/host'
import { httpInstanceAdapter, handleAnnouncement, type Announcement, type InstanceAdapter } from '@claynotch/instance'
import type { ConfigurationBody, Change, ChangeAnswer } from '@claynotch/operator'
import type { CoreSet } from '@claynotch/register'

// What operators, instances and probes may have of an agent, whatever they speak.
export type ControlService = {
  metrics: Metrics
  // An instance's word of itself; false: not kept, as too many are known.
  recordAnnouncement: (a: Announcement) => boolean
  // An instance's last word, where it tells its name alone; false: not known here.
  recordSignOff: (name: string) => boolean
  // Why an instance's word that was heard here can't be acknowledged; undefined, within CHANGE_ANSWER: a majority of the
  // cores has it.
  awaitAcknowledgement: (name: string) => Promise<string | undefined>
  // One numbered change, decided at the cores, or unclear, after CHANGE_ANSWER at most. stream: a digest of all that it is, so
  // that under one number there is one change alone.
  change: (stream: string, change: Change) => Promise<ChangeAnswer>
  // The configuration, read at a majority; undefined after CHANGE_ANSWER at most: no majority. body: as known here.
  read: () => Promise<ConfigurationBody | undefined>
  body: () => ConfigurationBody | undefined
  coreSet: () => CoreSet
  // Why this node is not ready, if so.
  ready: () => string | undefined
  // Our own operators' calls.
  operator: { take: (ask: HttpRequest) => Promise<HttpResponse | undefined>; raw: (path: string) => boolean }
}
export type ControlAdapter = (world: World, addr: Address, desk: ControlService) => Promise<HttpListener>

// How an agent speaks with its peers, chosen when the process starts.
export type AgentAdapters = { instance: InstanceAdapter; promotion: PromotionAdapter; control: ControlAdapter }

// Where nodes that look for the cores are answered.
export function answerSeeds(ask: HttpRequest, { epoch, ...set }: CoreSet): HttpResponse | undefined {
  if (ask.path !== '/seeds') return undefined
  return set.cores.length > 0
    ? { status: 200, body: { ...set, ...(epoch > 0 ? { epoch } : {}) } }
    : { status: 503, body: { cores: [] }, after: 1 }
}

function httpControl(world: World, addr: Address, desk: ControlService): Promise<HttpListener> {
  async function announced(a: Announcement): Promise<string | undefined> {
    return desk.recordAnnouncement(a) ? await desk.awaitAcknowledgement(a.name) : 'too many instances are known'
  }
  async function handle(ask: HttpRequest): Promise<HttpResponse | undefined> {
    const first = answerProbe(ask, desk) ?? answerSeeds(ask, desk.coreSet())
    if (first) return first
    if (ask.path === '/announcement') return await handleAnnouncement(ask, announced)
    return await desk.operator.take(ask)
  }
  return serveHttp(world, addr, handle, { raw: desk.operator.raw, limit: OPERATOR_BODY_LIMIT_BYTES })
}

export const defaultAdapters: AgentAdapters = { instance: httpInstanceAdapter, promotion: promote, control: httpControl }
