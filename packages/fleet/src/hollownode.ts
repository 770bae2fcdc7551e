import { startAgent, type Agent } from '@claynotch/agent'
import {
  requestOnce,
  makeHello,
  makePersistentLink,
  loop,
  makeFlag,
  makeMetrics,
  PROXY_REPORT_INTERVAL_MS,
  pause,
  readAs,
  serveHttp,
  type Address,
  type HttpRequest,
  type Flag,
  type HttpResponse,
  type World,
} from '@claynotch/base'
import { httpInstance } from '@claynotch/instance'
import type { Config } from '@claynotch/operator'
import { makeState, startWatch, type State } from '@claynotch/proxy'
import { AgentFeed, groupOf, startCore, type Core, type CorePlace, type ProxyReport } from '@claynotch/register'

// The tasks of a hollow fleet: the product's cores and agents, and instances and proxies that carry no requests. Each is
// a task of a World, so it runs in real processes, many to one, and in the simulator.
export type NodePlace = { node: string; area: string; link: Address; peer: Address; http: Address }
export type InstancePlace = {
  name: string
  group: string
  area: string
  addr: Address
  leader: boolean
  agents: Address[]
}

export async function startHollowCore(
  world: World,
  set: { id: string; cores: CorePlace[]; data: string; http: Address },
): Promise<Core> {
  const core = await startCore(world, { id: set.id, cores: set.cores, data: set.data })
  function handle(ask: HttpRequest): HttpResponse {
    return ask.path === '/seeds' ? { status: 200, body: { cores: set.cores } } : { status: 404, body: {} }
  }
  await serveHttp(world, set.http, handle)
  return core
}

export async function startHollowAgent(world: World, place: NodePlace, seeds: Address[]): Promise<Agent> {
  return await startAgent(world, {
    node: place.node,
    area: place.area,
    link: place.link,
    peer: place.peer,
    http: place.http,
    seeds,
    build: 'hollow',
  })
}

// Takes feeds by the product's own state and acknowledges them as the product does; it carries no requests.
export type HollowProxy = { state: State; fedAt: () => number; epochAt: Map<number, number>; stop: () => void }

// watch: also samples every instance, as the product does.
export function startHollowProxy(world: World, place: NodePlace, stopAll: Flag, watch = false): HollowProxy {
  const stop = makeFlag()
  stopAll.watch(stop.fire)
  const state = makeState(world)
  const life = Math.floor(world.random() * 2 ** 40).toString(36)
  const metrics = makeMetrics()
  const epochAt = new Map<number, number>()
  const seen = watch ? startWatch(world, state, httpInstance, stop, metrics) : undefined
  let fed = 0
  function note(): void {
    const now = world.now()
    const list: [string, number][] = []
    // One that doesn't sample says that all are well, as one that does would while they are.
    if (seen) for (const [name, one] of seen.all()) if (one.lastOk > 0) list.push([name, now - one.lastOk])
    if (!seen) for (const name of state.sights().keys()) list.push([name, 100])
    const moving: [string, number][] = []
    for (const key of state.turns().keys()) {
      const group = groupOf(key)
      const rec = group === undefined ? undefined : state.group(group)?.record
      if (group !== undefined && rec && rec.phase !== 'steady') moving.push([group, rec.epoch])
    }
    const word: ProxyReport = {
      t: 'note',
      life,
      acks: [...state.turns()],
      highs: [],
      seen: list,
      moving,
      tries: [],
      open: 0,
      leaving: false,
      lags: [],
    }
    agent.tell(word)
  }
  function take(msg: unknown): undefined {
    const got = readAs(AgentFeed, msg)
    if (got.err) throw new Error('unknown word from the agent')
    state.take(got.val)
    fed = world.now()
    const epoch = state.rules()?.epoch
    if (epoch !== undefined && !epochAt.has(epoch)) epochAt.set(epoch, fed)
    note()
    return undefined
  }
  const agent = makePersistentLink(world, place.link, makeHello('proxy', life), take, stop, note)
  void loop(world, 'note', PROXY_REPORT_INTERVAL_MS, stop, note)
  function fedAt(): number {
    return fed
  }
  return { state, fedAt, epochAt, stop: stop.fire }
}

// Announces itself, answers STATUS, and lets itself be promoted; it holds no data.
export async function startHollowInstance(world: World, set: InstancePlace, stop: Flag): Promise<void> {
  let role: 'leader' | 'follower' = set.leader ? 'leader' : 'follower'
  let epoch = 1
  function handle(ask: HttpRequest): HttpResponse {
    if (ask.path === '/promotion') {
      const wish = (ask.body as { epoch?: number } | undefined)?.epoch ?? 0
      if (wish < epoch || (wish === epoch && role === 'follower')) return { status: 409, body: {} }
      epoch = wish
      role = 'leader'
      return { status: 200, body: {} }
    }
    const rows = [
      { field: 'name', value: set.name },
      { field: 'group', value: set.group },
      { field: 'role', value: role },
      { field: 'epoch', value: epoch },
      { field: 'position', value: 1 },
    ]
    return ask.path === '/status' ? { status: 200, body: { rows } } : { status: 404, body: {} }
  }
  await serveHttp(world, set.addr, handle)
  let turn = Math.floor(world.random() * set.agents.length)
  async function announce(): Promise<void> {
    for (let k = 0; k < set.agents.length; k++) {
      const to = set.agents[(turn + k) % set.agents.length]
      const got = await requestOnce(
        world,
        to,
        'POST',
        '/announcement',
        { name: set.name, group: set.group, addr: set.addr, area: set.area, role },
        1000,
      )
      if (got.ok && got.val.status === 200) {
        turn += k
        return
      }
    }
  }
  // Spread over the beat, as instances that started on their own are.
  async function begin(): Promise<void> {
    await pause(world, 1000 * world.random(), stop)
    await loop(world, 'announce', 1000, stop, announce)
  }
  void begin()
}

// --- what a fleet of such tasks looks like ---

// shares: by slots in a register, or by the live members.
export type HollowShape = {
  nodes: number
  groups: number
  lanes: number
  cores: number
  instances: number
  areas: number
  shares: 'slots' | 'live'
}
// place: an address of its own for each thing, by kind and number.
export type Where = (kind: 'core' | 'node' | 'instance', k: number, port: number) => Address
export type HollowPlan = {
  cores: { id: string; addr: Address; http: Address }[]
  set: CorePlace[]
  seeds: Address[]
  nodes: NodePlace[]
  instances: InstancePlace[]
  config: Config
}

export function planHollow(shape: HollowShape, where: Where): HollowPlan {
  const cores: HollowPlan['cores'] = []
  for (let k = 0; k < shape.cores; k++)
    cores.push({ id: `core${k + 1}`, addr: where('core', k, 7000), http: where('core', k, 7001) })
  const set: CorePlace[] = []
  const seeds: Address[] = []
  for (const c of cores) {
    set.push({ id: c.id, addr: c.addr })
    if (seeds.length < 3) seeds.push(c.http)
  }
  const nodes: NodePlace[] = []
  for (let k = 0; k < shape.nodes; k++)
    nodes.push({
      node: `node${k + 1}`,
      area: `area${k % shape.areas}`,
      link: where('node', k, 7100),
      peer: where('node', k, 7200),
      http: where('node', k, 7080),
    })
  const groups: Config['groups'] = []
  const instances: InstancePlace[] = []
  for (let g = 0; g < shape.groups; g++) {
    // Room for one connection to lend at each proxy beside the two kept back.
    groups.push({ name: `g${g + 1}`, connections: 4 * shape.nodes })
    for (let k = 0; k < shape.instances; k++) {
      const num = g * shape.instances + k
      const agents: Address[] = []
      for (let n = 0; n < 3; n++) agents.push(nodes[(num + n * 7) % nodes.length].http)
      instances.push({
        name: `g${g + 1}-${k + 1}`,
        group: `g${g + 1}`,
        area: `area${k % shape.areas}`,
        addr: where('instance', num, 5000),
        leader: k === 0,
        agents,
      })
    }
  }
  const lanes: Config['lanes'] = []
  for (let l = 0; l < shape.lanes; l++)
    lanes.push({
      name: `lane${l + 1}`,
      database: `database${l + 1}`,
      group: `g${(l % shape.groups) + 1}`,
      reads: l % 3 === 0 ? 'leader' : { within: 2000 + (l % 1000), own: true },
    })
  return {
    cores,
    set,
    seeds,
    nodes,
    instances,
    config: { proxies: shape.shares === 'live' ? 'live' : shape.nodes, groups, lanes },
  }
}

// A change as operators make them: one lane's bound.
export function changeOf(
  plan: HollowPlan,
  number: number,
  expect: number,
): { number: number; expect: number; edits: unknown[] } {
  const lane = plan.config.lanes[number % plan.config.lanes.length]
  return {
    number,
    expect,
    edits: [{ op: 'put', what: 'lane', value: { ...lane, reads: { within: 2000 + (number % 1000), own: true } } }],
  }
}
