import { encode, REGISTER_VALUE_LIMIT_BYTES, type Finding } from '@claynotch/base'
import { applyEdits, readConfig, type ConfigurationBody, type Config, type Decision, type Move, type ChangeRequest } from './config.js'
import { beyondTeam } from './credentials.js'
import { epochMadeBy, findDecision, keepDecision, keepNamed, mayBeForgotten, withDigest } from './kept.js'
import { checkMoves, editMoves, SYSTEM } from './moves.js'

// What becomes of one change on the present body. Pure: the register calls it anew in each round.
// 'known': nothing is written: this stream and number were decided before, and the first decision stands; or the change
// names its epoch and is refused: for good, as no later body takes what this one refuses.
// 'unclear': nothing is written and nothing can be told: it may have been taken, or may yet be.
export type Ruling = { known: Decision } | { unclear: string } | { body: ConfigurationBody; decision: Decision }

// The configuration that a change makes, with what stands beside it.
type Outcome = { config: Config; stage?: ConfigurationBody['stage']; moves?: Move[] }
// A step of the way: what it refuses, or undefined for "go on".
type Refusal = { why: string; findings: Finding[] }

export function evaluateChange(body: ConfigurationBody, order: ChangeRequest): Ruling {
  const first = firstDecision(body, order)
  if (first) return { known: first }
  const doubt = doubtOf(body, order)
  if (doubt !== undefined) return { unclear: doubt }
  const passed = refusePassed(body, order)
  if (passed) return { known: refused(body, order, passed) }
  const made = refuseOrder(body, order) ?? outcomeOf(body, order)
  if ('why' in made) return refusal(body, order, made)
  return acceptance(body, order, made)
}

// --- what was decided before ---

// The first decision on this number stands; under it any other change has lost, or is none that an operator may send.
function firstDecision(body: ConfigurationBody, order: ChangeRequest): Decision | undefined {
  const { stream, change, digest } = order
  if (stream === SYSTEM) return refused(body, order, refuse(`the stream ${SYSTEM} is the system's own`))
  const first = findDecision(body, stream, change.number)
  if (first?.digest === undefined || digest === undefined || first.digest === digest) return first
  return refused(
    body,
    order,
    refuse(`number ${change.number} is another change's, which was ${first.decision} (epoch ${first.epoch})`),
  )
}

// Why nothing can be told: what the change expects lies before all that is remembered, or ahead.
function doubtOf(body: ConfigurationBody, { change }: ChangeRequest): string | undefined {
  const made = epochMadeBy(change)
  // It could never have been taken.
  if (made <= change.expect) return undefined
  if (change.expect < body.epoch && mayBeForgotten(body, change))
    return `whether it was taken can't be told any more: it would have made epoch ${made}, the present one is ${body.epoch}`
  // A refusal would not be for good: it may be taken once that epoch is there. A change without an epoch of its own is
  // refused by its number for good.
  if (change.epoch !== undefined && change.expect > body.epoch)
    return `it expects epoch ${change.expect}, the present one is ${body.epoch}: send it again once that one is there`
  return undefined
}

function refusePassed(body: ConfigurationBody, { stream, change }: ChangeRequest): Refusal | undefined {
  const mine = body.streams.find(isMine)
  function isMine(s: { name: string }): boolean {
    return s.name === stream
  }
  const last = mine?.decisions[mine.decisions.length - 1]
  if (!last || change.number >= last.number) return undefined
  return refuse(`number ${change.number} was passed by ${last.number}; its decision, if any, is forgotten`)
}

// --- what stands against it ---

function refuse(why: string, findings: Finding[] = []): Refusal {
  return { why, findings }
}
function refused(body: ConfigurationBody, order: ChangeRequest, { why, findings }: Refusal): Decision {
  const { stream, change, digest } = order
  return {
    stream,
    number: change.number,
    decision: 'refused',
    epoch: body.epoch,
    why,
    findings,
    ...withDigest(digest),
  }
}

// Whoever sends it, and on what.
function refuseOrder(body: ConfigurationBody, { change, team, hindered = [] }: ChangeRequest): Refusal | undefined {
  const beyond = team === undefined ? [] : beyondTeam(team, change, body.config)
  if (beyond.length > 0) return refuse("not this team's to change", beyond)
  const epoch = epochMadeBy(change)
  // Whenever the one that it expects is the present one.
  if (epoch <= change.expect)
    return refuse(`epoch ${epoch} isn't above the one that it expects, ${change.expect}`, [
      { place: '/epoch', what: `not above ${change.expect}` },
    ])
  if (change.expect !== body.epoch) return refuse(`expected epoch ${change.expect}, the present one is ${body.epoch}`)
  if (hindered.length > 0) return refuse("the fleet can't do this now", hindered)
  return undefined
}

// --- what it makes ---

function outcomeOf(body: ConfigurationBody, { change }: ChangeRequest): Outcome | Refusal {
  const { stage } = body
  // A stage opened further, or to all, with nothing else changed.
  if (stage && change.stage !== undefined && change.whole === undefined && change.edits === undefined) {
    const config = body.config as Config
    return change.stage === 'all' ? { config } : { config, stage: { ...stage, areas: change.stage } }
  }
  if (stage && !(change.stage === 'all' && change.whole !== undefined))
    return refuse(
      `a stage is open (areas ${stage.areas.join(', ')}): open it to all, or send a whole configuration to all`,
    )
  if ((change.whole === undefined) === (change.edits === undefined))
    return refuse('exactly one of whole and edits is needed')
  let next: unknown = change.whole
  if (change.edits) {
    if (!body.config) return refuse('there is no configuration yet to edit')
    const edited = applyEdits(body.config, change.edits)
    if (edited.err) return refuse('invalid change', edited.val)
    next = edited.val
  }
  const got = readConfig(next)
  if (got.err) return refuse('invalid configuration', got.val)
  return outcomeWith(body, change, got.val)
}

// Moves and stages beside a configuration that is valid by itself.
function outcomeWith(body: ConfigurationBody, change: ChangeRequest['change'], config: Config): Outcome | Refusal {
  const staged = body.stage !== undefined || change.stage !== undefined
  const moved = editMoves(body, config, change.edits ?? [], staged, epochMadeBy(change))
  if (moved.err) return refuse('invalid move', moved.val)
  const moves = moved.val
  const clash = checkMoves(moves, config)
  if (moves.length > 0 && Array.isArray(change.stage))
    clash.push({ place: '/stage', what: 'a move is under way, and a stage would leave areas out of it' })
  if (clash.length > 0) return refuse('a move is under way', clash)
  if (!Array.isArray(change.stage)) return { config, moves }
  if (!body.config) return refuse("the first configuration can't be staged")
  const split = splitLanes(body.config, config)
  if (split.length > 0) return refuse("a stage can't have a lane served by two groups", split)
  return { config, stage: { areas: change.stage, prior: body.config, priorEpoch: body.epoch } }
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

// --- what is kept of it ---

// One that names its epoch isn't remembered.
function refusal(body: ConfigurationBody, order: ChangeRequest, what: Refusal): Ruling {
  const decision = refused(body, order, what)
  if (order.change.epoch !== undefined) return { known: decision }
  return { body: keepDecision(body, decision), decision }
}

function acceptance(body: ConfigurationBody, order: ChangeRequest, made: Outcome): Ruling {
  const { stream, change, digest } = order
  const { config, stage, moves } = made
  const named = change.epoch !== undefined
  const decision: Decision = {
    stream,
    number: change.number,
    decision: 'accepted',
    epoch: epochMadeBy(change),
    why: '',
    findings: [],
    ...withDigest(digest),
  }
  const next: ConfigurationBody = { ...body }
  delete next.stage
  delete next.moves
  if (stage) next.stage = stage
  if (moves && moves.length > 0) next.moves = moves
  const after = named ? keepNamed(next, decision, config) : keepDecision(next, decision, config)
  if (encode(named ? config : after).length <= REGISTER_VALUE_LIMIT_BYTES) return { body: after, decision }
  return refusal(
    body,
    order,
    refuse('too large', [
      { place: '', what: `with what is kept of earlier ones over ${REGISTER_VALUE_LIMIT_BYTES} bytes` },
    ]),
  )
}
