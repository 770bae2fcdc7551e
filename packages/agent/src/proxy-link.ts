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

/** What the link to the proxy needs from the agent. */
export type ProxyLinkView = {
  node: string
  area: string
  /** Whether this machine has a proxy at all. */
  hasProxy: boolean
  registers: () => ReadonlyMap<string, KnownRegister>
  /** Local time (ms) at which this node's lease ends. */
  leaseExpiresAt: () => number
  instances: () => InstanceStatus[]
  summaries: () => Summary[]
  proxyCount: () => number
}

/** Callbacks of the link to the proxy. */
export type ProxyLinkEvents = {
  /** The proxy has applied this version of a register, or no proxy can be running with an older one. */
  applied: (key: string, version: number) => void
  /** This machine's proxy reports an instance as failing that it didn't report before. */
  instanceFailing: () => void
  /** The proxy asks what its tenants may use. */
  quotaAsked: (question: QuotaQuestion) => Promise<QuotaAnswer>
}

/**
 * The link to the proxy of this machine. The agent feeds it registers and instances; the proxy reports what it applied
 * and observed.
 *
 * Invariants: one proxy is linked at a time; a feed is valid no longer than this node's lease; fedUntil is the latest
 * local time (ms) until which any proxy of this machine may use a feed. After the agent has started, a feed of the
 * previous agent process may be valid for one lease duration.
 */
export type ProxyLink = {
  feed: () => void
  /** Feeds the proxy if something changed since the last feed, or if the last feed was at least this many ms ago. */
  feedIfDue: (intervalMs: number) => void
  /** Records that a register changed since the last feed. */
  changed: () => void
  isLinked: () => boolean
  fedUntil: () => number
  report: () => ProxyReport | undefined
  /** Time (ms) since the last report arrived. */
  reportAge: () => number
  accept: (peer: Hello, link: Link) => (message: unknown) => unknown
  lost: (peer: Hello, link: Link) => void
  close: () => void
}

/** sent: the version of each register whose body the proxy was sent. reportedAt: local time (ms) of the last report. */
type LinkedProxy = { link: Link; sent: Map<string, number>; report: ProxyReport | undefined; reportedAt: number }

/** The body of a register for the proxy: the configuration without its history, decisions and plain-text keys. */
function fedBody(key: string, value: RegisterValue): unknown {
  return key === CONFIG_KEY ? withoutTenantLabels(withoutHistory(value.body as ConfigurationBody)) : value.body
}

function hasNewFailure(report: ProxyReport, previous: ProxyReport | undefined): boolean {
  const previouslyFailing = new Set<string>()
  for (const [name] of previous?.bad ?? []) previouslyFailing.add(name)
  for (const [name] of report.bad ?? []) if (!previouslyFailing.has(name)) return true
  return false
}

/** Merges the summaries of other nodes for the proxy. */
export function mergeSummaries(summaries: Summary[]): Pick<AgentFeed, 'moving' | 'leaving' | 'tries'> {
  const movingEpochs = new Map<string, number>()
  const leaving = new Set<string>()
  const attemptsByGroup = new Map<string, [number, number]>()
  for (const summary of summaries) {
    for (const [group, epoch] of summary.moving) movingEpochs.set(group, Math.max(epoch, movingEpochs.get(group) ?? 0))
    for (const name of summary.leaving) leaving.add(name)
    for (const [group, firstAttempts, retries] of summary.tries) {
      const [oldFirstAttempts, oldRetries] = attemptsByGroup.get(group) ?? [0, 0]
      attemptsByGroup.set(group, [oldFirstAttempts + firstAttempts, oldRetries + retries])
    }
  }
  const tries: [string, number, number][] = []
  for (const [group, [firstAttempts, retries]] of attemptsByGroup) tries.push([group, firstAttempts, retries])
  return { moving: [...movingEpochs], leaving: [...leaving], tries }
}

export function makeProxyLink(world: World, view: ProxyLinkView, metrics: Metrics, events: ProxyLinkEvents): ProxyLink {
  let proxy: LinkedProxy | undefined
  let fedUntil = view.hasProxy ? world.now() + LEASE_DURATION_MS : 0
  let fedAt = -Infinity
  let isChanged = false

  /** Counts the known registers as applied once no proxy of this machine can be using an older feed. */
  function acknowledgeWithoutProxy(): void {
    if (world.now() <= fedUntil) return
    for (const [key, { value }] of view.registers()) events.applied(key, value.turn)
  }
  function entriesFor(target: LinkedProxy): FeedEntry[] {
    const entries: FeedEntry[] = []
    for (const [key, { value, currentUntil }] of view.registers()) {
      if (!isFedToProxies(key)) continue
      const until = Math.min(currentUntil, view.leaseExpiresAt())
      const isNew = (target.sent.get(key) ?? 0) < value.turn
      entries.push({ key, turn: value.turn, until, ...(isNew ? { body: fedBody(key, value) } : {}) })
      target.sent.set(key, value.turn)
      fedUntil = Math.max(fedUntil, until)
    }
    return entries
  }
  function feed(): void {
    fedAt = world.now()
    isChanged = false
    if (!proxy) return acknowledgeWithoutProxy()
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
  function feedIfDue(intervalMs: number): void {
    if (isChanged || world.now() - fedAt >= intervalMs) feed()
  }
  function changed(): void {
    isChanged = true
  }
  function applyReport(linkedProxy: LinkedProxy, report: ProxyReport): void {
    metrics.add('claynotch_agent_notes_total')
    const previousReport = linkedProxy.report
    linkedProxy.report = report
    linkedProxy.reportedAt = world.now()
    // A new failure is announced at once; for how long it has lasted follows with the next interval.
    if (hasNewFailure(report, previousReport)) events.instanceFailing()
    for (const [key, version] of report.acks) events.applied(key, version)
    if (!previousReport) feed()
  }
  function accept(peer: Hello, link: Link) {
    if (peer.kind !== 'proxy') throw new Error(`unexpected peer of kind ${peer.kind} on the link for the proxy`)
    proxy?.link.close('replaced by a newer proxy connection')
    const linkedProxy: LinkedProxy = { link, sent: new Map(), report: undefined, reportedAt: 0 }
    proxy = linkedProxy
    world.log.info('proxy-connected', { node: view.node })
    function handle(message: unknown): Promise<QuotaAnswer> | undefined {
      const question = readAs(QuotaQuestion, message)
      if (question.ok) return proxy === linkedProxy ? events.quotaAsked(question.val) : undefined
      const report = readAs(ProxyReport, message)
      if (report.err) {
        metrics.add('claynotch_link_garbage_total')
        throw new Error('unknown message from the proxy')
      }
      if (proxy === linkedProxy) applyReport(linkedProxy, report.val)
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
