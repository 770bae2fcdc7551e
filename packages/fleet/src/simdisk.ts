import { noop, type Disk } from '@claynotch/base'
import type { Clock } from './simclock.js'
import type { Proc, PendingWrite } from './simparts.js'

/** Interval at which an operation on a stalled disk checks whether the stall is over. */
const STALL_POLL_MS = 20

/** A simulated machine's disk, as one of its processes sees it: operations take time; writes fail on a full disk. */
export function makeDisk(clock: Clock, random: () => number, proc: Proc): Disk {
  const { machine } = proc
  /** Runs an operation after the disk's delay and any stall; a process killed before that may lose or tear `write`. */
  function afterDiskDelay(run: () => void, write?: PendingWrite): Promise<void> {
    if (write) proc.pendingWrites.add(write)
    function start(resolve: () => void): void {
      function complete(): void {
        if (machine.isDiskStalled) {
          clock.schedule(STALL_POLL_MS, proc, complete)
          return
        }
        if (write) proc.pendingWrites.delete(write)
        run()
        resolve()
      }
      clock.schedule((0.5 + random()) * machine.slow, proc, complete)
    }
    return new Promise(start)
  }
  async function read(path: string): Promise<Uint8Array | undefined> {
    await afterDiskDelay(noop)
    const content = machine.files.get(path)
    return content ? Buffer.from(content) : undefined
  }
  function assertNotFull(): void {
    if (machine.full) throw Object.assign(new Error('ENOSPC: no space left on device'), { code: 'ENOSPC' })
  }
  async function append(path: string, bytes: Uint8Array): Promise<void> {
    assertNotFull()
    function applyAppend(): void {
      machine.files.set(path, Buffer.concat([machine.files.get(path) ?? Buffer.alloc(0), bytes]))
    }
    await afterDiskDelay(applyAppend, { machine, path, bytes, whole: false })
  }
  async function replace(path: string, bytes: Uint8Array): Promise<void> {
    assertNotFull()
    function applyReplace(): void {
      machine.files.set(path, Buffer.from(bytes))
    }
    await afterDiskDelay(applyReplace, { machine, path, bytes, whole: true })
  }
  function truncate(path: string, size: number): Promise<void> {
    function applyTruncate(): void {
      machine.files.set(path, (machine.files.get(path) ?? Buffer.alloc(0)).subarray(0, size))
    }
    return afterDiskDelay(applyTruncate)
  }
  return { read, append, replace, cut: truncate }
}
