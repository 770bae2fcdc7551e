import t, { type Test } from 'tap'
import {
  makeCoreView,
  makeChangeTable,
  type RegisterSummary,
  type MemberEntry,
  type CoreView,
  type LeaseRenewalAnswer,
  type InstanceStatus,
} from '@claynotch/register'
import type { World } from '@claynotch/base'
import { makeSimFleet, smallShape } from '../simfleet.js'
import { makeRandom, makeSim } from '../sim.js'

t.setTimeout(300000)

// The slow plain model of a picture is a copy of all that the core held when it wrote the answer.
type Plain = {
  keys: Map<string, RegisterSummary>
  members: Map<string, MemberEntry>
  sights: Map<string, InstanceStatus>
}
type Model = {
  answer: (core: string, count: number) => { got: LeaseRenewalAnswer; plain: Plain }
  change: () => void
  restart: () => void
}

function makeModel(random: () => number): Model {
  let lives = 0
  let life = ''
  let count = { at: 0 }
  let keys = new Map<string, RegisterSummary>()
  let members = new Map<string, MemberEntry>()
  let sights = new Map<string, InstanceStatus>()
  let tables = makeTables()
  function makeTables() {
    count = { at: 0 }
    return {
      keys: makeChangeTable<RegisterSummary>(count, JSON.stringify),
      members: makeChangeTable<MemberEntry>(count, JSON.stringify),
      sights: makeChangeTable<InstanceStatus>(count, signSight),
    }
  }
  function signSight(s: InstanceStatus): string {
    return `${s.role} ${s.leaving}`
  }
  function restart(): void {
    life = `life${++lives}`
    keys = new Map()
    members = new Map()
    sights = new Map()
    tables = makeTables()
  }
  function pick(list: string[]): string {
    return list[Math.floor(random() * list.length)]
  }
  const names = ['a', 'b', 'c', 'd', 'e']
  function change(): void {
    const r = random()
    const name = pick(names)
    if (r < 0.3)
      keys.set(name, {
        key: name,
        ballot: [(keys.get(name)?.ballot[0] ?? 0) + 1, 'p'],
        turn: 1,
        chosen: random() < 0.5,
      })
    else if (r < 0.45)
      members.set(name, {
        node: name,
        life: `${Math.floor(random() * 3)}`,
        area: 'z',
        addr: 'x',
        operator: '',
        build: '1',
        proxy: random() < 0.5,
      })
    else if (r < 0.6) members.delete(name)
    else if (r < 0.85)
      sights.set(name, {
        name,
        group: 'g',
        addr: 'x',
        area: 'z',
        role: random() < 0.5 ? 'leader' : 'follower',
        leaving: random() < 0.2,
        age: 0,
      })
    else sights.delete(name)
  }
  function answer(core: string, from: number): { got: LeaseRenewalAnswer; plain: Plain } {
    tables.keys.update(keys)
    tables.members.update(members)
    tables.sights.update(sights)
    const since = core === life && from >= Math.max(tables.members.least(), tables.sights.least()) ? from : 0
    const m = tables.members.since(since)
    const s = tables.sights.since(since)
    const got = {
      ok: true,
      core: life,
      since,
      count: count.at,
      keys: tables.keys.since(since).lines,
      members: m.lines,
      left: m.gone,
      sights: s.lines,
      lost: s.gone,
    }
    return { got, plain: { keys: new Map(keys), members: new Map(members), sights: new Map(sights) } }
  }
  restart()
  return { answer, change, restart }
}
function show(p: Plain): string {
  const out: string[] = []
  for (const k of p.keys.values()) out.push(`${k.key} ${k.ballot[0]} ${k.chosen}`)
  for (const m of p.members.values()) out.push(`${m.node} ${m.life} ${m.proxy}`)
  for (const s of p.sights.values()) out.push(`${s.name} ${s.role} ${s.leaving}`)
  return out.sort().join()
}
function showPicture(p: CoreView): string {
  const members = new Map<string, MemberEntry>()
  for (const [node, one] of p.members()) members.set(node, one.line)
  const sights = new Map<string, InstanceStatus>()
  for (const [name, one] of p.instances()) sights.set(name, one.status)
  return show({ keys: p.registers(), members, sights })
}

// Answers are lost, come late or twice, and the core is restarted: a picture that takes an answer is as the core was.
async function againstModel(c: Test): Promise<void> {
  for (let seed = 1; seed <= 40; seed++) {
    const random = makeRandom(seed)
    const model = makeModel(random)
    let wrong = 0
    let took = 0
    async function run(world: World): Promise<void> {
      const picture = makeCoreView(world)
      // The newest state that the picture must show, by the count of its life; refused answers change nothing.
      let shown = ''
      let late: { got: LeaseRenewalAnswer; asked: string } | undefined
      for (let step = 0; step < 400; step++) {
        for (let k = Math.floor(random() * 3); k > 0; k--) model.change()
        if (random() < 0.03) model.restart()
        const one = { ...model.answer(picture.core(), picture.count()), asked: picture.core() }
        const r = random()
        if (r < 0.2) continue
        if (r < 0.3) {
          late = one
          continue
        }
        if (picture.take(one.got, one.asked)) {
          took++
          shown = show(one.plain)
        } else wrong++
        if (showPicture(picture) !== shown) wrong++
        // One that was held up, be it of an older life, takes nothing back.
        if (late && random() < 0.5) {
          picture.take(late.got, late.asked)
          if (showPicture(picture) !== shown) wrong++
          late = undefined
        }
      }
    }
    const sim = makeSim(seed)
    sim.spawn(sim.machine('m', '10.0.0.1'), 'p', run)
    await sim.run(5000)
    c.ok(wrong === 0 && took > 200, `seed ${seed}: ${took} answers taken, ${wrong} wrong`)
  }
}

type Listed = { name: string; instances: { name: string; role: string; leaving: boolean; age: number }[] }[]
async function listed(f: ReturnType<typeof makeSimFleet>, front: number): Promise<string[]> {
  const got = f.ask(front, '/groups')
  await f.sim.until(got.done, 5000)
  const out: string[] = []
  for (const g of (got.body() as Listed | undefined) ?? [])
    for (const one of g.instances) out.push(`${one.name}${one.leaving ? ' leaving' : ''}`)
  return out.sort()
}
// An instance that went dark is forgotten by every agent, not before its time; cores that restart are told all again.
async function expire(c: Test): Promise<void> {
  const f = makeSimFleet(3, smallShape())
  c.ok(await f.begin())
  await f.sim.run(f.sim.now() + 4000)
  for (const k of f.fronts.keys()) c.strictSame(await listed(f, k), ['g11', 'g12', 'g13'], `all at front ${k}`)
  for (const k of f.cores.keys()) {
    f.sim.kill(f.cores[k].proc)
    f.startCoreAt(k)
    await f.sim.run(f.sim.now() + 3500)
  }
  for (const k of f.fronts.keys())
    c.strictSame(await listed(f, k), ['g11', 'g12', 'g13'], `all at front ${k} after the cores restarted in turn`)
  const from = f.sim.now()
  f.killInstance(2)
  await f.sim.run(from + 1500)
  for (const k of f.fronts.keys()) c.equal((await listed(f, k)).length, 3, `not yet forgotten at front ${k}`)
  await f.sim.run(from + 3500 + 1500)
  for (const k of f.fronts.keys()) c.strictSame(await listed(f, k), ['g11', 'g12'], `forgotten at front ${k}`)
}

void t.test('a picture is what the core held', againstModel)
void t.test('sights live while their instance is heard, at every agent', expire)
