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
import { runWeek, weekText } from './controlmodel.js'
import { measureDetection } from './detection.js'
import { measureSteps } from './steps.js'
import { startInstance, type InstanceSettings } from './instance.js'
import { runLocal } from './local.js'
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
    if (got.verdict.violations.length > 0) bad++
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
