import { createHash } from 'node:crypto'
import {
  MAX_CONNECTION_PREPARED_STATEMENTS,
  IDLE_CONNECTION_SETTINGS_LIMIT_BYTES,
  loop,
  makeFlag,
  RESET_TIMEOUT_MS,
  type Flag,
  type Metrics,
  type World,
  Ok,
  Err,
  type Result,
} from '@claynotch/base'
import type { InstanceAdapter, InstanceConnection, RequestError, InstanceAddress } from '@claynotch/instance'

// What a borrower needs in force on its connection.
export type ConnectionRequirements = {
  database: string
  settings: [string, string][]
  shapes: Map<string, string>
  team: string
  share: number
  /** In whose name the connection must have been opened. */
  tenant?: string
  /** The connection isn't kept idle, as there are fewer of them than proxies: who gives it back closes it. */
  closesAfterUse?: boolean
}

// Invariants:
// - a connection has at most one borrower, from lend() to back() or drop();
// - lent + idle + opening never passes the limit given by the configuration for this node;
// - a connection is lent to the tenant alone in whose name it was opened;
// - only a connection known to be clean is lent again; whatever ended unclear is closed;
// - set holds exactly the settings, and shapes the shapes, that were put in force and answered for.
type Conn = {
  port: InstanceConnection
  tenant: string | undefined
  set: Map<string, string>
  shapes: Set<string>
  idleSince: number
}

export type CheckedOutConnection = {
  instanceConnection: InstanceConnection
  instance: string
  shapeId: (text: string) => string
  // Puts a shape, or one more setting, in force on the connection as it is, also within a transaction.
  shape: (text: string) => Promise<RequestError | undefined>
  applySetting: (name: string, value: string) => Promise<RequestError | undefined>
  // Gives the connection back; clean is false where its state isn't known for sure.
  end: (clean: boolean) => void
}

type Waiter = { need: ConnectionRequirements; wake: Flag }
type Place = {
  addr: string
  limit: number
  idle: Conn[]
  lent: number
  opening: number
  waiters: Waiter[]
  usage: Map<string, number>
}

export type Pool = {
  checkOut: (
    who: InstanceAddress,
    limit: number,
    need: ConnectionRequirements,
    waits: { free: number; dial: number },
    gone: Flag,
  ) => Promise<Result<CheckedOutConnection, RequestError>>
  open: (instance: string) => number
  // Closes what is idle over the limit; true once no more than that are open.
  shrink: (instance: string, limit: number) => boolean
  close: () => void
}

// The settings that must be in force, and no others. A connection that must be told its database takes it as one.
function wantedOf(need: ConnectionRequirements, named: boolean): Map<string, string> {
  const out = new Map<string, string>(named ? [[BASE, need.database]] : [])
  for (const [name, value] of need.settings) out.set(name, value)
  return out
}
const BASE = 'database'
function sameSettings(a: Map<string, string>, b: Map<string, string>): boolean {
  if (a.size !== b.size) return false
  for (const [name, value] of a) if (b.get(name) !== value) return false
  return true
}

/** Whether the settings in force on it are short enough to be kept in memory while nobody uses it. */
function isWorthKeeping({ set }: Conn): boolean {
  let bytes = 0
  for (const [name, value] of set) bytes += name.length + value.length
  return bytes <= IDLE_CONNECTION_SETTINGS_LIMIT_BYTES
}

function shapeId(text: string): string {
  return `s${createHash('sha1').update(text).digest('hex').slice(0, 20)}`
}

export function makePool(world: World, edge: InstanceAdapter, stop: Flag, metrics: Metrics): Pool {
  const places = new Map<string, Place>()

  function place(instance: string, addr: string): Place {
    const old = places.get(instance)
    if (old && old.addr === addr) return old
    for (const c of old?.idle ?? []) c.port.close()
    const fresh: Place = { addr, limit: 0, idle: [], lent: 0, opening: 0, waiters: [], usage: new Map() }
    places.set(instance, fresh)
    return fresh
  }
  function sweep(): void {
    const now = world.now()
    for (const p of places.values()) {
      const keep: Conn[] = []
      for (const c of p.idle) {
        // Closed before the instance's own keep-alive would, so that a stale connection is not written to.
        if (!c.port.alive() || now - c.idleSince > edge.idle) c.port.close()
        else keep.push(c)
      }
      p.idle = keep
    }
  }
  void loop(world, 'pool', edge.idle / 6, stop, sweep)

  function count(p: Place): number {
    return p.idle.length + p.lent + p.opening
  }
  // The waiter whose team holds the least for its share goes first; within a team, who came first.
  function wakeNext(p: Place): void {
    let best: Waiter | undefined
    let least = Infinity
    for (const w of p.waiters) {
      const held = (p.usage.get(w.need.team) ?? 0) / w.need.share
      if (held < least) {
        least = held
        best = w
      }
    }
    if (!best) return
    p.waiters.splice(p.waiters.indexOf(best), 1)
    best.wake.fire()
  }
  // Of the tenant's, first one that has just what is wanted, then one with nothing to take back, then any.
  function pick(p: Place, want: Map<string, string>, tenant: string | undefined): Conn | undefined {
    let any = -1
    let bare = -1
    for (let k = p.idle.length - 1; k >= 0; k--) {
      const c = p.idle[k]
      if (!c.port.alive()) {
        p.idle.splice(k, 1)
        if (any > k) any--
        if (bare > k) bare--
        continue
      }
      if (c.tenant !== tenant) continue
      if (sameSettings(c.set, want)) return p.idle.splice(k, 1)[0]
      if (c.set.size === 0) bare = k
      any = k
    }
    const at = bare >= 0 ? bare : any
    return at >= 0 ? p.idle.splice(at, 1)[0] : undefined
  }
  /** One to lend; 'open': a new one may be opened, in place of another tenant's idle one where there is no room for more. */
  function takeIdle(p: Place, want: Map<string, string>, need: ConnectionRequirements): Conn | 'open' | undefined {
    const found = pick(p, want, need.tenant)
    if (found) return found
    if (count(p) >= p.limit && p.idle.length > 0) {
      p.idle.shift()?.port.close()
      metrics.add('claynotch_pool_tenant_changes_total')
    }
    return count(p) < p.limit ? 'open' : undefined
  }
  // Puts the settings in force. false: unclear, the connection must go.
  async function prepare(
    c: Conn,
    need: ConnectionRequirements,
    want: Map<string, string>,
  ): Promise<RequestError | undefined> {
    let isResetDue = c.shapes.size > MAX_CONNECTION_PREPARED_STATEMENTS
    for (const name of c.set.keys()) if (!want.has(name)) isResetDue = true
    if (isResetDue) {
      const clear = await c.port.reset(RESET_TIMEOUT_MS)
      if (clear.err) return { ...clear.val, reach: 'none' }
      c.set.clear()
      c.shapes.clear()
    }
    const pairs: [string, string][] = []
    for (const [name, value] of want) if (c.set.get(name) !== value) pairs.push([name, value])
    if (pairs.length > 0) {
      const put = await c.port.settings(pairs, RESET_TIMEOUT_MS)
      // The instance's own refusal of a setting is final; reach speaks of the try, which has not begun.
      if (put.err) return put.val.reach === 'answered' ? put.val : { ...put.val, reach: 'none' }
      for (const [name, value] of pairs) c.set.set(name, value)
    }
    for (const text of need.shapes.values()) {
      const bad = await putShape(c, text)
      if (bad) return bad
    }
    return undefined
  }
  async function putShape(c: Conn, text: string): Promise<RequestError | undefined> {
    const id = shapeId(text)
    if (c.shapes.has(id)) return undefined
    const put = await c.port.shape(id, text, RESET_TIMEOUT_MS)
    if (put.err) return put.val.reach === 'answered' ? put.val : { ...put.val, reach: 'none' }
    c.shapes.add(id)
    return undefined
  }
  function usageOf(p: Place, team: string, by: number): void {
    p.usage.set(team, (p.usage.get(team) ?? 0) + by)
  }

  async function borrow(
    who: InstanceAddress,
    limit: number,
    need: ConnectionRequirements,
    waits: { free: number; dial: number },
    gone: Flag,
  ): Promise<Result<CheckedOutConnection, RequestError>> {
    const { name: instance, addr } = who
    const p = place(instance, addr)
    const want = wantedOf(need, edge.named)
    p.limit = limit
    const end = world.now() + waits.free
    const asTenant = need.tenant === undefined ? who : { ...who, tenant: need.tenant }
    let c: Conn | undefined
    let isWoken = false
    for (;;) {
      // Those who wait already are not overtaken by one who just came.
      const mayTake = isWoken || p.waiters.length === 0 || p.idle.length > p.waiters.length
      isWoken = false
      const found = mayTake ? takeIdle(p, want, need) : undefined
      if (found !== undefined && found !== 'open') {
        c = found
        p.lent++
        break
      }
      if (count(p) < limit) {
        p.opening++
        const got = await edge.open(world, asTenant, waits.dial)
        p.opening--
        if (got.err) {
          metrics.add('claynotch_pool_dials_failed_total', [['instance', instance]])
          wakeNext(p)
          return got
        }
        metrics.add('claynotch_pool_dials_total', [['instance', instance]])
        c = { port: got.val, tenant: need.tenant, set: new Map(), shapes: new Set(), idleSince: 0 }
        p.lent++
        break
      }
      const left = end - world.now()
      if (left <= 0 || gone.fired() || limit < 1) {
        // A wake that this one can't use any more goes on to the next.
        if (p.idle.length > 0) wakeNext(p)
        return Err({
          reach: 'none',
          class: 'RESOURCE_EXHAUSTED',
          transient: false,
          why: 'every connection to the instance is lent',
        })
      }
      const wake = makeFlag()
      const mine: Waiter = { need, wake }
      p.waiters.push(mine)
      const cancel = world.later(left, wake.fire)
      const unwatch = gone.watch(wake.fire)
      await wake.wait()
      cancel()
      unwatch()
      const at = p.waiters.indexOf(mine)
      if (at >= 0) p.waiters.splice(at, 1)
      else isWoken = p.idle.length > 0
    }
    usageOf(p, need.team, 1)
    const conn = c
    let over = false
    function finish(clean: boolean): void {
      if (over) return
      over = true
      p.lent--
      usageOf(p, need.team, -1)
      const isKept = need.closesAfterUse !== true || p.waiters.length > 0
      const hasRoom = places.get(instance) === p && count(p) < p.limit
      if (clean && conn.port.alive() && hasRoom && isKept && isWorthKeeping(conn) && !stop.fired()) {
        conn.idleSince = world.now()
        p.idle.push(conn)
      } else conn.port.close()
      wakeNext(p)
    }
    const bad = await prepare(conn, need, want)
    if (bad) {
      finish(false)
      return Err(bad)
    }
    function shape(text: string): Promise<RequestError | undefined> {
      return putShape(conn, text)
    }
    async function setting(name: string, value: string): Promise<RequestError | undefined> {
      const put = await conn.port.settings([[name, value]], RESET_TIMEOUT_MS)
      if (put.err) return put.val
      conn.set.set(name, value)
      return undefined
    }
    return Ok({ port: conn.port, instance, shapeId, shape, setting, end: finish })
  }
  function shrink(instance: string, limit: number): boolean {
    const p = places.get(instance)
    if (!p) return true
    p.limit = limit
    while (count(p) > limit && p.idle.length > 0) p.idle.pop()?.port.close()
    return count(p) <= limit
  }
  function open(instance: string): number {
    const p = places.get(instance)
    return p ? count(p) : 0
  }
  function close(): void {
    for (const p of places.values()) for (const c of p.idle) c.port.close()
  }
  return { checkOut: borrow, open, shrink, close }
}
