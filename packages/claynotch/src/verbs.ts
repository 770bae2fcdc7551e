import { readFile } from 'node:fs/promises'
import { Address, callOnce, realWorld, showFindings, type Answer, type Finding } from '@claynotch/base'

// Operator verbs. Exit codes: 0 done, 1 refused, 2 bad input, 3 unclear or no answer.
const LIMIT = 15000

function stopWith(code: number, text: string): never {
  process.stderr.write(text.endsWith('\n') ? text : `${text}\n`)
  process.exit(code)
}
async function call(to: string, method: string, path: string, body?: unknown): Promise<Answer> {
  if (!Address.is(to)) stopWith(2, `--to: expected ${Address.name}`)
  const got = await callOnce(realWorld(), to, method, path, body, LIMIT)
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

export async function apply(args: { to: string; stream: string; number: string; expect?: string; whole?: string; edits?: string }): Promise<void> {
  const findings: Finding[] = []
  const number = Number(args.number)
  if (!Number.isInteger(number) || number < 1) findings.push({ place: '--number', what: 'expected a whole number from 1' })
  if ((args.whole === undefined) === (args.edits === undefined)) findings.push({ place: '--whole, --edits', what: 'exactly one of them is needed' })
  if (args.expect !== undefined && !Number.isInteger(Number(args.expect))) findings.push({ place: '--expect', what: 'expected an epoch' })
  if (findings.length > 0) stopWith(2, showFindings(findings))
  let expect = Number(args.expect)
  if (args.expect === undefined) expect = ((await call(args.to, 'GET', '/configuration')).body as { epoch: number }).epoch
  const change = { number, expect, ...(args.whole !== undefined ? { whole: await readJson(args.whole, 'whole') } : { edits: await readJson(args.edits!, 'edits') }) }
  const got = await call(args.to, 'POST', `/streams/${encodeURIComponent(args.stream)}`, change)
  const body = (typeof got.body === 'string' ? JSON.parse(got.body) : got.body) as { decision?: string }
  process.stdout.write(`${JSON.stringify(body, null, 2)}\n`)
  process.exit(body.decision === 'accepted' ? 0 : body.decision === 'refused' ? 1 : 3)
}

export async function show(args: { to: string; what: string }): Promise<void> {
  const known = ['configuration', 'history', 'decisions', 'members', 'groups']
  if (!known.includes(args.what)) stopWith(2, `what: expected one of ${known.join(', ')}`)
  const got = await call(args.to, 'GET', `/${args.what}`)
  process.stdout.write(typeof got.body === 'string' ? got.body : `${JSON.stringify(got.body, null, 2)}\n`)
  process.exit(got.status === 200 ? 0 : 3)
}

export async function replace(args: { to: string; group: string; leader?: string }): Promise<void> {
  const got = await call(args.to, 'POST', `/groups/${encodeURIComponent(args.group)}/replacement`, args.leader !== undefined ? { to: args.leader } : {})
  process.stdout.write(`${JSON.stringify(got.body, null, 2)}\n`)
  process.exit(got.status === 202 ? 0 : 1)
}
