import type { Address } from '@claynotch/base'

// The settings, faults and records of a stand-in instance.

// src: copied from another group's history, where it stood at that position in that entry's epoch.
export type Entry = { epoch: number; ops: [string, string][]; src?: { group: string; epoch: number; position: number } }

// One append that this instance ran as leader. at: its own clock.
export type Ran = { tag: string; epoch: number; position: number; at: number }

export type Took = { epoch: number; at: number; base: number }

export type Faults = {
  dark: boolean // takes connections and bytes, answers nothing
  lose: string[] // paths whose next answers are lost after the request ran, one each
  full: boolean // every write is refused for want of memory
  deaf: boolean // a follower stops receiving and goes on claiming that it doesn't lag
  lag: number // ms between fetches of a follower
  left: boolean // has announced that it leaves
  uncopied: boolean // copies nothing from its source group any more
  sick: number // share of statements answered with ELECTION though STATUS looks well
}

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
  // A leader copies all that this group has, by its leader's log.
  source?: { group: string; peers: Address[] }
}

export type Instance = {
  stop: () => Promise<void>
  leave: () => Promise<void>
  faults: Faults
  record: () => InstanceRecord
  role: () => string
  epoch: () => number
  position: () => number
}

export type InstanceRecord = {
  name: string
  group: string
  log: Entry[]
  ran: Ran[]
  took: Took[]
  most: number
  limit: number
  lateWork: number
  leftAt: number | undefined
  wrongSettings: number
}
