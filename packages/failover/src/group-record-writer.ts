import type { World } from '@claynotch/base'
import { groupKey, type GroupRecord, type RegisterValue } from '@claynotch/register'
import type { FailoverView } from './failover-view.js'

/**
 * Writes the group's record by compare-and-set on the version that was read. true: written; false: another write came
 * first; undefined: the result is unknown, to be found by reading again.
 */
export type WriteRecord = (version: number, record: GroupRecord) => Promise<boolean | undefined>

/** Creates the function that writes, counts and logs the records of one group. */
export function makeRecordWriter(world: World, view: FailoverView, group: string): WriteRecord {
  const key = groupKey(group)
  let writeCount = 0

  function reportWritten({ phase, epoch, leader, candidate, holder, fence, note }: GroupRecord): void {
    view.metrics.add('claynotch_duty_records_total', [
      ['group', group],
      ['phase', phase],
    ])
    world.log.info('group-record', { group, phase, epoch, leader, candidate, holder, fence, note })
  }
  async function write(version: number, record: GroupRecord): Promise<boolean | undefined> {
    const tag = `${view.node}~${world.now()}~${++writeCount}`
    function edit(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      if (now?.tag === tag || (now?.turn ?? 0) !== version) return undefined
      return { body: record, tag }
    }
    const committed = await view.proposer.change(key, edit)
    if (!committed.done) return undefined
    if (committed.value) view.learn(key, committed.value, committed.ballot)
    const isWritten = committed.value?.tag === tag
    if (isWritten) reportWritten(record)
    return isWritten
  }
  return write
}
