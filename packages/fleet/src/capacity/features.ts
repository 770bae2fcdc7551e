import { MAX_DECISIONS_PER_STREAM, MAX_HISTORY_ENTRIES } from '@claynotch/base'
import type { Size } from './size.js'

// The terms that a cost may grow with, by name: each a function of the size of a fleet.

// What the terms of a fit are made of. value: bytes of the configuration's register as it goes out.
// spread: processes for each member, as several share one in a hollow fleet; 1 where each has its own.
export type Env = Size & { value: number; spread: number }

const features = new Map<string, (e: Env) => number>([
  ['1', one],
  ['N', nodes],
  ['G', groups],
  ['NG', nodesGroups],
  ['NN', nodesNodes],
  ['NNG', nodesNodesGroups],
  ['I', instancesAll],
  ['L', lanes],
  ['V', value],
  ['P', spread],
  ['NV', nodesValue],
  ['ch', changes],
  ['CV', changedBytes],
  ['N·ch', nodesChanges],
  ['N·CV', nodesChangedBytes],
  ['ch/N', changesEach],
  ['CV/N', changedBytesEach],
  ['I/N', instancesEach],
  ['G/N', groupsEach],
  ['HD', holders],
  ['D', decisions],
  ['H', history],
])

function one(): number {
  return 1
}

function nodes(e: Env): number {
  return e.nodes
}

function groups(e: Env): number {
  return e.groups
}

function lanes(e: Env): number {
  return e.lanes
}

function instancesAll(e: Env): number {
  return e.groups * e.instances
}

function nodesGroups(e: Env): number {
  return e.nodes * e.groups
}

function nodesNodes(e: Env): number {
  return e.nodes * e.nodes
}

function nodesNodesGroups(e: Env): number {
  return e.nodes * e.nodes * e.groups
}

function nodesValue(e: Env): number {
  return e.nodes * e.value
}

function value(e: Env): number {
  return e.value
}

function spread(e: Env): number {
  return e.spread
}

function changes(e: Env): number {
  return e.changes
}

function changedBytes(e: Env): number {
  return e.changes * e.value
}

function nodesChanges(e: Env): number {
  return e.nodes * e.changes
}

function nodesChangedBytes(e: Env): number {
  return e.nodes * e.changes * e.value
}

function changesEach(e: Env): number {
  return e.changes / e.nodes
}

function changedBytesEach(e: Env): number {
  return (e.changes * e.value) / e.nodes
}

function instancesEach(e: Env): number {
  return instancesAll(e) / e.nodes
}

function groupsEach(e: Env): number {
  return e.groups / e.nodes
}

// Nodes to which the duty of some group falls, where each group's falls to one by chance.
function holders(e: Env): number {
  return e.nodes * (1 - (1 - 1 / e.nodes) ** e.groups)
}

function decisions(e: Env): number {
  return Math.min(e.history, MAX_DECISIONS_PER_STREAM)
}

function history(e: Env): number {
  return Math.min(e.history, MAX_HISTORY_ENTRIES)
}

export function featureOf(name: string, env: Env): number {
  const f = features.get(name)
  if (!f) throw new Error(`no term is named ${name}`)
  return f(env)
}
