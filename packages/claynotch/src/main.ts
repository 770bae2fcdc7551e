#!/usr/bin/env node
import { defineCommand, runMain } from 'citty'
import type { CommandLineFlags } from '@claynotch/base'
import { BUILD } from './build.js'
import { runAgent, runCore, runProxy } from './daemons.js'
import { apply, check, credential, move, replace, show } from './verbs.js'

process.env.UV_USE_IO_URING = '0'

const settingsArg = { type: 'string', description: 'settings file (JSON)' } as const
const toArg = { type: 'string', description: 'http address of any agent', required: true } as const

/** The command-line options of these names that were given, as flags that override the settings file. */
function selectFlags(args: object, names: string[]): CommandLineFlags {
  const flags: CommandLineFlags = []
  const values = new Map(argEntries(args))
  for (const name of names) {
    const value = values.get(name)
    if (typeof value === 'string') flags.push([name, value])
  }
  return flags
}
function argEntries(args: object): [string, unknown][] {
  // eslint-disable-next-line no-restricted-syntax -- citty passes the arguments as an object
  return Object.entries(args)
}
function optionalString(description: string) {
  return { type: 'string', description } as const
}

const coreArgs = {
  settings: settingsArg,
  id: optionalString('name of this core'),
  data: optionalString('data folder'),
  http: optionalString('address for probes and seeds'),
}
async function startCoreCommand({ args }: { args: { settings?: string } }): Promise<void> {
  await runCore(args.settings, selectFlags(args, ['id', 'data', 'http']))
}
const agentArgs = {
  settings: settingsArg,
  node: optionalString('name of this node'),
  area: optionalString('area of this machine'),
  link: optionalString('loopback address for the proxy'),
  peer: optionalString('UDP address for summaries'),
  http: optionalString('address for operators, instances and probes'),
  seeds: optionalString('http addresses of other processes, parted by commas'),
  platform: optionalString('address that takes POST /promotion'),
}
async function startAgentCommand({ args }: { args: { settings?: string } }): Promise<void> {
  await runAgent(args.settings, selectFlags(args, ['node', 'area', 'link', 'peer', 'http', 'seeds', 'platform']))
}
const proxyArgs = {
  settings: settingsArg,
  listen: optionalString('address for requesters'),
  admin: optionalString('address for probes'),
  agent: optionalString('loopback address of the agent'),
}
async function startProxyCommand({ args }: { args: { settings?: string } }): Promise<void> {
  await runProxy(args.settings, selectFlags(args, ['listen', 'admin', 'agent']))
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

const claynotchCommand = defineCommand({
  meta: { name: 'claynotch', version: BUILD, description: 'Database pooler with failover, of many nodes' },
  subCommands: {
    core: defineCommand({
      meta: { name: 'core', description: 'Run a core: registers and terms' },
      args: coreArgs,
      run: startCoreCommand,
    }),
    agent: defineCommand({
      meta: { name: 'agent', description: 'Run the agent of a front machine' },
      args: agentArgs,
      run: startAgentCommand,
    }),
    proxy: defineCommand({
      meta: { name: 'proxy', description: 'Run the proxy of a front machine' },
      args: proxyArgs,
      run: startProxyCommand,
    }),
    apply: defineCommand({
      meta: { name: 'apply', description: 'Send one numbered change and print the decision' },
      args: {
        to: toArg,
        stream: { type: 'string', description: 'stream of the operator', required: true },
        number: { type: 'string', description: 'number in the stream', required: true },
        expect: optionalString('epoch that the change is made against (default: the present one)'),
        whole: optionalString('file with a whole configuration'),
        edits: optionalString('file with a list of edits'),
        stage: optionalString('areas that take it first, parted by commas; or all'),
      },
      run: runApply,
    }),
    show: defineCommand({
      meta: {
        name: 'show',
        description: 'Print configuration, history, decisions, members, cores, groups, tenants or moves',
      },
      args: {
        to: toArg,
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
        to: toArg,
        whole: optionalString('file with a whole configuration (default: the present one)'),
        edits: optionalString('file with a list of edits'),
        json: { type: 'boolean', description: 'write JSON', default: false },
      },
      run: runCheck,
    }),
    credential: defineCommand({
      meta: { name: 'credential', description: "Make an operator's secret and the entry for the agents' settings" },
      args: {
        name: { type: 'string', description: 'name', required: true },
        role: { type: 'string', description: 'admin, team or reader', required: true },
        team: optionalString('team, for role team'),
      },
      run: runCredential,
    }),
    move: defineCommand({
      meta: {
        name: 'move',
        description: 'Move lanes from one group to another under a fence; confirm or call off a move',
      },
      args: {
        to: toArg,
        stream: { type: 'string', description: 'stream of the operator', required: true },
        number: { type: 'string', description: 'number in the stream', required: true },
        group: optionalString('group that the lanes go to'),
        lanes: optionalString('lanes, parted by commas'),
        from: optionalString('group, all of whose lanes go'),
        proof: optionalString('reported (the target tells what it holds; default) or confirmed (by --confirm)'),
        confirm: optionalString('a lane of the move whose target holds everything now'),
        calloff: optionalString('a lane of the move to call off'),
      },
      run: runMove,
    }),
    replace: defineCommand({
      meta: { name: 'replace', description: 'Replace the leader of a group, as planned' },
      args: {
        to: toArg,
        group: { type: 'string', description: 'group', required: true },
        leader: optionalString('the instance that is to lead (default: the most caught-up)'),
      },
      run: runReplace,
    }),
  },
})

void runMain(claynotchCommand)
