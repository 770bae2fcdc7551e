/**
 * Power lost everywhere while disks are lost: POWER_SEEDS many seeds from POWER_SEED on.
 */
import t, { type Test } from 'tap'
import { MOMENTS, runPowerLoss } from '../control/power-loss.js'

t.setTimeout(3600000)

const SEEDS = Number(process.env['POWER_SEEDS'] ?? 16)
const FIRST_SEED = Number(process.env['POWER_SEED'] ?? 1)

async function keepsAcknowledged(c: Test): Promise<void> {
  const lost = new Map<string, number>()
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const { moment, cores, lostDisks, verdict } = await runPowerLoss(seed)
    c.strictSame(verdict.violations, [], `seed ${seed}: ${cores} cores, ${lostDisks} disks lost, ${moment}`)
    lost.set(moment, (lost.get(moment) ?? 0) + lostDisks)
  }
  for (const moment of MOMENTS) c.ok((lost.get(moment) ?? 0) > 0, `${moment}: ${lost.get(moment) ?? 0} disks lost`)
}

void t.test('what was acknowledged outlives a loss of power everywhere with disks lost', keepsAcknowledged)
