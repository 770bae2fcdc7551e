import { readFileSync } from 'node:fs'
import t, { type Test } from 'tap'
import type { World } from '@claynotch/base'
import { makeRegisterStore } from '@claynotch/register'
import { makeSim } from '../sim.js'
import { task } from './beside.js'

// A core's data file that the version before the renaming wrote, read by this one: an intent and a founding, a value told whole
// and two told as deltas, a group's record, a promise without a value, and a joint set with a token.
// fixtures/register-before-renaming.bin was made by the sources of commit a59491d.

const FIXTURE = new URL('../../src/test/fixtures/register-before-renaming.bin', import.meta.url)

async function readsOldFile(c: Test): Promise<void> {
  const sim = makeSim(1)
  const machine = sim.machine('core', '10.0.0.1')
  machine.files.set('/d/register', readFileSync(FIXTURE))
  async function run(world: World): Promise<void> {
    const store = makeRegisterStore(world, '/d/register')
    c.strictSame(await store.open(), [], 'nothing is wrong with it')
    c.equal(store.phase(), 'founded')
    c.equal(store.token(), 'mine')
    c.equal(store.set().epoch, 2)
    c.strictSame(store.cores(), ['10.0.0.1', '10.0.0.2', '10.0.0.3'])
    c.equal(store.set().next?.length, 4, 'the set that it is to become')
    const entries = store.entries()
    const configuration = entries.get('config')
    c.strictSame(configuration?.ballot, [4, 'a'])
    c.equal(configuration?.value?.turn, 3)
    c.equal(configuration?.value?.tag, 'a~3')
    const body = configuration?.value?.body as { epoch: number; config: { lanes: { name: string }[] } }
    c.equal(body.epoch, 4)
    c.strictSame([body.config.lanes[0].name, body.config.lanes[1].name], ['bookings', 'calendar'])
    c.equal((entries.get('group/g1')?.value?.body as { leader?: string }).leader, 'i1')
    c.strictSame(entries.get('slots')?.promise, [9, 'c'], 'a promise without a value')
    c.equal(entries.get('slots')?.value, undefined)
    c.equal(store.highestNumber(), 9)
    // And it is written on in the same form.
    c.strictSame(await store.prepare('config', [5, 'z']), { ok: true, ballot: [4, 'a'], value: configuration?.value })
    const again = makeRegisterStore(world, '/d/register')
    c.strictSame(await again.open(), [])
    c.strictSame(again.entries().get('config')?.promise, [5, 'z'])
  }
  await task(sim, machine, run)
}

void t.test('a data file of the version before is read, and written on', readsOldFile)
