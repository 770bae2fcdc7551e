import {
  invalidRequest,
  serveHttp,
  type Address,
  type HttpRequest,
  type HttpResponse,
  type HttpListener,
  type World,
} from '@claynotch/base'
import { answerProbe, type Probes } from '@claynotch/host'
import { httpInstanceAdapter, type InstanceAdapter } from '@claynotch/instance'
import { readDeadline, readWord, writeVerdict } from '@claynotch/requester'
import type { ClientMemory } from './client-memory.js'
import type { Sessions } from './sessions.js'

/** connections: held at most; further ones are closed at once. */
export type ClientListenOptions = { addr: Address; connections: number }

// How a proxy speaks with its peers, chosen when the process starts.
export type ClientAdapter = (
  world: World,
  options: ClientListenOptions,
  sessions: Sessions,
  memory: ClientMemory,
) => Promise<HttpListener>
// Answers who asks whether this process is well; undefined: no such path.
export type HealthCheckAdapter = (ask: HttpRequest, probes: Probes) => HttpResponse | undefined
export type ProxyAdapters = { instance: InstanceAdapter; requester: ClientAdapter; probes: HealthCheckAdapter }

function httpRequester(world: World, options: ClientListenOptions, sessions: Sessions): Promise<HttpListener> {
  async function handle(ask: HttpRequest): Promise<HttpResponse> {
    const word = readWord(ask)
    if (word.err) return invalidRequest(word.val.status, word.val.why, word.val.findings)
    const ms = readDeadline(ask)
    if (ms.err) return invalidRequest(400, 'not understood', ms.val)
    return writeVerdict(await sessions.run(word.val, ms.val, ask.gone))
  }
  return serveHttp(world, options.addr, handle, { lines: options.connections })
}
export const httpAdapters: ProxyAdapters = {
  instance: httpInstanceAdapter,
  requester: httpRequester,
  probes: answerProbe,
}
