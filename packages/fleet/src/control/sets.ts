/** Decoding of core sets, for code that inspects cores from outside. */
import { readAs } from '@claynotch/base'
import { CoreSet } from '@claynotch/register'

export { quorumOf, votersOf, type CoreSet } from '@claynotch/register'

/** Decodes a register body as a core set; undefined if it is none. */
export function readCoreSet(body: unknown): CoreSet | undefined {
  const decoded = readAs(CoreSet, body)
  return decoded.ok ? decoded.val : undefined
}
