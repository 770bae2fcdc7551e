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

/** Summaries between nodes, by datagrams. */
export type SummaryExchange = {
  /** The newest of each node, its times as of now. */
  currentSummaries: () => Summary[]
  /** A summary goes out at once. */
  sendNow: () => void
  close: () => Promise<void>
}

/** proxy: it feeds a proxy. */
export type Peer = { node: string; addr: Address; proxy: boolean }

/** What a node says to all, by what it heard of the others; and what it saw of instances, which it says to those who need it. */
export type OwnSummary = {
  commonSummary: (heard: Summary[]) => CommonSummary
  observationsFor: (node: string) => { seen: [string, number][]; bad: [string, number][] }
}

/** The summary as one datagram; where it is too long for that, what can be spared goes first. */
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

export async function startSummaryExchange(
  world: World,
  addr: Address,
  stop: Flag,
  members: () => Peer[],
  mine: OwnSummary,
  metrics: Metrics,
  onHeard: (summary: Summary) => void,
): Promise<SummaryExchange> {
  const heard = makeHeardSummaries(world)
  const schedule = makeSummarySchedule(world)
  const sendNow = makeSignal()

  function take(bytes: Uint8Array): void {
    const summary = readSummary(bytes, metrics)
    if (!summary || !heard.add(summary)) return
    metrics.add('claynotch_summaries_total')
    onHeard(summary)
  }
  const wire = await world.bindDatagrams(addr, take)

  function send(): void {
    const common = mine.commonSummary(heard.current())
    const peers = members()
    const isDue = schedule.isDue(common, countReceivers(peers))
    for (const peer of peers) {
      if (peer.addr === addr) continue
      const { seen, bad } = mine.observationsFor(peer.node)
      const isNeeded = seen.length > 0 || bad.length > 0 || (isDue && peer.proxy)
      if (isNeeded) wire.send(peer.addr, encodeSummary({ ...common, seen, bad }))
    }
  }
  void loop(world, 'summaries', SUMMARY_INTERVAL_MS, stop, send, sendNow)

  async function close(): Promise<void> {
    wire.close()
  }
  return { currentSummaries: heard.current, sendNow: sendNow.notify, close }
}
