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
import { startPeers, type Summary } from '@claynotch/peer'
import type { QuotaAnswer, QuotaQuestion } from '@claynotch/quota'
import {
  CoreSet,
  CORESET_KEY,
  hasDeparted,
  makeProposer,
  type Committed,
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
import { makeSubscription, sourcesOf } from './subscription.js'
import { makeSummarySource } from './summary-source.js'
import { makeTenantView } from './tenant-view.js'

// The control side of one machine, put together: each part below has a file of its own and a state of its own.

export async function startAgent(
  world: World,
  settings: AgentSettings,
  adapters: AgentAdapters = defaultAdapters,
): Promise<Agent> {
  const { node, area } = settings
  const life = Math.floor(world.random() * 2 ** 40).toString(36)
  const stop = makeFlag()
  const metrics = makeMetrics()
  const registerChanged = makeSignal()
  const cacheBehind = makeSignal()
  const renewNow = makeSignal()
  // isCurrent: all that a majority showed since this life, or its last long silence, began is known here; no duty is held before.
  let isCurrent = false
  let isLeaseGivenUp = false
  let { seeds, platform, operators } = settings

  // --- the cores and what they hold ---

  function seedsNow(): Address[] {
    return seeds
  }
  const links = makeCoreLinks(
    world,
    { node, seeds: seedsNow, ...(settings.coreSet ? { knownCoreSet: settings.coreSet } : {}) },
    stop,
    metrics,
    { adopted: coreSetAdopted, removed: coreRemoved, up: coreUp, push: corePushed },
  )
  function coreSetAdopted(next: CoreSet, isFirst: boolean): void {
    void settings.core?.adopt(next)
    if (!isFirst) renewNow.notify()
  }
  function coreRemoved(core: string): void {
    renewalMessages.forget(core)
  }
  /** The first lease isn't waited for longer than it takes to reach the cores. */
  function coreUp(core: string): void {
    subscription.linkReestablished(core)
    if (lease.expiresAt() === 0) renewNow.notify()
  }
  function corePushed(core: string, push: RegisterPush): void {
    acknowledgements.pushed(core, push.key, push.num)
    void takePush(core, push)
  }
  async function takePush(core: string, push: RegisterPush): Promise<void> {
    await registers.applyPush(core, push)
    acknowledgements.tell(core, push.key)
  }

  const acknowledgements = makeAcknowledgements(links)
  const proposer = makeProposer(world, node, links.voters, links.quorum, links.adopt, heldValue)
  const registers = makeRegisterCache(world, {
    epoch: epochNow,
    link: linkTo,
    readCommitted,
    onNewer: registerUpdated,
    onBehind: cacheBehind.notify,
  })
  const { body, config, groups, recordOf } = makeKnownConfiguration(registers)
  const subscription = makeSubscription(world, node, area, registers.ballots)
  function heldValue(key: string): HeldValue | undefined {
    return registers.held(key)
  }
  function epochNow(): number {
    return links.coreSet().epoch
  }
  function linkTo(core: string): PersistentLink | undefined {
    return links.get(core)?.link
  }
  function readCommitted(key: string): Promise<Committed> {
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
  // --- the lease, and what its renewals tell and bring ---

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
    describe,
    acknowledged: acknowledgements.all,
    report: proxyReport,
    ownInstances: instances.own,
    remembers: knowsRegisters,
    tellsMembers: membership.tellsMembers,
  })
  const lease = makeLeaseRenewal(world, { name: node, life }, links, renewalMessages, metrics, {
    beforeRound: membership.chooseSources,
    isPinned,
    resumed: notCurrent,
    answered: mergeAnswers,
  })
  function isPinned(core: string): boolean {
    return membership.tellsMembers(core) || subscription.at() === core
  }
  function describe(): MemberDescription {
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
    judgeCurrent()
    void subscription.choose(sourcesOf(links, membership), epochNow())
  }
  /** Who leads, and who leaves, is looked at at once. */
  function mergeInstances(): void {
    const views = []
    for (const { view } of links.all().values()) views.push(view)
    if (instances.merge(views)) failover.notify()
  }
  /** What was heard while a round ran is told by another at once: its acknowledgement waits for it. */
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
  function setCurrent(to: boolean): void {
    isCurrent = to
    metrics.set('claynotch_agent_current', [], to ? 1 : 0)
  }
  function notCurrent(): void {
    setCurrent(false)
  }
  function judgeCurrent(): void {
    if (isCurrent || registers.isBehind()) return
    setCurrent(true)
    failover.notify()
    routeMoves.notify()
  }
  async function catchUp(): Promise<void> {
    // A notification between two intervals must not be lost: the loop looks at what is wanted.
    if (!registers.isBehind()) return
    await registers.catchUp()
    judgeCurrent()
    proxy.feed()
  }

  // --- the proxy of this machine, and summaries ---

  const proxy = makeProxyLink(
    world,
    {
      node,
      area,
      hasProxy: settings.link !== undefined,
      registers: registers.all,
      leaseExpiresAt: lease.expiresAt,
      instances: instances.list,
      summaries: summariesNow,
      proxyCount: membership.proxyCount,
    },
    metrics,
    { applied: acknowledgements.applied, instanceFailing, quotaAsked },
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
    summaries: summariesNow,
  })
  function proxyReport(): ProxyReport | undefined {
    return proxy.report()
  }
  const directory = makeQuotaDirectory(world, registers, membership, links)
  const relay =
    settings.link !== undefined ? startQuotaRelay(world, { node, directory, isWithoutProxy }, stop, metrics) : undefined
  async function quotaAsked(question: QuotaQuestion): Promise<QuotaAnswer> {
    return relay ? await relay.ask(question) : { ok: true, grants: [] }
  }
  function isWithoutProxy(): boolean {
    return !proxy.isLinked() && world.now() > proxy.fedUntil()
  }
  function summariesNow(): Summary[] {
    return peers.hints()
  }
  function instanceFailing(): void {
    peers.ring()
    failover.notify()
  }
  function summaryHeard(summary: Summary): void {
    if (summarySource.isNewFailure(summary)) failover.notify()
  }
  function feedIfDue(): void {
    proxy.feedIfDue(LEASE_RENEWAL_INTERVAL_MS / 2)
  }

  // --- duties ---

  /** Up to when this node may hold duties: not before it knows what was committed while it was away, nor once it gave up its lease. */
  function dutyUntil(): number {
    return isCurrent && !isLeaseGivenUp ? lease.expiresAt() : 0
  }
  function platformNow(): Address | undefined {
    return platform
  }
  const dutyView = {
    node,
    suspect: settings.suspicionTimeoutMs ?? SUSPICION_TIMEOUT_MS,
    instance: adapters.instance,
    promotion: adapters.promotion,
    platform: platformNow,
    proposer,
    leaseExpiresAt: dutyUntil,
    live: membership.dutyNodes,
    groups,
    register: registers.value,
    learn: registers.learn,
    instancesOf: instances.list,
    reports: summarySource.observations,
    askMembers: membership.read,
    body,
    metrics,
  }
  // Only a node that serves operators is ever among dutyNodes(); on any other, a task for each group would only look.
  const failover = mayHoldDuties ? startFailover(world, dutyView, stop) : { ring: noop }
  const routeMoves = mayHoldDuties ? startRouteMoves(world, dutyView, stop) : { ring: noop }
  function coreNow(core: string): { held: PersistentLink; heard: number } | undefined {
    const held = linkTo(core)
    return held && { held, heard: links.heardAt(core) ?? 0 }
  }
  function coreSetOf(): { set: CoreSet; since: number } {
    return { set: links.coreSet(), since: links.adoptedAt() }
  }
  const coreSetView = {
    node,
    proposer,
    leaseExpiresAt: dutyUntil,
    live: membership.dutyNodes,
    learn: registers.learn,
    coreSet: coreSetOf,
    core: coreNow,
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
      dutyUntil,
      tolerance: settings.quota ?? { overshoot: 0, slack: 0 },
    }
    serveQuotas(startQuotaHolders(world, quotaView, stop, registerChanged, metrics))
  }
  const peers = await startPeers(world, settings.peer, stop, membership.peers, summarySource, metrics, summaryHeard)

  // --- instances, operators and the platform ---

  function credentials(): Credential[] | undefined {
    return operators
  }
  function readCores() {
    return readCoreStatus(world, { coreSet: links.coreSet, core: coreNow, spares: membership.spareCores })
  }
  function hinders(edits: Edit[]): Promise<Finding[]> {
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
  const operator = makeOperatorApi(
    world,
    proposer,
    { ...views, tenants: makeTenantView(config, directory), cores: readCores, hinders, body, news: registerChanged },
    metrics,
    credentials,
  )
  const control = makeControlService(world, {
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
    operator,
    metrics,
  })
  const http = settings.http !== undefined ? await adapters.control(world, settings.http, control) : undefined
  const hello = makeHello('agent', node)
  const listener =
    settings.link !== undefined
      ? await world.listen(settings.link, acceptLinks(world, hello, proxy.accept, proxy.lost))
      : undefined

  void loop(world, 'renew', LEASE_RENEWAL_INTERVAL_MS, stop, renew, renewNow)
  void loop(world, 'catch-up', LEASE_RENEWAL_INTERVAL_MS / 4, stop, catchUp, cacheBehind)
  void loop(world, 'feed', LEASE_RENEWAL_INTERVAL_MS, stop, feedIfDue, registerChanged)
  if (settings.link !== undefined) {
    const view = { node, life, proposer, registers, membership, config, hasLease: lease.isValid }
    startConnectionShare(world, view, stop, registerChanged)
  }
  world.log.info('agent-started', { node, area, http: settings.http ?? 'none' })

  /** A proxy of this machine that is told to stop as well has calls to end under this machine's lease. */
  async function awaitProxy(): Promise<void> {
    const until = world.now() + SHUTDOWN_TIMEOUT_MS
    if (proxy.isLinked()) await pause(world, PROXY_REPORT_INTERVAL_MS)
    while (proxy.report()?.leaving === true && world.now() < until) await pause(world, PROXY_REPORT_INTERVAL_MS / 6)
  }
  async function end(): Promise<void> {
    await awaitProxy()
    // The lease is given up only when no proxy can be working under it; else it runs out by itself.
    isLeaseGivenUp = !proxy.isLinked() && world.now() > proxy.fedUntil()
    if (isLeaseGivenUp) for (const { link } of links.all().values()) link.tell({ t: 'leave', node, life })
    await pause(world, 20)
    stop.fire()
    proxy.close()
    await Promise.all([http?.close(), listener?.close(), peers.close()])
  }
  function apply(next: AgentReload): void {
    ;({ seeds, platform, operators } = next)
  }
  return { stop: end, metrics, leaseExpiresAt: lease.expiresAt, register: registers.value, apply }
}
