import type { Address, World, Result } from '@claynotch/base'
import type { LogPosition } from './log-position.js'

/**
 * The interface to database instances, independent of their wire protocol. edge.ts implements it for the project's HTTP
 * protocol.
 */

/** The class of a failed request. */
export type ErrorClass =
  | 'UNAVAILABLE'
  | 'RESOURCE_EXHAUSTED'
  | 'INVALID_ARGUMENT'
  | 'PERMISSION_DENIED'
  | 'NOT_FOUND'
  | 'DEADLINE_EXCEEDED'
  | 'ABORTED'
  | 'UNKNOWN'
  | 'INTERNAL'

/** The outcome of one failed attempt to send a request to an instance. */
export type RequestError = {
  /**
   * none: nothing was sent; maybe: the request may have arrived and been executed; answered: the instance answered that
   * it was not executed.
   */
  reach: 'none' | 'maybe' | 'answered'
  class: ErrorClass
  transient: boolean
  why: string
  code?: string
  /** The instance reports that its log lacks the requested position. */
  lags?: boolean
  /** false: the instance reports that it is not the leader. */
  lead?: boolean
  /** The instance accepts no more connections now. */
  full?: boolean
}

/** The result of an executed statement. */
export type StatementResult = {
  rows: unknown[]
  /** The log position of the answer; undefined where the answer carried none. */
  mark: LogPosition
  /** The instance's own proof of this answer, passed to the requester unchanged. */
  stamp?: string
}

/** The status that an instance reports about itself. */
export type Status = {
  role: 'leader' | 'follower'
  mark: LogPosition
  name: string
  group: string
  /** The position in another group's log up to which this instance reports to hold everything. */
  source?: { group: string; mark: LogPosition }
  /** The term of the leader, where instances number their leaders themselves. */
  epoch?: number
}

/** Options of one request. */
export type SendOptions = {
  /** The requester's own identifier of the statement, passed on unchanged where the wire protocol carries one. */
  id?: string
  /**
   * A log position that the instance must hold, or else reject the request (lags); only where the adapter supports it.
   */
  after?: LogPosition
}

/** Why a connection to an instance is not trusted any longer. */
export type DistrustReason =
  /** A line of the answer is none that the protocol allows there. */
  | 'unexpected-line'
  /** Something arrived while no request was in flight. */
  | 'unsolicited-data'
  /** An answer belongs neither to the request in flight nor to an earlier one. */
  | 'foreign-answer'
  /** An answer may belong to the request in flight or to an earlier one. */
  | 'unproven-answer'

/** Is told what goes wrong with the answers of instances. */
export type AnswerObserver = {
  /** An answer came once more and was discarded. */
  repeated: (instance: string) => void
  /** The connection was closed, as it is unclear to which request its answers belong. */
  distrusted: (instance: string, reason: DistrustReason) => void
}

/** An open connection to an instance. */
export type InstanceConnection = {
  /** Executes a statement, given as text or as the name of a shape registered on this connection before. */
  statement: (
    body: { text?: string; shape?: string; args: unknown[]; mode: 'read' | 'write' } & SendOptions,
    timeoutMs: number,
  ) => Promise<Result<StatementResult, RequestError>>
  begin: (
    mode: 'read' | 'write',
    timeoutMs: number,
    options?: SendOptions,
  ) => Promise<Result<StatementResult, RequestError>>
  commit: (timeoutMs: number, options?: SendOptions) => Promise<Result<StatementResult, RequestError>>
  rollback: (timeoutMs: number, options?: SendOptions) => Promise<Result<StatementResult, RequestError>>
  settings: (pairs: [string, string][], timeoutMs: number) => Promise<Result<StatementResult, RequestError>>
  shape: (name: string, text: string, timeoutMs: number) => Promise<Result<StatementResult, RequestError>>
  reset: (timeoutMs: number) => Promise<Result<StatementResult, RequestError>>
  alive: () => boolean
  close: () => void
}

/** An instance to connect to. */
export type InstanceAddress = {
  name: string
  group: string
  addr: Address
  /** The tenant on whose behalf the connection is opened, where the wire protocol carries one. */
  tenant?: string
}

/** A persistent connection for polling an instance's status. */
export type StatusSampler = { status: () => Promise<Result<Status, string>>; alive: () => boolean; close: () => void }

/** The error of a status request that the instance rejects as it is busy; it shows that the instance is alive. */
export const BUSY = 'busy'

/** Access to instances over one wire protocol. */
export type InstanceAdapter = {
  /**
   * Set where a follower's log position is known only by polling. Without it, a follower itself rejects (lags) a read
   * whose position (after) it lacks, and instances are not polled while they are healthy.
   */
  sampler?: (world: World, instance: InstanceAddress, timeoutMs: number) => Promise<Result<StatusSampler, string>>
  /**
   * Whether each answer of a leader carries its current epoch; otherwise its position may be that of an earlier entry.
   */
  exact: boolean
  /** Whether a connection must be given its database; otherwise the instance's name alone identifies the database. */
  named: boolean
  /** Time in ms for which an idle connection may be kept: less than the instance's own idle timeout. */
  idle: number
  open: (
    world: World,
    instance: InstanceAddress,
    timeoutMs: number,
    observer?: AnswerObserver,
  ) => Promise<Result<InstanceConnection, RequestError>>
  status: (world: World, instance: InstanceAddress, timeoutMs: number) => Promise<Result<Status, string>>
  /** Makes an instance that leads in an epoch below this one a follower; undefined where promotion itself fences. */
  demote?: (
    world: World,
    instance: InstanceAddress,
    epoch: number,
    timeoutMs: number,
  ) => Promise<Result<Status, string>>
}
