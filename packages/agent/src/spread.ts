/** The order in which a node takes cores of the same worth: another for each node, so that the load is spread (FNV-1a). */
export function spread(node: string, core: string): number {
  let sum = 2166136261
  for (const letter of `${node} ${core}`) sum = Math.imul(sum ^ letter.charCodeAt(0), 16777619)
  return sum >>> 0
}
