import type { Happening, Proc } from './simparts.js'

// Virtual time: a queue of happenings by time, those of one time in the order made.
export type Clock = {
  now: () => number
  // Virtual time never goes back.
  advance: (to: number) => void
  schedule: (ms: number, proc: Proc | undefined, run: () => void) => void
  // The next happening, taken from the queue.
  pop: () => Happening | undefined
  // When the next one is due; undefined: there is none.
  nextEventAt: () => number | undefined
}

type Queue = { push: (h: Happening) => void; pop: () => Happening | undefined; first: () => Happening | undefined }

function before(a: Happening, b: Happening): boolean {
  return a.at !== b.at ? a.at < b.at : a.num < b.num
}
// A binary heap.
function makeQueue(): Queue {
  const heap: Happening[] = []
  function push(h: Happening): void {
    heap.push(h)
    let k = heap.length - 1
    while (k > 0) {
      const up = (k - 1) >> 1
      if (!before(heap[k], heap[up])) break
      ;[heap[k], heap[up]] = [heap[up], heap[k]]
      k = up
    }
  }
  function pop(): Happening | undefined {
    const top = heap[0]
    const last = heap.pop()
    if (heap.length === 0 || !last) return top
    heap[0] = last
    let k = 0
    for (;;) {
      let least = k
      for (const c of [2 * k + 1, 2 * k + 2]) if (c < heap.length && before(heap[c], heap[least])) least = c
      if (least === k) return top
      ;[heap[k], heap[least]] = [heap[least], heap[k]]
      k = least
    }
  }
  function first(): Happening | undefined {
    return heap[0]
  }
  return { push, pop, first }
}

// ms. Virtual time at the start.
const FIRST_MOMENT = 1000

export function makeClock(): Clock {
  const queue = makeQueue()
  let now = FIRST_MOMENT
  let made = 0

  function nowTime(): number {
    return now
  }
  function advance(to: number): void {
    now = Math.max(now, to)
  }
  function plan(ms: number, proc: Proc | undefined, run: () => void): void {
    queue.push({ at: now + Math.max(0, ms), num: ++made, proc, run })
  }
  function due(): number | undefined {
    return queue.first()?.at
  }
  return { now: nowTime, advance, schedule: plan, pop: queue.pop, nextEventAt: due }
}
