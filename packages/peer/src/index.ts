import {
  encode,
  loop,
  makeSignal,
  SUMMARY_INTERVAL_MS,
  SUMMARY_LIMIT_BYTES,
  type Address,
  type Flag,
  type Metrics,
  type World,
} from '@claynotch/base'
import { makeHeardSummaries } from './heard-summaries.js'
import { makeSummarySchedule } from './summary-schedule.js'
import { readSummary, type CommonSummary, type Summary } from './summary.js'

export { Summary, type CommonSummary } from './summary.js'

/** The exchange of summaries between nodes by datagrams. */
export type SummaryExchange = {
  /** The newest summary of each node, with its ages as of now. */
  currentSummaries: () => Summary[]
  /** Sends a summary at once instead of after the interval. */
  sendNow: () => void
  close: () => Promise<void>
}

/** A node that receives summaries. proxy: it feeds a proxy. */
export type Peer = { node: string; addr: Address; proxy: boolean }

/** Content of a node's own summaries. */
export type OwnSummary = {
  /** The part for all receivers, computed from the summaries received from other nodes. */
  commonSummary: (heard: Summary[]) => CommonSummary
  /** The observations of instances that this receiver needs. */
  observationsFor: (node: string) => { seen: [string, number][]; bad: [string, number][] }
}

/** Encodes a summary as one datagram; if it is too long, drops tries first, then also seen. */
function encodeSummary(summary: Summary): Uint8Array {
  const whole = encode(summary)
  if (whole.length <= SUMMARY_LIMIT_BYTES) return whole
  const withoutTries = encode({ ...summary, tries: [] })
  if (withoutTries.length <= SUMMARY_LIMIT_BYTES) return withoutTries
  return encode({ ...summary, tries: [], seen: [] })
}

function countReceivers(peers: Peer[]): number {
  let count = 0
  for (const peer of peers) if (peer.proxy) count++
  return count
}

/** Starts to send and receive summaries. source: content of the summaries of this node. */
export async function startSummaryExchange(
  world: World,
  addr: Address,
  stop: Flag,
  members: () => Peer[],
  source: OwnSummary,
  metrics: Metrics,
  onReceived: (summary: Summary) => void,
): Promise<SummaryExchange> {
  const received = makeHeardSummaries(world)
  const schedule = makeSummarySchedule(world)
  const sendNow = makeSignal()

  function receive(bytes: Uint8Array): void {
    const summary = readSummary(bytes, metrics)
    if (!summary || !received.add(summary)) return
    metrics.add('claynotch_summaries_total')
    onReceived(summary)
  }
  const wire = await world.bindDatagrams(addr, receive)

  function send(): void {
    const common = source.commonSummary(received.current())
    const peers = members()
    const isDue = schedule.isDue(common, countReceivers(peers))
    for (const peer of peers) {
      if (peer.addr === addr) continue
      const { seen, bad } = source.observationsFor(peer.node)
      const isNeeded = seen.length > 0 || bad.length > 0 || (isDue && peer.proxy)
      if (isNeeded) wire.send(peer.addr, encodeSummary({ ...common, seen, bad }))
    }
  }
  void loop(world, 'summaries', SUMMARY_INTERVAL_MS, stop, send, sendNow)

  async function close(): Promise<void> {
    wire.close()
  }
  return { currentSummaries: received.current, sendNow: sendNow.notify, close }
}
