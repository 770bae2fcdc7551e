import {
  acceptLinks,
  LEASE_RENEWAL_INTERVAL_MS,
  loop,
  makeFlag,
  makeHello,
  makeMetrics,
  makeSignal,
  MAX_VOTERS,
  noop,
  pause,
  PROXY_REPORT_INTERVAL_MS,
  readAs,
  SHUTDOWN_TIMEOUT_MS,
  SUSPICION_TIMEOUT_MS,
  type Address,
  type Finding,
  type PersistentLink,
  type World,
} from '@claynotch/base'
import { startFailover, startRouteMoves } from '@claynotch/failover'
import { makeOperatorApi, type Credential, type Edit } from '@claynotch/operator'
import { startSummaryExchange, type Summary } from '@claynotch/peer'
import type { QuotaAnswer, QuotaQuestion } from '@claynotch/quota'
import {
  CoreSet,
  CORESET_KEY,
  hasDeparted,
  makeProposer,
  type RegisterOutcome,
  type HeldValue,
  type MemberDescription,
  type ProxyReport,
  type RegisterPush,
  type RegisterSummary,
  type RegisterValue,
} from '@claynotch/register'
import { makeAcknowledgements } from './acknowledgements.js'
import { defaultAdapters, type AgentAdapters } from './adapter.js'
import type { Agent, AgentReload, AgentSettings } from './agent-settings.js'
import { startConnectionShare } from './connection-share.js'
import { makeControlService } from './control-service.js'
import { makeCoreLinks } from './core-links.js'
import { startCoreSetDuty } from './core-set-duty.js'
import { readCoreStatus } from './core-status.js'
import { makeDepartures } from './departures.js'
import { makeInstanceReports } from './instance-reports.js'
import { makeInstanceTable } from './instance-table.js'
import { makeKnownConfiguration } from './known-configuration.js'
import { makeLeaseRenewal } from './lease-renewal.js'
import { makeMembership } from './membership.js'
import { checkMoves } from './move-check.js'
import { makeOperatorViews } from './operator-views.js'
import { makeProxyLink } from './proxy-link.js'
import { makeQuotaDirectory } from './quota-directory.js'
import { startQuotaHolders } from './quota-holder.js'
import { startQuotaRelay } from './quota-relay.js'
import { makeRegisterCache } from './register-cache.js'
import { makeRenewalMessages } from './renewal-messages.js'
import { makeSubscription, subscriptionSources } from './subscription.js'
import { makeSummarySource } from './summary-source.js'
import { makeTenantView } from './tenant-view.js'

/**
 * Starts the agent of one machine: the control plane beside its proxy.
 *
 * This function only wires components together. Each component has its own module and keeps its own state.
 */
export async function startAgent(
  world: World,
  settings: AgentSettings,
  adapters: AgentAdapters = defaultAdapters,
): Promise<Agent> {
  const { node, area } = settings
  /** Identifies this process incarnation of the agent. */
  const life = Math.floor(world.random() * 2 ** 40).toString(36)
  const stop = makeFlag()
  const metrics = makeMetrics()
  const registerChanged = makeSignal()
  const registersBehind = makeSignal()
  const renewNow = makeSignal()
  /**
   * Whether this node has caught up with everything that a majority has shown since the process started or since its
   * last gap of a whole lease. It holds no duties before that.
   */
  let isCurrent = false
  let isLeaseReleased = false
  let { seeds, platform, operators } = settings

  // --- core links and registers ---

  function currentSeeds(): Address[] {
    return seeds
  }
  const links = makeCoreLinks(
    world,
    { node, seeds: currentSeeds, ...(settings.coreSet ? { knownCoreSet: settings.coreSet } : {}) },
    stop,
    metrics,
    { adopted: coreSetAdopted, removed: coreRemoved, up: coreLinkUp, push: handlePush },
  )
  function coreSetAdopted(next: CoreSet, isFirst: boolean): void {
    void settings.core?.adopt(next)
    if (!isFirst) renewNow.notify()
  }
  function coreRemoved(core: string): void {
    renewalMessages.forget(core)
  }
  /** Renews at once while no lease is held, so that the first lease only waits for the links to the cores. */
  function coreLinkUp(core: string): void {
    subscription.linkReestablished(core)
    if (lease.expiresAt() === 0) renewNow.notify()
  }
  function handlePush(core: string, push: RegisterPush): void {
    acknowledgements.pushed(core, push.key, push.num)
    void applyPush(core, push)
  }
  async function applyPush(core: string, push: RegisterPush): Promise<void> {
    await registers.applyPush(core, push)
    acknowledgements.tell(core, push.key)
  }

  const acknowledgements = makeAcknowledgements(links)
  const proposer = makeProposer(world, node, links.voters, links.quorum, links.adopt, cachedValue)
  const registers = makeRegisterCache(world, {
    epoch: currentEpoch,
    link: linkTo,
    readCommitted,
    onNewer: registerUpdated,
    onBehind: registersBehind.notify,
  })
  const { body, config, groups, recordOf } = makeKnownConfiguration(registers)
  const subscription = makeSubscription(world, node, area, registers.ballots)
  function cachedValue(key: string): HeldValue | undefined {
    return registers.held(key)
  }
  function currentEpoch(): number {
    return links.coreSet().epoch
  }
  function linkTo(core: string): PersistentLink | undefined {
    return links.get(core)?.link
  }
  function readCommitted(key: string): Promise<RegisterOutcome> {
    return proposer.read(key, 0)
  }
  function registerUpdated(key: string, value: RegisterValue): void {
    world.log.info('register-updated', { key, version: value.turn })
    if (key === CORESET_KEY) {
      const next = readAs(CoreSet, value.body)
      if (next.ok) links.adopt(next.val)
    }
    failover.notify()
    routeMoves.notify()
    proxy.changed()
    registerChanged.notify()
  }
  // --- lease renewal and the data that it exchanges ---

  const instances = makeInstanceTable(world, isDeparted)
  function isDeparted(group: string, name: string): boolean {
    return hasDeparted(recordOf(group), name)
  }
  const departures = makeDepartures({ node, proposer, recordOf, learn: registers.learn })
  const reports = makeInstanceReports(world)
  const mayHoldDuties = settings.http !== undefined
  const membership = makeMembership(world, node, mayHoldDuties, links, metrics)
  const renewalMessages = makeRenewalMessages(world, {
    node,
    life,
    describe: describeNode,
    acknowledged: acknowledgements.all,
    report: proxyReport,
    ownInstances: instances.own,
    remembers: knowsRegisters,
    isMemberSource: membership.isMemberSource,
  })
  const lease = makeLeaseRenewal(world, { name: node, life }, links, renewalMessages, metrics, {
    beforeRound: membership.chooseSources,
    isPinned,
    resumed: markNotCurrent,
    answered: mergeAnswers,
  })
  function isPinned(core: string): boolean {
    return membership.isMemberSource(core) || subscription.at() === core
  }
  function describeNode(): MemberDescription {
    return {
      area,
      addr: settings.peer,
      operator: settings.http ?? '',
      build: settings.build,
      proxy: settings.link !== undefined,
      ...(settings.core ? { core: settings.core.place() } : {}),
    }
  }
  function knowsRegisters(): boolean {
    return registers.all().size > 0
  }
  function mergeAnswers(cores: Set<string>, beganAt: number): void {
    const summaries = new Map<string, Map<string, RegisterSummary>>()
    for (const core of cores) {
      const view = links.get(core)?.view
      if (view) summaries.set(core, view.registers())
    }
    membership.merge(cores)
    mergeInstances()
    registers.applySummaries(summaries, links.quorum(), beganAt)
    markCurrentIfCaughtUp()
    void subscription.choose(subscriptionSources(links, membership), currentEpoch())
  }
  /** Merges the instance statuses that cores report; a changed role or leaving flag starts a failover check at once. */
  function mergeInstances(): void {
    const views = []
    for (const { view } of links.all().values()) views.push(view)
    if (instances.merge(views)) failover.notify()
  }
  /**
   * Runs renewal rounds until no report is pending. Announcements that arrive during a round are reported by another
   * round at once, because their acknowledgement waits for it.
   */
  async function renew(): Promise<void> {
    if (links.all().size === 0) await links.discover()
    while (links.all().size > 0 && !stop.fired()) {
      const round = reports.beginRound()
      const isRenewed = await lease.round()
      if (isRenewed) proxy.feed()
      reports.endRound(round, isRenewed)
      if (!isRenewed || !reports.isPending()) return
    }
  }
  function setCurrent(isNowCurrent: boolean): void {
    isCurrent = isNowCurrent
    metrics.set('claynotch_agent_current', [], isNowCurrent ? 1 : 0)
  }
  function markNotCurrent(): void {
    setCurrent(false)
  }
  function markCurrentIfCaughtUp(): void {
    if (isCurrent || registers.isBehind()) return
    setCurrent(true)
    failover.notify()
    routeMoves.notify()
  }
  async function catchUp(): Promise<void> {
    // Checks the state rather than the signal, so that a notification between two intervals isn't lost.
    if (!registers.isBehind()) return
    await registers.catchUp()
    markCurrentIfCaughtUp()
    proxy.feed()
  }

  // --- local proxy, quotas and summaries ---

  const proxy = makeProxyLink(
    world,
    {
      node,
      area,
      hasProxy: settings.link !== undefined,
      registers: registers.all,
      leaseExpiresAt: lease.expiresAt,
      instances: instances.list,
      summaries: heardSummaries,
      proxyCount: membership.proxyCount,
    },
    metrics,
    { applied: acknowledgements.applied, instanceFailing, quotaAsked: askQuota },
  )
  const summarySource = makeSummarySource(world, {
    node,
    area,
    groups,
    recordOf,
    dutyNodes: membership.dutyNodes,
    proxyCount: membership.proxyCount,
    hasLease: lease.isValid,
    instances,
    report: proxyReport,
    reportAge: proxy.reportAge,
    summaries: heardSummaries,
  })
  function proxyReport(): ProxyReport | undefined {
    return proxy.report()
  }
  const quotaDirectory = makeQuotaDirectory(world, registers, membership, links)
  const quotaRelay =
    settings.link !== undefined
      ? startQuotaRelay(world, { node, directory: quotaDirectory, isWithoutProxy: isProxyInactive }, stop, metrics)
      : undefined
  async function askQuota(question: QuotaQuestion): Promise<QuotaAnswer> {
    return quotaRelay ? await quotaRelay.ask(question) : { ok: true, grants: [] }
  }
  function isProxyInactive(): boolean {
    return !proxy.isLinked() && world.now() > proxy.fedUntil()
  }
  function heardSummaries(): Summary[] {
    return peers.currentSummaries()
  }
  function instanceFailing(): void {
    peers.sendNow()
    failover.notify()
  }
  function summaryHeard(summary: Summary): void {
    if (summarySource.isNewFailure(summary)) failover.notify()
  }
  function feedIfDue(): void {
    proxy.feedIfDue(LEASE_RENEWAL_INTERVAL_MS / 2)
  }

  // --- duties ---

  /**
   * Local time (ms) until which this node may hold duties. 0 until it knows what was committed while it was away, and
   * after it has released its lease.
   */
  function dutyLeaseExpiresAt(): number {
    return isCurrent && !isLeaseReleased ? lease.expiresAt() : 0
  }
  function currentPlatform(): Address | undefined {
    return platform
  }
  const dutyView = {
    node,
    suspicionTimeoutMs: settings.suspicionTimeoutMs ?? SUSPICION_TIMEOUT_MS,
    instance: adapters.instance,
    promotion: adapters.promotion,
    platform: currentPlatform,
    proposer,
    leaseExpiresAt: dutyLeaseExpiresAt,
    live: membership.dutyNodes,
    groups,
    register: registers.value,
    learn: registers.learn,
    instancesOf: instances.list,
    observations: summarySource.observations,
    askMembers: membership.read,
    body,
    metrics,
  }
  // Only nodes that serve operators are in dutyNodes(); on any other node, the task for each group would poll in vain.
  const failover = mayHoldDuties ? startFailover(world, dutyView, stop) : { notify: noop }
  const routeMoves = mayHoldDuties ? startRouteMoves(world, dutyView, stop) : { notify: noop }
  function coreLinkOf(core: string): { held: PersistentLink; heard: number } | undefined {
    const link = linkTo(core)
    return link && { held: link, heard: links.heardAt(core) ?? 0 }
  }
  function currentCoreSet(): { set: CoreSet; since: number } {
    return { set: links.coreSet(), since: links.adoptedAt() }
  }
  const coreSetView = {
    node,
    proposer,
    leaseExpiresAt: dutyLeaseExpiresAt,
    live: membership.dutyNodes,
    learn: registers.learn,
    coreSet: currentCoreSet,
    core: coreLinkOf,
    spares: membership.spareCores,
    mostVoters: settings.mostVoters ?? MAX_VOTERS,
  }
  if (mayHoldDuties) startCoreSetDuty(world, coreSetView, stop)
  if (settings.core) {
    const { place, serveQuotas } = settings.core
    const quotaView = {
      node,
      life,
      place,
      proposer,
      registers,
      membership,
      coreSet: links.coreSet,
      config,
      dutyUntil: dutyLeaseExpiresAt,
      tolerance: settings.quota ?? { overshoot: 0, slack: 0 },
    }
    serveQuotas(startQuotaHolders(world, quotaView, stop, registerChanged, metrics))
  }
  const peers = await startSummaryExchange(world, settings.peer, stop, membership.peers, summarySource, metrics, summaryHeard)

  // --- control service, operators and background loops ---

  function currentCredentials(): Credential[] | undefined {
    return operators
  }
  function readCoreSetStatus() {
    return readCoreStatus(world, { coreSet: links.coreSet, core: coreLinkOf, spares: membership.spareCores })
  }
  function findHindrances(edits: Edit[]): Promise<Finding[]> {
    const view = {
      build: settings.build,
      instance: adapters.instance,
      members: membership.list,
      groups,
      recordOf,
      config,
    }
    return checkMoves(world, view, edits)
  }
  if (operators === undefined && settings.http !== undefined)
    world.log.warn('operators-open', { why: 'no operators in the settings: anyone may change the configuration' })
  const views = makeOperatorViews(world.now, { node, proposer, registers, membership, instances, proxy, groups })
  const operatorEdge = makeOperatorApi(
    world,
    proposer,
    {
      ...views,
      tenants: makeTenantView(config, quotaDirectory),
      cores: readCoreSetStatus,
      hinders: findHindrances,
      body,
      news: registerChanged,
    },
    metrics,
    currentCredentials,
  )
  const controlService = makeControlService(world, {
    stop,
    lease,
    instances,
    reports,
    departures,
    proxy,
    proposer,
    renewNow,
    failover,
    body,
    coreSet: links.coreSet,
    operator: operatorEdge,
    metrics,
  })
  const http = settings.http !== undefined ? await adapters.control(world, settings.http, controlService) : undefined
  const hello = makeHello('agent', node)
  const listener =
    settings.link !== undefined
      ? await world.listen(settings.link, acceptLinks(world, hello, proxy.accept, proxy.lost))
      : undefined

  void loop(world, 'renew', LEASE_RENEWAL_INTERVAL_MS, stop, renew, renewNow)
  void loop(world, 'catch-up', LEASE_RENEWAL_INTERVAL_MS / 4, stop, catchUp, registersBehind)
  void loop(world, 'feed', LEASE_RENEWAL_INTERVAL_MS, stop, feedIfDue, registerChanged)
  if (settings.link !== undefined) {
    const view = { node, life, proposer, registers, membership, config, hasLease: lease.isValid }
    startConnectionShare(world, view, stop, registerChanged)
  }
  world.log.info('agent-started', { node, area, http: settings.http ?? 'none' })

  /** Waits for the local proxy where it is shutting down too: its remaining calls need this machine's lease. */
  async function awaitProxy(): Promise<void> {
    const deadline = world.now() + SHUTDOWN_TIMEOUT_MS
    if (proxy.isLinked()) await pause(world, PROXY_REPORT_INTERVAL_MS)
    while (proxy.report()?.leaving === true && world.now() < deadline) await pause(world, PROXY_REPORT_INTERVAL_MS / 6)
  }
  async function stopAgent(): Promise<void> {
    await awaitProxy()
    // Releases the lease only if no proxy can still be working under it; otherwise the lease expires by itself.
    isLeaseReleased = !proxy.isLinked() && world.now() > proxy.fedUntil()
    if (isLeaseReleased) for (const { link } of links.all().values()) link.tell({ t: 'leave', node, life })
    await pause(world, 20)
    stop.fire()
    proxy.close()
    await Promise.all([http?.close(), listener?.close(), peers.close()])
  }
  function applyReload(next: AgentReload): void {
    ;({ seeds, platform, operators } = next)
  }
  return { stop: stopAgent, metrics, leaseExpiresAt: lease.expiresAt, register: registers.value, apply: applyReload }
}
