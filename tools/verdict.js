// Runs every test file, several at a time, and ends with one line: N passed, N failed.
// A file that ends badly without a failed test of its own counts as one failure.
// Tests that stand in KNOWN-RED.txt may fail: they are printed, and counted apart. One that passes again is to be taken out.
import { spawn } from 'node:child_process'
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { availableParallelism } from 'node:os'

const LIMIT = 10 * 60 * 1000
const KNOWN_RED = 'KNOWN-RED.txt'
// Tests that need the machine for themselves: they run after all others.
const ALONE = ['platform/dist/test/soak.test.js']

// A line for each test: file, test, cause and issue, parted by " | ".
function readKnownRed() {
  const out = new Map()
  if (!existsSync(KNOWN_RED)) return out
  for (const line of readFileSync(KNOWN_RED, 'utf8').split('\n')) {
    const [file, test, cause, issue] = line.split(' | ')
    if (line === '') continue
    if (issue === undefined) throw new Error(`${KNOWN_RED}: not a line of four parts: ${line}`)
    out.set(`${file} ${test}`, cause)
  }
  return out
}
const knownRed = readKnownRed()

function findTests() {
  const out = []
  const places = ['platform/dist/test']
  for (const pack of readdirSync('packages')) places.push(`packages/${pack}/dist/test`)
  for (const place of places) {
    let list = []
    try {
      list = readdirSync(place)
    } catch {
      continue
    }
    for (const file of list) if (file.endsWith('.test.js')) out.push(`${place}/${file}`)
  }
  return out.sort()
}

function runFile(file) {
  function start(done) {
    const from = Date.now()
    const child = spawn(process.execPath, [file], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, TAP: '1', TAP_TIMEOUT: '600', UV_USE_IO_URING: '0' },
    })
    let out = ''
    let err = ''
    function takeOut(b) {
      out += b
    }
    function takeErr(b) {
      err += b
    }
    function late() {
      child.kill('SIGKILL')
    }
    const timer = setTimeout(late, LIMIT)
    function end(code) {
      clearTimeout(timer)
      let passed = 0
      let failed = 0
      let red = 0
      for (const line of out.split('\n')) {
        const [, not, name] = /^(not )?ok \d+ - (.*?)(?: # time=.*)?$/.exec(line) ?? []
        if (name === undefined) continue
        const cause = knownRed.get(`${file} ${name}`)
        if (not === undefined) {
          passed++
          if (cause !== undefined)
            process.stdout.write(`NOT RED ANY MORE, take it out of ${KNOWN_RED}: ${file}: ${name}\n`)
        } else if (cause === undefined) failed++
        else {
          red++
          process.stdout.write(`KNOWN RED ${file}: ${name}: ${cause}\n`)
        }
      }
      if (code !== 0 && failed === 0 && red === 0) failed = 1
      if (code === 0 && passed + failed + red === 0) failed = 1
      done({ file, passed, failed, out, err, ms: Date.now() - from })
    }
    child.stdout.on('data', takeOut)
    child.stderr.on('data', takeErr)
    child.on('close', end)
  }
  return new Promise(start)
}

function isShared(file) {
  return !ALONE.includes(file)
}
function isAlone(file) {
  return ALONE.includes(file)
}
let files = findTests().filter(isShared)
const results = []
async function worker() {
  for (;;) {
    const file = files.shift()
    if (file === undefined) return
    const got = await runFile(file)
    results.push(got)
    process.stdout.write(
      `${got.failed === 0 ? 'ok' : 'FAILED'} ${got.file}: ${got.passed} passed, ${got.failed} failed (${Math.round(got.ms / 1000)} s)\n`,
    )
    if (got.failed > 0) process.stdout.write(`${got.out.slice(-20000)}\n${got.err.slice(-5000)}\n`)
  }
}
const workers = []
for (let k = 0; k < Math.min(8, availableParallelism()); k++) workers.push(worker())
await Promise.all(workers)
files = findTests().filter(isAlone)
await worker()
let passed = 0
let failed = 0
for (const r of results) {
  passed += r.passed
  failed += r.failed
}
process.stdout.write(`${passed} passed, ${failed} failed\n`)
process.exit(failed === 0 && passed > 0 ? 0 : 1)
