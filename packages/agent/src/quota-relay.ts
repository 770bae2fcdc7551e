import {
  loop,
  QUOTA_ABSENCE_INTERVAL_MS,
  QUOTA_ANSWER_TIMEOUT_MS,
  QUOTA_SLOTS,
  readAs,
  type Flag,
  type Metrics,
  type PersistentLink,
  type World,
} from '@claynotch/base'
import { QuotaAnswer, type HolderQuestion, type QuotaGrant, type QuotaLine, type QuotaQuestion } from '@claynotch/quota'
import { quotaSlotOf } from '@claynotch/register'
import type { QuotaDirectory } from './quota-directory.js'
import { makeReportedLines, type ReportedLines } from './quota-told.js'

/**
 * Forwards the questions of this machine's proxy to the holders of its tenants' slots. The design is described in
 * docs/design/quotas.md.
 */

/** What the relay needs from the agent. */
export type QuotaRelayView = {
  node: string
  directory: QuotaDirectory
  /** Whether no proxy of this machine can be running with a valid feed. */
  isWithoutProxy: () => boolean
}

/** Answers the proxy's question with the grants of all holders that answered in time. */
export type QuotaRelay = { ask: (question: QuotaQuestion) => Promise<QuotaAnswer> }

/** The life in questions for a machine without a proxy, by which a holder learns that the previous proxy has ended. */
const NO_PROXY_LIFE = ''

function groupBySlot(lines: QuotaLine[]): Map<number, QuotaLine[]> {
  const linesBySlot = new Map<number, QuotaLine[]>()
  for (const line of lines) {
    const slot = quotaSlotOf(line[0])
    const slotLines = linesBySlot.get(slot)
    if (slotLines) slotLines.push(line)
    else linesBySlot.set(slot, [line])
  }
  return linesBySlot
}

/**
 * The state of the exchange with the holder of one slot. pending is the question that it hasn't answered yet. isSlow:
 * it didn't answer the last question in time, so ask() doesn't wait for it while other holders answer.
 */
type SlotState = { reportedLines: ReportedLines; pending: Promise<QuotaGrant[]> | undefined; isSlow: boolean }

export function startQuotaRelay(world: World, view: QuotaRelayView, stop: Flag, metrics: Metrics): QuotaRelay {
  const slots: SlotState[] = []
  for (let slot = 0; slot < QUOTA_SLOTS; slot++)
    slots.push({ reportedLines: makeReportedLines(world.now), pending: undefined, isSlow: false })

  /** Sends one question to a holder; returns its grants, or none if it refused or was late. */
  async function askHolder(state: SlotState, link: PersistentLink, question: HolderQuestion): Promise<QuotaGrant[]> {
    const askedAt = world.now()
    const reply = await link.ask(question, QUOTA_ANSWER_TIMEOUT_MS)
    // After this process was paused, an answer can arrive although its timeout has passed.
    const isLate = reply === undefined || world.now() - askedAt > QUOTA_ANSWER_TIMEOUT_MS
    state.pending = undefined
    state.isSlow = isLate
    const answer = readAs(QuotaAnswer, reply)
    metrics.add('claynotch_quota_asks_total', [['end', isLate ? 'late' : answer.ok ? 'answered' : 'refused']])
    if (answer.err || isLate) return []
    state.reportedLines.recordAnswer(question.lines, answer.val.grants, question)
    return answer.val.grants
  }
  /** Asks the holder of the slot; undefined: there is nothing to report, or the holder can't be asked now. */
  function askSlot(slot: number, lines: QuotaLine[], life: string, askedAt: number): Promise<QuotaGrant[]> | undefined {
    const state = slots[slot]
    const holder = view.directory.holderOf(slot)
    if (!holder?.link || state.pending) return undefined
    const { term, link } = holder
    const due = state.reportedLines.dueLines(lines, { term, life })
    // Asks once in each term even with nothing to report: a new holder waits until all proxies have reported.
    if (due.length === 0 && state.reportedLines.isInformed({ term, life })) return undefined
    state.pending = askHolder(state, link, { t: 'quota', slot, term, node: view.node, life, askedAt, lines: due })
    return state.pending
  }
  /** Forwards one question of the proxy; grants that arrive too late for the answer are dropped. */
  async function ask({ life, askedAt, lines }: QuotaQuestion): Promise<QuotaAnswer> {
    const linesBySlot = groupBySlot(lines)
    const grants: QuotaGrant[] = []
    async function collectGrants(pendingGrants: Promise<QuotaGrant[]>): Promise<void> {
      grants.push(...(await pendingGrants))
    }
    const promptAnswers: Promise<void>[] = []
    const slowAnswers: Promise<void>[] = []
    for (const [slot, { isSlow }] of slots.entries()) {
      const pendingGrants = askSlot(slot, linesBySlot.get(slot) ?? [], life, askedAt)
      if (pendingGrants) (isSlow ? slowAnswers : promptAnswers).push(collectGrants(pendingGrants))
    }
    await Promise.all(promptAnswers.length > 0 ? promptAnswers : slowAnswers)
    return { ok: true, grants: [...grants] }
  }
  /** Reports to the holders that this machine has no running proxy. */
  async function reportAbsence(): Promise<void> {
    if (view.isWithoutProxy()) await ask({ t: 'quota', life: NO_PROXY_LIFE, askedAt: world.now(), lines: [] })
  }
  void loop(world, 'quota-absence', QUOTA_ABSENCE_INTERVAL_MS, stop, reportAbsence)
  return { ask }
}
