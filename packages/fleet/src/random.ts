/** A seeded random number generator: the same seed gives the same numbers, each in [0, 1). */
export function makeRandom(seed: number): () => number {
  let state = (seed * 2654435761 + 12345) >>> 0
  function next(): number {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296
  }
  return next
}
