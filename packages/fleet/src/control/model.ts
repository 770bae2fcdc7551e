/**
 * Reference model of the configuration: compares every order and its answers with every observed configuration.
 *
 * It knows nothing of rounds, ballots or core sets. Its invariants:
 * - each epoch belongs to one order, wherever and whenever it is read;
 * - an order directly follows the epoch that it expects, so of two orders that expect one epoch only one is in force;
 * - an order answered as accepted stays in force at that epoch for good; one answered as rejected never is in force;
 * - an accepted order that is sent again is never answered as rejected, nor with another epoch;
 * - a read returns everything that was acknowledged before it began;
 * - each change of a register has one value, whoever learned it.
 */
import { MAX_NAMED_CHANGES } from '@claynotch/base'
import type { ConfigurationBody, Decision } from '@claynotch/operator'
import type { RegisterValue } from '@claynotch/register'

/** A change request of an operator, with what its answers said. */
export type Order = {
  name: string
  /** The epoch that it expects to be in force. */
  expect: number
  /** The epoch that it makes. */
  epoch: number
  attempts: number
  /** Attempts without a clear answer. */
  unclearAnswers: number
  /** The epoch that the last accepting answer named. */
  acceptedAt: number | undefined
  rejectionReason: string | undefined
}

/** The reference model of one run. */
export type Model = {
  /** Creates an order; it is not sent yet. */
  order: (expect: number, epoch: number) => Order
  orders: () => Order[]
  recordAnswer: (order: Order, decision: Decision | undefined, where: string) => void
  /** Checks a committed configuration as observed somewhere. */
  observeBody: (body: ConfigurationBody, where: string) => void
  /** Checks a register value that someone learned as committed. */
  observeValue: (key: string, value: RegisterValue, where: string) => void
  /** The highest epoch acknowledged as accepted so far. */
  highestAcknowledgedEpoch: () => number
  /** The highest epoch observed in force. */
  newestEpoch: () => number
  /** Checks the final state: a configuration read from a majority after everything else. */
  checkFinalRead: (last: ConfigurationBody) => void
}

/** Creates the model; it calls `reportViolation` for each contradiction. */
export function makeModel(reportViolation: (what: string) => void): Model {
  const orders = new Map<string, Order>()
  /** The name of the order in force at each epoch. */
  const orderByEpoch = new Map<number, string>()
  /** The tag of each change of each register. */
  const tagByChange = new Map<string, string>()
  let highestAcknowledged = 0
  let highestSeen = 0

  function order(expect: number, epoch: number): Order {
    const newOrder: Order = {
      name: `order${orders.size}`,
      expect,
      epoch,
      attempts: 0,
      unclearAnswers: 0,
      acceptedAt: undefined,
      rejectionReason: undefined,
    }
    orders.set(newOrder.name, newOrder)
    return newOrder
  }
  function recordAnswer(sentOrder: Order, decision: Decision | undefined, where: string): void {
    sentOrder.attempts++
    if (!decision) {
      sentOrder.unclearAnswers++
      return
    }
    if (decision.decision === 'accepted') recordAccepted(sentOrder, decision.epoch, where)
    else recordRejected(sentOrder, decision.why, where)
  }
  function recordAccepted(sentOrder: Order, epoch: number, where: string): void {
    if (sentOrder.rejectionReason !== undefined)
      reportViolation(`${sentOrder.name} was refused (${sentOrder.rejectionReason}) and then accepted at ${where}`)
    if (epoch !== sentOrder.epoch)
      reportViolation(`${sentOrder.name} names epoch ${sentOrder.epoch} and was accepted as ${epoch} at ${where}`)
    sentOrder.acceptedAt = epoch
    recordInForce(epoch, sentOrder.name, `the answer of ${where}`)
    highestAcknowledged = Math.max(highestAcknowledged, epoch)
  }
  function recordRejected(sentOrder: Order, why: string, where: string): void {
    if (sentOrder.acceptedAt !== undefined)
      reportViolation(`${sentOrder.name} was accepted and then refused at ${where}: ${why}`)
    if (orderByEpoch.get(sentOrder.epoch) === sentOrder.name)
      reportViolation(`${sentOrder.name} is in force and was refused at ${where}: ${why}`)
    sentOrder.rejectionReason ??= why
  }
  function recordInForce(epoch: number, name: string, where: string): void {
    const old = orderByEpoch.get(epoch)
    if (old === name) return
    if (old !== undefined) {
      reportViolation(`epoch ${epoch} is ${old}, and ${name} by ${where}`)
      return
    }
    orderByEpoch.set(epoch, name)
    highestSeen = Math.max(highestSeen, epoch)
    const sentOrder = orders.get(name)
    if (!sentOrder) reportViolation(`epoch ${epoch} is ${name}, which nobody sent, by ${where}`)
    else if (sentOrder.epoch !== epoch)
      reportViolation(`${name} names epoch ${sentOrder.epoch} and is in force as ${epoch} by ${where}`)
    else if (sentOrder.rejectionReason !== undefined)
      reportViolation(`${name} was refused (${sentOrder.rejectionReason}) and is in force by ${where}`)
  }
  function observeBody(body: ConfigurationBody, where: string): void {
    let prior: number | undefined = body.history.length < MAX_NAMED_CHANGES ? 0 : undefined
    for (const change of body.history) {
      recordInForce(change.epoch, change.stream, where)
      const expect = orders.get(change.stream)?.expect
      if (prior !== undefined && expect !== undefined && expect !== prior)
        reportViolation(`${change.stream} expects epoch ${expect} and stands after ${prior} by ${where}`)
      prior = change.epoch
    }
    if ((prior ?? 0) !== body.epoch)
      reportViolation(`epoch ${body.epoch} ends a history that ends in ${prior} by ${where}`)
    const label = (body.config?.label as { order?: string } | undefined)?.order
    if (label !== undefined && label !== orderByEpoch.get(body.epoch))
      reportViolation(
        `epoch ${body.epoch} holds the document of ${label}, not ${orderByEpoch.get(body.epoch)}, by ${where}`,
      )
  }
  function observeValue(key: string, value: RegisterValue, where: string): void {
    const changeKey = `${key} ${value.turn}`
    const old = tagByChange.get(changeKey)
    if (old === undefined) tagByChange.set(changeKey, value.tag)
    else if (old !== value.tag)
      reportViolation(`change ${value.turn} of ${key} is ${old}, and ${value.tag} by ${where}`)
  }
  function checkFinalRead(last: ConfigurationBody): void {
    observeBody(last, 'the last read')
    const firstKeptEpoch = last.history.length < MAX_NAMED_CHANGES ? 0 : last.history[0].epoch
    const keptNames = new Set<string>()
    for (const change of last.history) keptNames.add(change.stream)
    for (const sentOrder of orders.values()) {
      if (
        sentOrder.acceptedAt !== undefined &&
        sentOrder.acceptedAt >= firstKeptEpoch &&
        !keptNames.has(sentOrder.name)
      )
        reportViolation(
          `${sentOrder.name} was accepted as epoch ${sentOrder.acceptedAt} and is not in the history at the end`,
        )
      if (sentOrder.rejectionReason !== undefined && keptNames.has(sentOrder.name))
        reportViolation(`${sentOrder.name} was refused and is in the history`)
    }
    if (last.epoch < highestSeen)
      reportViolation(`the last read is of epoch ${last.epoch}, and ${highestSeen} was seen`)
  }
  function list(): Order[] {
    return [...orders.values()]
  }
  function highestAcknowledgedEpoch(): number {
    return highestAcknowledged
  }
  function newestEpoch(): number {
    return highestSeen
  }
  return {
    order,
    orders: list,
    recordAnswer,
    observeBody,
    observeValue,
    highestAcknowledgedEpoch,
    newestEpoch,
    checkFinalRead,
  }
}
