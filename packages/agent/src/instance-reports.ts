import { makeSignal, type World } from '@claynotch/base'

/**
 * What a majority of the cores has been told of the instances that this node hears.
 *
 * An instance counts from the acknowledgement of its word: it leaves so many seconds after it, say. So a word that changes
 * something is acknowledged only after a renewal round that began when it had been heard, and to which a majority answered;
 * and no word is while the last round reached none, though the lease that an earlier round gave still runs.
 *
 * Invariants: a name is in untold exactly while no good round has begun after its last news; rounds follow one another, each
 * begun and ended once.
 */
export type InstanceReports = {
  /** A round begins, with all that was heard until now; its number. */
  beginRound: () => number
  /** It ended. good: a majority has what it told. */
  endRound: (round: number, good: boolean) => void
  /** Something that nobody has been told yet was heard of an instance. */
  changed: (name: string) => void
  /** Whether news came that no good round has told. */
  isPending: () => boolean
  /** True once a majority has the last news of an instance; false where it can't be told within so many ms. */
  acknowledged: (name: string, ms: number) => Promise<boolean>
}

export function makeInstanceReports(world: World): InstanceReports {
  let begun = 0
  let reached = true
  // untold: for each instance, the round begun last when its news came.
  const untold = new Map<string, number>()
  const ended = makeSignal()

  function begin(): number {
    return ++begun
  }
  function end(round: number, good: boolean): void {
    reached = good
    if (good) for (const [name, at] of untold) if (at < round) untold.delete(name)
    ended.notify()
  }
  function news(name: string): void {
    untold.set(name, begun)
  }
  function waiting(): boolean {
    return untold.size > 0
  }
  async function told(name: string, ms: number): Promise<boolean> {
    const until = world.now() + ms
    for (;;) {
      if (!reached) return false
      if (!untold.has(name)) return true
      const left = until - world.now()
      if (left <= 0) return false
      await ended.wait(world, left)
    }
  }
  return { beginRound: begin, endRound: end, changed: news, isPending: waiting, acknowledged: told }
}
