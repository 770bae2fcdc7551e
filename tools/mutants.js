// Shows that the checks are not empty: takes one guard out of a copy of the build, runs the scenario that
// is meant to catch it, or the test named instead (its seeds are those of random histories), and expects findings. A mutant that no seed catches, or
// with everySeed one that any seed misses, is reported as MISSED, exit 1.
//   node tools/mutants.js [name, or on:platform, on:soak, or --check: only whether each guard stands in the build]
import { spawn, spawnSync } from 'node:child_process'
import {
  cpSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { mutants } from './mutants.list.js'

const root = resolve(new URL('..', import.meta.url).pathname)
const only = process.argv[2]
/** ms that one run may take. */
const LIMIT_MS = 120_000
const SOAK_LIMIT_MS = 300_000
const WORKERS = 6
/** Soaks have a dozen processes each. */
const SOAK_WORKERS = 3

function copyBuild() {
  const dir = mkdtempSync(join(tmpdir(), 'claynotch-mutant-'))
  mkdirSync(join(dir, 'node_modules', '@claynotch'), { recursive: true })
  for (const name of readdirSync(join(root, 'node_modules'))) {
    if (name !== '@claynotch') symlinkSync(join(root, 'node_modules', name), join(dir, 'node_modules', name))
  }
  for (const name of readdirSync(join(root, 'packages'))) {
    const to = join(dir, 'packages', name)
    cpSync(join(root, 'packages', name, 'dist'), join(to, 'dist'), { recursive: true })
    cpSync(join(root, 'packages', name, 'package.json'), join(to, 'package.json'))
    symlinkSync(to, join(dir, 'node_modules', '@claynotch', name))
  }
  cpSync(join(root, 'platform', 'dist'), join(dir, 'platform', 'dist'), { recursive: true })
  cpSync(join(root, 'platform', 'package.json'), join(dir, 'platform', 'package.json'))
  return dir
}

// The pattern of a guard, in which any run of white space stands for any other: the compiler breaks lines as the source does.
function patternOf(guard) {
  return new RegExp(guard.replace(/[.*+?^${}()|[\]\\]/g, '\\$&').replace(/\s+/g, '\\s+'), 'g')
}

function patch(dir, m) {
  for (const [file, from, to] of m.edits) {
    const path = join(dir, 'packages', file)
    const text = readFileSync(path, 'utf8')
    const pattern = patternOf(from)
    const count = [...text.matchAll(pattern)].length
    if (count !== 1) throw new Error(`${m.name}: the guard stands ${count} times in ${file}`)
    function replacement() {
      return to
    }
    writeFileSync(path, text.replace(pattern, replacement))
  }
}

// A test by its name alone is one of the fleet's; else its place in the build is given.
function testOf(dir, m) {
  return m.test?.includes('/') ? join(dir, m.test) : join(dir, 'packages/fleet/dist/test', m.test ?? '')
}

// Every guard must stand once in the build and its test be there, or its mutant shows nothing.
function checkPatterns() {
  let faults = 0
  for (const m of mutants) {
    if (m.test !== undefined && !existsSync(testOf(root, m))) {
      faults++
      process.stdout.write(`${m.name}: there is no test ${m.test}\n`)
    }
    for (const [file, from] of m.edits) {
      const count = [...readFileSync(join(root, 'packages', file), 'utf8').matchAll(patternOf(from))].length
      if (count === 1) continue
      faults++
      process.stdout.write(`${m.name}: the guard stands ${count} times in ${file}\n`)
    }
  }
  return faults
}

/** A soak runs the bundle with the commands of the deploy file, from the folder that holds both. */
function bundle(dir) {
  cpSync(join(root, 'deploy'), join(dir, 'deploy'), { recursive: true })
  const { status, stderr } = spawnSync(process.execPath, [join(root, 'tools/bundle.js'), 'dist'], { cwd: dir })
  if (status !== 0) throw new Error(`no bundle: ${stderr}`)
}

function argumentsOf(dir, m, seed, slot) {
  if (m.soak)
    return [join(dir, 'platform/dist/test/soak/main.js'), '--seed', String(seed), '--slot', String(slot), ...m.soak]
  if (m.test) return [testOf(dir, m)]
  if (m.on === 'platform') return [join(dir, 'platform/dist/test/sweep.js'), m.scenario, String(seed), String(seed)]
  const seeds = ['--from', String(seed), '--to', String(seed)]
  return [join(dir, 'packages/fleet/dist/main.js'), 'sweep', '--only', m.scenario, ...seeds]
}

function sweep(dir, m, seed, slot) {
  const args = argumentsOf(dir, m, seed, slot)
  function start(done) {
    const child = spawn(process.execPath, args, {
      cwd: m.soak ? dir : process.cwd(),
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, UV_USE_IO_URING: '0', HISTORIES: '1', HISTORIES_FROM: String(seed) },
    })
    let out = ''
    function take(b) {
      out += b
    }
    // A soak that is interrupted ends the processes that it started.
    function late() {
      child.kill(m.soak ? 'SIGINT' : 'SIGKILL')
    }
    const timer = setTimeout(late, m.soak ? SOAK_LIMIT_MS : LIMIT_MS)
    function end(code) {
      clearTimeout(timer)
      done({ code, out })
    }
    child.stdout.on('data', take)
    child.stderr.on('data', take)
    child.on('close', end)
  }
  return new Promise(start)
}

async function judge(m, slot) {
  const dir = copyBuild()
  try {
    patch(dir, m)
    if (m.soak) bundle(dir)
    let first = { m, seed: undefined, found: '' }
    for (let seed = m.seeds[0]; seed <= m.seeds[1]; seed++) {
      const got = await sweep(dir, m, seed, slot)
      const found = got.out.split('\n').filter(m.test ? isFailed : isFinding)
      if (found.length === 0) {
        if (m.everySeed === true) return { m, seed: undefined, found: '' }
        continue
      }
      if (first.seed === undefined) first = { m, seed, found: found[0].trim() }
      if (m.everySeed !== true) return first
    }
    return first
  } finally {
    rmSync(dir, { recursive: true, force: true })
  }
}
function isFinding(line) {
  return line.startsWith('  ') && line.trim() !== ''
}

function isFailed(line) {
  return line.startsWith('    not ok')
}

if (only === '--check') process.exit(checkPatterns() === 0 ? 0 : 1)

const list = mutants.filter(isWanted)
function isWanted(m) {
  return (
    only === undefined ||
    only.split(',').includes(m.name) ||
    (only === 'on:platform' && m.on === 'platform') ||
    (only === 'on:soak' && m.soak)
  )
}
let caught = 0
let missed = 0
async function worker(slot) {
  for (;;) {
    const m = list.shift()
    if (!m) return
    const got = await judge(m, slot)
    if (got.seed === undefined) {
      missed++
      process.stdout.write(`MISSED ${m.name} (${m.scenario ?? m.test ?? 'soak'}, seeds ${m.seeds.join(' to ')})\n`)
    } else {
      caught++
      process.stdout.write(
        `caught ${m.name} (${m.scenario ?? m.test ?? 'soak'}, seed ${got.seed}): ${got.found.slice(0, 200)}\n`,
      )
    }
  }
}
const workers = []
for (let k = 0; k < (only === 'on:soak' ? SOAK_WORKERS : WORKERS); k++) workers.push(worker(k))
await Promise.all(workers)
process.stdout.write(`${caught} passed, ${missed} failed\n`)
process.exit(missed === 0 ? 0 : 1)
