import { noop, type Disk } from '@claynotch/base'
import type { Clock } from './simclock.js'
import type { Proc, Writing } from './simparts.js'

/** ms. Interval at which a stalled disk is looked at. */
const STALL_LOOK = 20

// The disk of a simulated machine, as one of its processes sees it: writes take time, and fail where it is full.
export function makeDisk(clock: Clock, random: () => number, proc: Proc): Disk {
  const { machine } = proc
  function spend(run: () => void, writing?: Writing): Promise<void> {
    if (writing) proc.pendingWrites.add(writing)
    function start(ok: () => void): void {
      function end(): void {
        if (machine.isDiskStalled) {
          clock.schedule(STALL_LOOK, proc, end)
          return
        }
        if (writing) proc.pendingWrites.delete(writing)
        run()
        ok()
      }
      clock.schedule((0.5 + random()) * machine.slow, proc, end)
    }
    return new Promise(start)
  }
  async function read(path: string): Promise<Uint8Array | undefined> {
    await spend(noop)
    const got = machine.files.get(path)
    return got ? Buffer.from(got) : undefined
  }
  function mustHaveRoom(): void {
    if (machine.full) throw Object.assign(new Error('ENOSPC: no space left on device'), { code: 'ENOSPC' })
  }
  async function append(path: string, bytes: Uint8Array): Promise<void> {
    mustHaveRoom()
    function put(): void {
      machine.files.set(path, Buffer.concat([machine.files.get(path) ?? Buffer.alloc(0), bytes]))
    }
    await spend(put, { machine, path, bytes, whole: false })
  }
  async function replace(path: string, bytes: Uint8Array): Promise<void> {
    mustHaveRoom()
    function put(): void {
      machine.files.set(path, Buffer.from(bytes))
    }
    await spend(put, { machine, path, bytes, whole: true })
  }
  function cutFile(path: string, size: number): Promise<void> {
    function put(): void {
      machine.files.set(path, (machine.files.get(path) ?? Buffer.alloc(0)).subarray(0, size))
    }
    return spend(put)
  }
  return { read, append, replace, cut: cutFile }
}
