import t, { type Test } from 'tap'
import { LEASE_RENEWAL_INTERVAL_MS, VOTER_RECENCY_MS } from '@claynotch/base'
import { quorumOf, type CoreSet } from '@claynotch/register'
import { makeVoterRotation, type VoterCandidate } from '@claynotch/agent/dist/voter-rotation.js'
import { makeSim } from '../sim.js'
import { task } from './beside.js'

// Which voters a renewal asks first: a quorum at least, each voter every second round, everyone where too few are there.

function setOf(count: number): CoreSet {
  const cores = []
  for (let k = 1; k <= count; k++) cores.push({ id: `c${k}`, addr: `10.0.1.${k}:7000` as const })
  return { epoch: 1, cores }
}
function candidatesOf(set: CoreSet, now: number, pinned: string[], silent: string[]): VoterCandidate[] {
  const out: VoterCandidate[] = []
  for (const { id } of set.cores) {
    const isSilent = silent.includes(id)
    out.push({ id, isUp: true, heard: isSilent ? now - VOTER_RECENCY_MS - 1 : now, isPinned: pinned.includes(id) })
  }
  return out
}

async function rotates(c: Test): Promise<void> {
  const sim = makeSim(1)
  await task(sim, sim.machine('m', '10.0.6.1'), run)
  async function run(world: Parameters<typeof makeVoterRotation>[0]): Promise<void> {
    for (const count of [1, 2, 3, 4, 5, 7, 9])
      for (let node = 0; node < 20; node++) {
        const set = setOf(count)
        const quorum = quorumOf(set)
        const rotation = makeVoterRotation(world, `front${node}`)
        const pinned = count > 2 ? ['c1', 'c2'] : []
        let before: Set<string> | undefined
        let asked = 0
        for (let round = 0; round < 10; round++) {
          const chosen = rotation.choose(candidatesOf(set, world.now(), pinned, []), quorum)
          asked += chosen.size
          c.ok(quorum.met(chosen), `${count} voters: a quorum is asked`)
          for (const id of pinned)
            c.ok(chosen.has(id), `${count} voters: those tied to the node are asked in each round`)
          for (const { id } of set.cores)
            if (before) c.ok(chosen.has(id) || before.has(id), `${count} voters: each is asked every second round`)
          before = chosen
        }
        if (count === 9) c.ok(asked <= 60, `${asked} of 90 voters are asked in ten rounds`)
      }
  }
  c.end()
}

async function fillsUp(c: Test): Promise<void> {
  const sim = makeSim(1)
  await task(sim, sim.machine('m', '10.0.6.1'), run)
  async function run(world: Parameters<typeof makeVoterRotation>[0]): Promise<void> {
    const set = setOf(9)
    const quorum = quorumOf(set)
    const silent = ['c1', 'c4', 'c5', 'c9']
    const rotation = makeVoterRotation(world, 'front1')
    for (let round = 0; round < 4; round++) {
      const chosen = rotation.choose(candidatesOf(set, world.now(), ['c1', 'c2'], silent), quorum)
      const there = new Set([...chosen].filter(isThere))
      c.ok(quorum.met(there), 'those that were heard of late are a quorum')
    }
    const tooFew = rotation.choose(candidatesOf(set, world.now(), [], [...silent, 'c2']), quorum)
    c.equal(tooFew.size, 9, 'where they can be none, everyone is asked')
    const joint: CoreSet = { ...set, next: setOf(3).cores }
    for (let round = 0; round < 4; round++)
      c.ok(
        quorumOf(joint).met(rotation.choose(candidatesOf(joint, world.now(), [], []), quorumOf(joint))),
        'of both halves',
      )
    function isThere(id: string): boolean {
      return !silent.includes(id)
    }
  }
  c.end()
}

function keepsRecency(c: Test): void {
  c.ok(
    VOTER_RECENCY_MS > 3 * LEASE_RENEWAL_INTERVAL_MS,
    'a voter asked every second round, one answer lost, counts as heard',
  )
  c.end()
}

void t.test('voters are asked in turn', rotates)
void t.test('more are asked where some are silent', fillsUp)
void t.test('the time after which one counts as silent', keepsRecency)
