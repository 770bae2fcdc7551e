import { Session, type Profiler } from 'node:inspector'

// Where a process spends its time, by mechanism: V8's own sampling, each sample given to the innermost function of ours
// that belongs to one. The sum is taken from process.cpuUsage, only the shares from here.
type Rule = { file: string; names?: string[]; mechanism: string }
const rules: Rule[] = [
  { file: 'peer/dist/', mechanism: 'summaries' },
  { file: 'node:dgram', mechanism: 'summaries' },
  { file: 'failover/dist/', mechanism: 'duty' },
  { file: 'register/dist/leases.js', mechanism: 'terms' },
  { file: 'register/dist/proposer.js', mechanism: 'registers' },
  { file: 'register/dist/register-store.js', mechanism: 'registers' },
  { file: 'base/dist/data-file.js', mechanism: 'registers' },
  { file: 'register/dist/core.js', names: ['push', 'learn'], mechanism: 'pushes' },
  { file: 'register/dist/core.js', names: ['handOver', 'takeOver', 'keepFor', 'refill', 'found'], mechanism: 'repair' },
  { file: 'register/dist/core.js', names: ['keyLines', 'isSettled'], mechanism: 'terms' },
  { file: 'operator/dist/', mechanism: 'registers' },
  { file: 'agent/dist/agent.js', names: ['renew', 'merge', 'ask', 'isOk'], mechanism: 'terms' },
  { file: 'agent/dist/agent.js', names: ['catchUp', 'catchUpIfNeeded'], mechanism: 'registers' },
  { file: 'agent/dist/agent.js', names: ['holdSlot', 'putSlot'], mechanism: 'shares' },
  { file: 'agent/dist/agent.js', names: ['feed'], mechanism: 'feeds' },
  { file: 'agent/dist/agent.js', names: ['heard'], mechanism: 'announcements' },
  { file: 'agent/dist/agent.js', names: ['summary'], mechanism: 'summaries' },
  { file: 'agent/dist/agent.js', names: ['tellAck', 'ackAll'], mechanism: 'acknowledgements' },
  { file: 'proxy/dist/state.js', mechanism: 'feeds' },
  { file: 'proxy/dist/watch.js', mechanism: 'freshness' },
  { file: 'fleet/dist/hollownode.js', names: ['note', 'take'], mechanism: 'feeds' },
  { file: 'node:_http', mechanism: 'http' },
  { file: 'node:internal/http', mechanism: 'http' },
  { file: 'base/dist/http-server.js', mechanism: 'http' },
  { file: 'base/dist/link.js', mechanism: 'links' },
  // Not its wrappers of write and cast, whose callees are the paths of the product.
  { file: 'fleet/dist/tap.js', names: ['take', 'readHead', 'textAfter', 'nameOf', 'add'], mechanism: 'counting' },
]

function mechanismOf(frame: Profiler.ProfileNode['callFrame']): string | undefined {
  for (const r of rules)
    if (frame.url.includes(r.file) && (!r.names || r.names.includes(frame.functionName))) return r.mechanism
  return undefined
}

// Samples by mechanism; idle ones are left out, and what belongs to none of ours is 'runtime'.
export function attribute(profile: Profiler.Profile): Map<string, number> {
  const byId = new Map<number, Profiler.ProfileNode>()
  for (const n of profile.nodes) byId.set(n.id, n)
  const out = new Map<string, number>()
  function add(name: string, by: number): void {
    if (by > 0) out.set(name, (out.get(name) ?? 0) + by)
  }
  function walk(node: Profiler.ProfileNode, above: string | undefined): void {
    const here = mechanismOf(node.callFrame) ?? above
    const name = node.callFrame.functionName
    if (name === '(garbage collector)') add('collection', node.hitCount ?? 0)
    else if (name !== '(idle)') add(here ?? 'runtime', node.hitCount ?? 0)
    for (const id of node.children ?? []) {
      const next = byId.get(id)
      if (next) walk(next, here)
    }
  }
  if (profile.nodes.length > 0) walk(profile.nodes[0], undefined)
  return out
}

export type Sampling = { start: () => Promise<void>; stop: () => Promise<Map<string, number>> }

export function makeSampling(): Sampling {
  const session = new Session()
  session.connect()
  function post(method: string, params?: object): Promise<unknown> {
    function run(ok: (v: unknown) => void, fail: (e: Error) => void): void {
      function done(e: Error | null, got?: object): void {
        if (e) fail(e)
        else ok(got)
      }
      session.post(method, params, done)
    }
    return new Promise(run)
  }
  async function start(): Promise<void> {
    await post('Profiler.enable')
    await post('Profiler.setSamplingInterval', { interval: 2000 })
    await post('Profiler.start')
  }
  async function stop(): Promise<Map<string, number>> {
    const got = (await post('Profiler.stop')) as { profile: Profiler.Profile }
    return attribute(got.profile)
  }
  return { start, stop }
}
