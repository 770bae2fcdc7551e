import type { ScheduledEvent, Proc } from './simparts.js'

/** Virtual time and its event queue: ordered by time, events of the same time in the order of scheduling. */
export type Clock = {
  now: () => number
  /** Moves virtual time forward; it never goes back. */
  advance: (to: number) => void
  /** Schedules an event in `ms` ms; proc: the process that it belongs to, undefined for none. */
  schedule: (ms: number, proc: Proc | undefined, run: () => void) => void
  /** Removes the next event from the queue and returns it. */
  pop: () => ScheduledEvent | undefined
  /** Time of the next event; undefined: the queue is empty. */
  nextEventAt: () => number | undefined
}

type Queue = {
  push: (event: ScheduledEvent) => void
  pop: () => ScheduledEvent | undefined
  first: () => ScheduledEvent | undefined
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.at !== b.at ? a.at < b.at : a.sequence < b.sequence
}
/** An event queue as a binary heap. */
function makeQueue(): Queue {
  const heap: ScheduledEvent[] = []
  function push(event: ScheduledEvent): void {
    heap.push(event)
    let k = heap.length - 1
    while (k > 0) {
      const parent = (k - 1) >> 1
      if (!isBefore(heap[k], heap[parent])) break
      ;[heap[k], heap[parent]] = [heap[parent], heap[k]]
      k = parent
    }
  }
  function pop(): ScheduledEvent | undefined {
    const top = heap[0]
    const last = heap.pop()
    if (heap.length === 0 || !last) return top
    heap[0] = last
    let k = 0
    for (;;) {
      let earliest = k
      for (const child of [2 * k + 1, 2 * k + 2])
        if (child < heap.length && isBefore(heap[child], heap[earliest])) earliest = child
      if (earliest === k) return top
      ;[heap[k], heap[earliest]] = [heap[earliest], heap[k]]
      k = earliest
    }
  }
  function first(): ScheduledEvent | undefined {
    return heap[0]
  }
  return { push, pop, first }
}

/** Virtual time at the start of a run. */
const START_TIME_MS = 1000

export function makeClock(): Clock {
  const queue = makeQueue()
  let now = START_TIME_MS
  let scheduledCount = 0

  function currentTime(): number {
    return now
  }
  function advance(to: number): void {
    now = Math.max(now, to)
  }
  function scheduleEvent(ms: number, proc: Proc | undefined, run: () => void): void {
    queue.push({ at: now + Math.max(0, ms), sequence: ++scheduledCount, proc, run })
  }
  function peekTime(): number | undefined {
    return queue.first()?.at
  }
  return { now: currentTime, advance, schedule: scheduleEvent, pop: queue.pop, nextEventAt: peekTime }
}
