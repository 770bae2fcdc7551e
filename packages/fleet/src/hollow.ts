import { mkdirSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { type Address, requestOnce, logTo, noop, pause, realWorld } from '@claynotch/base'
import { changeOf, type HollowShape, planHollow } from './hollownode.js'
import type { Reading, State } from './hollowpart.js'
import { type Part, slice, startPart } from './hollowprocess.js'
import { type HollowReport, readRole, type Window } from './hollowreport.js'
import { show, STAND_LIMIT } from './hollowtext.js'

// A hollow fleet: many nodes to a process, real protocols, real cores; measured and stopped by itself.
export { readRole, type HollowReport, type Mechanism, type RoleReading, type Window } from './hollowreport.js'
export { showHollow, showVirtual } from './hollowtext.js'
export { simHollow } from './hollowvirtual.js'

// seconds: of measuring; per: nodes to a process; watch: proxies that sample their instances; mute: agents send no
// summaries; history: changes made before the measuring.
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

// Whose longest frame is told: registers, renewals and their answers.
const SIZES = ['configuration', 'slots', 'group/g1', 'renewal', 'answer to a renewal']

export async function runHollow(opt: HollowOptions): Promise<HollowReport> {
  const world = realWorld(logTo(noop))
  const data = join(tmpdir(), `claynotch-hollow-${process.pid}`)
  mkdirSync(data, { recursive: true })
  // A stretch of loopback addresses of its own for each run, so that runs beside each other don't meet.
  const net = 16 + (process.pid % 200)
  function where(kind: 'core' | 'node' | 'instance', k: number, port: number): Address {
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
      const got = await requestOnce(world, node.http, 'POST', '/streams/hollow', change, 15000)
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
    await all(parts, 'end').catch(noop)
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
