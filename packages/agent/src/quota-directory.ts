import { QUOTA_LINK_VERSION, readAs, type PersistentLink, type World } from '@claynotch/base'
import { QuotaHolder, quotaKey } from '@claynotch/register'
import type { CoreLinks } from './core-links.js'
import type { Membership } from './membership.js'
import type { RegisterCache } from './register-cache.js'

/**
 * The holder of a slot, as known here. link is the link to the core of its machine; undefined: it can't be asked now.
 */
export type SlotHolder = { node: string; term: number; link: PersistentLink | undefined }

/** Finds the holders of quota slots. They answer on the link that every agent has to each core that votes. */
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
      // A core of an earlier version would close the link on such a question.
      return link?.up() && (link.peer()?.epoch ?? 0) >= QUOTA_LINK_VERSION ? link : undefined
    }
    return undefined
  }
  function holderOf(slot: number): SlotHolder | undefined {
    const register = registers.all().get(quotaKey(slot))
    const holder = readAs(QuotaHolder, register?.value.body)
    // A node that has just rejoined must not ask a holder that was replaced long ago.
    if (holder.err || world.now() >= (register?.currentUntil ?? 0)) return undefined
    return { node: holder.val.holder, term: holder.val.term, link: linkTo(holder.val.holder) }
  }
  return { holderOf }
}
