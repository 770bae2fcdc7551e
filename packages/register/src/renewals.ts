import type { Metrics, World } from '@claynotch/base'
import { makeTable } from './changes.js'
import type { Terms } from './terms.js'
import { signSight, type KeyLine, type MemberLine, type Renew, type RenewAnswer, type Sight } from './words.js'

/** Answers renewals of leases, each with what changed since the last one that its sender has an answer to. */
export type Renewals = { answer: (renewal: Renew) => RenewAnswer }

const NO_LINES: { lines: MemberLine[]; gone: string[] } = { lines: [], gone: [] }

/** keyLines: what this core holds of each register now. */
export function makeRenewals(world: World, terms: Terms, keyLines: () => KeyLine[], metrics: Metrics): Renewals {
  const life = Math.floor(world.random() * 2 ** 40).toString(36)
  const count = { at: 0 }
  const keyTable = makeTable(count, signKey)
  const memberTable = makeTable(count, signMember)
  const sightTable = makeTable(count, signSight)

  // tallied: the revision of members and instances that the tables hold; they are walked only where it changed.
  let tallied = -1
  function tally(): void {
    const keys = new Map<string, KeyLine>()
    for (const line of keyLines()) keys.set(line.key, line)
    keyTable.update(keys)
    const revision = terms.revision()
    if (revision === tallied) return
    tallied = revision
    metrics.add('claynotch_core_tallies_total')
    const members = new Map<string, MemberLine>()
    for (const line of terms.memberLines()) members.set(line.node, line)
    const sights = new Map<string, Sight>()
    for (const sight of terms.sights()) sights.set(sight.name, sight)
    memberTable.update(members)
    sightTable.update(sights)
  }
  // As they are now, with their age: the table's may be older, and say the same.
  function sightsNow(lines: Sight[]): Sight[] {
    const out: Sight[] = []
    for (const line of lines) out.push(terms.sight(line.name) ?? line)
    return out
  }
  function answer(renewal: Renew): RenewAnswer {
    const end = terms.renew(renewal)
    if (end !== 'held') return { ok: false, [end]: true }
    tally()
    const whole = renewal.core !== life || renewal.count < Math.max(memberTable.least(), sightTable.least())
    const since = whole ? 0 : renewal.count
    const keys = keyTable.since(since).lines
    const members = renewal.brief === true ? NO_LINES : memberTable.since(since)
    const sights = sightTable.since(since)
    metrics.add('claynotch_core_member_lines_total', [], members.lines.length)
    return {
      ok: true,
      sure: terms.sure(),
      core: life,
      since,
      count: count.at,
      ...(keys.length > 0 ? { keys } : {}),
      ...(members.lines.length > 0 ? { members: members.lines } : {}),
      ...(sights.lines.length > 0 ? { sights: sightsNow(sights.lines) } : {}),
      ...(members.gone.length > 0 ? { left: members.gone } : {}),
      ...(sights.gone.length > 0 ? { lost: sights.gone } : {}),
    }
  }
  return { answer }
}

function signKey(line: KeyLine): string {
  return `${line.ballot[0]} ${line.ballot[1]} ${line.turn} ${line.chosen} ${line.pending}`
}
function signMember(line: MemberLine): string {
  return `${line.life} ${line.area} ${line.addr} ${line.operator} ${line.build} ${line.proxy} ${line.core?.token}`
}
