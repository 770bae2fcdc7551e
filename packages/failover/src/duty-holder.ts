import { mixedHashOf } from '@claynotch/base'

/**
 * The live node that a key's duty falls to, by rendezvous hashing: one node's coming or going moves only the keys that it
 * takes or leaves.
 */
export function dutyHolderOf(key: string, live: string[]): string | undefined {
  let best: string | undefined
  let most = -1
  for (const node of [...live].sort()) {
    const weight = mixedHashOf(`${node}|${key}`)
    if (weight > most) {
      most = weight
      best = node
    }
  }
  return best
}
