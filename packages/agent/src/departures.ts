import { CHANGE_ANSWER_TIMEOUT_MS } from '@claynotch/base'
import {
  groupKey,
  hasDeparted,
  hasSignedOff,
  withDeparted,
  type Ballot,
  type GroupRecord,
  type InstanceStatus,
  type Proposer,
  type RegisterEdit,
  type RegisterValue,
} from '@claynotch/register'

/**
 * Sign-offs of instances that hadn't announced before that they leave. Such an instance serves on and says nothing any more, so
 * its sign-off is kept in its group's record, on the disks of a majority, before it is acknowledged. One that announced it
 * repeats that until it signs off, and then ends.
 *
 * Invariant: a name is owed exactly while its sign-off was heard here and may not be in the record.
 */
export type Departures = {
  /** An instance signed off. before: what was known of it until then. */
  signedOff: (name: string, before: InstanceStatus | undefined) => void
  /** Whether its sign-off is kept, or need not be; tried again with each call. */
  keep: (name: string) => Promise<boolean>
}

export type DepartureSources = {
  node: string
  proposer: Proposer
  recordOf: (group: string) => GroupRecord | undefined
  learn: (key: string, value: RegisterValue, ballot: Ballot) => void
}

function isAnnounced(before: InstanceStatus): boolean {
  return before.leaving && !hasSignedOff(before)
}

export function makeDepartures({ node, proposer, recordOf, learn }: DepartureSources): Departures {
  // owed: the group of each instance.
  const owed = new Map<string, string>()

  function signedOff(name: string, before: InstanceStatus | undefined): void {
    if (!before || before.group === '' || isAnnounced(before)) return
    if (!hasDeparted(recordOf(before.group), name)) owed.set(name, before.group)
  }
  function editFor(name: string): RegisterEdit {
    function edit(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      const record = now?.body as GroupRecord | undefined
      if (!record || hasDeparted(record, name)) return undefined
      return { body: withDeparted(record, name), tag: `${node}~departed~${name}` }
    }
    return edit
  }
  async function keep(name: string): Promise<boolean> {
    const group = owed.get(name)
    if (group === undefined) return true
    const key = groupKey(group)
    const committed = await proposer.change(key, editFor(name), CHANGE_ANSWER_TIMEOUT_MS)
    if (!committed.done) return false
    if (committed.value) learn(key, committed.value, committed.ballot)
    owed.delete(name)
    return true
  }
  return { signedOff, keep }
}
