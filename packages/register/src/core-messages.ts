import { readAs, type Hello, type Link, type Metrics, type World } from '@claynotch/base'
import { compareBallots, type Ballot } from './ballot.js'
import type { HolderQuestion, QuotaAnswer } from '@claynotch/quota'
import type { CoreFounding } from './core-founding.js'
import type { CoreSetFollower } from './core-set-follower.js'
import type { Delta } from './delta.js'
import type { CoreState } from './founding.js'
import type { HandedEntry, Handover } from './handover.js'
import type { Leases } from './leases.js'
import { CoreMessage, type GetAnswer, type LeaseRenewal } from './messages.js'
import type { DeltaChains, Pushes } from './pushes.js'
import type { QuotaUseAnswer, QuotaUseQuestion } from './quota-register.js'
import type { DeltaAnswer, RegisterStore, RegisterValue } from './register-store.js'
import type { Renewals } from './renewals.js'

// What a core answers on its links; docs/wire.md has each message with its answer.

export type CoreMessagesView = {
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
  learn: (key: string, ballot: Ballot) => void
  /** The holder of quotas beside this core; undefined: there is none. */
  quotas: () => QuotaService | undefined
  /** An operator's word that everything is to begin anew, whatever agents remember. */
  foundAnew: boolean
  metrics: Metrics
}

export type CoreMessages = {
  serve: (peer: Hello, link: Link) => (message: unknown) => Promise<unknown>
  lost: (peer: Hello, link: Link) => void
}

/** What an agent beside a core answers on the core's links. asker: the node at the other end of the link. */
export type QuotaService = {
  answer: (question: HolderQuestion, asker: string) => QuotaAnswer | QuotaRefusal
  uses: (question: QuotaUseQuestion) => QuotaUseAnswer | QuotaRefusal
}
/** This node doesn't count the slot under that term, or not now. */
export type QuotaRefusal = { ok: false }
const REFUSED: QuotaRefusal = { ok: false }

type VoterMessage = Exclude<CoreMessage, { t: 'state' | 'seeds' | 'set' | 'quota' | 'quota-use' }>

const ABSENT = { ok: false, absent: true }

/** Messages that count under one set: a round or a count that began under one never ends under another. */
function epochOf(message: VoterMessage): number | undefined {
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

export function makeCoreMessages(world: World, view: CoreMessagesView): CoreMessages {
  const { store, chains, pushes, leases, follower, founding, metrics } = view

  /** A value is told only as far as the asker lacks it. */
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
  async function get(key: string, have: Ballot | undefined): Promise<GetAnswer | typeof ABSENT> {
    // After what is being written now: one that isn't on disk yet might be lost, and was then never there.
    const { ballot, value } = await store.accepted(key)
    if (store.failed() !== undefined) return ABSENT
    if (!value || !have) return { ok: true, ballot, value: value ?? null }
    if (compareBallots(ballot, have) === 0) return { ok: true, ballot, same: true }
    const deltas = chains.path(key, have, ballot)
    return deltas ? { ok: true, ballot, base: have, deltas } : { ok: true, ballot, value }
  }
  /** An agent knows committed registers, and this core has nothing on disk: the set was founded before. */
  function noteRemembered({ node }: LeaseRenewal): void {
    if (follower.isServing() || view.foundAnew || store.phase() === 'founded' || founding.isRemembered()) return
    founding.remember()
    world.log.error('set-was-founded', {
      core: view.id,
      node,
      why: 'an agent remembers settled registers: this set is not founded a second time unless foundAnew is set',
    })
  }
  /** Why a message can't be answered now, as the answer that says so. */
  function refusal(message: VoterMessage): object | undefined {
    const epoch = epochOf(message)
    const set = follower.coreSet()
    if (epoch !== undefined && set.cores.length > 0 && epoch < set.epoch) return { ok: false, set }
    if (epoch !== undefined && epoch > set.epoch) return { ok: false, behind: true }
    const isAbsent = !follower.isServing() || follower.isMoving() || store.failed() !== undefined
    return isAbsent ? ABSENT : undefined
  }
  function subscribe(link: Link, message: Extract<CoreMessage, { t: 'subscribe' }>): object {
    if (message.on) pushes.subscribe(link, message.have)
    else pushes.unsubscribe(link)
    return { ok: true }
  }
  function acknowledge(link: Link, node: string, message: Extract<CoreMessage, { t: 'ack' }>): object {
    pushes.acked(link, message.num)
    metrics.add('claynotch_core_acks_total')
    leases.ack(node, message.key, message.turn)
    return { ok: true }
  }
  async function answerAsVoter(message: VoterMessage, peer: Hello, link: Link): Promise<unknown> {
    switch (message.t) {
      case 'prepare':
        return await prepare(message.key, message.ballot, message.have)
      case 'accept':
        return 'delta' in message
          ? await acceptDelta(message.key, message.ballot, message.base, message.delta)
          : await store.accept(message.key, message.ballot, message.value as RegisterValue)
      case 'learn':
        view.learn(message.key, message.ballot)
        return { ok: true }
      case 'handover':
        return { ok: true, took: await view.handover.take(message.cells as HandedEntry[]) }
      case 'offer':
        return { ok: true, lacks: view.handover.missingKeysOf(message.cells) }
      case 'get':
        return await get(message.key, message.have)
      case 'subscribe':
        return subscribe(link, message)
      case 'keys':
        return { ok: true, keys: [...store.entries().keys()], top: store.highestNumber() }
      case 'renew':
        return view.renewals.answer(message)
      case 'leave':
        leases.leave(message.node, message.life)
        return { ok: true }
      case 'members':
        return { ok: true, members: leases.members(), sure: leases.isComplete() }
      case 'ack':
        return acknowledge(link, peer.node, message)
    }
  }
  async function answer(message: CoreMessage, peer: Hello, link: Link): Promise<unknown> {
    metrics.add('claynotch_core_words_total', [['word', message.t]])
    switch (message.t) {
      case 'state':
        return view.state()
      case 'seeds':
        return follower.coreSet()
      case 'set':
        await follower.adopt(message.set)
        return { ok: true }
      case 'quota':
        return view.quotas()?.answer(message, peer.node) ?? REFUSED
      case 'quota-use':
        return view.quotas()?.uses(message) ?? REFUSED
      default:
        break
    }
    if (message.t === 'renew' && message.remembers) noteRemembered(message)
    return refusal(message) ?? (await answerAsVoter(message, peer, link))
  }
  function serve(peer: Hello, link: Link) {
    if (peer.kind === 'agent') pushes.linked(link, peer)
    async function handle(bytes: unknown): Promise<unknown> {
      const message = readAs(CoreMessage, bytes)
      if (message.err) {
        metrics.add('claynotch_link_garbage_total')
        throw new Error(`unknown message from ${peer.node}`)
      }
      try {
        return await answer(message.val, peer, link)
      } catch (e) {
        // A failed disk is an absence; anything else is a fault of ours and closes the link.
        if (store.failed() !== undefined) return ABSENT
        throw e
      }
    }
    return handle
  }
  function lost(_peer: Hello, link: Link): void {
    pushes.lost(link)
  }
  return { serve, lost }
}
