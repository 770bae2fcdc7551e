import t, { type Test } from 'tap'
import { startAgent, type Agent } from '@claynotch/agent'
import { LINK_VERSION, requestOnce, encode, openHttpConnection, pause, type World } from '@claynotch/base'
import { makeSimFleet, smallShape } from '../simfleet.js'
import { beside } from './beside.js'

t.setTimeout(600000)

/** The fields of an answer's body that these tests read. */
type AnswerBody = {
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

async function requesterInput(test: Test): Promise<void> {
  const fleet = makeSimFleet(1, smallShape())
  await fleet.begin()
  const proxyAddress = fleet.fronts[0].listen
  async function run(world: World): Promise<void> {
    async function post(
      path: string,
      body: unknown,
      headers: [string, string][] = [],
    ): Promise<{ status: number; body: AnswerBody; after: number | undefined }> {
      const answer = (await requestOnce(world, proxyAddress, 'POST', path, body, 20000, headers)).unwrap()
      return { status: answer.status, body: answer.body as AnswerBody, after: answer.after }
    }
    async function sendRaw(text: string, waitMs = 200): Promise<string> {
      const socket = await world.dial(proxyAddress, 1000)
      let received = ''
      function receive(data: Buffer): void {
        received += data.toString()
      }
      socket.on('data', receive)
      socket.on('error', ignore)
      socket.write(text)
      await pause(world, waitMs)
      socket.destroy()
      return received
    }
    function ignore(): void {}
    test.match(
      await sendRaw('POST /calls HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{"lane"', 11000),
      /408 Request Timeout[^]*connection: close/i,
      'a body that is never complete',
    )
    test.match(
      await sendRaw(
        'POST /sessions HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 5\r\n\r\n{"a":',
      ),
      /400 Bad Request[^]*malformed JSON/,
      'malformed JSON',
    )
    test.match(await sendRaw('GARBAGE\r\n\r\n'), /400 Bad Request/, 'not HTTP')
    const oversized = await post('/calls', {
      lane: 'book-g1',
      kind: 'write',
      text: 'append',
      args: ['x'.repeat(300 * 1024)],
    })
    test.equal(oversized.status, 413, 'an oversized body')
    const invalid = await post('/calls', { lane: 7, kind: 'both', text: 'list', colour: 'red' })
    test.equal(invalid.status, 400)
    test.equal(invalid.body.class, 'INVALID_ARGUMENT')
    const places: string[] = []
    for (const finding of invalid.body.findings ?? []) places.push(finding.place)
    for (const place of ['/lane', '/kind', '/colour']) test.ok(places.includes(place), `finding at ${place}`)
    test.equal((await post('/calls', { lane: 'nowhere', kind: 'read', text: 'list' })).status, 404, 'an unknown lane')
    test.equal((await post('/sessions/none/commit', {})).status, 404, 'an unknown session')
    test.equal((await post('/nothing', {})).status, 404, 'an unknown path')
    test.equal(
      (await post('/calls', { lane: 'book-g1', kind: 'read', text: 'list', args: ['k'] }, [['x-deadline-ms', 'soon']]))
        .status,
      400,
      'a deadline that is not a number',
    )
    test.equal(
      (await post('/sessions', { lane: 'book-g1', token: 'other:1:2' })).status,
      400,
      'a token of another group',
    )
    // A final error of the instance is answered at once, with its class and with what is known to be kept.
    const wrongType = await post('/calls', { lane: 'book-g1', kind: 'read', text: 'wrongtype' })
    test.strictSame([wrongType.status, wrongType.body.class, wrongType.body.kept], [400, 'INVALID_ARGUMENT', 'nothing'])
    const disguisedWrite = await post('/calls', {
      lane: 'book-g1',
      kind: 'read',
      text: 'append',
      args: ['k', 'disguise'],
    })
    test.strictSame(
      [disguisedWrite.status, disguisedWrite.body.class],
      [403, 'PERMISSION_DENIED'],
      'the instance refuses a write that is declared as a read',
    )
    const leader = fleet.leaderOf('g1')!
    leader.instance!.faults.full = true
    const sentAt = world.now()
    const diskFull = await post('/calls', { lane: 'book-g1', kind: 'write', text: 'append', args: ['k', 'full'] })
    test.strictSame(
      [diskFull.status, diskFull.body.class, diskFull.body.kept, diskFull.after],
      [429, 'RESOURCE_EXHAUSTED', 'nothing', 1],
    )
    test.ok(world.now() - sentAt < 50, 'answered at once with Retry-After, without a retry')
    leader.instance!.faults.full = false
    // Sessions: settings, prepared shapes and transactions.
    const session = (await post('/sessions', { lane: 'book-g1', settings: [{ name: 'who', value: 'me' }] })).body
      .session!
    test.equal((await post(`/sessions/${session}/commit`, {})).status, 400, 'no transaction to commit')
    test.equal(
      (await post(`/sessions/${session}/statement`, { kind: 'read', text: 'list', shape: 'x' })).status,
      400,
      'text and shape together',
    )
    test.equal(
      (await post(`/sessions/${session}/statement`, { kind: 'read', shape: 'x' })).status,
      404,
      'a shape that was not prepared',
    )
    await post(`/sessions/${session}/shapes`, { name: 'x', text: 'setting' })
    test.strictSame(
      (await post(`/sessions/${session}/statement`, { kind: 'read', shape: 'x', args: ['who'] })).body.rows,
      ['who', 'me'],
      'settings and shapes are applied',
    )
    await post(`/sessions/${session}/begin`, { kind: 'write' })
    test.equal((await post(`/sessions/${session}/begin`, {})).status, 400, 'a transaction within a transaction')
    await post(`/sessions/${session}/statement`, { kind: 'write', text: 'append', args: ['tx', 'a'] })
    const failed = await post(`/sessions/${session}/statement`, { kind: 'read', text: 'wrongtype' })
    test.strictSame(
      [failed.status, failed.body.class, failed.body.kept, failed.body.transaction],
      [409, 'INVALID_ARGUMENT', 'unknown', 'over'],
      'an error ends the transaction, with its class and an unknown outcome',
    )
    test.equal((await post(`/sessions/${session}/commit`, {})).status, 400)
    test.strictSame(
      ((await post('/calls', { lane: 'book-g1', kind: 'read', text: 'list', args: ['tx'] })).body.rows ?? [])[1],
      [],
      'no write of the transaction was kept',
    )
    // The token carries the session's last write to another node.
    const written = await post('/calls', { lane: 'dep-g1', kind: 'write', text: 'append', args: ['tok', 'w'] })
    test.match(written.body.token, /^g1:1:\d+$/)
    const readElsewhere = (
      await requestOnce(
        world,
        fleet.fronts[1].listen,
        'POST',
        '/calls',
        { lane: 'dep-g1', kind: 'read', text: 'list', args: ['tok'], token: written.body.token },
        5000,
      )
    ).unwrap()
    test.strictSame(
      ((readElsewhere.body as AnswerBody).rows ?? [])[1],
      ['w'],
      "a read on another node sees the session's write",
    )
    const futureToken = (
      await requestOnce(
        world,
        fleet.fronts[1].listen,
        'POST',
        '/calls',
        { lane: 'dep-g1', kind: 'read', text: 'list', args: ['tok'], token: 'g1:1:999999' },
        5000,
      )
    ).unwrap()
    test.equal(futureToken.status, 200, 'a token ahead of every follower goes to the leader')
    // The transaction of a requester that goes away before the commit is rolled back.
    const abandoned = (await post('/sessions', { lane: 'book-g1' })).body.session!
    await post(`/sessions/${abandoned}/begin`, {})
    await post(`/sessions/${abandoned}/statement`, { kind: 'write', text: 'append', args: ['gone', 'g'] })
    leader.instance!.faults.dark = true
    const connection = (await openHttpConnection(world, proxyAddress)).unwrap()
    void connection.ask(
      'POST',
      `/sessions/${abandoned}/statement`,
      { kind: 'write', text: 'append', args: ['gone', 'h'] },
      100,
    )
    await pause(world, 300)
    leader.instance!.faults.dark = false
    await pause(world, 8000)
    test.equal((await post(`/sessions/${abandoned}/commit`, {})).status, 400, 'its transaction has ended')
    test.strictSame(
      ((await post('/calls', { lane: 'book-g1', kind: 'read', text: 'list', args: ['gone'] })).body.rows ?? [])[1],
      [],
    )
  }
  await beside(fleet, run)
  test.strictSame(fleet.sim.lines, [], 'no process logged a fault')
}

async function operatorInput(test: Test): Promise<void> {
  const fleet = makeSimFleet(2, smallShape())
  await fleet.begin()
  async function run(world: World): Promise<void> {
    const operatorAddress = fleet.fronts[1].http
    async function sendStream(
      lines: string,
    ): Promise<{ decision: string; why: string; epoch?: number; findings?: { place: string }[] }[]> {
      const socket = await world.dial(operatorAddress, 1000)
      let received = ''
      function receive(data: Buffer): void {
        received += data.toString()
      }
      function ignore(): void {}
      socket.on('data', receive)
      socket.on('error', ignore)
      socket.write(
        `POST /streams/ops HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: ${Buffer.byteLength(lines)}\r\n\r\n${lines}`,
      )
      await pause(world, 1500)
      socket.destroy()
      const answers: { decision: string; why: string }[] = []
      for (const line of received.split(/\r?\n/))
        if (line.startsWith('{')) answers.push(JSON.parse(line) as { decision: string; why: string })
      return answers
    }
    const lane = { name: 'more', database: 'kiln', group: 'g1', reads: 'leader' }
    const put = { number: 1, expect: 1, edits: [{ op: 'put', what: 'lane', value: lane }] }
    const decisions = await sendStream(
      [
        JSON.stringify(put),
        'no json',
        JSON.stringify({ number: 'x', expect: 2, colour: 1 }),
        JSON.stringify({ ...put, number: 2 }),
        JSON.stringify(put),
        JSON.stringify({ number: 3, expect: 2, edits: [{ op: 'drop', what: 'group', name: 'g1' }] }),
      ].join('\n') + '\n',
    )
    test.equal(decisions.length, 6, 'one decision for each line')
    test.strictSame(decisions.map(decisionOf), ['accepted', 'refused', 'refused', 'refused', 'accepted', 'refused'])
    test.equal(decisions[0].epoch, 2)
    test.strictSame(decisions[4], decisions[0], 'a repeat gets the first decision')
    test.equal(decisions[3].epoch, 2, 'a change that lost a race is answered with the current epoch')
    test.ok((decisions[5].findings ?? []).length >= 3, 'each lane that would lose its group is named')
    const config = (await requestOnce(world, operatorAddress, 'GET', '/configuration', undefined, 5000)).unwrap()
      .body as {
      epoch: number
      config: { lanes: unknown[] }
    }
    test.equal(config.epoch, 2)
    test.equal(config.config.lanes.length, 4)
    test.equal(
      (
        await requestOnce(
          world,
          operatorAddress,
          'POST',
          '/announcement',
          { name: 'x', group: 'g1', addr: 'nowhere', area: 'a', role: 'boss' },
          5000,
        )
      ).unwrap().status,
      400,
      'an invalid announcement',
    )
    test.equal(
      (await requestOnce(world, operatorAddress, 'POST', '/groups/none/replacement', {}, 5000)).unwrap().status,
      409,
    )
    // The stream of decisions: first those that are kept, then each new one.
    const followSocket = await world.dial(fleet.fronts[2].http, 1000)
    let followed = ''
    function receive(data: Buffer): void {
      followed += data.toString()
    }
    followSocket.on('data', receive)
    followSocket.write('GET /decisions/ops?follow=1 HTTP/1.1\r\nhost: x\r\n\r\n')
    await pause(world, 300)
    const decisionsBefore = followed.split('"decision"').length - 1
    await sendStream(
      `${JSON.stringify({ number: 4, expect: 2, edits: [{ op: 'drop', what: 'lane', name: 'more' }] })}\n`,
    )
    test.match(followed, /"number":4,"decision":"accepted","epoch":3/, 'a new decision is sent on the stream')
    test.equal(followed.split('"decision"').length - 1, decisionsBefore + 1, 'the decision is sent once')
    followSocket.destroy()
    // Members and their acknowledgements.
    await pause(world, 2000)
    const members = (await requestOnce(world, operatorAddress, 'GET', '/members', undefined, 5000)).unwrap().body as {
      node: string
      behind: unknown[]
    }[]
    test.equal(members.length, 3)
    for (const member of members) test.strictSame(member.behind, [], `${member.node} has acknowledged everything`)
    // An agent stops when asked to, even while a client follows its decisions.
    const secondSocket = await world.dial(fleet.fronts[2].http, 1000)
    function ignore(): void {}
    secondSocket.on('data', ignore)
    secondSocket.on('error', ignore)
    secondSocket.write('GET /decisions?follow=1 HTTP/1.1\r\nhost: x\r\n\r\n')
    await pause(world, 100)
    let isStopped = false
    function onStopped(): void {
      isStopped = true
    }
    void fleet.fronts[2].agent!.stop().then(onStopped)
    await pause(world, 3000)
    test.ok(isStopped, 'the agent stops within 3 s')
  }
  await beside(fleet, run)
  test.strictSame(fleet.sim.lines, [])
}
function decisionOf(answer: { decision: string }): string {
  return answer.decision
}

async function internalInput(test: Test): Promise<void> {
  const fleet = makeSimFleet(3, smallShape())
  await fleet.begin()
  async function run(world: World): Promise<void> {
    function ignore(): void {}
    async function closesLink(bytes: Uint8Array): Promise<boolean> {
      const socket = await world.dial('10.0.1.1:7000', 1000)
      let isClosed = false
      function onClosed(): void {
        isClosed = true
      }
      socket.on('close', onClosed)
      socket.on('error', ignore)
      socket.on('data', ignore)
      socket.write(bytes)
      await pause(world, 500)
      return isClosed
    }
    function frame(body: unknown): Uint8Array {
      const payload = encode(body)
      const header = Buffer.alloc(4)
      header.writeUInt32BE(payload.length)
      return Buffer.concat([header, payload])
    }
    test.ok(await closesLink(Buffer.from('GET / HTTP/1.1\r\n\r\n')), 'HTTP on a link')
    test.ok(await closesLink(Buffer.from([255, 255, 255, 255, 1])), 'a frame that is too long')
    test.ok(await closesLink(Buffer.from([0, 0, 0, 2, 0xff, 0xff])), 'a frame that is not CBOR')
    test.ok(await closesLink(frame([0, 1, { t: 'prepare', key: 'k', ballot: [9, 'x'] }])), 'a message before the hello')
    const hello = frame([0, 1, { t: 'hello', kind: 'agent', node: 'x', epoch: 1, least: 1 }])
    test.ok(await closesLink(Buffer.concat([hello, frame([0, 2, { t: 'prepare', key: 7 }])])), 'an invalid message')
    // Mixed versions: a newer program is accepted if it still supports this version, and rejected otherwise.
    test.notOk(
      await closesLink(frame([0, 1, { t: 'hello', kind: 'agent', node: 'x', epoch: LINK_VERSION + 2, least: 1 }])),
      'a newer program that still supports this version',
    )
    test.ok(
      await closesLink(
        frame([0, 1, { t: 'hello', kind: 'agent', node: 'x', epoch: LINK_VERSION + 2, least: LINK_VERSION + 1 }]),
      ),
      'a newer program that no longer supports this version',
    )
    const datagrams = await world.bindDatagrams('10.0.6.1:9', ignore)
    for (const body of [Buffer.from('junk'), encode({ v: 99, node: 'later' }), encode({ v: 1, node: 5 })])
      datagrams.send('10.0.2.1:7200', body)
    await pause(world, 500)
    const metrics = fleet.fronts[0].agent!.metrics
    test.equal(metrics.get('claynotch_summary_garbage_total'), 2, 'malformed summaries are counted')
    test.equal(
      metrics.get('claynotch_summary_other_epoch_total'),
      1,
      'summaries of other versions are ignored and counted',
    )
  }
  await beside(fleet, run)
  test.strictSame(fleet.sim.lines, [], 'no process logged a fault')
  test.ok(fleet.fronts[0].proxy!.state.hasValidLease())
}

/**
 * Two agents with the same node name: the newer one takes the node over, the older one loses its lease and logs the
 * reason.
 */
async function duplicateNodeName(test: Test): Promise<void> {
  const fleet = makeSimFleet(4, smallShape(), { keepLines: true })
  test.ok(await fleet.begin())
  const secondMachine = fleet.sim.machine('twin', '10.0.5.1')
  let newerAgent: Agent | undefined
  async function start(world: World): Promise<void> {
    newerAgent = await startAgent(world, {
      node: 'front1',
      area: 'a',
      link: '127.0.0.1:7100',
      peer: '10.0.5.1:7200',
      http: '10.0.5.1:7080',
      seeds: ['10.0.1.1:7001'],
      build: 'sim',
    })
  }
  fleet.sim.spawn(secondMachine, 'twin', start)
  await fleet.sim.run(fleet.sim.now() + 6000)
  test.ok((newerAgent?.leaseExpiresAt() ?? 0) > 0, 'the newer agent holds the lease')
  test.equal(fleet.fronts[0].proxy!.state.hasValidLease(), false, "the older agent's proxy accepts no work")
  test.ok(fleet.fronts[0].agent!.metrics.get('claynotch_renewals_total', [['end', 'replaced']]) > 0)
  test.ok(fleet.sim.lines.some(isReplaced), 'the log gives the reason')
}
function isReplaced(line: string): boolean {
  return line.includes('proc=front1-agent') && line.includes('event=node-replaced')
}

void t.test('two agents with the same node name', duplicateNodeName)
void t.test('requesters: invalid input and every kind of verdict', requesterInput)
void t.test('operators: a stream of valid and invalid changes', operatorInput)
void t.test('internal links and summaries: malformed input and other versions', internalInput)
