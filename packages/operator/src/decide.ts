import { encode, REGISTER_VALUE_LIMIT_BYTES, type Finding } from '@claynotch/base'
import {
  applyEdits,
  readConfig,
  type ConfigurationBody,
  type Config,
  type Decision,
  type Move,
  type ChangeRequest,
} from './config.js'
import { findEditsBeyondTeam } from './credentials.js'
import { epochMadeBy, findDecision, recordDecision, recordNamedChange, mayBeForgotten, withDigest } from './kept.js'
import { checkOpenMoves, editMoves, SYSTEM_STREAM } from './moves.js'

/**
 * Result of evaluating one change against the current value of the configuration register.
 * - `known`: nothing is written. Either this stream and number were decided before, and the first decision stands; or
 *   the change names its epoch and is refused, finally, because no later value accepts what this one refuses.
 * - `unclear`: nothing is written and the outcome is unknown: the change may have been accepted, or may still be.
 * - `body`: the new value to propose, with the decision that it records.
 */
export type Evaluation = { known: Decision } | { unclear: string } | { body: ConfigurationBody; decision: Decision }

/** The configuration that a change produces, with the stage and the moves that are open beside it. */
type Outcome = { config: Config; stage?: ConfigurationBody['stage']; moves?: Move[] }
/** Why a check refuses the change. Checks return undefined when they find nothing wrong. */
type RefusalReason = { why: string; findings: Finding[] }

/** Evaluates a change. Pure, because the register calls it again, on the value of that time, in each round. */
export function evaluateChange(body: ConfigurationBody, request: ChangeRequest): Evaluation {
  const earlierDecision = findEarlierDecision(body, request)
  if (earlierDecision) return { known: earlierDecision }
  const unclearReason = findUnclearReason(body, request)
  if (unclearReason !== undefined) return { unclear: unclearReason }
  const skippedNumber = refuseSkippedNumber(body, request)
  if (skippedNumber) return { known: refusedDecision(body, request, skippedNumber) }
  const outcome = checkRequest(body, request) ?? applyChange(body, request)
  if ('why' in outcome) return recordRefusal(body, request, outcome)
  return recordAcceptance(body, request, outcome)
}

// --- earlier decisions ---

/**
 * The first decision on a number stands. A different change under the same number is refused, and so is any change in
 * the system's stream, which operators may not write to.
 */
function findEarlierDecision(body: ConfigurationBody, request: ChangeRequest): Decision | undefined {
  const { stream, change, digest } = request
  if (stream === SYSTEM_STREAM)
    return refusedDecision(body, request, makeRefusal(`the stream ${SYSTEM_STREAM} is the system's own`))
  const earlierDecision = findDecision(body, stream, change.number)
  if (earlierDecision?.digest === undefined || digest === undefined || earlierDecision.digest === digest)
    return earlierDecision
  return refusedDecision(
    body,
    request,
    makeRefusal(
      `number ${change.number} is another change's, which was ${earlierDecision.decision} (epoch ${earlierDecision.epoch})`,
    ),
  )
}

/** Why the outcome is unknown: the expected epoch is older than the history that is kept, or is still to come. */
function findUnclearReason(body: ConfigurationBody, { change }: ChangeRequest): string | undefined {
  const epoch = epochMadeBy(change)
  // Such a change can't have been accepted at any time.
  if (epoch <= change.expect) return undefined
  if (change.expect < body.epoch && mayBeForgotten(body, change))
    return `whether it was taken can't be told any more: it would have made epoch ${epoch}, the present one is ${body.epoch}`
  // A refusal would not be final: the change may be accepted once the expected epoch is reached. A change that doesn't
  // name its epoch is refused finally, through its number.
  if (change.epoch !== undefined && change.expect > body.epoch)
    return `it expects epoch ${change.expect}, the present one is ${body.epoch}: send it again once that one is there`
  return undefined
}

/** Refuses a number that is lower than the latest one decided in its stream: its own decision is not known any more. */
function refuseSkippedNumber(body: ConfigurationBody, { stream, change }: ChangeRequest): RefusalReason | undefined {
  const storedStream = body.streams.find(isStreamOfRequest)
  function isStreamOfRequest(stored: { name: string }): boolean {
    return stored.name === stream
  }
  const latestDecision = storedStream?.decisions[storedStream.decisions.length - 1]
  if (!latestDecision || change.number >= latestDecision.number) return undefined
  return makeRefusal(
    `number ${change.number} was passed by ${latestDecision.number}; its decision, if any, is forgotten`,
  )
}

// --- refusals ---

function makeRefusal(why: string, findings: Finding[] = []): RefusalReason {
  return { why, findings }
}
function refusedDecision(body: ConfigurationBody, request: ChangeRequest, { why, findings }: RefusalReason): Decision {
  const { stream, change, digest } = request
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

/** Checks the sender's permission, the epochs, and what currently prevents the fleet from carrying out the change. */
function checkRequest(
  body: ConfigurationBody,
  { change, team, hindered = [] }: ChangeRequest,
): RefusalReason | undefined {
  const foreignEdits = team === undefined ? [] : findEditsBeyondTeam(team, change, body.config)
  if (foreignEdits.length > 0) return makeRefusal("not this team's to change", foreignEdits)
  const epoch = epochMadeBy(change)
  // Refused whatever the current epoch is: it would be refused also when the expected epoch is the current one.
  if (epoch <= change.expect)
    return makeRefusal(`epoch ${epoch} isn't above the one that it expects, ${change.expect}`, [
      { place: '/epoch', what: `not above ${change.expect}` },
    ])
  if (change.expect !== body.epoch)
    return makeRefusal(`expected epoch ${change.expect}, the present one is ${body.epoch}`)
  if (hindered.length > 0) return makeRefusal("the fleet can't do this now", hindered)
  return undefined
}

// --- the new configuration ---

function applyChange(body: ConfigurationBody, { change }: ChangeRequest): Outcome | RefusalReason {
  const { stage } = body
  // The open stage is extended to more areas, or to all, and nothing else changes.
  if (stage && change.stage !== undefined && change.whole === undefined && change.edits === undefined) {
    const config = body.config as Config
    return change.stage === 'all' ? { config } : { config, stage: { ...stage, areas: change.stage } }
  }
  if (stage && !(change.stage === 'all' && change.whole !== undefined))
    return makeRefusal(
      `a stage is open (areas ${stage.areas.join(', ')}): open it to all, or send a whole configuration to all`,
    )
  if ((change.whole === undefined) === (change.edits === undefined))
    return makeRefusal('exactly one of whole and edits is needed')
  let next: unknown = change.whole
  if (change.edits) {
    if (!body.config) return makeRefusal('there is no configuration yet to edit')
    const editResult = applyEdits(body.config, change.edits)
    if (editResult.err) return makeRefusal('invalid change', editResult.val)
    next = editResult.val
  }
  const parsed = readConfig(next)
  if (parsed.err) return makeRefusal('invalid configuration', parsed.val)
  return applyMovesAndStage(body, change, parsed.val)
}

/** Adds moves and a stage to a configuration that is valid by itself, and checks that they are compatible. */
function applyMovesAndStage(
  body: ConfigurationBody,
  change: ChangeRequest['change'],
  config: Config,
): Outcome | RefusalReason {
  const staged = body.stage !== undefined || change.stage !== undefined
  const moveResult = editMoves(body, config, change.edits ?? [], staged, epochMadeBy(change))
  if (moveResult.err) return makeRefusal('invalid move', moveResult.val)
  const moves = moveResult.val
  const conflicts = checkOpenMoves(moves, config)
  if (moves.length > 0 && Array.isArray(change.stage))
    conflicts.push({ place: '/stage', what: 'a move is under way, and a stage would leave areas out of it' })
  if (conflicts.length > 0) return makeRefusal('a move is under way', conflicts)
  if (!Array.isArray(change.stage)) return { config, moves }
  if (!body.config) return makeRefusal("the first configuration can't be staged")
  const lanesInTwoGroups = findLanesInTwoGroups(body.config, config)
  if (lanesInTwoGroups.length > 0)
    return makeRefusal("a stage can't have a lane served by two groups", lanesInTwoGroups)
  return { config, stage: { areas: change.stage, prior: body.config, priorEpoch: body.epoch } }
}

/** Lanes that the prior and the staged configuration, in force at the same time, would let two groups write. */
function findLanesInTwoGroups(prior: Config, next: Config): Finding[] {
  const findings: Finding[] = []
  const priorGroups = new Map<string, string>()
  for (const lane of prior.lanes) priorGroups.set(lane.name, lane.group)
  for (const [index, lane] of next.lanes.entries()) {
    const priorGroup = priorGroups.get(lane.name)
    if (priorGroup !== undefined && priorGroup !== lane.group)
      findings.push({
        place: `/lanes/${index}/group`,
        what: `the lane ${lane.name} is in group ${priorGroup} where the stage isn't open yet`,
      })
  }
  return findings
}

// --- recording the decision ---

/** Records the refusal, unless the change names its epoch: such refusals are not stored. */
function recordRefusal(body: ConfigurationBody, request: ChangeRequest, refusal: RefusalReason): Evaluation {
  const decision = refusedDecision(body, request, refusal)
  if (request.change.epoch !== undefined) return { known: decision }
  return { body: recordDecision(body, decision), decision }
}

/** Records the accepted change, or refuses it where the register's value would become too large. */
function recordAcceptance(body: ConfigurationBody, request: ChangeRequest, outcome: Outcome): Evaluation {
  const { stream, change, digest } = request
  const { config, stage, moves } = outcome
  const namesEpoch = change.epoch !== undefined
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
  const recorded = namesEpoch ? recordNamedChange(next, decision, config) : recordDecision(next, decision, config)
  if (encode(namesEpoch ? config : recorded).length <= REGISTER_VALUE_LIMIT_BYTES) return { body: recorded, decision }
  return recordRefusal(
    body,
    request,
    makeRefusal('too large', [
      { place: '', what: `with what is kept of earlier ones over ${REGISTER_VALUE_LIMIT_BYTES} bytes` },
    ]),
  )
}
