import t, { type Test } from 'tap'
import { LEASE_DURATION_MS, type Address, type World } from '@claynotch/base'
import { startAgent, type Agent } from '@claynotch/agent'
import { startCore, type Core, type CoreMember } from '@claynotch/register'
import { makeSim, type Proc, type Sim } from '../sim.js'

// Nodes without duties take the lines of members from two cores alone, and know all members nevertheless.

t.setTimeout(120000)

const CORES = 9
const FRONTS = 24

type Cluster = {
  sim: Sim
  cores: { proc: Proc; core: Core | undefined }[]
  agents: (Agent | undefined)[]
  stopCore: (k: number) => void
  startCoreAt: (k: number) => void
}

function none(): Address[] {
  return []
}

function makeCluster(seed: number): Cluster {
  const sim = makeSim(seed)
  const places: CoreMember[] = []
  for (let k = 1; k <= CORES; k++) places.push({ id: `10.0.0.${k}`, addr: `10.0.0.${k}:7000` })
  const cores: Cluster['cores'] = []
  const machines = places.map(machineOf)
  function machineOf(place: CoreMember) {
    return sim.machine(place.id, place.id)
  }
  function startCoreAt(k: number): void {
    async function run(world: World): Promise<void> {
      const place = places[k]
      cores[k].core = await startCore(world, {
        id: place.id,
        addr: place.addr,
        data: '/d',
        seeds: none,
        founders: places,
      })
    }
    const proc = sim.spawn(machines[k], `core${k}`, run)
    cores[k] = { proc, core: undefined }
  }
  for (let k = 0; k < CORES; k++) startCoreAt(k)
  const agents: (Agent | undefined)[] = []
  function coreSet() {
    return { epoch: 0, cores: places }
  }
  for (let k = 1; k <= FRONTS; k++) {
    async function front(world: World): Promise<void> {
      agents[k - 1] = await startAgent(world, {
        node: `front-${k}`,
        area: 'a',
        link: `10.0.1.${k}:7001`,
        peer: `10.0.1.${k}:7002`,
        seeds: [],
        coreSet,
        build: 'x',
      })
    }
    sim.spawn(sim.machine(`front-${k}`, `10.0.1.${k}`), `front-${k}`, front)
  }
  function stopCore(k: number): void {
    sim.kill(cores[k].proc)
    cores[k].core = undefined
  }
  return { sim, cores, agents, stopCore, startCoreAt }
}

function knowAll(cluster: Cluster): boolean {
  for (const agent of cluster.agents)
    if (agent?.metrics.get('claynotch_agent_members') !== FRONTS || agent.leaseExpiresAt() <= cluster.sim.now())
      return false
  return cluster.agents.length === FRONTS
}
function linesOf(cluster: Cluster): number {
  let sum = 0
  for (const { core } of cluster.cores) sum += core?.metrics.get('claynotch_core_member_lines_total') ?? 0
  return sum
}

async function fewLines(c: Test): Promise<void> {
  const cluster = makeCluster(3)
  function known(): boolean {
    return knowAll(cluster)
  }
  c.ok(await cluster.sim.until(known, 20000), 'every front knows every member')
  await cluster.sim.run(cluster.sim.now() + 3000)
  const least = FRONTS * FRONTS
  const lines = linesOf(cluster)
  c.ok(lines >= least && lines <= 4 * least, `${lines} lines for ${FRONTS} fronts, ${CORES} cores`)
}

async function sourcesGo(c: Test): Promise<void> {
  const cluster = makeCluster(4)
  function known(): boolean {
    return knowAll(cluster)
  }
  c.ok(await cluster.sim.until(known, 20000), 'every front knows every member')
  // Four of nine go: for some fronts both of those that told them of members.
  for (let k = 0; k < 4; k++) cluster.stopCore(k)
  await cluster.sim.run(cluster.sim.now() + 2 * LEASE_DURATION_MS)
  c.ok(known(), 'they still do, and hold their leases, with four cores gone')
  for (let k = 0; k < 4; k++) cluster.startCoreAt(k)
  await cluster.sim.run(cluster.sim.now() + 2 * LEASE_DURATION_MS)
  for (let k = 4; k < 8; k++) cluster.stopCore(k)
  await cluster.sim.run(cluster.sim.now() + 2 * LEASE_DURATION_MS)
  c.ok(known(), 'and with four others gone')
  void cluster.agents[0]!.stop()
  await cluster.sim.run(cluster.sim.now() + 2 * LEASE_DURATION_MS)
  let told = 0
  for (const agent of cluster.agents.slice(1)) if (agent!.metrics.get('claynotch_agent_members') === FRONTS - 1) told++
  c.equal(told, FRONTS - 1, 'each learns from other cores that a member left')
}

async function memberGoes(c: Test): Promise<void> {
  const cluster = makeCluster(5)
  function known(): boolean {
    return knowAll(cluster)
  }
  c.ok(await cluster.sim.until(known, 20000), 'every front knows every member')
  void cluster.agents[0]!.stop()
  await cluster.sim.run(cluster.sim.now() + 2 * LEASE_DURATION_MS)
  for (const agent of cluster.agents.slice(1))
    c.equal(agent!.metrics.get('claynotch_agent_members'), FRONTS - 1, 'one that left is known to have left')
}

void t.test('members are told by a few cores', fewLines)
void t.test('cores that told of members go and come back', sourcesGo)
void t.test('a member leaves', memberGoes)
