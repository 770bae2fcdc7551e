import { makeDataFile, makeSerialQueue, type World, type Finding } from '@claynotch/base'
import { ZERO_BALLOT, compareBallots, type Ballot } from './ballot.js'
import { EMPTY_CORE_SET, type CoreMember, type CoreSet } from './core-set.js'
import { applyDelta, type Delta } from './delta.js'

/** Marks files that may hold delta records; stored among the ids of the core set. */
const FILE_FORMAT = 'format-2'

/**
 * State of one register at this core (a Paxos acceptor).
 *
 * Invariants: promise >= ballot; both only grow; value is the one accepted at ballot; nothing is answered from this
 * state before it is synced to the file.
 */
export type RegisterEntry = { promise: Ballot; ballot: Ballot; value: RegisterValue | undefined }

/**
 * Value of a register. turn: the version, which grows by one with each change. tag: unique to the change, so that its
 * proposer can recognise it after a round with an unknown outcome.
 */
export type RegisterValue = { turn: number; tag: string; body: unknown }

/**
 * Progress of the founding of the core set, as recorded on disk. none: this storage may not vote; intent: this core
 * agreed to found the set; founded: it holds the votes of this core.
 */
export type FoundingPhase = 'none' | 'intent' | 'founded'

/**
 * The core set as this machine stores it. A machine outside the set stores it with phase none, so that it can pass it
 * on.
 *
 * cores: the ids, and FILE_FORMAT as one more id. A release that can't read delta records takes FILE_FORMAT for a core
 * of another set and refuses to start on this file; otherwise it would lose the content of the deltas.
 * places: the set with its addresses; older files have only the ids.
 * epoch, next: see CoreSet; older files without these fields are of epoch 0.
 */
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
/** An accepted value as the difference from the value accepted at base, which an earlier record of the file holds. */
type DeltaRecord = { k: 'delta'; key: string; promise: Ballot; ballot: Ballot; base: Ballot; delta: Delta }
type FileRecord = SetRecord | FloorRecord | PromiseRecord | CellRecord | DeltaRecord

/** Answer to a prepare. promise: the promised ballot because of which it was rejected. */
export type PrepareAnswer =
  { ok: true; ballot: Ballot; value: RegisterValue | undefined } | { ok: false; promise: Ballot }
/** Answer to an accept. promise: the promised ballot because of which it was rejected. */
export type AcceptAnswer = { ok: true } | { ok: false; promise: Ballot }
/** Answer to a delta. lacksBase: the value accepted here isn't the base of the delta; nothing was accepted. */
export type DeltaAnswer = AcceptAnswer | { ok: false; lacksBase: true }

/** Called for each accepted value once it is on disk. delta: the delta as which the value arrived, if it did. */
export type AcceptedListener = (
  key: string,
  before: RegisterEntry,
  after: RegisterEntry,
  delta: Delta | undefined,
) => void

/**
 * Durable state of one core: its registers (promises and accepted values), the core set that it belongs to and the
 * token of its storage.
 */
export type RegisterStore = {
  /** Reads the data file. Returns what is wrong with it: a torn tail or damage. */
  open: () => Promise<Finding[]>
  phase: () => FoundingPhase
  /** The ids of the core set on disk, sorted. */
  cores: () => string[]
  /** The core set with its addresses; without members if the file has only the ids. */
  set: () => CoreSet
  /** The token that identifies this storage in the core set; undefined for founders and in older files. */
  token: () => string | undefined
  /** Stores the phase, the set and the token. */
  writeSet: (phase: FoundingPhase, set: CoreSet, token: string | undefined) => Promise<void>
  /** Marks the storage of a new member that never voted as founded, with nothing promised and nothing accepted. */
  begin: (set: CoreSet) => Promise<void>
  /**
   * Reads the file again after a failed write and rewrites it; true once that is synced. State that the file lacks was
   * never part of an answer.
   */
  recover: () => Promise<boolean>
  /** Promises to reject every ballot below this one. */
  prepare: (key: string, ballot: Ballot) => Promise<PrepareAnswer>
  /** Accepts a value, unless a higher ballot is promised. */
  accept: (key: string, ballot: Ballot, value: RegisterValue) => Promise<AcceptAnswer>
  /** Like accept, for a value sent as the difference from the one accepted at base. */
  acceptDelta: (key: string, ballot: Ballot, base: Ballot, delta: Delta) => Promise<DeltaAnswer>
  /** Whether the entry of this register in entries() is on disk. */
  isWritten: (key: string) => boolean
  /** The value accepted last, once it is on disk. */
  accepted: (key: string) => Promise<{ ballot: Ballot; value: RegisterValue | undefined }>
  /** All registers, including a value that is still being written (see isWritten). */
  entries: () => Map<string, RegisterEntry>
  /** The highest ballot number that is promised for any register, or the floor. */
  highestNumber: () => number
  /** The reason, once a write has failed: memory may differ from disk, so nothing may be answered from this store. */
  failed: () => string | undefined
  /** Last step of a refill: replaces all entries in one write and sets the phase to founded. */
  refill: (cells: Map<string, RegisterEntry>, floor: number, set: CoreSet, token: string | undefined) => Promise<void>
}

const LOST_VOTES_TEXT = 'has lost its memory'
/** Whether the finding means that the file is damaged and the votes of this core are no longer known. */
export function isStateLoss(finding: Finding): boolean {
  return finding.what.includes(LOST_VOTES_TEXT)
}

/** Makes the store on the data file at this path. Operations run one after the other. */
export function makeRegisterStore(world: World, path: string, onAccepted?: AcceptedListener): RegisterStore {
  const file = makeDataFile(world, path)
  const entries = new Map<string, RegisterEntry>()
  const runSerially = makeSerialQueue()
  let phase: FoundingPhase = 'none'
  let cores: string[] = []
  let set: CoreSet = EMPTY_CORE_SET
  let token: string | undefined
  /** The file carries FILE_FORMAT, which says that it may hold delta records. */
  let isMarkedWithFormat = false
  /** Prepares and accepts below this ballot number are rejected for every key; set by a refill. */
  let ballotFloor = 0

  function entryOf(key: string): RegisterEntry {
    return (
      entries.get(key) ?? {
        promise: ballotFloor > 0 ? [ballotFloor, ''] : ZERO_BALLOT,
        ballot: ZERO_BALLOT,
        value: undefined,
      }
    )
  }
  function isCoreId(id: string): boolean {
    return id !== FILE_FORMAT
  }
  /** Applies one record of the file. false: a delta without its base, so an earlier record is missing. */
  function replay(record: FileRecord): boolean {
    if (record.k === 'set') {
      phase = record.phase
      cores = record.cores.filter(isCoreId)
      isMarkedWithFormat = cores.length < record.cores.length
      set = { epoch: record.epoch ?? 0, cores: record.places ?? [], ...(record.next ? { next: record.next } : {}) }
      token = record.token
    } else if (record.k === 'floor') ballotFloor = record.floor
    else if (record.k === 'promise') entries.set(record.key, { ...entryOf(record.key), promise: record.promise })
    else if (record.k === 'delta') return replayDelta(record)
    else entries.set(record.key, { promise: record.promise, ballot: record.ballot, value: record.value ?? undefined })
    return true
  }
  function replayDelta(record: DeltaRecord): boolean {
    const entry = entryOf(record.key)
    if (compareBallots(entry.ballot, record.base) !== 0) return false
    const applied = applyDelta(entry.value, record.delta)
    if (applied.err) return false
    entries.set(record.key, { promise: record.promise, ballot: record.ballot, value: applied.val as RegisterValue })
    return true
  }
  /** Discards everything that was read: the missing record may have been a promise for any register. */
  function clearState(): void {
    entries.clear()
    setState('none', EMPTY_CORE_SET, undefined)
    ballotFloor = 0
  }
  /** The current state as records, for a rewrite of the file. */
  function liveRecords(): FileRecord[] {
    const records: FileRecord[] = [{ k: 'floor', floor: ballotFloor }]
    for (const [key, entry] of entries)
      records.push({ k: 'cell', key, promise: entry.promise, ballot: entry.ballot, value: entry.value })
    // The record with the phase is last: a file that lost its tail must not look founded.
    records.push({
      k: 'set',
      phase,
      cores: [...cores, FILE_FORMAT],
      places: set.cores,
      epoch: set.epoch,
      ...(set.next ? { next: set.next } : {}),
      ...(token !== undefined ? { token } : {}),
    })
    return records
  }
  async function open(): Promise<Finding[]> {
    const fileContents = await file.open()
    const findings: Finding[] = []
    if (fileContents.damaged) {
      findings.push({
        place: path,
        what: `a damaged record precedes valid ones: this core ${LOST_VOTES_TEXT} and must be refilled`,
      })
      return findings
    }
    if (fileContents.cut > 0)
      findings.push({ place: path, what: `torn last record cut off (${fileContents.cut} bytes)` })
    for (const record of fileContents.records) {
      if (replay(record as FileRecord)) continue
      clearState()
      return [
        {
          place: path,
          what: `a delta record has no base value: this core ${LOST_VOTES_TEXT} and must be refilled`,
        },
      ]
    }
    // An older file is rewritten once, before the first delta is written to it.
    if (phase !== 'none' && !isMarkedWithFormat) await rewriteInCurrentFormat()
    return findings
  }
  async function rewriteInCurrentFormat(): Promise<void> {
    try {
      await rewrite()
    } catch {
      // guardWrite() has logged the failure, and the store answers nothing from here on.
    }
  }
  let failure: string | undefined
  /** Key of the register whose value is being written to disk. */
  let keyBeingWritten: string | undefined
  /**
   * Runs a write. After one failed write every other is rejected until the file was read again and rewritten: the
   * success of a later write would not show whether the failed one reached the disk.
   */
  async function guardWrite(run: () => Promise<unknown>): Promise<void> {
    if (failure !== undefined) throw new Error(failure)
    try {
      await run()
    } catch (error) {
      failure = `the data file could not be written: ${(error as Error).message}`
      world.log.error('disk-failed', { path, why: (error as Error).message })
      throw error
    }
  }
  async function appendRecord(record: FileRecord): Promise<void> {
    async function appendAndTrim(): Promise<void> {
      await file.append(record)
      await file.compact(liveRecords)
    }
    await guardWrite(appendAndTrim)
  }
  function rewrite(): Promise<void> {
    function resetFile(): Promise<void> {
      return file.reset(liveRecords())
    }
    return guardWrite(resetFile)
  }
  function failed(): string | undefined {
    return failure
  }
  function setState(nextPhase: FoundingPhase, nextSet: CoreSet, nextToken: string | undefined): void {
    phase = nextPhase
    set = nextSet
    token = nextToken
    cores = []
    for (const member of nextSet.cores) cores.push(member.id)
    cores.sort()
  }
  function writeSet(nextPhase: FoundingPhase, nextSet: CoreSet, nextToken: string | undefined): Promise<void> {
    async function run(): Promise<void> {
      setState(nextPhase, nextSet, nextToken)
      await rewrite()
    }
    return runSerially(run)
  }
  function begin(nextSet: CoreSet): Promise<void> {
    async function run(): Promise<void> {
      entries.clear()
      ballotFloor = 0
      setState('founded', nextSet, token)
      await rewrite()
    }
    return runSerially(run)
  }
  function recover(): Promise<boolean> {
    async function run(): Promise<boolean> {
      try {
        clearState()
        const findings = await open()
        if (findings.some(isStateLoss)) return false
        await file.reset(liveRecords())
      } catch {
        return false
      }
      keyBeingWritten = undefined
      failure = undefined
      return true
    }
    return runSerially(run)
  }
  function prepare(key: string, ballot: Ballot): Promise<PrepareAnswer> {
    async function run(): Promise<PrepareAnswer> {
      const entry = entryOf(key)
      if (compareBallots(ballot, entry.promise) <= 0) return { ok: false, promise: entry.promise }
      entries.set(key, { ...entry, promise: ballot })
      await appendRecord({ k: 'promise', key, promise: ballot })
      return { ok: true, ballot: entry.ballot, value: entry.value }
    }
    return runSerially(run)
  }
  function accept(key: string, ballot: Ballot, value: RegisterValue): Promise<AcceptAnswer> {
    async function run(): Promise<AcceptAnswer> {
      const entry = entryOf(key)
      if (compareBallots(ballot, entry.promise) < 0) return { ok: false, promise: entry.promise }
      const nextEntry: RegisterEntry = { promise: ballot, ballot, value }
      // Memory changes first: a rewrite inside appendRecord() must contain the new state.
      entries.set(key, nextEntry)
      keyBeingWritten = key
      await appendRecord({ k: 'cell', key, promise: ballot, ballot, value })
      keyBeingWritten = undefined
      onAccepted?.(key, entry, nextEntry, undefined)
      return { ok: true }
    }
    return runSerially(run)
  }
  function acceptDelta(key: string, ballot: Ballot, base: Ballot, delta: Delta): Promise<DeltaAnswer> {
    async function run(): Promise<DeltaAnswer> {
      const entry = entryOf(key)
      if (compareBallots(ballot, entry.promise) < 0) return { ok: false, promise: entry.promise }
      // A ballot identifies one value of a register, so the same base and delta give the same value at each core.
      if (compareBallots(entry.ballot, base) !== 0) return { ok: false, lacksBase: true }
      const applied = applyDelta(entry.value, delta)
      if (applied.err) return { ok: false, lacksBase: true }
      const nextEntry: RegisterEntry = { promise: ballot, ballot, value: applied.val as RegisterValue }
      entries.set(key, nextEntry)
      keyBeingWritten = key
      await appendRecord({ k: 'delta', key, promise: ballot, ballot, base, delta })
      keyBeingWritten = undefined
      onAccepted?.(key, entry, nextEntry, delta)
      return { ok: true }
    }
    return runSerially(run)
  }
  function isWritten(key: string): boolean {
    return keyBeingWritten !== key
  }
  function lastAccepted(key: string): Promise<{ ballot: Ballot; value: RegisterValue | undefined }> {
    async function run(): Promise<{ ballot: Ballot; value: RegisterValue | undefined }> {
      const { ballot, value } = entryOf(key)
      return { ballot, value }
    }
    return runSerially(run)
  }
  function refill(
    refilledEntries: Map<string, RegisterEntry>,
    nextFloor: number,
    nextSet: CoreSet,
    nextToken: string | undefined,
  ): Promise<void> {
    async function run(): Promise<void> {
      entries.clear()
      for (const [key, entry] of refilledEntries) entries.set(key, entry)
      ballotFloor = nextFloor
      setState('founded', nextSet, nextToken)
      await rewrite()
    }
    return runSerially(run)
  }
  function highestNumber(): number {
    let highest = ballotFloor
    for (const entry of entries.values()) highest = Math.max(highest, entry.promise[0])
    return highest
  }
  function currentPhase(): FoundingPhase {
    return phase
  }
  function currentCoreIds(): string[] {
    return cores
  }
  function currentSet(): CoreSet {
    return set
  }
  function currentToken(): string | undefined {
    return token
  }
  function currentEntries(): Map<string, RegisterEntry> {
    return entries
  }
  return {
    open,
    phase: currentPhase,
    cores: currentCoreIds,
    set: currentSet,
    token: currentToken,
    writeSet,
    begin,
    recover,
    prepare,
    accept,
    acceptDelta,
    isWritten,
    accepted: lastAccepted,
    entries: currentEntries,
    highestNumber,
    failed,
    refill,
  }
}
