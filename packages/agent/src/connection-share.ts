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

/**
 * Claims this node's share of the connections to each instance, where the configuration gives the number of shares: a
 * slot in the register SHARES_KEY. A slot whose node is no longer a member is taken over, and used once that node's
 * lease has expired everywhere.
 */

/** Time (ms) after which the lease of a node that is no longer a member has expired by every clock. */
const TAKEOVER_DELAY_MS = LEASE_DURATION_MS + 2 * LEASE_CLOCK_SLACK_MS

/** What the connection share needs from the agent. */
export type ConnectionShareView = {
  node: string
  /** Identifies this process incarnation of the node. */
  life: string
  proposer: Proposer
  registers: RegisterCache
  membership: Membership
  config: () => Config | undefined
  hasLease: () => boolean
}

/**
 * A request for one slot. isReady: the slot may be used at once. slotCount: the number of shares by the configuration.
 * liveNodes: the nodes that hold a lease.
 */
type Claim = { slot: number; isReady: boolean; slotCount: number; liveNodes: Set<string> }

function appliedConfigurationVersion(member: Member): number {
  return new Map(member.acks).get(CONFIG_KEY) ?? 0
}

function slotsOf(value: RegisterValue | undefined): ConnectionShare[] {
  return (value?.body as ConnectionShares | undefined)?.slots ?? []
}

/** The slots after the claim; undefined: the claim can't be met any more, or is met already. */
export function claimSlot(node: string, currentSlots: ConnectionShare[], claim: Claim): ConnectionShare[] | undefined {
  const { slot, isReady, slotCount, liveNodes } = claim
  const slots = [...currentSlots]
  while (slots.length < slotCount) slots.push(null)
  const ownSlot = slotIndexOf(slots, node)
  if (ownSlot >= 0 && ownSlot < slotCount) {
    if (slots[ownSlot]?.ready || !isReady || ownSlot !== slot) return undefined
    slots[ownSlot] = { node, ready: true }
    return slots
  }
  if (ownSlot >= 0) slots[ownSlot] = null
  // Other nodes claim at the same time: takes the first slot that is free now, else the slot that was chosen before.
  const freeSlot = slots.slice(0, slotCount).indexOf(null)
  if (freeSlot >= 0) slots[freeSlot] = { node, ready: true }
  else if (isReady || liveNodes.has(slots[slot]?.node ?? '')) return undefined
  else slots[slot] = { node, ready: false }
  return slots
}

/** Starts claiming a slot for this node and keeping it. */
export function startConnectionShare(world: World, view: ConnectionShareView, stop: Flag, changed: Signal): void {
  /** The register version at which this node's takeover of a slot was first seen, and the local time (ms) of that. */
  let pendingTakeover: { version: number; seenAt: number } | undefined
  /** Whether the lack of a free share has been logged. */
  let isMissing = false

  async function commitClaim(claim: Claim): Promise<void> {
    const tag = `${view.node}~${view.life}~slot~${world.now()}`
    function edit(current: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      if (current?.tag === tag) return undefined
      const slots = claimSlot(view.node, slotsOf(current), claim)
      return slots && { body: { slots }, tag }
    }
    const committed = await view.proposer.change(SHARES_KEY, edit, ROUND_TIMEOUT_MS)
    if (committed.done && committed.value) view.registers.learn(SHARES_KEY, committed.value, committed.ballot)
  }
  /** Makes a slot that was taken over usable once the lease of its previous node must have expired. */
  async function completeTakeoverIfDue(slot: number, slotCount: number, version: number): Promise<void> {
    if (pendingTakeover?.version !== version) pendingTakeover = { version, seenAt: world.now() }
    if (world.now() - pendingTakeover.seenAt <= TAKEOVER_DELAY_MS) return
    await commitClaim({ slot, isReady: true, slotCount, liveNodes: new Set() })
  }
  /**
   * Whether every node with a share has applied the current configuration, which may make shares smaller. Another share
   * must not be claimed before that.
   */
  function isConfigurationApplied(slots: ConnectionShare[], members: Member[]): boolean {
    const version = view.registers.value(CONFIG_KEY)?.turn ?? 0
    for (const member of members)
      if (slotIndexOf(slots, member.node) >= 0 && appliedConfigurationVersion(member) < version) return false
    return true
  }
  async function claimFirstAvailable(slots: ConnectionShare[], slotCount: number): Promise<void> {
    const membersRead = await view.membership.read()
    if (!membersRead?.isComplete || !isConfigurationApplied(slots, membersRead.members)) return
    const liveNodes = new Set<string>()
    for (const { node } of membersRead.members) liveNodes.add(node)
    for (let slot = 0; slot < slotCount; slot++) {
      const holder = slots[slot]
      if (holder && liveNodes.has(holder.node)) continue
      await commitClaim({ slot, isReady: !holder, slotCount, liveNodes })
      return
    }
    if (!isMissing)
      world.log.warn('connection-share-missing', {
        node: view.node,
        proxies: slotCount,
        why: 'every share of connections is held by a live node',
      })
    isMissing = true
  }
  async function maintainShare(): Promise<void> {
    const slotCount = view.config()?.proxies
    // Shares that follow the number of live proxies need no slots.
    if (slotCount === undefined || slotCount === 'live' || !view.hasLease()) return
    const value = view.registers.value(SHARES_KEY)
    const slots = slotsOf(value)
    const ownSlot = slotIndexOf(slots, view.node)
    if (ownSlot < 0 || ownSlot >= slotCount) return await claimFirstAvailable(slots, slotCount)
    isMissing = false
    if (!slots[ownSlot]?.ready) await completeTakeoverIfDue(ownSlot, slotCount, value?.turn ?? 0)
  }
  void loop(world, 'connection-share', LEASE_RENEWAL_INTERVAL_MS, stop, maintainShare, changed)
}
