import { Ok, Err, type Finding, type Result } from '@claynotch/base'
import type { ConfigurationBody, Config, Edit, Move } from './config.js'
import { recordDecision } from './kept.js'

// Moves of lanes between groups, stored in the configuration register. All functions here are pure, because the
// register calls them again in each round, on the current value.

/** The system's own stream, which records how moves ended. Operators may not write to it. */
export const SYSTEM_STREAM = 'system'

/** The open move that includes the lane. */
export function findOpenMove(moves: Move[] | undefined, lane: string): Move | undefined {
  for (const move of moves ?? []) if (move.lanes.includes(lane)) return move
  return undefined
}

/** The existing lanes that an edit selects for a move. */
export function lanesToMove(edit: Extract<Edit, { op: 'move' }>, config: Config | null | undefined): Config['lanes'] {
  const lanes: Config['lanes'] = []
  for (const lane of config?.lanes ?? [])
    if (edit.lanes ? edit.lanes.includes(lane.name) : lane.group === edit.group) lanes.push(lane)
  return lanes
}

/**
 * The open moves after the edits of a change. `config` is the configuration after the change's other edits, `epoch` the
 * epoch that the change makes. `staged`: a stage is open or requested, which excludes new moves.
 */
export function editMoves(
  body: ConfigurationBody,
  config: Config,
  edits: Edit[],
  staged: boolean,
  epoch = body.epoch + 1,
): Result<Move[], Finding[]> {
  const findings: Finding[] = []
  let moves = body.moves ?? []
  for (const [index, edit] of edits.entries()) {
    if (edit.op === 'move') {
      const lanes: string[] = []
      for (const lane of lanesToMove(edit, config)) lanes.push(lane.name)
      const editFindings: Finding[] = []
      if ((edit.lanes === undefined) === (edit.group === undefined))
        editFindings.push({ place: `/edits/${index}`, what: 'exactly one of lanes and group is needed' })
      if (staged) editFindings.push({ place: `/edits/${index}`, what: 'a stage is open, and a move is for all areas' })
      for (const [laneIndex, name] of (edit.lanes ?? []).entries())
        if (!lanes.includes(name))
          editFindings.push({ place: `/edits/${index}/lanes/${laneIndex}`, what: `no lane is named ${name}` })
      const sourceGroups = new Set<string>()
      for (const lane of config.lanes) if (lanes.includes(lane.name)) sourceGroups.add(lane.group)
      if (editFindings.length === 0 && lanes.length === 0)
        editFindings.push({ place: `/edits/${index}`, what: 'no lane is to be moved' })
      if (sourceGroups.size > 1)
        editFindings.push({
          place: `/edits/${index}/lanes`,
          what: `the lanes are in groups ${[...sourceGroups].sort().join(', ')}; a move has one group to come from`,
        })
      if (sourceGroups.has(edit.to))
        editFindings.push({ place: `/edits/${index}/to`, what: `${edit.to} is the group that the lanes are in` })
      let targetExists = false
      for (const group of config.groups) if (group.name === edit.to) targetExists = true
      if (!targetExists) editFindings.push({ place: `/edits/${index}/to`, what: `no group is named ${edit.to}` })
      // Lanes of one database share its rows; if one of them stayed behind, two groups would write to it.
      const databases = new Set<string>()
      for (const lane of config.lanes) if (lanes.includes(lane.name)) databases.add(lane.database)
      for (const lane of config.lanes)
        if (sourceGroups.has(lane.group) && databases.has(lane.database) && !lanes.includes(lane.name))
          editFindings.push({
            place: `/edits/${index}/lanes`,
            what: `the lane ${lane.name} is to the same database ${lane.database} and has to go along`,
          })
      for (const name of lanes)
        if (findOpenMove(moves, name))
          editFindings.push({ place: `/edits/${index}`, what: `the lane ${name} is being moved already` })
      findings.push(...editFindings)
      if (editFindings.length === 0)
        moves = [
          ...moves,
          { id: epoch, lanes, from: [...sourceGroups][0], to: edit.to, proof: edit.proof ?? 'reported', phase: 'copy' },
        ]
    } else if (edit.op === 'confirm' || edit.op === 'calloff') {
      const move = findOpenMove(moves, edit.lane)
      if (!move) findings.push({ place: `/edits/${index}/lane`, what: `no move of the lane ${edit.lane} is under way` })
      else if (edit.op === 'calloff') moves = withoutMove(moves, move)
      else if (move.proof !== 'confirmed')
        findings.push({
          place: `/edits/${index}`,
          what: 'the target reports what it holds; nothing is to be confirmed',
        })
      else if (move.phase !== 'quiet')
        findings.push({
          place: `/edits/${index}`,
          what: `the move is in phase ${move.phase}; only once writes have stopped (phase quiet) can it be known that the target holds everything`,
        })
      else moves = replaceMove(moves, { ...move, confirmed: true })
    }
  }
  return findings.length > 0 ? Err(findings) : Ok(moves)
}

/** Checks that a changed configuration leaves the lanes and groups of open moves unchanged. */
export function checkOpenMoves(moves: Move[], config: Config): Finding[] {
  const findings: Finding[] = []
  const groupNames = new Set<string>()
  for (const group of config.groups) groupNames.add(group.name)
  const groupByLane = new Map<string, string>()
  for (const lane of config.lanes) groupByLane.set(lane.name, lane.group)
  for (const move of moves) {
    for (const name of move.lanes)
      if (groupByLane.get(name) !== move.from)
        findings.push({
          place: '/lanes',
          what: `the lane ${name} is being moved from ${move.from} to ${move.to}: call the move off, or leave the lane in ${move.from}`,
        })
    for (const group of [move.from, move.to])
      if (!groupNames.has(group)) findings.push({ place: '/groups', what: `the group ${group} takes part in a move` })
  }
  return findings
}

function withoutMove(moves: Move[], removed: Move): Move[] {
  const remaining: Move[] = []
  for (const move of moves) if (move !== removed) remaining.push(move)
  return remaining
}
function replaceMove(moves: Move[], replacement: Move): Move[] {
  const result: Move[] = []
  for (const move of moves) result.push(move.id === replacement.id ? replacement : move)
  return result
}
function findMoveInPhase(body: ConfigurationBody, id: number, phase: Move['phase']): Move | undefined {
  for (const move of body.moves ?? []) if (move.id === id && move.phase === phase) return move
  return undefined
}

/** Advances a move by one phase; undefined if it is no longer in the given phase. */
export function advanceMove(
  body: ConfigurationBody,
  id: number,
  phase: Move['phase'],
  next: Pick<Move, 'phase' | 'mark'>,
): ConfigurationBody | undefined {
  const move = findMoveInPhase(body, id, phase)
  return move ? { ...body, moves: replaceMove(body.moves ?? [], { ...move, ...next }) } : undefined
}
/**
 * Completes a move in a single register value: the lanes belong to the target group and the move is removed. Until then
 * it can be called off.
 */
export function completeMove(body: ConfigurationBody, id: number): ConfigurationBody | undefined {
  const move = findMoveInPhase(body, id, 'held')
  if (!move || !body.config) return undefined
  const lanes: Config['lanes'] = []
  for (const lane of body.config.lanes) lanes.push(move.lanes.includes(lane.name) ? { ...lane, group: move.to } : lane)
  return endMove(body, move, 'accepted', `lanes ${move.lanes.join(', ')} moved from ${move.from} to ${move.to}`, {
    ...body.config,
    lanes,
  })
}
/** Cancels a move that is in the given phase; the lanes stay in their group. */
export function callOffMove(
  body: ConfigurationBody,
  id: number,
  phase: Move['phase'],
  why: string,
): ConfigurationBody | undefined {
  const move = findMoveInPhase(body, id, phase)
  return move
    ? endMove(
        body,
        move,
        'refused',
        `the move of ${move.lanes.join(', ')} from ${move.from} to ${move.to} was called off: ${why}`,
      )
    : undefined
}
/** Removes the move and records its end in the system's stream. The epoch changes only with the configuration. */
function endMove(
  body: ConfigurationBody,
  move: Move,
  decision: 'accepted' | 'refused',
  why: string,
  config?: Config,
): ConfigurationBody {
  const moves = withoutMove(body.moves ?? [], move)
  let number = 1
  for (const stored of body.streams)
    if (stored.name === SYSTEM_STREAM) number += stored.decisions[stored.decisions.length - 1]?.number ?? 0
  const epoch = config ? body.epoch + 1 : body.epoch
  return recordDecision(
    { ...body, moves },
    { stream: SYSTEM_STREAM, number, decision, epoch, why, findings: [] },
    config,
  )
}
