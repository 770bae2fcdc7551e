/**
 * The end of a day in the simulator: as many core machines as may be lost lose their disks, and everything else, fronts and
 * core machines without a vote too, loses power at the same instant. Whatever is needed afterwards must be on the disks.
 */
import { makeRun, type Run, type Verdict } from './run.js'
import type { CoreHost } from './fleet.js'

/** What is under way when the power goes. */
export const MOMENTS = ['change', 'race', 'replacement', 'refill'] as const
export type Moment = (typeof MOMENTS)[number]

/** Deployments: core machines, and how many of them may lose their disks at once. */
const DEPLOYMENTS = [
  { cores: 5, disks: 1 },
  { cores: 9, disks: 2 },
]
/** Core machines that found the set. */
const FOUNDERS = 3
/** Changes taken before anything happens. */
const CHANGES_BEFORE = 4
/** Milliseconds from the sending of the last change to the loss. */
const LEAST_WAIT_MS = 5
const MOST_WAIT_MS = 400
/** Milliseconds from the start of a replacement or a refill to the sending of the last change, at most. */
const MOST_LEAD_MS = 3000
/** Milliseconds without power: all machines, and how much longer each may take by itself. */
const DOWN_MS = 1000
const MOST_LATER_MS = 2500
/** Milliseconds for the founding set to grow to all machines. */
const GROWTH_LIMIT_MS = 60000

export type PowerLossReport = { moment: Moment; cores: number; lostDisks: number; verdict: Verdict }

/** Boxes that lose their disks: as many as the deployment allows, and no more than the present set bears. */
function drawLost(run: Run, most: number): CoreHost[] {
  const { fleet } = run
  const list = fleet.presentHosts()
  const lost: CoreHost[] = []
  while (lost.length < most && list.length > 0) {
    const [box] = list.splice(Math.floor(fleet.sim.random() * list.length), 1)
    if (fleet.bears([...lost, box])) lost.push(box)
  }
  return lost
}

function begin(run: Run, moment: Moment): void {
  const machine = Math.floor(run.fleet.sim.random() * run.fleet.presentHosts().length)
  if (moment === 'replacement') {
    run.faults.apply({ wait: 0, kind: 'remove', machine })
    run.faults.apply({ wait: 0, kind: 'add' })
  } else if (moment === 'refill') run.faults.apply({ wait: 0, kind: 'wipe', machine, long: 300 })
}

/** Everything goes dark at this instant, and comes back machine by machine, in any order. */
function losePower(run: Run, lost: CoreHost[]): void {
  const { fleet } = run
  const { sim } = fleet
  for (const box of fleet.presentHosts()) {
    fleet.kill(box, { dark: true, ...(lost.includes(box) ? { disk: 'lost' as const } : {}) })
    function again(): void {
      fleet.start(box)
    }
    sim.at(DOWN_MS + MOST_LATER_MS * sim.random(), again)
  }
  fleet.killFront()
  function frontAgain(): void {
    fleet.startFront(false)
  }
  sim.at(DOWN_MS + MOST_LATER_MS * sim.random(), frontAgain)
}

export async function runPowerLoss(seed: number): Promise<PowerLossReport> {
  const moment = MOMENTS[seed % MOMENTS.length]
  const { cores, disks } = DEPLOYMENTS[Math.floor(seed / MOMENTS.length) % DEPLOYMENTS.length]
  const run = makeRun(seed, FOUNDERS, cores - FOUNDERS, 0)
  const { fleet } = run
  const { sim } = fleet
  let lostDisks = 0
  if (await run.foundCluster()) {
    if (!(await sim.until(fleet.isFullyVoting, GROWTH_LIMIT_MS))) fleet.broken(`the set did not grow: ${run.describeState()}`)
    for (let k = 0; k < CHANGES_BEFORE; k++) {
      void run.sendOrder(0, k)
      await run.idle()
    }
    begin(run, moment)
    if (moment === 'replacement' || moment === 'refill') await sim.run(sim.now() + MOST_LEAD_MS * sim.random())
    if (moment === 'race') void run.sendRacingOrders(0, 1, 1)
    else void run.sendOrder(0, Math.floor(sim.random() * cores))
    await sim.run(sim.now() + LEAST_WAIT_MS + (MOST_WAIT_MS - LEAST_WAIT_MS) * sim.random())
    const lost = drawLost(run, disks)
    lostDisks = lost.length
    losePower(run, lost)
    await sim.run(sim.now() + DOWN_MS + MOST_LATER_MS + 1)
  }
  return { moment, cores, lostDisks, verdict: await run.finish() }
}
