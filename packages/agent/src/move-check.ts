import { SAMPLE_TIMEOUT_MS, type Finding, type World } from '@claynotch/base'
import type { InstanceAdapter } from '@claynotch/instance'
import { lanesToMove, type Config, type Edit } from '@claynotch/operator'
import type { GroupRecord, MemberEntry } from '@claynotch/register'

type MoveEdit = Extract<Edit, { op: 'move' }>

/** What the check of moves needs from the agent. */
export type MoveCheckView = {
  build: string
  instance: InstanceAdapter
  members: () => MemberEntry[]
  groups: () => string[]
  recordOf: (group: string) => GroupRecord | undefined
  config: () => Config | undefined
}

function isMove(edit: Edit): edit is MoveEdit {
  return edit.op === 'move'
}

function createsGroup(edits: Edit[], group: string): boolean {
  function createsIt(edit: Edit): boolean {
    if (edit.op !== 'put' || edit.what !== 'group') return false
    return (edit.value as { name?: unknown } | null)?.name === group
  }
  return edits.some(createsIt)
}

/**
 * Finds what prevents the moves among these edits. A move needs a target group with a leader. Unless the edit has the
 * proof "confirmed", the leader must itself report what it holds of the source group.
 */
export async function checkMoves(world: World, view: MoveCheckView, edits: Edit[]): Promise<Finding[]> {
  if (!edits.some(isMove)) return []
  const findings = findOtherBuilds(view)
  for (const [index, edit] of edits.entries()) {
    // A group that doesn't exist is reported when the change is decided; a group that this change creates has no
    // leader yet.
    if (!isMove(edit) || (!view.groups().includes(edit.to) && !createsGroup(edits, edit.to))) continue
    findings.push(...(await checkTarget(world, view, edit, `/edits/${index}/to`)))
  }
  return findings
}

/** Members with another build: a program from before moves existed would acknowledge a move without applying it. */
function findOtherBuilds(view: MoveCheckView): Finding[] {
  const findings: Finding[] = []
  for (const member of view.members()) {
    if (member.build === view.build) continue
    findings.push({
      place: `member ${member.node}`,
      what: `runs build ${member.build}, not ${view.build}: finish the roll-out of programs before lanes are moved`,
    })
  }
  return findings
}

/** Checks the target of one move; place is where the edit names it. */
async function checkTarget(world: World, view: MoveCheckView, edit: MoveEdit, place: string): Promise<Finding[]> {
  const { to } = edit
  const record = view.recordOf(to)
  if (record?.leader === undefined || record.addr === undefined)
    return [{ place, what: `the group ${to} has no leader` }]
  if (edit.proof === 'confirmed') return []
  const leader = { name: record.leader, group: to, addr: record.addr }
  const status = await view.instance.status(world, leader, SAMPLE_TIMEOUT_MS)
  if (status.err) return [{ place, what: `the leader of ${to} can't be asked: ${status.val}` }]
  const sources = new Set<string>()
  for (const lane of lanesToMove(edit, view.config())) sources.add(lane.group)
  const findings: Finding[] = []
  for (const source of sources) {
    if (source === to || status.val.source?.group === source) continue
    findings.push({
      place,
      what: `the leader of ${to} doesn't report that it holds anything of ${source} (STATUS rows source, source_epoch, source_position); else give proof "confirmed"`,
    })
  }
  return findings
}
