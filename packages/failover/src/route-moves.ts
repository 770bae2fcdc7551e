import {
  DRAIN_TIMEOUT_MS,
  FAILOVER_INTERVAL_MS,
  loop,
  makeSignal,
  MOVE_NEAR_LAG_MS,
  MOVE_PAUSE_LIMIT_MS,
  SAMPLE_TIMEOUT_MS,
  type Signal,
  type Flag,
  type World,
} from '@claynotch/base'
import { comparePositions, type LogPosition, type Status } from '@claynotch/instance'
import { callOff, CONFIG_KEY, stepMove, switchMove, type Body, type Move } from '@claynotch/operator'
import { groupKey, type GroupRecord, type RegisterValue } from '@claynotch/register'
import { dutyHolderOf } from './duty-holder.js'
import type { Duty } from './failover.js'
import { addressOf, haveStopped, leadsAs, type FailoverView } from './failover-view.js'

// Moves of lanes from one group to another: docs/design/moves.md. Every step is a change of the configuration's register
// that names the move and the phase it was in, so whoever holds the duty goes on from what the register says, and one
// that was replaced changes nothing.

// What the holder remembers of one move between beats; lost with it, and nothing rests on it but waiting anew.
// turn: a turn of the register that has the phase. since: when it was first seen here. heads: the source by the time it was asked.
type Memory = {
  phase: Move['phase']
  turn: number
  since: number
  mark: LogPosition | undefined
  heads: { at: number; mark: LogPosition }[]
}

export function startRouteMoves(world: World, view: FailoverView, stop: Flag): Duty {
  const signal: Signal = makeSignal()
  const memories = new Map<number, Memory>()
  let count = 0

  async function change(edit: (body: Body) => Body | undefined): Promise<boolean> {
    const tag = `${view.node}~move~${world.now()}~${++count}`
    function run(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      if (!now || now.tag === tag) return undefined
      const body = edit(now.body as Body)
      return body ? { body, tag } : undefined
    }
    const got = await view.proposer.change(CONFIG_KEY, run)
    if (!got.done) return false
    if (got.value) view.learn(CONFIG_KEY, got.value, got.ballot)
    return got.value?.tag === tag
  }
  async function step(move: Move, next: Move['phase'], position?: LogPosition): Promise<boolean> {
    function edit(body: Body): Body | undefined {
      return stepMove(body, move.id, move.phase, { phase: next, ...(position ? { mark: position } : {}) })
    }
    const did = await change(edit)
    if (did)
      world.log.info('move-phase', {
        move: move.id,
        from: move.from,
        to: move.to,
        lanes: move.lanes.join(','),
        phase: next,
        ...(position ? { mark: `${position.epoch}/${position.position}` } : {}),
      })
    return did
  }
  async function giveUp(move: Move, why: string): Promise<boolean> {
    function edit(body: Body): Body | undefined {
      return callOff(body, move.id, move.phase, why)
    }
    const did = await change(edit)
    if (did) {
      view.metrics.add('claynotch_moves_total', [['end', 'called off']])
      world.log.warn('move-called-off', { move: move.id, from: move.from, to: move.to, why })
    }
    return did
  }
  // Whether each proxy has applied this phase, or has run out of its term since then.
  function stopped(memory: Memory, from = memory.since): Promise<boolean> {
    return haveStopped(world, view, CONFIG_KEY, memory.turn, from)
  }
  // The leader of a group by its record, as it answers itself; undefined while there is none to rely on.
  async function leader(group: string): Promise<Status | undefined> {
    const rec = view.register(groupKey(group))?.body as GroupRecord | undefined
    if (rec?.phase !== 'steady' || rec.leader === undefined || rec.addr === undefined) return undefined
    const got = await view.instance.status(
      world,
      { name: rec.leader, group, addr: addressOf(view, group, rec.leader, rec.addr) },
      SAMPLE_TIMEOUT_MS,
    )
    return got.ok && got.val.name === rec.leader && leadsAs(rec, got.val) ? got.val : undefined
  }
  // Whether the target's leader holds the mark, and one of its followers all that the leader had then, so that the loss
  // of that leader right after the switch loses nothing.
  async function holds(move: Move, position: LogPosition | undefined): Promise<boolean> {
    const head = await leader(move.to)
    if (!head) return false
    if (position && (head.source?.group !== move.from || comparePositions(head.source.mark, position) < 0)) return false
    const rest: { name: string; addr: string }[] = []
    for (const s of view.instancesOf(move.to)) if (s.name !== head.name && !s.leaving) rest.push(s)
    if (rest.length === 0) return true
    async function has(s: { name: string; addr: string }): Promise<boolean> {
      const got = await view.instance.status(world, { ...s, group: move.to }, SAMPLE_TIMEOUT_MS)
      return got.ok && got.val.group === move.to && comparePositions(got.val.mark, head!.mark) >= 0
    }
    return (await Promise.all(rest.map(has))).includes(true)
  }

  async function copy(move: Move, memory: Memory): Promise<boolean> {
    if (move.proof === 'confirmed') return (await leader(move.to)) !== undefined && (await step(move, 'ease'))
    const now = world.now()
    const [head, target] = await Promise.all([leader(move.from), leader(move.to)])
    if (head) memory.heads.push({ at: now, mark: head.mark })
    while (memory.heads.length > 0 && memory.heads[0].at < now - MOVE_NEAR_LAG_MS) memory.heads.shift()
    if (target?.source?.group !== move.from) return false
    for (const one of memory.heads)
      if (comparePositions(target.source.mark, one.mark) >= 0) return await step(move, 'ease')
    return false
  }
  // ease, drain: each proxy lets open transactions end.
  async function drain(move: Move, memory: Memory): Promise<boolean> {
    // A proxy acknowledges once the lanes are quiet there, at the latest after DRAIN; one that is silent runs out of its term.
    return (
      (await stopped(memory, memory.since + DRAIN_TIMEOUT_MS)) &&
      (await step(move, move.phase === 'ease' ? 'drain' : 'quiet'))
    )
  }
  async function quiet(move: Move, memory: Memory): Promise<boolean> {
    if (world.now() - memory.since > MOVE_PAUSE_LIMIT_MS)
      return await giveUp(
        move,
        move.proof === 'confirmed'
          ? 'nobody confirmed in time that the target holds everything'
          : 'the target did not hold everything in time',
      )
    if (!(await stopped(memory))) return false
    // No write of these lanes counts any more, so what the source's leader has now is all that there will be.
    memory.mark ??= (await leader(move.from))?.mark
    if (!memory.mark) return false
    if (move.proof === 'confirmed' && move.confirmed !== true) return false
    if (!(await holds(move, move.proof === 'reported' ? memory.mark : undefined))) return false
    return await step(move, 'held', memory.mark)
  }
  async function held(move: Move, memory: Memory): Promise<boolean> {
    if (world.now() - memory.since > MOVE_PAUSE_LIMIT_MS)
      return await giveUp(move, 'the target had no leader that holds everything')
    if (!(await stopped(memory))) return false
    if (!(await holds(move, move.proof === 'reported' ? move.mark : undefined))) return false
    function edit(body: Body): Body | undefined {
      return switchMove(body, move.id)
    }
    const did = await change(edit)
    if (did) {
      view.metrics.add('claynotch_moves_total', [['end', 'done']])
      world.log.info('move-done', { move: move.id, from: move.from, to: move.to, lanes: move.lanes.join(',') })
    }
    return did
  }
  async function work(move: Move, version: number): Promise<boolean> {
    let m = memories.get(move.id)
    if (m?.phase !== move.phase) {
      m = { phase: move.phase, turn: version, since: world.now(), mark: undefined, heads: [] }
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
        if (world.now() >= view.leaseExpiresAt() || dutyHolderOf(`move/${move.id}`, view.live()) !== view.node)
          memories.delete(move.id)
        else if (await work(move, view.register(CONFIG_KEY)?.turn ?? 0)) on = true
      }
      for (const id of memories.keys()) if (!ids.has(id)) memories.delete(id)
    }
  }
  // While a move stops anything, looks come quicker than the beat, as requesters wait for its end.
  async function tend(): Promise<void> {
    await steps()
    let near = false
    for (const memory of memories.values()) if (memory.phase !== 'copy') near = true
    if (near) world.later(FAILOVER_INTERVAL_MS / 8, signal.notify)
  }
  void loop(world, 'move', FAILOVER_INTERVAL_MS, stop, tend, signal)
  return { notify: signal.notify }
}
