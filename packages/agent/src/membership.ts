import {
  LEASE_RENEWAL_TIMEOUT_MS,
  MEMBER_SOURCE_COUNT,
  readAs,
  type Metrics,
  type PersistentLink,
  type World,
} from '@claynotch/base'
import type { Peer } from '@claynotch/peer'
import { gatherQuorum, MembersAnswer, type CoreMember, type Member, type MemberEntry } from '@claynotch/register'
import type { CoreLinks } from './core-links.js'
import { makeMemberSources, type MemberSourceCandidate } from './member-sources.js'

/** The members as a majority of the cores knows them. isComplete: false while some core may have forgotten members. */
export type MembersRead = { members: Member[]; isComplete: boolean }

/** The nodes that hold a lease: as cores report them with lease renewals, or as a majority knows them when asked. */
export type Membership = {
  /** The members that the cores last reported. */
  list: () => MemberEntry[]
  /** Nodes that may hold duties: those that serve operators, because they are the first to hear announcements. */
  dutyNodes: () => string[]
  /** The number of members that have a proxy, at least 1. */
  proxyCount: () => number
  peers: () => Peer[]
  /** Core machines that don't vote, with the token under which they may become voters. */
  spareCores: () => CoreMember[]
  /** Whether the core is one of those that include the members in their answers to this node's renewals. */
  isMemberSource: (core: string) => boolean
  /** Chooses the cores that report members. */
  chooseSources: () => void
  /** Replaces the list by what the chosen ones among these cores reported; keeps it if they reported no members. */
  merge: (cores: Set<string>) => void
  /** Asks all cores for the members; undefined: no majority answered. */
  read: () => Promise<MembersRead | undefined>
}

function hasAnswered(answer: MembersAnswer | undefined): boolean {
  return answer !== undefined
}

/** Counts acknowledgements that any core has: they were sent to all cores and may have reached only some. */
function mergeMember(old: Member, next: Member): Member {
  const acks = new Map(old.acks)
  for (const [key, version] of next.acks) acks.set(key, Math.max(version, acks.get(key) ?? 0))
  return { ...next, acks: [...acks], highs: [...old.highs, ...next.highs] }
}

/** Merges the answers of a majority; the result is complete if every one of them is. */
function mergeAnswers(answers: MembersAnswer[]): MembersRead {
  const byNode = new Map<string, Member>()
  let isComplete = true
  for (const answer of answers) {
    if (!answer.sure) isComplete = false
    for (const member of answer.members) {
      const old = byNode.get(member.node)
      byNode.set(member.node, old ? mergeMember(old, member) : member)
    }
  }
  return { members: [...byNode.values()], isComplete }
}

/** holdsDuties: whether this node may hold duties; it then needs the members as every core reports them. */
export function makeMembership(
  world: World,
  node: string,
  holdsDuties: boolean,
  links: CoreLinks,
  metrics: Metrics,
): Membership {
  const sources = makeMemberSources(world, node, holdsDuties ? Infinity : MEMBER_SOURCE_COUNT)
  let members: MemberEntry[] = []

  function chooseSources(): void {
    const candidates: MemberSourceCandidate[] = []
    for (const [id, { link }] of links.all())
      candidates.push({ id, isUp: link.up(), heard: links.heardAt(id) ?? -Infinity })
    // A core that starts or stops reporting members can't build on its earlier answers: requests its full state.
    for (const id of sources.choose(candidates)) links.get(id)?.view.reset()
  }
  function merge(cores: Set<string>): void {
    const latestByNode = new Map<string, { line: MemberEntry; at: number }>()
    for (const core of cores) {
      const view = sources.has(core) ? links.get(core)?.view : undefined
      for (const [node, entry] of view?.members() ?? [])
        if (entry.at > (latestByNode.get(node)?.at ?? -Infinity)) latestByNode.set(node, entry)
    }
    // The cores that report members may not be among the first to answer: the earlier list is valid until they do.
    if (latestByNode.size === 0) return
    members = []
    for (const { line } of latestByNode.values()) members.push(line)
    metrics.set('claynotch_agent_members', [], members.length)
  }
  async function readMembersFrom(link: PersistentLink, epoch: number): Promise<MembersAnswer | undefined> {
    const answer = readAs(MembersAnswer, await link.ask({ t: 'members', epoch }, LEASE_RENEWAL_TIMEOUT_MS))
    return answer.ok && answer.val.ok ? answer.val : undefined
  }
  async function read(): Promise<MembersRead | undefined> {
    const quorum = links.quorum()
    const asks: { id: string; got: Promise<MembersAnswer | undefined> }[] = []
    for (const [id, { link }] of links.all()) asks.push({ id, got: readMembersFrom(link, quorum.epoch) })
    const answering = new Set<string>()
    const answers: MembersAnswer[] = []
    for (const { id, answer: val } of await gatherQuorum(world, asks, quorum, hasAnswered, LEASE_RENEWAL_TIMEOUT_MS)) {
      if (!val) continue
      answering.add(id)
      answers.push(val)
    }
    return quorum.met(answering) ? mergeAnswers(answers) : undefined
  }
  function list(): MemberEntry[] {
    return members
  }
  function dutyNodes(): string[] {
    const nodes: string[] = []
    for (const member of members) if (member.operator !== '') nodes.push(member.node)
    return nodes
  }
  function proxyCount(): number {
    let count = 0
    for (const member of members) if (member.proxy) count++
    return Math.max(1, count)
  }
  function peers(): Peer[] {
    const memberPeers: Peer[] = []
    for (const member of members) memberPeers.push({ node: member.node, addr: member.addr, proxy: member.proxy })
    return memberPeers
  }
  function spareCores(): CoreMember[] {
    const spares: CoreMember[] = []
    for (const { core } of members) if (core?.token !== undefined && !links.get(core.id)) spares.push(core)
    return spares
  }
  return {
    list,
    dutyNodes,
    proxyCount,
    peers,
    spareCores,
    isMemberSource: sources.has,
    chooseSources,
    merge,
    read,
  }
}
