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

// First message on every link, both ways. Mixed versions: both sides speak the lower of the two
// epochs; a side whose least is above that closes the link and logs it.
export const Hello = t.type({ t: t.literal('hello'), kind: t.string, node: t.string, epoch: t.number, least: t.number })
export type Hello = t.TypeOf<typeof Hello>

export function makeHello(kind: string, node: string, epoch = LINK_VERSION, least = MIN_LINK_VERSION): Hello {
  return { t: 'hello', kind, node, epoch, least }
}

// The epoch both can speak, or undefined.
export function commonLinkVersion(a: Hello, b: Hello): number | undefined {
  const both = Math.min(a.epoch, b.epoch)
  return both >= a.least && both >= b.least ? both : undefined
}

export type PersistentLink = {
  addr: Address
  ask: (msg: unknown, ms: number) => Promise<unknown>
  tell: (msg: unknown) => void
  up: () => boolean
  peer: () => Hello | undefined
  close: () => void
}

// Keeps one link to a peer up, dialling anew with growing pauses whenever it is lost.
export function makePersistentLink(
  world: World,
  addr: Address,
  mine: Hello,
  take: MessageHandler,
  stop: Flag,
  onUp?: (held: PersistentLink, peer: Hello) => void,
): PersistentLink {
  // link: set only while the hello was exchanged and the link is open.
  let link: Link | undefined
  let peer: Hello | undefined
  const ended = makeFlag()
  const change = makeSignal()
  stop.watch(ended.fire)

  async function once(): Promise<boolean> {
    let stream
    try {
      stream = await world.dial(addr, DIAL_TIMEOUT_MS)
    } catch {
      return false
    }
    const mineNow = makeLink(world, stream, take)
    const unwatch = ended.watch(mineNow.close)
    const got = Hello.decode(await mineNow.ask(mine, DIAL_TIMEOUT_MS))
    if (got._tag === 'Left') {
      mineNow.close('no hello')
      return false
    }
    if (commonLinkVersion(mine, got.right) === undefined) {
      mineNow.close(`link epoch ${got.right.epoch} of ${got.right.node} does not fit`)
      return false
    }
    link = mineNow
    peer = got.right
    change.notify()
    onUp?.(held, peer)
    while (!mineNow.closed.fired()) {
      await pause(world, LINK_SILENCE_MS / 3, mineNow.closed)
      if (mineNow.closed.fired()) break
      if (world.now() - mineNow.heard() > LINK_SILENCE_MS) mineNow.close('link quiet')
      // Both sides must hear something; where they do anyway, no ping is needed.
      else if (world.now() - Math.min(mineNow.heard(), mineNow.said()) > LINK_SILENCE_MS / 3)
        void mineNow.ask({ t: 'ping' }, LINK_SILENCE_MS)
    }
    link = undefined
    unwatch()
    return true
  }
  async function run(): Promise<void> {
    let wait = MIN_REDIAL_DELAY_MS
    while (!ended.fired()) {
      const was = await once()
      wait = was ? MIN_REDIAL_DELAY_MS : Math.min(MAX_REDIAL_DELAY_MS, wait * 2)
      await pause(world, wait * (0.5 + world.random() / 2), ended)
    }
  }
  async function ask(msg: unknown, ms: number): Promise<unknown> {
    return link ? await link.ask(msg, ms) : undefined
  }
  function tell(msg: unknown): void {
    link?.tell(msg)
  }
  function up(): boolean {
    return link !== undefined
  }
  function peerNow(): Hello | undefined {
    return peer
  }
  const held: PersistentLink = { addr, ask, tell, up, peer: peerNow, close: ended.fire }
  void run()
  return held
}

// The answering side: says hello, then hands every later message on.
export function acceptLinks(
  world: World,
  mine: Hello,
  serve: (peer: Hello, link: Link) => MessageHandler,
  lost?: (peer: Hello, link: Link) => void,
): (stream: Parameters<typeof makeLink>[1]) => void {
  function open(stream: Parameters<typeof makeLink>[1]): void {
    let inner: MessageHandler | undefined
    async function take(msg: unknown, link: Link): Promise<unknown> {
      if (inner) {
        if ((msg as { t?: unknown } | null)?.t === 'ping') return { t: 'pong' }
        return await inner(msg, link)
      }
      const got = Hello.decode(msg)
      if (got._tag === 'Left') throw new Error('no hello')
      const peer = got.right
      if (commonLinkVersion(mine, peer) === undefined) {
        world.log.warn('link-epoch-unfit', { peer: peer.node, epoch: peer.epoch })
        // The answer goes out first, so that the other side can log the cause too.
        world.later(0, link.close)
        return mine
      }
      inner = serve(peer, link)
      function over(): void {
        lost?.(peer, link)
      }
      link.closed.watch(over)
      return mine
    }
    const link = makeLink(world, stream, take)
    async function guard(): Promise<void> {
      while (!link.closed.fired()) {
        await pause(world, LINK_SILENCE_MS, link.closed)
        if (!link.closed.fired() && world.now() - link.heard() > LINK_SILENCE_MS) link.close('link quiet')
      }
    }
    void guard()
  }
  return open
}
