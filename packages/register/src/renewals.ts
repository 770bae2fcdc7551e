import type { World } from '@claynotch/base'
import { makeTable } from './changes.js'
import type { Terms } from './terms.js'
import type { KeyLine, MemberLine, Renew, RenewAnswer, Sight } from './words.js'

/** Answers renewals of leases, each with what changed since the last one that its sender has an answer to. */
export type Renewals = { answer: (renewal: Renew) => RenewAnswer }

/** keyLines: what this core holds of each register now. */
export function makeRenewals(world: World, terms: Terms, keyLines: () => KeyLine[]): Renewals {
  const life = Math.floor(world.random() * 2 ** 40).toString(36)
  const count = { at: 0 }
  const keyTable = makeTable(count, signKey)
  const memberTable = makeTable(count, signMember)
  const sightTable = makeTable(count, signSight)

  function tally(): void {
    const keys = new Map<string, KeyLine>()
    for (const line of keyLines()) keys.set(line.key, line)
    const members = new Map<string, MemberLine>()
    for (const { node, life: its, area, addr, operator, build, proxy, core } of terms.members())
      members.set(node, { node, life: its, area, addr, operator, build, proxy, ...(core ? { core } : {}) })
    const sights = new Map<string, Sight>()
    for (const sight of terms.sights()) sights.set(sight.name, sight)
    keyTable.update(keys)
    memberTable.update(members)
    sightTable.update(sights)
  }
  function answer(renewal: Renew): RenewAnswer {
    const end = terms.renew(renewal)
    if (end !== 'held') return { ok: false, [end]: true }
    tally()
    const whole = renewal.core !== life || renewal.count < Math.max(memberTable.least(), sightTable.least())
    const since = whole ? 0 : renewal.count
    const keys = keyTable.since(since).lines
    const members = memberTable.since(since)
    const sights = sightTable.since(since)
    return {
      ok: true,
      sure: terms.sure(),
      core: life,
      since,
      count: count.at,
      ...(keys.length > 0 ? { keys } : {}),
      ...(members.lines.length > 0 ? { members: members.lines } : {}),
      ...(sights.lines.length > 0 ? { sights: sights.lines } : {}),
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
// Not its age, nor how far its instance has counted: an instance that only says the same again has not changed.
function signSight(sight: Sight): string {
  return `${sight.group} ${sight.addr} ${sight.area} ${sight.role} ${sight.leaving}`
}
