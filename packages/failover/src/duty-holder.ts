import { mixedHashOf } from '@claynotch/base'

/**
 * The live node that holds a key's duty, by rendezvous hashing: when a node joins or leaves, only the keys assigned to
 * that node move.
 */
export function dutyHolderOf(key: string, live: string[]): string | undefined {
  let holder: string | undefined
  let highestWeight = -1
  for (const node of [...live].sort()) {
    const weight = mixedHashOf(`${node}|${key}`)
    if (weight > highestWeight) {
      highestWeight = weight
      holder = node
    }
  }
  return holder
}
