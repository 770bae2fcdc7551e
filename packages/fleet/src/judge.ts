import type { Event } from './requester.js'
import type { InstanceRecord } from './instance.js'

// Holds what requesters were told against what the instances recorded. The clocks are one: all of a
// simulated fleet's, or the monotonic clock of the one machine that a local fleet runs on.
export type Breach = { rule: string; what: string }
// What a lane was from a time on, by an accepted change; group undefined: it was dropped.
// fenced: it took the group over by a move, so no write may count on the other side once one did on this.
export type Law = {
  lane: string
  from: number
  group: string | undefined
  within: number
  own: boolean
  fenced?: boolean
}
// ms. Work by a rule that was replaced longer ago than this is a breach: the users' 3 s, and half a second for the
// requester's own way to its node and back.
const HEEDED = 3500
export type Judgement = {
  breaches: Breach[]
  // Acknowledged commits that no instance holds any more because the old leader had not sent them on
  // before it was replaced: asynchronous replication's own loss, reported and not hidden.
  lost: string[]
  checked: { writes: number; reads: number; done: number; promised: number }
}

// apart: a lane's groups hold data of their own, so that what one was told the other doesn't owe.
export function judge(events: Event[], records: InstanceRecord[], laws: Law[] = [], apart = false): Judgement {
  const breaches: Breach[] = []
  const lost = new Set<string>()
  const byLane = new Map<string, Law[]>()
  for (const law of laws) byLane.set(law.lane, [...(byLane.get(law.lane) ?? []), law])
  // The laws that work between two times may go by: those in force then, and those replaced a moment before.
  function lawsOf(lane: string, from: number, to: number): Law[] {
    const list = byLane.get(lane) ?? []
    const out: Law[] = []
    for (const [k, law] of list.entries()) {
      const next = list[k + 1]
      if (law.from <= to && (!next || next.from + HEEDED >= from)) out.push(law)
    }
    return out
  }
  function heeds(lane: string, group: string, from: number, to: number): boolean {
    const list = lawsOf(lane, from, to)
    if (list.length === 0) return true
    for (const law of list) if (law.group === group) return true
    return false
  }
  function breach(rule: string, what: string): void {
    breaches.push({ rule, what })
  }
  // ranBy: every run of each tag, over all instances. kept: how often the surviving line holds each tag.
  const ranBy = new Map<string, { epoch: number; at: number; name: string; group: string }[]>()
  const kept = new Map<string, number>()
  const lines = new Map<string, InstanceRecord>()
  const took = new Map<string, { epoch: number; at: number; base: number }[]>()
  for (const r of records) {
    for (const one of r.ran) {
      const list = ranBy.get(one.tag) ?? []
      // An instance that was killed may hand its record in twice, before and after.
      if (list.some(isSame)) continue
      list.push({ epoch: one.epoch, at: one.at, name: r.name, group: r.group })
      ranBy.set(one.tag, list)
      function isSame(x: { at: number; name: string; epoch: number }): boolean {
        return x.at === one.at && x.name === r.name && x.epoch === one.epoch
      }
    }
    took.set(r.group, [...(took.get(r.group) ?? []), ...r.took])
    const old = lines.get(r.group)
    if (!old || lastEpoch(r) > lastEpoch(old) || (lastEpoch(r) === lastEpoch(old) && r.log.length > old.log.length))
      lines.set(r.group, r)
    if (r.lateWork > 0) breach('leaving', `${r.name} got ${r.lateWork} new pieces of work over 7 s after its notice`)
    if (r.most > r.limit) breach('connections', `${r.name} had ${r.most} connections of ${r.limit}`)
    if (r.wrongSettings > 0)
      breach('settings', `${r.name} saw ${r.wrongSettings} statements under settings of another session`)
  }
  function lastEpoch(r: InstanceRecord): number {
    let e = r.log.length > 0 ? r.log[r.log.length - 1].epoch : 0
    for (const one of r.took) e = Math.max(e, one.epoch)
    return e
  }
  // by: the lines that hold each tag, as a group's leader may lose what another group copied in time.
  const by = new Map<string, Set<string>>()
  for (const r of lines.values()) {
    const here = new Map<string, number>()
    for (const e of r.log) for (const [, tag] of e.ops) here.set(tag, (here.get(tag) ?? 0) + 1)
    for (const [tag, n] of here) {
      if (n > 1) breach('twice', `${tag} took effect ${n} times in ${r.group}`)
      kept.set(tag, n)
      const groups = by.get(tag) ?? new Set<string>()
      by.set(tag, groups.add(r.group))
    }
  }
  for (const [tag, list] of ranBy)
    if (list.length > 1) breach('resent', `${tag} ran ${list.length} times: ${list.map(showRun).join(', ')}`)

  const checked = { writes: 0, reads: 0, done: 0, promised: 0 }
  const byKey = new Map<string, Event[]>()
  for (const e of events) {
    if (e.wrong) breach('foreign', `${e.kind} of session ${e.session} was given rows or settings that are not its own`)
    if (e.tag === undefined) continue
    checked.writes++
    const runs = ranBy.get(e.tag) ?? []
    if (e.outcome === 'done') {
      checked.done++
      const list = byKey.get(e.key) ?? []
      list.push(e)
      byKey.set(e.key, list)
      if (runs.length === 0 && !kept.has(e.tag)) {
        breach('never given', `${e.tag} was told done and no instance ran it`)
        continue
      }
      for (const run of runs) {
        if (!heeds(e.lane, run.group, run.at, run.at))
          breach(
            'unheeded',
            `${e.tag} of lane ${e.lane} ran in ${run.group} at ${Math.round(run.at)}, by a rule replaced long before`,
          )
        for (const next of took.get(run.group) ?? []) {
          if (next.epoch > run.epoch && run.at > next.at)
            breach(
              'old leader',
              `${e.tag} ran on ${run.name} in epoch ${run.epoch} at ${Math.round(run.at)}, after epoch ${next.epoch} began at ${Math.round(next.at)}, and was told done`,
            )
        }
      }
      if (runs.length > 0 && !by.get(e.tag)?.has(runs[0].group)) lost.add(e.tag)
    } else if (e.kept === 'nothing') {
      checked.promised++
      if (runs.length > 0 || kept.has(e.tag)) breach('promise', `${e.tag} was told that nothing was kept, and it ran`)
    } else if ((e.outcome === 'failed' || e.outcome === 'refused') && !e.sentCommit && kept.has(e.tag))
      breach('promise', `${e.tag} took effect though its commit was never sent`)
  }
  for (const [lane, list] of byLane) {
    for (const [k, law] of list.entries()) {
      if (law.fenced !== true) continue
      // From the first write that counted on this side to the next law, none may on the other.
      const until = list[k + 1]?.from ?? Infinity
      let first = Infinity
      for (const e of events)
        if (e.lane === lane && e.tag !== undefined && e.outcome === 'done')
          for (const run of ranBy.get(e.tag) ?? [])
            if (run.group === law.group && run.at >= law.from - 1000) first = Math.min(first, run.at)
      for (const e of events)
        if (e.lane === lane && e.tag !== undefined && e.outcome === 'done')
          for (const run of ranBy.get(e.tag) ?? [])
            if (run.group !== law.group && run.at > first && run.at < until)
              breach(
                'both sides',
                `${e.tag} of lane ${lane} ran in ${run.group} at ${Math.round(run.at)} and was told done, after ${law.group} had taken a write at ${Math.round(first)}`,
              )
    }
  }
  for (const e of events) {
    if (e.list === undefined || e.outcome !== 'done') continue
    checked.reads++
    const has = new Set(e.list)
    if (!heeds(e.lane, e.served, e.start, e.end))
      breach(
        'unheeded',
        `${e.kind} of lane ${e.lane} at ${Math.round(e.start)} was served by ${e.served}, by a rule replaced long before`,
      )
    const ruled = lawsOf(e.lane, e.start, e.end)
    let within = ruled.length > 0 ? 0 : e.within
    let own = ruled.length > 0 || e.own
    for (const law of ruled) {
      within = Math.max(within, law.within)
      if (!law.own) own = false
    }
    for (const w of byKey.get(e.key) ?? []) {
      if (apart && (ranBy.get(w.tag as string) ?? [])[0]?.group !== e.served) continue
      // A session's own writes are those of its lane.
      const mine = own && w.session === e.session && w.end <= e.start && e.kind.startsWith(w.kind)
      if (!mine && !(w.end < e.start - within)) continue
      if (!has.has(w.tag as string) && !lost.has(w.tag as string)) {
        breach(
          'stale',
          `${e.kind} of session ${e.session} at ${Math.round(e.start)} missed ${w.tag}, told done at ${Math.round(w.end)} (${mine ? 'its own' : `owed within ${within} ms`})`,
        )
      }
    }
  }
  return { breaches, lost: [...lost], checked }
}

function showRun(r: { epoch: number; at: number; name: string }): string {
  return `${r.name} epoch ${r.epoch} at ${Math.round(r.at)}`
}
