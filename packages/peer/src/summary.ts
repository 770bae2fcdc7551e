import * as t from 'io-ts'
import { decode, readAs, SUMMARY_VERSION, type Metrics } from '@claynotch/base'

/**
 * State of one node as sent to another in a datagram. Summaries are hints only: no invariant depends on them, so a
 * lost, late, duplicated or foreign one does no harm.
 *
 * num: grows with each summary of a node. seen: [instance, ms since its last successful reply to this node]. moving:
 * [group, epoch] of promotions in progress that this node knows of. leaving: instances that drain. tries: [group, first
 * attempts, retries] within the last window. bad: [instance, ms since the first request that failed or is still
 * unanswered, with no later sign of life].
 */
export const Summary = t.intersection([
  t.type({
    v: t.number,
    node: t.string,
    area: t.string,
    num: t.number,
    seen: t.array(t.tuple([t.string, t.number])),
    moving: t.array(t.tuple([t.string, t.number])),
    leaving: t.array(t.string),
    tries: t.array(t.tuple([t.string, t.number, t.number])),
  }),
  t.partial({ bad: t.array(t.tuple([t.string, t.number])) }),
])
export type Summary = t.TypeOf<typeof Summary>

/** The part of a summary that is the same for every receiver. */
export type CommonSummary = Omit<Summary, 'seen' | 'bad'>

/** Decodes a datagram. Other versions are ignored, not errors: nodes of a newer release may run at the same time. */
export function readSummary(bytes: Uint8Array, metrics: Metrics): Summary | undefined {
  let body: unknown
  try {
    body = decode(bytes)
  } catch {
    metrics.add('claynotch_summary_garbage_total')
    return undefined
  }
  if ((body as { v?: unknown } | null)?.v !== SUMMARY_VERSION) {
    metrics.add('claynotch_summary_other_epoch_total')
    return undefined
  }
  const summary = readAs(Summary, body)
  if (summary.ok) return summary.val
  metrics.add('claynotch_summary_garbage_total')
  return undefined
}
