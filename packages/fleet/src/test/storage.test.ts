import t, { type Test } from 'tap'
import {
  makeHello,
  makePersistentLink,
  makeFlag,
  pause,
  readAs,
  MAX_VOTERS,
  type Address,
  type World,
} from '@claynotch/base'
import { LeaseRenewalAnswer, type RegisterSummary, type RegisterOutcome, type RegisterValue } from '@claynotch/register'
import { idOf, makeClient, makeCoreFleet, type CoreFleet } from '../corefleet.js'

t.setTimeout(600000)

// Who votes holds what it voted, or never voted: docs/design/control-safety.md, 3.5.
const SEEDS = [0, 1, 2]
// A ballot far above all that proposers use here.
const HIGH = 1_000_000

async function founded(fleet: CoreFleet): Promise<boolean> {
  for (let count = 0; count < 5; count++) fleet.add(SEEDS, true)
  function allVote(): boolean {
    return fleet.settled() && fleet.voters().length === 5
  }
  return await fleet.sim.until(allVote, 10000)
}
// Runs one task on a machine of its own to its end.
let tasks = 0
async function task<T>(fleet: CoreFleet, run: (world: World) => Promise<T>): Promise<T | undefined> {
  const name = `task${++tasks}`
  let out: T | undefined
  let over = false
  async function start(world: World): Promise<void> {
    out = await run(world)
    over = true
  }
  fleet.sim.spawn(fleet.sim.machine(name, `10.0.4.${tasks}`), name, start)
  function isOver(): boolean {
    return over
  }
  await fleet.sim.until(isOver, 30000)
  return out
}
function write(fleet: CoreFleet, text: string): Promise<RegisterOutcome | undefined> {
  const set = fleet.latest()
  async function run(world: World): Promise<RegisterOutcome> {
    const proposer = await makeClient(world, `writer${tasks}`, set, seedsNow, false)
    function edit(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
      return now?.tag === text ? undefined : { body: text, tag: text }
    }
    return await proposer.change('k', edit, 20000)
  }
  function seedsNow(): Address[] {
    return []
  }
  return task(fleet, run)
}
function read(fleet: CoreFleet): Promise<unknown> {
  const set = fleet.latest()
  async function run(world: World): Promise<unknown> {
    const proposer = await makeClient(world, `reader${tasks}`, set, seedsNow, false)
    const got = await proposer.read('k', 20000)
    return got.done ? got.value?.body : 'unclear'
  }
  function seedsNow(): Address[] {
    return []
  }
  return task(fleet, run)
}
// One voter alone accepts a value, as in a round whose proposer died between two accepts.
function acceptAlone(fleet: CoreFleet, k: number, text: string): Promise<boolean | undefined> {
  const { epoch } = fleet.latest()
  function nothing(): undefined {
    return undefined
  }
  async function run(world: World): Promise<boolean> {
    const link = makePersistentLink(world, `${idOf(k)}:7000`, makeHello('test', 'lost'), nothing, makeFlag())
    await pause(world, 500)
    const ballot = [HIGH, 'lost']
    await link.ask({ t: 'prepare', epoch, key: 'k', ballot }, 500)
    const value = { turn: 9, tag: text, body: text }
    const got = (await link.ask({ t: 'accept', epoch, key: 'k', ballot, value }, 500)) as { ok?: boolean } | undefined
    return got?.ok === true
  }
  return task(fleet, run)
}

// A core accepted a value that was never chosen, and was removed. It joins again: what it held then must not come back.
async function oldVotes(c: Test): Promise<void> {
  const fleet = makeCoreFleet(1, MAX_VOTERS)
  c.ok(await founded(fleet))
  c.ok((await write(fleet, 'first'))?.done)
  c.ok(await acceptAlone(fleet, 0, 'never chosen'), 'one core accepts what is never chosen')
  fleet.kill(0)
  fleet.boxes[0].gone = true
  fleet.add([1, 2], false)
  function replaced(): boolean {
    return fleet.settled() && !fleet.voters().includes(0)
  }
  c.ok(await fleet.sim.until(replaced, 20000), 'another machine takes its place')
  c.ok((await write(fleet, 'second'))?.done)
  fleet.start(0, [1, 2])
  fleet.boxes[0].gone = false
  function six(): boolean {
    return fleet.settled() && fleet.voters().length === 6 && fleet.voters().includes(0)
  }
  c.ok(await fleet.sim.until(six, 20000), 'it joins again, with its disk')
  // Four of six are left, the one that joined again among them: each quorum needs it.
  for (const k of [1, 2]) fleet.kill(k)
  c.equal(await read(fleet), 'second', 'what was chosen is read')
  c.strictSame(fleet.faults, [])
}

// A voter that lost its disk votes only after its refill, whatever set it finds itself in.
async function emptied(c: Test): Promise<void> {
  const fleet = makeCoreFleet(2, MAX_VOTERS)
  c.ok(await founded(fleet))
  const victim = 4
  c.ok((await write(fleet, 'first'))?.done)
  fleet.kill(victim, 'lost')
  await fleet.sim.run(fleet.sim.now() + 500)
  fleet.start(victim, [1, 2])
  function votes(): boolean {
    return fleet.boxes[victim].run?.core.serving() === true
  }
  c.ok(await fleet.sim.until(votes, 10000))
  c.equal(fleet.boxes[victim].run?.core.store.entries().get('k')?.value?.body, 'first', 'it holds all when it votes')
}

// A core that is writing a value tells its ballot as pending, and as accepted once it is synced.
async function pendingLine(c: Test): Promise<void> {
  const fleet = makeCoreFleet(3, MAX_VOTERS)
  c.ok(await founded(fleet))
  const { epoch } = fleet.latest()
  const SLOW = 300
  fleet.boxes[0].machine.slow = SLOW
  function nothing(): undefined {
    return undefined
  }
  async function run(world: World): Promise<(boolean | undefined)[]> {
    const link = makePersistentLink(world, `${idOf(0)}:7000`, makeHello('test', 'probe'), nothing, makeFlag())
    await pause(world, 500)
    const self = { area: 'a', addr: '10.0.4.1:1', operator: '', build: '', proxy: false }
    const counts = { core: '', count: 0, acks: [], sights: [], open: 0, highs: [], remembers: true }
    async function isPending(): Promise<boolean | undefined> {
      const got = await link.ask({ t: 'renew', epoch, node: 'probe', life: 'one', self, ...counts }, 500)
      const { keys } = readAs(LeaseRenewalAnswer, got).unwrap()
      return keys?.find(isIt)?.pending
    }
    function isIt(line: RegisterSummary): boolean {
      return line.key === 'new'
    }
    const value = { turn: 1, tag: 'new', body: 'new' }
    const accepted = link.ask({ t: 'accept', epoch, key: 'new', ballot: [HIGH, 'probe'], value }, 5000)
    await pause(world, 20)
    const during = await isPending()
    await accepted
    return [during, await isPending()]
  }
  c.strictSame(await task(fleet, run), [true, undefined])
}

void t.test('a write that is not synced is told as such', pendingLine)
void t.test('what a removed core held does not come back with it', oldVotes)
void t.test('an emptied voter is refilled before it votes', emptied)
