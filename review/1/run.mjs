// Services with sync_replicas = 1. A replica is replaced as planned: the new one has started, the old one drains and goes on
// counting for sync_replicas. Meanwhile the primary crashes and comes back with its log seconds later. An acknowledged write
// that the instance promoted meanwhile lacks breaks LOST.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import * as p from '../parts.mjs'

const SERVICES = 24
// A quarter of the services is hit at a time.
const PLACES = 4
const PAUSE_MS = 5000
const DRAIN_MS = 7000
const DOWN_MS = 7000

await p.runCase(dirname(fileURLToPath(import.meta.url)), async (own) => {
  const fleet = new p.Fleet({ cores: 3, fronts: 6 })
  own(fleet)
  await fleet.plan()
  const services = []
  for (let k = 1; k <= SERVICES; k++) {
    // The replica beside the primary has a commit within 2 ms, those in other zones 20 ms after it.
    const svc = new p.Service(`ledger${k}`, { sync: 1, lagMs: (one) => (one.zone === 'z1' ? 2 : 20) })
    services.push(svc)
  }
  const platform = new p.Platform(fleet, services)
  await platform.start()
  await fleet.startAll()
  for (const [k, svc] of services.entries())
    for (let j = 1; j <= 3; j++)
      await new p.Instance(
        fleet,
        svc,
        `i-${k + 1}${j}`,
        `127.0.13.${10 * (k + 1) + j}`,
        fleet.base + 9,
        j === 3 ? 'z2' : 'z1',
        j === 1 ? 'primary' : 'replica',
      ).start()
  const doc = {
    revision: 7,
    routes: services.map((s) => p.route(`r-${s.name}`, `db${s.name}`, s.name, 'primary')),
    services: services.map((s) => p.service(s.name, 1)),
    limits: p.LIMITS,
  }
  if (!(await p.configure(fleet, 0, doc))) return 2
  if (!(await fleet.allReady(15000))) return 2
  p.note('all fronts are ready')

  // One client for each service writes, one statement after another.
  let over = false
  // The services that are hit next have the busiest clients.
  let busiest = 0
  const acked = new Map()
  const counts = new Map()
  async function client(svc, k) {
    const front = fleet.fronts[Math.floor(k / PLACES) % fleet.fronts.length]
    let session
    while (!over) {
      if (!session?.alive) {
        session = new p.Session(front.front, `db${svc.name}`)
        if (!(await session.open())) {
          await p.sleep(200)
          continue
        }
      }
      const id = p.newId()
      const got = await session.ask(id, `WRITE t${k} ${id}`)
      counts.set(got.end, (counts.get(got.end) ?? 0) + 1)
      if (got.end === 'COMPLETE') acked.set(id, { svc, at: p.now(), place: got.place })
      p.note(`client of ${svc.name} at ${front.name}: ${id} ${got.end} ${got.place ?? ''}`)
      if (got.end !== 'COMPLETE' || k % PLACES !== busiest) await p.sleep(100)
    }
    session?.close()
  }
  const clients = services.map(client)
  await p.sleep(3000)
  if (acked.size === 0) return 2

  // A replica leaves in order; its log is passed to a new instance at its address.
  async function leave(svc, replica) {
    replica.state = 'draining'
    const to = await replica.say(`/api/Instances.Heartbeat/${replica.id}`, replica.body())
    p.note(`${replica.id} of ${svc.name} is draining, acknowledged by ${to?.name}`)
    await p.sleep(DRAIN_MS + 500)
    await replica.say(`/api/Instances.SignOff/${replica.id}`)
    replica.end()
    svc.instances.splice(svc.instances.indexOf(replica), 1)
    const [ip, port] = replica.addr.split(':')
    const next = new p.Instance(fleet, svc, `${replica.id}n`, ip, Number(port), replica.zone, 'replica')
    next.log = replica.log
    next.term = replica.term
    await p.sleep(200)
    await next.restart()
  }
  for (let place = 0; place < PLACES; place++) {
    busiest = place
    await p.sleep(2000)
    const hit = services.filter((_, k) => k % PLACES === place)
    const leaving = hit.map((svc) => leave(svc, svc.instances[1]))
    await p.sleep(1000)
    const crashed = p.TROUBLE ? hit.map((svc) => svc.instances[0]) : []
    for (const one of crashed) one.crash()
    await p.sleep(DOWN_MS)
    for (const one of crashed) await one.restart()
    await Promise.all(leaving)
    await p.sleep(PAUSE_MS)
  }
  over = true
  await Promise.all(clients)
  let lost = 0
  for (const svc of services)
    for (const [k, promotion] of svc.promotions.entries()) {
      const has = new Set(promotion.log)
      for (const [id, { svc: of, at, place }] of acked) {
        if (of !== svc || at >= promotion.at || has.has(id)) continue
        // Each loss counts once, at the first promotion after its acknowledgement.
        if (k > 0 && at < svc.promotions[k - 1].at) continue
        lost++
        p.note(
          `LOST: ${id} of ${svc.name}, acknowledged at ${(at / 1000).toFixed(3)} as ${place}, is not in the log of ${promotion.id}, which leads term ${promotion.term} since ${(promotion.at / 1000).toFixed(3)}`,
        )
      }
    }
  p.note(
    `answers: ${[...counts].map(([k, v]) => `${k} ${v}`).join(', ')}; promotions: ${services.reduce((n, s) => n + s.promotions.length, 0)}; acknowledged writes lost: ${lost}`,
  )
  return lost > 0 ? 1 : 0
})
