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

/** The agent's interface for operators, instances and probes, independent of the protocol they use. */
export type ControlService = {
  metrics: Metrics
  /** Records an instance's announcement; false: rejected, because too many instances are known. */
  recordAnnouncement: (announcement: Announcement) => boolean
  /**
   * Records the sign-off of an instance that sends only its name; false: rejected, because too many instances are
   * known.
   */
  recordSignOff: (name: string) => boolean
  /**
   * Waits, up to CHANGE_ANSWER_TIMEOUT_MS, until a majority of the cores has the announcement. Resolves to the reason
   * why it can't be acknowledged, or to undefined if it can.
   */
  awaitAcknowledgement: (name: string) => Promise<string | undefined>
  /**
   * Decides one numbered change at the cores, or resolves to an unclear outcome, within CHANGE_ANSWER_TIMEOUT_MS.
   * stream: a digest of the whole change, so that one number stands for only one change.
   */
  change: (stream: string, change: Change) => Promise<ChangeAnswer>
  /** Reads the configuration at a majority, within CHANGE_ANSWER_TIMEOUT_MS; undefined: no majority answered. */
  read: () => Promise<ConfigurationBody | undefined>
  /** The configuration as this node knows it. */
  body: () => ConfigurationBody | undefined
  coreSet: () => CoreSet
  /** The reason why this node isn't ready; undefined: it is ready. */
  ready: () => string | undefined
  /** Handles the HTTP calls of operators. */
  operator: { take: (request: HttpRequest) => Promise<HttpResponse | undefined>; raw: (path: string) => boolean }
}
/** Serves a control service on an address. */
export type ControlAdapter = (world: World, addr: Address, service: ControlService) => Promise<HttpListener>

/** The protocols of an agent towards instances, the platform and operators, chosen when the process starts. */
export type AgentAdapters = { instance: InstanceAdapter; promotion: PromotionAdapter; control: ControlAdapter }

/** Answers nodes that look up the core set; undefined: the request is for another path. */
export function answerSeeds(request: HttpRequest, { epoch, ...set }: CoreSet): HttpResponse | undefined {
  if (request.path !== '/seeds') return undefined
  return set.cores.length > 0
    ? { status: 200, body: { ...set, ...(epoch > 0 ? { epoch } : {}) } }
    : { status: 503, body: { cores: [] }, after: 1 }
}

function serveHttpControl(world: World, addr: Address, service: ControlService): Promise<HttpListener> {
  async function acceptAnnouncement(announcement: Announcement): Promise<string | undefined> {
    return service.recordAnnouncement(announcement)
      ? await service.awaitAcknowledgement(announcement.name)
      : 'too many instances are known'
  }
  async function handle(request: HttpRequest): Promise<HttpResponse | undefined> {
    const probeOrSeedsResponse = answerProbe(request, service) ?? answerSeeds(request, service.coreSet())
    if (probeOrSeedsResponse) return probeOrSeedsResponse
    if (request.path === '/announcement') return await handleAnnouncement(request, acceptAnnouncement)
    return await service.operator.take(request)
  }
  return serveHttp(world, addr, handle, { raw: service.operator.raw, limit: OPERATOR_BODY_LIMIT_BYTES })
}

/** The adapters for this project's own HTTP protocols. */
export const defaultAdapters: AgentAdapters = {
  instance: httpInstanceAdapter,
  promotion: promote,
  control: serveHttpControl,
}
