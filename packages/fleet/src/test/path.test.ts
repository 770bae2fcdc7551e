import t, { type Test } from 'tap'
import { makeSimFleet, smallShape } from '../index.js'

// The whole path, in the simulator: cores found themselves, agents discover them, instances become known,
// one configuration is taken and carried to all, and traffic is served.
async function serves(c: Test): Promise<void> {
  const f = makeSimFleet(1, smallShape())
  c.ok(await f.begin(), 'founded, configured, each proxy serves')
  f.startTraffic()
  await f.sim.run(f.sim.now() + 8000)
  await f.quiet()
  const got = f.judge()
  c.strictSame(got.breaches, [])
  c.ok(got.checked.done > 100 && got.checked.reads > 100, 'traffic was served')
  let bad = 0
  for (const e of f.events) if (e.outcome !== 'done' && e.class !== 'ROLLED_BACK') bad++
  c.equal(bad, 0, 'without a failure nothing fails')
}

async function runOnce(): Promise<string> {
  const f = makeSimFleet(7, smallShape(), { keepLines: true })
  await f.begin()
  f.startTraffic()
  await f.sim.run(f.sim.now() + 3000)
  return `${f.sim.eventCount()} ${f.events.length} ${f.sim.lines.join('\n')}`
}
async function repeats(c: Test): Promise<void> {
  c.equal(await runOnce(), await runOnce())
}

void t.test('a small fleet serves its traffic and breaks no rule', serves)
void t.test('one seed gives one run, to the line', repeats)
