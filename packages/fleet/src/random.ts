// A seeded random source: the same seed gives the same numbers, each from 0 up to 1.
export function makeRandom(seed: number): () => number {
  let a = (seed * 2654435761 + 12345) >>> 0
  function next(): number {
    a = (a + 0x6d2b79f5) >>> 0
    let t = Math.imul(a ^ (a >>> 15), 1 | a)
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296
  }
  return next
}
