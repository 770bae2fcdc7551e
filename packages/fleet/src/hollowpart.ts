import { readFileSync } from 'node:fs'
import { makeFlag, noop, parseAddr, pause, realWorld, type Address, type World } from '@claynotch/base'
import type { Agent } from '@claynotch/agent'
import type { Core, CorePlace } from '@claynotch/register'
import {
  startHollowAgent,
  startHollowCore,
  startHollowInstance,
  startHollowProxy,
  type HollowProxy,
  type InstancePlace,
  type NodePlace,
} from './hollownode.js'
import { makeRandom } from './sim.js'
import { makeSampling, type Sampling } from './spent.js'
import { makeTally, tapWorld, type Carried, type Line } from './tap.js'

// One process of a hollow fleet, told by its parent what to carry.
process.env.UV_USE_IO_URING = '0'

export type PartSpec =
  | { role: 'core'; id: string; cores: CorePlace[]; data: string; http: Address }
  | { role: 'agent'; nodes: NodePlace[]; seeds: Address[]; mute: boolean }
  | { role: 'proxy'; nodes: NodePlace[]; watch: boolean }
  | { role: 'instance'; list: InstancePlace[] }
// spent: processor time by mechanism, in samples. cpu: s of user and system time since the last mark,
// at the rate of the time before the sampling.
export type Reading = {
  cpu: number
  seconds: number
  rss: number
  heap: number
  lines: Line[]
  longest: [string, number][]
  spent: [string, number][]
  lag: number
}
// epochs: [epoch, proxies that have it, monotonic ms of the last]. fed: of each proxy, ms of its last feed, where its term runs.
export type State = { up: number; fed: number[]; shares: number; steady: number; epochs: [number, number, number][] }

const spec = JSON.parse(readFileSync(process.argv[2], 'utf8')) as PartSpec
// Chance by seed; time and the network are the machine's, so that runs of one seed are alike and not the same.
const inner: World = { ...realWorld(), random: makeRandom(Number(process.argv[3])) }
const tally = makeTally()

// What goes over a stream follows from the port, as the plan has one for each purpose.
function carried(_way: 'dial' | 'listen', addr: Address): Carried {
  switch (parseAddr(addr).port) {
    case 7000:
      return { name: 'links', frames: true }
    case 7100:
      return { name: 'feeds', frames: true }
    case 7001:
      return { name: 'discovery', frames: false }
    case 7080:
      return { name: 'announcements', frames: false }
    default:
      return { name: spec.role === 'proxy' ? 'freshness' : 'probes', frames: false }
  }
}
const world = tapWorld(inner, tally, carried)
const stop = makeFlag()
let core: Core | undefined
let agents: Agent[] = []
const proxies: HollowProxy[] = []

// Summaries are muted at the World: they are made, and not sent.
const quiet: typeof world = spec.role === 'agent' && spec.mute ? { ...world, wire: muteWire } : world
async function muteWire(...args: Parameters<typeof world.wire>): ReturnType<typeof world.wire> {
  const w = await world.wire(...args)
  return { cast: noop, close: w.close }
}

async function startAgents(): Promise<void> {
  if (spec.role !== 'agent') return
  const all: Promise<Agent>[] = []
  for (const n of spec.nodes) all.push(startHollowAgent(quiet, n, spec.seeds))
  agents = await Promise.all(all)
}
async function stopAgents(): Promise<void> {
  const all: Promise<void>[] = []
  for (const a of agents) all.push(a.stop())
  agents = []
  await Promise.all(all)
}
async function begin(): Promise<void> {
  switch (spec.role) {
    case 'core':
      core = await startHollowCore(world, spec)
      return
    case 'agent':
      return await startAgents()
    case 'proxy':
      for (const n of spec.nodes) proxies.push(startHollowProxy(world, n, stop, spec.watch))
      return
    case 'instance':
      for (const one of spec.list) await startHollowInstance(world, one, stop)
  }
}

const sampling: Sampling = makeSampling()
let base = { cpu: process.cpuUsage(), at: inner.now() }
// used: what was spent before sampling began, as sampling itself costs about 2 % of a core in each process.
let used: { cpu: number; seconds: number } | undefined
let worstLag = 0
// How late the event loop is: a process that has more to do than one core gives is marked so.
async function watchLag(): Promise<void> {
  while (!stop.fired()) {
    const from = inner.now()
    await pause(inner, 100, stop)
    worstLag = Math.max(worstLag, inner.now() - from - 100)
  }
}
async function mark(): Promise<void> {
  world.settle()
  ;(globalThis as { gc?: () => void }).gc?.()
  tally.clear()
  worstLag = 0
  used = undefined
  base = { cpu: process.cpuUsage(), at: inner.now() }
}
function spentNow(): { cpu: number; seconds: number } {
  const got = process.cpuUsage(base.cpu)
  return { cpu: (got.user + got.system) / 1e6, seconds: (inner.now() - base.at) / 1000 }
}
// From here on to the reading, where time goes is sampled.
async function sample(): Promise<void> {
  used = spentNow()
  await sampling.start()
}
async function read(): Promise<Reading> {
  const seconds = (inner.now() - base.at) / 1000
  const { cpu, seconds: over } = used ?? spentNow()
  const spent = used ? await sampling.stop() : new Map<string, number>()
  world.settle()
  const { rss } = process.memoryUsage()
  ;(globalThis as { gc?: () => void }).gc?.()
  return {
    cpu: (cpu / over) * seconds,
    seconds,
    rss,
    heap: process.memoryUsage().heapUsed,
    lines: tally.read(),
    longest: [...tally.longest],
    spent: [...spent],
    lag: worstLag,
  }
}
function state(): State {
  const now = inner.now()
  let up = 0
  let steady = 0
  if (core?.serving()) up = 1
  for (const a of agents) if (a.leaseExpiresAt() > now) up++
  const epochs = new Map<number, [number, number]>()
  const fed: number[] = []
  let shares = 0
  for (const p of proxies) {
    fed.push(p.state.valid() ? p.fedAt() : 0)
    if (p.state.share()) shares++
    let led = 0
    for (const g of p.state.config()?.groups ?? []) if (p.state.group(g.name)?.record.phase === 'steady') led++
    steady = proxies[0] === p ? led : Math.min(steady, led)
    for (const [e, at] of p.epochAt) {
      const old = epochs.get(e) ?? [0, 0]
      epochs.set(e, [old[0] + 1, Math.max(old[1], at)])
    }
  }
  const list: [number, number, number][] = []
  for (const [e, [n, at]] of epochs) list.push([e, n, at])
  return { up, fed, shares, steady, epochs: list }
}

type Order = { num: number; what: 'begin' | 'mark' | 'sample' | 'read' | 'state' | 'return' | 'end' }
async function obey(order: Order): Promise<unknown> {
  switch (order.what) {
    case 'begin':
      return await begin()
    case 'mark':
      return await mark()
    case 'sample':
      return await sample()
    case 'read':
      return await read()
    case 'state':
      return state()
    case 'return':
      await stopAgents()
      return await startAgents()
    case 'end':
      return undefined
  }
}
async function take(order: Order): Promise<void> {
  let answer: unknown
  let fault: string | undefined
  try {
    answer = await obey(order)
  } catch (e) {
    fault = (e as Error).stack
  }
  process.send?.({ num: order.num, answer, fault })
  if (order.what === 'end') process.exit(0)
}
function onMessage(order: Order): void {
  void take(order)
}
// A part outlives neither its parent nor its bound in time.
function leave(): void {
  process.exit(0)
}
process.on('message', onMessage)
process.on('disconnect', leave)
setTimeout(leave, 15 * 60 * 1000).unref()
void watchLag()
