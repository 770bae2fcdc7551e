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
import type {
  Entry,
  Faults,
  Instance,
  InstanceRecord,
  InstanceSettings,
  ExecutedAppend,
  PromotionRecord,
} from './instancetypes.js'

/**
 * A simulated database instance for tests: a table of lists, written by 'append' and read by 'list'. It speaks the
 * instance protocol of docs/wire.md, replicates asynchronously, records all that it ran and injects faults on request.
 */

export type {
  Entry,
  Faults,
  Instance,
  InstanceRecord,
  InstanceSettings,
  ExecutedAppend as Ran,
  PromotionRecord as Took,
} from './instancetypes.js'

/** The state that a database keeps for each client connection: settings, prepared statements and transaction. */
type ConnectionState = {
  settings: Map<string, string>
  shapes: Map<string, string>
  transaction: { ops: [string, string][]; mode: string; epoch: number } | undefined
}

/** A record of the data file. `k` is the record type; `cut` truncates the log to `at` entries. */
type StoredRecord =
  | { k: 'role'; role: 'leader' | 'follower'; epoch: number; base: number }
  | { k: 'log'; entries: Entry[]; ran?: ExecutedAppend[] }
  | { k: 'took'; took: PromotionRecord }
  | { k: 'cut'; at: number }

/** Starts an instance: restores its state from the data file, serves requests, replicates and announces itself. */
export async function startInstance(world: World, settings: InstanceSettings): Promise<Instance> {
  const stop = makeFlag()
  const file = makeDataFile(world, `${settings.data}/log`)
  const faults: Faults = {
    dark: false,
    lose: [],
    full: false,
    deaf: false,
    lag: settings.lag,
    left: false,
    uncopied: false,
    sick: 0,
  }
  let log: Entry[] = []
  let table = new Map<string, string[]>()
  let role: 'leader' | 'follower' = settings.leader ? 'leader' : 'follower'
  let epoch = 1
  let epochStart = 0
  let maxConnectionCount = 0
  let connectionCount = 0
  let lateWork = 0
  let wrongSettings = 0
  let leaveAcknowledgedAt: number | undefined
  const executedAppends: ExecutedAppend[] = []
  const promotions: PromotionRecord[] = []
  const sessions = new Map<object, ConnectionState>()
  const saveQueue = makeSerialQueue()
  let unsavedEntries: Entry[] = []
  let unsavedAppends: ExecutedAppend[] = []

  /** Appends an entry to the log and applies its operations to the table. */
  function applyEntry(entry: Entry): void {
    log.push(entry)
    for (const [key, tag] of entry.ops) {
      const tags = table.get(key)
      if (tags) tags.push(tag)
      else table.set(key, [tag])
    }
  }
  /** Keeps the first `length` log entries and rebuilds the table from them. */
  function truncateLog(length: number): void {
    const keptEntries = log.slice(0, length)
    log = []
    table = new Map()
    for (const entry of keptEntries) applyEntry(entry)
  }
  const openedFile = await file.open()
  for (const stored of openedFile.records as StoredRecord[]) {
    if (stored.k === 'role') ({ role, epoch, base: epochStart } = stored)
    else if (stored.k === 'cut') truncateLog(stored.at)
    else if (stored.k === 'took') promotions.push(stored.took)
    else {
      for (const entry of stored.entries) applyEntry(entry)
      executedAppends.push(...(stored.ran ?? []))
    }
  }
  /** Writes all unsaved entries as one batch, with a single sync. */
  function saveUnsavedEntries(): Promise<void> {
    async function writeBatch(): Promise<void> {
      if (unsavedEntries.length === 0) return
      const batch = unsavedEntries
      const appendBatch = unsavedAppends
      unsavedEntries = []
      unsavedAppends = []
      await file.append({ k: 'log', entries: batch, ran: appendBatch })
    }
    return saveQueue(writeBatch)
  }
  async function saveRole(): Promise<void> {
    await file.append({ k: 'role', role, epoch, base: epochStart })
  }

  function errorResponse(code: string, message: string): HttpResponse {
    return { status: code === 'BUSY' ? 503 : 409, body: { code, message } }
  }
  function rowsResponse(rows: unknown[], position = log.length): HttpResponse {
    return { status: 200, body: { rows, epoch, position } }
  }
  function sessionOf(connection: object): ConnectionState {
    let session = sessions.get(connection)
    if (!session) {
      session = { settings: new Map(), shapes: new Map(), transaction: undefined }
      sessions.set(connection, session)
    }
    return session
  }
  /** Commits operations as one log entry and answers once the entry is on disk. */
  async function commitOps(ops: [string, string][]): Promise<HttpResponse> {
    const entry: Entry = { epoch, ops }
    applyEntry(entry)
    const position = log.length
    const writeEpoch = epoch
    for (const [, tag] of ops) unsavedAppends.push({ tag, epoch, position, at: world.now() })
    executedAppends.push(...unsavedAppends.slice(-ops.length))
    unsavedEntries.push(entry)
    await saveUnsavedEntries()
    return { status: 200, body: { rows: [ops.length], epoch: writeEpoch, position } }
  }
  async function runStatement(
    session: ConnectionState,
    body: { text?: string; shape?: string; args?: unknown[]; mode?: string },
  ): Promise<HttpResponse> {
    if (leaveAcknowledgedAt !== undefined && world.now() - leaveAcknowledgedAt > 7000) lateWork++
    if (faults.sick > 0 && !session.transaction && world.random() < faults.sick)
      return errorResponse('ELECTION', 'an election is in progress')
    const text = body.shape !== undefined ? session.shapes.get(body.shape) : body.text
    const args = body.args ?? []
    if (text === undefined) return errorResponse('NOT_FOUND', `no shape ${body.shape}`)
    switch (text) {
      case 'list': {
        const key = String(args[0])
        const rows = [...(table.get(key) ?? [])]
        for (const [opKey, tag] of session.transaction?.ops ?? []) if (opKey === key) rows.push(tag)
        return rowsResponse([key, rows, settings.group])
      }
      case 'append': {
        if (body.mode !== 'write') return errorResponse('NOPERM', 'a write on a statement marked read-only')
        if (role !== 'leader') return errorResponse('READONLY', 'this instance follows')
        if (faults.full) return errorResponse('OOM', 'command not allowed')
        const op: [string, string] = [String(args[0]), String(args[1])]
        if (session.transaction) {
          if (session.transaction.mode !== 'write')
            return errorResponse('NOPERM', 'a write in a transaction begun to read')
          session.transaction.ops.push(op)
          return rowsResponse([1])
        }
        return await commitOps([op])
      }
      case 'setting': {
        const name = String(args[0])
        const currentValue = session.settings.get(name) ?? ''
        if (args.length > 1 && args[1] !== currentValue) wrongSettings++
        return rowsResponse([name, currentValue])
      }
      case 'wrongtype':
        return errorResponse('WRONGTYPE', 'operation against a key of another type')
    }
    return errorResponse('SYNTAX', `unknown statement ${text.slice(0, 40)}`)
  }
  async function answerRequest(request: HttpRequest): Promise<HttpResponse> {
    const body = (request.body ?? {}) as {
      text?: string
      mode?: string
      settings?: { name: string; value: string }[]
      name?: string
      epoch?: number
      position?: number
      last?: number
    }
    const session = sessionOf(request.connection)
    switch (request.path) {
      case '/status':
        return {
          status: 200,
          body: {
            rows: [
              { field: 'name', value: settings.name },
              { field: 'group', value: settings.group },
              { field: 'role', value: role },
              { field: 'epoch', value: epoch },
              { field: 'position', value: log.length },
              ...(copiedUpTo && role === 'leader'
                ? [
                    { field: 'source', value: settings.source!.group },
                    { field: 'source_epoch', value: copiedUpTo.epoch },
                    { field: 'source_position', value: copiedUpTo.position },
                  ]
                : []),
            ],
          },
        }
      case '/statement':
        return await runStatement(session, body)
      case '/begin':
        if (body.mode === 'write' && role !== 'leader') return errorResponse('READONLY', 'this instance follows')
        if (leaveAcknowledgedAt !== undefined && world.now() - leaveAcknowledgedAt > 7000) lateWork++
        session.transaction = { ops: [], mode: body.mode ?? 'write', epoch }
        return rowsResponse([])
      case '/commit': {
        const transaction = session.transaction
        session.transaction = undefined
        if (!transaction) return errorResponse('ABORTED', 'no transaction')
        if (transaction.ops.length === 0) return rowsResponse([])
        if (role !== 'leader' || transaction.epoch !== epoch) return errorResponse('ABORTED', 'the leader changed')
        return await commitOps(transaction.ops)
      }
      case '/rollback':
        session.transaction = undefined
        return rowsResponse([])
      case '/settings':
        for (const setting of body.settings ?? []) session.settings.set(setting.name, setting.value)
        return rowsResponse([])
      case '/shapes':
        session.shapes.set(String(body.name), String(body.text))
        return rowsResponse([])
      case '/reset':
        sessions.delete(request.connection)
        return rowsResponse([])
      case '/promotion': {
        const newEpoch = Number(body.epoch)
        if (newEpoch === epoch && role === 'leader') return { status: 200, body: { leader: true } }
        if (!(newEpoch > epoch))
          return { status: 409, body: { code: 'ABORTED', message: `epoch ${newEpoch} is not above ${epoch}` } }
        role = 'leader'
        epoch = newEpoch
        epochStart = log.length
        promotions.push({ epoch, at: world.now(), base: epochStart })
        await saveRole()
        await file.append({ k: 'took', took: promotions[promotions.length - 1] })
        return { status: 200, body: { leader: true } }
      }
      case '/log': {
        if (role !== 'leader') return errorResponse('READONLY', 'not the leader')
        const fromPosition = Number(body.position)
        const isPrefixShared =
          fromPosition <= log.length && (fromPosition === 0 || log[fromPosition - 1].epoch === body.last)
        return {
          status: 200,
          body: isPrefixShared
            ? {
                epoch,
                base: epochStart,
                from: fromPosition,
                entries: log.slice(fromPosition, fromPosition + 500),
                end: log.length,
              }
            : { epoch, base: epochStart, from: -1, entries: [], end: log.length },
        }
      }
      case '/record':
        return { status: 200, body: record() }
      case '/fault': {
        const changes = request.body as Partial<Faults> & { leave?: boolean }
        if (changes.leave) void leave()
        Object.assign(faults, changes)
        return { status: 200, body: faults }
      }
    }
    return { status: 404, body: { code: 'SYNTAX', message: 'no such path' } }
  }
  async function handle(request: HttpRequest): Promise<HttpResponse | undefined> {
    if (faults.dark && request.path !== '/fault' && request.path !== '/record') {
      await makeFlag().wait()
      return undefined
    }
    if (connectionCount > settings.connections && request.path !== '/record' && request.path !== '/fault')
      return errorResponse('BUSY', 'too many connections')
    const response = await answerRequest(request)
    const lossIndex = faults.lose.indexOf(request.path)
    if (lossIndex >= 0) {
      faults.lose.splice(lossIndex, 1)
      request.raw.req.socket.destroy()
      return undefined
    }
    return response
  }
  function onConnection(connection: object, closed: Flag): void {
    connectionCount++
    maxConnectionCount = Math.max(maxConnectionCount, connectionCount)
    /** Discards the connection's state; an open transaction is rolled back with it. */
    function onClosed(): void {
      connectionCount--
      sessions.delete(connection)
    }
    closed.watch(onClosed)
  }
  const http = await serveHttp(world, settings.addr, handle, { onConnection, limit: 4 * 1024 * 1024 })

  // --- replication: a follower fetches log entries from the leader with the highest epoch ---
  let upstream: { addr: Address; connection: HttpConnection } | undefined
  /** Asks all peers for their status and returns the leader with the highest epoch. */
  async function findLeader(peers = settings.peers): Promise<{ addr: Address; epoch: number } | undefined> {
    let highest: { addr: Address; epoch: number } | undefined
    for (const addr of peers) {
      const statusAnswer = await requestOnce(world, addr, 'GET', '/status', undefined, 500)
      if (statusAnswer.err || statusAnswer.val.status !== 200) continue
      const rows = new Map<string, unknown>()
      for (const row of (statusAnswer.val.body as { rows: { field: string; value: unknown }[] }).rows)
        rows.set(row.field, row.value)
      if (rows.get('role') === 'leader' && (!highest || Number(rows.get('epoch')) > highest.epoch))
        highest = { addr, epoch: Number(rows.get('epoch')) }
    }
    return highest
  }
  /** One replication step: a follower fetches log entries; a leader demotes itself if a peer leads a later epoch. */
  async function fetchFromLeader(): Promise<void> {
    if (faults.dark || faults.deaf) return
    if (role === 'leader') {
      const otherLeader = await findLeader()
      if (otherLeader && otherLeader.epoch > epoch) {
        role = 'follower'
        world.log.info('stand-in-demoted', { instance: settings.name, epoch })
      }
      return
    }
    if (!upstream || !upstream.connection.alive()) {
      const leader = await findLeader()
      if (!leader || leader.epoch < epoch) return
      const opened = await openHttpConnection(world, leader.addr, 500)
      if (opened.err) return
      upstream = { addr: leader.addr, connection: opened.val }
    }
    const position = log.length
    const logAnswer = await upstream.connection.ask(
      'POST',
      '/log',
      { position, last: position > 0 ? log[position - 1].epoch : 0 },
      1000,
    )
    if (logAnswer.err || logAnswer.val.status !== 200 || role !== 'follower' || faults.deaf || faults.dark) {
      if (!logAnswer.ok || logAnswer.val.status !== 200) {
        upstream.connection.close()
        upstream = undefined
      }
      return
    }
    const body = logAnswer.val.body as { epoch: number; base: number; from: number; entries: Entry[] }
    if (body.epoch < epoch) {
      upstream.connection.close()
      upstream = undefined
      return
    }
    if (body.from < 0) {
      // The last entry differs from the leader's log: it was never replicated, so up to 50 entries are truncated.
      const keptLength = Math.max(0, position - Math.max(1, Math.min(50, position)))
      truncateLog(keptLength)
      await file.append({ k: 'cut', at: keptLength })
      return
    }
    for (const entry of body.entries) {
      applyEntry(entry)
      unsavedEntries.push(entry)
    }
    await saveUnsavedEntries()
    // Adopts the new epoch only once this log includes every entry before the epoch's start.
    if (body.epoch > epoch && log.length >= body.base) {
      epoch = body.epoch
      epochStart = body.base
      await saveRole()
    }
  }
  // --- copying from another group: the leader appends copies as its own entries, which followers then replicate ---
  /**
   * The source position that STATUS reports. It holds only while this process leads, and is cleared where the source's
   * log no longer contains the position copied so far.
   */
  let copiedUpTo: { epoch: number; position: number } | undefined
  let sourceConnection: HttpConnection | undefined
  /** Position read from the source and the epoch of the entry there; a new leader recovers both from its log. */
  let sourceCursor: { at: number; last: number } | undefined
  /** One copy step: a leader fetches entries of the source group and appends them to its own log. */
  async function copyFromSource(source: { group: string; peers: Address[] }): Promise<void> {
    if (role !== 'leader' || faults.dark || faults.uncopied) {
      copiedUpTo = undefined
      sourceCursor = undefined
      return
    }
    if (!sourceConnection?.alive()) {
      const sourceLeader = await findLeader(source.peers)
      const opened = sourceLeader ? await openHttpConnection(world, sourceLeader.addr, 500) : undefined
      if (!opened?.ok) return
      sourceConnection = opened.val
    }
    if (!sourceCursor) {
      sourceCursor = { at: 0, last: 0 }
      for (const entry of log)
        if (entry.src?.group === source.group && entry.src.position > sourceCursor.at)
          sourceCursor = { at: entry.src.position, last: entry.src.epoch }
    }
    const { at, last } = sourceCursor
    const startEpoch = epoch
    const logAnswer = await sourceConnection.ask('POST', '/log', { position: at, last }, 1000)
    if (logAnswer.err || logAnswer.val.status !== 200) {
      sourceConnection.close()
      sourceConnection = undefined
      return
    }
    const body = logAnswer.val.body as { epoch: number; from: number; entries: Entry[]; end: number }
    if (body.from < 0 || (role as string) !== 'leader' || epoch !== startEpoch) {
      copiedUpTo = undefined
      return
    }
    for (const [index, entry] of body.entries.entries()) {
      sourceCursor = { at: body.from + index + 1, last: entry.epoch }
      // Skips entries that originated in this group, so that groups copying each other don't loop.
      if (entry.src?.group === settings.group) continue
      applyEntry({ epoch, ops: entry.ops, src: { group: source.group, epoch: entry.epoch, position: sourceCursor.at } })
      unsavedEntries.push(log[log.length - 1])
    }
    await saveUnsavedEntries()
    copiedUpTo = { epoch: body.epoch, position: body.from + body.entries.length }
  }
  async function runCopyLoop(source: { group: string; peers: Address[] }): Promise<void> {
    while (!stop.fired()) {
      await copyFromSource(source)
      await pauseWithJitter(settings.lag / 2)
    }
  }
  if (settings.source) void runCopyLoop(settings.source)
  async function runReplicationLoop(): Promise<void> {
    while (!stop.fired()) {
      await fetchFromLeader()
      const intervalMs = role === 'leader' ? 500 : faults.lag
      await pauseWithJitter(intervalMs)
    }
  }
  function pauseWithJitter(ms: number): Promise<void> {
    function schedule(resolve: () => void): void {
      world.later(ms * (0.9 + 0.2 * world.random()), resolve)
    }
    return new Promise(schedule)
  }
  void runReplicationLoop()

  // --- announcements ---
  /** Announces this instance to all agents. */
  async function announce(): Promise<void> {
    if (faults.dark) return
    async function announceTo(addr: Address): Promise<void> {
      const leaving = faults.left
      const answer = await requestOnce(
        world,
        addr,
        'POST',
        '/announcement',
        {
          name: settings.name,
          group: settings.group,
          addr: settings.addr,
          area: settings.area,
          role,
          ...(leaving ? { leaving: true } : {}),
        },
        800,
      )
      // The 7 s allowed for draining start once the first agent has acknowledged the announcement.
      if (leaving && answer.ok && answer.val.status === 200) leaveAcknowledgedAt ??= world.now()
    }
    await Promise.all(settings.agents.map(announceTo))
  }
  void loop(world, 'announce', 1000, stop, announce)
  async function leave(): Promise<void> {
    faults.left = true
    await announce()
  }
  async function shutDown(): Promise<void> {
    stop.fire()
    upstream?.connection.close()
    await http.close()
  }
  function record(): InstanceRecord {
    return {
      name: settings.name,
      group: settings.group,
      log,
      ran: executedAppends,
      took: promotions,
      most: maxConnectionCount,
      limit: settings.connections,
      lateWork,
      leftAt: leaveAcknowledgedAt,
      wrongSettings,
    }
  }
  function currentRole(): string {
    return role
  }
  function currentEpoch(): number {
    return epoch
  }
  function currentPosition(): number {
    return log.length
  }
  return { stop: shutDown, leave, faults, record, role: currentRole, epoch: currentEpoch, position: currentPosition }
}
