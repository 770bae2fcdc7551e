import t, { type Test } from 'tap'
import { httpAdapters } from '@claynotch/proxy'
import { httpInstanceAdapter } from '@claynotch/instance'
import { recordOf, wait } from '../harm.js'
import { makeSimFleet, smallShape, type Shape, type SimFleet } from '../simfleet.js'

t.setTimeout(600000)

// The holder of a group's duty goes together with the group's leader: docs/design/detection.md.

// ms. The holder's lease runs out at the cores, the next holder learns of it with a renewal, claims the duty, asks the
// leader once in vain, and stops the group: no second wait as long as the first.
const MOST = 5600

function shape(): Shape {
  const small = smallShape()
  const groups: Shape['config']['groups'] = []
  for (const group of small.config.groups) groups.push({ ...group, sync: 0 })
  return { ...small, fronts: 4, config: { ...small.config, groups } }
}
function holderOf(fleet: SimFleet): number {
  const name = recordOf(fleet)?.holder
  for (const [k, front] of fleet.fronts.entries()) if (front.node === name) return k
  return -1
}

// Nobody asks the leader anything meanwhile, so that no node reports failures: the new holder has only what all know.
async function both(c: Test): Promise<void> {
  // Proxies take no samples, as on the users' platform.
  const { sampler: _, ...plain } = httpInstanceAdapter
  for (const seed of [1, 2, 3, 4]) {
    const fleet = makeSimFleet(seed, shape(), { proxyAdapters: { ...httpAdapters, instance: plain } })
    c.ok(await fleet.begin())
    await wait(fleet, 6000)
    const holder = fleet.fronts[holderOf(fleet)]
    const leader = fleet.leaderOf('g1')
    if (!holder || !leader) {
      c.fail(`seed ${seed}: nobody holds the duty, or leads`)
      continue
    }
    const first = leader.name
    const from = fleet.sim.now()
    holder.machine.dark = true
    leader.machine.dark = true
    function isMoved(): boolean {
      const record = recordOf(fleet)
      return record !== undefined && (record.phase !== 'steady' || record.leader !== first)
    }
    c.ok(await fleet.sim.until(isMoved, 20000), `seed ${seed}: the group is stopped`)
    const ms = Math.round(fleet.sim.now() - from)
    c.ok(ms <= MOST, `seed ${seed}: after ${ms} ms`)
  }
}

void t.test('the holder and the leader go together', both)
