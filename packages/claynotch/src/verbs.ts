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

// Operator verbs. Exit codes: 0 done, 1 refused, 2 bad input, 3 unclear or no answer.
const LIMIT = 15000

function stopWith(code: number, text: string): never {
  process.stderr.write(text.endsWith('\n') ? text : `${text}\n`)
  process.exit(code)
}
async function call(to: string, method: string, path: string, body?: unknown): Promise<HttpAnswer> {
  if (!AddressCodec.is(to)) stopWith(2, `--to: expected ${AddressCodec.name}`)
  // NAME:TOKEN of an operator, where the fleet asks for one.
  const token = process.env.CLAYNOTCH_TOKEN
  const got = await requestOnce(
    realWorld(),
    to,
    method,
    path,
    body,
    LIMIT,
    token !== undefined ? [['authorization', `Bearer ${token}`]] : [],
  )
  if (got.err) stopWith(3, `no answer from ${to}: ${got.val.why}`)
  return got.val
}
async function readJson(path: string, flag: string): Promise<unknown> {
  let text: string
  try {
    text = await readFile(path, 'utf8')
  } catch (e) {
    stopWith(2, `--${flag}: ${(e as Error).message}`)
  }
  try {
    return JSON.parse(text)
  } catch (e) {
    stopWith(2, `${path}: malformed JSON: ${(e as Error).message}`)
  }
}

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
  if (findings.length > 0) stopWith(2, formatFindings(findings))
  let expect = Number(args.expect)
  if (args.expect === undefined)
    expect = ((await call(args.to, 'GET', '/configuration')).body as { epoch: number }).epoch
  await send(args, {
    number,
    expect,
    ...(args.whole !== undefined ? { whole: await readJson(args.whole, 'whole') } : {}),
    ...(args.edits !== undefined ? { edits: await readJson(args.edits, 'edits') } : {}),
    ...(args.stage !== undefined ? { stage: args.stage === 'all' ? 'all' : args.stage.split(',') } : {}),
  })
}

// Sends one change and ends with its decision.
async function send(args: { to: string; stream: string }, change: unknown): Promise<never> {
  const got = await call(args.to, 'POST', `/streams/${encodeURIComponent(args.stream)}`, change)
  const body = (typeof got.body === 'string' ? JSON.parse(got.body) : got.body) as { decision?: string }
  process.stdout.write(`${JSON.stringify(body, null, 2)}\n`)
  process.exit(body.decision === 'accepted' ? 0 : body.decision === 'refused' ? 1 : 3)
}

// Opens, confirms or calls off a move of lanes between groups.
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
  if (findings.length > 0) stopWith(2, formatFindings(findings))
  const now = (await call(args.to, 'GET', '/configuration')).body as { epoch: number }
  await send(args, { number, expect: now.epoch, edits })
}

export async function show(args: { to: string; what: string; json?: boolean }): Promise<void> {
  const known = ['configuration', 'history', 'decisions', 'members', 'cores', 'groups', 'tenants', 'moves']
  if (!known.includes(args.what)) stopWith(2, `what: expected one of ${known.join(', ')}`)
  const got = await call(args.to, 'GET', `/${args.what}`)
  if (args.what === 'cores' && got.status === 200 && args.json !== true) {
    process.stdout.write(formatCoreSetStatus(got.body as CoreSetStatus))
    process.exit(0)
  }
  process.stdout.write(typeof got.body === 'string' ? got.body : `${JSON.stringify(got.body, null, 2)}\n`)
  process.exit(got.status === 200 ? 0 : 3)
}

export async function replace(args: { to: string; group: string; leader?: string }): Promise<void> {
  const got = await call(
    args.to,
    'POST',
    `/groups/${encodeURIComponent(args.group)}/replacement`,
    args.leader !== undefined ? { to: args.leader } : {},
  )
  process.stdout.write(`${JSON.stringify(got.body, null, 2)}\n`)
  process.exit(got.status === 202 ? 0 : 1)
}

// What is wrong with the core set; an agent of before GET /cores tells nothing.
async function findCoreFaults(to: string): Promise<Finding[]> {
  const got = await call(to, 'GET', '/cores')
  return got.status === 200 ? checkCores(got.body as CoreSetStatus) : []
}

// A configuration against the fleet as it is. Exit codes: 0 nothing found, 1 findings, 2 the configuration is
// invalid or the input bad, 3 the fleet could not be read.
export async function check(args: { to: string; whole?: string; edits?: string; json?: boolean }): Promise<void> {
  if (args.whole !== undefined && args.edits !== undefined)
    stopWith(2, '--whole, --edits: only one of them may be given')
  async function read(path: string): Promise<unknown> {
    const got = await call(args.to, 'GET', path)
    if (got.status !== 200) stopWith(3, `${path}: status ${got.status} ${JSON.stringify(got.body)}`)
    return got.body
  }
  const now = (await read('/configuration')) as { epoch: number; config: Config | null }
  const fleet = {
    ...now,
    moves: await read('/moves'),
    members: await read('/members'),
    groups: await read('/groups'),
  } as FleetState
  let next: unknown = now.config
  let findings: Finding[] = []
  if (args.whole !== undefined) next = await readJson(args.whole, 'whole')
  else if (args.edits !== undefined) {
    if (!now.config) stopWith(2, '--edits: there is no configuration yet to edit')
    const edited = applyEdits(now.config, (await readJson(args.edits, 'edits')) as Edit[])
    if (edited.err) findings = edited.val
    else next = edited.val
  }
  if (next === null) stopWith(3, 'there is no configuration yet; give one by --whole')
  const got = findings.length > 0 ? undefined : readConfig(next)
  if (got?.err) findings = got.val
  const invalid = findings.length > 0
  const changes = got?.ok ? describeChanges(now.config, got.val) : []
  if (got?.ok) findings = checkAgainstFleet(got.val, fleet)
  if (got?.ok) findings.push(...(await findCoreFaults(args.to)))
  if (args.json === true)
    process.stdout.write(`${JSON.stringify({ epoch: now.epoch, valid: !invalid, findings, changes }, null, 2)}\n`)
  else {
    process.stdout.write(`present epoch ${now.epoch}; the configuration is ${invalid ? 'invalid' : 'valid'}\n`)
    process.stdout.write(formatFindings(findings))
    for (const c of changes) process.stdout.write(`would change ${c}\n`)
  }
  process.exit(invalid ? 2 : findings.length > 0 ? 1 : 0)
}

// Prints the secret once, and the entry for the agents' settings, which doesn't hold it.
export function credential(args: { name: string; role: string; team?: string }): void {
  if (!['admin', 'team', 'reader'].includes(args.role)) stopWith(2, '--role: expected admin, team or reader')
  if ((args.role === 'team') !== (args.team !== undefined))
    stopWith(2, '--team: role team needs one, the others have none')
  const { token, entry } = makeCredential(args.name, args.role as Credential['role'], args.team)
  process.stdout.write(`CLAYNOTCH_TOKEN=${args.name}:${token}\n${JSON.stringify(entry)}\n`)
}
