import type { Address, Metrics } from '@claynotch/base'
import type { Credential } from '@claynotch/operator'
import type { CoreMember, CoreSet, QuotaService, RegisterValue } from '@claynotch/register'
import type { QuotaTolerance } from './quota-limits.js'

/** The settings of one agent process. */
export type AgentSettings = {
  node: string
  area: string
  /** The address at which the agent accepts the proxy of this machine; undefined: the machine has no proxy. */
  link?: Address
  /** The UDP address for summaries. */
  peer: Address
  /**
   * The HTTP address for operators, instances, the platform and nodes that look up the core set; undefined: the agent
   * serves none of them and holds no duties.
   */
  http?: Address
  /** The HTTP addresses of three other processes, from which the core set is looked up. */
  seeds: Address[]
  /** The core set, where a core runs in this process; it is consulted before the seeds. */
  coreSet?: () => CoreSet
  /** The core that runs in this process; it is notified of each later set and forwards quota questions. */
  core?: {
    place: () => CoreMember
    adopt: (next: CoreSet) => Promise<void>
    serveQuotas: (service: QuotaService) => void
  }
  /** Default: no excess over the limits. */
  quota?: QuotaTolerance
  /** The largest number of voters in the core set. Default: MAX_VOTERS. */
  mostVoters?: number
  /** The address that receives promotion calls. */
  platform?: Address
  operators?: Credential[]
  build: string
  /** The time (ms) without a successful answer after which a leader is suspected. Default: SUSPICION_TIMEOUT_MS. */
  suspicionTimeoutMs?: number
}

/** The settings that can change while the agent runs. */
export type AgentReload = { seeds: Address[]; platform: Address | undefined; operators: Credential[] | undefined }

/** A running agent. */
export type Agent = {
  stop: () => Promise<void>
  metrics: Metrics
  leaseExpiresAt: () => number
  register: (key: string) => RegisterValue | undefined
  apply: (next: AgentReload) => void
}
