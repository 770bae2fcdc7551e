import * as t from 'io-ts'
import { AddressCodec, Name, type Finding } from '@claynotch/base'
import { checkCredentials, Credential } from '@claynotch/operator'

// Settings of the daemons. docs/operators/settings.md tells what each means.

export const CoreShape = t.intersection([
  t.type({ id: Name, cores: t.array(t.type({ id: Name, addr: AddressCodec })), data: t.string, http: AddressCodec }),
  t.partial({ foundAnew: t.boolean }),
])
export type CoreShape = t.TypeOf<typeof CoreShape>

export const AgentShape = t.intersection([
  t.type({
    node: Name,
    area: Name,
    link: AddressCodec,
    peer: AddressCodec,
    http: AddressCodec,
    seeds: t.array(AddressCodec),
  }),
  t.partial({ platform: AddressCodec, operators: t.array(Credential) }),
])
export type AgentShape = t.TypeOf<typeof AgentShape>

export const ProxyShape = t.type({ listen: AddressCodec, admin: AddressCodec, agent: AddressCodec })
export type ProxyShape = t.TypeOf<typeof ProxyShape>

// What a shape alone can't tell.
export function checkAgent(set: AgentShape): Finding[] {
  return checkCredentials(set.operators ?? [])
}

export function checkCore(set: CoreShape): Finding[] {
  const out: Finding[] = []
  const ids = new Set<string>()
  for (const [k, c] of set.cores.entries()) {
    if (ids.has(c.id)) out.push({ place: `/cores/${k}/id`, what: `the id ${c.id} stands twice` })
    ids.add(c.id)
  }
  if (!ids.has(set.id)) out.push({ place: '/cores', what: `${set.id} is not among them` })
  if (set.cores.length % 2 === 0)
    out.push({
      place: '/cores',
      what: `${set.cores.length} cores survive no more losses than ${set.cores.length - 1}: an odd number is wanted`,
    })
  return out
}
