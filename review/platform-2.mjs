// The platform's side of POST /promotion, as a process of its own. It hands each call that it has read to the script
// that started it, and answers with the status that it is told.
import { createServer } from 'node:http'

const [host, port] = process.argv[2].split(':')
const pending = new Map()
let count = 0

const server = createServer((req, res) => {
  const chunks = []
  req.on('data', (chunk) => chunks.push(chunk))
  req.on('end', () => {
    let body
    try {
      body = JSON.parse(Buffer.concat(chunks).toString('utf8'))
    } catch {
      body = {}
    }
    if (req.method !== 'POST' || req.url !== '/promotion') {
      res.statusCode = 404
      return res.end()
    }
    const number = ++count
    pending.set(number, res)
    const call = {
      number,
      service: body.service,
      instance: body.instance_id,
      holder: req.headers['x-claynotch-duty-holder'],
      fence: req.headers['x-claynotch-fencing-token'],
    }
    process.stdout.write(`${JSON.stringify(call)}\r\n`)
  })
})
server.listen({ host, port: Number(port) })

let rest = ''
process.stdin.on('data', (chunk) => {
  rest += chunk.toString()
  for (;;) {
    const end = rest.indexOf('\r\n')
    if (end < 0) return
    const { number, status } = JSON.parse(rest.slice(0, end))
    rest = rest.slice(end + 2)
    const res = pending.get(number)
    pending.delete(number)
    if (!res) continue
    res.statusCode = status
    res.setHeader('content-type', 'application/json')
    res.end('{}')
  }
})
process.stdin.on('end', () => process.exit(0))
