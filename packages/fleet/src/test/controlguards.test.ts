/**
 * Guards of control of which random histories had not shown that they are needed, each with a schedule that breaks the rules
 * without it (tools/mutants.list.js names the mutant of each).
 */
import t, { type Test } from 'tap'
import { startCoreSetDuty } from '@claynotch/agent/dist/core-set-duty.js'
import { makeHello, makePersistentLink, makeFlag, noop, pause, type PersistentLink, type World } from '@claynotch/base'
import {
  makeProposer,
  quorumOf,
  startCore,
  type Core,
  type CoreMember,
  type CoreSet,
  type Proposer,
  type Quorum,
  type Voter,
} from '@claynotch/register'
import { httpAddressOf, type CoreHost } from '../control/fleet.js'
import { makeRun, playSchedule, type Action, type Run } from '../controlmodel.js'
import { makeSim, type Proc, type Sim } from '../sim.js'

t.setTimeout(600000)

const ALL_OTHERS = 2 ** 16 - 1

// --- a newcomer's doubt about leases ---

/**
 * Two voters are cut off, two fresh machines join, and the two come back and join again, their processes as old as ever. A front
 * that the fresh ones never heard renewed its lease at the other three just before, and freezes. Without doubt the two that came
 * back and the two fresh ones are a quorum of the new set, all of them sure, and know nothing of that lease.
 */
async function doubt(c: Test): Promise<void> {
  for (const freezeAfter of [3600, 4400, 5200]) {
    const actions: Action[] = [
      { wait: 3500, kind: 'cut', machine: 3, others: ALL_OTHERS, way: 'both', long: 4500 },
      { wait: 0, kind: 'cut', machine: 4, others: ALL_OTHERS, way: 'both', long: 4500 },
      { wait: 50, kind: 'add' },
      { wait: 0, kind: 'add' },
      { wait: 0, kind: 'cut', machine: 5, others: 1, way: 'both', long: 9000 },
      { wait: 0, kind: 'cut', machine: 6, others: 1, way: 'both', long: 9000 },
      { wait: freezeAfter, kind: 'front', fault: 'freeze', long: 2300 },
      { wait: 4000, kind: 'order', machine: 1, stale: false, gap: 1, again: 0 },
    ]
    const got = await playSchedule({ seed: 5, seeds: 3, spares: 2, pad: 0, before: 1, actions })
    c.strictSame(got.violations, [], `the front frozen after ${freezeAfter} ms`)
  }
}

// --- whoever knows only an old set asks the seeds again ---

/** A fresh machine in place of this one, which is not there any more. */
async function replaceOne(run: Run, old: CoreHost): Promise<boolean> {
  const { sim } = run.fleet
  await sim.run(sim.now() + 300)
  run.fleet.add(false)
  function isDone(): boolean {
    const set = run.fleet.latestCoreSet()
    return set.next === undefined && !set.cores.some(isOld)
  }
  function isOld(place: CoreMember): boolean {
    return place.id === old.ip
  }
  if (!(await sim.until(isDone, 30000))) return false
  await sim.run(sim.now() + 1000)
  return true
}
/** The machine that is away is replaced first, and then all others that were there, one after the other. */
async function replaceAll(run: Run, away: CoreHost): Promise<boolean> {
  const { fleet } = run
  const others = fleet.presentHosts()
  if (!(await replaceOne(run, away))) return false
  for (const old of others) {
    if (old === away) continue
    fleet.kill(old, { dark: true })
    old.isRemoved = true
    if (!(await replaceOne(run, old))) return false
  }
  return true
}
/**
 * A core machine without power and a front that is cut off, while every other machine is replaced: nobody of the set that the
 * machine has on its disk, or that the front knows, is there any more. Both are told seeds of today.
 */
async function oldSet(c: Test): Promise<void> {
  const run = makeRun(3, 3, 2, 0)
  const { fleet } = run
  const { sim } = fleet
  c.ok(await run.foundCluster())
  c.ok(await sim.until(fleet.isFullyVoting, 10000), 'all five vote')
  const away = fleet.hosts[2]
  fleet.kill(away, { dark: true })
  fleet.front.machine.dark = true
  c.ok(await replaceAll(run, away), 'all others are replaced')
  const seeds: string[] = []
  for (const box of fleet.presentHosts()) if (box !== away) seeds.push(httpAddressOf(box))
  fleet.front.agent?.apply({ seeds, platform: undefined, operators: undefined })
  fleet.front.machine.dark = false
  fleet.start(away)
  function areBack(): boolean {
    const lease = (fleet.front.agent?.leaseExpiresAt() ?? 0) - fleet.front.machine.clockSkewMs
    return lease > sim.now() && fleet.isFullyVoting()
  }
  c.ok(await sim.until(areBack, 30000), `the front holds a lease and the machine votes: ${run.describeState()}`)
  c.strictSame((await run.finish()).violations, [])
}

// --- the sweep ---

type Bare = { sim: Sim; cores: Map<string, Core>; procs: Map<string, Proc>; places: CoreMember[] }

function placeOf(num: number, token?: string): CoreMember {
  return { id: `10.0.1.${num}`, addr: `10.0.1.${num}:7000`, ...(token === undefined ? {} : { token }) }
}
function noSeeds(): string[] {
  return []
}
/** Cores without agents: nobody reads, hands over or settles anything unless the test says so. The fourth is no founder. */
function makeBare(): Bare {
  const sim = makeSim(41)
  const places = [placeOf(1), placeOf(2), placeOf(3), placeOf(4)]
  const cores = new Map<string, Core>()
  const procs = new Map<string, Proc>()
  for (const [k, { id, addr }] of places.entries()) {
    async function run(world: World): Promise<void> {
      const founders = k < 3 ? { founders: places.slice(0, 3) } : {}
      cores.set(id, await startCore(world, { id, addr, data: '/d', seeds: noSeeds, ...founders }))
    }
    procs.set(id, sim.spawn(sim.machine(id, id), id, run))
  }
  return { sim, cores, procs, places }
}
type Client = { asks: Map<string, PersistentLink>; proposer: (set: CoreSet, ids: string[]) => Proposer }
async function makeClient(bare: Bare): Promise<Client> {
  const asks = new Map<string, PersistentLink>()
  let world: World | undefined
  async function run(mine: World): Promise<void> {
    world = mine
    for (const { id, addr } of bare.places)
      asks.set(id, makePersistentLink(mine, addr, makeHello('test', 'client'), noop as never, makeFlag()))
    await pause(mine, 1)
  }
  bare.sim.spawn(bare.sim.machine('client', '10.0.3.1'), 'client', run)
  await bare.sim.run(bare.sim.now() + 3000)
  function proposer(set: CoreSet, ids: string[]): Proposer {
    function voters(): Voter[] {
      const out: Voter[] = []
      for (const id of ids) out.push({ id, ask: asks.get(id)!.ask, tell: asks.get(id)!.tell })
      return out
    }
    function quorum(): Quorum {
      return quorumOf(set)
    }
    return makeProposer(world!, 'client', voters, quorum)
  }
  return { asks, proposer }
}
/** What the single set reads of a value that was chosen under the first one by the voter that goes and one that then dies. */
async function readAfterChange(isSwept: boolean): Promise<unknown> {
  const bare = makeBare()
  const { sim, cores, procs } = bare
  const client = await makeClient(bare)
  async function settle(): Promise<void> {
    await sim.run(sim.now() + 400)
  }
  async function tell(set: CoreSet): Promise<void> {
    for (const held of client.asks.values()) held.tell({ t: 'set', set })
    await settle()
  }
  async function drive<T>(what: Promise<T>): Promise<T | undefined> {
    let got: T | undefined
    let done = false
    async function wait(): Promise<void> {
      got = await what
      done = true
    }
    void wait()
    function isDone(): boolean {
      return done
    }
    await sim.until(isDone, 10000)
    return got
  }
  const [a, b, gone] = bare.places
  const old = [a, b, gone]
  await tell({ epoch: 1, cores: old })
  const newcomer = cores.get('10.0.1.4')!.place()
  const value = { turn: 1, tag: 'w', body: 'chosen' }
  for (const { id } of [a, gone]) {
    const asked = client.asks.get(id)!
    await drive(asked.ask({ t: 'prepare', epoch: 1, key: 'k', ballot: [1, 'w'] }, 500))
    await drive(asked.ask({ t: 'accept', epoch: 1, key: 'k', ballot: [1, 'w'], value }, 500))
  }
  sim.kill(procs.get(gone.id)!)
  const next = [a, b, newcomer]
  const joint: CoreSet = { epoch: 2, cores: old, next }
  await tell(joint)
  if (isSwept) await drive(client.proposer(joint, [a.id, b.id, newcomer.id]).look('k'))
  const single: CoreSet = { epoch: 3, cores: next }
  await tell(single)
  sim.kill(procs.get(a.id)!)
  await settle()
  const got = await drive(client.proposer(single, [b.id, newcomer.id]).read('k', 3000))
  return got?.done ? (got.value?.body ?? 'nothing') : 'no majority'
}
/** Why the sweep is there: without it the single set has lost the value, with it not. */
async function sweepNeeded(c: Test): Promise<void> {
  c.equal(await readAfterChange(false), 'nothing', 'without a sweep a chosen value is lost')
  c.equal(await readAfterChange(true), 'chosen', 'with it the value is there')
}

/** The duty ends a joint set only after every register that a quorum names was read under it. */
async function sweepDone(c: Test): Promise<void> {
  const sim = makeSim(42)
  const [a, b, gone, newcomer] = [placeOf(1), placeOf(2), placeOf(3), placeOf(4, 'token')]
  const set: CoreSet = { epoch: 1, cores: [a, b, gone], next: [a, b, newcomer] }
  const looked: string[] = []
  let proposals = 0
  let isReadable = false
  async function run(world: World): Promise<void> {
    function makeAsk(id: string) {
      async function ask(msg: unknown): Promise<unknown> {
        if (id === gone.id) return undefined
        if ((msg as { t: string }).t === 'keys') return { ok: true, keys: id === a.id ? ['k1', 'k2'] : ['k3'], top: 1 }
        return { t: 'state', id, phase: 'founded', serving: true, cores: [], set, hears: [] }
      }
      return ask
    }
    function core(id: string) {
      return { held: { ask: makeAsk(id), tell: noop } as never, heard: world.now() }
    }
    async function look(key: string): Promise<unknown> {
      looked.push(key)
      return { done: key !== 'k2' || isReadable, value: undefined, ballot: [0, ''] }
    }
    async function change(): Promise<unknown> {
      proposals++
      return { done: false, why: 'test' }
    }
    function forever(): number {
      return Infinity
    }
    function live(): string[] {
      return ['n']
    }
    function coreSet(): { set: CoreSet; since: number } {
      return { set, since: 0 }
    }
    startCoreSetDuty(
      world,
      {
        node: 'n',
        proposer: { change, look } as never,
        leaseExpiresAt: forever,
        live,
        learn: noop,
        coreSet,
        core,
        spares: noSeeds as never,
        mostVoters: 9,
      },
      makeFlag(),
    )
  }
  sim.spawn(sim.machine('n', '10.0.0.1'), 'n', run)
  await sim.run(sim.now() + 3000)
  c.ok(looked.includes('k1') && looked.includes('k2') && looked.includes('k3'), 'every register named is read')
  c.equal(proposals, 0, 'nothing is proposed while one of them could not be read')
  isReadable = true
  await sim.run(sim.now() + 1500)
  c.ok(proposals > 0, 'and then it is')
}

void t.test('a newcomer doubts what it knows of leases', doubt)
void t.test('whoever knows only an old set asks the seeds again', oldSet)
void t.test('the sweep is needed', sweepNeeded)
void t.test('a joint set ends only after the sweep', sweepDone)
