import { makeSignal, type World } from '@claynotch/base'

/**
 * Tracks which announcements of instances have been reported to a majority of the cores.
 *
 * An instance relies on the acknowledgement of its announcement: for example, it ends a fixed time after the
 * acknowledgement that it leaves. So an announcement that changes something is acknowledged only after a renewal round
 * that began after it was received and that a majority accepted. Nothing is acknowledged while the last round was not
 * accepted, even if the lease from an earlier round is still valid.
 *
 * Invariants: a name is in unreported exactly while no accepted round has begun after its last change; rounds don't
 * overlap, and each begins and ends once.
 */
export type InstanceReports = {
  /** Begins a round, which reports all changes until now; returns its number. */
  beginRound: () => number
  /** Ends the round. isAccepted: a majority has what it reported. */
  endRound: (round: number, isAccepted: boolean) => void
  /** Records a change of an instance that hasn't been reported yet. */
  changed: (name: string) => void
  /** Whether there are changes that no accepted round has reported. */
  isPending: () => boolean
  /** Resolves to true once a majority has the last change of an instance; to false if that isn't so in time. */
  acknowledged: (name: string, timeoutMs: number) => Promise<boolean>
}

export function makeInstanceReports(world: World): InstanceReports {
  let latestRound = 0
  let isLastRoundAccepted = true
  /** For each changed instance, the number of the latest round that had begun at that time. */
  const unreported = new Map<string, number>()
  const roundEnded = makeSignal()

  function beginRound(): number {
    return ++latestRound
  }
  function endRound(round: number, isAccepted: boolean): void {
    isLastRoundAccepted = isAccepted
    if (isAccepted) for (const [name, changedInRound] of unreported) if (changedInRound < round) unreported.delete(name)
    roundEnded.notify()
  }
  function changed(name: string): void {
    unreported.set(name, latestRound)
  }
  function isPending(): boolean {
    return unreported.size > 0
  }
  async function acknowledged(name: string, timeoutMs: number): Promise<boolean> {
    const deadline = world.now() + timeoutMs
    for (;;) {
      if (!isLastRoundAccepted) return false
      if (!unreported.has(name)) return true
      const remainingMs = deadline - world.now()
      if (remainingMs <= 0) return false
      await roundEnded.wait(world, remainingMs)
    }
  }
  return { beginRound, endRound, changed, isPending, acknowledged }
}
