import { deepStrictEqual } from 'node:assert'
import t, { type Test } from 'tap'
import fc from 'fast-check'
import { makeRegisterCache, type RegisterCache } from '@claynotch/agent/dist/register-cache.js'
import { makeSubscription, type SubscriptionSource } from '@claynotch/agent/dist/subscription.js'
import {
  makeHello,
  makePersistentLink,
  makeDataFile,
  makeFlag,
  pause,
  readAs,
  readRecords,
  type PersistentLink,
  type World,
} from '@claynotch/base'
import {
  applyDelta,
  encodedSizeOf,
  Delta,
  GetAnswer,
  makeDelta,
  makeProposer,
  makeRegisterStore,
  RegisterPush,
  quorumOf,
  startCore,
  resolveValue,
  type Ballot,
  type Core,
  type CoreMember,
  type HeldValue,
  type Proposer,
  type Quorum,
  type RegisterValue,
  type Voter,
} from '@claynotch/register'
import { makeRandom, makeSim, type Machine, type Proc, type Sim } from '../sim.js'

t.setTimeout(600000)

// RegisterCache through hundreds to thousands of changes: docs/design/control-safety.md, 4.

// --- deltas by themselves ---

function freeze<T>(x: T): T {
  if (typeof x === 'object' && x !== null && !Object.isFrozen(x)) {
    Object.freeze(x)
    for (const name of Reflect.ownKeys(x)) freeze(Reflect.get(x, name))
  }
  return x
}
function holds(base: unknown, next: unknown): void {
  freeze(base)
  freeze(next)
  const delta = makeDelta(base, next)
  if (!delta) return
  const read = readAs(Delta, delta)
  if (read.err) throw new Error('its own delta is refused')
  const got = applyDelta(base, read.val)
  if (got.err) throw new Error(got.val)
  deepStrictEqual(got.val, next)
  if (encodedSizeOf(delta) >= encodedSizeOf(next)) throw new Error('a delta no smaller than the value')
  deepStrictEqual(makeDelta(base, next), delta)
}

// Lists of the shape that registers have: some items dropped in front, some changed, some moved, some new.
const deep = fc.record({ a: fc.integer(), b: fc.string() }, { noNullPrototype: true })
const item = fc.record({ name: fc.string({ maxLength: 3 }), deep }, { noNullPrototype: true })
const list = fc.array(item, { maxLength: 30 })
const edited = fc
  .tuple(list, fc.nat(5), list, fc.array(fc.tuple(fc.nat(30), fc.integer()), { maxLength: 4 }), fc.boolean())
  .map(makeEdited)
function makeEdited([from, drop, more, changes, turn]: [
  { name: string; deep: { a: number; b: string } }[],
  number,
  { name: string; deep: { a: number; b: string } }[],
  [number, number][],
  boolean,
]): [unknown, unknown] {
  const next = [...from.slice(drop), ...more]
  for (const [at, a] of changes) if (next[at]) next[at] = { ...next[at], deep: { ...next[at].deep, a } }
  if (turn) next.reverse()
  const rest = { text: 'x'.repeat(200) }
  return [
    { turn: 1, list: from, rest },
    { turn: 2, list: next, rest },
  ]
}

function deltasProperty(c: Test): void {
  function anyTwo(base: unknown, next: unknown): void {
    holds(base, next)
  }
  function likely([base, next]: [unknown, unknown]): void {
    holds(base, next)
  }
  fc.assert(fc.property(fc.jsonValue(), fc.jsonValue(), anyTwo), { numRuns: 2000, seed: 19 })
  fc.assert(fc.property(fc.anything(), fc.anything(), anyTwo), { numRuns: 2000, seed: 19 })
  fc.assert(fc.property(edited, likely), { numRuns: 2000, seed: 19 })
  // A window that slides costs what is new in it, however long it is.
  const history: unknown[] = []
  for (let k = 0; k < 256; k++) history.push({ epoch: k, stream: `s${k}`, number: 1, named: true })
  const next = [...history.slice(1), { epoch: 256, stream: 's256', number: 1, named: true }]
  const delta = makeDelta({ epoch: 255, history }, { epoch: 256, history: next })
  c.ok(delta && encodedSizeOf(delta) < 200, `${encodedSizeOf(delta)} bytes for one of 256`)
  c.equal(makeDelta([1, 2, 3], 'other'), undefined, 'where it is no smaller there is none')
  c.end()
}

// Nested past what is followed, in a run of the array given.
function nested(depth: number): unknown {
  let out: unknown = { whole: 1 }
  for (let k = 0; k < depth; k++) out = { set: [['a', out]], removed: [] }
  return out
}
function hostileDeltas(c: Test): void {
  const base = freeze({ list: [1, 2, 3], a: { b: 1 }, text: 'x' })
  const bad: [string, unknown][] = [
    ['a run beyond the end', { set: [['list', { runs: [{ from: 2, count: 2 }] }]], removed: [] }],
    ['a run before the start', { set: [['list', { runs: [{ from: -1, count: 1 }] }]], removed: [] }],
    ['a count that is no number', { set: [['list', { runs: [{ from: 0, count: 1.5 }] }]], removed: [] }],
    ['an item beyond the end', { set: [['list', { runs: [{ at: 3, delta: { whole: 1 } }] }]], removed: [] }],
    ['endless items', { set: [['list', { runs: Array(50000).fill({ from: 0, count: 3 }) }]], removed: [] }],
    ['runs of an object', { set: [['a', { runs: [] }]], removed: [] }],
    ['fields of an array', { set: [['list', { set: [], removed: [] }]], removed: [] }],
    ['a field to remove that is not there', { set: [], removed: ['none'] }],
    ['the prototype', { set: [['__proto__', { whole: { admin: true } }]], removed: [] }],
    ['nested too deep', nested(40)],
    ['no delta', 7],
    ['no delta either', { set: 1 }],
  ]
  for (const [what, delta] of bad) {
    const read = readAs(Delta, delta)
    const got = applyDelta(base, delta as Delta)
    c.ok(got.err, `${what} is refused${read.err ? ', on the link already' : ''}`)
  }
  c.same(base, { list: [1, 2, 3], a: { b: 1 }, text: 'x' }, 'the base is as it was')
  c.equal(Reflect.get({}, 'admin'), undefined)
  c.end()
}

// --- the data file ---

function wide(turn: number, at: number): RegisterValue {
  const list: string[] = []
  for (let k = 0; k < 300; k++) list.push(`item ${at + k}`)
  return { turn, tag: `t${turn}`, body: { list } }
}
function deltaOf(a: RegisterValue, b: RegisterValue): Delta {
  return makeDelta(a, b) as Delta
}

async function onDisk(c: Test): Promise<void> {
  const sim = makeSim(1)
  const machine = sim.machine('m', '10.0.0.1')
  let done = false
  async function run(world: World): Promise<void> {
    const store = makeRegisterStore(world, '/d')
    await store.open()
    await store.writeSet('founded', { epoch: 0, cores: [{ id: 'a', addr: '10.0.0.1:7000' }] }, undefined)
    await store.prepare('k', [1, 'p'])
    c.same(await store.accept('k', [1, 'p'], wide(1, 0)), { ok: true })
    const size = machine.files.get('/d')!.length
    for (let n = 2; n <= 50; n++) {
      await store.prepare('k', [n, 'p'])
      const delta = deltaOf(wide(n - 1, n - 1 - 1), wide(n, n - 1))
      c.same(await store.acceptDelta('k', [n, 'p'], [n - 1, 'p'], delta), { ok: true })
    }
    const grown = (machine.files.get('/d')!.length - size) / 49
    c.ok(grown < encodedSizeOf(wide(1, 0)) / 5, `${Math.round(grown)} bytes a change, the value has ${encodedSizeOf(wide(1, 0))}`)
    const again = makeRegisterStore(world, '/d')
    c.same(await again.open(), [], 'the file is read without a finding')
    c.same(again.entries().get('k'), { promise: [50, 'p'], ballot: [50, 'p'], value: wide(50, 49) })

    // A program that can't read deltas refuses to start on the file, as on that of another set; one of before is marked.
    function setOf(path: string): { cores: string[] } | undefined {
      const records = readRecords(machine.files.get(path)!).records as { k: string; cores: string[] }[]
      for (const r of records) if (r.k === 'set') return r
      return undefined
    }
    c.same(setOf('/d')?.cores, ['a', 'format-2'])
    c.same(again.cores(), ['a'], 'the set itself is as it was')
    await makeDataFile(world, '/f').reset([{ k: 'set', phase: 'founded', cores: ['a'] }])
    const older = makeRegisterStore(world, '/f')
    c.same(await older.open(), [])
    c.equal(older.phase(), 'founded')
    c.same(setOf('/f')?.cores, ['a', 'format-2'])

    // Another base than the one accepted: refused, nothing is taken, and the disk has nothing of it.
    const before = machine.files.get('/d')!.length
    await again.prepare('k', [60, 'p'])
    const prepared = machine.files.get('/d')!.length
    const delta = deltaOf(wide(49, 48), wide(51, 50))
    c.same(await again.acceptDelta('k', [60, 'p'], [49, 'p'], delta), { ok: false, lacksBase: true })
    c.same(await again.acceptDelta('k', [60, 'p'], [50, 'q'], delta), { ok: false, lacksBase: true })
    c.same(
      await again.acceptDelta('k', [60, 'p'], [50, 'p'], { set: [], removed: ['none'] }),
      { ok: false, lacksBase: true },
      'one that does not fit',
    )
    c.same(await again.acceptDelta('k', [59, 'p'], [50, 'p'], delta), { ok: false, promise: [60, 'p'] })
    c.same(again.entries().get('k'), { promise: [60, 'p'], ballot: [50, 'p'], value: wide(50, 49) })
    c.ok(prepared > before && machine.files.get('/d')!.length === prepared, 'only the promise is on disk')

    // A record that the next one builds on is missing: everything that was read is void.
    const bytes = machine.files.get('/d')!
    const records = readRecords(bytes).records as { k: string; ballot?: Ballot }[]
    const cut: unknown[] = []
    for (const r of records) if (!(r.k === 'delta' && r.ballot?.[0] === 25)) cut.push(r)
    await makeDataFile(world, '/e').reset(cut)
    const damaged = makeRegisterStore(world, '/e')
    const findings = await damaged.open()
    c.match(findings[0]?.what, /lost its memory/, 'a delta without its base is loss')
    c.equal(damaged.entries().size, 0, 'nothing of it counts')
    c.equal(damaged.phase(), 'none')
    done = true
  }
  sim.spawn(machine, 'm', run)
  function over(): boolean {
    return done
  }
  c.ok(await sim.until(over, 60000), 'ran through')
}

// --- rounds at cores ---

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
function yes(): boolean {
  return true
}
type Asked = { id: string; msg: { t: string; base?: unknown; value?: unknown } }
// A proposer that knows what its own rounds brought, as an agent does.
function knowing(world: World, name: string, places: CoreMember[], asked: Asked[] = []): Proposer {
  const known = new Map<string, HeldValue>()
  const links: Voter[] = []
  for (const p of places) {
    const link: PersistentLink = makePersistentLink(world, p.addr, makeHello('test', name), ignore, makeFlag())
    function ask(msg: unknown, ms: number): Promise<unknown> {
      asked.push({ id: p.id, msg: msg as Asked['msg'] })
      return link.ask(msg, ms)
    }
    links.push({ id: p.id, ask, tell: link.tell, deltas: yes })
  }
  function voters(): Voter[] {
    return links
  }
  function quorum(): Quorum {
    return quorumOf({ epoch: 0, cores: places })
  }
  function held(key: string): HeldValue | undefined {
    return known.get(key)
  }
  const proposer = makeProposer(world, name, voters, quorum, undefined, held)
  async function change(...args: Parameters<Proposer['change']>): ReturnType<Proposer['change']> {
    const got = await proposer.change(...args)
    const [key] = args
    if (got.done && got.value && got.value.turn >= (known.get(key)?.value.turn ?? 0))
      known.set(key, { ballot: got.ballot, value: got.value })
    return got
  }
  return { ...proposer, change }
}

// A core that was away holds another base: it says so, and has the whole value in the same round under the same ballot.
async function lacking(c: Test): Promise<void> {
  const s = makeCores(3)
  c.ok(await s.sim.until(s.serving, 20000))
  const asked: Asked[] = []
  const desk = s.sim.machine('w', '10.0.3.1')
  let step = 0
  async function write(world: World): Promise<void> {
    const proposer = knowing(world, 'w', s.places, asked)
    await pause(world, 500)
    function put(n: number): ReturnType<Proposer['change']> {
      function edit(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
        return now?.tag === `t${n}` ? undefined : { body: wide(n, n).body, tag: `t${n}` }
      }
      return proposer.change('k', edit)
    }
    await put(1)
    s.sim.freeze(s.boxes[4].proc)
    await put(2)
    await pause(world, 3500)
    // What was on its way to it is void: it wakes with its links closed.
    s.sim.reset(s.boxes[4].proc)
    s.boxes[4].proc.held = []
    s.sim.thaw(s.boxes[4].proc)
    s.sim.kill(s.boxes[4].proc)
    s.start(4)
    await pause(world, 50)
    asked.length = 0
    step = 1
    await pause(world, 1500)
    await put(3)
    step = 2
    await pause(world, 1000)
    step = 3
  }
  s.sim.spawn(desk, 'w', write)
  function over(): boolean {
    return step === 3
  }
  c.ok(await s.sim.until(over, 60000), 'ran through')
  const cells = new Set<string>()
  for (const b of s.boxes) cells.add(JSON.stringify([b.core!.store.entries().get('k')]))
  c.equal(cells.size, 1, 'all five hold the same value at the same ballot')
  const words: string[] = []
  for (const { id, msg } of asked) if (msg.t === 'accept') words.push(`${id} ${msg.base ? 'delta' : 'whole'}`)
  c.ok(words.includes('c1 delta'), words.join(', '))
}

// The slow plain model of a register is a list that one writer at a time appends to: every change told done stands in it
// exactly once, at the place that its turn says; here with writers that know values, and cores that lose links, rounds and disks.
async function againstModel(c: Test): Promise<void> {
  const COUNT = Number(process.env['HISTORIES'] ?? 12)
  const BASE = Number(process.env['HISTORIES_FROM'] ?? 1)
  let deltas = 0
  let wholes = 0
  let lacked = 0
  for (let seed = BASE; seed < BASE + COUNT; seed++) {
    const s = makeCores(seed)
    c.ok(await s.sim.until(s.serving, 20000), `seed ${seed}: founded`)
    const random = makeRandom(seed)
    const told = new Map<string, number>()
    const asked: Asked[] = []
    const bodies = new Map<string, string>()
    const faults: string[] = []
    let over = 0
    for (let w = 0; w < 3; w++) {
      const desk = s.sim.machine(`w${w}`, `10.0.3.${w + 1}`)
      async function write(world: World): Promise<void> {
        const proposer = knowing(world, `w${w}`, s.places, asked)
        await pause(world, 500)
        for (let k = 0; k < 40; k++) {
          const tag = `w${w}.${k}`
          function edit(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
            const list = (now?.body ?? []) as string[]
            return list.includes(tag) ? undefined : { body: [...list, tag], tag }
          }
          const got = await proposer.change('list', edit)
          if (got.done && got.value) told.set(tag, (got.value.body as string[]).indexOf(tag) + 1)
          await pause(world, 200 * world.random())
        }
        over++
      }
      s.sim.spawn(desk, `w${w}`, write)
    }
    // Beat by beat one core at a time is cut off, frozen, restarted or emptied; and no ballot ever names two values.
    let ill = -1
    function trouble(): void {
      if (over === 3) return
      if (ill >= 0) {
        s.sim.heal()
        s.sim.thaw(s.boxes[ill].proc)
        if (s.boxes[ill].proc.state === 'dead') s.start(ill)
        ill = -1
      } else {
        ill = Math.floor(random() * 5)
        const b = s.boxes[ill]
        const kind = Math.floor(random() * 4)
        if (kind === 0) s.sim.freeze(b.proc)
        else if (kind === 1) for (const o of s.boxes) s.sim.cut(b.machine, o.machine)
        else {
          s.sim.kill(b.proc)
          if (kind === 3) b.machine.files.clear()
        }
        if (kind === 1) for (let w = 0; w < 3; w++) if (random() < 0.7) cutWriter(w, b.machine)
      }
      s.sim.at(400 + 1500 * random(), trouble)
    }
    function cutWriter(w: number, from: Machine): void {
      s.sim.cut(writers[w], from)
    }
    const writers: Machine[] = []
    for (let w = 0; w < 3; w++) writers.push(machineOf(s, w))
    function look(): void {
      for (const b of s.boxes) {
        for (const [key, cell] of b.core?.store.entries() ?? []) {
          const id = `${key} ${cell.ballot.join(' ')}`
          const body = JSON.stringify(cell.value)
          const old = bodies.get(id)
          if (old !== undefined && old !== body) faults.push(`${id} names two values`)
          bodies.set(id, body)
        }
      }
      if (over < 3) s.sim.at(20, look)
    }
    s.sim.at(1500, trouble)
    s.sim.at(20, look)
    function allDone(): boolean {
      return over === 3
    }
    c.ok(await s.sim.until(allDone, 900000), `seed ${seed}: the writers end`)
    s.sim.heal()
    for (const [k, b] of s.boxes.entries()) {
      s.sim.thaw(b.proc)
      if (b.proc.state === 'dead') s.start(k)
    }
    let final: string[] | undefined
    async function read(world: World): Promise<void> {
      const proposer = knowing(world, 'reader', s.places)
      for (let n = 0; n < 20 && !final; n++) {
        await pause(world, 500)
        const got = await proposer.read('list')
        if (got.done) final = (got.value?.body ?? []) as string[]
      }
    }
    s.sim.spawn(s.sim.machine('r', '10.0.3.9'), 'r', read)
    function hasRead(): boolean {
      return final !== undefined
    }
    c.ok(await s.sim.until(hasRead, 60000), `seed ${seed}: read back`)
    const wrong: string[] = []
    for (const [tag, place] of told) if (final![place - 1] !== tag) wrong.push(`${tag} at ${place}`)
    c.same(wrong, [], `seed ${seed}: ${told.size} changes told done stand at their place`)
    c.same(new Set(final).size, final!.length, `seed ${seed}: none twice`)
    c.same(faults, [], `seed ${seed}: a ballot names one value`)
    for (const { msg } of asked) {
      if (msg.t !== 'accept') continue
      if (msg.base) deltas++
      else wholes++
    }
    for (const b of s.boxes) lacked += b.core?.metrics.get('claynotch_core_bases_lacking_total') ?? 0
  }
  c.ok(deltas > wholes, `${deltas} accepts as deltas, ${wholes} whole, ${lacked} lacked their base`)
}
function machineOf(s: Cores, w: number): Machine {
  return s.sim.machine(`w${w}`, `10.0.3.${w + 1}`)
}

// --- pushes ---

type Told = { pushes: RegisterPush[]; link: PersistentLink }
function listen(world: World, addr: string, name: string, epoch?: number): Told {
  const pushes: RegisterPush[] = []
  function take(msg: unknown): undefined {
    const got = readAs(RegisterPush, msg)
    if (got.ok) pushes.push(got.val)
    return undefined
  }
  const mine = epoch === undefined ? makeHello('agent', name) : makeHello('agent', name, epoch)
  return { pushes, link: makePersistentLink(world, addr, mine, take, makeFlag()) }
}

async function versions(c: Test): Promise<void> {
  const s = makeCores(5)
  c.ok(await s.sim.until(s.serving, 20000))
  let over = false
  async function run(world: World): Promise<void> {
    const proposer = knowing(world, 'w', s.places)
    const old = listen(world, s.places[0].addr, 'old', 2)
    const silent = listen(world, s.places[0].addr, 'silent')
    const subscribed = listen(world, s.places[0].addr, 'subscribed')
    await pause(world, 500)
    async function put(n: number): Promise<void> {
      function edit(now: RegisterValue | undefined): { body: unknown; tag: string } | undefined {
        return now?.tag === `t${n}` ? undefined : { body: wide(n, n).body, tag: `t${n}` }
      }
      await proposer.change('k', edit)
      await pause(world, 100)
    }
    await put(1)
    c.same(await subscribed.link.ask({ t: 'subscribe', on: true, have: [] }, 500), { ok: true })
    await pause(world, 50)
    for (let n = 2; n <= 6; n++) await put(n)
    c.equal(old.pushes.length, 6, 'a program of before subscriptions is told everything')
    let whole = 0
    for (const p of old.pushes) if ('value' in p && !('deltas' in p)) whole++
    c.equal(whole, 6, 'and whole')
    c.equal(silent.pushes.length, 0, 'who has not subscribed is told nothing')
    c.equal(subscribed.pushes.length, 6, 'who has, what it lacked and each change')
    c.ok('value' in subscribed.pushes[0], 'who lacks the base, the value')
    let held: HeldValue | undefined
    for (const p of subscribed.pushes) {
      const value = resolveValue(p, held)
      if (value) held = { ballot: p.ballot, value }
    }
    c.same(held?.value.body, wide(6, 6).body, 'the deltas make the value')
    for (const p of subscribed.pushes.slice(1)) c.ok('deltas' in p, 'then deltas')
    // get: the same, what changed since, or the value.
    async function get(have: Ballot | undefined): Promise<GetAnswer> {
      const got = readAs(
        GetAnswer,
        await subscribed.link.ask({ t: 'get', epoch: 0, key: 'k', ...(have ? { have } : {}) }, 500),
      )
      if (got.err) throw new Error('no answer')
      return got.val
    }
    const third = subscribed.pushes[2]
    c.ok('same' in (await get(held!.ballot)))
    const since = await get(third.ballot)
    c.ok('deltas' in since && since.deltas.length === 3, 'one delta for each change since')
    c.ok('value' in (await get([999, 'nobody'])), 'an unknown base: the value')
    c.ok('value' in (await get(undefined)))
    subscribed.link.tell({ t: 'subscribe', on: false, have: [] })
    await put(7)
    c.equal(subscribed.pushes.length, 6, 'no more after it left')
    over = true
  }
  s.sim.spawn(s.sim.machine('w', '10.0.3.1'), 'w', run)
  function isOver(): boolean {
    return over
  }
  c.ok(await s.sim.until(isOver, 60000), 'ran through')
}

// --- what an agent makes of what it is told ---

async function stalePushes(c: Test): Promise<void> {
  const sim = makeSim(2)
  let done = false
  async function run(world: World): Promise<void> {
    const asked: unknown[] = []
    let answer: unknown
    async function ask(msg: unknown): Promise<unknown> {
      asked.push(msg)
      return answer
    }
    const link: PersistentLink = { addr: '', ask, tell: ignore, up: yes, peer: ignore, close: ignore }
    function linkTo(): PersistentLink {
      return link
    }
    function epoch(): number {
      return 0
    }
    async function readCommitted(): Promise<{ done: false; why: string }> {
      return { done: false, why: 'not here' }
    }
    const r: RegisterCache = makeRegisterCache(world, {
      epoch,
      link: linkTo,
      readCommitted,
      onNewer: ignore,
      onBehind: ignore,
    })
    function ballot(n: number): Ballot {
      return [n, 'p']
    }
    function push(from: number, to: number): RegisterPush {
      return {
        t: 'push',
        num: to,
        key: 'k',
        ballot: ballot(to),
        base: ballot(from),
        deltas: [deltaOf(wide(from, from), wide(to, to))],
      }
    }
    r.learn('k', wide(3, 3), ballot(3))
    await r.applyPush('c', push(3, 4))
    c.same(r.held('k'), { ballot: ballot(4), value: wide(4, 4) }, 'on its base it is applied')
    await r.applyPush('c', push(2, 3))
    c.same(r.held('k')?.value, wide(4, 4), 'an old one changes nothing')
    await r.applyPush('c', { t: 'push', num: 1, key: 'k', ballot: ballot(2), value: wide(2, 2) })
    c.same(r.held('k')?.value, wide(4, 4), 'nor does an old value')
    c.equal(asked.length, 0)
    // Its base is not what is known here: the value is asked for, and only what was chosen at that ballot is taken.
    answer = { ok: true, ballot: ballot(9), value: wide(9, 9) }
    await r.applyPush('c', push(5, 6))
    c.same(asked, [{ t: 'get', epoch: 0, key: 'k', have: ballot(4) }])
    c.same(r.held('k')?.value, wide(4, 4), 'another ballot than the one pushed proves nothing')
    answer = { ok: true, ballot: ballot(6), base: ballot(5), deltas: [deltaOf(wide(5, 5), wide(6, 6))] }
    await r.applyPush('c', push(5, 6))
    c.same(r.held('k')?.value, wide(4, 4), 'nor do deltas on another base')
    answer = { ok: true, ballot: ballot(6), value: wide(6, 6) }
    await r.applyPush('c', push(5, 6))
    c.same(r.held('k'), { ballot: ballot(6), value: wide(6, 6) })
    c.equal(r.all().get('k')?.currentUntil, 0, 'a push proves nothing of time')
    // A renewal at a majority does, and shows what is missing.
    function lines(
      n: number,
    ): Map<string, Map<string, { key: string; ballot: Ballot; turn: number; chosen: boolean }>> {
      return new Map([['c', new Map([['k', { key: 'k', ballot: ballot(n), turn: n, chosen: true }]])]])
    }
    const enough = quorumOf({ epoch: 0, cores: [{ id: 'c', addr: '' }] })
    r.applySummaries(lines(6), enough, 1000)
    c.equal(r.all().get('k')?.currentUntil, 3500)
    r.applySummaries(lines(7), enough, 2000)
    c.ok(r.isBehind(), 'something newer is wanted')
    c.equal(r.all().get('k')?.currentUntil, 3500, 'and nothing older is worked by for longer')
    answer = { ok: true, ballot: ballot(7), base: ballot(6), deltas: [deltaOf(wide(6, 6), wide(7, 7))] }
    await r.catchUp()
    c.same(r.held('k'), { ballot: ballot(7), value: wide(7, 7) })
    c.equal(r.all().get('k')?.currentUntil, 4500)
    c.notOk(r.isBehind())
    done = true
  }
  sim.spawn(sim.machine('m', '10.0.0.1'), 'm', run)
  function over(): boolean {
    return done
  }
  c.ok(await sim.until(over, 60000), 'ran through')
}

async function whereToListen(c: Test): Promise<void> {
  const sim = makeSim(2)
  let done = false
  async function run(world: World): Promise<void> {
    // Cores as the agent sees them; told: the subscriptions each of them was sent.
    type Fake = { source: SubscriptionSource; told: string[]; up: boolean; answer: unknown; epoch: number }
    const fakes: Fake[] = []
    function add(id: string, area: string | undefined): Fake {
      const fake: Fake = { source: undefined as never, told: [], up: true, answer: { ok: true }, epoch: 3 }
      async function ask(msg: unknown): Promise<unknown> {
        fake.told.push(`on ${(msg as { have: unknown[] }).have.length}`)
        return fake.answer
      }
      function tell(): void {
        fake.told.push('off')
      }
      function up(): boolean {
        return fake.up
      }
      function peer(): ReturnType<typeof makeHello> {
        return makeHello('core', id, fake.epoch)
      }
      const held: PersistentLink = { addr: '', ask, tell, up, peer, close: ignore }
      fake.source = { id, held, heard: world.now(), area, lines: new Map() }
      fakes.push(fake)
      return fake
    }
    const [a, b, near] = [add('a', 'x'), add('b', 'y'), add('near', 'z')]
    let ballots: [string, Ballot][] = [['k', [1, 'p']]]
    function ballotsNow(): [string, Ballot][] {
      return ballots
    }
    const sub = makeSubscription(world, 'n', 'z', ballotsNow)
    async function beat(silent?: Fake): Promise<void> {
      await pause(world, 600)
      const list: SubscriptionSource[] = []
      for (const f of fakes) {
        if (f !== silent) f.source.heard = world.now()
        list.push(f.source)
      }
      await sub.choose(list, 0)
    }
    function has(f: Fake, n: number): void {
      f.source.lines = new Map([['k', { key: 'k', ballot: [n, 'p'], turn: n, chosen: true }]])
    }
    for (const f of fakes) has(f, 1)
    await beat()
    c.equal(sub.at(), 'near', 'its own area first')
    c.same(near.told, ['on 1'], 'with what is known here')
    await beat()
    c.same(near.told, ['on 1'], 'and that is all there is to say')
    near.up = false
    await beat()
    const other = sub.at() === 'a' ? a : b
    c.same(other.told, ['on 1'], 'its link went: another')
    near.up = true
    await beat()
    c.equal(sub.at(), 'near', 'it is back')
    c.same(other.told, ['on 1', 'off'])
    sub.linkReestablished('near')
    await beat()
    c.same(near.told, ['on 1', 'on 1', 'on 1'], 'a link dialled anew is subscribed on anew')
    for (let n = 0; n < 3; n++) await beat(near)
    c.equal(sub.at(), other.source.id, 'silent: another')
    for (let n = 0; n < 10; n++) await beat()
    c.equal(sub.at(), 'near', 'and back after a while')
    // What is known here goes on, and the core doesn't know of it.
    ballots = [['k', [2, 'p']]]
    has(other, 2)
    for (let n = 0; n < 2; n++) await beat()
    c.equal(sub.at(), 'near', 'once is no cause to leave')
    await beat()
    c.equal(sub.at(), other.source.id, 'knowing less: another')
    has(near, 2)
    near.epoch = 2
    for (let n = 0; n < 12; n++) await beat()
    c.equal(sub.at(), other.source.id, 'one of before subscriptions has none')
    near.epoch = 3
    near.answer = undefined
    await beat()
    c.equal(sub.at(), other.source.id, 'one that does not answer is not waited for')
    done = true
  }
  sim.spawn(sim.machine('m', '10.0.0.1'), 'm', run)
  function over(): boolean {
    return done
  }
  c.ok(await sim.until(over, 600000), 'ran through')
}

const tests: [string, (c: Test) => Promise<void> | void][] = [
  ['a delta brings the base to what was meant, whatever both are', deltasProperty],
  ['a delta that does not fit is refused', hostileDeltas],
  ['the data file: deltas are replayed on their base and on nothing else', onDisk],
  ['a core that lacks the base has the whole value in the same round', lacking],
  ['rounds with deltas against the plain model, with cores away and emptied', againstModel],
  ['pushes to subscribers, as deltas; to old programs as ever', versions],
  ['a push on another base, or an old one, is not applied', stalePushes],
  ['where a node takes its pushes from', whereToListen],
]
for (const [name, run] of tests) void t.test(name, run)
