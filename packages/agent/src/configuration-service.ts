import { CHANGE_ANSWER_TIMEOUT_MS, noop, TIMED_OUT, withTimeout, type Metrics, type World } from '@claynotch/base'
import {
  CONFIG_KEY,
  emptyBody,
  submitChange,
  unclearAnswer,
  type ConfigurationBody,
  type Change,
  type ChangeRequest,
  type ChangeAnswer,
} from '@claynotch/operator'
import type { Proposer } from '@claynotch/register'

/**
 * Changes and reads of the configuration for callers that go elsewhere after a second: both answer within
 * CHANGE_ANSWER_TIMEOUT_MS, and what is under way ends by itself.
 */
export type ConfigurationService = {
  change: (stream: string, change: Change) => Promise<ChangeAnswer>
  /** The configuration, read at a majority; undefined: no majority answered in time. */
  read: () => Promise<ConfigurationBody | undefined>
}

/** isCutOff: this node's lease has run out, so that callers are better off elsewhere at once. */
export function makeConfigurationService(
  world: World,
  proposer: Proposer,
  isCutOff: () => boolean,
  metrics: Metrics,
): ConfigurationService {
  async function decide(order: ChangeRequest): Promise<ChangeAnswer> {
    const decision = submitChange(proposer, order, CHANGE_ANSWER_TIMEOUT_MS)
    const verdict = await withTimeout(world, CHANGE_ANSWER_TIMEOUT_MS, decision)
    return verdict === TIMED_OUT ? unclearAnswer(order, 'no majority of cores settled it in time') : verdict
  }
  async function change(stream: string, one: Change): Promise<ChangeAnswer> {
    const order = { stream, change: one }
    const verdict = isCutOff() ? unclearAnswer(order, 'this machine reaches no majority of cores') : await decide(order)
    metrics.add('claynotch_decisions_total', [['decision', verdict.decision]])
    return verdict
  }

  // Whoever asks while a read runs shares the next, which starts after all of them asked, so that a crowd of readers makes no
  // more than one at a time.
  let running: Promise<unknown> = Promise.resolve()
  let next: Promise<ConfigurationBody | undefined> | undefined

  async function readOnce(): Promise<ConfigurationBody | undefined> {
    const committed = await proposer.look(CONFIG_KEY, CHANGE_ANSWER_TIMEOUT_MS)
    return committed.done ? ((committed.value?.body as ConfigurationBody | undefined) ?? emptyBody()) : undefined
  }
  function startRead(): Promise<ConfigurationBody | undefined> {
    next = undefined
    const body = readOnce()
    running = body.catch(noop)
    return body
  }
  async function read(): Promise<ConfigurationBody | undefined> {
    if (isCutOff()) return undefined
    next ??= running.then(startRead)
    const body = await withTimeout(world, CHANGE_ANSWER_TIMEOUT_MS, next)
    return body === TIMED_OUT ? undefined : body
  }
  return { change, read }
}
