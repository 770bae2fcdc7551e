import t, { type Test } from 'tap'
import { httpAdapters } from '@claynotch/proxy'
import { httpInstanceAdapter } from '@claynotch/instance'
import { newestGroupRecord, wait } from '../harm.js'
import { makeSimFleet, smallShape, type Shape, type SimFleet } from '../simfleet.js'

t.setTimeout(600000)

// The holder of a group's failover duty fails together with the group's leader: docs/design/detection.md.

/**
 * The holder's lease expires at the cores; the next holder learns of it with a renewal, claims the duty, asks the
 * leader once without an answer, and stops the group. It must not wait for a second time as long as the first.
 */
const MAX_DETECTION_MS = 5600

/** The small fleet with four fronts and without synchronous commits. */
function shape(): Shape {
  const small = smallShape()
  const groups: Shape['config']['groups'] = []
  for (const group of small.config.groups) groups.push({ ...group, sync: 0 })
  return { ...small, fronts: 4, config: { ...small.config, groups } }
}
/** Index of the front that holds the group's duty; -1: none does. */
function holderOf(fleet: SimFleet): number {
  const name = newestGroupRecord(fleet)?.holder
  for (const [k, front] of fleet.fronts.entries()) if (front.node === name) return k
  return -1
}

/**
 * No client sends requests to the leader, so no node reports failures: the new holder has only the information that all
 * nodes have.
 */
async function holderAndLeaderFail(test: Test): Promise<void> {
  // Proxies don't poll the instances' status, as on the users' platform.
  const { sampler: _, ...adapterWithoutSampler } = httpInstanceAdapter
  for (const seed of [1, 2, 3, 4]) {
    const fleet = makeSimFleet(seed, shape(), { proxyAdapters: { ...httpAdapters, instance: adapterWithoutSampler } })
    test.ok(await fleet.begin())
    await wait(fleet, 6000)
    const holder = fleet.fronts[holderOf(fleet)]
    const leader = fleet.leaderOf('g1')
    if (!holder || !leader) {
      test.fail(`seed ${seed}: the group has no duty holder or no leader`)
      continue
    }
    const oldLeader = leader.name
    const failedAt = fleet.sim.now()
    holder.machine.dark = true
    leader.machine.dark = true
    function isGroupStopped(): boolean {
      const record = newestGroupRecord(fleet)
      return record !== undefined && (record.phase !== 'steady' || record.leader !== oldLeader)
    }
    test.ok(await fleet.sim.until(isGroupStopped, 20000), `seed ${seed}: the group is stopped`)
    const elapsedMs = Math.round(fleet.sim.now() - failedAt)
    test.ok(elapsedMs <= MAX_DETECTION_MS, `seed ${seed}: stopped after ${elapsedMs} ms`)
  }
}

void t.test('the duty holder and the leader fail together', holderAndLeaderFail)
