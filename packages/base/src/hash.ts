/** Hashes that spread names evenly: for load and for duties, not against anybody who chooses names with intent. */

/** FNV-1a of the text, 32 bits. */
export function hashOf(text: string): number {
  let hash = 0x811c9dc5
  for (let k = 0; k < text.length; k++) hash = Math.imul(hash ^ text.charCodeAt(k), 0x01000193)
  return hash >>> 0
}

/** The same with its bits mixed once more, so that names that differ in their last letter alone are far apart too. */
export function mixedHashOf(text: string): number {
  let hash = hashOf(text)
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d) >>> 0
  return (hash ^ (hash >>> 13)) >>> 0
}
