import type { Finding } from '@claynotch/base'

// The core set as GET /cores shows it, and the findings of `claynotch check` about it.

/**
 * Status of one core.
 * - `part`: its part in a change of the core set that is in progress ('stays', 'joins' or 'leaves'); otherwise 'votes'.
 * - `state`: 'voting'; 'refilling', it answers but may not vote yet; 'behind', it answers with another core set
 *   (`epoch`); 'silent', it didn't answer within LEASE_RENEWAL_TIMEOUT_MS.
 * - `heard`: ms since this agent last received something from it.
 */
export type CoreStatusEntry = {
  id: string
  addr: string
  part: 'votes' | 'stays' | 'joins' | 'leaves'
  state: 'voting' | 'refilling' | 'behind' | 'silent'
  epoch?: number
  heard?: number
}
/**
 * Status of the core set.
 * - `epoch`: epoch of the core set as this agent knows it.
 * - `quorum`: whether the cores that vote now form a quorum.
 * - `lossesBorne`: how many of these may fail, whichever they are, with a quorum remaining; 0 if there is no quorum.
 * - `spares`: core machines that are available and don't vote.
 */
export type CoreSetStatus = {
  epoch: number
  changing: boolean
  quorum: boolean
  lossesBorne: number
  cores: CoreStatusEntry[]
  spares: string[]
}

/** The smallest core set that tolerates the loss of one core. */
const MIN_CORES_FOR_ONE_LOSS = 3

/** Findings about the core set: its size, cores that don't vote, and the losses that it tolerates. */
export function checkCores(status: CoreSetStatus): Finding[] {
  const findings: Finding[] = []
  let size = 0
  for (const core of status.cores) if (core.part !== 'joins') size++
  if (size < MIN_CORES_FOR_ONE_LOSS)
    findings.push({
      place: 'cores',
      what: `${size} of them: no loss is borne with fewer than ${MIN_CORES_FOR_ONE_LOSS}`,
    })
  else if (size % 2 === 0)
    findings.push({
      place: 'cores',
      what: `${size} of them bear no more losses than ${size - 1}: an odd number is wanted`,
    })
  for (const core of status.cores)
    if (core.state !== 'voting') findings.push({ place: `core ${core.id}`, what: `doesn't vote now: ${core.state}` })
  if (!status.quorum) findings.push({ place: 'cores', what: 'those that vote are no quorum: nothing is decided' })
  else if (status.lossesBorne === 0) findings.push({ place: 'cores', what: 'the next loss leaves no quorum' })
  return findings
}

/** Formats the status for people, with one line per core. */
export function formatCoreSetStatus(status: CoreSetStatus): string {
  const { epoch, changing, quorum, lossesBorne, cores, spares } = status
  const summaryLines = [
    `core set of epoch ${epoch}${changing ? ', being changed' : ''}`,
    quorum ? `losses borne now: ${lossesBorne}` : 'no quorum: nothing is decided',
  ]
  const coreLines: string[] = []
  for (const core of cores) coreLines.push(formatCore(core, epoch))
  if (spares.length > 0) coreLines.push(`spares: ${spares.join(', ')}`)
  return `${[...summaryLines, ...coreLines].join('\n')}\n`
}
function formatCore(core: CoreStatusEntry, epoch: number): string {
  const columns = [core.id, core.addr, core.part, core.state]
  if (core.epoch !== undefined && core.epoch !== epoch) columns.push(`epoch ${core.epoch}`)
  if (core.heard !== undefined && core.state !== 'voting') columns.push(`heard ${core.heard} ms ago`)
  return columns.join('  ')
}
