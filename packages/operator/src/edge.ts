import { createInterface } from 'node:readline'
import {
  invalidRequest,
  DECISION_READER_CHECK_INTERVAL_MS,
  Name,
  OPERATOR_BODY_LIMIT_BYTES,
  readStrict,
  sendResponse,
  type HttpRequest,
  type Signal,
  type Finding,
  type Metrics,
  type HttpResponse,
  type World,
} from '@claynotch/base'
import type { Proposer, RegisterValue } from '@claynotch/register'
import {
  Change,
  CONFIG_KEY,
  emptyBody,
  type ConfigurationBody,
  type Edit,
  type ChangeRequest,
  type UnclearAnswer,
  type ChangeAnswer,
} from './config.js'
import type { CoreSetStatus } from './cores.js'
import { identifyOperator, checkPermission, type Credential } from './credentials.js'
import { evaluateChange } from './decide.js'
import { allDecisions, digestOf } from './kept.js'
import type { TenantStatus } from './tenants.js'

// HTTP API for operators: accepts numbered changes, answers with decisions, and serves the views below.
// The decision is 'unclear' if no majority settled the change in time, or if the kept history doesn't tell whether it
// was accepted; the same number may be sent again.

/** What operators may read from this agent, and the replacement of a leader. */
export type OperatorQueries = {
  /** undefined: no majority of cores answered. */
  members: () => Promise<unknown>
  /** undefined: no core set is known yet. Answered also without a majority. */
  cores: () => Promise<CoreSetStatus | undefined>
  groups: () => unknown
  tenants: () => Promise<TenantStatus[]>
  replace: (group: string, to: string | undefined) => Promise<{ ok: boolean; why: string }>
  /** What in the current state of the fleet prevents the moves that the edits request. */
  hinders: (edits: Edit[]) => Promise<Finding[]>
  /** The configuration as this agent knows it. */
  body: () => ConfigurationBody | undefined
  /** Notified when the configuration that this agent knows changes. */
  news: Signal
}

const NO_MAJORITY = 'no majority of cores settled it in time; send the same number again'

/** The answer 'unclear' to a change. */
export function unclearAnswer(request: ChangeRequest, why: string): UnclearAnswer {
  return { stream: request.stream, number: request.change.number, decision: 'unclear', why, findings: [] }
}

/**
 * Decides one change at the cores. The answer is based on the chosen value: an evaluation counts only if the round in
 * which it was made ended with the value that it read, or the value that it produced, as the chosen one. Each round
 * evaluates the change again.
 */
export async function submitChange(
  proposer: Proposer,
  request: ChangeRequest,
  timeoutMs?: number,
): Promise<ChangeAnswer> {
  const tag = `${request.stream}#${request.change.number}`
  let answer: ChangeAnswer = unclearAnswer(request, NO_MAJORITY)
  function edit(current: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
    const evaluation = evaluateChange((current?.body as ConfigurationBody | undefined) ?? emptyBody(), request)
    if ('unclear' in evaluation) {
      answer = unclearAnswer(request, evaluation.unclear)
      return undefined
    }
    if ('known' in evaluation) {
      answer = evaluation.known
      return undefined
    }
    answer = evaluation.decision
    return { body: evaluation.body, tag }
  }
  const proposal = await proposer.change(CONFIG_KEY, edit, timeoutMs)
  return proposal.done ? answer : unclearAnswer(request, NO_MAJORITY)
}

/**
 * Makes the handler for operators' requests. `take` answers a request, or returns undefined if it has written the
 * response itself; `raw` tells whether requests to a path stream their body. Without credentials the API is open to
 * all.
 */
export function makeOperatorApi(
  world: World,
  proposer: Proposer,
  queries: OperatorQueries,
  metrics: Metrics,
  credentials: () => Credential[] | undefined,
): { take: (ask: HttpRequest) => Promise<HttpResponse | undefined>; raw: (path: string) => boolean } {
  function isStreamPath(path: string): boolean {
    return path.startsWith('/streams/')
  }
  async function decideLine(stream: string, lineText: string, team: string | undefined): Promise<unknown> {
    let value: unknown
    try {
      value = JSON.parse(lineText)
    } catch (e) {
      return { stream, decision: 'refused', why: `malformed JSON: ${(e as Error).message}`, findings: [] as Finding[] }
    }
    const parsed = readStrict(Change, value)
    if (parsed.err)
      return {
        stream,
        number: (value as { number?: unknown } | null)?.number,
        decision: 'refused',
        why: 'not a change',
        findings: parsed.val,
      }
    const change = parsed.val
    const hindered = await queries.hinders(change.edits ?? [])
    const answer = await submitChange(proposer, { stream, change, digest: digestOf(change), team, hindered })
    metrics.add('claynotch_decisions_total', [['decision', answer.decision]])
    return answer
  }
  async function decideStream(request: HttpRequest, stream: string, team: string | undefined): Promise<undefined> {
    const { req, res } = request.raw
    res.writeHead(200, { 'content-type': 'application/x-ndjson' })
    let receivedLength = 0
    for await (const lineText of createInterface({ input: req, crlfDelay: Infinity })) {
      receivedLength += lineText.length
      if (receivedLength > OPERATOR_BODY_LIMIT_BYTES) {
        res.end(
          `${JSON.stringify({ stream, decision: 'refused', why: `body over ${OPERATOR_BODY_LIMIT_BYTES} bytes`, findings: [] })}\n`,
        )
        return undefined
      }
      if (lineText.trim() === '') continue
      res.write(`${JSON.stringify(await decideLine(stream, lineText, team))}\n`)
      if (res.destroyed) return undefined
    }
    res.end()
    return undefined
  }
  // Streams decisions until the client disconnects: first the stored ones, then each new one.
  async function followDecisions(request: HttpRequest, stream: string | undefined): Promise<undefined> {
    const { res } = request.raw
    res.writeHead(200, { 'content-type': 'application/x-ndjson' })
    res.flushHeaders()
    const lastSentNumbers = new Map<string, number>()
    while (!request.gone.fired() && !res.destroyed) {
      for (const storedStream of queries.body()?.streams ?? []) {
        if (stream !== undefined && storedStream.name !== stream) continue
        for (const decision of storedStream.decisions) {
          if (decision.number <= (lastSentNumbers.get(storedStream.name) ?? 0)) continue
          lastSentNumbers.set(storedStream.name, decision.number)
          res.write(`${JSON.stringify(decision)}\n`)
        }
      }
      await queries.news.wait(world, DECISION_READER_CHECK_INTERVAL_MS, request.gone)
    }
    return undefined
  }
  async function readBody(): Promise<ConfigurationBody | undefined> {
    const lookup = await proposer.look(CONFIG_KEY)
    return lookup.done ? ((lookup.value?.body as ConfigurationBody | undefined) ?? emptyBody()) : undefined
  }
  async function handleRequest(request: HttpRequest): Promise<HttpResponse | undefined> {
    const operator = identifyOperator(credentials(), request.header('authorization'))
    const refusal = checkPermission(operator, request)
    if (refusal) {
      metrics.add('claynotch_operators_refused_total')
      if (!isStreamPath(request.path)) return refusal
      sendResponse(request.raw.res, refusal)
      request.raw.req.resume()
      return undefined
    }
    const segments = request.path.split('/').filter(Boolean)
    if (request.method === 'POST' && segments[0] === 'streams' && segments.length === 2) {
      if (!Name.is(segments[1])) {
        request.raw.req.resume()
        return invalidRequest(400, 'a stream needs a name', [{ place: '/streams/', what: 'expected a name' }])
      }
      return await decideStream(request, segments[1], operator?.team)
    }
    if (
      request.method === 'POST' &&
      segments[0] === 'groups' &&
      segments.length === 3 &&
      segments[2] === 'replacement'
    ) {
      const targetInstance = (request.body as { to?: unknown } | undefined)?.to
      if (targetInstance !== undefined && !Name.is(targetInstance))
        return invalidRequest(400, 'not understood', [{ place: '/to', what: 'expected a name' }])
      const replacement = await queries.replace(segments[1], targetInstance as string | undefined)
      return { status: replacement.ok ? 202 : 409, body: replacement }
    }
    if (request.method !== 'GET') return invalidRequest(404, `no such path: ${request.method} ${request.path}`)
    switch (segments[0]) {
      case 'configuration': {
        const current = await readBody()
        return current
          ? {
              status: 200,
              body: {
                epoch: current.epoch,
                config: current.config,
                ...(current.stage ? { stage: { areas: current.stage.areas, prior: current.stage.priorEpoch } } : {}),
              },
            }
          : noMajorityResponse()
      }
      case 'history': {
        const current = await readBody()
        return current ? { status: 200, body: current.history } : noMajorityResponse()
      }
      case 'decisions': {
        if (request.query.has('follow')) return await followDecisions(request, segments[1])
        const current = await readBody()
        if (!current) return noMajorityResponse()
        let text = ''
        for (const decision of allDecisions(current, segments[1])) text += `${JSON.stringify(decision)}\n`
        return { status: 200, body: text, type: 'application/x-ndjson' }
      }
      case 'moves': {
        const current = await readBody()
        return current ? { status: 200, body: current.moves ?? [] } : noMajorityResponse()
      }
      case 'members': {
        const members = await queries.members()
        return members === undefined ? noMajorityResponse() : { status: 200, body: members }
      }
      case 'cores': {
        const cores = await queries.cores()
        return cores === undefined ? noMajorityResponse() : { status: 200, body: cores }
      }
      case 'tenants':
        return { status: 200, body: await queries.tenants() }
      case 'groups':
        return { status: 200, body: queries.groups() }
    }
    return invalidRequest(404, `no such path: ${request.method} ${request.path}`)
  }
  function noMajorityResponse(): HttpResponse {
    return {
      status: 503,
      body: {
        outcome: 'refused',
        class: 'UNAVAILABLE',
        kept: 'nothing',
        again: true,
        why: 'no majority of cores answered',
      },
      after: 2,
    }
  }
  return { take: handleRequest, raw: isStreamPath }
}
