import type { Address, World } from '@claynotch/base'
import type { Promotion, PromotionEdge, PromotionEnd } from '@claynotch/host'

/**
 * Promotion calls under way from this process.
 *
 * Invariant: one call of a group at a time is on its way; a second one is not sent and ends unclear, as the first may
 * still be carried out. The group's record, not the edge that sends the call, says who is promoted: so this is decided
 * here, whatever the call looks like on the wire.
 */
export function limitToOneCallPerGroup(call: PromotionEdge): PromotionEdge {
  const underWay = new Set<string>()
  async function promote(world: World, at: Address | undefined, what: Promotion): Promise<PromotionEnd> {
    const { group } = what
    if (underWay.has(group)) return { end: 'unclear', why: 'a call of this group is on its way' }
    underWay.add(group)
    try {
      return await call(world, at, what)
    } finally {
      underWay.delete(group)
    }
  }
  return promote
}
