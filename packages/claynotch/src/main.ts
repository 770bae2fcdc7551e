#!/usr/bin/env node
import { defineCommand, runMain } from 'citty'
import type { CommandLineFlags } from '@claynotch/base'
import { BUILD } from './build.js'
import { runAgent, runCore, runProxy } from './daemons.js'
import { apply, check, credential, move, replace, show } from './verbs.js'

process.env.UV_USE_IO_URING = '0'

const settings = { type: 'string', description: 'settings file (JSON)' } as const
const to = { type: 'string', description: 'http address of any agent', required: true } as const

function flagsOf(args: object, names: string[]): CommandLineFlags {
  const out: CommandLineFlags = []
  const all = new Map(pairs(args))
  for (const name of names) {
    const value = all.get(name)
    if (typeof value === 'string') out.push([name, value])
  }
  return out
}
function pairs(args: object): [string, unknown][] {
  // eslint-disable-next-line no-restricted-syntax -- citty hands its arguments over in an object
  return Object.entries(args)
}
function text(description: string) {
  return { type: 'string', description } as const
}

const coreArgs = {
  settings,
  id: text('name of this core'),
  data: text('data folder'),
  http: text('address for probes and seeds'),
}
async function core({ args }: { args: { settings?: string } }): Promise<void> {
  await runCore(args.settings, flagsOf(args, ['id', 'data', 'http']))
}
const agentArgs = {
  settings,
  node: text('name of this node'),
  area: text('area of this machine'),
  link: text('loopback address for the proxy'),
  peer: text('UDP address for summaries'),
  http: text('address for operators, instances and probes'),
  seeds: text('http addresses of other processes, parted by commas'),
  platform: text('address that takes POST /promotion'),
}
async function agent({ args }: { args: { settings?: string } }): Promise<void> {
  await runAgent(args.settings, flagsOf(args, ['node', 'area', 'link', 'peer', 'http', 'seeds', 'platform']))
}
const proxyArgs = {
  settings,
  listen: text('address for requesters'),
  admin: text('address for probes'),
  agent: text('loopback address of the agent'),
}
async function proxy({ args }: { args: { settings?: string } }): Promise<void> {
  await runProxy(args.settings, flagsOf(args, ['listen', 'admin', 'agent']))
}
async function runApply({
  args,
}: {
  args: { to: string; stream: string; number: string; expect?: string; whole?: string; edits?: string; stage?: string }
}): Promise<void> {
  await apply(args)
}
async function runMove({ args }: { args: Parameters<typeof move>[0] }): Promise<void> {
  await move(args)
}
async function runShow({ args }: { args: { to: string; what: string; json?: boolean } }): Promise<void> {
  await show(args)
}
async function runCheck({
  args,
}: {
  args: { to: string; whole?: string; edits?: string; json?: boolean }
}): Promise<void> {
  await check(args)
}
function runCredential({ args }: { args: { name: string; role: string; team?: string } }): void {
  credential(args)
}
async function runReplace({ args }: { args: { to: string; group: string; leader?: string } }): Promise<void> {
  await replace(args)
}

const main = defineCommand({
  meta: { name: 'claynotch', version: BUILD, description: 'Database pooler with failover, of many nodes' },
  subCommands: {
    core: defineCommand({
      meta: { name: 'core', description: 'Run a core: registers and terms' },
      args: coreArgs,
      run: core,
    }),
    agent: defineCommand({
      meta: { name: 'agent', description: 'Run the agent of a front machine' },
      args: agentArgs,
      run: agent,
    }),
    proxy: defineCommand({
      meta: { name: 'proxy', description: 'Run the proxy of a front machine' },
      args: proxyArgs,
      run: proxy,
    }),
    apply: defineCommand({
      meta: { name: 'apply', description: 'Send one numbered change and print the decision' },
      args: {
        to,
        stream: { type: 'string', description: 'stream of the operator', required: true },
        number: { type: 'string', description: 'number in the stream', required: true },
        expect: text('epoch that the change is made against (default: the present one)'),
        whole: text('file with a whole configuration'),
        edits: text('file with a list of edits'),
        stage: text('areas that take it first, parted by commas; or all'),
      },
      run: runApply,
    }),
    show: defineCommand({
      meta: {
        name: 'show',
        description: 'Print configuration, history, decisions, members, cores, groups, tenants or moves',
      },
      args: {
        to,
        what: {
          type: 'positional',
          description: 'configuration, history, decisions, members, cores, groups, tenants or moves',
          required: true,
        },
        json: { type: 'boolean', description: 'write JSON also where there is a text (cores)', default: false },
      },
      run: runShow,
    }),
    check: defineCommand({
      meta: { name: 'check', description: 'Hold a configuration against the fleet as it is' },
      args: {
        to,
        whole: text('file with a whole configuration (default: the present one)'),
        edits: text('file with a list of edits'),
        json: { type: 'boolean', description: 'write JSON', default: false },
      },
      run: runCheck,
    }),
    credential: defineCommand({
      meta: { name: 'credential', description: "Make an operator's secret and the entry for the agents' settings" },
      args: {
        name: { type: 'string', description: 'name', required: true },
        role: { type: 'string', description: 'admin, team or reader', required: true },
        team: text('team, for role team'),
      },
      run: runCredential,
    }),
    move: defineCommand({
      meta: {
        name: 'move',
        description: 'Move lanes from one group to another under a fence; confirm or call off a move',
      },
      args: {
        to,
        stream: { type: 'string', description: 'stream of the operator', required: true },
        number: { type: 'string', description: 'number in the stream', required: true },
        group: text('group that the lanes go to'),
        lanes: text('lanes, parted by commas'),
        from: text('group, all of whose lanes go'),
        proof: text('reported (the target tells what it holds; default) or confirmed (by --confirm)'),
        confirm: text('a lane of the move whose target holds everything now'),
        calloff: text('a lane of the move to call off'),
      },
      run: runMove,
    }),
    replace: defineCommand({
      meta: { name: 'replace', description: 'Replace the leader of a group, as planned' },
      args: {
        to,
        group: { type: 'string', description: 'group', required: true },
        leader: text('the instance that is to lead (default: the most caught-up)'),
      },
      run: runReplace,
    }),
  },
})

void runMain(main)
