import * as t from 'io-ts'
import { LRUCache } from 'lru-cache'
import { decode, encode, loop, makeBell, readAs, SUMMARY_BEAT, SUMMARY_EPOCH, SUMMARY_LIFE, SUMMARY_LIMIT, type Addr, type Flag, type Numbers, type World } from '@claynotch/base'

// Summaries between nodes: one datagram each beat to every other member. Hints only: nothing that must
// hold rests on them, so a lost, late, doubled or foreign one does no harm.
// seen: [instance, ms since its last good reply to this node]. moving: [group, epoch] this node knows to be
// under promotion. bad: [instance, ms since the first send that failed there or waits, with no sign of life after it]. firsts and retries: sends by group over the last beat's window.
export const Summary = t.intersection([t.type({
  v: t.number, node: t.string, area: t.string, num: t.number,
  seen: t.array(t.tuple([t.string, t.number])), moving: t.array(t.tuple([t.string, t.number])),
  leaving: t.array(t.string), tries: t.array(t.tuple([t.string, t.number, t.number])),
}), t.partial({ bad: t.array(t.tuple([t.string, t.number])) })])
export type Summary = t.TypeOf<typeof Summary>

// hints: the newest of each node, its times as of now. ring: a summary goes out at once.
export type Peers = { hints: () => Summary[]; ring: () => void; close: () => Promise<void> }

export async function startPeers(world: World, addr: Addr, stop: Flag, members: () => Addr[], mine: () => Summary, numbers: Numbers, heard: (sum: Summary) => void): Promise<Peers> {
  // last: the newest summary of each node and when it came; bounded, as names come from the network.
  const last = new LRUCache<string, { at: number; sum: Summary }>({ max: 256 })

  function take(bytes: Uint8Array): void {
    let body: unknown
    try {
      body = decode(bytes)
    } catch {
      numbers.add('claynotch_summary_garbage_total')
      return
    }
    // Other versions are ignored, not errors: a newer program may speak beside us.
    if ((body as { v?: unknown } | null)?.v !== SUMMARY_EPOCH) {
      numbers.add('claynotch_summary_other_epoch_total')
      return
    }
    const got = readAs(Summary, body)
    if (got.err) {
      numbers.add('claynotch_summary_garbage_total')
      return
    }
    const old = last.get(got.val.node)
    // num starts at a clock's reading, so that a restarted node's summaries go on.
    if (old && old.sum.num >= got.val.num && world.now() - old.at < SUMMARY_LIFE) return
    last.set(got.val.node, { at: world.now(), sum: got.val })
    numbers.add('claynotch_summaries_total')
    heard(got.val)
  }
  const wire = await world.wire(addr, take)

  function send(): void {
    const sum = mine()
    let bytes = encode(sum)
    // Too long for a datagram: what can be spared goes first.
    if (bytes.length > SUMMARY_LIMIT) bytes = encode({ ...sum, tries: [] })
    if (bytes.length > SUMMARY_LIMIT) bytes = encode({ ...sum, tries: [], seen: [] })
    for (const to of members()) if (to !== addr) wire.cast(to, bytes)
  }
  const bell = makeBell()
  void loop(world, 'summaries', SUMMARY_BEAT, stop, send, bell)

  function hints(): Summary[] {
    const out: Summary[] = []
    const now = world.now()
    for (const [, one] of last.entries()) if (now - one.at < SUMMARY_LIFE) out.push({ ...one.sum, seen: older(one.sum.seen, now - one.at), bad: older(one.sum.bad ?? [], now - one.at) })
    return out
  }
  function older(list: [string, number][], by: number): [string, number][] {
    const out: [string, number][] = []
    for (const [name, age] of list) out.push([name, age + by])
    return out
  }
  async function close(): Promise<void> {
    wire.close()
  }
  return { hints, ring: bell.ring, close }
}
