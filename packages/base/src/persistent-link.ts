import * as t from 'io-ts'
import {
  DIAL_TIMEOUT_MS,
  MIN_REDIAL_DELAY_MS,
  MAX_REDIAL_DELAY_MS,
  LINK_VERSION,
  MIN_LINK_VERSION,
  LINK_SILENCE_MS,
} from './constants.js'
import { makeLink, type Link, type MessageHandler } from './link.js'
import { makeSignal, makeFlag, pause, type Flag } from './waiting.js'
import type { Address, World } from './world.js'

/**
 * First message in both directions on every link. With mixed versions both sides speak the lower of the two versions
 * (epoch); a side whose lowest supported version (least) is above it closes the link and logs that.
 */
export const Hello = t.type({ t: t.literal('hello'), kind: t.string, node: t.string, epoch: t.number, least: t.number })
export type Hello = t.TypeOf<typeof Hello>

export function makeHello(kind: string, node: string, epoch = LINK_VERSION, least = MIN_LINK_VERSION): Hello {
  return { t: 'hello', kind, node, epoch, least }
}

/** The highest link version that both sides speak, or undefined. */
export function commonLinkVersion(a: Hello, b: Hello): number | undefined {
  const version = Math.min(a.epoch, b.epoch)
  return version >= a.least && version >= b.least ? version : undefined
}

/** A link to a peer that is dialled again whenever it is lost. */
export type PersistentLink = {
  addr: Address
  /** Sends a request; resolves to undefined while the link is down, if it closes, or if no answer arrives in time. */
  ask: (msg: unknown, timeoutMs: number) => Promise<unknown>
  /** Sends a message without an answer; dropped while the link is down. */
  tell: (msg: unknown) => void
  up: () => boolean
  /** The peer's most recent hello. */
  peer: () => Hello | undefined
  close: () => void
}

/** Keeps one link to a peer open and dials again with increasing delays whenever it is lost. */
export function makePersistentLink(
  world: World,
  addr: Address,
  ownHello: Hello,
  handleMessage: MessageHandler,
  stop: Flag,
  onUp?: (persistentLink: PersistentLink, peer: Hello) => void,
): PersistentLink {
  /** Set only while the link is open and the hellos were exchanged. */
  let link: Link | undefined
  let peer: Hello | undefined
  const isClosed = makeFlag()
  const linkChanged = makeSignal()
  stop.watch(isClosed.fire)

  async function connectOnce(): Promise<boolean> {
    let stream
    try {
      stream = await world.dial(addr, DIAL_TIMEOUT_MS)
    } catch {
      return false
    }
    const newLink = makeLink(world, stream, handleMessage)
    const unwatch = isClosed.watch(newLink.close)
    const peerHello = Hello.decode(await newLink.ask(ownHello, DIAL_TIMEOUT_MS))
    if (peerHello._tag === 'Left') {
      newLink.close('peer sent no valid hello')
      return false
    }
    if (commonLinkVersion(ownHello, peerHello.right) === undefined) {
      newLink.close(`unsupported link version ${peerHello.right.epoch} of ${peerHello.right.node}`)
      return false
    }
    link = newLink
    peer = peerHello.right
    linkChanged.notify()
    onUp?.(persistentLink, peer)
    while (!newLink.closed.fired()) {
      await pause(world, LINK_SILENCE_MS / 3, newLink.closed)
      if (newLink.closed.fired()) break
      if (world.now() - newLink.heard() > LINK_SILENCE_MS) newLink.close('nothing received within LINK_SILENCE_MS')
      // Both sides have to receive something regularly; where other messages do that, no ping is needed.
      else if (world.now() - Math.min(newLink.heard(), newLink.said()) > LINK_SILENCE_MS / 3)
        void newLink.ask({ t: 'ping' }, LINK_SILENCE_MS)
    }
    link = undefined
    unwatch()
    return true
  }
  async function run(): Promise<void> {
    let delayMs = MIN_REDIAL_DELAY_MS
    while (!isClosed.fired()) {
      const wasConnected = await connectOnce()
      delayMs = wasConnected ? MIN_REDIAL_DELAY_MS : Math.min(MAX_REDIAL_DELAY_MS, delayMs * 2)
      await pause(world, delayMs * (0.5 + world.random() / 2), isClosed)
    }
  }
  async function ask(msg: unknown, timeoutMs: number): Promise<unknown> {
    return link ? await link.ask(msg, timeoutMs) : undefined
  }
  function tell(msg: unknown): void {
    link?.tell(msg)
  }
  function up(): boolean {
    return link !== undefined
  }
  function currentPeer(): Hello | undefined {
    return peer
  }
  const persistentLink: PersistentLink = { addr, ask, tell, up, peer: currentPeer, close: isClosed.fire }
  void run()
  return persistentLink
}

/** Accepting side of a link: answers the hello, then passes every later message to the handler from serve(). */
export function acceptLinks(
  world: World,
  ownHello: Hello,
  serve: (peer: Hello, link: Link) => MessageHandler,
  onClosed?: (peer: Hello, link: Link) => void,
): (stream: Parameters<typeof makeLink>[1]) => void {
  function acceptStream(stream: Parameters<typeof makeLink>[1]): void {
    let handleMessage: MessageHandler | undefined
    async function handleFirstOrLater(msg: unknown, link: Link): Promise<unknown> {
      if (handleMessage) {
        if ((msg as { t?: unknown } | null)?.t === 'ping') return { t: 'pong' }
        return await handleMessage(msg, link)
      }
      const helloDecoded = Hello.decode(msg)
      if (helloDecoded._tag === 'Left') throw new Error('peer sent no valid hello')
      const peer = helloDecoded.right
      if (commonLinkVersion(ownHello, peer) === undefined) {
        world.log.warn('link-epoch-unfit', { peer: peer.node, epoch: peer.epoch })
        // Sends the answer before closing, so that the other side can log the cause too.
        world.later(0, link.close)
        return ownHello
      }
      handleMessage = serve(peer, link)
      function notifyClosed(): void {
        onClosed?.(peer, link)
      }
      link.closed.watch(notifyClosed)
      return ownHello
    }
    const link = makeLink(world, stream, handleFirstOrLater)
    async function closeWhenSilent(): Promise<void> {
      while (!link.closed.fired()) {
        await pause(world, LINK_SILENCE_MS, link.closed)
        if (!link.closed.fired() && world.now() - link.heard() > LINK_SILENCE_MS)
          link.close('nothing received within LINK_SILENCE_MS')
      }
    }
    void closeWhenSilent()
  }
  return acceptStream
}
