import {
  DRAIN_TIMEOUT_MS,
  FAILOVER_INTERVAL_MS,
  loop,
  makeSignal,
  MOVE_CUTOVER_LAG_MS,
  MOVE_PAUSE_LIMIT_MS,
  SAMPLE_TIMEOUT_MS,
  type Signal,
  type Flag,
  type World,
} from '@claynotch/base'
import { comparePositions, type LogPosition, type Status } from '@claynotch/instance'
import {
  callOffMove,
  CONFIG_KEY,
  advanceMove,
  completeMove,
  type ConfigurationBody,
  type Move,
} from '@claynotch/operator'
import { groupKey, type GroupRecord, type RegisterValue } from '@claynotch/register'
import { dutyHolderOf } from './duty-holder.js'
import type { Duty } from './failover.js'
import { addressOf, haveAllProxiesStopped, isRecordedLeader, type FailoverView } from './failover-view.js'

/**
 * Moves of lanes from one group to another: docs/design/moves.md. Every step is a conditional change of
 * the configuration register that names the move and the phase it was in, so a new holder of the duty continues from
 * what the register says, and a node that no longer holds the duty changes nothing.
 */

/** What the holder remembers of one move between steps. If it is lost, the waits of the current phase start again. */
type MoveMemory = {
  phase: Move['phase']
  /** A version of the register that has this phase. */
  version: number
  /** When the phase was first seen here (local time, ms). */
  since: number
  /** The source's final position, once its writes have stopped. */
  mark: LogPosition | undefined
  /** Positions of the source's leader over the last MOVE_CUTOVER_LAG_MS, with the time of each. */
  sourcePositions: { at: number; mark: LogPosition }[]
}

/** Carries out the moves of the configuration whose duty falls to this node. */
export function startRouteMoves(world: World, view: FailoverView, stop: Flag): Duty {
  const signal: Signal = makeSignal()
  const memories = new Map<number, MoveMemory>()
  let writeCount = 0

  /** Edits the configuration register; true: this edit was committed. */
  async function changeConfiguration(
    edit: (body: ConfigurationBody) => ConfigurationBody | undefined,
  ): Promise<boolean> {
    const tag = `${view.node}~move~${world.now()}~${++writeCount}`
    function editRegister(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      if (!now || now.tag === tag) return undefined
      const body = edit(now.body as ConfigurationBody)
      return body ? { body, tag } : undefined
    }
    const committed = await view.proposer.change(CONFIG_KEY, editRegister)
    if (!committed.done) return false
    if (committed.value) view.learn(CONFIG_KEY, committed.value, committed.ballot)
    return committed.value?.tag === tag
  }
  async function advancePhase(move: Move, next: Move['phase'], position?: LogPosition): Promise<boolean> {
    function edit(body: ConfigurationBody): ConfigurationBody | undefined {
      return advanceMove(body, move.id, move.phase, { phase: next, ...(position ? { mark: position } : {}) })
    }
    const hasAdvanced = await changeConfiguration(edit)
    if (hasAdvanced)
      world.log.info('move-phase', {
        move: move.id,
        from: move.from,
        to: move.to,
        lanes: move.lanes.join(','),
        phase: next,
        ...(position ? { mark: `${position.epoch}/${position.position}` } : {}),
      })
    return hasAdvanced
  }
  async function cancelMove(move: Move, why: string): Promise<boolean> {
    function edit(body: ConfigurationBody): ConfigurationBody | undefined {
      return callOffMove(body, move.id, move.phase, why)
    }
    const isCancelled = await changeConfiguration(edit)
    if (isCancelled) {
      view.metrics.add('claynotch_moves_total', [['end', 'called off']])
      world.log.warn('move-called-off', { move: move.id, from: move.from, to: move.to, why })
    }
    return isCancelled
  }
  /** Whether each proxy has applied this phase, or its lease has expired since then. */
  function haveProxiesStopped(memory: MoveMemory, since = memory.since): Promise<boolean> {
    return haveAllProxiesStopped(world, view, CONFIG_KEY, memory.version, since)
  }
  /**
   * The status of a group's recorded leader; undefined unless the record is steady and the instance confirms that it
   * leads.
   */
  async function queryLeader(group: string): Promise<Status | undefined> {
    const record = view.register(groupKey(group))?.body as GroupRecord | undefined
    if (record?.phase !== 'steady' || record.leader === undefined || record.addr === undefined) return undefined
    const status = await view.instance.status(
      world,
      { name: record.leader, group, addr: addressOf(view, group, record.leader, record.addr) },
      SAMPLE_TIMEOUT_MS,
    )
    return status.ok && status.val.name === record.leader && isRecordedLeader(record, status.val)
      ? status.val
      : undefined
  }
  /**
   * Whether the target's leader holds the source's log up to the position, and at least one of its followers, if it has
   * any, holds all that the leader holds, so that a failure of that leader right after the switch loses nothing.
   */
  async function isTargetComplete(move: Move, position: LogPosition | undefined): Promise<boolean> {
    const targetLeader = await queryLeader(move.to)
    if (!targetLeader) return false
    if (
      position &&
      (targetLeader.source?.group !== move.from || comparePositions(targetLeader.source.mark, position) < 0)
    )
      return false
    const followers: { name: string; addr: string }[] = []
    for (const instance of view.instancesOf(move.to))
      if (instance.name !== targetLeader.name && !instance.leaving) followers.push(instance)
    if (followers.length === 0) return true
    async function holdsPosition(follower: { name: string; addr: string }): Promise<boolean> {
      const status = await view.instance.status(world, { ...follower, group: move.to }, SAMPLE_TIMEOUT_MS)
      return status.ok && status.val.group === move.to && comparePositions(status.val.mark, targetLeader!.mark) >= 0
    }
    return (await Promise.all(followers.map(holdsPosition))).includes(true)
  }

  /**
   * copy: waits until the target reaches a recent position of the source; with proof 'confirmed', only until it has a
   * leader.
   */
  async function awaitCopy(move: Move, memory: MoveMemory): Promise<boolean> {
    if (move.proof === 'confirmed')
      return (await queryLeader(move.to)) !== undefined && (await advancePhase(move, 'ease'))
    const now = world.now()
    const [sourceLeader, targetLeader] = await Promise.all([queryLeader(move.from), queryLeader(move.to)])
    if (sourceLeader) memory.sourcePositions.push({ at: now, mark: sourceLeader.mark })
    while (memory.sourcePositions.length > 0 && memory.sourcePositions[0].at < now - MOVE_CUTOVER_LAG_MS)
      memory.sourcePositions.shift()
    if (targetLeader?.source?.group !== move.from) return false
    for (const sourcePosition of memory.sourcePositions)
      if (comparePositions(targetLeader.source.mark, sourcePosition.mark) >= 0) return await advancePhase(move, 'ease')
    return false
  }
  /** ease, drain: each proxy lets open transactions end. */
  async function awaitDrain(move: Move, memory: MoveMemory): Promise<boolean> {
    // A proxy acknowledges once its lanes have no open transactions, at the latest after DRAIN_TIMEOUT_MS. One that
    // sends no acknowledgement loses its lease.
    return (
      (await haveProxiesStopped(memory, memory.since + DRAIN_TIMEOUT_MS)) &&
      (await advancePhase(move, move.phase === 'ease' ? 'drain' : 'quiet'))
    )
  }
  /** quiet: writes of the lanes are stopped until the target holds everything. */
  async function awaitTargetComplete(move: Move, memory: MoveMemory): Promise<boolean> {
    if (world.now() - memory.since > MOVE_PAUSE_LIMIT_MS)
      return await cancelMove(
        move,
        move.proof === 'confirmed'
          ? 'nobody confirmed in time that the target holds everything'
          : 'the target did not hold everything in time',
      )
    if (!(await haveProxiesStopped(memory))) return false
    // No write of these lanes is acknowledged any more, so the source leader's current position is final.
    memory.mark ??= (await queryLeader(move.from))?.mark
    if (!memory.mark) return false
    if (move.proof === 'confirmed' && move.confirmed !== true) return false
    if (!(await isTargetComplete(move, move.proof === 'reported' ? memory.mark : undefined))) return false
    return await advancePhase(move, 'held', memory.mark)
  }
  /** held: the routes are switched to the target once it is confirmed again that it holds everything. */
  async function switchRoutes(move: Move, memory: MoveMemory): Promise<boolean> {
    if (world.now() - memory.since > MOVE_PAUSE_LIMIT_MS)
      return await cancelMove(move, 'the target had no leader that holds everything')
    if (!(await haveProxiesStopped(memory))) return false
    if (!(await isTargetComplete(move, move.proof === 'reported' ? move.mark : undefined))) return false
    function edit(body: ConfigurationBody): ConfigurationBody | undefined {
      return completeMove(body, move.id)
    }
    const isSwitched = await changeConfiguration(edit)
    if (isSwitched) {
      view.metrics.add('claynotch_moves_total', [['end', 'done']])
      world.log.info('move-done', { move: move.id, from: move.from, to: move.to, lanes: move.lanes.join(',') })
    }
    return isSwitched
  }
  /** Takes one step of a move; true: its phase advanced. */
  async function runPhase(move: Move, version: number): Promise<boolean> {
    let memory = memories.get(move.id)
    if (memory?.phase !== move.phase) {
      memory = { phase: move.phase, version, since: world.now(), mark: undefined, sourcePositions: [] }
      memories.set(move.id, memory)
    }
    switch (move.phase) {
      case 'copy':
        return await awaitCopy(move, memory)
      case 'ease':
      case 'drain':
        return await awaitDrain(move, memory)
      case 'quiet':
        return await awaitTargetComplete(move, memory)
      case 'held':
        return await switchRoutes(move, memory)
    }
  }
  async function runSteps(): Promise<void> {
    for (let hasAdvanced = true; hasAdvanced && !stop.fired();) {
      hasAdvanced = false
      const moves = view.body()?.moves ?? []
      const ids = new Set<number>()
      for (const move of moves) {
        ids.add(move.id)
        if (world.now() >= view.leaseExpiresAt() || dutyHolderOf(`move/${move.id}`, view.live()) !== view.node)
          memories.delete(move.id)
        else if (await runPhase(move, view.register(CONFIG_KEY)?.turn ?? 0)) hasAdvanced = true
      }
      for (const id of memories.keys()) if (!ids.has(id)) memories.delete(id)
    }
  }
  /** While a move stops traffic, steps run more often than FAILOVER_INTERVAL_MS, as requesters wait for its end. */
  async function runAndReschedule(): Promise<void> {
    await runSteps()
    let isAnyRouteStopped = false
    for (const memory of memories.values()) if (memory.phase !== 'copy') isAnyRouteStopped = true
    if (isAnyRouteStopped) world.later(FAILOVER_INTERVAL_MS / 8, signal.notify)
  }
  void loop(world, 'move', FAILOVER_INTERVAL_MS, stop, runAndReschedule, signal)
  return { notify: signal.notify }
}
