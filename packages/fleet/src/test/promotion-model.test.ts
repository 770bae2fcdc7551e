import t, { type Test } from 'tap'
import fc from 'fast-check'
import { makeReplicatedGroup, type ReplicatedGroup } from './replicated-group.js'

// Drawn schedules of commits, crashes, losses, returns, departures and partitions of one group with synchronous commits. Safe:
// whoever is promoted holds every acknowledged commit. Live: once all that crashed are back, the group is led, whoever was lost
// for good, as long as the leader's log is somewhere.

t.setTimeout(600000)

const NAMES = ['i-1', 'i-2', 'i-3', 'i-4']

type Step =
  | { kind: 'commit'; receivers: number; times: number }
  | { kind: 'crash' | 'lose' | 'restart' | 'busy' | 'cut' | 'leave' | 'signOff' | 'replace'; which: number }
  | { kind: 'calm'; ms: number }

const which = fc.nat({ max: NAMES.length - 1 })
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('commit' as const),
      receivers: fc.nat({ max: 15 }),
      times: fc.integer({ min: 1, max: 3 }),
    }),
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('crash' as const), which }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lose' as const), which }) },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'restart' as const,
        'busy' as const,
        'cut' as const,
        'leave' as const,
        'signOff' as const,
        'replace' as const,
      ),
      which,
    }),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('calm' as const), ms: fc.constantFrom(50, 700, 3000, 9000) }) },
)

/** Of one schedule. lost: the names of those that never come back, nor their logs. */
type Course = { next: number; lost: Set<string> }

function apply(group: ReplicatedGroup, course: Course, what: Exclude<Step, { kind: 'calm' }>): void {
  if (what.kind === 'commit') {
    const receivers: string[] = []
    for (const [k, name] of [...group.instances.keys()].entries())
      if ((what.receivers >> k) % 2 === 1) receivers.push(name)
    for (let k = 0; k < what.times; k++) group.commit(receivers)
    return
  }
  const names = [...group.instances.keys()]
  const name = names[what.which % names.length]
  const instance = group.instances.get(name)!
  switch (what.kind) {
    case 'crash':
      if (instance.isUp) group.crash(name)
      return
    case 'lose':
      // One that ended has passed its log on.
      if (instance.hasSignedOff) return
      if (instance.isUp) group.crash(name)
      course.lost.add(name)
      return
    case 'restart':
      if (!instance.isUp && !instance.hasSignedOff && !course.lost.has(name)) group.restart(name)
      return
    case 'busy':
      instance.isBusy = !instance.isBusy
      return
    case 'cut':
      instance.isCutOff = !instance.isCutOff
      instance.silentSince = group.sim.now()
      return
    case 'leave':
      instance.isLeaving = true
      return
    case 'signOff':
      // Some say beforehand that they leave, some don't.
      if (!instance.isUp) return
      instance.hasSignedOff = true
      group.crash(name)
      return
    case 'replace':
      // Only one that has ended gives its address and its log to another.
      if (!instance.hasSignedOff || isTaken(group, instance.addr, name)) return
      group.add(`i-${++course.next}`, instance.addr, instance.position).term = instance.term
  }
}

function isTaken(group: ReplicatedGroup, addr: string, name: string): boolean {
  for (const one of group.instances.values())
    if (one.addr === addr && one.name !== name && !one.hasSignedOff) return true
  return false
}

/** Everyone but the lost is there again: those that ended are replaced with their logs. */
function healAll(group: ReplicatedGroup, course: Course): void {
  for (const [name, one] of [...group.instances]) {
    one.isBusy = false
    one.isCutOff = false
    if (course.lost.has(name)) continue
    if (one.hasSignedOff) apply(group, course, { kind: 'replace', which: [...group.instances.keys()].indexOf(name) })
    else if (!one.isUp) group.restart(name)
  }
}

/** Whether the log of the last leader is lost: nobody who is left need have every acknowledged commit then. */
function isLeadersLogLost(group: ReplicatedGroup, { lost }: Course): boolean {
  const last = group.instances.get(group.promotions.at(-1)?.name ?? NAMES[0])!
  for (const name of lost) if (group.instances.get(name)!.addr === last.addr) return true
  return false
}

async function play(steps: Step[]): Promise<string | undefined> {
  const group = makeReplicatedGroup(1, NAMES)
  const course: Course = { next: NAMES.length, lost: new Set() }
  await group.begin()
  for (const what of steps) {
    if (what.kind === 'calm') await group.wait(what.ms)
    else apply(group, course, what)
  }
  healAll(group, course)
  await group.wait(40000)
  for (const { name, position, acknowledged } of group.promotions)
    if (position < acknowledged) return `${name} leads with ${position} of ${acknowledged} acknowledged commits`
  if (isLeadersLogLost(group, course) && course.lost.size > 1) return undefined
  if (group.leader() === undefined) return `nobody leads; the record: ${JSON.stringify(group.record())}`
  return undefined
}

async function drawn(c: Test): Promise<void> {
  const runs = Number(process.env.RUNS ?? 400)
  const seed = Number(process.env.SEED ?? 38)
  let schedules = 0
  async function holds(steps: Step[]): Promise<void> {
    schedules++
    const finding = await play(steps)
    if (finding !== undefined) throw new Error(finding)
  }
  const property = fc.asyncProperty(fc.array(step, { minLength: 3, maxLength: 40 }), holds)
  const result = await fc.check(property, { numRuns: runs, seed })
  c.notOk(result.failed, result.failed ? String(fc.defaultReportMessage(result)) : `${schedules} schedules`)
}

void t.test('promotions with synchronous commits, against a plain model', drawn)
