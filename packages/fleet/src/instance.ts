import {
  type Address,
  type HttpRequest,
  requestOnce,
  type Flag,
  type HttpConnection,
  loop,
  makeDataFile,
  makeFlag,
  makeSerialQueue,
  openHttpConnection,
  type HttpResponse,
  serveHttp,
  type World,
} from '@claynotch/base'
import type { Entry, Faults, Instance, InstanceRecord, InstanceSettings, Ran, Took } from './instancetypes.js'

// A stand-in for a database instance: a table of lists, written by 'append', read by 'list'. It speaks the
// instance's wire of docs/wire.md, replicates asynchronously, records all that it ran, and fails on request.

export type { Entry, Faults, Instance, InstanceRecord, InstanceSettings, Ran, Took } from './instancetypes.js'

// One connection: what a database keeps for it.
type Session = {
  settings: Map<string, string>
  shapes: Map<string, string>
  open: { ops: [string, string][]; mode: string; epoch: number } | undefined
}

type Saved =
  | { k: 'role'; role: 'leader' | 'follower'; epoch: number; base: number }
  | { k: 'log'; entries: Entry[]; ran?: Ran[] }
  | { k: 'took'; took: Took }
  | { k: 'cut'; at: number }

export async function startInstance(world: World, set: InstanceSettings): Promise<Instance> {
  const stop = makeFlag()
  const file = makeDataFile(world, `${set.data}/log`)
  const faults: Faults = {
    dark: false,
    lose: [],
    full: false,
    deaf: false,
    lag: set.lag,
    left: false,
    uncopied: false,
    sick: 0,
  }
  let log: Entry[] = []
  let table = new Map<string, string[]>()
  let role: 'leader' | 'follower' = set.leader ? 'leader' : 'follower'
  let epoch = 1
  let base = 0
  let most = 0
  let lines = 0
  let lateWork = 0
  let wrongSettings = 0
  let leftAt: number | undefined
  const ran: Ran[] = []
  const took: Took[] = []
  const sessions = new Map<object, Session>()
  const enter = makeSerialQueue()
  let unsaved: Entry[] = []
  let unsavedRan: Ran[] = []

  function put(e: Entry): void {
    log.push(e)
    for (const [key, tag] of e.ops) {
      const list = table.get(key)
      if (list) list.push(tag)
      else table.set(key, [tag])
    }
  }
  function cutTo(at: number): void {
    const keep = log.slice(0, at)
    log = []
    table = new Map()
    for (const e of keep) put(e)
  }
  const opened = await file.open()
  for (const rec of opened.records as Saved[]) {
    if (rec.k === 'role') ({ role, epoch, base } = rec)
    else if (rec.k === 'cut') cutTo(rec.at)
    else if (rec.k === 'took') took.push(rec.took)
    else {
      for (const e of rec.entries) put(e)
      ran.push(...(rec.ran ?? []))
    }
  }
  // Entries that wait are written together, in one sync.
  function save(): Promise<void> {
    async function run(): Promise<void> {
      if (unsaved.length === 0) return
      const list = unsaved
      const mine = unsavedRan
      unsaved = []
      unsavedRan = []
      await file.append({ k: 'log', entries: list, ran: mine })
    }
    return enter(run)
  }
  async function saveRole(): Promise<void> {
    await file.append({ k: 'role', role, epoch, base })
  }

  function error(code: string, message: string): HttpResponse {
    return { status: code === 'BUSY' ? 503 : 409, body: { code, message } }
  }
  function good(rows: unknown[], position = log.length): HttpResponse {
    return { status: 200, body: { rows, epoch, position } }
  }
  function sessionOf(line: object): Session {
    let s = sessions.get(line)
    if (!s) {
      s = { settings: new Map(), shapes: new Map(), open: undefined }
      sessions.set(line, s)
    }
    return s
  }
  async function write(ops: [string, string][]): Promise<HttpResponse> {
    const e: Entry = { epoch, ops }
    put(e)
    const position = log.length
    const mine = epoch
    for (const [, tag] of ops) unsavedRan.push({ tag, epoch, position, at: world.now() })
    ran.push(...unsavedRan.slice(-ops.length))
    unsaved.push(e)
    await save()
    return { status: 200, body: { rows: [ops.length], epoch: mine, position } }
  }
  async function statement(
    s: Session,
    body: { text?: string; shape?: string; args?: unknown[]; mode?: string },
  ): Promise<HttpResponse> {
    if (leftAt !== undefined && world.now() - leftAt > 7000) lateWork++
    if (faults.sick > 0 && !s.open && world.random() < faults.sick)
      return error('ELECTION', 'an election is in progress')
    const text = body.shape !== undefined ? s.shapes.get(body.shape) : body.text
    const args = body.args ?? []
    if (text === undefined) return error('NOT_FOUND', `no shape ${body.shape}`)
    switch (text) {
      case 'list': {
        const key = String(args[0])
        const rows = [...(table.get(key) ?? [])]
        for (const [k, tag] of s.open?.ops ?? []) if (k === key) rows.push(tag)
        return good([key, rows, set.group])
      }
      case 'append': {
        if (body.mode !== 'write') return error('NOPERM', 'a write on a statement marked read-only')
        if (role !== 'leader') return error('READONLY', 'this instance follows')
        if (faults.full) return error('OOM', 'command not allowed')
        const op: [string, string] = [String(args[0]), String(args[1])]
        if (s.open) {
          if (s.open.mode !== 'write') return error('NOPERM', 'a write in a transaction begun to read')
          s.open.ops.push(op)
          return good([1])
        }
        return await write([op])
      }
      case 'setting': {
        const name = String(args[0])
        const has = s.settings.get(name) ?? ''
        if (args.length > 1 && args[1] !== has) wrongSettings++
        return good([name, has])
      }
      case 'wrongtype':
        return error('WRONGTYPE', 'operation against a key of another type')
    }
    return error('SYNTAX', `unknown statement ${text.slice(0, 40)}`)
  }
  async function answer(ask: HttpRequest): Promise<HttpResponse> {
    const body = (ask.body ?? {}) as {
      text?: string
      mode?: string
      settings?: { name: string; value: string }[]
      name?: string
      epoch?: number
      position?: number
      last?: number
    }
    const s = sessionOf(ask.connection)
    switch (ask.path) {
      case '/status':
        return {
          status: 200,
          body: {
            rows: [
              { field: 'name', value: set.name },
              { field: 'group', value: set.group },
              { field: 'role', value: role },
              { field: 'epoch', value: epoch },
              { field: 'position', value: log.length },
              ...(copied && role === 'leader'
                ? [
                    { field: 'source', value: set.source!.group },
                    { field: 'source_epoch', value: copied.epoch },
                    { field: 'source_position', value: copied.position },
                  ]
                : []),
            ],
          },
        }
      case '/statement':
        return await statement(s, body)
      case '/begin':
        if (body.mode === 'write' && role !== 'leader') return error('READONLY', 'this instance follows')
        if (leftAt !== undefined && world.now() - leftAt > 7000) lateWork++
        s.open = { ops: [], mode: body.mode ?? 'write', epoch }
        return good([])
      case '/commit': {
        const open = s.open
        s.open = undefined
        if (!open) return error('ABORTED', 'no transaction')
        if (open.ops.length === 0) return good([])
        if (role !== 'leader' || open.epoch !== epoch) return error('ABORTED', 'the leader changed')
        return await write(open.ops)
      }
      case '/rollback':
        s.open = undefined
        return good([])
      case '/settings':
        for (const p of body.settings ?? []) s.settings.set(p.name, p.value)
        return good([])
      case '/shapes':
        s.shapes.set(String(body.name), String(body.text))
        return good([])
      case '/reset':
        sessions.delete(ask.connection)
        return good([])
      case '/promotion': {
        const next = Number(body.epoch)
        if (next === epoch && role === 'leader') return { status: 200, body: { leader: true } }
        if (!(next > epoch))
          return { status: 409, body: { code: 'ABORTED', message: `epoch ${next} is not above ${epoch}` } }
        role = 'leader'
        epoch = next
        base = log.length
        took.push({ epoch, at: world.now(), base })
        await saveRole()
        await file.append({ k: 'took', took: took[took.length - 1] })
        return { status: 200, body: { leader: true } }
      }
      case '/log': {
        if (role !== 'leader') return error('READONLY', 'not the leader')
        const from = Number(body.position)
        const fits = from <= log.length && (from === 0 || log[from - 1].epoch === body.last)
        return {
          status: 200,
          body: fits
            ? { epoch, base, from, entries: log.slice(from, from + 500), end: log.length }
            : { epoch, base, from: -1, entries: [], end: log.length },
        }
      }
      case '/record':
        return { status: 200, body: record() }
      case '/fault': {
        const f = ask.body as Partial<Faults> & { leave?: boolean }
        if (f.leave) void leave()
        Object.assign(faults, f)
        return { status: 200, body: faults }
      }
    }
    return { status: 404, body: { code: 'SYNTAX', message: 'no such path' } }
  }
  async function handle(ask: HttpRequest): Promise<HttpResponse | undefined> {
    if (faults.dark && ask.path !== '/fault' && ask.path !== '/record') {
      await makeFlag().wait()
      return undefined
    }
    if (lines > set.connections && ask.path !== '/record' && ask.path !== '/fault')
      return error('BUSY', 'too many connections')
    const reply = await answer(ask)
    const at = faults.lose.indexOf(ask.path)
    if (at >= 0) {
      faults.lose.splice(at, 1)
      ask.raw.req.socket.destroy()
      return undefined
    }
    return reply
  }
  function onLine(line: object, closed: Flag): void {
    lines++
    most = Math.max(most, lines)
    // A connection that ends takes its open transaction with it.
    function over(): void {
      lines--
      sessions.delete(line)
    }
    closed.watch(over)
  }
  const http = await serveHttp(world, set.addr, handle, { onConnection: onLine, limit: 4 * 1024 * 1024 })

  // --- replication: a follower fetches from the leader of the highest epoch ---
  let from: { addr: Address; line: HttpConnection } | undefined
  async function findLeader(peers = set.peers): Promise<{ addr: Address; epoch: number } | undefined> {
    let best: { addr: Address; epoch: number } | undefined
    for (const addr of peers) {
      const got = await requestOnce(world, addr, 'GET', '/status', undefined, 500)
      if (got.err || got.val.status !== 200) continue
      const rows = new Map<string, unknown>()
      for (const r of (got.val.body as { rows: { field: string; value: unknown }[] }).rows) rows.set(r.field, r.value)
      if (rows.get('role') === 'leader' && (!best || Number(rows.get('epoch')) > best.epoch))
        best = { addr, epoch: Number(rows.get('epoch')) }
    }
    return best
  }
  async function fetch(): Promise<void> {
    if (faults.dark || faults.deaf) return
    if (role === 'leader') {
      const other = await findLeader()
      if (other && other.epoch > epoch) {
        role = 'follower'
        world.log.info('stand-in-demoted', { instance: set.name, epoch })
      }
      return
    }
    if (!from || !from.line.alive()) {
      const found = await findLeader()
      if (!found || found.epoch < epoch) return
      const line = await openHttpConnection(world, found.addr, 500)
      if (line.err) return
      from = { addr: found.addr, line: line.val }
    }
    const at = log.length
    const got = await from.line.ask('POST', '/log', { position: at, last: at > 0 ? log[at - 1].epoch : 0 }, 1000)
    if (got.err || got.val.status !== 200 || role !== 'follower' || faults.deaf || faults.dark) {
      if (!got.ok || got.val.status !== 200) {
        from.line.close()
        from = undefined
      }
      return
    }
    const body = got.val.body as { epoch: number; base: number; from: number; entries: Entry[] }
    if (body.epoch < epoch) {
      from.line.close()
      from = undefined
      return
    }
    if (body.from < 0) {
      // Our last entry isn't the leader's: it never became common, so it goes.
      const to = Math.max(0, at - Math.max(1, Math.min(50, at)))
      cutTo(to)
      await file.append({ k: 'cut', at: to })
      return
    }
    for (const e of body.entries) {
      put(e)
      unsaved.push(e)
    }
    await save()
    // The new epoch is ours once all that came before its start is.
    if (body.epoch > epoch && log.length >= body.base) {
      epoch = body.epoch
      base = body.base
      await saveRole()
    }
  }
  // --- copying from another group: a leader's own entries, so its followers get them like any other ---
  // copied: what STATUS reports; of this life of this leader only, and gone where the source's history was cut under it.
  let copied: { epoch: number; position: number } | undefined
  let there: HttpConnection | undefined
  // place: how far the source was read, with the epoch of its entry there; found again in the log by a new leader.
  let place: { at: number; last: number } | undefined
  async function copy(source: { group: string; peers: Address[] }): Promise<void> {
    if (role !== 'leader' || faults.dark || faults.uncopied) {
      copied = undefined
      place = undefined
      return
    }
    if (!there?.alive()) {
      const found = await findLeader(source.peers)
      const line = found ? await openHttpConnection(world, found.addr, 500) : undefined
      if (!line?.ok) return
      there = line.val
    }
    if (!place) {
      place = { at: 0, last: 0 }
      for (const e of log)
        if (e.src?.group === source.group && e.src.position > place.at)
          place = { at: e.src.position, last: e.src.epoch }
    }
    const { at, last } = place
    const mine = epoch
    const got = await there.ask('POST', '/log', { position: at, last }, 1000)
    if (got.err || got.val.status !== 200) {
      there.close()
      there = undefined
      return
    }
    const body = got.val.body as { epoch: number; from: number; entries: Entry[]; end: number }
    if (body.from < 0 || (role as string) !== 'leader' || epoch !== mine) {
      copied = undefined
      return
    }
    for (const [k, e] of body.entries.entries()) {
      place = { at: body.from + k + 1, last: e.epoch }
      // What came from here goes round no further.
      if (e.src?.group === set.group) continue
      put({ epoch, ops: e.ops, src: { group: source.group, epoch: e.epoch, position: place.at } })
      unsaved.push(log[log.length - 1])
    }
    await save()
    copied = { epoch: body.epoch, position: body.from + body.entries.length }
  }
  async function copies(source: { group: string; peers: Address[] }): Promise<void> {
    while (!stop.fired()) {
      await copy(source)
      await pauseFor(set.lag / 2)
    }
  }
  if (set.source) void copies(set.source)
  async function replicate(): Promise<void> {
    while (!stop.fired()) {
      await fetch()
      const wait = role === 'leader' ? 500 : faults.lag
      await pauseFor(wait)
    }
  }
  function pauseFor(ms: number): Promise<void> {
    function start(ok: () => void): void {
      world.later(ms * (0.9 + 0.2 * world.random()), ok)
    }
    return new Promise(start)
  }
  void replicate()

  // --- announcements ---
  async function announce(): Promise<void> {
    if (faults.dark) return
    async function one(addr: Address): Promise<void> {
      const leaving = faults.left
      const got = await requestOnce(
        world,
        addr,
        'POST',
        '/announcement',
        {
          name: set.name,
          group: set.group,
          addr: set.addr,
          area: set.area,
          role,
          ...(leaving ? { leaving: true } : {}),
        },
        800,
      )
      // The users' 7 s count from when anyone has learned of it.
      if (leaving && got.ok && got.val.status === 200) leftAt ??= world.now()
    }
    await Promise.all(set.agents.map(one))
  }
  void loop(world, 'announce', 1000, stop, announce)
  async function leave(): Promise<void> {
    faults.left = true
    await announce()
  }
  async function end(): Promise<void> {
    stop.fire()
    from?.line.close()
    await http.close()
  }
  function record(): InstanceRecord {
    return {
      name: set.name,
      group: set.group,
      log,
      ran,
      took,
      most,
      limit: set.connections,
      lateWork,
      leftAt,
      wrongSettings,
    }
  }
  function roleNow(): string {
    return role
  }
  function epochNow(): number {
    return epoch
  }
  function positionNow(): number {
    return log.length
  }
  return { stop: end, leave, faults, record, role: roleNow, epoch: epochNow, position: positionNow }
}
