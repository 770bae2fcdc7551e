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
  serveHttp as serveHttpAt,
  pause,
  type HttpResponse,
  type PersistentLink,
  type HttpConnection,
  type Link,
  type World,
} from '@claynotch/base'
import { makeSim } from '../sim.js'

t.setTimeout(600000)

// Matching of answers to requests on our own connections: links between processes, where each frame carries the id of
// its request, and HTTP, where only the order on the connection matches them. The server misbehaves in every way,
// against a reference model of the requests.

/** How long a caller waits for an answer. */
const REQUEST_TIMEOUT_MS = 200
/** How long after the caller's timeout a late answer comes. */
const LATE_BY_MS = 60
/** Minimum time between an HTTP answer and the next request; stray bytes come before that request. */
const THINK_TIME_MS = 30
const MAX_STRAY_DELAY_MS = 20
const RUN_TIMEOUT_MS = 600000

/** The requests that the server received, by id, and the violations found. */
type Model = { receivedCounts: Map<string, number>; faults: string[]; answeredCount: number }
function makeModel(): Model {
  return { receivedCounts: new Map(), faults: [], answeredCount: 0 }
}
function ignore(): void {}
function countReceived(model: Model, id: string): void {
  model.receivedCounts.set(id, (model.receivedCounts.get(id) ?? 0) + 1)
}
/** A request must get its own answer or none, and must have been received once. */
function checkAnswer(model: Model, id: string, answer: unknown): void {
  if (answer === undefined) return
  model.answeredCount++
  const answeredId = (answer as { re?: unknown } | null)?.re
  if (answeredId !== id) model.faults.push(`${id} got the answer to ${String(answeredId)}`)
  if (model.receivedCounts.get(id) !== 1)
    model.faults.push(`${id} was answered, but received ${model.receivedCounts.get(id) ?? 0} times`)
}
function finish(model: Model, isFinished: boolean, lines: string[]): Model {
  if (!isFinished) model.faults.push('a caller did not finish')
  for (const [id, count] of model.receivedCounts) if (count > 1) model.faults.push(`${id} was received ${count} times`)
  model.faults.push(...lines)
  return model
}

// --- links ---

const LINK_REPLY_KINDS = [
  'plain',
  'split',
  'silent',
  'late',
  'delayed',
  'twice',
  'twice, the second delayed',
  'after the next answer',
  'unknown request first',
  'reset before',
  'reset after',
  'part',
  'garbage',
  'too long',
] as const
/** How the server answers a request; cutFraction: where in the answer it is cut, if it is. */
type LinkReply = { kind: (typeof LINK_REPLY_KINDS)[number]; cutFraction: number; delayMs: number }

function frame(kind: number, id: number, msg: unknown): Buffer {
  const body = encode([kind, id, msg])
  const bytes = Buffer.allocUnsafe(4 + body.length)
  bytes.writeUInt32BE(body.length, 0)
  bytes.set(body, 4)
  return bytes
}

/** The answering side of a link at the byte level: sends the hello, then answers as the replies prescribe. */
function serveLink(world: World, stream: Duplex, model: Model, nextReply: () => LinkReply | undefined): void {
  let unparsed: Buffer = Buffer.alloc(0)
  let hasSentHello = false
  /** An answer held back until the next request has been answered, so that the order changes. */
  let heldAnswer: Buffer | undefined
  /** The rest of a frame that is written in two parts and all later frames, so that frames are never interleaved. */
  let pendingBytes: Buffer | undefined
  function send(bytes: Uint8Array): void {
    if (pendingBytes) pendingBytes = Buffer.concat([pendingBytes, bytes])
    else if (!stream.destroyed) stream.write(bytes)
  }
  function sendPending(): void {
    const pending = pendingBytes
    pendingBytes = undefined
    if (pending) send(pending)
  }
  function sendLater(bytes: Uint8Array, ms: number): void {
    function sendNow(): void {
      send(bytes)
    }
    world.later(ms, sendNow)
  }
  function answer(id: number, requestId: string, reply: LinkReply): void {
    const answerFrame = frame(1, id, { re: requestId })
    const cut = 1 + Math.floor(reply.cutFraction * (answerFrame.length - 2))
    switch (reply.kind) {
      case 'plain':
        return send(answerFrame)
      case 'split':
        send(answerFrame.subarray(0, cut))
        if (pendingBytes) return send(answerFrame.subarray(cut))
        pendingBytes = Buffer.from(answerFrame.subarray(cut))
        return void world.later(reply.delayMs, sendPending)
      case 'silent':
        return
      case 'late':
        return sendLater(answerFrame, REQUEST_TIMEOUT_MS + LATE_BY_MS)
      case 'delayed':
        return sendLater(answerFrame, reply.delayMs)
      case 'twice':
        return send(Buffer.concat([answerFrame, answerFrame]))
      case 'twice, the second delayed':
        send(answerFrame)
        return sendLater(answerFrame, reply.delayMs)
      case 'after the next answer':
        heldAnswer = answerFrame
        return
      case 'unknown request first':
        send(frame(1, id + 1000, { re: 'nobody' }))
        return send(answerFrame)
      case 'reset before':
      case 'reset after':
        return void stream.destroy()
      case 'part':
        send(answerFrame.subarray(0, cut))
        return void stream.destroy()
      case 'garbage':
        return send(Buffer.from([0, 0, 0, 2, 0xff, 0xff]))
      case 'too long':
        return send(Buffer.from([0xff, 0xff, 0xff, 0xff]))
    }
  }
  function receive(bytes: Uint8Array): void {
    const [kind, id, msg] = decode(bytes) as [number, number, { t?: string; id?: string }]
    if (kind !== 0) return
    if (!hasSentHello) {
      hasSentHello = true
      return send(frame(1, id, makeHello('core', 'far')))
    }
    if (msg.id === undefined) return send(frame(1, id, { t: 'pong' }))
    const reply = nextReply() ?? { kind: 'plain', cutFraction: 0, delayMs: 0 }
    if (reply.kind !== 'reset before') countReceived(model, msg.id)
    const previousAnswer = heldAnswer
    heldAnswer = undefined
    answer(id, msg.id, reply)
    if (previousAnswer) send(previousAnswer)
  }
  function onData(chunk: Buffer): void {
    unparsed = Buffer.concat([unparsed, chunk])
    while (unparsed.length >= 4 && unparsed.length >= 4 + unparsed.readUInt32BE(0)) {
      const frameLength = 4 + unparsed.readUInt32BE(0)
      const payload = unparsed.subarray(4, frameLength)
      unparsed = unparsed.subarray(frameLength)
      receive(payload)
    }
  }
  stream.on('error', ignore)
  stream.on('data', onData)
}

async function runLinkSchedule(seed: number, replies: LinkReply[], callers: number[]): Promise<Model> {
  const sim = makeSim(seed)
  const model = makeModel()
  let replyIndex = 0
  let callersLeft = callers.length
  function nextReply(): LinkReply | undefined {
    return replies[replyIndex++]
  }
  async function runServer(world: World): Promise<void> {
    function onConnection(stream: Duplex): void {
      serveLink(world, stream, model, nextReply)
    }
    await world.listen('10.0.0.1:7000', onConnection)
  }
  async function runClient(world: World): Promise<void> {
    const link: PersistentLink = makePersistentLink(
      world,
      '10.0.0.1:7000',
      makeHello('agent', 'near'),
      ignore,
      makeFlag(),
    )
    async function runCaller(callerIndex: number, count: number): Promise<void> {
      for (let k = 0; k < count; k++) {
        const id = `${callerIndex}.${k}`
        checkAnswer(model, id, await link.ask({ t: 'ask', id }, REQUEST_TIMEOUT_MS))
        await pause(world, 20)
      }
      callersLeft--
    }
    await pause(world, 50)
    for (const [callerIndex, count] of callers.entries()) void runCaller(callerIndex, count)
  }
  sim.spawn(sim.machine('far', '10.0.0.1'), 'far', runServer)
  sim.spawn(sim.machine('near', '10.0.2.1'), 'near', runClient)
  function isFinished(): boolean {
    return callersLeft === 0
  }
  return finish(model, await sim.until(isFinished, RUN_TIMEOUT_MS), sim.lines)
}

const linkReplies: fc.Arbitrary<LinkReply> = fc.record({
  kind: fc.constantFrom(...LINK_REPLY_KINDS),
  cutFraction: fc.double({ min: 0, max: 0.999, noNaN: true }),
  delayMs: fc.integer({ min: 0, max: REQUEST_TIMEOUT_MS }),
})
async function linkSchedules(test: Test): Promise<void> {
  let runs = 0
  let answered = 0
  async function checkSchedule(seed: number, replies: LinkReply[], callers: number[]): Promise<void> {
    const model = await runLinkSchedule(seed, replies, callers)
    runs++
    answered += model.answeredCount
    if (model.faults.length > 0) throw new Error(model.faults.join('; '))
  }
  const schedule = fc.asyncProperty(
    fc.integer({ min: 1, max: 1000 }),
    fc.array(linkReplies, { maxLength: 30 }),
    fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 1, maxLength: 4 }),
    checkSchedule,
  )
  await test.resolves(fc.assert(schedule, { seed: 19, numRuns: 300 }))
  test.ok(answered > 1000, `${answered} answers in ${runs} schedules`)
}

/**
 * A request in flight ends when its link breaks, and the answer that is still being prepared for it is discarded: the
 * first request of the next link has the same id there, and must get its own answer.
 */
async function answerOfEarlierLink(test: Test): Promise<void> {
  const sim = makeSim(3)
  const results: unknown[] = []
  let isSlow = true
  async function runServer(world: World): Promise<void> {
    function serveOne(): (msg: unknown) => Promise<unknown> {
      async function receive(msg: unknown): Promise<unknown> {
        await pause(world, isSlow ? 2000 : 1)
        return { re: (msg as { id: string }).id }
      }
      return receive
    }
    await world.listen('10.0.0.1:7000', acceptLinks(world, makeHello('core', 'far'), serveOne))
  }
  async function runClient(world: World): Promise<void> {
    const link = makePersistentLink(world, '10.0.0.1:7000', makeHello('agent', 'near'), ignore, makeFlag())
    await pause(world, 100)
    async function sendFirst(): Promise<void> {
      results.push(await link.ask({ id: 'old' }, 5000))
    }
    void sendFirst()
    await pause(world, 100)
    sim.reset(clientProcess)
    await pause(world, 1000)
    results.push(await link.ask({ id: 'new' }, 5000))
    isSlow = false
    results.push(await link.ask({ id: 'newer' }, 5000))
  }
  sim.spawn(sim.machine('far', '10.0.0.1'), 'far', runServer)
  const clientProcess = sim.spawn(sim.machine('near', '10.0.2.1'), 'near', runClient)
  await sim.run(sim.now() + 10000)
  test.strictSame(results, [undefined, { re: 'new' }, { re: 'newer' }])
}

/** A closed link ends the requests in flight and sends no new ones. */
async function closedLink(test: Test): Promise<void> {
  const sim = makeSim(4)
  const results: unknown[] = []
  async function runServer(world: World): Promise<void> {
    function onConnection(stream: Duplex): void {
      makeLink(world, stream, neverAnswer)
    }
    function neverAnswer(): Promise<unknown> {
      return makeFlag().wait()
    }
    await world.listen('10.0.0.1:7000', onConnection)
  }
  async function runClient(world: World): Promise<void> {
    await pause(world, 10)
    const link: Link = makeLink(world, await world.dial('10.0.0.1:7000', 100), ignore)
    async function sendRequest(): Promise<void> {
      results.push(await link.ask({ id: 'a' }, 60000))
    }
    void sendRequest()
    void sendRequest()
    await pause(world, 50)
    link.close()
    await pause(world, 1)
    test.strictSame(results, [undefined, undefined], 'every request in flight ends when the link closes')
    results.push(await link.ask({ id: 'b' }, 60000))
  }
  sim.spawn(sim.machine('far', '10.0.0.1'), 'far', runServer)
  sim.spawn(sim.machine('near', '10.0.2.1'), 'near', runClient)
  await sim.run(sim.now() + 5000)
  test.equal(results.length, 3)
}

// --- HTTP ---

const HTTP_REPLY_KINDS = [
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
  'connection: close',
  'garbage',
] as const
/** The same for HTTP. */
type HttpReply = { kind: (typeof HTTP_REPLY_KINDS)[number]; cutFraction: number; delayMs: number }

function httpAnswer(id: string, extraHeaders = ''): string {
  const body = JSON.stringify({ re: id })
  return `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n${extraHeaders}\r\n${body}`
}
function serveHttp(world: World, stream: Duplex, model: Model, nextReply: () => HttpReply | undefined): void {
  let unparsed = ''
  function send(text: string): void {
    if (!stream.destroyed) stream.write(text)
  }
  function sendLater(text: string, ms: number): void {
    function sendNow(): void {
      send(text)
    }
    world.later(ms, sendNow)
  }
  function answerRequest(id: string): void {
    const reply = nextReply() ?? { kind: 'plain', cutFraction: 0, delayMs: 0 }
    if (reply.kind === 'reset before') return void stream.destroy()
    countReceived(model, id)
    const response = httpAnswer(id)
    const cut = 1 + Math.floor(reply.cutFraction * (response.length - 2))
    switch (reply.kind) {
      case 'plain':
        return send(response)
      case 'split':
        send(response.slice(0, cut))
        return sendLater(response.slice(cut), reply.delayMs)
      case 'silent':
        return
      case 'late':
        return sendLater(response, REQUEST_TIMEOUT_MS + LATE_BY_MS)
      case 'twice':
        return send(response + response)
      case 'stray answer':
        send(response)
        return sendLater(response, reply.delayMs)
      case 'stray part':
        send(response)
        return sendLater(response.slice(0, cut), reply.delayMs)
      case 'stray byte':
        send(response)
        return sendLater('\n', reply.delayMs)
      case 'reset after':
        return void stream.destroy()
      case 'part':
        send(response.slice(0, cut))
        return void stream.destroy()
      case 'half closed':
        send(response)
        return void stream.end()
      case 'too short':
        send(response.replace(/content-length: \d+/, 'content-length: 900'))
        return void stream.end()
      case 'not json':
        return send(response.replace('{"re"', '{"re'))
      case 'connection: close':
        return send(httpAnswer(id, 'connection: close\r\n'))
      case 'garbage':
        return send('nothing of HTTP\r\n\r\n')
    }
  }
  function onData(chunk: Buffer): void {
    unparsed += chunk.toString()
    for (;;) {
      const headLength = unparsed.indexOf('\r\n\r\n')
      if (headLength < 0) return
      const bodyLength = Number(/content-length: (\d+)/i.exec(unparsed.slice(0, headLength))?.[1] ?? 0)
      if (unparsed.length < headLength + 4 + bodyLength) return
      const body = unparsed.slice(headLength + 4, headLength + 4 + bodyLength)
      unparsed = unparsed.slice(headLength + 4 + bodyLength)
      answerRequest((JSON.parse(body) as { id: string }).id)
    }
  }
  stream.on('error', ignore)
  stream.on('data', onData)
}

/** Concurrent callers, each of which keeps its own connection as long as it is alive. */
async function runHttpSchedule(seed: number, replies: HttpReply[], callers: number[]): Promise<Model> {
  const sim = makeSim(seed)
  const model = makeModel()
  let replyIndex = 0
  let callersLeft = callers.length
  function nextReply(): HttpReply | undefined {
    return replies[replyIndex++]
  }
  async function runServer(world: World): Promise<void> {
    function onConnection(stream: Duplex): void {
      serveHttp(world, stream, model, nextReply)
    }
    await world.listen('10.0.0.1:80', onConnection)
  }
  async function runClient(world: World): Promise<void> {
    async function runCaller(callerIndex: number, count: number): Promise<void> {
      let connection: HttpConnection | undefined
      for (let k = 0; k < count; k++) {
        const id = `${callerIndex}.${k}`
        if (!connection?.alive()) connection = (await openHttpConnection(world, '10.0.0.1:80')).unwrap()
        const answer = await connection.ask('POST', '/ask', { id }, REQUEST_TIMEOUT_MS)
        checkAnswer(model, id, answer.ok ? answer.val.body : undefined)
        if (answer.err && answer.val.reach === 'none' && model.receivedCounts.has(id))
          model.faults.push(`${id} was received, but reported as not sent`)
        if (answer.err && connection.alive()) model.faults.push(`${id} failed, but its connection is kept`)
        await pause(world, THINK_TIME_MS)
      }
      connection?.close()
      callersLeft--
    }
    await pause(world, 10)
    for (const [callerIndex, count] of callers.entries()) void runCaller(callerIndex, count)
  }
  sim.spawn(sim.machine('far', '10.0.0.1'), 'far', runServer)
  sim.spawn(sim.machine('near', '10.0.2.1'), 'near', runClient)
  function isFinished(): boolean {
    return callersLeft === 0
  }
  return finish(model, await sim.until(isFinished, RUN_TIMEOUT_MS), sim.lines)
}

const httpReplies: fc.Arbitrary<HttpReply> = fc.record({
  kind: fc.constantFrom(...HTTP_REPLY_KINDS),
  cutFraction: fc.double({ min: 0, max: 0.999, noNaN: true }),
  delayMs: fc.integer({ min: 0, max: MAX_STRAY_DELAY_MS }),
})
async function httpSchedules(test: Test): Promise<void> {
  let runs = 0
  let answered = 0
  async function checkSchedule(seed: number, replies: HttpReply[], callers: number[]): Promise<void> {
    const model = await runHttpSchedule(seed, replies, callers)
    runs++
    answered += model.answeredCount
    if (model.faults.length > 0) throw new Error(model.faults.join('; '))
  }
  const schedule = fc.asyncProperty(
    fc.integer({ min: 1, max: 1000 }),
    fc.array(httpReplies, { maxLength: 24 }),
    fc.array(fc.integer({ min: 1, max: 10 }), { minLength: 1, maxLength: 3 }),
    checkSchedule,
  )
  await test.resolves(fc.assert(schedule, { seed: 19, numRuns: 300 }))
  test.ok(answered > 1000, `${answered} answers in ${runs} schedules`)
}

/**
 * Bytes received while no request is in flight close the connection, so that none of them can be taken for the answer
 * to the next request.
 */
async function bytesWhileIdle(test: Test): Promise<void> {
  for (const stray of ['\n', 'HTTP', httpAnswer('stray')]) {
    const sim = makeSim(5)
    const results: unknown[] = []
    async function runServer(world: World): Promise<void> {
      function onConnection(stream: Duplex): void {
        function onData(): void {
          stream.write(httpAnswer('own'))
          function sendStray(): void {
            stream.write(stray)
          }
          world.later(50, sendStray)
        }
        stream.on('error', ignore)
        stream.on('data', onData)
      }
      await world.listen('10.0.0.1:80', onConnection)
    }
    async function runClient(world: World): Promise<void> {
      await pause(world, 10)
      const connection = (await openHttpConnection(world, '10.0.0.1:80')).unwrap()
      results.push((await connection.ask('GET', '/', undefined, REQUEST_TIMEOUT_MS)).unwrap().body)
      results.push(connection.alive())
      await pause(world, 100)
      results.push(connection.alive())
      const second = await connection.ask('GET', '/', undefined, REQUEST_TIMEOUT_MS)
      results.push(second.err ? second.val.reach : second.val.body)
    }
    sim.spawn(sim.machine('far', '10.0.0.1'), 'far', runServer)
    sim.spawn(sim.machine('near', '10.0.2.1'), 'near', runClient)
    await sim.run(sim.now() + 5000)
    test.strictSame(results, [{ re: 'own' }, true, false, 'none'], JSON.stringify(stray.slice(0, 8)))
  }
}

/** A second answer that arrives while the next request is in flight is not taken for the answer to it. */
async function lateSecondAnswers(test: Test): Promise<void> {
  const sim = makeSim(7)
  const results: unknown[] = []
  async function runServer(world: World): Promise<void> {
    function onConnection(stream: Duplex): void {
      function onData(chunk: Buffer): void {
        const [, number] = /x-request-id: (\d+)/i.exec(chunk.toString('latin1')) ?? []
        const answer = httpAnswer(`request ${number}`).replace('\r\n', `\r\nx-request-id: ${number}\r\n`)
        function send(): void {
          if (!stream.destroyed) stream.write(answer)
        }
        if (number === '1') send()
        // The second answer to the first request arrives before the answer to the second one.
        world.later(number === '1' ? 50 : 40, send)
      }
      stream.on('error', ignore)
      stream.on('data', onData)
    }
    await world.listen('10.0.0.1:80', onConnection)
  }
  async function runClient(world: World): Promise<void> {
    await pause(world, 10)
    const connection = (await openHttpConnection(world, '10.0.0.1:80', 500, { numbersRequests: true })).unwrap()
    for (let count = 0; count < 2; count++) {
      const answer = await connection.ask('GET', '/', undefined, REQUEST_TIMEOUT_MS)
      results.push(answer.ok ? answer.val.body : `${answer.val.reach}: ${answer.val.why}`)
      await pause(world, THINK_TIME_MS)
    }
    results.push(connection.alive())
  }
  sim.spawn(sim.machine('far', '10.0.0.1'), 'far', runServer)
  sim.spawn(sim.machine('near', '10.0.2.1'), 'near', runClient)
  await sim.run(sim.now() + 5000)
  test.strictSame(results, [{ re: 'request 1' }, 'maybe: answer to another request', false])
}

/** The server repeats the number of a request in its answer. */
async function numbersAreRepeated(test: Test): Promise<void> {
  const sim = makeSim(8)
  const results: unknown[] = []
  async function runServer(world: World): Promise<void> {
    function handle(): HttpResponse {
      return { status: 200, body: 'own' }
    }
    await serveHttpAt(world, '10.0.0.1:80', handle)
  }
  async function runClient(world: World): Promise<void> {
    await pause(world, 10)
    const stream = await world.dial('10.0.0.1:80', 500)
    function onData(chunk: Buffer): void {
      results.push(/x-request-id: (\S+)/i.exec(chunk.toString('latin1'))?.[1])
    }
    stream.on('data', onData)
    stream.write('GET / HTTP/1.1\r\nhost: x\r\nx-request-id: 49\r\n\r\n')
    await pause(world, 100)
    stream.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n')
  }
  sim.spawn(sim.machine('far', '10.0.0.1'), 'far', runServer)
  sim.spawn(sim.machine('near', '10.0.2.1'), 'near', runClient)
  await sim.run(sim.now() + 5000)
  test.strictSame(results, ['49', undefined])
}

/** A second request on a connection is not sent while the first one is in flight. */
async function concurrentRequests(test: Test): Promise<void> {
  const sim = makeSim(6)
  const model = makeModel()
  const results: unknown[] = []
  async function runServer(world: World): Promise<void> {
    function onConnection(stream: Duplex): void {
      serveHttp(world, stream, model, splitReply)
    }
    function splitReply(): HttpReply {
      return { kind: 'split', cutFraction: 0.5, delayMs: 50 }
    }
    await world.listen('10.0.0.1:80', onConnection)
  }
  async function runClient(world: World): Promise<void> {
    await pause(world, 10)
    const connection = (await openHttpConnection(world, '10.0.0.1:80')).unwrap()
    const [first, second] = await Promise.all([
      connection.ask('POST', '/ask', { id: 'a' }, REQUEST_TIMEOUT_MS),
      connection.ask('POST', '/ask', { id: 'b' }, REQUEST_TIMEOUT_MS),
    ])
    results.push(first.ok ? first.val.body : first.val.reach, second.ok ? second.val.body : second.val.reach)
    const third = await connection.ask('POST', '/ask', { id: 'c' }, REQUEST_TIMEOUT_MS)
    results.push(third.ok ? third.val.body : third.val.reach)
  }
  sim.spawn(sim.machine('far', '10.0.0.1'), 'far', runServer)
  sim.spawn(sim.machine('near', '10.0.2.1'), 'near', runClient)
  await sim.run(sim.now() + 5000)
  test.strictSame(results, [{ re: 'a' }, 'none', { re: 'c' }])
  test.strictSame(
    [...model.receivedCounts],
    [
      ['a', 1],
      ['c', 1],
    ],
  )
}

void t.test('links: schedules of wrong answers against a reference model', linkSchedules)
void t.test('links: an answer to a request of the previous link', answerOfEarlierLink)
void t.test('links: a closed link', closedLink)
void t.test('HTTP: schedules of wrong answers against a reference model', httpSchedules)
void t.test('HTTP: bytes while no request is in flight', bytesWhileIdle)
void t.test('HTTP: two concurrent requests', concurrentRequests)
void t.test('HTTP: a late second answer is not the answer to the next request', lateSecondAnswers)
void t.test('HTTP: answers repeat the number of their request', numbersAreRepeated)
