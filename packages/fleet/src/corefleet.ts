import { startCoreMachine, type CoreMachine } from '@claynotch/claynotch'
import {
  makeHello,
  makePersistentLink,
  makeFlag,
  pause,
  type Address,
  type PersistentLink,
  type World,
} from '@claynotch/base'
import {
  fetchCoreSetFromSeeds,
  makeProposer,
  quorumOf,
  votersOf,
  type CoreSet,
  type Proposer,
  type Quorum,
  type Voter,
} from '@claynotch/register'
import { makeSim, type Machine, type Proc, type Sim } from './sim.js'

// Core machines alone, in the simulator: for tests of the set of voters and of registers over its changes.

// A box: a core machine of an address of its own; removed ones come back only where a test says so. ending: it was told to
// stop, and gives its term up.
export type Box = {
  machine: Machine
  proc: Proc
  run: CoreMachine | undefined
  up: boolean
  ending: boolean
  gone: boolean
  ip: string
}
export type CoreFleet = {
  sim: Sim
  boxes: Box[]
  // A further machine, with an empty disk.
  add: (seeds: number[], first: boolean) => number
  start: (k: number, seeds: number[]) => void
  kill: (k: number, disk?: 'lost') => void
  // SIGTERM, and its end.
  term: (k: number) => void
  // The latest set that any machine knows, and the boxes that vote in it.
  latest: () => CoreSet
  voters: () => number[]
  // One set, and all of it votes.
  settled: () => boolean
  // Sets that differ though they bear one epoch, and voters that serve without being in their own set.
  faults: string[]
}

function nothing(): undefined {
  return undefined
}
export function idOf(k: number): string {
  return `10.0.1.${k + 1}`
}
export function httpAt(k: number): Address {
  return `${idOf(k)}:8000`
}
export function makeCoreFleet(seed: number, mostVoters: number): CoreFleet {
  const sim = makeSim(seed, { keepLines: true })
  const boxes: Box[] = []
  const faults: string[] = []
  const seen = new Map<number, string>()
  function begin(k: number, seeds: number[], first: boolean): void {
    const b = boxes[k]
    const list: Address[] = []
    for (const s of seeds) list.push(`${idOf(s)}:8000`)
    async function run(world: World): Promise<void> {
      b.run = await startCoreMachine(world, {
        node: `core${k}`,
        area: 'a',
        link: `${b.ip}:7000`,
        peer: `${b.ip}:7002`,
        http: `${b.ip}:8000`,
        seeds: list,
        first,
        data: '/d',
        mostVoters,
      })
    }
    b.run = undefined
    b.up = true
    b.ending = false
    b.proc = sim.spawn(b.machine, `core${k}`, run)
  }
  function add(seeds: number[], first: boolean): number {
    const k = boxes.length
    boxes.push({
      machine: sim.machine(`core${k}`, idOf(k)),
      proc: undefined as never,
      run: undefined,
      up: false,
      ending: false,
      gone: false,
      ip: idOf(k),
    })
    begin(k, seeds, first)
    return k
  }
  function start(k: number, seeds: number[]): void {
    begin(k, seeds, false)
  }
  function kill(k: number, disk?: 'lost'): void {
    sim.kill(boxes[k].proc)
    boxes[k].run = undefined
    boxes[k].up = false
    if (disk) boxes[k].machine.files.clear()
  }
  function term(k: number): void {
    const b = boxes[k]
    b.ending = true
    void b.run?.stop()
    const was = b.proc
    function end(): void {
      if (b.proc === was && b.up) kill(k)
    }
    sim.at(1000, end)
  }
  function latest(): CoreSet {
    let out: CoreSet = { epoch: -1, cores: [] }
    for (const [k, b] of boxes.entries()) {
      const set = b.run?.core.coreSet()
      if (!set || set.cores.length === 0) continue
      const text = JSON.stringify([set.cores, set.next ?? null])
      const old = seen.get(set.epoch) ?? text
      seen.set(set.epoch, old)
      if (old !== text) faults.push(`epoch ${set.epoch}: ${old} and ${text}`)
      if (b.run?.core.serving() && !votersOf(set).some(isIt)) faults.push(`core${k} votes outside its set`)
      function isIt(c: { id: string }): boolean {
        return c.id === b.ip
      }
      if (set.epoch > out.epoch) out = set
    }
    return out
  }
  function voters(): number[] {
    const ids = new Set<string>()
    for (const c of latest().cores) ids.add(c.id)
    const out: number[] = []
    for (const [k, b] of boxes.entries()) if (ids.has(b.ip)) out.push(k)
    return out
  }
  function settled(): boolean {
    const set = latest()
    if (set.epoch < 0 || set.next !== undefined) return false
    for (const k of voters())
      if (!boxes[k].run?.core.serving() || boxes[k].run?.core.coreSet().epoch !== set.epoch) return false
    return true
  }
  return { sim, boxes, add, start, kill, term, latest, voters, settled, faults }
}

// Proposes as an agent does. follow: takes later sets as it is told them; else it stays by the first for ever.
export async function makeClient(
  world: World,
  name: string,
  first: CoreSet,
  seeds: () => Address[],
  follow: boolean,
): Promise<Proposer> {
  let set = first
  const links = new Map<string, PersistentLink>()
  function adopt(next: CoreSet): void {
    if (follow && next.epoch > set.epoch) set = next
  }
  function voters(): Voter[] {
    const out: Voter[] = []
    for (const c of votersOf(set)) {
      const held = links.get(c.id) ?? makePersistentLink(world, c.addr, makeHello('test', name), nothing, makeFlag())
      links.set(c.id, held)
      out.push({ id: c.id, ask: held.ask, tell: held.tell })
    }
    return out
  }
  function quorum(): Quorum {
    return quorumOf(set)
  }
  async function look(): Promise<void> {
    for (;;) {
      await pause(world, 2000)
      const got = await fetchCoreSetFromSeeds(world, seeds())
      if (got) adopt(got.set)
    }
  }
  if (follow) void look()
  voters()
  await pause(world, 500)
  return makeProposer(world, name, voters, quorum, adopt)
}
