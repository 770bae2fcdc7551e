import type { Address, Metrics } from '@claynotch/base'
import type { Credential } from '@claynotch/operator'
import type { CoreMember, CoreSet, QuotaService, RegisterValue } from '@claynotch/register'
import type { QuotaTolerance } from './quota-limits.js'

export type AgentSettings = {
  node: string
  area: string
  /** Where the proxy of this machine finds its agent; none: it has no proxy. */
  link?: Address
  /** UDP, for summaries. */
  peer: Address
  /** For operators, instances, the platform, and nodes that look for the cores; none: it serves none and holds no duties. */
  http?: Address
  /** HTTP addresses of three other processes. */
  seeds: Address[]
  /** The core set where this process knows it by itself; it is asked before the seeds. */
  coreSet?: () => CoreSet
  /** The core machine that runs in this process, which is told each later set, and passes questions about quotas on. */
  core?: {
    place: () => CoreMember
    adopt: (next: CoreSet) => Promise<void>
    serveQuotas: (service: QuotaService) => void
  }
  /** Default: nothing above the limits. */
  quota?: QuotaTolerance
  /** Default: MAX_VOTERS. */
  mostVoters?: number
  /** Where promotion calls go. */
  platform?: Address
  operators?: Credential[]
  build: string
  /** ms; default: SUSPICION_TIMEOUT_MS. */
  suspicionTimeoutMs?: number
}

/** What a changed settings file may change while the agent runs. */
export type AgentReload = { seeds: Address[]; platform: Address | undefined; operators: Credential[] | undefined }

export type Agent = {
  stop: () => Promise<void>
  metrics: Metrics
  leaseExpiresAt: () => number
  register: (key: string) => RegisterValue | undefined
  apply: (next: AgentReload) => void
}
