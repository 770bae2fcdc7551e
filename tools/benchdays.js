// Generates days with faults and planned work for the bench from a seed: the same seed gives the same day. It only
// writes files; a shell script runs them one by one.
//   node tools/benchdays.js SITE.toml FOLDER
//     [--seed N] [--count N] [--template NAME] [--long] [--kinds FILE] [--traffic SHARE]
// NAME: one of the worst days (cut, orders, losses, storm, answers), or mix for any kinds at any time; by default, all
// in turn. FILE: the kinds that the bench lists for that site; other kinds are left out of a mix. --long: a day with
// hundreds of changes. SHARE: share of the site's traffic, for runs on a busy machine; control requests don't depend on
// it.
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { basename, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { CLOSINGS, KINDS } from './benchdays.list.js'

const { parse, stringify } = createRequire(new URL('../platform/package.json', import.meta.url))('smol-toml')

const DAY_S = 34
const LONG_DAY_S = 70
/** Length of the end of a day in which a cut or a mix starts nothing. */
const QUIET_END_S = 4
const STORM_CHANGES = 260
const STORM_S = 24
/** Number of entries in a mix of DAY_S. */
const MIX_MIN_ENTRIES = 5
const MIX_MAX_ENTRIES = 12
/** Probability that an entry of a mix has the kind of the one before. */
const REPEAT_PROBABILITY = 0.25
/** Probability that an entry of a mix starts within 1.5 s of the one before. */
const OVERLAP_PROBABILITY = 0.35
const MARKS = { one: 0.95, zero: 0.6, goal: { floor: 0.47 } }

/** A pseudorandom number generator (mulberry32): returns numbers from 0 up to 1, determined by the seed. */
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

function between(next, min, max) {
  return rounded(min + next() * (max - min))
}

function oneOf(next, list) {
  return list[Math.floor(next() * list.length)]
}

function wholeBetween(next, min, max) {
  return min + Math.floor(next() * (max - min + 1))
}

/** Draws one variant of each group; the result joins those that aren't empty. */
function drawVariants(next, groups) {
  const variants = []
  for (const group of groups) variants.push(oneOf(next, group))
  return variants.filter(Boolean).join(' ')
}

/** One entry of a day: draws the fields and variants of a row of the list. */
function drawTrouble(next, row, at, zones) {
  const entry = { at, kind: row.kind }
  if (row.on !== undefined) entry.on = row.on
  for (const [name, min, max, isWhole] of row.fields)
    entry[name] = isWhole === true ? wholeBetween(next, min, max) : between(next, min, max)
  const how = drawVariants(next, row.how)
  if (how !== '') entry.how = how
  for (const name of row.zones ?? []) entry[name] = oneOf(next, zones)
  return { list: row.list, entry }
}

function change(next, at) {
  return { list: 'plan', entry: { at, kind: 'config_change', how: oneOf(next, ['timeout', 'idle', 'weights']) } }
}

function rounded(value) {
  return Math.round(value * 100) / 100
}

function planned(at, kind, fields) {
  return { list: 'plan', entry: { at: rounded(at), kind, ...fields } }
}

function fault(at, kind, fields) {
  return { list: 'faults', entry: { at: rounded(at), kind, ...fields } }
}

function changesFrom(next, from, to, gap) {
  const changes = []
  for (let at = from; at < to; at += gap) changes.push(change(next, rounded(at)))
  return changes
}

/** Worst day 1: a core machine is partitioned for 20 s while changes are made. */
function cutDay(next) {
  const at = between(next, 4, 8)
  const kind = oneOf(next, ['core_cut', 'core_cut', 'node_cut'])
  const target = kind === 'core_cut' ? { count: 1 } : { on: 'core', count: 1 }
  const directions = kind === 'core_cut' ? ['', 'one_way', 'seeds', 'both'] : ['']
  const groups = [['', 'leader'], directions, ['', 'reset', 'refuse'], ['', 'meet', 'race', 'race hard']]
  const how = drawVariants(next, groups)
  const cut = fault(at, kind, { ...target, for_s: 20, ...(how === '' ? {} : { how }) })
  return [cut, ...changesFrom(next, 2, DAY_S - QUIET_END_S, between(next, 2, 4))]
}

/** Worst day 2: eight orders in flight, some of them concurrent, while acknowledgements are lost. */
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

/** Worst day 3: core machines are lost one after another, with a change after each loss. */
function lossesDay(next) {
  const secondLossAt = between(next, 10, 13)
  const secondLosses = [
    fault(secondLossAt, 'after_ack_wipe', { for_s: between(next, 1, 3) }),
    fault(secondLossAt, 'replace_core', { x: between(next, 0.5, 2) }),
    fault(secondLossAt, 'node_kill', { on: 'core', count: 1, for_s: between(next, 2, 4), how: 'power' }),
  ]
  return [
    change(next, 2),
    fault(4, 'replace_core', { x: between(next, 0.5, 2) }),
    change(next, between(next, 7, 9)),
    oneOf(next, secondLosses),
    change(next, between(next, 14, 15.5)),
    fault(between(next, 16, 20), 'replace_core', { x: between(next, 0.5, 2) }),
    change(next, between(next, 20.5, 22.5)),
    fault(between(next, 23, 25), 'after_ack_wipe', { for_s: between(next, 1, 2) }),
    change(next, between(next, 27, 29)),
  ]
}

/** Worst day 4: hundreds of changes; a core machine is without power for 12 s, one is wiped, all are killed. */
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

/**
 * Worst day 5: lost answers, reset connections, lost packets, frozen processes, crashed instances, and a power loss at
 * an acknowledgement.
 */
function answersDay(next, zones) {
  const troubles = [change(next, 1.5)]
  const kinds = ['answer_lost', 'reset_conns', 'lossy', 'node_freeze', 'srv_crash', 'after_ack_kill', 'answer_lost']
  for (const kind of kinds) {
    const rows = KINDS.filter(isOfKind)
    troubles.push(drawTrouble(next, oneOf(next, rows), between(next, 2, 26), zones))
    function isOfKind(row) {
      return row.kind === kind
    }
  }
  return [...troubles, change(next, between(next, 10, 20)), change(next, 29)]
}

/** Any kinds at any time, some repeated, some while another is in progress. */
function mixDay(next, zones, rows, length) {
  const troubles = []
  const count = Math.round((wholeBetween(next, MIX_MIN_ENTRIES, MIX_MAX_ENTRIES) * length) / DAY_S)
  let row = oneOf(next, rows)
  let at = 2
  for (let k = 0; k < count; k++) {
    if (next() >= REPEAT_PROBABILITY) row = oneOf(next, rows)
    at =
      next() < OVERLAP_PROBABILITY
        ? Math.min(at + between(next, 0, 1.5), length - QUIET_END_S)
        : between(next, 1, length - QUIET_END_S)
    troubles.push(drawTrouble(next, row, rounded(at), zones))
  }
  troubles.push(change(next, between(next, 1, length - QUIET_END_S)))
  return troubles
}

function drawClosing(next) {
  const row = oneOf(next, CLOSINGS)
  const how = oneOf(next, row.how)
  return { kind: row.kind, down_s: between(next, 0.5, 1.6), ...(how === '' ? {} : { how }) }
}

function byTime(a, b) {
  return a.at - b.at
}

/** Names of the templates: the worst days, and mix. */
export const TEMPLATES = ['cut', 'orders', 'losses', 'storm', 'answers', 'mix']

function troublesOf(next, template, zones, rows, length) {
  if (template === 'cut') return cutDay(next)
  if (template === 'orders') return ordersDay(next)
  if (template === 'losses') return lossesDay(next)
  if (template === 'storm') return stormDay(next)
  if (template === 'answers') return answersDay(next, zones)
  return mixDay(next, zones, rows, length)
}

/** A day in the bench's format; a long one also has the hundreds of changes and the faults of worst day 4. */
export function drawDay({ seed, template, zones, kinds, long, traffic }) {
  const next = seeded(seed)
  const length = long === true ? LONG_DAY_S : DAY_S
  const rows = KINDS.filter(isIncluded)
  const troubles = troublesOf(next, template, zones, rows, length)
  if (long === true && template !== 'storm') troubles.push(...stormDay(next))
  const endsWithKill = template === 'losses' || template === 'storm' || long === true
  const closing = endsWithKill ? { kind: 'kill_all', down_s: between(next, 0.5, 1.6) } : drawClosing(next)
  const day = { name: `${template}-${seed}`, slot: 'trouble', seed, length_s: length, ...MARKS, closing }
  if (traffic !== undefined) day.traffic = traffic
  for (const list of ['plan', 'faults']) {
    day[list] = []
    for (const trouble of troubles) if (trouble.list === list) day[list].push(trouble.entry)
    day[list].sort(byTime)
  }
  return day
  function isIncluded(row) {
    return kinds === undefined || kinds.has(row.kind)
  }
}

/** Formats a day as TOML. */
export function writeDay(day) {
  return stringify(day)
}

/** Parses the kinds from the bench's list for a site. */
export function readKinds(text) {
  const kinds = new Set()
  for (const match of text.matchAll(/^([a-z_]+): /gm)) kinds.add(match[1])
  return kinds
}

function readOptions(args) {
  const options = {
    paths: [],
    seed: 1,
    count: 1,
    template: undefined,
    long: false,
    kinds: undefined,
    trafficShare: undefined,
  }
  for (let k = 0; k < args.length; k++) {
    const arg = args[k]
    if (arg === '--seed') options.seed = Number(args[++k])
    else if (arg === '--count') options.count = Number(args[++k])
    else if (arg === '--template') options.template = args[++k]
    else if (arg === '--long') options.long = true
    else if (arg === '--traffic') options.trafficShare = Number(args[++k])
    else if (arg === '--kinds') options.kinds = readKinds(readFileSync(args[++k], 'utf8'))
    else options.paths.push(arg)
  }
  return options
}

/** The site's traffic scaled by share; undefined: unchanged. */
export function thinned(traffic, share) {
  if (share === undefined) return undefined
  const scaled = []
  for (const entry of traffic) scaled.push({ ...entry, per_s: Math.round(entry.per_s * share * 10) / 10 })
  return scaled
}

function zonesOf(site) {
  const zones = []
  for (const zone of site.zones) zones.push(zone.name)
  return zones
}

function writeDays(options) {
  const [sitePath, folder] = options.paths
  const templates = options.template === undefined ? TEMPLATES : [options.template]
  if (folder === undefined || !TEMPLATES.includes(templates[0])) {
    process.stderr.write(
      `usage: benchdays SITE.toml FOLDER [--seed N] [--count N] [--template ${TEMPLATES.join('|')}]\n`,
    )
    process.exitCode = 2
    return
  }
  const siteFile = parse(readFileSync(sitePath, 'utf8'))
  const zones = zonesOf(siteFile)
  const traffic = thinned(siteFile.traffic, options.trafficShare)
  mkdirSync(folder, { recursive: true })
  for (let k = 0; k < options.count; k++) {
    const seed = options.seed + k
    const template = templates[k % templates.length]
    const day = drawDay({ seed, template, zones, kinds: options.kinds, long: options.long, traffic })
    const path = join(folder, `${basename(sitePath, '.toml')}-${day.name}${options.long ? '-long' : ''}.toml`)
    writeFileSync(path, writeDay(day))
    process.stdout.write(`${path}\n`)
  }
}

if (process.argv[1] !== undefined && resolve(process.argv[1]) === fileURLToPath(import.meta.url))
  writeDays(readOptions(process.argv.slice(2)))
