import type { CoreLinks } from './core-links.js'

/** Which version of each register is applied on this machine, as the cores are told of it. */
export type Acknowledgements = {
  all: () => ReadonlyMap<string, number>
  /** A core pushed the register under this number. */
  pushed: (core: string, key: string, pushNumber: number) => void
  /** Tells one core again. */
  tell: (core: string, key: string) => void
  /** A version is applied: all cores are told. */
  applied: (key: string, version: number) => void
}

export function makeAcknowledgements(links: CoreLinks): Acknowledgements {
  const versions = new Map<string, number>()
  // pushNumbers: the last push of each register by each core.
  const pushNumbers = new Map<string, number>()

  function all(): ReadonlyMap<string, number> {
    return versions
  }
  function pushed(core: string, key: string, pushNumber: number): void {
    pushNumbers.set(`${core} ${key}`, pushNumber)
  }
  function tell(core: string, key: string): void {
    const turn = versions.get(key)
    if (turn === undefined) return
    links.get(core)?.link.tell({ t: 'ack', num: pushNumbers.get(`${core} ${key}`) ?? 0, key, turn })
  }
  function applied(key: string, version: number): void {
    if ((versions.get(key) ?? 0) >= version) return
    versions.set(key, version)
    for (const core of links.all().keys()) tell(core, key)
  }
  return { all, pushed, tell, applied }
}
