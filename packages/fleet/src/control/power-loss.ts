/**
 * Total power loss in the simulator: as many core hosts as tolerable lose their disks, and everything else, fronts and
 * non-voting core hosts too, loses power at the same instant. Whatever is needed afterwards must be on the disks.
 */
import { makeRun, type Run, type Verdict } from './run.js'
import type { CoreHost } from './fleet.js'

/** What is in progress when the power fails. */
export const MOMENTS = ['change', 'race', 'replacement', 'refill'] as const
export type Moment = (typeof MOMENTS)[number]

/** Deployments: number of core hosts, and how many of them may lose their disks at once. */
const DEPLOYMENTS = [
  { cores: 5, disks: 1 },
  { cores: 9, disks: 2 },
]
/** Core hosts that found the core set. */
const FOUNDERS = 3
/** Orders sent, and completed, before the tested moment. */
const CHANGES_BEFORE = 4
/** Bounds of the time from sending the last change to the power loss. */
const MIN_WAIT_MS = 5
const MAX_WAIT_MS = 400
/** Upper bound of the time from the start of a replacement or a refill to sending the last change. */
const MAX_LEAD_MS = 3000
/** Time without power: for all hosts, and how much longer each may take by itself. */
const DOWN_MS = 1000
const MAX_EXTRA_DOWN_MS = 2500
/** The founding set must grow to all hosts within this time. */
const GROWTH_LIMIT_MS = 60000

/** The result of one power loss run. */
export type PowerLossReport = { moment: Moment; cores: number; lostDisks: number; verdict: Verdict }

/** Draws the hosts that lose their disks: at most what the deployment allows and the current core set tolerates. */
function drawLostDisks(run: Run, maxLostDisks: number): CoreHost[] {
  const { fleet } = run
  const candidates = fleet.presentHosts()
  const lost: CoreHost[] = []
  while (lost.length < maxLostDisks && candidates.length > 0) {
    const [host] = candidates.splice(Math.floor(fleet.sim.random() * candidates.length), 1)
    if (fleet.canLoseDisksOf([...lost, host])) lost.push(host)
  }
  return lost
}

/** Starts the fault that belongs to the moment, if it has one. */
function beginMoment(run: Run, moment: Moment): void {
  const machine = Math.floor(run.fleet.sim.random() * run.fleet.presentHosts().length)
  if (moment === 'replacement') {
    run.faults.apply({ wait: 0, kind: 'remove', machine })
    run.faults.apply({ wait: 0, kind: 'add' })
  } else if (moment === 'refill') run.faults.apply({ wait: 0, kind: 'wipe', machine, long: 300 })
}

/** Cuts the power of every host at this instant; the hosts come back one by one, in random order. */
function losePower(run: Run, lost: CoreHost[]): void {
  const { fleet } = run
  const { sim } = fleet
  for (const host of fleet.presentHosts()) {
    fleet.kill(host, { dark: true, ...(lost.includes(host) ? { disk: 'lost' as const } : {}) })
    function restart(): void {
      fleet.start(host)
    }
    sim.at(DOWN_MS + MAX_EXTRA_DOWN_MS * sim.random(), restart)
  }
  fleet.killFront()
  function restartFront(): void {
    fleet.startFront(false)
  }
  sim.at(DOWN_MS + MAX_EXTRA_DOWN_MS * sim.random(), restartFront)
}

/** Runs one power loss; the seed also selects the moment and the deployment. */
export async function runPowerLoss(seed: number): Promise<PowerLossReport> {
  const moment = MOMENTS[seed % MOMENTS.length]
  const { cores, disks } = DEPLOYMENTS[Math.floor(seed / MOMENTS.length) % DEPLOYMENTS.length]
  const run = makeRun(seed, FOUNDERS, cores - FOUNDERS, 0)
  const { fleet } = run
  const { sim } = fleet
  let lostDisks = 0
  if (await run.foundCluster()) {
    if (!(await sim.until(fleet.isFullyVoting, GROWTH_LIMIT_MS)))
      fleet.reportViolation(`the set did not grow: ${run.describeState()}`)
    for (let k = 0; k < CHANGES_BEFORE; k++) {
      void run.sendOrder(0, k)
      await run.untilIdle()
    }
    beginMoment(run, moment)
    if (moment === 'replacement' || moment === 'refill') await sim.run(sim.now() + MAX_LEAD_MS * sim.random())
    if (moment === 'race') void run.sendRacingOrders(0, 1, 1)
    else void run.sendOrder(0, Math.floor(sim.random() * cores))
    await sim.run(sim.now() + MIN_WAIT_MS + (MAX_WAIT_MS - MIN_WAIT_MS) * sim.random())
    const lost = drawLostDisks(run, disks)
    lostDisks = lost.length
    losePower(run, lost)
    await sim.run(sim.now() + DOWN_MS + MAX_EXTRA_DOWN_MS + 1)
  }
  return { moment, cores, lostDisks, verdict: await run.finish() }
}
