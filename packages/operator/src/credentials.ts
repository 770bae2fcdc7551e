import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import * as t from 'io-ts'
import { Name, type HttpRequest, type Finding, type HttpResponse } from '@claynotch/base'
import type { Change, Config } from './config.js'

// Who may do what. The secret itself stands nowhere: settings hold the SHA-256 of a random token of 32
// bytes, which needs no slow hash as it can't be guessed.
// admin: everything. team: reads everything, changes lanes of its own team by edits, in streams named after it.
// reader: reads.
function isHash(x: unknown): x is string {
  return typeof x === 'string' && /^[0-9a-f]{64}$/.test(x)
}
const Hash = new t.Type<string, string, unknown>(
  'a SHA-256 in hex (see claynotch credential)',
  isHash,
  checkHash,
  t.identity,
)
function checkHash(x: unknown, c: t.Context): t.Validation<string> {
  return isHash(x) ? t.success(x) : t.failure(x === undefined ? x : 'hidden', c)
}
export const Credential = t.intersection([
  t.type({ name: Name, role: t.union([t.literal('admin'), t.literal('team'), t.literal('reader')]), hash: Hash }),
  t.partial({ team: Name }),
])
export type Credential = t.TypeOf<typeof Credential>

function hashOf(token: string): string {
  return createHash('sha256').update(token).digest('hex')
}

export function makeCredential(
  name: string,
  role: Credential['role'],
  team: string | undefined,
): { token: string; entry: Credential } {
  const token = randomBytes(32).toString('hex')
  return { token, entry: { name, role, hash: hashOf(token), ...(team !== undefined ? { team } : {}) } }
}

export function checkCredentials(list: Credential[]): Finding[] {
  const out: Finding[] = []
  const seen = new Set<string>()
  for (const [k, c] of list.entries()) {
    if (seen.has(c.name)) out.push({ place: `/operators/${k}/name`, what: `the name ${c.name} stands twice` })
    seen.add(c.name)
    if ((c.role === 'team') !== (c.team !== undefined))
      out.push({ place: `/operators/${k}/team`, what: 'role team needs a team, the other roles have none' })
  }
  return out
}

// Header: authorization: Bearer NAME:TOKEN. undefined list: the edge is open (and says so in the log at start).
export function identify(list: Credential[] | undefined, header: string | undefined): Credential | undefined {
  if (list === undefined) return { name: 'anyone', role: 'admin', hash: '' }
  const m = /^Bearer ([^:\s]+):(\S+)$/.exec(header ?? '')
  if (!m) return undefined
  const got = Buffer.from(hashOf(m[2]), 'hex')
  let found: Credential | undefined
  for (const c of list) if (c.name === m[1] && timingSafeEqual(got, Buffer.from(c.hash, 'hex'))) found = c
  return found
}

// Why this caller may not make this request; undefined if it may. What a change touches is looked at in decide().
export function stopCaller(who: Credential | undefined, ask: HttpRequest): HttpResponse | undefined {
  if (!who)
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
  if (ask.method === 'GET' || who.role === 'admin') return undefined
  if (who.role === 'reader') return forbid('a reader changes nothing')
  const stream = /^\/streams\/([^/]+)$/.exec(ask.path)?.[1]
  if (stream === undefined) return forbid('a team changes its lanes only')
  return stream === who.team || stream.startsWith(`${who.team}.`)
    ? undefined
    : forbid(`streams of team ${who.team} are named ${who.team} or ${who.team}.*`)
}

// What in a change goes beyond the team's own lanes.
export function beyondTeam(team: string, change: Change, now: Config | null): Finding[] {
  const out: Finding[] = []
  if (change.whole !== undefined) out.push({ place: '/whole', what: `team ${team} changes its own lanes by edits` })
  if (change.stage !== undefined) out.push({ place: '/stage', what: "stages are an admin's" })
  const teams = new Map<string, string | undefined>()
  for (const lane of now?.lanes ?? []) teams.set(lane.name, lane.team)
  for (const [k, e] of (change.edits ?? []).entries()) {
    if ((e.op !== 'put' && e.op !== 'drop') || e.what !== 'lane') {
      out.push({ place: `/edits/${k}`, what: `team ${team} changes lanes only` })
      continue
    }
    const name = e.op === 'drop' ? e.name : (e.value as { name?: string } | null)?.name
    if (name !== undefined && teams.has(name) && teams.get(name) !== team)
      out.push({ place: `/edits/${k}`, what: `the lane ${name} is not of team ${team}` })
    if (e.op === 'put' && (e.value as { team?: string } | null)?.team !== team)
      out.push({ place: `/edits/${k}/value/team`, what: `expected ${team}` })
  }
  return out
}
