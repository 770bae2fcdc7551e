import {
  LEASE_CLOCK_SLACK_MS,
  LEASE_DURATION_MS,
  LEASE_RENEWAL_INTERVAL_MS,
  loop,
  ROUND_TIMEOUT_MS,
  type Flag,
  type Signal,
  type World,
} from '@claynotch/base'
import { CONFIG_KEY, type Config } from '@claynotch/operator'
import {
  slotIndexOf,
  SHARES_KEY,
  type ConnectionShare,
  type ConnectionShares,
  type Member,
  type Proposer,
  type RegisterValue,
} from '@claynotch/register'
import type { Membership } from './membership.js'
import type { RegisterCache } from './register-cache.js'

// This node's share of the connections to each instance, where the configuration gives their number: a place in the register
// SHARES_KEY. A place whose node is gone is taken over, and used once that node's lease has run out wherever it was.

const TAKEOVER_DELAY_MS = LEASE_DURATION_MS + 2 * LEASE_CLOCK_SLACK_MS

export type ConnectionShareView = {
  node: string
  life: string
  proposer: Proposer
  registers: RegisterCache
  membership: Membership
  config: () => Config | undefined
  hasLease: () => boolean
}

/** A wish for one place. isReady: the place may be used at once. */
type Claim = { place: number; isReady: boolean; size: number; live: Set<string> }

function versionApplied(member: Member): number {
  return new Map(member.acks).get(CONFIG_KEY) ?? 0
}

function placesOf(value: RegisterValue | undefined): ConnectionShare[] {
  return (value?.body as ConnectionShares | undefined)?.slots ?? []
}

/** The places after the claim; undefined: it can't be met any more, or is met already. */
export function claimPlace(node: string, old: ConnectionShare[], claim: Claim): ConnectionShare[] | undefined {
  const { place, isReady, size, live } = claim
  const places = [...old]
  while (places.length < size) places.push(null)
  const own = slotIndexOf(places, node)
  if (own >= 0 && own < size) {
    if (places[own]?.ready || !isReady || own !== place) return undefined
    places[own] = { node, ready: true }
    return places
  }
  if (own >= 0) places[own] = null
  // Others claim at the same time: the first that is free now, else the one looked at before.
  const free = places.slice(0, size).indexOf(null)
  if (free >= 0) places[free] = { node, ready: true }
  else if (isReady || live.has(places[place]?.node ?? '')) return undefined
  else places[place] = { node, ready: false }
  return places
}

export function startConnectionShare(world: World, view: ConnectionShareView, stop: Flag, changed: Signal): void {
  let takenOver: { version: number; at: number } | undefined
  let isMissing = false

  async function change(claim: Claim): Promise<void> {
    const tag = `${view.node}~${view.life}~slot~${world.now()}`
    function edit(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      if (now?.tag === tag) return undefined
      const slots = claimPlace(view.node, placesOf(now), claim)
      return slots && { body: { slots }, tag }
    }
    const committed = await view.proposer.change(SHARES_KEY, edit, ROUND_TIMEOUT_MS)
    if (committed.done && committed.value) view.registers.learn(SHARES_KEY, committed.value, committed.ballot)
  }
  /** The node that had the place has run out of its lease by the time it is used, whatever it heard. */
  async function awaitTakeover(place: number, size: number, version: number): Promise<void> {
    if (takenOver?.version !== version) takenOver = { version, at: world.now() }
    if (world.now() - takenOver.at <= TAKEOVER_DELAY_MS) return
    await change({ place, isReady: true, size, live: new Set() })
  }
  /** Shares may be smaller by this configuration: who has one must have applied it before another is claimed. */
  function isHeeded(places: ConnectionShare[], members: Member[]): boolean {
    const version = view.registers.value(CONFIG_KEY)?.turn ?? 0
    for (const member of members)
      if (slotIndexOf(places, member.node) >= 0 && versionApplied(member) < version) return false
    return true
  }
  async function claim(places: ConnectionShare[], size: number): Promise<void> {
    const read = await view.membership.read()
    if (!read?.isComplete || !isHeeded(places, read.members)) return
    const live = new Set<string>()
    for (const { node } of read.members) live.add(node)
    for (let place = 0; place < size; place++) {
      const holder = places[place]
      if (holder && live.has(holder.node)) continue
      await change({ place, isReady: !holder, size, live })
      return
    }
    if (!isMissing)
      world.log.warn('connection-share-missing', {
        node: view.node,
        proxies: size,
        why: 'every share of connections is held by a live node',
      })
    isMissing = true
  }
  async function hold(): Promise<void> {
    const size = view.config()?.proxies
    // Shares by the live proxies need no places.
    if (size === undefined || size === 'live' || !view.hasLease()) return
    const value = view.registers.value(SHARES_KEY)
    const places = placesOf(value)
    const own = slotIndexOf(places, view.node)
    if (own < 0 || own >= size) return await claim(places, size)
    isMissing = false
    if (!places[own]?.ready) await awaitTakeover(own, size, value?.turn ?? 0)
  }
  void loop(world, 'connection-share', LEASE_RENEWAL_INTERVAL_MS, stop, hold, changed)
}
