import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import * as t from 'io-ts'
import { Name, type HttpRequest, type Finding, type HttpResponse } from '@claynotch/base'
import type { Change, Config } from './config.js'

// Operators' credentials and permissions.
// Roles: admin may do everything; team may read everything, and change lanes of its own team by edits, in streams named
// after the team; reader may only read.

function isHash(value: unknown): value is string {
  return typeof value === 'string' && /^[0-9a-f]{64}$/.test(value)
}
const Hash = new t.Type<string, string, unknown>(
  'a SHA-256 in hex (see claynotch credential)',
  isHash,
  checkHash,
  t.identity,
)
function checkHash(value: unknown, context: t.Context): t.Validation<string> {
  return isHash(value) ? t.success(value) : t.failure(value === undefined ? value : 'hidden', context)
}
/**
 * An operator in the settings. The secret itself is stored nowhere: `hash` is the SHA-256 of a random token of 32
 * bytes, which needs no slow hash because it can't be guessed.
 */
export const Credential = t.intersection([
  t.type({ name: Name, role: t.union([t.literal('admin'), t.literal('team'), t.literal('reader')]), hash: Hash }),
  t.partial({ team: Name }),
])
export type Credential = t.TypeOf<typeof Credential>

function hashOf(token: string): string {
  return createHash('sha256').update(token).digest('hex')
}

/** Makes a random token, and the entry for the settings, which contains only its hash. */
export function makeCredential(
  name: string,
  role: Credential['role'],
  team: string | undefined,
): { token: string; entry: Credential } {
  const token = randomBytes(32).toString('hex')
  return { token, entry: { name, role, hash: hashOf(token), ...(team !== undefined ? { team } : {}) } }
}

/** Checks that names are unique and that exactly the credentials with the role team have a team. */
export function checkCredentials(list: Credential[]): Finding[] {
  const findings: Finding[] = []
  const seenNames = new Set<string>()
  for (const [index, credential] of list.entries()) {
    if (seenNames.has(credential.name))
      findings.push({ place: `/operators/${index}/name`, what: `the name ${credential.name} stands twice` })
    seenNames.add(credential.name)
    if ((credential.role === 'team') !== (credential.team !== undefined))
      findings.push({ place: `/operators/${index}/team`, what: 'role team needs a team, the other roles have none' })
  }
  return findings
}

/**
 * The credential of a request with the header `authorization: Bearer NAME:TOKEN`. Without a list of credentials the API
 * is open to all, which the agent logs at its start.
 */
export function identifyOperator(list: Credential[] | undefined, header: string | undefined): Credential | undefined {
  if (list === undefined) return { name: 'anyone', role: 'admin', hash: '' }
  const match = /^Bearer ([^:\s]+):(\S+)$/.exec(header ?? '')
  if (!match) return undefined
  const presentedHash = Buffer.from(hashOf(match[2]), 'hex')
  let found: Credential | undefined
  for (const credential of list)
    if (credential.name === match[1] && timingSafeEqual(presentedHash, Buffer.from(credential.hash, 'hex')))
      found = credential
  return found
}

/** The response that rejects the request; undefined if it is permitted. evaluateChange() checks what a change touches. */
export function checkPermission(credential: Credential | undefined, request: HttpRequest): HttpResponse | undefined {
  if (!credential)
    return {
      status: 401,
      body: {
        outcome: 'refused',
        class: 'PERMISSION_DENIED',
        kept: 'nothing',
        again: false,
        why: 'name and token are needed: authorization: Bearer NAME:TOKEN',
      },
    }
  function forbid(why: string): HttpResponse {
    return { status: 403, body: { outcome: 'refused', class: 'PERMISSION_DENIED', kept: 'nothing', again: false, why } }
  }
  if (request.method === 'GET' || credential.role === 'admin') return undefined
  if (credential.role === 'reader') return forbid('a reader changes nothing')
  const stream = /^\/streams\/([^/]+)$/.exec(request.path)?.[1]
  if (stream === undefined) return forbid('a team changes its lanes only')
  return stream === credential.team || stream.startsWith(`${credential.team}.`)
    ? undefined
    : forbid(`streams of team ${credential.team} are named ${credential.team} or ${credential.team}.*`)
}

/** Findings for everything in a change that goes beyond the team's own lanes. `config`: the current configuration. */
export function findEditsBeyondTeam(team: string, change: Change, config: Config | null): Finding[] {
  const findings: Finding[] = []
  if (change.whole !== undefined)
    findings.push({ place: '/whole', what: `team ${team} changes its own lanes by edits` })
  if (change.stage !== undefined) findings.push({ place: '/stage', what: "stages are an admin's" })
  const teamByLane = new Map<string, string | undefined>()
  for (const lane of config?.lanes ?? []) teamByLane.set(lane.name, lane.team)
  for (const [index, edit] of (change.edits ?? []).entries()) {
    if ((edit.op !== 'put' && edit.op !== 'drop') || edit.what !== 'lane') {
      findings.push({ place: `/edits/${index}`, what: `team ${team} changes lanes only` })
      continue
    }
    const name = edit.op === 'drop' ? edit.name : (edit.value as { name?: string } | null)?.name
    if (name !== undefined && teamByLane.has(name) && teamByLane.get(name) !== team)
      findings.push({ place: `/edits/${index}`, what: `the lane ${name} is not of team ${team}` })
    if (edit.op === 'put' && (edit.value as { team?: string } | null)?.team !== team)
      findings.push({ place: `/edits/${index}/value/team`, what: `expected ${team}` })
  }
  return findings
}
