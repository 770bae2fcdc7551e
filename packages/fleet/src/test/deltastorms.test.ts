import t, { type Test } from 'tap'
import { readRecords } from '@claynotch/base'
import { makeSimFleet, smallShape, type Shape, type SimFleet } from '../simfleet.js'

t.setTimeout(600000)

// Whole fleets through hundreds to thousands of changes: docs/design/control-safety.md, 4. The parts are in deltas.test.ts.

// The fleet of a day's storm: nine fronts and five cores in four areas, an agent beside each core.
function stormShape(): Shape {
  const small = smallShape()
  const config = { ...small.config, proxies: 'live' as const }
  return { ...small, config, fronts: 9, areas: ['a', 'b', 'c', 'd'], coreAgents: true, requesters: 0 }
}
function areaOf(f: SimFleet, machine: string): string | undefined {
  for (const [k, one] of f.fronts.entries())
    if (one.machine.name === machine) return f.shape.areas[k % f.shape.areas.length]
  for (const [k, one] of f.cores.entries())
    if (one.machine.name === machine) return f.shape.areas[k % f.shape.areas.length]
  return undefined
}
function betweenAreas(f: SimFleet): number {
  let out = 0
  for (const [from, list] of f.sim.bytesSent()) {
    for (const [to, bytes] of list) {
      const a = areaOf(f, from)
      const b = areaOf(f, to)
      if (a !== undefined && b !== undefined && a !== b) out += bytes
    }
  }
  return out
}
function frontUp(f: SimFleet, k: number): number {
  for (let n = 0; n < f.fronts.length; n++) {
    const at = (k + n) % f.fronts.length
    if (f.fronts[at].agent && f.fronts[at].agentProc.state === 'up') return at
  }
  return 0
}
// One change after the other, each named by its epoch and told until it is decided, with a pause between.
async function storm(
  f: SimFleet,
  from: number,
  count: number,
  gap: number,
  told?: (k: number) => void,
): Promise<number> {
  let epoch = from
  for (let k = 0; k < count; k++) {
    const lane = { ...f.shape.config.lanes[0], aim: 100 + (epoch % 700) }
    const line = { number: 1, expect: epoch, epoch: epoch + 1, edits: [{ op: 'put', what: 'lane', value: lane }] }
    let decision = ''
    for (let n = 0; n < 20 && decision !== 'accepted' && decision !== 'refused'; n++) {
      const sent = f.change(frontUp(f, k + n), `storm${epoch}`, [line])
      await f.sim.until(sent.done, 15000)
      decision = sent.out()[0]?.decision ?? 'none'
    }
    if (decision !== 'accepted') throw new Error(`change ${k} ended ${decision}`)
    epoch++
    told?.(k)
    await f.sim.run(f.sim.now() + gap)
  }
  return epoch
}
function inForceAt(f: SimFleet, epoch: number): () => boolean {
  function all(): boolean {
    for (const one of f.fronts) {
      if (one.proxyProc.state !== 'up' || one.agentProc.state !== 'up') continue
      if (!one.proxy?.state.hasValidLease() || one.proxy.state.rules()?.epoch !== epoch) return false
    }
    return true
  }
  return all
}
function epochNow(f: SimFleet): number {
  let out = 0
  for (const d of f.operatorDecisions) if (d.told.decision === 'accepted') out = Math.max(out, d.told.epoch ?? 0)
  return out
}

// 260 changes in 24 s, as a day of operators brings them: what goes between areas grows with the changes.
async function calmStorm(c: Test): Promise<void> {
  const f = makeSimFleet(11, stormShape())
  c.ok(await f.begin(), 'begun')
  // The window of past changes is full before anything is measured.
  let epoch = await storm(f, epochNow(f), 256, 20)
  await f.sim.run(f.sim.now() + 3000)
  const quietFrom = betweenAreas(f)
  await f.sim.run(f.sim.now() + 24000)
  const quiet = betweenAreas(f) - quietFrom
  const from = betweenAreas(f)
  const at = f.sim.now()
  let slowest = 0
  function watch(): void {
    const sent = f.sim.now()
    const now = epochNow(f)
    function look(): void {
      if (inForceAt(f, now)() || epochNow(f) > now) slowest = Math.max(slowest, f.sim.now() - sent)
      else f.sim.at(5, look)
    }
    look()
  }
  epoch = await storm(f, epoch, 260, 85, watch)
  const took = f.sim.now() - at
  const spent = betweenAreas(f) - from - (quiet * took) / 24000
  c.ok(await f.sim.until(inForceAt(f, epoch), 3000), 'in force everywhere')
  c.comment(
    `between areas: ${Math.round(spent / 260)} bytes a change, ${(spent / 1e6).toFixed(2)} MB for 260 in ${Math.round(took / 1000)} s; ` +
      `quiet ${(quiet / 1e6).toFixed(2)} MB in 24 s; slowest in force everywhere ${Math.round(slowest)} ms`,
  )
  c.ok(spent < 20e6 / 2, `${Math.round(spent)} bytes between areas for 260 changes`)
  c.ok(slowest < 100, `each was in force everywhere, or overtaken, within ${Math.round(slowest)} ms`)
  c.same(f.watchBreaches, [])
  c.same(await unread(f, epoch), [])
}
// What the last changes read back as; named ones of before the last 256 are forgotten by design.
async function unread(f: SimFleet, epoch: number): Promise<unknown[]> {
  const list = f.operatorDecisions.splice(0)
  for (const d of list) if ((d.told.epoch ?? 0) > epoch - 250) f.operatorDecisions.push(d)
  return await f.readBack()
}

// A core is off for half of the storm, one loses its disk in it, an agent is frozen for hundreds of changes, then everything
// is killed at once: nobody goes back, nobody is late, nothing is lost, and the bytes stay those of changes.
async function hardStorm(c: Test): Promise<void> {
  const f = makeSimFleet(12, stormShape())
  c.ok(await f.begin(), 'begun')
  let epoch = epochNow(f)
  const from = betweenAreas(f)
  const at = f.sim.now()
  let thawed = 0
  let current = 0
  function trouble(k: number): void {
    if (k === 40) f.sim.kill(f.cores[0].proc)
    if (k === 60) f.sim.freeze(f.fronts[4].agentProc)
    if (k === 170) f.startCoreAt(0)
    if (k === 200) {
      f.sim.kill(f.cores[1].proc)
      f.cores[1].machine.files.clear()
      f.startCoreAt(1)
    }
    if (k === 230) {
      f.sim.thaw(f.fronts[4].agentProc)
      thawed = f.sim.now()
      lookAt(4)
    }
  }
  // Until this node's proxy works by what was the newest when its agent woke.
  function lookAt(k: number): void {
    const newest = epochNow(f)
    function look(): void {
      const state = f.fronts[k].proxy!.state
      if (state.hasValidLease() && (state.rules()?.epoch ?? 0) >= newest) current = f.sim.now()
      else f.sim.at(5, look)
    }
    look()
  }
  epoch = await storm(f, epoch, 260, 85, trouble)
  const spent = betweenAreas(f) - from
  c.comment(
    `between areas, everything in: ${(spent / 1e6).toFixed(2)} MB in ${Math.round((f.sim.now() - at) / 1000)} s; ` +
      `the frozen agent was current ${Math.round(current - thawed)} ms after it woke`,
  )
  c.ok(spent < 20e6, `${spent} bytes between areas`)
  c.ok(current > thawed && current - thawed < 2000, 'the frozen agent is current within 2 s')
  function all(): boolean {
    for (const b of f.cores) if (!b.core?.serving()) return false
    return inForceAt(f, epoch)()
  }
  c.ok(await f.sim.until(all, 6000), 'all cores serve again, the emptied one too')

  // Everything is killed in the middle of a change, and started anew.
  f.change(0, 'last', [{ number: 1, expect: epoch, edits: [{ op: 'proxies', value: 'live' }] }])
  await f.sim.run(f.sim.now() + 1.5)
  for (const b of f.cores) f.sim.kill(b.proc)
  for (const one of f.fronts) {
    f.sim.kill(one.agentProc)
    f.sim.kill(one.proxyProc)
  }
  await f.sim.run(f.sim.now() + 1000)
  for (let k = 0; k < f.cores.length; k++) f.startCoreAt(k)
  for (let k = 0; k < f.fronts.length; k++) {
    f.startAgentAt(k)
    f.startProxyAt(k)
  }
  function back(): boolean {
    return inForceAt(f, epoch)() || inForceAt(f, epoch + 1)()
  }
  c.ok(await f.sim.until(back, 10000), 'all serve by what was chosen')
  c.same(f.watchBreaches, [], 'nobody went back or was late')
  c.same(await unread(f, epoch), [], 'nothing is lost')
}

// The core that a node takes its pushes from is frozen, cut off from the agents, or slow: news come in time by renewals.
async function sourceGone(c: Test): Promise<void> {
  const f = makeSimFleet(13, stormShape())
  c.ok(await f.begin(), 'begun')
  let epoch = epochNow(f)
  let slowest = 0
  function watch(): void {
    const sent = f.sim.now()
    const now = epochNow(f)
    function look(): void {
      if (isAt(now)) slowest = Math.max(slowest, f.sim.now() - sent)
      else f.sim.at(10, look)
    }
    look()
  }
  function isAt(now: number): boolean {
    for (const one of f.fronts) if ((one.proxy?.state.rules()?.epoch ?? 0) < now) return false
    return true
  }
  const kinds = ['frozen', 'cut', 'slow'] as const
  for (const kind of kinds) {
    slowest = 0
    for (const b of f.cores) {
      if (kind === 'frozen') f.sim.freeze(b.proc)
      if (kind === 'slow') b.machine.slow = 200
      if (kind === 'cut') for (const one of f.fronts) f.sim.cut(b.machine, one.machine)
      epoch = await storm(f, epoch, 8, 400, watch)
      f.sim.thaw(b.proc)
      b.machine.slow = 1
      f.sim.heal()
      epoch = await storm(f, epoch, 2, 400, watch)
    }
    await f.sim.run(f.sim.now() + 3000)
    c.ok(slowest > 0 && slowest < 3000, `${kind}: the slowest was in force everywhere after ${Math.round(slowest)} ms`)
  }
  c.same(f.watchBreaches, [], 'nobody went back or was late')
}

// After 2,000 changes a core and an agent are killed and started anew: current within 2 s.
async function restarts(c: Test): Promise<void> {
  const shape = { ...smallShape(), fronts: 3, cores: 3, areas: ['a'], requesters: 0 }
  const f = makeSimFleet(14, shape)
  c.ok(await f.begin(), 'begun')
  const epoch = await storm(f, epochNow(f), 2000, 0)
  await f.sim.run(f.sim.now() + 1000)
  for (const b of f.cores) {
    const bytes = b.machine.files.get('/data/register')!
    const { records } = readRecords(bytes)
    c.comment(`${b.id}: ${bytes.length} bytes and ${records.length} records to read`)
    c.ok(bytes.length < 2 * 1024 * 1024, 'the file is a snapshot and the changes since')
  }
  for (const [k, b] of f.cores.entries()) {
    f.sim.kill(b.proc)
    await f.sim.run(f.sim.now() + 500)
    const at = f.sim.now()
    f.startCoreAt(k)
    function current(): boolean {
      const body = b.core?.store.entries().get('configuration')?.value?.body as { epoch?: number } | undefined
      return b.core?.serving() === true && body?.epoch === epoch
    }
    c.ok(
      await f.sim.until(current, 2000),
      `${b.id} votes on the newest ${Math.round(f.sim.now() - at)} ms after its start`,
    )
  }
  for (const [k, one] of f.fronts.entries()) {
    f.sim.kill(one.agentProc)
    f.sim.kill(one.proxyProc)
    await f.sim.run(f.sim.now() + 500)
    const at = f.sim.now()
    f.startAgentAt(k)
    f.startProxyAt(k)
    c.ok(
      await f.sim.until(inForceAt(f, epoch), 2000),
      `${one.node} works by the newest ${Math.round(f.sim.now() - at)} ms after its start`,
    )
  }
  c.same(f.watchBreaches, [])
}

// A node that was frozen, or began anew, holds no duty before it knows all that was settled meanwhile.
async function dutyAfterAbsence(c: Test): Promise<void> {
  const f = makeSimFleet(15, { ...smallShape(), requesters: 0 })
  c.ok(await f.begin(), 'begun')
  let epoch = epochNow(f)
  const one = f.fronts[1]
  for (const how of ['frozen', 'killed'] as const) {
    if (how === 'frozen') f.sim.freeze(one.agentProc)
    else f.sim.kill(one.agentProc)
    epoch = await storm(f, epoch, 100, 40)
    if (how === 'frozen') f.sim.thaw(one.agentProc)
    else f.startAgentAt(1)
    const at = f.sim.now()
    let early = 0
    let held = 0
    function look(): void {
      const agent = one.agent
      const may =
        agent !== undefined &&
        agent.leaseExpiresAt() > f.sim.now() + one.machine.clockSkewMs &&
        agent.metrics.get('claynotch_agent_current') === 1
      const body = agent?.register('configuration')?.body as { epoch?: number } | undefined
      if (may && body?.epoch !== epoch) early++
      if (may) held++
      if (f.sim.now() < at + 3000) f.sim.at(0.1, look)
    }
    look()
    await f.sim.run(at + 3100)
    c.equal(early, 0, `${how}: no duty before it is current`)
    c.ok(held > 0, `${how}: and then it may`)
  }
}

const tests: [string, (c: Test) => Promise<void>][] = [
  ['no duty before a node is current', dutyAfterAbsence],
  ['260 changes cost what they are, not what the value is', calmStorm],
  ['a storm with a core off, one emptied, an agent frozen, and everything killed', hardStorm],
  ['the core that pushes is frozen, cut off or slow', sourceGone],
  ['restarts after 2,000 changes', restarts],
]
for (const [name, run] of tests) void t.test(name, run)
