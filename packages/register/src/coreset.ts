import * as t from 'io-ts'
import { callOnce, parseAddr, readAs, ROUND_LIFE, type Addr, type World } from '@claynotch/base'

// The core set: which machines vote, as agreed state that each of them keeps on disk (docs/register.md).
// addr: where it takes links. Invariant: a set is never empty, and no id stands in it twice.
export const CorePlace = t.type({ id: t.string, addr: t.string })
export type CorePlace = t.TypeOf<typeof CorePlace>

const SeedsAnswer = t.type({ cores: t.array(CorePlace) })

function byId(a: CorePlace, b: CorePlace): number {
  return a.id < b.id ? -1 : a.id > b.id ? 1 : 0
}

// The set that a first start founds: the machines of the seeds, known by rule alone (the same port on every machine, named
// by their IP), so that every process makes the same of the same seeds.
export function foundersOf(seeds: Addr[], port: number): CorePlace[] {
  const out = new Map<string, CorePlace>()
  for (const seed of seeds) {
    const { host } = parseAddr(seed)
    out.set(host, { id: host, addr: `${host}:${port}` })
  }
  return [...out.values()].sort(byId)
}

// The set as the first of these tells it that can; undefined: none of them can. All are asked at once, as some may be silent.
export function askSeeds(world: World, seeds: Addr[]): Promise<{ seed: Addr; cores: CorePlace[] } | undefined> {
  function start(done: (got: { seed: Addr; cores: CorePlace[] } | undefined) => void): void {
    let left = seeds.length
    async function ask(seed: Addr): Promise<void> {
      const got = await callOnce(world, seed, 'GET', '/seeds', undefined, ROUND_LIFE)
      const told = got.ok && got.val.status === 200 ? readAs(SeedsAnswer, got.val.body) : undefined
      left--
      if (told?.ok && told.val.cores.length > 0) done({ seed, cores: told.val.cores })
      else if (left === 0) done(undefined)
    }
    if (left === 0) done(undefined)
    for (const seed of seeds) void ask(seed)
  }
  return new Promise(start)
}
