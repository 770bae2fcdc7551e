import type { Address } from '@claynotch/base'

/** The settings, faults and records of a simulated database instance. */

/** A log entry. `src`: copied from another group's log, with its position and epoch there. */
export type Entry = { epoch: number; ops: [string, string][]; src?: { group: string; epoch: number; position: number } }

/** An append that this instance executed as leader. `at`: the instance's own clock. */
export type ExecutedAppend = { tag: string; epoch: number; position: number; at: number }

/** A promotion of this instance. `base`: the log length at which its epoch began. */
export type PromotionRecord = { epoch: number; at: number; base: number }

/** Faults to inject, set by a test or through /fault. */
export type Faults = {
  dark: boolean // accepts connections and requests but never answers
  lose: string[] // paths whose next answer is dropped after the request was executed, once per element
  full: boolean // rejects every write as out of memory
  deaf: boolean // a follower stops replicating but keeps reporting that it doesn't lag
  lag: number // ms between a follower's fetches
  left: boolean // announces that it is leaving
  uncopied: boolean // stops copying from its source group
  sick: number // fraction of statements answered with ELECTION while STATUS looks healthy
}

/** Settings of an instance process. `lag`: replication interval in ms; `connections`: connection limit. */
export type InstanceSettings = {
  name: string
  group: string
  area: string
  addr: Address
  peers: Address[]
  agents: Address[]
  leader: boolean
  connections: number
  lag: number
  data: string
  leaves?: boolean
  /** The group whose whole log this instance copies while it leads, fetched from that group's leader. */
  source?: { group: string; peers: Address[] }
}

/** A running instance. */
export type Instance = {
  stop: () => Promise<void>
  leave: () => Promise<void>
  faults: Faults
  record: () => InstanceRecord
  role: () => string
  epoch: () => number
  position: () => number
}

/** What /record returns: the log, executed appends, promotions and counters that the checks use. */
export type InstanceRecord = {
  name: string
  group: string
  log: Entry[]
  ran: ExecutedAppend[]
  took: PromotionRecord[]
  most: number
  limit: number
  lateWork: number
  leftAt: number | undefined
  wrongSettings: number
}
