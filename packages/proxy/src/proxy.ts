import {
  CLIENT_DESCRIPTORS_SHARE,
  DRAIN_TIMEOUT_MS,
  CLOSE_TIMEOUT_MS,
  makeHello,
  makePersistentLink,
  loop,
  CONNECTION_GRACE_MS,
  makeFlag,
  makeMetrics,
  makeSignal,
  MAX_LISTENER_CONNECTIONS,
  PROXY_REPORT_INTERVAL_MS,
  NOT_READY_NOTICE_MS,
  pause,
  readAs,
  ATTEMPT_TIMEOUT_MS,
  serveHttp,
  STALL_TIMEOUT_MS,
  STALL_INTERVAL_MS,
  type Address,
  type HttpRequest,
  type Metrics,
  type HttpResponse,
  type World,
} from '@claynotch/base'
import { CONFIG_KEY, usableConnectionsPerProxy } from '@claynotch/operator'
import { AgentFeed, groupOf, type ProxyReport } from '@claynotch/register'
import { provedStalenessMs } from './freshness.js'
import { makeClientMemory } from './client-memory.js'
import { makeRunner, type Runner } from './interpret.js'
import { makePool, type Pool } from './pool.js'
import { makeQuotaStep } from './quota-step.js'
import { makeSessions, type Sessions } from './sessions.js'
import { httpAdapters, type ProxyAdapters } from './adapter.js'
import { makeState, type State } from './state.js'
import { startWatch, type Watch } from './watch.js'

// listen: requesters. admin: the platform's probes. agent: the agent's link on this machine.
// grace: ms that it is given from being told to stop, open transactions half of them.
// descriptors: that the process may have open.
export type ProxySettings = { listen: Address; admin: Address; agent: Address; grace?: number; descriptors?: number }

export type Proxy = {
  stop: () => Promise<void>
  metrics: Metrics
  state: State
  watch: Watch
  runner: Runner
  sessions: Sessions
  pool: Pool
}

export async function startProxy(world: World, set: ProxySettings, edges: ProxyAdapters = httpAdapters): Promise<Proxy> {
  const stop = makeFlag()
  const metrics = makeMetrics()
  const life = Math.floor(world.random() * 2 ** 40).toString(36)
  const state = makeState(world)
  // leaving: not ready any more, what is open is served on. draining: nothing new is begun either.
  let leaving = false
  let draining = false
  function stopping(): boolean {
    return draining
  }
  const watch = startWatch(world, state, edges.instance, stop, metrics)
  const pool = makePool(world, edges.instance, stop, metrics)
  function askAgent(message: unknown, ms: number): Promise<unknown> {
    return agent.ask(message, ms)
  }
  const quota = makeQuotaStep(world, state, askAgent, life, metrics, stop)
  const runner = makeRunner(world, state, watch, pool, edges.instance, quota, metrics, stopping)
  const sessions = makeSessions(world, state, runner, edges.instance, metrics, stop, stopping)
  // acked: turns applied in full; a drain counts only once no transaction and no write is left open.
  const acked = new Map<string, number>()

  function ready(): string | undefined {
    if (leaving) return 'draining'
    if (!state.hasValidLease()) return 'no valid term'
    if (!state.hasConnectionShare()) return 'no share of the connections'
    return undefined
  }
  // The requester's address is bound before the agent is dialled: a second proxy of this machine fails
  // here, so an agent never feeds one while another may still work.
  const clientMemory = makeClientMemory(metrics)
  const connections =
    set.descriptors === undefined ? MAX_LISTENER_CONNECTIONS : Math.floor(set.descriptors * CLIENT_DESCRIPTORS_SHARE)
  const listen = { addr: set.listen, connections }
  const http = await edges.requester(world, listen, sessions, clientMemory)
  function admin(ask: HttpRequest): HttpResponse {
    return edges.probes(ask, { ready, metrics: metrics }) ?? { status: 404, body: { why: 'no such path' } }
  }
  const probes = await serveHttp(world, set.admin, admin)

  // Open transactions, and those whose begin has gone out.
  function transactions(group: string, lane?: string): number {
    return (
      runner.beginsInFlight(group, lane, 'begin read') +
      runner.beginsInFlight(group, lane, 'begin write') +
      sessions.transactions(group, lane)
    )
  }
  function applied(key: string, version: number): boolean {
    const group = groupOf(key)
    if (key === CONFIG_KEY) {
      // A configuration with smaller shares is applied once no more is open than it allows.
      const config = state.config()
      let whole = true
      if (config && config.proxies !== 'live')
        for (const [name, one] of watch.all())
          if (!pool.shrink(name, usableConnectionsPerProxy(config, one.group))) whole = false
      // A lane whose move eases or drains has done so once what was to end has ended.
      for (const lane of state.rules()?.lanes.values() ?? []) {
        if (
          lane.movePhase === 'ease' &&
          (runner.beginsInFlight(lane.group, lane.name, 'begin read') > 0 ||
            sessions.transactions(lane.group, lane.name, 'read') > 0)
        )
          whole = false
        if (
          lane.movePhase === 'drain' &&
          (runner.writesInFlight(lane.group, lane.name) > 0 || transactions(lane.group, lane.name) > 0)
        )
          whole = false
      }
      return whole
    }
    if (group === undefined) return true
    const known = state.group(group)
    if (known?.record.phase !== 'drain' || known.version !== version) return true
    return runner.writesInFlight(group) === 0 && transactions(group) === 0
  }
  // waits: since when calls to an instance have waited there without one good answer.
  const waits = new Map<string, number>()
  function badNow(now: number): [string, number][] {
    const out: [string, number][] = []
    for (const [name, one] of watch.all()) {
      if (one.callsInFlight === 0) waits.delete(name)
      else waits.set(name, Math.max(waits.get(name) ?? now, one.lastOk))
      const from = Math.min(
        one.failing ?? now,
        now - (waits.get(name) ?? now) > STALL_TIMEOUT_MS ? (waits.get(name) as number) : now,
      )
      if (from < now || one.failing !== undefined) out.push([name, now - from])
    }
    for (const name of waits.keys()) if (!watch.get(name)) waits.delete(name)
    return out
  }
  // isAckAwaited: a turn is known here that is not applied in full yet.
  let isAckAwaited = false
  // Whether a turn was acknowledged that was not before.
  function acknowledge(): boolean {
    let isNew = false
    isAckAwaited = false
    for (const [key, version] of state.versions()) {
      if ((acked.get(key) ?? 0) >= version) continue
      if (applied(key, version)) {
        acked.set(key, version)
        isNew = true
      } else isAckAwaited = true
    }
    return isNew
  }
  function note(): void {
    acknowledge()
    const highs: [string, number, number][] = []
    for (const [g, m] of runner.lastWritePositions()) highs.push([g, m.epoch, m.position])
    const seen: [string, number][] = []
    const now = world.now()
    const lags: [string, number][] = []
    for (const [name, one] of watch.all()) {
      if (one.lastOk > 0) seen.push([name, now - one.lastOk])
      const rec = state.group(one.group)?.record
      const lag =
        rec?.leader !== undefined && rec.leader !== name && one.mark
          ? provedStalenessMs(watch.get(rec.leader)?.samples ?? [], rec.epoch, one.mark, now)
          : undefined
      if (lag !== undefined) lags.push([name, lag])
    }
    const moving: [string, number][] = []
    const tries: [string, number, number][] = []
    for (const [g, tools] of runner.retryControlsByGroup()) {
      const recent = tools.tokens.recentCounts()
      tries.push([g, recent.firsts, recent.retries])
      const rec = state.group(g)?.record
      if (rec && rec.phase !== 'steady') moving.push([g, rec.epoch])
    }
    metrics.set('claynotch_client_memory_bytes', [], clientMemory.totalBytes())
    metrics.set('claynotch_ready', [], ready() === undefined ? 1 : 0)
    for (const [g] of runner.retryControlsByGroup())
      metrics.set('claynotch_transactions', [['group', g]], sessions.transactions(g))
    const word: ProxyReport = {
      t: 'note',
      life,
      acks: [...acked],
      highs,
      seen,
      moving,
      tries,
      open: sessions.open(),
      leaving,
      lags,
      bad: badNow(now),
    }
    agent.tell(word)
  }
  function take(msg: unknown): undefined {
    const got = readAs(AgentFeed, msg)
    if (got.err) {
      metrics.add('claynotch_link_garbage_total')
      throw new Error('unknown word from the agent')
    }
    state.applyFeed(got.val)
    if (acknowledge()) note()
    return undefined
  }
  const agent = makePersistentLink(world, set.agent, makeHello('proxy', life), take, stop, note)
  // The end of a write or a transaction is worth a note only where an acknowledgement waits for it.
  const mayAck = makeSignal()
  runner.inFlightEnded.watch(ringIfAwaited)
  function ringIfAwaited(): void {
    if (isAckAwaited) mayAck.notify()
  }
  void loop(world, 'note', PROXY_REPORT_INTERVAL_MS, stop, note, mayAck)
  // That an instance begins to fail is told at once.
  let failing = new Set<string>()
  function tellTrouble(): void {
    const now = new Set<string>()
    for (const [name] of badNow(world.now())) now.add(name)
    let fresh = false
    for (const name of now) if (!failing.has(name)) fresh = true
    failing = now
    if (fresh) note()
  }
  void loop(world, 'trouble', STALL_INTERVAL_MS, stop, tellTrouble, watch.trouble)
  world.log.info('proxy-started', { listen: set.listen, admin: set.admin })

  // A planned stop: this node says that it isn't ready, and serves on for as long as others may not have noticed and
  // transactions are open, DRAIN at most; then nothing new is begun, answers in flight go out, and it ends.
  async function end(): Promise<void> {
    leaving = true
    note()
    http.drain()
    world.log.info('draining', { sessions: sessions.open(), transactions: sessions.transactions(), calls: http.busy() })
    const from = world.now()
    const half = set.grace === undefined ? DRAIN_TIMEOUT_MS : set.grace / 2
    const until = from + half
    // Connections leave as they are answered; one that says nothing for all of DRAIN is idle and may be ended.
    while (
      world.now() < until &&
      (world.now() < from + NOT_READY_NOTICE_MS || sessions.transactions() > 0 || http.lines() > 0)
    )
      await runner.inFlightEnded.wait(world, Math.min(100, until - world.now()))
    draining = true
    sessions.cut('the node stops')
    // No new connections from here on; those that are left are answered to the end.
    await http.close(set.grace === undefined ? ATTEMPT_TIMEOUT_MS + CLOSE_TIMEOUT_MS : half - CONNECTION_GRACE_MS)
    state.expireLeases()
    note()
    await pause(world, 20)
    stop.fire()
    pool.close()
    await probes.close()
    world.log.info('drained', { left: http.busy() })
  }
  return { stop: end, metrics: metrics, state, watch, runner, sessions, pool }
}
