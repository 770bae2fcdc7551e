import t, { type Test } from 'tap'
import { startAgent, type Agent } from '@claynotch/agent'
import { LINK_VERSION, requestOnce, encode, openHttpConnection, pause, type World } from '@claynotch/base'
import { makeSimFleet, smallShape } from '../simfleet.js'
import { beside } from './beside.js'

t.setTimeout(600000)

type Told = {
  outcome?: string
  class?: string
  kept?: string
  again?: boolean
  findings?: { place: string }[]
  session?: string
  token?: string
  rows?: unknown[]
  transaction?: string
}

async function requesterInput(c: Test): Promise<void> {
  const f = makeSimFleet(1, smallShape())
  await f.begin()
  const at = f.fronts[0].listen
  async function run(world: World): Promise<void> {
    async function post(
      path: string,
      body: unknown,
      headers: [string, string][] = [],
    ): Promise<{ status: number; body: Told; after: number | undefined }> {
      const got = (await requestOnce(world, at, 'POST', path, body, 20000, headers)).unwrap()
      return { status: got.status, body: got.body as Told, after: got.after }
    }
    async function raw(text: string, ms = 200): Promise<string> {
      const s = await world.dial(at, 1000)
      let out = ''
      function take(b: Buffer): void {
        out += b.toString()
      }
      s.on('data', take)
      s.on('error', ignore)
      s.write(text)
      await pause(world, ms)
      s.destroy()
      return out
    }
    function ignore(): void {}
    c.match(
      await raw('POST /calls HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{"lane"', 11000),
      /408 Request Timeout[^]*connection: close/i,
      'a body that never comes whole',
    )
    c.match(
      await raw(
        'POST /sessions HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 5\r\n\r\n{"a":',
      ),
      /400 Bad Request[^]*malformed JSON/,
      'malformed JSON',
    )
    c.match(await raw('GARBAGE\r\n\r\n'), /400 Bad Request/, 'not HTTP at all')
    const big = await post('/calls', { lane: 'book-g1', kind: 'write', text: 'append', args: ['x'.repeat(300 * 1024)] })
    c.equal(big.status, 413, 'an oversized body')
    const types = await post('/calls', { lane: 7, kind: 'both', text: 'list', colour: 'red' })
    c.equal(types.status, 400)
    c.equal(types.body.class, 'INVALID_ARGUMENT')
    const places: string[] = []
    for (const x of types.body.findings ?? []) places.push(x.place)
    for (const p of ['/lane', '/kind', '/colour']) c.ok(places.includes(p), `a finding at ${p}`)
    c.equal((await post('/calls', { lane: 'nowhere', kind: 'read', text: 'list' })).status, 404, 'an unknown lane')
    c.equal((await post('/sessions/none/commit', {})).status, 404, 'an unknown session')
    c.equal((await post('/nothing', {})).status, 404, 'an unknown path')
    c.equal(
      (await post('/calls', { lane: 'book-g1', kind: 'read', text: 'list', args: ['k'] }, [['x-deadline-ms', 'soon']]))
        .status,
      400,
      'a deadline that is no number',
    )
    c.equal((await post('/sessions', { lane: 'book-g1', token: 'other:1:2' })).status, 400, 'a token of another group')
    // What the instance answers finally is told at once, classified, and promises what holds.
    const type = await post('/calls', { lane: 'book-g1', kind: 'read', text: 'wrongtype' })
    c.strictSame([type.status, type.body.class, type.body.kept], [400, 'INVALID_ARGUMENT', 'nothing'])
    const disguise = await post('/calls', { lane: 'book-g1', kind: 'read', text: 'append', args: ['k', 'disguise'] })
    c.strictSame(
      [disguise.status, disguise.body.class],
      [403, 'PERMISSION_DENIED'],
      "a write in a read's clothes is refused by the instance",
    )
    const box = f.leaderOf('g1')!
    box.instance!.faults.full = true
    const from = world.now()
    const full = await post('/calls', { lane: 'book-g1', kind: 'write', text: 'append', args: ['k', 'full'] })
    c.strictSame([full.status, full.body.class, full.body.kept, full.after], [429, 'RESOURCE_EXHAUSTED', 'nothing', 1])
    c.ok(world.now() - from < 50, 'at once, with Retry-After, not retried')
    box.instance!.faults.full = false
    // A session: shapes, transactions, their rules.
    const s = (await post('/sessions', { lane: 'book-g1', settings: [{ name: 'who', value: 'me' }] })).body.session!
    c.equal((await post(`/sessions/${s}/commit`, {})).status, 400, 'no transaction to commit')
    c.equal(
      (await post(`/sessions/${s}/statement`, { kind: 'read', text: 'list', shape: 'x' })).status,
      400,
      'text and shape together',
    )
    c.equal(
      (await post(`/sessions/${s}/statement`, { kind: 'read', shape: 'x' })).status,
      404,
      'a shape that was not prepared',
    )
    await post(`/sessions/${s}/shapes`, { name: 'x', text: 'setting' })
    c.strictSame(
      (await post(`/sessions/${s}/statement`, { kind: 'read', shape: 'x', args: ['who'] })).body.rows,
      ['who', 'me'],
      'settings and shapes are in force',
    )
    await post(`/sessions/${s}/begin`, { kind: 'write' })
    c.equal((await post(`/sessions/${s}/begin`, {})).status, 400, 'a transaction within one')
    await post(`/sessions/${s}/statement`, { kind: 'write', text: 'append', args: ['tx', 'a'] })
    const bad = await post(`/sessions/${s}/statement`, { kind: 'read', text: 'wrongtype' })
    c.strictSame(
      [bad.status, bad.body.class, bad.body.kept, bad.body.transaction],
      [409, 'INVALID_ARGUMENT', 'unknown', 'over'],
      'an error ends the transaction, classified, promising nothing',
    )
    c.equal((await post(`/sessions/${s}/commit`, {})).status, 400)
    c.strictSame(
      ((await post('/calls', { lane: 'book-g1', kind: 'read', text: 'list', args: ['tx'] })).body.rows ?? [])[1],
      [],
      'and nothing of it was kept',
    )
    // The token carries the session's last write to another node.
    const wrote = await post('/calls', { lane: 'dep-g1', kind: 'write', text: 'append', args: ['tok', 'w'] })
    c.match(wrote.body.token, /^g1:1:\d+$/)
    const there = (
      await requestOnce(
        world,
        f.fronts[1].listen,
        'POST',
        '/calls',
        { lane: 'dep-g1', kind: 'read', text: 'list', args: ['tok'], token: wrote.body.token },
        5000,
      )
    ).unwrap()
    c.strictSame(((there.body as Told).rows ?? [])[1], ['w'], "read one's write on another node")
    const future = (
      await requestOnce(
        world,
        f.fronts[1].listen,
        'POST',
        '/calls',
        { lane: 'dep-g1', kind: 'read', text: 'list', args: ['tok'], token: 'g1:1:999999' },
        5000,
      )
    ).unwrap()
    c.equal(future.status, 200, 'a token ahead of every follower goes to the leader')
    // A requester that goes away in the middle of its transaction is rolled back.
    const gone = (await post('/sessions', { lane: 'book-g1' })).body.session!
    await post(`/sessions/${gone}/begin`, {})
    await post(`/sessions/${gone}/statement`, { kind: 'write', text: 'append', args: ['gone', 'g'] })
    box.instance!.faults.dark = true
    const line = (await openHttpConnection(world, at)).unwrap()
    void line.ask('POST', `/sessions/${gone}/statement`, { kind: 'write', text: 'append', args: ['gone', 'h'] }, 100)
    await pause(world, 300)
    box.instance!.faults.dark = false
    await pause(world, 8000)
    c.equal((await post(`/sessions/${gone}/commit`, {})).status, 400, 'its transaction is over')
    c.strictSame(
      ((await post('/calls', { lane: 'book-g1', kind: 'read', text: 'list', args: ['gone'] })).body.rows ?? [])[1],
      [],
    )
  }
  await beside(f, run)
  c.strictSame(f.sim.lines, [], 'no fault in any process')
}

async function operatorInput(c: Test): Promise<void> {
  const f = makeSimFleet(2, smallShape())
  await f.begin()
  async function run(world: World): Promise<void> {
    const at = f.fronts[1].http
    async function stream(
      lines: string,
    ): Promise<{ decision: string; why: string; epoch?: number; findings?: { place: string }[] }[]> {
      const s = await world.dial(at, 1000)
      let out = ''
      function take(b: Buffer): void {
        out += b.toString()
      }
      function ignore(): void {}
      s.on('data', take)
      s.on('error', ignore)
      s.write(
        `POST /streams/ops HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: ${Buffer.byteLength(lines)}\r\n\r\n${lines}`,
      )
      await pause(world, 1500)
      s.destroy()
      const told: { decision: string; why: string }[] = []
      for (const l of out.split(/\r?\n/))
        if (l.startsWith('{')) told.push(JSON.parse(l) as { decision: string; why: string })
      return told
    }
    const lane = { name: 'more', database: 'kiln', group: 'g1', reads: 'leader' }
    const put = { number: 1, expect: 1, edits: [{ op: 'put', what: 'lane', value: lane }] }
    const got = await stream(
      [
        JSON.stringify(put),
        'no json',
        JSON.stringify({ number: 'x', expect: 2, colour: 1 }),
        JSON.stringify({ ...put, number: 2 }),
        JSON.stringify(put),
        JSON.stringify({ number: 3, expect: 2, edits: [{ op: 'drop', what: 'group', name: 'g1' }] }),
      ].join('\n') + '\n',
    )
    c.equal(got.length, 6, 'one decision a line')
    c.strictSame(got.map(decisionOf), ['accepted', 'refused', 'refused', 'refused', 'accepted', 'refused'])
    c.equal(got[0].epoch, 2)
    c.strictSame(got[4], got[0], 'a repeat gets the first decision')
    c.equal(got[3].epoch, 2, 'a loser is told the present epoch')
    c.ok((got[5].findings ?? []).length >= 3, 'lanes that would lead nowhere are each named')
    const config = (await requestOnce(world, at, 'GET', '/configuration', undefined, 5000)).unwrap().body as {
      epoch: number
      config: { lanes: unknown[] }
    }
    c.equal(config.epoch, 2)
    c.equal(config.config.lanes.length, 4)
    c.equal(
      (
        await requestOnce(
          world,
          at,
          'POST',
          '/announcement',
          { name: 'x', group: 'g1', addr: 'nowhere', area: 'a', role: 'boss' },
          5000,
        )
      ).unwrap().status,
      400,
      'an announcement that makes no sense',
    )
    c.equal((await requestOnce(world, at, 'POST', '/groups/none/replacement', {}, 5000)).unwrap().status, 409)
    // The stream of decisions: what is kept, then each as it is taken.
    const s = await world.dial(f.fronts[2].http, 1000)
    let heard = ''
    function take(b: Buffer): void {
      heard += b.toString()
    }
    s.on('data', take)
    s.write('GET /decisions/ops?follow=1 HTTP/1.1\r\nhost: x\r\n\r\n')
    await pause(world, 300)
    const before = heard.split('"decision"').length - 1
    await stream(`${JSON.stringify({ number: 4, expect: 2, edits: [{ op: 'drop', what: 'lane', name: 'more' }] })}\n`)
    c.match(heard, /"number":4,"decision":"accepted","epoch":3/, 'a new decision comes down the stream')
    c.equal(heard.split('"decision"').length - 1, before + 1, 'once')
    s.destroy()
    // Members and their acknowledgements.
    await pause(world, 2000)
    const members = (await requestOnce(world, at, 'GET', '/members', undefined, 5000)).unwrap().body as {
      node: string
      behind: unknown[]
    }[]
    c.equal(members.length, 3)
    for (const m of members) c.strictSame(m.behind, [], `${m.node} has acknowledged all`)
    // An agent that is told to stop ends, though someone follows its decisions.
    const s2 = await world.dial(f.fronts[2].http, 1000)
    function quiet(): void {}
    s2.on('data', quiet)
    s2.on('error', quiet)
    s2.write('GET /decisions?follow=1 HTTP/1.1\r\nhost: x\r\n\r\n')
    await pause(world, 100)
    let ended = false
    function over(): void {
      ended = true
    }
    void f.fronts[2].agent!.stop().then(over)
    await pause(world, 3000)
    c.ok(ended, 'within 3 s')
  }
  await beside(f, run)
  c.strictSame(f.sim.lines, [])
}
function decisionOf(d: { decision: string }): string {
  return d.decision
}

async function internalInput(c: Test): Promise<void> {
  const f = makeSimFleet(3, smallShape())
  await f.begin()
  async function run(world: World): Promise<void> {
    function ignore(): void {}
    async function closes(bytes: Uint8Array): Promise<boolean> {
      const s = await world.dial('10.0.1.1:7000', 1000)
      let over = false
      function ended(): void {
        over = true
      }
      s.on('close', ended)
      s.on('error', ignore)
      s.on('data', ignore)
      s.write(bytes)
      await pause(world, 500)
      return over
    }
    function frame(body: unknown): Uint8Array {
      const b = encode(body)
      const head = Buffer.alloc(4)
      head.writeUInt32BE(b.length)
      return Buffer.concat([head, b])
    }
    c.ok(await closes(Buffer.from('GET / HTTP/1.1\r\n\r\n')), 'HTTP on a link')
    c.ok(await closes(Buffer.from([255, 255, 255, 255, 1])), 'a frame too long')
    c.ok(await closes(Buffer.from([0, 0, 0, 2, 0xff, 0xff])), 'no CBOR')
    c.ok(await closes(frame([0, 1, { t: 'prepare', key: 'k', ballot: [9, 'x'] }])), 'a word before the hello')
    const hello = frame([0, 1, { t: 'hello', kind: 'agent', node: 'x', epoch: 1, least: 1 }])
    c.ok(await closes(Buffer.concat([hello, frame([0, 2, { t: 'prepare', key: 7 }])])), 'a word that is none')
    // Mixed versions: a newer program that can still speak ours is heard, one that can't is not.
    c.notOk(
      await closes(frame([0, 1, { t: 'hello', kind: 'agent', node: 'x', epoch: LINK_VERSION + 2, least: 1 }])),
      'a newer program that still speaks our epoch',
    )
    c.ok(
      await closes(
        frame([0, 1, { t: 'hello', kind: 'agent', node: 'x', epoch: LINK_VERSION + 2, least: LINK_VERSION + 1 }]),
      ),
      'a newer program that does not',
    )
    const wire = await world.bindDatagrams('10.0.6.1:9', ignore)
    for (const body of [Buffer.from('junk'), encode({ v: 99, node: 'later' }), encode({ v: 1, node: 5 })])
      wire.send('10.0.2.1:7200', body)
    await pause(world, 500)
    const metrics = f.fronts[0].agent!.metrics
    c.equal(metrics.get('claynotch_summary_garbage_total'), 2, 'garbage is counted')
    c.equal(metrics.get('claynotch_summary_other_epoch_total'), 1, 'other versions are ignored, and counted')
  }
  await beside(f, run)
  c.strictSame(f.sim.lines, [], 'no process minds')
  c.ok(f.fronts[0].proxy!.state.hasValidLease())
}

// Two agents under one name: the newer takes the node over, the older loses its term and says why.
async function twins(c: Test): Promise<void> {
  const f = makeSimFleet(4, smallShape(), { keepLines: true })
  c.ok(await f.begin())
  const other = f.sim.machine('twin', '10.0.5.1')
  let twin: Agent | undefined
  async function start(world: World): Promise<void> {
    twin = await startAgent(world, {
      node: 'front1',
      area: 'a',
      link: '127.0.0.1:7100',
      peer: '10.0.5.1:7200',
      http: '10.0.5.1:7080',
      seeds: ['10.0.1.1:7001'],
      build: 'sim',
    })
  }
  f.sim.spawn(other, 'twin', start)
  await f.sim.run(f.sim.now() + 6000)
  c.ok((twin?.leaseExpiresAt() ?? 0) > 0, 'the newer holds the term')
  c.equal(f.fronts[0].proxy!.state.hasValidLease(), false, "the older one's proxy takes no work")
  c.ok(f.fronts[0].agent!.metrics.get('claynotch_renewals_total', [['end', 'replaced']]) > 0)
  c.ok(f.sim.lines.some(isReplaced), 'and the log says why')
}
function isReplaced(line: string): boolean {
  return line.includes('proc=front1-agent') && line.includes('event=node-replaced')
}

void t.test('two agents under one name', twins)
void t.test('requesters: bad input and the verdicts of each kind', requesterInput)
void t.test('operators: a stream of changes, good and bad', operatorInput)
void t.test('internal links and summaries: garbage and other versions', internalInput)
