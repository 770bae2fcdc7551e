import { QUOTA_LINK_VERSION, readAs, type PersistentLink, type World } from '@claynotch/base'
import { QuotaHolder, quotaKey } from '@claynotch/register'
import type { CoreLinks } from './core-links.js'
import type { Membership } from './membership.js'
import type { RegisterCache } from './register-cache.js'

/** Who counts a slot now, as far as it is known here. link: to the core beside it, where it can be asked. */
export type SlotHolder = { node: string; term: number; link: PersistentLink | undefined }

/** Finds the holders of quotas' slots: their core machines answer on the link that every agent has to a core that votes. */
export type QuotaDirectory = { holderOf: (slot: number) => SlotHolder | undefined }

export function makeQuotaDirectory(
  world: World,
  registers: RegisterCache,
  membership: Membership,
  links: CoreLinks,
): QuotaDirectory {
  function linkTo(node: string): PersistentLink | undefined {
    for (const member of membership.list()) {
      if (member.node !== node || !member.core) continue
      const link = links.get(member.core.id)?.link
      // A core of an earlier version would close the link.
      return link?.up() && (link.peer()?.epoch ?? 0) >= QUOTA_LINK_VERSION ? link : undefined
    }
    return undefined
  }
  function holderOf(slot: number): SlotHolder | undefined {
    const known = registers.all().get(quotaKey(slot))
    const holder = readAs(QuotaHolder, known?.value.body)
    // Whoever was replaced long ago isn't asked by a node that has just come back.
    if (holder.err || world.now() >= (known?.currentUntil ?? 0)) return undefined
    return { node: holder.val.holder, term: holder.val.term, link: linkTo(holder.val.holder) }
  }
  return { holderOf }
}
