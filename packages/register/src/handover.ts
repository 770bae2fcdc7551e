import {
  MAX_MISSED_REGISTERS,
  OFFER_LINK_VERSION,
  readAs,
  ROUND_TIMEOUT_MS,
  type PersistentLink,
  type Metrics,
  type World,
} from '@claynotch/base'
import { compareBallots, type Ballot } from './ballot.js'
import { HandoverOfferAnswer } from './messages.js'
import type { RegisterEntry, RegisterStore, RegisterValue } from './register-store.js'

// Repair of what a core that was away should have had: it is kept for it, and handed over at its return.
// docs/design/repair.md.

export type HandedEntry = { key: string; ballot: Ballot; value: RegisterValue }
/** A register whose settled value a core holds at this ballot. */
export type OfferedEntry = { key: string; ballot: Ballot }

/** What a handover needs of the link to another voter. */
export type HandoverLink = Pick<PersistentLink, 'ask' | 'up' | 'peer'>

type HandoverAnswer = { ok?: boolean; took?: number } | undefined

export type Handover = {
  /** A voter became known: what it holds isn't. */
  added: (id: string) => void
  removed: (id: string) => void
  /** A register was settled while this voter couldn't be reached. */
  missedBy: (id: string, key: string) => void
  /** Hands over what it missed to each voter that is reached again. */
  handOver: (others: { id: string; held: HandoverLink }[]) => Promise<void>
  /** The registers of an offer that this core lacks; of the others it now knows that they are settled. */
  missingKeysOf: (offered: OfferedEntry[]) => string[]
  /** Takes settled values as late accepts would be taken, never under a higher promise; how many were taken. */
  take: (cells: HandedEntry[]) => Promise<number>
}

/** learn: a value is settled at this ballot. */
export function makeHandover(
  world: World,
  store: RegisterStore,
  isSettled: (key: string, cell: RegisterEntry) => boolean,
  learn: (key: string, ballot: Ballot) => void,
  metrics: Metrics,
): Handover {
  // missed: for each other voter, the registers settled while it couldn't be reached; 'all' where more were than are kept, or
  // where we can't know (we were away ourselves).
  const missed = new Map<string, Set<string> | 'all'>()

  function added(id: string): void {
    missed.set(id, 'all')
  }
  function removed(id: string): void {
    missed.delete(id)
  }
  function missedBy(id: string, key: string): void {
    const list = missed.get(id)
    if (list === 'all') return
    const next = list ?? new Set<string>()
    next.add(key)
    missed.set(id, next.size > MAX_MISSED_REGISTERS ? 'all' : next)
  }
  function settledOf(list: Set<string> | 'all'): HandedEntry[] {
    const out: HandedEntry[] = []
    for (const [key, cell] of store.entries()) {
      if (!cell.value || !isSettled(key, cell)) continue
      if (list === 'all' || list.has(key)) out.push({ key, ballot: cell.ballot, value: cell.value })
    }
    return out
  }
  /** Of these registers those that the other lacks, as it says; all of them where it can't be asked. */
  async function lackedBy(held: HandoverLink, cells: HandedEntry[]): Promise<HandedEntry[] | undefined> {
    if (cells.length === 0 || (held.peer()?.epoch ?? 0) < OFFER_LINK_VERSION) return cells
    const offered: OfferedEntry[] = []
    for (const { key, ballot } of cells) offered.push({ key, ballot })
    const answer = readAs(HandoverOfferAnswer, await held.ask({ t: 'offer', cells: offered }, ROUND_TIMEOUT_MS))
    if (answer.err) return undefined
    const lacked = new Set(answer.val.lacks)
    function isLacked(cell: HandedEntry): boolean {
      return lacked.has(cell.key)
    }
    return cells.filter(isLacked)
  }
  async function handOver(others: { id: string; held: HandoverLink }[]): Promise<void> {
    for (const other of others) {
      const list = missed.get(other.id)
      if (!list || !other.held.up()) continue
      const cells = await lackedBy(other.held, settledOf(list))
      if (!cells) continue
      const got = (await other.held.ask({ t: 'handover', cells }, ROUND_TIMEOUT_MS)) as HandoverAnswer
      if (!got?.ok) continue
      // What was settled while we handed over is in the list still.
      if (missed.get(other.id) === list) missed.delete(other.id)
      if (cells.length > 0) world.log.info('handed-over', { core: other.id, registers: cells.length, took: got.took })
      metrics.add('claynotch_core_handovers_total')
    }
  }
  function lackingOf(offered: OfferedEntry[]): string[] {
    const lacks: string[] = []
    for (const { key, ballot } of offered) {
      const mine = store.entries().get(key)
      if (mine && compareBallots(mine.ballot, ballot) >= 0) learn(key, ballot)
      else lacks.push(key)
    }
    return lacks
  }
  async function take(cells: HandedEntry[]): Promise<number> {
    let took = 0
    for (const { key, ballot, value } of cells) {
      const mine = store.entries().get(key)
      if (!mine || compareBallots(mine.ballot, ballot) < 0) {
        const got = await store.accept(key, ballot, value)
        if (!got.ok) continue
        took++
      }
      learn(key, ballot)
    }
    if (took > 0) metrics.add('claynotch_core_taken_over_total', [], took)
    return took
  }
  return { added, removed, missedBy, handOver, missingKeysOf: lackingOf, take }
}
