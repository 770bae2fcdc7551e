import t, { type Test } from 'tap'
import {
  acceptLinks,
  Err,
  makeFlag,
  makeHello,
  Ok,
  pause,
  QUOTA_METER_WINDOW_MS,
  readAs,
  RETRY_AFTER_QUOTA_S,
  type Link,
  type Result,
  type World,
} from '@claynotch/base'
import type { InstanceAdapter, InstanceConnection, RequestError, StatementResult } from '@claynotch/instance'
import { CONFIG_KEY, emptyBody, hashKey, type Config, type Tenant } from '@claynotch/operator'
import { httpAdapters, startProxy, type Proxy } from '@claynotch/proxy'
import { QuotaQuestion, type QuotaAnswer, type QuotaGrant } from '@claynotch/quota'
import { groupKey, type GroupRecord } from '@claynotch/register'
import type { Verdict } from '@claynotch/requester'
import { makeSim } from '../sim.js'
import { task } from './beside.js'

// A real proxy between a scripted agent, which answers what each tenant may run, and a plain model of a leader, which counts
// what reaches it.

const LINK = '10.0.0.1:40'
const AIM_MS = 200
const BEFORE_PLAY_MS = 600
const LEASE_LEFT_MS = 40
const KEY = 'key-of-kiln'
const FREE_KEY = 'key-of-loft'

type Leader = {
  /** ms that a connection takes. */
  dialMs: number
  /** What the next dials and statements end with, in turn; none: they succeed. */
  dialErrors: RequestError[]
  errors: RequestError[]
  statements: number
  begins: number
}
type Agent = {
  /** What a tenant may run, by name; undefined: questions are not answered. */
  allowances: Map<string, number> | undefined
  questions: QuotaQuestion[]
}
type Stage = {
  world: World
  proxy: Proxy
  leader: Leader
  agent: Agent
  /** Another configuration. */
  feed: (tenants: Tenant[]) => void
  /** The lease is renewed, or another begins. */
  renew: () => void
  open: (key: string | undefined, lane?: string) => Promise<string>
  run: (session: string, kind?: 'read' | 'write') => Promise<Verdict>
  begin: (session: string) => Promise<Verdict>
  commit: (session: string) => Promise<Verdict>
  spent: (tenant: string) => number
}

function modelLeader(leader: Leader): InstanceAdapter {
  async function open(world: World): Promise<Result<InstanceConnection, RequestError>> {
    await pause(world, leader.dialMs)
    const error = leader.dialErrors.shift()
    if (error) return Err(error)
    let isOpen = true
    async function done(): Promise<Result<StatementResult, RequestError>> {
      await pause(world, 1)
      return Ok({ rows: [], mark: { epoch: 1, position: 1 } })
    }
    async function statement(): Promise<Result<StatementResult, RequestError>> {
      leader.statements++
      const why = leader.errors.shift()
      return why ? Err(why) : await done()
    }
    async function begin(): Promise<Result<StatementResult, RequestError>> {
      leader.begins++
      return await done()
    }
    function alive(): boolean {
      return isOpen
    }
    function close(): void {
      isOpen = false
    }
    return Ok({
      statement,
      begin,
      commit: done,
      rollback: done,
      settings: done,
      shape: done,
      reset: done,
      alive,
      close,
    })
  }
  async function status(): Promise<never> {
    throw new Error('nobody asks')
  }
  return { exact: false, named: false, idle: 45000, open, status }
}

function tenantsOf(keyOwner: string): Tenant[] {
  return [
    { name: keyOwner, keys: [hashKey(KEY)], rate: 2, burst: 5 },
    { name: 'loft', keys: [hashKey(FREE_KEY)] },
  ]
}

type Play = (c: Test, stage: Stage) => Promise<void>

/** leaseMs: of the lease that it begins with, of which BEFORE_PLAY_MS are over when the play begins. */
function onStage(play: Play, leaseMs = 60000): (c: Test) => Promise<void> {
  async function run(c: Test): Promise<void> {
    const sim = makeSim(5)
    async function inWorld(world: World): Promise<void> {
      const leader: Leader = { dialMs: 1, dialErrors: [], errors: [], statements: 0, begins: 0 }
      const agent: Agent = { allowances: new Map([['kiln', 3]]), questions: [] }
      await playOn(c, world, leader, agent, play, leaseMs)
    }
    await task(sim, sim.machine('m', '10.0.0.1'), inWorld)
  }
  return run
}
async function playOn(c: Test, world: World, leader: Leader, agent: Agent, play: Play, leaseMs: number): Promise<void> {
  let up: Link | undefined
  function serve(_peer: unknown, link: Link) {
    up = link
    function take(message: unknown): QuotaAnswer | undefined {
      const question = readAs(QuotaQuestion, message)
      if (question.err) return undefined
      agent.questions.push(question.val)
      const grants: QuotaGrant[] = []
      for (const [tenant] of question.val.lines) grants.push([tenant, agent.allowances?.get(tenant) ?? 0])
      return agent.allowances ? { ok: true, grants } : undefined
    }
    return take
  }
  await world.listen(LINK, acceptLinks(world, makeHello('agent', 'n1'), serve))
  const set = { listen: '10.0.0.1:41', admin: '10.0.0.1:42', agent: LINK }
  const proxy = await startProxy(world, set, { ...httpAdapters, instance: modelLeader(leader) })
  let turn = 0
  function feed(tenants: Tenant[], forMs = 60000): void {
    turn++
    tell(tenants, forMs)
  }
  function renew(): void {
    tell(tenantsOf('kiln'), 60000)
  }
  function tell(tenants: Tenant[], forMs: number): void {
    const lane = { group: 'g', database: 'd', reads: 'leader' as const, aim: AIM_MS }
    const config: Config = {
      proxies: 'live',
      groups: [{ name: 'g', connections: 9 }],
      lanes: [
        { ...lane, name: 'l' },
        { ...lane, name: 'open', public: true },
      ],
      tenants,
    }
    const record: GroupRecord = { epoch: 1, phase: 'steady', holder: 'n1', fence: 1, leader: 'i1', addr: '10.0.0.9:1' }
    const until = world.now() + 60000
    up?.tell({
      t: 'feed',
      node: 'n1',
      area: 'x',
      moving: [],
      leaving: [],
      tries: [],
      live: 1,
      cells: [
        { key: CONFIG_KEY, turn, until: world.now() + forMs, body: { ...emptyBody(), epoch: turn, config } },
        { key: groupKey('g'), turn: 1, until, body: record },
      ],
      sights: [
        { name: 'i1', group: 'g', addr: '10.0.0.9:1', area: 'x', role: 'leader', leaving: false, gone: 0, age: 0 },
      ],
    })
  }
  async function open(key: string | undefined, lane = 'l'): Promise<string> {
    const body = { lane, ...(key === undefined ? {} : { key }) }
    return (await proxy.sessions.run({ w: 'open', body }, 5000, makeFlag())).session as string
  }
  async function run(session: string, kind: 'read' | 'write' = 'write'): Promise<Verdict> {
    return await proxy.sessions.run({ w: 'statement', session, body: { kind, text: 'x' } }, 5000, makeFlag())
  }
  async function begin(session: string): Promise<Verdict> {
    return await proxy.sessions.run({ w: 'begin', session, body: { kind: 'write' } }, 5000, makeFlag())
  }
  async function commit(session: string): Promise<Verdict> {
    return await proxy.sessions.run({ w: 'commit', session }, 5000, makeFlag())
  }
  function spent(tenant: string): number {
    return proxy.metrics.get('claynotch_quota_spent_total', [['tenant', tenant]])
  }
  await pause(world, 100)
  feed(tenantsOf('kiln'), leaseMs)
  await pause(world, BEFORE_PLAY_MS)
  await play(c, { world, proxy, leader, agent, feed, renew, open, run, begin, commit, spent })
  await proxy.stop()
}

async function counted(c: Test, { world, leader, open, run, begin, commit, spent }: Stage): Promise<void> {
  const session = await open(KEY)
  c.equal((await run(session)).outcome, 'done')
  c.equal((await begin(session)).outcome, 'done')
  for (let k = 0; k < 5; k++) c.equal((await run(session)).outcome, 'done', 'a statement in a transaction is free')
  c.equal((await commit(session)).outcome, 'done')
  c.equal((await run(session, 'read')).outcome, 'done')
  const from = world.now()
  const refused = await run(session)
  c.match(refused, { outcome: 'refused', class: 'RESOURCE_EXHAUSTED', kept: 'nothing', again: true })
  c.equal(refused.after, RETRY_AFTER_QUOTA_S)
  c.ok(world.now() - from < 20, 'it is refused as soon as the holder has said no')
  c.match(await begin(session), { outcome: 'refused', class: 'RESOURCE_EXHAUSTED' })
  c.equal(leader.statements + leader.begins, 3 + 5)
  c.equal(spent('kiln'), 3)
  await pause(world, QUOTA_METER_WINDOW_MS)
  c.equal((await run(session)).outcome, 'done', 'the window is over')
}
async function uncounted(c: Test, { agent, open, run }: Stage): Promise<void> {
  agent.allowances = undefined
  const free = await open(FREE_KEY)
  const anyone = await open(undefined, 'open')
  for (let k = 0; k < 10; k++) {
    c.equal((await run(free)).outcome, 'done')
    c.equal((await run(anyone)).outcome, 'done')
  }
  for (const { lines } of agent.questions) c.strictSame(lines, [])
}
async function unanswered(c: Test, { world, agent, leader, open, run }: Stage): Promise<void> {
  agent.allowances = undefined
  const session = await open(KEY)
  const from = world.now()
  c.match(await run(session), { outcome: 'refused', class: 'RESOURCE_EXHAUSTED' })
  c.ok(world.now() - from <= AIM_MS + 5, 'it waits no longer than the route aims at')
  c.equal(leader.statements, 0)
}
async function retried(c: Test, { leader, open, run, spent }: Stage): Promise<void> {
  const session = await open(KEY)
  leader.errors.push({ reach: 'answered', class: 'UNAVAILABLE', transient: true, why: 'busy' })
  c.equal((await run(session, 'read')).outcome, 'done')
  c.equal(leader.statements, 2)
  c.equal(spent('kiln'), 2)
}
async function notSent(c: Test, { agent, leader, open, run, spent }: Stage): Promise<void> {
  agent.allowances = new Map([['kiln', 1]])
  const session = await open(KEY)
  leader.dialErrors.push({ reach: 'none', class: 'INVALID_ARGUMENT', transient: false, why: 'no such service' })
  c.match(await run(session), { outcome: 'refused', class: 'INVALID_ARGUMENT' })
  c.equal(spent('kiln'), 0)
  c.equal((await run(session)).outcome, 'done', 'what was not sent is free again')
  c.equal((await run(session)).outcome, 'refused')
}
async function lapsed(c: Test, { world, agent, leader, renew, open, run, begin, spent }: Stage): Promise<void> {
  c.equal((await begin(await open(KEY))).outcome, 'done')
  const session = await open(KEY)
  leader.dialMs = 80
  const running = run(session)
  await pause(world, LEASE_LEFT_MS)
  agent.allowances = new Map([['kiln', 0]])
  renew()
  c.match(await running, { outcome: 'refused', class: 'RESOURCE_EXHAUSTED' })
  c.equal(leader.statements, 0, 'what was granted under the lease before is others’ now')
  c.equal(spent('kiln'), 1)
}
async function otherOwner(c: Test, { world, agent, leader, feed, open, run, spent }: Stage): Promise<void> {
  agent.allowances = new Map([
    ['kiln', 1],
    ['barn', 1],
  ])
  const session = await open(KEY)
  leader.dialMs = 80
  const running = run(session)
  await pause(world, 30)
  feed(tenantsOf('barn'))
  c.equal((await running).outcome, 'done')
  c.equal(spent('kiln'), 0)
  c.equal(spent('barn'), 1)
  c.equal((await run(session)).outcome, 'refused')
  feed(tenantsOf('kiln'))
  await pause(world, 20)
  c.equal((await run(session)).outcome, 'done', 'what it had reserved is free again')
}

void t.test('a statement or a transaction of a tenant at its limit is sent', onStage(counted))
void t.test('a tenant without a rate, or a client without a key, waits for an allowance', onStage(uncounted))
void t.test('a call waits for long where the agent does not answer', onStage(unanswered))
void t.test('a retry is not counted', onStage(retried))
void t.test('what was reserved and not sent stays taken', onStage(notSent))
void t.test(
  'what was reserved before the lease lapsed is sent after it',
  onStage(lapsed, BEFORE_PLAY_MS + LEASE_LEFT_MS - 10),
)
void t.test('what runs for a tenant is counted against the one that had its key before', onStage(otherOwner))
