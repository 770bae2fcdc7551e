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
 * Changes and reads the configuration for callers that try another node after a second: both answer within
 * CHANGE_ANSWER_TIMEOUT_MS, and an operation that is still in progress then ends by itself.
 */
export type ConfigurationService = {
  change: (stream: string, change: Change) => Promise<ChangeAnswer>
  /** The configuration, read at a majority; undefined: no majority answered in time. */
  read: () => Promise<ConfigurationBody | undefined>
}

/** isCutOff: whether this node's lease has expired, so that callers should try another node at once. */
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
  async function change(stream: string, requestedChange: Change): Promise<ChangeAnswer> {
    const order = { stream, change: requestedChange }
    const verdict = isCutOff() ? unclearAnswer(order, 'this machine reaches no majority of cores') : await decide(order)
    metrics.add('claynotch_decisions_total', [['decision', verdict.decision]])
    return verdict
  }

  /** Ends with the read in progress, if there is one. */
  let runningRead: Promise<unknown> = Promise.resolve()
  /**
   * The next read. Callers that arrive during a read share the next one, which starts after all of them have asked, so
   * that there is never more than one read at a time.
   */
  let nextRead: Promise<ConfigurationBody | undefined> | undefined

  async function readOnce(): Promise<ConfigurationBody | undefined> {
    const committed = await proposer.look(CONFIG_KEY, CHANGE_ANSWER_TIMEOUT_MS)
    return committed.done ? ((committed.value?.body as ConfigurationBody | undefined) ?? emptyBody()) : undefined
  }
  function startRead(): Promise<ConfigurationBody | undefined> {
    nextRead = undefined
    const body = readOnce()
    runningRead = body.catch(noop)
    return body
  }
  async function read(): Promise<ConfigurationBody | undefined> {
    if (isCutOff()) return undefined
    nextRead ??= runningRead.then(startRead)
    const body = await withTimeout(world, CHANGE_ANSWER_TIMEOUT_MS, nextRead)
    return body === TIMED_OUT ? undefined : body
  }
  return { change, read }
}
