/** Reading core sets, for those who look at cores from outside. */
import { readAs } from '@claynotch/base'
import { CoreSet } from '@claynotch/register'

export { quorumOf, votersOf, type CoreSet } from '@claynotch/register'

/** The core set that a register's body holds, if it holds one. */
export function readCoreSet(body: unknown): CoreSet | undefined {
  const got = readAs(CoreSet, body)
  return got.ok ? got.val : undefined
}
