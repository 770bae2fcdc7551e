import {
  loop,
  makeSignal,
  makeFlag,
  pause,
  SAMPLE_INTERVAL_MS,
  FAILURES_BEFORE_SUSPICION,
  SAMPLE_TIMEOUT_MS,
  MIN_TRIAL_DELAY_MS,
  MAX_TRIAL_DELAY_MS,
  type Flag,
  type Metrics,
  type World,
} from '@claynotch/base'
import type { InstanceAdapter, LogPosition, StatusSampler, Status } from '@claynotch/instance'
import type { Sample } from './freshness.js'
import type { State } from './state.js'

// ms. Leader samples are kept for this long; longer than any freshness bound in use would look back.
const SAMPLES_LIFE = 10000

// What this node saw of one instance.
// Invariants: samples hold only what it answered as leader; mark is the last it answered, as of a time not after now.
// doubt: something failed there after it was last seen to lead as it should. again: where no samples clear a doubt, one
// call may try from then on, with pauses that grow until one succeeds.
export type Instance = {
  name: string
  group: string
  addr: string
  area: string
  lastOk: number
  status: Status | undefined
  mark: LogPosition | undefined
  samples: Sample[]
  isInDoubt: boolean
  row: number
  again: number
  pause: number
  callsInFlight: number
  // failing: when the first send was made that failed with no sign of life after it.
  failing: number | undefined
}

export type Watch = {
  get: (name: string) => Instance | undefined
  all: () => Map<string, Instance>
  // A good answer, asked at that time, with the place the instance was at.
  // reign: the record's epoch that it was asked under as leader; undefined: it was asked as a follower.
  recordAnswer: (name: string, asked: number, mark: LogPosition, reign: number | undefined) => void
  // asked: when what failed was sent; an answer that came after it speaks for the instance. alive: it was answered, by one
  // that serves. sure: it says itself that it doesn't lead, so nobody need try again to know.
  failed: (name: string, asked: number, alive: boolean, sure: boolean) => void
  // Whether a call may go there; claim: it does, and while there is doubt no other may for a while.
  isUsable: (one: Instance, claim: boolean) => boolean
  // Rings when an instance begins to fail.
  trouble: ReturnType<typeof makeSignal>
  doubtCleared: ReturnType<typeof makeSignal>
}

export function startWatch(world: World, state: State, edge: InstanceAdapter, stop: Flag, metrics: Metrics): Watch {
  const all = new Map<string, Instance>()
  const ends = new Map<string, Flag>()
  const signal = makeSignal()
  const trouble = makeSignal()

  function wantedNow(): Map<string, { group: string; addr: string; area: string }> {
    const out = new Map<string, { group: string; addr: string; area: string }>()
    // Samples take connections too, of a share.
    if (!state.hasConnectionShare()) return out
    const groups = new Set<string>()
    for (const g of state.config()?.groups ?? []) groups.add(g.name)
    for (const s of state.instanceStatuses().values())
      if (groups.has(s.group)) out.set(s.name, { group: s.group, addr: s.addr, area: s.area })
    // A leader by record is watched even while its announcements are not heard.
    for (const g of groups) {
      const rec = state.group(g)?.record
      if (rec?.leader !== undefined && rec.addr !== undefined && !out.has(rec.leader))
        out.set(rec.leader, { group: g, addr: rec.addr, area: all.get(rec.leader)?.area ?? '' })
    }
    return out
  }
  function tend(): void {
    const wanted = wantedNow()
    for (const [name, w] of wanted) {
      const old = all.get(name)
      if (old && old.addr === w.addr && old.group === w.group) {
        old.area = w.area
        continue
      }
      ends.get(name)?.fire()
      const one: Instance = {
        name,
        ...w,
        lastOk: 0,
        status: undefined,
        mark: undefined,
        samples: [],
        isInDoubt: false,
        row: 0,
        again: 0,
        pause: 0,
        callsInFlight: 0,
        failing: undefined,
      }
      const end = makeFlag()
      stop.watch(end.fire)
      all.set(name, one)
      ends.set(name, end)
      if (edge.sampler) void sample(one, end, edge.sampler)
    }
    for (const [name, end] of ends) {
      if (wanted.has(name)) continue
      end.fire()
      ends.delete(name)
      all.delete(name)
    }
  }
  void loop(world, 'watch', SAMPLE_INTERVAL_MS, stop, tend, state.changed)

  // One task for each instance: asks its STATUS on a connection of its own, beat by beat.
  async function sample(one: Instance, end: Flag, ask: NonNullable<InstanceAdapter['sampler']>): Promise<void> {
    let line: StatusSampler | undefined
    while (!end.fired()) {
      const asked = world.now()
      if (!line?.alive()) {
        const got = await ask(world, one, SAMPLE_TIMEOUT_MS)
        line = got.ok ? got.val : undefined
      }
      const got = line ? await line.status() : undefined
      if (end.fired()) break
      if (got?.ok && got.val.name === one.name) {
        one.status = got.val
        saw(one.name, asked, got.val.mark, got.val.role === 'leader' ? got.val.mark.epoch : undefined)
      } else {
        metrics.add('claynotch_samples_failed_total', [['instance', one.name]])
        line?.close()
        line = undefined
        failed(one.name, asked, false, true)
      }
      const spent = world.now() - asked
      await pause(
        world,
        Math.max(SAMPLE_INTERVAL_MS / 3, SAMPLE_INTERVAL_MS - spent) * (0.9 + 0.2 * world.random()),
        end,
      )
    }
    line?.close()
  }
  function saw(name: string, asked: number, mark: LogPosition, reign: number | undefined): void {
    const one = all.get(name)
    if (!one) return
    const now = world.now()
    one.lastOk = now
    one.row = 0
    one.failing = undefined
    const lead = reign !== undefined
    if (!one.mark || mark.epoch !== one.mark.epoch || mark.position > one.mark.position || !lead) one.mark = mark
    if (lead) {
      one.samples.push({ askedAt: asked, epoch: reign, position: mark })
      while (one.samples.length > 0 && one.samples[0].askedAt < now - SAMPLES_LIFE) one.samples.shift()
    }
    const rec = state.group(one.group)?.record
    const fits = rec?.leader === name ? lead && reign === rec.epoch : true
    if (one.isInDoubt && fits) {
      one.isInDoubt = false
      one.pause = 0
      signal.notify()
    } else if (!fits) one.isInDoubt = true
  }
  // One lost answer among many is no reason to keep everyone away: where nothing samples the instance, the second in a row is.
  function failed(name: string, asked: number, alive: boolean, sure: boolean): void {
    const one = all.get(name)
    if (!one) return
    if (alive) {
      one.failing = undefined
      return
    }
    if (!edge.sampler && !sure && one.lastOk >= asked) return
    if (one.failing === undefined) {
      // A good answer since then says that the trouble is younger than the send.
      one.failing = Math.max(asked, one.lastOk)
      trouble.notify()
    }
    if (!edge.sampler && !sure && ++one.row < FAILURES_BEFORE_SUSPICION) return
    one.pause = Math.min(MAX_TRIAL_DELAY_MS, one.pause === 0 ? MIN_TRIAL_DELAY_MS : one.pause * 2)
    one.again = world.now() + one.pause
    if (one.isInDoubt) return
    one.isInDoubt = true
    metrics.add('claynotch_doubts_total', [['instance', name]])
  }
  function usable(one: Instance, claim: boolean): boolean {
    if (!one.isInDoubt) return true
    if (edge.sampler || world.now() < one.again) return false
    if (claim) one.again = world.now() + one.pause
    return true
  }
  function get(name: string): Instance | undefined {
    return all.get(name)
  }
  function allNow(): Map<string, Instance> {
    return all
  }
  return { get, all: allNow, recordAnswer: saw, failed, isUsable: usable, trouble, doubtCleared: signal }
}
