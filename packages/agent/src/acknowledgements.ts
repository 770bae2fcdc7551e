import type { CoreLinks } from './core-links.js'

/** Acknowledges to the cores which version of each register is applied on this machine. */
export type Acknowledgements = {
  /** The applied version of each register. */
  all: () => ReadonlyMap<string, number>
  /** A core pushed the register under this number. */
  pushed: (core: string, key: string, pushNumber: number) => void
  /** Sends the acknowledgement of one register to one core again. */
  tell: (core: string, key: string) => void
  /** Records that a version is applied and sends the acknowledgement to all cores. */
  applied: (key: string, version: number) => void
}

export function makeAcknowledgements(links: CoreLinks): Acknowledgements {
  const versions = new Map<string, number>()
  /** The number of the last push by core and register. */
  const pushNumbers = new Map<string, number>()

  function all(): ReadonlyMap<string, number> {
    return versions
  }
  function pushed(core: string, key: string, pushNumber: number): void {
    pushNumbers.set(`${core} ${key}`, pushNumber)
  }
  function tell(core: string, key: string): void {
    const version = versions.get(key)
    if (version === undefined) return
    links.get(core)?.link.tell({ t: 'ack', num: pushNumbers.get(`${core} ${key}`) ?? 0, key, turn: version })
  }
  function applied(key: string, version: number): void {
    if ((versions.get(key) ?? 0) >= version) return
    versions.set(key, version)
    for (const core of links.all().keys()) tell(core, key)
  }
  return { all, pushed, tell, applied }
}
