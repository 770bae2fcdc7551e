/**
 * Operators that send orders as the platform's does: each order names the epoch that it expects and the one that it makes,
 * and is sent again, the same, to another machine where no clear answer came within a second.
 */
import { requestOnce, pause, type World } from '@claynotch/base'
import type { ConfigurationBody, Change, Decision } from '@claynotch/operator'
import { httpAddressOf, type CoreHost, type ControlFleet } from './fleet.js'
import type { Model, Order } from './model.js'

/** Milliseconds that an operator waits for one answer. */
const ANSWER_WAIT = 1000
/** Machines asked at most for one order, and milliseconds between two of them. */
const ATTEMPTS = 8
const ATTEMPT_PAUSE = 150

/** One operator. */
export type Operator = {
  /** Sends to the boxes from this one on until one answers clearly; undefined: none did. */
  send: (order: Order, from: number) => Promise<Decision | undefined>
  /** Sends once to one box. */
  sendOnce: (order: Order, at: CoreHost) => Promise<Decision | undefined>
  read: (at: CoreHost) => Promise<ConfigurationBody | undefined>
}

/** pad: bytes of each document beside its name. */
export function makeOperator(fleet: ControlFleet, model: Model, name: string, ip: string, pad: number): Operator {
  const { sim } = fleet
  let world: World | undefined
  async function run(mine: World): Promise<void> {
    world = mine
  }
  sim.spawn(sim.machine(name, ip), name, run)

  function changeOf(order: Order): Change {
    const label = { order: order.name, pad: 'x'.repeat(pad) }
    const whole = { proxies: 'live', groups: [{ name: 'group0', connections: 50 }], lanes: [], label }
    return { number: 1, expect: order.expect, epoch: order.epoch, whole }
  }
  async function sendOnce(order: Order, at: CoreHost): Promise<Decision | undefined> {
    if (!world) return undefined
    const got = await requestOnce(world, httpAddressOf(at), 'POST', `/order/${order.name}`, changeOf(order), ANSWER_WAIT)
    const decision = got.ok && got.val.status === 200 ? (got.val.body as Decision) : undefined
    if (got.ok && got.val.status !== 200 && got.val.status !== 503)
      fleet.broken(`${order.name}: status ${got.val.status} from ${at.name}`)
    model.answered(order, decision, at.name)
    return decision
  }
  async function send(order: Order, from: number): Promise<Decision | undefined> {
    for (let k = 0; k < ATTEMPTS; k++) {
      const list = fleet.presentHosts()
      const got = await sendOnce(order, list[(from + k) % list.length])
      if (got) return got
      if (world) await pause(world, ATTEMPT_PAUSE)
    }
    return undefined
  }
  async function read(at: CoreHost): Promise<ConfigurationBody | undefined> {
    if (!world) return undefined
    const before = model.acknowledged()
    const got = await requestOnce(world, httpAddressOf(at), 'GET', '/read', undefined, ANSWER_WAIT)
    if (!got.ok || got.val.status !== 200) return undefined
    const body = got.val.body as ConfigurationBody
    model.saw(body, `a read at ${at.name}`)
    if (body.epoch < before)
      fleet.broken(`a read at ${at.name} saw epoch ${body.epoch} after ${before} was told accepted`)
    return body
  }
  return { send, sendOnce, read }
}
