import { createHash } from 'node:crypto'
import {
  MAX_KEPT_CONFIGURATIONS,
  MAX_DECISIONS_PER_STREAM,
  MAX_HISTORY_ENTRIES,
  MAX_NAMED_CHANGES,
  MIN_NAMED_CHANGES,
  MAX_OPERATOR_STREAMS,
} from '@claynotch/base'
import type { ConfigurationBody, Change, Config, Decision, HistoryEntry } from './config.js'

// The history in the configuration register: decisions on changes, the epochs that they made, and from which epoch on
// this history is complete.

// --- reading ---

/** The stored decision on a number of a stream. */
export function findDecision(body: ConfigurationBody, stream: string, number: number): Decision | undefined {
  for (const stored of body.streams)
    if (stored.name === stream) for (const decision of stored.decisions) if (decision.number === number) return decision
  for (const entry of body.history)
    if (entry.stream === stream && entry.number === number) return acceptedDecision(entry)
  return undefined
}
function acceptedDecision(entry: HistoryEntry): Decision {
  const { stream, number, epoch, digest } = entry
  return { stream, number, decision: 'accepted', epoch, why: '', findings: [], ...withDigest(digest) }
}
/** For spreading into an object: the field `digest`, or nothing if it is undefined. */
export function withDigest(digest: string | undefined): { digest?: string } {
  return digest === undefined ? {} : { digest }
}

/** All stored decisions, or those of one stream, ordered by stream and number. */
export function allDecisions(body: ConfigurationBody, stream?: string): Decision[] {
  const decisions = new Map<string, Decision>()
  for (const entry of body.history) decisions.set(`${entry.stream} ${entry.number}`, acceptedDecision(entry))
  for (const stored of body.streams)
    for (const decision of stored.decisions) decisions.set(`${decision.stream} ${decision.number}`, decision)
  const selected: Decision[] = []
  for (const decision of decisions.values())
    if (stream === undefined || decision.stream === stream) selected.push(decision)
  return selected.sort(compareByStreamAndNumber)
}
function compareByStreamAndNumber(a: Decision, b: Decision): number {
  return a.stream !== b.stream ? (a.stream < b.stream ? -1 : 1) : a.number - b.number
}

/**
 * Distinguishes different changes under one number. The expected epoch is not part of it, because a change that is sent
 * again may expect the current epoch.
 */
export function digestOf(change: Change): string {
  const content = JSON.stringify([change.epoch, change.whole, change.edits, change.stage])
  return createHash('sha256').update(content).digest('base64url').slice(0, DIGEST_LENGTH)
}
const DIGEST_LENGTH = 11

/** The epoch that a change makes, or made, if it is accepted. */
export function epochMadeBy(change: Change): number {
  return change.epoch ?? change.expect + 1
}

/**
 * Whether the change may have been accepted although no stored entry shows it. This can be ruled out only if all
 * changes of its kind from its epoch on are still stored.
 */
export function mayBeForgotten(body: ConfigurationBody, change: Change): boolean {
  const namesEpoch = change.epoch !== undefined
  let oldestEpoch: number | undefined
  let count = 0
  for (const entry of body.history) {
    if ((entry.named === true) !== namesEpoch) continue
    oldestEpoch ??= entry.epoch
    count++
  }
  const fullCount = namesEpoch ? MIN_NAMED_CHANGES : MAX_HISTORY_ENTRIES
  return oldestEpoch !== undefined && count >= fullCount && epochMadeBy(change) < oldestEpoch
}

// --- writing ---

/** The body with one more decision and, if the change was accepted, the new configuration. */
export function recordDecision(body: ConfigurationBody, decision: Decision, config?: Config): ConfigurationBody {
  const { stream, number, epoch, digest } = decision
  const streams = putDecision(body.streams, decision)
  if (!config) return { ...body, streams }
  const entry: HistoryEntry = { epoch, stream, number, ...withDigest(digest), config }
  const history = [...keepLatest(dropOldConfigurations(body.history), false, MAX_HISTORY_ENTRIES - 1), entry]
  return { ...body, epoch, config, streams, history }
}
/** The body with an accepted change that names its epoch. */
export function recordNamedChange(body: ConfigurationBody, decision: Decision, config: Config): ConfigurationBody {
  const { stream, number, epoch, digest } = decision
  const entry: HistoryEntry = { epoch, stream, number, ...withDigest(digest), named: true }
  const history = [...keepLatest(body.history, true, MAX_NAMED_CHANGES - 1), entry]
  return { ...body, epoch, config, history }
}
/** Adds a decision to its stream, which becomes the most recently used one; drops the least recently used streams. */
function putDecision(current: ConfigurationBody['streams'], decision: Decision): ConfigurationBody['streams'] {
  let lastUse = 0
  let decisionStream: ConfigurationBody['streams'][number] | undefined
  const streams: ConfigurationBody['streams'] = []
  for (const stored of current) {
    lastUse = Math.max(lastUse, stored.used)
    if (stored.name === decision.stream) decisionStream = stored
    else streams.push(stored)
  }
  const decisions = [...(decisionStream?.decisions ?? []), decision].slice(-MAX_DECISIONS_PER_STREAM)
  streams.push({ name: decision.stream, used: lastUse + 1, decisions })
  streams.sort(compareByLastUse)
  while (streams.length > MAX_OPERATOR_STREAMS) streams.shift()
  return streams
}
function compareByLastUse(a: { used: number }, b: { used: number }): number {
  return a.used - b.used
}
/** Drops the configurations of all but the latest few entries, counting the entry to be added as one of these. */
function dropOldConfigurations(history: HistoryEntry[]): HistoryEntry[] {
  const firstWithConfig = countEntries(history, false) + 1 - MAX_KEPT_CONFIGURATIONS
  const result: HistoryEntry[] = []
  let k = 0
  for (const entry of history) result.push(entry.named || k++ >= firstWithConfig ? entry : withoutConfig(entry))
  return result
}
function withoutConfig(entry: HistoryEntry): HistoryEntry {
  return { epoch: entry.epoch, stream: entry.stream, number: entry.number, ...withDigest(entry.digest) }
}
function countEntries(history: HistoryEntry[], named: boolean): number {
  let count = 0
  for (const entry of history) if ((entry.named === true) === named) count++
  return count
}
/** Keeps all entries of the other kind, and the latest `maxCount` entries of this kind. */
function keepLatest(history: HistoryEntry[], named: boolean, maxCount: number): HistoryEntry[] {
  let excess = countEntries(history, named) - maxCount
  const remaining: HistoryEntry[] = []
  for (const entry of history) if ((entry.named === true) !== named || excess-- <= 0) remaining.push(entry)
  return remaining
}
