import { LEASE_DURATION_MS, LEASE_RENEWAL_INTERVAL_MS, noop, pause } from '@claynotch/base'
import {
  makeAdmissionWatch,
  makeOrphanWatch,
  makeTableReader,
  makeTableWriter,
  type ChangeResult,
  type TableReader,
  type TableValue,
} from '@claynotch/table-cache'
import { makeProcesses, type Process } from './processes.js'
import { makeModelStore, type Changes } from './store.js'

/**
 * Plays one schedule of the table cache: readers and writers of the product on a store of the model, with every step held
 * against a plain model. The same schedule gives the same run each time.
 */

export const READERS = 4
export const WRITERS = 3

/**
 * What happens, and how long (true ms) after the step before.
 * change: a caller brings a new change to a writer, and to the next one where it hears nothing for a while; invalid: one that is
 * refused; noted: one that is refused, which the table keeps a note of. freeze, kill: of a reader or a writer. The same with OnCommit: at that writer's so many-th commit from now, before it
 * hears of it.
 */
export type ChangeKind = 'change' | 'invalid' | 'noted'
export type NodeFault = 'freeze' | 'thaw' | 'kill' | 'start' | 'cut' | 'cutIn' | 'cutOut' | 'heal'

export type TableStep = { wait: number } & (
  | { kind: ChangeKind; writer: number }
  | { kind: NodeFault; which: number }
  | { kind: 'freezeOnCommit' | 'killOnCommit'; writer: number; commits: number }
)

/**
 * speeds: of the clocks of readers, writers and the store, each from 0 (slowest) to 1. drift: how far they may be apart.
 * hasLoss: pushes are lost now and then, and words come seconds late.
 */
export type TableSchedule = { seed: number; drift: number; hasLoss: boolean; speeds: number[]; steps: TableStep[] }

export type TableRun = {
  broken: string[]
  commits: number
  locks: number
  changesMade: number
  unclear: number
  givenBack: number
  orphansCleared: number
  longestGapMs: number
}

/** ms. */
const CALLER_PATIENCE_MS = 1000
const REST_MS = 15000
const REST_CHECK_MS = 5

type Node = {
  index: number
  process: Process
  reader?: TableReader<Changes>
  fault?: { commits: number; kind: string }
}

function isNoNote(entry: string): boolean {
  return !entry.startsWith('noted')
}
/** Whether readers work by both alike. */
function isAlike(a: Changes, b: Changes): boolean {
  return a === b || a.filter(isNoNote).join() === b.filter(isNoNote).join()
}

function sleep(ms: number, later: (ms: number, run: () => void) => void): Promise<void> {
  function start(done: () => void): void {
    later(ms, done)
  }
  return new Promise(start)
}

export async function playTable(schedule: TableSchedule): Promise<TableRun> {
  const processes = makeProcesses(schedule.seed)
  const run: TableRun = {
    broken: [],
    commits: 0,
    locks: 0,
    changesMade: 0,
    unclear: 0,
    givenBack: 0,
    orphansCleared: 0,
    longestGapMs: 0,
  }
  const nodes: Node[] = []
  const writers = new Map<number, ReturnType<typeof makeTableWriter<Changes>>>()
  // made: changes whose callers were told so; refused: the same; lockedAt: true time of the commit of the present lock.
  const made = new Set<string>()
  const refused = new Set<string>()
  let lockedAt = 0
  let lives = 0
  // isOver: all that was drawn has happened, and the network is calm.
  let isOver = false
  let changes = 0

  function broke(what: string): void {
    if (run.broken.length < 5) run.broken.push(`${processes.now().toFixed(1)}: ${what}`)
  }
  function speedOf(index: number): number {
    return 1 + schedule.drift * (schedule.speeds[index % schedule.speeds.length] ?? 0)
  }

  function isLossy(): boolean {
    return schedule.hasLoss && !isOver
  }

  // --- the plain model ---

  /** Invariants 1 and 2: whoever could serve now serves the very table that is committed. */
  function checkReaders(): void {
    const { table, version, lock } = store.value()
    function isPresent(served: Changes): boolean {
      return isAlike(served, table)
    }
    for (const { process, reader } of nodes) {
      if (process.state === 'dead' || !reader) continue
      if (reader.serve(isPresent) === false)
        broke(`${process.node} (${process.state}) could serve another table than version ${version} (${lock.lockType})`)
    }
  }
  function nodeOf(process: Process): Node {
    return nodes.find(isIts)!
    function isIts(node: Node): boolean {
      return node.process.node === process.node
    }
  }
  /** Invariants 3 and 4, at each commit. */
  function committed(by: Process, before: TableValue<Changes>, now: TableValue<Changes>): void {
    run.commits++
    const isHolder = before.lock.holder?.startsWith(`${by.node}~${by.life}#`) === true
    const isUnlocked = before.lock.lockType === 'WRITE' && now.lock.lockType !== 'WRITE'
    if (now.lock.token < before.lock.token) broke('the token fell')
    const isLocked = now.lock.lockType === 'WRITE' && before.lock.lockType === 'WRITE'
    if (isLocked && now.lock.token !== before.lock.token) broke('a lock was taken while one was held')
    checkChange(before.table, now.table)
    if (!isAlike(now.table, before.table)) {
      if (!isUnlocked || !isHolder) broke(`${by.node} changed the table without holding its lock`)
    } else if (isUnlocked && isHolder) run.givenBack++
    if (isUnlocked && !isHolder) {
      run.orphansCleared++
      const holder = nodes.find(isHolders)
      const leaseMs = before.lock.leaseMs / (holder?.process.speed ?? 1)
      if (processes.now() - lockedAt < leaseMs)
        broke(`${by.node} cleared a lock after ${processes.now() - lockedAt} ms`)
    }
    function isHolders(node: Node): boolean {
      return before.lock.holder?.startsWith(`${node.process.node}~`) === true
    }
    if (now.lock.lockType === 'WRITE' && before.lock.lockType !== 'WRITE') {
      run.locks++
      lockedAt = processes.now()
    }
    if (isUnlocked) run.longestGapMs = Math.max(run.longestGapMs, processes.now() - lockedAt)
    checkReaders()
    push(now)
    strike(nodeOf(by), by)
  }
  function checkChange(before: Changes, now: Changes): void {
    for (const [k, change] of before.entries()) if (now[k] !== change) broke(`${change} was lost`)
    if (new Set(now).size !== now.length) broke('a change was made twice')
    for (const change of now) if (isNoNote(change) && refused.has(change)) broke(`${change} was refused and made`)
  }
  function push(value: TableValue<Changes>): void {
    for (const node of nodes) {
      const { process } = node
      if (process.state === 'dead') continue
      function hear(): void {
        node.reader?.applyCommitted(value)
      }
      function arrive(): void {
        if (!process.isDeaf) processes.deliver(process, hear)
      }
      if (!isLossy() || processes.random() > 0.03) processes.later(0.5 + processes.random() * 4, arrive)
    }
  }
  function strike(node: Node, process: Process): void {
    if (!node.fault || node.process !== process || --node.fault.commits > 0) return
    if (node.fault.kind === 'kill') processes.kill(process)
    else processes.freeze(process)
    node.fault = undefined
  }

  const store = makeModelStore(processes, { speed: speedOf(READERS + WRITERS), isLossy }, committed)

  // --- the nodes ---

  function startReader(node: Node): void {
    const { process } = node
    let version = 0
    function acknowledge(next: number): void {
      version = next
      store.acknowledge(process, next)
    }
    function versionNow(): number {
      return version
    }
    const reached = store.reachedFrom(process, versionNow)
    const reader = makeTableReader(process.world, process.node, reached, LEASE_DURATION_MS, acknowledge)
    node.reader = reader
    async function renewals(): Promise<void> {
      while (process.state !== 'dead') {
        await reader.renew()
        await pause(process.world, LEASE_RENEWAL_INTERVAL_MS)
      }
    }
    void renewals()
  }
  function startWriter(node: Node): void {
    const { process } = node
    const reached = store.reachedFrom(process)
    function missing(version: number): Promise<string[] | undefined> {
      return store.missing(process, version)
    }
    const name = `${process.node}~${process.life}`
    writers.set(node.index, makeTableWriter(process.world, { name, store: reached, unacknowledgedReaders: missing }))
    const orphans = makeOrphanWatch(process.world, reached)
    const admissions = makeAdmissionWatch(process.world, reached, missing)
    async function watch(): Promise<void> {
      while (process.state !== 'dead') {
        const value = await reached.read()
        if (value) orphans.observe(value)
        await orphans.clearIfDue()
        if (value) await admissions.admitReturned(value)
        await pause(process.world, 100)
      }
    }
    void watch()
  }
  function startNode(node: Node): void {
    const { isMute, isDeaf } = node.process
    node.process = processes.start(node.process.node, ++lives, node.process.speed)
    node.process.isMute = isMute
    node.process.isDeaf = isDeaf
    node.fault = undefined
    if (node.index < READERS) startReader(node)
    else startWriter(node)
  }
  for (let index = 0; index < READERS + WRITERS; index++) {
    const name = index < READERS ? `reader-${index}` : `writer-${index - READERS}`
    const node: Node = { index, process: processes.start(name, 0, speedOf(index)) }
    nodes.push(node)
    startNode(node)
  }

  // --- callers ---

  function judgementOf(id: string, kind: ChangeKind) {
    function judge(table: Changes): ChangeResult<Changes, 'made' | 'refused'> {
      const verdict = kind === 'change' ? 'made' : 'refused'
      if (kind === 'invalid' || table.includes(id)) return { verdict }
      return { verdict, table: [...table, id], needsNoLock: kind === 'noted' }
    }
    return judge
  }
  /** Brings it to one writer after another, until one tells what became of it. */
  async function call(first: number, kind: ChangeKind, rounds: number): Promise<void> {
    const id = `${kind}-${++changes}`
    let isTold = false
    function told(verdict: 'made' | 'refused' | undefined): void {
      if (verdict === undefined) return
      isTold = true
      run.changesMade += verdict === 'made' ? 1 : 0
      ;(verdict === 'made' ? made : refused).add(id)
      if ((kind !== 'invalid') !== store.value().table.includes(id)) broke(`${id} was told ${verdict} and isn't so`)
    }
    for (let round = 0; round < rounds && !isTold; round++) {
      const index = READERS + ((first + round) % WRITERS)
      if (nodes[index].process.state === 'up') void writers.get(index)!.change(judgementOf(id, kind)).then(told)
      await sleep(CALLER_PATIENCE_MS, processes.later)
    }
    if (!isTold) run.unclear++
  }

  // --- the schedule ---

  function apply(step: TableStep): void {
    switch (step.kind) {
      case 'change':
      case 'invalid':
      case 'noted':
        void call(step.writer, step.kind, 4)
        return
      case 'freezeOnCommit':
      case 'killOnCommit':
        nodes[READERS + (step.writer % WRITERS)].fault = {
          commits: step.commits,
          kind: step.kind === 'killOnCommit' ? 'kill' : 'freeze',
        }
        return
      default:
        strikeNode(step.kind, nodes[step.which % nodes.length])
    }
  }
  function strikeNode(kind: NodeFault, node: Node): void {
    const { process } = node
    switch (kind) {
      case 'freeze':
        return processes.freeze(process)
      case 'thaw':
        return processes.thaw(process)
      case 'kill':
        return processes.kill(process)
      case 'start':
        return process.state === 'dead' ? startNode(node) : undefined
      case 'cut':
      case 'cutIn':
      case 'cutOut':
        process.isDeaf ||= kind !== 'cutOut'
        process.isMute ||= kind !== 'cutIn'
        return
      case 'heal':
        process.isDeaf = false
        process.isMute = false
    }
  }
  function planChecks(end: number): void {
    if (processes.now() >= end) return
    function again(): void {
      planChecks(end)
    }
    processes.later(REST_CHECK_MS, again)
  }

  await processes.playUntil(processes.now() + 100, checkReaders)
  let length = REST_MS
  for (const { wait } of schedule.steps) length += wait
  planChecks(processes.now() + length)
  for (const step of schedule.steps) {
    await processes.playUntil(processes.now() + step.wait, checkReaders)
    apply(step)
  }

  isOver = true
  // Everybody is back: the last change is made, and all serve it.
  for (const node of nodes) {
    node.fault = undefined
    strikeNode('heal', node)
    strikeNode('thaw', node)
    strikeNode('start', node)
  }
  await processes.playUntil(processes.now() + REST_MS / 2, checkReaders)
  const last = `change-${changes + 1}`
  void call(0, 'change', 6)
  await processes.playUntil(processes.now() + REST_MS / 2, checkReaders)
  if (!made.has(last)) broke('no change is made although all are back')
  function isServed(table: Changes): boolean {
    return table.includes(last)
  }
  for (const { reader, process } of nodes)
    if (reader && reader.serve(isServed) !== true) broke(`${process.node} does not serve the last table`)
  for (const id of made) if (!store.value().table.includes(id)) broke(`${id} was told made and is lost`)
  for (const node of nodes) processes.kill(node.process)
  await processes.playUntil(processes.now() + REST_MS, noop)
  return run
}
