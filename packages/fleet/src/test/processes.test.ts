import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import t, { type Test } from 'tap'
import { freeAddress, runLocal } from '../local.js'
import { kamini } from '../profile.js'

t.setTimeout(600000)
const main = fileURLToPath(new URL('../../../claynotch/dist/main.js', import.meta.url))

type Ended = { code: number | null; out: string; err: string }

// Runs the program; what it writes is handed to see, which may send it signals.
function run(args: string[], see?: (err: string, kill: (signal: NodeJS.Signals) => void) => void): Promise<Ended> {
  function start(ok: (e: Ended) => void): void {
    const child = spawn(process.execPath, [main, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    let out = ''
    let err = ''
    function takeOut(b: Buffer): void {
      out += b.toString()
    }
    function kill(signal: NodeJS.Signals): void {
      child.kill(signal)
    }
    function takeErr(b: Buffer): void {
      err += b.toString()
      see?.(err, kill)
    }
    function end(code: number | null): void {
      ok({ code, out, err })
    }
    child.stdout.on('data', takeOut)
    child.stderr.on('data', takeErr)
    child.on('close', end)
  }
  return new Promise(start)
}

async function settings(c: Test): Promise<void> {
  const bad = await run(['agent', '--node', 'a b', '--link', 'localhost:1', '--seeds', '10.0.0.1:1,nowhere'])
  c.equal(bad.code, 2)
  for (const place of ['--node', '--area', '--link', '--peer', '--http', '--seeds'])
    c.match(bad.err, new RegExp(`^${place}`, 'm'), `a finding at ${place}`)
  const dir = mkdtempSync(join(tmpdir(), 'claynotch-test-'))
  const path = join(dir, 'proxy.json')
  writeFileSync(path, '{"listen": "127.0.0.1:70000", "colour": 1}')
  const file = await run(['proxy', '--settings', path])
  c.equal(file.code, 2)
  for (const place of ['/listen', '/admin', '/agent', '/colour']) c.match(file.err, `${path}${place}`)
  const none = await run(['proxy', '--settings', join(dir, 'none.json')])
  c.equal(none.code, 2)
  c.match(none.err, /no such file/)
  const verb = await run(['apply', '--to', '127.0.0.1:1', '--stream', 's', '--number', '0'])
  c.equal(verb.code, 2)
  c.match(verb.err, /--number[^]*--whole, --edits/)
  rmSync(dir, { recursive: true })
}

// A changed settings file is read without a signal and with one; a bad one is told whole and changes nothing.
async function reread(c: Test): Promise<void> {
  const dir = mkdtempSync(join(tmpdir(), 'claynotch-test-'))
  const path = join(dir, 'agent.json')
  const good = {
    node: 'n1',
    area: 'a',
    link: await freeAddress(),
    peer: await freeAddress(),
    http: await freeAddress(),
    seeds: [await freeAddress()],
  }
  writeFileSync(path, JSON.stringify(good))
  let step = 0
  function see(err: string, kill: (signal: NodeJS.Signals) => void): void {
    if (step === 0 && err.includes('event=settings-watched')) {
      step = 1
      writeFileSync(path, '{"node": 5, "seeds": "x"}')
    } else if (
      step === 1 &&
      err.includes('event=settings-refused') &&
      err.includes('/node') &&
      err.includes('/seeds')
    ) {
      step = 2
      writeFileSync(path, JSON.stringify({ ...good, area: 'b', seeds: [] }))
      kill('SIGHUP')
    } else if (
      step === 2 &&
      err.includes('event=settings-read') &&
      /event=settings-need-restart .*field=area/.test(err)
    ) {
      step = 3
      kill('SIGTERM')
    }
  }
  const got = await run(['agent', '--settings', path], see)
  c.equal(step, 3, got.err)
  c.equal(got.code, 0, 'SIGTERM ends it with 0')
  rmSync(dir, { recursive: true })
}

// A core told to stop ends, though the others go on holding their links to it.
async function coreStops(c: Test): Promise<void> {
  const dir = mkdtempSync(join(tmpdir(), 'claynotch-test-'))
  const cores: { id: string; addr: string }[] = []
  for (const id of ['c1', 'c2', 'c3']) cores.push({ id, addr: await freeAddress() })
  const stops: (() => void)[] = []
  const ends: Promise<Ended>[] = []
  let founded = 0
  for (const core of cores) {
    const path = join(dir, `${core.id}.json`)
    writeFileSync(path, JSON.stringify({ id: core.id, cores, data: join(dir, core.id), http: await freeAddress() }))
    let seen = false
    function see(err: string, kill: (signal: NodeJS.Signals) => void): void {
      if (seen || !err.includes('event=core-founded')) return
      seen = true
      function stop(): void {
        kill('SIGTERM')
      }
      stops.push(stop)
      founded++
      if (founded === cores.length) stops[0]()
    }
    ends.push(run(['core', '--settings', path], see))
  }
  // One at a time: each of the others goes on until it is told.
  const first = await Promise.race(ends)
  c.equal(first.code, 0, first.err)
  for (const stop of stops) stop()
  for (const end of await Promise.all(ends)) c.equal(end.code, 0)
  rmSync(dir, { recursive: true })
}

// The whole path as real processes: a small fleet under traffic, a leader killed, another change, a clean end.
async function realFleet(c: Test): Promise<void> {
  const profile = { ...kamini(), fronts: 2, cores: 3, groups: ['north', 'south'], sessions: 12, rate: 60 }
  profile.mixes = profile.mixes.filter(isThere)
  profile.config = {
    ...profile.config,
    groups: profile.config.groups.slice(0, 2),
    lanes: profile.config.lanes.filter(isThere),
  }
  function isThere(m: { group: string }): boolean {
    return m.group !== 'east'
  }
  function ignore(): void {}
  const got = await runLocal({ profile, seconds: 4, kill: true, keep: false, scale: 1, out: ignore })
  c.strictSame(got.judgement.breaches, [], got.text)
  c.ok(got.judgement.checked.done > 20 && got.judgement.checked.reads > 20, 'there was traffic to check')
}

void t.test('settings and flags: all findings at once, exit code 2', settings)
void t.test('a settings file that changes', reread)
void t.test('a core stops while others hold links to it', { timeout: 30000 }, coreStops)
void t.test('a small fleet of real processes', realFleet)
