import {
  makeFlag,
  makeHello,
  makePersistentLink,
  type Address,
  type Flag,
  type PersistentLink,
  type World,
} from '@claynotch/base'
import type { CoreMember } from './core-set.js'

/** The link to another voter. */
export type CorePeer = { id: string; addr: Address; held: PersistentLink; end: () => void }

export type CorePeersEvents = { added: (id: string) => void; removed: (id: string) => void }

/** The links of one core to the other voters of its set. */
export type CorePeers = {
  list: () => CorePeer[]
  /** Links to these places and to no others; those that stand already are kept. */
  connect: (places: CoreMember[]) => void
}

/** Only answers come on such a link. */
function ignore(): undefined {
  return undefined
}

export function makeCorePeers(world: World, id: string, stop: Flag, events: CorePeersEvents): CorePeers {
  const hello = makeHello('core', id)
  let peers: CorePeer[] = []

  function open(place: CoreMember): CorePeer {
    const ended = makeFlag()
    const unwatch = stop.watch(ended.fire)
    function end(): void {
      unwatch()
      ended.fire()
    }
    return { id: place.id, addr: place.addr, held: makePersistentLink(world, place.addr, hello, ignore, ended), end }
  }
  function connect(places: CoreMember[]): void {
    const before = peers
    peers = []
    for (const place of places) {
      const old = before.find(isSame)
      function isSame(peer: CorePeer): boolean {
        return peer.id === place.id && peer.addr === place.addr
      }
      peers.push(old ?? open(place))
      if (!old) events.added(place.id)
    }
    for (const peer of before) {
      if (peers.includes(peer)) continue
      peer.end()
      events.removed(peer.id)
    }
  }
  function list(): CorePeer[] {
    return peers
  }
  return { list, connect }
}
