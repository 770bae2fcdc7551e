/**
 * Periodic inspection of what each agent knows, of every core set and of the lease holders. Whatever contradicts the
 * model, or goes backwards within one process, is reported as a violation.
 */
import type { Agent } from '@claynotch/agent'
import { CONFIG_KEY, type ConfigurationBody } from '@claynotch/operator'
import { CORESET_KEY, groupKey, type RegisterValue } from '@claynotch/register'
import type { ControlFleet } from './fleet.js'
import type { Model } from './model.js'

const INSPECTION_INTERVAL_MS = 50
const WATCHED_KEYS = [CONFIG_KEY, CORESET_KEY, groupKey('group0')]

/** Starts the inspection; it stops once `hasEnded`. */
export function startWatch(fleet: ControlFleet, model: Model, hasEnded: () => boolean): void {
  const { sim } = fleet
  /** What each process of an agent knew last, by register. */
  const lastKnown = new Map<Agent, Map<string, RegisterValue>>()

  function inspectAgent(agent: Agent, where: string): void {
    const known = lastKnown.get(agent) ?? new Map<string, RegisterValue>()
    lastKnown.set(agent, known)
    for (const key of WATCHED_KEYS) {
      const value = agent.register(key)
      const previous = known.get(key)
      if (!value) {
        if (previous) fleet.reportViolation(`${where} forgot ${key}`)
        continue
      }
      if (value === previous) continue
      if (previous && value.turn < previous.turn)
        fleet.reportViolation(`${where} went back from change ${previous.turn} to ${value.turn} of ${key}`)
      known.set(key, value)
      model.observeValue(key, value, where)
      if (key === CONFIG_KEY)
        inspectBody(value.body as ConfigurationBody, previous?.body as ConfigurationBody | undefined, where)
    }
  }
  function inspectBody(body: ConfigurationBody, previous: ConfigurationBody | undefined, where: string): void {
    if (previous && body.epoch < previous.epoch)
      fleet.reportViolation(`${where} went back from epoch ${previous.epoch} to ${body.epoch}`)
    model.observeBody(body, where)
  }
  /** No two processes of one node may consider themselves lease holders at the same time. */
  function inspectLeases(): void {
    const holders = new Map<string, number>()
    for (const agentProcess of fleet.liveAgents())
      if (agentProcess.agent.leaseExpiresAt() > sim.now() + agentProcess.machine.clockSkewMs)
        holders.set(agentProcess.node, (holders.get(agentProcess.node) ?? 0) + 1)
    for (const [node, count] of holders) if (count > 1) fleet.reportViolation(`${count} lives of ${node} hold leases`)
  }
  function inspectAll(): void {
    if (hasEnded()) return
    fleet.latestCoreSet()
    for (const agentProcess of fleet.liveAgents()) inspectAgent(agentProcess.agent, agentProcess.node)
    inspectLeases()
    sim.at(INSPECTION_INTERVAL_MS, inspectAll)
  }
  inspectAll()
}
