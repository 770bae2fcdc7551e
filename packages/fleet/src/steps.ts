import { CONFIRMED_SUSPICION_TIMEOUT_MS } from '@claynotch/base'
import { newestGroupRecord, wait } from './harm.js'
import { makeSimFleet, smallShape, type Shape, type SimFleet } from './simfleet.js'

/**
 * Time from the fault to the end of each step of an unplanned leader replacement, in ms of virtual time: the recorded
 * phase leaves 'steady' (stop), reaches 'promote', the promotion is called, the new leader is steady, and the first
 * write is served.
 */
export type ReplacementSteps = { stop: number; promote: number; called: number; steady: number; served: number }

function byNumber(a: number, b: number): number {
  return a - b
}
function median(values: number[]): number {
  return [...values].sort(byNumber)[Math.floor(values.length / 2)]
}

/** Starts a fleet and lets its traffic run for 4 to 5 s. */
async function startUnderTraffic(seed: number, suspicionTimeoutMs?: number): Promise<SimFleet> {
  // sync 0: the replacement doesn't wait for commits that were lost with the leader, so that only its own steps are
  // measured.
  const shape = smallShape()
  const groups: Shape['config']['groups'] = []
  for (const group of shape.config.groups) groups.push({ ...group, sync: 0 })
  const fleet = makeSimFleet(seed, {
    ...shape,
    fronts: 5,
    requesters: 15,
    thinkTimeMs: 60,
    config: { ...shape.config, groups },
    ...(suspicionTimeoutMs === undefined ? {} : { suspicionTimeoutMs }),
  })
  await fleet.begin()
  fleet.startTraffic()
  await wait(fleet, 4000 + 1000 * fleet.sim.random())
  return fleet
}

/** Injects a fault into the leader and measures the steps of its replacement. */
export async function measureReplacement(fleet: SimFleet, injectFault: () => void): Promise<ReplacementSteps> {
  const faultAt = fleet.sim.now()
  const promotionsBefore = fleet.promotions.length
  const epochBefore = newestGroupRecord(fleet)?.epoch ?? 0
  injectFault()
  async function elapsedUntil(condition: () => boolean): Promise<number> {
    await fleet.sim.until(condition, 30000)
    return Math.round(fleet.sim.now() - faultAt)
  }
  function isStopped(): boolean {
    return newestGroupRecord(fleet)?.phase !== 'steady'
  }
  function isPromoting(): boolean {
    return newestGroupRecord(fleet)?.phase === 'promote' || isSteady()
  }
  function isPromotionCalled(): boolean {
    return fleet.promotions.length > promotionsBefore
  }
  function isSteady(): boolean {
    const record = newestGroupRecord(fleet)
    return record?.phase === 'steady' && record.epoch > epochBefore
  }
  const stop = await elapsedUntil(isStopped)
  const promote = await elapsedUntil(isPromoting)
  const called = await elapsedUntil(isPromotionCalled)
  const steady = await elapsedUntil(isSteady)
  // Counts only writes that ended after the stop, so that none counts that was answered before it.
  function isServed(): boolean {
    for (let k = fleet.events.length - 1; k >= 0 && fleet.events[k].end > faultAt; k--)
      if (
        fleet.events[k].tag !== undefined &&
        fleet.events[k].outcome === 'done' &&
        fleet.events[k].end > faultAt + stop
      )
        return true
    return false
  }
  const served = await elapsedUntil(isServed)
  return { stop, promote, called, steady, served }
}

const FAULTS: [string, (f: SimFleet) => void][] = [
  ['crash', crash],
  ['dark', isolate],
]
function crash(fleet: SimFleet): void {
  fleet.killInstance(fleet.instanceHosts.indexOf(fleet.leaderOf('g1')!))
}
function isolate(fleet: SimFleet): void {
  fleet.leaderOf('g1')!.machine.dark = true
}

/**
 * Counts the promotions that 10 short faults cause: the leader's process restarts within 50 to 400 ms, or its
 * connections are reset.
 */
async function countPromotions(
  seed: number,
  kind: 'restart' | 'reset',
  suspicionTimeoutMs: number | undefined,
): Promise<number> {
  const fleet = await startUnderTraffic(seed, suspicionTimeoutMs)
  for (let k = 0; k < 10; k++) {
    const host = fleet.leaderOf('g1')
    if (host) {
      const index = fleet.instanceHosts.indexOf(host)
      if (kind === 'reset') fleet.sim.reset(host.proc)
      else {
        fleet.killInstance(index)
        await wait(fleet, 50 + 350 * fleet.sim.random())
        fleet.startInstanceAt(index)
      }
    }
    await wait(fleet, 4000)
  }
  return fleet.promotions.length
}

/**
 * Prints how long each step of an unplanned replacement takes under traffic, and how often a leader is replaced that
 * only restarts or whose connections are only reset.
 */
export async function measureSteps(seeds: number, print: (line: string) => void): Promise<void> {
  print('| leader | stop recorded, ms | all stopped | called | steady | write served | most until served |')
  print('|---|---|---|---|---|---|---|')
  for (const [name, injectFault] of FAULTS) {
    const runs: ReplacementSteps[] = []
    for (let seed = 1; seed <= seeds; seed++) {
      const fleet = await startUnderTraffic(seed)
      function inject(): void {
        injectFault(fleet)
      }
      runs.push(await measureReplacement(fleet, inject))
    }
    const cells: number[] = []
    for (const key of ['stop', 'promote', 'called', 'steady', 'served'] as const) {
      const values: number[] = []
      for (const steps of runs) values.push(steps[key])
      cells.push(median(values))
    }
    print(`| ${name} | ${cells.join(' | ')} | ${Math.max(...runs.map(servedOf))} |`)
  }
  function servedOf(steps: ReplacementSteps): number {
    return steps.served
  }
  // The suspicion timeout at its default, and at half of the timeout for a failure that several nodes report.
  for (const suspicionTimeoutMs of [undefined, CONFIRMED_SUSPICION_TIMEOUT_MS / 2]) {
    for (const kind of ['restart', 'reset'] as const) {
      let promotions = 0
      for (let seed = 1; seed <= seeds; seed++) promotions += await countPromotions(seed, kind, suspicionTimeoutMs)
      print(`${kind}, suspicion ${suspicionTimeoutMs ?? 'as it is'}: ${promotions} promotions in ${10 * seeds}`)
    }
  }
}
