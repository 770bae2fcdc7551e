import { QUOTA_REFRESH_INTERVAL_MS } from '@claynotch/base'
import type { QuotaGrant, QuotaLine } from '@claynotch/quota'

/** Who was told, under which term, of which life of the proxy. */
export type Telling = { term: number; life: string }

/**
 * What the holder of one slot knows of this machine's proxy: it is told what changed, and everything again once in a while, as what
 * the proxy should have changes with what others want.
 *
 * Invariant: a line that is left out was told as it stands to the holder of this very term, which answered that nothing of it changes.
 */
export type ToldLines = {
  /** Whether the holder was told all once. */
  knows: (to: Telling) => boolean
  /** Those that it is to be told now; they count as untold until it has answered. */
  due: (lines: QuotaLine[], to: Telling) => QuotaLine[]
  answered: (lines: QuotaLine[], grants: QuotaGrant[], to: Telling) => void
}

function isSameLine(a: QuotaLine, b: QuotaLine): boolean {
  return a.every(isSameAt)
  function isSameAt(value: string | number, k: number): boolean {
    return value === b[k]
  }
}

export function makeToldLines(now: () => number): ToldLines {
  let told: Telling | undefined
  const known = new Map<string, { line: QuotaLine; at: number }>()

  function knows({ term, life }: Telling): boolean {
    return told?.term === term && told.life === life
  }
  function due(lines: QuotaLine[], to: Telling): QuotaLine[] {
    if (!knows(to)) known.clear()
    const out: QuotaLine[] = []
    for (const line of lines) {
      const before = known.get(line[0])
      if (before && isSameLine(before.line, line) && now() - before.at < QUOTA_REFRESH_INTERVAL_MS) continue
      known.delete(line[0])
      out.push(line)
    }
    return out
  }
  function answered(lines: QuotaLine[], grants: QuotaGrant[], to: Telling): void {
    if (!knows(to)) known.clear()
    told = { term: to.term, life: to.life }
    const granted = new Map(grants)
    for (const line of lines) {
      const [tenant, held] = line
      if ((granted.get(tenant) ?? held) === held) known.set(tenant, { line, at: now() })
    }
  }
  return { knows, due, answered }
}
