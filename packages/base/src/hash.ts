/** Hashes that distribute names evenly, for load and duties; they do not resist deliberately chosen names. */

/** 32-bit FNV-1a hash of the text. */
export function hashOf(text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  return hash >>> 0
}

/** The same hash with its bits mixed once more, so that names that differ only in the last letter are far apart too. */
export function mixedHashOf(text: string): number {
  let hash = hashOf(text)
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d) >>> 0
  return (hash ^ (hash >>> 13)) >>> 0
}
