import { createHash } from 'node:crypto'
import {
  MAX_KEPT_CONFIGURATIONS,
  MAX_DECISIONS_PER_STREAM,
  MAX_HISTORY_ENTRIES,
  MAX_NAMED_CHANGES,
  MIN_NAMED_CHANGES,
  MAX_OPERATOR_STREAMS,
} from '@claynotch/base'
import type { ConfigurationBody, Change, Config, Decision, Made } from './config.js'

// What the configuration's register remembers of changes: their decisions, what each made, and from where on that is whole.

// --- reading ---

export function findDecision(body: ConfigurationBody, stream: string, number: number): Decision | undefined {
  for (const s of body.streams) if (s.name === stream) for (const d of s.decisions) if (d.number === number) return d
  for (const h of body.history) if (h.stream === stream && h.number === number) return accepted(h)
  return undefined
}
function accepted(h: Made): Decision {
  const { stream, number, epoch, digest } = h
  return { stream, number, decision: 'accepted', epoch, why: '', findings: [], ...withDigest(digest) }
}
export function withDigest(digest: string | undefined): { digest?: string } {
  return digest === undefined ? {} : { digest }
}

// Every decision there is to read back, by stream and number.
export function allDecisions(body: ConfigurationBody, stream?: string): Decision[] {
  const byKey = new Map<string, Decision>()
  for (const h of body.history) byKey.set(`${h.stream} ${h.number}`, accepted(h))
  for (const s of body.streams) for (const d of s.decisions) byKey.set(`${d.stream} ${d.number}`, d)
  const out: Decision[] = []
  for (const d of byKey.values()) if (stream === undefined || d.stream === stream) out.push(d)
  return out.sort(byPlace)
}
function byPlace(a: Decision, b: Decision): number {
  return a.stream !== b.stream ? (a.stream < b.stream ? -1 : 1) : a.number - b.number
}

// Tells changes apart that bear one number. What a change expects is not of it: sent again, it may name the present epoch.
export function digestOf(change: Change): string {
  const content = JSON.stringify([change.epoch, change.whole, change.edits, change.stage])
  return createHash('sha256').update(content).digest('base64url').slice(0, DIGEST_LENGTH)
}
const DIGEST_LENGTH = 11

// The epoch that a change made, if it was ever taken.
export function epochMadeBy(change: Change): number {
  return change.epoch ?? change.expect + 1
}

// Whether the change may have been taken, though nothing kept tells of it: all of its kind from its epoch on must be there
// to say that it was not.
export function mayBeForgotten(body: ConfigurationBody, change: Change): boolean {
  const named = change.epoch !== undefined
  let oldest: number | undefined
  let count = 0
  for (const h of body.history) {
    if ((h.named === true) !== named) continue
    oldest ??= h.epoch
    count++
  }
  const least = named ? MIN_NAMED_CHANGES : MAX_HISTORY_ENTRIES
  return oldest !== undefined && count >= least && epochMadeBy(change) < oldest
}

// --- writing ---

// The body with one more decision, and with it, where it was accepted, a configuration.
export function keepDecision(body: ConfigurationBody, decision: Decision, config?: Config): ConfigurationBody {
  const { stream, number, epoch, digest } = decision
  const streams = putDecision(body.streams, decision)
  if (!config) return { ...body, streams }
  const made: Made = { epoch, stream, number, ...withDigest(digest), config }
  const history = [...lastOf(thinned(body.history), false, MAX_HISTORY_ENTRIES - 1), made]
  return { ...body, epoch, config, streams, history }
}
// The body with an accepted change that named its epoch.
export function keepNamed(body: ConfigurationBody, decision: Decision, config: Config): ConfigurationBody {
  const { stream, number, epoch, digest } = decision
  const made: Made = { epoch, stream, number, ...withDigest(digest), named: true }
  const history = [...lastOf(body.history, true, MAX_NAMED_CHANGES - 1), made]
  return { ...body, epoch, config, history }
}
// The stream that is used now becomes the last one used.
function putDecision(from: ConfigurationBody['streams'], decision: Decision): ConfigurationBody['streams'] {
  let used = 0
  let mine: ConfigurationBody['streams'][number] | undefined
  const streams: ConfigurationBody['streams'] = []
  for (const s of from) {
    used = Math.max(used, s.used)
    if (s.name === decision.stream) mine = s
    else streams.push(s)
  }
  const decisions = [...(mine?.decisions ?? []), decision].slice(-MAX_DECISIONS_PER_STREAM)
  streams.push({ name: decision.stream, used: used + 1, decisions })
  streams.sort(byUse)
  while (streams.length > MAX_OPERATOR_STREAMS) streams.shift()
  return streams
}
function byUse(a: { used: number }, b: { used: number }): number {
  return a.used - b.used
}
// Without the configurations beside the latest few, the next one counted among these.
function thinned(history: Made[]): Made[] {
  const least = countOf(history, false) + 1 - MAX_KEPT_CONFIGURATIONS
  const out: Made[] = []
  let k = 0
  for (const h of history) out.push(h.named || k++ >= least ? h : withoutConfig(h))
  return out
}
function withoutConfig(h: Made): Made {
  return { epoch: h.epoch, stream: h.stream, number: h.number, ...withDigest(h.digest) }
}
function countOf(history: Made[], named: boolean): number {
  let out = 0
  for (const h of history) if ((h.named === true) === named) out++
  return out
}
// All of the other kind, and of this kind the latest so many.
function lastOf(history: Made[], named: boolean, most: number): Made[] {
  let over = countOf(history, named) - most
  const out: Made[] = []
  for (const h of history) if ((h.named === true) !== named || over-- <= 0) out.push(h)
  return out
}
