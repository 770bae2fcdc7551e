import { openHttpConnection, pause, type Address, type Flag, type HttpConnection, type World } from '@claynotch/base'
import type { TimeSpan } from './service-rate.js'

/**
 * Simulated clients. Each keeps one session per lane, runs a weighted mix of operations, and moves to another node with
 * its consistency token when its own node doesn't serve it. Every result is recorded in the history.
 */

/**
 * The result of one operation as the client saw it. `key` and `tag`: what was written; `list`: what was read.
 * `start` and `end`: the client's own clock, around the whole operation. `within`: the staleness bound of a read in ms,
 * 0 on the leader path. `served`: the group whose rows a read returned.
 */
export type Event = {
  kind: string
  lane: string
  group: string
  served: string
  session: number
  key: string
  tag: string | undefined
  list: string[] | undefined
  within: number
  own: boolean
  start: number
  end: number
  outcome: 'done' | 'refused' | 'failed' | 'unknown' | 'none'
  class: string
  kept: string
  sentCommit: boolean
  wrong: boolean
  node: string
  after: boolean
  why: string
}

/** One kind of operation in a client's workload, chosen with the probability `weight` / total weight. */
export type WorkloadOperation = {
  kind: string
  lane: string
  group: string
  op: 'book' | 'deposit' | 'lookup' | 'post' | 'browse' | 'watch' | 'linger'
  weight: number
  within: number
  own: boolean
  /** Reads of one 'watch' transaction; 10 unless given. */
  readCount?: number
}

/** Settings of a client. `think`: mean pause between operations, ms. `again`: retries failed operations. */
export type RequesterSettings = {
  id: number
  nodes: Address[]
  mixes: WorkloadOperation[]
  thinkMs: number
  keys: number
  again: boolean
  until: () => boolean
  note: (e: Event) => void
  /** Called for each pause that the client makes inside a transaction; times in ms of its clock. */
  onTransactionPause?: (span: TimeSpan) => void
}

/** The body of a node's answer, or the outcome `none` where no answer arrived. */
type RequestResult = {
  outcome: Event['outcome']
  class?: string
  kept?: string
  rows?: unknown[]
  token?: string
  session?: string
  again?: boolean
  after?: number
  why?: string
}

/** Suffix of an event's kind that marks one read inside a read-only transaction. */
export const TRANSACTION_READ_SUFFIX = ' look'
/** Reads in one read-only transaction, with pauses between them. */
const WATCH_READS = 10
const BROWSE_READS = 2

/** Runs a client until `stop` fires or `until` returns true. */
export async function runRequester(world: World, settings: RequesterSettings, stop: Flag): Promise<void> {
  let nodeIndex = settings.id % settings.nodes.length
  let connection: HttpConnection | undefined
  const tokens = new Map<string, string>()
  const sessions = new Map<string, string>()
  const preparedSessions = new Set<string>()
  let writeCount = 0

  async function call(method: string, path: string, body: unknown): Promise<RequestResult> {
    if (!connection?.alive()) {
      const opened = await openHttpConnection(world, settings.nodes[nodeIndex], 1000)
      if (opened.err) return { outcome: 'none', class: 'DIAL', kept: 'nothing' }
      connection = opened.val
    }
    const answer = await connection.ask(method, path, body, 20000)
    if (answer.err) {
      connection = undefined
      return { outcome: 'none', class: 'BROKE', kept: answer.val.reach === 'none' ? 'nothing' : 'unknown' }
    }
    const result = answer.val.body as RequestResult
    return { ...result, ...(answer.val.after !== undefined ? { after: answer.val.after } : {}) }
  }
  async function pauseInTransaction(ms: number): Promise<void> {
    const from = world.now()
    await pause(world, ms, stop)
    settings.onTransactionPause?.({ from, to: world.now() })
  }
  /** Closes the connection, drops all sessions and picks another node at random. */
  function moveToOtherNode(): void {
    connection?.close()
    connection = undefined
    sessions.clear()
    nodeIndex = (nodeIndex + 1 + Math.floor(world.random() * (settings.nodes.length - 1))) % settings.nodes.length
  }
  /** Returns the session of the lane, opened on first use; moves to another node where that fails. */
  async function sessionFor(mix: WorkloadOperation): Promise<string | undefined> {
    const existing = sessions.get(mix.lane)
    if (existing !== undefined) return existing
    const created = await call('POST', '/sessions', {
      lane: mix.lane,
      settings: [{ name: 'who', value: `r${settings.id}` }],
      token: tokens.get(mix.lane) ?? '',
    })
    if (created.outcome !== 'done' || created.session === undefined) {
      moveToOtherNode()
      await pause(world, 200 + 300 * world.random(), stop)
      return undefined
    }
    sessions.set(mix.lane, created.session)
    return created.session
  }
  function pickMix(): WorkloadOperation {
    let totalWeight = 0
    for (const mix of settings.mixes) totalWeight += mix.weight
    let remaining = world.random() * totalWeight
    for (const mix of settings.mixes) {
      remaining -= mix.weight
      if (remaining < 0) return mix
    }
    return settings.mixes[0]
  }
  /** Runs one operation and records its result; undefined where no session could be opened. */
  async function runOperation(mix: WorkloadOperation): Promise<RequestResult | undefined> {
    const session = await sessionFor(mix)
    if (session === undefined) return undefined
    const key = `${mix.group}/k${Math.floor(world.random() * settings.keys)}`
    const tag = `r${settings.id}.${++writeCount}@${key}`
    const start = world.now()
    const nodeAddr = settings.nodes[nodeIndex]
    let result: RequestResult
    let list: string[] | undefined
    let served = ''
    let sentCommit = false
    let wrong = false
    const sessionPath = `/sessions/${session}`
    function takeRows(readResult: RequestResult): void {
      if (readResult.outcome !== 'done') return
      const [returnedKey, rows, servingGroup] = (readResult.rows ?? []) as [string, string[], string]
      list = rows
      served = servingGroup
      if (returnedKey !== key) wrong = true
    }
    let isWrite = true
    if (mix.op === 'lookup') {
      isWrite = false
      // Clients with an even id read by a prepared statement ('shape') of their own session; names are per session.
      if (settings.id % 2 === 0 && !preparedSessions.has(session)) {
        result = await call('POST', `${sessionPath}/shapes`, { name: 'find', text: 'list' })
        if (result.outcome === 'done') preparedSessions.add(session)
      }
      result = await call('POST', `${sessionPath}/statement`, {
        kind: 'read',
        ...(preparedSessions.has(session) ? { shape: 'find' } : { text: 'list' }),
        args: [key],
      })
      takeRows(result)
    } else if (mix.op === 'browse' || mix.op === 'watch') {
      // A read-only transaction with pauses between its reads; each read must meet the lane's consistency rule.
      const readCount = mix.op === 'watch' ? (mix.readCount ?? WATCH_READS) : BROWSE_READS
      isWrite = false
      result = await call('POST', `${sessionPath}/begin`, { kind: 'read' })
      for (let readIndex = 0; readIndex < readCount && result.outcome === 'done'; readIndex++) {
        if (readIndex > 0) await pauseInTransaction(300 + 1900 * world.random())
        const readStart = world.now()
        result = await call('POST', `${sessionPath}/statement`, { kind: 'read', text: 'list', args: [key] })
        takeRows(result)
        if (result.outcome === 'done')
          settings.note({
            kind: `${mix.kind}${TRANSACTION_READ_SUFFIX}`,
            lane: mix.lane,
            group: mix.group,
            served,
            session: settings.id,
            key,
            within: mix.within,
            own: mix.own,
            wrong,
            node: nodeAddr,
            after: false,
            why: '',
            tag: undefined,
            list,
            start: readStart,
            end: world.now(),
            outcome: 'done',
            class: '',
            kept: '',
            sentCommit: false,
          })
      }
      list = undefined
      if (result.outcome === 'done') result = await call('POST', `${sessionPath}/commit`, {})
    } else if (mix.op === 'post') {
      result = await call('POST', `${sessionPath}/statement`, { kind: 'write', text: 'append', args: [key, tag] })
      sentCommit = true
    } else if (mix.op === 'deposit') {
      result = await call('POST', `${sessionPath}/statement`, { kind: 'write', text: 'append', args: [key, tag] })
      sentCommit = true
    } else {
      result = await call('POST', `${sessionPath}/begin`, { kind: 'write' })
      if (result.outcome === 'done') {
        const settingResult = await call('POST', `${sessionPath}/statement`, {
          kind: 'read',
          text: 'setting',
          args: ['who', `r${settings.id}`],
        })
        result = settingResult
        if (result.outcome === 'done' && (result.rows ?? [])[1] !== `r${settings.id}`) wrong = true
        if (result.outcome === 'done')
          result = await call('POST', `${sessionPath}/statement`, { kind: 'write', text: 'append', args: [key, tag] })
        // 'linger' keeps its transaction open for 1 to 7 s, as an interactive user does.
        if (result.outcome === 'done' && mix.op === 'linger') await pauseInTransaction(1000 + 6000 * world.random())
        if (result.outcome === 'done' && world.random() < 0.1) {
          // Rolls back one transaction in ten: it must leave nothing behind.
          result = await call('POST', `${sessionPath}/rollback`, {})
          if (result.outcome === 'done') result = { outcome: 'refused', class: 'ROLLED_BACK', kept: 'nothing' }
        } else if (result.outcome === 'done') {
          sentCommit = true
          result = await call('POST', `${sessionPath}/commit`, {})
        }
      }
    }
    const end = world.now()
    const common = {
      kind: mix.kind,
      lane: mix.lane,
      group: mix.group,
      session: settings.id,
      key,
      within: mix.within,
      own: mix.own,
      wrong,
      node: nodeAddr,
      after: result.after !== undefined,
      why: result.why ?? '',
    }
    settings.note({
      ...common,
      served,
      tag: isWrite ? tag : undefined,
      list,
      start,
      end,
      outcome: result.outcome,
      class: result.class ?? '',
      kept: result.kept ?? '',
      sentCommit,
    })
    if (result.outcome === 'done' && result.token !== undefined) tokens.set(mix.lane, result.token)
    // After a deposit the session reads its own write.
    if (result.outcome === 'done' && mix.op === 'deposit') {
      const readStart = world.now()
      const ownRead = await call('POST', `${sessionPath}/statement`, { kind: 'read', text: 'list', args: [key] })
      list = undefined
      takeRows(ownRead)
      settings.note({
        ...common,
        served,
        kind: `${mix.kind} own`,
        tag: undefined,
        list,
        start: readStart,
        end: world.now(),
        outcome: ownRead.outcome,
        class: ownRead.class ?? '',
        kept: ownRead.kept ?? '',
        sentCommit: false,
        wrong,
      })
    }
    return result
  }
  await pause(world, world.random() * settings.thinkMs, stop)
  while (!stop.fired() && !settings.until()) {
    const mix = pickMix()
    let result = await runOperation(mix)
    // Retries the whole operation at most twice, at once and on another node, as the users' clients do.
    let retries = 0
    while (
      settings.again &&
      result &&
      result.outcome !== 'done' &&
      result.class !== 'ROLLED_BACK' &&
      result.outcome !== 'unknown' &&
      retries < 2 &&
      !stop.fired()
    ) {
      retries++
      moveToOtherNode()
      result = await runOperation(mix)
    }
    // 2% move to another node, and so to another area, without any failure; they keep their tokens.
    if (world.random() < 0.02) moveToOtherNode()
    if (
      result &&
      (result.outcome === 'none' ||
        result.class === 'NOT_FOUND' ||
        (result.outcome === 'refused' && result.class !== 'ROLLED_BACK' && world.random() < 0.3))
    )
      moveToOtherNode()
    await pause(world, settings.thinkMs * (0.5 + world.random()), stop)
  }
  connection?.close()
}
