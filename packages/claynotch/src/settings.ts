import * as t from 'io-ts'
import { AddressCodec, Name, type Finding } from '@claynotch/base'
import { checkCredentials, Credential } from '@claynotch/operator'

// Settings of the daemons; docs/operators/settings.md explains each of them.

/** Settings of a core that is configured with its core set. */
export const CoreSettings = t.intersection([
  t.type({ id: Name, cores: t.array(t.type({ id: Name, addr: AddressCodec })), data: t.string, http: AddressCodec }),
  t.partial({ foundAnew: t.boolean }),
])
export type CoreSettings = t.TypeOf<typeof CoreSettings>

/** Settings of the agent of a front machine. */
export const AgentSettings = t.intersection([
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
export type AgentSettings = t.TypeOf<typeof AgentSettings>

/** Settings of the proxy of a front machine. */
export const ProxySettings = t.type({ listen: AddressCodec, admin: AddressCodec, agent: AddressCodec })
export type ProxySettings = t.TypeOf<typeof ProxySettings>

/** Checks that the codec can't express. */
export function checkAgentSettings(settings: AgentSettings): Finding[] {
  return checkCredentials(settings.operators ?? [])
}

/** Checks that the codec can't express: unique ids, this core among them, and an odd number of cores. */
export function checkCoreSettings(settings: CoreSettings): Finding[] {
  const findings: Finding[] = []
  const ids = new Set<string>()
  for (const [index, core] of settings.cores.entries()) {
    if (ids.has(core.id)) findings.push({ place: `/cores/${index}/id`, what: `the id ${core.id} stands twice` })
    ids.add(core.id)
  }
  if (!ids.has(settings.id)) findings.push({ place: '/cores', what: `${settings.id} is not among them` })
  if (settings.cores.length % 2 === 0)
    findings.push({
      place: '/cores',
      what: `${settings.cores.length} cores survive no more losses than ${settings.cores.length - 1}: an odd number is wanted`,
    })
  return findings
}
