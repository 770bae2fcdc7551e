import {
  requestOnce,
  PROMOTION_TIMEOUT_MS,
  type Address,
  type HttpRequest,
  type Metrics,
  type HttpResponse,
  type World,
} from '@claynotch/base'

// The call that makes an instance the leader. at: where the machines' keeper takes it; undefined: straight to the instance.
// epoch: the one that it is to lead. holder, fence: the node that holds the group's duty; the fence rises with each holder.
// may: asked once the connection stands, right before the call is written; false: it is not made any more.
export type PromotionRequest = {
  group: string
  instance: string
  addr: Address
  epoch: number
  holder: string
  fence: number
  may?: () => boolean
}
// done: it was carried out, or will be. refused: it was not. unclear: the instance's status must tell.
export type PromotionResult = { end: 'done' | 'refused' | 'unclear'; why: string }
export type PromotionAdapter = (world: World, at: Address | undefined, what: PromotionRequest) => Promise<PromotionResult>

// The edge to whoever keeps the machines: probes in, the single promotion call out.

export type Probes = { ready: () => string | undefined; metrics: Metrics }

// Answers GET /live, /ready and /metrics; undefined for any other path.
export function answerProbe(ask: HttpRequest, probes: Probes): HttpResponse | undefined {
  if (ask.path === '/live') return { status: 200, body: { live: true } }
  if (ask.path === '/ready') {
    const why = probes.ready()
    return why === undefined
      ? { status: 200, body: { ready: true } }
      : { status: 503, body: { ready: false, why }, after: 1 }
  }
  if (ask.path === '/metrics') return { status: 200, body: probes.metrics.text(), type: 'text/plain; version=0.0.4' }
  return undefined
}

// Our own promotion call: an instance refuses an epoch that is not above its own.
export async function promote(world: World, at: Address | undefined, what: PromotionRequest): Promise<PromotionResult> {
  const { group, instance, epoch } = what
  const body = { group, instance, epoch }
  const got = await requestOnce(world, at ?? what.addr, 'POST', '/promotion', body, PROMOTION_TIMEOUT_MS, [], what.may)
  if (got.err) return { end: got.val.reach === 'none' ? 'refused' : 'unclear', why: got.val.why }
  if (got.val.status === 200) return { end: 'done', why: '' }
  return { end: got.val.status >= 500 ? 'unclear' : 'refused', why: `status ${got.val.status}` }
}
