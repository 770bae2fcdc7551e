import { spawn, type ChildProcess } from 'node:child_process'
import { createServer, type AddressInfo } from 'node:net'
import { mkdirSync, openSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { requestOnce, logTo, makeFlag, pause, realWorld, type Address, type World } from '@claynotch/base'
import type { InstanceRecord } from './instance.js'
import { judge, type Judgement } from './judge.js'
import type { Profile } from './profile.js'
import { runRequester, type Event } from './requester.js'

// A whole fleet on one machine, as processes of its own kind each, with stand-in instances and requesters.
export type LocalOptions = {
  profile: Profile
  seconds: number
  kill: boolean
  data?: string
  keep: boolean
  scale: number
  out: (line: string) => void
}
export type LocalReport = { judgement: Judgement; text: string; json: unknown }

type Child = { name: string; proc: ChildProcess; args: string[] }

function freePort(): Promise<number> {
  function start(ok: (p: number) => void): void {
    const s = createServer()
    function up(): void {
      const { port } = s.address() as AddressInfo
      function closed(): void {
        ok(port)
      }
      s.close(closed)
    }
    s.listen(0, '127.0.0.1', up)
  }
  return new Promise(start)
}

export async function freeAddr(): Promise<Address> {
  return `127.0.0.1:${await freePort()}`
}

const mainPath = fileURLToPath(new URL('./main.js', import.meta.url))
const claynotchPath = fileURLToPath(new URL('../../claynotch/dist/main.js', import.meta.url))

function silent(): World {
  function sink(): void {}
  return realWorld(logTo(sink))
}

export async function runLocal(opt: LocalOptions): Promise<LocalReport> {
  const { profile } = opt
  const world = silent()
  const data = opt.data ?? join(tmpdir(), `claynotch-fleet-${process.pid}`)
  mkdirSync(data, { recursive: true })
  const children = new Map<string, Child>()
  const stop = makeFlag()
  const used = new Set<number>()

  async function addr(): Promise<Address> {
    for (;;) {
      const port = await freePort()
      if (used.has(port)) continue
      used.add(port)
      return `127.0.0.1:${port}`
    }
  }
  function start(name: string, path: string, args: string[]): void {
    const log = openSync(join(data, `${name}.log`), 'a')
    const proc = spawn(process.execPath, [path, ...args], {
      stdio: ['ignore', log, log],
      env: { ...process.env, UV_USE_IO_URING: '0' },
    })
    children.set(name, { name, proc, args: [path, ...args] })
  }
  function settings(name: string, body: unknown): string {
    const path = join(data, `${name}.json`)
    writeFileSync(path, JSON.stringify(body))
    return path
  }
  async function until(what: () => Promise<boolean>, limit: number, name: string): Promise<number> {
    const from = world.now()
    while (!(await what())) {
      if (world.now() - from > limit) throw new Error(`${name} did not come true in ${limit} ms; logs are in ${data}`)
      await pause(world, 25)
    }
    return world.now() - from
  }
  async function get(at: Address, path: string): Promise<unknown> {
    const got = await requestOnce(world, at, 'GET', path, undefined, 2000)
    return got.ok && got.val.status === 200 ? got.val.body : undefined
  }
  async function isReady(at: Address): Promise<boolean> {
    return (await get(at, '/ready')) !== undefined
  }
  function stopAll(): void {
    for (const c of children.values()) c.proc.kill('SIGKILL')
  }
  process.on('exit', stopAll)

  try {
    // --- cores ---
    const cores: { id: string; addr: Address; http: Address }[] = []
    for (let k = 0; k < profile.cores; k++) cores.push({ id: `core${k + 1}`, addr: await addr(), http: await addr() })
    const set: { id: string; addr: Address }[] = []
    for (const c of cores) set.push({ id: c.id, addr: c.addr })
    for (const c of cores)
      start(c.id, claynotchPath, [
        'core',
        '--settings',
        settings(c.id, { id: c.id, cores: set, data: join(data, c.id), http: c.http }),
      ])
    const seeds = [cores[0].http, cores[1].http, cores[2].http]
    // --- fronts and platform ---
    const platform = await addr()
    const fronts: { node: string; http: Address; listen: Address; admin: Address }[] = []
    for (let k = 0; k < profile.fronts; k++) {
      const f = { node: `front${k + 1}`, http: await addr(), listen: await addr(), admin: await addr() }
      const link = await addr()
      fronts.push(f)
      start(`${f.node}-agent`, claynotchPath, [
        'agent',
        '--settings',
        settings(`${f.node}-agent`, {
          node: f.node,
          area: profile.areas[k % profile.areas.length],
          link,
          peer: await addr(),
          http: f.http,
          seeds,
          platform,
        }),
      ])
      start(`${f.node}-proxy`, claynotchPath, [
        'proxy',
        '--settings',
        settings(`${f.node}-proxy`, { listen: f.listen, admin: f.admin, agent: link }),
      ])
    }
    // --- instances ---
    const boxes: { name: string; group: string; addr: Address; path: string }[] = []
    for (const group of profile.groups) {
      const addrs: Address[] = []
      for (let k = 0; k < profile.instances; k++) addrs.push(await addr())
      for (let k = 0; k < profile.instances; k++) {
        const name = `${group}${k + 1}`
        const peers: Address[] = []
        for (const a of addrs) if (a !== addrs[k]) peers.push(a)
        const agents = [
          fronts[k % fronts.length].http,
          fronts[(k + 3) % fronts.length].http,
          fronts[(k + 5) % fronts.length].http,
        ]
        const path = settings(name, {
          name,
          group,
          area: profile.areas[k % profile.areas.length],
          addr: addrs[k],
          peers,
          agents,
          leader: k === 0,
          connections: profile.connections,
          lag: 50,
          data: join(data, name),
        })
        boxes.push({ name, group, addr: addrs[k], path })
        start(name, mainPath, ['instance', '--settings', path])
      }
    }
    const platformMap: { name: string; addr: Address }[] = []
    for (const b of boxes) platformMap.push({ name: b.name, addr: b.addr })
    start('platform', mainPath, [
      'platform',
      '--settings',
      settings('platform', { addr: platform, instances: platformMap }),
    ])

    async function coresServe(): Promise<boolean> {
      for (const c of cores) if (!(await isReady(c.http))) return false
      for (const f of fronts) if (!(await isReady(f.http))) return false
      return true
    }
    const founded = await until(coresServe, 30000, 'the founding')
    opt.out(`cores founded and every agent holds a term after ${Math.round(founded)} ms`)

    // --- configuration ---
    const sentAt = world.now()
    const made = await requestOnce(
      world,
      fronts[0].http,
      'POST',
      '/streams/setup',
      { number: 1, expect: 0, whole: profile.config },
      15000,
    )
    const decision = made.ok
      ? ((typeof made.val.body === 'string' ? JSON.parse(made.val.body) : made.val.body) as { decision: string })
      : { decision: 'none' }
    if (decision.decision !== 'accepted')
      throw new Error(`the configuration was not accepted: ${JSON.stringify(decision)}`)
    const acceptedMs = world.now() - sentAt
    async function proxiesServe(): Promise<boolean> {
      for (const f of fronts) if (!(await isReady(f.admin))) return false
      return true
    }
    const applied = await until(proxiesServe, 10000, 'the configuration at each proxy')
    async function groupsLead(): Promise<boolean> {
      const groups = (await get(fronts[1].http, '/groups')) as { record: { phase?: string } | null }[] | undefined
      if (!groups || groups.length < profile.groups.length) return false
      for (const g of groups) if (g.record?.phase !== 'steady') return false
      return true
    }
    const led = await until(groupsLead, 15000, 'a leader in each group')
    opt.out(
      `configuration accepted after ${Math.round(acceptedMs)} ms, every proxy ready ${Math.round(applied)} ms later, leaders known after another ${Math.round(led)} ms`,
    )

    // --- traffic ---
    const events: Event[] = []
    function note(e: Event): void {
      events.push(e)
    }
    function never(): boolean {
      return false
    }
    const nodes: Address[] = []
    for (const f of fronts) nodes.push(f.listen)
    const sessions = profile.sessions
    // Open loop enough: think time is set so that all sessions together make the profile's rate.
    const think = (sessions / (profile.rate * opt.scale)) * 1000
    const runs: Promise<void>[] = []
    for (let k = 0; k < sessions; k++)
      runs.push(
        runRequester(
          world,
          { id: k, nodes, mixes: profile.mixes, think, keys: 400, again: false, until: never, note },
          stop,
        ),
      )
    const from = world.now()
    const moves: string[] = []
    async function leaderOf(group: string): Promise<{ name: string; epoch: number } | undefined> {
      const groups = (await get(fronts[1].http, '/groups')) as
        { name: string; record: { leader?: string; epoch: number; phase: string } | null }[] | undefined
      for (const g of groups ?? [])
        if (g.name === group && g.record?.leader !== undefined && g.record.phase === 'steady')
          return { name: g.record.leader, epoch: g.record.epoch }
      return undefined
    }
    if (opt.kill) {
      await pause(world, (opt.seconds * 1000) / 3)
      const group = profile.groups[0]
      const old = await leaderOf(group)
      if (!old) throw new Error('no leader to kill')
      const killedAt = world.now()
      children.get(old.name)?.proc.kill('SIGKILL')
      opt.out(`killed ${old.name}, leader of ${group} in epoch ${old.epoch}`)
      let next: { name: string; epoch: number } | undefined
      async function replaced(): Promise<boolean> {
        next = await leaderOf(group)
        return next !== undefined && next.epoch > old!.epoch
      }
      await until(replaced, 20000, 'a new leader')
      moves.push(
        `${group}: ${old.name} killed, ${next!.name} led in epoch ${next!.epoch} after ${Math.round(world.now() - killedAt)} ms`,
      )
      function firstWrite(): number {
        for (const e of events)
          if (e.group === group && e.tag !== undefined && e.outcome === 'done' && e.end > killedAt + 300)
            return e.end - killedAt
        return NaN
      }
      await pause(world, 1500)
      moves.push(`${group}: first write done ${Math.round(firstWrite())} ms after the kill`)
      for (const m of moves) opt.out(m)
      const box = boxes.find(isOld)
      function isOld(b: { name: string }): boolean {
        return b.name === old!.name
      }
      if (box) start(box.name, mainPath, ['instance', '--settings', box.path])
      // A planned replacement of another group, under load.
      const other = profile.groups[1]
      const was = await leaderOf(other)
      const askedAt = world.now()
      await requestOnce(world, fronts[fronts.length - 1].http, 'POST', `/groups/${other}/replacement`, {}, 5000)
      async function moved(): Promise<boolean> {
        next = await leaderOf(other)
        return next !== undefined && next.epoch > was!.epoch
      }
      await until(moved, 20000, 'the planned replacement')
      moves.push(
        `${other}: ${was!.name} replaced as planned by ${next!.name} after ${Math.round(world.now() - askedAt)} ms`,
      )
      opt.out(moves[moves.length - 1])
    }
    // A small change in the middle of the run, timed to the last member's acknowledgement.
    const changeAt = world.now()
    const change = await requestOnce(
      world,
      fronts[fronts.length - 1].http,
      'POST',
      '/streams/setup',
      {
        number: 2,
        expect: 1,
        edits: [
          {
            op: 'put',
            what: 'lane',
            value: { name: 'extra', database: 'extra', group: profile.groups[0], reads: 'leader' },
          },
        ],
      },
      15000,
    )
    const changed = world.now() - changeAt
    async function acked(): Promise<boolean> {
      const members = (await get(fronts[1].http, '/members')) as { node: string; behind: unknown[] }[] | undefined
      if (!members || members.length < fronts.length) return false
      for (const m of members) if (m.behind.length > 0) return false
      return true
    }
    const ackMs = change.ok ? await until(acked, 10000, 'every member on the new configuration') : NaN
    const left = opt.seconds * 1000 - (world.now() - from)
    if (left > 0) await pause(world, left)
    stop.fire()
    await Promise.all(runs)
    const spent = world.now() - from
    await pause(world, 1500)

    // --- what the instances recorded, and the metrics ---
    const records: InstanceRecord[] = []
    for (const b of boxes) {
      const got = (await requestOnce(world, b.addr, 'GET', '/record', undefined, 20000)).unwrap()
      records.push(got.body as InstanceRecord)
    }
    const sums = new Map<string, number>()
    for (const f of fronts) {
      const text = (await get(f.admin, '/metrics')) as string | undefined
      for (const line of (text ?? '').split('\n')) {
        const m = /^(claynotch_(?:retry|error|unknown|breaker|refused|calls)[^{ ]*)(\{[^}]*\})? (\S+)$/.exec(line)
        if (!m || m[1] === 'claynotch_calls_total') continue
        const key = m[1] + (m[2] ?? '').replace(/group="[^"]*",?/, '')
        sums.set(key, (sums.get(key) ?? 0) + Number(m[3]))
      }
    }
    const judgement = judge(events, records)
    const counts = new Map<string, number>()
    const times = new Map<string, number[]>()
    for (const e of events) {
      const key = `${e.kind}: ${e.outcome}${e.class ? ` ${e.class}` : ''}`
      counts.set(key, (counts.get(key) ?? 0) + 1)
      if (e.outcome === 'done') times.set(e.kind, [...(times.get(e.kind) ?? []), e.end - e.start])
    }
    const lines: string[] = []
    lines.push(
      `profile ${profile.name}: ${profile.fronts} proxies with agents, ${profile.cores} cores, ${boxes.length} instances, ${sessions} sessions, ${Math.round(spent / 1000)} s`,
    )
    lines.push(`operations: ${events.length} (${Math.round((events.length / spent) * 1000)} a second)`)
    for (const [k, n] of [...counts].sort()) lines.push(`  ${k}: ${n}`)
    lines.push('times of done operations in ms (noisy: one machine carries all):')
    for (const [k, list] of times) {
      list.sort(byNumber)
      lines.push(
        `  ${k}: median ${list[Math.floor(list.length / 2)].toFixed(1)}, 99 % ${list[Math.floor(list.length * 0.99)].toFixed(1)}, most ${list[list.length - 1].toFixed(0)}`,
      )
    }
    lines.push(...moves)
    lines.push(
      `configuration: accepted in ${Math.round(changed)} ms, acknowledged by every member ${Math.round(ackMs)} ms later`,
    )
    lines.push('retry metrics, summed over proxies:')
    for (const [k, n] of [...sums].sort()) lines.push(`  ${k}: ${n}`)
    let most = 0
    for (const r of records) most = Math.max(most, r.most)
    lines.push(`most connections at one instance: ${most} of ${profile.connections}`)
    lines.push(
      `checked: ${judgement.checked.writes} writes (${judgement.checked.done} told done, ${judgement.checked.promised} promised nothing kept), ${judgement.checked.reads} reads`,
    )
    lines.push(`acknowledged commits lost with a killed leader's unreplicated tail: ${judgement.lost.length}`)
    lines.push(`breaches of the never-rules: ${judgement.breaches.length}`)
    for (const b of judgement.breaches.slice(0, 20)) lines.push(`  ${b.rule}: ${b.what}`)
    // The fleet is stopped as an operator would, and each process must end with 0.
    const ends: Promise<string | undefined>[] = []
    for (const c of children.values()) if (/^(core|front)/.test(c.name)) ends.push(endOf(c))
    const bad: string[] = []
    for (const e of await Promise.all(ends)) if (e !== undefined) bad.push(e)
    lines.push(
      bad.length === 0 ? 'every daemon ended with 0 at SIGTERM' : `daemons that did not end with 0: ${bad.join(', ')}`,
    )
    if (bad.length > 0) judgement.breaches.push({ rule: 'planned stop', what: bad.join(', ') })
    const text = lines.join('\n')
    return { judgement, text, json: { counts: [...counts], metrics: [...sums], moves, judgement } }
  } finally {
    stop.fire()
    stopAll()
    process.removeListener('exit', stopAll)
    if (!opt.keep) rmSync(data, { recursive: true, force: true })
  }
}
function byNumber(a: number, b: number): number {
  return a - b
}
function endOf(c: Child): Promise<string | undefined> {
  function start(ok: (why: string | undefined) => void): void {
    function over(code: number | null, signal: string | null): void {
      clearTimeout(timer)
      ok(code === 0 ? undefined : `${c.name} (${code ?? signal})`)
    }
    function late(): void {
      ok(`${c.name} (still running)`)
    }
    const timer = setTimeout(late, 12000)
    if (c.proc.exitCode !== null || c.proc.signalCode !== null) over(c.proc.exitCode, c.proc.signalCode)
    else {
      c.proc.on('exit', over)
      c.proc.kill('SIGTERM')
    }
  }
  return new Promise(start)
}
