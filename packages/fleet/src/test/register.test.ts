import t, { type Test } from 'tap'
import {
  makeHello,
  makePersistentLink,
  makeFlag,
  pause,
  REFILL_DELAY_MS,
  ROUND_TIMEOUT_MS,
  LEASE_DURATION_MS,
  LEASE_CLOCK_SLACK_MS,
  type PersistentLink,
  type World,
} from '@claynotch/base'
import {
  makeProposer,
  makeRegisterStore,
  EMPTY_CORE_SET,
  quorumOf,
  startCore,
  type Ballot,
  type RegisterEntry,
  type Core,
  type CoreMember,
  type Proposer,
  type Quorum,
  type RegisterValue,
  type Voter,
} from '@claynotch/register'
import { makeSimFleet, smallShape } from '../simfleet.js'
import { makeSim, type Machine, type Proc, type Sim } from '../sim.js'

t.setTimeout(600000)

type Box = { id: string; machine: Machine; proc: Proc; core: Core | undefined }
type Cores = { sim: Sim; boxes: Box[]; places: CoreMember[]; start: (k: number) => void; serving: () => boolean }

function makeCores(seed: number): Cores {
  const sim = makeSim(seed)
  const places: CoreMember[] = []
  const boxes: Box[] = []
  for (let k = 1; k <= 5; k++) places.push({ id: `c${k}`, addr: `10.0.1.${k}:7000` })
  for (const p of places)
    boxes.push({
      id: p.id,
      machine: sim.machine(p.id, p.addr.split(':')[0]),
      proc: undefined as never,
      core: undefined,
    })
  function start(k: number): void {
    const b = boxes[k]
    async function run(world: World): Promise<void> {
      b.core = await startCore(world, { id: b.id, cores: places, data: '/d' })
    }
    b.core = undefined
    b.proc = sim.spawn(b.machine, b.id, run)
  }
  function serving(): boolean {
    for (const b of boxes) if (!b.core?.serving()) return false
    return true
  }
  for (let k = 0; k < 5; k++) start(k)
  return { sim, boxes, places, start, serving }
}
function ignore(): undefined {
  return undefined
}
function proposerOf(world: World, name: string, places: CoreMember[]): Proposer {
  const all = votersOf(world, places)
  function voters(): Voter[] {
    return all
  }
  function quorum(): Quorum {
    return quorumOf({ epoch: 0, cores: places })
  }
  return makeProposer(world, name, voters, quorum)
}
function votersOf(world: World, places: CoreMember[]): Voter[] {
  const stop = makeFlag()
  const out: Voter[] = []
  for (const p of places) {
    const held: PersistentLink = makePersistentLink(world, p.addr, makeHello('test', 'test'), ignore, stop)
    out.push({ id: p.id, ask: held.ask, tell: held.tell })
  }
  return out
}

// The slow plain model of a register is a list that one writer at a time appends to: every change told
// done stands in it exactly once, at the place that its turn says.
async function againstModel(c: Test): Promise<void> {
  let readers = 0
  for (const seed of [1, 2, 3, 4]) {
    const s = makeCores(seed)
    c.ok(await s.sim.until(s.serving, 20000), `seed ${seed}: founded`)
    const told = new Map<string, number>()
    let over = 0
    for (let w = 0; w < 3; w++) {
      const desk = s.sim.machine(`w${w}`, `10.0.3.${w + 1}`)
      async function write(world: World): Promise<void> {
        const proposer = proposerOf(world, `w${w}`, s.places)
        await pause(world, 500)
        for (let k = 0; k < 25; k++) {
          const tag = `w${w}.${k}`
          function edit(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
            const list = (now?.body ?? []) as string[]
            return list.includes(tag) ? undefined : { body: [...list, tag], tag }
          }
          const got = await proposer.change('list', edit)
          if (got.done && got.value) told.set(tag, (got.value.body as string[]).indexOf(tag) + 1)
          await pause(world, 300 * world.random())
        }
        over++
      }
      s.sim.spawn(desk, `w${w}`, write)
    }
    // Readers see every change that was told done before they asked, by a look as by a round.
    const missed: string[] = []
    let looks = 0
    for (const how of ['look', 'look', 'read'] as const) {
      async function look(world: World): Promise<void> {
        const proposer = proposerOf(world, `${how}er`, s.places)
        await pause(world, 500)
        while (over < 3) {
          const before = [...told]
          const got = await proposer[how]('list', 2000)
          const list = (got.done ? got.value?.body : undefined) as string[] | undefined
          if (got.done)
            for (const [tag, turn] of before) if (list?.[turn - 1] !== tag) missed.push(`${how}: ${tag} at ${turn}`)
          if (got.done) looks++
          await pause(world, (how === 'look' ? 40 : 900) * world.random())
        }
      }
      s.sim.spawn(s.sim.machine(`${how}${s.sim.random()}`, `10.0.3.${20 + readers++}`), how, look)
    }
    function done(): boolean {
      return over === 3
    }
    // Meanwhile cores die, lose their disks, are cut off and lose packets, one machine down at a time.
    while (!done() && s.sim.now() < 200000) {
      const k = Math.floor(s.sim.random() * 5)
      const r = s.sim.random()
      s.sim.loss(s.sim.random() < 0.5 ? 0.1 : 0)
      if (r < 0.6) {
        s.sim.kill(s.boxes[k].proc)
        if (r < 0.3) s.boxes[k].machine.files.clear()
        await s.sim.run(s.sim.now() + 1500 * s.sim.random())
        s.start(k)
        await s.sim.until(s.serving, 30000)
      } else {
        const o = s.boxes[(k + 1) % 5]
        s.sim.cut(s.boxes[k].machine, o.machine)
        await s.sim.run(s.sim.now() + 1000 * s.sim.random())
        s.sim.heal()
      }
    }
    c.ok(done(), `seed ${seed}: the writers came through`)
    s.sim.heal()
    s.sim.loss(0)
    await s.sim.until(s.serving, 30000)
    let final: string[] | undefined
    async function read(world: World): Promise<void> {
      const proposer = proposerOf(world, 'reader', s.places)
      await pause(world, 500)
      const got = await proposer.read('list')
      if (got.done) final = (got.value?.body ?? []) as string[]
    }
    s.sim.spawn(s.sim.machine('r', '10.0.3.9'), 'reader', read)
    function isRead(): boolean {
      return final !== undefined
    }
    await s.sim.until(isRead, 10000)
    c.equal(new Set(final).size, final?.length, `seed ${seed}: nothing stands twice`)
    const wrong: string[] = []
    for (const [tag, turn] of told) if (final?.[turn - 1] !== tag) wrong.push(`${tag} at ${turn}`)
    c.strictSame(wrong, [], `seed ${seed}: all ${told.size} told changes stand where they were told`)
    c.strictSame(missed, [], `seed ${seed}: nothing told done was missing in any of ${looks} readings`)
    c.ok(looks > 200, `seed ${seed}: ${looks} readings`)
    c.ok(told.size > 60, `seed ${seed}: most changes were told done`)
  }
}

// A crowd that reads without a pause doesn't keep a change waiting.
async function crowd(c: Test): Promise<void> {
  const s = makeCores(6)
  c.ok(await s.sim.until(s.serving, 20000))
  const times: number[] = []
  let over = false
  async function read(world: World): Promise<void> {
    const proposer = proposerOf(world, 'reader', s.places)
    await pause(world, 500)
    while (!over) {
      await proposer.look('key')
      await pause(world, 5)
    }
  }
  for (let k = 0; k < 6; k++) s.sim.spawn(s.sim.machine(`r${k}`, `10.0.3.${k + 1}`), `r${k}`, read)
  async function write(world: World): Promise<void> {
    const proposer = proposerOf(world, 'writer', s.places)
    await pause(world, 1000)
    for (let k = 0; k < 40; k++) {
      const from = world.now()
      function edit(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
        return now?.tag === `t${k}` ? undefined : { body: k, tag: `t${k}` }
      }
      const got = await proposer.change('key', edit)
      if (!got.done) c.fail(got.why)
      times.push(world.now() - from)
      await pause(world, 50)
    }
    over = true
  }
  s.sim.spawn(s.sim.machine('w', '10.0.3.9'), 'w', write)
  function isOver(): boolean {
    return over
  }
  c.ok(await s.sim.until(isOver, 300000))
  times.sort(byNumber)
  c.ok(
    times[times.length - 1] < 500,
    `the slowest change took ${Math.round(times[times.length - 1])} ms, the middle one ${Math.round(times[20])} ms`,
  )
}
function byNumber(a: number, b: number): number {
  return a - b
}

function value(tag: string): RegisterValue {
  return { turn: 1, tag, body: tag }
}

// The hazard itself, on bare stores: a core that lost its memory and merely copies what a majority of the
// others holds lets an older round finish with the vote that it forgot.
async function plainCopy(c: Test): Promise<void> {
  const sim = makeSim(1)
  let out: string[] = []
  async function run(world: World): Promise<void> {
    const a = makeRegisterStore(world, '/a')
    const b = makeRegisterStore(world, '/b')
    const cc = makeRegisterStore(world, '/c')
    const d = makeRegisterStore(world, '/d')
    const x = makeRegisterStore(world, '/x')
    const one: Ballot = [1, 'p']
    for (const s of [a, b, x]) await s.prepare('k', one)
    // Two of five have accepted; the third accept is on its way to b.
    await a.accept('k', one, value('first'))
    await x.accept('k', one, value('first'))
    // x loses its disk and copies from b, c and d, which hold nothing.
    const copy = makeRegisterStore(world, '/x2')
    const cells = new Map<string, RegisterEntry>()
    for (const s of [b, cc, d]) for (const [key, cell] of s.entries()) if (cell.value) cells.set(key, cell)
    await copy.refill(cells, 0, EMPTY_CORE_SET, undefined)
    // Another proposer finds nothing at a majority and has its own value chosen.
    const two: Ballot = [2, 'q']
    let seen: RegisterValue | undefined
    for (const s of [copy, cc, d]) {
      const got = await s.prepare('k', two)
      if (got.ok && got.value) seen = got.value
    }
    for (const s of [copy, cc, d]) await s.accept('k', two, seen ?? value('second'))
    // The late accept arrives at b: a, b and the x that was make three, and 'first' is told done as well.
    const late = await b.accept('k', one, value('first'))
    out = [seen ? 'seen' : 'not seen', late.ok ? 'first told done' : 'first refused', 'second told done']
  }
  sim.spawn(sim.machine('m', '10.0.0.1'), 'stores', run)
  await sim.run(5000)
  c.strictSame(
    out,
    ['not seen', 'first told done', 'second told done'],
    'plain copying: two rival changes are told done',
  )
}

// The same with the real core: after its refill, the older round can't finish.
async function refilled(c: Test): Promise<void> {
  // A round is void after ROUND_TIMEOUT_MS by its proposer's clock, and clocks may run apart by as much as a lease bears.
  c.ok(
    REFILL_DELAY_MS >= ROUND_TIMEOUT_MS * (1 + LEASE_CLOCK_SLACK_MS / LEASE_DURATION_MS),
    'the wait outlasts a round by the slowest clock',
  )
  for (const seed of [1, 2, 3]) {
    const s = makeCores(seed)
    await s.sim.until(s.serving, 20000)
    const acks: string[] = []
    let step = 0
    async function old(world: World): Promise<void> {
      const all = votersOf(world, s.places)
      const byId = new Map<string, Voter>()
      for (const v of all) byId.set(v.id, v)
      await pause(world, 500)
      const one: Ballot = [1, 'p']
      for (const id of ['c1', 'c2', 'c5']) await byId.get(id)!.ask({ t: 'prepare', key: 'k', ballot: one }, 1000)
      async function accept(id: string): Promise<void> {
        const got = (await byId.get(id)!.ask({ t: 'accept', key: 'k', ballot: one, value: value('first') }, 1000)) as
          { ok?: boolean } | undefined
        if (got?.ok) acks.push(id)
      }
      await accept('c1')
      await accept('c5')
      step = 1
      while (step === 1) await pause(world, 100)
      for (const id of ['c2', 'c3', 'c4']) await accept(id)
      step = 3
    }
    s.sim.spawn(s.sim.machine('p', '10.0.3.1'), 'old round', old)
    function accepted(): boolean {
      return step === 1
    }
    await s.sim.until(accepted, 10000)
    s.sim.kill(s.boxes[4].proc)
    s.boxes[4].machine.files.clear()
    s.start(4)
    const from = s.sim.now()
    c.ok(await s.sim.until(s.serving, 20000), `seed ${seed}: the emptied core votes again`)
    c.ok(s.sim.now() - from >= REFILL_DELAY_MS, `seed ${seed}: and not before every prepare of its old life is void`)
    step = 2
    function ended(): boolean {
      return step === 3
    }
    await s.sim.until(ended, 10000)
    // Either the refill's round carried 'first' on itself, or the round's late accepts were refused.
    const held = s.boxes[4].core?.store.entries().get('k')?.value?.tag
    c.ok(held === 'first' || acks.length < 3, `seed ${seed}: accepts ${acks.join()}, the refilled core holds ${held}`)
  }
}

// Every core comes back from its own disk, torn writes and all; a damaged file is refilled, not believed.
async function disks(c: Test): Promise<void> {
  const s = makeCores(5)
  await s.sim.until(s.serving, 20000)
  let told = 0
  async function write(world: World): Promise<void> {
    const proposer = proposerOf(world, 'w', s.places)
    await pause(world, 300)
    for (let k = 1; k <= 40; k++) {
      function edit(now: RegisterValue | undefined): { body: unknown; tag: string } {
        return { body: ((now?.body as number | undefined) ?? 0) + 1, tag: `t${k}` }
      }
      const got = await proposer.change('n', edit, 20000)
      if (got.done && got.value) told = got.value.turn
    }
  }
  s.sim.spawn(s.sim.machine('p', '10.0.3.1'), 'writer', write)
  await s.sim.run(s.sim.now() + 420)
  for (const b of s.boxes) s.sim.kill(b.proc)
  const last = told
  // One file is damaged in its middle as well.
  const file = s.boxes[2].machine.files.get('/d/register') as Buffer
  file[Math.floor(file.length / 2)] ^= 0xff
  for (let k = 0; k < 5; k++) s.start(k)
  c.ok(await s.sim.until(s.serving, 30000), 'all serve again')
  let most = 0
  for (const b of s.boxes) most = Math.max(most, b.core?.store.entries().get('n')?.value?.turn ?? 0)
  c.ok(last > 0 && most >= last, `told ${last}, recovered ${most}`)
}

// A set that lost every disk is not founded a second time while anyone remembers it, and serves nobody.
async function allEmptied(c: Test): Promise<void> {
  const f = makeSimFleet(1, smallShape(), { keepLines: true })
  c.ok(await f.begin())
  for (const x of f.cores) {
    f.sim.kill(x.proc)
    x.machine.files.clear()
  }
  await f.sim.run(f.sim.now() + 200)
  for (let k = 0; k < f.cores.length; k++) f.startCoreAt(k)
  await f.sim.run(f.sim.now() + 15000)
  for (const x of f.cores) c.equal(x.core?.serving(), false, `${x.id} does not serve`)
  for (const x of f.fronts) c.equal(x.proxy?.state.hasValidLease(), false, `${x.node} takes no work`)
  c.ok(f.sim.lines.some(isTold), 'and the log says why')
}
function isTold(line: string): boolean {
  return line.includes('event=set-was-founded')
}

void t.test('a set that lost every disk is not founded again while it is remembered', allEmptied)
void t.test('a register under failures is the list of the plain model', againstModel)
void t.test('a crowd of readers keeps no change waiting', crowd)
void t.test('plain copying loses an acknowledged change', plainCopy)
void t.test('an emptied core is refilled so that no older round finishes with its lost vote', refilled)
void t.test('all cores restart at once from their disks; a damaged file is refilled', disks)
