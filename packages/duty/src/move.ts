import {
  DRAIN,
  DUTY_BEAT,
  loop,
  makeSignal,
  MOVE_NEAR,
  MOVE_QUIET,
  SAMPLE_LIMIT,
  type Signal,
  type Flag,
  type World,
} from '@claynotch/base'
import type { Mark, Status } from '@claynotch/instance'
import { callOff, CONFIG_KEY, stepMove, switchMove, type Body, type Move } from '@claynotch/operator'
import { groupKey, type GroupRecord, type Value } from '@claynotch/register'
import { addrIn, compareMarks, haveStopped, holderOf, leadsAs, type DutyView } from './duty.js'

// Moves of lanes from one group to another: docs/design/moves.md. Every step is a change of the configuration's register
// that names the move and the phase it was in, so whoever holds the duty goes on from what the register says, and one
// that was replaced changes nothing.

// What the holder remembers of one move between beats; lost with it, and nothing rests on it but waiting anew.
// turn: a turn of the register that has the phase. since: when it was first seen here. heads: the source by the time it was asked.
type Memory = {
  phase: Move['phase']
  turn: number
  since: number
  mark: Mark | undefined
  heads: { at: number; mark: Mark }[]
}

export function startMover(world: World, view: DutyView, stop: Flag): { ring: () => void } {
  const bell: Signal = makeSignal()
  const memories = new Map<number, Memory>()
  let count = 0

  async function change(edit: (body: Body) => Body | undefined): Promise<boolean> {
    const tag = `${view.node}~move~${world.now()}~${++count}`
    function run(now: Value | undefined): { body: unknown; tag: string } | undefined {
      if (!now || now.tag === tag) return undefined
      const body = edit(now.body as Body)
      return body ? { body, tag } : undefined
    }
    const got = await view.proposer.change(CONFIG_KEY, run)
    if (!got.done) return false
    if (got.value) view.learned(CONFIG_KEY, got.value, got.ballot)
    return got.value?.tag === tag
  }
  async function step(move: Move, next: Move['phase'], mark?: Mark): Promise<boolean> {
    function edit(body: Body): Body | undefined {
      return stepMove(body, move.id, move.phase, { phase: next, ...(mark ? { mark } : {}) })
    }
    const did = await change(edit)
    if (did)
      world.log.info('move-phase', {
        move: move.id,
        from: move.from,
        to: move.to,
        lanes: move.lanes.join(','),
        phase: next,
        ...(mark ? { mark: `${mark.epoch}/${mark.position}` } : {}),
      })
    return did
  }
  async function giveUp(move: Move, why: string): Promise<boolean> {
    function edit(body: Body): Body | undefined {
      return callOff(body, move.id, move.phase, why)
    }
    const did = await change(edit)
    if (did) {
      view.numbers.add('claynotch_moves_total', [['end', 'called off']])
      world.log.warn('move-called-off', { move: move.id, from: move.from, to: move.to, why })
    }
    return did
  }
  // Whether each proxy has applied this phase, or has run out of its term since then.
  function stopped(m: Memory, from = m.since): Promise<boolean> {
    return haveStopped(world, view, CONFIG_KEY, m.turn, from)
  }
  // The leader of a group by its record, as it answers itself; undefined while there is none to rely on.
  async function leader(group: string): Promise<Status | undefined> {
    const rec = view.cell(groupKey(group))?.body as GroupRecord | undefined
    if (rec?.phase !== 'steady' || rec.leader === undefined || rec.addr === undefined) return undefined
    const got = await view.instance.status(
      world,
      { name: rec.leader, group, addr: addrIn(view, group, rec.leader, rec.addr) },
      SAMPLE_LIMIT,
    )
    return got.ok && got.val.name === rec.leader && leadsAs(rec, got.val) ? got.val : undefined
  }
  // Whether the target's leader holds the mark, and one of its followers all that the leader had then, so that the loss
  // of that leader right after the switch loses nothing.
  async function holds(move: Move, mark: Mark | undefined): Promise<boolean> {
    const head = await leader(move.to)
    if (!head) return false
    if (mark && (head.source?.group !== move.from || compareMarks(head.source.mark, mark) < 0)) return false
    const rest: { name: string; addr: string }[] = []
    for (const s of view.sightsOf(move.to)) if (s.name !== head.name && !s.leaving) rest.push(s)
    if (rest.length === 0) return true
    async function has(s: { name: string; addr: string }): Promise<boolean> {
      const got = await view.instance.status(world, { ...s, group: move.to }, SAMPLE_LIMIT)
      return got.ok && got.val.group === move.to && compareMarks(got.val.mark, head!.mark) >= 0
    }
    return (await Promise.all(rest.map(has))).includes(true)
  }

  async function copy(move: Move, m: Memory): Promise<boolean> {
    if (move.proof === 'confirmed') return (await leader(move.to)) !== undefined && (await step(move, 'ease'))
    const now = world.now()
    const [head, target] = await Promise.all([leader(move.from), leader(move.to)])
    if (head) m.heads.push({ at: now, mark: head.mark })
    while (m.heads.length > 0 && m.heads[0].at < now - MOVE_NEAR) m.heads.shift()
    if (target?.source?.group !== move.from) return false
    for (const one of m.heads) if (compareMarks(target.source.mark, one.mark) >= 0) return await step(move, 'ease')
    return false
  }
  // ease, drain: each proxy lets open transactions end.
  async function drain(move: Move, m: Memory): Promise<boolean> {
    // A proxy acknowledges once the lanes are quiet there, at the latest after DRAIN; one that is silent runs out of its term.
    return (await stopped(m, m.since + DRAIN)) && (await step(move, move.phase === 'ease' ? 'drain' : 'quiet'))
  }
  async function quiet(move: Move, m: Memory): Promise<boolean> {
    if (world.now() - m.since > MOVE_QUIET)
      return await giveUp(
        move,
        move.proof === 'confirmed'
          ? 'nobody confirmed in time that the target holds everything'
          : 'the target did not hold everything in time',
      )
    if (!(await stopped(m))) return false
    // No write of these lanes counts any more, so what the source's leader has now is all that there will be.
    m.mark ??= (await leader(move.from))?.mark
    if (!m.mark) return false
    if (move.proof === 'confirmed' && move.confirmed !== true) return false
    if (!(await holds(move, move.proof === 'reported' ? m.mark : undefined))) return false
    return await step(move, 'held', m.mark)
  }
  async function held(move: Move, m: Memory): Promise<boolean> {
    if (world.now() - m.since > MOVE_QUIET) return await giveUp(move, 'the target had no leader that holds everything')
    if (!(await stopped(m))) return false
    if (!(await holds(move, move.proof === 'reported' ? move.mark : undefined))) return false
    function edit(body: Body): Body | undefined {
      return switchMove(body, move.id)
    }
    const did = await change(edit)
    if (did) {
      view.numbers.add('claynotch_moves_total', [['end', 'done']])
      world.log.info('move-done', { move: move.id, from: move.from, to: move.to, lanes: move.lanes.join(',') })
    }
    return did
  }
  async function work(move: Move, turn: number): Promise<boolean> {
    let m = memories.get(move.id)
    if (m?.phase !== move.phase) {
      m = { phase: move.phase, turn, since: world.now(), mark: undefined, heads: [] }
      memories.set(move.id, m)
    }
    switch (move.phase) {
      case 'copy':
        return await copy(move, m)
      case 'ease':
      case 'drain':
        return await drain(move, m)
      case 'quiet':
        return await quiet(move, m)
      case 'held':
        return await held(move, m)
    }
  }
  async function steps(): Promise<void> {
    for (let on = true; on && !stop.fired();) {
      on = false
      const moves = view.body()?.moves ?? []
      const ids = new Set<number>()
      for (const move of moves) {
        ids.add(move.id)
        if (world.now() >= view.termUntil() || holderOf(`move/${move.id}`, view.live()) !== view.node)
          memories.delete(move.id)
        else if (await work(move, view.cell(CONFIG_KEY)?.turn ?? 0)) on = true
      }
      for (const id of memories.keys()) if (!ids.has(id)) memories.delete(id)
    }
  }
  // While a move stops anything, looks come quicker than the beat, as requesters wait for its end.
  async function tend(): Promise<void> {
    await steps()
    let near = false
    for (const m of memories.values()) if (m.phase !== 'copy') near = true
    if (near) world.later(DUTY_BEAT / 8, bell.ring)
  }
  void loop(world, 'move', DUTY_BEAT, stop, tend, bell)
  return { ring: bell.ring }
}
