import { CHANGE_ANSWER_TIMEOUT_MS, type Flag, type Metrics, type Signal, type World } from '@claynotch/base'
import type { Duty } from '@claynotch/failover'
import type { Announcement } from '@claynotch/instance'
import type { ConfigurationBody } from '@claynotch/operator'
import type { CoreSet, Proposer } from '@claynotch/register'
import type { ControlService } from './adapter.js'
import { makeConfigurationService } from './configuration-service.js'
import type { Departures } from './departures.js'
import type { InstanceReports } from './instance-reports.js'
import type { Heard, InstanceTable } from './instance-table.js'
import type { LeaseRenewal } from './lease-renewal.js'
import type { ProxyLink } from './proxy-link.js'

export type ControlServiceParts = {
  stop: Flag
  lease: LeaseRenewal
  instances: InstanceTable
  reports: InstanceReports
  departures: Departures
  proxy: ProxyLink
  proposer: Proposer
  /** Has the next renewal begin now. */
  renewNow: Signal
  failover: Duty
  body: () => ConfigurationBody | undefined
  coreSet: () => CoreSet
  operator: ControlService['operator']
  metrics: Metrics
}

/** What instances, operators and the platform may have of this node. */
export function makeControlService(world: World, parts: ControlServiceParts): ControlService {
  const { lease, instances, reports, metrics } = parts

  function heardInstance(announcement: Announcement): boolean {
    metrics.add('claynotch_announcements_total')
    const heard = instances.hear(announcement)
    if (heard.isDraining)
      world.log.info('instance-draining', { instance: announcement.name, group: announcement.group })
    return pass(announcement.name, heard)
  }
  /** Passes on what an instance said; false where it was dropped. */
  function pass(name: string, heard: Heard): boolean {
    if (!heard.isKept) metrics.add('claynotch_announcements_dropped_total')
    if (heard.isUnreported) {
      reports.changed(name)
      parts.renewNow.notify()
    }
    // The proxy is told at once of what changed, and of all else with the next renewal.
    if (heard.isChanged) {
      parts.failover.notify()
      parts.proxy.feed()
    }
    return heard.isKept
  }
  function instanceLeft(name: string): boolean {
    parts.departures.signedOff(name, instances.get(name))
    const heard = instances.signOff(name)
    world.log.info('instance-signed-off', { instance: name })
    return pass(name, heard)
  }
  function notReady(): string | undefined {
    if (parts.stop.fired()) return 'draining'
    return lease.isValid() ? undefined : 'no valid term'
  }
  /** Why an announcement can't be acknowledged, as no majority has been told of it, or none keeps a sign-off. */
  async function reportFailure(name: string): Promise<string | undefined> {
    const why = notReady()
    if (why !== undefined) return why
    const [isTold, isKept] = await Promise.all([
      reports.acknowledged(name, CHANGE_ANSWER_TIMEOUT_MS),
      parts.departures.keep(name),
    ])
    if (!isTold) return 'no majority of cores could be told of it'
    if (!isKept) return 'no majority of cores could store it'
    return notReady()
  }
  /** The lease ran out. A process that has just started, and never had one, may still reach the cores. */
  function isCutOff(): boolean {
    return lease.wasHeld() && !lease.isValid()
  }
  const configuration = makeConfigurationService(world, parts.proposer, isCutOff, metrics)
  return {
    metrics,
    recordAnnouncement: heardInstance,
    recordSignOff: instanceLeft,
    awaitAcknowledgement: reportFailure,
    change: configuration.change,
    read: configuration.read,
    body: parts.body,
    coreSet: parts.coreSet,
    ready: notReady,
    operator: parts.operator,
  }
}
