// Mutation tests of the checks: removes one guard from a copy of the build, runs the scenario that is meant to catch
// it, or the test named instead (its seeds are those of random histories), and expects findings. A mutant that no seed
// catches, or with everySeed one that any seed misses, is reported as MISSED, with exit code 1.
//   node tools/mutants.js [names separated by commas, or on:platform, on:soak, or --check]
// --check: reports only whether each guard occurs in the build exactly once and each test exists.
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
const selection = process.argv[2]
/** Time limit of one run. */
const RUN_TIMEOUT_MS = 120_000
const SOAK_TIMEOUT_MS = 300_000
const WORKERS = 6
/** Fewer than WORKERS, as each soak starts a dozen processes. */
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

/** The pattern of a guard, in which any white space matches any other: the compiler breaks lines as the source does. */
function patternOf(guard) {
  return new RegExp(guard.replace(/[.*+?^${}()|[\]\\]/g, '\\$&').replace(/\s+/g, '\\s+'), 'g')
}

function applyEdits(dir, mutant) {
  for (const [file, from, to] of mutant.edits) {
    const path = join(dir, 'packages', file)
    const text = readFileSync(path, 'utf8')
    const pattern = patternOf(from)
    const count = [...text.matchAll(pattern)].length
    if (count !== 1) throw new Error(`${mutant.name}: the guard stands ${count} times in ${file}`)
    function replacement() {
      return to
    }
    writeFileSync(path, text.replace(pattern, replacement))
  }
}

/** A test given by its file name alone is one of package fleet; otherwise its path in the build is given. */
function testPathOf(dir, mutant) {
  return mutant.test?.includes('/') ? join(dir, mutant.test) : join(dir, 'packages/fleet/dist/test', mutant.test ?? '')
}

/** Every guard must occur once in the build and its test must exist, otherwise its mutant shows nothing. */
function checkPatterns() {
  let errors = 0
  for (const mutant of mutants) {
    if (mutant.test !== undefined && !existsSync(testPathOf(root, mutant))) {
      errors++
      process.stdout.write(`${mutant.name}: there is no test ${mutant.test}\n`)
    }
    for (const [file, from] of mutant.edits) {
      const count = [...readFileSync(join(root, 'packages', file), 'utf8').matchAll(patternOf(from))].length
      if (count === 1) continue
      errors++
      process.stdout.write(`${mutant.name}: the guard stands ${count} times in ${file}\n`)
    }
  }
  return errors
}

/** A soak runs the bundle with the commands of the deploy file, from the directory that contains both. */
function bundle(dir) {
  cpSync(join(root, 'deploy'), join(dir, 'deploy'), { recursive: true })
  const { status, stderr } = spawnSync(process.execPath, [join(root, 'tools/bundle.js'), 'dist'], { cwd: dir })
  if (status !== 0) throw new Error(`no bundle: ${stderr}`)
}

function argumentsOf(dir, mutant, seed, slot) {
  if (mutant.soak)
    return [
      join(dir, 'platform/dist/test/soak/main.js'),
      '--seed',
      String(seed),
      '--slot',
      String(slot),
      ...mutant.soak,
    ]
  if (mutant.test) return [testPathOf(dir, mutant)]
  if (mutant.on === 'platform')
    return [join(dir, 'platform/dist/test/sweep.js'), mutant.scenario, String(seed), String(seed)]
  const seeds = ['--from', String(seed), '--to', String(seed)]
  return [join(dir, 'packages/fleet/dist/main.js'), 'sweep', '--only', mutant.scenario, ...seeds]
}

function runMutant(dir, mutant, seed, slot) {
  const args = argumentsOf(dir, mutant, seed, slot)
  function start(resolveRun) {
    const child = spawn(process.execPath, args, {
      cwd: mutant.soak ? dir : process.cwd(),
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, UV_USE_IO_URING: '0', HISTORIES: '1', HISTORIES_FROM: String(seed) },
    })
    let output = ''
    function collect(chunk) {
      output += chunk
    }
    /** Ends a run that takes too long; a soak, when interrupted, ends the processes that it started. */
    function killChild() {
      child.kill(mutant.soak ? 'SIGINT' : 'SIGKILL')
    }
    const timer = setTimeout(killChild, mutant.soak ? SOAK_TIMEOUT_MS : RUN_TIMEOUT_MS)
    function handleClose(code) {
      clearTimeout(timer)
      resolveRun({ code, output })
    }
    child.stdout.on('data', collect)
    child.stderr.on('data', collect)
    child.on('close', handleClose)
  }
  return new Promise(start)
}

async function testMutant(mutant, slot) {
  const dir = copyBuild()
  try {
    applyEdits(dir, mutant)
    if (mutant.soak) bundle(dir)
    let firstCatch = { mutant, seed: undefined, found: '' }
    for (let seed = mutant.seeds[0]; seed <= mutant.seeds[1]; seed++) {
      const run = await runMutant(dir, mutant, seed, slot)
      const found = run.output.split('\n').filter(mutant.test ? isFailed : isFinding)
      if (found.length === 0) {
        if (mutant.everySeed === true) return { mutant, seed: undefined, found: '' }
        continue
      }
      if (firstCatch.seed === undefined) firstCatch = { mutant, seed, found: found[0].trim() }
      if (mutant.everySeed !== true) return firstCatch
    }
    return firstCatch
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

if (selection === '--check') process.exit(checkPatterns() === 0 ? 0 : 1)

const remaining = mutants.filter(isSelected)
function isSelected(mutant) {
  return (
    selection === undefined ||
    selection.split(',').includes(mutant.name) ||
    (selection === 'on:platform' && mutant.on === 'platform') ||
    (selection === 'on:soak' && mutant.soak)
  )
}
let caught = 0
let missed = 0
async function worker(slot) {
  for (;;) {
    const mutant = remaining.shift()
    if (!mutant) return
    const result = await testMutant(mutant, slot)
    if (result.seed === undefined) {
      missed++
      process.stdout.write(
        `MISSED ${mutant.name} (${mutant.scenario ?? mutant.test ?? 'soak'}, seeds ${mutant.seeds.join(' to ')})\n`,
      )
    } else {
      caught++
      process.stdout.write(
        `caught ${mutant.name} (${mutant.scenario ?? mutant.test ?? 'soak'}, seed ${result.seed}): ${result.found.slice(0, 200)}\n`,
      )
    }
  }
}
const workers = []
for (let slot = 0; slot < (selection === 'on:soak' ? SOAK_WORKERS : WORKERS); slot++) workers.push(worker(slot))
await Promise.all(workers)
process.stdout.write(`${caught} passed, ${missed} failed\n`)
process.exit(missed === 0 ? 0 : 1)
