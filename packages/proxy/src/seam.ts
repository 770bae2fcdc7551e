import { badInput, serve, type Addr, type Ask, type Reply, type Serving, type World } from '@claynotch/base'
import { takeProbe, type Probes } from '@claynotch/host'
import { httpInstance, type InstanceEdge } from '@claynotch/instance'
import { readDeadline, readWord, writeVerdict } from '@claynotch/requester'
import type { Sessions } from './sessions.js'

// How a proxy speaks with its peers, chosen when the process starts.
export type RequesterEdge = (world: World, addr: Addr, sessions: Sessions) => Promise<Serving>
// Answers who asks whether this process is well; undefined: no such path.
export type ProbeEdge = (ask: Ask, probes: Probes) => Reply | undefined
export type ProxyEdges = { instance: InstanceEdge; requester: RequesterEdge; probes: ProbeEdge }

function httpRequester(world: World, addr: Addr, sessions: Sessions): Promise<Serving> {
  async function handle(ask: Ask): Promise<Reply> {
    const word = readWord(ask)
    if (word.err) return badInput(word.val.status, word.val.why, word.val.findings)
    const ms = readDeadline(ask)
    if (ms.err) return badInput(400, 'not understood', ms.val)
    return writeVerdict(await sessions.run(word.val, ms.val, ask.gone))
  }
  return serve(world, addr, handle)
}
export const ownEdges: ProxyEdges = { instance: httpInstance, requester: httpRequester, probes: takeProbe }
