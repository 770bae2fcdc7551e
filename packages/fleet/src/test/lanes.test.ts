import t, { type Test } from 'tap'
import { requestOnce, pause, type World } from '@claynotch/base'
import { makeSimFleet, smallShape, type SimFleet } from '../index.js'
import { beside } from './beside.js'

type Told = { decision: string; epoch: number; why: string; findings: { place: string; what: string }[] }

// Two groups with data of their own; where copies is set, g2's leader copies what g1 has.
function twoGroups(copies: boolean): SimFleet {
  const s = smallShape(2)
  for (const lane of s.config.lanes) lane.database = `kiln-${lane.group}`
  return makeSimFleet(5, { ...s, ...(copies ? { copies: [['g1', 'g2']] as [string, string][] } : {}) })
}
async function post(world: World, f: SimFleet, stream: string, change: object): Promise<Told> {
  const got = (await requestOnce(world, f.fronts[0].http, 'POST', `/streams/${stream}`, change, 12000)).unwrap().body
  return (typeof got === 'string' ? JSON.parse(got) : got) as Told
}
function sender(world: World, f: SimFleet): (edits: unknown[], more?: object) => Promise<Told> {
  let number = 0
  async function send(edits: unknown[], more: object = {}): Promise<Told> {
    const now = (await requestOnce(world, f.fronts[0].http, 'GET', '/configuration', undefined, 5000)).unwrap()
      .body as {
      epoch: number
    }
    return await post(world, f, 'desk', { number: ++number, expect: now.epoch, edits, ...more })
  }
  return send
}
async function moves(world: World, f: SimFleet): Promise<{ phase: string }[]> {
  return (await requestOnce(world, f.fronts[1].http, 'GET', '/moves', undefined, 5000)).unwrap().body as {
    phase: string
  }[]
}
const ALL = ['book-g1', 'dep-g1', 'cal-g1']

// What can't be done is refused whole, each finding with its place; nothing of it takes effect.
async function refusals(c: Test): Promise<void> {
  const f = twoGroups(true)
  c.ok(await f.begin())
  async function run(world: World): Promise<void> {
    const send = sender(world, f)
    await pause(world, 1500)
    async function bad(edits: unknown[], place: string, what: RegExp, more?: object): Promise<void> {
      const got = await send(edits, more)
      c.equal(got.decision, 'refused', `${place} ${what}`)
      c.ok(got.findings.some(fits), `${place} ${what}: ${JSON.stringify(got)}`)
      function fits(x: { place: string; what: string }): boolean {
        return x.place === place && what.test(x.what)
      }
    }
    await bad([{ op: 'move', lanes: ['none'], to: 'g2' }], '/edits/0/lanes/0', /no lane is named none/)
    await bad([{ op: 'move', lanes: ALL, to: 'g9' }], '/edits/0/to', /no group is named g9/)
    await bad([{ op: 'move', lanes: ALL, to: 'g1' }], '/edits/0/to', /is the group that the lanes are in/)
    await bad([{ op: 'move', group: 'g1', lanes: ALL, to: 'g2' }], '/edits/0', /exactly one of lanes and group/)
    await bad([{ op: 'move', lanes: ['dep-g1'], to: 'g2' }], '/edits/0/lanes', /to the same database kiln-g1/)
    await bad([{ op: 'move', lanes: [...ALL, 'cal-g2'], to: 'g2' }], '/edits/0/lanes', /one group to come from/)
    await bad([{ op: 'move', group: 'g2', to: 'g1' }], '/edits/0/to', /doesn't report that it holds anything of g2/)
    await bad(
      [
        { op: 'put', what: 'group', value: { name: 'g3', connections: 24 } },
        { op: 'move', group: 'g1', to: 'g3' },
      ],
      '/edits/1/to',
      /has no leader/,
    )
    await bad([{ op: 'move', group: 'g1', to: 'g2' }], '/edits/0', /a move is for all areas/, { stage: ['b'] })
    await bad([{ op: 'calloff', lane: 'dep-g1' }], '/edits/0/lane', /no move of the lane dep-g1/)
    // A stage that would have a lane served by two groups beside each other.
    await bad(
      [{ op: 'put', what: 'lane', value: { name: 'dep-g1', database: 'kiln-g1', group: 'g2', reads: 'leader' } }],
      '/lanes/1/group',
      /where the stage isn't open yet/,
      { stage: ['b'] },
    )
    c.equal(
      (
        await send([{ op: 'put', what: 'lane', value: { name: 'x', database: 'x', group: 'g1', reads: 'leader' } }], {
          stage: ['b'],
        })
      ).decision,
      'accepted',
    )
    const staged = await send([{ op: 'move', group: 'g1', to: 'g2' }], { stage: ['a'] })
    c.match(staged.why, /stage is open/, 'no move beside an open stage')
    const back = await post(world, f, 'desk', { number: 90, expect: 2, stage: 'all' })
    c.equal(back.decision, 'accepted')
    // One that opens holds its lanes and groups until it has ended.
    const opened = await post(world, f, 'desk', {
      number: 91,
      expect: 3,
      edits: [{ op: 'move', group: 'g1', to: 'g2', proof: 'confirmed' }],
    })
    c.equal(opened.decision, 'accepted')
    async function next(number: number, edits: unknown[]): Promise<Told> {
      return await post(world, f, 'desk', { number, expect: 4, edits })
    }
    c.match((await next(92, [{ op: 'move', group: 'g1', to: 'g2' }])).findings[0].what, /is being moved already/)
    c.match(
      (await next(93, [{ op: 'drop', what: 'lane', name: 'x' }])).findings[0].what,
      /is being moved from g1 to g2/,
    )
    c.match((await next(94, [{ op: 'calloff', lane: 'x' }])).decision, /accepted/)
    c.strictSame(await moves(world, f), [])
    const own = await post(world, f, 'system', { number: 1, expect: 5, edits: [{ op: 'proxies', value: 5 }] })
    c.match(own.why, /the system's own/, "nobody writes to the system's own stream")
  }
  await beside(f, run)
}

// By an operator's word: writes stop, the operator copies the rest, says so, and the lanes go over; or nobody says so.
async function byWord(c: Test): Promise<void> {
  const f = twoGroups(false)
  c.ok(await f.begin())
  async function run(world: World): Promise<void> {
    const send = sender(world, f)
    async function reach(phase: string | undefined): Promise<boolean> {
      for (let k = 0; k < 300; k++) {
        if ((await moves(world, f))[0]?.phase === phase) return true
        await pause(world, 50)
      }
      return false
    }
    c.equal((await send([{ op: 'move', lanes: ALL, to: 'g2', proof: 'confirmed' }])).decision, 'accepted')
    c.match(
      (await send([{ op: 'confirm', lane: 'dep-g1' }])).findings[0].what,
      /phase (copy|ease|drain)/,
      'not before writes have stopped',
    )
    c.ok(await reach('quiet'))
    const from = world.now()
    c.ok(await reach(undefined), 'called off by itself')
    c.ok(world.now() - from < 10000, 'in time for those who wait')
    async function decisions(): Promise<Told[]> {
      const text = (await requestOnce(world, f.fronts[0].http, 'GET', '/decisions/system', undefined, 5000)).unwrap()
        .body
      const out: Told[] = []
      if (typeof text === 'string')
        for (const line of text.split('\n')) if (line !== '') out.push(JSON.parse(line) as Told)
      return typeof text === 'string' ? out : [text as Told]
    }
    c.match((await decisions())[0].why, /called off: nobody confirmed in time/)
    c.equal((await send([{ op: 'move', lanes: ALL, to: 'g2', proof: 'confirmed' }])).decision, 'accepted')
    c.ok(await reach('quiet'))
    c.equal((await send([{ op: 'confirm', lane: 'dep-g1' }])).decision, 'accepted')
    c.ok(await reach(undefined))
    const last = (await decisions())[1]
    c.equal(last.decision, 'accepted')
    c.match(last.why, /moved from g1 to g2/)
    const now = (await requestOnce(world, f.fronts[2].http, 'GET', '/configuration', undefined, 5000)).unwrap()
      .body as {
      epoch: number
      config: { lanes: { name: string; group: string }[] }
    }
    c.equal(now.epoch, last.epoch)
    for (const lane of now.config.lanes) c.equal(lane.group, 'g2', lane.name)
  }
  await beside(f, run)
}

// A token of another group is let in and read at the leader; what was never ours is refused; and each says so at once.
async function tokens(c: Test): Promise<void> {
  const f = twoGroups(false)
  c.ok(await f.begin())
  async function run(world: World): Promise<void> {
    async function call(
      body: object,
    ): Promise<{ status: number; body: { outcome: string; class?: string; token?: string; rows?: unknown[] } }> {
      const got = (await requestOnce(world, f.fronts[0].listen, 'POST', '/calls', body, 12000)).unwrap()
      return got as never
    }
    await pause(world, 1500)
    const put = await call({ lane: 'dep-g1', kind: 'write', text: 'append', args: ['k', 'one'] })
    c.match(put.body.token, /^g1:\d+:1$/)
    const far = await call({ lane: 'cal-g2', kind: 'read', text: 'list', args: ['k'], token: put.body.token })
    c.equal(far.status, 200, 'let in')
    c.match(far.body.token, /^g2:\d+:0$/, "and given the leader's word in exchange")
    for (const bad of ['g7:1:1', 'nonsense', 'g1:1', 'g1:-1:4', `g1:1:${'9'.repeat(30)}`]) {
      const got = await call({ lane: 'dep-g1', kind: 'read', text: 'list', args: ['k'], token: bad })
      c.equal(got.status, 400, bad)
      c.equal(got.body.class, 'INVALID_ARGUMENT', bad)
    }
    const later = await call({ lane: 'dep-g1', kind: 'read', text: 'list', args: ['k'], token: 'g1:900:1' })
    c.equal(later.status, 200, 'of a later epoch: the leader is asked')
    c.strictSame((later.body.rows as unknown[])[1], ['one'])
  }
  await beside(f, run)
}

// A reading transaction that is left open on a follower is ended once it had its time, and holds no replacement up for longer.
async function leftOpen(c: Test): Promise<void> {
  const f = twoGroups(false)
  c.ok(await f.begin())
  async function run(world: World): Promise<void> {
    await pause(world, 1500)
    const at = f.fronts[0].listen
    const opened = (await requestOnce(world, at, 'POST', '/sessions', { lane: 'cal-g1' }, 5000)).unwrap().body as {
      session: string
    }
    const begun = (
      await requestOnce(world, at, 'POST', `/sessions/${opened.session}/begin`, { kind: 'read' }, 5000)
    ).unwrap()
    c.equal(begun.status, 200)
    const from = world.now()
    c.equal(
      (await requestOnce(world, f.fronts[0].http, 'POST', '/groups/g1/replacement', {}, 5000)).unwrap().status,
      202,
    )
    while (f.promotions.length === 0 && world.now() - from < 12000) await pause(world, 50)
    const spent = world.now() - from
    c.ok(spent > 2900 && spent < 4500, `replaced after ${Math.round(spent)} ms`)
  }
  await beside(f, run)
}

void t.test('a transaction left open on a follower delays a replacement by its time alone', leftOpen)
void t.test('moves and stages that cannot be done are refused whole, with their places', refusals)
void t.test("a move by the operator's word, and one that nobody confirms", byWord)
void t.test('tokens speak of their own group alone', tokens)
