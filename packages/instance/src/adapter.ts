import type { Address, World, Result } from '@claynotch/base'
import type { LogPosition } from './log-position.js'

// What the product needs of an instance, whatever wire it speaks. edge.ts fills it with our own HTTP.

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

// What became of one send that failed.
// reach: none, nothing was handed over; maybe, it may have reached and run; answered, the instance says that it did not run.
// lags: the instance says that its history lacks the place asked for.
// lead: the instance says that it does not lead.
// full: it takes no more connections now.
export type RequestError = {
  reach: 'none' | 'maybe' | 'answered'
  class: ErrorClass
  transient: boolean
  why: string
  code?: string
  lags?: boolean
  lead?: boolean
  full?: boolean
}

// stamp: the instance's own proof of this answer, handed on to the requester as it is. mark: undefined where the
// answer told none.
export type StatementResult = { rows: unknown[]; mark: LogPosition; stamp?: string }
// source: of another group's history, the place up to which this instance says that it holds everything.
export type Status = {
  role: 'leader' | 'follower'
  mark: LogPosition
  name: string
  group: string
  source?: { group: string; mark: LogPosition }
  epoch?: number
}

// id: the requester's own mark of the statement, handed on unchanged where the wire carries one.
// after: a place that the instance must hold, or refuse (lags); only where the edge proves.
export type SendOptions = { id?: string; after?: LogPosition }

export type InstanceConnection = {
  // shape: the name of a shape put in force on this connection before.
  statement: (
    body: { text?: string; shape?: string; args: unknown[]; mode: 'read' | 'write' } & SendOptions,
    ms: number,
  ) => Promise<Result<StatementResult, RequestError>>
  begin: (mode: 'read' | 'write', ms: number, sent?: SendOptions) => Promise<Result<StatementResult, RequestError>>
  commit: (ms: number, sent?: SendOptions) => Promise<Result<StatementResult, RequestError>>
  rollback: (ms: number, sent?: SendOptions) => Promise<Result<StatementResult, RequestError>>
  settings: (pairs: [string, string][], ms: number) => Promise<Result<StatementResult, RequestError>>
  shape: (name: string, text: string, ms: number) => Promise<Result<StatementResult, RequestError>>
  reset: (ms: number) => Promise<Result<StatementResult, RequestError>>
  alive: () => boolean
  close: () => void
}

// tenant: in whose name a connection is opened, where the wire carries one.
export type InstanceAddress = { name: string; group: string; addr: Address; tenant?: string }

// A held line on which an instance is asked for its status again and again.
export type StatusSampler = { status: () => Promise<Result<Status, string>>; alive: () => boolean; close: () => void }

// Why a status isn't told, where the instance answers that it has no time to: it lives.
export const BUSY = 'busy'

export type InstanceAdapter = {
  // Set where a follower's place is known by samples only. Without it a follower itself refuses (lags) a read whose
  // place (after) it lacks, and nobody asks instances anything while all is well.
  sampler?: (world: World, who: InstanceAddress, ms: number) => Promise<Result<StatusSampler, string>>
  // Whether each answer of a leader carries the epoch that it leads in; else a place may be that of an earlier entry.
  exact: boolean
  // Whether a connection must be told its database; else an instance's databases are told apart by its name alone.
  named: boolean
  // ms for which an idle connection may be kept: less than the instance itself keeps it.
  idle: number
  open: (world: World, who: InstanceAddress, ms: number) => Promise<Result<InstanceConnection, RequestError>>
  status: (world: World, who: InstanceAddress, ms: number) => Promise<Result<Status, string>>
  // Makes an instance that leads in an epoch below this one a follower; undefined where promotion itself fences.
  demote?: (world: World, who: InstanceAddress, epoch: number, ms: number) => Promise<Result<Status, string>>
}
