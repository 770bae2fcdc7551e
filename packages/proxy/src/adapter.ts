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
import { parseDeadline, parseRequest, formatVerdict } from '@claynotch/requester'
import type { ClientMemory } from './client-memory.js'
import type { Sessions } from './sessions.js'

/** Where to listen for clients. connections: maximum number of open connections; further ones are closed at once. */
export type ClientListenOptions = { addr: Address; connections: number }

/** Serves clients over one wire protocol; chosen when the process starts. */
export type ClientAdapter = (
  world: World,
  options: ClientListenOptions,
  sessions: Sessions,
  memory: ClientMemory,
) => Promise<HttpListener>
/** Answers health check requests; undefined: no such path. */
export type HealthCheckAdapter = (request: HttpRequest, probes: Probes) => HttpResponse | undefined
/** The protocols that a proxy speaks: with instances, with clients and for health checks. */
export type ProxyAdapters = { instance: InstanceAdapter; requester: ClientAdapter; probes: HealthCheckAdapter }

function httpRequester(world: World, options: ClientListenOptions, sessions: Sessions): Promise<HttpListener> {
  async function handle(request: HttpRequest): Promise<HttpResponse> {
    const clientRequest = parseRequest(request)
    if (clientRequest.err)
      return invalidRequest(clientRequest.val.status, clientRequest.val.why, clientRequest.val.findings)
    const timeoutMs = parseDeadline(request)
    if (timeoutMs.err) return invalidRequest(400, 'not understood', timeoutMs.val)
    return formatVerdict(await sessions.run(clientRequest.val, timeoutMs.val, request.gone))
  }
  return serveHttp(world, options.addr, handle, { lines: options.connections })
}
/** The adapters of the project's own HTTP protocol. */
export const httpAdapters: ProxyAdapters = {
  instance: httpInstanceAdapter,
  requester: httpRequester,
  probes: answerProbe,
}
