// Shows that the checks are not empty: takes one guard out of a copy of the build, runs the scenario that
// is meant to catch it, or the test named instead (its seeds are those of random histories), and expects findings. A mutant that no seed catches, or
// with everySeed one that any seed misses, is reported as MISSED, exit 1.
//   node tools/mutants.js [name, or on:platform, or --check: only whether each guard stands in the build]
import { spawn } from 'node:child_process'
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

function sweep(dir, m, seed) {
  const own = [
    join(dir, 'packages/fleet/dist/main.js'),
    'sweep',
    '--only',
    m.scenario,
    '--from',
    String(seed),
    '--to',
    String(seed),
  ]
  const platform = [join(dir, 'platform/dist/test/sweep.js'), m.scenario, String(seed), String(seed)]
  const test = testOf(dir, m)
  const args = m.test ? [test] : m.on === 'platform' ? platform : own
  function start(done) {
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, UV_USE_IO_URING: '0', HISTORIES: '1', HISTORIES_FROM: String(seed) },
    })
    let out = ''
    function take(b) {
      out += b
    }
    function late() {
      child.kill('SIGKILL')
    }
    const timer = setTimeout(late, 120000)
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

async function judge(m) {
  const dir = copyBuild()
  try {
    patch(dir, m)
    let first = { m, seed: undefined, found: '' }
    for (let seed = m.seeds[0]; seed <= m.seeds[1]; seed++) {
      const got = await sweep(dir, m, seed)
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
  return only === undefined || m.name === only || (only === 'on:platform' && m.on === 'platform')
}
let caught = 0
let missed = 0
async function worker() {
  for (;;) {
    const m = list.shift()
    if (!m) return
    const got = await judge(m)
    if (got.seed === undefined) {
      missed++
      process.stdout.write(`MISSED ${m.name} (${m.scenario ?? m.test}, seeds ${m.seeds.join(' to ')})\n`)
    } else {
      caught++
      process.stdout.write(`caught ${m.name} (${m.scenario ?? m.test}, seed ${got.seed}): ${got.found.slice(0, 200)}\n`)
    }
  }
}
const workers = []
for (let k = 0; k < 6; k++) workers.push(worker())
await Promise.all(workers)
process.stdout.write(`${caught} passed, ${missed} failed\n`)
process.exit(missed === 0 ? 0 : 1)
