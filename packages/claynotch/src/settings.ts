import * as t from 'io-ts'
import { Address, Name } from '@claynotch/base'

// Settings of the daemons. docs/operators/settings.md tells what each means.

export const CoreShape = t.type({ id: Name, cores: t.array(t.type({ id: Name, addr: Address })), data: t.string, http: Address })
export type CoreShape = t.TypeOf<typeof CoreShape>

export const AgentShape = t.intersection([
  t.type({ node: Name, area: Name, link: Address, peer: Address, http: Address, seeds: t.array(Address) }),
  t.partial({ platform: Address }),
])
export type AgentShape = t.TypeOf<typeof AgentShape>

export const ProxyShape = t.type({ listen: Address, admin: Address, agent: Address })
export type ProxyShape = t.TypeOf<typeof ProxyShape>
