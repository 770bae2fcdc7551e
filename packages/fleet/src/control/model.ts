/**
 * The plain model of the configuration: every order that was sent with every answer it got, and everything ever seen of the
 * configuration, held against each other.
 *
 * It knows nothing of rounds, ballots or sets. What it demands:
 * - of each epoch there is one order, wherever and whenever it is read;
 * - an order stands right after the epoch that it expects, so no two on one expected epoch are both in force;
 * - an order told accepted is in force at that epoch for good; one told refused never is;
 * - an accepted order sent again is never told refused, nor another epoch;
 * - a read sees what was told accepted before it began;
 * - of each change of a register there is one value, whoever learned it.
 */
import { MAX_NAMED_CHANGES } from '@claynotch/base'
import type { ConfigurationBody, Decision } from '@claynotch/operator'
import type { RegisterValue } from '@claynotch/register'

/** `epoch`: the one that it makes. `acceptedAt`: the epoch told, where it was told accepted. */
export type Order = {
  name: string
  expect: number
  epoch: number
  sent: number
  unclear: number
  acceptedAt: number | undefined
  refused: string | undefined
}

/** The model. `broken` is told each contradiction. */
export type Model = {
  order: (expect: number, epoch: number) => Order
  orders: () => Order[]
  answered: (order: Order, got: Decision | undefined, where: string) => void
  /** A body that was chosen, as someone holds it. */
  saw: (body: ConfigurationBody, where: string) => void
  /** A value that someone learned to be chosen. */
  learned: (key: string, value: RegisterValue, where: string) => void
  /** The highest epoch told accepted so far. */
  acknowledged: () => number
  /** The highest epoch seen in force. */
  newest: () => number
  /** The last look: a body read at a majority after everything else. */
  judge: (last: ConfigurationBody) => void
}

export function makeModel(broken: (what: string) => void): Model {
  const orders = new Map<string, Order>()
  // inForce: who made each epoch. tags: the change that made each turn of each register.
  const inForce = new Map<number, string>()
  const tags = new Map<string, string>()
  let highestAcknowledged = 0
  let highestSeen = 0

  function order(expect: number, epoch: number): Order {
    const one: Order = {
      name: `order${orders.size}`,
      expect,
      epoch,
      sent: 0,
      unclear: 0,
      acceptedAt: undefined,
      refused: undefined,
    }
    orders.set(one.name, one)
    return one
  }
  function answered(one: Order, got: Decision | undefined, where: string): void {
    one.sent++
    if (!got) {
      one.unclear++
      return
    }
    if (got.decision === 'accepted') accepted(one, got.epoch, where)
    else refused(one, got.why, where)
  }
  function accepted(one: Order, epoch: number, where: string): void {
    if (one.refused !== undefined) broken(`${one.name} was refused (${one.refused}) and then accepted at ${where}`)
    if (epoch !== one.epoch) broken(`${one.name} names epoch ${one.epoch} and was accepted as ${epoch} at ${where}`)
    one.acceptedAt = epoch
    force(epoch, one.name, `the answer of ${where}`)
    highestAcknowledged = Math.max(highestAcknowledged, epoch)
  }
  function refused(one: Order, why: string, where: string): void {
    if (one.acceptedAt !== undefined) broken(`${one.name} was accepted and then refused at ${where}: ${why}`)
    if (inForce.get(one.epoch) === one.name) broken(`${one.name} is in force and was refused at ${where}: ${why}`)
    one.refused ??= why
  }
  function force(epoch: number, name: string, where: string): void {
    const old = inForce.get(epoch)
    if (old === name) return
    if (old !== undefined) {
      broken(`epoch ${epoch} is ${old}, and ${name} by ${where}`)
      return
    }
    inForce.set(epoch, name)
    highestSeen = Math.max(highestSeen, epoch)
    const one = orders.get(name)
    if (!one) broken(`epoch ${epoch} is ${name}, which nobody sent, by ${where}`)
    else if (one.epoch !== epoch) broken(`${name} names epoch ${one.epoch} and is in force as ${epoch} by ${where}`)
    else if (one.refused !== undefined) broken(`${name} was refused (${one.refused}) and is in force by ${where}`)
  }
  function saw(body: ConfigurationBody, where: string): void {
    let prior: number | undefined = body.history.length < MAX_NAMED_CHANGES ? 0 : undefined
    for (const h of body.history) {
      force(h.epoch, h.stream, where)
      const expect = orders.get(h.stream)?.expect
      if (prior !== undefined && expect !== undefined && expect !== prior)
        broken(`${h.stream} expects epoch ${expect} and stands after ${prior} by ${where}`)
      prior = h.epoch
    }
    if ((prior ?? 0) !== body.epoch) broken(`epoch ${body.epoch} ends a history that ends in ${prior} by ${where}`)
    const label = (body.config?.label as { order?: string } | undefined)?.order
    if (label !== undefined && label !== inForce.get(body.epoch))
      broken(`epoch ${body.epoch} holds the document of ${label}, not ${inForce.get(body.epoch)}, by ${where}`)
  }
  function learned(key: string, value: RegisterValue, where: string): void {
    const at = `${key} ${value.turn}`
    const old = tags.get(at)
    if (old === undefined) tags.set(at, value.tag)
    else if (old !== value.tag) broken(`change ${value.turn} of ${key} is ${old}, and ${value.tag} by ${where}`)
  }
  function judge(last: ConfigurationBody): void {
    saw(last, 'the last read')
    const least = last.history.length < MAX_NAMED_CHANGES ? 0 : last.history[0].epoch
    const kept = new Set<string>()
    for (const h of last.history) kept.add(h.stream)
    for (const one of orders.values()) {
      if (one.acceptedAt !== undefined && one.acceptedAt >= least && !kept.has(one.name))
        broken(`${one.name} was accepted as epoch ${one.acceptedAt} and is not in the history at the end`)
      if (one.refused !== undefined && kept.has(one.name)) broken(`${one.name} was refused and is in the history`)
    }
    if (last.epoch < highestSeen) broken(`the last read is of epoch ${last.epoch}, and ${highestSeen} was seen`)
  }
  function list(): Order[] {
    return [...orders.values()]
  }
  function acknowledged(): number {
    return highestAcknowledged
  }
  function newest(): number {
    return highestSeen
  }
  return { order, orders: list, answered, saw, learned, acknowledged, newest, judge }
}
