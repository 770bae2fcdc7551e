import t, { type Test } from 'tap'
import { makeFlag, pause, serveHttp, type HttpRequest, type Flag, type HttpResponse, type World } from '@claynotch/base'
import { limitToOneCallPerGroup } from '@claynotch/failover'
import { promote, type PromotionRequest, type PromotionResult } from '@claynotch/host'
import { makeSim } from '../sim.js'

// The promotion call: which are on their way, and which are made no more.

const what: PromotionRequest = { group: 'ledger', instance: 'i-1', addr: '10.0.9.1:80', epoch: 4, holder: 'front1', fence: 7 }

// Runs on a node beside a platform that notes each call and answers it after so many ms.
async function beside(run: (world: World, asks: HttpRequest[]) => Promise<void>, ms = 50): Promise<void> {
  const sim = makeSim(1)
  const asks: HttpRequest[] = []
  let over = false
  async function start(world: World): Promise<void> {
    async function handle(ask: HttpRequest): Promise<HttpResponse> {
      asks.push(ask)
      await pause(world, ms)
      return { status: 200, body: {} }
    }
    await serveHttp(world, '10.0.9.1:80', handle)
  }
  async function call(world: World): Promise<void> {
    await pause(world, 10)
    await run(world, asks)
    over = true
  }
  sim.spawn(sim.machine('platform', '10.0.9.1'), 'platform', start)
  sim.spawn(sim.machine('node', '10.0.2.1'), 'node', call)
  function isOver(): boolean {
    return over
  }
  if (!(await sim.until(isOver, 60000))) throw new Error('the calls did not end')
}

async function single(c: Test): Promise<void> {
  async function run(world: World, asks: HttpRequest[]): Promise<void> {
    const call = limitToOneCallPerGroup(promote)
    const first = call(world, '10.0.9.1:80', what)
    c.equal((await call(world, '10.0.9.1:80', what)).end, 'unclear', 'a second call of the group')
    const other = call(world, '10.0.9.1:80', { ...what, group: 'other' })
    c.strictSame([(await first).end, (await other).end], ['done', 'done'])
    c.equal(asks.length, 2, 'one of each group was sent')
    c.equal((await call(world, '10.0.9.1:80', what)).end, 'done', 'the next goes out once the first has ended')
    c.equal(asks.length, 3)
  }
  await beside(run)
}

// A call that ends badly, by a throw too, keeps nobody from the next one.
async function freed(c: Test): Promise<void> {
  let thrown = 0
  async function broken(): Promise<PromotionResult> {
    thrown++
    throw new Error('a fault of the edge')
  }
  async function run(world: World): Promise<void> {
    const call = limitToOneCallPerGroup(broken)
    await c.rejects(call(world, undefined, what))
    await c.rejects(call(world, undefined, what))
    c.equal(thrown, 2)
  }
  await beside(run)
}

// What allowed the call ended while the connection was dialled: nothing is written.
async function lapsed(c: Test): Promise<void> {
  const sim = makeSim(2)
  const asks: HttpRequest[] = []
  const ends: PromotionResult[] = []
  const ready: Flag = makeFlag()
  let until = 0
  async function start(world: World): Promise<void> {
    function handle(ask: HttpRequest): HttpResponse {
      asks.push(ask)
      return { status: 200, body: {} }
    }
    await serveHttp(world, '10.0.9.1:80', handle)
  }
  async function call(world: World): Promise<void> {
    await pause(world, 10)
    until = world.now() + 2500
    function may(): boolean {
      return world.now() < until
    }
    ready.fire()
    ends.push(await promote(world, '10.0.9.1:80', { ...what, may }))
  }
  sim.spawn(sim.machine('platform', '10.0.9.1'), 'platform', start)
  const node = sim.spawn(sim.machine('node', '10.0.2.1'), 'node', call)
  await sim.until(ready.fired, 1000)
  // Asleep for 20 s with the dial under way.
  sim.freeze(node)
  await sim.run(sim.now() + 20000)
  sim.thaw(node)
  await sim.run(sim.now() + 5000)
  c.strictSame([ends.length, ends[0]?.end], [1, 'refused'], ends[0]?.why)
  c.equal(asks.length, 0, 'the platform was called by a node whose term was over')
}

void t.test('one call of a group at a time', single)
void t.test('a call that ends badly keeps nobody from the next', freed)
void t.test('no call once what allowed it has ended', lapsed)
