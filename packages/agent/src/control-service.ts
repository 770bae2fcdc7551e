import { CHANGE_ANSWER_TIMEOUT_MS, type Flag, type Metrics, type Signal, type World } from '@claynotch/base'
import type { Duty } from '@claynotch/failover'
import type { Announcement } from '@claynotch/instance'
import type { ConfigurationBody } from '@claynotch/operator'
import type { CoreSet, Proposer } from '@claynotch/register'
import type { ControlService } from './adapter.js'
import { makeConfigurationService } from './configuration-service.js'
import type { Departures } from './departures.js'
import type { InstanceReports } from './instance-reports.js'
import type { AnnouncementOutcome, InstanceTable } from './instance-table.js'
import type { LeaseRenewal } from './lease-renewal.js'
import type { ProxyLink } from './proxy-link.js'

/** The components of the agent that the control service uses. */
export type ControlServiceParts = {
  stop: Flag
  lease: LeaseRenewal
  instances: InstanceTable
  reports: InstanceReports
  departures: Departures
  proxy: ProxyLink
  proposer: Proposer
  /** Starts the next renewal now. */
  renewNow: Signal
  failover: Duty
  body: () => ConfigurationBody | undefined
  coreSet: () => CoreSet
  operator: ControlService['operator']
  metrics: Metrics
}

/** The service of this node for instances, operators and the platform. */
export function makeControlService(world: World, parts: ControlServiceParts): ControlService {
  const { lease, instances, reports, metrics } = parts

  function recordAnnouncement(announcement: Announcement): boolean {
    metrics.add('claynotch_announcements_total')
    const outcome = instances.recordAnnouncement(announcement)
    if (outcome.isDraining)
      world.log.info('instance-draining', { instance: announcement.name, group: announcement.group })
    return propagate(announcement.name, outcome)
  }
  /** Notifies the other components of an announcement's result; returns false if the announcement was dropped. */
  function propagate(name: string, outcome: AnnouncementOutcome): boolean {
    if (!outcome.isAccepted) metrics.add('claynotch_announcements_dropped_total')
    if (outcome.needsReport) {
      reports.changed(name)
      parts.renewNow.notify()
    }
    // Changes are fed to the proxy at once; everything else follows with the next renewal.
    if (outcome.isChanged) {
      parts.failover.notify()
      parts.proxy.feed()
    }
    return outcome.isAccepted
  }
  function recordSignOff(name: string): boolean {
    parts.departures.recordSignOff(name, instances.get(name))
    const outcome = instances.signOff(name)
    world.log.info('instance-signed-off', { instance: name })
    return propagate(name, outcome)
  }
  /** Why this node isn't ready; undefined: it is. */
  function notReadyReason(): string | undefined {
    if (parts.stop.fired()) return 'draining'
    return lease.isValid() ? undefined : 'no valid term'
  }
  /**
   * Waits until a majority has the last announcement of the instance, and has stored its sign-off if it needs to be.
   * Resolves to why the announcement can't be acknowledged; undefined: it can.
   */
  async function awaitAcknowledgement(name: string): Promise<string | undefined> {
    const reason = notReadyReason()
    if (reason !== undefined) return reason
    const [isReported, isStored] = await Promise.all([
      reports.acknowledged(name, CHANGE_ANSWER_TIMEOUT_MS),
      parts.departures.store(name),
    ])
    if (!isReported) return 'no majority of cores could be told of it'
    if (!isStored) return 'no majority of cores could store it'
    return notReadyReason()
  }
  /** Whether the lease has expired. A new process that never held a lease may still be able to reach the cores. */
  function isCutOff(): boolean {
    return lease.wasHeld() && !lease.isValid()
  }
  const configuration = makeConfigurationService(world, parts.proposer, isCutOff, metrics)
  return {
    metrics,
    recordAnnouncement,
    recordSignOff,
    awaitAcknowledgement,
    change: configuration.change,
    read: configuration.read,
    body: parts.body,
    coreSet: parts.coreSet,
    ready: notReadyReason,
    operator: parts.operator,
  }
}
