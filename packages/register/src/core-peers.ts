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

/** Another voter and the persistent link to it. */
export type CorePeer = { id: string; addr: Address; held: PersistentLink; close: () => void }

/** Called when a voter is added to or removed from the peers. */
export type CorePeersEvents = { added: (id: string) => void; removed: (id: string) => void }

/** The links of one core to the other voters of its set. */
export type CorePeers = {
  /** The present peers. */
  list: () => CorePeer[]
  /** Keeps links to exactly these voters; existing links are reused, others are closed. */
  connect: (voters: CoreMember[]) => void
}

/** Ignores messages: the other voter sends only answers on this link. */
function ignoreMessage(): undefined {
  return undefined
}

/** Makes an empty set of peers. All links close when `stop` fires. */
export function makeCorePeers(world: World, id: string, stop: Flag, events: CorePeersEvents): CorePeers {
  const hello = makeHello('core', id)
  let peers: CorePeer[] = []

  function openPeer(voter: CoreMember): CorePeer {
    const closed = makeFlag()
    const unwatch = stop.watch(closed.fire)
    function close(): void {
      unwatch()
      closed.fire()
    }
    return {
      id: voter.id,
      addr: voter.addr,
      held: makePersistentLink(world, voter.addr, hello, ignoreMessage, closed),
      close,
    }
  }
  function connect(voters: CoreMember[]): void {
    const previousPeers = peers
    peers = []
    for (const voter of voters) {
      const existing = previousPeers.find(isSamePeer)
      function isSamePeer(peer: CorePeer): boolean {
        return peer.id === voter.id && peer.addr === voter.addr
      }
      peers.push(existing ?? openPeer(voter))
      if (!existing) events.added(voter.id)
    }
    for (const peer of previousPeers) {
      if (peers.includes(peer)) continue
      peer.close()
      events.removed(peer.id)
    }
  }
  function list(): CorePeer[] {
    return peers
  }
  return { list, connect }
}
