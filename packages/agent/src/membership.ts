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
import { makeMemberSources, type Candidate } from './member-sources.js'

/** isComplete: false while some core may have forgotten members. */
export type MembersRead = { members: Member[]; isComplete: boolean }

/** The nodes that hold a lease, as cores tell of them with the renewals; and, asked for, as a majority knows them now. */
export type Membership = {
  list: () => MemberEntry[]
  /** Nodes that may hold duties: those that serve operators, as they hear announcements first. */
  dutyNodes: () => string[]
  /** Members that have a proxy, at least 1. */
  proxyCount: () => number
  peers: () => Peer[]
  /** Core machines that are no voters, with the token under which they may become one. */
  spareCores: () => CoreMember[]
  tellsMembers: (core: string) => boolean
  /** Chooses the cores that are to tell of members. */
  chooseSources: () => void
  /** Takes what these cores told. */
  merge: (cores: Set<string>) => void
  /** A majority's word; undefined: no majority answered. */
  read: () => Promise<MembersRead | undefined>
}

function isAnswered(answer: MembersAnswer | undefined): boolean {
  return answer !== undefined
}

/** Acknowledgements counted by any core count: they were told to all, and may have reached only some. */
function mergeMember(old: Member, next: Member): Member {
  const acks = new Map(old.acks)
  for (const [key, version] of next.acks) acks.set(key, Math.max(version, acks.get(key) ?? 0))
  return { ...next, acks: [...acks], highs: [...old.highs, ...next.highs] }
}

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

/** holdsDuties: this node needs the members as every core tells of them. */
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
    const candidates: Candidate[] = []
    for (const [id, { link }] of links.all())
      candidates.push({ id, isUp: link.up(), heard: links.heardAt(id) ?? -Infinity })
    // What one told of members before, or didn't, doesn't fit what it tells now.
    for (const id of sources.choose(candidates)) links.get(id)?.view.reset()
  }
  function merge(cores: Set<string>): void {
    const byNode = new Map<string, { line: MemberEntry; at: number }>()
    for (const core of cores) {
      const view = sources.has(core) ? links.get(core)?.view : undefined
      for (const [node, entry] of view?.members() ?? [])
        if (entry.at > (byNode.get(node)?.at ?? -Infinity)) byNode.set(node, entry)
    }
    // Those who tell of members may not be among the first to answer: what they told before stands until they do.
    if (byNode.size === 0) return
    members = []
    for (const { line } of byNode.values()) members.push(line)
    metrics.set('claynotch_agent_members', [], members.length)
  }
  async function ask(link: PersistentLink, epoch: number): Promise<MembersAnswer | undefined> {
    const answer = readAs(MembersAnswer, await link.ask({ t: 'members', epoch }, LEASE_RENEWAL_TIMEOUT_MS))
    return answer.ok && answer.val.ok ? answer.val : undefined
  }
  async function read(): Promise<MembersRead | undefined> {
    const quorum = links.quorum()
    const asks: { id: string; got: Promise<MembersAnswer | undefined> }[] = []
    for (const [id, { link }] of links.all()) asks.push({ id, got: ask(link, quorum.epoch) })
    const good = new Set<string>()
    const answers: MembersAnswer[] = []
    for (const { id, val } of await gatherQuorum(world, asks, quorum, isAnswered, LEASE_RENEWAL_TIMEOUT_MS)) {
      if (!val) continue
      good.add(id)
      answers.push(val)
    }
    return quorum.met(good) ? mergeAnswers(answers) : undefined
  }
  function list(): MemberEntry[] {
    return members
  }
  function dutyNodes(): string[] {
    const out: string[] = []
    for (const member of members) if (member.operator !== '') out.push(member.node)
    return out
  }
  function proxyCount(): number {
    let count = 0
    for (const member of members) if (member.proxy) count++
    return Math.max(1, count)
  }
  function peers(): Peer[] {
    const out: Peer[] = []
    for (const member of members) out.push({ node: member.node, addr: member.addr, proxy: member.proxy })
    return out
  }
  function spareCores(): CoreMember[] {
    const out: CoreMember[] = []
    for (const { core } of members) if (core?.token !== undefined && !links.get(core.id)) out.push(core)
    return out
  }
  return {
    list,
    dutyNodes,
    proxyCount,
    peers,
    spareCores,
    tellsMembers: sources.has,
    chooseSources,
    merge,
    read,
  }
}
