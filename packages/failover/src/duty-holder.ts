/** FNV-1a of the text, with its bits mixed once more. */
function hash(text: string): number {
  let h = 0x811c9dc5
  for (let k = 0; k < text.length; k++) h = Math.imul(h ^ text.charCodeAt(k), 0x01000193) >>> 0
  h = Math.imul(h ^ (h >>> 15), 0x2c1b3c6d) >>> 0
  return (h ^ (h >>> 13)) >>> 0
}

/**
 * The live node that a key's duty falls to, by rendezvous hashing: one node's coming or going moves only the keys that it
 * takes or leaves.
 */
export function holderOf(key: string, live: string[]): string | undefined {
  let best: string | undefined
  let most = -1
  for (const node of [...live].sort()) {
    const weight = hash(`${node}|${key}`)
    if (weight > most) {
      most = weight
      best = node
    }
  }
  return best
}
