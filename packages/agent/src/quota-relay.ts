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

export function startQuotaRelay(world: World, view: QuotaRelayView, stop: Flag, metrics: Metrics): QuotaRelay {
  const told: ToldLines[] = []
  for (let slot = 0; slot < QUOTA_SLOTS; slot++) told.push(makeToldLines(world.now))

  async function askHolder(link: PersistentLink, question: HolderQuestion): Promise<QuotaGrant[]> {
    const askedAt = world.now()
    const answer = readAs(QuotaAnswer, await link.ask(question, QUOTA_ANSWER_TIMEOUT_MS))
    // A process that stood still may find an answer and the end of its time at once.
    const isLate = world.now() - askedAt > QUOTA_ANSWER_TIMEOUT_MS
    metrics.add('claynotch_quota_asks_total', [['end', isLate ? 'late' : answer.ok ? 'answered' : 'refused']])
    if (answer.err || isLate) return []
    told[question.slot].answered(question.lines, answer.val.grants, question)
    return answer.val.grants
  }
  /** A holder is told what changed, and once under each term where there is nothing to tell: it waits for all to have told. */
  async function ask({ life, askedAt, lines }: QuotaQuestion): Promise<QuotaAnswer> {
    const asks: Promise<QuotaGrant[]>[] = []
    const split = bySlot(lines)
    for (let slot = 0; slot < QUOTA_SLOTS; slot++) {
      const holder = view.directory.holderOf(slot)
      if (!holder?.link) continue
      const { term, link } = holder
      const due = told[slot].due(split.get(slot) ?? [], { term, life })
      if (due.length === 0 && told[slot].knows({ term, life })) continue
      asks.push(askHolder(link, { t: 'quota', slot, term, node: view.node, life, askedAt, lines: due }))
    }
    const grants = (await Promise.all(asks)).flat()
    return { ok: true, grants }
  }
  async function tellAbsence(): Promise<void> {
    if (view.isWithoutProxy()) await ask({ t: 'quota', life: NO_PROXY, askedAt: world.now(), lines: [] })
  }
  void loop(world, 'quota-absence', QUOTA_ABSENCE_INTERVAL_MS, stop, tellAbsence)
  return { ask }
}
