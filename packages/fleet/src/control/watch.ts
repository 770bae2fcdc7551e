/**
 * The look at everything, over and over: what each agent knows, what each set is, who holds leases. Whatever contradicts the
 * model, or goes back in one life, is told as broken.
 */
import type { Agent } from '@claynotch/agent'
import { CONFIG_KEY, type ConfigurationBody } from '@claynotch/operator'
import { CORESET_KEY, groupKey, type RegisterValue } from '@claynotch/register'
import type { ControlFleet } from './fleet.js'
import type { Model } from './model.js'

const LOOK_BEAT = 50
const KEYS = [CONFIG_KEY, CORESET_KEY, groupKey('group0')]

/** Starts it. */
export function startWatch(fleet: ControlFleet, model: Model, over: () => boolean): void {
  const { sim } = fleet
  // What each life of an agent knew last, by register.
  const last = new Map<Agent, Map<string, RegisterValue>>()

  function lookAt(agent: Agent, where: string): void {
    const known = last.get(agent) ?? new Map<string, RegisterValue>()
    last.set(agent, known)
    for (const key of KEYS) {
      const value = agent.register(key)
      const old = known.get(key)
      if (!value) {
        if (old) fleet.broken(`${where} forgot ${key}`)
        continue
      }
      if (value === old) continue
      if (old && value.turn < old.turn)
        fleet.broken(`${where} went back from change ${old.turn} to ${value.turn} of ${key}`)
      known.set(key, value)
      model.learned(key, value, where)
      if (key === CONFIG_KEY)
        lookAtBody(value.body as ConfigurationBody, old?.body as ConfigurationBody | undefined, where)
    }
  }
  function lookAtBody(body: ConfigurationBody, old: ConfigurationBody | undefined, where: string): void {
    if (old && body.epoch < old.epoch) fleet.broken(`${where} went back from epoch ${old.epoch} to ${body.epoch}`)
    model.saw(body, where)
  }
  /** No two lives of one node believe in a lease at one time. */
  function lookAtLeases(): void {
    const holders = new Map<string, number>()
    for (const life of fleet.lives())
      if (life.agent.leaseExpiresAt() > sim.now() + life.machine.clockSkewMs)
        holders.set(life.node, (holders.get(life.node) ?? 0) + 1)
    for (const [node, count] of holders) if (count > 1) fleet.broken(`${count} lives of ${node} hold leases`)
  }
  function look(): void {
    if (over()) return
    fleet.latestCoreSet()
    for (const life of fleet.lives()) lookAt(life.agent, life.node)
    lookAtLeases()
    sim.at(LOOK_BEAT, look)
  }
  look()
}
