import type { Finding } from '@claynotch/base'

// The core set as GET /cores tells it, and what `claynotch check` finds wrong with it.

// part: 'stays' through a change of the set under way, 'joins' or 'leaves' with it; 'votes' where none is under way.
// state: 'voting'; 'refilling', it answers and may not vote yet; 'behind', it answers under another set (epoch);
// 'silent', no answer within ROUND_LIFE.
// heard: ms since it was heard last by this agent.
export type CoreStatusEntry = {
  id: string
  addr: string
  part: 'votes' | 'stays' | 'joins' | 'leaves'
  state: 'voting' | 'refilling' | 'behind' | 'silent'
  epoch?: number
  heard?: number
}
// epoch: of the set as this agent knows it. quorum: those that vote now can decide. lossesBorne: of these so many may be
// lost, whichever they are, with a quorum left; 0 where there is none.
// spares: core machines that stand by and don't vote.
export type CoreSetStatus = {
  epoch: number
  changing: boolean
  quorum: boolean
  lossesBorne: number
  cores: CoreStatusEntry[]
  spares: string[]
}

// The fewest cores of which one may be lost.
const LEAST_CORES = 3

export function checkCores(status: CoreSetStatus): Finding[] {
  const out: Finding[] = []
  let size = 0
  for (const c of status.cores) if (c.part !== 'joins') size++
  if (size < LEAST_CORES)
    out.push({ place: 'cores', what: `${size} of them: no loss is borne with fewer than ${LEAST_CORES}` })
  else if (size % 2 === 0)
    out.push({ place: 'cores', what: `${size} of them bear no more losses than ${size - 1}: an odd number is wanted` })
  for (const c of status.cores)
    if (c.state !== 'voting') out.push({ place: `core ${c.id}`, what: `doesn't vote now: ${c.state}` })
  if (!status.quorum) out.push({ place: 'cores', what: 'those that vote are no quorum: nothing is decided' })
  else if (status.lossesBorne === 0) out.push({ place: 'cores', what: 'the next loss leaves no quorum' })
  return out
}

// For people, a line each.
export function formatCoreSetStatus(status: CoreSetStatus): string {
  const { epoch, changing, quorum, lossesBorne, cores, spares } = status
  const head = [
    `core set of epoch ${epoch}${changing ? ', being changed' : ''}`,
    quorum ? `losses borne now: ${lossesBorne}` : 'no quorum: nothing is decided',
  ]
  const lines: string[] = []
  for (const c of cores) lines.push(showCore(c, epoch))
  if (spares.length > 0) lines.push(`spares: ${spares.join(', ')}`)
  return `${[...head, ...lines].join('\n')}\n`
}
function showCore(c: CoreStatusEntry, epoch: number): string {
  const words = [c.id, c.addr, c.part, c.state]
  if (c.epoch !== undefined && c.epoch !== epoch) words.push(`epoch ${c.epoch}`)
  if (c.heard !== undefined && c.state !== 'voting') words.push(`heard ${c.heard} ms ago`)
  return words.join('  ')
}
