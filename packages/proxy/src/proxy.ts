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

/**
 * Settings of a proxy process. listen: address for clients; admin: address for health checks and metrics; agent:
 * address of this machine's agent; grace: ms that the process has for a planned stop, of which open transactions get
 * half; descriptors: number of file descriptors that the process may have open.
 */
export type ProxySettings = { listen: Address; admin: Address; agent: Address; grace?: number; descriptors?: number }

/** A running proxy. */
export type Proxy = {
  /** Drains and stops the proxy. */
  stop: () => Promise<void>
  metrics: Metrics
  state: State
  watch: Watch
  runner: Runner
  sessions: Sessions
  pool: Pool
}

/** Starts a proxy: routes clients' requests to database instances, by the rules and leases that its agent feeds it. */
export async function startProxy(
  world: World,
  settings: ProxySettings,
  adapters: ProxyAdapters = httpAdapters,
): Promise<Proxy> {
  const stop = makeFlag()
  const metrics = makeMetrics()
  const processId = Math.floor(world.random() * 2 ** 40).toString(36)
  const state = makeState(world)
  /** The proxy reports that it isn't ready, and still serves everything. */
  let isLeaving = false
  /** Nothing new is begun any more. */
  let isDraining = false
  function isStopping(): boolean {
    return isDraining
  }
  const watch = startWatch(world, state, adapters.instance, stop, metrics)
  const pool = makePool(world, adapters.instance, stop, metrics)
  function askAgent(message: unknown, ms: number): Promise<unknown> {
    return agent.ask(message, ms)
  }
  const quota = makeQuotaStep(world, state, askAgent, processId, metrics, stop)
  const runner = makeRunner(world, state, watch, pool, adapters.instance, quota, metrics, isStopping)
  const sessions = makeSessions(world, state, runner, adapters.instance, metrics, stop, isStopping)
  /**
   * By record key, the version last applied in full. A version that drains a group or a lane is applied only once no
   * transaction and no write is left open there.
   */
  const ackedVersions = new Map<string, number>()

  /** The reason why the proxy isn't ready; undefined if it is. */
  function whyNotReady(): string | undefined {
    if (isLeaving) return 'draining'
    if (!state.hasValidLease()) return 'no valid term'
    if (!state.hasConnectionShare()) return 'no share of the connections'
    return undefined
  }
  // The clients' address is bound before the agent is dialled: a second proxy on this machine fails here, so an agent
  // never feeds one proxy while another may still be working.
  const clientMemory = makeClientMemory(metrics)
  const maxConnections =
    settings.descriptors === undefined
      ? MAX_LISTENER_CONNECTIONS
      : Math.floor(settings.descriptors * CLIENT_DESCRIPTORS_SHARE)
  const listenOptions = { addr: settings.listen, connections: maxConnections }
  const clientListener = await adapters.requester(world, listenOptions, sessions, clientMemory)
  function handleAdminRequest(request: HttpRequest): HttpResponse {
    return (
      adapters.probes(request, { ready: whyNotReady, metrics }) ?? {
        status: 404,
        body: { why: 'no such path' },
      }
    )
  }
  const adminListener = await serveHttp(world, settings.admin, handleAdminRequest)

  /** Number of open transactions, and of those whose begin has been sent. */
  function countTransactions(group: string, lane?: string): number {
    return (
      runner.beginsInFlight(group, lane, 'begin read') +
      runner.beginsInFlight(group, lane, 'begin write') +
      sessions.transactionCount(group, lane)
    )
  }
  /** Whether the record's version is applied in full. */
  function isApplied(key: string, version: number): boolean {
    const group = groupOf(key)
    if (key === CONFIG_KEY) {
      // A configuration with smaller connection shares is applied once no more connections are open than it allows.
      const config = state.config()
      let isComplete = true
      if (config && config.proxies !== 'live')
        for (const [name, instance] of watch.all())
          if (!pool.closeIdleOverLimit(name, usableConnectionsPerProxy(config, instance.group))) isComplete = false
      // The phases ease and drain of a lane's move are applied once the transactions and writes that they end have
      // ended.
      for (const lane of state.rules()?.lanes.values() ?? []) {
        if (
          lane.movePhase === 'ease' &&
          (runner.beginsInFlight(lane.group, lane.name, 'begin read') > 0 ||
            sessions.transactionCount(lane.group, lane.name, 'read') > 0)
        )
          isComplete = false
        if (
          lane.movePhase === 'drain' &&
          (runner.writesInFlight(lane.group, lane.name) > 0 || countTransactions(lane.group, lane.name) > 0)
        )
          isComplete = false
      }
      return isComplete
    }
    if (group === undefined) return true
    const known = state.group(group)
    if (known?.record.phase !== 'drain' || known.version !== version) return true
    return runner.writesInFlight(group) === 0 && countTransactions(group) === 0
  }
  /** By instance, since when calls there have waited without a successful answer. */
  const waitingSince = new Map<string, number>()
  /** The instances that fail, or whose calls have stalled; each with the time in ms for which it has. */
  function failingInstances(now: number): [string, number][] {
    const failures: [string, number][] = []
    for (const [name, instance] of watch.all()) {
      if (instance.callsInFlight === 0) waitingSince.delete(name)
      else waitingSince.set(name, Math.max(waitingSince.get(name) ?? now, instance.lastAnswerAt))
      const failingFrom = Math.min(
        instance.failingSince ?? now,
        now - (waitingSince.get(name) ?? now) > STALL_TIMEOUT_MS ? (waitingSince.get(name) as number) : now,
      )
      if (failingFrom < now || instance.failingSince !== undefined) failures.push([name, now - failingFrom])
    }
    for (const name of waitingSince.keys()) if (!watch.get(name)) waitingSince.delete(name)
    return failures
  }
  /** Whether some record's version is known here that isn't applied in full yet. */
  let isAckAwaited = false
  /** Acknowledges the versions that are applied by now; returns whether there is a new one. */
  function acknowledge(): boolean {
    let isNew = false
    isAckAwaited = false
    for (const [key, version] of state.versions()) {
      if ((ackedVersions.get(key) ?? 0) >= version) continue
      if (isApplied(key, version)) {
        ackedVersions.set(key, version)
        isNew = true
      } else isAckAwaited = true
    }
    return isNew
  }
  /** Reports this proxy's state to the agent, and sets the metrics of it. */
  function sendReport(): void {
    acknowledge()
    const lastWrites: [string, number, number][] = []
    for (const [group, position] of runner.lastWritePositions())
      lastWrites.push([group, position.epoch, position.position])
    const answerAges: [string, number][] = []
    const now = world.now()
    const followerLags: [string, number][] = []
    for (const [name, instance] of watch.all()) {
      if (instance.lastAnswerAt > 0) answerAges.push([name, now - instance.lastAnswerAt])
      const record = state.group(instance.group)?.record
      const lagMs =
        record?.leader !== undefined && record.leader !== name && instance.mark
          ? provedStalenessMs(watch.get(record.leader)?.samples ?? [], record.epoch, instance.mark, now)
          : undefined
      if (lagMs !== undefined) followerLags.push([name, lagMs])
    }
    const changingGroups: [string, number][] = []
    const attemptCounts: [string, number, number][] = []
    for (const [group, controls] of runner.retryControlsByGroup()) {
      const recent = controls.tokens.recentCounts()
      attemptCounts.push([group, recent.firsts, recent.retries])
      const record = state.group(group)?.record
      if (record && record.phase !== 'steady') changingGroups.push([group, record.epoch])
    }
    metrics.set('claynotch_client_memory_bytes', [], clientMemory.totalBytes())
    metrics.set('claynotch_ready', [], whyNotReady() === undefined ? 1 : 0)
    for (const [group] of runner.retryControlsByGroup())
      metrics.set('claynotch_transactions', [['group', group]], sessions.transactionCount(group))
    const report: ProxyReport = {
      t: 'note',
      life: processId,
      acks: [...ackedVersions],
      highs: lastWrites,
      seen: answerAges,
      moving: changingGroups,
      tries: attemptCounts,
      open: sessions.openCount(),
      leaving: isLeaving,
      lags: followerLags,
      bad: failingInstances(now),
    }
    agent.tell(report)
  }
  function applyMessage(message: unknown): undefined {
    const feed = readAs(AgentFeed, message)
    if (feed.err) {
      metrics.add('claynotch_link_garbage_total')
      throw new Error('message from the agent does not match the feed format')
    }
    state.applyFeed(feed.val)
    if (acknowledge()) sendReport()
    return undefined
  }
  const agent = makePersistentLink(world, settings.agent, makeHello('proxy', processId), applyMessage, stop, sendReport)
  // The end of a write or a transaction triggers a report only if an acknowledgement waits for it.
  const acknowledgementDue = makeSignal()
  runner.inFlightEnded.watch(notifyIfAwaited)
  function notifyIfAwaited(): void {
    if (isAckAwaited) acknowledgementDue.notify()
  }
  void loop(world, 'note', PROXY_REPORT_INTERVAL_MS, stop, sendReport, acknowledgementDue)
  // An instance that begins to fail is reported at once.
  let reportedFailing = new Set<string>()
  function reportNewFailures(): void {
    const currentlyFailing = new Set<string>()
    for (const [name] of failingInstances(world.now())) currentlyFailing.add(name)
    let hasNewFailure = false
    for (const name of currentlyFailing) if (!reportedFailing.has(name)) hasNewFailure = true
    reportedFailing = currentlyFailing
    if (hasNewFailure) sendReport()
  }
  void loop(world, 'trouble', STALL_INTERVAL_MS, stop, reportNewFailures, watch.failureStarted)
  world.log.info('proxy-started', { listen: settings.listen, admin: settings.admin })

  /**
   * A planned stop. The proxy reports that it isn't ready, and continues to serve for as long as others may not have
   * noticed that yet, or transactions and client connections are open, up to DRAIN_TIMEOUT_MS or half of the grace
   * period. Then it begins nothing new, finishes the answers in flight, and stops.
   */
  async function shutDown(): Promise<void> {
    isLeaving = true
    sendReport()
    clientListener.drain()
    world.log.info('draining', {
      sessions: sessions.openCount(),
      transactions: sessions.transactionCount(),
      calls: clientListener.busy(),
    })
    const startedAt = world.now()
    const drainMs = settings.grace === undefined ? DRAIN_TIMEOUT_MS : settings.grace / 2
    const deadline = startedAt + drainMs
    // Client connections close as they get their answers; one that sends nothing for the whole drain is idle and may be
    // closed.
    while (
      world.now() < deadline &&
      (world.now() < startedAt + NOT_READY_NOTICE_MS || sessions.transactionCount() > 0 || clientListener.lines() > 0)
    )
      await runner.inFlightEnded.wait(world, Math.min(100, deadline - world.now()))
    isDraining = true
    sessions.cutTransactions('the node stops')
    // From here on no new connections are accepted; the requests on the remaining ones are still answered.
    await clientListener.close(
      settings.grace === undefined ? ATTEMPT_TIMEOUT_MS + CLOSE_TIMEOUT_MS : drainMs - CONNECTION_GRACE_MS,
    )
    state.expireLeases()
    sendReport()
    await pause(world, 20)
    stop.fire()
    pool.close()
    await adminListener.close()
    world.log.info('drained', { left: clientListener.busy() })
  }
  return { stop: shutDown, metrics, state, watch, runner, sessions, pool }
}
