import { hashOf } from '@claynotch/base'

/** The order in which a node takes cores of the same worth: another for each node, so that the load is spread. */
export function spreadHash(node: string, core: string): number {
  return hashOf(`${node} ${core}`)
}
