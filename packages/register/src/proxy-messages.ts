import * as t from 'io-ts'
import { CORESET_KEY } from './core-set.js'
import { InstanceStatus } from './messages.js'
import { isQuotaKey } from './quota-register.js'

// What an agent and its proxy say to each other over loopback: registers fed one way, notes the other.

/** Which machines vote, and who counts quotas, is the agents' matter alone. */
export function isFedToProxies(key: string): boolean {
  return key !== CORESET_KEY && !isQuotaKey(key)
}

// One register as it is fed. until: monotonic time of this machine up to which the proxy may work by this
// turn; body is left out where the proxy has acknowledged the turn already.
export const FeedEntry = t.intersection([
  t.type({ key: t.string, turn: t.number, until: t.number }),
  t.partial({ body: t.unknown }),
])
export type FeedEntry = t.TypeOf<typeof FeedEntry>

// moving: [group, epoch] that some node knows to be under promotion. tries: [group, firsts, retries] of the other nodes.
// live: members that have a proxy, at least 1.
export const AgentFeed = t.type({
  t: t.literal('feed'),
  node: t.string,
  area: t.string,
  cells: t.array(FeedEntry),
  sights: t.array(InstanceStatus),
  moving: t.array(t.tuple([t.string, t.number])),
  leaving: t.array(t.string),
  tries: t.array(t.tuple([t.string, t.number, t.number])),
  live: t.number,
})
export type AgentFeed = t.TypeOf<typeof AgentFeed>

// acks: [key, turn] applied. seen: [instance, ms since its last good answer]. highs: [group, epoch, position].
export const ProxyReport = t.intersection([
  t.type({
    t: t.literal('note'),
    life: t.string,
    acks: t.array(t.tuple([t.string, t.number])),
    highs: t.array(t.tuple([t.string, t.number, t.number])),
    seen: t.array(t.tuple([t.string, t.number])),
    moving: t.array(t.tuple([t.string, t.number])),
    tries: t.array(t.tuple([t.string, t.number, t.number])),
    open: t.number,
    leaving: t.boolean,
    // lags: [follower, ms within which its position is proved].
    lags: t.array(t.tuple([t.string, t.number])),
  }),
  t.partial({
    // bad: [instance, ms since the first send that failed there, or still waits, with no sign of life after it].
    bad: t.array(t.tuple([t.string, t.number])),
  }),
])
export type ProxyReport = t.TypeOf<typeof ProxyReport>
