// Writes days of trouble for the bench, by seed: the same seed gives the same day. Only files are written; a shell plays them one by one.
//   node tools/benchdays.js SITE.toml FOLDER [--seed N] [--count N] [--template NAME] [--long] [--kinds FILE] [--traffic SHARE]
// NAME: one of the worst days (cut, orders, losses, storm, answers) or mix, any kinds at any moment; left out, all in turn.
// FILE: what the bench prints as the kinds of that site; others are left out of a mix. --long: a day with hundreds of changes.
// SHARE: of the site's traffic, for days on a busy machine; what is asked of control doesn't depend on it.
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { basename, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { CLOSINGS, KINDS } from './benchdays.list.js'

const { parse, stringify } = createRequire(new URL('../platform/package.json', import.meta.url))('smol-toml')

const DAY_S = 34
const LONG_DAY_S = 70
const LAST_S = 4
const STORM_CHANGES = 260
const STORM_S = 24
const MIX_LEAST = 5
const MIX_MOST = 12
const REPEATED = 0.25
const OVERLAPPING = 0.35
const MARKS = { one: 0.95, zero: 0.6, goal: { floor: 0.47 } }

/** A source of numbers from 0 to 1 that a seed determines (mulberry32). */
export function seeded(seed) {
  let state = seed >>> 0
  function next() {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296
  }
  return next
}

function between(next, least, most) {
  return rounded(least + next() * (most - least))
}

function oneOf(next, list) {
  return list[Math.floor(next() * list.length)]
}

function wholeBetween(next, least, most) {
  return least + Math.floor(next() * (most - least + 1))
}

function drawHow(next, groups) {
  const words = []
  for (const group of groups) words.push(oneOf(next, group))
  return words.filter(Boolean).join(' ')
}

/** One entry of a day: a row of the list, its fields and its variant drawn. */
function drawTrouble(next, row, at, zones) {
  const entry = { at, kind: row.kind }
  if (row.on !== undefined) entry.on = row.on
  for (const [name, least, most, whole] of row.fields)
    entry[name] = whole === true ? wholeBetween(next, least, most) : between(next, least, most)
  const how = drawHow(next, row.how)
  if (how !== '') entry.how = how
  for (const name of row.zones ?? []) entry[name] = oneOf(next, zones)
  return { list: row.list, entry }
}

function change(next, at) {
  return { list: 'plan', entry: { at, kind: 'config_change', how: oneOf(next, ['timeout', 'idle', 'weights']) } }
}

function rounded(at) {
  return Math.round(at * 100) / 100
}

function planned(at, kind, fields) {
  return { list: 'plan', entry: { at: rounded(at), kind, ...fields } }
}

function fault(at, kind, fields) {
  return { list: 'faults', entry: { at: rounded(at), kind, ...fields } }
}

function changesFrom(next, from, to, gap) {
  const out = []
  for (let at = from; at < to; at += gap) out.push(change(next, rounded(at)))
  return out
}

/** Worst day 1: a core machine cut off for 20 s, changes meanwhile. */
function cutDay(next) {
  const at = between(next, 4, 8)
  const kind = oneOf(next, ['core_cut', 'core_cut', 'node_cut'])
  const place = kind === 'core_cut' ? { count: 1 } : { on: 'core', count: 1 }
  const ways = kind === 'core_cut' ? ['', 'one_way', 'seeds', 'both'] : ['']
  const groups = [['', 'leader'], ways, ['', 'reset', 'refuse'], ['', 'meet', 'race', 'race hard']]
  const how = drawHow(next, groups)
  const cut = fault(at, kind, { ...place, for_s: 20, ...(how === '' ? {} : { how }) })
  return [cut, ...changesFrom(next, 2, DAY_S - LAST_S, between(next, 2, 4))]
}

/** Worst day 2: eight orders under way, races among them, while acknowledgements get lost. */
function ordersDay(next) {
  const at = between(next, 4, 10)
  const out = [fault(at - 1, 'ack_lost', { x: between(next, 0.5, 0.8), for_s: 16 })]
  for (let k = 0; k < 3; k++)
    out.push(planned(at + between(next, 0, 1), 'config_race', { count: 4, gap_s: between(next, 0.3, 1) }))
  for (let k = 0; k < 2; k++)
    out.push(planned(at + between(next, 0, 2), 'config_storm', { for_s: 5, gap_s: between(next, 0.08, 0.3) }))
  out.push(planned(at + between(next, 8, 12), 'config_race', { count: 3, gap_s: 0.5 }), change(next, 27))
  if (next() < 0.5)
    out.push(fault(at + between(next, 1, 4), 'node_kill', { on: 'core', count: 1, for_s: 3, how: 'leader' }))
  return out
}

/** Worst day 3: losses of core machines, one after the other, a change between each. */
function lossesDay(next) {
  const second = between(next, 10, 13)
  const seconds = [
    fault(second, 'after_ack_wipe', { for_s: between(next, 1, 3) }),
    fault(second, 'replace_core', { x: between(next, 0.5, 2) }),
    fault(second, 'node_kill', { on: 'core', count: 1, for_s: between(next, 2, 4), how: 'power' }),
  ]
  return [
    change(next, 2),
    fault(4, 'replace_core', { x: between(next, 0.5, 2) }),
    change(next, between(next, 7, 9)),
    oneOf(next, seconds),
    change(next, between(next, 14, 15.5)),
    fault(between(next, 16, 20), 'replace_core', { x: between(next, 0.5, 2) }),
    change(next, between(next, 20.5, 22.5)),
    fault(between(next, 23, 25), 'after_ack_wipe', { for_s: between(next, 1, 2) }),
    change(next, between(next, 27, 29)),
  ]
}

/** Worst day 4: hundreds of changes, a core machine without power for 12 s, one wiped, all killed. */
function stormDay(next) {
  const gap = Math.round((STORM_S / STORM_CHANGES) * 1000) / 1000
  return [
    planned(2, 'config_storm', { count: STORM_CHANGES, gap_s: gap }),
    fault(between(next, 3, 6), 'node_kill', {
      on: 'core',
      count: 1,
      for_s: 12,
      how: oneOf(next, ['power', 'power leader']),
    }),
    fault(between(next, 22, 25), 'after_ack_wipe', { for_s: between(next, 1, 2) }),
    change(next, 31),
  ]
}

/** Worst day 5: answers lost, connections reset, packets lost, processes frozen, instances crashed, power lost at an acknowledgement. */
function answersDay(next, zones) {
  const out = [change(next, 1.5)]
  const wanted = ['answer_lost', 'reset_conns', 'lossy', 'node_freeze', 'srv_crash', 'after_ack_kill', 'answer_lost']
  for (const kind of wanted) {
    const rows = KINDS.filter(isOfKind)
    out.push(drawTrouble(next, oneOf(next, rows), between(next, 2, 26), zones))
    function isOfKind(row) {
      return row.kind === kind
    }
  }
  return [...out, change(next, between(next, 10, 20)), change(next, 29)]
}

/** Any kinds at any moment, some again, some while another is under way. */
function mixDay(next, zones, rows, length) {
  const out = []
  const number = Math.round((wholeBetween(next, MIX_LEAST, MIX_MOST) * length) / DAY_S)
  let row = oneOf(next, rows)
  let at = 2
  for (let k = 0; k < number; k++) {
    if (next() >= REPEATED) row = oneOf(next, rows)
    at =
      next() < OVERLAPPING ? Math.min(at + between(next, 0, 1.5), length - LAST_S) : between(next, 1, length - LAST_S)
    out.push(drawTrouble(next, row, rounded(at), zones))
  }
  out.push(change(next, between(next, 1, length - LAST_S)))
  return out
}

function drawClosing(next) {
  const row = oneOf(next, CLOSINGS)
  const how = oneOf(next, row.how)
  return { kind: row.kind, down_s: between(next, 0.5, 1.6), ...(how === '' ? {} : { how }) }
}

function byTime(a, b) {
  return a.at - b.at
}

/** The names of the worst days, and mix. */
export const TEMPLATES = ['cut', 'orders', 'losses', 'storm', 'answers', 'mix']

function troublesOf(next, template, zones, rows, length) {
  if (template === 'cut') return cutDay(next)
  if (template === 'orders') return ordersDay(next)
  if (template === 'losses') return lossesDay(next)
  if (template === 'storm') return stormDay(next)
  if (template === 'answers') return answersDay(next, zones)
  return mixDay(next, zones, rows, length)
}

/** A day as the bench takes it; long ones have hundreds of changes and a core machine off, one wiped, all killed among the rest. */
export function drawDay({ seed, template, zones, kinds, long, traffic }) {
  const next = seeded(seed)
  const length = long === true ? LONG_DAY_S : DAY_S
  const rows = KINDS.filter(isPlayed)
  const troubles = troublesOf(next, template, zones, rows, length)
  if (long === true && template !== 'storm') troubles.push(...stormDay(next))
  const kills = template === 'losses' || template === 'storm' || long === true
  const closing = kills ? { kind: 'kill_all', down_s: between(next, 0.5, 1.6) } : drawClosing(next)
  const day = { name: `${template}-${seed}`, slot: 'trouble', seed, length_s: length, ...MARKS, closing }
  if (traffic !== undefined) day.traffic = traffic
  for (const list of ['plan', 'faults']) {
    day[list] = []
    for (const trouble of troubles) if (trouble.list === list) day[list].push(trouble.entry)
    day[list].sort(byTime)
  }
  return day
  function isPlayed(row) {
    return kinds === undefined || kinds.has(row.kind)
  }
}

/** The day as the text of a file. */
export function writeDay(day) {
  return stringify(day)
}

/** The kinds named in the bench's list of a site. */
export function readKinds(text) {
  const out = new Set()
  for (const found of text.matchAll(/^([a-z_]+): /gm)) out.add(found[1])
  return out
}

function readOptions(words) {
  const options = {
    places: [],
    seed: 1,
    count: 1,
    template: undefined,
    long: false,
    kinds: undefined,
    share: undefined,
  }
  for (let k = 0; k < words.length; k++) {
    const word = words[k]
    if (word === '--seed') options.seed = Number(words[++k])
    else if (word === '--count') options.count = Number(words[++k])
    else if (word === '--template') options.template = words[++k]
    else if (word === '--long') options.long = true
    else if (word === '--traffic') options.share = Number(words[++k])
    else if (word === '--kinds') options.kinds = readKinds(readFileSync(words[++k], 'utf8'))
    else options.places.push(word)
  }
  return options
}

/** The site's traffic at that share; undefined: as the site has it. */
export function thinned(traffic, share) {
  if (share === undefined) return undefined
  const out = []
  for (const one of traffic) out.push({ ...one, per_s: Math.round(one.per_s * share * 10) / 10 })
  return out
}

function zonesOf(site) {
  const zones = []
  for (const zone of site.zones) zones.push(zone.name)
  return zones
}

function writeDays(options) {
  const [site, folder] = options.places
  const named = options.template === undefined ? TEMPLATES : [options.template]
  if (folder === undefined || !TEMPLATES.includes(named[0])) {
    process.stderr.write(
      `usage: benchdays SITE.toml FOLDER [--seed N] [--count N] [--template ${TEMPLATES.join('|')}]\n`,
    )
    process.exitCode = 2
    return
  }
  const read = parse(readFileSync(site, 'utf8'))
  const zones = zonesOf(read)
  const traffic = thinned(read.traffic, options.share)
  mkdirSync(folder, { recursive: true })
  for (let k = 0; k < options.count; k++) {
    const seed = options.seed + k
    const template = named[k % named.length]
    const day = drawDay({ seed, template, zones, kinds: options.kinds, long: options.long, traffic })
    const path = join(folder, `${basename(site, '.toml')}-${day.name}${options.long ? '-long' : ''}.toml`)
    writeFileSync(path, writeDay(day))
    process.stdout.write(`${path}\n`)
  }
}

if (process.argv[1] !== undefined && resolve(process.argv[1]) === fileURLToPath(import.meta.url))
  writeDays(readOptions(process.argv.slice(2)))
