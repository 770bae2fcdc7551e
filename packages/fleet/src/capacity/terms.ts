import type { Way } from './observations.js'

// Which terms each mechanism's cost, and each role's memory, may depend on.

const shapes = new Map<string, string[]>([
  ['core terms', ['N', 'I', 'N·ch']],
  ['core terms cpu', ['N', 'NN', 'NG', 'NNG']],
  ['core pushes', ['N·ch', 'N·CV']],
  ['core acknowledgements', ['N·ch']],
  ['core registers', ['ch', 'CV']],
  ['core file', ['ch', 'CV']],
  ['core file rewritten', ['ch', 'CV']],
  ['core links', ['1', 'N']],
  ['core logs', ['1', 'ch']],
  ['core members', ['1', 'N', 'G', 'NG']],
  ['core repair', ['1']],
  ['core shares', ['1']],
  ['core runtime', ['1', 'N', 'NN', 'N·ch', 'N·CV']],
  ['agent terms', ['1', 'I/N', 'ch']],
  ['agent terms cpu', ['1', 'N', 'G', 'ch']],
  ['agent pushes', ['ch', 'CV']],
  ['agent acknowledgements', ['ch']],
  ['agent registers', ['ch/N', 'CV/N']],
  ['agent members', ['1', 'N', 'G', 'NG']],
  ['agent shares', ['1']],
  ['agent summaries', ['HD', 'I']],
  ['agent announcements', ['I/N']],
  ['agent probes', ['G/N']],
  ['agent feeds', ['1', 'G', 'ch', 'CV']],
  ['agent notes', ['1', 'G', 'ch']],
  ['agent links', ['1']],
  ['agent logs', ['1', 'ch']],
  ['agent duty', ['1', 'G', 'NG']],
  ['agent discovery', ['1']],
  ['agent runtime', ['P', '1', 'N', 'G', 'ch']],
  ['proxy feeds', ['1', 'G', 'ch', 'CV']],
  ['proxy notes', ['1', 'G', 'ch']],
  ['proxy links', ['1']],
  ['proxy logs', ['1', 'ch']],
  ['proxy runtime', ['P', '1', 'G', 'ch']],
  ['proxy freshness', ['1', 'I']],
  ['instance announcements', ['1']],
  ['instance probes', ['1']],
])

const other = new Map<string, string[]>([
  ['core', ['N', 'NN', 'NG', 'N·ch']],
  ['agent', ['1', 'N', 'G', 'ch']],
  ['proxy', ['1', 'G', 'ch']],
  ['instance', ['1']],
])

// What makes messages longer and no more of them.
const lengthens = new Set(['G', 'NG', 'NN', 'NNG', 'V', 'CV', 'N·CV', 'CV/N', 'I', 'D', 'H'])

export function shapeOf(role: string, mechanism: string, way: Way): string[] {
  const all = (way === 'cpu' ? shapes.get(`${role} ${mechanism} cpu`) : undefined) ??
    shapes.get(`${role} ${mechanism}`) ??
    other.get(role) ?? ['1']
  // Renewals come on a beat, however long they are.
  if (mechanism === 'terms' && (way === 'inCount' || way === 'outCount')) return role === 'core' ? ['N'] : ['1']
  if (way !== 'inCount' && way !== 'outCount') return all
  const out: string[] = []
  for (const name of all) if (!lengthens.has(name) || mechanism === 'freshness') out.push(name)
  return out
}

export const memory = new Map([
  ['core', ['1', 'N', 'G', 'NG', 'V', 'NV']],
  ['agent', ['P', '1', 'N', 'G', 'V']],
  ['proxy', ['P', '1', 'G', 'V']],
])
