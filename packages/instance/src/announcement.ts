import * as t from 'io-ts'
import {
  AddressCodec,
  RETRY_AFTER_OVERLOAD_S,
  invalidRequest,
  Name,
  readStrict,
  WholeNumber,
  type HttpRequest,
  type HttpResponse,
} from '@claynotch/base'

/**
 * Body of POST /announcement, sent by an instance about once a second, and once more with leaving before it stops.
 *
 * - sequence increases with each announcement of one run of an instance, so that a delayed announcement doesn't
 *   revert a newer one.
 * - gone: the instance has ended, and its name is not used again.
 */
export const Announcement = t.intersection([
  t.type({
    name: Name,
    group: Name,
    addr: AddressCodec,
    area: Name,
    role: t.union([t.literal('leader'), t.literal('follower')]),
  }),
  t.partial({ leaving: t.boolean, sequence: WholeNumber, gone: t.boolean }),
])
export type Announcement = t.TypeOf<typeof Announcement>

/**
 * Handles an announcement request.
 *
 * @param handle returns undefined, or the reason why the announcement can't be acknowledged
 */
export async function handleAnnouncement(
  request: HttpRequest,
  handle: (announcement: Announcement) => Promise<string | undefined>,
): Promise<HttpResponse> {
  if (request.method !== 'POST') return invalidRequest(405, 'announcements are posted')
  const parsed = readStrict(Announcement, request.body)
  if (parsed.err) return invalidRequest(400, 'not an announcement', parsed.val)
  const why = await handle(parsed.val)
  return why === undefined
    ? { status: 200, body: { heard: true } }
    : { status: 503, body: { heard: false, why }, after: RETRY_AFTER_OVERLOAD_S }
}
