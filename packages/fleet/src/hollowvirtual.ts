import type { Agent } from '@claynotch/agent'
import { type Address, requestOnce, makeFlag, parseAddr, type World } from '@claynotch/base'
import type { Core } from '@claynotch/register'
import {
  type HollowPlan,
  type HollowProxy,
  type HollowShape,
  planHollow,
  startHollowAgent,
  startHollowCore,
  startHollowInstance,
  startHollowProxy,
} from './hollownode.js'
import { makeRandom, makeSim } from './sim.js'
import { type Carried, type Line, makeTally, type Tally, tapWorld } from './tap.js'

// A hollow fleet on virtual time.

// The same tasks on virtual time: counts repeat by seed; processor time and memory mean nothing here.
export async function simHollow(
  seed: number,
  shape: HollowShape,
  ms: number,
): Promise<{ stood: boolean; seconds: number; core: Line[]; agent: Line[]; proxy: Line[]; instance: Line[] }> {
  const sim = makeSim(seed)
  const random = makeRandom(seed)
  function where(kind: 'core' | 'node' | 'instance', k: number, port: number): Address {
    const far = k + 1
    return `10.${kind === 'core' ? 1 : kind === 'node' ? 2 : 3}.${far >> 8}.${far & 255}:${port}`
  }
  const plan: HollowPlan = planHollow(shape, where)
  const tallies = new Map<string, Tally>([
    ['core', makeTally()],
    ['agent', makeTally()],
    ['proxy', makeTally()],
    ['instance', makeTally()],
  ])
  const stop = makeFlag()
  function tapped(role: string, world: World): World {
    function carried(_way: 'dial' | 'listen', addr: Address): Carried {
      const { port } = parseAddr(addr)
      return {
        name: port === 7001 ? 'discovery' : port === 7080 ? 'announcements' : 'probes',
        frames: port === 7000 || port === 7100,
      }
    }
    return tapWorld(world, tallies.get(role) as Tally, carried)
  }
  const cores: Core[] = []
  const agents: Agent[] = []
  const proxies: HollowProxy[] = []
  for (const c of plan.cores) {
    async function start(world: World): Promise<void> {
      cores.push(await startHollowCore(tapped('core', world), { ...c, cores: plan.set, data: '/data' }))
    }
    sim.spawn(sim.machine(c.id, parseAddr(c.addr).host), c.id, start)
  }
  for (const n of plan.nodes) {
    const machine = sim.machine(n.node, parseAddr(n.http).host)
    async function startBoth(world: World): Promise<void> {
      agents.push(await startHollowAgent(tapped('agent', world), n, plan.seeds))
    }
    async function startLight(world: World): Promise<void> {
      proxies.push(startHollowProxy(tapped('proxy', world), n, stop))
    }
    sim.spawn(machine, `${n.node}-agent`, startBoth)
    sim.spawn(machine, `${n.node}-proxy`, startLight)
  }
  for (const one of plan.instances) {
    function start(world: World): Promise<void> {
      return startHollowInstance(tapped('instance', world), one, stop)
    }
    sim.spawn(sim.machine(one.name, parseAddr(one.addr).host), one.name, start)
  }
  function termed(): boolean {
    return agents.length === shape.nodes && cores.length === shape.cores
  }
  await sim.until(termed, 10000)
  await sim.run(sim.now() + 5000)
  async function operate(world: World): Promise<void> {
    await requestOnce(
      world,
      plan.nodes[Math.floor(random() * plan.nodes.length)].http,
      'POST',
      '/streams/hollow',
      { number: 1, expect: 0, whole: plan.config },
      10000,
    )
  }
  sim.spawn(sim.machine('desk', '10.9.0.1'), 'operator', operate)
  function stands(): boolean {
    for (const p of proxies) {
      if (!p.state.valid() || !p.state.share()) return false
      for (const g of plan.config.groups) if (p.state.group(g.name)?.record.phase !== 'steady') return false
    }
    return proxies.length === shape.nodes
  }
  const stood = await sim.until(stands, 60000)
  for (const t of tallies.values()) t.clear()
  const from = sim.now()
  await sim.run(from + ms)
  function lines(role: string): Line[] {
    return (tallies.get(role) as Tally).read()
  }
  return {
    stood,
    seconds: (sim.now() - from) / 1000,
    core: lines('core'),
    agent: lines('agent'),
    proxy: lines('proxy'),
    instance: lines('instance'),
  }
}
