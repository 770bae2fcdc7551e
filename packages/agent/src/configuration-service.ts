import { CHANGE_ANSWER_TIMEOUT_MS, noop, TIMED_OUT, withTimeout, type Metrics, type World } from '@claynotch/base'
import {
  CONFIG_KEY,
  emptyBody,
  makeDecision,
  unclear,
  type Body,
  type Change,
  type Order,
  type Verdict,
} from '@claynotch/operator'
import type { Proposer } from '@claynotch/register'

/**
 * Changes and reads of the configuration for callers that go elsewhere after a second: both answer within
 * CHANGE_ANSWER_TIMEOUT_MS, and what is under way ends by itself.
 */
export type ConfigurationService = {
  change: (stream: string, change: Change) => Promise<Verdict>
  /** The configuration, read at a majority; undefined: no majority answered in time. */
  read: () => Promise<Body | undefined>
}

/** isCutOff: this node's lease has run out, so that callers are better off elsewhere at once. */
export function makeConfigurationService(
  world: World,
  proposer: Proposer,
  isCutOff: () => boolean,
  metrics: Metrics,
): ConfigurationService {
  async function decide(order: Order): Promise<Verdict> {
    const decision = makeDecision(proposer, order, CHANGE_ANSWER_TIMEOUT_MS)
    const verdict = await withTimeout(world, CHANGE_ANSWER_TIMEOUT_MS, decision)
    return verdict === TIMED_OUT ? unclear(order, 'no majority of cores settled it in time') : verdict
  }
  async function change(stream: string, one: Change): Promise<Verdict> {
    const order = { stream, change: one }
    const verdict = isCutOff() ? unclear(order, 'this machine reaches no majority of cores') : await decide(order)
    metrics.add('claynotch_decisions_total', [['decision', verdict.decision]])
    return verdict
  }

  // Whoever asks while a read runs shares the next, which starts after all of them asked, so that a crowd of readers makes no
  // more than one at a time.
  let running: Promise<unknown> = Promise.resolve()
  let next: Promise<Body | undefined> | undefined

  async function readOnce(): Promise<Body | undefined> {
    const committed = await proposer.look(CONFIG_KEY, CHANGE_ANSWER_TIMEOUT_MS)
    return committed.done ? ((committed.value?.body as Body | undefined) ?? emptyBody()) : undefined
  }
  function startRead(): Promise<Body | undefined> {
    next = undefined
    const body = readOnce()
    running = body.catch(noop)
    return body
  }
  async function read(): Promise<Body | undefined> {
    if (isCutOff()) return undefined
    next ??= running.then(startRead)
    const body = await withTimeout(world, CHANGE_ANSWER_TIMEOUT_MS, next)
    return body === TIMED_OUT ? undefined : body
  }
  return { change, read }
}
