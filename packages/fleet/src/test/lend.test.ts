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

// The real connection pool and instance watch against a reference model of an instance's connections. The adapter has
// no status poll.

/** The state of one connection as the instance holds it. */
type ModelConnection = {
  tenant: string | undefined
  settings: Map<string, string>
  shapes: Map<string, string>
  isOpen: boolean
  isCheckedOut: boolean
}
const emptyResult: Result<StatementResult, RequestError> = Ok({ rows: [], mark: { epoch: 0, position: 0 } })

/**
 * An adapter whose connections are model connections, appended to `connections`. Opening one takes `openMs`; with a
 * shorter timeout it fails when the timeout is over.
 */
function makeModelAdapter(connections: ModelConnection[], openMs: number): InstanceAdapter {
  async function open(
    world: World,
    { tenant }: InstanceAddress,
    timeoutMs: number,
  ): Promise<Result<InstanceConnection, RequestError>> {
    await pause(world, Math.min(timeoutMs, openMs))
    if (timeoutMs < openMs)
      return {
        ok: false,
        err: true,
        val: { reach: 'none', class: 'UNAVAILABLE', transient: true, why: 'dial timeout' },
      } as never
    const connection: ModelConnection = {
      tenant,
      settings: new Map(),
      shapes: new Map(),
      isOpen: true,
      isCheckedOut: false,
    }
    connections.push(connection)
    async function acknowledge(): Promise<Result<StatementResult, RequestError>> {
      await pause(world, 1)
      return emptyResult
    }
    async function settings(pairs: [string, string][]): Promise<Result<StatementResult, RequestError>> {
      for (const [name, value] of pairs) connection.settings.set(name, value)
      return await acknowledge()
    }
    async function shape(name: string, text: string): Promise<Result<StatementResult, RequestError>> {
      connection.shapes.set(name, text)
      return await acknowledge()
    }
    async function reset(): Promise<Result<StatementResult, RequestError>> {
      connection.settings.clear()
      connection.shapes.clear()
      return await acknowledge()
    }
    function isAlive(): boolean {
      return connection.isOpen
    }
    function close(): void {
      connection.isOpen = false
    }
    const instanceConnection: InstanceConnection = {
      statement: acknowledge,
      begin: acknowledge,
      commit: acknowledge,
      rollback: acknowledge,
      settings,
      shape,
      reset,
      alive: isAlive,
      close,
    }
    modelOfConnection.set(instanceConnection, connection)
    return Ok(instanceConnection)
  }
  async function status(): Promise<never> {
    throw new Error('the status of this adapter must not be polled')
  }
  return { exact: false, named: false, idle: 45000, open, status }
}
/** The model behind each connection that the pool was given. */
const modelOfConnection = new Map<InstanceConnection, ModelConnection>()
const address: InstanceAddress = { name: 'i1', group: 'g', addr: '10.0.0.9:1' }

async function inWorld(run: (world: World) => Promise<void>): Promise<void> {
  const sim = makeSim(5)
  await task(sim, sim.machine('m', '10.0.0.1'), run)
}

/** Callers with random requirements: a connection has one user, and exactly the state that this user requires. */
async function checksOutCleanConnections(test: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    const random = makeRandom(7)
    const connections: ModelConnection[] = []
    const pool = makePool(world, makeModelAdapter(connections, 3), makeFlag(), makeMetrics())
    let violations = 0
    let maxOpen = 0
    let checkOuts = 0
    async function runCaller(): Promise<void> {
      for (let k = 0; k < 60; k++) {
        const settings: [string, string][] = []
        for (const name of ['a', 'b', 'c']) if (random() < 0.4) settings.push([name, String(Math.floor(random() * 2))])
        const shapes = new Map<string, string>(random() < 0.5 ? [['s', `READ q${Math.floor(random() * 4)}`]] : [])
        const requirements: ConnectionRequirements = {
          database: `d${Math.floor(random() * 3)}`,
          settings,
          shapes,
          team: '',
          share: 1,
        }
        const checkOut = await pool.checkOut(address, 4, requirements, { free: 200, dial: 100 }, makeFlag())
        if (checkOut.err) continue
        checkOuts++
        const connection = modelOfConnection.get(checkOut.val.instanceConnection) as ModelConnection
        if (connection.isCheckedOut || !connection.isOpen) violations++
        connection.isCheckedOut = true
        let openCount = 0
        for (const other of connections) if (other.isOpen) openCount++
        maxOpen = Math.max(maxOpen, openCount)
        if (connection.settings.size !== settings.length) violations++
        for (const [name, value] of settings) if (connection.settings.get(name) !== value) violations++
        for (const text of shapes.values()) if (connection.shapes.get(checkOut.val.shapeId(text)) !== text) violations++
        if (random() < 0.2) {
          await checkOut.val.applySetting('d', 'x')
          if (connection.settings.get('d') !== 'x') violations++
        }
        await pause(world, random() * 10)
        connection.isCheckedOut = false
        checkOut.val.end(random() < 0.9)
      }
    }
    const callers: Promise<void>[] = []
    for (let k = 0; k < 8; k++) callers.push(runCaller())
    await Promise.all(callers)
    test.equal(violations, 0, 'each connection has a single user and exactly the required settings and shapes')
    test.ok(maxOpen <= 4, `${maxOpen} connections open at most`)
    test.ok(checkOuts > 400, `${checkOuts} check-outs`)
  }
  await inWorld(run)
}
void t.test('the connection pool against a reference model of connections', checksOutCleanConnections)

/** Tenants share the limit on connections, but never a connection. */
async function keepsTenantsApart(test: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    const random = makeRandom(11)
    const connections: ModelConnection[] = []
    const pool = makePool(world, makeModelAdapter(connections, 3), makeFlag(), makeMetrics())
    let violations = 0
    let maxOpen = 0
    let checkOuts = 0
    async function runCaller(): Promise<void> {
      for (let k = 0; k < 80; k++) {
        const number = Math.floor(random() * 6)
        const tenant = number === 0 ? undefined : `tenant${number}`
        const requirements: ConnectionRequirements = {
          database: 'd',
          settings: [],
          shapes: new Map(),
          team: tenant ?? '',
          share: 1,
          ...(tenant !== undefined ? { tenant } : {}),
        }
        const checkOut = await pool.checkOut(address, 4, requirements, { free: 200, dial: 100 }, makeFlag())
        if (checkOut.err) continue
        checkOuts++
        const connection = modelOfConnection.get(checkOut.val.instanceConnection) as ModelConnection
        if (connection.isCheckedOut || !connection.isOpen || connection.tenant !== tenant) violations++
        connection.isCheckedOut = true
        let openCount = 0
        for (const other of connections) if (other.isOpen) openCount++
        maxOpen = Math.max(maxOpen, openCount)
        await pause(world, random() * 10)
        connection.isCheckedOut = false
        checkOut.val.end(random() < 0.95)
      }
    }
    const callers: Promise<void>[] = []
    for (let k = 0; k < 8; k++) callers.push(runCaller())
    await Promise.all(callers)
    test.equal(violations, 0, 'a connection is checked out only for the tenant that it was opened for')
    test.ok(maxOpen <= 4, `${maxOpen} connections open at most`)
    test.equal(checkOuts, 8 * 80, 'idle connections of other tenants never make a caller time out')
    test.ok(connections.length < checkOuts, `${connections.length} connections opened for ${checkOuts} check-outs`)
  }
  await inWorld(run)
}
void t.test('a pooled connection is never used by another tenant than the one it was opened for', keepsTenantsApart)

/** The number of statements prepared on a pooled connection is bounded: at the bound it is reset, not reopened. */
async function preparedStatementsAreBounded(test: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    const connections: ModelConnection[] = []
    const pool = makePool(world, makeModelAdapter(connections, 3), makeFlag(), makeMetrics())
    let maxPreparedShapes = 0
    for (let k = 0; k < 4 * MAX_CONNECTION_PREPARED_STATEMENTS; k++) {
      const text = `READ q${k}`
      const requirements = { database: 'd', settings: [], shapes: new Map([['s', text]]), team: '', share: 1 }
      const checkOut = await pool.checkOut(address, 1, requirements, { free: 200, dial: 100 }, makeFlag())
      if (checkOut.err) throw new Error(checkOut.val.why)
      const connection = modelOfConnection.get(checkOut.val.instanceConnection) as ModelConnection
      if (connection.shapes.get(checkOut.val.shapeId(text)) !== text)
        throw new Error(`${text} is not prepared on the connection`)
      maxPreparedShapes = Math.max(maxPreparedShapes, connection.shapes.size)
      checkOut.val.end(true)
    }
    test.equal(connections.length, 1, 'the same connection is used throughout')
    test.equal(maxPreparedShapes, MAX_CONNECTION_PREPARED_STATEMENTS + 1)
  }
  await inWorld(run)
}
void t.test('the prepared statements of a pooled connection are bounded', preparedStatementsAreBounded)

/**
 * With fewer connections than proxies, a connection that is checked in is closed unless a caller waits for it, so that
 * other proxies can open one.
 */
async function closesAfterUse(test: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    const connections: ModelConnection[] = []
    const pool = makePool(world, makeModelAdapter(connections, 3), makeFlag(), makeMetrics())
    const requirements: ConnectionRequirements = {
      database: 'd',
      settings: [],
      shapes: new Map(),
      team: '',
      share: 1,
      closesAfterUse: true,
    }
    function checkOut() {
      return pool.checkOut(address, 1, requirements, { free: 200, dial: 100 }, makeFlag())
    }
    const first = await checkOut()
    if (first.err) throw new Error(first.val.why)
    const second = checkOut()
    await pause(world, 10)
    first.val.end(true)
    const secondResult = await second
    if (secondResult.err) throw new Error(secondResult.val.why)
    test.equal(connections.length, 1, 'the waiting caller gets the same connection')
    test.equal(connections[0].isOpen, true)
    secondResult.val.end(true)
    test.equal(connections[0].isOpen, false, 'it is closed when no caller waits')
    test.equal(pool.open(address.name), 0)
    pool.close()
  }
  await inWorld(run)
}
void t.test('no connection is kept idle where there are fewer connections than proxies', closesAfterUse)

/** The timeout for a free connection and the timeout for opening one are separate. */
async function opensWithinDialTimeout(test: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    const connections: ModelConnection[] = []
    const pool = makePool(world, makeModelAdapter(connections, 20), makeFlag(), makeMetrics())
    const requirements: ConnectionRequirements = { database: 'd', settings: [], shapes: new Map(), team: '', share: 1 }
    const checkOut = await pool.checkOut(address, 4, requirements, { free: 1, dial: 100 }, makeFlag())
    test.ok(
      checkOut.ok,
      'a call with little time left to wait for a free connection has the whole dial timeout to open one',
    )
    if (checkOut.ok) checkOut.val.end(true)
    const results = await Promise.all([
      pool.checkOut(address, 1, requirements, { free: 5, dial: 100 }, makeFlag()),
      pool.checkOut(address, 1, requirements, { free: 5, dial: 100 }, makeFlag()),
    ])
    const rejected = results.find(isErr)
    function isErr(result: { err: boolean }): boolean {
      return result.err
    }
    test.equal(
      rejected?.err === true ? rejected.val.class : '',
      'RESOURCE_EXHAUSTED',
      'with all connections checked out, the call is rejected after the wait for a free one',
    )
  }
  await inWorld(run)
}
void t.test('the wait for a free connection does not shorten the dial timeout', opensWithinDialTimeout)

/** Without a status poll, only the answers and failures of calls tell whether an instance is usable. */
async function doubtWithoutStatusPolls(test: Test): Promise<void> {
  async function run(world: World): Promise<void> {
    const changed = makeSignal()
    const config: Config = { proxies: 'live', groups: [{ name: 'g', connections: 30 }], lanes: [] }
    function hasConnectionShare(): boolean {
      return true
    }
    function configNow(): Config {
      return config
    }
    function instanceStatuses(): Map<string, unknown> {
      return new Map([
        ['i1', { name: 'i1', group: 'g', addr: address.addr, area: 'x', role: 'leader', leaving: false, age: 0 }],
      ])
    }
    function group(): undefined {
      return undefined
    }
    const state = {
      changed,
      hasConnectionShare,
      config: configNow,
      instanceStatuses,
      group,
    } as unknown as State
    const stop = makeFlag()
    const watch = startWatch(world, state, makeModelAdapter([], 1), stop, makeMetrics())
    await pause(world, 10)
    const instance = watch.get('i1') as Instance
    watch.recordAnswer('i1', world.now(), { epoch: 1, position: 1 }, 1)
    watch.failed('i1', world.now(), false, false)
    test.ok(watch.isUsable(instance, false), 'a single lost answer leaves the instance usable')
    await pause(world, 5)
    watch.recordAnswer('i1', world.now(), { epoch: 1, position: 2 }, 1)
    watch.failed('i1', world.now() - 3, false, false)
    watch.failed('i1', world.now() - 2, false, false)
    test.ok(watch.isUsable(instance, false), 'failures of calls sent before the latest answer do not count')
    await pause(world, 5)
    watch.failed('i1', world.now(), true, false)
    watch.failed('i1', world.now(), true, false)
    watch.failed('i1', world.now(), true, false)
    test.ok(watch.isUsable(instance, false), 'an instance that answers that it is busy stays usable')
    watch.failed('i1', world.now(), false, false)
    watch.failed('i1', world.now(), false, false)
    test.notOk(watch.isUsable(instance, false), 'two lost answers in a row make it unusable')
    await pause(world, 150)
    test.ok(watch.isUsable(instance, true), 'after a delay one trial call may go')
    test.notOk(watch.isUsable(instance, true), 'a second trial call may not')
    watch.recordAnswer('i1', world.now(), { epoch: 1, position: 3 }, 1)
    test.ok(watch.isUsable(instance, false), 'an answer ends the doubt')
    watch.failed('i1', world.now(), false, true)
    test.notOk(
      watch.isUsable(instance, false),
      'an instance that reports that it is not the leader is in doubt at once',
    )
    stop.fire()
  }
  await inWorld(run)
}
void t.test('an instance in doubt without status polls', doubtWithoutStatusPolls)

function sharesByLiveProxies(test: Test): void {
  const config: Config = { proxies: 'live', groups: [{ name: 'g', connections: 92 }], lanes: [] }
  test.equal(usableConnectionsPerProxy(config, 'g', 9), 9, 'a ninth, minus the connection reserved for failover calls')
  test.equal(usableConnectionsPerProxy(config, 'g', 1), 91)
  test.ok(usableConnectionsPerProxy(config, 'g', 200) >= 1, 'at least one')
  test.strictSame(
    [isShareBelowOne(config, 'g', 92), isShareBelowOne(config, 'g', 93), isShareBelowOne(config, 'none', 93)],
    [false, true, false],
    'a share is below one only with more proxies than connections',
  )
  for (let live = 1; live <= 40; live++)
    test.ok(
      live * usableConnectionsPerProxy(config, 'g', live) <= 92,
      `${live} live proxies together stay within the limit`,
    )
  test.end()
}
void t.test('connection shares by the number of live proxies', sharesByLiveProxies)
