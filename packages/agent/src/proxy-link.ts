import { LEASE_DURATION_MS, readAs, type Hello, type Link, type Metrics, type World } from '@claynotch/base'
import { CONFIG_KEY, withoutTenantLabels, withoutHistory, type ConfigurationBody } from '@claynotch/operator'
import type { Summary } from '@claynotch/peer'
import { QuotaQuestion, type QuotaAnswer } from '@claynotch/quota'
import {
  isFedToProxies,
  ProxyReport,
  type AgentFeed,
  type FeedEntry,
  type InstanceStatus,
  type RegisterValue,
} from '@claynotch/register'
import type { KnownRegister } from './register-cache.js'

export type ProxyLinkView = {
  node: string
  area: string
  /** Whether this machine has a proxy at all. */
  hasProxy: boolean
  registers: () => ReadonlyMap<string, KnownRegister>
  leaseExpiresAt: () => number
  instances: () => InstanceStatus[]
  summaries: () => Summary[]
  proxyCount: () => number
}

export type ProxyLinkEvents = {
  /** The proxy has applied this version of a register, or there is none that could work by an older one. */
  applied: (key: string, version: number) => void
  /** An instance began to fail as this machine's proxy sees it. */
  instanceFailing: () => void
  /** The proxy asks what its tenants may use. */
  quotaAsked: (question: QuotaQuestion) => Promise<QuotaAnswer>
}

/**
 * The proxy of this machine: it is fed registers and instances, and reports what it applied and saw.
 *
 * Invariants: one proxy is linked at a time; what it is fed is in force no longer than this node's lease; fedUntil is the
 * latest time up to which any proxy of this machine may work. An agent that has just started may have a predecessor's feed
 * out for one whole lease.
 */
export type ProxyLink = {
  feed: () => void
  /** Feeds where something changed, or nothing was fed for so many ms. */
  feedIfDue: (ms: number) => void
  /** A register changed since the last feed. */
  changed: () => void
  isLinked: () => boolean
  fedUntil: () => number
  report: () => ProxyReport | undefined
  /** ms since the report came. */
  reportAge: () => number
  accept: (peer: Hello, link: Link) => (message: unknown) => unknown
  lost: (peer: Hello, link: Link) => void
  close: () => void
}

type LinkedProxy = { link: Link; sent: Map<string, number>; report: ProxyReport | undefined; reportedAt: number }

/** Past changes and decisions are no matter of the proxy's, nor are keys in plain text. */
function fedBody(key: string, value: RegisterValue): unknown {
  return key === CONFIG_KEY ? withoutTenantLabels(withoutHistory(value.body as ConfigurationBody)) : value.body
}

function hasNewFailure(report: ProxyReport, old: ProxyReport | undefined): boolean {
  const before = new Set<string>()
  for (const [name] of old?.bad ?? []) before.add(name)
  for (const [name] of report.bad ?? []) if (!before.has(name)) return true
  return false
}

/** What other nodes tell, put together for the proxy. */
export function mergeSummaries(summaries: Summary[]): Pick<AgentFeed, 'moving' | 'leaving' | 'tries'> {
  const moving = new Map<string, number>()
  const leaving = new Set<string>()
  const tries = new Map<string, [number, number]>()
  for (const summary of summaries) {
    for (const [group, epoch] of summary.moving) moving.set(group, Math.max(epoch, moving.get(group) ?? 0))
    for (const name of summary.leaving) leaving.add(name)
    for (const [group, firsts, retries] of summary.tries) {
      const [oldFirsts, oldRetries] = tries.get(group) ?? [0, 0]
      tries.set(group, [oldFirsts + firsts, oldRetries + retries])
    }
  }
  const triesList: [string, number, number][] = []
  for (const [group, [firsts, retries]] of tries) triesList.push([group, firsts, retries])
  return { moving: [...moving], leaving: [...leaving], tries: triesList }
}

export function makeProxyLink(world: World, view: ProxyLinkView, metrics: Metrics, events: ProxyLinkEvents): ProxyLink {
  let proxy: LinkedProxy | undefined
  let fedUntil = view.hasProxy ? world.now() + LEASE_DURATION_MS : 0
  let fedAt = -Infinity
  let isChanged = false

  /** No proxy of this machine can be working: what is known counts as applied. */
  function applyWithoutProxy(): void {
    if (world.now() <= fedUntil) return
    for (const [key, { value }] of view.registers()) events.applied(key, value.turn)
  }
  function entriesFor(to: LinkedProxy): FeedEntry[] {
    const out: FeedEntry[] = []
    for (const [key, { value, currentUntil }] of view.registers()) {
      if (!isFedToProxies(key)) continue
      const until = Math.min(currentUntil, view.leaseExpiresAt())
      const isNew = (to.sent.get(key) ?? 0) < value.turn
      out.push({ key, turn: value.turn, until, ...(isNew ? { body: fedBody(key, value) } : {}) })
      to.sent.set(key, value.turn)
      fedUntil = Math.max(fedUntil, until)
    }
    return out
  }
  function feed(): void {
    fedAt = world.now()
    isChanged = false
    if (!proxy) return applyWithoutProxy()
    const message: AgentFeed = {
      t: 'feed',
      node: view.node,
      area: view.area,
      cells: entriesFor(proxy),
      sights: view.instances(),
      ...mergeSummaries(view.summaries()),
      live: view.proxyCount(),
    }
    proxy.link.tell(message)
    metrics.add('claynotch_agent_feeds_total')
  }
  function feedIfDue(ms: number): void {
    if (isChanged || world.now() - fedAt >= ms) feed()
  }
  function changed(): void {
    isChanged = true
  }
  function take(from: LinkedProxy, report: ProxyReport): void {
    metrics.add('claynotch_agent_notes_total')
    const old = from.report
    from.report = report
    from.reportedAt = world.now()
    // That an instance began to fail is told at once; how long it has been, with the next interval.
    if (hasNewFailure(report, old)) events.instanceFailing()
    for (const [key, version] of report.acks) events.applied(key, version)
    if (!old) feed()
  }
  function accept(peer: Hello, link: Link) {
    if (peer.kind !== 'proxy') throw new Error(`a ${peer.kind} dialled the proxy's link`)
    proxy?.link.close('another proxy came')
    const mine: LinkedProxy = { link, sent: new Map(), report: undefined, reportedAt: 0 }
    proxy = mine
    world.log.info('proxy-connected', { node: view.node })
    function handle(message: unknown): Promise<QuotaAnswer> | undefined {
      const question = readAs(QuotaQuestion, message)
      if (question.ok) return proxy === mine ? events.quotaAsked(question.val) : undefined
      const report = readAs(ProxyReport, message)
      if (report.err) {
        metrics.add('claynotch_link_garbage_total')
        throw new Error('unknown message from the proxy')
      }
      if (proxy === mine) take(mine, report.val)
      return undefined
    }
    return handle
  }
  function lost(_peer: Hello, link: Link): void {
    if (proxy?.link !== link) return
    proxy = undefined
    world.log.warn('proxy-disconnected', { node: view.node })
  }
  function isLinked(): boolean {
    return proxy !== undefined
  }
  function fedUntilNow(): number {
    return fedUntil
  }
  function report(): ProxyReport | undefined {
    return proxy?.report
  }
  function reportAge(): number {
    return world.now() - (proxy?.reportedAt ?? 0)
  }
  function close(): void {
    proxy?.link.close()
  }
  return { feed, feedIfDue, changed, isLinked, fedUntil: fedUntilNow, report, reportAge, accept, lost, close }
}
