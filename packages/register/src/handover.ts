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

/** A register with its committed value, as handed over. */
export type HandoverEntry = { key: string; ballot: Ballot; value: RegisterValue }
/** A register whose committed value a core holds at this ballot. */
export type OfferedEntry = { key: string; ballot: Ballot }

/** The part of the link to another voter that a handover uses. */
export type HandoverLink = Pick<PersistentLink, 'ask' | 'up' | 'peer'>

type HandoverAnswer = { ok?: boolean; took?: number } | undefined

/**
 * Repairs a core that was unreachable: the other voters remember which commits it missed and send them when it is back.
 * docs/design/repair.md.
 */
export type Handover = {
  /** A voter was added; its registers are unknown, so it counts as having missed all. */
  added: (id: string) => void
  /** A voter was removed from the set. */
  removed: (id: string) => void
  /** A register was committed while this voter was unreachable. */
  recordMissed: (id: string, key: string) => void
  /** Sends each voter that is reachable again the commits that it missed. */
  handOver: (others: { id: string; held: HandoverLink }[]) => Promise<void>
  /** The registers of an offer that this core lacks; it learns that the others are committed. */
  missingKeysOf: (offered: OfferedEntry[]) => string[]
  /** Accepts committed values like late accepts, never below a higher promise. Returns how many were accepted. */
  take: (cells: HandoverEntry[]) => Promise<number>
}

/** learnCommitted: called when a value is known to be committed at this ballot. */
export function makeHandover(
  world: World,
  store: RegisterStore,
  isCommitted: (key: string, cell: RegisterEntry) => boolean,
  learnCommitted: (key: string, ballot: Ballot) => void,
  metrics: Metrics,
): Handover {
  /**
   * For each other voter the registers that were committed while it was unreachable; 'all' if there are more than
   * MAX_MISSED_REGISTERS, or if they are unknown because this core was away itself.
   */
  const missedRegisters = new Map<string, Set<string> | 'all'>()

  function added(id: string): void {
    missedRegisters.set(id, 'all')
  }
  function removed(id: string): void {
    missedRegisters.delete(id)
  }
  function recordMissed(id: string, key: string): void {
    const missedByPeer = missedRegisters.get(id)
    if (missedByPeer === 'all') return
    const updated = missedByPeer ?? new Set<string>()
    updated.add(key)
    missedRegisters.set(id, updated.size > MAX_MISSED_REGISTERS ? 'all' : updated)
  }
  function committedEntriesOf(keys: Set<string> | 'all'): HandoverEntry[] {
    const committedEntries: HandoverEntry[] = []
    for (const [key, cell] of store.entries()) {
      if (!cell.value || !isCommitted(key, cell)) continue
      if (keys === 'all' || keys.has(key)) committedEntries.push({ key, ballot: cell.ballot, value: cell.value })
    }
    return committedEntries
  }
  /**
   * The entries that the other voter lacks by its own answer; all of them if its link version has no offers. undefined:
   * it didn't answer.
   */
  async function entriesMissingAt(link: HandoverLink, entries: HandoverEntry[]): Promise<HandoverEntry[] | undefined> {
    if (entries.length === 0 || (link.peer()?.epoch ?? 0) < OFFER_LINK_VERSION) return entries
    const offered: OfferedEntry[] = []
    for (const { key, ballot } of entries) offered.push({ key, ballot })
    const answer = readAs(HandoverOfferAnswer, await link.ask({ t: 'offer', cells: offered }, ROUND_TIMEOUT_MS))
    if (answer.err) return undefined
    const missingKeys = new Set(answer.val.lacks)
    function isMissing(entry: HandoverEntry): boolean {
      return missingKeys.has(entry.key)
    }
    return entries.filter(isMissing)
  }
  async function handOver(others: { id: string; held: HandoverLink }[]): Promise<void> {
    for (const other of others) {
      const missedByPeer = missedRegisters.get(other.id)
      if (!missedByPeer || !other.held.up()) continue
      const entries = await entriesMissingAt(other.held, committedEntriesOf(missedByPeer))
      if (!entries) continue
      const answer = (await other.held.ask({ t: 'handover', cells: entries }, ROUND_TIMEOUT_MS)) as HandoverAnswer
      if (!answer?.ok) continue
      // Kept if it was replaced by 'all' in the meantime, so that commits made during the handover aren't forgotten.
      if (missedRegisters.get(other.id) === missedByPeer) missedRegisters.delete(other.id)
      if (entries.length > 0)
        world.log.info('handed-over', { core: other.id, registers: entries.length, took: answer.took })
      metrics.add('claynotch_core_handovers_total')
    }
  }
  function missingKeysOf(offered: OfferedEntry[]): string[] {
    const missingKeys: string[] = []
    for (const { key, ballot } of offered) {
      const ownEntry = store.entries().get(key)
      if (ownEntry && compareBallots(ownEntry.ballot, ballot) >= 0) learnCommitted(key, ballot)
      else missingKeys.push(key)
    }
    return missingKeys
  }
  async function take(entries: HandoverEntry[]): Promise<number> {
    let takenCount = 0
    for (const { key, ballot, value } of entries) {
      const ownEntry = store.entries().get(key)
      if (!ownEntry || compareBallots(ownEntry.ballot, ballot) < 0) {
        const accepted = await store.accept(key, ballot, value)
        if (!accepted.ok) continue
        takenCount++
      }
      learnCommitted(key, ballot)
    }
    if (takenCount > 0) metrics.add('claynotch_core_taken_over_total', [], takenCount)
    return takenCount
  }
  return { added, removed, recordMissed, handOver, missingKeysOf, take }
}
