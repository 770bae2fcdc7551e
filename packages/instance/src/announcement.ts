import * as t from 'io-ts'
import { Address, badInput, Name, readStrict, type Ask, type Reply } from '@claynotch/base'

// POST /announcement, by an instance about once a second, and once more with leaving before it goes.
export const Announcement = t.intersection([
  t.type({ name: Name, group: Name, addr: Address, area: Name, role: t.union([t.literal('leader'), t.literal('follower')]) }),
  t.partial({ leaving: t.boolean }),
])
export type Announcement = t.TypeOf<typeof Announcement>

export function takeAnnouncement(ask: Ask, heard: (a: Announcement) => void): Reply {
  if (ask.method !== 'POST') return badInput(405, 'announcements are posted')
  const got = readStrict(Announcement, ask.body)
  if (got.err) return badInput(400, 'not an announcement', got.val)
  heard(got.val)
  return { status: 200, body: { heard: true } }
}
