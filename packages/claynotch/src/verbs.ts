import { readFile } from 'node:fs/promises'
import {
  checkAgainstFleet,
  checkCores,
  describeChanges,
  makeCredential,
  readConfig,
  applyEdits,
  formatCoreSetStatus,
  type Config,
  type CoreSetStatus,
  type Credential,
  type Edit,
  type FleetState,
} from '@claynotch/operator'
import { AddressCodec, requestOnce, realWorld, formatFindings, type HttpAnswer, type Finding } from '@claynotch/base'

// The command-line verbs for operators. Exit codes: 0 done, 1 refused, 2 bad input, 3 unclear or no answer.

const CALL_TIMEOUT_MS = 15000

function exitWith(code: number, message: string): never {
  process.stderr.write(message.endsWith('\n') ? message : `${message}\n`)
  process.exit(code)
}
async function callAgent(agentAddr: string, method: string, path: string, body?: unknown): Promise<HttpAnswer> {
  if (!AddressCodec.is(agentAddr)) exitWith(2, `--to: expected ${AddressCodec.name}`)
  // NAME:TOKEN of an operator, if the fleet requires one.
  const token = process.env.CLAYNOTCH_TOKEN
  const answer = await requestOnce(
    realWorld(),
    agentAddr,
    method,
    path,
    body,
    CALL_TIMEOUT_MS,
    token !== undefined ? [['authorization', `Bearer ${token}`]] : [],
  )
  if (answer.err) exitWith(3, `no answer from ${agentAddr}: ${answer.val.why}`)
  return answer.val
}
async function readJson(path: string, flag: string): Promise<unknown> {
  let text: string
  try {
    text = await readFile(path, 'utf8')
  } catch (e) {
    exitWith(2, `--${flag}: ${(e as Error).message}`)
  }
  try {
    return JSON.parse(text)
  } catch (e) {
    exitWith(2, `${path}: malformed JSON: ${(e as Error).message}`)
  }
}

/** Sends one numbered change, by default based on the current epoch, and prints the decision. */
export async function apply(args: {
  to: string
  stream: string
  number: string
  expect?: string
  whole?: string
  edits?: string
  stage?: string
}): Promise<void> {
  const findings: Finding[] = []
  const number = Number(args.number)
  if (!Number.isInteger(number) || number < 1)
    findings.push({ place: '--number', what: 'expected a whole number from 1' })
  if (args.whole !== undefined && args.edits !== undefined)
    findings.push({ place: '--whole, --edits', what: 'only one of them may be given' })
  if (args.whole === undefined && args.edits === undefined && args.stage === undefined)
    findings.push({ place: '--whole, --edits', what: 'one of them is needed, or --stage to go on with an open stage' })
  if (args.expect !== undefined && !Number.isInteger(Number(args.expect)))
    findings.push({ place: '--expect', what: 'expected an epoch' })
  if (findings.length > 0) exitWith(2, formatFindings(findings))
  let expect = Number(args.expect)
  if (args.expect === undefined)
    expect = ((await callAgent(args.to, 'GET', '/configuration')).body as { epoch: number }).epoch
  await sendChange(args, {
    number,
    expect,
    ...(args.whole !== undefined ? { whole: await readJson(args.whole, 'whole') } : {}),
    ...(args.edits !== undefined ? { edits: await readJson(args.edits, 'edits') } : {}),
    ...(args.stage !== undefined ? { stage: args.stage === 'all' ? 'all' : args.stage.split(',') } : {}),
  })
}

/** Sends one change, prints the decision and exits with the matching code. */
async function sendChange(args: { to: string; stream: string }, change: unknown): Promise<never> {
  const answer = await callAgent(args.to, 'POST', `/streams/${encodeURIComponent(args.stream)}`, change)
  const body = (typeof answer.body === 'string' ? JSON.parse(answer.body) : answer.body) as { decision?: string }
  process.stdout.write(`${JSON.stringify(body, null, 2)}\n`)
  process.exit(body.decision === 'accepted' ? 0 : body.decision === 'refused' ? 1 : 3)
}

/** Opens, confirms or calls off a move of lanes between groups. */
export async function move(args: {
  to: string
  stream: string
  number: string
  lanes?: string
  from?: string
  group?: string
  proof?: string
  confirm?: string
  calloff?: string
}): Promise<void> {
  const findings: Finding[] = []
  const number = Number(args.number)
  if (!Number.isInteger(number) || number < 1)
    findings.push({ place: '--number', what: 'expected a whole number from 1' })
  const edits: Edit[] = []
  if (args.confirm !== undefined) edits.push({ op: 'confirm', lane: args.confirm })
  if (args.calloff !== undefined) edits.push({ op: 'calloff', lane: args.calloff })
  if (args.group !== undefined) {
    const proof = args.proof ?? 'reported'
    if (proof !== 'reported' && proof !== 'confirmed')
      findings.push({ place: '--proof', what: 'expected reported or confirmed' })
    else if ((args.lanes === undefined) === (args.from === undefined))
      findings.push({ place: '--lanes, --from', what: 'exactly one of them is needed' })
    else
      edits.push({
        op: 'move',
        to: args.group,
        proof,
        ...(args.lanes !== undefined ? { lanes: args.lanes.split(',') } : { group: args.from! }),
      })
  }
  if (findings.length === 0 && edits.length !== 1)
    findings.push({ place: '--group, --confirm, --calloff', what: 'exactly one of them is needed' })
  if (findings.length > 0) exitWith(2, formatFindings(findings))
  const current = (await callAgent(args.to, 'GET', '/configuration')).body as { epoch: number }
  await sendChange(args, { number, expect: current.epoch, edits })
}

/** Prints one of the views that an agent serves. */
export async function show(args: { to: string; what: string; json?: boolean }): Promise<void> {
  const views = ['configuration', 'history', 'decisions', 'members', 'cores', 'groups', 'tenants', 'moves']
  if (!views.includes(args.what)) exitWith(2, `what: expected one of ${views.join(', ')}`)
  const answer = await callAgent(args.to, 'GET', `/${args.what}`)
  if (args.what === 'cores' && answer.status === 200 && args.json !== true) {
    process.stdout.write(formatCoreSetStatus(answer.body as CoreSetStatus))
    process.exit(0)
  }
  process.stdout.write(typeof answer.body === 'string' ? answer.body : `${JSON.stringify(answer.body, null, 2)}\n`)
  process.exit(answer.status === 200 ? 0 : 3)
}

/** Requests the planned replacement of a group's leader. */
export async function replace(args: { to: string; group: string; leader?: string }): Promise<void> {
  const answer = await callAgent(
    args.to,
    'POST',
    `/groups/${encodeURIComponent(args.group)}/replacement`,
    args.leader !== undefined ? { to: args.leader } : {},
  )
  process.stdout.write(`${JSON.stringify(answer.body, null, 2)}\n`)
  process.exit(answer.status === 202 ? 0 : 1)
}

/** Findings about the core set; none if the agent is an older version without GET /cores. */
async function findCoreFaults(agentAddr: string): Promise<Finding[]> {
  const answer = await callAgent(agentAddr, 'GET', '/cores')
  return answer.status === 200 ? checkCores(answer.body as CoreSetStatus) : []
}

/**
 * Checks a configuration against the current state of the fleet. Exit codes: 0 no findings, 1 findings, 2 the
 * configuration or the input is invalid, 3 the state of the fleet could not be read.
 */
export async function check(args: { to: string; whole?: string; edits?: string; json?: boolean }): Promise<void> {
  if (args.whole !== undefined && args.edits !== undefined)
    exitWith(2, '--whole, --edits: only one of them may be given')
  async function readView(path: string): Promise<unknown> {
    const answer = await callAgent(args.to, 'GET', path)
    if (answer.status !== 200) exitWith(3, `${path}: status ${answer.status} ${JSON.stringify(answer.body)}`)
    return answer.body
  }
  const current = (await readView('/configuration')) as { epoch: number; config: Config | null }
  const fleetState = {
    ...current,
    moves: await readView('/moves'),
    members: await readView('/members'),
    groups: await readView('/groups'),
  } as FleetState
  let next: unknown = current.config
  let findings: Finding[] = []
  if (args.whole !== undefined) next = await readJson(args.whole, 'whole')
  else if (args.edits !== undefined) {
    if (!current.config) exitWith(2, '--edits: there is no configuration yet to edit')
    const edited = applyEdits(current.config, (await readJson(args.edits, 'edits')) as Edit[])
    if (edited.err) findings = edited.val
    else next = edited.val
  }
  if (next === null) exitWith(3, 'there is no configuration yet; give one by --whole')
  const parsed = findings.length > 0 ? undefined : readConfig(next)
  if (parsed?.err) findings = parsed.val
  const invalid = findings.length > 0
  const changes = parsed?.ok ? describeChanges(current.config, parsed.val) : []
  if (parsed?.ok) findings = checkAgainstFleet(parsed.val, fleetState)
  if (parsed?.ok) findings.push(...(await findCoreFaults(args.to)))
  if (args.json === true)
    process.stdout.write(`${JSON.stringify({ epoch: current.epoch, valid: !invalid, findings, changes }, null, 2)}\n`)
  else {
    process.stdout.write(`present epoch ${current.epoch}; the configuration is ${invalid ? 'invalid' : 'valid'}\n`)
    process.stdout.write(formatFindings(findings))
    for (const change of changes) process.stdout.write(`would change ${change}\n`)
  }
  process.exit(invalid ? 2 : findings.length > 0 ? 1 : 0)
}

/** Prints a new secret once, and the entry for the agents' settings, which contains only its hash. */
export function credential(args: { name: string; role: string; team?: string }): void {
  if (!['admin', 'team', 'reader'].includes(args.role)) exitWith(2, '--role: expected admin, team or reader')
  if ((args.role === 'team') !== (args.team !== undefined))
    exitWith(2, '--team: role team needs one, the others have none')
  const { token, entry } = makeCredential(args.name, args.role as Credential['role'], args.team)
  process.stdout.write(`CLAYNOTCH_TOKEN=${args.name}:${token}\n${JSON.stringify(entry)}\n`)
}
