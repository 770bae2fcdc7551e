import { fork, type ChildProcess } from 'node:child_process'
import { mkdirSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { callOnce, logTo, makeFlag, nothing, parseAddr, pause, realWorld, type Addr, type World } from '@claynotch/base'
import type { Agent } from '@claynotch/agent'
import type { Core } from '@claynotch/register'
import {
  changeOf,
  planHollow,
  startHollowAgent,
  startHollowCore,
  startHollowInstance,
  startHollowProxy,
  type HollowPlan,
  type HollowProxy,
  type HollowShape,
} from './hollownode.js'
import type { PartSpec, Reading, State } from './hollowpart.js'
import { makeRandom, makeSim } from './sim.js'
import { makeTally, tapWorld, type Carried, type Line, type Tally } from './tap.js'

// A hollow fleet: many nodes to a process, real protocols, real cores; measured and stopped by itself.
export type HollowOptions = HollowShape & {
  seconds: number
  changes: number
  seed: number
  per: number
  watch: number
  mute: boolean
  history: number
  out: (line: string) => void
}

// Of one role in one window, for each member of the role (a core, a node, an instance). share: of the processor time.
export type Mechanism = { name: string; outCount: number; outBytes: number; inCount: number; inBytes: number }
export type RoleReading = {
  members: number
  processes: number
  cpu: number
  rss: number
  heap: number
  lag: number
  mechanisms: Mechanism[]
  spent: [string, number][]
}
export type Window = { seconds: number; roles: { role: string; reading: RoleReading }[] }
export type HollowReport = {
  shape: HollowShape & { changes: number; mute: boolean; history: number; seed: number }
  // ms from the start of all agents at once until each has a term; until each proxy works by the first configuration; until each has a share.
  // undefined where it did not come true within the bound.
  termed?: number
  applied?: number
  shared?: number
  led?: number
  back?: number
  changes: { sent: number; accepted: number; inForce: number[] }
  values: [string, number][]
  calm: Window
  changing: Window
  starting: Window
  returning: Window
  repair: Window
}

// Whose longest frame is told: registers, renewals and their answers.
const SIZES = ['configuration', 'slots', 'group/g1', 'renewal', 'answer to a renewal']

type Part = {
  role: string
  spec: PartSpec
  proc: ChildProcess
  members: number
  order: (what: string) => Promise<unknown>
}
const partPath = fileURLToPath(new URL('./hollowpart.js', import.meta.url))
// ms. Longest wait for the fleet to stand, for its shares and its return; a run ends in any case.
const STAND_LIMIT = 45000

function startPart(data: string, role: string, spec: PartSpec, members: number, seed: number): Part {
  const path = join(data, `part${seed}.json`)
  writeFileSync(path, JSON.stringify(spec))
  const proc = fork(partPath, [path, String(seed)], {
    execArgv: ['--expose-gc'],
    stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    env: { ...process.env, UV_USE_IO_URING: '0' },
  })
  const waiting = new Map<number, { ok: (v: unknown) => void; fail: (e: Error) => void }>()
  let num = 0
  function take(got: { num: number; answer?: unknown; fault?: string }): void {
    const one = waiting.get(got.num)
    waiting.delete(got.num)
    if (got.fault !== undefined) one?.fail(new Error(`${role}: ${got.fault}`))
    else one?.ok(got.answer)
  }
  function over(): void {
    for (const one of waiting.values()) one.fail(new Error(`a process of role ${role} ended`))
    waiting.clear()
  }
  proc.on('message', take as never)
  proc.on('exit', over)
  function order(what: string): Promise<unknown> {
    function run(ok: (v: unknown) => void, fail: (e: Error) => void): void {
      const mine = ++num
      waiting.set(mine, { ok, fail })
      proc.send({ num: mine, what })
    }
    return new Promise(run)
  }
  return { role, spec, proc, members, order }
}

function slice<T>(list: T[], per: number): T[][] {
  const out: T[][] = []
  for (let k = 0; k < list.length; k += per) out.push(list.slice(k, k + per))
  return out
}

// Readings of the processes of one role, as rates for each member.
export function readRole(got: { reading: Reading; members: number }[]): RoleReading {
  let members = 0
  let cpu = 0
  let rss = 0
  let heap = 0
  let lag = 0
  const sums = new Map<string, Mechanism>()
  const spent = new Map<string, number>()
  for (const { reading, members: n } of got) {
    members += n
    cpu += reading.cpu / reading.seconds
    rss += reading.rss
    heap += reading.heap
    lag = Math.max(lag, reading.lag)
    for (const l of reading.lines) {
      const old = sums.get(l.name) ?? { name: l.name, outCount: 0, outBytes: 0, inCount: 0, inBytes: 0 }
      sums.set(l.name, {
        name: l.name,
        outCount: old.outCount + l.outCount / reading.seconds,
        outBytes: old.outBytes + l.outBytes / reading.seconds,
        inCount: old.inCount + l.inCount / reading.seconds,
        inBytes: old.inBytes + l.inBytes / reading.seconds,
      })
    }
    for (const [name, hits] of reading.spent) spent.set(name, (spent.get(name) ?? 0) + hits)
  }
  const mechanisms: Mechanism[] = []
  for (const m of sums.values())
    mechanisms.push({
      name: m.name,
      outCount: m.outCount / members,
      outBytes: m.outBytes / members,
      inCount: m.inCount / members,
      inBytes: m.inBytes / members,
    })
  let hits = 0
  for (const n of spent.values()) hits += n
  const shares: [string, number][] = []
  for (const [name, n] of [...spent].sort()) shares.push([name, hits > 0 ? (n / hits) * (cpu / members) : 0])
  return {
    members,
    processes: got.length,
    cpu: cpu / members,
    rss: rss / members,
    heap: heap / members,
    lag,
    mechanisms,
    spent: shares,
  }
}

export async function runHollow(opt: HollowOptions): Promise<HollowReport> {
  const world = realWorld(logTo(nothing))
  const data = join(tmpdir(), `claynotch-hollow-${process.pid}`)
  mkdirSync(data, { recursive: true })
  // A stretch of loopback addresses of its own for each run, so that runs beside each other don't meet.
  const net = 16 + (process.pid % 200)
  function where(kind: 'core' | 'node' | 'instance', k: number, port: number): Addr {
    const far = k + (kind === 'core' ? 1 : kind === 'node' ? 256 : 20000)
    return `127.${net}.${far >> 8}.${far & 255}:${port}`
  }
  const plan = planHollow(opt, where)
  const parts: Part[] = []
  let seeds = opt.seed * 1000
  function nextSeed(): number {
    return ++seeds
  }
  function stopAll(): void {
    for (const p of parts) p.proc.kill('SIGKILL')
  }
  process.on('exit', stopAll)
  const watching = Math.min(opt.watch, opt.nodes)
  try {
    for (const c of plan.cores)
      parts.push(
        startPart(
          data,
          'core',
          { role: 'core', id: c.id, cores: plan.set, data: join(data, c.id), http: c.http },
          1,
          nextSeed(),
        ),
      )
    for (const nodes of slice(plan.nodes, opt.per))
      parts.push(
        startPart(data, 'agent', { role: 'agent', nodes, seeds: plan.seeds, mute: opt.mute }, nodes.length, nextSeed()),
      )
    if (watching > 0)
      parts.push(
        startPart(
          data,
          'watching proxy',
          { role: 'proxy', nodes: plan.nodes.slice(0, watching), watch: true },
          watching,
          nextSeed(),
        ),
      )
    for (const nodes of slice(plan.nodes.slice(watching), 2 * opt.per))
      parts.push(startPart(data, 'proxy', { role: 'proxy', nodes, watch: false }, nodes.length, nextSeed()))
    for (const list of slice(plan.instances, 150))
      parts.push(startPart(data, 'instance', { role: 'instance', list }, list.length, nextSeed()))

    function of(...roles: string[]): Part[] {
      const out: Part[] = []
      for (const p of parts) if (roles.includes(p.role)) out.push(p)
      return out
    }
    async function all(list: Part[], what: string): Promise<unknown[]> {
      const out: Promise<unknown>[] = []
      for (const p of list) out.push(p.order(what))
      return await Promise.all(out)
    }
    async function states(...roles: string[]): Promise<State[]> {
      return (await all(of(...roles), 'state')) as State[]
    }
    async function until(what: () => Promise<boolean>, limit = STAND_LIMIT): Promise<number | undefined> {
      const from = world.now()
      while (!(await what())) {
        if (world.now() - from > limit) return undefined
        await pause(world, 50)
      }
      return world.now() - from
    }
    async function readWindow(): Promise<Window> {
      const got = (await all(parts, 'read')) as Reading[]
      const roles = new Map<string, { reading: Reading; members: number }[]>()
      let seconds = 0
      for (const [k, p] of parts.entries()) {
        roles.set(p.role, [...(roles.get(p.role) ?? []), { reading: got[k], members: p.members }])
        seconds = Math.max(seconds, got[k].seconds)
        for (const [key, size] of got[k].longest) longest.set(key, Math.max(size, longest.get(key) ?? 0))
      }
      const out: Window['roles'] = []
      for (const [role, list] of roles) out.push({ role, reading: readRole(list) })
      return { seconds, roles: out }
    }
    const longest = new Map<string, number>()
    function mark(): Promise<unknown[]> {
      return all(parts, 'mark')
    }

    // --- all agents start at once ---
    await all(of('core'), 'begin')
    async function serving(): Promise<boolean> {
      for (const s of await states('core')) if (s.up === 0) return false
      return true
    }
    if ((await until(serving)) === undefined) throw new Error('the cores were not founded in time')
    await mark()
    const from = world.now()
    await all(of('agent', 'proxy', 'watching proxy', 'instance'), 'begin')
    async function termedNow(): Promise<boolean> {
      let up = 0
      for (const s of await states('agent')) up += s.up
      return up === opt.nodes
    }
    const report: Partial<HollowReport> = {}
    if ((await until(termedNow)) !== undefined) report.termed = world.now() - from
    let number = 0
    let epoch = 0
    const sentAt = new Map<number, number>()
    async function post(change: object): Promise<boolean> {
      const at = world.now()
      const node = plan.nodes[number % plan.nodes.length]
      const got = await callOnce(world, node.http, 'POST', '/streams/hollow', change, 15000)
      const body = got.ok
        ? ((typeof got.val.body === 'string' ? JSON.parse(got.val.body) : got.val.body) as {
            decision?: string
            epoch?: number
          })
        : {}
      if (body.decision !== 'accepted' || body.epoch === undefined) return false
      epoch = body.epoch
      sentAt.set(epoch, at)
      return true
    }
    async function set(): Promise<boolean> {
      return await post({ number: 1, expect: 0, whole: plan.config })
    }
    number = 1
    if ((await until(set)) === undefined) throw new Error('the configuration was not accepted in time')
    async function inForce(): Promise<boolean> {
      let count = 0
      for (const s of await states('proxy', 'watching proxy'))
        for (const [e, n] of s.epochs) if (e === epoch) count += n
      return count >= opt.nodes
    }
    const applied = await until(inForce)
    if (applied !== undefined) report.applied = applied
    async function shared(): Promise<boolean> {
      let count = 0
      for (const s of await states('proxy', 'watching proxy')) count += s.shares
      return count >= opt.nodes
    }
    const sharesFrom = world.now()
    if ((await until(shared)) !== undefined) report.shared = world.now() - sharesFrom
    async function led(): Promise<boolean> {
      for (const s of await states('proxy', 'watching proxy')) if (s.steady < opt.groups) return false
      return true
    }
    if ((await until(led)) !== undefined) report.led = world.now() - from
    report.starting = await readWindow()
    opt.out(
      `standing: terms ${show(report.termed)}, configuration ${show(report.applied)}, shares ${show(report.shared)}, leaders ${show(report.led)}`,
    )

    // Changes before the measuring, where the size of a grown register is asked for.
    for (let k = 0; k < opt.history; k++) {
      number++
      await post(changeOf(plan, number, epoch))
    }
    await pause(world, 3000)

    // --- calm ---
    await mark()
    await pause(world, opt.seconds * 300)
    await all(parts, 'sample')
    await pause(world, opt.seconds * 200)
    report.calm = await readWindow()

    // --- with changes ---
    await mark()
    const changesFrom = world.now()
    let sent = 0
    let accepted = 0
    const firstEpoch = epoch + 1
    async function sampleLater(): Promise<void> {
      await pause(world, opt.seconds * 300)
      await all(parts, 'sample')
    }
    const sampled = sampleLater()
    while (opt.changes > 0 && world.now() - changesFrom < opt.seconds * 500) {
      const due = changesFrom + (sent * 1000) / opt.changes
      if (due > world.now()) await pause(world, due - world.now())
      number++
      sent++
      if (await post(changeOf(plan, number, epoch))) accepted++
    }
    const rest = opt.seconds * 500 - (world.now() - changesFrom)
    if (rest > 0) await pause(world, rest)
    await sampled
    report.changing = await readWindow()
    await pause(world, 2000)
    const counts = new Map<number, { n: number; at: number }>()
    for (const s of await states('proxy', 'watching proxy')) {
      for (const [e, n, at] of s.epochs) {
        const old = counts.get(e) ?? { n: 0, at: 0 }
        counts.set(e, { n: old.n + n, at: Math.max(old.at, at) })
      }
    }
    // An epoch that a node took in only together with a later one is in force there by that later one.
    const times: number[] = []
    for (const [e, at] of sentAt) {
      if (e < firstEpoch) continue
      let n = 0
      let last = 0
      for (let later = e; later <= epoch && n < opt.nodes; later++) {
        const c = counts.get(later)
        if (!c) continue
        n = Math.max(n, c.n)
        last = Math.max(last, c.at)
        if (c.n < opt.nodes) continue
      }
      times.push(n >= opt.nodes ? Math.round(last - at) : -1)
    }
    report.changes = { sent, accepted, inForce: times }
    const values: [string, number][] = []
    for (const [key, size] of longest) if (SIZES.includes(key)) values.push([key, size])
    report.values = values

    // --- all agents restart at once ---
    await mark()
    const returned = world.now()
    await all(of('agent'), 'return')
    async function back(): Promise<boolean> {
      let up = 0
      for (const s of await states('agent')) up += s.up
      if (up < opt.nodes) return false
      for (const s of await states('proxy', 'watching proxy'))
        for (const at of s.fed) if (at < returned + 100) return false
      return true
    }
    if ((await until(back)) !== undefined) report.back = world.now() - returned
    report.returning = await readWindow()

    // --- a core's machine returns, to which a change was made meanwhile ---
    const last = of('core')[opt.cores - 1]
    last.proc.kill('SIGKILL')
    parts.splice(parts.indexOf(last), 1)
    await pause(world, 300)
    number++
    await post(changeOf(plan, number, epoch))
    const again = startPart(data, 'core', last.spec, 1, nextSeed())
    parts.push(again)
    await mark()
    await again.order('begin')
    await pause(world, 2500)
    report.repair = await readWindow()
    await all(parts, 'end').catch(nothing)
    const { nodes, groups, lanes, cores, instances, areas, changes, mute, history, seed, shares } = opt
    return {
      ...report,
      shape: { nodes, groups, lanes, cores, instances, areas, changes, mute, history, seed, shares },
    } as HollowReport
  } finally {
    stopAll()
    process.removeListener('exit', stopAll)
    rmSync(data, { recursive: true, force: true })
  }
}
function show(ms: number | undefined): string {
  return ms === undefined ? `none within ${STAND_LIMIT / 1000} s` : `${Math.round(ms)} ms`
}

// Counts alone, from a run on virtual time.
export function showVirtual(got: Awaited<ReturnType<typeof simHollow>>, shape: HollowShape): string {
  const lines = [
    `${shape.nodes} nodes, ${shape.groups} groups of ${shape.instances}, ${shape.lanes} lanes, ${shape.cores} cores, shares by ${shape.shares}, virtual time${got.stood ? '' : '; it did not stand within 60 s'}`,
  ]
  for (const [role, members, list] of [
    ['core', shape.cores, got.core],
    ['agent', shape.nodes, got.agent],
    ['proxy', shape.nodes, got.proxy],
    ['instance', shape.groups * shape.instances, got.instance],
  ] as [string, number, Line[]][]) {
    lines.push(`each ${role} (${members})`)
    for (const l of list) {
      function rate(n: number): number {
        return n / got.seconds / members
      }
      lines.push(
        `  ${l.name}: out ${rate(l.outCount).toFixed(1)} a second, ${Math.round(rate(l.outBytes))} bytes/s; in ${rate(l.inCount).toFixed(1)}, ${Math.round(rate(l.inBytes))} bytes/s`,
      )
    }
  }
  return lines.join('\n')
}

export function showHollow(r: HollowReport): string {
  const s = r.shape
  const lines = [
    `${s.nodes} nodes, ${s.groups} groups of ${s.instances}, ${s.lanes} lanes, ${s.cores} cores, shares by ${s.shares}, ${s.changes} changes a second${s.mute ? ', summaries muted' : ''}`,
  ]
  lines.push(
    `all agents at once: terms ${show(r.termed)}, first configuration ${show(r.applied)}, shares ${show(r.shared)}, leaders ${show(r.led)}; back after a restart of all ${show(r.back)}`,
  )
  const times = [...r.changes.inForce].sort(byNumber)
  lines.push(
    `changes: ${r.changes.accepted} of ${r.changes.sent} accepted; in force everywhere: median ${times[Math.floor(times.length / 2)] ?? 'none'} ms, most ${times[times.length - 1] ?? 'none'} ms${times.includes(-1) ? ', some not within the window' : ''}`,
  )
  for (const [key, size] of r.values) lines.push(`longest frame with ${key}: ${size} bytes`)
  for (const [name, w] of [
    ['start of all', r.starting],
    ['return of all agents', r.returning],
    ['return of a core', r.repair],
  ] as [string, Window][]) {
    for (const { role, reading } of w.roles) {
      const parts: string[] = []
      for (const m of reading.mechanisms)
        parts.push(
          `${m.name} ${Math.round((m.outCount + m.inCount) * w.seconds)} (${Math.round((m.outBytes + m.inBytes) * w.seconds)})`,
        )
      lines.push(`${name}, ${w.seconds.toFixed(1)} s, each ${role}, messages (bytes): ${parts.join(', ')}`)
    }
  }
  for (const [name, w] of [
    ['calm', r.calm],
    ['changing', r.changing],
  ] as [string, Window][]) {
    for (const { role, reading } of w.roles) {
      lines.push(
        `${name}, each ${role} (${reading.members} in ${reading.processes} processes): ${(reading.cpu * 100).toFixed(2)} % of a core, ${Math.round(reading.rss / 1024)} KiB resident, ${Math.round(reading.heap / 1024)} KiB of heap, loop at most ${Math.round(reading.lag)} ms late`,
      )
      for (const m of reading.mechanisms)
        lines.push(
          `  ${m.name}: out ${m.outCount.toFixed(1)} a second, ${Math.round(m.outBytes)} bytes/s; in ${m.inCount.toFixed(1)}, ${Math.round(m.inBytes)} bytes/s`,
        )
      const spent: string[] = []
      for (const [what, share] of reading.spent) if (share > 0.0001) spent.push(`${what} ${(share * 100).toFixed(2)} %`)
      if (spent.length > 0) lines.push(`  processor time: ${spent.join(', ')}`)
    }
  }
  return lines.join('\n')
}
function byNumber(a: number, b: number): number {
  return a - b
}

// The same tasks on virtual time: counts repeat by seed; processor time and memory mean nothing here.
export async function simHollow(
  seed: number,
  shape: HollowShape,
  ms: number,
): Promise<{ stood: boolean; seconds: number; core: Line[]; agent: Line[]; proxy: Line[]; instance: Line[] }> {
  const sim = makeSim(seed)
  const random = makeRandom(seed)
  function where(kind: 'core' | 'node' | 'instance', k: number, port: number): Addr {
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
    function carried(_way: 'dial' | 'listen', addr: Addr): Carried {
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
    await callOnce(
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
