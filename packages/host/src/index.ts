import {
  requestOnce,
  PROMOTION_TIMEOUT_MS,
  type Address,
  type HttpRequest,
  type Metrics,
  type HttpResponse,
  type World,
} from '@claynotch/base'

/**
 * The call that promotes an instance to leader.
 * - `epoch`: the group epoch in which it will lead.
 * - `holder`: the node that holds the group's failover duty. `fence`: its fencing token, which increases with each
 *   holder.
 * - `may`: called when the connection is established, right before the call is written; on false the call is dropped.
 */
export type PromotionRequest = {
  group: string
  instance: string
  addr: Address
  epoch: number
  holder: string
  fence: number
  may?: () => boolean
}
/** 'done': it was or will be carried out. 'refused': it was not. 'unclear': only the instance's status can tell. */
export type PromotionResult = { end: 'done' | 'refused' | 'unclear'; why: string }
/** Sends the promotion call to the platform that manages the machines or, without one, directly to the instance. */
export type PromotionAdapter = (
  world: World,
  platform: Address | undefined,
  promotion: PromotionRequest,
) => Promise<PromotionResult>

// The interface to the platform that manages the machines: it sends probes and receives the promotion call.

/** `ready`: why the process is not ready; undefined if it is. */
export type Probes = { ready: () => string | undefined; metrics: Metrics }

/** Answers GET /live, /ready and /metrics; undefined for any other path. */
export function answerProbe(request: HttpRequest, probes: Probes): HttpResponse | undefined {
  if (request.path === '/live') return { status: 200, body: { live: true } }
  if (request.path === '/ready') {
    const reason = probes.ready()
    return reason === undefined
      ? { status: 200, body: { ready: true } }
      : { status: 503, body: { ready: false, why: reason }, after: 1 }
  }
  if (request.path === '/metrics')
    return { status: 200, body: probes.metrics.text(), type: 'text/plain; version=0.0.4' }
  return undefined
}

/** The standard promotion call. The instance refuses an epoch that is not above its own. */
export async function promote(
  world: World,
  platform: Address | undefined,
  promotion: PromotionRequest,
): Promise<PromotionResult> {
  const { group, instance, epoch } = promotion
  const body = { group, instance, epoch }
  const answer = await requestOnce(
    world,
    platform ?? promotion.addr,
    'POST',
    '/promotion',
    body,
    PROMOTION_TIMEOUT_MS,
    [],
    promotion.may,
  )
  if (answer.err) return { end: answer.val.reach === 'none' ? 'refused' : 'unclear', why: answer.val.why }
  if (answer.val.status === 200) return { end: 'done', why: '' }
  return { end: answer.val.status >= 500 ? 'unclear' : 'refused', why: `status ${answer.val.status}` }
}
