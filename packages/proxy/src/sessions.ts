import {
  RETRY_AFTER_OVERLOAD_S,
  RETRY_AFTER_PROMOTION_S,
  DRAIN_TIMEOUT_MS,
  LEAVING_GRACE_MS,
  loop,
  ATTEMPT_TIMEOUT_MS,
  SESSION_IDLE_TIMEOUT_MS,
  MAX_SESSIONS,
  STATEMENT_TIMEOUT_SHARE,
  TRANSACTION_IDLE_TIMEOUT_MS,
  Err,
  type Flag,
  type Metrics,
  type World,
} from '@claynotch/base'
import type { StatementResult, InstanceAdapter, RequestError } from '@claynotch/instance'
import { AUTO } from '@claynotch/operator'
import { refusal, type Verdict, type Word } from '@claynotch/requester'
import { isForeign, isFresh, readToken, writeToken, type Token } from './freshness.js'
import { makeCall } from './call.js'
import type { Runner } from './interpret.js'
import type { CheckedOutConnection } from './pool.js'
import type { LaneRules, Rules } from './rules.js'
import { makeSessionMemory, type SessionState } from './session-state.js'
import type { State } from './state.js'

// An open transaction. Invariants: its loan is its own until it ends; statements run on that connection alone;
// ran turns true with the first statement handed over and never back; fresh is set on a follower, where each
// statement is held to the lane's bound anew; stray is since when the lane as configured no longer allows it.
type Transaction = {
  loan: CheckedOutConnection
  kind: 'read' | 'write'
  lane: string
  database: string
  group: string
  epoch: number
  lead: boolean
  ran: boolean
  begun: number
  last: number
  fresh: { within: number; own: boolean } | undefined
  stray: number | undefined
}

// lane undefined: matched by the database, anew for each call.
// Invariants: idle sessions hold no connection; busy is true while one call of the session runs, and a second is refused;
// token is its last write's place, in the group that took it; mustLead is set after a write of unknown end, until a read at the leader;
// ended is what became of a transaction that this node ended by itself, until the requester was told: till then nothing
// that it sends runs, as it was meant for that transaction.
type Session = {
  id: string
  lane: string | undefined
  database: string
  team: string
  state: SessionState
  token: Token | undefined
  mustLead: boolean
  busy: boolean
  last: number
  transaction: Transaction | undefined
  ended: Verdict | undefined
  dead: boolean
}

export type Sessions = {
  // One word of a requester. ms: how long it will wait; gone: it went away.
  run: (word: Word, ms: number | undefined, gone: Flag) => Promise<Verdict>
  open: () => number
  // Open transactions of a group, or of all. Reading ones count too: they get their time like any other.
  transactions: (group?: string, lane?: string, kind?: 'read' | 'write') => number
  // Ends the open transactions: those that no call is busy with at once, the others with their call. For good.
  cut: (why: string) => void
}

function findLane(rules: Rules, name: string | undefined, database: string): LaneRules | undefined {
  return name === undefined ? rules.bases.get(database) : rules.lanes.get(name)
}

export function makeSessions(
  world: World,
  state: State,
  runner: Runner,
  edge: InstanceAdapter,
  metrics: Metrics,
  stop: Flag,
  stopping: () => boolean,
): Sessions {
  const all = new Map<string, Session>()
  // counts: open sessions by team.
  const counts = new Map<string, number>()
  const memory = makeSessionMemory(metrics)
  const prefix = Math.floor(world.random() * 2 ** 40).toString(36)
  let next = 0
  let counted = 0
  // Set once the node stops: a call that was busy then must not leave a transaction behind that goes on.
  let whyCut: string | undefined

  function laneOf(name: string | undefined, database: string): { rules: Rules; lane: LaneRules } | undefined {
    const rules = state.rules()
    const lane = rules ? findLane(rules, name, database) : undefined
    return rules && lane ? { rules, lane } : undefined
  }
  // The lane 'auto' is matched by the operator's policy; a policy that fails, or names no lane, by its fallback.
  function matchLane(name: string, kind: string, database: string, settings: [string, string][]): string {
    const policy = state.rules()?.policy
    if (name !== AUTO || !policy) return name
    const got = policy.policy.match({ kind, database, area: state.area(), settings })
    if (got.ok && state.rules()?.lanes.has(got.val)) return got.val
    metrics.add('claynotch_policy_failures_total')
    world.log.warn('policy-failed', { why: got.ok ? `no lane is named ${got.val}` : got.val })
    return policy.fallback
  }
  function pairsOf(list: { name: string; value: string }[] | undefined): [string, string][] {
    const out: [string, string][] = []
    for (const p of list ?? []) out.push([p.name, p.value])
    return out
  }
  // That a lane isn't there is said under a valid term alone: without one it may have been added since.
  function noLane(name: string): Verdict {
    if (!state.rules())
      return refusal('UNAVAILABLE', 'no configuration is known here yet', true, RETRY_AFTER_PROMOTION_S)
    if (!state.valid()) return refusal('UNAVAILABLE', 'this node holds no valid term', true, RETRY_AFTER_PROMOTION_S)
    return { ...refusal('NOT_FOUND', `no lane is named ${name}`, false), lacks: 'lane' }
  }
  function teamCount(team: string, by: number): void {
    counts.set(team, (counts.get(team) ?? 0) + by)
  }
  // Lanes may have gone to other teams; sessions are counted under the team of now.
  function recount(rules: Rules): void {
    counted = rules.epoch
    counts.clear()
    for (const s of all.values()) {
      s.team = findLane(rules, s.lane, s.database)?.team ?? s.team
      teamCount(s.team, 1)
    }
  }
  function drop(s: Session): void {
    if (s.dead) return
    s.dead = true
    all.delete(s.id)
    s.state.close()
    teamCount(s.team, -1)
    if (s.transaction && !s.busy) void rollBack(s)
  }
  // Rolls back where the connection is kept; an answer that isn't clear closes it, and the instance rolls back.
  async function rollBack(s: Session): Promise<void> {
    const tx = s.transaction
    if (!tx) return
    s.transaction = undefined
    const got = await tx.loan.port.rollback(ATTEMPT_TIMEOUT_MS)
    tx.loan.end(got.ok)
    runner.quiet.notify()
  }
  // Ends it unasked.
  function endUnasked(s: Session, cls: string, why: string): void {
    if (s.transaction) s.ended = verdictOver(s.transaction, cls, why)
    void rollBack(s)
  }
  function sweep(): void {
    const now = world.now()
    for (const s of all.values()) {
      if (s.busy) continue
      if (s.transaction && now - s.transaction.last > (state.rules()?.transactionIdle ?? TRANSACTION_IDLE_TIMEOUT_MS)) {
        metrics.add('claynotch_transactions_idle_total')
        endUnasked(s, 'ABORTED', 'the transaction rested too long')
      }
      if (now - s.last > SESSION_IDLE_TIMEOUT_MS) drop(s)
    }
    for (const s of all.values()) {
      const why = s.transaction && !s.busy ? lapsed(s.transaction) : undefined
      if (why !== undefined) endUnasked(s, 'UNAVAILABLE', why)
    }
    const rules = state.rules()
    if (rules && rules.epoch !== counted) recount(rules)
    metrics.set('claynotch_sessions', [], all.size)
  }
  void loop(world, 'sessions', 250, stop, sweep)

  // A token of another group is let in: its lane may have gone elsewhere since. One that was never ours is not.
  function tokenOf(text: string | undefined): Token | undefined | 'bad' {
    const token = readToken(text ?? '')
    return token !== undefined && token !== 'bad' && !state.knows(token.group) ? 'bad' : token
  }
  function badToken(): Verdict {
    return refusal('INVALID_ARGUMENT', 'the token is none of ours', false)
  }
  function open(body: Extract<Word, { w: 'open' }>['body']): Verdict {
    if (stopping()) return refusal('UNAVAILABLE', 'this node is stopping', true, RETRY_AFTER_OVERLOAD_S)
    const settings = pairsOf(body.settings)
    const database = body.database ?? ''
    const name = body.lane === undefined ? undefined : matchLane(body.lane, 'session', database, settings)
    const found = laneOf(name, database)
    if (!found) return noLane(name ?? database)
    const { lane, rules } = found
    const token = tokenOf(body.token)
    if (token === 'bad') return badToken()
    const most = rules.sessions.get(lane.team)
    if (all.size >= MAX_SESSIONS)
      return refusal('RESOURCE_EXHAUSTED', `this node holds ${all.size} sessions`, true, RETRY_AFTER_OVERLOAD_S)
    if (most !== undefined && (counts.get(lane.team) ?? 0) >= most)
      return refusal(
        'RESOURCE_EXHAUSTED',
        `the team ${lane.team} has its ${most} sessions on this node`,
        true,
        RETRY_AFTER_OVERLOAD_S,
      )
    const own = memory.open()
    for (const [name, value] of settings) {
      if (own.set(name, value)) continue
      own.close()
      return tooMuchState()
    }
    const id = `${prefix}-${++next}-${Math.floor(world.random() * 2 ** 40).toString(36)}`
    all.set(id, {
      id,
      lane: name,
      database,
      team: lane.team,
      state: own,
      token,
      mustLead: false,
      busy: false,
      last: world.now(),
      transaction: undefined,
      ended: undefined,
      dead: false,
    })
    teamCount(lane.team, 1)
    return { outcome: 'done', session: id, token: writeToken(token) }
  }

  function freshOf(lane: LaneRules): { within: number; own: boolean } | undefined {
    for (const step of lane.programs.get('begin read') ?? [])
      if (step.op === 'aim' && step.at === 'fresh') return { within: step.within, own: step.own }
    return undefined
  }

  // --- in a transaction ---

  function over(s: Session, tx: Transaction, cls: string, why: string): Verdict {
    void (s.transaction === tx ? endTx(s, tx) : undefined)
    return verdictOver(tx, cls, why)
  }
  function verdictOver(tx: Transaction, cls: string, why: string): Verdict {
    const kept = tx.ran ? 'unknown' : 'nothing'
    return {
      outcome: tx.ran ? 'failed' : 'refused',
      class: cls,
      kept,
      again: cls === 'UNAVAILABLE',
      why,
      transaction: 'over',
      ...(cls === 'UNAVAILABLE' ? { after: RETRY_AFTER_PROMOTION_S } : {}),
    }
  }
  function endTx(s: Session, tx: Transaction): void {
    s.transaction = undefined
    tx.loan.end(false)
    runner.quiet.notify()
  }
  // Why the lane as it is now would not have begun this transaction, if so.
  function strays(tx: Transaction): string | undefined {
    const lane = state.rules()?.lanes.get(tx.lane)
    if (!lane) return `the lane ${tx.lane} was dropped`
    if (lane.group !== tx.group || lane.database !== tx.database) return `the lane ${tx.lane} was moved`
    if (lane.move && (lane.move !== 'ease' || tx.kind === 'read')) return `the lane ${tx.lane} is being moved`
    if (tx.fresh && !freshOf(lane)) return `reads of the lane ${tx.lane} go to the leader now`
    return undefined
  }
  // Why nothing more may go out on this transaction, if so.
  function lapsed(tx: Transaction): string | undefined {
    if (whyCut !== undefined) return whyCut
    // An instance that leaves gets no new work, and a statement is work.
    if (state.goneFor(tx.loan.instance) > LEAVING_GRACE_MS) return `the instance ${tx.loan.instance} leaves`
    // A move's fence went by meanwhile: nothing of this transaction may count any more.
    if (!state.counts(tx.lane, tx.group, tx.begun)) return `the lane ${tx.lane} was moved`
    const stray = strays(tx)
    tx.stray = stray === undefined ? undefined : (tx.stray ?? state.rules()?.since ?? world.now())
    if (tx.stray !== undefined && world.now() - tx.stray > DRAIN_TIMEOUT_MS)
      return `${stray}; open transactions had their time`
    const known = state.group(tx.group)
    if (!known || world.now() >= known.until) return 'this node lost its term'
    if (tx.lead && !runner.stands(tx.group, tx.epoch)) return 'the leader is being replaced'
    if (known.record.epoch !== tx.epoch) return 'the leader was replaced'
    if (known.record.phase === 'drain' && world.now() - known.since > DRAIN_TIMEOUT_MS)
      return 'the leader is being replaced; open transactions had their time'
    if (!tx.loan.port.alive()) return 'the connection to the instance broke'
    return undefined
  }
  function troubled(s: Session, tx: Transaction, t: RequestError): Verdict {
    metrics.add('claynotch_error_classification_total', [
      ['class', t.class],
      ['retryable', 'no'],
    ])
    return over(s, tx, t.class, t.why)
  }
  async function inTransaction(
    s: Session,
    tx: Transaction,
    word: Extract<Word, { w: 'statement' }>,
    ms: number,
    gone: Flag,
  ): Promise<Verdict> {
    const why = lapsed(tx)
    if (why) return over(s, tx, 'UNAVAILABLE', why)
    const shape = word.body.shape !== undefined ? s.state.prepared(word.body.shape) : undefined
    if (word.body.shape !== undefined && !shape) return noShape(word.body.shape)
    const kind = word.body.kind ?? shape?.kind ?? 'write'
    if (kind === 'write' && tx.kind === 'read')
      return refusal('INVALID_ARGUMENT', 'a write in a transaction that was begun to read', false)
    // A follower that was fresh when the transaction began may have stopped receiving since.
    // A bound that was changed meanwhile holds from now on.
    const lane = state.rules()?.lanes.get(tx.lane)
    const fresh = tx.fresh && ((lane && freshOf(lane)) ?? tx.fresh)
    const groupSince = lane?.group === tx.group ? lane.groupSince : 0
    const need = fresh ? runner.needNow(tx.group, fresh, s.token, groupSince) : undefined
    if (fresh && need === undefined) return over(s, tx, 'UNAVAILABLE', 'the follower can no longer be proved fresh')
    tx.ran = true
    if (tx.kind === 'write') runner.holdWrite(tx.group, tx.lane, 1)
    const bad = shape ? await tx.loan.shape(shape.text) : undefined
    const sent = { args: word.body.args ?? [], mode: kind, ...(word.id !== undefined ? { id: word.id } : {}) }
    const most = lane?.aim !== undefined ? Math.min(ms, lane.aim * STATEMENT_TIMEOUT_SHARE) : ms
    const got = bad
      ? Err(bad)
      : await tx.loan.port.statement(
          { ...(shape ? { shape: tx.loan.shapeId(shape.text) } : { text: word.body.text ?? '' }), ...sent },
          Math.min(most, ATTEMPT_TIMEOUT_MS),
        )
    if (tx.kind === 'write') runner.holdWrite(tx.group, tx.lane, -1)
    tx.last = world.now()
    if (s.transaction !== tx) {
      s.ended = undefined
      return {
        outcome: 'failed',
        class: 'ABORTED',
        kept: 'unknown',
        again: true,
        why: 'the transaction was ended meanwhile',
        transaction: 'over',
      }
    }
    if (got.err) return troubled(s, tx, got.val)
    const late = lapsed(tx)
    if (late) return over(s, tx, 'UNAVAILABLE', late)
    if (need !== undefined && !isFresh(got.val.mark, need, edge.exact))
      return over(s, tx, 'UNAVAILABLE', "the follower fell behind the lane's bound")
    if (gone.fired()) return over(s, tx, 'ABORTED', 'the requester went away')
    return { outcome: 'done', rows: got.val.rows, ...proofOf(got.val) }
  }
  function proofOf(d: StatementResult): { stamp?: string; mark: StatementResult['mark'] } {
    return { mark: d.mark, ...(d.stamp !== undefined ? { stamp: d.stamp } : {}) }
  }
  async function commit(s: Session, tx: Transaction, ms: number, id: string | undefined): Promise<Verdict> {
    const why = lapsed(tx)
    if (why) return over(s, tx, 'UNAVAILABLE', why)
    if (tx.kind === 'write') runner.holdWrite(tx.group, tx.lane, 1)
    const got = await tx.loan.port.commit(Math.min(ms, ATTEMPT_TIMEOUT_MS), id !== undefined ? { id } : undefined)
    if (tx.kind === 'write') runner.holdWrite(tx.group, tx.lane, -1)
    if (s.transaction === tx) s.transaction = undefined
    tx.loan.end(got.ok || got.val.reach === 'answered')
    runner.quiet.notify()
    if (got.err) {
      // COMMIT that may have reached is never sent again. An instance that answers that it did not commit says so.
      if (got.val.reach === 'answered')
        return {
          outcome: 'failed',
          class: got.val.class,
          kept: 'unknown',
          again: got.val.transient,
          why: got.val.why,
          transaction: 'over',
        }
      if (tx.kind === 'read')
        return {
          outcome: 'failed',
          class: 'UNAVAILABLE',
          kept: 'unknown',
          again: true,
          why: got.val.why,
          transaction: 'over',
          after: RETRY_AFTER_OVERLOAD_S,
        }
      return lost(s, got.val.why)
    }
    if (tx.kind === 'write') {
      if (
        !runner.stands(tx.group, tx.epoch) ||
        (edge.exact && got.val.mark.epoch !== tx.epoch) ||
        !state.counts(tx.lane, tx.group, tx.begun)
      )
        return lost(s, 'the answer came after the leader had been replaced, the lane moved, or the term had ended')
      runner.sawWrite(tx.group, got.val.mark)
      s.token = { group: tx.group, mark: got.val.mark }
    }
    return { outcome: 'done', rows: got.val.rows, transaction: 'over', ...proofOf(got.val) }
  }
  function lost(s: Session, why: string): Verdict {
    s.mustLead = true
    metrics.add('claynotch_unknown_total')
    return { outcome: 'unknown', class: 'UNKNOWN', kept: 'unknown', again: false, why, transaction: 'over' }
  }

  // --- words ---

  function noShape(name: string): Verdict {
    return { ...refusal('NOT_FOUND', `no shape is named ${name}`, false), lacks: 'shape' }
  }
  function tooMuchState(): Verdict {
    return refusal('RESOURCE_EXHAUSTED', 'the session holds too many values and prepared statements', false)
  }
  // In an open transaction the setting is put in force at once, as its statements run on that connection alone.
  async function setting(s: Session, tx: Transaction | undefined, name: string, value: string): Promise<Verdict> {
    if (tx) {
      const why = lapsed(tx)
      if (why) return over(s, tx, 'UNAVAILABLE', why)
      const before = s.state.value(name)
      if (!s.state.set(name, value)) return tooMuchState()
      const bad = await tx.loan.setting(name, value)
      if (!bad) return { outcome: 'done' }
      s.state.restore(name, before)
      return troubled(s, tx, bad)
    }
    return s.state.set(name, value) ? { outcome: 'done' } : tooMuchState()
  }

  async function onSession(s: Session, word: Word, ms: number | undefined, gone: Flag): Promise<Verdict> {
    const tx = s.transaction
    const lane = state.rules()?.lanes.get(tx?.lane ?? '')
    const left = Math.min(ms ?? ATTEMPT_TIMEOUT_MS, lane?.limit ?? ATTEMPT_TIMEOUT_MS)
    const { ended } = s
    if (ended && word.w !== 'shape' && word.w !== 'unshape') {
      s.ended = undefined
      if (word.w !== 'rollback') return ended
    }
    switch (word.w) {
      case 'shape':
        return s.state.prepare(word.body.name, { text: word.body.text, kind: word.body.kind })
          ? { outcome: 'done' }
          : tooMuchState()
      case 'unshape':
        return s.state.deallocate(word.name) ? { outcome: 'done' } : noShape(word.name)
      case 'set':
        return await setting(s, tx, word.name, word.value)
      case 'commit':
        return tx ? await commit(s, tx, left, word.id) : refusal('INVALID_ARGUMENT', 'no transaction is open', false)
      case 'rollback':
        if (!tx && ended) return { outcome: 'done', transaction: 'over' }
        if (!tx) return refusal('INVALID_ARGUMENT', 'no transaction is open', false)
        await rollBack(s)
        return { outcome: 'done', transaction: 'over' }
      default:
        break
    }
    if (word.w === 'statement' && tx) return await inTransaction(s, tx, word, left, gone)
    if (word.w === 'begin' && tx) return refusal('INVALID_ARGUMENT', 'a transaction is open already', false)
    if (word.w !== 'statement' && word.w !== 'begin') return refusal('INVALID_ARGUMENT', 'not a session call', false)
    const found = laneOf(s.lane, s.database)
    if (!found) return noLane(s.lane ?? s.database)
    const shape =
      word.w === 'statement' && word.body.shape !== undefined ? s.state.prepared(word.body.shape) : undefined
    if (word.w === 'statement' && word.body.shape !== undefined && !shape) return noShape(word.body.shape)
    const kind = word.body.kind ?? shape?.kind ?? 'write'
    const { id } = word
    const body: { text?: string; shape?: string; args: unknown[]; id?: string } =
      word.w === 'statement'
        ? {
            ...(id !== undefined ? { id } : {}),
            ...(word.body.text !== undefined ? { text: word.body.text } : { shape: word.body.shape! }),
            args: word.body.args ?? [],
          }
        : { args: [], ...(id !== undefined ? { id } : {}) }
    // Only the shapes that a call uses are put in force for it; a transaction's statements carry their texts.
    const shapes = new Map<string, string>()
    if (body.shape !== undefined && shape) shapes.set(body.shape, shape.text)
    function find(rules: Rules): LaneRules | undefined {
      return findLane(rules, s.lane, s.database)
    }
    const call = makeCall(world, word.w === 'begin' ? `begin ${kind}` : kind, found.lane, found.rules, {
      settings: s.state.settings(),
      shapes,
      token: s.token,
      mustLead: s.mustLead,
      body,
      find,
      ms,
      gone,
    })
    const got = await runner.run(call)
    if (got.verdict.outcome === 'done' && got.mark) {
      const lead = call.target?.floor === undefined
      if (word.w === 'begin') {
        if (s.dead || gone.fired()) {
          got.loan?.end(false)
          runner.kept(call)
          return refusal('ABORTED', 'the session was closed', false)
        }
        s.transaction = {
          loan: got.loan!,
          kind,
          lane: call.lane.name,
          database: call.lane.database,
          stray: undefined,
          group: call.lane.group,
          epoch: got.epoch!,
          lead,
          ran: false,
          begun: call.asked,
          last: world.now(),
          fresh: lead || !edge.sampler ? undefined : freshOf(call.lane),
        }
      } else if (kind === 'write') s.token = { group: call.lane.group, mark: got.mark }
      else if (lead && (s.mustLead || isForeign(s.token, call.lane.group))) {
        // What the leader answered stands for all that this session may be owed.
        s.mustLead = false
        s.token = { group: call.lane.group, mark: got.mark }
      }
    } else if (got.verdict.outcome === 'unknown') s.mustLead = true
    runner.kept(call)
    return { ...got.verdict, reads: kind === 'read', ...(got.mark ? { mark: got.mark } : {}) }
  }
  async function once(word: Extract<Word, { w: 'call' }>, ms: number | undefined, gone: Flag): Promise<Verdict> {
    const settings = pairsOf(word.body.settings)
    const name = matchLane(word.body.lane, word.body.kind, word.body.database ?? '', settings)
    const found = laneOf(name, '')
    if (!found) return noLane(name)
    function find(rules: Rules): LaneRules | undefined {
      return rules.lanes.get(name)
    }
    const token = tokenOf(word.body.token)
    if (token === 'bad') return badToken()
    const call = makeCall(world, word.body.kind, found.lane, found.rules, {
      settings,
      shapes: new Map(),
      token,
      mustLead: false,
      body: { text: word.body.text, args: word.body.args ?? [] },
      find,
      ms,
      gone,
    })
    const got = await runner.run(call)
    if (got.verdict.outcome !== 'done') return got.verdict
    const fresh = word.body.kind === 'write' || isForeign(token, call.lane.group)
    return { ...got.verdict, token: writeToken(fresh && got.mark ? { group: call.lane.group, mark: got.mark } : token) }
  }
  async function run(word: Word, ms: number | undefined, gone: Flag): Promise<Verdict> {
    if (word.w === 'open') return open(word.body)
    if (word.w === 'call') return await once(word, ms, gone)
    const s = all.get(word.session)
    if (!s) return refusal('NOT_FOUND', 'no such session on this node', false)
    if (word.w === 'close') {
      drop(s)
      return { outcome: 'done' }
    }
    if (s.busy)
      return refusal('INVALID_ARGUMENT', 'the session is busy with another call', true, RETRY_AFTER_OVERLOAD_S)
    s.busy = true
    s.last = world.now()
    try {
      const verdict = await onSession(s, word, ms, gone)
      return verdict.outcome === 'done' ? { ...verdict, token: writeToken(s.token) } : verdict
    } finally {
      s.busy = false
      s.last = world.now()
      if (s.dead && s.transaction) void rollBack(s)
      // A requester that went away in the middle of its transaction won't end it.
      else if (gone.fired() && s.transaction) endUnasked(s, 'ABORTED', 'the requester went away')
    }
  }
  function openNow(): number {
    return all.size
  }
  function transactions(group?: string, lane?: string, kind?: 'read' | 'write'): number {
    let out = 0
    for (const s of all.values())
      if (
        s.transaction &&
        (group === undefined || s.transaction.group === group) &&
        (lane === undefined || s.transaction.lane === lane) &&
        (kind === undefined || s.transaction.kind === kind)
      )
        out++
    return out
  }
  function cut(why: string): void {
    whyCut = why
    for (const s of all.values()) {
      if (!s.transaction || s.busy) continue
      world.log.info('transaction-cut', { group: s.transaction.group, why })
      endUnasked(s, 'UNAVAILABLE', why)
    }
  }
  return { run, open: openNow, transactions, cut }
}
