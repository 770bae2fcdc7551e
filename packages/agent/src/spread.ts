import { hashOf } from '@claynotch/base'

/**
 * A hash by which a node orders cores (or other nodes) that are otherwise equal. The order differs between nodes, which
 * spreads the load.
 */
export function spreadHash(node: string, core: string): number {
  return hashOf(`${node} ${core}`)
}
