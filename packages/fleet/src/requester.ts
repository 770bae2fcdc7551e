import { openHttpConnection, pause, type Address, type Flag, type HttpConnection, type World } from '@claynotch/base'
import type { TimeSpan } from './service-rate.js'

// Stand-in requesters. Each holds one session, works through a mix of operations, and moves to another
// node with its token when its own doesn't serve. All that it was told goes into the history.

// One thing that a requester was told. key and tag: what was written; list: what was read.
// start and end: its own clock, around the whole operation. within: how old a commit a read may miss; 0 on the leader path.
// served: the group whose rows a read was given.
export type Event = {
  kind: string
  lane: string
  group: string
  served: string
  session: number
  key: string
  tag: string | undefined
  list: string[] | undefined
  within: number
  own: boolean
  start: number
  end: number
  outcome: 'done' | 'refused' | 'failed' | 'unknown' | 'none'
  class: string
  kept: string
  sentCommit: boolean
  wrong: boolean
  node: string
  after: boolean
  why: string
}

export type Mix = {
  kind: string
  lane: string
  group: string
  op: 'book' | 'deposit' | 'lookup' | 'post' | 'browse' | 'watch' | 'linger'
  weight: number
  within: number
  own: boolean
  /** Reads of one 'watch' transaction; 10 unless given. */
  looks?: number
}

export type RequesterSettings = {
  id: number
  nodes: Address[]
  mixes: Mix[]
  think: number
  keys: number
  again: boolean
  until: () => boolean
  note: (e: Event) => void
  /** Told of each pause that the requester makes inside of a transaction, in ms of its clock. */
  rested?: (span: TimeSpan) => void
}

type Told = {
  outcome: Event['outcome']
  class?: string
  kept?: string
  rows?: unknown[]
  token?: string
  session?: string
  again?: boolean
  after?: number
  why?: string
}

/** End of the kind of an event that tells one read inside of a reading transaction. */
export const LOOK_SUFFIX = ' look'
/** Reads in one transaction, with pauses between them. */
const WATCH_LOOKS = 10
const BROWSE_LOOKS = 2

export async function runRequester(world: World, set: RequesterSettings, stop: Flag): Promise<void> {
  let node = set.id % set.nodes.length
  let line: HttpConnection | undefined
  const tokens = new Map<string, string>()
  const sessions = new Map<string, string>()
  const shaped = new Set<string>()
  let count = 0

  async function call(method: string, path: string, body: unknown): Promise<Told> {
    if (!line?.alive()) {
      const got = await openHttpConnection(world, set.nodes[node], 1000)
      if (got.err) return { outcome: 'none', class: 'DIAL', kept: 'nothing' }
      line = got.val
    }
    const got = await line.ask(method, path, body, 20000)
    if (got.err) {
      line = undefined
      return { outcome: 'none', class: 'BROKE', kept: got.val.reach === 'none' ? 'nothing' : 'unknown' }
    }
    const told = got.val.body as Told
    return { ...told, ...(got.val.after !== undefined ? { after: got.val.after } : {}) }
  }
  async function rest(ms: number): Promise<void> {
    const from = world.now()
    await pause(world, ms, stop)
    set.rested?.({ from, to: world.now() })
  }
  function move(): void {
    line?.close()
    line = undefined
    sessions.clear()
    node = (node + 1 + Math.floor(world.random() * (set.nodes.length - 1))) % set.nodes.length
  }
  async function sessionFor(mix: Mix): Promise<string | undefined> {
    const has = sessions.get(mix.lane)
    if (has !== undefined) return has
    const got = await call('POST', '/sessions', {
      lane: mix.lane,
      settings: [{ name: 'who', value: `r${set.id}` }],
      token: tokens.get(mix.lane) ?? '',
    })
    if (got.outcome !== 'done' || got.session === undefined) {
      move()
      await pause(world, 200 + 300 * world.random(), stop)
      return undefined
    }
    sessions.set(mix.lane, got.session)
    return got.session
  }
  function pick(): Mix {
    let all = 0
    for (const m of set.mixes) all += m.weight
    let at = world.random() * all
    for (const m of set.mixes) {
      at -= m.weight
      if (at < 0) return m
    }
    return set.mixes[0]
  }
  async function operate(mix: Mix): Promise<Told | undefined> {
    const session = await sessionFor(mix)
    if (session === undefined) return undefined
    const key = `${mix.group}/k${Math.floor(world.random() * set.keys)}`
    const tag = `r${set.id}.${++count}@${key}`
    const start = world.now()
    const node0 = set.nodes[node]
    let told: Told
    let list: string[] | undefined
    let served = ''
    let sentCommit = false
    let wrong = false
    const at = `/sessions/${session}`
    function rowsOf(t: Told): void {
      if (t.outcome !== 'done') return
      const [k, rows, by] = (t.rows ?? []) as [string, string[], string]
      list = rows
      served = by
      if (k !== key) wrong = true
    }
    let wrote = true
    if (mix.op === 'lookup') {
      wrote = false
      // Every other session reads by a shape of its own; the same name means other things in other sessions.
      if (set.id % 2 === 0 && !shaped.has(session)) {
        told = await call('POST', `${at}/shapes`, { name: 'find', text: 'list' })
        if (told.outcome === 'done') shaped.add(session)
      }
      told = await call('POST', `${at}/statement`, {
        kind: 'read',
        ...(shaped.has(session) ? { shape: 'find' } : { text: 'list' }),
        args: [key],
      })
      rowsOf(told)
    } else if (mix.op === 'browse' || mix.op === 'watch') {
      // A reading transaction that takes its time between its looks; each look is owed what the lane says.
      const looks = mix.op === 'watch' ? (mix.looks ?? WATCH_LOOKS) : BROWSE_LOOKS
      wrote = false
      told = await call('POST', `${at}/begin`, { kind: 'read' })
      for (let k = 0; k < looks && told.outcome === 'done'; k++) {
        if (k > 0) await rest(300 + 1900 * world.random())
        const from = world.now()
        told = await call('POST', `${at}/statement`, { kind: 'read', text: 'list', args: [key] })
        rowsOf(told)
        if (told.outcome === 'done')
          set.note({
            kind: `${mix.kind}${LOOK_SUFFIX}`,
            lane: mix.lane,
            group: mix.group,
            served,
            session: set.id,
            key,
            within: mix.within,
            own: mix.own,
            wrong,
            node: node0,
            after: false,
            why: '',
            tag: undefined,
            list,
            start: from,
            end: world.now(),
            outcome: 'done',
            class: '',
            kept: '',
            sentCommit: false,
          })
      }
      list = undefined
      if (told.outcome === 'done') told = await call('POST', `${at}/commit`, {})
    } else if (mix.op === 'post') {
      told = await call('POST', `${at}/statement`, { kind: 'write', text: 'append', args: [key, tag] })
      sentCommit = true
    } else if (mix.op === 'deposit') {
      told = await call('POST', `${at}/statement`, { kind: 'write', text: 'append', args: [key, tag] })
      sentCommit = true
    } else {
      told = await call('POST', `${at}/begin`, { kind: 'write' })
      if (told.outcome === 'done') {
        const set1 = await call('POST', `${at}/statement`, {
          kind: 'read',
          text: 'setting',
          args: ['who', `r${set.id}`],
        })
        told = set1
        if (told.outcome === 'done' && (told.rows ?? [])[1] !== `r${set.id}`) wrong = true
        if (told.outcome === 'done')
          told = await call('POST', `${at}/statement`, { kind: 'write', text: 'append', args: [key, tag] })
        // Some keep their transaction open for a while, as a desk does that looks something up.
        if (told.outcome === 'done' && mix.op === 'linger') await rest(1000 + 6000 * world.random())
        if (told.outcome === 'done' && world.random() < 0.1) {
          // Thought better of it: a transaction rolled back keeps nothing.
          told = await call('POST', `${at}/rollback`, {})
          if (told.outcome === 'done') told = { outcome: 'refused', class: 'ROLLED_BACK', kept: 'nothing' }
        } else if (told.outcome === 'done') {
          sentCommit = true
          told = await call('POST', `${at}/commit`, {})
        }
      }
    }
    const end = world.now()
    const base = {
      kind: mix.kind,
      lane: mix.lane,
      group: mix.group,
      session: set.id,
      key,
      within: mix.within,
      own: mix.own,
      wrong,
      node: node0,
      after: told.after !== undefined,
      why: told.why ?? '',
    }
    set.note({
      ...base,
      served,
      tag: wrote ? tag : undefined,
      list,
      start,
      end,
      outcome: told.outcome,
      class: told.class ?? '',
      kept: told.kept ?? '',
      sentCommit,
    })
    if (told.outcome === 'done' && told.token !== undefined) tokens.set(mix.lane, told.token)
    // After a deposit the session looks at what it wrote.
    if (told.outcome === 'done' && mix.op === 'deposit') {
      const from = world.now()
      const seen = await call('POST', `${at}/statement`, { kind: 'read', text: 'list', args: [key] })
      list = undefined
      rowsOf(seen)
      set.note({
        ...base,
        served,
        kind: `${mix.kind} own`,
        tag: undefined,
        list,
        start: from,
        end: world.now(),
        outcome: seen.outcome,
        class: seen.class ?? '',
        kept: seen.kept ?? '',
        sentCommit: false,
        wrong,
      })
    }
    return told
  }
  await pause(world, world.random() * set.think, stop)
  while (!stop.fired() && !set.until()) {
    const mix = pick()
    let told = await operate(mix)
    // A requester that retries whole operations, as those of our users do: at once, on another node.
    let tries = 0
    while (
      set.again &&
      told &&
      told.outcome !== 'done' &&
      told.class !== 'ROLLED_BACK' &&
      told.outcome !== 'unknown' &&
      tries < 2 &&
      !stop.fired()
    ) {
      tries++
      move()
      told = await operate(mix)
    }
    // Some move to another node, and so another area, with nothing wrong at all; their tokens go with them.
    if (world.random() < 0.02) move()
    if (
      told &&
      (told.outcome === 'none' ||
        told.class === 'NOT_FOUND' ||
        (told.outcome === 'refused' && told.class !== 'ROLLED_BACK' && world.random() < 0.3))
    )
      move()
    await pause(world, set.think * (0.5 + world.random()), stop)
  }
  line?.close()
}
