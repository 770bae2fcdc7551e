import type { Duplex } from 'node:stream'
import fc from 'fast-check'
import t, { type Test } from 'tap'
import {
  acceptLinks,
  decode,
  encode,
  makeHello,
  makePersistentLink,
  makeFlag,
  makeLink,
  openHttpConnection,
  pause,
  type PersistentLink,
  type HttpConnection,
  type Link,
  type World,
} from '@claynotch/base'
import { makeSim } from '../sim.js'

t.setTimeout(600000)

// Whose answer is whose on our own connections: the links between processes, where each frame names its question, and HTTP,
// where the order on the connection alone tells. The far end errs in every way, against a plain model of who asked what.

// ms. A caller waits so long; what is later comes this much after that.
const LIMIT = 200
const LATE = 60
// ms. After an answer on HTTP the next question comes no sooner, and strays come before it.
const THINK = 30
const STRAY = 20
const WHOLE = 600000

type Model = { came: Map<string, number>; faults: string[]; answered: number }
function makeModel(): Model {
  return { came: new Map(), faults: [], answered: 0 }
}
function ignore(): void {}
function came(model: Model, id: string): void {
  model.came.set(id, (model.came.get(id) ?? 0) + 1)
}
// The answer that a question is to be given, and nothing else.
function judge(model: Model, id: string, got: unknown): void {
  if (got === undefined) return
  model.answered++
  const told = (got as { re?: unknown } | null)?.re
  if (told !== id) model.faults.push(`${id} was given the answer of ${String(told)}`)
  if (model.came.get(id) !== 1) model.faults.push(`${id} was answered, came ${model.came.get(id) ?? 0} times`)
}
function finish(model: Model, ended: boolean, lines: string[]): Model {
  if (!ended) model.faults.push('a caller was given no answer')
  for (const [id, count] of model.came) if (count > 1) model.faults.push(`${id} was sent ${count} times`)
  model.faults.push(...lines)
  return model
}

// --- links ---

const LINK_HOWS = [
  'plain',
  'split',
  'silent',
  'late',
  'later',
  'twice',
  'twice, apart',
  'another first',
  'never asked',
  'reset before',
  'reset after',
  'part',
  'garbage',
  'too long',
] as const
type LinkAct = { how: (typeof LINK_HOWS)[number]; at: number; delay: number }

function frame(kind: number, id: number, msg: unknown): Buffer {
  const body = encode([kind, id, msg])
  const out = Buffer.allocUnsafe(4 + body.length)
  out.writeUInt32BE(body.length, 0)
  out.set(body, 4)
  return out
}

// Speaks the link's bytes by hand, as the answering side: the hello first, then as the acts say.
function serveLink(world: World, stream: Duplex, model: Model, next: () => LinkAct | undefined): void {
  let rest: Buffer = Buffer.alloc(0)
  let greeted = false
  // held: an answer kept back until the next question has been answered, so that order changes.
  let held: Buffer | undefined
  // tail: the rest of a frame that is written in two parts, and all frames after it: frames never mix.
  let tail: Buffer | undefined
  function say(bytes: Uint8Array): void {
    if (tail) tail = Buffer.concat([tail, bytes])
    else if (!stream.destroyed) stream.write(bytes)
  }
  function sayTail(): void {
    const all = tail
    tail = undefined
    if (all) say(all)
  }
  function sayLater(bytes: Uint8Array, ms: number): void {
    function now(): void {
      say(bytes)
    }
    world.later(ms, now)
  }
  function answer(id: number, question: string, act: LinkAct): void {
    const whole = frame(1, id, { re: question })
    const cut = 1 + Math.floor(act.at * (whole.length - 2))
    switch (act.how) {
      case 'plain':
        return say(whole)
      case 'split':
        say(whole.subarray(0, cut))
        if (tail) return say(whole.subarray(cut))
        tail = Buffer.from(whole.subarray(cut))
        return void world.later(act.delay, sayTail)
      case 'silent':
        return
      case 'late':
        return sayLater(whole, LIMIT + LATE)
      case 'later':
        return sayLater(whole, act.delay)
      case 'twice':
        return say(Buffer.concat([whole, whole]))
      case 'twice, apart':
        say(whole)
        return sayLater(whole, act.delay)
      case 'another first':
        held = whole
        return
      case 'never asked':
        say(frame(1, id + 1000, { re: 'nobody' }))
        return say(whole)
      case 'reset before':
      case 'reset after':
        return void stream.destroy()
      case 'part':
        say(whole.subarray(0, cut))
        return void stream.destroy()
      case 'garbage':
        return say(Buffer.from([0, 0, 0, 2, 0xff, 0xff]))
      case 'too long':
        return say(Buffer.from([0xff, 0xff, 0xff, 0xff]))
    }
  }
  function take(bytes: Uint8Array): void {
    const [kind, id, msg] = decode(bytes) as [number, number, { t?: string; id?: string }]
    if (kind !== 0) return
    if (!greeted) {
      greeted = true
      return say(frame(1, id, makeHello('core', 'far')))
    }
    if (msg.id === undefined) return say(frame(1, id, { t: 'pong' }))
    const act = next() ?? { how: 'plain', at: 0, delay: 0 }
    if (act.how !== 'reset before') came(model, msg.id)
    const before = held
    held = undefined
    answer(id, msg.id, act)
    if (before) say(before)
  }
  function data(chunk: Buffer): void {
    rest = Buffer.concat([rest, chunk])
    while (rest.length >= 4 && rest.length >= 4 + rest.readUInt32BE(0)) {
      const size = 4 + rest.readUInt32BE(0)
      const one = rest.subarray(4, size)
      rest = rest.subarray(size)
      take(one)
    }
  }
  stream.on('error', ignore)
  stream.on('data', data)
}

async function playLink(seed: number, acts: LinkAct[], callers: number[]): Promise<Model> {
  const sim = makeSim(seed)
  const model = makeModel()
  let at = 0
  let left = callers.length
  function next(): LinkAct | undefined {
    return acts[at++]
  }
  async function far(world: World): Promise<void> {
    function open(stream: Duplex): void {
      serveLink(world, stream, model, next)
    }
    await world.listen('10.0.0.1:7000', open)
  }
  async function near(world: World): Promise<void> {
    const held: PersistentLink = makePersistentLink(
      world,
      '10.0.0.1:7000',
      makeHello('agent', 'near'),
      ignore,
      makeFlag(),
    )
    async function caller(who: number, count: number): Promise<void> {
      for (let k = 0; k < count; k++) {
        const id = `${who}.${k}`
        judge(model, id, await held.ask({ t: 'ask', id }, LIMIT))
        await pause(world, 20)
      }
      left--
    }
    await pause(world, 50)
    for (const [who, count] of callers.entries()) void caller(who, count)
  }
  sim.spawn(sim.machine('far', '10.0.0.1'), 'far', far)
  sim.spawn(sim.machine('near', '10.0.2.1'), 'near', near)
  function over(): boolean {
    return left === 0
  }
  return finish(model, await sim.until(over, WHOLE), sim.lines)
}

const linkAct: fc.Arbitrary<LinkAct> = fc.record({
  how: fc.constantFrom(...LINK_HOWS),
  at: fc.double({ min: 0, max: 0.999, noNaN: true }),
  delay: fc.integer({ min: 0, max: LIMIT }),
})
async function links(c: Test): Promise<void> {
  let runs = 0
  let answered = 0
  async function holds(seed: number, acts: LinkAct[], callers: number[]): Promise<void> {
    const model = await playLink(seed, acts, callers)
    runs++
    answered += model.answered
    if (model.faults.length > 0) throw new Error(model.faults.join('; '))
  }
  const schedule = fc.asyncProperty(
    fc.integer({ min: 1, max: 1000 }),
    fc.array(linkAct, { maxLength: 30 }),
    fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 1, maxLength: 4 }),
    holds,
  )
  await c.resolves(fc.assert(schedule, { seed: 19, numRuns: 300 }))
  c.ok(answered > 1000, `${answered} answers in ${runs} schedules`)
}

// An ask that is under way when the link breaks ends then, and the answer that is still being made for it goes nowhere: the
// first ask of the next link, which bears the same number there, is given its own.
async function redialled(c: Test): Promise<void> {
  const sim = makeSim(3)
  const ends: unknown[] = []
  let slow = true
  async function far(world: World): Promise<void> {
    function serveOne(): (msg: unknown) => Promise<unknown> {
      async function take(msg: unknown): Promise<unknown> {
        await pause(world, slow ? 2000 : 1)
        return { re: (msg as { id: string }).id }
      }
      return take
    }
    await world.listen('10.0.0.1:7000', acceptLinks(world, makeHello('core', 'far'), serveOne))
  }
  async function near(world: World): Promise<void> {
    const held = makePersistentLink(world, '10.0.0.1:7000', makeHello('agent', 'near'), ignore, makeFlag())
    await pause(world, 100)
    async function first(): Promise<void> {
      ends.push(await held.ask({ id: 'old' }, 5000))
    }
    void first()
    await pause(world, 100)
    sim.reset(nearProc)
    await pause(world, 1000)
    ends.push(await held.ask({ id: 'new' }, 5000))
    slow = false
    ends.push(await held.ask({ id: 'newer' }, 5000))
  }
  sim.spawn(sim.machine('far', '10.0.0.1'), 'far', far)
  const nearProc = sim.spawn(sim.machine('near', '10.0.2.1'), 'near', near)
  await sim.run(sim.now() + 10000)
  c.strictSame(ends, [undefined, { re: 'new' }, { re: 'newer' }])
}

// A link that closed answers no ask any more, and begins none.
async function closed(c: Test): Promise<void> {
  const sim = makeSim(4)
  const ends: unknown[] = []
  async function far(world: World): Promise<void> {
    function open(stream: Duplex): void {
      makeLink(world, stream, silent)
    }
    function silent(): Promise<unknown> {
      return makeFlag().wait()
    }
    await world.listen('10.0.0.1:7000', open)
  }
  async function near(world: World): Promise<void> {
    await pause(world, 10)
    const link: Link = makeLink(world, await world.dial('10.0.0.1:7000', 100), ignore)
    async function one(): Promise<void> {
      ends.push(await link.ask({ id: 'a' }, 60000))
    }
    void one()
    void one()
    await pause(world, 50)
    link.close()
    await pause(world, 1)
    c.strictSame(ends, [undefined, undefined], 'every ask under way ended with it')
    ends.push(await link.ask({ id: 'b' }, 60000))
  }
  sim.spawn(sim.machine('far', '10.0.0.1'), 'far', far)
  sim.spawn(sim.machine('near', '10.0.2.1'), 'near', near)
  await sim.run(sim.now() + 5000)
  c.equal(ends.length, 3)
}

// --- HTTP ---

const HTTP_HOWS = [
  'plain',
  'split',
  'silent',
  'late',
  'twice',
  'stray answer',
  'stray part',
  'stray byte',
  'reset before',
  'reset after',
  'part',
  'half closed',
  'too short',
  'not json',
  'says close',
  'garbage',
] as const
type HttpAct = { how: (typeof HTTP_HOWS)[number]; at: number; delay: number }

function httpAnswer(id: string, more = ''): string {
  const body = JSON.stringify({ re: id })
  return `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n${more}\r\n${body}`
}
function serveHttp(world: World, stream: Duplex, model: Model, next: () => HttpAct | undefined): void {
  let rest = ''
  function say(text: string): void {
    if (!stream.destroyed) stream.write(text)
  }
  function sayLater(text: string, ms: number): void {
    function now(): void {
      say(text)
    }
    world.later(ms, now)
  }
  function question(id: string): void {
    const act = next() ?? { how: 'plain', at: 0, delay: 0 }
    if (act.how === 'reset before') return void stream.destroy()
    came(model, id)
    const whole = httpAnswer(id)
    const cut = 1 + Math.floor(act.at * (whole.length - 2))
    switch (act.how) {
      case 'plain':
        return say(whole)
      case 'split':
        say(whole.slice(0, cut))
        return sayLater(whole.slice(cut), act.delay)
      case 'silent':
        return
      case 'late':
        return sayLater(whole, LIMIT + LATE)
      case 'twice':
        return say(whole + whole)
      case 'stray answer':
        say(whole)
        return sayLater(whole, act.delay)
      case 'stray part':
        say(whole)
        return sayLater(whole.slice(0, cut), act.delay)
      case 'stray byte':
        say(whole)
        return sayLater('\n', act.delay)
      case 'reset after':
        return void stream.destroy()
      case 'part':
        say(whole.slice(0, cut))
        return void stream.destroy()
      case 'half closed':
        say(whole)
        return void stream.end()
      case 'too short':
        say(whole.replace(/content-length: \d+/, 'content-length: 900'))
        return void stream.end()
      case 'not json':
        return say(whole.replace('{"re"', '{"re'))
      case 'says close':
        return say(httpAnswer(id, 'connection: close\r\n'))
      case 'garbage':
        return say('nothing of HTTP\r\n\r\n')
    }
  }
  function data(chunk: Buffer): void {
    rest += chunk.toString()
    for (;;) {
      const head = rest.indexOf('\r\n\r\n')
      if (head < 0) return
      const size = Number(/content-length: (\d+)/i.exec(rest.slice(0, head))?.[1] ?? 0)
      if (rest.length < head + 4 + size) return
      const body = rest.slice(head + 4, head + 4 + size)
      rest = rest.slice(head + 4 + size)
      question((JSON.parse(body) as { id: string }).id)
    }
  }
  stream.on('error', ignore)
  stream.on('data', data)
}

// One caller that keeps its connection for as long as it stands; others beside it, each on its own.
async function playHttp(seed: number, acts: HttpAct[], callers: number[]): Promise<Model> {
  const sim = makeSim(seed)
  const model = makeModel()
  let at = 0
  let left = callers.length
  function next(): HttpAct | undefined {
    return acts[at++]
  }
  async function far(world: World): Promise<void> {
    function open(stream: Duplex): void {
      serveHttp(world, stream, model, next)
    }
    await world.listen('10.0.0.1:80', open)
  }
  async function near(world: World): Promise<void> {
    async function caller(who: number, count: number): Promise<void> {
      let line: HttpConnection | undefined
      for (let k = 0; k < count; k++) {
        const id = `${who}.${k}`
        if (!line?.alive()) line = (await openHttpConnection(world, '10.0.0.1:80')).unwrap()
        const got = await line.ask('POST', '/ask', { id }, LIMIT)
        judge(model, id, got.ok ? got.val.body : undefined)
        if (got.err && got.val.reach === 'none' && model.came.has(id)) model.faults.push(`${id} came, told none`)
        if (got.err && line.alive()) model.faults.push(`${id} failed, and its connection is kept`)
        await pause(world, THINK)
      }
      line?.close()
      left--
    }
    await pause(world, 10)
    for (const [who, count] of callers.entries()) void caller(who, count)
  }
  sim.spawn(sim.machine('far', '10.0.0.1'), 'far', far)
  sim.spawn(sim.machine('near', '10.0.2.1'), 'near', near)
  function over(): boolean {
    return left === 0
  }
  return finish(model, await sim.until(over, WHOLE), sim.lines)
}

const httpAct: fc.Arbitrary<HttpAct> = fc.record({
  how: fc.constantFrom(...HTTP_HOWS),
  at: fc.double({ min: 0, max: 0.999, noNaN: true }),
  delay: fc.integer({ min: 0, max: STRAY }),
})
async function http(c: Test): Promise<void> {
  let runs = 0
  let answered = 0
  async function holds(seed: number, acts: HttpAct[], callers: number[]): Promise<void> {
    const model = await playHttp(seed, acts, callers)
    runs++
    answered += model.answered
    if (model.faults.length > 0) throw new Error(model.faults.join('; '))
  }
  const schedule = fc.asyncProperty(
    fc.integer({ min: 1, max: 1000 }),
    fc.array(httpAct, { maxLength: 24 }),
    fc.array(fc.integer({ min: 1, max: 10 }), { minLength: 1, maxLength: 3 }),
    holds,
  )
  await c.resolves(fc.assert(schedule, { seed: 19, numRuns: 300 }))
  c.ok(answered > 1000, `${answered} answers in ${runs} schedules`)
}

// What comes while nothing is asked ends the connection: nothing of it can be taken for the answer to what is asked next.
async function idle(c: Test): Promise<void> {
  for (const stray of ['\n', 'HTTP', httpAnswer('stray')]) {
    const sim = makeSim(5)
    const ends: unknown[] = []
    async function far(world: World): Promise<void> {
      function open(stream: Duplex): void {
        function data(): void {
          stream.write(httpAnswer('own'))
          function late(): void {
            stream.write(stray)
          }
          world.later(50, late)
        }
        stream.on('error', ignore)
        stream.on('data', data)
      }
      await world.listen('10.0.0.1:80', open)
    }
    async function near(world: World): Promise<void> {
      await pause(world, 10)
      const line = (await openHttpConnection(world, '10.0.0.1:80')).unwrap()
      ends.push((await line.ask('GET', '/', undefined, LIMIT)).unwrap().body)
      ends.push(line.alive())
      await pause(world, 100)
      ends.push(line.alive())
      const got = await line.ask('GET', '/', undefined, LIMIT)
      ends.push(got.err ? got.val.reach : got.val.body)
    }
    sim.spawn(sim.machine('far', '10.0.0.1'), 'far', far)
    sim.spawn(sim.machine('near', '10.0.2.1'), 'near', near)
    await sim.run(sim.now() + 5000)
    c.strictSame(ends, [{ re: 'own' }, true, false, 'none'], JSON.stringify(stray.slice(0, 8)))
  }
}

// A second question on a connection whose first is under way is not sent at all.
async function twoAtOnce(c: Test): Promise<void> {
  const sim = makeSim(6)
  const model = makeModel()
  const ends: unknown[] = []
  async function far(world: World): Promise<void> {
    function open(stream: Duplex): void {
      serveHttp(world, stream, model, split)
    }
    function split(): HttpAct {
      return { how: 'split', at: 0.5, delay: 50 }
    }
    await world.listen('10.0.0.1:80', open)
  }
  async function near(world: World): Promise<void> {
    await pause(world, 10)
    const line = (await openHttpConnection(world, '10.0.0.1:80')).unwrap()
    const [a, b] = await Promise.all([
      line.ask('POST', '/ask', { id: 'a' }, LIMIT),
      line.ask('POST', '/ask', { id: 'b' }, LIMIT),
    ])
    ends.push(a.ok ? a.val.body : a.val.reach, b.ok ? b.val.body : b.val.reach)
    const after = await line.ask('POST', '/ask', { id: 'c' }, LIMIT)
    ends.push(after.ok ? after.val.body : after.val.reach)
  }
  sim.spawn(sim.machine('far', '10.0.0.1'), 'far', far)
  sim.spawn(sim.machine('near', '10.0.2.1'), 'near', near)
  await sim.run(sim.now() + 5000)
  c.strictSame(ends, [{ re: 'a' }, 'none', { re: 'c' }])
  c.strictSame(
    [...model.came],
    [
      ['a', 1],
      ['c', 1],
    ],
  )
}

void t.test('links: schedules of wrong answers against a plain model', links)
void t.test('links: an answer to an ask of the link before', redialled)
void t.test('links: a closed one', closed)
void t.test('HTTP: schedules of wrong answers against a plain model', http)
void t.test('HTTP: bytes while nothing is asked', idle)
void t.test('HTTP: two questions at once', twoAtOnce)
