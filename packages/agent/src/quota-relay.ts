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
import { makeToldLines, type ToldLines } from './quota-told.js'

// Passes the questions of this machine's proxy to the holders of its tenants' slots: docs/design/quotas.md.

export type QuotaRelayView = {
  node: string
  directory: QuotaDirectory
  /** No proxy of this machine can be working. */
  isWithoutProxy: () => boolean
}

export type QuotaRelay = { ask: (question: QuotaQuestion) => Promise<QuotaAnswer> }

/** The life of a proxy that isn't there, so that a holder knows that the one before has ended. */
const NO_PROXY = ''

function bySlot(lines: QuotaLine[]): Map<number, QuotaLine[]> {
  const out = new Map<number, QuotaLine[]>()
  for (const line of lines) {
    const slot = quotaSlotOf(line[0])
    const others = out.get(slot)
    if (others) others.push(line)
    else out.set(slot, [line])
  }
  return out
}

/**
 * What is under way with the holder of one slot. pending: the question that it hasn't answered yet. isSlow: it didn't answer its last
 * question in time, so that nobody waits for it while others answer.
 */
type SlotState = { told: ToldLines; pending: Promise<QuotaGrant[]> | undefined; isSlow: boolean }

export function startQuotaRelay(world: World, view: QuotaRelayView, stop: Flag, metrics: Metrics): QuotaRelay {
  const slots: SlotState[] = []
  for (let slot = 0; slot < QUOTA_SLOTS; slot++)
    slots.push({ told: makeToldLines(world.now), pending: undefined, isSlow: false })

  async function askHolder(state: SlotState, link: PersistentLink, question: HolderQuestion): Promise<QuotaGrant[]> {
    const askedAt = world.now()
    const got = await link.ask(question, QUOTA_ANSWER_TIMEOUT_MS)
    // A process that stood still may find an answer and the end of its time at once.
    const isLate = got === undefined || world.now() - askedAt > QUOTA_ANSWER_TIMEOUT_MS
    state.pending = undefined
    state.isSlow = isLate
    const answer = readAs(QuotaAnswer, got)
    metrics.add('claynotch_quota_asks_total', [['end', isLate ? 'late' : answer.ok ? 'answered' : 'refused']])
    if (answer.err || isLate) return []
    state.told.answered(question.lines, answer.val.grants, question)
    return answer.val.grants
  }
  /** Asks the holder of the slot where there is anything to tell it; undefined: there is not, or it can't be asked. */
  function askSlot(slot: number, lines: QuotaLine[], life: string, askedAt: number): Promise<QuotaGrant[]> | undefined {
    const state = slots[slot]
    const holder = view.directory.holderOf(slot)
    if (!holder?.link || state.pending) return undefined
    const { term, link } = holder
    const due = state.told.due(lines, { term, life })
    // Once under each term it is asked with nothing to tell: it waits for all to have told.
    if (due.length === 0 && state.told.knows({ term, life })) return undefined
    state.pending = askHolder(state, link, { t: 'quota', slot, term, node: view.node, life, askedAt, lines: due })
    return state.pending
  }
  /** What came too late for the answer is dropped. */
  async function ask({ life, askedAt, lines }: QuotaQuestion): Promise<QuotaAnswer> {
    const split = bySlot(lines)
    const grants: QuotaGrant[] = []
    async function take(asked: Promise<QuotaGrant[]>): Promise<void> {
      grants.push(...(await asked))
    }
    const prompt: Promise<void>[] = []
    const slow: Promise<void>[] = []
    for (const [slot, { isSlow }] of slots.entries()) {
      const asked = askSlot(slot, split.get(slot) ?? [], life, askedAt)
      if (asked) (isSlow ? slow : prompt).push(take(asked))
    }
    await Promise.all(prompt.length > 0 ? prompt : slow)
    return { ok: true, grants: [...grants] }
  }
  async function tellAbsence(): Promise<void> {
    if (view.isWithoutProxy()) await ask({ t: 'quota', life: NO_PROXY, askedAt: world.now(), lines: [] })
  }
  void loop(world, 'quota-absence', QUOTA_ABSENCE_INTERVAL_MS, stop, tellAbsence)
  return { ask }
}
