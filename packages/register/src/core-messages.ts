import { readAs, type Hello, type Link, type Metrics, type World } from '@claynotch/base'
import { compareBallots, type Ballot } from './ballot.js'
import type { HolderQuestion, QuotaAnswer } from '@claynotch/quota'
import type { CoreFounding } from './core-founding.js'
import type { CoreSetFollower } from './core-set-follower.js'
import type { Delta } from './delta.js'
import type { CoreState } from './founding.js'
import type { HandoverEntry, Handover } from './handover.js'
import type { Leases } from './leases.js'
import { CoreMessage, type GetAnswer, type LeaseRenewal } from './messages.js'
import type { DeltaChains, Pushes } from './pushes.js'
import type { QuotaUseAnswer, QuotaUseQuestion } from './quota-register.js'
import type { DeltaAnswer, RegisterStore, RegisterValue } from './register-store.js'
import type { Renewals } from './renewals.js'

/** What the message handlers of a core need from its other parts. */
export type CoreMessagesDependencies = {
  id: string
  store: RegisterStore
  chains: DeltaChains
  pushes: Pushes
  renewals: Renewals
  handover: Handover
  leases: Leases
  follower: CoreSetFollower
  founding: CoreFounding
  state: () => CoreState
  /** Called when a value is committed at this ballot. */
  learn: (key: string, ballot: Ballot) => void
  /** The quota service of the agent on this machine; undefined: there is none. */
  quotas: () => QuotaService | undefined
  /** Operator override: found the set again even if agents know registers of an earlier founding. */
  foundAnew: boolean
  metrics: Metrics
}

/** Answers the messages on the links of a core; docs/wire.md lists each message with its answer. */
export type CoreMessages = {
  /** Handles a new link; the result answers the messages on it. */
  serve: (peer: Hello, link: Link) => (message: unknown) => Promise<unknown>
  /** Called when a link is closed. */
  onLinkLost: (peer: Hello, link: Link) => void
}

/** Answers of the agent on a core's machine to quota messages. asker: the node at the other end of the link. */
export type QuotaService = {
  answer: (question: HolderQuestion, asker: string) => QuotaAnswer | QuotaRefusal
  uses: (question: QuotaUseQuestion) => QuotaUseAnswer | QuotaRefusal
}
/** Rejection: this node doesn't count the slot under that term, or can't at present. */
export type QuotaRefusal = { ok: false }
const QUOTA_REFUSED: QuotaRefusal = { ok: false }

/** The messages that only a serving voter answers. */
type VotingMessage = Exclude<CoreMessage, { t: 'state' | 'seeds' | 'set' | 'quota' | 'quota-use' }>

/** Answer of a core that isn't serving. */
const UNAVAILABLE = { ok: false, absent: true }

/**
 * The epoch that a message requires; undefined: any. Rounds and counts belong to one set: one that began under a set
 * never ends under another.
 */
function requiredEpochOf(message: VotingMessage): number | undefined {
  switch (message.t) {
    case 'learn':
    case 'handover':
    case 'offer':
    case 'leave':
    case 'ack':
      return undefined
    default:
      return message.epoch ?? 0
  }
}

/** Makes the message handlers of a core. */
export function makeCoreMessages(world: World, dependencies: CoreMessagesDependencies): CoreMessages {
  const { store, chains, pushes, leases, follower, founding, metrics } = dependencies

  /** Leaves the value out of the answer if the sender has it. */
  async function prepare(key: string, ballot: Ballot, have: Ballot | undefined): Promise<unknown> {
    const promise = await store.prepare(key, ballot)
    if (!promise.ok || !have || !promise.value || compareBallots(promise.ballot, have) !== 0) return promise
    return { ok: true, ballot: promise.ballot, same: true }
  }
  async function acceptDelta(key: string, ballot: Ballot, base: Ballot, delta: Delta): Promise<DeltaAnswer> {
    const answer = await store.acceptDelta(key, ballot, base, delta)
    if ('lacksBase' in answer) metrics.add('claynotch_core_bases_lacking_total')
    return answer
  }
  async function get(key: string, have: Ballot | undefined): Promise<GetAnswer | typeof UNAVAILABLE> {
    // Waits for the write in progress: a value that isn't on disk yet may still be lost and mustn't be read before.
    const { ballot, value } = await store.accepted(key)
    if (store.failed() !== undefined) return UNAVAILABLE
    if (!value || !have) return { ok: true, ballot, value: value ?? null }
    if (compareBallots(ballot, have) === 0) return { ok: true, ballot, same: true }
    const deltas = chains.deltasBetween(key, have, ballot)
    return deltas ? { ok: true, ballot, base: have, deltas } : { ok: true, ballot, value }
  }
  /** An agent knows committed registers and this core isn't founded on disk, so the set was founded before. */
  function notePreviousFounding({ node }: LeaseRenewal): void {
    if (
      follower.isServing() ||
      dependencies.foundAnew ||
      store.phase() === 'founded' ||
      founding.wasPreviouslyFounded()
    )
      return
    founding.markPreviouslyFounded()
    world.log.error('set-was-founded', {
      core: dependencies.id,
      node,
      why: 'an agent remembers settled registers: this set is not founded a second time unless foundAnew is set',
    })
  }
  /** The answer that rejects a message which can't be handled at present; undefined if it can. */
  function rejectionFor(message: VotingMessage): object | undefined {
    const epoch = requiredEpochOf(message)
    const set = follower.coreSet()
    if (epoch !== undefined && set.cores.length > 0 && epoch < set.epoch) return { ok: false, set }
    if (epoch !== undefined && epoch > set.epoch) return { ok: false, behind: true }
    const isUnavailable = !follower.isServing() || follower.isChangingSet() || store.failed() !== undefined
    return isUnavailable ? UNAVAILABLE : undefined
  }
  function subscribe(link: Link, message: Extract<CoreMessage, { t: 'subscribe' }>): object {
    if (message.on) pushes.subscribe(link, message.have)
    else pushes.unsubscribe(link)
    return { ok: true }
  }
  function recordAck(link: Link, node: string, message: Extract<CoreMessage, { t: 'ack' }>): object {
    pushes.recordAck(link, message.num)
    metrics.add('claynotch_core_acks_total')
    leases.ack(node, message.key, message.turn)
    return { ok: true }
  }
  async function answerVotingMessage(message: VotingMessage, peer: Hello, link: Link): Promise<unknown> {
    switch (message.t) {
      case 'prepare':
        return await prepare(message.key, message.ballot, message.have)
      case 'accept':
        return 'delta' in message
          ? await acceptDelta(message.key, message.ballot, message.base, message.delta)
          : await store.accept(message.key, message.ballot, message.value as RegisterValue)
      case 'learn':
        dependencies.learn(message.key, message.ballot)
        return { ok: true }
      case 'handover':
        return { ok: true, took: await dependencies.handover.take(message.cells as HandoverEntry[]) }
      case 'offer':
        return { ok: true, lacks: dependencies.handover.missingKeysOf(message.cells) }
      case 'get':
        return await get(message.key, message.have)
      case 'subscribe':
        return subscribe(link, message)
      case 'keys':
        return { ok: true, keys: [...store.entries().keys()], top: store.highestNumber() }
      case 'renew':
        return dependencies.renewals.answer(message)
      case 'leave':
        leases.leave(message.node, message.life)
        return { ok: true }
      case 'members':
        return { ok: true, members: leases.members(), sure: leases.isComplete() }
      case 'ack':
        return recordAck(link, peer.node, message)
    }
  }
  async function answer(message: CoreMessage, peer: Hello, link: Link): Promise<unknown> {
    metrics.add('claynotch_core_words_total', [['word', message.t]])
    switch (message.t) {
      case 'state':
        return dependencies.state()
      case 'seeds':
        return follower.coreSet()
      case 'set':
        await follower.adopt(message.set)
        return { ok: true }
      case 'quota':
        return dependencies.quotas()?.answer(message, peer.node) ?? QUOTA_REFUSED
      case 'quota-use':
        return dependencies.quotas()?.uses(message) ?? QUOTA_REFUSED
      default:
        break
    }
    if (message.t === 'renew' && message.remembers) notePreviousFounding(message)
    return rejectionFor(message) ?? (await answerVotingMessage(message, peer, link))
  }
  function serve(peer: Hello, link: Link) {
    if (peer.kind === 'agent') pushes.addLink(link, peer)
    async function handle(data: unknown): Promise<unknown> {
      const message = readAs(CoreMessage, data)
      if (message.err) {
        metrics.add('claynotch_link_garbage_total')
        throw new Error(`unknown message from ${peer.node}`)
      }
      try {
        return await answer(message.val, peer, link)
      } catch (error) {
        // With a failed disk this core is unavailable; any other error is a bug in this process and closes the link.
        if (store.failed() !== undefined) return UNAVAILABLE
        throw error
      }
    }
    return handle
  }
  function onLinkLost(_peer: Hello, link: Link): void {
    pushes.removeLink(link)
  }
  return { serve, onLinkLost }
}
