import { createHash } from 'node:crypto'
import {
  MAX_CONNECTION_PREPARED_STATEMENTS,
  IDLE_CONNECTION_SETTINGS_LIMIT_BYTES,
  loop,
  makeFlag,
  makeThrottledLog,
  PROTOCOL_ERROR_LOG_INTERVAL_MS,
  RESET_TIMEOUT_MS,
  type Flag,
  type Metrics,
  type World,
  Ok,
  Err,
  type Result,
} from '@claynotch/base'
import type {
  AnswerObserver,
  DistrustReason,
  InstanceAdapter,
  InstanceConnection,
  RequestError,
  InstanceAddress,
} from '@claynotch/instance'

/**
 * What a connection must have: its database, settings, prepared shapes and tenant; and whose share it counts against.
 */
export type ConnectionRequirements = {
  database: string
  settings: [string, string][]
  shapes: Map<string, string>
  /** Waiters are served in the order of their team's checked-out connections divided by share. */
  team: string
  share: number
  /** The tenant that the connection must have been opened for. */
  tenant?: string
  /**
   * Close the connection at check-in unless another call waits for one: the instance has fewer connections than there
   * are proxies, so none is kept idle.
   */
  closesAfterUse?: boolean
}

/**
 * An open connection of the pool.
 *
 * Invariants:
 * - a connection has at most one user, from checkOut() to the check-in;
 * - checked-out, idle and opening connections together never exceed this node's limit for the instance, as configured;
 * - a connection is used only by the tenant that it was opened for;
 * - only a connection known to be clean is reused; one whose last use ended in an unknown state is closed;
 * - settings and shapes hold exactly what the instance has acknowledged on this connection.
 */
type PooledConnection = {
  instanceConnection: InstanceConnection
  tenant: string | undefined
  settings: Map<string, string>
  shapes: Set<string>
  idleSince: number
}

/** A connection in use by one caller, until it is checked in. */
export type CheckedOutConnection = {
  instanceConnection: InstanceConnection
  instance: string
  /** The name under which a shape of this text is registered on the connection. */
  shapeId: (text: string) => string
  /** Registers a shape on the connection, without a reset; allowed within a transaction. */
  prepareShape: (text: string) => Promise<RequestError | undefined>
  /** Applies one more setting to the connection, without a reset; allowed within a transaction. */
  applySetting: (name: string, value: string) => Promise<RequestError | undefined>
  /** Checks the connection in; isClean: its state is known for certain, so it may be reused. */
  end: (isClean: boolean) => void
}

/** A caller that waits for a free connection. */
type Waiter = { requirements: ConnectionRequirements; wake: Flag }
/** The connections to one instance at one address. */
type InstancePool = {
  addr: string
  limit: number
  idle: PooledConnection[]
  checkedOutCount: number
  openingCount: number
  waiters: Waiter[]
  checkedOutByTeam: Map<string, number>
}

/** The connections of this proxy to the instances. */
export type Pool = {
  /**
   * Checks out a connection with the requirements applied: an idle one or a new one, or the next to be checked in.
   * timeouts in ms: free, to wait for a connection; dial, to open one.
   */
  checkOut: (
    address: InstanceAddress,
    limit: number,
    requirements: ConnectionRequirements,
    timeouts: { free: number; dial: number },
    callerGone: Flag,
  ) => Promise<Result<CheckedOutConnection, RequestError>>
  /** Number of connections to the instance that are idle, in use or being opened. */
  open: (instance: string) => number
  /** Closes idle connections over the limit; true once no more than the limit are open. */
  closeIdleOverLimit: (instance: string, limit: number) => boolean
  /** Closes the idle connections, at shutdown. */
  close: () => void
}

/**
 * The settings that must be applied, and no others. Where a connection must be given its database, it is one of them.
 */
function settingsFor(requirements: ConnectionRequirements, needsDatabase: boolean): Map<string, string> {
  const settings = new Map<string, string>(needsDatabase ? [[DATABASE_SETTING, requirements.database]] : [])
  for (const [name, value] of requirements.settings) settings.set(name, value)
  return settings
}
const DATABASE_SETTING = 'database'
function sameSettings(a: Map<string, string>, b: Map<string, string>): boolean {
  if (a.size !== b.size) return false
  for (const [name, value] of a) if (b.get(name) !== value) return false
  return true
}

/** Whether the connection's settings are short enough to be kept in memory while it is idle. */
function isWorthKeeping({ settings }: PooledConnection): boolean {
  let bytes = 0
  for (const [name, value] of settings) bytes += name.length + value.length
  return bytes <= IDLE_CONNECTION_SETTINGS_LIMIT_BYTES
}

function shapeId(text: string): string {
  return `s${createHash('sha1').update(text).digest('hex').slice(0, 20)}`
}

/** Counts and logs what goes wrong with the answers of instances. */
function makeAnswerObserver(world: World, metrics: Metrics): AnswerObserver {
  const logDistrust = makeThrottledLog(world, 'instance-connection-distrusted', PROTOCOL_ERROR_LOG_INTERVAL_MS)
  const logRepeat = makeThrottledLog(world, 'instance-answer-repeated', PROTOCOL_ERROR_LOG_INTERVAL_MS)
  function repeated(instance: string): void {
    metrics.add('claynotch_instance_answers_repeated_total', [['instance', instance]])
    logRepeat({ instance })
  }
  function distrusted(instance: string, reason: DistrustReason): void {
    metrics.add('claynotch_instance_connections_distrusted_total', [
      ['instance', instance],
      ['reason', reason],
    ])
    logDistrust({ instance, reason })
  }
  return { repeated, distrusted }
}

export function makePool(world: World, adapter: InstanceAdapter, stop: Flag, metrics: Metrics): Pool {
  const poolByInstance = new Map<string, InstancePool>()
  const answerObserver = makeAnswerObserver(world, metrics)

  function poolOf(instance: string, addr: string): InstancePool {
    const existing = poolByInstance.get(instance)
    if (existing && existing.addr === addr) return existing
    for (const connection of existing?.idle ?? []) connection.instanceConnection.close()
    const created: InstancePool = {
      addr,
      limit: 0,
      idle: [],
      checkedOutCount: 0,
      openingCount: 0,
      waiters: [],
      checkedOutByTeam: new Map(),
    }
    poolByInstance.set(instance, created)
    return created
  }
  function sweep(): void {
    const now = world.now()
    for (const pool of poolByInstance.values()) {
      const kept: PooledConnection[] = []
      for (const connection of pool.idle) {
        // Closed before the instance's own idle timeout, so that no request is written to a connection that it closed.
        if (!connection.instanceConnection.alive() || now - connection.idleSince > adapter.idle)
          connection.instanceConnection.close()
        else kept.push(connection)
      }
      pool.idle = kept
    }
  }
  void loop(world, 'pool', adapter.idle / 6, stop, sweep)

  function countOpen(pool: InstancePool): number {
    return pool.idle.length + pool.checkedOutCount + pool.openingCount
  }
  /**
   * Wakes the waiter whose team uses the fewest connections for its share; within a team, the one that waits longest.
   */
  function wakeNext(pool: InstancePool): void {
    let nextWaiter: Waiter | undefined
    let lowestUsage = Infinity
    for (const waiter of pool.waiters) {
      const usage = (pool.checkedOutByTeam.get(waiter.requirements.team) ?? 0) / waiter.requirements.share
      if (usage < lowestUsage) {
        lowestUsage = usage
        nextWaiter = waiter
      }
    }
    if (!nextWaiter) return
    pool.waiters.splice(pool.waiters.indexOf(nextWaiter), 1)
    nextWaiter.wake.fire()
  }
  /**
   * Takes one of the tenant's idle connections: preferably one with exactly the required settings, else one without
   * settings (it needs no reset), else any.
   */
  function takeBestIdle(
    pool: InstancePool,
    requiredSettings: Map<string, string>,
    tenant: string | undefined,
  ): PooledConnection | undefined {
    let anyIndex = -1
    let unconfiguredIndex = -1
    for (let index = pool.idle.length - 1; index >= 0; index--) {
      const connection = pool.idle[index]
      if (!connection.instanceConnection.alive()) {
        pool.idle.splice(index, 1)
        if (anyIndex > index) anyIndex--
        if (unconfiguredIndex > index) unconfiguredIndex--
        continue
      }
      if (connection.tenant !== tenant) continue
      if (sameSettings(connection.settings, requiredSettings)) return pool.idle.splice(index, 1)[0]
      if (connection.settings.size === 0) unconfiguredIndex = index
      anyIndex = index
    }
    const bestIndex = unconfiguredIndex >= 0 ? unconfiguredIndex : anyIndex
    return bestIndex >= 0 ? pool.idle.splice(bestIndex, 1)[0] : undefined
  }
  /**
   * An idle connection of the tenant; or 'open': a new one may be opened, and at the limit an idle connection of
   * another tenant was closed for it.
   */
  function takeIdle(
    pool: InstancePool,
    requiredSettings: Map<string, string>,
    requirements: ConnectionRequirements,
  ): PooledConnection | 'open' | undefined {
    const found = takeBestIdle(pool, requiredSettings, requirements.tenant)
    if (found) return found
    if (countOpen(pool) >= pool.limit && pool.idle.length > 0) {
      pool.idle.shift()?.instanceConnection.close()
      metrics.add('claynotch_pool_tenant_changes_total')
    }
    return countOpen(pool) < pool.limit ? 'open' : undefined
  }
  /** Applies the settings and shapes. After an error, the connection's state is unknown and it must be closed. */
  async function prepare(
    connection: PooledConnection,
    requirements: ConnectionRequirements,
    requiredSettings: Map<string, string>,
  ): Promise<RequestError | undefined> {
    let isResetDue = connection.shapes.size > MAX_CONNECTION_PREPARED_STATEMENTS
    for (const name of connection.settings.keys()) if (!requiredSettings.has(name)) isResetDue = true
    if (isResetDue) {
      const resetResult = await connection.instanceConnection.reset(RESET_TIMEOUT_MS)
      if (resetResult.err) return { ...resetResult.val, reach: 'none' }
      connection.settings.clear()
      connection.shapes.clear()
    }
    const pairs: [string, string][] = []
    for (const [name, value] of requiredSettings) if (connection.settings.get(name) !== value) pairs.push([name, value])
    if (pairs.length > 0) {
      const result = await connection.instanceConnection.settings(pairs, RESET_TIMEOUT_MS)
      // If the instance itself rejects a setting, that is final. Otherwise reach is 'none', as it describes the
      // caller's attempt, of which nothing was sent yet.
      if (result.err) return result.val.reach === 'answered' ? result.val : { ...result.val, reach: 'none' }
      for (const [name, value] of pairs) connection.settings.set(name, value)
    }
    for (const text of requirements.shapes.values()) {
      const error = await registerShape(connection, text)
      if (error) return error
    }
    return undefined
  }
  async function registerShape(connection: PooledConnection, text: string): Promise<RequestError | undefined> {
    const id = shapeId(text)
    if (connection.shapes.has(id)) return undefined
    const result = await connection.instanceConnection.shape(id, text, RESET_TIMEOUT_MS)
    if (result.err) return result.val.reach === 'answered' ? result.val : { ...result.val, reach: 'none' }
    connection.shapes.add(id)
    return undefined
  }
  function addUsage(pool: InstancePool, team: string, delta: number): void {
    pool.checkedOutByTeam.set(team, (pool.checkedOutByTeam.get(team) ?? 0) + delta)
  }

  async function checkOut(
    address: InstanceAddress,
    limit: number,
    requirements: ConnectionRequirements,
    timeouts: { free: number; dial: number },
    callerGone: Flag,
  ): Promise<Result<CheckedOutConnection, RequestError>> {
    const { name: instance, addr } = address
    const pool = poolOf(instance, addr)
    const requiredSettings = settingsFor(requirements, adapter.named)
    pool.limit = limit
    const waitDeadline = world.now() + timeouts.free
    const tenantAddress = requirements.tenant === undefined ? address : { ...address, tenant: requirements.tenant }
    let idleOrNew: PooledConnection | undefined
    let isWoken = false
    for (;;) {
      // A new caller doesn't overtake those that already wait.
      const mayTake = isWoken || pool.waiters.length === 0 || pool.idle.length > pool.waiters.length
      isWoken = false
      const found = mayTake ? takeIdle(pool, requiredSettings, requirements) : undefined
      if (found !== undefined && found !== 'open') {
        idleOrNew = found
        pool.checkedOutCount++
        break
      }
      if (countOpen(pool) < limit) {
        pool.openingCount++
        const opened = await adapter.open(world, tenantAddress, timeouts.dial, answerObserver)
        pool.openingCount--
        if (opened.err) {
          metrics.add('claynotch_pool_dials_failed_total', [['instance', instance]])
          wakeNext(pool)
          return opened
        }
        metrics.add('claynotch_pool_dials_total', [['instance', instance]])
        idleOrNew = {
          instanceConnection: opened.val,
          tenant: requirements.tenant,
          settings: new Map(),
          shapes: new Set(),
          idleSince: 0,
        }
        pool.checkedOutCount++
        break
      }
      const remainingMs = waitDeadline - world.now()
      if (remainingMs <= 0 || callerGone.fired() || limit < 1) {
        // This caller gives up; if it was woken for an idle connection, the next waiter gets the wake-up.
        if (pool.idle.length > 0) wakeNext(pool)
        return Err({
          reach: 'none',
          class: 'RESOURCE_EXHAUSTED',
          transient: false,
          why: 'every connection to the instance is lent',
        })
      }
      const wake = makeFlag()
      const waiter: Waiter = { requirements, wake }
      pool.waiters.push(waiter)
      const cancel = world.later(remainingMs, wake.fire)
      const unwatch = callerGone.watch(wake.fire)
      await wake.wait()
      cancel()
      unwatch()
      const waiterIndex = pool.waiters.indexOf(waiter)
      if (waiterIndex >= 0) pool.waiters.splice(waiterIndex, 1)
      else isWoken = pool.idle.length > 0
    }
    addUsage(pool, requirements.team, 1)
    const connection = idleOrNew
    let isCheckedIn = false
    function checkIn(isClean: boolean): void {
      if (isCheckedIn) return
      isCheckedIn = true
      pool.checkedOutCount--
      addUsage(pool, requirements.team, -1)
      const mayKeepIdle = requirements.closesAfterUse !== true || pool.waiters.length > 0
      const hasRoom = poolByInstance.get(instance) === pool && countOpen(pool) < pool.limit
      if (
        isClean &&
        connection.instanceConnection.alive() &&
        hasRoom &&
        mayKeepIdle &&
        isWorthKeeping(connection) &&
        !stop.fired()
      ) {
        connection.idleSince = world.now()
        pool.idle.push(connection)
      } else connection.instanceConnection.close()
      wakeNext(pool)
    }
    const error = await prepare(connection, requirements, requiredSettings)
    if (error) {
      checkIn(false)
      return Err(error)
    }
    function prepareShape(text: string): Promise<RequestError | undefined> {
      return registerShape(connection, text)
    }
    async function applySetting(name: string, value: string): Promise<RequestError | undefined> {
      const result = await connection.instanceConnection.settings([[name, value]], RESET_TIMEOUT_MS)
      if (result.err) return result.val
      connection.settings.set(name, value)
      return undefined
    }
    return Ok({
      instanceConnection: connection.instanceConnection,
      instance,
      shapeId,
      prepareShape,
      applySetting,
      end: checkIn,
    })
  }
  function closeIdleOverLimit(instance: string, limit: number): boolean {
    const pool = poolByInstance.get(instance)
    if (!pool) return true
    pool.limit = limit
    while (countOpen(pool) > limit && pool.idle.length > 0) pool.idle.pop()?.instanceConnection.close()
    return countOpen(pool) <= limit
  }
  function openConnections(instance: string): number {
    const pool = poolByInstance.get(instance)
    return pool ? countOpen(pool) : 0
  }
  function close(): void {
    for (const pool of poolByInstance.values())
      for (const connection of pool.idle) connection.instanceConnection.close()
  }
  return { checkOut, open: openConnections, closeIdleOverLimit, close }
}
