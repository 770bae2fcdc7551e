import type { World } from '@claynotch/base'
import type { PromotionEdge } from '@claynotch/host'
import type { FailoverView } from './failover-view.js'
import type { GroupInstances } from './group-instances.js'
import type { WriteRecord } from './group-record-writer.js'

/** What each step of a group's duty works with. */
export type GroupContext = {
  world: World
  view: FailoverView
  group: string
  instances: GroupInstances
  write: WriteRecord
  promote: PromotionEdge
  /** Looks again after so many ms. */
  lookAgainIn: (ms: number) => void
}
