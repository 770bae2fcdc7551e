import { MAX_MISSED_REGISTERS, ROUND_TIMEOUT_MS, type PersistentLink, type Metrics, type World } from '@claynotch/base'
import { compareBallots, type Ballot } from './ballot.js'
import type { RegisterEntry, Store, RegisterValue } from './register-store.js'

// Repair of what a core that was away should have had: it is kept for it, and handed over at its return.
// docs/design/repair.md.

export type HandedEntry = { key: string; ballot: Ballot; value: RegisterValue }

type HandoverAnswer = { ok?: boolean; took?: number } | undefined

export type Handover = {
  /** A voter became known: what it holds isn't. */
  added: (id: string) => void
  removed: (id: string) => void
  /** A register was settled while this voter couldn't be reached. */
  missedBy: (id: string, key: string) => void
  /** Hands over what it missed to each voter that is reached again. */
  handOver: (others: { id: string; held: Pick<PersistentLink, 'ask' | 'up'> }[]) => Promise<void>
  /** Takes settled values as late accepts would be taken, never under a higher promise; how many were taken. */
  take: (cells: HandedEntry[]) => Promise<number>
}

/** learn: a value is settled at this ballot. */
export function makeHandover(
  world: World,
  store: Store,
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
  async function handOver(others: { id: string; held: Pick<PersistentLink, 'ask' | 'up'> }[]): Promise<void> {
    for (const other of others) {
      const list = missed.get(other.id)
      if (!list || !other.held.up()) continue
      const cells = settledOf(list)
      const got = (await other.held.ask({ t: 'handover', cells }, ROUND_TIMEOUT_MS)) as HandoverAnswer
      if (!got?.ok) continue
      // What was settled while we handed over is in the list still.
      if (missed.get(other.id) === list) missed.delete(other.id)
      if (cells.length > 0) world.log.info('handed-over', { core: other.id, registers: cells.length, took: got.took })
      metrics.add('claynotch_core_handovers_total')
    }
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
  return { added, removed, missedBy, handOver, take }
}
