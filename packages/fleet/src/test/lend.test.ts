import t, { type Test } from 'tap'
import {
  MAX_CONNECTION_PREPARED_STATEMENTS,
  makeSignal,
  makeFlag,
  makeMetrics,
  Ok,
  pause,
  type Result,
  type World,
} from '@claynotch/base'
import type {
  StatementResult,
  InstanceAdapter,
  InstanceConnection,
  RequestError,
  InstanceAddress,
} from '@claynotch/instance'
import { isShareBelowOne, usableConnectionsPerProxy, type Config } from '@claynotch/operator'
import { makePool, startWatch, type Instance, type ConnectionRequirements, type State } from '@claynotch/proxy'
import { makeRandom, makeSim } from '../sim.js'
import { task } from './beside.js'

// Lending on an edge that nobody samples: a plain model of an instance's connection beside the real pool and watch.

type Line = {
  tenant: string | undefined
  values: Map<string, string>
  shapes: Map<string, string>
  open: boolean
  lent: boolean
}
const none: Result<StatementResult, RequestError> = Ok({ rows: [], mark: { epoch: 0, position: 0 } })

// slow: ms that opening a connection takes; an opening that is given less fails as late.
function modelEdge(lines: Line[], slow: number): InstanceAdapter {
  async function open(
    world: World,
    { tenant }: InstanceAddress,
    ms: number,
  ): Promise<Result<InstanceConnection, RequestError>> {
    await pause(world, Math.min(ms, slow))
    if (ms < slow)
      return {
        ok: false,
        err: true,
        val: { reach: 'none', class: 'UNAVAILABLE', transient: true, why: 'dial timeout' },
      } as never
    const line: Line = { tenant, values: new Map(), shapes: new Map(), open: true, lent: false }
    lines.push(line)
    async function done(): Promise<Result<StatementResult, RequestError>> {
      await pause(world, 1)
      return none
    }
    async function settings(pairs: [string, string][]): Promise<Result<StatementResult, RequestError>> {
      for (const [name, value] of pairs) line.values.set(name, value)
      return await done()
    }
    async function shape(name: string, text: string): Promise<Result<StatementResult, RequestError>> {
      line.shapes.set(name, text)
      return await done()
    }
    async function reset(): Promise<Result<StatementResult, RequestError>> {
      line.values.clear()
      line.shapes.clear()
      return await done()
    }
    function alive(): boolean {
      return line.open
    }
    function close(): void {
      line.open = false
    }
    const port: InstanceConnection = {
      statement: done,
      begin: done,
      commit: done,
      rollback: done,
      settings,
      shape,
      reset,
      alive,
      close,
    }
    ports.set(port, line)
    return Ok(port)
  }
  async function status(): Promise<never> {
    throw new Error('nobody asks')
  }
  return { exact: false, named: false, idle: 45000, open, status }
}
const ports = new Map<InstanceConnection, Line>()
const who: InstanceAddress = { name: 'i1', group: 'g', addr: '10.0.0.9:1' }

async function inWorld(run: (world: World) => Promise<void>): Promise<void> {
  const sim = makeSim(5)
  await task(sim, sim.machine('m', '10.0.0.1'), run)
}

async function lends(c: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    const rnd = makeRandom(7)
    const lines: Line[] = []
    const pool = makePool(world, modelEdge(lines, 3), makeFlag(), makeMetrics())
    let wrong = 0
    let most = 0
    let served = 0
    async function borrower(): Promise<void> {
      for (let k = 0; k < 60; k++) {
        const settings: [string, string][] = []
        for (const name of ['a', 'b', 'c']) if (rnd() < 0.4) settings.push([name, String(Math.floor(rnd() * 2))])
        const shapes = new Map<string, string>(rnd() < 0.5 ? [['s', `READ q${Math.floor(rnd() * 4)}`]] : [])
        const need: ConnectionRequirements = {
          database: `d${Math.floor(rnd() * 3)}`,
          settings,
          shapes,
          team: '',
          share: 1,
        }
        const got = await pool.checkOut(who, 4, need, { free: 200, dial: 100 }, makeFlag())
        if (got.err) continue
        served++
        const line = ports.get(got.val.instanceConnection) as Line
        if (line.lent || !line.open) wrong++
        line.lent = true
        let open = 0
        for (const one of lines) if (one.open) open++
        most = Math.max(most, open)
        if (line.values.size !== settings.length) wrong++
        for (const [name, value] of settings) if (line.values.get(name) !== value) wrong++
        for (const text of shapes.values()) if (line.shapes.get(got.val.shapeId(text)) !== text) wrong++
        if (rnd() < 0.2) {
          await got.val.applySetting('d', 'x')
          if (line.values.get('d') !== 'x') wrong++
        }
        await pause(world, rnd() * 10)
        line.lent = false
        got.val.end(rnd() < 0.9)
      }
    }
    const all: Promise<void>[] = []
    for (let k = 0; k < 8; k++) all.push(borrower())
    await Promise.all(all)
    c.equal(wrong, 0, 'one borrower each, with just the settings and the shapes that it needs')
    c.ok(most <= 4, `${most} connections open at most`)
    c.ok(served > 400, `${served} loans`)
  }
  await inWorld(run)
}
void t.test('the pool against a plain model of connections', lends)

// Tenants share the room for connections, and no connection.
async function keepsTenantsApart(c: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    const rnd = makeRandom(11)
    const lines: Line[] = []
    const pool = makePool(world, modelEdge(lines, 3), makeFlag(), makeMetrics())
    let wrong = 0
    let most = 0
    let served = 0
    async function borrower(): Promise<void> {
      for (let k = 0; k < 80; k++) {
        const number = Math.floor(rnd() * 6)
        const tenant = number === 0 ? undefined : `tenant${number}`
        const need: ConnectionRequirements = {
          database: 'd',
          settings: [],
          shapes: new Map(),
          team: tenant ?? '',
          share: 1,
          ...(tenant !== undefined ? { tenant } : {}),
        }
        const got = await pool.checkOut(who, 4, need, { free: 200, dial: 100 }, makeFlag())
        if (got.err) continue
        served++
        const line = ports.get(got.val.instanceConnection) as Line
        if (line.lent || !line.open || line.tenant !== tenant) wrong++
        line.lent = true
        let open = 0
        for (const one of lines) if (one.open) open++
        most = Math.max(most, open)
        await pause(world, rnd() * 10)
        line.lent = false
        got.val.end(rnd() < 0.95)
      }
    }
    const all: Promise<void>[] = []
    for (let k = 0; k < 8; k++) all.push(borrower())
    await Promise.all(all)
    c.equal(wrong, 0, 'each connection is lent to the tenant alone in whose name it was opened')
    c.ok(most <= 4, `${most} connections open at most`)
    c.equal(served, 8 * 80, 'nobody is kept waiting by idle connections of others')
    c.ok(lines.length < served, `${lines.length} connections opened for ${served} loans`)
  }
  await inWorld(run)
}
void t.test('a pooled connection lent to another tenant than it was opened for', keepsTenantsApart)

// Statements that clients prepare on a pooled connection are bounded: it is reset, and not opened anew.
async function preparedStatementsAreBounded(c: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    const lines: Line[] = []
    const pool = makePool(world, modelEdge(lines, 3), makeFlag(), makeMetrics())
    let most = 0
    for (let k = 0; k < 4 * MAX_CONNECTION_PREPARED_STATEMENTS; k++) {
      const text = `READ q${k}`
      const need = { database: 'd', settings: [], shapes: new Map([['s', text]]), team: '', share: 1 }
      const got = await pool.checkOut(who, 1, need, { free: 200, dial: 100 }, makeFlag())
      if (got.err) throw new Error(got.val.why)
      const line = ports.get(got.val.instanceConnection) as Line
      if (line.shapes.get(got.val.shapeId(text)) !== text) throw new Error(`${text} is not in force`)
      most = Math.max(most, line.shapes.size)
      got.val.end(true)
    }
    c.equal(lines.length, 1, 'the same connection throughout')
    c.equal(most, MAX_CONNECTION_PREPARED_STATEMENTS + 1)
  }
  await inWorld(run)
}
void t.test('prepared statements of a pooled connection', preparedStatementsAreBounded)

// Fewer connections than proxies: one that is given back is open for nobody, so that others can have it.
async function closesAfterUse(c: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    const lines: Line[] = []
    const pool = makePool(world, modelEdge(lines, 3), makeFlag(), makeMetrics())
    const need: ConnectionRequirements = {
      database: 'd',
      settings: [],
      shapes: new Map(),
      team: '',
      share: 1,
      closesAfterUse: true,
    }
    function borrow() {
      return pool.checkOut(who, 1, need, { free: 200, dial: 100 }, makeFlag())
    }
    const first = await borrow()
    if (first.err) throw new Error(first.val.why)
    const second = borrow()
    await pause(world, 10)
    first.val.end(true)
    const handed = await second
    if (handed.err) throw new Error(handed.val.why)
    c.equal(lines.length, 1, 'whoever waits is given the same connection')
    c.equal(lines[0].open, true)
    handed.val.end(true)
    c.equal(lines[0].open, false, 'nobody waits: it is closed')
    c.equal(pool.open(who.name), 0)
    pool.close()
  }
  await inWorld(run)
}
void t.test('a connection of which there are fewer than proxies is not kept idle', closesAfterUse)

async function dials(c: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    const lines: Line[] = []
    const pool = makePool(world, modelEdge(lines, 20), makeFlag(), makeMetrics())
    const need: ConnectionRequirements = { database: 'd', settings: [], shapes: new Map(), team: '', share: 1 }
    const got = await pool.checkOut(who, 4, need, { free: 1, dial: 100 }, makeFlag())
    c.ok(got.ok, 'a call that has waited long for its leader still has time to open a connection')
    if (got.ok) got.val.end(true)
    const full = await Promise.all([
      pool.checkOut(who, 1, need, { free: 5, dial: 100 }, makeFlag()),
      pool.checkOut(who, 1, need, { free: 5, dial: 100 }, makeFlag()),
    ])
    const refused = full.find(isErr)
    function isErr(r: { err: boolean }): boolean {
      return r.err
    }
    c.equal(
      refused?.err === true ? refused.val.class : '',
      'RESOURCE_EXHAUSTED',
      'where all are lent it is told so after the wait for a free one',
    )
  }
  await inWorld(run)
}
void t.test('the wait for a leader takes nothing from the time that a dial has', dials)

async function doubts(c: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    const bell = makeSignal()
    const config: Config = { proxies: 'live', groups: [{ name: 'g', connections: 30 }], lanes: [] }
    function share(): boolean {
      return true
    }
    function configNow(): Config {
      return config
    }
    function sights(): Map<string, unknown> {
      return new Map([
        ['i1', { name: 'i1', group: 'g', addr: who.addr, area: 'x', role: 'leader', leaving: false, age: 0 }],
      ])
    }
    function group(): undefined {
      return undefined
    }
    const state = {
      changed: bell,
      hasConnectionShare: share,
      config: configNow,
      instanceStatuses: sights,
      group,
    } as unknown as State
    const stop = makeFlag()
    const watch = startWatch(world, state, modelEdge([], 1), stop, makeMetrics())
    await pause(world, 10)
    const one = watch.get('i1') as Instance
    watch.recordAnswer('i1', world.now(), { epoch: 1, position: 1 }, 1)
    watch.failed('i1', world.now(), false, false)
    c.ok(watch.isUsable(one, false), 'one lost answer keeps nobody away')
    await pause(world, 5)
    watch.recordAnswer('i1', world.now(), { epoch: 1, position: 2 }, 1)
    watch.failed('i1', world.now() - 3, false, false)
    watch.failed('i1', world.now() - 2, false, false)
    c.ok(watch.isUsable(one, false), 'answers that came after speak for it')
    await pause(world, 5)
    watch.failed('i1', world.now(), true, false)
    watch.failed('i1', world.now(), true, false)
    watch.failed('i1', world.now(), true, false)
    c.ok(watch.isUsable(one, false), 'one that answers that it is busy is there')
    watch.failed('i1', world.now(), false, false)
    watch.failed('i1', world.now(), false, false)
    c.notOk(watch.isUsable(one, false), 'two in a row do')
    await pause(world, 150)
    c.ok(watch.isUsable(one, true), 'after a pause one call may try')
    c.notOk(watch.isUsable(one, true), 'and only one')
    watch.recordAnswer('i1', world.now(), { epoch: 1, position: 3 }, 1)
    c.ok(watch.isUsable(one, false), 'its answer ends the doubt')
    watch.failed('i1', world.now(), false, true)
    c.notOk(watch.isUsable(one, false), 'one that says it does not lead is doubted at once')
    stop.fire()
  }
  await inWorld(run)
}
void t.test('doubt where nobody samples', doubts)

function shares(c: Test): void {
  const config: Config = { proxies: 'live', groups: [{ name: 'g', connections: 92 }], lanes: [] }
  c.equal(usableConnectionsPerProxy(config, 'g', 9), 9, 'a ninth, less the one that is kept back')
  c.equal(usableConnectionsPerProxy(config, 'g', 1), 91)
  c.ok(usableConnectionsPerProxy(config, 'g', 200) >= 1, 'never none')
  c.strictSame(
    [isShareBelowOne(config, 'g', 92), isShareBelowOne(config, 'g', 93), isShareBelowOne(config, 'none', 93)],
    [false, true, false],
    'more proxies than connections',
  )
  for (let live = 1; live <= 40; live++)
    c.ok(
      live * usableConnectionsPerProxy(config, 'g', live) <= 92,
      `${live} live proxies together stay under the limit`,
    )
  c.end()
}
void t.test('shares by live proxies', shares)
