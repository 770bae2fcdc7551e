// Runs all test files, several at a time, and ends with one line: N passed, N failed.
// A file that exits with an error without a failed test, or without any test at all, counts as one failure.
// Tests listed in KNOWN-RED.txt may fail: they are printed and counted separately. One that passes again must be
// removed from the list.
import { spawn } from 'node:child_process'
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { availableParallelism } from 'node:os'

/** Time in ms after which a test file is killed. */
const FILE_TIMEOUT_MS = 10 * 60 * 1000
const KNOWN_RED = 'KNOWN-RED.txt'
/** Test files that need the whole machine: they run one by one after all others. */
const EXCLUSIVE_FILES = ['platform/dist/test/soak.test.js']

/** Reads the list of known failures; each line has file, test, cause and issue, separated by " | ". */
function readKnownRed() {
  const causes = new Map()
  if (!existsSync(KNOWN_RED)) return causes
  for (const line of readFileSync(KNOWN_RED, 'utf8').split('\n')) {
    const [file, test, cause, issue] = line.split(' | ')
    if (line === '') continue
    if (issue === undefined) throw new Error(`${KNOWN_RED}: not a line of four parts: ${line}`)
    causes.set(`${file} ${test}`, cause)
  }
  return causes
}
const knownRed = readKnownRed()

function findTests() {
  const files = []
  const directories = ['platform/dist/test']
  for (const name of readdirSync('packages')) directories.push(`packages/${name}/dist/test`)
  for (const directory of directories) {
    let entries = []
    try {
      entries = readdirSync(directory)
    } catch {
      continue
    }
    for (const file of entries) if (file.endsWith('.test.js')) files.push(`${directory}/${file}`)
  }
  return files.sort()
}

function runFile(file) {
  function start(resolve) {
    const startedAt = Date.now()
    const child = spawn(process.execPath, [file], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, TAP: '1', TAP_TIMEOUT: '600', UV_USE_IO_URING: '0' },
    })
    let stdout = ''
    let stderr = ''
    function collectStdout(chunk) {
      stdout += chunk
    }
    function collectStderr(chunk) {
      stderr += chunk
    }
    function killChild() {
      child.kill('SIGKILL')
    }
    const timer = setTimeout(killChild, FILE_TIMEOUT_MS)
    function handleClose(code) {
      clearTimeout(timer)
      let passed = 0
      let failed = 0
      let knownFailures = 0
      for (const line of stdout.split('\n')) {
        const [, notOk, name] = /^(not )?ok \d+ - (.*?)(?: # time=.*)?$/.exec(line) ?? []
        if (name === undefined) continue
        const cause = knownRed.get(`${file} ${name}`)
        if (notOk === undefined) {
          passed++
          if (cause !== undefined)
            process.stdout.write(`NOT RED ANY MORE, take it out of ${KNOWN_RED}: ${file}: ${name}\n`)
        } else if (cause === undefined) failed++
        else {
          knownFailures++
          process.stdout.write(`KNOWN RED ${file}: ${name}: ${cause}\n`)
        }
      }
      if (code !== 0 && failed === 0 && knownFailures === 0) failed = 1
      if (code === 0 && passed + failed + knownFailures === 0) failed = 1
      resolve({ file, passed, failed, stdout, stderr, durationMs: Date.now() - startedAt })
    }
    child.stdout.on('data', collectStdout)
    child.stderr.on('data', collectStderr)
    child.on('close', handleClose)
  }
  return new Promise(start)
}

function isShared(file) {
  return !EXCLUSIVE_FILES.includes(file)
}
function isExclusive(file) {
  return EXCLUSIVE_FILES.includes(file)
}
let files = findTests().filter(isShared)
const results = []
async function worker() {
  for (;;) {
    const file = files.shift()
    if (file === undefined) return
    const result = await runFile(file)
    results.push(result)
    process.stdout.write(
      `${result.failed === 0 ? 'ok' : 'FAILED'} ${result.file}: ${result.passed} passed, ${result.failed} failed (${Math.round(result.durationMs / 1000)} s)\n`,
    )
    if (result.failed > 0) process.stdout.write(`${result.stdout.slice(-20000)}\n${result.stderr.slice(-5000)}\n`)
  }
}
const workers = []
for (let count = 0; count < Math.min(8, availableParallelism()); count++) workers.push(worker())
await Promise.all(workers)
files = findTests().filter(isExclusive)
await worker()
let passed = 0
let failed = 0
for (const result of results) {
  passed += result.passed
  failed += result.failed
}
process.stdout.write(`${passed} passed, ${failed} failed\n`)
process.exit(failed === 0 && passed > 0 ? 0 : 1)
