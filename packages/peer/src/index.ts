import * as t from 'io-ts'
import { LRUCache } from 'lru-cache'
import {
  decode,
  encode,
  loop,
  makeSignal,
  readAs,
  OBSERVATION_LIFETIME_MS,
  SUMMARY_REPEATS,
  SUMMARY_INTERVAL_MS,
  SUMMARY_VERSION,
  SUMMARY_LIFETIME_MS,
  SUMMARY_LIMIT_BYTES,
  SUMMARY_MAX_INTERVAL_MS,
  SUMMARY_SPACING_MS,
  type Address,
  type Flag,
  type Metrics,
  type World,
} from '@claynotch/base'

// Summaries between nodes, by datagrams. Hints only: nothing that must hold rests on them, so a lost, late, doubled or
// foreign one does no harm. What matters to whoever has a proxy (moving, leaving, tries) goes to them when it changes, on
// each beat while a promotion or retries are under way, else slowly; seen goes on each beat, to those who need it.
// seen: [instance, ms since its last good reply to this node]. moving: [group, epoch] this node knows to be
// under promotion. bad: [instance, ms since the first send that failed there or waits, with no sign of life after it]. firsts and retries: sends by group over the last beat's window.
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

// hints: the newest of each node, its times as of now. ring: a summary goes out at once.
export type Peers = { hints: () => Summary[]; ring: () => void; close: () => Promise<void> }

// proxy: it feeds a proxy.
export type Peer = { node: string; addr: Address; proxy: boolean }
// What a node says to all, by what it heard of the others; and what of its seen it says to one node.
export type Saying = {
  all: (heard: Summary[]) => Omit<Summary, 'seen' | 'bad'>
  seenFor: (node: string) => { seen: [string, number][]; bad: [string, number][] }
}

export async function startPeers(
  world: World,
  addr: Address,
  stop: Flag,
  members: () => Peer[],
  mine: Saying,
  metrics: Metrics,
  heard: (sum: Summary) => void,
): Promise<Peers> {
  // last: the newest summary of each node and when it came; bounded, as names come from the network.
  const last = new LRUCache<string, { at: number; sum: Summary }>({ max: 256 })

  function take(bytes: Uint8Array): void {
    let body: unknown
    try {
      body = decode(bytes)
    } catch {
      metrics.add('claynotch_summary_garbage_total')
      return
    }
    // Other versions are ignored, not errors: a newer program may speak beside us.
    if ((body as { v?: unknown } | null)?.v !== SUMMARY_VERSION) {
      metrics.add('claynotch_summary_other_epoch_total')
      return
    }
    const got = readAs(Summary, body)
    if (got.err) {
      metrics.add('claynotch_summary_garbage_total')
      return
    }
    const old = last.get(got.val.node)
    // num starts at a clock's reading, so that a restarted node's summaries go on.
    if (old && old.sum.num >= got.val.num && world.now() - old.at < SUMMARY_LIFETIME_MS) return
    last.set(got.val.node, { at: world.now(), sum: got.val })
    metrics.add('claynotch_summaries_total')
    heard(got.val)
  }
  const wire = await world.wire(addr, take)

  // said: what all were told last. again: beats for which it is told still. slow: when it was told last, changed or not.
  let said = ''
  let again = 0
  let slow = -Infinity
  function hasRetries(tries: Summary['tries']): boolean {
    for (const [, , retries] of tries) if (retries > 0) return true
    return false
  }
  /** ms between two summaries to all that tell nothing new: each node hears so many of them, however many nodes there are. */
  function intervalOf(sum: Omit<Summary, 'seen' | 'bad'>): number {
    if (sum.moving.length === 0 && sum.leaving.length === 0 && sum.tries.length === 0) return Infinity
    const isQuick = sum.moving.length > 0 || hasRetries(sum.tries)
    let receivers = 0
    for (const peer of members()) if (peer.proxy) receivers++
    const spacing = receivers * SUMMARY_SPACING_MS
    const least = isQuick ? 0 : SUMMARY_MAX_INTERVAL_MS
    return spacing <= SUMMARY_INTERVAL_MS ? least : Math.max(least, spacing)
  }
  function send(): void {
    const sum = mine.all(hints())
    const now = world.now()
    const text = JSON.stringify([sum.moving, sum.leaving])
    if (text !== said) again = SUMMARY_REPEATS
    said = text
    const due = again > 0 || now - slow >= intervalOf(sum)
    if (again > 0) again--
    if (due) slow = now
    for (const to of members()) {
      if (to.addr === addr) continue
      const { seen, bad } = mine.seenFor(to.node)
      if (seen.length === 0 && bad.length === 0 && !(due && to.proxy)) continue
      let bytes = encode({ ...sum, seen, bad })
      // Too long for a datagram: what can be spared goes first.
      if (bytes.length > SUMMARY_LIMIT_BYTES) bytes = encode({ ...sum, seen, bad, tries: [] })
      if (bytes.length > SUMMARY_LIMIT_BYTES) bytes = encode({ ...sum, tries: [], seen: [], bad })
      wire.cast(to.addr, bytes)
    }
  }
  const signal = makeSignal()
  void loop(world, 'summaries', SUMMARY_INTERVAL_MS, stop, send, signal)

  // With the time since they came counted in.
  function hints(): Summary[] {
    const out: Summary[] = []
    const now = world.now()
    for (const [, one] of last.entries()) {
      const age = now - one.at
      if (age >= SUMMARY_LIFETIME_MS) continue
      out.push({
        ...one.sum,
        seen: age < OBSERVATION_LIFETIME_MS ? older(one.sum.seen, age) : [],
        bad: older(one.sum.bad ?? [], age),
      })
    }
    return out
  }
  function older(list: [string, number][], by: number): [string, number][] {
    const out: [string, number][] = []
    for (const [name, ms] of list) out.push([name, ms + by])
    return out
  }
  async function close(): Promise<void> {
    wire.close()
  }
  return { hints, ring: signal.notify, close }
}
