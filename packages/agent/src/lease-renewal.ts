import {
  LEASE_DURATION_MS,
  LEASE_RENEWAL_HEDGE_MS,
  LEASE_RENEWAL_TIMEOUT_MS,
  readAs,
  type Metrics,
  type World,
} from '@claynotch/base'
import {
  gatherQuorum,
  LeaseRenewalAnswer,
  quorumOf,
  votersOf,
  type CoreSet,
  type Quorum,
  type VoterAnswer,
} from '@claynotch/register'
import type { CoreLink, CoreLinks } from './core-links.js'
import type { RenewalMessages } from './renewal-messages.js'
import { makeVoterRotation, type VoterCandidate } from './voter-rotation.js'

/** Undefined: the core didn't answer, or its answer was invalid or no longer relevant. */
type RenewalAnswer = LeaseRenewalAnswer | undefined

/** Callbacks of the lease renewal. */
export type LeaseRenewalEvents = {
  /** Called before a round sends requests to the cores. */
  beforeRound: () => void
  /** Whether a core is asked in every round. */
  isPinned: (core: string) => boolean
  /** The first renewal, or one more than a lease duration after the previous one: the state known here may be stale. */
  resumed: () => void
  /**
   * A quorum of the core set, which is still the current one, accepted a renewal round that began at beganAt
   * (local time, ms).
   */
  answered: (cores: Set<string>, beganAt: number) => void
}

/**
 * Renews this node's lease at a majority of the cores.
 *
 * Invariant: the lease duration counts from the start of the round that renewed it, and all answers that a round counts
 * are of one core set.
 */
export type LeaseRenewal = {
  /** Runs one renewal round; resolves to whether a majority accepted it. */
  round: () => Promise<boolean>
  /** Local time (ms) at which the lease ends; 0 while there is none. */
  expiresAt: () => number
  isValid: () => boolean
  /** Whether this process has held a lease since it started, whether or not that lease is still valid. */
  wasHeld: () => boolean
}

function isOk(answer: RenewalAnswer): boolean {
  return answer?.ok === true
}
function acceptingVoters(answers: VoterAnswer<RenewalAnswer>[]): Set<string> {
  const accepting = new Set<string>()
  for (const { id, answer: val } of answers) if (isOk(val)) accepting.add(id)
  return accepting
}
function reportsReplacement(answer: VoterAnswer<RenewalAnswer>): boolean {
  return answer.answer?.replaced === true
}

export function makeLeaseRenewal(
  world: World,
  node: { name: string; life: string },
  links: CoreLinks,
  messages: RenewalMessages,
  metrics: Metrics,
  events: LeaseRenewalEvents,
): LeaseRenewal {
  let expiresAt = 0
  let renewedAt = -Infinity
  let wasHeld = false
  const rotation = makeVoterRotation(world, node.name)

  async function sendRenewal(core: string, { link, view }: CoreLink, epoch: number): Promise<RenewalAnswer> {
    const renewal = messages.next(core, view, epoch)
    const answer = readAs(LeaseRenewalAnswer, await link.ask(renewal.message, LEASE_RENEWAL_TIMEOUT_MS))
    if (answer.err) return undefined
    // Ignores a successful answer of a core whose link was removed or reopened meanwhile.
    if (links.get(core)?.view !== view || !answer.val.ok) return answer.val.ok ? undefined : answer.val
    if (!view.take(answer.val, renewal.coreLife)) return { ok: false, unknown: true }
    renewal.delivered()
    return answer.val
  }
  async function renewAt(core: string, coreLink: CoreLink, coreSet: CoreSet): Promise<RenewalAnswer> {
    const answer = await sendRenewal(core, coreLink, coreSet.epoch)
    if (answer?.set) links.adopt(answer.set)
    if (answer?.behind) coreLink.link.tell({ t: 'set', set: coreSet })
    if (answer?.unknown !== true || links.get(core)?.view !== coreLink.view) return answer
    // The core was restarted or no longer knows this node: sends the full state and requests the full state.
    coreLink.view.reset()
    messages.forget(core)
    const retryAnswer = await sendRenewal(core, coreLink, coreSet.epoch)
    return isOk(retryAnswer) ? retryAnswer : undefined
  }
  function recordFailure(answers: number, coreSet: CoreSet, isReplaced: boolean): void {
    metrics.add('claynotch_renewals_total', [['end', isReplaced ? 'replaced' : 'failed']])
    if (expiresAt > 0 && world.now() > expiresAt) {
      world.log.warn('lease-expired', {
        node: node.name,
        answers,
        voters: votersOf(coreSet).length,
        epoch: coreSet.epoch,
      })
      expiresAt = 0
    }
    if (expiresAt === 0) void links.rediscover()
  }
  function recordRenewal(beganAt: number): void {
    metrics.add('claynotch_renewals_total', [['end', 'good']])
    expiresAt = Math.max(expiresAt, beganAt + LEASE_DURATION_MS)
    if (beganAt - renewedAt > LEASE_DURATION_MS) events.resumed()
    renewedAt = beganAt
    wasHeld = true
  }
  /** Cores to ask first. All of them while no lease is valid, since any of them may be slow to answer. */
  function chooseVoters(quorum: Quorum): Set<string> {
    if (!isValid()) return new Set(links.all().keys())
    const candidates: VoterCandidate[] = []
    for (const [id, { link }] of links.all())
      candidates.push({
        id,
        isUp: link.up(),
        heard: links.heardAt(id) ?? -Infinity,
        isPinned: events.isPinned(id),
      })
    return rotation.choose(candidates, quorum)
  }
  async function askVoters(coreSet: CoreSet): Promise<VoterAnswer<RenewalAnswer>[]> {
    const quorum = quorumOf(coreSet)
    const firstVoters = chooseVoters(quorum)
    const asks: { id: string; got: Promise<RenewalAnswer> }[] = []
    const remaining: [string, CoreLink][] = []
    for (const [core, coreLink] of links.all()) {
      if (firstVoters.has(core)) asks.push({ id: core, got: renewAt(core, coreLink, coreSet) })
      else remaining.push([core, coreLink])
    }
    if (remaining.length === 0) return await gatherQuorum(world, asks, quorum, isOk, LEASE_RENEWAL_TIMEOUT_MS)
    const answers = await gatherQuorum(world, asks, quorum, isOk, LEASE_RENEWAL_HEDGE_MS)
    if (quorum.met(acceptingVoters(answers))) return answers
    metrics.add('claynotch_renewals_hedged_total')
    for (const [core, coreLink] of remaining) asks.push({ id: core, got: renewAt(core, coreLink, coreSet) })
    return await gatherQuorum(world, asks, quorum, isOk, LEASE_RENEWAL_TIMEOUT_MS - LEASE_RENEWAL_HEDGE_MS)
  }
  async function round(): Promise<boolean> {
    const beganAt = world.now()
    // The whole round uses this set, even if a later one is adopted before it ends.
    const coreSet = links.coreSet()
    const quorum = quorumOf(coreSet)
    events.beforeRound()
    const answers = await askVoters(coreSet)
    const accepting = acceptingVoters(answers)
    const isReplaced = answers.some(reportsReplacement)
    if (isReplaced) world.log.error('node-replaced', { ...nodeLogFields(), why: 'another agent runs under this name' })
    if (!quorum.met(accepting)) {
      recordFailure(accepting.size, coreSet, isReplaced)
      return false
    }
    recordRenewal(beganAt)
    // If a later set was adopted during the round, the lease counts, but the answers are merged with the next ones.
    if (links.coreSet() === coreSet) events.answered(accepting, beganAt)
    return true
  }
  function nodeLogFields() {
    return { node: node.name, life: node.life }
  }
  function expiresAtNow(): number {
    return expiresAt
  }
  function isValid(): boolean {
    return world.now() < expiresAt
  }
  function wasHeldNow(): boolean {
    return wasHeld
  }
  return { round, expiresAt: expiresAtNow, isValid, wasHeld: wasHeldNow }
}
