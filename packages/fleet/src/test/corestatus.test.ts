import fc from 'fast-check'
import t, { type Test } from 'tap'
import { startCoreMachine } from '@claynotch/claynotch'
import { makeMarginWatch } from '@claynotch/agent'
import { requestOnce, pause, type World } from '@claynotch/base'
import { checkCores, formatCoreSetStatus, type CoreSetStatus } from '@claynotch/operator'
import { tolerableLosses, quorumOf, votersOf, type CoreMember, type CoreSet, type CoreState } from '@claynotch/register'
import { makeSim, type Machine, type Proc } from '../sim.js'

t.setTimeout(600000)

// What operators are told of the core set, and how many more losses it bears.

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f', 'g']
function placesOf(ids: string[]): CoreMember[] {
  const out: CoreMember[] = []
  for (const id of ids) out.push({ id, addr: `${id}:1` })
  return out
}
function setOf(cores: string[], next?: string[], epoch = 4): CoreSet {
  return { epoch, cores: placesOf(cores), ...(next ? { next: placesOf(next) } : {}) }
}

// The plain model: every choice of so many of the voting cores is tried.
function bornePlainly(set: CoreSet, voting: string[]): number {
  const { met } = quorumOf(set)
  if (!met(new Set(voting))) return -1
  let most = voting.length
  for (let mask = 0; mask < 1 << voting.length; mask++) {
    const left = new Set<string>()
    for (const [k, id] of voting.entries()) if ((mask & (1 << k)) === 0) left.add(id)
    if (!met(left)) most = Math.min(most, voting.length - left.size - 1)
  }
  return most
}
function margins(c: Test): void {
  const some = fc.subarray(NAMES, { minLength: 1 })
  function holds(cores: string[], next: string[] | undefined, voting: string[]): void {
    const set = setOf(cores, next)
    const ids = new Set<string>()
    for (const v of votersOf(set)) if (voting.includes(v.id)) ids.add(v.id)
    c.equal(tolerableLosses(set, ids), bornePlainly(set, [...ids]))
  }
  fc.assert(fc.property(some, fc.option(some, { nil: undefined }), fc.subarray(NAMES), holds), {
    numRuns: 3000,
    seed: 19,
  })
  c.equal(tolerableLosses(setOf(['a', 'b', 'c']), new Set(['a', 'b', 'c'])), 1)
  c.equal(tolerableLosses(setOf(['a', 'b', 'c']), new Set(['a', 'b'])), 0)
  c.equal(tolerableLosses(setOf(['a', 'b', 'c']), new Set(['a'])), -1)
  c.equal(
    tolerableLosses(setOf(['a', 'b', 'c'], ['b', 'c', 'd']), new Set(['a', 'b', 'c'])),
    0,
    'the half that is joining',
  )
}

function stateOf(id: string, set: CoreSet, serving: boolean): [string, CoreState] {
  return [id, { t: 'state', id, phase: 'founded', serving, cores: [], set, hears: [] }]
}
// One line for each change of state, none for a beat that finds the same.
async function said(c: Test): Promise<void> {
  const sim = makeSim(1, { keepLines: true })
  const set = setOf(['a', 'b', 'c'])
  const older = setOf(['a', 'b', 'c'], undefined, 3)
  const all = new Map([stateOf('a', set, true), stateOf('b', set, true), stateOf('c', set, true)])
  const two = new Map([stateOf('a', set, true), stateOf('b', set, true), stateOf('c', set, false)])
  const behind = new Map([stateOf('a', set, true), stateOf('b', set, true), stateOf('c', older, true)])
  const one = new Map([stateOf('a', set, true)])
  async function run(world: World): Promise<void> {
    const watch = makeMarginWatch(world, 'n')
    for (const states of [all, all, two, behind, one, two, all, all, behind]) watch(set, states)
    await pause(world, 1)
  }
  sim.spawn(sim.machine('m', '10.0.0.1'), 'n', run)
  await sim.run(sim.now() + 100)
  const lines: string[] = []
  for (const l of sim.lines) lines.push(l.includes('next-loss-leaves-no-quorum') ? 'short' : 'borne')
  c.strictSame(lines, ['short', 'borne', 'short'], sim.lines.join('\n'))
  c.match(sim.lines[0], /next-loss-leaves-no-quorum.*voting=2.*of=3/)
}

function findings(c: Test): void {
  function status(cores: CoreSetStatus['cores'], more: Partial<CoreSetStatus> = {}): CoreSetStatus {
    return { epoch: 4, changing: false, quorum: true, lossesBorne: 1, cores, spares: [], ...more }
  }
  function voting(ids: string[]): CoreSetStatus['cores'] {
    const out: CoreSetStatus['cores'] = []
    for (const id of ids) out.push({ id, addr: `${id}:1`, part: 'votes', state: 'voting', epoch: 4 })
    return out
  }
  function whats(s: CoreSetStatus): string {
    const out: string[] = []
    for (const f of checkCores(s)) out.push(`${f.place}: ${f.what}`)
    return out.join('; ')
  }
  c.equal(whats(status(voting(['a', 'b', 'c']))), '')
  c.match(whats(status(voting(['a', 'b', 'c', 'd']))), /4 of them bear no more losses than 3/)
  c.match(whats(status(voting(['a', 'b']))), /fewer than 3/)
  c.match(whats(status(voting(['a']))), /fewer than 3/)
  const short = status([...voting(['a', 'b']), { id: 'c', addr: 'c:1', part: 'votes', state: 'refilling', epoch: 4 }], {
    lossesBorne: 0,
  })
  c.match(whats(short), /core c: doesn't vote now: refilling; cores: the next loss leaves no quorum/)
  c.match(whats({ ...short, quorum: false }), /nothing is decided/)
  c.match(formatCoreSetStatus(short), /losses borne now: 0/)
  c.match(formatCoreSetStatus(short), /c {2}c:1 {2}votes {2}refilling/)
}

// Real core machines: what one agent tells, as voters go and come.
async function told(c: Test): Promise<void> {
  const sim = makeSim(5, { keepLines: true })
  const boxes: { machine: Machine; proc: Proc }[] = []
  const seeds = ['10.0.1.1:8000', '10.0.1.2:8000', '10.0.1.3:8000']
  function start(machine: Machine, k: number, first: boolean): Proc {
    async function run(world: World): Promise<void> {
      const ip = `10.0.1.${k + 1}`
      await startCoreMachine(world, {
        node: `core${k}`,
        area: 'a',
        link: `${ip}:7000`,
        peer: `${ip}:7002`,
        http: `${ip}:8000`,
        seeds,
        first,
        data: '/d',
      })
    }
    return sim.spawn(machine, `core${k}`, run)
  }
  for (let k = 0; k < 3; k++) {
    const machine = sim.machine(`core${k}`, `10.0.1.${k + 1}`)
    boxes.push({ machine, proc: start(machine, k, true) })
  }
  const got: string[] = []
  let over = false
  async function run(world: World): Promise<void> {
    async function read(at: string): Promise<string> {
      const answer = await requestOnce(world, at, 'GET', '/cores', undefined, 3000)
      if (answer.err || answer.val.status !== 200) return `${answer.err ? answer.val.why : answer.val.status}`
      const s = answer.val.body as CoreSetStatus
      const states: string[] = []
      for (const line of s.cores) states.push(line.state)
      return `${states.sort().join(' ')}, ${s.quorum ? `bears ${s.lossesBorne}` : 'no quorum'}`
    }
    await pause(world, 8000)
    got.push(await read(seeds[0]))
    sim.kill(boxes[2].proc)
    await pause(world, 500)
    got.push(await read(seeds[0]))
    sim.kill(boxes[1].proc)
    await pause(world, 500)
    got.push(await read(seeds[0]))
    boxes[1].proc = start(boxes[1].machine, 1, false)
    boxes[2].machine.files.clear()
    boxes[2].proc = start(boxes[2].machine, 2, false)
    await pause(world, 8000)
    got.push(await read(seeds[0]), await read(seeds[2]))
    over = true
  }
  sim.spawn(sim.machine('desk', '10.0.9.1'), 'desk', run)
  function isOver(): boolean {
    return over
  }
  c.ok(await sim.until(isOver, 60000))
  c.strictSame(got, [
    'voting voting voting, bears 1',
    'silent voting voting, bears 0',
    'silent silent voting, no quorum',
    'voting voting voting, bears 1',
    'voting voting voting, bears 1',
  ])
}

function sync(run: (c: Test) => void): (c: Test) => Promise<void> {
  async function go(c: Test): Promise<void> {
    run(c)
  }
  return go
}
void t.test('losses borne: against every choice of them', sync(margins))
void t.test('the next loss leaves no quorum: said once per change of state', said)
void t.test('cores: what a check finds, and the text of it', sync(findings))
void t.test('GET /cores: as voters go and come', told)
