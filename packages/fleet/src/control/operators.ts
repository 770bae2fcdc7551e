/**
 * Simulated operators that send orders like the platform's operator: each order names the epoch that it expects and the
 * one that it makes, and is resent unchanged to another core host when no clear answer arrives within a second.
 */
import { requestOnce, pause, type World } from '@claynotch/base'
import type { ConfigurationBody, Change, Decision } from '@claynotch/operator'
import { httpAddressOf, type CoreHost, type ControlFleet } from './fleet.js'
import type { Model, Order } from './model.js'

/** Timeout of one request. */
const ANSWER_TIMEOUT_MS = 1000
/** Upper bound of the attempts for one order, and the pause between two of them. */
const MAX_ATTEMPTS = 8
const ATTEMPT_PAUSE_MS = 150

/** A simulated operator. */
export type Operator = {
  /** Sends to one host after the other, from this index on, until one answers clearly; undefined if none does. */
  send: (order: Order, from: number) => Promise<Decision | undefined>
  /** Makes one attempt at one host. */
  sendOnce: (order: Order, host: CoreHost) => Promise<Decision | undefined>
  /** Reads the configuration; undefined if the host gives none. */
  read: (host: CoreHost) => Promise<ConfigurationBody | undefined>
}

/** Creates an operator; `pad`: padding bytes of each document. */
export function makeOperator(fleet: ControlFleet, model: Model, name: string, ip: string, pad: number): Operator {
  const { sim } = fleet
  let world: World | undefined
  async function run(spawnedWorld: World): Promise<void> {
    world = spawnedWorld
  }
  sim.spawn(sim.machine(name, ip), name, run)

  function toChange(order: Order): Change {
    const label = { order: order.name, pad: 'x'.repeat(pad) }
    const whole = { proxies: 'live', groups: [{ name: 'group0', connections: 50 }], lanes: [], label }
    return { number: 1, expect: order.expect, epoch: order.epoch, whole }
  }
  async function sendOnce(order: Order, host: CoreHost): Promise<Decision | undefined> {
    if (!world) return undefined
    const response = await requestOnce(
      world,
      httpAddressOf(host),
      'POST',
      `/order/${order.name}`,
      toChange(order),
      ANSWER_TIMEOUT_MS,
    )
    const decision = response.ok && response.val.status === 200 ? (response.val.body as Decision) : undefined
    if (response.ok && response.val.status !== 200 && response.val.status !== 503)
      fleet.reportViolation(`${order.name}: status ${response.val.status} from ${host.name}`)
    model.recordAnswer(order, decision, host.name)
    return decision
  }
  async function send(order: Order, from: number): Promise<Decision | undefined> {
    for (let k = 0; k < MAX_ATTEMPTS; k++) {
      const hosts = fleet.presentHosts()
      const decision = await sendOnce(order, hosts[(from + k) % hosts.length])
      if (decision) return decision
      if (world) await pause(world, ATTEMPT_PAUSE_MS)
    }
    return undefined
  }
  async function read(host: CoreHost): Promise<ConfigurationBody | undefined> {
    if (!world) return undefined
    const acknowledgedBefore = model.highestAcknowledgedEpoch()
    const response = await requestOnce(world, httpAddressOf(host), 'GET', '/read', undefined, ANSWER_TIMEOUT_MS)
    if (!response.ok || response.val.status !== 200) return undefined
    const body = response.val.body as ConfigurationBody
    model.observeBody(body, `a read at ${host.name}`)
    if (body.epoch < acknowledgedBefore)
      fleet.reportViolation(
        `a read at ${host.name} saw epoch ${body.epoch} after ${acknowledgedBefore} was told accepted`,
      )
    return body
  }
  return { send, sendOnce, read }
}
