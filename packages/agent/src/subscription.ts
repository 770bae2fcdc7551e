import {
  DELTA_LINK_VERSION,
  LEASE_RENEWAL_TIMEOUT_MS,
  RESUBSCRIBE_DELAY_MS,
  MAX_SUBSCRIPTION_LAGS,
  SUBSCRIPTION_CHECK_INTERVAL_MS,
  SUBSCRIPTION_SILENCE_MS,
  type PersistentLink,
  type World,
} from '@claynotch/base'
import { compareBallots, type Ballot, type RegisterSummary } from '@claynotch/register'
import type { CoreLinks } from './core-links.js'
import type { Membership } from './membership.js'
import { spreadHash } from './spread.js'

/**
 * A core as a source of pushes. heard: local time (ms) of its last answer; lines: the register summaries it reported.
 */
export type SubscriptionSource = {
  id: string
  held: PersistentLink
  heard: number
  area: string | undefined
  lines: Map<string, RegisterSummary>
}

/** The current voters as possible sources of pushes. */
export function subscriptionSources(links: CoreLinks, membership: Membership): SubscriptionSource[] {
  const areas = new Map<string, string>()
  for (const { core, area } of membership.list()) if (core) areas.set(core.id, area)
  const sources: SubscriptionSource[] = []
  for (const [id, { link, view }] of links.all())
    sources.push({ id, held: link, heard: view.heard(), area: areas.get(id), lines: view.registers() })
  return sources
}

/**
 * Subscribes at one core, whose pushes this node receives: a voter of its own area if there is one, else any that
 * answers.
 *
 * Only the latency and the cost of updates depend on the subscription: whatever the core doesn't push is found by the
 * next lease renewal at a majority. The node unsubscribes when the link is lost, when the core is silent, when it
 * keeps lagging behind a majority, or when the core leaves the core set. Cores of versions that predate subscriptions
 * push to every node and need none.
 */
export type Subscription = {
  /** Called after a renewal: checks the current subscription and switches to another core where needed. */
  choose: (sources: SubscriptionSource[], epoch: number) => Promise<void>
  /** The link to this core was re-established, so the core no longer has the subscription. */
  linkReestablished: (id: string) => void
  /** The id of the core at which this node is subscribed. */
  at: () => string | undefined
}

export function makeSubscription(
  world: World,
  node: string,
  area: string,
  ballots: () => [string, Ballot][],
): Subscription {
  let subscribedCore: string | undefined
  /**
   * Consecutive checks at which the core lacked a ballot that this node had known for at least
   * SUBSCRIPTION_CHECK_INTERVAL_MS.
   */
  let lagCount = 0
  /** The ballots that this node knew at the previous check. */
  let lastCheck: { at: number; ballots: [string, Ballot][] } | undefined
  /** Cores that were left or didn't answer, with the time until which they aren't asked again. */
  const avoidedUntil = new Map<string, number>()
  let isSubscribing = false

  function isEligible(source: SubscriptionSource): boolean {
    const now = world.now()
    return (
      source.held.up() &&
      (source.held.peer()?.epoch ?? 0) >= DELTA_LINK_VERSION &&
      now - source.heard <= SUBSCRIPTION_SILENCE_MS &&
      now >= (avoidedUntil.get(source.id) ?? 0)
    )
  }
  /** Preferred sources first: those of the own area, then in an order that differs from node to node. */
  function byPreference(a: SubscriptionSource, b: SubscriptionSource): number {
    const areaOrder = Number(b.area === area) - Number(a.area === area)
    return areaOrder !== 0 ? areaOrder : spreadHash(node, a.id) - spreadHash(node, b.id)
  }
  function preferredSource(sources: SubscriptionSource[]): SubscriptionSource | undefined {
    const eligible = sources.filter(isEligible)
    eligible.sort(byPreference)
    return eligible[0]
  }
  function avoid(id: string): void {
    avoidedUntil.set(id, world.now() + RESUBSCRIBE_DELAY_MS)
    if (subscribedCore === id) subscribedCore = undefined
  }
  /**
   * Whether the source lacks any of these ballots. Cores that are asked at the same moment differ by what is in
   * transit, so the caller compares a later answer of the source with what this node knew earlier.
   */
  function lacksAny(source: SubscriptionSource, known: [string, Ballot][]): boolean {
    for (const [key, ballot] of known) {
      const line = source.lines.get(key)
      if (!line || compareBallots(line.ballot, ballot) < 0) return true
    }
    return false
  }
  function measureLag(source: SubscriptionSource): void {
    const now = world.now()
    if (lastCheck && now - lastCheck.at < SUBSCRIPTION_CHECK_INTERVAL_MS) return
    if (lastCheck && source.heard > lastCheck.at) lagCount = lacksAny(source, lastCheck.ballots) ? lagCount + 1 : 0
    lastCheck = { at: now, ballots: ballots() }
  }
  function leaveUnfitSource(sources: SubscriptionSource[]): void {
    const source = sources.find(isSubscribed)
    function isSubscribed(candidate: SubscriptionSource): boolean {
      return candidate.id === subscribedCore
    }
    if (!source?.held.up()) {
      subscribedCore = undefined
      return
    }
    measureLag(source)
    if (lagCount < MAX_SUBSCRIPTION_LAGS && world.now() - source.heard <= SUBSCRIPTION_SILENCE_MS) return
    unsubscribe(source)
    avoid(source.id)
  }
  function unsubscribe(source: SubscriptionSource): void {
    source.held.tell({ t: 'subscribe', on: false, have: [] })
  }
  async function choose(sources: SubscriptionSource[], epoch: number): Promise<void> {
    leaveUnfitSource(sources)
    const next = preferredSource(sources)
    if (isSubscribing || !next || next.id === subscribedCore) return
    isSubscribing = true
    const request = { t: 'subscribe', epoch, on: true, have: ballots() }
    const answer = (await next.held.ask(request, LEASE_RENEWAL_TIMEOUT_MS)) as { ok?: boolean } | undefined
    isSubscribing = false
    if (answer?.ok !== true) {
      // A core that rejects the request has another core set and will soon follow; one that doesn't answer is avoided.
      if (!answer) avoid(next.id)
      return
    }
    for (const source of sources) if (source.id === subscribedCore && source.id !== next.id) unsubscribe(source)
    subscribedCore = next.id
    lagCount = 0
    lastCheck = undefined
  }
  function linkedAnew(id: string): void {
    if (subscribedCore === id) subscribedCore = undefined
  }
  function subscribedTo(): string | undefined {
    return subscribedCore
  }
  return { choose, linkReestablished: linkedAnew, at: subscribedTo }
}
