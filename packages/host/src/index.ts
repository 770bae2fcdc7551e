import { callOnce, PROMOTION_LIMIT, type Addr, type Ask, type Numbers, type Reply, type World } from '@claynotch/base'

// The platform's edge: probes in, the single promotion call out.

export type Probes = { ready: () => string | undefined; numbers: Numbers }

// Answers GET /live, /ready and /metrics; undefined for any other path.
export function takeProbe(ask: Ask, probes: Probes): Reply | undefined {
  if (ask.path === '/live') return { status: 200, body: { live: true } }
  if (ask.path === '/ready') {
    const why = probes.ready()
    return why === undefined ? { status: 200, body: { ready: true } } : { status: 503, body: { ready: false, why }, after: 1 }
  }
  if (ask.path === '/metrics') return { status: 200, body: probes.numbers.text(), type: 'text/plain; version=0.0.4' }
  return undefined
}

export type Promotion = { group: string; instance: string; epoch: number }

// done: the platform says that it was carried out. refused: it says that it was not. unclear: STATUS must tell.
export async function promote(world: World, addr: Addr, what: Promotion): Promise<{ end: 'done' | 'refused' | 'unclear'; why: string }> {
  const got = await callOnce(world, addr, 'POST', '/promotion', what, PROMOTION_LIMIT)
  if (got.err) return { end: got.val.reach === 'none' ? 'refused' : 'unclear', why: got.val.why }
  if (got.val.status === 200) return { end: 'done', why: '' }
  return { end: got.val.status >= 500 ? 'unclear' : 'refused', why: `status ${got.val.status}` }
}
