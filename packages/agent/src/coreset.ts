import {
  CORE_GONE,
  CORE_JOIN,
  CORESET_BEAT,
  loop,
  readAs,
  ROUND_LIFE,
  type Flag,
  type Held,
  type World,
} from '@claynotch/base'
import { holderOf } from '@claynotch/duty'
import {
  CoreSet,
  CORESET_KEY,
  gather,
  quorumOf,
  votersOf,
  type CorePlace,
  type Proposer,
  type Settled,
  type State,
  type Value,
} from '@claynotch/register'

// The duty for the core set: docs/design/coreset.md. A voter that nobody hears is replaced by a spare, in two changes of the
// register CORESET_KEY with a sweep between them. Each step goes by what the register says, so another holder goes on from there.
// core: a voter's link and when it was last heard, at the earliest when its set was taken here.
export type CoreSetView = {
  node: string
  proposer: Proposer
  termUntil: () => number
  live: () => string[]
  learned: (key: string, value: Value, ballot: [number, string]) => void
  coreSet: () => { set: CoreSet; since: number }
  core: (id: string) => { held: Held; heard: number } | undefined
  spares: () => CorePlace[]
}

export function startCoreSetDuty(world: World, view: CoreSetView, stop: Flag): void {
  // tried: spares that did not begin to vote, with the time they were given up; lost with this process, and then tried again.
  const tried = new Map<string, number>()

  async function askStates(set: CoreSet): Promise<Map<string, State>> {
    async function ask(id: string): Promise<State | undefined> {
      return (await view.core(id)?.held.ask({ t: 'state' }, ROUND_LIFE)) as State | undefined
    }
    const ids: string[] = []
    const asks: Promise<State | undefined>[] = []
    for (const c of votersOf(set)) {
      ids.push(c.id)
      asks.push(ask(c.id))
    }
    const got = await Promise.all(asks)
    const out = new Map<string, State>()
    for (const [k, id] of ids.entries()) {
      const s = got[k]
      if (s?.set.epoch === set.epoch) out.set(id, s)
    }
    return out
  }
  // Under the set it comes from, and nothing where that is no longer the last one.
  async function propose(from: CoreSet, next: CoreSet): Promise<Settled> {
    function edit(now: Value | undefined): { body: unknown; tag: string } | undefined {
      const last = now ? readAs(CoreSet, now.body) : undefined
      const epoch = last?.ok ? last.val.epoch : 0
      return epoch === from.epoch ? { body: next, tag: `${view.node}~${next.epoch}~${world.now()}` } : undefined
    }
    const got = await view.proposer.change(CORESET_KEY, edit)
    if (got.done && got.value) view.learned(CORESET_KEY, got.value, got.ballot)
    return got
  }
  // One voter in place of another, never while those that stay are no majority by themselves.
  async function replace(set: CoreSet): Promise<void> {
    const now = world.now()
    const gone = set.cores.find(isGone)
    function isGone(c: CorePlace): boolean {
      return now - (view.core(c.id)?.heard ?? now) > CORE_GONE
    }
    if (!gone) return
    const spares = view.spares().sort(byTried)
    function byTried(a: CorePlace, b: CorePlace): number {
      return (tried.get(a.id) ?? -1) - (tried.get(b.id) ?? -1) || (a.id < b.id ? -1 : 1)
    }
    const spare = spares[0]
    if (!spare) return
    const well = new Set<string>()
    for (const [id, s] of await askStates(set)) {
      if (id === gone.id || s.hears.includes(gone.id)) return
      if (s.serving) well.add(id)
    }
    if (!quorumOf(set).met(well)) return
    const next: CorePlace[] = []
    for (const c of set.cores) next.push(c.id === gone.id ? spare : c)
    const got = await propose(set, { epoch: set.epoch + 1, cores: set.cores, next })
    world.log.info('core-replacing', {
      node: view.node,
      epoch: set.epoch + 1,
      gone: gone.id,
      spare: spare.id,
      done: got.done,
    })
  }
  // Every register, as it was chosen under older sets, at a quorum of the joint one: each that may decide later has one of it.
  async function sweep(set: CoreSet): Promise<boolean> {
    type Keys = { ok?: boolean; keys: string[] } | undefined
    const quorum = quorumOf(set)
    function isOk(k: Keys): boolean {
      return k?.ok === true
    }
    const asks: { id: string; got: Promise<Keys> }[] = []
    for (const c of votersOf(set)) {
      const held = view.core(c.id)?.held
      if (held) asks.push({ id: c.id, got: held.ask({ t: 'keys', epoch: set.epoch }, ROUND_LIFE) as Promise<Keys> })
    }
    const good = new Set<string>()
    const keys = new Set<string>()
    for (const { id, val } of await gather(world, asks, quorum, isOk, ROUND_LIFE)) {
      if (!isOk(val)) continue
      good.add(id)
      for (const key of val!.keys) keys.add(key)
    }
    if (!quorum.met(good)) return false
    for (const key of keys) {
      const got = await view.proposer.look(key)
      if (!got.done) return false
    }
    return true
  }
  // The joint set ends in the next one once that one's voters all vote, or in the one before it where a newcomer doesn't come.
  async function finish(set: CoreSet, next: CorePlace[], since: number): Promise<void> {
    const states = await askStates(set)
    const missing = next.find(isMissing)
    function isMissing(c: CorePlace): boolean {
      return !isOld(c) && states.get(c.id)?.serving !== true
    }
    function isOld(c: CorePlace): boolean {
      return set.cores.some(isIt)
      function isIt(o: CorePlace): boolean {
        return o.id === c.id
      }
    }
    if (missing && world.now() - since < CORE_JOIN) return
    if (!(await sweep(set))) return
    // Swept under this very set, or not at all.
    if (view.coreSet().set.epoch !== set.epoch) return
    if (missing) tried.set(missing.id, world.now())
    const got = await propose(set, { epoch: set.epoch + 1, cores: missing ? set.cores : next })
    world.log.info('core-replaced', { node: view.node, epoch: set.epoch + 1, calledOff: missing?.id, done: got.done })
  }
  async function look(): Promise<void> {
    if (world.now() >= view.termUntil() || holderOf(CORESET_KEY, view.live()) !== view.node) return
    const { set, since } = view.coreSet()
    if (set.cores.length === 0) return
    if (set.next) await finish(set, set.next, since)
    else await replace(set)
  }
  void loop(world, 'core-set-duty', CORESET_BEAT, stop, look)
}
