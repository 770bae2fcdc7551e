import { makeDataFile, makeSerialQueue, type World, type Finding } from '@claynotch/base'
import { ZERO_BALLOT, compareBallots, type Ballot } from './ballot.js'
import { EMPTY_CORE_SET, type CoreMember, type CoreSet } from './core-set.js'
import { applyDelta, type Delta } from './delta.js'

const FILE_FORMAT = 'format-2'

// What a core knows of one register.
// Invariants: promise >= ballot; both only grow; value is the one accepted at ballot;
// nothing is answered from here before it is synced to the file.
export type RegisterEntry = { promise: Ballot; ballot: Ballot; value: RegisterValue | undefined }

// A register's value. turn: how many changes made it; it grows by one with each change.
// tag: unique to the change, so that its maker can find it again after an unclear round.
export type RegisterValue = { turn: number; tag: string; body: unknown }

export type FoundingPhase = 'none' | 'intent' | 'founded'

// places: the set with its addresses; files of before this field have the ids alone. epoch, next: see CoreSet; files of
// before these fields are of epoch 0. A set with phase none is kept by a
// machine that isn't of it, so that it can tell others.
// format: a program that can't read deltas takes FILE_FORMAT, among the ids, for a core of another set and refuses to start on
// this file; it would lose what they hold.
type SetRecord = {
  k: 'set'
  phase: FoundingPhase
  cores: string[]
  places?: CoreMember[]
  epoch?: number
  next?: CoreMember[]
  token?: string
}
type FloorRecord = { k: 'floor'; floor: number }
type PromiseRecord = { k: 'promise'; key: string; promise: Ballot }
type CellRecord = { k: 'cell'; key: string; promise: Ballot; ballot: Ballot; value: RegisterValue | undefined }
// A value as what changed since the one accepted at base, which an earlier record of the file holds.
type DeltaRecord = { k: 'delta'; key: string; promise: Ballot; ballot: Ballot; base: Ballot; delta: Delta }
type Rec = SetRecord | FloorRecord | PromiseRecord | CellRecord | DeltaRecord

export type PrepareAnswer =
  { ok: true; ballot: Ballot; value: RegisterValue | undefined } | { ok: false; promise: Ballot }
export type AcceptAnswer = { ok: true } | { ok: false; promise: Ballot }
// lacksBase: the value accepted here isn't the one that the delta builds on; nothing was taken.
export type DeltaAnswer = AcceptAnswer | { ok: false; lacksBase: true }

// Told of each value taken, once it is on disk. delta: what it came as, where it did.
export type AcceptedListener = (key: string, before: RegisterEntry, after: RegisterEntry, delta: Delta | undefined) => void

export type RegisterStore = {
  open: () => Promise<Finding[]>
  phase: () => FoundingPhase
  // The ids of the set that this disk knows, and the set whole where the file holds it.
  cores: () => string[]
  set: () => CoreSet
  // The token of this storage (see CorePlace); undefined for founders and for files of before this field.
  token: () => string | undefined
  writeSet: (phase: FoundingPhase, set: CoreSet, token: string | undefined) => Promise<void>
  // A newcomer whose storage never voted: it begins with nothing promised and nothing accepted.
  begin: (set: CoreSet) => Promise<void>
  // Reads the file again after a failed write and writes it anew; true once that is synced. What the file lacks was never
  // answered for.
  recover: () => Promise<boolean>
  prepare: (key: string, ballot: Ballot) => Promise<PrepareAnswer>
  accept: (key: string, ballot: Ballot, value: RegisterValue) => Promise<AcceptAnswer>
  // The same for a value told as what changed since the one accepted at base.
  acceptDelta: (key: string, ballot: Ballot, base: Ballot, delta: Delta) => Promise<DeltaAnswer>
  // Whether what cells() has of the register is on disk.
  isWritten: (key: string) => boolean
  // What was accepted last and is on disk.
  accepted: (key: string) => Promise<{ ballot: Ballot; value: RegisterValue | undefined }>
  entries: () => Map<string, RegisterEntry>
  highestNumber: () => number
  // Set once a write failed: what is in memory may not be on disk, so nothing is answered from here any more.
  failed: () => string | undefined
  // The last step of a refill: everything at once, then founded.
  refill: (cells: Map<string, RegisterEntry>, floor: number, set: CoreSet, token: string | undefined) => Promise<void>
}

const LOST_MEMORY = 'has lost its memory'
// Whether the file is damaged, so that what this core voted is not known any more.
export function isLoss(finding: Finding): boolean {
  return finding.what.includes(LOST_MEMORY)
}

export function makeRegisterStore(world: World, path: string, accepted?: AcceptedListener): RegisterStore {
  const file = makeDataFile(world, path)
  const cells = new Map<string, RegisterEntry>()
  const enter = makeSerialQueue()
  let phase: FoundingPhase = 'none'
  let cores: string[] = []
  let set: CoreSet = EMPTY_CORE_SET
  let token: string | undefined
  // marked: the file says that it may hold deltas.
  let marked = false
  // floor: prepares and accepts under this number are refused for every key (set by a refill).
  let floor = 0

  function cell(key: string): RegisterEntry {
    return cells.get(key) ?? { promise: floor > 0 ? [floor, ''] : ZERO_BALLOT, ballot: ZERO_BALLOT, value: undefined }
  }
  function isCore(id: string): boolean {
    return id !== FILE_FORMAT
  }
  // false: a delta without its base, so that a record before it is missing.
  function replay(rec: Rec): boolean {
    if (rec.k === 'set') {
      phase = rec.phase
      cores = rec.cores.filter(isCore)
      marked = cores.length < rec.cores.length
      set = { epoch: rec.epoch ?? 0, cores: rec.places ?? [], ...(rec.next ? { next: rec.next } : {}) }
      token = rec.token
    } else if (rec.k === 'floor') floor = rec.floor
    else if (rec.k === 'promise') cells.set(rec.key, { ...cell(rec.key), promise: rec.promise })
    else if (rec.k === 'delta') return replayDelta(rec)
    else cells.set(rec.key, { promise: rec.promise, ballot: rec.ballot, value: rec.value ?? undefined })
    return true
  }
  function replayDelta(rec: DeltaRecord): boolean {
    const entry = cell(rec.key)
    if (compareBallots(entry.ballot, rec.base) !== 0) return false
    const got = applyDelta(entry.value, rec.delta)
    if (got.err) return false
    cells.set(rec.key, { promise: rec.promise, ballot: rec.ballot, value: got.val as RegisterValue })
    return true
  }
  // Nothing that was read counts: what is missing may have been a promise of any register.
  function forget(): void {
    cells.clear()
    keep('none', EMPTY_CORE_SET, undefined)
    floor = 0
  }
  function live(): Rec[] {
    const out: Rec[] = [{ k: 'floor', floor }]
    for (const [key, entry] of cells)
      out.push({ k: 'cell', key, promise: entry.promise, ballot: entry.ballot, value: entry.value })
    // The phase comes last: a file that lost its tail must not look founded.
    out.push({
      k: 'set',
      phase,
      cores: [...cores, FILE_FORMAT],
      places: set.cores,
      epoch: set.epoch,
      ...(set.next ? { next: set.next } : {}),
      ...(token !== undefined ? { token } : {}),
    })
    return out
  }
  async function open(): Promise<Finding[]> {
    const got = await file.open()
    const findings: Finding[] = []
    if (got.damaged) {
      findings.push({
        place: path,
        what: `a bad record stands before good ones: this core ${LOST_MEMORY} and must be refilled`,
      })
      return findings
    }
    if (got.cut > 0) findings.push({ place: path, what: `torn last record cut off (${got.cut} bytes)` })
    for (const rec of got.records) {
      if (replay(rec as Rec)) continue
      forget()
      return [
        {
          place: path,
          what: `a delta stands without the value that it builds on: this core ${LOST_MEMORY} and must be refilled`,
        },
      ]
    }
    // Before the first delta is written; a file of before this format is rewritten once.
    if (phase !== 'none' && !marked) await remark()
    return findings
  }
  async function remark(): Promise<void> {
    try {
      await rewrite()
    } catch {
      // Said by the store, which answers nothing any more.
    }
  }
  let failure: string | undefined
  // writing: the register whose value is on its way to the disk.
  let writing: string | undefined
  // After one failed write nothing is answered until the file was read and written anew: a later success would not say what
  // became of the first.
  async function write(run: () => Promise<unknown>): Promise<void> {
    if (failure !== undefined) throw new Error(failure)
    try {
      await run()
    } catch (e) {
      failure = `the data file could not be written: ${(e as Error).message}`
      world.log.error('disk-failed', { path, why: (e as Error).message })
      throw e
    }
  }
  async function save(rec: Rec): Promise<void> {
    async function both(): Promise<void> {
      await file.append(rec)
      await file.trim(live)
    }
    await write(both)
  }
  function rewrite(): Promise<void> {
    function whole(): Promise<void> {
      return file.reset(live())
    }
    return write(whole)
  }
  function failed(): string | undefined {
    return failure
  }
  function keep(to: FoundingPhase, next: CoreSet, its: string | undefined): void {
    phase = to
    set = next
    token = its
    cores = []
    for (const c of next.cores) cores.push(c.id)
    cores.sort()
  }
  function mark(to: FoundingPhase, next: CoreSet, its: string | undefined): Promise<void> {
    async function run(): Promise<void> {
      keep(to, next, its)
      await rewrite()
    }
    return enter(run)
  }
  function begin(next: CoreSet): Promise<void> {
    async function run(): Promise<void> {
      cells.clear()
      floor = 0
      keep('founded', next, token)
      await rewrite()
    }
    return enter(run)
  }
  function recover(): Promise<boolean> {
    async function run(): Promise<boolean> {
      try {
        forget()
        const findings = await open()
        if (findings.some(isLoss)) return false
        await file.reset(live())
      } catch {
        return false
      }
      writing = undefined
      failure = undefined
      return true
    }
    return enter(run)
  }
  function prepare(key: string, ballot: Ballot): Promise<PrepareAnswer> {
    async function run(): Promise<PrepareAnswer> {
      const entry = cell(key)
      if (compareBallots(ballot, entry.promise) <= 0) return { ok: false, promise: entry.promise }
      cells.set(key, { ...entry, promise: ballot })
      await save({ k: 'promise', key, promise: ballot })
      return { ok: true, ballot: entry.ballot, value: entry.value }
    }
    return enter(run)
  }
  function accept(key: string, ballot: Ballot, value: RegisterValue): Promise<AcceptAnswer> {
    async function run(): Promise<AcceptAnswer> {
      const entry = cell(key)
      if (compareBallots(ballot, entry.promise) < 0) return { ok: false, promise: entry.promise }
      const next: RegisterEntry = { promise: ballot, ballot, value }
      // The cell changes first: a rewrite inside save() must hold the new state, not the old.
      cells.set(key, next)
      writing = key
      await save({ k: 'cell', key, promise: ballot, ballot, value })
      writing = undefined
      accepted?.(key, entry, next, undefined)
      return { ok: true }
    }
    return enter(run)
  }
  function acceptDelta(key: string, ballot: Ballot, base: Ballot, delta: Delta): Promise<DeltaAnswer> {
    async function run(): Promise<DeltaAnswer> {
      const entry = cell(key)
      if (compareBallots(ballot, entry.promise) < 0) return { ok: false, promise: entry.promise }
      // A ballot names one value of a register, so the same base makes the same value at each core.
      if (compareBallots(entry.ballot, base) !== 0) return { ok: false, lacksBase: true }
      const got = applyDelta(entry.value, delta)
      if (got.err) return { ok: false, lacksBase: true }
      const next: RegisterEntry = { promise: ballot, ballot, value: got.val as RegisterValue }
      cells.set(key, next)
      writing = key
      await save({ k: 'delta', key, promise: ballot, ballot, base, delta })
      writing = undefined
      accepted?.(key, entry, next, delta)
      return { ok: true }
    }
    return enter(run)
  }
  function isWritten(key: string): boolean {
    return writing !== key
  }
  function lastAccepted(key: string): Promise<{ ballot: Ballot; value: RegisterValue | undefined }> {
    async function run(): Promise<{ ballot: Ballot; value: RegisterValue | undefined }> {
      const { ballot, value } = cell(key)
      return { ballot, value }
    }
    return enter(run)
  }
  function refill(
    from: Map<string, RegisterEntry>,
    least: number,
    now: CoreSet,
    its: string | undefined,
  ): Promise<void> {
    async function run(): Promise<void> {
      cells.clear()
      for (const [key, entry] of from) cells.set(key, entry)
      floor = least
      keep('founded', now, its)
      await rewrite()
    }
    return enter(run)
  }
  function top(): number {
    let most = floor
    for (const entry of cells.values()) most = Math.max(most, entry.promise[0])
    return most
  }
  function phaseNow(): FoundingPhase {
    return phase
  }
  function coresNow(): string[] {
    return cores
  }
  function setNow(): CoreSet {
    return set
  }
  function tokenNow(): string | undefined {
    return token
  }
  function cellsNow(): Map<string, RegisterEntry> {
    return cells
  }
  return {
    open,
    phase: phaseNow,
    cores: coresNow,
    set: setNow,
    token: tokenNow,
    writeSet: mark,
    begin,
    recover,
    prepare,
    accept,
    acceptDelta,
    isWritten,
    accepted: lastAccepted,
    entries: cellsNow,
    highestNumber: top,
    failed,
    refill,
  }
}
