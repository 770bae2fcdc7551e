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

/** Runs a whole fleet on one machine, one process per member, with simulated database instances and clients. */

/** `kill`: kills a leader and replaces another. `scale`: factor on the profile's rate. `keep`: keeps the data. */
export type LocalOptions = {
  profile: Profile
  seconds: number
  kill: boolean
  data?: string
  keep: boolean
  scale: number
  out: (line: string) => void
}
/** The checks' result, the printed report and its data. */
export type LocalReport = { judgement: Judgement; text: string; json: unknown }

type Child = { name: string; proc: ChildProcess; args: string[] }

/** Asks the operating system for a free port of the loopback interface. */
function findFreePort(): Promise<number> {
  function listen(resolve: (p: number) => void): void {
    const server = createServer()
    function onListening(): void {
      const { port } = server.address() as AddressInfo
      function onClosed(): void {
        resolve(port)
      }
      server.close(onClosed)
    }
    server.listen(0, '127.0.0.1', onListening)
  }
  return new Promise(listen)
}

/** A loopback address with a free port. */
export async function freeAddress(): Promise<Address> {
  return `127.0.0.1:${await findFreePort()}`
}

const mainPath = fileURLToPath(new URL('./main.js', import.meta.url))
const claynotchPath = fileURLToPath(new URL('../../claynotch/dist/main.js', import.meta.url))

/** The real clock, network and disk, without log output. */
function silentWorld(): World {
  function discard(): void {}
  return realWorld(logTo(discard))
}

/** Starts the fleet, runs the profile's traffic, checks all results and stops every process. */
export async function runLocal(options: LocalOptions): Promise<LocalReport> {
  const { profile } = options
  const world = silentWorld()
  const data = options.data ?? join(tmpdir(), `claynotch-fleet-${process.pid}`)
  mkdirSync(data, { recursive: true })
  const children = new Map<string, Child>()
  const stop = makeFlag()
  const used = new Set<number>()

  /** A free address that this run hasn't used yet: the system may offer a port twice before it is bound. */
  async function newAddr(): Promise<Address> {
    for (;;) {
      const port = await findFreePort()
      if (used.has(port)) continue
      used.add(port)
      return `127.0.0.1:${port}`
    }
  }
  /** Starts a process whose output goes to its log file in the data directory. */
  function startChild(name: string, path: string, args: string[]): void {
    const log = openSync(join(data, `${name}.log`), 'a')
    const proc = spawn(process.execPath, [path, ...args], {
      stdio: ['ignore', log, log],
      env: { ...process.env, UV_USE_IO_URING: '0' },
    })
    children.set(name, { name, proc, args: [path, ...args] })
  }
  function writeSettings(name: string, body: unknown): string {
    const path = join(data, `${name}.json`)
    writeFileSync(path, JSON.stringify(body))
    return path
  }
  /** Polls until the condition holds and returns the time waited in ms; throws after `limitMs`. */
  async function waitUntil(condition: () => Promise<boolean>, limitMs: number, name: string): Promise<number> {
    const startedAt = world.now()
    while (!(await condition())) {
      if (world.now() - startedAt > limitMs)
        throw new Error(`${name} not reached within ${limitMs} ms; logs are in ${data}`)
      await pause(world, 25)
    }
    return world.now() - startedAt
  }
  async function get(target: Address, path: string): Promise<unknown> {
    const response = await requestOnce(world, target, 'GET', path, undefined, 2000)
    return response.ok && response.val.status === 200 ? response.val.body : undefined
  }
  async function isReady(target: Address): Promise<boolean> {
    return (await get(target, '/ready')) !== undefined
  }
  function stopAll(): void {
    for (const child of children.values()) child.proc.kill('SIGKILL')
  }
  process.on('exit', stopAll)

  try {
    // --- cores ---
    const cores: { id: string; addr: Address; http: Address }[] = []
    for (let k = 0; k < profile.cores; k++)
      cores.push({ id: `core${k + 1}`, addr: await newAddr(), http: await newAddr() })
    const coreSet: { id: string; addr: Address }[] = []
    for (const core of cores) coreSet.push({ id: core.id, addr: core.addr })
    for (const core of cores)
      startChild(core.id, claynotchPath, [
        'core',
        '--settings',
        writeSettings(core.id, { id: core.id, cores: coreSet, data: join(data, core.id), http: core.http }),
      ])
    const seeds = [cores[0].http, cores[1].http, cores[2].http]
    // --- fronts and platform ---
    const platform = await newAddr()
    const fronts: { node: string; http: Address; listen: Address; admin: Address }[] = []
    for (let k = 0; k < profile.fronts; k++) {
      const front = { node: `front${k + 1}`, http: await newAddr(), listen: await newAddr(), admin: await newAddr() }
      const link = await newAddr()
      fronts.push(front)
      startChild(`${front.node}-agent`, claynotchPath, [
        'agent',
        '--settings',
        writeSettings(`${front.node}-agent`, {
          node: front.node,
          area: profile.areas[k % profile.areas.length],
          link,
          peer: await newAddr(),
          http: front.http,
          seeds,
          platform,
        }),
      ])
      startChild(`${front.node}-proxy`, claynotchPath, [
        'proxy',
        '--settings',
        writeSettings(`${front.node}-proxy`, { listen: front.listen, admin: front.admin, agent: link }),
      ])
    }
    // --- instances ---
    const instances: { name: string; group: string; addr: Address; path: string }[] = []
    for (const group of profile.groups) {
      const addrs: Address[] = []
      for (let k = 0; k < profile.instances; k++) addrs.push(await newAddr())
      for (let k = 0; k < profile.instances; k++) {
        const name = `${group}${k + 1}`
        const peers: Address[] = []
        for (const other of addrs) if (other !== addrs[k]) peers.push(other)
        const agents = [
          fronts[k % fronts.length].http,
          fronts[(k + 3) % fronts.length].http,
          fronts[(k + 5) % fronts.length].http,
        ]
        const path = writeSettings(name, {
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
        instances.push({ name, group, addr: addrs[k], path })
        startChild(name, mainPath, ['instance', '--settings', path])
      }
    }
    const platformInstances: { name: string; addr: Address }[] = []
    for (const instance of instances) platformInstances.push({ name: instance.name, addr: instance.addr })
    startChild('platform', mainPath, [
      'platform',
      '--settings',
      writeSettings('platform', { addr: platform, instances: platformInstances }),
    ])

    async function areCoresReady(): Promise<boolean> {
      for (const core of cores) if (!(await isReady(core.http))) return false
      for (const front of fronts) if (!(await isReady(front.http))) return false
      return true
    }
    const foundedMs = await waitUntil(areCoresReady, 30000, 'the founding')
    options.out(`cores founded and every agent holds a term after ${Math.round(foundedMs)} ms`)

    // --- configuration ---
    const sentAt = world.now()
    const response = await requestOnce(
      world,
      fronts[0].http,
      'POST',
      '/streams/setup',
      { number: 1, expect: 0, whole: profile.config },
      15000,
    )
    const decision = response.ok
      ? ((typeof response.val.body === 'string' ? JSON.parse(response.val.body) : response.val.body) as {
          decision: string
        })
      : { decision: 'none' }
    if (decision.decision !== 'accepted')
      throw new Error(`the configuration was not accepted: ${JSON.stringify(decision)}`)
    const acceptedMs = world.now() - sentAt
    async function areProxiesReady(): Promise<boolean> {
      for (const front of fronts) if (!(await isReady(front.admin))) return false
      return true
    }
    const appliedMs = await waitUntil(areProxiesReady, 10000, 'the configuration at each proxy')
    async function haveGroupsLeaders(): Promise<boolean> {
      const groups = (await get(fronts[1].http, '/groups')) as { record: { phase?: string } | null }[] | undefined
      if (!groups || groups.length < profile.groups.length) return false
      for (const group of groups) if (group.record?.phase !== 'steady') return false
      return true
    }
    const ledMs = await waitUntil(haveGroupsLeaders, 15000, 'a leader in each group')
    options.out(
      `configuration accepted after ${Math.round(acceptedMs)} ms, every proxy ready ${Math.round(appliedMs)} ms later, leaders known after another ${Math.round(ledMs)} ms`,
    )

    // --- traffic ---
    const events: Event[] = []
    function recordEvent(event: Event): void {
      events.push(event)
    }
    function never(): boolean {
      return false
    }
    const nodes: Address[] = []
    for (const front of fronts) nodes.push(front.listen)
    const sessions = profile.sessions
    // Close to an open loop: the think time is set so that all sessions together generate the profile's rate.
    const thinkMs = (sessions / (profile.rate * options.scale)) * 1000
    const requesterRuns: Promise<void>[] = []
    for (let k = 0; k < sessions; k++)
      requesterRuns.push(
        runRequester(
          world,
          {
            id: k,
            nodes,
            mixes: profile.mixes,
            thinkMs,
            keys: 400,
            again: false,
            until: never,
            note: recordEvent,
          },
          stop,
        ),
      )
    const trafficStartedAt = world.now()
    const promotionLines: string[] = []
    async function leaderOf(group: string): Promise<{ name: string; epoch: number } | undefined> {
      const groups = (await get(fronts[1].http, '/groups')) as
        { name: string; record: { leader?: string; epoch: number; phase: string } | null }[] | undefined
      for (const entry of groups ?? [])
        if (entry.name === group && entry.record?.leader !== undefined && entry.record.phase === 'steady')
          return { name: entry.record.leader, epoch: entry.record.epoch }
      return undefined
    }
    if (options.kill) {
      await pause(world, (options.seconds * 1000) / 3)
      const group = profile.groups[0]
      const old = await leaderOf(group)
      if (!old) throw new Error('no leader to kill')
      const killedAt = world.now()
      children.get(old.name)?.proc.kill('SIGKILL')
      options.out(`killed ${old.name}, leader of ${group} in epoch ${old.epoch}`)
      let next: { name: string; epoch: number } | undefined
      async function hasNewLeader(): Promise<boolean> {
        next = await leaderOf(group)
        return next !== undefined && next.epoch > old!.epoch
      }
      await waitUntil(hasNewLeader, 20000, 'a new leader')
      promotionLines.push(
        `${group}: ${old.name} killed, ${next!.name} led in epoch ${next!.epoch} after ${Math.round(world.now() - killedAt)} ms`,
      )
      function firstWriteMs(): number {
        for (const event of events)
          if (
            event.group === group &&
            event.tag !== undefined &&
            event.outcome === 'done' &&
            event.end > killedAt + 300
          )
            return event.end - killedAt
        return NaN
      }
      await pause(world, 1500)
      promotionLines.push(`${group}: first write done ${Math.round(firstWriteMs())} ms after the kill`)
      for (const line of promotionLines) options.out(line)
      const oldInstance = instances.find(isOldLeader)
      function isOldLeader(instance: { name: string }): boolean {
        return instance.name === old!.name
      }
      if (oldInstance) startChild(oldInstance.name, mainPath, ['instance', '--settings', oldInstance.path])
      // A planned replacement of another group, under load.
      const otherGroup = profile.groups[1]
      const plannedOld = await leaderOf(otherGroup)
      const askedAt = world.now()
      await requestOnce(world, fronts[fronts.length - 1].http, 'POST', `/groups/${otherGroup}/replacement`, {}, 5000)
      async function hasPlannedLeader(): Promise<boolean> {
        next = await leaderOf(otherGroup)
        return next !== undefined && next.epoch > plannedOld!.epoch
      }
      await waitUntil(hasPlannedLeader, 20000, 'the planned replacement')
      promotionLines.push(
        `${otherGroup}: ${plannedOld!.name} replaced as planned by ${next!.name} after ${Math.round(world.now() - askedAt)} ms`,
      )
      options.out(promotionLines[promotionLines.length - 1])
    }
    // A small configuration change during the run, timed until the last member has acknowledged it.
    const changeAt = world.now()
    const changeResponse = await requestOnce(
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
    const acceptedAfterMs = world.now() - changeAt
    async function isAcknowledgedByAll(): Promise<boolean> {
      const members = (await get(fronts[1].http, '/members')) as { node: string; behind: unknown[] }[] | undefined
      if (!members || members.length < fronts.length) return false
      for (const member of members) if (member.behind.length > 0) return false
      return true
    }
    const ackMs = changeResponse.ok
      ? await waitUntil(isAcknowledgedByAll, 10000, 'every member on the new configuration')
      : NaN
    const remainingMs = options.seconds * 1000 - (world.now() - trafficStartedAt)
    if (remainingMs > 0) await pause(world, remainingMs)
    stop.fire()
    await Promise.all(requesterRuns)
    const trafficMs = world.now() - trafficStartedAt
    await pause(world, 1500)

    // --- what the instances recorded, and the metrics ---
    const records: InstanceRecord[] = []
    for (const instance of instances) {
      const recordResponse = (await requestOnce(world, instance.addr, 'GET', '/record', undefined, 20000)).unwrap()
      records.push(recordResponse.body as InstanceRecord)
    }
    const metricSums = new Map<string, number>()
    for (const front of fronts) {
      const text = (await get(front.admin, '/metrics')) as string | undefined
      for (const line of (text ?? '').split('\n')) {
        const match = /^(claynotch_(?:retry|error|unknown|breaker|refused|calls)[^{ ]*)(\{[^}]*\})? (\S+)$/.exec(line)
        if (!match || match[1] === 'claynotch_calls_total') continue
        const key = match[1] + (match[2] ?? '').replace(/group="[^"]*",?/, '')
        metricSums.set(key, (metricSums.get(key) ?? 0) + Number(match[3]))
      }
    }
    const judgement = judge(events, records)
    const counts = new Map<string, number>()
    const timesByKind = new Map<string, number[]>()
    for (const event of events) {
      const key = `${event.kind}: ${event.outcome}${event.class ? ` ${event.class}` : ''}`
      counts.set(key, (counts.get(key) ?? 0) + 1)
      if (event.outcome === 'done')
        timesByKind.set(event.kind, [...(timesByKind.get(event.kind) ?? []), event.end - event.start])
    }
    const lines: string[] = []
    lines.push(
      `profile ${profile.name}: ${profile.fronts} proxies with agents, ${profile.cores} cores, ${instances.length} instances, ${sessions} sessions, ${Math.round(trafficMs / 1000)} s`,
    )
    lines.push(`operations: ${events.length} (${Math.round((events.length / trafficMs) * 1000)} a second)`)
    for (const [k, n] of [...counts].sort()) lines.push(`  ${k}: ${n}`)
    lines.push('times of done operations in ms (noisy: one machine carries all):')
    for (const [k, durations] of timesByKind) {
      durations.sort(byNumber)
      lines.push(
        `  ${k}: median ${durations[Math.floor(durations.length / 2)].toFixed(1)}, 99 % ${durations[Math.floor(durations.length * 0.99)].toFixed(1)}, most ${durations[durations.length - 1].toFixed(0)}`,
      )
    }
    lines.push(...promotionLines)
    lines.push(
      `configuration: accepted in ${Math.round(acceptedAfterMs)} ms, acknowledged by every member ${Math.round(ackMs)} ms later`,
    )
    lines.push('retry metrics, summed over proxies:')
    for (const [k, n] of [...metricSums].sort()) lines.push(`  ${k}: ${n}`)
    let maxConnections = 0
    for (const record of records) maxConnections = Math.max(maxConnections, record.most)
    lines.push(`most connections at one instance: ${maxConnections} of ${profile.connections}`)
    lines.push(
      `checked: ${judgement.checked.writes} writes (${judgement.checked.done} told done, ${judgement.checked.promised} promised nothing kept), ${judgement.checked.reads} reads`,
    )
    lines.push(`acknowledged commits lost with a killed leader's unreplicated tail: ${judgement.lost.length}`)
    lines.push(`breaches of the never-rules: ${judgement.breaches.length}`)
    for (const breach of judgement.breaches.slice(0, 20)) lines.push(`  ${breach.rule}: ${breach.what}`)
    // Stops the daemons with SIGTERM, as an operator would; each must exit with status 0.
    const stops: Promise<string | undefined>[] = []
    for (const child of children.values()) if (/^(core|front)/.test(child.name)) stops.push(stopAndCheck(child))
    const failedStops: string[] = []
    for (const failedStop of await Promise.all(stops)) if (failedStop !== undefined) failedStops.push(failedStop)
    lines.push(
      failedStops.length === 0
        ? 'every daemon ended with 0 at SIGTERM'
        : `daemons that did not end with 0: ${failedStops.join(', ')}`,
    )
    if (failedStops.length > 0) judgement.breaches.push({ rule: 'planned stop', what: failedStops.join(', ') })
    const text = lines.join('\n')
    return {
      judgement,
      text,
      json: { counts: [...counts], metrics: [...metricSums], moves: promotionLines, judgement },
    }
  } finally {
    stop.fire()
    stopAll()
    process.removeListener('exit', stopAll)
    if (!options.keep) rmSync(data, { recursive: true, force: true })
  }
}
function byNumber(a: number, b: number): number {
  return a - b
}
/** Sends SIGTERM; returns a description of the failure unless the process exits with status 0 within 12 s. */
function stopAndCheck(child: Child): Promise<string | undefined> {
  function terminate(resolve: (why: string | undefined) => void): void {
    function onExit(code: number | null, signal: string | null): void {
      clearTimeout(timer)
      resolve(code === 0 ? undefined : `${child.name} (${code ?? signal})`)
    }
    function onTimeout(): void {
      resolve(`${child.name} (still running)`)
    }
    const timer = setTimeout(onTimeout, 12000)
    if (child.proc.exitCode !== null || child.proc.signalCode !== null)
      onExit(child.proc.exitCode, child.proc.signalCode)
    else {
      child.proc.on('exit', onExit)
      child.proc.kill('SIGTERM')
    }
  }
  return new Promise(terminate)
}
