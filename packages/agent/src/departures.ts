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
 * Stores the sign-offs of instances that hadn't announced before that they leave. Such an instance continues to serve
 * but sends no more announcements, so its sign-off is stored in its group's record, on the disks of a majority,
 * before it is acknowledged. An instance that announced its leaving repeats the announcement until it signs off, and
 * then ends.
 *
 * Invariant: a name is in pendingSignOffs exactly while its sign-off was received here and may not be in the record.
 */
export type Departures = {
  /** Records the sign-off of an instance. previous: its last known status before that. */
  recordSignOff: (name: string, previous: InstanceStatus | undefined) => void
  /** Stores the instance's sign-off if needed; resolves to whether nothing is left to store. Each call tries again. */
  store: (name: string) => Promise<boolean>
}

/** What the departures need from the agent. */
export type DepartureSources = {
  node: string
  proposer: Proposer
  recordOf: (group: string) => GroupRecord | undefined
  learn: (key: string, value: RegisterValue, ballot: Ballot) => void
}

/** Whether the instance had announced that it leaves before it signed off. */
function isAnnounced(previous: InstanceStatus): boolean {
  return previous.leaving && !hasSignedOff(previous)
}

export function makeDepartures({ node, proposer, recordOf, learn }: DepartureSources): Departures {
  /** The group of each instance whose sign-off may not be stored yet. */
  const pendingSignOffs = new Map<string, string>()

  function recordSignOff(name: string, previous: InstanceStatus | undefined): void {
    if (!previous || previous.group === '' || isAnnounced(previous)) return
    if (!hasDeparted(recordOf(previous.group), name)) pendingSignOffs.set(name, previous.group)
  }
  function editFor(name: string): RegisterEdit {
    function edit(current: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      const record = current?.body as GroupRecord | undefined
      if (!record || hasDeparted(record, name)) return undefined
      return { body: withDeparted(record, name), tag: `${node}~departed~${name}` }
    }
    return edit
  }
  async function store(name: string): Promise<boolean> {
    const group = pendingSignOffs.get(name)
    if (group === undefined) return true
    const key = groupKey(group)
    const committed = await proposer.change(key, editFor(name), CHANGE_ANSWER_TIMEOUT_MS)
    if (!committed.done) return false
    if (committed.value) learn(key, committed.value, committed.ballot)
    pendingSignOffs.delete(name)
    return true
  }
  return { recordSignOff, store }
}
