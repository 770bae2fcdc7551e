import { ANNOUNCE_LIFE, LEAVING_LIFE, TERM, TERM_SLACK, type World } from '@claynotch/base'
import { laterSight, type Member, type Renew, type Sight } from './words.js'

// Terms held at this core, in memory only.
// Invariants: a term ends here later than at its holder (the holder counts from before it asked);
// for one whole term after the start of this core, members may exist that it does not know (sure() is false).
// A restarted agent takes its node's term over at once; the life that was replaced is refused from then on.
type Term = { until: number; last: Renew; acks: Map<string, number>; past: Set<string> }

export type Terms = {
  renew: (r: Renew) => boolean
  leave: (node: string, life: string) => void
  ack: (node: string, key: string, turn: number) => void
  members: () => Member[]
  sights: () => Sight[]
  sure: () => boolean
}

export function makeTerms(world: World): Terms {
  const start = world.now()
  const terms = new Map<string, Term>()
  const seen = new Map<string, { sight: Sight; at: number }>()

  function see(s: Sight, now: number): void {
    const at = now - s.age
    seen.set(s.name, laterSight(seen.get(s.name), s, at))
  }
  // false: another life of the same node has taken the term over.
  function renew(r: Renew): boolean {
    const now = world.now()
    const old = terms.get(r.node)
    if (old?.past.has(r.life)) return false
    const past = old?.past ?? new Set<string>()
    if (old && old.last.life !== r.life) past.add(old.last.life)
    const acks = old && old.last.life === r.life ? old.acks : new Map<string, number>()
    for (const [key, turn] of r.acks) acks.set(key, Math.max(turn, acks.get(key) ?? 0))
    terms.set(r.node, { until: now + TERM + TERM_SLACK, last: r, acks, past })
    for (const s of r.sights) see(s, now)
    return true
  }
  function leave(node: string, life: string): void {
    const old = terms.get(node)
    if (old && old.last.life === life) terms.delete(node)
  }
  function ack(node: string, key: string, turn: number): void {
    const one = terms.get(node)
    if (one) one.acks.set(key, Math.max(turn, one.acks.get(key) ?? 0))
  }
  function members(): Member[] {
    const now = world.now()
    const out: Member[] = []
    for (const [node, one] of terms) {
      if (one.until <= now) {
        terms.delete(node)
        continue
      }
      const r = one.last
      out.push({ node, life: r.life, area: r.area, addr: r.addr, operator: r.operator, build: r.build, open: r.open, left: one.until - now, acks: [...one.acks], highs: r.highs, proxy: r.proxy })
    }
    return out
  }
  function sights(): Sight[] {
    const now = world.now()
    const out: Sight[] = []
    for (const [name, one] of seen) {
      const age = now - one.at
      if (age > (one.sight.leaving ? LEAVING_LIFE : ANNOUNCE_LIFE)) seen.delete(name)
      else out.push({ ...one.sight, age })
    }
    return out
  }
  function sure(): boolean {
    return world.now() - start > TERM + TERM_SLACK
  }
  return { renew, leave, ack, members, sights, sure }
}
