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

type Answered = LeaseRenewalAnswer | undefined

export type LeaseRenewalEvents = {
  /** Before a round asks the cores. */
  beforeRound: () => void
  /** Whether a core is to be asked in every round. */
  isPinned: (core: string) => boolean
  /** No answer came for a whole lease before this round: what is known here may be old. */
  resumed: () => void
  /** A quorum of the set that is still the present one answered since the round began (local time, ms). */
  answered: (cores: Set<string>, beganAt: number) => void
}

/**
 * Renews this node's lease at a majority of the cores.
 *
 * Invariant: the lease runs from before the round that renewed it was begun, and all answers that it counts are of one set.
 */
export type LeaseRenewal = {
  /** One round; whether a majority answered. */
  round: () => Promise<boolean>
  /** Local time (ms) at which the lease ends; 0 while there is none. */
  expiresAt: () => number
  isValid: () => boolean
  /** Whether a lease was held in this life of the process, valid or not. */
  wasHeld: () => boolean
}

function isOk(answer: Answered): boolean {
  return answer?.ok === true
}
function goodOf(answers: VoterAnswer<Answered>[]): Set<string> {
  const good = new Set<string>()
  for (const { id, val } of answers) if (isOk(val)) good.add(id)
  return good
}
function isReplaced(answer: VoterAnswer<Answered>): boolean {
  return answer.val?.replaced === true
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

  async function askOnce(core: string, { link, view }: CoreLink, epoch: number): Promise<Answered> {
    const renewal = messages.next(core, view, epoch)
    const answer = readAs(LeaseRenewalAnswer, await link.ask(renewal.message, LEASE_RENEWAL_TIMEOUT_MS))
    if (answer.err) return undefined
    // A core that was removed meanwhile says nothing of use.
    if (links.get(core)?.view !== view || !answer.val.ok) return answer.val.ok ? undefined : answer.val
    if (!view.take(answer.val, renewal.askedLife)) return { ok: false, unknown: true }
    renewal.delivered()
    return answer.val
  }
  async function ask(core: string, held: CoreLink, under: CoreSet): Promise<Answered> {
    const answer = await askOnce(core, held, under.epoch)
    if (answer?.set) links.adopt(answer.set)
    if (answer?.behind) held.link.tell({ t: 'set', set: under })
    if (answer?.unknown !== true || links.get(core)?.view !== held.view) return answer
    // The core was restarted, or has forgotten us: it is told everything and asked for everything.
    held.view.reset()
    messages.forget(core)
    const again = await askOnce(core, held, under.epoch)
    return isOk(again) ? again : undefined
  }
  function failed(answers: number, under: CoreSet, replaced: boolean): void {
    metrics.add('claynotch_renewals_total', [['end', replaced ? 'replaced' : 'failed']])
    if (expiresAt > 0 && world.now() > expiresAt) {
      world.log.warn('lease-expired', {
        node: node.name,
        answers,
        voters: votersOf(under).length,
        epoch: under.epoch,
      })
      expiresAt = 0
    }
    if (expiresAt === 0) void links.rediscover()
  }
  function renewed(beganAt: number): void {
    metrics.add('claynotch_renewals_total', [['end', 'good']])
    expiresAt = Math.max(expiresAt, beganAt + LEASE_DURATION_MS)
    if (beganAt - renewedAt > LEASE_DURATION_MS) events.resumed()
    renewedAt = beganAt
    wasHeld = true
  }
  /** Cores that are asked at first; all of them where no lease is held, as one may be long in coming. */
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
  async function askVoters(under: CoreSet): Promise<VoterAnswer<Answered>[]> {
    const quorum = quorumOf(under)
    const first = chooseVoters(quorum)
    const asks: { id: string; got: Promise<Answered> }[] = []
    const others: [string, CoreLink][] = []
    for (const [core, held] of links.all()) {
      if (first.has(core)) asks.push({ id: core, got: ask(core, held, under) })
      else others.push([core, held])
    }
    if (others.length === 0) return await gatherQuorum(world, asks, quorum, isOk, LEASE_RENEWAL_TIMEOUT_MS)
    const answers = await gatherQuorum(world, asks, quorum, isOk, LEASE_RENEWAL_HEDGE_MS)
    if (quorum.met(goodOf(answers))) return answers
    metrics.add('claynotch_renewals_hedged_total')
    for (const [core, held] of others) asks.push({ id: core, got: ask(core, held, under) })
    return await gatherQuorum(world, asks, quorum, isOk, LEASE_RENEWAL_TIMEOUT_MS - LEASE_RENEWAL_HEDGE_MS)
  }
  async function round(): Promise<boolean> {
    const beganAt = world.now()
    // All of it is under this set, whichever is known at its end.
    const under = links.coreSet()
    const quorum = quorumOf(under)
    events.beforeRound()
    const answers = await askVoters(under)
    const good = goodOf(answers)
    const replaced = answers.some(isReplaced)
    if (replaced) world.log.error('node-replaced', { ...nodeFields(), why: 'another agent runs under this name' })
    if (!quorum.met(good)) {
      failed(good.size, under, replaced)
      return false
    }
    renewed(beganAt)
    // A later set came while these answered: the lease stands, what they tell is merged with the next answers.
    if (links.coreSet() === under) events.answered(good, beganAt)
    return true
  }
  function nodeFields() {
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
