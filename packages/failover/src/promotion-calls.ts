import type { Address, World } from '@claynotch/base'
import type { PromotionRequest, PromotionAdapter, PromotionResult } from '@claynotch/host'

/**
 * Limits this process to one promotion call per group at a time.
 *
 * Invariant: while a call is pending, a second one for the same group is not sent and ends as unclear, as the first may
 * still be executed. The group's record, not the adapter that sends the call, decides which instance is promoted, so
 * the limit is enforced here, independent of the wire protocol.
 */
export function limitToOneCallPerGroup(call: PromotionAdapter): PromotionAdapter {
  const groupsInProgress = new Set<string>()
  async function promote(world: World, platform: Address | undefined, promotion: PromotionRequest): Promise<PromotionResult> {
    const { group } = promotion
    if (groupsInProgress.has(group))
      return { end: 'unclear', why: 'a promotion call for this group is already pending' }
    groupsInProgress.add(group)
    try {
      return await call(world, platform, promotion)
    } finally {
      groupsInProgress.delete(group)
    }
  }
  return promote
}
