import { type ChildProcess, fork } from 'node:child_process'
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { PartSpec } from './hollowpart.js'

// The processes of a hollow run: each is started with its part of the fleet and ordered by messages.

export type Part = {
  role: string
  spec: PartSpec
  proc: ChildProcess
  members: number
  order: (what: string) => Promise<unknown>
}

const partPath = fileURLToPath(new URL('./hollowpart.js', import.meta.url))

export function startPart(data: string, role: string, spec: PartSpec, members: number, seed: number): Part {
  const path = join(data, `part${seed}.json`)
  writeFileSync(path, JSON.stringify(spec))
  const proc = fork(partPath, [path, String(seed)], {
    execArgv: ['--expose-gc'],
    stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    env: { ...process.env, UV_USE_IO_URING: '0' },
  })
  const waiting = new Map<number, { ok: (v: unknown) => void; fail: (e: Error) => void }>()
  let num = 0
  function take(got: { num: number; answer?: unknown; fault?: string }): void {
    const one = waiting.get(got.num)
    waiting.delete(got.num)
    if (got.fault !== undefined) one?.fail(new Error(`${role}: ${got.fault}`))
    else one?.ok(got.answer)
  }
  function over(): void {
    for (const one of waiting.values()) one.fail(new Error(`a process of role ${role} ended`))
    waiting.clear()
  }
  proc.on('message', take as never)
  proc.on('exit', over)
  function order(what: string): Promise<unknown> {
    function run(ok: (v: unknown) => void, fail: (e: Error) => void): void {
      const mine = ++num
      waiting.set(mine, { ok, fail })
      proc.send({ num: mine, what })
    }
    return new Promise(run)
  }
  return { role, spec, proc, members, order }
}

export function slice<T>(list: T[], per: number): T[][] {
  const out: T[][] = []
  for (let k = 0; k < list.length; k += per) out.push(list.slice(k, k + per))
  return out
}
