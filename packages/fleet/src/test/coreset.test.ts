import t, { type Test } from 'tap'
import { startCoreMachine, startFrontAgent, type CoreMachine } from '@claynotch/claynotch'
import type { Agent } from '@claynotch/agent'
import {
  makeHello,
  makePersistentLink,
  makeFlag,
  pause,
  REFILL_DELAY_MS,
  type Address,
  type World,
} from '@claynotch/base'
import {
  makeProposer,
  quorumOf,
  type CoreMember,
  type Quorum,
  type RegisterValue,
  type Voter,
} from '@claynotch/register'
import { makeSim, type Machine, type Proc, type Sim } from '../sim.js'

t.setTimeout(600000)

// Core machines that are told seeds alone, as on the users' platform.
type Box = { machine: Machine; proc: Proc; run: CoreMachine | undefined; http: Address }
type Set = {
  sim: Sim
  boxes: Box[]
  start: (k: number, first: boolean, seeds?: number[]) => void
  front: (seeds: number[], first: boolean) => () => Agent | undefined
  // Loss of power, or of power and disk.
  stop: (k: number, disk?: 'lost') => void
  states: () => string[]
  votes: () => number[]
  // One change of a register by a proposer of its own; its result's body, once there is one.
  put: (text: string) => () => string[] | undefined
}
const FIRST = [0, 1, 2]
const ALL = [0, 1, 2, 3, 4]

function ignore(): undefined {
  return undefined
}
function placeOf(k: number): CoreMember {
  return { id: `10.0.1.${k + 1}`, addr: `10.0.1.${k + 1}:7000` }
}
function makeSet(seed: number): Set {
  const sim = makeSim(seed, { keepLines: true })
  const boxes: Box[] = []
  let fronts = 0
  for (let k = 0; k < 5; k++)
    boxes.push({
      machine: sim.machine(`core${k}`, `10.0.1.${k + 1}`),
      proc: undefined as never,
      run: undefined,
      http: `10.0.1.${k + 1}:8000`,
    })
  function seedsOf(list: number[]): Address[] {
    const out: Address[] = []
    for (const k of list) out.push(boxes[k].http)
    return out
  }
  function start(k: number, first: boolean, seeds = FIRST): void {
    const b = boxes[k]
    const ip = `10.0.1.${k + 1}`
    async function run(world: World): Promise<void> {
      b.run = await startCoreMachine(world, {
        node: `core${k}`,
        area: 'a',
        link: `${ip}:7000`,
        peer: `${ip}:7002`,
        http: b.http,
        seeds: seedsOf(seeds),
        first,
        data: '/d',
        mostVoters: 3,
      })
    }
    b.run = undefined
    b.proc = sim.spawn(b.machine, `core${k}`, run)
  }
  function front(seeds: number[], first: boolean): () => Agent | undefined {
    const ip = `10.0.2.${++fronts}`
    let out: Agent | undefined
    async function run(world: World): Promise<void> {
      out = await startFrontAgent(world, {
        node: `front${fronts}`,
        area: 'a',
        link: '127.0.0.1:7001',
        peer: `${ip}:7002`,
        corePort: 7000,
        seeds: seedsOf(seeds),
        first,
      })
    }
    sim.spawn(sim.machine(`front${fronts}`, ip), `front${fronts}`, run)
    function get(): Agent | undefined {
      return out
    }
    return get
  }
  function stop(k: number, disk?: 'lost'): void {
    if (boxes[k].proc) sim.kill(boxes[k].proc)
    boxes[k].run = undefined
    if (disk) boxes[k].machine.files.clear()
  }
  function states(): string[] {
    const out: string[] = []
    for (const b of boxes) out.push(b.run?.core.state() ?? 'down')
    return out
  }
  function votes(): number[] {
    const out: number[] = []
    for (const [k, b] of boxes.entries()) if (b.run?.core.serving()) out.push(k)
    return out
  }
  let writers = 0
  function put(text: string): () => string[] | undefined {
    let out: string[] | undefined
    const ip = `10.0.3.${++writers}`
    async function run(world: World): Promise<void> {
      const list: Voter[] = []
      for (const k of FIRST) {
        const held = makePersistentLink(world, `10.0.1.${k + 1}:7000`, makeHello('test', ip), ignore, makeFlag())
        list.push({ id: `10.0.1.${k + 1}`, ask: held.ask, tell: held.tell })
      }
      function voters(): Voter[] {
        return list
      }
      function quorum(): Quorum {
        return quorumOf({ epoch: 0, cores: FIRST.map(placeOf) })
      }
      function edit(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
        const old = (now?.body ?? []) as string[]
        return old.includes(text) ? undefined : { body: [...old, text], tag: text }
      }
      const proposer = makeProposer(world, ip, voters, quorum)
      await pause(world, 500)
      const got = await proposer.change('list', edit, 20000)
      if (got.done) out = got.value?.body as string[]
    }
    sim.spawn(sim.machine(`writer${writers}`, ip), `writer${writers}`, run)
    function get(): string[] | undefined {
      return out
    }
    return get
  }
  return { sim, boxes, start, front, stop, states, votes, put }
}
async function founded(s: Set): Promise<boolean> {
  for (const k of ALL) s.start(k, true)
  return await s.sim.until(allVote, 10000)
  function allVote(): boolean {
    return s.votes().join() === '0,1,2'
  }
}
async function write(s: Set, text: string): Promise<string[] | undefined> {
  const got = s.put(text)
  function done(): boolean {
    return got() !== undefined
  }
  await s.sim.until(done, 25000)
  return got()
}

// Three seeds of five: exactly those vote, every agent gets a term, and the others know the set.
async function firstStart(c: Test): Promise<void> {
  for (const seed of [1, 2, 3]) {
    const s = makeSet(seed)
    const front = s.front(FIRST, true)
    const from = s.sim.now()
    c.ok(await founded(s), `seed ${seed}: founded`)
    c.ok(s.sim.now() - from < 2000, `seed ${seed}: in ${Math.round(s.sim.now() - from)} ms`)
    c.strictSame(s.states(), ['serving', 'serving', 'serving', 'aside', 'aside'])
    function terms(): boolean {
      for (const b of s.boxes) if ((b.run?.agent.leaseExpiresAt() ?? 0) === 0) return false
      return (front()?.leaseExpiresAt() ?? 0) > 0
    }
    c.ok(await s.sim.until(terms, 5000), `seed ${seed}: all agents hold terms`)
    c.strictSame(await write(s, 'a'), ['a'], `seed ${seed}: a change is taken`)
  }
}

// One of the three is killed at some time of the founding and comes back without the first-start word, with or without its
// disk: one set, of the same three, and nothing that was taken is lost.
async function killedInFounding(c: Test): Promise<void> {
  for (const disk of ['kept', 'lost'] as const) {
    for (let after = 0; after <= 900; after += 60) {
      const s = makeSet(after + 7)
      for (const k of ALL) s.start(k, true)
      await s.sim.run(s.sim.now() + after)
      s.stop(1, disk === 'lost' ? 'lost' : undefined)
      const early = s.put('early')
      await s.sim.run(s.sim.now() + 700)
      s.start(1, false, [2, 3, 4])
      function allVote(): boolean {
        return s.votes().join() === '0,1,2'
      }
      const ok = await s.sim.until(allVote, 15000)
      if (!ok) c.fail(`killed after ${after} ms, disk ${disk}: ${s.states().join()}`)
      const list = await write(s, 'late')
      if (!list?.includes('late') || (early() !== undefined && !list.includes('early')))
        c.fail(`killed after ${after} ms, disk ${disk}: the list is ${list?.join()}, early told ${early()?.join()}`)
    }
    c.pass(`disk ${disk}`)
  }
}

// A voter that lost its disk is refilled before it votes; the change it took part in is there.
async function lostDisk(c: Test): Promise<void> {
  const s = makeSet(4)
  c.ok(await founded(s))
  c.strictSame(await write(s, 'a'), ['a'])
  s.stop(2, 'lost')
  c.strictSame(await write(s, 'b'), ['a', 'b'], 'two of three go on')
  const from = s.sim.now()
  s.start(2, false, [4, 3, 0])
  function back(): boolean {
    return s.votes().join() === '0,1,2'
  }
  c.ok(await s.sim.until(back, 15000), 'it votes again')
  c.ok(s.sim.now() - from >= REFILL_DELAY_MS, 'and not before what its lost life promised is void')
  c.strictSame(s.boxes[2].run?.core.store.entries().get('list')?.value?.body, ['a', 'b'], 'with what was taken')
  c.ok(s.sim.lines.some(isRefill))
  // The other two may now lose one of them.
  s.stop(0)
  c.strictSame(await write(s, 'c'), ['a', 'b', 'c'])
}
function isRefill(line: string): boolean {
  return line.includes('event=core-refilled')
}

// Without the first-start word nothing is founded, alone or together, whoever the seeds are.
async function neverFounds(c: Test): Promise<void> {
  const alone = makeSet(5)
  alone.start(0, false, [0])
  await alone.sim.run(alone.sim.now() + 30000)
  c.strictSame(alone.states()[0], 'looking')
  c.equal(alone.boxes[0].run?.core.store.phase(), 'none')
  const all = makeSet(6)
  for (const k of ALL) all.start(k, false)
  await all.sim.run(all.sim.now() + 30000)
  c.strictSame(all.votes(), [], 'five with empty disks')
  // One that is told a set of itself alone has lost it, not begun it.
  const told = makeSet(7)
  told.start(0, true, [0])
  function one(): boolean {
    return told.votes().length === 1
  }
  c.ok(await told.sim.until(one, 5000), 'a set of one')
  told.start(3, false, [0])
  function knows(): boolean {
    return told.states()[3] === 'aside'
  }
  c.ok(await told.sim.until(knows, 5000))
  told.stop(0, 'lost')
  told.start(0, false, [3])
  await told.sim.run(told.sim.now() + 20000)
  c.strictSame(told.votes(), [], 'a set of one that lost its disk is told by another, and not founded again')
  // Two of three that lost their disks can't make a set with the third.
  const two = makeSet(8)
  c.ok(await founded(two))
  await write(two, 'a')
  for (const k of ALL) two.stop(k, k < 2 ? 'lost' : undefined)
  for (const k of ALL) two.start(k, false, [2, 3, 4])
  await two.sim.run(two.sim.now() + 30000)
  c.strictSame(two.votes(), [2], 'two lost of three')
}

// Seeds of another day: machines that are not of the set, one of them just come; fronts find the set all the same.
async function otherSeeds(c: Test): Promise<void> {
  const s = makeSet(9)
  c.ok(await founded(s))
  await write(s, 'a')
  s.stop(4, 'lost')
  s.start(4, false, [3, 4])
  const front = s.front([4, 3], false)
  function found(): boolean {
    return s.states()[4] === 'aside' && (front()?.leaseExpiresAt() ?? 0) > 0
  }
  c.ok(await s.sim.until(found, 10000), s.states().join())
  // Seeds that are all down at first and change while it looks.
  const late = s.front([], false)
  await s.sim.run(s.sim.now() + 3000)
  c.equal(late()?.leaseExpiresAt(), 0, 'nobody to ask')
  late()?.apply({ seeds: [s.boxes[3].http], platform: undefined, operators: undefined })
  function termed(): boolean {
    return (late()?.leaseExpiresAt() ?? 0) > 0
  }
  c.ok(await s.sim.until(termed, 5000), 'new seeds are asked')
}

// Power is lost everywhere in the middle of changes, in every other run with one voter's disk; all come back with seeds
// that don't vote.
async function powerLoss(c: Test): Promise<void> {
  for (const seed of [11, 12, 13, 14, 15, 16]) {
    const s = makeSet(seed)
    c.ok(await founded(s))
    c.strictSame(await write(s, 'a'), ['a'])
    const under = s.put('b')
    await s.sim.run(s.sim.now() + 480 + seed * 10)
    for (const k of ALL) s.stop(k, seed % 2 === 0 && k === (seed / 2) % 3 ? 'lost' : undefined)
    const told = under()
    await s.sim.run(s.sim.now() + 500)
    for (const k of ALL) s.start(k, false, [3, 4])
    const front = s.front([4, 3], false)
    function back(): boolean {
      return s.votes().join() === '0,1,2' && (front()?.leaseExpiresAt() ?? 0) > 0
    }
    c.ok(await s.sim.until(back, 10000), `seed ${seed}: ${s.states().join()}`)
    const list = await write(s, 'c')
    c.ok(
      list?.[0] === 'a' && list.includes('c') && (told === undefined || list.includes('b')),
      `seed ${seed}: ${list?.join()}, told ${told?.join()}`,
    )
  }
}

// A disk that holds a set goes before the first-start word.
async function diskWins(c: Test): Promise<void> {
  const s = makeSet(17)
  c.ok(await founded(s))
  await write(s, 'a')
  s.stop(0)
  s.start(0, true, [0, 3, 4])
  function back(): boolean {
    return s.votes().join() === '0,1,2'
  }
  c.ok(await s.sim.until(back, 5000))
  c.strictSame(s.boxes[0].run?.core.store.cores(), ['10.0.1.1', '10.0.1.2', '10.0.1.3'])
  c.strictSame(await write(s, 'b'), ['a', 'b'])
}

void t.test('a first start founds the machines of the seeds', firstStart)
void t.test('one killed in the middle of founding', killedInFounding)
void t.test('a voter without its disk is refilled', lostDisk)
void t.test('without the first-start word nothing is founded', neverFounds)
void t.test('other seeds later', otherSeeds)
void t.test('power lost everywhere', powerLoss)
void t.test('the disk wins over the first-start word', diskWins)
