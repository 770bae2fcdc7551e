#!/usr/bin/env node
import { readFileSync, writeFileSync } from 'node:fs'
import { defineCommand, runMain } from 'citty'
import {
  requestOnce,
  makeLog,
  realWorld,
  serveHttp,
  type Address,
  type HttpRequest,
  type HttpResponse,
} from '@claynotch/base'
import { pageWith, tableText } from './capacity.js'
import { runWeek, weekText } from './controlmodel.js'
import { measureDetection } from './detection.js'
import { measureSteps } from './steps.js'
import { runHollow, showHollow, showVirtual, simHollow } from './hollow.js'
import { startInstance, type InstanceSettings } from './instance.js'
import { runLocal } from './local.js'
import { measure, readPoints, runPoint } from './points.js'
import { profileOf } from './profile.js'
import { runScenario, scenarios } from './scenarios.js'
import { runWhole } from './whole.js'

process.env.UV_USE_IO_URING = '0'

function out(line: string): void {
  process.stdout.write(`${line}\n`)
}

/** A week of control under each seed; ends badly where anything contradicted the model. */
async function week({ args }: { args: { from: string; to: string; losses: string } }): Promise<void> {
  let bad = 0
  for (let seed = Number(args.from); seed <= Number(args.to); seed++) {
    const got = await runWeek(seed, Number(args.losses))
    if (got.verdict.broken.length > 0) bad++
    out(weekText(seed, got))
  }
  process.exit(bad === 0 ? 0 : 1)
}

async function run({
  args,
}: {
  args: { profile: string; seconds: string; kill: boolean; keep: boolean; data?: string; json?: string; scale: string }
}): Promise<void> {
  const profile = profileOf(args.profile)
  const seconds = Number(args.seconds)
  const scale = Number(args.scale)
  if (!profile || !(seconds > 0) || !(scale > 0)) {
    process.stderr.write('--profile: expected kamini or peach-state; --seconds and --scale: expected numbers above 0\n')
    process.exit(2)
  }
  const got = await runLocal({
    profile,
    seconds,
    scale,
    kill: args.kill,
    keep: args.keep,
    ...(args.data !== undefined ? { data: args.data } : {}),
    out,
  })
  out(got.text)
  if (args.json !== undefined) writeFileSync(args.json, JSON.stringify(got.json, null, 1))
  process.exit(got.judgement.breaches.length === 0 ? 0 : 1)
}

async function instance({ args }: { args: { settings: string } }): Promise<void> {
  const set = JSON.parse(readFileSync(args.settings, 'utf8')) as InstanceSettings
  const one = await startInstance(realWorld(makeLog({ program: 'stand-in', instance: set.name })), set)
  async function end(): Promise<void> {
    await one.stop()
    process.exit(0)
  }
  function onTerm(): void {
    void end()
  }
  process.on('SIGTERM', onTerm)
}

async function platform({ args }: { args: { settings: string } }): Promise<void> {
  const set = JSON.parse(readFileSync(args.settings, 'utf8')) as {
    addr: Address
    instances: { name: string; addr: Address }[]
  }
  const world = realWorld()
  async function handle(ask: HttpRequest): Promise<HttpResponse> {
    const body = ask.body as { instance?: string } | undefined
    for (const one of set.instances) {
      if (one.name !== body?.instance || ask.path !== '/promotion') continue
      const got = await requestOnce(world, one.addr, 'POST', '/promotion', body, 2000)
      return got.ok ? { status: got.val.status, body: got.val.body } : { status: 502, body: {} }
    }
    return { status: 404, body: {} }
  }
  await serveHttp(world, set.addr, handle)
}

// Many seeds of every scenario; long, so not part of the tests.
async function sweep({ args }: { args: { from: string; to: string; only?: string; trace?: string } }): Promise<void> {
  let bad = 0
  let all = 0
  for (const s of scenarios) {
    if (args.only !== undefined && s.name !== args.only) continue
    let breaches = 0
    let lost = 0
    let runs = 0
    for (let seed = Number(args.from); seed <= Number(args.to); seed++) {
      const o = await runScenario(s, seed, { keepLines: args.trace !== undefined })
      runs++
      lost += o.judgement.lost.length
      const found = o.judgement.breaches.length + o.faults.length + (o.began ? 0 : 1)
      breaches += found
      if (found > 0) {
        out(`${s.name} seed ${seed}: ${o.began ? '' : 'did not begin; '}${found} findings`)
        for (const b of o.judgement.breaches.slice(0, 5)) out(`  ${b.rule}: ${b.what}`)
        for (const f of o.faults.slice(0, 3)) out(`  ${f}`)
      }
      if (args.trace !== undefined) writeFileSync(args.trace, o.fleet.sim.lines.join('\n'))
    }
    out(`${s.name}: ${runs} seeds, ${breaches} findings, ${lost} commits lost with an old leader's unreplicated tail`)
    bad += breaches
    all += runs
  }
  out(`${all} runs, ${bad} findings`)
  process.exit(bad === 0 ? 0 : 1)
}

// A deployment at its full shape, in the simulator.
async function whole({ args }: { args: { profile: string; seed: string } }): Promise<void> {
  const profile = profileOf(args.profile)
  if (!profile || !Number.isInteger(Number(args.seed))) {
    process.stderr.write('--profile: expected kamini or peach-state; --seed: expected a whole number\n')
    process.exit(2)
  }
  process.exit((await runWhole(profile, Number(args.seed), out)) === 0 ? 0 : 1)
}

// Detection time against false alarms, from the simulator; docs/design/detection.md has the table.
async function detection({ args }: { args: { seeds: string } }): Promise<void> {
  await measureDetection(Number(args.seeds), out)
}

// The steps of a replacement, one by one.
async function steps({ args }: { args: { seeds: string } }): Promise<void> {
  await measureSteps(Number(args.seeds), out)
}
// Hollow nodes, several to a process, before real cores; bounded in count and time.
async function hollow({
  args,
}: {
  args: {
    nodes: string
    groups: string
    lanes: string
    cores: string
    instances: string
    seconds: string
    changes: string
    seed: string
    per: string
    shares: string
    watch: string
    history: string
    mute: boolean
    virtual: boolean
    json?: string
    points?: string
  }
}): Promise<void> {
  const [nodes, groups, lanes, cores, instances, seconds, changes, seed, per, watch, history] = [
    args.nodes,
    args.groups,
    args.lanes,
    args.cores,
    args.instances,
    args.seconds,
    args.changes,
    args.seed,
    args.per,
    args.watch,
    args.history,
  ].map(Number)
  const whole = [nodes, groups, lanes, cores, instances, seed, per, watch, history].every(Number.isInteger)
  const shares: 'slots' | 'live' = args.shares === 'slots' ? 'slots' : 'live'
  const bad =
    !whole ||
    args.shares !== shares ||
    nodes < 1 ||
    nodes > 2300 ||
    groups < 1 ||
    groups * instances > 6000 ||
    lanes < 1 ||
    lanes > 20000 ||
    ![1, 3, 5, 7, 9].includes(cores) ||
    instances < 1 ||
    !(seconds > 0 && seconds <= 300) ||
    !(changes >= 0 && changes <= 50) ||
    per < 1 ||
    nodes / per > 150 ||
    watch < 0 ||
    history < 0 ||
    history > 5000
  if (bad) {
    process.stderr.write(
      'expected: 1 to 2300 nodes in at most 150 processes (--per), at most 6000 instances, 1 to 20000 lanes, an odd count of cores up to 9, up to 300 seconds, up to 50 changes a second, up to 5000 changes before, --shares live or slots\n',
    )
    process.exit(2)
  }
  if (args.virtual) {
    const shape = { nodes, groups, lanes, cores, instances, areas: 3, shares } as const
    const got = await simHollow(seed, shape, seconds * 1000)
    out(showVirtual(got, shape))
    if (args.json !== undefined) writeFileSync(args.json, JSON.stringify({ shape, seed, ...got }, null, 1))
    process.exit(got.stood ? 0 : 1)
  }
  const opt = {
    nodes,
    groups,
    lanes,
    cores,
    instances,
    areas: 3,
    seconds,
    changes,
    seed,
    per,
    shares,
    watch,
    history,
    mute: args.mute,
    out,
  }
  const report = args.points !== undefined ? await runPoint(opt, args.points) : await runHollow(opt)
  out(showHollow(report))
  if (args.json !== undefined) writeFileSync(args.json, JSON.stringify(report, null, 1))
  process.exit(0)
}
// Every run that the slopes are fitted from; a quarter of an hour, so not part of the tests.
async function measureAll({ args }: { args: { points: string; seconds: string; only?: string } }): Promise<void> {
  process.exit((await measure(args.points, Number(args.seconds), args.only, out)) === 0 ? 0 : 1)
}
// The table of docs/CAPACITY.md from the measured points, and with --write the page and its plots as well.
async function capacity({
  args,
}: {
  args: { points: string; page: string; plots: string; write: boolean }
}): Promise<void> {
  const points = readPoints(args.points)
  if (points.length === 0) {
    process.stderr.write(`--points: no measured points in ${args.points}\n`)
    process.exit(2)
  }
  const table = tableText(points)
  out(table)
  if (!args.write) return
  writeFileSync(args.page, pageWith(readFileSync(args.page, 'utf8'), table))
  const { plotsOf, svgOf } = await import('./plots.js')
  for (const plot of plotsOf(points)) writeFileSync(`${args.plots}/${plot.file}`, await svgOf(plot))
}

const settings = { type: 'string', description: 'settings file', required: true } as const
const main = defineCommand({
  meta: { name: 'fleet', description: 'Local fleets, stand-ins and the simulator' },
  subCommands: {
    run: defineCommand({
      meta: { name: 'run', description: 'Run a whole fleet on this machine and report' },
      args: {
        profile: { type: 'string', default: 'kamini', description: 'kamini or peach-state' },
        seconds: { type: 'string', default: '60', description: 'seconds of traffic' },
        kill: { type: 'boolean', default: true, description: 'kill a leader, replace another as planned' },
        keep: { type: 'boolean', default: false, description: 'keep the data folder' },
        data: { type: 'string', description: 'data folder' },
        json: { type: 'string', description: 'file for the report as JSON' },
        scale: { type: 'string', default: '1', description: 'of the rate' },
      },
      run,
    }),
    sweep: defineCommand({
      meta: { name: 'sweep', description: 'Run every failure scenario under many seeds' },
      args: {
        from: { type: 'string', default: '1', description: 'first seed' },
        to: { type: 'string', default: '20', description: 'last seed' },
        only: { type: 'string', description: 'one scenario' },
        trace: { type: 'string', description: 'file for the log of the last run' },
      },
      run: sweep,
    }),
    week: defineCommand({
      meta: {
        name: 'week',
        description: 'A week of control in small, under every kind of loss (docs/design/control-safety.md)',
      },
      args: {
        from: { type: 'string', default: '1', description: 'first seed' },
        to: { type: 'string', default: '1', description: 'last seed' },
        losses: { type: 'string', default: '96', description: 'losses in each' },
      },
      run: week,
    }),
    whole: defineCommand({
      meta: { name: 'whole', description: 'Run a deployment at its full shape in the simulator: a day in small' },
      args: {
        profile: { type: 'string', default: 'kamini', description: 'kamini or peach-state' },
        seed: { type: 'string', default: '1', description: 'seed' },
      },
      run: whole,
    }),
    detection: defineCommand({
      meta: { name: 'detection', description: 'Measure failure detection' },
      args: { seeds: { type: 'string', default: '4', description: 'seeds for each cell' } },
      run: detection,
    }),
    steps: defineCommand({
      meta: { name: 'steps', description: 'Measure the steps of a replacement' },
      args: { seeds: { type: 'string', default: '8', description: 'seeds for each kind' } },
      run: steps,
    }),
    hollow: defineCommand({
      meta: {
        name: 'hollow',
        description: 'Measure a hollow fleet: many nodes to a process, real protocols, real cores',
      },
      args: {
        nodes: { type: 'string', default: '25', description: 'nodes' },
        groups: { type: 'string', default: '10', description: 'groups' },
        lanes: { type: 'string', default: '30', description: 'lanes' },
        cores: { type: 'string', default: '5', description: 'cores' },
        instances: { type: 'string', default: '3', description: 'instances of each group' },
        seconds: { type: 'string', default: '20', description: 'seconds of measuring, half of them calm' },
        changes: { type: 'string', default: '1', description: 'configuration changes a second in the other half' },
        seed: { type: 'string', default: '1', description: 'seed' },
        per: { type: 'string', default: '25', description: 'nodes to a process' },
        shares: { type: 'string', default: 'live', description: 'shares of connections: live or slots' },
        watch: { type: 'string', default: '2', description: 'proxies that sample the instances as the product does' },
        history: { type: 'string', default: '0', description: 'changes made before the measuring' },
        mute: { type: 'boolean', default: false, description: 'send no summaries' },
        virtual: {
          type: 'boolean',
          default: false,
          description: 'in the simulator: counts alone, the same for a seed',
        },
        json: { type: 'string', description: 'file for the report as JSON' },
        points: { type: 'string', description: 'file of measured points that the run is kept in' },
      },
      run: hollow,
    }),
    capacity: defineCommand({
      meta: { name: 'capacity', description: 'Work out the table of docs/CAPACITY.md from the measured points' },
      args: {
        points: { type: 'string', default: 'docs/capacity/points.json', description: 'file of measured points' },
        page: { type: 'string', default: 'docs/CAPACITY.md', description: 'the page' },
        plots: { type: 'string', default: 'docs/capacity', description: 'folder of the plots' },
        write: { type: 'boolean', default: false, description: 'write the page and the plots' },
      },
      run: capacity,
    }),
    measure: defineCommand({
      meta: {
        name: 'measure',
        description: 'Run the hollow fleets that docs/CAPACITY.md is worked out from, and keep their points',
      },
      args: {
        points: { type: 'string', default: 'docs/capacity/points.json', description: 'file of measured points' },
        seconds: { type: 'string', default: '16', description: 'seconds of measuring in each run' },
        only: { type: 'string', description: 'only commands that hold this' },
      },
      run: measureAll,
    }),
    instance: defineCommand({
      meta: { name: 'instance', description: 'A stand-in instance' },
      args: { settings },
      run: instance,
    }),
    platform: defineCommand({
      meta: { name: 'platform', description: 'A stand-in platform' },
      args: { settings },
      run: platform,
    }),
  },
})
void runMain(main)
