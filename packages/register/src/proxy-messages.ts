import * as t from 'io-ts'
import { CORESET_KEY } from './core-set.js'
import { InstanceStatus } from './messages.js'
import { isQuotaKey } from './quota-register.js'

// Messages between an agent and its proxy over loopback: the agent feeds registers, the proxy sends reports.

/** Whether a register is fed to proxies; the core set and the quota holders concern agents only. */
export function isFedToProxies(key: string): boolean {
  return key !== CORESET_KEY && !isQuotaKey(key)
}

/**
 * One register in a feed. until: monotonic time of this machine until which the proxy may use this turn (version) of
 * the register. body is missing if the proxy has acknowledged the turn already.
 */
export const FeedEntry = t.intersection([
  t.type({ key: t.string, turn: t.number, until: t.number }),
  t.partial({ body: t.unknown }),
])
export type FeedEntry = t.TypeOf<typeof FeedEntry>

/**
 * Feed from an agent to its proxy. moving: [group, epoch] of which some node knows that a promotion is in progress.
 * leaving: instances that drain. tries: [group, first attempts, retries] of the other nodes. live: number of members
 * with a proxy, at least 1.
 */
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

/**
 * Report from a proxy to its agent. acks: [key, turn] that it applied. highs: [group, epoch, position] of the highest
 * acknowledged commit. seen: [instance, ms since its last successful answer]. tries: [group, first attempts, retries].
 * open: number of open client sessions.
 */
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
    /** [follower, ms within which its position is proved]. */
    lags: t.array(t.tuple([t.string, t.number])),
  }),
  t.partial({
    /** [instance, ms since the first request that failed or is still unanswered, with no later sign of life]. */
    bad: t.array(t.tuple([t.string, t.number])),
  }),
])
export type ProxyReport = t.TypeOf<typeof ProxyReport>
