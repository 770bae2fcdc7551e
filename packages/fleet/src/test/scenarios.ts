import t, { type Test } from 'tap'
import { runScenario, scenarios } from '../index.js'

// The seeds of every sitting; `npm run sweep` runs many more.
const SEEDS = [1, 6, 8]
export const PARTS = 8

// One eighth of the scenarios, so that eight files run beside each other.
export function runPart(part: number): void {
  t.setTimeout(600000)
  for (const [k, s] of scenarios.entries()) {
    if (k % PARTS !== part) continue
    async function test(c: Test): Promise<void> {
      for (const seed of s.long === true ? SEEDS.slice(0, 2) : SEEDS) {
        const o = await runScenario(s, seed)
        c.ok(o.began, `seed ${seed}: the fleet began`)
        c.strictSame(o.judgement.breaches, [], `seed ${seed}: no never-rule broken`)
        c.strictSame(o.faults, [], `seed ${seed}: no fault in a task`)
        c.ok(
          o.judgement.checked.done > 50 && (s.reads === false || o.judgement.checked.reads > 50),
          `seed ${seed}: there was traffic to check`,
        )
      }
    }
    void t.test(`${s.name}: ${s.rule}`, { timeout: 600000 }, test)
  }
}
