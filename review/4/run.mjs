// A service with sync_replicas = 1 that several clients write to. Its primary is lost for good; both replicas are well and
// have every acknowledged commit between them. The closing fault follows: the core machine that acknowledged a change loses
// its disk. Requests sent later than recovery_s after it is back must be served again (RECOVER).
// KEEP_PRIMARY=1: the closing fault alone, with the primary as it was.
import { rmSync, mkdirSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import * as p from '../parts.mjs'

const RECOVERY_MS = 12000
const MEASURED_MS = 20000
const DOWN_MS = 720
const CLIENTS = 18

await p.runCase(dirname(fileURLToPath(import.meta.url)), async (own) => {
  const fleet = new p.Fleet({ cores: 5, fronts: 6 })
  own(fleet)
  await fleet.plan()
  const svc = new p.Service('ledger', { sync: 1, lagMs: () => 15 + Math.random() * 10 })
  const platform = new p.Platform(fleet, [svc])
  await platform.start()
  await fleet.startAll()
  for (let k = 1; k <= 3; k++)
    await new p.Instance(
      fleet,
      svc,
      `i-${k}`,
      `127.0.13.${k}`,
      fleet.base + 9,
      `z${k}`,
      k === 1 ? 'primary' : 'replica',
    ).start()
  const doc = {
    revision: 7,
    routes: [p.route('r-1', 'db1', 'ledger', 'primary')],
    services: [p.service('ledger', 1)],
    limits: p.LIMITS,
  }
  if (!(await p.configure(fleet, 0, doc))) return 2
  if (!(await fleet.allReady(15000))) return 2
  p.note('all fronts are ready')

  let over = false
  const tries = []
  async function client(k) {
    const front = fleet.fronts[k % fleet.fronts.length]
    let session
    while (!over) {
      if (!session?.alive) {
        session = new p.Session(front.front, 'db1')
        if (!(await session.open())) {
          await p.sleep(200)
          continue
        }
      }
      const id = p.newId()
      const sent = p.now()
      const got = await session.ask(id, Math.random() < 0.8 ? `WRITE t${k} ${id}` : `READ t${k}`)
      tries.push({ sent, served: got.end === 'COMPLETE' })
      p.note(`client ${k} at ${front.name}: ${id} sent ${(sent / 1000).toFixed(3)}: ${got.end}`)
      await p.sleep(got.end === 'COMPLETE' ? 10 : 200)
    }
    session?.close()
  }
  const clients = []
  for (let k = 0; k < CLIENTS; k++) clients.push(client(k))
  await p.sleep(6000)
  if (p.TROUBLE && process.env.KEEP_PRIMARY !== '1') {
    svc.instances[0].crash()
    await p.sleep(500)
  }
  if (!(await p.configure(fleet, 7, { ...doc, revision: 9 }))) return 2
  const closedAt = p.now()
  if (p.TROUBLE) {
    const wiped = fleet.cores[0]
    await fleet.kill(wiped, 'core')
    rmSync(join(fleet.folder, wiped.name), { recursive: true })
    mkdirSync(join(fleet.folder, wiped.name))
    p.note(`${wiped.name} lost its disk`)
    await p.sleep(DOWN_MS)
    fleet.start(wiped, 'core', false)
  }
  const backAt = p.now()
  await p.sleep(RECOVERY_MS + MEASURED_MS)
  over = true
  await Promise.all(clients)
  const share = (list) => (list.length === 0 ? 0 : list.filter((t) => t.served).length / list.length)
  const before = share(tries.filter((t) => t.sent < closedAt))
  const late = tries.filter((t) => t.sent > backAt + RECOVERY_MS)
  const after = share(late)
  p.note(
    `places: ${svc.instances.map((i) => `${i.id} ${i.place()}${i.up ? '' : ' (gone)'}`).join(', ')}; promotions: ${svc.promotions.length}`,
  )
  p.note(
    `served before the closing fault: ${(100 * before).toFixed(1)} %; later than ${RECOVERY_MS} ms after it: ${(100 * after).toFixed(1)} % of ${late.length}`,
  )
  if (before < 0.25 || late.length === 0) return 2
  return after < 0.25 ? 1 : 0
})
