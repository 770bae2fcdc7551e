import { SUMMARY_LIMIT_BYTES } from '@claynotch/base'

// The sizes that sums are made for, and the bounds that they are held against.

// The sums of docs/CAPACITY.md: slopes fitted to measured points, and what they come to at a size. Nothing here is
// measured; every figure follows from the points and the size handed in.
export type Size = {
  nodes: number
  groups: number
  lanes: number
  instances: number
  cores: number
  changes: number
  history: number
}

export type Bounds = { core: number; memory: number; bytes: number; machines: number; inForce: number }

// The size of the next two years (issue 12). A database is taken as a group of its own, of 3 instances and with one lane;
// changes are spread evenly over the day.
export const target: Size = {
  nodes: 2300,
  groups: 13000,
  lanes: 13000,
  instances: 3,
  cores: 5,
  changes: 47000 / 86400,
  history: 47000,
}

// Of a node: share of a core, bytes resident, bytes a second, for control. machines: set aside for control. inForce: s.
export const bounds: Bounds = { core: 0.011, memory: 32e6, bytes: 6000, machines: 31, inForce: 8 }

// count. Instances that fit a summary of the hollow fleet: about 9 bytes for each (names of 4 to 7 letters) beside some 60 for the rest.
export const SUMMARY_HINTS = Math.floor((SUMMARY_LIMIT_BYTES - 60) / 9)
