import * as t from 'io-ts'
import {
  AddressCodec,
  RETRY_AFTER_OVERLOAD_S,
  badInput,
  Name,
  readStrict,
  Whole,
  type HttpRequest,
  type HttpResponse,
} from '@claynotch/base'

// POST /announcement, by an instance about once a second, and once more with leaving before it goes.
// sequence: grows with each announcement of one life of an instance, so that one held up on its way takes nothing back.
// gone: it has ended, and its name doesn't come back.
export const Announcement = t.intersection([
  t.type({
    name: Name,
    group: Name,
    addr: AddressCodec,
    area: Name,
    role: t.union([t.literal('leader'), t.literal('follower')]),
  }),
  t.partial({ leaving: t.boolean, sequence: Whole, gone: t.boolean }),
])
export type Announcement = t.TypeOf<typeof Announcement>

// heard: why the word can't be acknowledged, if so.
export async function handleAnnouncement(
  ask: HttpRequest,
  heard: (a: Announcement) => Promise<string | undefined>,
): Promise<HttpResponse> {
  if (ask.method !== 'POST') return badInput(405, 'announcements are posted')
  const got = readStrict(Announcement, ask.body)
  if (got.err) return badInput(400, 'not an announcement', got.val)
  const why = await heard(got.val)
  return why === undefined
    ? { status: 200, body: { heard: true } }
    : { status: 503, body: { heard: false, why }, after: RETRY_AFTER_OVERLOAD_S }
}
