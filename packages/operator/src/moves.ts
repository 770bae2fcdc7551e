import { Ok, Err, type Finding, type Result } from '@claynotch/base'
import type { ConfigurationBody, Config, Edit, Move } from './config.js'
import { keepDecision } from './kept.js'

// Moves of lanes between groups, as a part of the configuration's register. Everything here is pure: the register
// calls it anew in each round, on the value of now.

// The system's own stream: how moves ended. No operator may write to it.
export const SYSTEM = 'system'

export function findOpenMove(moves: Move[] | undefined, lane: string): Move | undefined {
  for (const m of moves ?? []) if (m.lanes.includes(lane)) return m
  return undefined
}

// The lanes that an edit means to move, as far as they are there.
export function lanesToMove(e: Extract<Edit, { op: 'move' }>, config: Config | null | undefined): Config['lanes'] {
  const out: Config['lanes'] = []
  for (const lane of config?.lanes ?? [])
    if (e.lanes ? e.lanes.includes(lane.name) : lane.group === e.group) out.push(lane)
  return out
}

// Moves after a change's edits; config is what the change's other edits make of it, epoch the one that it makes.
export function editMoves(
  body: ConfigurationBody,
  config: Config,
  edits: Edit[],
  staged: boolean,
  epoch = body.epoch + 1,
): Result<Move[], Finding[]> {
  const out: Finding[] = []
  let moves = body.moves ?? []
  for (const [k, e] of edits.entries()) {
    if (e.op === 'move') {
      const lanes: string[] = []
      for (const lane of lanesToMove(e, config)) lanes.push(lane.name)
      const bad: Finding[] = []
      if ((e.lanes === undefined) === (e.group === undefined))
        bad.push({ place: `/edits/${k}`, what: 'exactly one of lanes and group is needed' })
      if (staged) bad.push({ place: `/edits/${k}`, what: 'a stage is open, and a move is for all areas' })
      for (const [n, name] of (e.lanes ?? []).entries())
        if (!lanes.includes(name)) bad.push({ place: `/edits/${k}/lanes/${n}`, what: `no lane is named ${name}` })
      const froms = new Set<string>()
      for (const lane of config.lanes) if (lanes.includes(lane.name)) froms.add(lane.group)
      if (bad.length === 0 && lanes.length === 0) bad.push({ place: `/edits/${k}`, what: 'no lane is to be moved' })
      if (froms.size > 1)
        bad.push({
          place: `/edits/${k}/lanes`,
          what: `the lanes are in groups ${[...froms].sort().join(', ')}; a move has one group to come from`,
        })
      if (froms.has(e.to)) bad.push({ place: `/edits/${k}/to`, what: `${e.to} is the group that the lanes are in` })
      let known = false
      for (const g of config.groups) if (g.name === e.to) known = true
      if (!known) bad.push({ place: `/edits/${k}/to`, what: `no group is named ${e.to}` })
      // Lanes to one database share its rows: one of them left behind would make two groups write it.
      const databases = new Set<string>()
      for (const lane of config.lanes) if (lanes.includes(lane.name)) databases.add(lane.database)
      for (const lane of config.lanes)
        if (froms.has(lane.group) && databases.has(lane.database) && !lanes.includes(lane.name))
          bad.push({
            place: `/edits/${k}/lanes`,
            what: `the lane ${lane.name} is to the same database ${lane.database} and has to go along`,
          })
      for (const name of lanes)
        if (findOpenMove(moves, name)) bad.push({ place: `/edits/${k}`, what: `the lane ${name} is being moved already` })
      out.push(...bad)
      if (bad.length === 0)
        moves = [
          ...moves,
          { id: epoch, lanes, from: [...froms][0], to: e.to, proof: e.proof ?? 'reported', phase: 'copy' },
        ]
    } else if (e.op === 'confirm' || e.op === 'calloff') {
      const mine = findOpenMove(moves, e.lane)
      if (!mine) out.push({ place: `/edits/${k}/lane`, what: `no move of the lane ${e.lane} is under way` })
      else if (e.op === 'calloff') moves = without(moves, mine)
      else if (mine.proof !== 'confirmed')
        out.push({ place: `/edits/${k}`, what: 'the target reports what it holds; nothing is to be confirmed' })
      else if (mine.phase !== 'quiet')
        out.push({
          place: `/edits/${k}`,
          what: `the move is in phase ${mine.phase}; only once writes have stopped (phase quiet) can it be known that the target holds everything`,
        })
      else moves = put(moves, { ...mine, confirmed: true })
    }
  }
  return out.length > 0 ? Err(out) : Ok(moves)
}

// A changed configuration must leave the lanes and groups of open moves as they are.
export function checkMoves(moves: Move[], config: Config): Finding[] {
  const out: Finding[] = []
  const groups = new Set<string>()
  for (const g of config.groups) groups.add(g.name)
  const lanes = new Map<string, string>()
  for (const lane of config.lanes) lanes.set(lane.name, lane.group)
  for (const m of moves) {
    for (const name of m.lanes)
      if (lanes.get(name) !== m.from)
        out.push({
          place: '/lanes',
          what: `the lane ${name} is being moved from ${m.from} to ${m.to}: call the move off, or leave the lane in ${m.from}`,
        })
    for (const g of [m.from, m.to])
      if (!groups.has(g)) out.push({ place: '/groups', what: `the group ${g} takes part in a move` })
  }
  return out
}

function without(moves: Move[], one: Move): Move[] {
  const out: Move[] = []
  for (const m of moves) if (m !== one) out.push(m)
  return out
}
function put(moves: Move[], next: Move): Move[] {
  const out: Move[] = []
  for (const m of moves) out.push(m.id === next.id ? next : m)
  return out
}
function find(body: ConfigurationBody, id: number, phase: Move['phase']): Move | undefined {
  for (const m of body.moves ?? []) if (m.id === id && m.phase === phase) return m
  return undefined
}

// One step forward; undefined where the move isn't in that phase any more.
export function advanceMove(
  body: ConfigurationBody,
  id: number,
  phase: Move['phase'],
  next: Pick<Move, 'phase' | 'mark'>,
): ConfigurationBody | undefined {
  const mine = find(body, id, phase)
  return mine ? { ...body, moves: put(body.moves ?? [], { ...mine, ...next }) } : undefined
}
// The end, in one value: the lanes' group is the other, and the move is gone. Before this it can be called off.
export function completeMove(body: ConfigurationBody, id: number): ConfigurationBody | undefined {
  const mine = find(body, id, 'held')
  if (!mine || !body.config) return undefined
  const lanes: Config['lanes'] = []
  for (const lane of body.config.lanes) lanes.push(mine.lanes.includes(lane.name) ? { ...lane, group: mine.to } : lane)
  return ended(body, mine, 'accepted', `lanes ${mine.lanes.join(', ')} moved from ${mine.from} to ${mine.to}`, {
    ...body.config,
    lanes,
  })
}
export function callOffMove(body: ConfigurationBody, id: number, phase: Move['phase'], why: string): ConfigurationBody | undefined {
  const mine = find(body, id, phase)
  return mine
    ? ended(
        body,
        mine,
        'refused',
        `the move of ${mine.lanes.join(', ')} from ${mine.from} to ${mine.to} was called off: ${why}`,
      )
    : undefined
}
function ended(body: ConfigurationBody, mine: Move, decision: 'accepted' | 'refused', why: string, config?: Config): ConfigurationBody {
  const moves = without(body.moves ?? [], mine)
  let number = 1
  for (const s of body.streams) if (s.name === SYSTEM) number += s.decisions[s.decisions.length - 1]?.number ?? 0
  const epoch = config ? body.epoch + 1 : body.epoch
  return keepDecision({ ...body, moves }, { stream: SYSTEM, number, decision, epoch, why, findings: [] }, config)
}
