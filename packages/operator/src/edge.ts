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
  type Unclear,
  type ChangeAnswer,
} from './config.js'
import type { CoreSetStatus } from './cores.js'
import { identify, stopCaller, type Credential } from './credentials.js'
import { evaluateChange } from './decide.js'
import { allDecisions, digestOf } from './kept.js'
import type { TenantStatus } from './tenants.js'

// The operator's edge: numbered changes in, decisions out, and what there is to read.
// 'unclear' is said where no majority settled the change in time, and where what is remembered can't tell: the same number
// may be sent again.
export type Reading = {
  // undefined: no majority.
  members: () => Promise<unknown>
  // undefined: no set is known yet. Told without a majority too.
  cores: () => Promise<CoreSetStatus | undefined>
  groups: () => unknown
  tenants: () => Promise<TenantStatus[]>
  replace: (group: string, to: string | undefined) => Promise<{ ok: boolean; why: string }>
  // What stands against moves that a change asks for, in the fleet as it is.
  hinders: (edits: Edit[]) => Promise<Finding[]>
  // What this agent knows of the configuration, and a bell for news of it.
  body: () => ConfigurationBody | undefined
  news: Signal
}

const NO_MAJORITY = 'no majority of cores settled it in time; send the same number again'

export function unclearAnswer(order: ChangeRequest, why: string): Unclear {
  return { stream: order.stream, number: order.change.number, decision: 'unclear', why, findings: [] }
}

// Decides one change at the cores. What is told rests on the chosen value: a ruling counts only if the very round that it was
// made in ended with the value it was made on, or made, chosen; each round judges anew.
export async function submitChange(proposer: Proposer, order: ChangeRequest, limit?: number): Promise<ChangeAnswer> {
  const tag = `${order.stream}#${order.change.number}`
  let out: ChangeAnswer = unclearAnswer(order, NO_MAJORITY)
  function edit(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
    const ruling = evaluateChange((now?.body as ConfigurationBody | undefined) ?? emptyBody(), order)
    if ('unclear' in ruling) {
      out = unclearAnswer(order, ruling.unclear)
      return undefined
    }
    if ('known' in ruling) {
      out = ruling.known
      return undefined
    }
    out = ruling.decision
    return { body: ruling.body, tag }
  }
  const got = await proposer.change(CONFIG_KEY, edit, limit)
  return got.done ? out : unclearAnswer(order, NO_MAJORITY)
}

export function makeOperatorApi(
  world: World,
  proposer: Proposer,
  reading: Reading,
  metrics: Metrics,
  credentials: () => Credential[] | undefined,
): { take: (ask: HttpRequest) => Promise<HttpResponse | undefined>; raw: (path: string) => boolean } {
  function raw(path: string): boolean {
    return path.startsWith('/streams/')
  }
  async function line(stream: string, text: string, team: string | undefined): Promise<unknown> {
    let value: unknown
    try {
      value = JSON.parse(text)
    } catch (e) {
      return { stream, decision: 'refused', why: `malformed JSON: ${(e as Error).message}`, findings: [] as Finding[] }
    }
    const got = readStrict(Change, value)
    if (got.err)
      return {
        stream,
        number: (value as { number?: unknown } | null)?.number,
        decision: 'refused',
        why: 'not a change',
        findings: got.val,
      }
    const change = got.val
    const hindered = await reading.hinders(change.edits ?? [])
    const made = await submitChange(proposer, { stream, change, digest: digestOf(change), team, hindered })
    metrics.add('claynotch_decisions_total', [['decision', made.decision]])
    return made
  }
  async function changes(ask: HttpRequest, stream: string, team: string | undefined): Promise<undefined> {
    const { req, res } = ask.raw
    res.writeHead(200, { 'content-type': 'application/x-ndjson' })
    let size = 0
    for await (const text of createInterface({ input: req, crlfDelay: Infinity })) {
      size += text.length
      if (size > OPERATOR_BODY_LIMIT_BYTES) {
        res.end(
          `${JSON.stringify({ stream, decision: 'refused', why: `body over ${OPERATOR_BODY_LIMIT_BYTES} bytes`, findings: [] })}\n`,
        )
        return undefined
      }
      if (text.trim() === '') continue
      res.write(`${JSON.stringify(await line(stream, text, team))}\n`)
      if (res.destroyed) return undefined
    }
    res.end()
    return undefined
  }
  // Decisions as they are taken, for as long as the reader stays: first those kept, then each new one.
  async function follow(ask: HttpRequest, stream: string | undefined): Promise<undefined> {
    const { res } = ask.raw
    res.writeHead(200, { 'content-type': 'application/x-ndjson' })
    res.flushHeaders()
    const sent = new Map<string, number>()
    while (!ask.gone.fired() && !res.destroyed) {
      for (const s of reading.body()?.streams ?? []) {
        if (stream !== undefined && s.name !== stream) continue
        for (const d of s.decisions) {
          if (d.number <= (sent.get(s.name) ?? 0)) continue
          sent.set(s.name, d.number)
          res.write(`${JSON.stringify(d)}\n`)
        }
      }
      await reading.news.wait(world, DECISION_READER_CHECK_INTERVAL_MS, ask.gone)
    }
    return undefined
  }
  async function body(): Promise<ConfigurationBody | undefined> {
    const got = await proposer.look(CONFIG_KEY)
    return got.done ? ((got.value?.body as ConfigurationBody | undefined) ?? emptyBody()) : undefined
  }
  async function take(ask: HttpRequest): Promise<HttpResponse | undefined> {
    const who = identify(credentials(), ask.header('authorization'))
    const stopped = stopCaller(who, ask)
    if (stopped) {
      metrics.add('claynotch_operators_refused_total')
      if (!raw(ask.path)) return stopped
      sendResponse(ask.raw.res, stopped)
      ask.raw.req.resume()
      return undefined
    }
    const parts = ask.path.split('/').filter(Boolean)
    if (ask.method === 'POST' && parts[0] === 'streams' && parts.length === 2) {
      if (!Name.is(parts[1])) {
        ask.raw.req.resume()
        return invalidRequest(400, 'a stream needs a name', [{ place: '/streams/', what: 'expected a name' }])
      }
      return await changes(ask, parts[1], who?.team)
    }
    if (ask.method === 'POST' && parts[0] === 'groups' && parts.length === 3 && parts[2] === 'replacement') {
      const to = (ask.body as { to?: unknown } | undefined)?.to
      if (to !== undefined && !Name.is(to))
        return invalidRequest(400, 'not understood', [{ place: '/to', what: 'expected a name' }])
      const got = await reading.replace(parts[1], to as string | undefined)
      return { status: got.ok ? 202 : 409, body: got }
    }
    if (ask.method !== 'GET') return invalidRequest(404, `no such path: ${ask.method} ${ask.path}`)
    switch (parts[0]) {
      case 'configuration': {
        const now = await body()
        return now
          ? {
              status: 200,
              body: {
                epoch: now.epoch,
                config: now.config,
                ...(now.stage ? { stage: { areas: now.stage.areas, prior: now.stage.priorEpoch } } : {}),
              },
            }
          : noMajority()
      }
      case 'history': {
        const now = await body()
        return now ? { status: 200, body: now.history } : noMajority()
      }
      case 'decisions': {
        if (ask.query.has('follow')) return await follow(ask, parts[1])
        const now = await body()
        if (!now) return noMajority()
        let text = ''
        for (const d of allDecisions(now, parts[1])) text += `${JSON.stringify(d)}\n`
        return { status: 200, body: text, type: 'application/x-ndjson' }
      }
      case 'moves': {
        const now = await body()
        return now ? { status: 200, body: now.moves ?? [] } : noMajority()
      }
      case 'members': {
        const got = await reading.members()
        return got === undefined ? noMajority() : { status: 200, body: got }
      }
      case 'cores': {
        const got = await reading.cores()
        return got === undefined ? noMajority() : { status: 200, body: got }
      }
      case 'tenants':
        return { status: 200, body: await reading.tenants() }
      case 'groups':
        return { status: 200, body: reading.groups() }
    }
    return invalidRequest(404, `no such path: ${ask.method} ${ask.path}`)
  }
  function noMajority(): HttpResponse {
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
  return { take, raw }
}
