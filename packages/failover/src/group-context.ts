import type { World } from '@claynotch/base'
import type { PromotionAdapter } from '@claynotch/host'
import type { FailoverView } from './failover-view.js'
import type { GroupInstances } from './group-instances.js'
import type { WriteRecord } from './group-record-writer.js'

/** The dependencies of each step of a group's failover. */
export type GroupContext = {
  world: World
  view: FailoverView
  group: string
  instances: GroupInstances
  write: WriteRecord
  promote: PromotionAdapter
  /** Schedules another step after a delay in ms. */
  scheduleCheck: (ms: number) => void
}
