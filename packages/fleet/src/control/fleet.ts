/**
 * Core machines and a front in the simulator, with the faults that a schedule may bring about.
 *
 * A box is one core machine (a core and its agent, as `startCoreMachine` makes them); a front is one agent without a core.
 * Orders are taken through the same desk that the platform's operator edge uses.
 */
import { defaultAdapters, answerSeeds, type Agent, type AgentAdapters, type ControlService } from '@claynotch/agent'
import {
  readAs,
  serveHttp,
  MAX_VOTERS,
  type Address,
  type HttpRequest,
  type HttpResponse,
  type HttpListener,
  type World,
} from '@claynotch/base'
import { startCoreMachine, startFrontAgent, type CoreMachine } from '@claynotch/claynotch'
import { Change } from '@claynotch/operator'
import { quorumOf, readCoreSet, votersOf, type CoreSet } from './sets.js'
import { makeSim, type Machine, type Proc, type Sim } from '../sim.js'

/** Milliseconds from SIGTERM to the end of the process. */
const TERM_GRACE = 1000

/**
 * One core machine. `up`: its process runs, or is frozen; `ending`: it was told to stop; `gone`: removed for good;
 * `memory`: it holds what it promised and accepted, as of when it was last seen voting, and its disk has been kept since.
 */
export type CoreHost = {
  name: string
  ip: string
  machine: Machine
  proc: Proc | undefined
  run: CoreMachine | undefined
  up: boolean
  ending: boolean
  isRemoved: boolean
  memory: boolean
  stepped: number
}
/** One front: its agent in its present life. */
export type Front = { machine: Machine; proc: Proc; agent: Agent | undefined; up: boolean }

/** One life of an agent, on a core machine or a front; ending: it was told to stop. */
export type Life = { node: string; agent: Agent; machine: Machine; proc: Proc; ending: () => boolean }

/** The machines of one run. `sets`: every core set seen, by epoch; `broken`: what was seen that must never be. */
export type ControlFleet = {
  sim: Sim
  hosts: CoreHost[]
  front: Front
  sets: Map<number, CoreSet>
  broken: (what: string) => void
  add: (first: boolean) => CoreHost
  start: (box: CoreHost) => void
  kill: (box: CoreHost, how?: { dark?: boolean; disk?: 'lost' }) => void
  terminate: (box: CoreHost) => void
  /** Every life whose process is not dead. */
  lives: () => Life[]
  startFront: (first: boolean) => void
  killFront: () => void
  /** Looks at every core set; returns the latest. */
  latestCoreSet: () => CoreSet
  /** One single set, all of whose machines that are not removed vote. */
  settled: () => boolean
  /** Settled, and every machine that is there votes, or as many as may. */
  isFullyVoting: () => boolean
  /** Whether the set could still serve if these boxes never came back with their disks. */
  bears: (lost: CoreHost[]) => boolean
  /** Boxes that are not removed, and the http addresses of those. */
  presentHosts: () => CoreHost[]
}

/** What a box answers to operators. */
async function answer(ask: HttpRequest, desk: ControlService): Promise<HttpResponse | undefined> {
  const seeds = answerSeeds(ask, desk.coreSet())
  if (seeds) return seeds
  if (ask.path === '/read') {
    const body = await desk.read()
    return body ? { status: 200, body } : { status: 503, body: null }
  }
  if (!ask.path.startsWith('/order/')) return { status: 404, body: null }
  const change = readAs(Change, ask.body)
  if (change.err) return { status: 400, body: null }
  const got = await desk.change(ask.path.slice('/order/'.length), change.val)
  return got.decision === 'unclear' ? { status: 503, body: null } : { status: 200, body: got }
}
function hasBox(set: CoreSet, box: CoreHost): boolean {
  for (const c of votersOf(set)) if (c.id === box.ip) return true
  return false
}
function control(world: World, addr: Address, desk: ControlService): Promise<HttpListener> {
  function handle(ask: HttpRequest): Promise<HttpResponse | undefined> {
    return answer(ask, desk)
  }
  return serveHttp(world, addr, handle, { limit: 4 * 1024 * 1024 })
}
const edges: AgentAdapters = { ...defaultAdapters, control }

/** The http address of a box. */
export function httpAddressOf(box: CoreHost): Address {
  return `${box.ip}:8000`
}

/** Makes the fleet; `founders` boxes are the seeds of the very first start. */
export function makeControlFleet(seed: number, founders: number, broken: (what: string) => void): ControlFleet {
  const sim = makeSim(seed, { keepLines: process.env['MODEL_TRACE'] !== undefined })
  const boxes: CoreHost[] = []
  const sets = new Map<number, CoreSet>()
  const texts = new Map<number, string>()
  const lastSeen = new Map<CoreHost, CoreSet>()
  let living: Life[] = []

  function firstSeeds(): Address[] {
    const out: Address[] = []
    for (let k = 0; k < founders; k++) out.push(`10.0.1.${k + 1}:8000`)
    return out
  }
  /** Three processes that are there, as whoever starts a machine would name them; not the machine itself. */
  function someSeeds(but: CoreHost | undefined): Address[] {
    const list = boxes.filter(isOther)
    function isOther(b: CoreHost): boolean {
      return b !== but && !b.isRemoved
    }
    const out: Address[] = []
    while (out.length < 3 && list.length > 0)
      out.push(httpAddressOf(list.splice(Math.floor(sim.random() * list.length), 1)[0]))
    return out
  }
  function begin(box: CoreHost, seeds: Address[], first: boolean): void {
    async function run(world: World): Promise<void> {
      const got = await startCoreMachine(
        world,
        {
          node: box.name,
          area: 'a',
          link: `${box.ip}:7000`,
          peer: `${box.ip}:7002`,
          http: httpAddressOf(box),
          seeds,
          first,
          data: '/d',
        },
        edges,
      )
      if (box.proc === mine) box.run = got
      function ending(): boolean {
        return box.proc !== mine || box.ending
      }
      living.push({ node: box.name, agent: got.agent, machine: box.machine, proc: mine, ending })
    }
    box.run = undefined
    box.up = true
    box.ending = false
    box.machine.dark = false
    const mine = sim.spawn(box.machine, box.name, run)
    box.proc = mine
  }
  function add(first: boolean): CoreHost {
    const num = boxes.length + 1
    const ip = `10.0.1.${num}`
    const box: CoreHost = {
      name: `core${num}`,
      ip,
      machine: sim.machine(`core${num}`, ip),
      proc: undefined,
      run: undefined,
      up: false,
      ending: false,
      isRemoved: false,
      memory: false,
      stepped: -Infinity,
    }
    boxes.push(box)
    begin(box, first ? firstSeeds() : someSeeds(box), first)
    return box
  }
  function start(box: CoreHost): void {
    if (!box.up && !box.isRemoved) begin(box, someSeeds(box), false)
  }
  function kill(box: CoreHost, how: { dark?: boolean; disk?: 'lost' } = {}): void {
    look(box)
    if (how.dark) box.machine.dark = true
    if (box.proc) sim.kill(box.proc)
    box.run = undefined
    box.up = false
    if (!how.disk) return
    box.machine.files.clear()
    box.memory = false
  }
  function terminate(box: CoreHost): void {
    box.ending = true
    void box.run?.stop()
    const was = box.proc
    function end(): void {
      if (box.proc === was && box.up) kill(box)
    }
    sim.at(TERM_GRACE, end)
  }

  const front: Front = {
    machine: sim.machine('front', '10.0.2.1'),
    proc: undefined as never,
    agent: undefined,
    up: false,
  }
  function startFront(first: boolean): void {
    async function run(world: World): Promise<void> {
      const got = await startFrontAgent(world, {
        node: 'front',
        area: 'a',
        link: '127.0.0.1:7001',
        peer: '10.0.2.1:7002',
        corePort: 7000,
        seeds: first ? firstSeeds() : someSeeds(undefined),
        first,
      })
      if (front.proc === mine) front.agent = got
      living.push({ node: 'front', agent: got, machine: front.machine, proc: mine, ending: never })
    }
    front.agent = undefined
    front.up = true
    const mine = sim.spawn(front.machine, 'front', run)
    front.proc = mine
  }
  function killFront(): void {
    sim.kill(front.proc)
    front.agent = undefined
    front.up = false
  }

  function never(): boolean {
    return false
  }
  function lives(): Life[] {
    living = living.filter(isAlive)
    return living
  }
  function isAlive(life: Life): boolean {
    return life.proc.state !== 'dead'
  }

  function sawSet(set: CoreSet, where: string): void {
    if (set.cores.length === 0) return
    const text = JSON.stringify([set.cores, set.next ?? null])
    const old = texts.get(set.epoch)
    if (old === undefined) {
      texts.set(set.epoch, text)
      sets.set(set.epoch, set)
    } else if (old !== text) broken(`two core sets of epoch ${set.epoch}: ${old}, and ${text} at ${where}`)
  }
  function look(box: CoreHost): void {
    const core = box.run?.core
    if (!core) return
    const set = core.coreSet()
    // The same object is the same set, and this is asked at each event.
    if (lastSeen.get(box) !== set) sawSet(set, box.name)
    lastSeen.set(box, set)
    const state = core.state()
    // A failed disk keeps what it synced.
    if (state !== 'disk failed') box.memory = state === 'serving'
    if (core.serving() && !votersOf(set).some(isIt)) broken(`${box.name} serves outside its set of epoch ${set.epoch}`)
    function isIt(c: { id: string }): boolean {
      return c.id === box.ip
    }
  }
  function latest(): CoreSet {
    for (const b of boxes) look(b)
    let out: CoreSet = { epoch: -1, cores: [] }
    for (const set of sets.values()) if (set.epoch > out.epoch) out = set
    return out
  }
  function votes(box: CoreHost, epoch: number): boolean {
    return box.run?.core.serving() === true && box.run.core.coreSet().epoch === epoch
  }
  function settled(): boolean {
    const set = latest()
    if (set.epoch < 0 || set.next !== undefined) return false
    for (const b of present()) if (hasBox(set, b) && !votes(b, set.epoch)) return false
    return true
  }
  /** Settled, and every machine that is there votes, or as many as may. */
  function whole(): boolean {
    if (!settled()) return false
    const set = latest()
    let outside = 0
    let removed = 0
    for (const b of present()) if (!hasBox(set, b)) outside++
    for (const b of boxes) if (b.isRemoved && hasBox(set, b)) removed++
    return outside === 0 || (set.cores.length >= MAX_VOTERS && removed === 0)
  }
  /** The latest set that is known, and every later one that a core has accepted, chosen or not. */
  function mayDecide(): CoreSet[] {
    const last = latest()
    const out = [last]
    for (const b of boxes) {
      const set = readCoreSet(b.run?.core.store.entries().get('coreset')?.value?.body)
      if (set && set.epoch > last.epoch) out.push(set)
    }
    return out
  }
  /** A newcomer that a set names by the storage it has votes as soon as it hears of it. */
  function isNewcomer(box: CoreHost, set: CoreSet): boolean {
    const token = box.run?.core.place().token
    if (token === undefined) return false
    for (const c of votersOf(set)) if (c.id === box.ip && c.token === token) return true
    return false
  }
  function bears(lost: CoreHost[]): boolean {
    for (const set of mayDecide()) {
      const ids = new Set<string>()
      for (const b of present()) if (!lost.includes(b) && (b.memory || isNewcomer(b, set))) ids.add(b.ip)
      if (!quorumOf(set).met(ids)) return false
    }
    return true
  }
  function present(): CoreHost[] {
    return boxes.filter(isHere)
    function isHere(b: CoreHost): boolean {
      return !b.isRemoved
    }
  }
  return {
    sim,
    hosts: boxes,
    front,
    sets,
    broken,
    add,
    start,
    kill,
    terminate,
    startFront,
    killFront,
    latestCoreSet: latest,
    settled,
    isFullyVoting: whole,
    lives,
    bears,
    presentHosts: present,
  }
}
