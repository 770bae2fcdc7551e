import {
  CONFIGS_KEPT,
  DECISIONS_KEPT,
  encode,
  HISTORY_KEPT,
  NAMED_KEPT,
  STREAMS_KEPT,
  VALUE_LIMIT,
  type Finding,
} from '@claynotch/base'
import { applyEdits, readConfig, type Body, type Change, type Config, type Decision, type Move } from './config.js'
import { beyondTeam } from './credentials.js'
import { checkMoves, editMoves, SYSTEM } from './moves.js'

// What becomes of one change on the present body. Pure: the register calls it anew in each round.
// 'known': nothing is written: this stream and number were decided before, and the first decision stands; or the change
// names its epoch and is refused (the same one sent again is judged anew, and an epoch once passed stays so).
export type Ruling = { known: Decision } | { body: Body; decision: Decision }

export function findDecision(body: Body, stream: string, number: number): Decision | undefined {
  for (const s of body.streams) if (s.name === stream) for (const d of s.decisions) if (d.number === number) return d
  for (const h of body.history) if (h.stream === stream && h.number === number) return accepted(h)
  return undefined
}
function accepted(h: Body['history'][number]): Decision {
  return { stream: h.stream, number: h.number, decision: 'accepted', epoch: h.epoch, why: '', findings: [] }
}

// Every decision there is to read back, by stream and number.
export function allDecisions(body: Body, stream?: string): Decision[] {
  const byKey = new Map<string, Decision>()
  for (const h of body.history) byKey.set(`${h.stream} ${h.number}`, accepted(h))
  for (const s of body.streams) for (const d of s.decisions) byKey.set(`${d.stream} ${d.number}`, d)
  const out: Decision[] = []
  for (const d of byKey.values()) if (stream === undefined || d.stream === stream) out.push(d)
  return out.sort(byPlace)
}
function byPlace(a: Decision, b: Decision): number {
  return a.stream !== b.stream ? (a.stream < b.stream ? -1 : 1) : a.number - b.number
}

function refused(stream: string, number: number, epoch: number, why: string, findings: Finding[] = []): Decision {
  return { stream, number, decision: 'refused', epoch, why, findings }
}

// Lanes that two configurations in force beside each other would send to two groups, which both would write.
function splitLanes(prior: Config, next: Config): Finding[] {
  const out: Finding[] = []
  const groups = new Map<string, string>()
  for (const lane of prior.lanes) groups.set(lane.name, lane.group)
  for (const [k, lane] of next.lanes.entries()) {
    const was = groups.get(lane.name)
    if (was !== undefined && was !== lane.group)
      out.push({
        place: `/lanes/${k}/group`,
        what: `the lane ${lane.name} is in group ${was} where the stage isn't open yet`,
      })
  }
  return out
}

// team: set where the caller may change that team's lanes only. hindered: what the fleet as it is has against the change.
export function decide(body: Body, stream: string, change: Change, team?: string, hindered: Finding[] = []): Ruling {
  const { number } = change
  const epoch = change.epoch ?? body.epoch + 1
  const first = findDecision(body, stream, number)
  if (first) return { known: first }
  const mine = body.streams.find(isMine)
  function isMine(s: { name: string }): boolean {
    return s.name === stream
  }
  const last = mine?.decisions[mine.decisions.length - 1]
  if (last && number < last.number)
    return {
      known: refused(
        stream,
        number,
        body.epoch,
        `number ${number} was passed by ${last.number}; its decision, if any, is forgotten`,
      ),
    }

  function ruled(): { config?: Config; stage?: Body['stage']; moves?: Move[]; decision: Decision } {
    if (stream === SYSTEM)
      return { decision: refused(stream, number, body.epoch, `the stream ${SYSTEM} is the system's own`) }
    const beyond = team === undefined ? [] : beyondTeam(team, change, body.config)
    if (beyond.length > 0) return { decision: refused(stream, number, body.epoch, "not this team's to change", beyond) }
    if (change.expect !== body.epoch)
      return {
        decision: refused(
          stream,
          number,
          body.epoch,
          `expected epoch ${change.expect}, the present one is ${body.epoch}`,
        ),
      }
    if (hindered.length > 0)
      return { decision: refused(stream, number, body.epoch, "the fleet can't do this now", hindered) }
    if (epoch <= body.epoch)
      return {
        decision: refused(
          stream,
          number,
          body.epoch,
          `the present epoch is ${body.epoch}, and ${epoch} isn't above it`,
          [{ place: '/epoch', what: `not above ${body.epoch}` }],
        ),
      }
    const wins: Decision = { stream, number, decision: 'accepted', epoch, why: '', findings: [] }
    // A stage opened further, or to all, with nothing else changed.
    if (body.stage && change.stage !== undefined && change.whole === undefined && change.edits === undefined) {
      if (change.stage === 'all') return { config: body.config as Config, decision: wins }
      return { config: body.config as Config, stage: { ...body.stage, areas: change.stage }, decision: wins }
    }
    if (body.stage && !(change.stage === 'all' && change.whole !== undefined))
      return {
        decision: refused(
          stream,
          number,
          body.epoch,
          `a stage is open (areas ${body.stage.areas.join(', ')}): open it to all, or send a whole configuration to all`,
        ),
      }
    if ((change.whole === undefined) === (change.edits === undefined))
      return { decision: refused(stream, number, body.epoch, 'exactly one of whole and edits is needed') }
    let next: unknown = change.whole
    if (change.edits) {
      if (!body.config)
        return { decision: refused(stream, number, body.epoch, 'there is no configuration yet to edit') }
      const edited = applyEdits(body.config, change.edits)
      if (edited.err) return { decision: refused(stream, number, body.epoch, 'invalid change', edited.val) }
      next = edited.val
    }
    const got = readConfig(next)
    if (got.err) return { decision: refused(stream, number, body.epoch, 'invalid configuration', got.val) }
    const moved = editMoves(
      body,
      got.val,
      change.edits ?? [],
      body.stage !== undefined || change.stage !== undefined,
      epoch,
    )
    if (moved.err) return { decision: refused(stream, number, body.epoch, 'invalid move', moved.val) }
    const moves = moved.val
    const clash = checkMoves(moves, got.val)
    if (moves.length > 0 && Array.isArray(change.stage))
      clash.push({ place: '/stage', what: 'a move is under way, and a stage would leave areas out of it' })
    if (clash.length > 0) return { decision: refused(stream, number, body.epoch, 'a move is under way', clash) }
    if (Array.isArray(change.stage)) {
      if (!body.config)
        return { decision: refused(stream, number, body.epoch, "the first configuration can't be staged") }
      const split = splitLanes(body.config, got.val)
      if (split.length > 0)
        return {
          decision: refused(stream, number, body.epoch, "a stage can't have a lane served by two groups", split),
        }
      return {
        config: got.val,
        stage: { areas: change.stage, prior: body.config, priorEpoch: body.epoch },
        decision: wins,
      }
    }
    return { config: got.val, moves, decision: wins }
  }
  const { config, stage, moves, decision } = ruled()
  if (change.epoch !== undefined && !config) return { known: decision }
  const next: Body = { ...body }
  if (config) {
    delete next.stage
    delete next.moves
    if (stage) next.stage = stage
    if (moves && moves.length > 0) next.moves = moves
  }
  const named = change.epoch !== undefined
  const after = config && named ? keepNamed(next, decision, config) : keepDecision(next, decision, config)
  if (config && encode(named ? config : after).length > VALUE_LIMIT) {
    const big = refused(stream, number, body.epoch, 'too large', [
      { place: '', what: `with what is kept of earlier ones over ${VALUE_LIMIT} bytes` },
    ])
    return named ? { known: big } : { body: keepDecision(body, big), decision: big }
  }
  return { body: after, decision }
}

// The body with one more decision, and with it, where it was accepted, a configuration.
export function keepDecision(body: Body, decision: Decision, config?: Config): Body {
  const { stream, number, epoch } = decision
  let used = 0
  let mine: Body['streams'][number] | undefined
  const streams: Body['streams'] = []
  for (const s of body.streams) {
    used = Math.max(used, s.used)
    if (s.name === stream) mine = s
    else streams.push(s)
  }
  streams.push({
    name: stream,
    used: used + 1,
    decisions: [...(mine?.decisions ?? []), decision].slice(-DECISIONS_KEPT),
  })
  streams.sort(byUse)
  while (streams.length > STREAMS_KEPT) streams.shift()
  if (!config) return { ...body, streams }
  const old: Body['history'] = []
  const least = countOf(body.history, false) + 1 - CONFIGS_KEPT
  let k = 0
  for (const h of body.history)
    old.push(h.named || k++ >= least ? h : { epoch: h.epoch, stream: h.stream, number: h.number })
  return {
    ...body,
    epoch,
    config,
    streams,
    history: [...lastOf(old, false, HISTORY_KEPT - 1), { epoch, stream, number, config }],
  }
}
// The body with an accepted change that named its epoch.
function keepNamed(body: Body, decision: Decision, config: Config): Body {
  const { stream, number, epoch } = decision
  return {
    ...body,
    epoch,
    config,
    history: [...lastOf(body.history, true, NAMED_KEPT - 1), { epoch, stream, number, named: true }],
  }
}
function countOf(history: Body['history'], named: boolean): number {
  let out = 0
  for (const h of history) if ((h.named === true) === named) out++
  return out
}
// All of the other kind, and of this kind the latest so many.
function lastOf(history: Body['history'], named: boolean, most: number): Body['history'] {
  let over = countOf(history, named) - most
  const out: Body['history'] = []
  for (const h of history) if ((h.named === true) !== named || over-- <= 0) out.push(h)
  return out
}
function byUse(a: { used: number }, b: { used: number }): number {
  return a.used - b.used
}
