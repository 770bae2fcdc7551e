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
import { spread } from './spread.js'

/**
 * The one core whose pushes this node takes: of its own area where one votes there, else any that answers.
 *
 * Nothing rests on it but how soon and how cheaply news come: what it doesn't tell is found by the next renewal at a
 * majority. It is left when its link goes, when it is silent, when it goes on to know less than a majority, or when it is
 * of the set no more. Programs of before subscriptions push to everyone, and need none.
 */

/** A core as this node sees it now. heard: when it last answered, with these lines of the registers. */
export type SubscriptionSource = {
  id: string
  held: PersistentLink
  heard: number
  area: string | undefined
  lines: Map<string, RegisterSummary>
}

/** The present voters as places to take pushes from. */
export function sourcesOf(links: CoreLinks, membership: Membership): SubscriptionSource[] {
  const areas = new Map<string, string>()
  for (const { core, area } of membership.list()) if (core) areas.set(core.id, area)
  const out: SubscriptionSource[] = []
  for (const [id, { link, view }] of links.all())
    out.push({ id, held: link, heard: view.heard(), area: areas.get(id), lines: view.registers() })
  return out
}

export type Subscription = {
  /** Looks, after a renewal, whether another core should be subscribed at. */
  choose: (sources: SubscriptionSource[], epoch: number) => Promise<void>
  /** The link to this core was dialled anew: it knows of no subscription. */
  linkReestablished: (id: string) => void
  at: () => string | undefined
}

export function makeSubscription(
  world: World,
  node: string,
  area: string,
  ballots: () => [string, Ballot][],
): Subscription {
  let current: string | undefined
  // behind: looks in a row at which the current core lacked what this node had known for a whole beat.
  let behind = 0
  // before: what this node knew at an earlier look.
  let before: { at: number; ballots: [string, Ballot][] } | undefined
  // shunned: cores that were left or refused, with the time up to which they aren't asked again.
  const shunned = new Map<string, number>()
  let asking = false

  function isFit(s: SubscriptionSource): boolean {
    const now = world.now()
    return (
      s.held.up() &&
      (s.held.peer()?.epoch ?? 0) >= DELTA_LINK_VERSION &&
      now - s.heard <= SUBSCRIPTION_SILENCE_MS &&
      now >= (shunned.get(s.id) ?? 0)
    )
  }
  // Fewer is better.
  function compare(a: SubscriptionSource, b: SubscriptionSource): number {
    const near = Number(b.area === area) - Number(a.area === area)
    return near !== 0 ? near : spread(node, a.id) - spread(node, b.id)
  }
  function best(sources: SubscriptionSource[]): SubscriptionSource | undefined {
    const fit = sources.filter(isFit)
    fit.sort(compare)
    return fit[0]
  }
  function shun(id: string): void {
    shunned.set(id, world.now() + RESUBSCRIBE_DELAY_MS)
    if (current === id) current = undefined
  }
  // Asked at one moment, cores differ by what is on its way; so what it told later is held against what was known earlier.
  function lacks(s: SubscriptionSource, known: [string, Ballot][]): boolean {
    for (const [key, ballot] of known) {
      const line = s.lines.get(key)
      if (!line || compareBallots(line.ballot, ballot) < 0) return true
    }
    return false
  }
  function look(now: SubscriptionSource): void {
    const at = world.now()
    if (before && at - before.at < SUBSCRIPTION_CHECK_INTERVAL_MS) return
    if (before && now.heard > before.at) behind = lacks(now, before.ballots) ? behind + 1 : 0
    before = { at, ballots: ballots() }
  }
  function judgeCurrent(sources: SubscriptionSource[]): void {
    const now = sources.find(isCurrent)
    function isCurrent(s: SubscriptionSource): boolean {
      return s.id === current
    }
    if (!now?.held.up()) {
      current = undefined
      return
    }
    look(now)
    if (behind < MAX_SUBSCRIPTION_LAGS && world.now() - now.heard <= SUBSCRIPTION_SILENCE_MS) return
    leave(now)
    shun(now.id)
  }
  function leave(s: SubscriptionSource): void {
    s.held.tell({ t: 'subscribe', on: false, have: [] })
  }
  async function choose(sources: SubscriptionSource[], epoch: number): Promise<void> {
    judgeCurrent(sources)
    const next = best(sources)
    if (asking || !next || next.id === current) return
    asking = true
    const word = { t: 'subscribe', epoch, on: true, have: ballots() }
    const got = (await next.held.ask(word, LEASE_RENEWAL_TIMEOUT_MS)) as { ok?: boolean } | undefined
    asking = false
    if (got?.ok !== true) {
      // One that refuses stands in another set, and will soon stand in this one; one that is silent is left alone.
      if (!got) shun(next.id)
      return
    }
    for (const s of sources) if (s.id === current && s.id !== next.id) leave(s)
    current = next.id
    behind = 0
    before = undefined
  }
  function linkedAnew(id: string): void {
    if (current === id) current = undefined
  }
  function at(): string | undefined {
    return current
  }
  return { choose, linkReestablished: linkedAnew, at }
}
